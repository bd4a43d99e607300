package place

import "briarproxy/core/resource"

// lacksCapacity reports whether the free capacity is too small. Resources that are
// not asked for are ignored, even if they are overcommitted.
func lacksCapacity(free, ask resource.Vector) bool {
	return lacks(free.MilliCores, ask.MilliCores) ||
		lacks(free.MemoryMiB, ask.MemoryMiB) ||
		lacks(free.Accelerators, ask.Accelerators) ||
		lacks(free.Slots, ask.Slots)
}

func lacks(free, ask int64) bool { return ask > 0 && ask > free }
