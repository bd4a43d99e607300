package cell

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/cluster"
	"briarproxy/core/fault"
	"briarproxy/core/flow"
)

// keyedStore keeps the newest entry of each key and refuses a superseded writer.
type keyedStore struct {
	mu     sync.Mutex
	epoch  int64
	values map[string][]byte
}

func (s *keyedStore) Save(_ context.Context, _ int, entries []cluster.Entry, fence *cluster.Fence) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if fence.Epoch < s.epoch {
		return errFenced
	}
	s.epoch = fence.Epoch
	if s.values == nil {
		s.values = map[string][]byte{}
	}
	for _, e := range entries {
		s.values[e.Key] = e.Value
	}
	return nil
}

func (s *keyedStore) Saved(_ context.Context, _ int, after string) (map[string][]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	values := map[string][]byte{}
	for key, value := range s.values {
		if key > after {
			values[key] = value
		}
	}
	return values, nil
}

// saved is a state with some jobs, as a snapshot of the given generation.
func saved(t *testing.T, jobs int, generation int64) (*flow.SnapshotHead, [][]byte) {
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
	first := &saver{store: store, fence: cluster.Fence{Producer: "placer", Epoch: 10}}
	generation, err := first.begin(t.Context())
	require.NoError(t, err)
	for range 3 {
		generation++
		head, chunks := saved(t, 4, generation)
		require.NoError(t, first.save(t.Context(), head, chunks))
	}
	second := &saver{store: store, fence: cluster.Fence{Producer: "placer", Epoch: 20}}
	newest, err := second.begin(t.Context())
	require.NoError(t, err)
	require.Equal(t, generation, newest)

	head, chunks := saved(t, 9, newest+1)
	var entries []cluster.Entry
	for i, chunk := range chunks {
		entries = append(entries, cluster.Entry{Key: chunkKey(head.Generation, i), Value: chunk})
	}
	require.NoError(t, second.put(t.Context(), entries)) // its head is not written yet
	late, lateChunks := saved(t, 4, generation+1)
	require.True(t, fault.Is(first.save(t.Context(), late, lateChunks), fault.Conflict))
	state, loaded, _, err := loadSnapshot(t.Context(), store)
	require.NoError(t, err)
	require.Equal(t, generation, loaded)
	require.Len(t, state.Jobs, 4)

	require.NoError(t, second.save(t.Context(), head, chunks))
	state, _, _, err = loadSnapshot(t.Context(), store)
	require.NoError(t, err)
	require.Len(t, state.Jobs, 9)
}

// Guards against a daemon that asks for a damaged snapshot for ever while the log still has
// all its records.
func TestADamagedSnapshotIsPassedOver(t *testing.T) {
	store := &keyedStore{}
	require.NoError(t, store.Save(t.Context(), partition, []cluster.Entry{{Key: headKey, Value: []byte("{")}}, &cluster.Fence{Epoch: 1}))
	pages := make(chan page)
	follower := &tail{
		log: &fakeStore{}, saved: store, reads: newRelay(&fakeStore{}, newPeers()).reads, pages: pages, nudge: make(chan struct{}),
		pace: func() (gap, wait time.Duration) { return time.Millisecond, 0 }, known: func() int64 { return 0 },
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
