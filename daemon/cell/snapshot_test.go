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

// Sizes of answers of the store.
const (
	maxListBytes        = 1 << 20 // of newest entries, in base64, at most
	recordOverheadBytes = 4 + 1   // of a record beside its key and value
)

// keyedStore keeps the newest entry of each key of a partition, and the records before it until
// they expire. Each partition refuses a superseded writer.
type keyedStore struct {
	mu      sync.Mutex
	parts   [snapshotPartitions]keyedPart
	respond func(part int) (stored, answered bool) // nil: all is stored and answered
}

type keyedPart struct {
	epoch, sequence int64
	last            int64 // offset of the last append
	first           int   // older records have expired
	records         []cluster.Entry
	newest          map[string][]byte
}

func (s *keyedStore) Save(_ context.Context, part int, entries []cluster.Entry, fence *cluster.Fence) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &s.parts[part]
	stored, answered := true, true
	if s.respond != nil {
		stored, answered = s.respond(part)
	}
	if !stored {
		return 0, errNoAnswer
	}
	if fence.Epoch < p.epoch || fence.Epoch == p.epoch && fence.Sequence != p.sequence && fence.Sequence != p.sequence+1 {
		return 0, errConflict
	}
	if fence.Epoch > p.epoch || fence.Sequence != p.sequence {
		p.last = s.write(part, entries)
	}
	p.epoch, p.sequence = fence.Epoch, fence.Sequence
	if !answered {
		return 0, errNoAnswer
	}
	return p.last, nil
}

// write writes entries of any writer.
func (s *keyedStore) write(part int, entries []cluster.Entry) int64 {
	p := &s.parts[part]
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

// expire drops all records; the newest of each key stay.
func (s *keyedStore) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.parts {
		s.parts[i].first = len(s.parts[i].records)
	}
}

func (s *keyedStore) SavedAfterKey(_ context.Context, part int, after string) (map[string][]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	values, size := map[string][]byte{}, 0
	for _, key := range slices.Sorted(maps.Keys(s.parts[part].newest)) {
		value := s.parts[part].newest[key]
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

func (s *keyedStore) SavedFromOffset(_ context.Context, part int, from int64, most int) (entries []cluster.Entry, expired bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &s.parts[part]
	if from < int64(p.first) {
		return nil, true, nil
	}
	size := 0
	for i := from; i < int64(len(p.records)); i++ {
		if size += recordOverheadBytes + len(p.records[i].Key) + len(p.records[i].Value); size > most && i > from {
			break
		}
		entries = append(entries, p.records[i])
	}
	return entries, false, nil
}

func base64Length(value []byte) int { return base64.StdEncoding.EncodedLen(len(value)) }

// readWholeSnapshot reads the newest snapshot, with the given number of failed calls at most. It returns nil
// if there is none.
func readWholeSnapshot(t testing.TB, l *snapshotReader, failures int) (*flow.State, int64) {
	const most = 1000
	for range most {
		head, state, err := l.step(t.Context())
		if err != nil {
			failures--
			require.GreaterOrEqual(t, failures, 0, "%v", err)
		} else if head == nil {
			return state, l.generation
		}
	}
	require.Fail(t, "the snapshot is never read")
	return nil, 0
}

func newTestSnapshotReader(store Snapshots) *snapshotReader {
	return newSnapshotReader(store, newRelay(&fakeStore{}, newPeerClients()).reads)
}

// newTestSnapshot is a state with some jobs, as a snapshot of the given generation.
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
// former one that writes its head over the chunks of the new one: each left a daemon that
// started then with jobs missing.
func TestANewPlacerKeepsTheNewestSnapshotWhole(t *testing.T) {
	store := &keyedStore{}
	first := &snapshotWriter{store: store, fence: cluster.Fence{Producer: "placer", Epoch: 10}}
	generation, err := first.takeOver(t.Context())
	require.NoError(t, err)
	for range 3 {
		generation++
		head, chunks := newTestSnapshot(t, 4, generation)
		require.NoError(t, first.save(t.Context(), head, chunks))
	}
	second := &snapshotWriter{store: store, fence: cluster.Fence{Producer: "placer", Epoch: 20}}
	newest, err := second.takeOver(t.Context())
	require.NoError(t, err)
	require.Equal(t, generation, newest)

	head, chunks := newTestSnapshot(t, 9, newest+1)
	var entries []cluster.Entry
	for i, chunk := range chunks {
		entries = append(entries, cluster.Entry{Key: chunkKey(i), Value: chunk})
	}
	_, err = second.append(t.Context(), chunkPartition(head.Generation), entries)
	require.NoError(t, err) // its head is not written yet
	for _, next := range []int64{generation, generation + 1} {
		late, lateChunks := newTestSnapshot(t, 5, next)
		require.True(t, fault.Is(first.save(t.Context(), late, lateChunks), fault.Conflict), "chunks of generation %d", next)
	}
	_, err = first.append(t.Context(), headPartition, []cluster.Entry{{Key: headKey, Value: []byte("{")}})
	require.True(t, fault.Is(err, fault.Conflict), "a head")
	state, loaded := readWholeSnapshot(t, newTestSnapshotReader(store), 0)
	require.Equal(t, generation, loaded)
	require.Len(t, state.Jobs, 4)

	require.NoError(t, second.save(t.Context(), head, chunks))
	state, _ = readWholeSnapshot(t, newTestSnapshotReader(store), 0)
	require.Len(t, state.Jobs, 9)
}

// Guards against a placer that saves no snapshot any more after an outage of the store during
// one: the next append of that partition was refused for its sequence number, until records
// expired that no snapshot had. And against one that overwrites a snapshot of which it did not
// learn that its head was stored.
func TestSavingGoesOnAfterAnOutage(t *testing.T) {
	for _, part := range []int{headPartition, 2} {
		for _, stored := range []bool{false, true} {
			t.Run(fmt.Sprint("partition ", part, " stored ", stored), func(t *testing.T) {
				t.Parallel()
				store := &keyedStore{}
				e := newEngine(&Settings{Name: "a", Bounds: BoundSettings{KeepS: 300}}, headOnlyPlatform{keyedStore: store}, event.Discard())
				e.snapshotWriter = &snapshotWriter{store: store, fence: cluster.Fence{Producer: "placer", Epoch: 10}}
				e.claiming = true // this daemon does not claim
				go e.run(t.Context())
				last := int64(0)
				saves := func(next int64) {
					generation := int64(0)
					require.Eventually(t, func() bool {
						e.do(t.Context(), func(e *engine) {
							e.state.NextOffset = next
							e.savedAt = min(e.savedAt, -time.Hour)
							e.saveSnapshot(t.Context(), bootclock.Now())
						})
						head, _, _ := newTestSnapshotReader(store).step(t.Context())
						if head == nil || head.Next != next {
							return false
						}
						generation = head.Generation
						return true
					}, 5*snapshotTimeout, 20*time.Millisecond, "offset %d is never saved", next)
					require.Greater(t, generation, last, "the newest snapshot was overwritten in place")
					last = generation
				}
				saves(7)
				outage := bootclock.Now() + snapshotTimeout + time.Second
				store.mu.Lock()
				store.respond = func(at int) (bool, bool) {
					if at != part || bootclock.Now() > outage {
						return true, true
					}
					return stored, false
				}
				store.mu.Unlock()
				saves(8)
				saves(9)
			})
		}
	}
}

// Guards against a daemon that asks for a damaged snapshot for ever while the log still has
// all its records.
func TestADamagedSnapshotIsSkipped(t *testing.T) {
	store := &keyedStore{}
	_, err := store.Save(t.Context(), headPartition, []cluster.Entry{{Key: headKey, Value: []byte("{")}}, &cluster.Fence{Epoch: 1})
	require.NoError(t, err)
	pages := make(chan page)
	follower := &logReader{
		log: &fakeStore{}, snapshots: store, reads: newRelay(&fakeStore{}, newPeerClients()).reads, pages: pages, wake: make(chan struct{}),
		timing: func() (gap, wait time.Duration) { return time.Millisecond, 0 }, appliedOffset: func() int64 { return 0 },
	}
	go follower.run(t.Context())
	for deadline := time.After(5 * time.Second); ; {
		select {
		case p := <-pages:
			if p.err == nil {
				return
			}
		case <-deadline:
			require.Fail(t, "the log is never read")
		}
	}
}

// slowUplinkStore is a store behind a link that carries a few bytes a second; an append that is ended on the way is lost.
type slowUplinkStore struct {
	keyedStore
	rate float64 // bytes a second
}

func (s *slowUplinkStore) Save(ctx context.Context, part int, entries []cluster.Entry, fence *cluster.Fence) (int64, error) {
	bytes := 0
	for _, e := range entries {
		bytes += len(e.Value)
	}
	select {
	case <-time.After(time.Duration(float64(bytes) / s.rate * float64(time.Second))):
		return s.keyedStore.Save(ctx, part, entries, fence)
	case <-ctx.Done():
		return 0, errNoAnswer
	}
}

// Guards against a placer on a slow link that never saves a snapshot, as each append needs longer than its time limit, and fills its link in trying (small twin of dosui-sched-grown, quiet-1).
func TestAPlacerOnASlowLinkSavesItsSnapshot(t *testing.T) {
	const thinMbps = 2
	store := &slowUplinkStore{rate: thinMbps * bytesPerMbit}
	s := &snapshotWriter{store: store, fence: cluster.Fence{Producer: "placer", Epoch: 10}, linkBytesPerSecond: store.rate}
	_, err := s.takeOver(t.Context())
	require.NoError(t, err)
	var chunks [][]byte
	for range 13 {
		chunks = append(chunks, make([]byte, 60<<10))
	}
	head := &flow.SnapshotHead{Generation: 1, Parts: make([]flow.SnapshotPart, len(chunks))}
	bounded, cancel := context.WithTimeout(t.Context(), s.timeout(chunks))
	defer cancel()
	began := time.Now()
	require.NoError(t, s.save(bounded, head, chunks))
	least := float64(len(chunks)*len(chunks[0])) / (saveLinkShare * store.rate)
	require.Greater(t, time.Since(began).Seconds(), 0.9*least, "the placer's orders need the rest of the link")
}
