package placer

import (
	"slices"
	"time"

	"briarproxy/core/cluster"
	"briarproxy/core/flow"
)

// A worker that answers nothing after a start until its leases expire has crashed, or it is cut off, or this
// process has not asked it. What answers at its address later tells which: the same incarnation has survived
// the start; another one, or another worker, shows that the incarnation has ended.

// decisionLostStart is the kind of decision that reports what became of the worker of a lost start.
const decisionLostStart = "lost start explained"

// explanationWait is how long a task whose lost starts would be too many crashes waits for an explanation
// before it is started again. With the lease that has expired before, it covers the time in which a crashed worker
// is back. A ready task must not stand still for longer while there is room for it.
const explanationWait = 2900 * time.Millisecond

// explanationWaitLasting is the explanationWait of long-running steps, whose tasks must be restarted soon.
const explanationWaitLasting = 2 * time.Second

// lostStart is a recorded lost start that is not explained.
type lostStart struct {
	cluster.RunID
	life      cluster.Life
	address   string
	answered  bool          // the worker answered the start command
	beganMS   int64         // of the run, Unix ms
	knownAt   time.Duration // boot clock
	adopted   bool          // a former placer recorded it
	explained bool          // the explanation is in a batch
}

// addLostStarts adds the unexplained lost starts of a task.
func (p *Placer) addLostStarts(id cluster.TaskID, t *flow.TaskState, adopted bool, now time.Duration) {
	for _, l := range t.LostStarts {
		run := cluster.RunID{TaskID: id, Run: l.Run}
		known := p.lostStarts[l.Life.Worker]
		if !slices.ContainsFunc(known, func(k *lostStart) bool { return k.RunID == run }) {
			p.lostStarts[l.Life.Worker] = append(known, &lostStart{RunID: run, life: l.Life, address: l.Address, answered: l.Answered, beganMS: l.BeganMS, knownAt: now, adopted: adopted})
		}
	}
}

// explainByAnswer explains the lost starts on a worker that has answered a poll.
func (p *Placer) explainByAnswer(v *vm, now time.Duration) {
	for _, l := range p.lostStarts[v.Life.Worker] {
		switch {
		case v.Born > l.life.Born:
			p.explain(l, l.reasonAfterRestart(v.Born), now)
		case v.Born == l.life.Born && v.pollSentAt > l.knownAt:
			p.explain(l, cluster.LeaseExpired, now)
		}
	}
}

// reasonAfterRestart returns what became of the worker if the next process at its address has started at
// the given time (Unix ms). One that started long after the run began does not show when the worker ended.
func (l *lostStart) reasonAfterRestart(born int64) cluster.EndReason {
	if isCrashRestart(l.beganMS, born) {
		return crashReason(l.answered)
	}
	return cluster.LeaseExpired
}

// observeReplacements looks in the registry for what explains lost starts: workers that drain, which leave
// without a crash, and workers that have started at the address of a silent one.
func (p *Placer) observeReplacements(workers []cluster.Worker, now time.Duration) {
	addresses := p.openLostStarts(now)
	for _, v := range p.vms {
		if len(v.runs) > 0 && v.replacedBorn == 0 && (v.missedPolls > 0 || !v.inRegistry) {
			addresses[v.Address] = true
		}
	}
	clear(p.unconfirmed)
	if len(addresses) == 0 {
		return
	}
	for i := range workers {
		w := &workers[i]
		if w.Draining {
			for _, l := range p.lostStarts[w.Life.Worker] {
				p.explain(l, cluster.LeaseExpired, now)
			}
		}
		if v := p.vms[w.Life.Worker]; addresses[w.Address] && v != nil {
			p.unconfirmed[w.Life.Worker] = true
			p.confirmReplacement(v, now)
		}
	}
}

// confirmReplacement explains the silence of other workers at the address of a worker. Any program may write to
// the registry, so the worker must have answered as the incarnation of its entry.
func (p *Placer) confirmReplacement(v *vm, now time.Duration) {
	if !p.unconfirmed[v.Life.Worker] || !v.tokenSeen {
		return
	}
	delete(p.unconfirmed, v.Life.Worker)
	for _, other := range p.vms {
		if other.Address == v.Address && len(other.runs) > 0 && isLaterWorker(v, other.Life) {
			other.replacedBorn = v.Born
		}
	}
	for _, starts := range p.lostStarts {
		for _, l := range starts {
			if l.address == v.Address && isLaterWorker(v, l.life) {
				p.explain(l, l.reasonAfterRestart(v.Born), now)
			}
		}
	}
}

// lostStartRetention is how long a lost start waits for its explanation.
const lostStartRetention = time.Minute

// openLostStarts returns the addresses of lost starts that need an explanation, and drops the others. A worker
// that has survived a later start of the task clears it.
func (p *Placer) openLostStarts(now time.Duration) map[string]bool {
	addresses := map[string]bool{}
	for worker, starts := range p.lostStarts {
		starts = slices.DeleteFunc(starts, func(l *lostStart) bool { return !p.isUnexplained(l) })
		if p.lostStarts[worker] = starts; len(starts) == 0 {
			delete(p.lostStarts, worker)
		}
		for _, l := range starts {
			r := p.runs[l.TaskID]
			survivedLater := r != nil && r.Run > l.Run && r.answered && r.hasSurvivedStart()
			if survivedLater || now-l.knownAt > lostStartRetention {
				p.explain(l, cluster.LeaseExpired, now)
				continue
			}
			addresses[l.address] = true
		}
	}
	return addresses
}

// isLaterWorker reports whether the worker is another one which has started after the given incarnation. At
// the same address it shows that the incarnation has ended.
func isLaterWorker(v *vm, life cluster.Life) bool {
	return v.Life.Worker != life.Worker && v.Born > life.Born
}

func (p *Placer) isUnexplained(l *lostStart) bool {
	if p.jobs[l.Job] == nil {
		return false
	}
	t := p.state.Task(l.TaskID)
	return t != nil && t.HasLostStart(l.Run)
}

// explain adds the explanation of a lost start to the next batch.
func (p *Placer) explain(l *lostStart, reason cluster.EndReason, now time.Duration) {
	if l.explained || p.lateEnds[l.RunID] != nil || !p.isUnexplained(l) {
		return
	}
	l.explained = true
	p.addDecision(Decision{Kind: decisionLostStart, Job: l.Job, Task: l.TaskID, Run: l.Run, Worker: l.life.Worker, Reason: string(reason), Age: now - l.knownAt})
	p.pendingBatch.Ends = append(p.pendingBatch.Ends, flow.End{RunID: l.RunID, Reason: reason})
}

// lostStartRecorded updates the step after the record of a lost start or, if late, of its explanation.
func (p *Placer) lostStartRecorded(end *flow.End, late bool, now time.Duration) {
	step := p.steps[end.StepID()]
	if step == nil {
		return
	}
	switch end.Reason {
	case cluster.Unreachable:
		p.addLostStarts(end.TaskID, p.state.Task(end.TaskID), false, now)
		step.onTrial, step.crashedAt = true, now
	case cluster.Crashed, cluster.Unanswered:
		step.onTrial, step.crashedAt = true, now
	case cluster.LeaseExpired:
		step.onTrial = step.onTrial && !late || hasCrashed(step.job.Step(end.Occurrence, end.Step))
	}
}

// withoutUnexplained returns the tasks that need not wait for the explanation of lost starts.
func (p *Placer) withoutUnexplained(step *pendingStep, tasks []int, now time.Duration) []int {
	state := step.job.Step(step.id.Occurrence, step.id.Step)
	if !step.onTrial || state == nil {
		return tasks
	}
	wait := explanationWait
	if step.def.LongRunning {
		wait = explanationWaitLasting
	}
	allowed := tasks[:0]
	for _, i := range tasks {
		if t := &state.Tasks[i]; t.NeedsExplanation() && now-p.newestLostStart(step.taskID(i), t) < wait {
			p.waits.recheckAt = now + waitRecheckInterval
			continue
		}
		allowed = append(allowed, i)
	}
	return allowed
}

// newestLostStart returns the time at which this placer recorded the task's newest lost start, or 0 if a former one did.
func (p *Placer) newestLostStart(id cluster.TaskID, t *flow.TaskState) time.Duration {
	newest := &t.LostStarts[len(t.LostStarts)-1]
	for _, l := range p.lostStarts[newest.Life.Worker] {
		if l.TaskID == id && l.Run == newest.Run && !l.adopted {
			return l.knownAt
		}
	}
	return 0
}
