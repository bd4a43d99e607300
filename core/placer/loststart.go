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

// lostStart is a recorded lost start that is not explained.
type lostStart struct {
	cluster.RunID
	life      cluster.Life
	address   string
	answered  bool          // the worker answered the start command
	knownAt   time.Duration // boot clock
	explained bool          // the explanation is in a batch
}

// addLostStarts adds the unexplained lost starts of a task.
func (p *Placer) addLostStarts(id cluster.TaskID, t *flow.TaskState, now time.Duration) {
	for _, l := range t.LostStarts {
		run := cluster.RunID{TaskID: id, Run: l.Run}
		known := p.lostStarts[l.Life.Worker]
		if !slices.ContainsFunc(known, func(k *lostStart) bool { return k.RunID == run }) {
			p.lostStarts[l.Life.Worker] = append(known, &lostStart{RunID: run, life: l.Life, address: l.Address, answered: l.Answered, knownAt: now})
		}
	}
}

// explainByAnswer explains the lost starts on a worker that has answered a poll.
func (p *Placer) explainByAnswer(v *vm, now time.Duration) {
	for _, l := range p.lostStarts[v.Life.Worker] {
		switch {
		case v.Born > l.life.Born:
			p.explain(l, crashReason(l.answered), now)
		case v.Born == l.life.Born && v.pollSentAt > l.knownAt:
			p.explain(l, cluster.LeaseExpired, now)
		}
	}
}

// observeReplacements looks in the registry for workers that have started at the address of a silent one.
func (p *Placer) observeReplacements(workers []cluster.Worker, now time.Duration) {
	silent := map[string][]*vm{}
	for _, v := range p.vms {
		if len(v.runs) > 0 && !v.replaced && (v.missedPolls > 0 || !v.inRegistry) {
			silent[v.Address] = append(silent[v.Address], v)
		}
	}
	lost := map[string][]*lostStart{}
	for worker, starts := range p.lostStarts {
		starts = slices.DeleteFunc(starts, func(l *lostStart) bool { return !p.isUnexplained(l) })
		if p.lostStarts[worker] = starts; len(starts) == 0 {
			delete(p.lostStarts, worker)
		}
		for _, l := range starts {
			lost[l.address] = append(lost[l.address], l)
		}
	}
	if len(silent) == 0 && len(lost) == 0 {
		return
	}
	for i := range workers {
		w := &workers[i]
		for _, v := range silent[w.Address] {
			v.replaced = v.replaced || isLaterWorker(w, v.Life)
		}
		for _, l := range lost[w.Address] {
			if isLaterWorker(w, l.life) {
				p.explain(l, crashReason(l.answered), now)
			}
		}
	}
}

// isLaterWorker reports whether the registry entry is that of another worker which has started after the
// given incarnation. At the same address it shows that the incarnation has ended.
func isLaterWorker(entry *cluster.Worker, life cluster.Life) bool {
	return entry.Life.Worker != life.Worker && entry.Born > life.Born
}

func (p *Placer) isUnexplained(l *lostStart) bool {
	if p.jobs[l.Job] == nil {
		return false
	}
	t := p.state.Task(l.TaskID)
	return t != nil && t.FindLostStart(l.Run) != nil
}

// explain adds the explanation of a lost start to the next batch.
func (p *Placer) explain(l *lostStart, reason cluster.EndReason, now time.Duration) {
	if l.explained || !p.isUnexplained(l) {
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
		p.addLostStarts(end.TaskID, p.state.Task(end.TaskID), now)
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
	allowed := tasks[:0]
	for _, i := range tasks {
		if state.Tasks[i].NeedsExplanation() && now-step.crashedAt < explanationWait {
			p.waits.recheckAt = now + waitRecheckInterval
			continue
		}
		allowed = append(allowed, i)
	}
	return allowed
}
