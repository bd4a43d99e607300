package router

import (
	"context"
	"hash/fnv"
	"math"
	"sort"
	"time"

	"briarproxy/core/admission"
	"briarproxy/core/fault"
	"briarproxy/core/wire"
	"briarproxy/daemon/view"
)

// lender is a daemon that owns rack units of a pool.
type lender struct {
	name      string
	tier      tier
	calling   bool
	calledAt  time.Duration
	wanted    int64
	nextAsk   time.Duration
	nextSpare time.Duration // not asked for spare slots before
	strikes   int
	runs      runCounts
	freeThere int64 // slots that stayed free at its last answer, -1 before one
}

// Times and sizes of borrowing.
const (
	lendersEvery   = 500 * time.Millisecond // at most this often the lenders are derived from the view
	borrowTimeout  = time.Second
	localPatience  = 50 * time.Millisecond // an answer that takes longer does not hold up asking others
	remotePatience = 250 * time.Millisecond
	askBackoff     = 10 * time.Millisecond // first wait after an answer without slots
	maxAskBackoff  = 100 * time.Millisecond
	maxFailBackoff = 2 * time.Second
	spareBackoff   = time.Second // wait after an answer without slots when nobody waits
	peakDecay      = 10 * time.Second
	spareShare     = 0.25 // spare slots per slot of the recent peak
	maxSpare       = 64
	idleReturn     = 2 * time.Second // an unneeded loan goes back after this
)

// refreshLenders derives the owners of the pool's rack units from the view.
func (s *state) refreshLenders(p *poolState, now time.Duration) {
	every := lendersEvery
	if len(p.lenders) == 0 {
		every = busyTick
	}
	if p.lendersSet && now-p.lendersAt < every {
		return
	}
	p.lendersAt, p.lendersSet = now, true
	snapshot := s.r.options.View.Current()
	tiers := lenderTiers(snapshot, p.name)
	var lenders []*lender
	for _, l := range p.lenders {
		t, still := tiers[l.name]
		if still {
			l.tier = t
			lenders = append(lenders, l)
			delete(tiers, l.name)
		}
	}
	for name, t := range tiers {
		lenders = append(lenders, &lender{name: name, tier: t, freeThere: -1})
	}
	sort.Slice(lenders, func(i, j int) bool {
		a, b := lenders[i], lenders[j]
		if a.tier != b.tier {
			return a.tier < b.tier
		}
		return preference(snapshot.Self.Name, a.name) < preference(snapshot.Self.Name, b.name)
	})
	p.lenders = lenders
}

// lenderTiers returns the live owners of the pool's rack units with the distance
// of their nearest rack.
func lenderTiers(snapshot *view.Snapshot, poolName string) map[string]tier {
	tiers := map[string]tier{}
	pool := snapshot.Set.Pools[poolName]
	if pool == nil {
		return tiers
	}
	racks := map[string]bool{}
	for _, vm := range snapshot.VMs {
		unit := wire.RackUnit(vm.DataCentre, vm.Rack)
		if racks[unit] || vm.Leaving || !view.PoolOf(pool, vm) {
			continue
		}
		racks[unit] = true
		owner, ok := snapshot.OwnerOf(unit)
		if !ok {
			continue
		}
		t := distance(snapshot.Self, vm.Region, vm.DataCentre)
		if old, seen := tiers[owner.Name]; !seen || t < old {
			tiers[owner.Name] = t
		}
	}
	return tiers
}

// preference orders the lenders of one distance differently at each borrower, so
// that not everybody asks the same one first. A daemon prefers itself.
func preference(self, name string) uint32 {
	if self == name {
		return 0
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(self + "/" + name))
	return max(1, h.Sum32())
}

// borrow asks lenders for the slots that are missing now or are likely to be
// needed soon. It follows a dispatch, so slots that are free while somebody waits
// are of no use to the waiting. Other regions are asked only for requests that may go there, and
// only when no nearer lender can still answer.
func (s *state) borrow(p *poolState, now time.Duration) {
	if s.draining {
		return
	}
	s.refreshLenders(p, now)
	p.notePeak(now)
	waiting := int64(p.queue.Len())
	need := waiting + p.spare()
	if waiting == 0 {
		need -= p.freeSlots(now, tierRegion)
	}
	remote := p.waitingCross()
	for _, l := range p.lenders {
		if l.tier == tierRemote {
			need = min(need, remote)
		}
		if need <= 0 {
			return
		}
		if l.calling {
			if now-l.calledAt < l.patience() {
				need -= l.wanted
			}
			continue
		}
		if now < l.nextAsk || (waiting == 0 && now < l.nextSpare) {
			continue
		}
		s.call(p, l, need, now)
		need = 0
	}
}

// waitingCross counts waiters that may be sent to another region.
func (p *poolState) waitingCross() int64 {
	var sum int64
	for class, allowed := range p.cross {
		if allowed {
			sum += int64(p.queue.ClassLen(class))
		}
	}
	return sum
}

// spare is the number of free slots to keep in advance.
func (p *poolState) spare() int64 {
	if p.peak < 0.5 {
		return 0
	}
	return min(maxSpare, int64(math.Ceil(p.peak*spareShare)))
}

func (l *lender) patience() time.Duration {
	if l.tier == tierRemote {
		return remotePatience
	}
	return localPatience
}

// keepLoans renews loans that are needed and returns the others.
func (s *state) keepLoans(p *poolState, now time.Duration) {
	for _, l := range p.lenders {
		failures := l.runs.failed && now-l.calledAt >= failureReportEvery
		if !l.calling && now >= l.nextAsk && (failures || s.hasDue(p, l, now)) {
			s.call(p, l, 0, now)
		}
	}
}

func (s *state) hasDue(p *poolState, l *lender, now time.Duration) bool {
	surplus := p.surplus(now)
	for _, item := range p.loans {
		if item.lender != l.name {
			continue
		}
		if item.renewDue(now) || item.returnable(now, surplus) {
			return true
		}
	}
	return false
}

// surplus is the number of free slots above what is waited for and kept in spare.
func (p *poolState) surplus(now time.Duration) int64 {
	return p.freeSlots(now, tierRemote) - int64(p.queue.Len()) - p.spare()
}

// returnable reports whether the loan goes back as a whole. Parts are never
// returned: a lost answer to a partial return could not be told from a return that
// was not seen, while a whole loan that is not renewed ends by itself.
func (l *loan) returnable(now time.Duration, surplus int64) bool {
	if l.busy > 0 || now >= l.end {
		return false
	}
	return l.dropped || (l.Slots <= surplus && now-l.idleSince >= idleReturn)
}

// call sends one borrow call: what is wanted, what is to be renewed and what goes
// back. A loan that goes back takes no start from here on.
func (s *state) call(p *poolState, l *lender, want int64, now time.Duration) {
	snapshot := s.r.options.View.Current()
	args := &wire.BorrowArgs{
		Borrower:    snapshot.Self.Name,
		Incarnation: snapshot.Self.Incarnation,
		Pool:        p.name,
		Want:        want,
		Waiting:     min(want, int64(p.queue.Len())),
		Runs:        l.runs.take(),
	}
	s.sortLoans(p, l, args, now)
	l.calling, l.calledAt, l.wanted = true, now, want
	s.r.options.Calls.Submit(func() {
		ctx, cancel := context.WithTimeout(s.ctx, borrowTimeout)
		defer cancel()
		m := borrowedMsg{pool: p, lender: l, args: args, sent: now}
		reply := &wire.BorrowReply{}
		m.err = s.r.options.Peers.Call(ctx, l.name, wire.RPCBorrow, args, reply)
		if m.err == nil { // after an error a late answer may still be written to reply
			m.reply = *reply
		}
		s.r.send(m)
	})
}

// sortLoans fills Renew and Return, remote loans first to go back.
func (s *state) sortLoans(p *poolState, l *lender, args *wire.BorrowArgs, now time.Duration) {
	surplus := p.surplus(now)
	kept := p.loans[:0]
	for _, item := range p.loans {
		if item.lender == l.name && item.returnable(now, surplus) {
			args.Return = append(args.Return, wire.SlotReturn{LoanID: item.ID, Slots: item.Slots})
			if !item.dropped {
				surplus -= item.Slots
			}
			continue
		}
		kept = append(kept, item)
		if item.lender == l.name && item.renewDue(now) {
			args.Renew = append(args.Renew, item.ID)
		}
	}
	clear(p.loans[len(kept):])
	p.loans = kept
}

// borrowedMsg is the answer to a borrow call.
type borrowedMsg struct {
	pool   *poolState
	lender *lender
	args   *wire.BorrowArgs
	reply  wire.BorrowReply
	err    error
	sent   time.Duration // boot clock before the call
}

func (m borrowedMsg) apply(s *state) {
	now := s.now()
	m.lender.calling = false
	if m.err != nil {
		s.borrowFailed(m, now)
		s.serve(m.pool, now)
		return
	}
	for _, id := range m.reply.Renewed {
		if l := m.pool.find(m.lender.name, id); l != nil {
			l.end = max(l.end, loanEnd(m.sent, l.TTLMS))
		}
	}
	for _, id := range m.reply.Lapsed {
		if l := m.pool.find(m.lender.name, id); l != nil {
			// The lender wants the slots back or does not know the loan any more.
			l.dropped, l.declined = true, true
		}
	}
	granted := m.take(s, now)
	m.lender.freeThere = m.reply.Free
	m.lender.answered(m.args.Want, granted, now)
	s.serve(m.pool, now)
}

// answered decides when the lender is asked again.
func (l *lender) answered(want, granted int64, now time.Duration) {
	if want == 0 || granted >= want {
		l.strikes = 0
		l.nextAsk = now
		return
	}
	l.strikes++
	l.nextAsk = now + min(maxAskBackoff, askBackoff<<min(l.strikes-1, 6))
	l.nextSpare = now + spareBackoff
}

func (s *state) borrowFailed(m borrowedMsg, now time.Duration) {
	s.r.options.Log.Emit(eventBorrow, "lender", m.lender.name, "pool", m.pool.name, "reason", m.err.Error())
	m.lender.strikes++
	m.lender.freeThere = 0
	wait := admission.Backoff(s.r.options.Random, askBackoff, m.lender.strikes)
	m.lender.nextAsk = now + min(wait+askBackoff, maxFailBackoff)
	m.lender.nextSpare = now + spareBackoff
	if fault.Is(m.err, fault.NotOwner) {
		m.pool.lendersSet = false
	}
}

// take adds the lent slots; it returns how many can be used. A loan that is known
// already is refreshed.
func (m borrowedMsg) take(s *state, now time.Duration) int64 {
	var granted int64
	self := s.r.options.View.Current().Self
	for _, lent := range m.reply.Loans {
		end := loanEnd(m.sent, lent.TTLMS)
		if end <= now || lent.Slots <= 0 || lent.MaxDeadlineMS <= 0 {
			s.r.options.Log.Emit(eventUseless, "lender", m.lender.name, "vm", lent.VM, "loan", lent.ID, "ttl_ms", lent.TTLMS, "max_deadline_ms", lent.MaxDeadlineMS)
			continue
		}
		l := m.pool.find(m.lender.name, lent.ID)
		if l == nil || l.LenderInstance != lent.LenderInstance {
			l = &loan{idleSince: now}
			m.pool.loans = append(m.pool.loans, l)
		}
		granted += lent.Slots - l.Slots
		l.Loan = lent
		l.lender = m.lender.name
		l.tier = distance(self, lent.Region, lent.DataCentre)
		l.received = now
		l.end = end
	}
	return granted
}

func (p *poolState) find(lender string, id int64) *loan {
	for _, l := range p.loans {
		if l.lender == lender && l.ID == id && !l.dropped {
			return l
		}
	}
	return nil
}

// refusedList sorts refusals for log lines and explain.
func refusedList(counts map[string]int) []wire.Refused {
	list := make([]wire.Refused, 0, len(counts))
	for reason, count := range counts {
		list = append(list, wire.Refused{Reason: reason, Count: count})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Reason < list[j].Reason })
	return list
}
