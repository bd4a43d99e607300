package placer

import (
	"time"

	"briarproxy/core/cluster"
)

// A worker that was unreachable until its leases expired may list ends of runs that were given up. A
// task whose run is known to have succeeded must not run again, and each failed run counts as an attempt.

// Times around an end that has to wait for the log.
const (
	postponedEndPollInterval = 300 * time.Millisecond // time after which the worker is asked for the end again
	postponedEndHold         = time.Second            // the step is not planned meanwhile
)

// decisionLateEnd is the kind of decision that reports such an end.
const decisionLateEnd = "late end"

// mustPostponeEnd reports whether the end can be processed only when the log has recorded that the run was
// given up, or that a later run, which it withdraws, never started.
func (p *Placer) mustPostponeEnd(v *vm, e *cluster.EndReport, now time.Duration) bool {
	r := p.runs[e.TaskID]
	switch {
	case r == nil || e.Reason != cluster.Done && e.Reason != cluster.Failed:
		return false
	case r.Run == e.Run && r.vm == v:
		if r.state != ended {
			return false
		}
	case r.mayHaveStarted() && !r.stray || !p.acceptsLateEnd(e):
		return false
	default:
		r.wanted = false
	}
	if step := p.steps[e.StepID()]; step != nil {
		step.heldUntil = now + postponedEndHold
	}
	return true
}

// trackLateEnd tracks a run again that was given up, so that its end is recorded before it is
// confirmed to the worker.
func (p *Placer) trackLateEnd(v *vm, e *cluster.EndReport, now time.Duration) {
	if e.Reason != cluster.Done && e.Reason != cluster.Failed || !p.acceptsLateEnd(e) {
		return
	}
	if r := p.runs[e.TaskID]; r != nil {
		if r.stray && r.Run == e.Run && r.vm == v {
			r.stray = false
		}
		return
	}
	p.addDecision(Decision{Kind: decisionLateEnd, Job: e.Job, Task: e.TaskID, Run: e.Run, Worker: v.Life.Worker, Reason: string(e.Reason)})
	r := &run{RunID: e.RunID, state: uncertain, vm: v, wasListed: true, recorded: true, plannedAt: now, answeredAt: now}
	p.runs[e.TaskID] = r
	v.runs[e.TaskID] = r
	if step := p.steps[e.StepID()]; step != nil {
		step.activeRuns++
	}
}

func (p *Placer) acceptsLateEnd(e *cluster.EndReport) bool {
	pending := p.jobs[e.Job]
	return pending != nil && pending.job.AcceptsLateEnd(e.RunID)
}
