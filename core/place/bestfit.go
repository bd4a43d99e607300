package place

import "briarproxy/core/resource"

// bestFitCost returns the largest fraction, 0 to 1, of any resource that stays free
// after the placement. Resources that the worker does not have are ignored, and so
// are slots, because tasks do not use them. Accelerators count only if the task
// requests any.
func bestFitCost(capacity, free, ask resource.Vector) float64 {
	cost := freeShareAfter(capacity.MilliCores, free.MilliCores, ask.MilliCores)
	cost = max(cost, freeShareAfter(capacity.MemoryMiB, free.MemoryMiB, ask.MemoryMiB))
	if ask.Accelerators > 0 {
		cost = max(cost, freeShareAfter(capacity.Accelerators, free.Accelerators, ask.Accelerators))
	}
	return cost
}

func freeShareAfter(capacity, free, ask int64) float64 {
	if capacity <= 0 {
		return 0
	}
	return float64(free-ask) / float64(capacity)
}
