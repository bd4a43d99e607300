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
	readWait             = 1000 * time.Millisecond          // one read waits this long for a record
	readTimeout          = readWait + 2200*time.Millisecond // a direct try, then one through another daemon
	readRetryDelay       = 150 * time.Millisecond           // after a failed read
	followerReadInterval = 180 * time.Millisecond           // between reads of a daemon that only answers callers; each read has a price
	placerReadInterval   = 120 * time.Millisecond           // the placer knows its own appends; others append directly only when they do not reach it
	maxRoundTripSample   = 20 * time.Millisecond            // shorter answers than the wait show the round trip
	maxDamagedReads      = 5                                // to read a snapshot; another one may have been written meanwhile
	configWait           = 1000 * time.Millisecond
	registryInterval     = 800 * time.Millisecond  // a draining worker must be known well within the drain bound
	maxRegistryInterval  = 2400 * time.Millisecond // the longest pause; still within the drain bound

	registryLinkShare      = 0.08 // of the link that readings of the registry may take
	registryBytesPerWorker = 410  // of one worker in an answer
	bytesPerMbit           = 1e6 / 8
	storeTimeout           = 2000 * time.Millisecond
)

// page is what the log reader read.
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
	snapshot   *flow.State        // of a snapshot that replaces what is known
	generation int64              // of the snapshot
}

type decoded struct {
	record flow.Record
	err    error
}

// logReader reads the log and hands every page to the engine. It owns the read position.
type logReader struct {
	log           Log
	snapshots     Snapshots
	pages         chan<- page
	wake          chan struct{} // wakes it from its gap
	reads         *readStats
	timing        func() (gap, wait time.Duration)
	appliedOffset func() int64 // offset up to which the engine knows the log without reading it
}

func (r *logReader) run(ctx context.Context) {
	from, load, snapshot := int64(0), true, newSnapshotReader(r.snapshots, r.reads)
	for ctx.Err() == nil {
		gap, wait := r.timing()
		var p page
		if load {
			p = restorePage(ctx, snapshot, from)
			// Without a snapshot that can be read, the log is read from its first record.
			load = p.head != nil || p.err != nil && snapshot.damagedReads < maxDamagedReads
		} else {
			p = r.read(ctx, max(from, r.appliedOffset()), wait)
			load, snapshot.damagedReads = p.expired, 0
		}
		from = p.next
		select {
		case r.pages <- p:
		case <-ctx.Done():
			return
		}
		if p.err != nil {
			gap = readRetryDelay
		} else if p.next < p.end {
			gap = 0
		}
		r.pause(ctx, gap)
	}
}

func (r *logReader) pause(ctx context.Context, gap time.Duration) {
	if gap <= 0 {
		return
	}
	timer := time.NewTimer(gap)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-r.wake:
	}
}

// restorePage reads a part of the newest snapshot, at the start and after records expired unread.
func restorePage(ctx context.Context, snapshot *snapshotReader, from int64) page {
	p := page{sentAt: bootclock.Now(), next: from, end: from + 1}
	p.head, p.snapshot, p.err = snapshot.step(ctx)
	p.readAt = bootclock.Now()
	if p.snapshot != nil {
		p.generation = snapshot.generation
		p.next = max(from, p.snapshot.NextOffset)
		p.end = p.next + 1 // the log has not been read to its end
	}
	return p
}

func (r *logReader) read(ctx context.Context, from int64, wait time.Duration) page {
	bounded, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	p := page{sentAt: bootclock.Now(), next: from}
	got, err := r.log.Read(bounded, partition, from, wait)
	r.reads.countPage(readToFollow, &got)
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
