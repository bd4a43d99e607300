package cell

import (
	"context"
	"time"

	"briarproxy/core/fault"
	"briarproxy/core/flow"
	"briarproxy/core/placer"
	"briarproxy/daemon/bootclock"
)

// handlePage handles the result of one read of the log reader: a page of records, a snapshot
// or its head, or an error.
func (e *engine) handlePage(ctx context.Context, p page) {
	now := p.readAt
	lastReachedEndAt := e.lastReachedEndAt()
	if p.err != nil {
		if fault.Is(p.err, fault.Invalid) {
			e.log.Emit(evSnapshotFailed, "reason", p.err.Error(), "offset", e.state.NextOffset)
		}
		if !e.logUnreachable && now-lastReachedEndAt > readyReadAge {
			e.logUnreachable = true
			e.log.Emit(evLogLost, "reason", p.err.Error(), "position", p.next)
		}
		return
	}
	if p.head != nil {
		e.applyHead(p.head, now)
		return
	}
	e.logEnd, e.logFirst = p.end, max(e.logFirst, p.first)
	if e.logUnreachable || lastReachedEndAt == 0 || now-lastReachedEndAt > readyReadAge+readTimeout {
		if e.logUnreachable {
			e.log.Emit(evLogBack, "position", p.next, "away_ms", (now - lastReachedEndAt).Milliseconds())
		}
		e.logUnreachable = false
		e.readableSince = now
	}
	if latency := now - p.sentAt; len(p.records) == 0 && latency < readWait || latency < readWait/2 {
		if e.roundTrip == 0 || latency < e.roundTrip {
			e.roundTrip = latency
		}
	}
	if e.readToEndAt > 0 { // before that, full pages take longer to transfer
		e.readTimes.record(now-p.sentAt, now)
		e.store.storeSlow.Store(e.readTimes.shortest()-e.roundTrip > slowLogMargin)
		e.store.latency.Store(int64(e.readTimes.shortest()))
	}
	if p.snapshot != nil {
		e.restoreSnapshot(&p)
	} else if e.headApplied && e.state.NextOffset == 0 {
		e.state, e.headApplied = flow.NewState(), false // the snapshot can't be read, so the state is built from the log alone
	}
	if p.expired || p.restoring {
		e.notifyRefreshWaiters()
		return // the log reader reads a snapshot, or the records after it, next
	}
	if firstOffset := p.next - int64(len(p.records)); firstOffset > e.state.NextOffset {
		e.beginGap(firstOffset, now)
	}
	for i := range p.records {
		if p.next-int64(len(p.records)-i) < e.state.NextOffset {
			continue // already applied when its append was acknowledged
		}
		if e.placer != nil && p.records[i].record.Submit != nil {
			e.bypassedRecords++
			e.lastBypassAt = now
		}
		e.applyRecord(ctx, &p.records[i], now)
		e.applyAcked(ctx, now)
	}
	if e.state.NextOffset >= p.end {
		e.reachedEnd(max(p.sentAt, now-e.roundTrip)) // estimates when the store looked up the end of the log
	}
	e.notifyRefreshWaiters()
}

// applyRecord applies the record at the next offset to the state and updates all that depends
// on it. An unreadable record is logged and skipped.
func (e *engine) applyRecord(ctx context.Context, d *decodedRecord, now time.Duration) {
	if d.err != nil {
		e.log.Emit(evRecordUnreadable, "position", e.state.NextOffset, "reason", d.err.Error())
		e.state.Skip()
		return
	}
	formerLastHeard := e.state.LastHeard
	position := e.state.NextOffset
	if h := d.record.Hello; h != nil {
		known := e.state.Members[h.Daemon]
		e.membersChanged = e.membersChanged || *h != known.Hello || now-known.LastSeen >= memberTimeout
	}
	e.recoverPanic(func() {
		if err := e.state.Apply(&d.record, now); err != nil {
			e.log.Emit(evRecordUnreadable, "position", position, "reason", err.Error())
		}
	})
	e.state.NextOffset = position + 1
	e.entriesSinceSnapshot += countEntries(&d.record)
	if b := d.record.Batch; b != nil && b.Epoch == e.state.Claim.Epoch {
		e.noteSnapshot(b.Snapshot)
	}
	if d.record.Batch != nil && e.state.LastHeard > formerLastHeard && formerLastHeard > 0 {
		e.batchGaps.record(e.state.LastHeard-formerLastHeard, now)
	}
	if e.placer != nil {
		e.placer.RecordApplied(&d.record, now)
	}
	if d.record.Claim != nil || d.record.Release != nil {
		e.publishMembers()
	}
	e.publishPlacer()
	if d.record.Claim != nil {
		e.handleClaim(ctx, now)
	}
}

// countEntries returns the number of entries in a record, as a measure of the work of
// applying it.
func countEntries(r *flow.Record) int {
	if b := r.Batch; b != nil {
		return 1 + len(b.Begins) + len(b.Ends) + len(b.StartedJobs)
	}
	return 1
}

// publishPlacer gives the writer the address to which callers' records are forwarded, and whether
// the placer has enough capacity for them.
func (e *engine) publishPlacer() {
	if address := e.placerAddress(); address != *e.writer.placerAddress.Load() {
		e.writer.placerAddress.Store(&address)
	}
	capacityFactor := e.state.Members[e.state.Claim.Daemon].CapacityFactor
	e.writer.lowCapacityPlacer.Store(capacityFactor > 0 && capacityFactor < minForwardCapacityFactor)
}

// placerAddress returns the address to which callers' records are forwarded: that of the
// placer, which is near the log, or "" if this daemon is the placer or none is known.
func (e *engine) placerAddress() string {
	if e.state.Claim.Daemon == "" || e.state.Claim.Daemon == e.settings.Name {
		return ""
	}
	return e.state.Claim.Address
}

// fallbackAddress returns the address to which callers' records are forwarded while the log is
// slow and the placer can't be reached: that of the placer's best successor, or "" if this daemon
// is the placer or that successor, or none is known.
func (e *engine) fallbackAddress() string {
	if e.state.Claim.Daemon == e.settings.Name {
		return ""
	}
	successor, found := placer.BestSuccessor(e.state, e.state.Claim.Daemon, bootclock.Now(), time.Now().UnixMilli())
	if !found || successor.Daemon == e.settings.Name {
		return ""
	}
	return successor.Address
}

// applyHead takes the members and the claim from the head of a snapshot: the daemons that may
// relay calls to the store, and the placer, to which callers' records are forwarded. The head
// holds no jobs, and the read position does not change.
func (e *engine) applyHead(head *flow.SnapshotHead, now time.Duration) {
	if e.state.NextOffset > 0 || e.headApplied {
		return
	}
	e.headApplied = true
	e.state.RestoreMembership(head, now)
	e.publishMembers()
	e.publishPlacer()
}

// restoreSnapshot replaces the state with a snapshot if the snapshot is newer.
func (e *engine) restoreSnapshot(p *page) {
	e.snapshotGeneration = max(e.snapshotGeneration, p.generation)
	closesGap := p.rewound && e.gap != nil
	if p.snapshot.NextOffset <= e.state.NextOffset && !closesGap {
		return
	}
	if closesGap {
		e.closeGap()
	}
	e.stopPlacing("records of the log expired before this daemon read them")
	e.state = p.snapshot
	e.snapshotOffset, e.snapshotAsOf, e.entriesSinceSnapshot = p.snapshot.NextOffset, 0, 0
	e.log.Emit(evSnapshotLoaded, "offset", e.state.NextOffset, "jobs", len(e.state.Jobs), "generation", p.generation)
	e.publishMembers()
	e.publishPlacer()
}

// applyOwnAppends takes records that this daemon appended. They are applied as soon as all
// records before them are, without being read from the log.
func (e *engine) applyOwnAppends(ctx context.Context, firstOffset int64, records [][]byte) {
	now := bootclock.Now()
	for i, data := range records {
		if offset := firstOffset + int64(i); offset >= e.state.NextOffset {
			record, err := flow.Decode(data)
			e.ackedAppends[offset] = decodedRecord{record, err}
		}
	}
	e.applyAcked(ctx, now)
	if len(e.ackedAppends) > 0 {
		e.wakeReader() // records of other daemons precede them
	}
}

// applyAcked applies the acknowledged appends that are next in the log, and drops those that
// were read in the meantime.
func (e *engine) applyAcked(ctx context.Context, now time.Duration) {
	for len(e.ackedAppends) > 0 {
		d, acked := e.ackedAppends[e.state.NextOffset]
		if !acked {
			break
		}
		delete(e.ackedAppends, e.state.NextOffset)
		e.applyRecord(ctx, &d, now)
	}
	for offset := range e.ackedAppends {
		if offset < e.state.NextOffset {
			delete(e.ackedAppends, offset)
		}
	}
}

// publishMembersIfDue publishes the members some time after a Hello has changed them, and now and then because
// members that send none are left out. Sorting them for each Hello of each daemon would cost every daemon a
// time that grows with the square of their number.
func (e *engine) publishMembersIfDue(now time.Duration) {
	if age := now - e.membersPublishedAt; e.membersChanged && age >= membersPublishDelay || age >= helloInterval {
		e.publishMembers()
	}
}

// publishMembers gives the store client the addresses of the daemons that may relay calls to the store,
// those best suited as the placer first, and the writer the address of the fallback appender.
func (e *engine) publishMembers() {
	now := bootclock.Now()
	e.membersChanged, e.membersPublishedAt = false, now
	hellos := make([]flow.Hello, 0, len(e.state.Members))
	for name, m := range e.state.Members {
		if name != e.settings.Name && now-m.LastSeen < memberTimeout {
			hellos = append(hellos, m.Hello)
		}
	}
	placer.SortCandidates(hellos)
	addresses := make([]string, len(hellos))
	for i := range hellos {
		addresses[i] = hellos[i].Address
	}
	e.store.memberAddresses.Store(&addresses)
	fallback := e.fallbackAddress()
	e.writer.fallbackAddress.Store(&fallback)
}

// wakeReader makes the log reader read at once.
func (e *engine) wakeReader() {
	select {
	case e.wakeRead <- struct{}{}:
	default:
	}
}

// refresh runs f once the log has been read up to its present end. It passes ok as false if that end can't be determined, or
// if it turns out meanwhile that the state lacks records.
func (e *engine) refresh(ctx context.Context, f func(e *engine, ok bool)) {
	nextOffset := e.state.NextOffset
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		end, err := e.store.End(callCtx, partition, nextOffset)
		answeredAt := bootclock.Now()
		e.do(ctx, func(e *engine) {
			e.endQueryAnsweredAt = answeredAt
			if err != nil || e.state.NextOffset >= end {
				f(e, err == nil && e.gap == nil)
				return
			}
			e.refreshWaiters = append(e.refreshWaiters, refreshWaiter{end, f})
			e.wakeReader()
		})
	}()
}

// notifyRefreshWaiters runs the callbacks of the waiters whose offset has been reached.
func (e *engine) notifyRefreshWaiters() {
	waiters := e.refreshWaiters
	e.refreshWaiters = nil
	for _, w := range waiters {
		if e.state.NextOffset >= w.end {
			w.callback(e, e.gap == nil)
		} else {
			e.refreshWaiters = append(e.refreshWaiters, w)
		}
	}
}
