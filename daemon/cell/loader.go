package cell

import (
	"context"
	"time"

	"briarproxy/core/fault"
	"briarproxy/core/flow"
	"briarproxy/daemon/bootclock"
)

// Times and limits of reading a snapshot.
const (
	minChunkCallTimeout      = 2 * time.Second // of one call, at first; maxChunkCallBytes pass 10 Mbit/s in 0.16 s
	maxChunkCallTimeout      = 16 * time.Second
	maxChunkCallBytes        = 192 << 10
	entryOverheadBytes       = 32 // bytes of an entry beside its value, at most
	maxOffsetTries           = 5  // in a row that fail before the chunks are asked for by their keys
	unreadableHeadGeneration = -1 // in place of a generation
)

// snapshotReader reads the newest snapshot in calls that bring a few chunks each. A call that fails
// loses none of the chunks before it. The log reader owns it.
type snapshotReader struct {
	store             Snapshots
	reads             *readStats
	timeout           time.Duration
	restorer          *flow.Restorer // nil: the head has not been read
	expired           bool           // the chunks are not kept at their offsets any more
	byKey             bool           // the next call asks for them by their keys, in larger answers
	failedOffsetReads int            // calls in a row that asked for them at their offsets

	generation        int64 // that was read last
	damagedGeneration int64 // generation that could not be read
	damagedReads      int   // how often
}

func newSnapshotReader(store Snapshots, reads *readStats) *snapshotReader {
	return &snapshotReader{store: store, reads: reads, timeout: minChunkCallTimeout}
}

// step makes one call. It returns the head while chunks are missing and the state with the
// last of them; both are nil if there is no snapshot.
func (r *snapshotReader) step(ctx context.Context) (*flow.SnapshotHead, *flow.State, error) {
	bounded, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	err := r.call(bounded)
	if err != nil && bounded.Err() != nil {
		r.timeout = min(2*r.timeout, maxChunkCallTimeout)
	}
	if err != nil || r.restorer == nil {
		return nil, nil, err
	}
	if !r.restorer.Complete() {
		return r.restorer.Head(), nil, nil
	}
	state, err := r.restorer.State(bootclock.Now())
	r.generation, r.restorer = r.restorer.Head().Generation, nil
	return nil, state, err
}

func (r *snapshotReader) call(ctx context.Context) error {
	switch {
	case r.restorer == nil:
		return r.readHead(ctx)
	case r.byKey:
		return r.readByKey(ctx)
	default:
		return r.readByOffset(ctx)
	}
}

func (r *snapshotReader) readHead(ctx context.Context) error {
	saved, err := r.store.SavedAfterKey(ctx, headPartition, keyBeforeHead)
	r.reads.count(readToRestore, len(saved[headKey]))
	if err != nil || saved[headKey] == nil {
		return err
	}
	head, err := flow.DecodeHead(saved[headKey])
	if err != nil {
		r.markDamaged(unreadableHeadGeneration)
		return err
	}
	r.restorer, r.expired, r.byKey = flow.NewRestorer(head), false, false
	return nil
}

// readByOffset reads chunks as they were written: the answers are small, and later generations
// take nothing away until the records expire.
func (r *snapshotReader) readByOffset(ctx context.Context) error {
	head, taken := r.restorer.Head(), r.restorer.ChunksAdded()
	entries, expired, err := r.store.SavedFromOffset(ctx, chunkPartition(head.Generation), head.Parts[taken].Offset, r.nextReadBytes())
	bytes := 0
	for _, entry := range entries {
		bytes += len(entry.Value)
	}
	r.reads.count(readToRestore, bytes)
	if err != nil {
		r.failedOffsetReads++
		r.byKey = r.failedOffsetReads%maxOffsetTries == 0
		return err
	}
	for _, entry := range entries {
		if r.restorer.Complete() || entry.Key != chunkKey(r.restorer.ChunksAdded()) {
			break
		}
		if err := r.restorer.AddChunk(entry.Value, bootclock.Now()); err != nil {
			r.byKey = true
			return err
		}
	}
	r.failedOffsetReads = 0
	r.expired, r.byKey = expired, r.restorer.ChunksAdded() == taken
	return nil
}

// nextReadBytes returns the size of an answer with the next chunks, as many as a short one holds.
func (r *snapshotReader) nextReadBytes() int {
	parts := r.restorer.Head().Parts[r.restorer.ChunksAdded():]
	bytes := 0
	for i, part := range parts {
		if i > 0 && bytes+part.Bytes+entryOverheadBytes > maxChunkCallBytes {
			break
		}
		bytes += part.Bytes + entryOverheadBytes
	}
	return bytes
}

// readByKey reads the newest chunk of each key behind the last one taken.
func (r *snapshotReader) readByKey(ctx context.Context) error {
	head, taken := r.restorer.Head(), r.restorer.ChunksAdded()
	saved, err := r.store.SavedAfterKey(ctx, chunkPartition(head.Generation), chunkKey(taken-1))
	bytes := 0
	for _, chunk := range saved {
		bytes += len(chunk)
	}
	r.reads.count(readToRestore, bytes)
	r.byKey = r.expired
	if err != nil {
		return err
	}
	for !r.restorer.Complete() && saved[chunkKey(r.restorer.ChunksAdded())] != nil {
		if err := r.restorer.AddChunk(saved[chunkKey(r.restorer.ChunksAdded())], bootclock.Now()); err != nil {
			r.markDamaged(head.Generation)
			return err
		}
	}
	if r.restorer.ChunksAdded() == taken {
		r.markDamaged(head.Generation)
		return fault.New(fault.Invalid, "read the snapshot again", "chunk %d of snapshot %d is missing", taken, head.Generation)
	}
	return nil
}

// markDamaged gives up a generation of which a chunk is damaged or was overwritten. The head is
// read again; it may name a newer one.
func (r *snapshotReader) markDamaged(generation int64) {
	if r.damagedGeneration != generation {
		r.damagedReads = 0
	}
	r.damagedGeneration = generation
	r.damagedReads++
	r.restorer = nil
}
