package cell

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarproxy/core/cluster"
	"briarproxy/core/fault"
	"briarproxy/core/flow"
	"briarproxy/daemon/bootclock"
)

// serveSubmissions starts a daemon that handles submissions of other daemons with submit, as the placer
// does, and returns its address.
func serveSubmissions(t *testing.T, submit func([][]byte, time.Duration) []error) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	require.NoError(t, servePeers(listener, &peerService{yield: func(int64) {}, submit: submit}))
	return listener.Addr().String()
}

// runWriter starts a writer that forwards to the placer at an address; "" means that it appends itself.
func runWriter(t *testing.T, store *fakeStore, placer string) *writer {
	w := newWriter(store, newPeerClients())
	w.placerAddress.Store(&placer)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go w.run(ctx)
	return w
}

var testSubmission = &flow.Record{Submit: &flow.Submit{ID: "j"}}

// Guards against each daemon appending its own records although it reaches the placer: small appends
// of many daemons queue behind each other at a slow store.
func TestWriterForwardsToThePlacer(t *testing.T) {
	store, forwarded := &fakeStore{}, 0
	w := runWriter(t, store, serveSubmissions(t, func(records [][]byte, _ time.Duration) []error {
		forwarded += len(records)
		return make([]error, len(records))
	}))
	require.NoError(t, w.append(t.Context(), testSubmission, time.Second))
	require.Equal(t, 1, forwarded)
	require.Zero(t, store.appends.Load())
}

// Guards against jobs that can't be accepted while the placer's process is gone.
func TestWriterAppendsDirectlyWithoutThePlacer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	deadAddress := listener.Addr().String()
	require.NoError(t, listener.Close())
	store := &fakeStore{}
	w := runWriter(t, store, deadAddress)
	require.NoError(t, w.append(t.Context(), testSubmission, time.Second))
	require.EqualValues(t, 1, store.appends.Load())
}

// Guards against a placer that hangs and so delays the acceptance of jobs.
func TestWriterDoesNotWaitForAHungPlacer(t *testing.T) {
	store := &fakeStore{}
	w := runWriter(t, store, serveSubmissions(t, func([][]byte, time.Duration) []error { time.Sleep(10 * time.Second); return nil }))
	start := time.Now()
	require.NoError(t, w.append(t.Context(), testSubmission, 2500*time.Millisecond))
	require.Less(t, time.Since(start), 2*time.Second)
}

// Guards against reporting a record as not stored when it may be stored.
func TestWriterReportsUnknownOutcomes(t *testing.T) {
	store := &fakeStore{}
	store.failWith(errRefused)
	w := runWriter(t, store, "")
	err := w.append(t.Context(), testSubmission, 300*time.Millisecond)
	require.True(t, fault.Is(err, fault.Refused), "%v", err)
	store.failWith(errNoAnswer)
	err = w.append(t.Context(), testSubmission, 300*time.Millisecond)
	require.True(t, fault.Is(err, fault.Unknown), "%v", err)
}

// Guards against a submission that is sent again after its caller was told that its outcome is unknown, for as long as the
// log does not answer: it could be stored long after the caller has cancelled the job.
func TestWriterSendsNoRecordAfterItsDeadline(t *testing.T) {
	store := &fakeStore{}
	store.failWith(errNoAnswer)
	w := runWriter(t, store, "")
	require.True(t, fault.Is(w.append(t.Context(), testSubmission, 300*time.Millisecond), fault.Unknown))
	store.failWith(nil)
	time.Sleep(2 * maxAppendRetryDelay)
	require.Zero(t, store.appends.Load())
	require.NoError(t, w.append(t.Context(), testSubmission, time.Second))
	require.EqualValues(t, 1, store.appends.Load())
}

// Guards against a record that a daemon sends for hours because its caller allows so much time.
func TestTimeForARecordIsBounded(t *testing.T) {
	w := newWriter(&fakeStore{}, newPeerClients())
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.Error(t, w.append(ctx, testSubmission, 24*time.Hour))
	require.LessOrEqual(t, (<-w.queue).deadline, bootclock.Now()+maxRecordTime)
}

// Guards against a placer that is replaced because one answer of the log was lost: it waited for that
// answer while its records stopped, and another daemon claimed its role.
func TestPlacerHedgesAnUnansweredAppend(t *testing.T) {
	store := &hangingStore{}
	store.hangingCalls.Store(1)
	appender := &fencedAppender{log: store, fence: cluster.Fence{Producer: "placer", Epoch: 3}, logSlow: func() bool { return false }}
	start := time.Now()
	offset, _ := appender.append(t.Context(), &flow.Record{Batch: &flow.Batch{Epoch: 3}})
	require.EqualValues(t, 1, offset)
	require.Less(t, time.Since(start), time.Second)
	require.EqualValues(t, 1, appender.fence.Sequence)
	require.EqualValues(t, 2, store.calls.Load())
}

// hangingStore does not answer the first appends.
type hangingStore struct {
	fakeStore
	hangingCalls atomic.Int64
	calls        atomic.Int64
}

func (s *hangingStore) Append(ctx context.Context, partition int, records [][]byte, fence *cluster.Fence) (int64, error) {
	s.calls.Add(1)
	if s.hangingCalls.Add(-1) >= 0 {
		<-ctx.Done()
		return 0, errNoAnswer
	}
	return s.fakeStore.Append(ctx, partition, records, fence)
}

// Guards against a slow store that gets every record twice, from the placer and from the daemon that
// accepted it, and is overloaded until nothing is stored any more.
func TestWriterWaitsLongerForASlowPlacer(t *testing.T) {
	store := &fakeStore{}
	w := runWriter(t, store, serveSubmissions(t, func(records [][]byte, _ time.Duration) []error {
		time.Sleep(700 * time.Millisecond)
		return make([]error, len(records))
	}))
	for range 4 {
		require.NoError(t, w.append(t.Context(), testSubmission, 2500*time.Millisecond))
	}
	require.Zero(t, store.appends.Load())
	require.Greater(t, w.appendTimes.longest(bootclock.Now()), 600*time.Millisecond, "a claim waits as long as the slowest recent append")
}

// Guards against direct appends of all daemons at a slow log: each took 0.25 s of its one partition, so
// the placer's own records waited for seconds and it was replaced.
func TestWriterKeepsWaitingForThePlacerAtASlowLog(t *testing.T) {
	store, placer := &fakeStore{}, serveSubmissions(t, func(records [][]byte, _ time.Duration) []error {
		time.Sleep(2 * time.Second)
		return make([]error, len(records))
	})
	w := newWriter(store, newPeerClients())
	w.placerAddress.Store(&placer)
	w.logSlow = func() bool { return true }
	go w.run(t.Context())
	require.NoError(t, w.append(t.Context(), testSubmission, 3*time.Second))
	require.Zero(t, store.appends.Load())
}

// Guards against a log that counts as slow only because reads wait there for records: one quick answer
// within the window shows that it is not. A quick answer before the window no longer counts.
func TestRecentMinIsTheShortestRecentTime(t *testing.T) {
	var recent recentMin
	recent.record(900*time.Millisecond, time.Second)
	recent.record(30*time.Millisecond, 1500*time.Millisecond)
	recent.record(800*time.Millisecond, 1900*time.Millisecond)
	require.Equal(t, 30*time.Millisecond, recent.shortest())
	recent.record(300*time.Millisecond, 2600*time.Millisecond)
	require.Equal(t, 30*time.Millisecond, recent.shortest())
	recent.record(310*time.Millisecond, 3700*time.Millisecond)
	require.Equal(t, 300*time.Millisecond, recent.shortest())
	recent.record(40*time.Millisecond, 9*time.Second)
	require.Equal(t, 40*time.Millisecond, recent.shortest())
}

// Guards against a job that is stored but reported as refused: the placer returned one outcome for all
// records of a call, so one record that was left for the next append, which failed, had those of the
// first append reported as refused, too.
func TestRecordsOfAGroupHaveSeparateOutcomes(t *testing.T) {
	store := &limitedStore{limit: 1}
	placer := newWriter(store, newPeerClients())
	placer.directQueue <- &pendingRecord{data: []byte{1}, deadline: bootclock.Now() + time.Minute, done: make(chan struct{})}
	go func() {
		for len(placer.directQueue) < maxGroupRecords+1 { // one record more than fits into the first append
			time.Sleep(time.Millisecond)
		}
		placer.run(t.Context())
	}()
	unreachable := &fakeStore{}
	unreachable.failWith(errRefused)
	w := newWriter(unreachable, newPeerClients())
	address := serveSubmissions(t, placer.appendForPeer)
	w.placerAddress.Store(&address)
	outcomes := make(chan error, maxGroupRecords)
	for range maxGroupRecords {
		go func() { outcomes <- w.append(t.Context(), testSubmission, time.Second) }()
	}
	for len(w.queue) < maxGroupRecords {
		time.Sleep(time.Millisecond)
	}
	go w.run(t.Context())
	stored := 0
	for range maxGroupRecords {
		if err := <-outcomes; err == nil {
			stored++
		} else {
			require.True(t, fault.Is(err, fault.Refused), "%v", err)
		}
	}
	require.Equal(t, maxGroupRecords-1, stored)
}

// limitedStore accepts some appends and refuses all further ones.
type limitedStore struct {
	fakeStore
	limit    int64
	appended atomic.Int64
}

func (s *limitedStore) Append(ctx context.Context, partition int, records [][]byte, fence *cluster.Fence) (int64, error) {
	if s.appended.Add(1) > s.limit {
		return 0, errRefused
	}
	return s.fakeStore.Append(ctx, partition, records, fence)
}

// Guards against direct appends in the first seconds of a slow log, before its answers have shown that it
// is slow: all daemons bypassed the placer with 38 appends of 0.4 s each, and nothing was stored for 5 s.
func TestWriterProbesTheLogBeforeItBypassesThePlacer(t *testing.T) {
	store, placer := &fakeStore{}, serveSubmissions(t, func(records [][]byte, _ time.Duration) []error {
		time.Sleep(2 * time.Second)
		return make([]error, len(records))
	})
	w := newWriter(store, newPeerClients())
	w.placerAddress.Store(&placer)
	w.logAnswersInTime = func(context.Context) bool { return false }
	go w.run(t.Context())
	require.NoError(t, w.append(t.Context(), testSubmission, 3*time.Second))
	require.Zero(t, store.appends.Load())
}

// serialStore carries out one append at a time, each of a fixed duration, as a partition of a slow log does.
type serialStore struct {
	fakeStore
	appendTime time.Duration
	mu         sync.Mutex
}

func (s *serialStore) Append(ctx context.Context, partition int, records [][]byte, fence *cluster.Fence) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil {
		return 0, errNoAnswer
	}
	time.Sleep(s.appendTime)
	return s.fakeStore.Append(ctx, partition, records, fence)
}

// Guards against direct appends of all daemons at a slow log after the placer has stopped: they queue
// behind each other for seconds.
func TestFallbackAppendsForAllAtASlowLogWithoutThePlacer(t *testing.T) {
	const daemons, recordsPerDaemon = 37, 3
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	deadAddress := listener.Addr().String()
	require.NoError(t, listener.Close())
	for _, placer := range []string{deadAddress, ""} {
		store := &serialStore{appendTime: 280 * time.Millisecond}
		appender := newWriter(store, newPeerClients())
		go appender.run(t.Context())
		fallback := serveSubmissions(t, appender.appendForPeer)
		var wg sync.WaitGroup
		for range daemons {
			w := newWriter(store, newPeerClients())
			w.placerAddress.Store(&placer)
			w.fallbackAddress.Store(&fallback)
			w.logSlow = func() bool { return true }
			go w.run(t.Context())
			for range recordsPerDaemon {
				wg.Go(func() { assert.NoError(t, w.append(t.Context(), testSubmission, 2500*time.Millisecond)) })
			}
		}
		wg.Wait()
	}
}
