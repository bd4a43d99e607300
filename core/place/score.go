package place

import (
	"time"

	"briarproxy/core/wire"
)

// Weights of the score steps. Each outweighs the sum of the steps after it, so
// the steps decide in this order.
const (
	weightDistance    = 1000.0
	weightAccelerator = 100.0
	weightRack        = 50.0 // away from the data a task runs several times as long
	weightSpread      = 10.0
	weightBestFit     = 1.0
)

// Check returns the first filter step that refuses the worker for the request, or
// StepNone. Headroom and spread of gangs depend on more than one worker and are
// checked by the planner.
func Check(w *State, ask *wire.TaskAsk, o *Options, now time.Duration) Step {
	switch {
	case poolRefuses(w, ask.Pool):
		return StepPool
	case usableRefuses(w):
		return StepUsable
	case distance(w.Region, w.DataCentre, o) > maxDistance(o.Reach):
		return StepReach
	}
	return checkRoom(w, ask, o, now)
}

// checkRoom is Check without the steps that the index has already decided.
func checkRoom(w *State, ask *wire.TaskAsk, o *Options, now time.Duration) Step {
	free := w.Free()
	switch {
	case fitsRefuses(free, ask.Resources):
		return StepFits
	case len(ask.AvoidVMs) > 0 && avoidRefuses(w.VM, ask.AvoidVMs):
		return StepAvoid
	case heldRefuses(w, ask, now):
		return StepHeld
	case labelRefuses(w, ask.Label):
		return StepLabel
	case perVMRefuses(w, ask):
		return StepPerVM
	case o.ProtectAccelerators && acceleratorRefuses(w.Capacity, free, ask.Resources):
		return StepAccelerator
	}
	return StepNone
}

// Cost ranks workers that no filter step refused; the lowest wins. tasksInRack is
// the number of tasks of the job in the worker's rack, 0 if it is not spread.
func Cost(w *State, ask *wire.TaskAsk, o *Options, tasksInRack int) float64 {
	cost := weightDistance * float64(distance(w.Region, w.DataCentre, o))
	cost += weightAccelerator * acceleratorCost(w.Capacity, ask.Resources)
	if ask.NearRack != "" && ask.NearRack != w.Rack {
		cost += weightRack
	}
	cost += weightSpread * spreadCost(tasksInRack)
	return cost + weightBestFit*bestFitCost(w.Capacity, w.Free(), ask.Resources)
}
