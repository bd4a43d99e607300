package cell

import (
	"context"
	"time"

	"briarproxy/core/fault"
	"briarproxy/core/flow"
	"briarproxy/daemon/bootclock"
)

// Times and limits of reads of the log, its snapshots, the configuration and the registry.
const (
	readWait             = 1000 * time.Millisecond          // for which the store holds a read that finds no record
	readTimeout          = readWait + 2200*time.Millisecond // a direct attempt, then one through another daemon
	readRetryDelay       = 150 * time.Millisecond           // after a failed read
	followerReadInterval = 180 * time.Millisecond           // between reads of a daemon that only answers callers; the platform charges for each read
	placerReadInterval   = 120 * time.Millisecond           // between reads of the placer, which knows its own appends; other daemons append directly only when they can't reach it
	maxRoundTripSample   = 20 * time.Millisecond            // an answer that came without a wait for records shows the round trip
	gapRestoreInterval   = 500 * time.Millisecond           // between looks for a snapshot that closes a gap in the log
	maxDamagedReads      = 5                                // attempts to read a damaged snapshot; a new one may be written meanwhile
	configWait           = 1000 * time.Millisecond          // for which the store holds a read that finds no newer configuration
	registryInterval     = 800 * time.Millisecond           // between reads of the registry: a draining worker must be noticed well within the drain bound
	maxRegistryInterval  = 2400 * time.Millisecond          // at a slow store or on a slow link; still within the drain bound

	registryLinkShare      = 0.08 // of the link's bandwidth, for reads of the registry
	registryBytesPerWorker = 410  // of one entry in an answer of the registry
	bytesPerMbit           = 1e6 / 8
	storeTimeout           = 2000 * time.Millisecond // of a call to the store, beyond the wait that it asks for
)

// page is the result of one read of the log reader: records of the log, or a part of a snapshot.
type page struct {
	records []decodedRecord
	next    int64 // offset after the last record of the page
	end     int64 // offset of the next append to the log
	first   int64 // oldest retained offset
	expired bool  // the record at the read position is no longer retained
	err     error
	sentAt  time.Duration // boot clock
	readAt  time.Duration // boot clock

	restoring  bool               // the page is a part of a snapshot
	head       *flow.SnapshotHead // of a snapshot that is not complete yet
	snapshot   *flow.State        // restored from a complete snapshot; replaces the engine's state
	generation int64              // of the snapshot
	rewound    bool               // the snapshot replaces a state that had gone on from a gap in the log; next is the snapshot's offset
}

// decodedRecord is a record of the log, or the error of decoding it.
type decodedRecord struct {
	record flow.Record
	err    error
}

// logReader reads the log and sends every page to the engine. It owns the read position.
type logReader struct {
	log           Log
	snapshots     Snapshots
	pages         chan<- page
	wake          chan struct{} // ends the pause between two reads
	reads         *readStats
	timing        func() (delay, wait time.Duration) // pause between two reads, and how long a read waits for records
	appliedOffset func() int64                       // offset of the next record that the engine needs; it applies its own appends without reading them
	incomplete    func() bool                        // reports whether the engine needs a snapshot that reaches the oldest retained record
	first         int64                              // oldest retained offset as of the last read
}

func (r *logReader) run(ctx context.Context) {
	from, restoring, snapshot := int64(0), true, newSnapshotReader(r.snapshots, r.reads)
	restoredAt := bootclock.Now()
	rewound := false // the engine may still have its former position
	for ctx.Err() == nil {
		delay, wait := r.timing()
		var p page
		if restoring {
			p, restoredAt = restorePage(ctx, snapshot, from), bootclock.Now()
			// If no snapshot can be read, the log is read from its oldest record on.
			restoring = p.head != nil || p.err != nil && snapshot.damagedReads < maxDamagedReads
			if r.incomplete() {
				restoring = r.checkReach(&p, snapshot, from) && restoring
			}
		} else {
			position := from
			if !rewound {
				position = max(from, r.appliedOffset())
			}
			p = r.read(ctx, position, wait)
			restoring, snapshot.damagedReads = p.expired, 0
			r.first = max(r.first, p.first)
		}
		rewound = p.rewound
		from = p.next
		select {
		case r.pages <- p:
		case <-ctx.Done():
			return
		}
		if r.incomplete() && bootclock.Now()-restoredAt >= gapRestoreInterval {
			restoring = true
		}
		if p.err != nil {
			delay = readRetryDelay
		} else if p.next < p.end {
			delay = 0
		}
		r.pause(ctx, delay)
	}
}

// checkReach drops a snapshot that does not reach the oldest retained record, as the engine has gone on from there. One
// that does replaces the engine's state. It reports whether the snapshot is worth reading on.
func (r *logReader) checkReach(p *page, snapshot *snapshotReader, from int64) bool {
	switch {
	case p.head != nil && p.head.Next < r.first:
		snapshot.restorer = nil
		p.head = nil
		return false
	case p.snapshot != nil && p.snapshot.NextOffset < r.first:
		p.snapshot, p.next = nil, from
	case p.snapshot != nil:
		p.rewound, p.next = true, p.snapshot.NextOffset
	}
	return true
}

func (r *logReader) pause(ctx context.Context, delay time.Duration) {
	if delay <= 0 {
		return
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-r.wake:
	}
}

// restorePage makes one read of the newest snapshot. The log reader restores a snapshot at its start,
// and when records have expired before it read them.
func restorePage(ctx context.Context, snapshot *snapshotReader, from int64) page {
	p := page{sentAt: bootclock.Now(), next: from, end: from + 1, restoring: true}
	p.head, p.snapshot, p.err = snapshot.readNext(ctx)
	p.readAt = bootclock.Now()
	if p.snapshot != nil {
		p.generation = snapshot.generation
		p.next = max(from, p.snapshot.NextOffset)
		p.end = p.next + 1 // the log has not been read to its end
	}
	return p
}

func (r *logReader) read(ctx context.Context, from int64, wait time.Duration) page {
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	p := page{sentAt: bootclock.Now(), next: from}
	logPage, err := r.log.Read(readCtx, partition, from, wait)
	r.reads.countPage(readToFollow, &logPage)
	p.readAt = bootclock.Now()
	if err != nil {
		p.err = err
		return p
	}
	p.first, p.end, p.expired, p.next = logPage.First, logPage.End, logPage.Expired, logPage.Next
	if logPage.Expired {
		p.next = logPage.First
		return p
	}
	if logPage.End < from {
		p.err = fault.New(fault.Internal, "report this as a bug", "the log ends at offset %d, before the read position %d", logPage.End, from)
		return p
	}
	p.records = make([]decodedRecord, len(logPage.Records))
	for i, data := range logPage.Records {
		p.records[i].record, p.records[i].err = flow.Decode(data)
	}
	return p
}
