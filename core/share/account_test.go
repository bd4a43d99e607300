package share

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"briarproxy/core/resource"
)

func TestRoomOfAWorkspace(t *testing.T) {
	size := resource.Vector{MilliCores: 4000, MemoryMiB: 1000}
	for name, c := range map[string]struct {
		maximum, used resource.Vector
		n             int
		gang          bool
		want          int
	}{
		"no maximum":                             {n: 7, want: 7},
		"a step starts in part":                  {maximum: resource.Vector{MilliCores: 10000}, n: 7, want: 2},
		"a gang does not":                        {maximum: resource.Vector{MilliCores: 13000}, used: resource.Vector{MilliCores: 2000}, n: 3, gang: true},
		"the scarcer resource counts":            {maximum: resource.Vector{MilliCores: 100000, MemoryMiB: 3000}, used: resource.Vector{MemoryMiB: 1500}, n: 7, want: 1},
		"a lowered maximum":                      {maximum: resource.Vector{MilliCores: 10000}, used: resource.Vector{MilliCores: 30000}, n: 7},
		"a task above the maximum starts alone":  {maximum: resource.Vector{MilliCores: 3000}, n: 7, want: 1},
		"but not beside others":                  {maximum: resource.Vector{MilliCores: 3000}, used: resource.Vector{MilliCores: 2000}, n: 7},
		"a gang one task above the maximum":      {maximum: resource.Vector{MilliCores: 11000}, n: 3, gang: true, want: 3},
		"a gang far above the maximum":           {maximum: resource.Vector{MilliCores: 7000}, n: 3, gang: true},
		"an unlimited resource is not a maximum": {maximum: resource.Vector{Accelerators: 1}, used: resource.Vector{Accelerators: 1}, n: 7, want: 7},
	} {
		a := Account{Maximum: c.maximum, Used: c.used}
		require.Equal(t, c.want, a.Room(size, resource.Vector{}, c.n, c.gang), name)
	}
}

// Guards against a use above the maximum, and against an idle workspace for which nothing may start.
func TestUseStaysWithinTheMaximum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := resource.Vector{MilliCores: rapid.Int64Range(1, 50).Draw(t, "cores"), MemoryMiB: rapid.Int64Range(0, 50).Draw(t, "memory")}
		a := Account{Maximum: resource.Vector{MilliCores: rapid.Int64Range(1, 200).Draw(t, "most cores"), MemoryMiB: rapid.Int64Range(0, 200).Draw(t, "most memory")}}
		n := rapid.IntRange(1, 9).Draw(t, "tasks")
		require.Positive(t, a.Room(size, resource.Vector{}, n, false))
		for range a.Room(size, resource.Vector{}, n, false) {
			a.Add(size)
		}
		if a.Runs > 1 {
			require.LessOrEqual(t, a.Used.MilliCores, a.Maximum.MilliCores)
			require.True(t, a.Maximum.MemoryMiB == 0 || a.Used.MemoryMiB <= a.Maximum.MemoryMiB)
		}
		for range a.Runs {
			a.Remove(size)
		}
		require.Zero(t, a.Used)
	})
}
