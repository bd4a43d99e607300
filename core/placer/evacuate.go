package placer

import (
	"time"

	"briarproxy/core/flow"
)

// Timing of the evacuation of draining workers.
const (
	// evacuationMargin leaves time for the stop command, the end of the run and the poll that
	// returns the checkpoint: three one-way delays to a distant region, and the rounding of the
	// announced departure time.
	evacuationMargin = 400 * time.Millisecond
	// departingLeaseDuration applies to a worker that is about to leave: one long poll and one
	// retry. A run that is still there when the worker leaves can start elsewhere sooner.
	departingLeaseDuration = 3 * time.Second
	// earlyStopFactor limits the early stop of runs without checkpoints: the remaining time of the
	// run must exceed that of its worker by this factor. Estimates are off by half, and workers
	// often stay longer than announced.
	earlyStopFactor = 2.5
)

// evacuate stops the runs on draining workers that cannot finish there, so that they continue
// elsewhere without waiting for a lease to expire. A run with checkpoints continues until it
// must stop to save its progress. A run without them is stopped early, as all further work of it
// would be lost.
func (p *Placer) evacuate(now time.Duration) {
	for _, v := range p.vms {
		if !v.Draining || v.leavesAt == 0 || len(v.runs) == 0 {
			continue
		}
		for _, r := range v.runs {
			if r.state != running || !r.wanted || r.stray {
				continue
			}
			if reason := p.evacuationReason(r, v.leavesAt-now, now); reason != "" {
				r.wanted = false
				p.addDecision(Decision{Kind: "run leaves its worker", Job: r.Job, Task: r.TaskID, Run: r.Run, Worker: v.Life.Worker, Reason: reason, Age: v.leavesAt - now})
			}
		}
	}
}

// evacuationReason returns why a run must stop now on a worker that leaves after timeLeft, or "".
func (p *Placer) evacuationReason(r *run, timeLeft, now time.Duration) string {
	def := p.stepDef(r)
	if def == nil {
		return ""
	}
	remaining := r.progress.remaining(time.Duration(def.EstimateMS)*time.Millisecond, now)
	savesProgress := def.Checkpointing || def.LongRunning
	switch {
	case !def.LongRunning && remaining <= timeLeft:
		return ""
	case savesProgress && timeLeft <= p.options.StopTimeout+evacuationMargin:
		return "its worker is leaving; progress is saved in a checkpoint"
	case !savesProgress && timeLeft > 0 && remaining > time.Duration(earlyStopFactor*float64(timeLeft)):
		return "it cannot finish before its worker leaves"
	}
	return ""
}

// stepDef returns the definition of a run's step, or nil if the job is no longer known.
func (p *Placer) stepDef(r *run) *flow.Step {
	j := p.state.Jobs[r.Job]
	if j == nil || r.Step >= len(j.Steps) {
		return nil
	}
	return &j.Steps[r.Step]
}

// leaseDuration returns the lease duration for the runs on a worker.
func (p *Placer) leaseDuration(v *vm, now time.Duration) time.Duration {
	if v.Draining && v.leavesAt > 0 && v.leavesAt-now < p.options.Lease {
		return min(p.options.Lease, departingLeaseDuration)
	}
	return p.options.Lease
}
