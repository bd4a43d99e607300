package cell

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"briarproxy/core/cluster"
	"briarproxy/core/fault"
	"briarproxy/core/flow"
	"briarproxy/daemon/bootclock"
)

// Times and limits of snapshots.
const (
	snapshotShare   = 0.2 // of the time for which the log keeps records, between two snapshots
	snapshotRecords = 20_000
	snapshotTimeout = 5 * time.Second
	saveBytes       = 1 << 20 // of one append, below the limit of a call
	headKey         = "head"
)

// chunkKey names a chunk. Two generations take turns, so that a snapshot stays whole
// until the next one is.
func chunkKey(generation int64, chunk int) string { return fmt.Sprintf("g%d-%d", generation%2, chunk) }

// saveSnapshot has the placer save what the log says, often enough that no record that is
// needed expires.
func (e *engine) saveSnapshot(ctx context.Context, now time.Duration) {
	every := time.Duration(snapshotShare * e.settings.Bounds.KeepS * float64(time.Second))
	due := now-e.savedAt > every || e.state.Next-e.savedNext > snapshotRecords
	if e.saving || !due || e.state.Next == e.savedNext {
		return
	}
	generation := e.savedGeneration + 1
	head, chunks, err := e.state.Snapshot(generation, now)
	e.savedAt = now
	if err != nil {
		e.log.Emit(evSnapshotBad, "reason", err.Error(), "offset", e.state.Next)
		return
	}
	e.saving = true
	saver, p := e.saver, e.placer
	go func() {
		bounded, cancel := context.WithTimeout(ctx, snapshotTimeout)
		defer cancel()
		err := saver.save(bounded, &head, chunks)
		e.do(ctx, func(e *engine) {
			if e.placer != p {
				return
			}
			e.saving = false
			if err != nil {
				e.log.Emit(evSnapshotBad, "reason", err.Error(), "offset", head.Next)
				return
			}
			e.savedNext, e.savedGeneration = head.Next, generation
			e.log.Emit(evSnapshot, "offset", head.Next, "jobs", len(e.state.Jobs), "chunks", head.Chunks, "took_ms", (bootclock.Now() - now).Milliseconds())
		})
	}()
}

// saver writes snapshots under the placer's epoch, so that a superseded placer can't.
type saver struct {
	store Snapshots
	fence cluster.Fence
}

func (s *saver) save(ctx context.Context, head *flow.SnapshotHead, chunks [][]byte) error {
	var entries []cluster.Entry
	size := 0
	for i, chunk := range chunks {
		if size > 0 && size+len(chunk) > saveBytes {
			if err := s.put(ctx, entries); err != nil {
				return err
			}
			entries, size = nil, 0
		}
		entries = append(entries, cluster.Entry{Key: chunkKey(head.Generation, i), Value: chunk})
		size += len(chunk)
	}
	if err := s.put(ctx, entries); err != nil {
		return err
	}
	data, err := json.Marshal(head)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "report this as a bug", "the head of a snapshot can't be encoded")
	}
	return s.put(ctx, []cluster.Entry{{Key: headKey, Value: data}})
}

// put appends entries until there is an answer; a repeat has no further effect.
func (s *saver) put(ctx context.Context, entries []cluster.Entry) error {
	fence := s.fence
	s.fence.Sequence++
	for {
		bounded, cancel := context.WithTimeout(ctx, appendTimeout)
		err := s.store.Save(bounded, partition, entries, &fence)
		cancel()
		if err == nil || fault.Is(err, fault.Conflict) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(appendRetry):
		}
	}
}

// loadSnapshot returns the newest snapshot; nil if there is none.
func loadSnapshot(ctx context.Context, store Snapshots) (*flow.State, int64, error) {
	saved, err := store.Saved(ctx, partition)
	if err != nil {
		return nil, 0, err
	}
	if saved[headKey] == nil {
		return nil, 0, nil
	}
	var head flow.SnapshotHead
	if err := json.Unmarshal(saved[headKey], &head); err != nil {
		return nil, 0, fault.Wrap(err, fault.Invalid, "remove the foreign head of the snapshot", "the head of the snapshot can't be read")
	}
	if head.Chunks < 0 || head.Chunks >= len(saved) {
		return nil, 0, fault.New(fault.Invalid, "read the snapshot again", "the snapshot should have %d chunks and has %d entries", head.Chunks, len(saved))
	}
	var chunks [][]byte
	for i := range head.Chunks {
		if chunk := saved[chunkKey(head.Generation, i)]; chunk != nil {
			chunks = append(chunks, chunk)
		}
	}
	state, err := flow.Restore(head, chunks, bootclock.Now())
	return state, head.Generation, err
}
