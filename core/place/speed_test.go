package place_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"briarproxy/core/place"
	"briarproxy/core/resource"
	"briarproxy/core/wire"
)

// Guards against a preference for fast workers that outweighs the data's rack, and against a best fit that outweighs
// the preference.
func TestSpeedDecidesAfterTheRackAndBeforeTheFit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		level := rapid.IntRange(-10, 10)
		workers := [2]place.WorkerState{}
		for i := range workers {
			workers[i] = place.WorkerState{Worker: place.Worker{Rack: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "rack"), Capacity: resource.Vector{MilliCores: 64000, MemoryMiB: 1000}}, SpeedLevel: level.Draw(t, "level")}
			workers[i].Committed.MilliCores = rapid.Int64Range(0, 60000).Draw(t, "used")
		}
		ask := wire.TaskAsk{Resources: resource.Vector{MilliCores: 1000}, NearRack: "a", SpeedWeight: 1}
		cheaper := place.Cost(&workers[0], &ask, &place.Options{}, 0) < place.Cost(&workers[1], &ask, &place.Options{}, 0)
		switch {
		case workers[0].Rack != workers[1].Rack:
			require.Equal(t, workers[0].Rack == "a", cheaper)
		case workers[0].SpeedLevel != workers[1].SpeedLevel:
			require.Equal(t, workers[0].SpeedLevel < workers[1].SpeedLevel, cheaper)
		}
	})
}

// Measures a decision for one task in a large cell that is four fifths full, with and without a preference for fast
// workers.
func BenchmarkDecision(b *testing.B) {
	const workers = 18_000
	cell := place.NewCell()
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range workers {
		vm := fmt.Sprintf("vm-%05d", i)
		cell.UpdateWorker(place.Worker{
			VM: vm, Region: fmt.Sprint("r", i%11), DataCentre: fmt.Sprint("d", i%30), Rack: fmt.Sprint(i / 16), Incarnation: 1, Pools: []string{"p"},
			Capacity: resource.Vector{MilliCores: 64_000, MemoryMiB: 262_144},
		})
		cell.SetLive(vm, true)
		cell.AddTask(vm, place.Task{ID: vm, Generation: 1, Resources: resource.Vector{MilliCores: 40_000 + rng.Int64N(24_000), MemoryMiB: 100_000}})
		cell.SetSpeedLevel(vm, rng.IntN(7)-3)
	}
	for _, weight := range []float64{0, 1} {
		b.Run(fmt.Sprintf("speed-%v", weight), func(b *testing.B) {
			for n := 0; b.Loop(); n++ {
				asks := []wire.TaskAsk{{TaskID: "t", Job: "j", Generation: int64(n + 1), Pool: "p", Resources: resource.Vector{MilliCores: 4_000, MemoryMiB: 8_000}, SpeedWeight: weight}}
				now := time.Duration(n)
				committed, _ := cell.Commit(cell.Plan(asks, place.Options{DataCentre: "d0", Region: "r0"}, now, nil), place.Options{}, now)
				require.Len(b, committed, 1)
				cell.Release("t", int64(n+1))
			}
		})
	}
}
