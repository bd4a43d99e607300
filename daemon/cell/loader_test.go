package cell

import (
	"context"
	"crypto/rand"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarproxy/core/cluster"
	"briarproxy/core/fault"
	"briarproxy/core/flow"
	"briarproxy/daemon/event"
	"briarproxy/platform"
)

// brokenLink is a store behind a slow link on which some calls break off.
type brokenLink struct {
	keyedStore
	rate  float64 // bytes a second
	every int     // of so many calls one breaks off half way; 0 is none

	link    sync.Mutex
	calls   atomic.Int64
	carried atomic.Int64 // bytes
}

func (s *brokenLink) transfer(ctx context.Context, bytes int) error {
	s.link.Lock()
	defer s.link.Unlock()
	broken := s.every > 0 && int(s.calls.Add(1))%s.every == 0
	if broken {
		bytes /= 2
	}
	s.carried.Add(int64(bytes))
	select {
	case <-time.After(time.Duration(float64(bytes) / s.rate * float64(time.Second))):
	case <-ctx.Done():
		return errNoAnswer
	}
	if broken {
		return errNoAnswer
	}
	return nil
}

func (s *brokenLink) SavedAfterKey(ctx context.Context, part int, after string) (map[string][]byte, error) {
	values, err := s.keyedStore.SavedAfterKey(ctx, part, after)
	bytes := 0
	for _, v := range values {
		bytes += base64Length(v)
	}
	if sent := s.transfer(ctx, bytes); sent != nil {
		return nil, sent
	}
	return values, err
}

func (s *brokenLink) SavedFromOffset(ctx context.Context, part int, from int64, most int) ([]cluster.Entry, bool, error) {
	entries, expired, err := s.keyedStore.SavedFromOffset(ctx, part, from, most)
	bytes := 0
	for _, e := range entries {
		bytes += len(e.Value)
	}
	if sent := s.transfer(ctx, bytes); sent != nil {
		return nil, false, sent
	}
	return entries, expired, err
}

// waitingJobs is a state with jobs of a usual size, none of which has ended.
func waitingJobs(t testing.TB, jobs int) *flow.State {
	s := flow.NewState()
	for i := range jobs {
		spec := make([]byte, specBytes/2)
		_, _ = rand.Read(spec)
		r := flow.Record{Submit: &flow.Submit{
			ID: fmt.Sprintf("%016x", i), Queue: "q", Spec: fmt.Sprintf("%x", spec), Steps: []flow.Step{{Count: 3}}, MaxAttempts: 2,
		}}
		require.NoError(t, s.Apply(&r, time.Second))
	}
	return s
}

// saveSnapshotOf writes a state as the next generation and returns the bytes of its chunks.
func saveSnapshotOf(t testing.TB, placer *snapshotWriter, s *flow.State, generation int64) int {
	head, chunks, err := s.Snapshot(generation, time.Minute)
	require.NoError(t, err)
	require.NoError(t, placer.save(t.Context(), &head, chunks))
	bytes := 0
	for _, chunk := range chunks {
		bytes += len(chunk)
	}
	return bytes
}

func newSaver(t testing.TB, store Snapshots) *snapshotWriter {
	placer := &snapshotWriter{store: store, fence: cluster.Fence{Producer: "placer", Epoch: 10}}
	_, err := placer.takeOver(t.Context())
	require.NoError(t, err)
	return placer
}

// Guards against a daemon on a slow link that begins anew with each broken or slow call: with a limit for
// the whole snapshot, one that takes longer is never read (frontend-obihiro-4, inc1).
func TestASnapshotIsReadOnWhereACallBrokeOff(t *testing.T) {
	const (
		jobs     = 1700
		rate     = 200e3
		newEvery = 700 * time.Millisecond
		within   = 12 * time.Second
		wasted   = 1.5 // share of the bytes, with those of broken calls
	)
	store := &brokenLink{rate: rate, every: 3}
	placer, s := newSaver(t, &store.keyedStore), waitingJobs(t, jobs)
	bytes := 0
	for generation := range int64(2) {
		bytes = saveSnapshotOf(t, placer, s, generation+1)
	}
	pages := make(chan page)
	follower := &logReader{
		log: &fakeStore{}, snapshots: store, reads: newRelay(&fakeStore{}, newPeerClients()).reads, pages: pages, wake: make(chan struct{}),
		timing: func() (gap, wait time.Duration) { return time.Millisecond, 0 }, appliedOffset: func() int64 { return 0 },
	}
	go follower.run(t.Context())
	restored, written, began := make(chan struct{}), make(chan int64, 1), time.Now()
	go func() {
		generation := int64(2)
		defer func() { written <- generation }()
		newer := time.NewTicker(newEvery)
		defer newer.Stop()
		for {
			select {
			case <-restored:
				return
			case <-newer.C:
				generation++
				head, chunks, err := s.Snapshot(generation, time.Minute)
				if !assert.NoError(t, err) || !assert.NoError(t, placer.save(t.Context(), &head, chunks)) {
					return
				}
			}
		}
	}()
	for done := false; !done; {
		p := <-pages
		if done = p.snapshot != nil; done {
			require.Len(t, p.snapshot.Jobs, jobs)
		}
		require.Less(t, time.Since(began), within, "%d calls, %d bytes of a snapshot of %d", store.calls.Load(), store.carried.Load(), bytes)
	}
	took := time.Since(began)
	close(restored)
	generation := <-written
	require.Greater(t, generation, int64(2), "newer generations were written meanwhile")
	t.Logf("read in %v and %d calls, %d bytes of a snapshot of %d, newest generation %d", took, store.calls.Load(), store.carried.Load(), bytes, generation)
	require.Less(t, float64(store.carried.Load()), wasted*float64(bytes))
}

// Guards against a link slower than the time limit of a call, on which no call ever ends.
func TestCallsOnASlowLinkGetMoreTime(t *testing.T) {
	const first = 20 * time.Millisecond
	store := &brokenLink{rate: 2e6} // 98 ms for an answer
	saveSnapshotOf(t, newSaver(t, &store.keyedStore), waitingJobs(t, 1500), 1)
	l := newTestSnapshotReader(store)
	l.timeout = first
	state, _ := readWholeSnapshot(t, l, 4)
	require.Len(t, state.Jobs, 1500)
	require.LessOrEqual(t, l.timeout, 16*first)
}

// Guards against a well-formed chunk of the right generation that is not the one the placer
// wrote: a daemon that took it answered 410 for jobs that it lacked.
func TestAForeignChunkIsRejected(t *testing.T) {
	for _, expired := range []bool{false, true} {
		store := &keyedStore{}
		placer := newSaver(t, store)
		saveSnapshotOf(t, placer, waitingJobs(t, 900), 1)
		_, foreign, err := waitingJobs(t, 3).Snapshot(1, time.Minute)
		require.NoError(t, err)
		chunks := &store.parts[chunkPartition(1)]
		if expired {
			store.expire()
		} else {
			chunks.records[2].Value = foreign[0] // behind the writer's record and a chunk
		}
		chunks.newest[chunkKey(1)] = foreign[0]

		l := newTestSnapshotReader(store)
		for began := time.Now(); l.damagedReads < maxDamagedReads; {
			require.Less(t, time.Since(began), 5*time.Second, "the chunk is asked for without an end")
			_, state, err := l.step(t.Context())
			require.Nil(t, state)
			if err != nil {
				require.True(t, fault.Is(err, fault.Invalid), "%v", err)
			}
		}
		saveSnapshotOf(t, placer, waitingJobs(t, 900), 2)
		state, generation := readWholeSnapshot(t, l, 0)
		require.Len(t, state.Jobs, 900)
		require.Equal(t, int64(2), generation)
	}
}

// Guards against a chunk that can't be read at its offset although the newest of its key can.
func TestADamagedRecordIsReadByItsKey(t *testing.T) {
	store := &keyedStore{}
	saveSnapshotOf(t, newSaver(t, store), waitingJobs(t, 900), 1)
	store.parts[chunkPartition(1)].records[2].Value = []byte("damaged")
	state, _ := readWholeSnapshot(t, newTestSnapshotReader(store), 1)
	require.Len(t, state.Jobs, 900)
}

// Guards against a snapshot that is lost with the records of the log, and against one mixed of
// two generations when it is overwritten while it is read.
func TestASnapshotIsReadableAfterItsRecordsExpired(t *testing.T) {
	store := &keyedStore{}
	placer, s := newSaver(t, store), waitingJobs(t, 3000)
	saveSnapshotOf(t, placer, s, 1)
	l := newTestSnapshotReader(store)
	for range 2 { // the head and the first chunks
		head, _, err := l.step(t.Context())
		require.NoError(t, err)
		require.NotNil(t, head)
	}
	store.expire()
	state, _ := readWholeSnapshot(t, l, 0)
	require.Len(t, state.Jobs, 3000)

	for range 2 {
		_, _, err := l.step(t.Context())
		require.NoError(t, err)
	}
	saveSnapshotOf(t, placer, waitingJobs(t, 10), 2)
	saveSnapshotOf(t, placer, waitingJobs(t, 20), 3)
	store.expire()
	state, generation := readWholeSnapshot(t, l, 1)
	require.Len(t, state.Jobs, 20)
	require.Equal(t, int64(3), generation)
}

// Guards against a superseded placer that writes into a partition that its successor has not
// written yet: the epoch of a writer holds for one partition.
func TestANewPlacerFencesEveryPartition(t *testing.T) {
	store := &keyedStore{}
	first := newSaver(t, store)
	second := &snapshotWriter{store: store, fence: cluster.Fence{Producer: "placer", Epoch: 20}}
	_, err := second.takeOver(t.Context())
	require.NoError(t, err)
	for part := range snapshotPartitions {
		_, err := first.append(t.Context(), part, []cluster.Entry{{Key: chunkKey(0), Value: []byte("late")}})
		require.True(t, fault.Is(err, fault.Conflict), "partition %d", part)
	}
}

// newStateWithEndedJobs is a state in which a third of the jobs has not ended, half of those run, and the
// others have been over for a minute.
func newStateWithEndedJobs(b *testing.B, jobs int) *flow.State {
	s := waitingJobs(b, jobs)
	apply := func(r flow.Record) { require.NoError(b, s.Apply(&r, 0)) }
	apply(flow.Record{Claim: &flow.Claim{Daemon: "a", Epoch: 9}})
	for i := range jobs {
		id := fmt.Sprintf("%016x", i)
		begin := flow.Begin{RunID: cluster.RunID{TaskID: cluster.TaskID{Job: id}, Run: 1}, Life: cluster.Life{Worker: "i-0123", Born: 1764849600000}}
		switch i % 6 {
		case 0:
		case 1:
			apply(flow.Record{Batch: &flow.Batch{Epoch: 9, Begins: []flow.Begin{begin}, StartedJobs: []string{id}}})
		default:
			apply(flow.Record{Cancel: &flow.Cancel{ID: id}})
		}
	}
	for i := range 37 {
		apply(flow.Record{Hello: &flow.Hello{Daemon: fmt.Sprint("frontend-", i), Address: fmt.Sprintf("10.1.0.%d:7720", i), StartedMS: 1764849600000, DataCentre: "obihiro", CapacityFactor: 1.2, LogLatencyMS: 7}})
	}
	return s
}

// BenchmarkReadBack tells the bytes that a daemon reads of a store that holds two generations,
// and how long two links take for them; the time of an operation is that of decoding.
func BenchmarkReadBack(b *testing.B) {
	const thick = 200 * bytesPerMbit
	for _, jobs := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint("jobs=", jobs), func(b *testing.B) {
			store := &meteredStore{}
			placer, s := newSaver(b, store), newStateWithEndedJobs(b, jobs)
			for generation := range int64(2) {
				saveSnapshotOf(b, placer, s, generation+1)
			}
			for b.Loop() {
				store.calls, store.bytes = 0, 0
				require.Len(b, readSnapshot(b, store).Jobs, jobs)
			}
			b.ReportMetric(float64(store.bytes), "wire-bytes")
			b.ReportMetric(float64(store.calls), "calls")
			b.ReportMetric(float64(store.bytes)/slowLinkBytesPerSecond, "s/10Mbit")
			b.ReportMetric(float64(store.bytes)/thick, "s/200Mbit")
		})
	}
}

func readSnapshot(b *testing.B, store Snapshots) *flow.State {
	state, _ := readWholeSnapshot(b, newTestSnapshotReader(store), 0)
	return state
}

// meteredStore counts what the store's answers carry.
type meteredStore struct {
	keyedStore
	calls, bytes int
}

func (s *meteredStore) SavedAfterKey(ctx context.Context, part int, after string) (map[string][]byte, error) {
	values, err := s.keyedStore.SavedAfterKey(ctx, part, after)
	s.calls++
	for _, v := range values {
		s.bytes += base64Length(v)
	}
	return values, err
}

func (s *meteredStore) SavedFromOffset(ctx context.Context, part int, from int64, most int) ([]cluster.Entry, bool, error) {
	entries, expired, err := s.keyedStore.SavedFromOffset(ctx, part, from, most)
	s.calls++
	for _, e := range entries {
		s.bytes += recordOverheadBytes + len(e.Key) + len(e.Value)
	}
	return entries, expired, err
}

// headOnlyPlatform is a platform that gives no chunk of the snapshot.
type headOnlyPlatform struct {
	fakePlatform
	*keyedStore
}

func (p headOnlyPlatform) Save(ctx context.Context, part int, entries []cluster.Entry, fence *cluster.Fence) (int64, error) {
	return p.keyedStore.Save(ctx, part, entries, fence)
}

func (p headOnlyPlatform) SavedAfterKey(ctx context.Context, part int, after string) (map[string][]byte, error) {
	if part != headPartition {
		return nil, errNoAnswer
	}
	return p.keyedStore.SavedAfterKey(ctx, part, after)
}

// Read says that the log has records, and gives none.
func (p headOnlyPlatform) Read(_ context.Context, _ int, from int64, _ time.Duration) (cluster.LogPage, error) {
	return cluster.LogPage{Next: from, End: 5}, nil
}

func (p headOnlyPlatform) SavedFromOffset(context.Context, int, int64, int) ([]cluster.Entry, bool, error) {
	return nil, false, errNoAnswer
}

// Guards against a daemon that knows no other one until it has read the whole state, and
// against one that takes the head for knowledge of the jobs.
func TestSnapshotHeadGivesMembersOnly(t *testing.T) {
	store, s := &keyedStore{}, waitingJobs(t, 5)
	s.Members["b"] = flow.Member{Hello: flow.Hello{Daemon: "b", Address: "b:1"}}
	s.Claim = flow.Claim{Daemon: "b", Address: "b:1", Epoch: 4}
	saveSnapshotOf(t, newSaver(t, store), s, 1)
	p := headOnlyPlatform{fakePlatform{platform.New(platform.Addresses{}, NewDialer(time.Second, time.Second)), &fakeStore{}}, store}
	e := newEngine(&Settings{Name: "a", Bounds: BoundSettings{MaxLeaseMS: 6000, StatusS: 120, FailoverMS: 3000, KeepS: 300}}, p, event.Discard())
	e.setConfig(&cluster.Configuration{Version: 3, Queues: []cluster.Queue{{Name: "q", Host: "h", PathPrefix: "/p/", MaxAttempts: 2}}})
	go e.run(t.Context())
	follower := &logReader{log: e.store, snapshots: p, reads: e.store.reads, pages: e.pages, wake: e.wakeRead, timing: e.readTiming, appliedOffset: e.appliedOffset.Load}
	go follower.run(t.Context())

	require.Eventually(t, func() bool { return len(*e.store.members.Load()) > 0 }, time.Second, time.Millisecond, "the members are not known")
	require.Equal(t, []string{"b:1"}, *e.store.members.Load())
	require.Equal(t, "b:1", *e.writer.placerAddress.Load())
	c := &callerAPI{engine: e, ctx: t.Context()}
	for _, path := range []string{"/p/", fmt.Sprintf("/p/%016x", 1)} {
		require.Equal(t, http.StatusServiceUnavailable, c.request(http.MethodGet, path, "").Code, path)
	}
	c.onEngine(func(e *engine) {
		require.Zero(t, e.state.NextOffset)
		require.Zero(t, e.readToEndAt)
		require.Empty(t, e.state.Jobs)
	})
	require.False(t, e.isReady.Load())
}
