package cell

import (
	"context"
	"time"

	"briarproxy/core/fault"
	"briarproxy/core/flow"
	"briarproxy/daemon/bootclock"
)

// Timeouts and limits for reading a snapshot.
const (
	minChunkCallTimeout      = 2 * time.Second  // initial timeout of a call; a 10 Mbit/s link carries maxChunkCallBytes in 0.16 s
	maxChunkCallTimeout      = 16 * time.Second // limit to which the timeout doubles when calls time out
	maxChunkCallBytes        = 192 << 10        // size limit of a response, unless a single chunk is larger
	entryOverheadBytes       = 32               // largest size of an entry without its value
	maxFailedOffsetReads     = 5                // consecutive failed reads by offset, after which one read is made by key
	unreadableHeadGeneration = -1               // stands for the unknown generation of a head that can't be decoded
)

// snapshotReader reads the newest snapshot a few chunks at a time. The chunks read before a failed
// call are kept. It is not safe for concurrent use; the log reader owns it.
type snapshotReader struct {
	store             Snapshots
	reads             *readStats
	timeout           time.Duration
	restorer          *flow.Restorer // nil until the head has been read
	expired           bool           // the chunks' records have expired; only the newest of each key is kept
	byKey             bool           // the next call reads chunks by key, in larger responses
	failedOffsetReads int            // consecutive failed reads by offset

	generation        int64 // generation of the snapshot that was read last
	damagedGeneration int64 // generation that could not be read
	damagedReads      int   // number of failed attempts to read damagedGeneration
}

func newSnapshotReader(store Snapshots, reads *readStats) *snapshotReader {
	return &snapshotReader{store: store, reads: reads, timeout: minChunkCallTimeout}
}

// readNext makes one call to the store. It returns the head while chunks are missing, and the restored
// state after the last chunk. Both are nil if there is no snapshot.
func (r *snapshotReader) readNext(ctx context.Context) (*flow.SnapshotHead, *flow.State, error) {
	callCtx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	err := r.call(callCtx)
	if err != nil && callCtx.Err() != nil {
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
	values, err := r.store.SavedAfterKey(ctx, headPartition, keyBeforeHead)
	r.reads.count(readToRestore, len(values[headKey]))
	if err != nil || values[headKey] == nil {
		return err
	}
	head, err := flow.DecodeHead(values[headKey])
	if err != nil {
		r.markDamaged(unreadableHeadGeneration)
		return err
	}
	r.restorer, r.expired, r.byKey = flow.NewRestorer(head), false, false
	return nil
}

// readByOffset reads chunks in the order in which they were written. The responses are small, and
// later generations do not overwrite the records, which stay until they expire.
func (r *snapshotReader) readByOffset(ctx context.Context) error {
	head, previouslyAdded := r.restorer.Head(), r.restorer.ChunksAdded()
	entries, expired, err := r.store.SavedFromOffset(ctx, chunkPartition(head.Generation), head.Parts[previouslyAdded].Offset, r.nextReadBytes())
	bytes := 0
	for _, entry := range entries {
		bytes += len(entry.Value)
	}
	r.reads.count(readToRestore, bytes)
	if err != nil {
		r.failedOffsetReads++
		r.byKey = r.failedOffsetReads%maxFailedOffsetReads == 0
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
	r.expired, r.byKey = expired, r.restorer.ChunksAdded() == previouslyAdded
	return nil
}

// nextReadBytes returns the size limit of the next read by offset: the size of as many chunks as
// fit in maxChunkCallBytes, but at least one.
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

// readByKey reads the newest chunks of the keys after that of the last chunk added.
func (r *snapshotReader) readByKey(ctx context.Context) error {
	head, previouslyAdded := r.restorer.Head(), r.restorer.ChunksAdded()
	values, err := r.store.SavedAfterKey(ctx, chunkPartition(head.Generation), chunkKey(previouslyAdded-1))
	bytes := 0
	for _, chunk := range values {
		bytes += len(chunk)
	}
	r.reads.count(readToRestore, bytes)
	r.byKey = r.expired
	if err != nil {
		return err
	}
	for !r.restorer.Complete() && values[chunkKey(r.restorer.ChunksAdded())] != nil {
		if err := r.restorer.AddChunk(values[chunkKey(r.restorer.ChunksAdded())], bootclock.Now()); err != nil {
			r.markDamaged(head.Generation)
			return err
		}
	}
	if r.restorer.ChunksAdded() == previouslyAdded {
		r.markDamaged(head.Generation)
		return fault.New(fault.Invalid, "read the snapshot again", "chunk %d of snapshot %d is missing", previouslyAdded, head.Generation)
	}
	return nil
}

// markDamaged abandons a generation because its head or a chunk is damaged, missing or
// overwritten. The head is read again, as there may be a newer generation.
func (r *snapshotReader) markDamaged(generation int64) {
	if r.damagedGeneration != generation {
		r.damagedReads = 0
	}
	r.damagedGeneration = generation
	r.damagedReads++
	r.restorer = nil
}
