package rack

import (
	"context"
	"time"

	"briarproxy/core/job"
	"briarproxy/core/wire"
)

// tellEnds tells shard owners which attempts have ended, again until each end is
// recorded in the shard's stream.
func (o *Owner) tellEnds(now time.Duration) {
	batches := map[string][]wire.EndedTask{}
	for id, a := range o.notices {
		if a.noticing || now < a.noticeAt {
			continue
		}
		name, _, ok := job.ParseTaskID(id)
		if !ok {
			delete(o.notices, id)
			continue
		}
		owner, owned := o.lastView.OwnerOf(wire.ShardUnit(wire.ShardOf(name)))
		if !owned {
			a.noticeAt = now + endNoticeRetry
			continue
		}
		a.noticing = true
		batches[owner.Name] = append(batches[owner.Name], o.endedTask(a))
	}
	for owner, ended := range batches {
		o.callEnded(owner, ended)
	}
}

func (o *Owner) endedTask(a *attempt) wire.EndedTask {
	vm := ""
	if w := o.byTask[a.task.ID]; w != nil {
		vm = w.vm.Name
	}
	return wire.EndedTask{
		TaskID: a.task.ID, Job: a.task.Job, Generation: a.task.Generation, VM: vm,
		State: a.task.State, Result: a.task.Result, PeakUsage: a.task.Usage,
	}
}

func (o *Owner) callEnded(owner string, ended []wire.EndedTask) {
	o.Calls.Go(func() {
		ctx, cancel := context.WithTimeout(o.ctx, callTimeout)
		defer cancel()
		var reply wire.TaskEndedReply
		err := o.Peers.Call(ctx, owner, wire.RPCTaskEnded, &wire.TaskEndedArgs{From: o.Self, Ended: ended}, &reply)
		if err != nil {
			reply.Recorded = nil
		}
		_ = o.send(endsTold{ended: ended, recorded: reply.Recorded})
	})
}

// endsTold is a shard owner's answer to a notice.
type endsTold struct {
	ended    []wire.EndedTask
	recorded []string
}

func (m endsTold) handle(o *Owner) {
	recorded := map[string]bool{}
	for _, id := range m.recorded {
		recorded[id] = true
	}
	now := o.Now()
	acks := map[*worker][]wire.AttemptID{}
	for _, e := range m.ended {
		a := o.notices[e.TaskID]
		if a == nil || a.task.Generation != e.Generation {
			continue
		}
		a.noticing = false
		a.noticeAt = now + endNoticeRetry
		if recorded[e.TaskID] {
			o.forget(a, acks)
		}
	}
	for w, ids := range acks {
		o.ack(w, ids)
	}
}

// forget drops an attempt whose end is recorded.
func (o *Owner) forget(a *attempt, acks map[*worker][]wire.AttemptID) {
	id := a.task.ID
	delete(o.notices, id)
	w := o.byTask[id]
	if w == nil || w.attempts[id] != a {
		return
	}
	delete(w.attempts, id)
	delete(o.byTask, id)
	acks[w] = append(acks[w], wire.AttemptID{ID: id, Generation: a.task.Generation})
}

func (o *Owner) ack(w *worker, attempts []wire.AttemptID) {
	address := w.vm.Address
	o.Calls.Go(func() {
		ctx, cancel := context.WithTimeout(o.ctx, callTimeout)
		defer cancel()
		// A lost acknowledgement shows as a finished attempt in the next report and
		// is told and acknowledged again.
		_ = o.Workers.Ack(ctx, address, wire.Ack{Attempts: attempts})
	})
}
