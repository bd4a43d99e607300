package placer

import (
	"time"

	"briarproxy/core/patience"
	"briarproxy/core/resource"
)

// waitRecheckInterval is the time after which a wait for a better place is weighed again if nothing has happened.
const waitRecheckInterval = 100 * time.Millisecond

// waits is the state of the waits for better places: near the data or within one rack.
type waits struct {
	releases  *patience.Releases         // by worker
	ahead     map[string]resource.Vector // by place: what steps lack there that come before in this planning pass
	load      float64                    // see loadShare; computed once in a planning pass
	recheckAt time.Duration              // when the waits are weighed again; 0 means that no step waits
}

func newWaits() waits {
	return waits{releases: patience.NewReleases(), ahead: map[string]resource.Vector{}}
}

// startPassOfWaits prepares the state for a planning pass.
func (p *Placer) startPassOfWaits() {
	p.waits.recheckAt, p.waits.load = 0, unknownLoad
	clear(p.waits.ahead)
}

const unknownLoad = -1

// loadShare returns the share of the cores that are in use.
func (p *Placer) loadShare() float64 {
	if p.waits.load != unknownLoad {
		return p.waits.load
	}
	var free, capacity int64
	for id, v := range p.vms {
		if f, schedulable := p.cell.FreeCapacity(id); schedulable {
			free, capacity = free+f.MilliCores, capacity+v.Capacity.MilliCores
		}
	}
	p.waits.load = 1 - float64(free)/float64(max(1, capacity))
	return p.waits.load
}

// waitsForPlace reports whether the given number of tasks of the step wait until the workers of a place have room for
// them, where they run in 1/factor of the time that they take on the workers that are free now. A waiting step holds no
// room.
func (p *Placer) waitsForPlace(step *pendingStep, place string, workers []string, tasks int, factor float64, now time.Duration) bool {
	lack, feasible := p.lackAt(step, workers, tasks)
	choice := patience.Choice{
		Work: step.def.ExpectedRunTime(), Factor: factor, Expected: patience.Never, Load: p.loadShare(), Spare: step.spare,
	}
	if step.waitsSince > 0 {
		choice.Waited = now - step.waitsSince
	}
	if feasible {
		choice.Expected = p.waits.releases.TimeToFree(workers, lack.Add(p.waits.ahead[place]), now)
	}
	verdict := patience.Decide(choice)
	if verdict != patience.Wait {
		if choice.Waited > 0 && !step.waitEnded {
			step.waitEnded = true
			p.addDecision(Decision{Kind: "wait for a place ended", Job: step.id.Job, Task: step.taskID(0), Reason: string(verdict), Age: choice.Waited})
		}
		return false
	}
	if step.waitsSince == 0 {
		step.waitsSince = now
		p.addDecision(Decision{Kind: "waits for a place", Job: step.id.Job, Task: step.taskID(0), Reason: place, Age: choice.Expected})
	}
	step.waits, p.waits.recheckAt = true, now+waitRecheckInterval
	p.waits.ahead[place] = p.waits.ahead[place].Add(lack)
	return true
}

// lackAt returns what the workers have to free until the tasks have room there together. It reports false if they never
// will.
func (p *Placer) lackAt(step *pendingStep, workers []string, tasks int) (lack resource.Vector, feasible bool) {
	ask, size := step.capacityAsk(), reservedResources(step.def)
	fitting, most := 0, 0
	for _, id := range workers {
		v := p.vms[id]
		if _, schedulable := p.cell.FreeCapacity(id); v == nil || !schedulable {
			continue
		}
		fitting += int(p.cell.FittingTasks(id, &ask))
		n := int(min(v.Capacity.CountFitting(size), int64(tasks)))
		if limit := step.def.MaxPerWorker; limit > 0 {
			n = min(n, limit)
		}
		most += n
	}
	return size.Scale(int64(max(1, tasks-fitting))), most >= tasks
}

// waitsForRack reports whether a step that is slower across racks waits for room in one of them.
func (p *Placer) waitsForRack(step *pendingStep, tasks int, racks [][]string, now time.Duration) bool {
	if p.options.RemoteFactor <= 1 {
		return now-step.readyAt < maxSameRackWait
	}
	best, bestTime := []string(nil), patience.Never
	for _, rack := range racks {
		if lack, feasible := p.lackAt(step, rack, tasks); feasible {
			if expected := p.waits.releases.TimeToFree(rack, lack, now); expected < bestTime {
				best, bestTime = rack, expected
			}
		}
	}
	if best == nil {
		return false
	}
	return p.waitsForPlace(step, "rack "+p.vms[best[0]].Rack, best, tasks, p.options.RemoteFactor, now)
}

// placeNearData places tasks in the rack of their data. It returns those that found no room there, and whether they
// wait for it.
func (p *Placer) placeNearData(step *pendingStep, tasks []int, workers []string, now time.Duration) (unplaced []int, waits bool) {
	if step.def.NearRack == "" || p.options.RemoteFactor <= 1 {
		return tasks, false
	}
	near := make([]string, 0, len(workers))
	if workers == nil {
		workers = p.workerIDs
	}
	for _, id := range workers {
		if v := p.vms[id]; v != nil && v.Rack == step.def.NearRack {
			near = append(near, id)
		}
	}
	if len(near) == 0 {
		return tasks, false
	}
	if tasks = p.planAndCommit(step, tasks, near, now, step.def.Gang); len(tasks) == 0 {
		return nil, false
	}
	needed := 1
	if step.def.Gang {
		needed = len(tasks)
	}
	return tasks, p.waitsForPlace(step, "rack "+step.def.NearRack, near, needed, p.options.RemoteFactor, now)
}
