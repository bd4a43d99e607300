package rack

import (
	"time"

	"briarproxy/core/quarantine"
	"briarproxy/core/wire"
	"briarproxy/daemon/view"
)

// requestTask stands for the request of a failed run. A request that fails on
// several workers is not reported by its entry daemon, so requests need not be told
// apart here.
const requestTask = "request"

// isolatedPart bounds the workers isolated for requests to one in three. An owner
// often has too few racks to see that a release of a service fails everywhere;
// without the bound such a release would take all its workers out of use.
const isolatedPart = 3

// judgeRuns learns from a borrower's runs which workers fail everything. It returns
// the borrower's loans of the workers that are isolated now.
func (o *Owner) judgeRuns(args *wire.BorrowArgs, now time.Duration) (withdrawn []int64) {
	runs := args.Runs[:min(len(args.Runs), wire.MaxRunCounts)]
	worked := map[string]bool{}  // VMs
	healthy := map[string]bool{} // operations
	for _, run := range runs {
		if run.Finished > 0 && o.known(run) {
			worked[run.VM] = true
			healthy[run.Operation] = true
			o.runWorked(run)
		}
	}
	for _, run := range runs {
		if run.Failed <= 0 || worked[run.VM] || !o.known(run) {
			continue
		}
		if o.runsFailed(run, healthy[run.Operation], now) {
			withdrawn = append(withdrawn, o.ledger.LoansOn(run.VM, args.Borrower)...)
		}
	}
	return withdrawn
}

// known reports whether the counts are of a worker of this owner as it is now.
func (o *Owner) known(run wire.RunCount) bool {
	w := o.workers[run.VM]
	return w != nil && w.fenced && w.incarnation == run.Incarnation
}

func (o *Owner) runWorked(run wire.RunCount) {
	if o.failures.RecordSuccess(run.VM, requestTask, run.Operation) {
		o.restore(run.VM)
	}
}

// runsFailed counts failures of one operation; isolated tells that they isolated
// the worker. An operation that works elsewhere does not fail everywhere, however
// many workers it failed on in the same time.
func (o *Owner) runsFailed(run wire.RunCount, works bool, now time.Duration) (isolated bool) {
	f := quarantine.Failure{VM: run.VM, Rack: o.workers[run.VM].unit, TaskID: requestTask, Template: run.Operation}
	for range min(run.Failed, int64(quarantine.Defaults().WorkerFailures)) {
		verdict := o.failures.RecordFailure(f, now)
		o.failures.ForgetTask(requestTask)
		if works {
			o.failures.ForgetTemplate(run.Operation)
		}
		o.restore(verdict.Restore...)
		for _, vm := range verdict.Isolate {
			isolated = o.isolate(vm, run.Operation) || isolated
		}
	}
	return isolated
}

// isolate stops lending slots of the worker, unless too many are isolated already.
func (o *Owner) isolate(vm, operation string) bool {
	isolated := 0
	for name := range o.workers {
		if o.failures.Isolated(name) {
			isolated++
		}
	}
	if isolated > max(1, len(o.workers)/isolatedPart) || len(o.workers) == 1 {
		o.failures.Forget(vm)
		o.Log.Emit(eventSpared, "vm", vm, "operation", operation, "isolated", isolated-1, "workers", len(o.workers))
		return false
	}
	o.Log.Emit(eventIsolatedReq, "vm", vm, "operation", operation)
	o.cell.SetQuarantined(vm, true)
	return true
}

func (o *Owner) restore(vms ...string) {
	for _, vm := range vms {
		o.cell.SetQuarantined(vm, false)
		o.Log.Emit(eventRestored, "vm", vm)
	}
}

// lendProbe lends one slot of an isolated worker whose backoff has ended.
func (o *Owner) lendProbe(args *wire.BorrowArgs, now time.Duration) []wire.Loan {
	pool := o.lastView.Set.Pools[args.Pool]
	if pool == nil {
		return nil
	}
	o.failures.ExpireProbes(now)
	for _, vm := range o.failures.DueProbes(now) {
		w := o.workers[vm]
		if w == nil || !o.usable(w, now) || !view.PoolOf(pool, w.vm) {
			continue
		}
		slot, known := o.cell.SlotOf(vm)
		if !known || !o.cell.TakeProbeSlot(slot) {
			continue
		}
		o.failures.ProbeStarted(vm, now+probeTimeout)
		o.Log.Emit(eventProbed, "vm", vm, "to", args.Borrower)
		lent := o.loanOf(o.ledger.Grant(vm, args.Pool, args.Borrower, 1, now), now)
		lent.Probe = true
		return []wire.Loan{lent}
	}
	return nil
}
