package place

import "briarproxy/core/resource"

// exceedsHeadroom reports whether a request of the priority would use capacity that
// the pool reserves for higher priorities. The rules count the pool as a whole:
// best fit leaves whole workers free, so the headroom is not fragmented.
func exceedsHeadroom(pool string, priority int, capacity, committed, ask resource.Vector, rules []Headroom) bool {
	for _, rule := range rules {
		if rule.Pool != pool || priority >= rule.BelowPriority {
			continue
		}
		after := committed.Add(ask)
		if exceeds(after.MilliCores, capacity.MilliCores, ask.MilliCores, rule.Share) ||
			exceeds(after.MemoryMiB, capacity.MemoryMiB, ask.MemoryMiB, rule.Share) ||
			exceeds(after.Accelerators, capacity.Accelerators, ask.Accelerators, rule.Share) ||
			exceeds(after.Slots, capacity.Slots, ask.Slots, rule.Share) {
			return true
		}
	}
	return false
}

func exceeds(after, capacity, ask int64, share float64) bool {
	return ask > 0 && float64(after) > float64(capacity)*(1-share)
}
