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
	partTimeout        = 2 * time.Second // of one call, at first; partsBytes pass 10 Mbit/s in 0.16 s
	longestPartTimeout = 16 * time.Second
	partsBytes         = 192 << 10
	entryFrame         = 32 // bytes of an entry beside its value, at most
	offsetTries        = 5  // in a row that fail before the chunks are asked for by their keys
	unreadableHead     = -1 // in place of a generation
)

// loader reads the newest snapshot in calls that bring a few chunks each. A call that fails
// loses none of the chunks before it. The tail owns it.
type loader struct {
	store    Snapshots
	reads    *reads
	timeout  time.Duration
	restorer *flow.Restorer // nil: the head has not been read
	expired  bool           // the chunks are not kept at their offsets any more
	byKey    bool           // the next call asks for them by their keys, in larger answers
	failed   int            // calls in a row that asked for them at their offsets

	generation int64 // that was read last
	spoiled    int64 // generation that could not be read
	damaged    int   // how often
}

func newLoader(store Snapshots, reads *reads) *loader {
	return &loader{store: store, reads: reads, timeout: partTimeout}
}

// step makes one call. It returns the head while chunks are missing and the state with the
// last of them; both are nil if there is no snapshot.
func (l *loader) step(ctx context.Context) (*flow.SnapshotHead, *flow.State, error) {
	bounded, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	err := l.call(bounded)
	if err != nil && bounded.Err() != nil {
		l.timeout = min(2*l.timeout, longestPartTimeout)
	}
	if err != nil || l.restorer == nil {
		return nil, nil, err
	}
	if !l.restorer.Complete() {
		return l.restorer.Head(), nil, nil
	}
	state, err := l.restorer.State(bootclock.Now())
	l.generation, l.restorer = l.restorer.Head().Generation, nil
	return nil, state, err
}

func (l *loader) call(ctx context.Context) error {
	switch {
	case l.restorer == nil:
		return l.readHead(ctx)
	case l.byKey:
		return l.readByKey(ctx)
	default:
		return l.readByOffset(ctx)
	}
}

func (l *loader) readHead(ctx context.Context) error {
	saved, err := l.store.Saved(ctx, headPartition, beforeHead)
	l.reads.note(readToRestore, len(saved[headKey]))
	if err != nil || saved[headKey] == nil {
		return err
	}
	head, err := flow.DecodeHead(saved[headKey])
	if err != nil {
		l.spoil(unreadableHead)
		return err
	}
	l.restorer, l.expired, l.byKey = flow.NewRestorer(head), false, false
	return nil
}

// readByOffset reads chunks as they were written: the answers are small, and later generations
// take nothing away until the records expire.
func (l *loader) readByOffset(ctx context.Context) error {
	head, taken := l.restorer.Head(), l.restorer.Taken()
	entries, expired, err := l.store.SavedFrom(ctx, chunkPartition(head.Generation), head.Parts[taken].Offset, l.askFor())
	bytes := 0
	for _, entry := range entries {
		bytes += len(entry.Value)
	}
	l.reads.note(readToRestore, bytes)
	if err != nil {
		l.failed++
		l.byKey = l.failed%offsetTries == 0
		return err
	}
	for _, entry := range entries {
		if l.restorer.Complete() || entry.Key != chunkKey(l.restorer.Taken()) {
			break
		}
		if err := l.restorer.Take(entry.Value, bootclock.Now()); err != nil {
			l.byKey = true
			return err
		}
	}
	l.failed = 0
	l.expired, l.byKey = expired, l.restorer.Taken() == taken
	return nil
}

// askFor returns the size of an answer with the next chunks, as many as a short one holds.
func (l *loader) askFor() int {
	parts := l.restorer.Head().Parts[l.restorer.Taken():]
	bytes := 0
	for i, part := range parts {
		if i > 0 && bytes+part.Bytes+entryFrame > partsBytes {
			break
		}
		bytes += part.Bytes + entryFrame
	}
	return bytes
}

// readByKey reads the newest chunk of each key behind the last one taken.
func (l *loader) readByKey(ctx context.Context) error {
	head, taken := l.restorer.Head(), l.restorer.Taken()
	saved, err := l.store.Saved(ctx, chunkPartition(head.Generation), chunkKey(taken-1))
	bytes := 0
	for _, chunk := range saved {
		bytes += len(chunk)
	}
	l.reads.note(readToRestore, bytes)
	l.byKey = l.expired
	if err != nil {
		return err
	}
	for !l.restorer.Complete() && saved[chunkKey(l.restorer.Taken())] != nil {
		if err := l.restorer.Take(saved[chunkKey(l.restorer.Taken())], bootclock.Now()); err != nil {
			l.spoil(head.Generation)
			return err
		}
	}
	if l.restorer.Taken() == taken {
		l.spoil(head.Generation)
		return fault.New(fault.Invalid, "read the snapshot again", "chunk %d of snapshot %d is missing", taken, head.Generation)
	}
	return nil
}

// spoil gives up a generation of which a chunk is damaged or was overwritten. The head is
// read again; it may name a newer one.
func (l *loader) spoil(generation int64) {
	if l.spoiled != generation {
		l.damaged = 0
	}
	l.spoiled = generation
	l.damaged++
	l.restorer = nil
}
