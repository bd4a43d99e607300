package share

import (
	"math"

	"briarproxy/core/resource"
)

// oversizeUseShare is the share of its maximum up to which a workspace may be in use for a task to
// start that is larger than the whole maximum. Without the exception such a task would never run.
const oversizeUseShare = 0.5

// Account is what one workspace may use and what it uses.
//
// Invariant: Used is never below what the workers run for the workspace. A run is added when it is
// planned or first heard of, and removed when it has certainly ended.
type Account struct {
	Name    string
	Weight  float64         // share of the workers relative to other workspaces
	Maximum resource.Vector // an amount of 0 is no limit
	Used    resource.Vector
	Runs    int
}

// Add counts a run of the given size.
func (a *Account) Add(size resource.Vector) {
	a.Used = a.Used.Add(size)
	a.Runs++
}

// Remove ends the count of a run of the given size.
func (a *Account) Remove(size resource.Vector) {
	a.Used = a.Used.Sub(size)
	a.Runs--
}

// Limited reports whether the workspace has a maximum.
func (a *Account) Limited() bool { return !a.Maximum.IsZero() }

// Room returns how many of n tasks of one size may start now: of a gang all or none. The amount
// reserved is set aside for other tasks of the workspace.
func (a *Account) Room(size, reserved resource.Vector, n int, gang bool) int {
	if !a.Limited() {
		return n
	}
	used := a.Used.Add(reserved)
	room := int(min(a.fitting(used, size), int64(n)))
	least := 1
	if gang {
		least = n
	}
	switch {
	case room >= least:
		return room
	case room >= least-1 && a.mayExceed(used, size, least):
		return least
	default:
		return 0
	}
}

// MayEverFit reports whether n tasks of one size could start together if the workspace used nothing.
func (a *Account) MayEverFit(size resource.Vector, n int) bool {
	return !a.Limited() || a.fitting(resource.Vector{}, size) >= int64(n-1)
}

// mayExceed reports whether a task, or a gang of n, that does not fit into the whole maximum may
// start: if that exceeds the maximum by at most one task, and the workspace uses little besides.
func (a *Account) mayExceed(used, size resource.Vector, n int) bool {
	if a.fitting(resource.Vector{}, size) >= int64(n) {
		return false
	}
	for _, d := range a.limits(used, size) {
		if d.applies() && float64(d.used) > oversizeUseShare*float64(d.limit) {
			return false
		}
	}
	return true
}

// limit is the maximum of one resource, the amount used, and what a task needs.
type limit struct{ limit, used, size int64 }

// applies reports whether the workspace has a maximum of the resource and the task needs some.
func (d limit) applies() bool { return d.limit > 0 && d.size > 0 }

func (a *Account) limits(used, size resource.Vector) [4]limit {
	return [4]limit{
		{a.Maximum.MilliCores, used.MilliCores, size.MilliCores},
		{a.Maximum.MemoryMiB, used.MemoryMiB, size.MemoryMiB},
		{a.Maximum.Accelerators, used.Accelerators, size.Accelerators},
		{a.Maximum.Slots, used.Slots, size.Slots},
	}
}

// fitting returns how many tasks of one size fit between an amount used and the maximum, at most
// math.MaxInt32.
func (a *Account) fitting(used, size resource.Vector) int64 {
	n := int64(math.MaxInt32)
	for _, d := range a.limits(used, size) {
		if d.applies() {
			n = min(n, max(0, d.limit-d.used)/d.size)
		}
	}
	return n
}
