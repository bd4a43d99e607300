package loan

import (
	"slices"
	"time"

	"briarproxy/core/chart"
)

// Timing holds the durations of loans on the lender's clock.
type Timing struct {
	Lapse  time.Duration // from a grant or renewal until the borrower has surely stopped
	Settle time.Duration // from the lapse until the last run under the loan has surely ended
}

// Loan is a number of slots of one VM lent to one daemon.
type Loan struct {
	ID       int64
	VM       string
	Pool     string
	Borrower string
	Slots    int64
	LapsesAt time.Duration // lender's boot clock
	state    chart.State
}

// States and events of the lease chart.
const (
	stateLent chart.State = "lent"

	renewed          chart.Event = "renewed"
	returned         chart.Event = "returned"     // some slots
	returnedAll      chart.Event = "returned-all" // the last slots
	lapse            chart.Event = "lapse"        // not renewed in time
	settled          chart.Event = "settled"      // a report shows fewer runs
	settledAll       chart.Event = "settled-all"  // a report shows no run
	settleTimePassed chart.Event = "settle-time-passed"
	vmGone           chart.Event = "vm-gone"
)

var leaseChart = chart.MustLoad(chart.Lease)

// Freed is a number of slots of a VM that can be used again.
type Freed struct {
	VM    string
	Slots int64
}

// Ledger holds the loans of one lender. It is not safe for concurrent use.
type Ledger struct {
	timing Timing
	nextID int64
	loans  map[int64]*Loan // lent, or lapsed with slots that may still be busy
}

// step moves a loan by an event and reports whether its state handles it. The
// caller tells the borrower of a refusal.
func (l *Ledger) step(loan *Loan, e chart.Event) bool {
	next, err := leaseChart.Next(loan.state, e)
	if err != nil {
		return false
	}
	loan.state = next
	if leaseChart.IsFinal(next) {
		delete(l.loans, loan.ID)
	}
	return true
}

// NewLedger returns an empty ledger whose loan ids follow first. Ids must not
// repeat across ledgers that one borrower deals with.
func NewLedger(first int64, timing Timing) *Ledger {
	return &Ledger{timing: timing, nextID: first, loans: map[int64]*Loan{}}
}

// Grant records a loan. The caller has taken the slots out of the VM's capacity.
func (l *Ledger) Grant(vm, pool, borrower string, slots int64, now time.Duration) Loan {
	l.nextID++
	granted := &Loan{ID: l.nextID, VM: vm, Pool: pool, Borrower: borrower, Slots: slots, LapsesAt: now + l.timing.Lapse, state: leaseChart.Initial}
	l.loans[granted.ID] = granted
	return *granted
}

// Renew extends a loan; it reports false for a loan that is unknown, lapsed or
// lent to another daemon.
func (l *Ledger) Renew(id int64, borrower string, now time.Duration) bool {
	loan := l.loans[id]
	if loan == nil || loan.Borrower != borrower {
		return false
	}
	l.lapseAt(loan, now)
	if !l.step(loan, renewed) {
		return false
	}
	loan.LapsesAt = now + l.timing.Lapse
	return true
}

// lapseAt lets a loan lapse whose time is over.
func (l *Ledger) lapseAt(loan *Loan, now time.Duration) {
	if loan.state == stateLent && now >= loan.LapsesAt {
		l.step(loan, lapse)
	}
}

// Return takes back slots that the borrower does not use. It returns what can be
// used again; slots of a lapsed loan are settled by a report instead.
func (l *Ledger) Return(id int64, borrower string, slots int64) (Freed, bool) {
	loan := l.loans[id]
	if loan == nil || loan.Borrower != borrower || slots <= 0 {
		return Freed{}, false
	}
	n := min(slots, loan.Slots)
	event := returned
	if n == loan.Slots {
		event = returnedAll
	}
	if !l.step(loan, event) {
		return Freed{}, false
	}
	loan.Slots -= n
	return Freed{VM: loan.VM, Slots: n}, true
}

// Expire moves loans that have lapsed to those that wait for a report, and returns
// the slots of loans whose last run has surely ended.
func (l *Ledger) Expire(now time.Duration) []Freed {
	var freed []Freed
	for _, loan := range l.loans {
		l.lapseAt(loan, now)
		if now >= loan.LapsesAt+l.timing.Settle && l.step(loan, settleTimePassed) {
			freed = append(freed, Freed{VM: loan.VM, Slots: loan.Slots})
		}
	}
	slices.SortFunc(freed, func(a, b Freed) int { return cmpVM(a, b) })
	return freed
}

func cmpVM(a, b Freed) int {
	switch {
	case a.VM < b.VM:
		return -1
	case a.VM > b.VM:
		return 1
	}
	return 0
}

// Settle compares a VM's lapsed loans with a report that the worker was asked for
// at askedAt. busy is the number of running requests by loan. It returns the
// number of slots that can be used again.
func (l *Ledger) Settle(vm string, busy map[int64]int64, askedAt time.Duration) int64 {
	freed := int64(0)
	for id, loan := range l.loans {
		if loan.VM != vm || loan.state == stateLent || askedAt < loan.LapsesAt {
			continue
		}
		keep := min(loan.Slots, busy[id])
		event := settled
		if keep == 0 {
			event = settledAll
		}
		if l.step(loan, event) {
			freed += loan.Slots - keep
			loan.Slots = keep
		}
	}
	return freed
}

// Forget drops all loans of a VM: it is not lent by this daemon any more, or it
// has restarted and runs nothing.
func (l *Ledger) Forget(vm string) {
	for _, loan := range l.loans {
		if loan.VM == vm {
			l.step(loan, vmGone)
		}
	}
}

// Loan returns a loan that was not found to have lapsed.
func (l *Ledger) Loan(id int64) (Loan, bool) {
	loan := l.loans[id]
	if loan == nil || loan.state != stateLent {
		return Loan{}, false
	}
	return *loan, true
}

// LoansOn returns the ids of the loans of a VM to a borrower, in ascending order.
func (l *Ledger) LoansOn(vm, borrower string) []int64 {
	var ids []int64
	for id, loan := range l.loans {
		if loan.VM == vm && loan.Borrower == borrower && loan.state == stateLent {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// LentTo returns the slots of a pool that are on loan, by borrower.
func (l *Ledger) LentTo(pool string) map[string]int64 {
	lent := map[string]int64{}
	for _, loan := range l.loans {
		if loan.Pool == pool && loan.state == stateLent {
			lent[loan.Borrower] += loan.Slots
		}
	}
	return lent
}

// Held returns the slots of a VM that are lent or not settled.
func (l *Ledger) Held(vm string) int64 {
	held := int64(0)
	for _, loan := range l.loans {
		if loan.VM == vm {
			held += loan.Slots
		}
	}
	return held
}
