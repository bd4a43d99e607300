package bench

import (
	"fmt"
	"math/rand/v2"

	"briarproxy/core/place"
	"briarproxy/core/resource"
)

const (
	poolName           = "general"
	workersPerRack     = 8
	workersPerCentre   = 600 // 18,000 workers in 30 data centres
	centresPerRegion   = 3
	acceleratorEvery   = 6 // every sixth VM has 8 accelerators: 24,000 on 18,000
	acceleratorsPerVM  = 8
	slotsPerWorker     = 8
	smallestTaskCores  = 250
	coresPerTask       = 8000
	gibibyte           = 1024
	halfOfRandomOffset = 0.5
)

var (
	plainShape       = resource.Vector{MilliCores: 64_000, MemoryMiB: 256 * gibibyte, Slots: slotsPerWorker}
	acceleratorShape = resource.Vector{MilliCores: 96_000, MemoryMiB: 768 * gibibyte, Accelerators: acceleratorsPerVM, Slots: slotsPerWorker}
	localOptions     = place.Options{DataCentre: "dc-00", Region: "region-00"}
)

// workers returns n descriptions of VMs in racks, data centres and regions.
func workers(n int) []place.Worker {
	all := make([]place.Worker, n)
	for i := range all {
		shape := plainShape
		if i%acceleratorEvery == acceleratorEvery-1 {
			shape = acceleratorShape
		}
		centre := i / workersPerCentre
		all[i] = place.Worker{
			VM:     fmt.Sprintf("vm-%05d", i),
			Region: fmt.Sprintf("region-%02d", centre/centresPerRegion), DataCentre: fmt.Sprintf("dc-%02d", centre),
			Rack: fmt.Sprintf("rack-%04d", i/workersPerRack), Incarnation: 1,
			Pools: []string{poolName}, Capacity: shape,
		}
	}
	return all
}

// loadedCell returns a cell whose workers are filled to the load on average, each
// to its own random level around it.
func loadedCell(n int, load float64, rng *rand.Rand) *place.Cell {
	cell := place.NewCell()
	for _, w := range workers(n) {
		cell.UpdateWorker(w)
		cell.SetLive(w.VM, true)
		fill(cell, w, load+(1-load)*2*(rng.Float64()-halfOfRandomOffset), rng)
	}
	return cell
}

// fill adds tasks to the worker until its cores and memory reach the level.
func fill(cell *place.Cell, w place.Worker, level float64, rng *rand.Rand) {
	cores := int64(level * float64(w.Capacity.MilliCores))
	memory := int64(level * float64(w.Capacity.MemoryMiB))
	accelerators := int64(level*float64(w.Capacity.Accelerators) + rng.Float64())
	for n := 0; cores >= smallestTaskCores; n++ {
		size := resource.Vector{MilliCores: min(cores, smallestTaskCores+rng.Int64N(coresPerTask))}
		size.MemoryMiB = min(memory, size.MilliCores*(2+rng.Int64N(5))*gibibyte/1000)
		if accelerators > 0 {
			size.Accelerators = 1
			accelerators--
		}
		cores -= size.MilliCores
		memory -= size.MemoryMiB
		cell.AddTask(w.VM, place.Task{
			ID: fmt.Sprintf("%s-%d", w.VM, n), Job: "load", Generation: 1, Resources: size,
			Priority: rng.IntN(100), Preemptible: rng.IntN(2) == 0,
		})
	}
	if slot, ok := cell.SlotOf(w.VM); ok {
		cell.TakeSlots(slot, int64(level*float64(slotsPerWorker)+rng.Float64()))
	}
}
