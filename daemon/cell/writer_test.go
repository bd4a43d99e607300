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

// serveSubmissions serves submissions of other daemons and returns the address.
func serveSubmissions(t *testing.T, submit func([][]byte, time.Duration) []error) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	require.NoError(t, servePeers(l, &peerService{yield: func(int64) {}, submit: submit}))
	return l.Addr().String()
}

func runWriter(t *testing.T, store *fakeStore, placer string) *writer {
	w := newWriter(store, newPeerClients())
	w.placerAddress.Store(&placer)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go w.run(ctx)
	return w
}

var testSubmission = &flow.Record{Submit: &flow.Submit{ID: "j"}}

// Guards against small appends of many daemons that wait for each other at a slow store.
func TestWriterGathersAtThePlacer(t *testing.T) {
	store, gathered := &fakeStore{}, 0
	w := runWriter(t, store, serveSubmissions(t, func(records [][]byte, _ time.Duration) []error {
		gathered += len(records)
		return make([]error, len(records))
	}))
	require.NoError(t, w.append(t.Context(), testSubmission, time.Second))
	require.Equal(t, 1, gathered)
	require.Zero(t, store.appends.Load())
}

// Guards against jobs that can't be accepted while the placer is gone.
func TestWriterAppendsItselfWithoutThePlacer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	gone := l.Addr().String()
	require.NoError(t, l.Close())
	store := &fakeStore{}
	w := runWriter(t, store, gone)
	require.NoError(t, w.append(t.Context(), testSubmission, time.Second))
	require.EqualValues(t, 1, store.appends.Load())
}

// Guards against a frozen placer that holds up the acceptance of jobs.
func TestWriterDoesNotWaitForAHungPlacer(t *testing.T) {
	store := &fakeStore{}
	w := runWriter(t, store, serveSubmissions(t, func([][]byte, time.Duration) []error { time.Sleep(10 * time.Second); return nil }))
	began := time.Now()
	require.NoError(t, w.append(t.Context(), testSubmission, 2500*time.Millisecond))
	require.Less(t, time.Since(began), 2*time.Second)
}

// Guards against "not stored" being said of a record that may be stored.
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

// Guards against a placer that is replaced because one answer of the log was lost
// (takeovers after each lost answer, LOST on a variant of grenaille-sched).
func TestPlacerRepeatsAnAppendWithoutAnAnswer(t *testing.T) {
	store := &hangingStore{}
	store.hangingCalls.Store(1)
	f := &fencedAppender{log: store, fence: cluster.Fence{Producer: "placer", Epoch: 3}, logSlow: func() bool { return false }}
	began := time.Now()
	offset, _ := f.append(t.Context(), &flow.Record{Batch: &flow.Batch{Epoch: 3}})
	require.EqualValues(t, 1, offset)
	require.Less(t, time.Since(began), time.Second)
	require.EqualValues(t, 1, f.fence.Sequence)
	require.EqualValues(t, 2, store.calls.Load())
}

// hangingStore leaves the first appends without an answer.
type hangingStore struct {
	fakeStore
	hangingCalls atomic.Int64
	calls        atomic.Int64
}

func (s *hangingStore) Append(ctx context.Context, part int, records [][]byte, fence *cluster.Fence) (int64, error) {
	s.calls.Add(1)
	if s.hangingCalls.Add(-1) >= 0 {
		<-ctx.Done()
		return 0, errNoAnswer
	}
	return s.fakeStore.Append(ctx, part, records, fence)
}

// Guards against a store that is slow getting every record twice, from the placer and from
// the daemon that took it, so that nothing is stored any more (dosui-sched-grown, trouble-2).
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
	require.Greater(t, w.appendTimes.longest(bootclock.Now()), 600*time.Millisecond, "claims wait for what waits there")
}

// Guards against appends of all daemons at a log that answers slowly: each took a quarter
// of a second of its one partition, so the placer's own records waited for seconds and it was
// replaced (trouble-2 of dosui-sched-large).
func TestWriterLeavesASlowLogToThePlacer(t *testing.T) {
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

// Guards against a log that is taken for slow because reads wait there for records, and
// against one that is not because one answer was quick.
func TestRecentMinIsTheShortestRecentTime(t *testing.T) {
	var f recentMin
	f.record(900*time.Millisecond, time.Second)
	f.record(30*time.Millisecond, 1500*time.Millisecond)
	f.record(800*time.Millisecond, 1900*time.Millisecond)
	require.Equal(t, 30*time.Millisecond, f.shortest())
	f.record(300*time.Millisecond, 2600*time.Millisecond)
	require.Equal(t, 30*time.Millisecond, f.shortest())
	f.record(310*time.Millisecond, 3700*time.Millisecond)
	require.Equal(t, 300*time.Millisecond, f.shortest())
	f.record(40*time.Millisecond, 9*time.Second)
	require.Equal(t, 40*time.Millisecond, f.shortest())
}

// Guards against a refusal of a job that is stored: the placer told one outcome for all
// records of a call, so those that its first append had taken were refused to their callers
// together with one that was left for the next append (REFUSED on kandy-strings-grown).
func TestOneRefusedRecordRefusesNoOther(t *testing.T) {
	store := &limitedStore{limit: 1}
	placer := newWriter(store, newPeerClients())
	placer.directQueue <- &pendingRecord{data: []byte{1}, deadline: time.Now().Add(time.Minute), done: make(chan struct{})}
	go func() {
		for len(placer.directQueue) < maxGroupRecords+1 { // one record does not fit into the first append
			time.Sleep(time.Millisecond)
		}
		placer.run(t.Context())
	}()
	away := &fakeStore{}
	away.failWith(errRefused)
	w := newWriter(away, newPeerClients())
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

// limitedStore takes some appends and turns all further ones away.
type limitedStore struct {
	fakeStore
	limit    int64
	appended atomic.Int64
}

func (s *limitedStore) Append(ctx context.Context, part int, records [][]byte, fence *cluster.Fence) (int64, error) {
	if s.appended.Add(1) > s.limit {
		return 0, errRefused
	}
	return s.fakeStore.Append(ctx, part, records, fence)
}

// Guards against the first seconds of a slow log, before its answers have shown it: all daemons
// appended past the placer, 38 appends of 0.4 s each, and nothing was stored for five seconds
// (trouble-2 of kandy-strings-grown).
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

// serialStore takes one append at a time, each for a while, as a partition of a slow log does.
type serialStore struct {
	fakeStore
	appendTime time.Duration
	mu         sync.Mutex
}

func (s *serialStore) Append(ctx context.Context, part int, records [][]byte, fence *cluster.Fence) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil {
		return 0, errNoAnswer
	}
	time.Sleep(s.appendTime)
	return s.fakeStore.Append(ctx, part, records, fence)
}

// Guards against appends of all daemons at a slow log while the placer is gone: they wait there for each other for seconds (trouble-2 of dosui-sched-grown, a placer stopped in a slow phase).
func TestRecordsAreGatheredAtASlowLogWithoutThePlacer(t *testing.T) {
	const daemons, each = 37, 3
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	gone := l.Addr().String()
	require.NoError(t, l.Close())
	for _, placer := range []string{gone, ""} {
		store := &serialStore{appendTime: 280 * time.Millisecond}
		appender := newWriter(store, newPeerClients())
		go appender.run(t.Context())
		fallback := serveSubmissions(t, appender.appendForPeer)
		var waiting sync.WaitGroup
		for range daemons {
			w := newWriter(store, newPeerClients())
			w.placerAddress.Store(&placer)
			w.fallbackAddress.Store(&fallback)
			w.logSlow = func() bool { return true }
			go w.run(t.Context())
			for range each {
				waiting.Go(func() { assert.NoError(t, w.append(t.Context(), testSubmission, 2500*time.Millisecond)) })
			}
		}
		waiting.Wait()
	}
}
