package rack

import (
	"fmt"
	"time"

	"briarproxy/core/loan"
	"briarproxy/core/place"
	"briarproxy/core/wire"
	"briarproxy/daemon/view"
)

// wantMemory is how long a borrower that got less than it wanted counts as waiting.
const wantMemory = time.Second

// maxWant bounds the slots that one call can ask for.
const maxWant = 4096

// newLedger returns a ledger with the times of this package. Loan ids start at the
// time of the process's start: a borrower that returns a loan of the process before
// must not free slots of another loan.
func newLedger() *loan.Ledger {
	first := time.Now().UnixMicro()
	return loan.NewLedger(first, loan.Timing{Lapse: longest(loanTTL), Settle: longest(maxRequestLease + startValidity)})
}

// want is an unmet wish of a borrower.
type want struct {
	pool, borrower string
}

// Borrow serves a daemon that wants slots, renews loans or gives slots back.
func (o *Owner) Borrow(args *wire.BorrowArgs, reply *wire.BorrowReply) error {
	call := borrowCall{args: args, reply: make(chan wire.BorrowReply, 1)}
	answer, err := ask(o, call, call.reply)
	*reply = answer
	return err
}

type borrowCall struct {
	args  *wire.BorrowArgs
	reply chan wire.BorrowReply
}

func (m borrowCall) handle(o *Owner) {
	now := o.Now()
	answer := wire.BorrowReply{Lapsed: o.judgeRuns(m.args, now)}
	for _, back := range m.args.Return {
		if freed, ok := o.ledger.Return(back.LoanID, m.args.Borrower, back.Slots); ok {
			o.freeSlots(freed)
			o.failures.ProbeNotStarted(freed.VM, now)
		}
	}
	decline := o.declinable(m.args, now)
	for _, id := range m.args.Renew {
		if given, _ := o.ledger.Loan(id); o.failures.Isolated(given.VM) || !o.mayLend(given.VM, now) {
			answer.Lapsed = append(answer.Lapsed, id)
			continue
		}
		if decline > 0 || !o.ledger.Renew(id, m.args.Borrower, now) {
			decline--
			answer.Lapsed = append(answer.Lapsed, id)
			continue
		}
		answer.Renewed = append(answer.Renewed, id)
	}
	answer.Loans, answer.Free = o.lend(m.args, now)
	m.reply <- answer
}

// mayLend reports whether this daemon may still lend slots of the VM. On workers that
// do not refuse stale epochs a loan must not be renewed after the lease of the rack.
func (o *Owner) mayLend(vm string, now time.Duration) bool {
	w := o.workers[vm]
	return w != nil && o.authorised(w, now)
}

// declinable returns how many renewals to decline: half of them when tasks wait and
// no request of the borrower does, and one a call otherwise, while others or
// tasks wait for slots of the pool and the borrower has more than an equal share.
func (o *Owner) declinable(args *wire.BorrowArgs, now time.Duration) int {
	others := o.slotDemand[args.Pool].until > now
	if others && args.Waiting == 0 {
		return (len(args.Renew) + 1) / 2 // spare slots go to the tasks that wait
	}
	for w, until := range o.wants {
		if until <= now {
			delete(o.wants, w)
			continue
		}
		others = others || w.pool == args.Pool && w.borrower != args.Borrower
	}
	if !others {
		return 0
	}
	lent := o.ledger.LentTo(args.Pool)
	total := int64(0)
	for _, slots := range lent {
		total += slots
	}
	if lent[args.Borrower]*int64(len(lent)+1) <= total {
		return 0
	}
	return 1
}

// lend grants up to the wanted slots, on the workers with the most free slots
// first. Slots that tasks wait for are not lent.
func (o *Owner) lend(args *wire.BorrowArgs, now time.Duration) (loans []wire.Loan, free int64) {
	free = o.freeInPool(args.Pool)
	if demand := o.slotDemand[args.Pool]; demand.until > now {
		free = max(0, free-demand.slots)
	}
	wanted := min(args.Want, maxWant)
	granted := o.pick(args.Pool, min(wanted, free), now)
	free -= sum(granted)
	key := want{pool: args.Pool, borrower: args.Borrower}
	if args.Waiting > sum(granted) {
		o.wants[key] = now + wantMemory
	} else {
		delete(o.wants, key)
	}
	for vm, slots := range granted {
		given := o.ledger.Grant(vm, args.Pool, args.Borrower, slots, now)
		loans = append(loans, o.loanOf(given, now))
	}
	if wanted > 0 || len(args.Renew) > 0 {
		loans = append(loans, o.lendProbe(args, now)...)
	}
	if len(loans) > 0 {
		o.Log.Emit(eventLent, "to", args.Borrower, "pool", args.Pool, "wanted", args.Want, "slots", sum(granted), "workers", len(granted), "free", free)
	}
	return loans, free
}

func sum(slots map[string]int64) int64 {
	total := int64(0)
	for _, n := range slots {
		total += n
	}
	return total
}

// pick takes slots one by one from the worker with the most free ones.
func (o *Owner) pick(pool string, slots int64, now time.Duration) map[string]int64 {
	granted := map[string]int64{}
	options := place.Options{DataCentre: o.lastView.Self.DataCentre, Region: o.lastView.Self.Region}
	var avoid []place.Slot
	for range slots {
		slot, ok := o.cell.PickSlot(pool, &options, avoid)
		if !ok {
			break
		}
		vm := o.cell.SlotVM(slot)
		if w := o.workers[vm]; w == nil || !o.usable(w, now) || !o.cell.TakeSlots(slot, 1) {
			avoid = append(avoid, slot)
			continue
		}
		granted[vm]++
	}
	return granted
}

func (o *Owner) loanOf(given loan.Loan, now time.Duration) wire.Loan {
	w := o.workers[given.VM]
	return wire.Loan{
		ID: given.ID, VM: given.VM, Address: w.vm.Address, Region: w.vm.Region, DataCentre: w.vm.DataCentre,
		Slots: given.Slots, Epoch: w.epoch, Incarnation: w.incarnation,
		WorkerClockMS:  (w.clock + slowest(now-w.clockAt)).Milliseconds(),
		TTLMS:          loanTTL.Milliseconds(),
		MaxDeadlineMS:  maxRequestLease.Milliseconds(),
		LenderInstance: fmt.Sprintf("%s/%d", o.Self, o.lastView.Self.Incarnation),
	}
}

// freeInPool returns the slots of the pool that are neither lent nor used.
func (o *Owner) freeInPool(pool string) int64 {
	free := int64(0)
	for name, w := range o.workers {
		p := o.lastView.Set.Pools[pool]
		if p == nil || !w.fenced || !view.PoolOf(p, w.vm) {
			continue
		}
		if state, known := o.cell.Worker(name); known && state.Schedulable() {
			free += max(0, state.Free().Slots)
		}
	}
	return free
}

// freeSlots gives slots back to the cell.
func (o *Owner) freeSlots(freed loan.Freed) {
	if slot, known := o.cell.SlotOf(freed.VM); known {
		o.cell.ReturnSlots(slot, freed.Slots)
	}
}

func (o *Owner) expireLoans(now time.Duration) {
	for _, freed := range o.ledger.Expire(now) {
		o.freeSlots(freed)
	}
}

// settleLoans compares lapsed loans with a report, and keeps slots from being lent
// that are busy with requests under loans of earlier owners. Such requests can only
// become fewer, because the worker refuses starts of earlier epochs.
func (o *Owner) settleLoans(w *worker, busy map[int64]int64, foreign int64, askedAt time.Duration) {
	if freed := o.ledger.Settle(w.vm.Name, busy, askedAt); freed > 0 {
		o.freeSlots(loan.Freed{VM: w.vm.Name, Slots: freed})
	}
	slot, known := o.cell.SlotOf(w.vm.Name)
	if !known || foreign == w.foreign {
		return
	}
	if foreign < w.foreign {
		o.cell.ReturnSlots(slot, w.foreign-foreign)
	} else if !o.cell.TakeSlots(slot, foreign-w.foreign) {
		return // the worker is leaving and lends nothing
	}
	w.foreign = foreign
}
