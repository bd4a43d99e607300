// Package naive places tasks by a scan of all workers under the rules of
// core/place. It is the baseline of differential tests and of the benchmark and is
// not used by the daemon.
package naive

import (
	"slices"
	"time"

	"briarproxy/core/place"
	"briarproxy/core/resource"
	"briarproxy/core/wire"
)

// Cell is a plain list of workers.
type Cell struct {
	Workers []place.State
}

// Place returns the position of the worker with the lowest cost, or -1. Racks for
// which used reports true are left out; used may be nil.
func (c *Cell) Place(ask *wire.TaskAsk, o *place.Options, now time.Duration, used func(*place.State) bool) int {
	best, bestCost := -1, 0.0
	if c.headroomRefuses(ask, o) {
		return best
	}
	for i := range c.Workers {
		w := &c.Workers[i]
		if place.Check(w, ask, o, now) != place.StepNone || (used != nil && used(w)) {
			continue
		}
		cost := place.Cost(w, ask, o, c.tasksInRack(w, ask))
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// headroomRefuses counts the pool anew for each rule.
func (c *Cell) headroomRefuses(ask *wire.TaskAsk, o *place.Options) bool {
	for _, rule := range o.Headroom {
		if rule.Pool != ask.Pool || ask.Priority >= rule.Below {
			continue
		}
		capacity, after := resource.Vector{}, ask.Resources
		for i := range c.Workers {
			if w := &c.Workers[i]; w.Open() && slices.Contains(w.Pools, rule.Pool) {
				capacity = capacity.Add(w.Capacity)
				after = after.Add(w.Committed)
			}
		}
		if over(after.MilliCores, capacity.MilliCores, ask.Resources.MilliCores, rule.Share) ||
			over(after.MemoryMiB, capacity.MemoryMiB, ask.Resources.MemoryMiB, rule.Share) ||
			over(after.Accelerators, capacity.Accelerators, ask.Resources.Accelerators, rule.Share) ||
			over(after.Slots, capacity.Slots, ask.Resources.Slots, rule.Share) {
			return true
		}
	}
	return false
}

func over(after, capacity, ask int64, share float64) bool {
	return ask > 0 && float64(after) > float64(capacity)*(1-share)
}

func (c *Cell) tasksInRack(w *place.State, ask *wire.TaskAsk) int {
	if !ask.SpreadRacks {
		return 0
	}
	n := 0
	for i := range c.Workers {
		o := &c.Workers[i]
		if o.DataCentre != w.DataCentre || o.Rack != w.Rack {
			continue
		}
		for k := range o.Tasks {
			if o.Tasks[k].SpreadRacks && o.Tasks[k].Job == ask.Job {
				n++
			}
		}
	}
	return n
}

// Add puts the task on the worker.
func (c *Cell) Add(worker int, t place.Task) {
	w := &c.Workers[worker]
	w.Tasks = append(w.Tasks, t)
	w.Committed = w.Committed.Add(t.Resources)
}

// Gang places all tasks one after the other and returns the positions, or nil
// with the cell unchanged if one of them finds no room.
func (c *Cell) Gang(asks []wire.TaskAsk, o *place.Options, now time.Duration) []int {
	placed := make([]int, 0, len(asks))
	for i := range asks {
		worker := c.Place(&asks[i], o, now, nil)
		if worker < 0 {
			c.takeBack(placed)
			return nil
		}
		c.Add(worker, place.TaskOf(&asks[i], now))
		placed = append(placed, worker)
	}
	return placed
}

func (c *Cell) takeBack(placed []int) {
	for n := len(placed) - 1; n >= 0; n-- {
		w := &c.Workers[placed[n]]
		last := len(w.Tasks) - 1
		w.Committed = w.Committed.Sub(w.Tasks[last].Resources)
		w.Tasks = w.Tasks[:last]
	}
}
