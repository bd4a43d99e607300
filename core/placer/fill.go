package placer

import (
	"time"

	"briarproxy/core/cluster"
)

// Tasks that fill take the cores that the others on a worker leave. They slow down tasks
// that serve their own users, by amounts that change within seconds, so they are kept
// apart where there is room, and paced where there is not.
const (
	fillShare  = 0.5                    // of the cores that a filling task asks for must be idle where it is placed
	paceDown   = 4                      // a worker's filling tasks are divided by this when a serving task is over its target
	paceLeast  = 10                     // percent; below it they stand still
	paceUp     = 10                     // percent at a time
	overShare  = 0.9                    // of the target: the figure is rough, and the effect of an order comes later
	calmShare  = 0.6                    // of the target: filling tasks may go faster again
	serveWatch = 500 * time.Millisecond // the figure is for the last half second
)

// serves reports whether a run has users whose waiting time is bounded.
func (p *Placer) serves(r *run) bool {
	def := p.def(r)
	return def != nil && def.TargetMS > 0 && !def.Fills
}

func (p *Placer) fills(r *run) bool {
	def := p.def(r)
	return def != nil && def.Fills
}

// company counts the serving and filling runs on a worker, and the cores that the filling
// ones ask for.
func (p *Placer) company(v *vm) (serving, filling int, asked int64) {
	for _, r := range v.runs {
		switch {
		case p.fills(r):
			filling++
			asked += p.def(r).Size.MilliCores
		case p.serves(r):
			serving++
		}
	}
	return serving, filling, asked
}

// apart narrows the workers for a step that fills to those with idle cores and without a
// serving task.
func (p *Placer) apart(w *stepWork, among []string) []string {
	if among == nil {
		among = p.order
	}
	fit := make([]string, 0, len(among))
	for _, id := range among {
		v := p.vms[id]
		if v == nil {
			continue
		}
		free, open := p.cell.Room(id)
		serving, _, asked := p.company(v)
		if open && serving == 0 && float64(free.MilliCores-asked) >= fillShare*float64(w.def.Size.MilliCores) {
			fit = append(fit, id)
		}
	}
	return fit
}

// quiet narrows the workers for a serving step to those without a filling task, if there
// are any.
func (p *Placer) quiet(among []string) []string {
	all := among
	if all == nil {
		all = p.order
	}
	fit := make([]string, 0, len(all))
	for _, id := range all {
		if v := p.vms[id]; v != nil {
			if _, filling, _ := p.company(v); filling == 0 {
				fit = append(fit, id)
			}
		}
	}
	if len(fit) == 0 {
		return among
	}
	return fit
}

// pace slows the filling runs of a worker down while a serving one is near its target, and
// lets them go again when all are far from it.
func (p *Placer) pace(v *vm, now time.Duration) {
	serving, filling, _ := p.company(v)
	if filling == 0 {
		return
	}
	over, calm := false, true
	for _, r := range v.runs {
		if !p.serves(r) || r.state != running {
			continue
		}
		target := float64(p.def(r).TargetMS)
		over = over || float64(r.load) > overShare*target
		calm = calm && float64(r.load) < calmShare*target
	}
	for _, r := range v.runs {
		if r.state != running || !p.fills(r) || r.pacing {
			continue
		}
		percent := r.paced
		switch {
		case over && serving > 0:
			if percent /= paceDown; percent < paceLeast {
				percent = 0
			}
		case calm:
			percent = min(100, percent+paceUp)
		}
		if percent == r.paced && r.paceKnown {
			continue
		}
		r.pacing = true
		p.note(Note{What: "pace", Job: r.Job, Task: r.TaskID, Run: r.Run, Worker: v.Life.Worker, Age: now - v.answered, Version: int64(percent)})
		p.strays = append(p.strays, Command{Pace: &PaceCommand{Life: v.Life, Address: v.Address, Run: r.RunID, Percent: percent, Token: p.token}})
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

// Paced takes the answer to an order to pace. Without one the order is given again at the
// next look.
func (p *Placer) Paced(c *PaceCommand, result cluster.StartResult, clockMS int64, now time.Duration) (superseded bool) {
	v := p.vms[c.Life.Worker]
	if v == nil {
		return false
	}
	if v.Life == c.Life {
		v.readClock(clockMS, now)
	}
	if r := p.runs[c.Run.TaskID]; r != nil && r.Run == c.Run.Run && r.vm == v {
		r.pacing = false
		r.paceKnown = result == cluster.Started
		if r.paceKnown {
			r.paced = c.Percent
		}
	}
	return result == cluster.RefusedFence
}
