package cell

import (
	"context"
	"encoding/base64"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/cluster"
	"briarproxy/core/fault"
	"briarproxy/core/flow"
	"briarproxy/daemon/bootclock"
	"briarproxy/daemon/event"
)

// Sizes of the store's responses.
const (
	maxListBytes        = 1 << 20 // limit of a response with newest entries, in base64
	recordOverheadBytes = 4 + 1   // size of a record without its key and value
)

// keyedStore keeps the newest entry of each key of a partition, and all records until they expire.
// Each partition rejects superseded writers.
type keyedStore struct {
	mu         sync.Mutex
	partitions [snapshotPartitions]keyedPartition
	respond    func(partition int) (stored, answered bool) // if nil, every append is stored and answered
}

type keyedPartition struct {
	epoch, sequence int64
	lastOffset      int64 // offset of the last append
	firstUnexpired  int   // index of the oldest record that has not expired
	records         []cluster.Entry
	newest          map[string][]byte
}

func (s *keyedStore) Save(_ context.Context, partition int, entries []cluster.Entry, fence *cluster.Fence) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &s.partitions[partition]
	stored, answered := true, true
	if s.respond != nil {
		stored, answered = s.respond(partition)
	}
	if !stored {
		return 0, errNoAnswer
	}
	if fence.Epoch < p.epoch || fence.Epoch == p.epoch && fence.Sequence != p.sequence && fence.Sequence != p.sequence+1 {
		return 0, errConflict
	}
	if fence.Epoch > p.epoch || fence.Sequence != p.sequence {
		p.lastOffset = s.write(partition, entries)
	}
	p.epoch, p.sequence = fence.Epoch, fence.Sequence
	if !answered {
		return 0, errNoAnswer
	}
	return p.lastOffset, nil
}

// write appends entries without checking the writer's fence.
func (s *keyedStore) write(partition int, entries []cluster.Entry) int64 {
	p := &s.partitions[partition]
	offset := int64(len(p.records))
	p.records = append(p.records, entries...)
	if p.newest == nil {
		p.newest = map[string][]byte{}
	}
	for _, e := range entries {
		p.newest[e.Key] = e.Value
	}
	return offset
}

// expire drops all records but keeps the newest entry of each key.
func (s *keyedStore) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.partitions {
		s.partitions[i].firstUnexpired = len(s.partitions[i].records)
	}
}

func (s *keyedStore) SavedAfterKey(_ context.Context, partition int, after string) (map[string][]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	values, size := map[string][]byte{}, 0
	for _, key := range slices.Sorted(maps.Keys(s.partitions[partition].newest)) {
		value := s.partitions[partition].newest[key]
		if key <= after {
			continue
		}
		if size += base64Length(value); size > maxListBytes && len(values) > 0 {
			break
		}
		values[key] = value
	}
	return values, nil
}

func (s *keyedStore) SavedFromOffset(_ context.Context, partition int, from int64, maxBytes int) (entries []cluster.Entry, expired bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &s.partitions[partition]
	if from < int64(p.firstUnexpired) {
		return nil, true, nil
	}
	size := 0
	for i := from; i < int64(len(p.records)); i++ {
		if size += recordOverheadBytes + len(p.records[i].Key) + len(p.records[i].Value); size > maxBytes && i > from {
			break
		}
		entries = append(entries, p.records[i])
	}
	return entries, false, nil
}

func base64Length(value []byte) int { return base64.StdEncoding.EncodedLen(len(value)) }

// readWholeSnapshot reads the newest snapshot and tolerates the given number of failed calls. It
// returns nil if there is no snapshot.
func readWholeSnapshot(t testing.TB, reader *snapshotReader, maxFailures int) (*flow.State, int64) {
	const maxCalls = 1000
	for range maxCalls {
		head, state, err := reader.readNext(t.Context())
		if err != nil {
			maxFailures--
			require.GreaterOrEqual(t, maxFailures, 0, "%v", err)
		} else if head == nil {
			return state, reader.generation
		}
	}
	require.Fail(t, "the snapshot was not read within the limit of calls")
	return nil, 0
}

func newTestSnapshotReader(store Snapshots) *snapshotReader {
	return newSnapshotReader(store, newStoreClient(&fakeStore{}, newPeerClients()).reads)
}

// newTestSnapshot returns a snapshot of the given generation of a state with the given number of jobs.
func newTestSnapshot(t *testing.T, jobs int, generation int64) (*flow.SnapshotHead, [][]byte) {
	s := flow.NewState()
	for i := range jobs {
		r := flow.Record{Submit: &flow.Submit{ID: fmt.Sprint("j", i), Queue: "q", Steps: []flow.Step{{Count: 1}}, MaxAttempts: 2}}
		require.NoError(t, s.Apply(&r, time.Second))
	}
	head, chunks, err := s.Snapshot(generation, time.Second)
	require.NoError(t, err)
	return &head, chunks
}

// Guards against a new placer that overwrites the newest snapshot in place, and against a
// superseded placer that writes its head over the new placer's chunks. In both cases a daemon
// that started at that time lacked jobs.
func TestNewPlacerKeepsNewestSnapshotIntact(t *testing.T) {
	store := &keyedStore{}
	formerWriter := &snapshotWriter{store: store, fence: cluster.Fence{Producer: "placer", Epoch: 10}}
	generation, err := formerWriter.takeOver(t.Context())
	require.NoError(t, err)
	for range 3 {
		generation++
		head, chunks := newTestSnapshot(t, 4, generation)
		require.NoError(t, formerWriter.save(t.Context(), head, chunks))
	}
	newWriter := &snapshotWriter{store: store, fence: cluster.Fence{Producer: "placer", Epoch: 20}}
	newestGeneration, err := newWriter.takeOver(t.Context())
	require.NoError(t, err)
	require.Equal(t, generation, newestGeneration)

	head, chunks := newTestSnapshot(t, 9, newestGeneration+1)
	var entries []cluster.Entry
	for i, chunk := range chunks {
		entries = append(entries, cluster.Entry{Key: chunkKey(i), Value: chunk})
	}
	_, err = newWriter.append(t.Context(), chunkPartition(head.Generation), entries)
	require.NoError(t, err) // the head of this snapshot has not been written yet
	for _, lateGeneration := range []int64{generation, generation + 1} {
		lateHead, lateChunks := newTestSnapshot(t, 5, lateGeneration)
		require.True(t, fault.Is(formerWriter.save(t.Context(), lateHead, lateChunks), fault.Conflict), "chunks of generation %d", lateGeneration)
	}
	_, err = formerWriter.append(t.Context(), headPartition, []cluster.Entry{{Key: headKey, Value: []byte("{")}})
	require.True(t, fault.Is(err, fault.Conflict), "head")
	state, loadedGeneration := readWholeSnapshot(t, newTestSnapshotReader(store), 0)
	require.Equal(t, generation, loadedGeneration)
	require.Len(t, state.Jobs, 4)

	require.NoError(t, newWriter.save(t.Context(), head, chunks))
	state, _ = readWholeSnapshot(t, newTestSnapshotReader(store), 0)
	require.Len(t, state.Jobs, 9)
}

// Guards against a placer that stops saving snapshots after a store outage interrupted one: the
// partition rejected the next append for its sequence number, until records expired that no
// snapshot covered. Also guards against a placer that overwrites a snapshot whose head was stored
// although the append got no answer.
func TestSnapshotsAreSavedAfterStoreOutage(t *testing.T) {
	for _, partition := range []int{headPartition, 2} {
		for _, stored := range []bool{false, true} {
			t.Run(fmt.Sprint("partition ", partition, " stored ", stored), func(t *testing.T) {
				t.Parallel()
				store := &keyedStore{}
				e := newEngine(&Settings{Name: "a", Bounds: BoundSettings{KeepS: 300}}, headOnlyPlatform{keyedStore: store}, event.Discard())
				e.snapshotWriter = &snapshotWriter{store: store, fence: cluster.Fence{Producer: "placer", Epoch: 10}}
				e.placingContext = t.Context()
				e.claiming = true // keeps this daemon from claiming the placer's role
				go e.run(t.Context())
				lastGeneration := int64(0)
				requireSaved := func(nextOffset int64) {
					generation := int64(0)
					require.Eventually(t, func() bool {
						e.do(t.Context(), func(e *engine) {
							e.state.NextOffset = nextOffset
							e.snapshotAsOf = 0 // a snapshot is due
							e.saveSnapshot(t.Context(), bootclock.Now())
						})
						head, _, _ := newTestSnapshotReader(store).readNext(t.Context())
						if head == nil || head.Next != nextOffset {
							return false
						}
						generation = head.Generation
						return true
					}, 5*snapshotTimeout, 20*time.Millisecond, "offset %d was not saved in time", nextOffset)
					require.Greater(t, generation, lastGeneration, "the newest snapshot was overwritten in place")
					lastGeneration = generation
				}
				requireSaved(7)
				outageEnd := bootclock.Now() + snapshotTimeout + time.Second
				store.mu.Lock()
				store.respond = func(savedPartition int) (bool, bool) {
					if savedPartition != partition || bootclock.Now() > outageEnd {
						return true, true
					}
					return stored, false
				}
				store.mu.Unlock()
				requireSaved(8)
				requireSaved(9)
			})
		}
	}
}

// Guards against a daemon that retries a damaged snapshot forever although the log still has all
// of its records.
func TestADamagedSnapshotIsSkipped(t *testing.T) {
	store := &keyedStore{}
	_, err := store.Save(t.Context(), headPartition, []cluster.Entry{{Key: headKey, Value: []byte("{")}}, &cluster.Fence{Epoch: 1})
	require.NoError(t, err)
	pages := make(chan page)
	reader := &logReader{
		log: &fakeStore{}, snapshots: store, reads: newStoreClient(&fakeStore{}, newPeerClients()).reads, pages: pages, wake: make(chan struct{}),
		timing: func() (interval, wait time.Duration) { return time.Millisecond, 0 }, appliedOffset: func() int64 { return 0 }, incomplete: func() bool { return false },
	}
	go reader.run(t.Context())
	for deadline := time.After(5 * time.Second); ; {
		select {
		case p := <-pages:
			if p.err == nil {
				return
			}
		case <-deadline:
			require.Fail(t, "the log was not read within 5 s")
		}
	}
}

// slowUplinkStore is a store behind a slow link. An append that is cancelled during its transfer is
// lost.
type slowUplinkStore struct {
	keyedStore
	bytesPerSecond float64
}

func (s *slowUplinkStore) Save(ctx context.Context, partition int, entries []cluster.Entry, fence *cluster.Fence) (int64, error) {
	bytes := 0
	for _, e := range entries {
		bytes += len(e.Value)
	}
	select {
	case <-time.After(time.Duration(float64(bytes) / s.bytesPerSecond * float64(time.Second))):
		return s.keyedStore.Save(ctx, partition, entries, fence)
	case <-ctx.Done():
		return 0, errNoAnswer
	}
}

// Guards against a placer on a slow link that never saves a snapshot because each append takes
// longer than its time limit, and whose retries saturate the link. The link here has 2 Mbit/s, and
// the snapshot has 13 chunks of 60 KiB.
func TestAPlacerOnASlowLinkSavesItsSnapshot(t *testing.T) {
	const linkMbps = 2
	store := &slowUplinkStore{bytesPerSecond: linkMbps * bytesPerMbit}
	writer := &snapshotWriter{store: store, fence: cluster.Fence{Producer: "placer", Epoch: 10}, linkBytesPerSecond: store.bytesPerSecond}
	_, err := writer.takeOver(t.Context())
	require.NoError(t, err)
	var chunks [][]byte
	for range 13 {
		chunks = append(chunks, make([]byte, 60<<10))
	}
	head := &flow.SnapshotHead{Generation: 1, Parts: make([]flow.SnapshotPart, len(chunks))}
	saveCtx, cancel := context.WithTimeout(t.Context(), writer.timeout(chunks))
	defer cancel()
	start := time.Now()
	require.NoError(t, writer.save(saveCtx, head, chunks))
	minSeconds := float64(len(chunks)*len(chunks[0])) / (snapshotWriteLinkShare * store.bytesPerSecond)
	require.Greater(t, time.Since(start).Seconds(), 0.9*minSeconds, "the placer's orders need the rest of the link")
}

// newFollower returns a daemon that has read the log to its end at the given time, under the placer "x".
func newFollower(readToEndAt time.Duration) *engine {
	e := newEngine(&Settings{Name: "a", Bounds: BoundSettings{MaxLeaseMS: 6000, KeepS: 100}}, nil, event.Discard())
	e.readToEndAt = readToEndAt
	e.state.Claim = flow.Claim{Daemon: "x", Epoch: 1}
	return e
}

// Guards against an accepted job that is lost because each takeover postpones the next snapshot: placers that were replaced sooner
// than a snapshot became due wrote none until the log had expired (review/12).
func TestTakeoversDoNotPostponeSnapshots(t *testing.T) {
	const interval = 20 * time.Second // snapshotRetentionShare of KeepS
	start := time.Hour
	for name, test := range map[string]struct {
		note        *flow.SavedSnapshot // read at start
		readToEndAt time.Duration       // before the note
		first       int64               // oldest retained offset
		takeoverAt  time.Duration
		due         bool
	}{
		"no snapshot known":           {takeoverAt: start, due: true},
		"fresh snapshot":              {note: &flow.SavedSnapshot{Next: 50}, readToEndAt: start, takeoverAt: start + interval/2},
		"old snapshot":                {note: &flow.SavedSnapshot{Next: 50}, readToEndAt: start, takeoverAt: start + interval + time.Second, due: true},
		"old when it was named":       {note: &flow.SavedSnapshot{Next: 50, AgeMS: interval.Milliseconds()}, readToEndAt: start, takeoverAt: start + time.Second, due: true},
		"named while this one froze":  {note: &flow.SavedSnapshot{Next: 50}, readToEndAt: start - time.Minute, takeoverAt: start + time.Second, due: true},
		"named before this one began": {note: &flow.SavedSnapshot{Next: 50}, takeoverAt: start + time.Second, due: true},
		"log shortened by the store":  {note: &flow.SavedSnapshot{Next: 50}, readToEndAt: start, first: 51, takeoverAt: start + time.Second, due: true},
	} {
		e := newFollower(test.readToEndAt)
		if test.note != nil {
			e.applyRecord(t.Context(), &decodedRecord{record: flow.Record{Batch: &flow.Batch{Epoch: 1, Snapshot: test.note}}}, start)
		}
		e.state.NextOffset, e.logFirst = 60, test.first
		e.claimEpoch = 2
		claim := flow.Record{Claim: &flow.Claim{Daemon: "a", Epoch: 2, StartedMS: e.startedMS}}
		ctx, cancel := context.WithCancel(t.Context())
		cancel() // the placer of this test calls nobody
		e.applyRecord(ctx, &decodedRecord{record: claim}, test.takeoverAt)
		require.NotNil(t, e.placer, name)
		require.Equal(t, test.due, e.snapshotReason(test.takeoverAt) != "", name)
	}
}

// Guards against followers that do not learn of a saved snapshot, so that each takeover writes another one.
func TestSavedSnapshotIsNamedInTheNextBatch(t *testing.T) {
	store := &keyedStore{}
	e := newEngine(&Settings{Name: "a", Bounds: BoundSettings{KeepS: 300}}, headOnlyPlatform{keyedStore: store}, event.Discard())
	e.snapshotWriter = &snapshotWriter{store: store, fence: cluster.Fence{Producer: "placer", Epoch: 10}}
	e.placingContext = t.Context()
	e.claiming, e.readToEndAt = true, bootclock.Now()
	go e.run(t.Context())
	var note *flow.SavedSnapshot
	require.Eventually(t, func() bool {
		found, _ := query(t.Context(), e, func(e *engine, reply chan<- *flow.SavedSnapshot) {
			e.state.NextOffset = 7
			e.saveSnapshot(t.Context(), bootclock.Now())
			reply <- e.takeSnapshotNote(bootclock.Now())
		})
		note = found
		return note != nil
	}, 10*time.Second, 5*time.Millisecond)
	require.EqualValues(t, 7, note.Next)
	require.Less(t, note.AgeMS, int64(10_000))
	again, _ := query(t.Context(), e, func(e *engine, reply chan<- bool) { reply <- e.takeSnapshotNote(bootclock.Now()) == nil })
	require.True(t, again)

	follower := newFollower(time.Hour)
	follower.applyRecord(t.Context(), &decodedRecord{record: flow.Record{Batch: &flow.Batch{Epoch: 1, Snapshot: note}}}, time.Hour)
	require.EqualValues(t, 7, follower.snapshotOffset)
	require.NotZero(t, follower.snapshotAsOf)
}
