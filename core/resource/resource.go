package resource

import (
	"fmt"
	"math"
)

// Vector holds an amount of each kind of resource. All amounts of a valid request are
// non-negative; the result of Sub may have negative ones.
type Vector struct {
	MilliCores   int64 `json:"milli_cores,omitempty"`  // thousandths of a core
	MemoryMiB    int64 `json:"memory_mib,omitempty"`   // mebibytes
	Accelerators int64 `json:"accelerators,omitempty"` // whole devices
	Slots        int64 `json:"slots,omitempty"`        // concurrent service requests
}

// Add returns v + o.
func (v Vector) Add(o Vector) Vector {
	return Vector{
		MilliCores:   v.MilliCores + o.MilliCores,
		MemoryMiB:    v.MemoryMiB + o.MemoryMiB,
		Accelerators: v.Accelerators + o.Accelerators,
		Slots:        v.Slots + o.Slots,
	}
}

// Sub returns v - o.
func (v Vector) Sub(o Vector) Vector {
	return Vector{
		MilliCores:   v.MilliCores - o.MilliCores,
		MemoryMiB:    v.MemoryMiB - o.MemoryMiB,
		Accelerators: v.Accelerators - o.Accelerators,
		Slots:        v.Slots - o.Slots,
	}
}

// Scale returns v with every amount multiplied by n.
func (v Vector) Scale(n int64) Vector {
	return Vector{
		MilliCores:   v.MilliCores * n,
		MemoryMiB:    v.MemoryMiB * n,
		Accelerators: v.Accelerators * n,
		Slots:        v.Slots * n,
	}
}

// Max returns the elementwise maximum of v and o.
func (v Vector) Max(o Vector) Vector {
	return Vector{
		MilliCores:   max(v.MilliCores, o.MilliCores),
		MemoryMiB:    max(v.MemoryMiB, o.MemoryMiB),
		Accelerators: max(v.Accelerators, o.Accelerators),
		Slots:        max(v.Slots, o.Slots),
	}
}

// Min returns the elementwise minimum of v and o.
func (v Vector) Min(o Vector) Vector {
	return Vector{
		MilliCores:   min(v.MilliCores, o.MilliCores),
		MemoryMiB:    min(v.MemoryMiB, o.MemoryMiB),
		Accelerators: min(v.Accelerators, o.Accelerators),
		Slots:        min(v.Slots, o.Slots),
	}
}

// Fits reports whether v does not exceed the capacity in any kind.
func (v Vector) Fits(capacity Vector) bool {
	return v.MilliCores <= capacity.MilliCores &&
		v.MemoryMiB <= capacity.MemoryMiB &&
		v.Accelerators <= capacity.Accelerators &&
		v.Slots <= capacity.Slots
}

// CountFitting returns how many items of the given size fit into v, at most math.MaxInt32.
func (v Vector) CountFitting(size Vector) int64 {
	times := int64(math.MaxInt32)
	for _, pair := range [4][2]int64{
		{v.MilliCores, size.MilliCores},
		{v.MemoryMiB, size.MemoryMiB},
		{v.Accelerators, size.Accelerators},
		{v.Slots, size.Slots},
	} {
		if pair[1] > 0 {
			times = min(times, max(pair[0], 0)/pair[1])
		}
	}
	return times
}

// IsZero reports whether every amount is zero.
func (v Vector) IsZero() bool { return v == Vector{} }

// HasNegative reports whether any amount is below zero.
func (v Vector) HasNegative() bool {
	return v.MilliCores < 0 || v.MemoryMiB < 0 || v.Accelerators < 0 || v.Slots < 0
}

// String formats the vector for log lines and tables.
func (v Vector) String() string {
	return fmt.Sprintf("%dm cores, %d MiB, %d acc, %d slots", v.MilliCores, v.MemoryMiB, v.Accelerators, v.Slots)
}
