package place_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/place"
	"briarproxy/core/place/naive"
	"briarproxy/core/resource"
	"briarproxy/core/wire"
)

// Guards against a bounded search that finds nothing although a worker fits, and
// against failed shapes that are still remembered after capacity was freed. The
// cell is nearly full and its workers share few buckets, so that searches reach
// their bounds. Requests have few shapes, so that most refusals are remembered.
func TestNearlyFullCellAgreesWithTheFullScan(t *testing.T) {
	rng := rand.New(rand.NewPCG(11, 12))
	cell := place.NewCell()
	for i := range nearlyFullWorkers {
		vm := fmt.Sprintf("vm-%03d", i)
		w := place.Worker{
			VM: vm, Region: "r0", DataCentre: fmt.Sprintf("d%d", i%3), Rack: fmt.Sprint(i / 8), Incarnation: 1,
			Pools: []string{"a"}, Capacity: resource.Vector{MilliCores: 16_000, MemoryMiB: 32_768, Accelerators: int64(i % 2)},
		}
		cell.UpdateWorker(w)
		cell.SetLive(vm, true)
		used := resource.Vector{MilliCores: 14_977 + rng.Int64N(128), MemoryMiB: 31_745 + rng.Int64N(128)}
		cell.AddTask(vm, place.Task{ID: "old-" + vm, Generation: 1, Resources: used})
	}
	var live []string
	found, refused := 0, 0
	for n := range 1500 {
		now := time.Duration(n) * time.Millisecond
		ask := askFor("", 900+20*rng.Int64N(7), 900+20*rng.Int64N(7))
		ask.Resources.Accelerators = max(0, rng.Int64N(4)-2)
		ask.SpreadRacks = rng.IntN(4) == 0
		asks := make([]wire.TaskAsk, 1+rng.IntN(3))
		for k := range asks {
			asks[k] = ask
			asks[k].TaskID = fmt.Sprintf("t%d-%d", n, k)
		}
		o := localOptions
		o.ProtectAccelerators = rng.IntN(2) == 0
		fullScan := naive.Cell{Workers: cell.Workers()}
		want := 0
		for k := range asks {
			if worker := fullScan.Place(&asks[k], &o, now, nil); worker >= 0 {
				fullScan.Add(worker, place.TaskOf(&asks[k], now))
				want++
			}
		}
		plan := cell.Plan(asks, o, now, nil)
		require.Len(t, plan.Assignments, want, "step %d: %v", n, ask.Resources)
		found += want
		refused += len(asks) - want
		if rng.IntN(3) > 0 {
			accepted, _ := cell.Commit(plan, o, now)
			for _, a := range accepted {
				live = append(live, a.Ask.TaskID)
			}
		}
		changeRandomly(cell, rng, &live)
	}
	require.Greater(t, found, 300)
	require.Greater(t, refused, 300)
	require.NoError(t, place.CheckIndex(cell))
}

// nearlyFullWorkers is the number of workers of the nearly full cell.
const nearlyFullWorkers = 300

// changeRandomly releases a task, sets a flag, resizes a task or does nothing.
func changeRandomly(cell *place.Cell, rng *rand.Rand, live *[]string) {
	vm := fmt.Sprintf("vm-%03d", rng.IntN(nearlyFullWorkers))
	switch k := rng.IntN(12); {
	case k < 8 && len(*live) > 0:
		i := rng.IntN(len(*live))
		cell.Release((*live)[i], 1)
		*live = append((*live)[:i], (*live)[i+1:]...)
	case k == 8:
		cell.SetQuarantined(vm, rng.IntN(2) == 0)
	case k == 9:
		cell.SetLive(vm, rng.IntN(3) > 0)
	case k == 10:
		cell.Resize("old-"+vm, 1, resource.Vector{MilliCores: 14_977 + rng.Int64N(1500), MemoryMiB: 31_760})
	}
}

// Guards against a large gang whose members are planned in one pass and crowd the workers beyond the
// limit per worker, also next to tasks that are there already.
func TestLargeGangIsPlannedWithinItsLimitPerWorker(t *testing.T) {
	const workers, members = 1000, 1500
	cell := fourRacks(workers)
	asks := gangOf(members, 100)
	for i := range asks {
		asks[i].PerVM = 2
	}
	for i := range 400 {
		cell.AddTask(fmt.Sprintf("vm-%02d", i), place.Task{ID: fmt.Sprint("old-", i), Job: asks[0].Job, Generation: 1})
	}
	plan := cell.Plan(asks, localOptions, 0, nil)
	require.Len(t, plan.Assignments, members, "the limit leaves room for 1,600 tasks")
	require.Empty(t, cell.Verify(plan, localOptions, 0))
	asks = gangOf(members+101, 100)
	for i := range asks {
		asks[i].PerVM = 2
	}
	require.Empty(t, cell.Plan(asks, localOptions, 0, nil).Assignments)
}
