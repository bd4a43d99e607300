package rack

import (
	"context"
	"time"

	"briarproxy/core/place"
	"briarproxy/core/quarantine"
	"briarproxy/core/wire"
)

// askWorker fences the worker, or asks it for a report.
func (o *Owner) askWorker(w *worker, now time.Duration) {
	w.asking = true
	w.askedAt = now
	name, address, epoch, fenced := w.vm.Name, w.vm.Address, w.epoch, w.fenced
	o.Calls.Go(func() {
		ctx, cancel := context.WithTimeout(o.ctx, callTimeout)
		defer cancel()
		answer := inventory{vm: name, epoch: epoch, fence: !fenced, sent: now}
		if fenced {
			answer.report, answer.err = o.Workers.Report(ctx, address)
		} else {
			answer.report, answer.err = o.Workers.Fence(ctx, address, wire.Fence{Epoch: epoch})
		}
		answer.received = o.Now()
		_ = o.send(answer)
	})
}

// inventory is a worker's answer to a fence or a report call.
type inventory struct {
	vm       string
	epoch    int64
	fence    bool
	sent     time.Duration // boot clock
	received time.Duration // boot clock
	report   wire.Report
	err      error
}

func (m inventory) handle(o *Owner) {
	w := o.workers[m.vm]
	if w == nil || w.epoch != m.epoch {
		return
	}
	w.asking = false
	if m.err != nil {
		o.silent(w, m)
		return
	}
	if m.report.Refused == wire.RefusedStaleEpoch || m.report.Epoch > w.epoch {
		o.Log.Emit(eventStale, "vm", m.vm, "epoch", w.epoch, "worker_epoch", m.report.Epoch)
		o.unfence(w)
		return
	}
	if w.fenced && m.report.Incarnation != w.incarnation {
		o.restarted(w, m.report.Incarnation)
		return
	}
	w.clock = time.Duration(m.report.ClockMS) * time.Millisecond
	w.clockAt = m.received
	w.capacity = m.report.Capacity
	w.draining = w.draining || m.report.Draining
	o.Membership.ReportVM(m.vm, m.report.Incarnation, m.report.Draining)
	if m.fence {
		o.fenced(w, m)
	} else {
		o.describe(w)
	}
	o.follow(w, m)
}

func (o *Owner) silent(w *worker, m inventory) {
	if w.fenced && m.received-w.clockAt > reportMaxAge && m.received-w.clockAt < reportMaxAge+o.ReportInterval+callTimeout {
		o.Log.Emit(eventSilent, "vm", m.vm, "error", m.err.Error())
	}
}

// unfence stops placing on the worker until it was fenced again.
func (o *Owner) unfence(w *worker) {
	w.fenced = false
	o.cell.SetLive(w.vm.Name, false)
}

// restarted ends everything that ran on the worker's former incarnation.
func (o *Owner) restarted(w *worker, incarnation int64) {
	o.Log.Emit(eventRestarted, "vm", w.vm.Name, "incarnation", w.incarnation, "new", incarnation)
	for _, a := range w.attempts {
		if !a.ended() {
			o.end(w, a, wire.RunStopped, nil)
		}
	}
	o.ledger.Forget(w.vm.Name)
	o.failures.Forget(w.vm.Name)
	o.cell.RemoveWorker(w.vm.Name)
	w.fenced = false
	w.draining = false
	w.foreign = 0
	w.askedAt = 0
}

// fenced adopts the inventory of a worker that accepted the epoch.
func (o *Owner) fenced(w *worker, m inventory) {
	if w.incarnation != 0 && w.incarnation != m.report.Incarnation {
		o.ledger.Forget(w.vm.Name)
		o.failures.Forget(w.vm.Name)
		o.cell.RemoveWorker(w.vm.Name)
		w.foreign = 0
	}
	w.fenced = true
	w.fencedOnce = true
	w.incarnation = m.report.Incarnation
	w.renewedAt = 0
	o.describe(w)
	o.Log.Emit(eventFenced, "vm", w.vm.Name, "epoch", w.epoch, "incarnation", w.incarnation, "attempts", len(m.report.Attempts))
}

// follow compares the worker's inventory with what is known of it.
func (o *Owner) follow(w *worker, m inventory) {
	busy := map[int64]int64{}
	foreign := int64(0)
	listed := map[string]int64{} // generation by task id
	for i := range m.report.Attempts {
		a := &m.report.Attempts[i]
		if a.Kind == wire.KindRequest {
			switch {
			case a.State != wire.RunRunning:
			case a.Epoch == w.epoch:
				busy[a.Loan] += a.Resources.Slots
			default:
				foreign += a.Resources.Slots
			}
			continue
		}
		listed[a.ID] = max(listed[a.ID], a.Generation)
		o.followTask(w, a, m)
	}
	o.settleLoans(w, busy, foreign, m.sent)
	for id, a := range w.attempts {
		if listed[id] < a.task.Generation && a.mustBeListed(m.sent) {
			o.end(w, a, wire.RunStopped, nil) // it does not run, and no late start is accepted
		}
	}
}

// mustBeListed reports whether a report that was asked for at askedAt lists the
// attempt if it runs or has ended. A report that was asked for before the start was
// answered may have been made before the start arrived; a start without an answer may
// arrive as long as it is valid.
func (a *attempt) mustBeListed(askedAt time.Duration) bool {
	if a.ended() || a.reservation != 0 {
		return false
	}
	if a.starting {
		return askedAt > a.begunAt+longest(startValidity)
	}
	return askedAt >= a.startedAt
}

func (o *Owner) followTask(w *worker, listed *wire.Attempt, m inventory) {
	a := w.attempts[listed.ID]
	if a != nil && a.task.Generation > listed.Generation {
		return
	}
	if a != nil && a.task.Generation < listed.Generation && !a.ended() {
		o.discard(w, a)
	}
	if a == nil || a.task.Generation < listed.Generation {
		a = o.adoptTask(w, listed, m.received)
	}
	if a.reservation != 0 {
		return
	}
	if a.starting {
		a.starting, a.startedAt = false, m.received
	}
	if listed.State != wire.RunRunning {
		if !a.ended() {
			o.end(w, a, listed.State, listed.Result)
		}
		return
	}
	a.task.State = wire.RunRunning
	a.task.Usage = listed.Usage
	o.resize(w, a, m.received)
}

// adoptTask takes over an attempt that another owner started. Its run lease is at
// most a full one, because an older owner can't renew it after the fence.
func (o *Owner) adoptTask(w *worker, listed *wire.Attempt, now time.Duration) *attempt {
	a := &attempt{task: *listed, leaseUntil: now + longest(runLease)}
	a.task.Result = nil
	a.task.State = wire.RunRunning
	w.attempts[listed.ID] = a
	o.byTask[listed.ID] = w
	o.cell.AddTask(w.vm.Name, place.Task{ID: listed.ID, Job: listed.Job, Generation: listed.Generation, Resources: listed.Resources})
	return a
}

// resize commits the larger of the estimate and the reported use.
func (o *Owner) resize(w *worker, a *attempt, now time.Duration) {
	o.sizes.ObserveUse(a.task.Operation, a.task.Usage, now)
	size := a.task.Resources.Max(a.task.Usage)
	size.Slots = a.task.Resources.Slots
	o.cell.Resize(a.task.ID, a.task.Generation, size)
}

// end notes the end of an attempt, releases its room and queues the notice to the
// owner of its shard.
func (o *Owner) end(w *worker, a *attempt, state wire.RunState, result *wire.Result) {
	a.task.State = state
	a.task.Result = result
	a.starting = false
	a.reservation = 0
	o.notices[a.task.ID] = a
	o.cell.Release(a.task.ID, a.task.Generation)
	now := o.Now()
	a.noticeAt = now
	o.judge(w, a, state, now)
}

// judge learns from failures which workers fail everything.
func (o *Owner) judge(w *worker, a *attempt, state wire.RunState, now time.Duration) {
	switch state {
	case wire.RunFailed:
		f := quarantine.Failure{VM: w.vm.Name, Rack: w.unit, TaskID: a.task.ID, Template: a.task.Operation}
		verdict := o.failures.RecordFailure(f, now)
		for _, vm := range verdict.Isolate {
			o.Log.Emit(eventIsolated, "vm", vm, "task", a.task.ID)
			o.cell.SetQuarantined(vm, true)
		}
		o.restore(verdict.Restore...)
	case wire.RunFinished:
		if o.failures.RecordSuccess(w.vm.Name, a.task.ID, a.task.Operation) {
			o.restore(w.vm.Name)
		}
		o.failures.ForgetTask(a.task.ID)
		o.noteRun(a, now)
	}
}

// noteRun learns sizes and run times from an attempt that finished.
func (o *Owner) noteRun(a *attempt, now time.Duration) {
	if a.begunAt > 0 {
		o.sizes.ObserveEnd(a.task.Operation, a.task.Usage, now-a.begunAt, now)
	}
}

// renew extends the run leases of the worker's tasks.
func (o *Owner) renew(w *worker, now time.Duration) {
	silent := now-w.clockAt > 2*o.ReportInterval+time.Second
	if w.renewing || silent || now-w.renewedAt < renewInterval || !o.authorised(w, now) {
		return
	}
	msg := wire.Renew{Epoch: w.epoch, NotAfterMS: w.notAfter(now)}
	for _, a := range w.attempts {
		if !a.ended() && a.reservation == 0 {
			msg.Leases = append(msg.Leases, wire.LeaseRenewal{ID: a.task.ID, Generation: a.task.Generation, LeaseMS: runLease.Milliseconds()})
			a.leaseUntil = now + longest(startValidity+runLease)
		}
	}
	w.renewedAt = now
	if len(msg.Leases) == 0 {
		return
	}
	w.renewing = true
	name, address := w.vm.Name, w.vm.Address
	o.Calls.Go(func() {
		ctx, cancel := context.WithTimeout(o.ctx, callTimeout)
		defer cancel()
		_, err := o.Workers.Renew(ctx, address, msg)
		_ = o.send(renewed{vm: name, err: err})
	})
}

// renewed is the answer to a renewal. Attempts that are gone show in the next
// report.
type renewed struct {
	vm  string
	err error
}

func (m renewed) handle(o *Owner) {
	if w := o.workers[m.vm]; w != nil {
		w.renewing = false
	}
}

// declareLost ends attempts whose run lease has surely lapsed on a worker that has been asked since and did not list their
// ends. Renewals are sent only while the worker answers, so that a lease can lapse. Once this daemon's lease of the rack has
// ended, a successor may have renewed the run leases.
func (o *Owner) declareLost(w *worker, now time.Duration) {
	if unit := o.View.Current().Units[w.unit]; !unit.Mine || unit.Epoch != w.epoch || now >= unit.LeaseUntil {
		return
	}
	for _, a := range w.attempts {
		if a.ended() || a.reservation != 0 || now < a.leaseUntil || w.asking || w.askedAt < a.leaseUntil {
			continue
		}
		o.Log.Emit(eventLost, "task", a.task.ID, "generation", a.task.Generation, "vm", w.vm.Name)
		o.end(w, a, wire.RunStopped, nil)
	}
}
