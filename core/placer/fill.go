package placer

import (
	"time"

	"briarproxy/core/cluster"
)

// Backfill tasks use the cores that the other tasks on a worker leave idle. They slow down
// serving tasks, which answer the requests of users, by amounts that change within seconds.
// Therefore the two kinds run on different workers where possible; where they share a worker,
// the backfill tasks are throttled.
const (
	minIdleCoreShare    = 0.5                    // share of the cores requested by a backfill task that must be idle on its worker
	paceDecreaseDivisor = 4                      // divides the pace of a worker's backfill tasks when the latency of a serving task exceeds slowDownTargetShare
	minPacePercent      = 10                     // below it, backfill tasks are paused
	paceIncreasePercent = 10                     // percentage points of each increase
	slowDownTargetShare = 0.9                    // share of the latency target; below 1, as the measured latency is imprecise and a new pace takes effect with a delay
	speedUpTargetShare  = 0.6                    // share of the latency target below which the pace rises again
	pacingPollWait      = 500 * time.Millisecond // for workers with serving and backfill tasks, which measure the latency over the last half second
)

// isServing reports whether a run serves requests of users under a tail latency target.
func (p *Placer) isServing(r *run) bool {
	def := p.stepDef(r)
	return def != nil && def.TailTargetMS > 0 && !def.Backfill
}

func (p *Placer) isBackfill(r *run) bool {
	def := p.stepDef(r)
	return def != nil && def.Backfill
}

// countServingAndBackfill returns the numbers of serving and backfill runs on a worker, and the
// CPU that the backfill runs request.
func (p *Placer) countServingAndBackfill(v *vm) (serving, backfill int, backfillMilliCores int64) {
	for _, r := range v.runs {
		switch {
		case p.isBackfill(r):
			backfill++
			backfillMilliCores += p.stepDef(r).Size.MilliCores
		case p.isServing(r):
			serving++
		}
	}
	return serving, backfill, backfillMilliCores
}

// workersForBackfill returns the candidates (nil: all workers) with idle cores and without serving
// tasks, for a backfill step.
func (p *Placer) workersForBackfill(step *pendingStep, candidates []string) []string {
	if candidates == nil {
		candidates = p.workerIDs
	}
	eligible := make([]string, 0, len(candidates))
	for _, id := range candidates {
		if v := p.vms[id]; v != nil && p.maxBackfillTasks(step, v) > 0 {
			eligible = append(eligible, id)
		}
	}
	return eligible
}

// maxBackfillTasks returns how many more tasks of the backfill step find enough idle cores on the
// worker, one after the other. It is 0 if the worker serves.
func (p *Placer) maxBackfillTasks(step *pendingStep, v *vm) int {
	free, schedulable := p.cell.FreeCapacity(v.Life.Worker)
	serving, _, backfillMilliCores := p.countServingAndBackfill(v)
	idle, needed := free.MilliCores-backfillMilliCores, step.def.Size.MilliCores
	surplus := float64(idle) - minIdleCoreShare*float64(needed)
	switch {
	case !schedulable || serving > 0 || surplus < 0:
		return 0
	case needed <= 0:
		return step.def.Count
	}
	return 1 + int(surplus/float64(needed))
}

// tasksOnIdleCores returns by worker how many more tasks of the backfill step find enough idle cores.
func (p *Placer) tasksOnIdleCores(step *pendingStep, workers []string) map[string]int {
	counts := make(map[string]int, len(workers))
	for _, id := range workers {
		if v := p.vms[id]; v != nil {
			counts[id] = p.maxBackfillTasks(step, v)
		}
	}
	return counts
}

// workersForServing returns the candidates (nil: all workers) without backfill tasks, for a
// serving step. If there are none, it returns candidates unchanged.
func (p *Placer) workersForServing(candidates []string) []string {
	all := candidates
	if all == nil {
		all = p.workerIDs
	}
	eligible := make([]string, 0, len(all))
	for _, id := range all {
		if v := p.vms[id]; v != nil {
			if _, backfill, _ := p.countServingAndBackfill(v); backfill == 0 {
				eligible = append(eligible, id)
			}
		}
	}
	if len(eligible) == 0 {
		return candidates
	}
	return eligible
}

// adjustPace throttles the backfill runs of a worker while a serving run is near or above its
// latency target, and speeds them up again when all serving runs are well below theirs.
func (p *Placer) adjustPace(v *vm, now time.Duration) {
	serving, backfill, _ := p.countServingAndBackfill(v)
	if backfill == 0 {
		return
	}
	nearTarget, wellBelowTarget := false, true
	for _, r := range v.runs {
		if !p.isServing(r) || r.state != running {
			continue
		}
		target := float64(p.stepDef(r).TailTargetMS)
		nearTarget = nearTarget || float64(r.load) > slowDownTargetShare*target
		wellBelowTarget = wellBelowTarget && float64(r.load) < speedUpTargetShare*target
	}
	for _, r := range v.runs {
		if r.state != running || !p.isBackfill(r) || r.paceInFlight {
			continue
		}
		percent := r.pacePercent
		switch {
		case nearTarget && serving > 0:
			if percent /= paceDecreaseDivisor; percent < minPacePercent {
				percent = 0
			}
		case wellBelowTarget:
			percent = min(100, percent+paceIncreasePercent)
		}
		if percent == r.pacePercent && r.paceConfirmed {
			continue
		}
		r.paceInFlight = true
		p.addDecision(Decision{Kind: "pace", Job: r.Job, Task: r.TaskID, Run: r.Run, Worker: v.Life.Worker, Age: now - v.answeredAt, Value: int64(percent)})
		p.queuedCommands = append(p.queuedCommands, Command{Pace: &PaceCommand{Life: v.Life, Address: v.Address, Run: r.RunID, Percent: percent, Token: p.token}})
	}
}

// PaceCommand tells a worker to limit a run to a percentage of its full speed.
type PaceCommand struct {
	Life    cluster.Life
	Address string
	Run     cluster.RunID
	Percent int
	Token   int64
}

// PaceAnswered processes the answer to a pace command. An unanswered command is repeated after
// the next poll. PaceAnswered reports whether the worker refused the command because a newer
// placer exists.
func (p *Placer) PaceAnswered(c *PaceCommand, result cluster.StartResult, clockMS int64, now time.Duration) (superseded bool) {
	v := p.vms[c.Life.Worker]
	if v == nil {
		return false
	}
	if v.Life == c.Life {
		v.observeClock(clockMS, now)
	}
	p.checkIncarnation(v, c.Life, result, now)
	if r := p.runs[c.Run.TaskID]; r != nil && r.Run == c.Run.Run && r.vm == v {
		r.paceInFlight = false
		r.paceConfirmed = result == cluster.Started
		if r.paceConfirmed {
			r.pacePercent = c.Percent
		}
	}
	return result == cluster.RefusedFenced
}
