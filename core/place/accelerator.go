package place

import "briarproxy/core/resource"

// strandsAccelerators reports whether a task without accelerators would leave too
// few cores or too little memory for the worker's free accelerators. The fraction
// of cores and memory left must be at least the fraction of accelerators that are
// free.
func strandsAccelerators(capacity, free, ask resource.Vector) bool {
	if capacity.Accelerators == 0 || ask.Accelerators > 0 || free.Accelerators <= 0 {
		return false
	}
	left := free.Sub(ask)
	return left.MilliCores*capacity.Accelerators < free.Accelerators*capacity.MilliCores ||
		left.MemoryMiB*capacity.Accelerators < free.Accelerators*capacity.MemoryMiB
}

// acceleratorCost returns 1 for a task without accelerators on a worker with
// accelerators, else 0.
func acceleratorCost(capacity, ask resource.Vector) float64 {
	if capacity.Accelerators > 0 && ask.Accelerators == 0 {
		return 1
	}
	return 0
}
