// Package naive places tasks by a full scan of all workers, with the checks and
// costs of core/place. It is the baseline for differential tests and benchmarks; the
// daemon does not use it.
package naive

import (
	"slices"
	"time"

	"briarproxy/core/place"
	"briarproxy/core/resource"
	"briarproxy/core/wire"
)

// Cell is a list of workers without an index.
type Cell struct {
	Workers []place.WorkerState
}

// CostFunc replaces place.Cost.
type CostFunc func(*place.WorkerState, *wire.TaskAsk) float64

// Place returns the position of the first worker with the lowest cost, or -1 if the
// task fits on none. A nil cost means place.Cost.
func (c *Cell) Place(ask *wire.TaskAsk, o *place.Options, now time.Duration, cost CostFunc) int {
	best, bestCost := -1, 0.0
	if c.exceedsHeadroom(ask, o) {
		return best
	}
	for i := range c.Workers {
		w := &c.Workers[i]
		if place.Check(w, ask, o, now) != place.ReasonNone {
			continue
		}
		cost := c.costOf(w, ask, o, cost)
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

func (c *Cell) costOf(w *place.WorkerState, ask *wire.TaskAsk, o *place.Options, cost CostFunc) float64 {
	if cost != nil {
		return cost(w, ask)
	}
	return place.Cost(w, ask, o, c.tasksInRack(w, ask))
}

// PickSlot returns the position of the nearest worker of the pool with the most free
// slots, or -1.
func (c *Cell) PickSlot(pool string, o *place.Options) int {
	best, bestFree, bestDistance := -1, int64(0), 0
	for i := range c.Workers {
		w := &c.Workers[i]
		free := w.Capacity.Slots - w.Committed.Slots
		if free <= 0 || !w.Schedulable() || !slices.Contains(w.Pools, pool) || !o.InScope(w) {
			continue
		}
		d := o.Distance(w)
		if best < 0 || d < bestDistance || (d == bestDistance && free > bestFree) {
			best, bestFree, bestDistance = i, free, d
		}
	}
	return best
}

// exceedsHeadroom reports whether the request would use capacity that the pool
// reserves for higher priorities. It sums up the pool's capacity for each rule.
func (c *Cell) exceedsHeadroom(ask *wire.TaskAsk, o *place.Options) bool {
	for _, rule := range o.Headroom {
		if rule.Pool != ask.Pool || ask.Priority >= rule.BelowPriority {
			continue
		}
		capacity, after := resource.Vector{}, ask.Resources
		for i := range c.Workers {
			if w := &c.Workers[i]; w.Schedulable() && slices.Contains(w.Pools, rule.Pool) {
				capacity = capacity.Add(w.Capacity)
				after = after.Add(w.Committed)
			}
		}
		if exceeds(after.MilliCores, capacity.MilliCores, ask.Resources.MilliCores, rule.Share) ||
			exceeds(after.MemoryMiB, capacity.MemoryMiB, ask.Resources.MemoryMiB, rule.Share) ||
			exceeds(after.Accelerators, capacity.Accelerators, ask.Resources.Accelerators, rule.Share) ||
			exceeds(after.Slots, capacity.Slots, ask.Resources.Slots, rule.Share) {
			return true
		}
	}
	return false
}

func exceeds(after, capacity, ask int64, share float64) bool {
	return ask > 0 && float64(after) > float64(capacity)*(1-share)
}

func (c *Cell) tasksInRack(w *place.WorkerState, ask *wire.TaskAsk) int {
	if !ask.SpreadRacks {
		return 0
	}
	n := 0
	for i := range c.Workers {
		other := &c.Workers[i]
		if other.DataCentre != w.DataCentre || other.Rack != w.Rack {
			continue
		}
		for k := range other.Tasks {
			if other.Tasks[k].SpreadRacks && other.Tasks[k].Job == ask.Job {
				n++
			}
		}
	}
	return n
}

// Add assigns the task to the worker without any check.
func (c *Cell) Add(worker int, t place.Task) {
	w := &c.Workers[worker]
	w.Tasks = append(w.Tasks, t)
	w.Committed = w.Committed.Add(t.Resources)
}

// PlaceGang places all tasks one after the other and returns the workers'
// positions. If a task fits on no worker, it returns nil and leaves the cell
// unchanged.
func (c *Cell) PlaceGang(asks []wire.TaskAsk, o *place.Options, now time.Duration) []int {
	return c.PlaceGangByCost(asks, o, now, nil)
}

// PlaceGangByCost is PlaceGang with the given cost.
func (c *Cell) PlaceGangByCost(asks []wire.TaskAsk, o *place.Options, now time.Duration, cost CostFunc) []int {
	placed := make([]int, 0, len(asks))
	for i := range asks {
		worker := c.Place(&asks[i], o, now, cost)
		if worker < 0 {
			c.Undo(placed)
			return nil
		}
		c.Add(worker, place.TaskOf(&asks[i], now))
		placed = append(placed, worker)
	}
	return placed
}

// Undo removes the last task of each listed worker, in reverse order of placement.
func (c *Cell) Undo(placed []int) {
	for n := len(placed) - 1; n >= 0; n-- {
		w := &c.Workers[placed[n]]
		last := len(w.Tasks) - 1
		w.Committed = w.Committed.Sub(w.Tasks[last].Resources)
		w.Tasks = w.Tasks[:last]
	}
}
