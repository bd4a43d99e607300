package cell

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"briarproxy/core/cluster"
	"briarproxy/core/fault"
	"briarproxy/core/flow"
	"briarproxy/core/placer"
	"briarproxy/daemon/bootclock"
)

// Times, size limits, keys and partitions of snapshots.
const (
	snapshotRetentionShare = 0.2             // age of the oldest record that no snapshot covers, beyond which a snapshot is due, as a share of the log's retention time
	snapshotEntryThreshold = 8000            // log entries that make a snapshot due early; with 0.2 cores and 10 Mbit/s a daemon reads as many in 1 s
	snapshotRetryDelay     = 2 * time.Second // after a snapshot, or the lookup before the first one, was begun
	minSnapshotInterval    = 5 * time.Second // shortest time between two snapshots that are due early
	earlySnapshotLinkShare = 0.05            // share of the placer's link that early snapshots may use on average
	snapshotTimeout        = 5 * time.Second // time limit of a snapshot, without the time that throttling adds
	maxSaveBytes           = 1 << 20         // size limit of one append, below the limit of a call to the store
	snapshotWriteLinkShare = 0.25            // share of the link that a snapshot may use while it is written; the placer's orders need the rest
	targetSaveTime         = time.Second     // duration of one append at that share, below the append's time limit
	headKey                = "state"         // key of the snapshot's head
	writerKey              = "writer"        // key of the epoch of the placer that writes snapshots
	keyBeforeHead          = "r"             // sorts before headKey and after the keys that former versions wrote

	headPartition      = 0
	snapshotPartitions = 3 // one partition for the head and two for the chunks
)

// chunkPartition returns the partition for the chunks of a generation. Generations alternate
// between two partitions, so that a snapshot stays intact until the next one is complete.
func chunkPartition(generation int64) int { return 1 + int(generation%2) }

// chunkKey returns the key of a chunk. Keys sort in the order of the chunks. For a negative
// chunk it returns "", which sorts before the first key.
func chunkKey(chunk int) string {
	if chunk < 0 {
		return ""
	}
	return fmt.Sprintf("%06d", chunk)
}

// saveSnapshot starts writing a snapshot of the placer's state if one is due.
func (e *engine) saveSnapshot(ctx context.Context, now time.Duration) {
	if e.savingSnapshot || now < e.snapshotRetryAt || e.state.NextOffset == e.snapshotOffset {
		return
	}
	reason := e.snapshotReason(now)
	if reason == "" {
		return
	}
	e.snapshotRetryAt = now + snapshotRetryDelay
	if !e.snapshotWriter.takenOver {
		e.takeOverSnapshots(ctx, e.placingContext)
		return
	}
	e.writeSnapshot(ctx, e.placingContext, reason, now)
}

// lastStateUnsaved reports whether this daemon, which stops as planned, was the last placer, no other daemon has claimed since,
// and records exist that no snapshot covers. If all daemons stop, nobody else saves them before they expire.
func (e *engine) lastStateUnsaved() bool {
	releasedLast := e.snapshotWriter != nil && e.state.Claim.Daemon == "" && e.state.Claim.Epoch == e.claimEpoch
	return e.draining && releasedLast && e.readToEndAt > 0 && e.state.NextOffset > e.snapshotOffset
}

// saveLastSnapshot starts writing a snapshot if the last state before a stop of all daemons is unsaved.
func (e *engine) saveLastSnapshot(ctx context.Context, now time.Duration) {
	switch {
	case e.savingSnapshot || now < e.snapshotRetryAt || !e.lastStateUnsaved():
	case !e.snapshotWriter.takenOver:
		e.snapshotRetryAt = now + lastSaveInterval
		e.takeOverSnapshots(ctx, ctx)
	default:
		e.snapshotRetryAt = now + lastSaveInterval
		e.writeSnapshot(ctx, ctx, "all daemons stop", now)
	}
}

// writeSnapshot starts writing a snapshot. It ends with writingCtx.
func (e *engine) writeSnapshot(ctx, writingCtx context.Context, reason string, now time.Duration) {
	generation := e.snapshotGeneration + 1
	coveredEntries, asOf := e.entriesSinceSnapshot, e.readToEndAt
	head, chunks, err := e.state.Snapshot(generation, now)
	e.lastSnapshotAt = now
	if err != nil {
		e.log.Emit(evSnapshotFailed, "reason", err.Error(), "offset", e.state.NextOffset)
		return
	}
	e.log.Emit(evSnapshotBegun, "reason", reason, "offset", head.Next, "covered", e.snapshotOffset, "first", e.logFirst, "placing_ms", (now - e.placingStartedAt).Milliseconds())
	e.savingSnapshot, e.snapshotBytes = true, 0
	for _, chunk := range chunks {
		e.snapshotBytes += len(chunk)
	}
	writer, startedBy := e.snapshotWriter, e.placer
	go func() {
		saveCtx, cancel := context.WithTimeout(writingCtx, writer.timeout(chunks))
		defer cancel()
		err := writer.save(saveCtx, &head, chunks)
		e.do(ctx, func(e *engine) {
			if !e.endSaving(writer, startedBy) {
				return
			}
			if err != nil {
				writer.takenOver = false // the failed snapshot's head may have been stored
				e.log.Emit(evSnapshotFailed, "reason", err.Error(), "offset", head.Next)
				return
			}
			e.snapshotOffset, e.snapshotAsOf, e.snapshotGeneration, e.snapshotSavedAt = head.Next, asOf, generation, now
			e.lossClaimed = false
			e.snapshotNote, e.snapshotNotedAt = &flow.SavedSnapshot{Next: head.Next}, asOf
			e.entriesSinceSnapshot -= coveredEntries
			e.log.Emit(evSnapshotSaved, "offset", head.Next, "jobs", len(e.state.Jobs), "chunks", head.Chunks, "bytes", e.snapshotBytes, "took_ms", (bootclock.Now() - now).Milliseconds())
		})
	}()
}

// endSaving ends a call of the writer to the store, and reports whether its outcome still matters: it doesn't once this daemon has
// stopped placing meanwhile.
func (e *engine) endSaving(writer *snapshotWriter, startedBy *placer.Placer) bool {
	if e.snapshotWriter != writer {
		return false
	}
	e.savingSnapshot = false
	if e.placer != startedBy {
		writer.takenOver = false // the newest generation is not known: the call may have stored one
		return false
	}
	return true
}

// snapshotReason returns why a snapshot is due, or "". No record may expire before a snapshot covers it, whichever
// daemon places meanwhile. So what counts is the age of the oldest record that no snapshot covers, not the time for which this
// daemon places; if that age is not known, the record may be about to expire.
func (e *engine) snapshotReason(now time.Duration) string {
	interval := time.Duration(snapshotRetentionShare * e.settings.Bounds.KeepS * float64(time.Second))
	savedLately := e.snapshotSavedAt > 0 && now-e.snapshotSavedAt <= interval // by this placer
	switch {
	case e.logFirst > e.snapshotOffset:
		return "the log does not reach back to the newest snapshot"
	case e.snapshotAsOf == 0:
		return "the age of the newest snapshot is not known"
	case now-e.snapshotAsOf > interval && !savedLately:
		return "the newest snapshot is old"
	case e.entriesSinceSnapshot > snapshotEntryThreshold && now-e.lastSnapshotAt > e.snapshotInterval():
		return "many entries since the newest snapshot"
	}
	return ""
}

// takeSnapshotNote returns the note for the next batch about a snapshot that no batch has named yet, or nil.
func (e *engine) takeSnapshotNote(now time.Duration) *flow.SavedSnapshot {
	note := e.snapshotNote
	if note != nil {
		note.AgeMS = (now - e.snapshotNotedAt).Milliseconds()
		e.snapshotNote = nil
	}
	return note
}

// noteSnapshot takes note of a snapshot that a batch names. The batch was stored after this daemon last read the log to its
// end, which bounds the snapshot's age also for a daemon that reads the batch late.
func (e *engine) noteSnapshot(note *flow.SavedSnapshot) {
	if note == nil || note.Next <= e.snapshotOffset {
		return
	}
	e.snapshotOffset, e.snapshotAsOf, e.entriesSinceSnapshot = note.Next, 0, 0
	if e.readToEndAt > 0 {
		e.snapshotAsOf = max(0, e.readToEndAt-time.Duration(note.AgeMS)*time.Millisecond)
	}
}

// snapshotInterval returns the shortest time between two snapshots that are due early, given the
// size of the last one. A placer on a slow link needs most of the link for its orders.
func (e *engine) snapshotInterval() time.Duration {
	bytesPerSecond := earlySnapshotLinkShare * e.settings.Limits.LinkMbps * bytesPerMbit
	if bytesPerSecond <= 0 {
		return minSnapshotInterval
	}
	return max(minSnapshotInterval, time.Duration(float64(e.snapshotBytes)/bytesPerSecond*float64(time.Second)))
}

// takeOverSnapshots fences earlier writers and looks up the newest snapshot's generation, so that
// the next snapshot does not overwrite it. It ends with writingCtx.
func (e *engine) takeOverSnapshots(ctx, writingCtx context.Context) {
	e.savingSnapshot = true
	writer, startedBy := e.snapshotWriter, e.placer
	go func() {
		takeOverCtx, cancel := context.WithTimeout(writingCtx, snapshotTimeout)
		defer cancel()
		generation, err := writer.takeOver(takeOverCtx)
		e.do(ctx, func(e *engine) {
			if !e.endSaving(writer, startedBy) {
				return
			}
			if err != nil {
				e.log.Emit(evSnapshotFailed, "reason", err.Error(), "offset", e.state.NextOffset)
				return
			}
			writer.takenOver = true
			e.lastSnapshotAt, e.snapshotRetryAt = 0, 0
			e.snapshotGeneration = max(e.snapshotGeneration, generation)
		})
	}()
}

// snapshotWriter writes snapshots under the placer's epoch, so that the store rejects the writes
// of a superseded placer.
type snapshotWriter struct {
	store              Snapshots
	linkBytesPerSecond float64 // rate of this daemon's link; 0 if unknown
	fence              cluster.Fence
	sequences          [snapshotPartitions]int64           // number of answered appends to each partition
	unanswered         [snapshotPartitions][]cluster.Entry // entries of an append that got no answer and may still be stored later
	takenOver          bool                                // the newest generation is known and no earlier placer can write another snapshot
}

// takeOver fences earlier placers in every partition and returns the generation of the newest
// snapshot, or 0 if there is none.
func (w *snapshotWriter) takeOver(ctx context.Context) (int64, error) {
	for partition := range snapshotPartitions {
		if _, err := w.append(ctx, partition, []cluster.Entry{{Key: writerKey, Value: strconv.AppendInt(nil, w.fence.Epoch, 10)}}); err != nil {
			return 0, err
		}
	}
	values, err := w.store.SavedAfterKey(ctx, headPartition, keyBeforeHead)
	if err != nil || values[headKey] == nil {
		return 0, err
	}
	head, err := flow.DecodeHead(values[headKey])
	return head.Generation, err
}

// maxAppendBytes returns the size limit of one append. On a slow link it is smaller, so that an
// append ends within its time limit.
func (w *snapshotWriter) maxAppendBytes() int {
	if w.linkBytesPerSecond <= 0 {
		return maxSaveBytes
	}
	return min(maxSaveBytes, int(snapshotWriteLinkShare*w.linkBytesPerSecond*targetSaveTime.Seconds()))
}

// minTransferTime returns how long the transfer of the given number of bytes takes at the share of
// the link that a snapshot may use, or 0 if the rate of the link is unknown.
func (w *snapshotWriter) minTransferTime(bytes int) time.Duration {
	if w.linkBytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / (snapshotWriteLinkShare * w.linkBytesPerSecond) * float64(time.Second))
}

// timeout returns the time limit for writing a snapshot, including the time that throttling adds.
func (w *snapshotWriter) timeout(chunks [][]byte) time.Duration {
	bytes := 0
	for _, chunk := range chunks {
		bytes += len(chunk)
	}
	return snapshotTimeout + w.minTransferTime(bytes)
}

// throttle waits until at least minTransferTime has passed since the start of an append.
func (w *snapshotWriter) throttle(ctx context.Context, start time.Duration, bytes int) {
	wait := w.minTransferTime(bytes) - (bootclock.Now() - start)
	if wait <= 0 {
		return
	}
	select {
	case <-ctx.Done(): // the next append returns the error
	case <-time.After(wait):
	}
}

// save writes the chunks and then the head, in which it records their offsets.
func (w *snapshotWriter) save(ctx context.Context, head *flow.SnapshotHead, chunks [][]byte) error {
	for first := 0; first < len(chunks); {
		var entries []cluster.Entry
		size, start := 0, bootclock.Now()
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
		w.throttle(ctx, start, size)
	}
	data, err := head.Encode()
	if err != nil {
		return err
	}
	_, err = w.append(ctx, headPartition, []cluster.Entry{{Key: headKey, Value: data}})
	return err
}

// append appends entries to a partition and retries until the store answers. It first completes
// an earlier append that got no answer, because the partition accepts appends only in sequence.
func (w *snapshotWriter) append(ctx context.Context, partition int, entries []cluster.Entry) (int64, error) {
	if w.unanswered[partition] != nil {
		if _, err := w.appendUntilAnswered(ctx, partition); err != nil {
			return 0, err
		}
	}
	w.unanswered[partition] = entries
	return w.appendUntilAnswered(ctx, partition)
}

// appendUntilAnswered sends the pending append of a partition until the store answers. The
// sequence number of the fence makes a retry idempotent.
func (w *snapshotWriter) appendUntilAnswered(ctx context.Context, partition int) (int64, error) {
	fence := w.fence
	fence.Sequence += w.sequences[partition]
	for {
		callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		offset, err := w.store.Save(callCtx, partition, w.unanswered[partition], &fence)
		cancel()
		if err == nil {
			w.sequences[partition]++
			w.unanswered[partition] = nil
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
