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

// Cost ranks workers instead of the score steps of core/place.
type Cost func(*place.State, *wire.TaskAsk) float64

// Place returns the position of the worker with the lowest cost, the first one
// among equals, or -1. A nil cost stands for the score steps of core/place.
func (c *Cell) Place(ask *wire.TaskAsk, o *place.Options, now time.Duration, cost Cost) int {
	best, bestCost := -1, 0.0
	if c.headroomRefuses(ask, o) {
		return best
	}
	for i := range c.Workers {
		w := &c.Workers[i]
		if place.Check(w, ask, o, now) != place.StepNone {
			continue
		}
		cost := c.costOf(w, ask, o, cost)
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

func (c *Cell) costOf(w *place.State, ask *wire.TaskAsk, o *place.Options, cost Cost) float64 {
	if cost != nil {
		return cost(w, ask)
	}
	return place.Cost(w, ask, o, c.tasksInRack(w, ask))
}

// Slot returns the position of the nearest worker of the pool with the most free
// slots, or -1.
func (c *Cell) Slot(pool string, o *place.Options) int {
	best, bestFree, bestDistance := -1, int64(0), 0
	for i := range c.Workers {
		w := &c.Workers[i]
		free := w.Capacity.Slots - w.Committed.Slots
		if free <= 0 || !w.Open() || !slices.Contains(w.Pools, pool) || !o.InReach(w) {
			continue
		}
		d := o.Distance(w)
		if best < 0 || d < bestDistance || (d == bestDistance && free > bestFree) {
			best, bestFree, bestDistance = i, free, d
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
	return c.GangBy(asks, o, now, nil)
}

// GangBy is Gang with another cost.
func (c *Cell) GangBy(asks []wire.TaskAsk, o *place.Options, now time.Duration, cost Cost) []int {
	placed := make([]int, 0, len(asks))
	for i := range asks {
		worker := c.Place(&asks[i], o, now, cost)
		if worker < 0 {
			c.TakeBack(placed)
			return nil
		}
		c.Add(worker, place.TaskOf(&asks[i], now))
		placed = append(placed, worker)
	}
	return placed
}

// TakeBack removes the last task of each worker, in reverse order of placement.
func (c *Cell) TakeBack(placed []int) {
	for n := len(placed) - 1; n >= 0; n-- {
		w := &c.Workers[placed[n]]
		last := len(w.Tasks) - 1
		w.Committed = w.Committed.Sub(w.Tasks[last].Resources)
		w.Tasks = w.Tasks[:last]
	}
}
