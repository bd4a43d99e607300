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

// read takes a page of the log.
func (e *engine) read(ctx context.Context, p page) {
	now := p.readAt
	if p.err != nil {
		if fault.Is(p.err, fault.Invalid) {
			e.log.Emit(evSnapshotBad, "reason", p.err.Error(), "offset", e.state.Next)
		}
		if !e.lost && now-e.readLast > readyWithin {
			e.lost = true
			e.log.Emit(evStoreLost, "reason", p.err.Error(), "position", p.next)
		}
		return
	}
	if p.head != nil {
		e.meet(p.head, now)
		return
	}
	e.logEnd = p.end
	if e.lost || e.readLast == 0 || now-e.readLast > readyWithin+readTimeout {
		if e.lost {
			e.log.Emit(evStoreBack, "position", p.next, "away_ms", (now - e.readLast).Milliseconds())
		}
		e.lost = false
		e.readSince = now
	}
	if took := now - p.sentAt; len(p.records) == 0 && took < readWait || took < readWait/2 {
		if e.roundTrip == 0 || took < e.roundTrip {
			e.roundTrip = took
		}
	}
	if e.readLast > 0 { // whole pages are read until then
		e.quickest.note(now-p.sentAt, now)
		e.store.slow.Store(e.quickest.shortest()-e.roundTrip > slowLog)
		e.store.usual.Store(int64(e.quickest.shortest()))
	}
	if p.restored != nil {
		e.restore(&p)
	} else if e.met && e.state.Next == 0 {
		e.state, e.met = flow.NewState(), false // the snapshot can't be read: only the log counts
	}
	if p.expired {
		return // a snapshot is read next
	}
	if from := p.next - int64(len(p.records)); from > e.state.Next { // no snapshot reaches up to the kept records
		e.log.Emit(evHistory, "position", e.state.Next, "first", from)
		e.state.Next = from
	}
	for i := range p.records {
		if p.next-int64(len(p.records)-i) < e.state.Next {
			continue // known from the acknowledgement of its append
		}
		if e.placer != nil && p.records[i].record.Submit != nil {
			e.bypassed++
			e.bypassedAt = now
		}
		e.apply(ctx, &p.records[i], now)
		e.applyAhead(ctx, now)
	}
	if e.state.Next >= p.end {
		e.readLast = max(p.sentAt, now-e.roundTrip) // the end of the log as of the answer
	}
	e.answerFresh()
}

func (e *engine) apply(ctx context.Context, d *decoded, now time.Duration) {
	if d.err != nil {
		e.log.Emit(evBadRecord, "position", e.state.Next, "reason", d.err.Error())
		e.state.Skip()
		return
	}
	former, heard := e.state.Claim, e.state.Heard
	position := e.state.Next
	e.guard(func() {
		if err := e.state.Apply(&d.record, now); err != nil {
			e.log.Emit(evBadRecord, "position", position, "reason", err.Error())
		}
	})
	e.state.Next = position + 1
	e.unsaved += entries(&d.record)
	if d.record.Batch != nil && e.state.Heard > heard && heard > 0 {
		e.gaps.note(e.state.Heard-heard, now)
	}
	if e.placer != nil {
		e.placer.Read(&d.record, now)
	}
	if d.record.Hello != nil || d.record.Claim != nil || d.record.Release != nil {
		e.shareMembers()
	}
	e.sharePlacer()
	if d.record.Claim != nil {
		e.claimed(ctx, former, now)
	}
}

// entries counts what a record tells, for the work of reading it.
func entries(r *flow.Record) int {
	if b := r.Batch; b != nil {
		return 1 + len(b.Begins) + len(b.Ends) + len(b.Started)
	}
	return 1
}

// sharePlacer tells the writer where callers' records are gathered.
func (e *engine) sharePlacer() {
	if address := e.placerAddress(); address != *e.writer.placer.Load() {
		e.writer.placer.Store(&address)
	}
	strength := e.state.Members[e.state.Claim.Daemon].Strength
	e.writer.thin.Store(strength > 0 && strength < thinStrength)
}

// placerAddress is where callers' records are gathered: at the placer, which is near the
// log; "" is here.
func (e *engine) placerAddress() string {
	if e.state.Claim.Daemon == "" || e.state.Claim.Daemon == e.settings.Name {
		return ""
	}
	return e.state.Claim.Address
}

// standInAddress is where callers' records are gathered at a slow log while the placer is not
// reached: at the daemon that would succeed it; "" is here.
func (e *engine) standInAddress() string {
	if e.state.Claim.Daemon == e.settings.Name {
		return ""
	}
	list := placer.Successors(e.state, e.state.Claim.Daemon, bootclock.Now(), time.Now().UnixMilli())
	if len(list) == 0 || list[0].Daemon == e.settings.Name {
		return ""
	}
	return list[0].Address
}

// meet learns from the head of a snapshot through which daemons the store may be reached, and
// where callers' records are gathered. It says nothing of the log.
func (e *engine) meet(head *flow.SnapshotHead, now time.Duration) {
	if e.state.Next > 0 || e.met {
		return
	}
	e.met = true
	e.state.Meet(head, now)
	e.shareMembers()
	e.sharePlacer()
}

// restore begins with a snapshot if it is newer than what is known.
func (e *engine) restore(p *page) {
	e.savedGeneration = max(e.savedGeneration, p.generation)
	if p.restored.Next <= e.state.Next {
		return
	}
	e.endPlacer("its records expired unread")
	e.state = p.restored
	e.savedNext, e.unsaved = p.restored.Next, 0
	e.log.Emit(evRestored, "offset", e.state.Next, "jobs", len(e.state.Jobs), "generation", p.generation)
	e.shareMembers()
	e.sharePlacer()
}

// appended takes records that this daemon appended. They are applied when all before
// them are, without being read back.
func (e *engine) appended(ctx context.Context, first int64, records [][]byte) {
	now := bootclock.Now()
	for i, data := range records {
		if offset := first + int64(i); offset >= e.state.Next {
			record, err := flow.Decode(data)
			e.ahead[offset] = decoded{record, err}
		}
	}
	e.applyAhead(ctx, now)
	if len(e.ahead) > 0 {
		e.wakeTail() // somebody else's records lie in between
	}
}

func (e *engine) applyAhead(ctx context.Context, now time.Duration) {
	for len(e.ahead) > 0 {
		d, ready := e.ahead[e.state.Next]
		if !ready {
			break
		}
		delete(e.ahead, e.state.Next)
		e.apply(ctx, &d, now)
	}
	for offset := range e.ahead {
		if offset < e.state.Next {
			delete(e.ahead, offset) // it was read meanwhile
		}
	}
}

// shareMembers tells the relay through which daemons the store may be reached, and the writer
// which one stands in for the placer.
func (e *engine) shareMembers() {
	hellos := make([]flow.Hello, 0, len(e.state.Members))
	for name, m := range e.state.Members {
		if name != e.settings.Name && bootclock.Now()-m.Seen < memberSilence {
			hellos = append(hellos, m.Hello)
		}
	}
	slices.SortFunc(hellos, placer.Order)
	addresses := make([]string, len(hellos))
	for i := range hellos {
		addresses[i] = hellos[i].Address
	}
	e.store.members.Store(&addresses)
	standIn := e.standInAddress()
	e.writer.standIn.Store(&standIn)
}

// wakeTail has the log read at once.
func (e *engine) wakeTail() {
	select {
	case e.nudge <- struct{}{}:
	default:
	}
}

// fresh runs a query once the log was read up to what it holds now; ok is false if the
// log can't be read.
func (e *engine) fresh(ctx context.Context, f func(e *engine, ok bool)) {
	from := e.state.Next
	go func() {
		bounded, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		end, err := e.store.End(bounded, partition, from)
		answered := bootclock.Now()
		e.do(ctx, func(e *engine) {
			e.probedAt = answered
			if err != nil || e.state.Next >= end {
				f(e, err == nil)
				return
			}
			e.freshWaits = append(e.freshWaits, freshWait{end, f})
			e.wakeTail()
		})
	}()
}

func (e *engine) answerFresh() {
	waits := e.freshWaits
	e.freshWaits = nil
	for _, w := range waits {
		if e.state.Next >= w.end {
			w.do(e, true)
		} else {
			e.freshWaits = append(e.freshWaits, w)
		}
	}
}
