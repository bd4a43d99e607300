package router

import (
	"context"
	"math"
	"time"

	"briarproxy/core/admission"
	"briarproxy/core/wire"
	"briarproxy/daemon/view"
)

// state belongs to the router's goroutine.
type state struct {
	r        *Router
	ctx      context.Context
	pools    map[string]*poolState
	suspects map[string]suspect
	leaving  map[workerKey]bool
	draining bool
	quotas   quotas
	headroom headroom
}

// workerKey names one incarnation of a worker.
type workerKey struct {
	vm          string
	incarnation int64
}

// suspect is a worker that takes no start until a time, because a start did not
// reach it or its outcome is unknown.
type suspect struct {
	until   time.Duration
	strikes int
}

// poolState is the queue and the borrowed slots of one pool.
type poolState struct {
	name       string
	queue      *admission.Queue[*waiter]
	cross      map[string]bool // classes that may go to another region
	priorities map[string]int  // of classes
	rate       admission.ServiceRate
	runTimes   map[string]*admission.ServiceRate // by service and operation
	loans      []*loan
	held       []heldSlot
	lenders    []*lender
	lendersAt  time.Duration
	lendersSet bool
	peak       float64 // decaying peak of the slots in use and waited for
	peakAt     time.Duration
	checkedAt  time.Duration // last check for waiters that can't start in time
}

// waiter is a request that waits for a slot.
type waiter struct {
	query   Query
	began   time.Duration
	entry   *admission.Entry[*waiter]
	queued  chan time.Duration // latest useful start
	granted chan grant

	charged bool          // to its team's quota
	heldAt  time.Duration // since when it waits for the quota
	startBy time.Duration
}

// tell passes on the latest useful start, unless an earlier one was not read yet.
func (w *waiter) tell(startBy time.Duration) {
	select {
	case w.queued <- startBy:
	default:
	}
}

// grant answers a waiter.
type grant struct {
	slot    *Slot
	problem *wire.Problem
	reason  string
	refused []wire.Refused
}

func newState(r *Router, ctx context.Context) *state {
	return &state{r: r, ctx: ctx, pools: map[string]*poolState{}, suspects: map[string]suspect{}, leaving: map[workerKey]bool{}, quotas: newQuotas()}
}

func (s *state) now() time.Duration { return s.r.options.Now() }

func (s *state) pool(name string) *poolState {
	p, found := s.pools[name]
	if !found {
		p = &poolState{name: name, queue: admission.NewQueue[*waiter](), cross: map[string]bool{}, priorities: map[string]int{}, runTimes: map[string]*admission.ServiceRate{}}
		s.pools[name] = p
	}
	return p
}

// acquireMsg asks for a slot.
type acquireMsg struct{ w *waiter }

func (m acquireMsg) apply(s *state) {
	w, q := m.w, m.w.query
	if s.draining {
		w.granted <- grant{problem: stopping()}
		return
	}
	now := s.now()
	p := s.pool(q.Pool)
	s.refreshLenders(p, now)
	if len(p.lenders) == 0 && p.freeSlots(now, tierRemote) == 0 {
		w.granted <- grant{problem: s.noCapacity(q.Pool)}
		return
	}
	if !s.charge(w, now) {
		s.holdBack(p, w, now)
		return
	}
	s.enqueue(p, w, now)
}

// startBy returns the latest start that leaves time to run.
func startBy(p *poolState, q *Query, now time.Duration) time.Duration {
	return q.Deadline - min(p.runTime(q.Service, q.Operation).MeanRunTime(), (q.Deadline-now)/2)
}

// enqueue queues a request that is charged to its team.
func (s *state) enqueue(p *poolState, w *waiter, now time.Duration) {
	q := &w.query
	p.queue.SetClass(admission.Class{Name: q.Class, Priority: q.Priority, MinShare: q.MinShare, MaxLength: maxQueued})
	p.cross[q.Class] = q.CrossRegion
	p.priorities[q.Class] = q.Priority
	startBy := startBy(p, q, now)
	w.entry = &admission.Entry[*waiter]{Class: q.Class, Team: q.Team, Weight: q.Weight, StartBy: startBy, Value: w}
	if shed := p.queue.Push(now, p.load(now), w.entry); shed != nil {
		s.refuse(w, overload(shed))
		return
	}
	w.tell(startBy)
	s.serve(p, now)
}

// cancelMsg takes a waiter out of the queue.
type cancelMsg struct {
	w       *waiter
	removed chan time.Duration // predicted wait of such a request, 0: not known
}

func (m cancelMsg) apply(s *state) {
	if m.w.entry != nil && s.pool(m.w.query.Pool).queue.Remove(m.w.entry) {
		s.uncharge(m.w)
	}
	s.dropHeld(m.w)
	m.removed <- s.predicted(s.pool(m.w.query.Pool), m.w, s.now())
}

// releaseMsg gives back a slot.
type releaseMsg struct {
	slot    *Slot
	hold    time.Duration // keep the slot occupied until then; 0: it is free
	refused wire.Refusal
	noRoute bool
	ran     bool

	restarted bool // the worker has another incarnation
	took      time.Duration

	service   string
	operation string

	failed       bool // it ran and ended as failed
	deferFailure bool // failedMsg counts the failure
}

func (m releaseMsg) apply(s *state) {
	slot := m.slot
	if slot.released {
		return
	}
	slot.released = true
	now := s.now()
	p := s.pool(slot.pool)
	s.judge(m, now)
	if m.ran && !(m.failed && m.deferFailure) {
		p.countRun(slot, m.service+"/"+m.operation, m.failed)
	}
	if m.ran && !m.failed { // a quick failure says nothing about the service rate
		p.rate.Observe(m.took)
		p.runTime(m.service, m.operation).Observe(m.took)
	}
	if m.hold > now {
		p.held = append(p.held, heldSlot{slot: slot, until: m.hold})
		return
	}
	s.vacate(slot, now)
	s.admitHeld(slot.team, now)
	s.serve(p, now)
}

// endedMsg says that the run in a held slot has ended.
type endedMsg struct{ slot *Slot }

func (m endedMsg) apply(s *state) {
	now := s.now()
	p := s.pool(m.slot.pool)
	for i, h := range p.held {
		if h.slot == m.slot {
			p.held = append(p.held[:i], p.held[i+1:]...)
			s.vacate(h.slot, now)
			s.serve(p, now)
			return
		}
	}
}

// Times for which a worker that did not take a start is passed over.
const (
	firstSuspicion = time.Second
	maxSuspicion   = 15 * time.Second
)

// judge draws conclusions about the worker from the end of a run.
func (s *state) judge(m releaseMsg, now time.Duration) {
	switch m.refused {
	case wire.RefusedDraining:
		s.leaving[workerKey{m.slot.VM, m.slot.Incarnation}] = true
		m.slot.loan.dropped = true
	case wire.RefusedStaleEpoch, wire.RefusedWrongIncarnation:
		m.slot.loan.dropped = true
	}
	if m.restarted {
		m.slot.loan.dropped = true
	}
	if m.ran {
		delete(s.suspects, m.slot.VM)
	}
	if m.noRoute || m.refused == wire.RefusedNoRoom {
		old := s.suspects[m.slot.VM]
		wait := min(maxSuspicion, firstSuspicion<<min(old.strikes, 4))
		s.suspects[m.slot.VM] = suspect{until: now + wait, strikes: old.strikes + 1}
	}
}

// vacate frees a slot of a loan and the part of the quota that it was charged to.
func (s *state) vacate(slot *Slot, now time.Duration) {
	slot.loan.busy--
	slot.loan.idleSince = now
	if slot.team != "" {
		s.quotas.holder.Release(slot.team, oneSlot)
	}
}

// serve hands out free slots and asks for more where they are missing.
func (s *state) serve(p *poolState, now time.Duration) {
	s.dispatch(p, now)
	s.borrow(p, now)
}

// maxPassedOver bounds the waiters that one dispatch passes over because they
// avoid every free worker.
const maxPassedOver = 16

// dispatch hands free slots to waiters in the queue's order.
func (s *state) dispatch(p *poolState, now time.Duration) {
	var passed []*admission.Entry[*waiter]
	for p.queue.Len() > 0 && len(passed) < maxPassedOver {
		entry := p.queue.Pop(s.allowed(p, now))
		if entry == nil {
			break
		}
		if !s.assign(p, entry.Value, now) {
			passed = append(passed, entry)
		}
	}
	for _, entry := range passed {
		if p.queue.Push(now, admission.Load{}, entry) != nil {
			s.refuse(entry.Value, busy("no-slot", noSlotRetry, "no slot became free before the deadline"))
		}
	}
}

// allowed returns which classes can use the slots that are free now: all of them
// while a local slot is free, otherwise those that may cross regions. Classes that
// must leave headroom go on only while their guaranteed share owes them a turn.
func (s *state) allowed(p *poolState, now time.Duration) func(string) bool {
	local, remote := false, false
	for _, l := range p.loans {
		if s.refusal(l, nil, now) != "" {
			continue
		}
		local = local || l.tier != tierRemote
		remote = remote || l.tier == tierRemote
	}
	rules := s.headroom.rules(s.r.options.View.Current().Set)
	if local && len(rules) == 0 {
		return nil
	}
	free, total := p.capacity(now)
	return func(class string) bool {
		if !local && !(remote && p.cross[class]) {
			return false
		}
		return free > reserve(rules, p.priorities[class], total) || p.queue.MinShareDue(class)
	}
}

// refusal says why the loan can't serve the query, "" when it can. A nil query
// stands for one without restrictions.
func (s *state) refusal(l *loan, q *Query, now time.Duration) string {
	switch {
	case !l.usable(now):
		return "loan lapsed or withdrawn"
	case l.free() <= 0:
		return "no free slot"
	case s.isLeaving(l):
		return "worker is leaving"
	case s.suspects[l.VM].until > now:
		return "worker did not take the last start"
	case q == nil:
		return ""
	case l.Probe && !q.Probe:
		return "worker is isolated, only a request that may run again probes it"
	case l.tier == tierRemote && !q.CrossRegion:
		return "policy keeps the request in the region"
	}
	for _, vm := range q.Avoid {
		if vm == l.VM {
			return "worker refused this request before"
		}
	}
	return ""
}

func (s *state) isLeaving(l *loan) bool {
	if s.leaving[workerKey{l.VM, l.Incarnation}] {
		return true
	}
	vm, listed := s.r.options.View.Current().VMs[l.VM]
	return listed && vm.Leaving
}

// assign gives the waiter a slot of the nearest and least used worker.
func (s *state) assign(p *poolState, w *waiter, now time.Duration) bool {
	counts := map[string]int{}
	var best *loan
	candidates := 0
	for _, l := range p.loans {
		if reason := s.refusal(l, &w.query, now); reason != "" {
			counts[reason]++
			continue
		}
		candidates++
		if best == nil || l.better(best) {
			best = l
		}
	}
	if best == nil {
		return false
	}
	slot := best.slot(p.name)
	if w.charged {
		slot.team = w.query.Team
	}
	w.granted <- grant{slot: slot, reason: reasonFor(best.tier, candidates), refused: refusedList(counts)}
	return true
}

// better prefers the nearer worker, then one that waits for a probe, then the one
// with the smaller part in use. A probe that is not used delays the return of its
// worker.
func (l *loan) better(o *loan) bool {
	if l.tier != o.tier {
		return l.tier < o.tier
	}
	if l.Probe != o.Probe {
		return l.Probe
	}
	return l.busy*o.Slots < o.busy*l.Slots
}

// tick does what is due by time and returns the time until the next tick.
func (s *state) tick() time.Duration {
	now := s.now()
	next := idleTick
	if s.tickQuotas(now) {
		next = busyTick
	}
	for _, p := range s.pools {
		s.expire(p, now)
		s.giveUp(p, now)
		s.serve(p, now)
		s.keepLoans(p, now)
		if p.queue.Len() > 0 {
			next = busyTick
		}
	}
	s.forgetGone()
	return next
}

// hopelessEvery is the time between checks for waiters that can't start in time.
const hopelessEvery = 100 * time.Millisecond

// giveUp answers waiters that can't start in time any more.
func (s *state) giveUp(p *poolState, now time.Duration) {
	if p.queue.Len() == 0 || now-p.checkedAt < hopelessEvery {
		return
	}
	p.checkedAt = now
	for _, late := range p.queue.ShedLate(now, p.load(now)) {
		s.refuse(late.Entry.Value, overload(&late.Shed))
	}
}

func overload(shed *admission.Shed) *wire.Problem {
	return busy("overload", shed.RetryAfter, "refused at once: %s, predicted wait %d ms", shed.Reason, shed.Wait.Milliseconds())
}

// expire frees held slots whose run lease has lapsed and drops lapsed loans.
func (s *state) expire(p *poolState, now time.Duration) {
	held := p.held[:0]
	for _, h := range p.held {
		if h.until > now {
			held = append(held, h)
			continue
		}
		s.vacate(h.slot, now)
	}
	clear(p.held[len(held):])
	p.held = held
	kept := p.loans[:0]
	for _, l := range p.loans {
		if now-l.received >= maxLoanAge || s.isLeaving(l) {
			l.dropped = true
		}
		if now < l.end || l.busy > 0 {
			kept = append(kept, l)
			continue
		}
		if !l.dropped {
			s.r.options.Log.Emit(eventLapsed, "lender", l.lender, "vm", l.VM, "loan", l.ID)
		}
	}
	clear(p.loans[len(kept):])
	p.loans = kept
}

// forgetGone bounds the knowledge about workers to those in the VM list.
func (s *state) forgetGone() {
	vms := s.r.options.View.Current().VMs
	for key := range s.leaving {
		if _, listed := vms[key.vm]; !listed {
			delete(s.leaving, key)
		}
	}
	for vm := range s.suspects {
		if _, listed := vms[vm]; !listed {
			delete(s.suspects, vm)
		}
	}
}

// freeSlots counts free slots up to a distance.
func (p *poolState) freeSlots(now time.Duration, limit tier) int64 {
	var free int64
	for _, l := range p.loans {
		if l.usable(now) && l.tier <= limit {
			free += max(0, l.free())
		}
	}
	return free
}

func (p *poolState) busySlots() int64 {
	var sum int64
	for _, l := range p.loans {
		sum += l.busy
	}
	return sum
}

// runTime returns the measured run time of an operation.
func (p *poolState) runTime(service, operation string) *admission.ServiceRate {
	key := service + "/" + operation
	rate, found := p.runTimes[key]
	if !found {
		rate = &admission.ServiceRate{}
		p.runTimes[key] = rate
	}
	return rate
}

// load estimates the service from the slots that this daemon has and those that
// the lenders reported free. The rate is unknown while a lender of this region has
// not answered yet, so that nothing is refused on a guess.
func (p *poolState) load(now time.Duration) admission.Load {
	free := p.freeSlots(now, tierRemote)
	for _, l := range p.lenders {
		if l.freeThere < 0 && l.tier != tierRemote {
			return admission.Load{}
		}
		free += max(0, l.freeThere)
	}
	return admission.Load{StartsPerSecond: p.rate.PerSecond(p.busySlots() + free), SlotFree: free > 0}
}

// notePeak follows the use of the pool upwards at once and downwards slowly.
func (p *poolState) notePeak(now time.Duration) {
	use := float64(p.busySlots()) + float64(p.queue.Len())
	p.peak *= math.Exp(-(now - p.peakAt).Seconds() / peakDecay.Seconds())
	p.peakAt = now
	p.peak = math.Max(p.peak, use)
}

// refuseAll answers everybody who waits.
func (s *state) refuseAll() {
	for _, p := range s.pools {
		for entry := p.queue.Pop(nil); entry != nil; entry = p.queue.Pop(nil) {
			s.refuse(entry.Value, stopping())
		}
	}
	for team, waiting := range s.quotas.held {
		for _, w := range waiting {
			s.refuse(w, stopping())
		}
		delete(s.quotas.held, team)
		s.quotas.noteWaiting(team)
	}
}

// distance returns the tier of a place as seen from this daemon.
func distance(self view.Daemon, region, dataCentre string) tier {
	switch {
	case region != self.Region:
		return tierRemote
	case dataCentre != self.DataCentre:
		return tierRegion
	}
	return tierDataCentre
}

func reasonFor(t tier, candidates int) string {
	where := [...]string{"local data centre", "local region", "other region, local slots are exhausted"}[t]
	if candidates == 1 {
		return where + ", only free worker"
	}
	return where + ", least used worker"
}
