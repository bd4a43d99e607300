package loan

import (
	"slices"
	"time"
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
}

// Freed is a number of slots of a VM that can be used again.
type Freed struct {
	VM    string
	Slots int64
}

// Ledger holds the loans of one lender. It is not safe for concurrent use.
type Ledger struct {
	timing Timing
	nextID int64
	live   map[int64]*Loan
	lapsed map[int64]*Loan // slots may still be busy
}

// NewLedger returns an empty ledger whose loan ids follow first. Ids must not
// repeat across ledgers that one borrower deals with.
func NewLedger(first int64, timing Timing) *Ledger {
	return &Ledger{timing: timing, nextID: first, live: map[int64]*Loan{}, lapsed: map[int64]*Loan{}}
}

// Grant records a loan. The caller has taken the slots out of the VM's capacity.
func (l *Ledger) Grant(vm, pool, borrower string, slots int64, now time.Duration) Loan {
	l.nextID++
	granted := &Loan{ID: l.nextID, VM: vm, Pool: pool, Borrower: borrower, Slots: slots, LapsesAt: now + l.timing.Lapse}
	l.live[granted.ID] = granted
	return *granted
}

// Renew extends a loan; it reports false for a loan that is unknown, lapsed or
// lent to another daemon.
func (l *Ledger) Renew(id int64, borrower string, now time.Duration) bool {
	loan := l.live[id]
	if loan == nil || loan.Borrower != borrower || now >= loan.LapsesAt {
		return false
	}
	loan.LapsesAt = now + l.timing.Lapse
	return true
}

// Return takes back slots that the borrower does not use. It returns what can be
// used again; slots of a lapsed loan are settled by a report instead.
func (l *Ledger) Return(id int64, borrower string, slots int64) (Freed, bool) {
	loan := l.live[id]
	if loan == nil || loan.Borrower != borrower || slots <= 0 {
		return Freed{}, false
	}
	n := min(slots, loan.Slots)
	loan.Slots -= n
	if loan.Slots == 0 {
		delete(l.live, id)
	}
	return Freed{VM: loan.VM, Slots: n}, true
}

// Expire moves loans that have lapsed to those that wait for a report, and returns
// the slots of loans whose last run has surely ended.
func (l *Ledger) Expire(now time.Duration) []Freed {
	for id, loan := range l.live {
		if now >= loan.LapsesAt {
			delete(l.live, id)
			l.lapsed[id] = loan
		}
	}
	var freed []Freed
	for id, loan := range l.lapsed {
		if now >= loan.LapsesAt+l.timing.Settle {
			delete(l.lapsed, id)
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
	for id, loan := range l.lapsed {
		if loan.VM != vm || askedAt < loan.LapsesAt {
			continue
		}
		keep := min(loan.Slots, busy[id])
		freed += loan.Slots - keep
		loan.Slots = keep
		if keep == 0 {
			delete(l.lapsed, id)
		}
	}
	return freed
}

// Forget drops all loans of a VM: it is not lent by this daemon any more, or it
// has restarted and runs nothing.
func (l *Ledger) Forget(vm string) {
	for id, loan := range l.live {
		if loan.VM == vm {
			delete(l.live, id)
		}
	}
	for id, loan := range l.lapsed {
		if loan.VM == vm {
			delete(l.lapsed, id)
		}
	}
}

// Loan returns a loan that has not lapsed.
func (l *Ledger) Loan(id int64) (Loan, bool) {
	loan := l.live[id]
	if loan == nil {
		return Loan{}, false
	}
	return *loan, true
}

// LoansOn returns the ids of the loans of a VM to a borrower, in ascending order.
func (l *Ledger) LoansOn(vm, borrower string) []int64 {
	var ids []int64
	for id, loan := range l.live {
		if loan.VM == vm && loan.Borrower == borrower {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// LentTo returns the slots of a pool that are on loan, by borrower.
func (l *Ledger) LentTo(pool string) map[string]int64 {
	lent := map[string]int64{}
	for _, loan := range l.live {
		if loan.Pool == pool {
			lent[loan.Borrower] += loan.Slots
		}
	}
	return lent
}

// Held returns the slots of a VM that are lent or not settled.
func (l *Ledger) Held(vm string) int64 {
	held := int64(0)
	for _, loans := range []map[int64]*Loan{l.live, l.lapsed} {
		for _, loan := range loans {
			if loan.VM == vm {
				held += loan.Slots
			}
		}
	}
	return held
}
