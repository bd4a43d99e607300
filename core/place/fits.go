package place

import "briarproxy/core/resource"

// fitsRefuses tells whether the free capacity is too small. Kinds that are not
// asked for do not matter, even if they are overcommitted.
func fitsRefuses(free, ask resource.Vector) bool {
	return lacks(free.MilliCores, ask.MilliCores) ||
		lacks(free.MemoryMiB, ask.MemoryMiB) ||
		lacks(free.Accelerators, ask.Accelerators) ||
		lacks(free.Slots, ask.Slots)
}

func lacks(free, ask int64) bool { return ask > 0 && ask > free }
