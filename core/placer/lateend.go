package placer

import (
	"slices"
	"time"

	"briarproxy/core/cluster"
	"briarproxy/core/flow"
)

// A worker that was unreachable until its leases expired may list ends of runs that were given up. A
// task whose run is known to have succeeded must not run again, and each failed run counts as an attempt.

// decisionLateEnd is the kind of decision that reports such an end.
const decisionLateEnd = "late end"

// recordLateEnd adds the end to the next batch if its run was given up and the end changes the state of
// the task. It reports whether it did.
func (p *Placer) recordLateEnd(v *vm, e *cluster.EndReport, now time.Duration) bool {
	if e.Reason != cluster.Done && e.Reason != cluster.Failed || !p.wasGivenUp(v, e) {
		return false
	}
	p.addDecision(Decision{Kind: decisionLateEnd, Job: e.Job, Task: e.TaskID, Run: e.Run, Worker: v.Life.Worker, Reason: string(e.Reason)})
	p.lateEnds[e.RunID] = v
	if step := p.steps[e.StepID()]; step != nil {
		step.lateEnds++
		if e.Reason == cluster.Done {
			p.withdrawLaterRuns(step, e, now)
		}
	}
	p.pendingBatch.Ends = append(p.pendingBatch.Ends, flow.End{RunID: e.RunID, Reason: e.Reason})
	return true
}

func (p *Placer) wasGivenUp(v *vm, e *cluster.EndReport) bool {
	pending := p.jobs[e.Job]
	if pending == nil || p.lateEnds[e.RunID] != nil {
		return false
	}
	if r := p.runs[e.TaskID]; r != nil && r.Run == e.Run && r.vm == v && r.givenUp {
		return true // the record that it was given up is on its way, and precedes that of the late end
	}
	return pending.job.AcceptsLateEnd(e.RunID)
}

// withdrawLaterRuns stops the runs that began after the one that has succeeded: those of the task, or of
// all members of a gang.
func (p *Placer) withdrawLaterRuns(step *pendingStep, e *cluster.EndReport, now time.Duration) {
	for i := range step.def.Count {
		r := p.runs[step.taskID(i)]
		if r == nil || r.Run <= e.Run || r.stray || i != e.Index && !step.def.Gang {
			continue
		}
		r.wanted = false
		if n := slices.Index(p.pendingRuns, r); n >= 0 {
			p.pendingRuns = slices.Delete(p.pendingRuns, n, n+1)
			p.pendingBatch.Begins = slices.Delete(p.pendingBatch.Begins, n, n+1)
			p.endRun(r, cluster.NeverStarted, "", now)
		}
	}
}

// lateEndRecorded lets the end be confirmed to the worker, and the step be planned again.
func (p *Placer) lateEndRecorded(end *flow.End) {
	v := p.lateEnds[end.RunID]
	if v == nil || end.Reason != cluster.Done && end.Reason != cluster.Failed {
		return
	}
	delete(p.lateEnds, end.RunID)
	v.markEndRecorded(end.RunID)
	if step := p.steps[end.StepID()]; step != nil {
		step.lateEnds--
	}
}
