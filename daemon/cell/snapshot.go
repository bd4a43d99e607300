package cell

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"briarproxy/core/cluster"
	"briarproxy/core/fault"
	"briarproxy/core/flow"
	"briarproxy/daemon/bootclock"
)

// Times and limits of snapshots.
const (
	snapshotShare   = 0.2  // of the time for which the log keeps records, between two snapshots
	snapshotEntries = 8000 // a daemon with a fifth of a core and 10 Mbit/s reads as many in a second
	snapshotGap     = 5 * time.Second
	snapshotLink    = 0.05 // of the link that snapshots may take
	snapshotTimeout = 5 * time.Second
	saveBytes       = 1 << 20 // of one append, below the limit of a call
	headKey         = "head"
	writerKey       = "writer" // the epoch of the placer that saves
	beforeHead      = "h"      // in the order of keys all chunks come before it, the head after it
)

// chunkKey names a chunk. Two generations take turns, so that a snapshot stays whole
// until the next one is.
func chunkKey(generation int64, chunk int) string { return fmt.Sprintf("g%d-%d", generation%2, chunk) }

// saveSnapshot has the placer save what the log says, often enough that no record that is
// needed expires.
func (e *engine) saveSnapshot(ctx context.Context, now time.Duration) {
	every := time.Duration(snapshotShare * e.settings.Bounds.KeepS * float64(time.Second))
	due := now-e.savedAt > every || e.unsaved > snapshotEntries && now-e.savedAt > e.snapshotPause()
	if e.saving || !due || e.state.Next == e.savedNext {
		return
	}
	if !e.saver.begun {
		e.beginSaving(ctx, now)
		return
	}
	generation := e.savedGeneration + 1
	unsaved := e.unsaved
	head, chunks, err := e.state.Snapshot(generation, now)
	e.savedAt = now
	if err != nil {
		e.log.Emit(evSnapshotBad, "reason", err.Error(), "offset", e.state.Next)
		return
	}
	e.saving, e.savedBytes = true, 0
	for _, chunk := range chunks {
		e.savedBytes += len(chunk)
	}
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
			e.unsaved -= unsaved
			e.log.Emit(evSnapshot, "offset", head.Next, "jobs", len(e.state.Jobs), "chunks", head.Chunks, "bytes", e.savedBytes, "took_ms", (bootclock.Now() - now).Milliseconds())
		})
	}()
}

// snapshotPause is the time between two snapshots of which the last one had some bytes. A thin
// link of the placer is needed for its orders.
func (e *engine) snapshotPause() time.Duration {
	rate := snapshotLink * e.settings.Limits.LinkMbps * bytesPerMbit
	if rate <= 0 {
		return snapshotGap
	}
	return max(snapshotGap, time.Duration(float64(e.savedBytes)/rate*float64(time.Second)))
}

// beginSaving learns which snapshot is the newest one, so that the next does not overwrite it.
func (e *engine) beginSaving(ctx context.Context, now time.Duration) {
	e.saving, e.savedAt = true, now
	saver, p := e.saver, e.placer
	go func() {
		bounded, cancel := context.WithTimeout(ctx, snapshotTimeout)
		defer cancel()
		generation, err := saver.begin(bounded)
		e.do(ctx, func(e *engine) {
			if e.placer != p {
				return
			}
			e.saving = false
			if err != nil {
				e.log.Emit(evSnapshotBad, "reason", err.Error(), "offset", e.state.Next)
				return
			}
			saver.begun = true
			e.savedAt = 0
			e.savedGeneration = max(e.savedGeneration, generation)
		})
	}()
}

// saver writes snapshots under the placer's epoch, so that a superseded placer can't.
type saver struct {
	store Snapshots
	fence cluster.Fence
	begun bool // the newest snapshot is known, and no earlier placer can write another
}

// begin ends the writing of earlier placers and returns the generation of the newest snapshot.
func (s *saver) begin(ctx context.Context) (int64, error) {
	if err := s.put(ctx, []cluster.Entry{{Key: writerKey, Value: strconv.AppendInt(nil, s.fence.Epoch, 10)}}); err != nil {
		return 0, err
	}
	saved, err := s.store.Saved(ctx, partition, beforeHead)
	if err != nil || saved[headKey] == nil {
		return 0, err
	}
	head, err := decodeHead(saved[headKey])
	return head.Generation, err
}

func decodeHead(data []byte) (flow.SnapshotHead, error) {
	var head flow.SnapshotHead
	if err := json.Unmarshal(data, &head); err != nil {
		return head, fault.Wrap(err, fault.Invalid, "remove the foreign head of the snapshot", "the head of the snapshot can't be read")
	}
	return head, nil
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

// loadSnapshot returns the newest snapshot, nil if there is none, its generation and the bytes
// that were read.
func loadSnapshot(ctx context.Context, store Snapshots) (*flow.State, int64, int, error) {
	saved, err := store.Saved(ctx, partition, "")
	bytes := 0
	for _, value := range saved {
		bytes += len(value)
	}
	if err != nil {
		return nil, 0, bytes, err
	}
	if saved[headKey] == nil {
		return nil, 0, bytes, nil
	}
	head, err := decodeHead(saved[headKey])
	if err != nil {
		return nil, 0, bytes, err
	}
	if head.Chunks < 0 || head.Chunks >= len(saved) {
		return nil, 0, bytes, fault.New(fault.Invalid, "read the snapshot again", "the snapshot should have %d chunks and has %d entries", head.Chunks, len(saved))
	}
	var chunks [][]byte
	for i := range head.Chunks {
		if chunk := saved[chunkKey(head.Generation, i)]; chunk != nil {
			chunks = append(chunks, chunk)
		}
	}
	state, err := flow.Restore(head, chunks, bootclock.Now())
	return state, head.Generation, bytes, err
}
