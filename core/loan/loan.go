package loan

import (
	"cmp"
	"slices"
	"time"
)

// Timing holds the durations of loans.
type Timing struct {
	TTL         time.Duration // validity of a grant or renewal
	DriftPPM    int64         // bound of the relative drift of two boot clocks
	Margin      time.Duration // added to every wait for another daemon
	MaxRunLease time.Duration // longest run lease that a start under a loan may ask for
	// StartValidity is the time after its send in which a start may still begin.
	StartValidity time.Duration
}

// DefaultTiming is the timing of the design page. MaxRunLease is 20 s.
func DefaultTiming() Timing {
	return Timing{
		TTL:           5 * time.Second,
		DriftPPM:      500,
		Margin:        100 * time.Millisecond,
		MaxRunLease:   20 * time.Second,
		StartValidity: 2 * time.Second,
	}
}

// withDrift is the time after which d has passed on another daemon's clock.
func (t Timing) withDrift(d time.Duration) time.Duration {
	return d + time.Duration(int64(d)*t.DriftPPM/1_000_000) + t.Margin
}

// Worker is a worker whose slots may be lent.
type Worker struct {
	VM         string
	Region     string
	DataCentre string
	Slots      int64 // capacity
}

// Borrower is a daemon that asks for slots.
type Borrower struct {
	Name       string
	Region     string
	DataCentre string
}

// Grant is one loan: slots of one worker.
type Grant struct {
	ID       int64
	Borrower string
	VM       string
	Slots    int64
}

type entry struct {
	Grant
	until time.Duration // lender's clock; the borrower has stopped using it by then
}

// lapsedSlots are slots of an ended loan on which a start may still run.
type lapsedSlots struct {
	slots int64
	from  time.Duration // no start can be sent or can begin after this time
	until time.Duration // no start can still run after this time
}

type worker struct {
	Worker
	lent    int64
	lapsed  []lapsedSlots
	own     int64 // slots that the owner itself uses or has not accounted otherwise
	removed bool
}

// Ledger is the state of all loans of one lender. It is not safe for concurrent use.
type Ledger struct {
	timing  Timing
	nextID  int64
	workers map[string]*worker
	loans   map[int64]*entry
}

// New returns an empty ledger. Loan ids start above firstID, which should differ
// between incarnations of the lender.
func New(timing Timing, firstID int64) *Ledger {
	return &Ledger{timing: timing, nextID: firstID, workers: map[string]*worker{}, loans: map[int64]*entry{}}
}

// SetWorker adds a worker or changes its capacity. A worker that was fenced by this
// owner may still run starts of the former owner: they count as busy for as long
// as Report shows them.
func (l *Ledger) SetWorker(w Worker) {
	known, found := l.workers[w.VM]
	if !found {
		known = &worker{}
		l.workers[w.VM] = known
	}
	known.Worker = w
	known.removed = false
}

// RemoveWorker stops lending of the worker. Loans on it run out, and it stays known
// until nothing can run under them, in case it is added again before.
func (l *Ledger) RemoveWorker(vm string) {
	w, found := l.workers[vm]
	if !found {
		return
	}
	w.removed = true
}

// SetOwnUse sets the slots that are busy or held outside loans: the owner's own
// requests and attempts under a former owner's epoch.
func (l *Ledger) SetOwnUse(vm string, slots int64) {
	if w, found := l.workers[vm]; found {
		w.own = slots
	}
}

// Report tells how many slots starts under loans occupied when the worker made a
// report. reportedAt is the lender's clock before it asked for the report.
func (l *Ledger) Report(vm string, busy int64, reportedAt time.Duration) {
	w, found := l.workers[vm]
	if !found {
		return
	}
	// Busy slots may belong to live loans or to any lapsed one. Counting them against
	// the lapsed slots that stay blocked longest errs on the safe side.
	slices.SortFunc(w.lapsed, func(a, b lapsedSlots) int { return cmp.Compare(b.until, a.until) })
	kept := w.lapsed[:0]
	for _, part := range w.lapsed {
		if reportedAt > part.from {
			part.slots = min(part.slots, busy)
			busy -= part.slots
		}
		if part.slots > 0 {
			kept = append(kept, part)
		}
	}
	w.lapsed = kept
}

// Free returns the slots of a worker that may be lent now.
func (l *Ledger) Free(vm string, now time.Duration) int64 {
	w, found := l.workers[vm]
	if !found || w.removed {
		return 0
	}
	l.expire(now)
	return max(0, w.free())
}

// FreeTotal returns the slots of all workers that may be lent now.
func (l *Ledger) FreeTotal(now time.Duration) int64 {
	l.expire(now)
	total := int64(0)
	for _, w := range l.workers {
		if !w.removed {
			total += max(0, w.free())
		}
	}
	return total
}

func (w *worker) free() int64 {
	free := w.Slots - w.own - w.lent
	for _, part := range w.lapsed {
		free -= part.slots
	}
	return free
}

// Lend grants up to want slots of the given workers, spread slot by slot over the
// emptiest ones, those of the borrower's data centre first, then its region.
// grantedAt is the lender's clock after it decided.
func (l *Ledger) Lend(borrower Borrower, vms []string, want int64, grantedAt time.Duration) []Grant {
	l.expire(grantedAt)
	candidates := l.candidates(borrower, vms)
	taken := map[string]int64{}
	for len(candidates) > 0 && want > 0 {
		near := nearest(candidates, borrower)
		want -= spread(near, want, taken)
		candidates = candidates[len(near):]
	}
	names := make([]string, 0, len(taken))
	for vm := range taken {
		names = append(names, vm)
	}
	slices.Sort(names)
	grants := make([]Grant, 0, len(names))
	for _, vm := range names {
		grants = append(grants, l.grant(borrower.Name, vm, taken[vm], grantedAt))
	}
	return grants
}

// candidates returns the lendable workers, nearest first.
func (l *Ledger) candidates(borrower Borrower, vms []string) []*worker {
	var list []*worker
	for _, vm := range vms {
		w, found := l.workers[vm]
		if found && !w.removed && w.free() > 0 && !slices.Contains(list, w) {
			list = append(list, w)
		}
	}
	slices.SortFunc(list, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(distance(a, borrower), distance(b, borrower)), cmp.Compare(a.VM, b.VM))
	})
	return list
}

func distance(w *worker, borrower Borrower) int {
	switch {
	case w.DataCentre == borrower.DataCentre:
		return 0
	case w.Region == borrower.Region:
		return 1
	default:
		return 2
	}
}

// nearest returns the leading workers of equal distance.
func nearest(sorted []*worker, borrower Borrower) []*worker {
	for i, w := range sorted {
		if distance(w, borrower) != distance(sorted[0], borrower) {
			return sorted[:i]
		}
	}
	return sorted
}

// spread takes slots one by one from the worker with most free slots.
func spread(workers []*worker, want int64, taken map[string]int64) int64 {
	got := int64(0)
	for got < want {
		var best *worker
		for _, w := range workers {
			if best == nil || w.free()-taken[w.VM] > best.free()-taken[best.VM] {
				best = w
			}
		}
		if best.free()-taken[best.VM] <= 0 {
			break
		}
		taken[best.VM]++
		got++
	}
	return got
}

func (l *Ledger) grant(borrower, vm string, slots int64, at time.Duration) Grant {
	l.nextID++
	g := Grant{ID: l.nextID, Borrower: borrower, VM: vm, Slots: slots}
	l.loans[g.ID] = &entry{Grant: g, until: at + l.timing.withDrift(l.timing.TTL)}
	l.workers[vm].lent += slots
	return g
}

// Renew extends the borrower's loans. Loans that have lapsed, are unknown or belong
// to a removed worker are returned in lapsed.
func (l *Ledger) Renew(borrower string, ids []int64, at time.Duration) (renewed, lapsed []int64) {
	l.expire(at)
	for _, id := range ids {
		e, found := l.loans[id]
		if !found || e.Borrower != borrower || l.workers[e.VM].removed {
			lapsed = append(lapsed, id)
			continue
		}
		e.until = max(e.until, at+l.timing.withDrift(l.timing.TTL))
		renewed = append(renewed, id)
	}
	return renewed, lapsed
}

// Return gives back idle slots of a loan: the borrower knows that nothing runs or
// will start on them. More slots than the loan has are cut to its size.
func (l *Ledger) Return(borrower string, id, slots int64, now time.Duration) {
	l.expire(now)
	e, found := l.loans[id]
	if !found || e.Borrower != borrower || slots <= 0 {
		return
	}
	slots = min(slots, e.Slots)
	e.Slots -= slots
	l.workers[e.VM].lent -= slots
	if e.Slots == 0 {
		delete(l.loans, id)
	}
}

// expire moves the slots of ended loans to the lapsed ones of their workers and
// frees those on which nothing can run any more.
func (l *Ledger) expire(now time.Duration) {
	for id, e := range l.loans {
		if now < e.until {
			continue
		}
		w := l.workers[e.VM]
		w.lent -= e.Slots
		// A start sent at the last instant may begin StartValidity later.
		from := e.until + l.timing.withDrift(l.timing.StartValidity)
		w.lapsed = append(w.lapsed, lapsedSlots{slots: e.Slots, from: from, until: from + l.timing.withDrift(l.timing.MaxRunLease)})
		delete(l.loans, id)
	}
	for vm, w := range l.workers {
		w.lapsed = slices.DeleteFunc(w.lapsed, func(part lapsedSlots) bool { return now >= part.until })
		if w.removed && w.lent == 0 && len(w.lapsed) == 0 {
			delete(l.workers, vm)
		}
	}
}
