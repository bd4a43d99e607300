package placer

import (
	"time"

	"briarproxy/core/flow"
)

// Times of workers that leave.
const (
	// evacuationMargin is left for the order to stop, its end and the look that brings the
	// checkpoint: three ways to a far region and the rounding of the notice.
	evacuationMargin = 400 * time.Millisecond
	// departingLease is the lease on a worker that is about to leave: a look with its wait
	// and one repeat. What is still there when the worker goes starts elsewhere sooner.
	departingLease = 3 * time.Second
	// giveUpFactor is how many times longer than the worker stays a run without checkpoints
	// must need before it is given up early. Estimates are off by half, and workers often
	// stay longer than they say.
	giveUpFactor = 2.5
)

// evacuate stops the runs on leaving workers that can't end there, so that they go on
// elsewhere without waiting for a lease. A run that saves its progress works on until
// the last moment; one that does not is given up early, as what it still did would be
// lost.
func (p *Placer) evacuate(now time.Duration) {
	for _, v := range p.vms {
		if !v.Draining || v.leavesAt == 0 || len(v.runs) == 0 {
			continue
		}
		for _, r := range v.runs {
			if r.state != running || !r.wanted || r.unknown {
				continue
			}
			if reason := p.evacuationReason(r, v.leavesAt-now, now); reason != "" {
				r.wanted = false
				p.addDecision(Decision{Kind: "run leaves its worker", Job: r.Job, Task: r.TaskID, Run: r.Run, Worker: v.Life.Worker, Reason: reason, Age: v.leavesAt - now})
			}
		}
	}
}

// evacuationReason returns why a run is stopped now on a worker that stays for the given time.
func (p *Placer) evacuationReason(r *run, stays, now time.Duration) string {
	def := p.stepDef(r)
	if def == nil {
		return ""
	}
	needs := r.progress.remaining(time.Duration(def.EstimateMS)*time.Millisecond, now)
	keeps := def.Checkpointing || def.LongRunning
	switch {
	case !def.LongRunning && needs <= stays:
		return ""
	case keeps && stays <= p.options.StopTimeout+evacuationMargin:
		return "its worker leaves; its progress is saved"
	case !keeps && stays > 0 && needs > time.Duration(giveUpFactor*float64(stays)):
		return "it can't end before its worker leaves"
	}
	return ""
}

// stepDef returns the step of a run; nil if the job is not known any more.
func (p *Placer) stepDef(r *run) *flow.Step {
	j := p.state.Jobs[r.Job]
	if j == nil || r.Step >= len(j.Steps) {
		return nil
	}
	return &j.Steps[r.Step]
}

// leaseDuration returns the lease of what runs on a worker.
func (p *Placer) leaseDuration(v *vm, now time.Duration) time.Duration {
	if v.Draining && v.leavesAt > 0 && v.leavesAt-now < p.options.Lease {
		return min(p.options.Lease, departingLease)
	}
	return p.options.Lease
}
