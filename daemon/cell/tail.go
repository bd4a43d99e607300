package cell

import (
	"context"
	"time"

	"briarproxy/core/fault"
	"briarproxy/core/flow"
	"briarproxy/daemon/bootclock"
)

// Times of reading the log.
const (
	readWait     = 1000 * time.Millisecond          // one read waits this long for a record
	readTimeout  = readWait + 2200*time.Millisecond // a direct try, then one through another daemon
	readBackoff  = 150 * time.Millisecond           // after a failed read
	followGap    = 180 * time.Millisecond           // between reads of a daemon that only answers callers; each read has a price
	placerGap    = 120 * time.Millisecond           // the placer knows its own appends; others append directly only when they do not reach it
	recentReads  = 20 * time.Millisecond            // shorter answers than the wait show the round trip
	damagedTries = 5                                // to read a snapshot; another one may have been written meanwhile
	configWait   = 1000 * time.Millisecond
	registryGap  = 800 * time.Millisecond  // a draining worker must be known well within the drain bound
	slowRegistry = 2400 * time.Millisecond // the longest pause; still within the drain bound

	registryShare = 0.08 // of the link that readings of the registry may take
	registryBytes = 410  // of one worker in an answer
	bytesPerMbit  = 1e6 / 8
	storeTimeout  = 2000 * time.Millisecond
)

// page is what the tail read.
type page struct {
	records []decoded
	next    int64
	end     int64
	first   int64
	expired bool
	err     error
	sentAt  time.Duration
	readAt  time.Duration

	head       *flow.SnapshotHead // of a snapshot of which chunks are missing
	restored   *flow.State        // of a snapshot that replaces what is known
	generation int64              // of the snapshot
}

type decoded struct {
	record flow.Record
	err    error
}

// tail reads the log and hands every page to the engine. It owns the read position.
type tail struct {
	log   Log
	saved Snapshots
	pages chan<- page
	nudge chan struct{} // wakes it from its gap
	reads *reads
	pace  func() (gap, wait time.Duration)
	known func() int64 // offset up to which the engine knows the log without reading it
}

func (t *tail) run(ctx context.Context) {
	from, load, snapshot := int64(0), true, newLoader(t.saved, t.reads)
	for ctx.Err() == nil {
		gap, wait := t.pace()
		var p page
		if load {
			p = restore(ctx, snapshot, from)
			// Without a snapshot that can be read, the log is read from its first record.
			load = p.head != nil || p.err != nil && snapshot.damaged < damagedTries
		} else {
			p = t.read(ctx, max(from, t.known()), wait)
			load, snapshot.damaged = p.expired, 0
		}
		from = p.next
		select {
		case t.pages <- p:
		case <-ctx.Done():
			return
		}
		if p.err != nil {
			gap = readBackoff
		} else if p.next < p.end {
			gap = 0
		}
		t.rest(ctx, gap)
	}
}

func (t *tail) rest(ctx context.Context, gap time.Duration) {
	if gap <= 0 {
		return
	}
	timer := time.NewTimer(gap)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-t.nudge:
	}
}

// restore reads a part of the newest snapshot, at the start and after records expired unread.
func restore(ctx context.Context, snapshot *loader, from int64) page {
	p := page{sentAt: bootclock.Now(), next: from, end: from + 1}
	p.head, p.restored, p.err = snapshot.step(ctx)
	p.readAt = bootclock.Now()
	if p.restored != nil {
		p.generation = snapshot.generation
		p.next = max(from, p.restored.Next)
		p.end = p.next + 1 // the log has not been read to its end
	}
	return p
}

func (t *tail) read(ctx context.Context, from int64, wait time.Duration) page {
	bounded, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	p := page{sentAt: bootclock.Now(), next: from}
	got, err := t.log.Read(bounded, partition, from, wait)
	t.reads.notePage(readToFollow, &got)
	p.readAt = bootclock.Now()
	if err != nil {
		p.err = err
		return p
	}
	p.first, p.end, p.expired, p.next = got.First, got.End, got.Expired, got.Next
	if got.Expired {
		p.next = got.First
		return p
	}
	if got.End < from {
		p.err = fault.New(fault.Internal, "report this as a bug", "the log ends at %d before position %d", got.End, from)
		return p
	}
	p.records = make([]decoded, len(got.Records))
	for i, data := range got.Records {
		p.records[i].record, p.records[i].err = flow.Decode(data)
	}
	return p
}
