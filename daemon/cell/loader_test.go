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

// unreliableLinkStore is a store behind a slow link on which some calls fail halfway.
type unreliableLinkStore struct {
	keyedStore
	bytesPerSecond float64
	failEvery      int // one call out of this many fails halfway; 0 lets none fail

	link         sync.Mutex
	calls        atomic.Int64
	carriedBytes atomic.Int64
}

func (s *unreliableLinkStore) transfer(ctx context.Context, bytes int) error {
	s.link.Lock()
	defer s.link.Unlock()
	fails := s.failEvery > 0 && int(s.calls.Add(1))%s.failEvery == 0
	if fails {
		bytes /= 2
	}
	s.carriedBytes.Add(int64(bytes))
	select {
	case <-time.After(time.Duration(float64(bytes) / s.bytesPerSecond * float64(time.Second))):
	case <-ctx.Done():
		return errNoAnswer
	}
	if fails {
		return errNoAnswer
	}
	return nil
}

func (s *unreliableLinkStore) SavedAfterKey(ctx context.Context, partition int, after string) (map[string][]byte, error) {
	values, err := s.keyedStore.SavedAfterKey(ctx, partition, after)
	bytes := 0
	for _, v := range values {
		bytes += base64Length(v)
	}
	if transferErr := s.transfer(ctx, bytes); transferErr != nil {
		return nil, transferErr
	}
	return values, err
}

func (s *unreliableLinkStore) SavedFromOffset(ctx context.Context, partition int, from int64, maxBytes int) ([]cluster.Entry, bool, error) {
	entries, expired, err := s.keyedStore.SavedFromOffset(ctx, partition, from, maxBytes)
	bytes := 0
	for _, e := range entries {
		bytes += len(e.Value)
	}
	if transferErr := s.transfer(ctx, bytes); transferErr != nil {
		return nil, false, transferErr
	}
	return entries, expired, err
}

// newStateWithWaitingJobs returns a state with unfinished jobs of a typical size.
func newStateWithWaitingJobs(t testing.TB, jobs int) *flow.State {
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

// saveSnapshotOf writes a snapshot of a state with the given generation and returns the total size
// of its chunks.
func saveSnapshotOf(t testing.TB, writer *snapshotWriter, state *flow.State, generation int64) int {
	head, chunks, err := state.Snapshot(generation, time.Minute)
	require.NoError(t, err)
	require.NoError(t, writer.save(t.Context(), &head, chunks))
	bytes := 0
	for _, chunk := range chunks {
		bytes += len(chunk)
	}
	return bytes
}

func newTestSnapshotWriter(t testing.TB, store Snapshots) *snapshotWriter {
	writer := &snapshotWriter{store: store, fence: cluster.Fence{Producer: "placer", Epoch: 10}}
	_, err := writer.takeOver(t.Context())
	require.NoError(t, err)
	return writer
}

// Guards against a daemon on a slow link that restarts reading the snapshot after each failed or
// slow call. With a time limit for the whole snapshot, one that takes longer would never be read.
// The link here has 200 kB/s and fails every third call, and the snapshot has 1700 jobs.
func TestSnapshotReadResumesAfterFailedCall(t *testing.T) {
	const (
		jobs              = 1700
		bytesPerSecond    = 200e3
		saveInterval      = 700 * time.Millisecond
		maxDuration       = 12 * time.Second
		maxTransferFactor = 1.5 // bytes transferred, including those of failed calls, relative to the snapshot's size
	)
	store := &unreliableLinkStore{bytesPerSecond: bytesPerSecond, failEvery: 3}
	writer, s := newTestSnapshotWriter(t, &store.keyedStore), newStateWithWaitingJobs(t, jobs)
	bytes := 0
	for generation := range int64(2) {
		bytes = saveSnapshotOf(t, writer, s, generation+1)
	}
	pages := make(chan page)
	reader := &logReader{
		log: &fakeStore{}, snapshots: store, reads: newStoreClient(&fakeStore{}, newPeerClients()).reads, pages: pages, wake: make(chan struct{}),
		timing: func() (interval, wait time.Duration) { return time.Millisecond, 0 }, appliedOffset: func() int64 { return 0 }, incomplete: func() bool { return false },
	}
	go reader.run(t.Context())
	restored, newestGeneration, start := make(chan struct{}), make(chan int64, 1), time.Now()
	go func() {
		generation := int64(2)
		defer func() { newestGeneration <- generation }()
		ticker := time.NewTicker(saveInterval)
		defer ticker.Stop()
		for {
			select {
			case <-restored:
				return
			case <-ticker.C:
				generation++
				head, chunks, err := s.Snapshot(generation, time.Minute)
				if !assert.NoError(t, err) || !assert.NoError(t, writer.save(t.Context(), &head, chunks)) {
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
		require.Less(t, time.Since(start), maxDuration, "%d calls, %d bytes of a snapshot of %d", store.calls.Load(), store.carriedBytes.Load(), bytes)
	}
	duration := time.Since(start)
	close(restored)
	generation := <-newestGeneration
	require.Greater(t, generation, int64(2), "no newer generation was written during the read")
	t.Logf("read in %v and %d calls, %d bytes of a snapshot of %d, newest generation %d", duration, store.calls.Load(), store.carriedBytes.Load(), bytes, generation)
	require.Less(t, float64(store.carriedBytes.Load()), maxTransferFactor*float64(bytes))
}

// Guards against a fixed timeout on a link that needs longer for each response, so that no call
// would ever succeed.
func TestCallsOnASlowLinkGetMoreTime(t *testing.T) {
	const firstTimeout = 20 * time.Millisecond
	store := &unreliableLinkStore{bytesPerSecond: 2e6} // a response of maxChunkCallBytes takes 98 ms
	saveSnapshotOf(t, newTestSnapshotWriter(t, &store.keyedStore), newStateWithWaitingJobs(t, 1500), 1)
	reader := newTestSnapshotReader(store)
	reader.timeout = firstTimeout
	state, _ := readWholeSnapshot(t, reader, 4)
	require.Len(t, state.Jobs, 1500)
	require.LessOrEqual(t, reader.timeout, 16*firstTimeout)
}

// Guards against a well-formed chunk of the right generation that is not the one that the placer
// wrote. A daemon that accepted such a chunk answered 410 for jobs that it lacked.
func TestChunkOfAnotherSnapshotIsRejected(t *testing.T) {
	for _, expired := range []bool{false, true} {
		store := &keyedStore{}
		writer := newTestSnapshotWriter(t, store)
		saveSnapshotOf(t, writer, newStateWithWaitingJobs(t, 900), 1)
		_, otherChunks, err := newStateWithWaitingJobs(t, 3).Snapshot(1, time.Minute)
		require.NoError(t, err)
		partition := &store.partitions[chunkPartition(1)]
		if expired {
			store.expire()
		} else {
			partition.records[2].Value = otherChunks[0] // records 0 and 1 are the writer's epoch and the first chunk
		}
		partition.newest[chunkKey(1)] = otherChunks[0]

		reader := newTestSnapshotReader(store)
		for start := time.Now(); reader.damagedReads < maxDamagedReads; {
			require.Less(t, time.Since(start), 5*time.Second, "the reader still requests the chunk after 5 s")
			_, state, err := reader.readNext(t.Context())
			require.Nil(t, state)
			if err != nil {
				require.True(t, fault.Is(err, fault.Invalid), "%v", err)
			}
		}
		saveSnapshotOf(t, writer, newStateWithWaitingJobs(t, 900), 2)
		state, generation := readWholeSnapshot(t, reader, 0)
		require.Len(t, state.Jobs, 900)
		require.Equal(t, int64(2), generation)
	}
}

// Guards against a snapshot that is abandoned because a chunk can't be read at its offset, although
// it can be read by its key.
func TestADamagedRecordIsReadByItsKey(t *testing.T) {
	store := &keyedStore{}
	saveSnapshotOf(t, newTestSnapshotWriter(t, store), newStateWithWaitingJobs(t, 900), 1)
	store.partitions[chunkPartition(1)].records[2].Value = []byte("damaged")
	state, _ := readWholeSnapshot(t, newTestSnapshotReader(store), 1)
	require.Len(t, state.Jobs, 900)
}

// Guards against a snapshot that becomes unreadable when its records expire, and against one that
// mixes two generations because it is overwritten while it is read.
func TestASnapshotIsReadableAfterItsRecordsExpired(t *testing.T) {
	store := &keyedStore{}
	writer, s := newTestSnapshotWriter(t, store), newStateWithWaitingJobs(t, 3000)
	saveSnapshotOf(t, writer, s, 1)
	reader := newTestSnapshotReader(store)
	for range 2 { // reads the head and the first chunks
		head, _, err := reader.readNext(t.Context())
		require.NoError(t, err)
		require.NotNil(t, head)
	}
	store.expire()
	state, _ := readWholeSnapshot(t, reader, 0)
	require.Len(t, state.Jobs, 3000)

	for range 2 {
		_, _, err := reader.readNext(t.Context())
		require.NoError(t, err)
	}
	saveSnapshotOf(t, writer, newStateWithWaitingJobs(t, 10), 2)
	saveSnapshotOf(t, writer, newStateWithWaitingJobs(t, 20), 3)
	store.expire()
	state, generation := readWholeSnapshot(t, reader, 1)
	require.Len(t, state.Jobs, 20)
	require.Equal(t, int64(3), generation)
}

// Guards against a superseded placer that writes to a partition to which its successor has not yet
// written: the store checks a writer's epoch per partition.
func TestANewPlacerFencesEveryPartition(t *testing.T) {
	store := &keyedStore{}
	formerWriter := newTestSnapshotWriter(t, store)
	newWriter := &snapshotWriter{store: store, fence: cluster.Fence{Producer: "placer", Epoch: 20}}
	_, err := newWriter.takeOver(t.Context())
	require.NoError(t, err)
	for partition := range snapshotPartitions {
		_, err := formerWriter.append(t.Context(), partition, []cluster.Entry{{Key: chunkKey(0), Value: []byte("late")}})
		require.True(t, fault.Is(err, fault.Conflict), "partition %d", partition)
	}
}

// newStateWithEndedJobs returns a state in which a third of the jobs has not ended. Half of these
// run. The other two thirds were cancelled one minute before the snapshot.
func newStateWithEndedJobs(b *testing.B, jobs int) *flow.State {
	s := newStateWithWaitingJobs(b, jobs)
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

// BenchmarkSnapshotRead reports how many bytes a daemon reads from a store with two generations, and
// how long links of 10 and 200 Mbit/s take to carry them. The time per operation is that of decoding.
func BenchmarkSnapshotRead(b *testing.B) {
	const fastLinkBytesPerSecond = 200 * bytesPerMbit
	for _, jobs := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint("jobs=", jobs), func(b *testing.B) {
			store := &meteredStore{}
			writer, s := newTestSnapshotWriter(b, store), newStateWithEndedJobs(b, jobs)
			for generation := range int64(2) {
				saveSnapshotOf(b, writer, s, generation+1)
			}
			for b.Loop() {
				store.calls, store.bytes = 0, 0
				require.Len(b, readSnapshot(b, store).Jobs, jobs)
			}
			b.ReportMetric(float64(store.bytes), "wire-bytes")
			b.ReportMetric(float64(store.calls), "calls")
			b.ReportMetric(float64(store.bytes)/slowLinkBytesPerSecond, "s/10Mbit")
			b.ReportMetric(float64(store.bytes)/fastLinkBytesPerSecond, "s/200Mbit")
		})
	}
}

func readSnapshot(b *testing.B, store Snapshots) *flow.State {
	state, _ := readWholeSnapshot(b, newTestSnapshotReader(store), 0)
	return state
}

// meteredStore counts the reads of a store and the bytes of its responses.
type meteredStore struct {
	keyedStore
	calls, bytes int
}

func (s *meteredStore) SavedAfterKey(ctx context.Context, partition int, after string) (map[string][]byte, error) {
	values, err := s.keyedStore.SavedAfterKey(ctx, partition, after)
	s.calls++
	for _, v := range values {
		s.bytes += base64Length(v)
	}
	return values, err
}

func (s *meteredStore) SavedFromOffset(ctx context.Context, partition int, from int64, maxBytes int) ([]cluster.Entry, bool, error) {
	entries, expired, err := s.keyedStore.SavedFromOffset(ctx, partition, from, maxBytes)
	s.calls++
	for _, e := range entries {
		s.bytes += recordOverheadBytes + len(e.Key) + len(e.Value)
	}
	return entries, expired, err
}

// headOnlyPlatform is a platform on which only the snapshot's head can be read, and none of its chunks.
type headOnlyPlatform struct {
	fakePlatform
	*keyedStore
}

func (p headOnlyPlatform) Save(ctx context.Context, partition int, entries []cluster.Entry, fence *cluster.Fence) (int64, error) {
	return p.keyedStore.Save(ctx, partition, entries, fence)
}

func (p headOnlyPlatform) SavedAfterKey(ctx context.Context, partition int, after string) (map[string][]byte, error) {
	if partition != headPartition {
		return nil, errNoAnswer
	}
	return p.keyedStore.SavedAfterKey(ctx, partition, after)
}

// Read reports that the log has records, but returns none.
func (p headOnlyPlatform) Read(_ context.Context, _ int, from int64, _ time.Duration) (cluster.LogPage, error) {
	return cluster.LogPage{Next: from, End: 5}, nil
}

func (p headOnlyPlatform) SavedFromOffset(context.Context, int, int64, int) ([]cluster.Entry, bool, error) {
	return nil, false, errNoAnswer
}

// Guards against a daemon that does not know the other daemons until it has read the whole
// snapshot, and against one that answers for jobs although it has read only the head.
func TestSnapshotHeadGivesMembersOnly(t *testing.T) {
	store, s := &keyedStore{}, newStateWithWaitingJobs(t, 5)
	s.Members["b"] = flow.Member{Hello: flow.Hello{Daemon: "b", Address: "b:1"}}
	s.Claim = flow.Claim{Daemon: "b", Address: "b:1", Epoch: 4}
	saveSnapshotOf(t, newTestSnapshotWriter(t, store), s, 1)
	headOnly := headOnlyPlatform{fakePlatform{platform.New(platform.Addresses{}, NewDialer(time.Second, time.Second)), &fakeStore{}}, store}
	e := newEngine(&Settings{Name: "a", Bounds: BoundSettings{MaxLeaseMS: 6000, StatusS: 120, FailoverMS: 3000, KeepS: 300}}, headOnly, event.Discard())
	e.setConfig(&cluster.Configuration{Version: 3, Queues: []cluster.Queue{{Name: "q", Host: "h", PathPrefix: "/p/", MaxAttempts: 2}}})
	go e.run(t.Context())
	reader := &logReader{log: e.store, snapshots: headOnly, reads: e.store.reads, pages: e.pages, wake: e.wakeRead, timing: e.readTiming, appliedOffset: e.appliedOffset.Load, incomplete: e.isIncomplete.Load}
	go reader.run(t.Context())

	require.Eventually(t, func() bool { return len(*e.store.memberAddresses.Load()) > 0 }, time.Second, time.Millisecond, "the members were not published within 1 s")
	api := &callerAPI{engine: e, ctx: t.Context()}
	var members []string
	placerAddress := ""
	api.onEngine(func(e *engine) {
		members, placerAddress = *e.store.memberAddresses.Load(), *e.writer.placerAddress.Load()
	})
	require.Equal(t, []string{"b:1"}, members)
	require.Equal(t, "b:1", placerAddress)
	for _, path := range []string{"/p/", fmt.Sprintf("/p/%016x", 1)} {
		require.Equal(t, http.StatusServiceUnavailable, api.request(http.MethodGet, path, "").Code, path)
	}
	api.onEngine(func(e *engine) {
		require.Zero(t, e.state.NextOffset)
		require.Zero(t, e.readToEndAt)
		require.Empty(t, e.state.Jobs)
	})
	require.False(t, e.isReady.Load())
}
