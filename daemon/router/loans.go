package router

import (
	"time"

	"briarproxy/core/wire"
)

// tier is the distance of a slot from this daemon.
type tier int

const (
	tierDataCentre tier = iota
	tierRegion
	tierRemote
)

// loan is a set of slots of one worker, borrowed from the owner of its rack unit.
type loan struct {
	wire.Loan
	lender    string
	tier      tier
	received  time.Duration // boot clock at which the worker clock was received
	end       time.Duration // boot clock; no start at or after it
	busy      int64         // slots that run a request or may still run one
	idleSince time.Duration
	dropped   bool // takes no further start
	declined  bool // the lender renews it no more
}

// loanEnd counts a loan's life from before the borrow call was sent, on a clock
// that may run 500 ppm slower than the lender's.
func loanEnd(sent time.Duration, ttlMS int64) time.Duration {
	return sent + slowest(time.Duration(ttlMS)*time.Millisecond) - driftMargin
}

// maxLoanAge is the age at which a loan is replaced rather than renewed: after it
// the conservative worker clock lags by 0.3 s of the 2 s start validity.
const maxLoanAge = 10 * time.Minute

func (l *loan) free() int64 { return l.Slots - l.busy }

func (l *loan) usable(now time.Duration) bool {
	return !l.dropped && now < l.end
}

func (l *loan) renewDue(now time.Duration) bool {
	ttl := time.Duration(l.TTLMS) * time.Millisecond
	return now < l.end && now > l.end-ttl/2 && !l.declined && (!l.dropped || l.busy > 0)
}

// slot takes one slot of the loan.
func (l *loan) slot(pool string) *Slot {
	l.busy++
	if l.Probe {
		l.dropped = true // one request decides
	}
	return &Slot{
		VM:          l.VM,
		Address:     l.Address,
		Region:      l.Region,
		DataCentre:  l.DataCentre,
		Epoch:       l.Epoch,
		Incarnation: l.Incarnation,
		pool:        pool,
		probe:       l.Probe,
		loan:        l,
		end:         l.end,
		clock:       time.Duration(l.WorkerClockMS) * time.Millisecond,
		at:          l.received,
		maxLease:    time.Duration(l.MaxDeadlineMS) * time.Millisecond,
	}
}

// heldSlot is the slot of a run whose end is not known.
type heldSlot struct {
	slot  *Slot
	until time.Duration // its run lease has surely lapsed then
}
