package cell

import (
	"context"
	"slices"
	"time"

	"briarproxy/core/fault"
	"briarproxy/core/flow"
	"briarproxy/core/placer"
	"briarproxy/daemon/bootclock"
)

// handlePage takes a page of the log.
func (e *engine) handlePage(ctx context.Context, p page) {
	now := p.readAt
	if p.err != nil {
		if fault.Is(p.err, fault.Invalid) {
			e.log.Emit(evSnapshotFailed, "reason", p.err.Error(), "offset", e.state.NextOffset)
		}
		if !e.logUnreachable && now-e.readToEndAt > readyReadAge {
			e.logUnreachable = true
			e.log.Emit(evLogLost, "reason", p.err.Error(), "position", p.next)
		}
		return
	}
	if p.head != nil {
		e.applyHead(p.head, now)
		return
	}
	e.logEnd = p.end
	if e.logUnreachable || e.readToEndAt == 0 || now-e.readToEndAt > readyReadAge+readTimeout {
		if e.logUnreachable {
			e.log.Emit(evLogBack, "position", p.next, "away_ms", (now - e.readToEndAt).Milliseconds())
		}
		e.logUnreachable = false
		e.readableSince = now
	}
	if took := now - p.sentAt; len(p.records) == 0 && took < readWait || took < readWait/2 {
		if e.roundTrip == 0 || took < e.roundTrip {
			e.roundTrip = took
		}
	}
	if e.readToEndAt > 0 { // whole pages are read until then
		e.readTimes.record(now-p.sentAt, now)
		e.store.storeSlow.Store(e.readTimes.shortest()-e.roundTrip > slowLogExcess)
		e.store.latency.Store(int64(e.readTimes.shortest()))
	}
	if p.snapshot != nil {
		e.restoreSnapshot(&p)
	} else if e.headApplied && e.state.NextOffset == 0 {
		e.state, e.headApplied = flow.NewState(), false // the snapshot can't be read: only the log counts
	}
	if p.expired {
		return // a snapshot is read next
	}
	if from := p.next - int64(len(p.records)); from > e.state.NextOffset { // no snapshot reaches up to the kept records
		e.log.Emit(evHistoryLost, "position", e.state.NextOffset, "first", from)
		e.state.NextOffset = from
	}
	for i := range p.records {
		if p.next-int64(len(p.records)-i) < e.state.NextOffset {
			continue // known from the acknowledgement of its append
		}
		if e.placer != nil && p.records[i].record.Submit != nil {
			e.bypassedRecords++
			e.lastBypassAt = now
		}
		e.applyRecord(ctx, &p.records[i], now)
		e.applyAcked(ctx, now)
	}
	if e.state.NextOffset >= p.end {
		e.readToEndAt = max(p.sentAt, now-e.roundTrip) // the end of the log as of the answer
	}
	e.notifyRefreshWaiters()
}

func (e *engine) applyRecord(ctx context.Context, d *decoded, now time.Duration) {
	if d.err != nil {
		e.log.Emit(evRecordUnreadable, "position", e.state.NextOffset, "reason", d.err.Error())
		e.state.Skip()
		return
	}
	former, heardBefore := e.state.Claim, e.state.LastHeard
	position := e.state.NextOffset
	e.recoverPanic(func() {
		if err := e.state.Apply(&d.record, now); err != nil {
			e.log.Emit(evRecordUnreadable, "position", position, "reason", err.Error())
		}
	})
	e.state.NextOffset = position + 1
	e.unsavedEntries += countEntries(&d.record)
	if d.record.Batch != nil && e.state.LastHeard > heardBefore && heardBefore > 0 {
		e.placerGaps.record(e.state.LastHeard-heardBefore, now)
	}
	if e.placer != nil {
		e.placer.RecordApplied(&d.record, now)
	}
	if d.record.Hello != nil || d.record.Claim != nil || d.record.Release != nil {
		e.publishMembers()
	}
	e.publishPlacer()
	if d.record.Claim != nil {
		e.handleClaim(ctx, former, now)
	}
}

// countEntries counts what a record tells, for the work of reading it.
func countEntries(r *flow.Record) int {
	if b := r.Batch; b != nil {
		return 1 + len(b.Begins) + len(b.Ends) + len(b.StartedJobs)
	}
	return 1
}

// publishPlacer tells the writer where callers' records are gathered.
func (e *engine) publishPlacer() {
	if address := e.placerAddress(); address != *e.writer.placerAddress.Load() {
		e.writer.placerAddress.Store(&address)
	}
	strength := e.state.Members[e.state.Claim.Daemon].CapacityFactor
	e.writer.weakPlacer.Store(strength > 0 && strength < minGatheringStrength)
}

// placerAddress is where callers' records are gathered: at the placer, which is near the
// log; "" is here.
func (e *engine) placerAddress() string {
	if e.state.Claim.Daemon == "" || e.state.Claim.Daemon == e.settings.Name {
		return ""
	}
	return e.state.Claim.Address
}

// fallbackAddress is where callers' records are gathered at a slow log while the placer is not
// reached: at the daemon that would succeed it; "" is here.
func (e *engine) fallbackAddress() string {
	if e.state.Claim.Daemon == e.settings.Name {
		return ""
	}
	list := placer.Successors(e.state, e.state.Claim.Daemon, bootclock.Now(), time.Now().UnixMilli())
	if len(list) == 0 || list[0].Daemon == e.settings.Name {
		return ""
	}
	return list[0].Address
}

// applyHead learns from the head of a snapshot through which daemons the store may be reached, and
// where callers' records are gathered. It says nothing of the log.
func (e *engine) applyHead(head *flow.SnapshotHead, now time.Duration) {
	if e.state.NextOffset > 0 || e.headApplied {
		return
	}
	e.headApplied = true
	e.state.RestoreMembership(head, now)
	e.publishMembers()
	e.publishPlacer()
}

// restoreSnapshot begins with a snapshot if it is newer than what is known.
func (e *engine) restoreSnapshot(p *page) {
	e.savedGeneration = max(e.savedGeneration, p.generation)
	if p.snapshot.NextOffset <= e.state.NextOffset {
		return
	}
	e.stopPlacing("its records expired unread")
	e.state = p.snapshot
	e.savedOffset, e.unsavedEntries = p.snapshot.NextOffset, 0
	e.log.Emit(evSnapshotLoaded, "offset", e.state.NextOffset, "jobs", len(e.state.Jobs), "generation", p.generation)
	e.publishMembers()
	e.publishPlacer()
}

// applyOwnAppends takes records that this daemon appended. They are applied when all before
// them are, without being read back.
func (e *engine) applyOwnAppends(ctx context.Context, first int64, records [][]byte) {
	now := bootclock.Now()
	for i, data := range records {
		if offset := first + int64(i); offset >= e.state.NextOffset {
			record, err := flow.Decode(data)
			e.ackedAppends[offset] = decoded{record, err}
		}
	}
	e.applyAcked(ctx, now)
	if len(e.ackedAppends) > 0 {
		e.wakeReader() // somebody else's records lie in between
	}
}

func (e *engine) applyAcked(ctx context.Context, now time.Duration) {
	for len(e.ackedAppends) > 0 {
		d, ready := e.ackedAppends[e.state.NextOffset]
		if !ready {
			break
		}
		delete(e.ackedAppends, e.state.NextOffset)
		e.applyRecord(ctx, &d, now)
	}
	for offset := range e.ackedAppends {
		if offset < e.state.NextOffset {
			delete(e.ackedAppends, offset) // it was read meanwhile
		}
	}
}

// publishMembers tells the relay through which daemons the store may be reached, and the writer
// which one is the fallback appender.
func (e *engine) publishMembers() {
	hellos := make([]flow.Hello, 0, len(e.state.Members))
	for name, m := range e.state.Members {
		if name != e.settings.Name && bootclock.Now()-m.LastSeen < memberTimeout {
			hellos = append(hellos, m.Hello)
		}
	}
	slices.SortFunc(hellos, placer.CompareCandidates)
	addresses := make([]string, len(hellos))
	for i := range hellos {
		addresses[i] = hellos[i].Address
	}
	e.store.members.Store(&addresses)
	fallback := e.fallbackAddress()
	e.writer.fallbackAddress.Store(&fallback)
}

// wakeReader has the log read at once.
func (e *engine) wakeReader() {
	select {
	case e.wakeRead <- struct{}{}:
	default:
	}
}

// refresh runs a query once the log was read up to what it holds now; ok is false if the
// log can't be read.
func (e *engine) refresh(ctx context.Context, f func(e *engine, ok bool)) {
	from := e.state.NextOffset
	go func() {
		bounded, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		end, err := e.store.End(bounded, partition, from)
		answered := bootclock.Now()
		e.do(ctx, func(e *engine) {
			e.probedAt = answered
			if err != nil || e.state.NextOffset >= end {
				f(e, err == nil)
				return
			}
			e.refreshWaiters = append(e.refreshWaiters, refreshWaiter{end, f})
			e.wakeReader()
		})
	}()
}

func (e *engine) notifyRefreshWaiters() {
	waits := e.refreshWaiters
	e.refreshWaiters = nil
	for _, w := range waits {
		if e.state.NextOffset >= w.end {
			w.do(e, true)
		} else {
			e.refreshWaiters = append(e.refreshWaiters, w)
		}
	}
}
