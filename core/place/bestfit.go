package place

import "briarproxy/core/resource"

// bestFitCost is the largest share of a kind that stays free after the placement,
// 0 to 1. Kinds that the worker does not have do not count, and slots do not
// compete with tasks.
func bestFitCost(capacity, free, ask resource.Vector) float64 {
	cost := leftShare(capacity.MilliCores, free.MilliCores, ask.MilliCores)
	cost = max(cost, leftShare(capacity.MemoryMiB, free.MemoryMiB, ask.MemoryMiB))
	if ask.Accelerators > 0 {
		cost = max(cost, leftShare(capacity.Accelerators, free.Accelerators, ask.Accelerators))
	}
	return cost
}

func leftShare(capacity, free, ask int64) float64 {
	if capacity <= 0 {
		return 0
	}
	return float64(free-ask) / float64(capacity)
}
