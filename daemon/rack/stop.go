package rack

import (
	"context"

	"briarproxy/core/job"
	"briarproxy/core/place"
	"briarproxy/core/wire"
)

// StopTasks serves a shard owner that stops attempts or asks what became of them.
func (o *Owner) StopTasks(args *wire.StopArgs, reply *wire.StopReplyBatch) error {
	call := stopCall{args: args, outcomes: make(chan wire.StopOutcome, len(args.Tasks)), reply: make(chan bool, 1)}
	if _, err := ask(o, call, call.reply); err != nil {
		return err
	}
	for range args.Tasks {
		select {
		case outcome := <-call.outcomes:
			reply.Outcomes = append(reply.Outcomes, outcome)
		case <-o.done:
			return nil // the attempts without an outcome are asked for again
		}
	}
	return nil
}

type stopCall struct {
	args     *wire.StopArgs
	outcomes chan wire.StopOutcome
	reply    chan bool
}

func (m stopCall) handle(o *Owner) {
	for _, task := range m.args.Tasks {
		w := o.workers[task.VM]
		if w == nil || !w.fenced {
			outcome := wire.StopOutcome{TaskID: task.TaskID, Generation: task.Generation}
			if w != nil && o.lapsedUnfenced(w, task.TaskID) {
				outcome.Known, outcome.Restarted, outcome.State = true, true, wire.RunStopped
			}
			m.outcomes <- outcome
			continue
		}
		o.callStop(w, task, m.outcomes)
	}
	m.reply <- true
}

// lapsedUnfenced reports whether nothing that was started before this daemon owned
// the rack can still run on a worker that it could not reach since. The former owner
// released the rack, after which it neither started nor renewed anything, so every
// run lease has lapsed after the longest one.
func (o *Owner) lapsedUnfenced(w *worker, id string) bool {
	unit := o.lastView.Units[w.unit]
	if w.fencedOnce || !unit.AfterRelease {
		return false
	}
	lease := maxRequestLease
	if _, _, isTask := job.ParseTaskID(id); isTask {
		lease = runLease
	}
	return o.Now()-w.takenAt > longest(startValidity+lease)
}

func (o *Owner) callStop(w *worker, task wire.StopTask, outcomes chan<- wire.StopOutcome) {
	address := w.vm.Address
	msg := wire.Stop{ID: task.TaskID, Generation: task.Generation, Epoch: w.epoch, Query: task.Query, Incarnation: task.Incarnation}
	o.Calls.Go(func() {
		ctx, cancel := context.WithTimeout(o.ctx, callTimeout)
		defer cancel()
		answer, err := o.Workers.Stop(ctx, address, msg)
		_ = o.send(stopAnswer{task: task, answer: answer, err: err, outcomes: outcomes})
	})
}

// stopAnswer is a worker's answer to a stop or query.
type stopAnswer struct {
	task     wire.StopTask
	answer   wire.StopReply
	err      error
	outcomes chan<- wire.StopOutcome
}

func (m stopAnswer) handle(o *Owner) {
	outcome := wire.StopOutcome{TaskID: m.task.TaskID, Generation: m.task.Generation}
	w := o.workers[m.task.VM]
	switch {
	case m.err != nil:
		o.fromMemory(w, m.task, &outcome)
	case m.answer.Refused == wire.RefusedWrongIncarnation:
		outcome.Known, outcome.Restarted, outcome.State = true, true, wire.RunStopped
	case m.answer.Refused == "":
		outcome.Known, outcome.State, outcome.Result = true, m.answer.State, m.answer.Result
	}
	if w != nil && outcome.Known && outcome.State != wire.RunRunning {
		o.noteStopped(w, m.task, outcome)
	}
	m.outcomes <- outcome
}

// fromMemory answers for a worker that is silent, if the attempt's run lease has
// surely lapsed.
func (o *Owner) fromMemory(w *worker, task wire.StopTask, outcome *wire.StopOutcome) {
	if w == nil {
		return
	}
	a := w.attempts[task.TaskID]
	if a != nil && a.task.Generation == task.Generation && a.ended() {
		outcome.Known, outcome.Restarted, outcome.State, outcome.Result = true, a.task.Result == nil, a.task.State, a.task.Result
	}
}

// noteStopped frees the room of an attempt that does not run. The asking shard
// owner records the end, so no notice is due.
func (o *Owner) noteStopped(w *worker, task wire.StopTask, outcome wire.StopOutcome) {
	a := w.attempts[task.TaskID]
	if a == nil || a.task.Generation != task.Generation || a.ended() {
		return
	}
	if outcome.State == wire.RunNeverStarted {
		o.discard(w, a)
		return
	}
	o.end(w, a, outcome.State, outcome.Result)
}

// preempt carries out the plans that make room for urgent tasks. The room is held
// for the urgent task, which asks again after its backoff.
func (o *Owner) preempt(plans []place.Preemption) {
	for _, p := range plans {
		w := o.workers[p.VM]
		if w == nil {
			continue
		}
		for _, victim := range p.Victims {
			o.Log.Emit(eventPreempt, "task", victim.TaskID, "vm", p.VM, "action", string(victim.Action), "for", p.Ask.TaskID)
			o.preemptOne(w, victim)
		}
	}
}

func (o *Owner) preemptOne(w *worker, victim place.Victim) {
	address, epoch := w.vm.Address, w.epoch
	vm := w.vm.Name
	o.Calls.Go(func() {
		ctx, cancel := context.WithTimeout(o.ctx, callTimeout)
		defer cancel()
		if victim.Action == place.ActionThrottle {
			msg := wire.Throttle{ID: victim.TaskID, Generation: victim.Generation, Epoch: epoch, Percent: victim.Percent}
			err := o.Workers.Throttle(ctx, address, msg)
			_ = o.send(throttled{victim: victim, err: err})
			return
		}
		answer, err := o.endVictim(ctx, address, epoch, victim)
		task := wire.StopTask{TaskID: victim.TaskID, Generation: victim.Generation, VM: vm}
		_ = o.send(stopAnswer{task: task, answer: answer, err: err, outcomes: make(chan wire.StopOutcome, 1)})
	})
}

func (o *Owner) endVictim(ctx context.Context, address string, epoch int64, victim place.Victim) (wire.StopReply, error) {
	if victim.Action == place.ActionCheckpoint {
		return o.Workers.Checkpoint(ctx, address, wire.Checkpoint{ID: victim.TaskID, Generation: victim.Generation, Epoch: epoch})
	}
	return o.Workers.Stop(ctx, address, wire.Stop{ID: victim.TaskID, Generation: victim.Generation, Epoch: epoch})
}

// throttled is a worker's answer to a throttle call.
type throttled struct {
	victim place.Victim
	err    error
}

func (m throttled) handle(o *Owner) {
	if m.err == nil {
		o.cell.Throttle(m.victim.TaskID, m.victim.Generation, m.victim.Percent)
	}
}
