package placer

import (
	"time"

	"briarproxy/core/cluster"
)

// Tasks that fill take the cores that the others on a worker leave. They slow down tasks
// that serve their own users, by amounts that change within seconds, so they are kept
// apart where there is room, and paced where there is not.
const (
	minIdleCoreShare    = 0.5                    // of the cores that a filling task asks for must be idle where it is placed
	paceDecreaseDivisor = 4                      // a worker's filling tasks are divided by this when a serving task is over its target
	minPacePercent      = 10                     // percent; below it they stand still
	paceIncreasePercent = 10                     // percent at a time
	slowDownTargetShare = 0.9                    // of the target: the figure is rough, and the effect of an order comes later
	speedUpTargetShare  = 0.6                    // of the target: filling tasks may go faster again
	servingPollWait     = 500 * time.Millisecond // the figure is for the last half second
)

// isServing reports whether a run has users whose waiting time is bounded.
func (p *Placer) isServing(r *run) bool {
	def := p.stepDef(r)
	return def != nil && def.TailTargetMS > 0 && !def.Backfill
}

func (p *Placer) isFilling(r *run) bool {
	def := p.stepDef(r)
	return def != nil && def.Backfill
}

// countServingAndFilling counts the serving and filling runs on a worker, and the cores that the filling
// ones ask for.
func (p *Placer) countServingAndFilling(v *vm) (serving, filling int, fillingMilliCores int64) {
	for _, r := range v.runs {
		switch {
		case p.isFilling(r):
			filling++
			fillingMilliCores += p.stepDef(r).Size.MilliCores
		case p.isServing(r):
			serving++
		}
	}
	return serving, filling, fillingMilliCores
}

// workersForFilling narrows the workers for a step that fills to those with idle cores and without a
// serving task.
func (p *Placer) workersForFilling(w *pendingStep, among []string) []string {
	if among == nil {
		among = p.workerIDs
	}
	fit := make([]string, 0, len(among))
	for _, id := range among {
		v := p.vms[id]
		if v == nil {
			continue
		}
		free, open := p.cell.FreeCapacity(id)
		serving, _, fillingMilliCores := p.countServingAndFilling(v)
		if open && serving == 0 && float64(free.MilliCores-fillingMilliCores) >= minIdleCoreShare*float64(w.def.Size.MilliCores) {
			fit = append(fit, id)
		}
	}
	return fit
}

// workersForServing narrows the workers for a serving step to those without a filling task, if there
// are any.
func (p *Placer) workersForServing(among []string) []string {
	all := among
	if all == nil {
		all = p.workerIDs
	}
	fit := make([]string, 0, len(all))
	for _, id := range all {
		if v := p.vms[id]; v != nil {
			if _, filling, _ := p.countServingAndFilling(v); filling == 0 {
				fit = append(fit, id)
			}
		}
	}
	if len(fit) == 0 {
		return among
	}
	return fit
}

// adjustPace slows the filling runs of a worker down while a serving one is near its target, and
// lets them go again when all are far from it.
func (p *Placer) adjustPace(v *vm, now time.Duration) {
	serving, filling, _ := p.countServingAndFilling(v)
	if filling == 0 {
		return
	}
	over, calm := false, true
	for _, r := range v.runs {
		if !p.isServing(r) || r.state != running {
			continue
		}
		target := float64(p.stepDef(r).TailTargetMS)
		over = over || float64(r.load) > slowDownTargetShare*target
		calm = calm && float64(r.load) < speedUpTargetShare*target
	}
	for _, r := range v.runs {
		if r.state != running || !p.isFilling(r) || r.paceInFlight {
			continue
		}
		percent := r.pacePercent
		switch {
		case over && serving > 0:
			if percent /= paceDecreaseDivisor; percent < minPacePercent {
				percent = 0
			}
		case calm:
			percent = min(100, percent+paceIncreasePercent)
		}
		if percent == r.pacePercent && r.paceConfirmed {
			continue
		}
		r.paceInFlight = true
		p.addDecision(Decision{Kind: "pace", Job: r.Job, Task: r.TaskID, Run: r.Run, Worker: v.Life.Worker, Age: now - v.answeredAt, Version: int64(percent)})
		p.queuedCommands = append(p.queuedCommands, Command{Pace: &PaceCommand{Life: v.Life, Address: v.Address, Run: r.RunID, Percent: percent, Token: p.token}})
	}
}

// PaceCommand orders a worker to let a run work at a share of its speed.
type PaceCommand struct {
	Life    cluster.Life
	Address string
	Run     cluster.RunID
	Percent int
	Token   int64
}

// PaceAnswered takes the answer to an order to pace. Without one the order is given again at the
// next look.
func (p *Placer) PaceAnswered(c *PaceCommand, result cluster.StartResult, clockMS int64, now time.Duration) (superseded bool) {
	v := p.vms[c.Life.Worker]
	if v == nil {
		return false
	}
	if v.Life == c.Life {
		v.observeClock(clockMS, now)
	}
	if r := p.runs[c.Run.TaskID]; r != nil && r.Run == c.Run.Run && r.vm == v {
		r.paceInFlight = false
		r.paceConfirmed = result == cluster.Started
		if r.paceConfirmed {
			r.pacePercent = c.Percent
		}
	}
	return result == cluster.RefusedFenced
}
