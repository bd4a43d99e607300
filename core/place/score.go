package place

import (
	"time"

	"briarproxy/core/wire"
)

// Weights of the cost terms. Each term outweighs the sum of the terms after it, so
// the terms take precedence in this order.
const (
	weightDistance    = 1000.0
	weightAccelerator = 100.0
	weightRack        = 50.0 // a task runs several times as long away from its data
	weightSpeed       = 1.1  // of a speed level: decides between workers before the best fit does
	weightSpread      = 10.0
	weightBestFit     = 1.0
)

// Check returns the first reason to refuse the worker for the request, or
// ReasonNone. Headroom and the racks of a gang depend on more than one worker and
// are checked by the planner.
func Check(w *WorkerState, ask *wire.TaskAsk, o *Options, now time.Duration) Reason {
	switch {
	case notInPool(w, ask.Pool):
		return ReasonNotInPool
	case notSchedulable(w):
		return ReasonNotSchedulable
	case distance(w.Region, w.DataCentre, o) > maxDistance(o.Scope):
		return ReasonOutOfScope
	}
	return checkAfterIndex(w, ask, 0, o, now)
}

// checkAfterIndex is Check without the conditions that the index already ensures, after
// the current planning run has booked the given number of tasks of the job on the worker.
func checkAfterIndex(w *WorkerState, ask *wire.TaskAsk, booked int, o *Options, now time.Duration) Reason {
	free := w.Free()
	switch {
	case lacksCapacity(free, ask.Resources):
		return ReasonLacksCapacity
	case len(ask.AvoidVMs) > 0 && avoided(w.VM, ask.AvoidVMs):
		return ReasonAvoided
	case heldForOther(w, ask, now):
		return ReasonHeld
	case lacksLabel(w, ask.Label):
		return ReasonLacksLabel
	case tasksUnderPerVMLimit(w, ask, booked) == 0:
		return ReasonPerVMLimit
	case o.ProtectAccelerators && strandsAccelerators(w.Capacity, free, ask.Resources):
		return ReasonStrandsAccelerators
	}
	return ReasonNone
}

// Cost returns the cost of the request on a worker that passed Check; the lowest
// cost wins. tasksInRack is the number of tasks of the job in the worker's rack, or
// 0 if the job's tasks are not spread over racks.
func Cost(w *WorkerState, ask *wire.TaskAsk, o *Options, tasksInRack int) float64 {
	cost := weightDistance * float64(distance(w.Region, w.DataCentre, o))
	cost += weightAccelerator * acceleratorCost(w.Capacity, ask.Resources)
	if ask.NearRack != "" && ask.NearRack != w.Rack {
		cost += weightRack
	}
	cost += weightSpeed * ask.SpeedWeight * float64(w.SpeedLevel)
	cost += weightSpread * spreadCost(tasksInRack)
	return cost + weightBestFit*bestFitCost(w.Capacity, w.Free(), ask.Resources)
}
