package cell

import (
	"context"
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
	saveBytes       = 1 << 20     // of one append, below the limit of a call
	saveShare       = 0.25        // of the link while a snapshot is written; the placer's orders need the rest
	saveTime        = time.Second // of one append at that share, below its time limit
	headKey         = "state"
	writerKey       = "writer" // the epoch of the placer that saves
	beforeHead      = "r"      // in the order of keys; what former versions wrote comes before it

	headPartition      = 0 // and two with a generation each
	snapshotPartitions = 3
)

// chunkPartition holds the chunks of a generation. Two take turns, so that a snapshot stays
// whole until the next one is.
func chunkPartition(generation int64) int { return 1 + int(generation%2) }

// chunkKey names a chunk. The order of keys is that of the chunks; "" comes before the first.
func chunkKey(chunk int) string {
	if chunk < 0 {
		return ""
	}
	return fmt.Sprintf("%06d", chunk)
}

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
		bounded, cancel := context.WithTimeout(ctx, saver.timeout(chunks))
		defer cancel()
		err := saver.save(bounded, &head, chunks)
		e.do(ctx, func(e *engine) {
			if e.placer != p {
				return
			}
			e.saving = false
			if err != nil {
				saver.begun = false // its head may be stored
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
	rate  float64 // of this daemon's link, bytes a second; 0 is not known
	fence cluster.Fence
	next  [snapshotPartitions]int64           // appends answered by each partition
	open  [snapshotPartitions][]cluster.Entry // of an append without an answer, which may be carried out later
	begun bool                                // the newest snapshot is known, and no earlier placer can write another
}

// begin ends the writing of earlier placers and returns the generation of the newest snapshot.
func (s *saver) begin(ctx context.Context) (int64, error) {
	for part := range snapshotPartitions {
		if _, err := s.put(ctx, part, []cluster.Entry{{Key: writerKey, Value: strconv.AppendInt(nil, s.fence.Epoch, 10)}}); err != nil {
			return 0, err
		}
	}
	saved, err := s.store.Saved(ctx, headPartition, beforeHead)
	if err != nil || saved[headKey] == nil {
		return 0, err
	}
	head, err := flow.DecodeHead(saved[headKey])
	return head.Generation, err
}

// appendBytes is the most that one append should carry.
func (s *saver) appendBytes() int {
	if s.rate <= 0 {
		return saveBytes
	}
	return min(saveBytes, int(saveShare*s.rate*saveTime.Seconds()))
}

// pace is how long some bytes take at the share of the link that a snapshot may have.
func (s *saver) pace(bytes int) time.Duration {
	if s.rate <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / (saveShare * s.rate) * float64(time.Second))
}

// timeout is the time limit of a snapshot.
func (s *saver) timeout(chunks [][]byte) time.Duration {
	bytes := 0
	for _, chunk := range chunks {
		bytes += len(chunk)
	}
	return snapshotTimeout + s.pace(bytes)
}

// rest waits until an append has taken as long as its bytes may take.
func (s *saver) rest(ctx context.Context, began time.Duration, bytes int) {
	wait := s.pace(bytes) - (bootclock.Now() - began)
	if wait <= 0 {
		return
	}
	select {
	case <-ctx.Done(): // the next append tells it
	case <-time.After(wait):
	}
}

// save writes the chunks and then the head, which names where they are.
func (s *saver) save(ctx context.Context, head *flow.SnapshotHead, chunks [][]byte) error {
	for first := 0; first < len(chunks); {
		var entries []cluster.Entry
		size, began := 0, bootclock.Now()
		for i := first; i < len(chunks) && (i == first || size+len(chunks[i]) <= s.appendBytes()); i++ {
			entries = append(entries, cluster.Entry{Key: chunkKey(i), Value: chunks[i]})
			size += len(chunks[i])
		}
		offset, err := s.put(ctx, chunkPartition(head.Generation), entries)
		if err != nil {
			return err
		}
		for i := range entries {
			head.Parts[first+i].Offset = offset + int64(i)
		}
		first += len(entries)
		s.rest(ctx, began, size)
	}
	data, err := head.Encode()
	if err != nil {
		return err
	}
	_, err = s.put(ctx, headPartition, []cluster.Entry{{Key: headKey, Value: data}})
	return err
}

// put appends entries until there is an answer; a repeat has no further effect. An append that
// was given up comes first, as the partition takes the next one only after it.
func (s *saver) put(ctx context.Context, part int, entries []cluster.Entry) (int64, error) {
	if s.open[part] != nil {
		if _, err := s.repeat(ctx, part); err != nil {
			return 0, err
		}
	}
	s.open[part] = entries
	return s.repeat(ctx, part)
}

// repeat makes the open append of a partition until there is an answer.
func (s *saver) repeat(ctx context.Context, part int) (int64, error) {
	fence := s.fence
	fence.Sequence += s.next[part]
	for {
		bounded, cancel := context.WithTimeout(ctx, appendTimeout)
		offset, err := s.store.Save(bounded, part, s.open[part], &fence)
		cancel()
		if err == nil {
			s.next[part]++
			s.open[part] = nil
		}
		if err == nil || fault.Is(err, fault.Conflict) {
			return offset, err
		}
		select {
		case <-ctx.Done():
			return 0, err
		case <-time.After(appendRetry):
		}
	}
}
