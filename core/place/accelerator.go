package place

import "briarproxy/core/resource"

// acceleratorRefuses tells whether a task without accelerators would strand
// accelerators: it must leave at least the share of cores and memory that the
// free accelerators have of all accelerators of the worker.
func acceleratorRefuses(capacity, free, ask resource.Vector) bool {
	if capacity.Accelerators == 0 || ask.Accelerators > 0 || free.Accelerators <= 0 {
		return false
	}
	left := free.Sub(ask)
	return left.MilliCores*capacity.Accelerators < free.Accelerators*capacity.MilliCores ||
		left.MemoryMiB*capacity.Accelerators < free.Accelerators*capacity.MemoryMiB
}

// acceleratorCost is 1 if a task without accelerators would run on a worker with
// accelerators.
func acceleratorCost(capacity, ask resource.Vector) float64 {
	if capacity.Accelerators > 0 && ask.Accelerators == 0 {
		return 1
	}
	return 0
}
