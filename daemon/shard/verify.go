package shard

import (
	"context"
	"time"

	"briarproxy/core/job"
	"briarproxy/core/wire"
)

// endedAttempt is an attempt of which the end is known.
type endedAttempt struct {
	id         string
	generation int64
	state      wire.RunState
	result     *wire.Result
}

// recordEnds appends the ends that are new. then gets the ids of those that are in
// the stream or need no record.
func (r *runner) recordEnds(ended []endedAttempt, then func(recorded []string)) {
	var records []job.Record
	var known, fresh []string
	for _, e := range ended {
		if record := r.jobs.EndRecord(e.id, e.generation, e.state, e.result, r.WallMS()); record != nil {
			records = append(records, *record)
			fresh = append(fresh, e.id)
			continue
		}
		if r.jobs.Knows(e.id, e.generation) {
			known = append(known, e.id)
		}
	}
	if len(records) == 0 {
		if then != nil {
			then(known)
		}
		return
	}
	r.append(jobEntries(records), func(err error) {
		r.endsLogged(records, err)
		if err == nil {
			known = append(known, fresh...)
		}
		if then != nil {
			then(known)
		}
	})
}

func (r *runner) endsLogged(records []job.Record, err error) {
	if err != nil {
		return // the rack owner tells the end again, or the attempt is verified again
	}
	for _, record := range records {
		e := record.Ended
		r.Log.Emit(eventEnded, "task", job.TaskID(e.Job, e.Index), "generation", e.Generation, "state", string(e.State))
		r.note(e.Job, "attempt ended", string(e.State))
		r.wake(e.Job)
	}
	r.place(r.Now())
}

// TaskEnded serves a rack owner's notice of ended attempts. Attempts of shards
// that this daemon does not own are left out of the answer and told again later.
func (m *Manager) TaskEnded(args *wire.TaskEndedArgs, reply *wire.TaskEndedReply) error {
	byShard := map[int][]endedAttempt{}
	for _, e := range args.Ended {
		name, _, ok := job.ParseTaskID(e.TaskID)
		if !ok {
			reply.Recorded = append(reply.Recorded, e.TaskID)
			continue
		}
		shard := wire.ShardOf(name)
		byShard[shard] = append(byShard[shard], endedAttempt{id: e.TaskID, generation: e.Generation, state: e.State, result: e.Result})
	}
	for shard, ended := range byShard {
		r, err := m.runner(shard, 0)
		if err != nil {
			continue
		}
		reply.Recorded = append(reply.Recorded, r.recordEndsAndWait(ended)...)
	}
	return nil
}

// endNotice carries ended attempts to the runner's goroutine.
type endNotice struct {
	ended []endedAttempt
	reply chan []string
}

func (m endNotice) handle(r *runner) {
	r.recordEnds(m.ended, func(recorded []string) { m.reply <- recorded })
}

func (r *runner) recordEndsAndWait(ended []endedAttempt) []string {
	notice := endNotice{ended: ended, reply: make(chan []string, 1)}
	if r.send(notice) != nil {
		return nil
	}
	select {
	case recorded := <-notice.reply:
		return recorded
	case <-r.done:
		return nil
	}
}

// noticeRackChanges verifies running attempts in racks that got a new owner: their
// ends may have been told to nobody.
func (r *runner) noticeRackChanges() {
	snapshot := r.View.Current()
	if snapshot == r.lastView {
		return
	}
	r.lastView = snapshot
	changed := map[string]bool{}
	for name, unit := range snapshot.Units {
		if seen, known := r.rackEpochs[name]; known && seen != unit.Epoch {
			changed[name] = true
		}
		r.rackEpochs[name] = unit.Epoch
	}
	if len(changed) == 0 {
		return
	}
	marked := r.jobs.VerifyRunning(func(vm string) bool {
		v, listed := snapshot.VMs[vm]
		return !listed || changed[wire.RackUnit(v.DataCentre, v.Rack)]
	})
	if marked > 0 {
		r.Log.Emit(eventVerify, "shard", r.shard, "attempts", marked, "reason", "racks changed their owner")
	}
}

// verify asks for attempts that may run.
func (r *runner) verify(now time.Duration) {
	if r.verifying || now < r.nextVerify || r.jobs.Verifying() == 0 {
		return
	}
	r.nextVerify = now + verifyInterval
	r.verifying = true
	r.ask(r.jobs.ToVerify(maxAttemptsPerTry), true)
}

// stop stops attempts of cancelled jobs and of gangs that are taken back.
func (r *runner) stop(now time.Duration) {
	if r.stopping || now < r.nextStop {
		return
	}
	attempts := r.jobs.ToStop(maxAttemptsPerTry)
	if len(attempts) == 0 {
		return
	}
	r.nextStop = now + stopInterval
	r.stopping = true
	r.ask(attempts, false)
}

// goneAfter is how long a VM must be missing from the VM list before its attempts
// count as stopped: the list lags, but it does not drop a VM that still runs.
const goneAfter = time.Minute

// ask stops or queries attempts through the owners of their VMs' racks. A rack
// without an owner is asked again later.
func (r *runner) ask(attempts []job.Attempt, query bool) {
	snapshot := r.View.Current()
	answer := stopAnswer{attempts: attempts, query: query}
	byOwner := map[string]*wire.StopArgs{}
	for _, a := range attempts {
		vm, listed := snapshot.VMs[a.VM]
		if r.vmGone(a.VM, listed) {
			answer.outcomes = append(answer.outcomes, wire.StopOutcome{TaskID: a.TaskID, Generation: a.Generation, Known: true, State: wire.RunStopped})
			continue
		}
		owner, owned := snapshot.OwnerOf(wire.RackUnit(vm.DataCentre, vm.Rack))
		if !listed || !owned {
			continue
		}
		if byOwner[owner.Name] == nil {
			byOwner[owner.Name] = &wire.StopArgs{From: r.Self}
		}
		task := wire.StopTask{TaskID: a.TaskID, Generation: a.Generation, VM: a.VM, Incarnation: a.Incarnation, Query: query}
		byOwner[owner.Name].Tasks = append(byOwner[owner.Name].Tasks, task)
	}
	r.Calls.Go(func() {
		for owner, args := range byOwner {
			answer.outcomes = append(answer.outcomes, r.callStop(owner, args)...)
		}
		_ = r.send(answer)
	})
}

// vmGone reports whether the VM has been missing from the list for long enough. A list that was never read
// tells nothing.
func (r *runner) vmGone(vm string, listed bool) bool {
	if listed || len(r.View.Current().VMs) == 0 {
		delete(r.missing, vm)
		return false
	}
	now := r.Now()
	since, known := r.missing[vm]
	if !known {
		r.missing[vm] = now
		return false
	}
	return now-since > goneAfter
}

func (r *runner) callStop(owner string, args *wire.StopArgs) []wire.StopOutcome {
	ctx, cancel := context.WithTimeout(r.ctx, callTimeout)
	defer cancel()
	var reply wire.StopReplyBatch
	if r.Peers.Call(ctx, owner, wire.RPCStopTasks, args, &reply) != nil {
		return nil
	}
	return reply.Outcomes
}

type stopAnswer struct {
	attempts []job.Attempt
	query    bool
	outcomes []wire.StopOutcome
}

func (m stopAnswer) handle(r *runner) {
	known := map[string]bool{}
	var ended []endedAttempt
	for _, o := range m.outcomes {
		if !o.Known {
			continue
		}
		if o.State == wire.RunRunning {
			if m.query {
				r.jobs.FoundRunning(o.TaskID, o.Generation)
			}
			continue
		}
		known[o.TaskID] = true
		ended = append(ended, endedAttempt{id: o.TaskID, generation: o.Generation, state: o.State, result: o.Result})
	}
	if m.query {
		r.verifying = false
	} else {
		r.stopping = false
		for _, a := range m.attempts {
			if !known[a.TaskID] {
				r.jobs.StopAgain(a)
			}
		}
	}
	r.recordEnds(ended, nil)
}
