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
	snapshotRetentionShare = 0.2  // of the time for which the log keeps records, between two snapshots
	snapshotEntryThreshold = 8000 // a daemon with a fifth of a core and 10 Mbit/s reads as many in a second
	minSnapshotInterval    = 5 * time.Second
	snapshotLinkShare      = 0.05 // of the link that snapshots may take
	snapshotTimeout        = 5 * time.Second
	maxSaveBytes           = 1 << 20     // of one append, below the limit of a call
	saveLinkShare          = 0.25        // of the link while a snapshot is written; the placer's orders need the rest
	targetSaveTime         = time.Second // of one append at that share, below its time limit
	headKey                = "state"
	writerKey              = "writer" // the epoch of the placer that saves
	keyBeforeHead          = "r"      // in the order of keys; what former versions wrote comes before it

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
	every := time.Duration(snapshotRetentionShare * e.settings.Bounds.KeepS * float64(time.Second))
	due := now-e.savedAt > every || e.unsavedEntries > snapshotEntryThreshold && now-e.savedAt > e.snapshotInterval()
	if e.saving || !due || e.state.NextOffset == e.savedOffset {
		return
	}
	if !e.snapshotWriter.started {
		e.beginSnapshots(ctx, now)
		return
	}
	generation := e.savedGeneration + 1
	unsaved := e.unsavedEntries
	head, chunks, err := e.state.Snapshot(generation, now)
	e.savedAt = now
	if err != nil {
		e.log.Emit(evSnapshotFailed, "reason", err.Error(), "offset", e.state.NextOffset)
		return
	}
	e.saving, e.savedBytes = true, 0
	for _, chunk := range chunks {
		e.savedBytes += len(chunk)
	}
	writer, p := e.snapshotWriter, e.placer
	go func() {
		bounded, cancel := context.WithTimeout(ctx, writer.timeout(chunks))
		defer cancel()
		err := writer.save(bounded, &head, chunks)
		e.do(ctx, func(e *engine) {
			if e.placer != p {
				return
			}
			e.saving = false
			if err != nil {
				writer.started = false // its head may be stored
				e.log.Emit(evSnapshotFailed, "reason", err.Error(), "offset", head.Next)
				return
			}
			e.savedOffset, e.savedGeneration = head.Next, generation
			e.unsavedEntries -= unsaved
			e.log.Emit(evSnapshotSaved, "offset", head.Next, "jobs", len(e.state.Jobs), "chunks", head.Chunks, "bytes", e.savedBytes, "took_ms", (bootclock.Now() - now).Milliseconds())
		})
	}()
}

// snapshotInterval is the time between two snapshots of which the last one had some bytes. A slow
// link of the placer is needed for its orders.
func (e *engine) snapshotInterval() time.Duration {
	rate := snapshotLinkShare * e.settings.Limits.LinkMbps * bytesPerMbit
	if rate <= 0 {
		return minSnapshotInterval
	}
	return max(minSnapshotInterval, time.Duration(float64(e.savedBytes)/rate*float64(time.Second)))
}

// beginSnapshots learns which snapshot is the newest one, so that the next does not overwrite it.
func (e *engine) beginSnapshots(ctx context.Context, now time.Duration) {
	e.saving, e.savedAt = true, now
	writer, p := e.snapshotWriter, e.placer
	go func() {
		bounded, cancel := context.WithTimeout(ctx, snapshotTimeout)
		defer cancel()
		generation, err := writer.takeOver(bounded)
		e.do(ctx, func(e *engine) {
			if e.placer != p {
				return
			}
			e.saving = false
			if err != nil {
				e.log.Emit(evSnapshotFailed, "reason", err.Error(), "offset", e.state.NextOffset)
				return
			}
			writer.started = true
			e.savedAt = 0
			e.savedGeneration = max(e.savedGeneration, generation)
		})
	}()
}

// snapshotWriter writes snapshots under the placer's epoch, so that a superseded placer can't.
type snapshotWriter struct {
	store              Snapshots
	linkBytesPerSecond float64 // of this daemon's link, bytes a second; 0 is not known
	fence              cluster.Fence
	sequences          [snapshotPartitions]int64           // appends answered by each partition
	unanswered         [snapshotPartitions][]cluster.Entry // of an append without an answer, which may be carried out later
	started            bool                                // the newest snapshot is known, and no earlier placer can write another
}

// takeOver ends the writing of earlier placers and returns the generation of the newest snapshot.
func (w *snapshotWriter) takeOver(ctx context.Context) (int64, error) {
	for part := range snapshotPartitions {
		if _, err := w.append(ctx, part, []cluster.Entry{{Key: writerKey, Value: strconv.AppendInt(nil, w.fence.Epoch, 10)}}); err != nil {
			return 0, err
		}
	}
	saved, err := w.store.SavedAfterKey(ctx, headPartition, keyBeforeHead)
	if err != nil || saved[headKey] == nil {
		return 0, err
	}
	head, err := flow.DecodeHead(saved[headKey])
	return head.Generation, err
}

// maxAppendBytes is the most that one append should carry.
func (w *snapshotWriter) maxAppendBytes() int {
	if w.linkBytesPerSecond <= 0 {
		return maxSaveBytes
	}
	return min(maxSaveBytes, int(saveLinkShare*w.linkBytesPerSecond*targetSaveTime.Seconds()))
}

// minTransferTime is how long some bytes take at the share of the link that a snapshot may have.
func (w *snapshotWriter) minTransferTime(bytes int) time.Duration {
	if w.linkBytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / (saveLinkShare * w.linkBytesPerSecond) * float64(time.Second))
}

// timeout is the time limit of a snapshot.
func (w *snapshotWriter) timeout(chunks [][]byte) time.Duration {
	bytes := 0
	for _, chunk := range chunks {
		bytes += len(chunk)
	}
	return snapshotTimeout + w.minTransferTime(bytes)
}

// throttle waits until an append has taken as long as its bytes may take.
func (w *snapshotWriter) throttle(ctx context.Context, began time.Duration, bytes int) {
	wait := w.minTransferTime(bytes) - (bootclock.Now() - began)
	if wait <= 0 {
		return
	}
	select {
	case <-ctx.Done(): // the next append tells it
	case <-time.After(wait):
	}
}

// save writes the chunks and then the head, which names where they are.
func (w *snapshotWriter) save(ctx context.Context, head *flow.SnapshotHead, chunks [][]byte) error {
	for first := 0; first < len(chunks); {
		var entries []cluster.Entry
		size, began := 0, bootclock.Now()
		for i := first; i < len(chunks) && (i == first || size+len(chunks[i]) <= w.maxAppendBytes()); i++ {
			entries = append(entries, cluster.Entry{Key: chunkKey(i), Value: chunks[i]})
			size += len(chunks[i])
		}
		offset, err := w.append(ctx, chunkPartition(head.Generation), entries)
		if err != nil {
			return err
		}
		for i := range entries {
			head.Parts[first+i].Offset = offset + int64(i)
		}
		first += len(entries)
		w.throttle(ctx, began, size)
	}
	data, err := head.Encode()
	if err != nil {
		return err
	}
	_, err = w.append(ctx, headPartition, []cluster.Entry{{Key: headKey, Value: data}})
	return err
}

// append appends entries until there is an answer; a repeat has no further effect. An append that
// was given up comes first, as the partition takes the next one only after it.
func (w *snapshotWriter) append(ctx context.Context, part int, entries []cluster.Entry) (int64, error) {
	if w.unanswered[part] != nil {
		if _, err := w.appendUntilAnswered(ctx, part); err != nil {
			return 0, err
		}
	}
	w.unanswered[part] = entries
	return w.appendUntilAnswered(ctx, part)
}

// appendUntilAnswered makes the open append of a partition until there is an answer.
func (w *snapshotWriter) appendUntilAnswered(ctx context.Context, part int) (int64, error) {
	fence := w.fence
	fence.Sequence += w.sequences[part]
	for {
		bounded, cancel := context.WithTimeout(ctx, appendTimeout)
		offset, err := w.store.Save(bounded, part, w.unanswered[part], &fence)
		cancel()
		if err == nil {
			w.sequences[part]++
			w.unanswered[part] = nil
		}
		if err == nil || fault.Is(err, fault.Conflict) {
			return offset, err
		}
		select {
		case <-ctx.Done():
			return 0, err
		case <-time.After(appendRetryDelay):
		}
	}
}
