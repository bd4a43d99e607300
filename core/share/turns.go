package share

import "briarproxy/core/resource"

// Turns compares workspaces by what they use of a cell.
//
// It follows dominant resource fairness (Ghodsi et al., NSDI 2011): the share of a workspace is the
// largest of its shares of the resources, relative to its weight. A workspace below its fair share goes
// before one above it, and among those above it the one with the lowest share comes first. Unlike in the
// publication, the order among those below their fair share is left to the urgency of their work.
type Turns struct {
	Capacity    resource.Vector // of all usable workers
	TotalWeight float64         // of the workspaces that have work
}

// effectiveWeight is the weight with which a workspace counts. One without a weight counts as 1.
func (a *Account) effectiveWeight() float64 {
	if a.Weight <= 0 {
		return 1
	}
	return a.Weight
}

// AddWeight adds a workspace that has work.
func (t *Turns) AddWeight(a *Account) { t.TotalWeight += a.effectiveWeight() }

// RemoveWeight removes a workspace that has no work any more.
func (t *Turns) RemoveWeight(a *Account) { t.TotalWeight -= a.effectiveWeight() }

// Share returns the dominant share of a workspace as a multiple of its fair share, with the amount
// reserved counted as used.
func (t *Turns) Share(a *Account, reserved resource.Vector) float64 {
	used := a.Used.Add(reserved)
	dominant := max(part(used.MilliCores, t.Capacity.MilliCores), part(used.MemoryMiB, t.Capacity.MemoryMiB),
		part(used.Accelerators, t.Capacity.Accelerators), part(used.Slots, t.Capacity.Slots))
	return dominant * t.TotalWeight / a.effectiveWeight()
}

// part returns the part of a whole, or 0 if there is none of either.
func part(amount, whole int64) float64 {
	if amount <= 0 || whole <= 0 {
		return 0
	}
	return float64(amount) / float64(whole)
}
