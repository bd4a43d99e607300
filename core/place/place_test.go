package place_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarproxy/core/place"
	"briarproxy/core/resource"
	"briarproxy/core/wire"
)

var localOptions = place.Options{DataCentre: "d0", Region: "r0"}

// fourRacks returns n workers of 4 cores, 8192 MiB and 8 slots in four racks.
func fourRacks(n int) *place.Cell {
	cell := place.NewCell()
	for i := range n {
		vm := fmt.Sprintf("vm-%02d", i)
		cell.UpdateWorker(place.Worker{
			VM: vm, Region: "r0", DataCentre: "d0", Rack: fmt.Sprintf("k%d", i%4), Incarnation: 1,
			Pools: []string{"a"}, Capacity: resource.Vector{MilliCores: 4000, MemoryMiB: 8192, Slots: 8},
		})
		cell.SetLive(vm, true)
	}
	return cell
}

func askFor(id string, cores, memory int64) wire.TaskAsk {
	return wire.TaskAsk{TaskID: id, Job: "j", Generation: 1, Pool: "a", Resources: resource.Vector{MilliCores: cores, MemoryMiB: memory}}
}

func gangOf(n int, cores int64) []wire.TaskAsk {
	asks := make([]wire.TaskAsk, n)
	for i := range asks {
		asks[i] = askFor(fmt.Sprintf("g-%d", i), cores, 0)
		asks[i].Gang = "g"
	}
	return asks
}

// Guards against allocations on the request path and against more slots than the
// capacity allows.
func TestSlotsWithoutAllocation(t *testing.T) {
	cell := fourRacks(4)
	avoid := make([]place.Slot, 1)
	avoid[0], _ = cell.SlotOf("vm-00")
	allocations := testing.AllocsPerRun(100, func() {
		slot, ok := cell.PickSlot("a", &localOptions, avoid)
		if !ok || !cell.TakeSlots(slot, 1) || cell.ReturnSlots(slot, 1) != 1 {
			panic("no slot")
		}
	})
	assert.Zero(t, allocations)

	taken := 0
	for {
		slot, ok := cell.PickSlot("a", &localOptions, avoid)
		if !ok {
			break
		}
		require.True(t, cell.TakeSlots(slot, 1))
		taken++
	}
	assert.Equal(t, 24, taken)
	slot, _ := cell.SlotOf("vm-02")
	cell.ReturnSlots(slot, 1)
	cell.SetDraining("vm-02")
	assert.False(t, cell.TakeSlots(slot, 1), "a draining worker")
	slot, _ = cell.SlotOf("vm-01")
	assert.False(t, cell.TakeSlots(slot, 1))
	cell.RemoveWorker("vm-01")
	assert.False(t, cell.TakeSlots(slot, 1), "a handle of a removed worker")
	assert.Zero(t, cell.ReturnSlots(slot, 1))
}

// Guards against commits of an outdated plan whose worker has since been replaced,
// drained, quarantined, removed or filled.
func TestCommitRefusesWhatChanged(t *testing.T) {
	changes := map[string]struct {
		change func(*place.Cell, string)
		want   place.Reason
	}{
		"leaving":     {func(c *place.Cell, vm string) { c.SetDraining(vm) }, place.ReasonNotSchedulable},
		"quarantined": {func(c *place.Cell, vm string) { c.SetQuarantined(vm, true) }, place.ReasonNotSchedulable},
		"removed":     {func(c *place.Cell, vm string) { c.RemoveWorker(vm) }, place.ReasonWorkerGone},
		"replaced": {func(c *place.Cell, vm string) {
			c.UpdateWorker(place.Worker{VM: vm, DataCentre: "d0", Incarnation: 2, Pools: []string{"a"}, Capacity: resource.Vector{MilliCores: 9000}})
			c.SetLive(vm, true)
		}, place.ReasonWorkerGone},
		"filled": {func(c *place.Cell, vm string) {
			c.AddTask(vm, place.Task{ID: "other", Resources: resource.Vector{MilliCores: 3500}})
		}, place.ReasonLacksCapacity},
		"placed already": {func(c *place.Cell, vm string) {
			c.AddTask("vm-01", place.Task{ID: "t", Resources: resource.Vector{MilliCores: 1}})
		}, place.ReasonDuplicate},
	}
	for name, tc := range changes {
		t.Run(name, func(t *testing.T) {
			cell := fourRacks(2)
			cell.AddTask("vm-00", place.Task{ID: "first", Resources: resource.Vector{MilliCores: 100}})
			plan := cell.Plan([]wire.TaskAsk{askFor("t", 1000, 1000)}, localOptions, 0, nil)
			require.Len(t, plan.Assignments, 1)
			tc.change(cell, plan.Assignments[0].VM)
			accepted, refused := cell.Commit(plan, localOptions, 0)
			assert.Empty(t, accepted)
			require.Len(t, refused, 1)
			assert.Equal(t, tc.want, refused[0].Reason)
			require.NoError(t, place.CheckIndex(cell))
		})
	}
}

// Guards against new work on a draining worker without a new incarnation.
func TestDrainingLastsUntilNewIncarnation(t *testing.T) {
	cell := fourRacks(1)
	cell.SetDraining("vm-00")
	cell.SetLive("vm-00", false)
	cell.SetLive("vm-00", true)
	assert.Empty(t, cell.Plan([]wire.TaskAsk{askFor("t", 1, 1)}, localOptions, 0, nil).Assignments)
	_, ok := cell.PickSlot("a", &localOptions, nil)
	assert.False(t, ok)
}

// Guards against gangs in too few racks, partially committed gangs, and requests
// that exceed every worker but are reported as merely unplaced.
func TestGangRacksAndNeverFits(t *testing.T) {
	cell := fourRacks(8)
	options := localOptions
	options.Gangs = []place.GangRule{{Gang: "g", MinRacks: 3}}
	plan := cell.Plan(gangOf(4, 1000), options, 0, nil)
	racks := map[string]bool{}
	for _, a := range plan.Assignments {
		racks[a.Rack] = true
	}
	assert.Len(t, plan.Assignments, 4)
	assert.Len(t, racks, 3)

	cell.AddTask(plan.Assignments[3].VM, place.Task{ID: "x", Resources: resource.Vector{MilliCores: 4000}})
	accepted, refused := cell.Commit(plan, options, 0)
	assert.Empty(t, accepted)
	assert.Len(t, refused, 4)
	for _, r := range refused {
		_, placed := cell.TaskWorker(r.TaskID)
		assert.False(t, placed, r.TaskID)
	}

	assert.Len(t, fourRacks(40).Plan(gangOf(60, 2500), localOptions, 0, nil).Unplaced, 60)
	assert.Len(t, fourRacks(40).Plan(gangOf(40, 2500), localOptions, 0, nil).Assignments, 40)
	options.Gangs[0].MinRacks = 5
	plan = cell.Plan(gangOf(5, 1000), options, 0, nil)
	assert.Empty(t, plan.Assignments)
	require.Len(t, plan.Unplaced, 5)
	assert.Contains(t, plan.Unplaced[0].Refused, wire.Refused{Reason: string(place.ReasonRackUsed), Count: 7})

	plan = cell.Plan([]wire.TaskAsk{askFor("huge", 4001, 0)}, localOptions, 0, nil)
	assert.Equal(t, []string{"huge"}, plan.NeverFits)
}

// Guards against capacity that stays booked after a refused gang or an uncommitted
// plan, and against remembering a refusal that the plan's own bookings caused.
func TestUncommittedPlanKeepsNoCapacity(t *testing.T) {
	cell := fourRacks(1)
	asks := append(gangOf(2, 3000), askFor("single", 3000, 0), askFor("second", 3000, 0))
	asks[1].Resources.MilliCores = 2000 // unequal tasks are planned one by one
	for range 2 {
		plan := cell.Plan(asks, localOptions, 0, nil)
		require.Len(t, plan.Assignments, 1)
		assert.Equal(t, "single", plan.Assignments[0].Ask.TaskID)
	}
	assert.Len(t, cell.Plan(asks[3:], localOptions, 0, nil).Assignments, 1)
}

// Guards against tasks and gangs without accelerators that take the cores that free
// accelerators need.
func TestTasksWithoutAcceleratorsLeaveCoresForThem(t *testing.T) {
	cell := place.NewCell()
	shape := resource.Vector{MilliCores: 8000, MemoryMiB: 8000, Accelerators: 4}
	cell.UpdateWorker(place.Worker{VM: "vm", DataCentre: "d0", Region: "r0", Incarnation: 1, Pools: []string{"a"}, Capacity: shape})
	cell.SetLive("vm", true)
	protected := localOptions
	protected.ProtectAccelerators = true
	assert.Empty(t, cell.Plan([]wire.TaskAsk{askFor("t", 1000, 0)}, protected, 0, nil).Assignments)
	cell.AddTask("vm", place.Task{ID: "acc", Resources: resource.Vector{Accelerators: 2}})
	for tasks := range 7 {
		plan := cell.Plan(gangOf(tasks, 1000), protected, 0, nil)
		assert.Equal(t, tasks > 0 && tasks <= 4, len(plan.Assignments) > 0, "%d tasks", tasks)
	}
}

// Guards against a probe on a draining worker or beyond its capacity, and against a
// probe that makes the worker schedulable or waits for earlier tasks to end.
func TestProbeUsesOnlyAQuarantinedWorker(t *testing.T) {
	cell := fourRacks(1)
	asks := []wire.TaskAsk{askFor("large", 5000, 0), askFor("t", 1000, 0)}
	assert.Empty(t, cell.Probe("vm-00", asks, localOptions, 0).Assignments, "not quarantined")
	cell.AddTask("vm-00", place.Task{ID: "old", Resources: resource.Vector{MilliCores: 3000}})
	cell.SetQuarantined("vm-00", true)
	plan := cell.Probe("vm-00", asks, localOptions, 0)
	accepted, refused := cell.Commit(plan, localOptions, 0)
	require.Len(t, accepted, 1)
	assert.Empty(t, refused)
	assert.Equal(t, "t", accepted[0].Ask.TaskID)
	assert.Empty(t, cell.Probe("vm-00", []wire.TaskAsk{askFor("u", 1, 0)}, localOptions, 0).Assignments, "insufficient free capacity")
	assert.Empty(t, cell.Plan([]wire.TaskAsk{askFor("u", 1, 0)}, localOptions, 0, nil).Assignments)
	cell.Release("t", 1)
	cell.SetDraining("vm-00")
	assert.Empty(t, cell.Probe("vm-00", asks, localOptions, 0).Assignments, "leaving")
	require.NoError(t, place.CheckIndex(cell))
}

// Guards against a summary that counts unschedulable workers as free.
func TestSummaryCountsSchedulableWorkers(t *testing.T) {
	cell := fourRacks(3)
	cell.SetQuarantined("vm-00", true)
	cell.AddTask("vm-01", place.Task{ID: "x", Resources: resource.Vector{MilliCores: 1000}})
	full := resource.Vector{MilliCores: 4000, MemoryMiB: 8192, Slots: 8}
	assert.Equal(t, []wire.PoolSummary{{
		Pool: "a", Region: "r0", DataCentre: "d0", Workers: 3, Usable: 2, Capacity: full.Scale(2),
		Free: full.Scale(2).Sub(resource.Vector{MilliCores: 1000}), Largest: full,
	}}, cell.Summary())
}

// Guards against refusal counts that include a worker twice or not at all.
func TestExplanationCountsEveryWorker(t *testing.T) {
	cell := fourRacks(6)
	cell.UpdateWorker(place.Worker{VM: "other", DataCentre: "d0", Incarnation: 1, Pools: []string{"b"}})
	cell.SetLive("vm-00", false)
	cell.AddTask("vm-01", place.Task{ID: "x", Resources: resource.Vector{MilliCores: 4000}})
	ask := askFor("t", 500, 0)
	ask.AvoidVMs = []string{"vm-02", "vm-03", "vm-04", "vm-05"}
	plan := cell.Plan([]wire.TaskAsk{ask}, localOptions, 0, nil)
	require.Len(t, plan.Unplaced, 1)
	assert.Equal(t, []wire.Refused{
		{Reason: string(place.ReasonNotInPool), Count: 1}, {Reason: string(place.ReasonNotSchedulable), Count: 1},
		{Reason: string(place.ReasonLacksCapacity), Count: 1}, {Reason: string(place.ReasonAvoided), Count: 4},
	}, plan.Unplaced[0].Refused)
}

// Guards against low-priority work in the headroom, and against high-priority work
// that is refused the headroom.
func TestHeadroomIsForUrgentWork(t *testing.T) {
	cell := fourRacks(10)
	options := localOptions
	options.Headroom = []place.Headroom{{Pool: "a", BelowPriority: 500, Share: 0.2}}
	placed := 0
	for i := range 40 {
		plan := cell.Plan([]wire.TaskAsk{askFor(fmt.Sprint(i), 1000, 0)}, options, 0, nil)
		accepted, _ := cell.Commit(plan, options, 0)
		placed += len(accepted)
	}
	assert.Equal(t, 32, placed)
	urgent := askFor("urgent", 4000, 0)
	urgent.Priority = 500
	assert.Len(t, cell.Plan([]wire.TaskAsk{urgent}, options, 0, nil).Assignments, 1)
}

func preemptible(id string, cores, memory int64, priority int) place.Task {
	return place.Task{
		ID: id, Generation: 1, Resources: resource.Vector{MilliCores: cores, MemoryMiB: memory},
		Priority: priority, Preemptible: true, Checkpointable: true,
	}
}

// Guards against victims of equal or higher priority, victim sets larger than
// necessary, stopping where throttling is enough, and a second preemption for a task
// that already waits for its victims to end.
func TestPreemptionTakesTheSmallestSet(t *testing.T) {
	cell := fourRacks(2)
	cell.AddTask("vm-00", preemptible("small-1", 1000, 4000, 1))
	cell.AddTask("vm-00", preemptible("small-2", 1000, 4000, 1))
	cell.AddTask("vm-00", preemptible("equal", 2000, 100, 9))
	cell.AddTask("vm-01", preemptible("large", 4000, 8000, 2))
	urgent := askFor("urgent", 2000, 7000)
	urgent.Priority, urgent.CanPreempt = 9, true
	plan := cell.Plan([]wire.TaskAsk{urgent}, localOptions, 0, nil)
	require.Len(t, plan.Preemptions, 1)
	assert.Equal(t, []place.Victim{{TaskID: "large", Generation: 1, Action: place.ActionCheckpoint}}, plan.Preemptions[0].Victims)

	cell.Commit(plan, localOptions, 0)
	again := cell.Plan([]wire.TaskAsk{urgent, askFor("thief", 1, 1)}, localOptions, time.Second, nil)
	assert.Empty(t, again.Preemptions)
	cell.Release("large", 1)
	later := cell.Plan([]wire.TaskAsk{askFor("thief", 2000, 1), urgent}, localOptions, time.Second, nil)
	require.Len(t, later.Assignments, 1, "the capacity is held for the urgent task")
	assert.Equal(t, "urgent", later.Assignments[0].Ask.TaskID)

	coresOnly := askFor("urgent-2", 1000, 10)
	coresOnly.Priority, coresOnly.CanPreempt = 9, true
	cell.Commit(later, localOptions, time.Second)
	cell.AddTask("vm-01", place.Task{ID: "fixed", Resources: resource.Vector{MilliCores: 2000}})
	plan = cell.Plan([]wire.TaskAsk{coresOnly}, localOptions, time.Second, nil)
	require.Len(t, plan.Preemptions, 1)
	gained := int64(0)
	for _, v := range plan.Preemptions[0].Victims {
		assert.Equal(t, place.ActionThrottle, v.Action)
		require.True(t, cell.Throttle(v.TaskID, 1, v.Percent))
		gained += 1000 - 1000*int64(v.Percent)/100
	}
	assert.GreaterOrEqual(t, gained, int64(1000))
	assert.Len(t, cell.Plan([]wire.TaskAsk{coresOnly}, localOptions, time.Second, nil).Assignments, 1)
}

// Guards against starvation of a gang by small tasks, and against held workers that
// stay idle although a short task would end before the hold starts.
func TestHeldWorkersAreBackfilledOnlyWithShortTasks(t *testing.T) {
	cell := fourRacks(4)
	for i := range 4 {
		task := place.Task{ID: fmt.Sprint("old", i), Generation: 1, Resources: resource.Vector{MilliCores: 3000}, ExpectedEnd: time.Duration(10+i) * time.Second}
		cell.AddTask(fmt.Sprintf("vm-%02d", i), task)
	}
	gang := gangOf(2, 4000)
	hold, ok := cell.PlanHold(gang, localOptions, 0.5, 0, time.Minute)
	require.True(t, ok)
	assert.Equal(t, []string{"vm-00", "vm-01"}, hold.VMs)
	assert.Equal(t, 11*time.Second, hold.Start)
	require.Equal(t, 2, cell.ApplyHold(hold, 0))
	_, second := cell.PlanHold([]wire.TaskAsk{{TaskID: "o", Gang: "other", Pool: "a", Resources: resource.Vector{MilliCores: 10}}}, localOptions, 1, 0, time.Minute)
	assert.False(t, second, "two gangs that hold workers can block each other")

	for _, runMS := range []int64{0, 12_000, 9000} {
		ask := askFor(fmt.Sprint("run", runMS), 1000, 0)
		ask.RunMS = runMS
		ask.AvoidVMs = []string{"vm-02", "vm-03"}
		plan := cell.Plan([]wire.TaskAsk{ask}, localOptions, time.Second, nil)
		assert.Equal(t, runMS == 9000, len(plan.Assignments) == 1, "run time %d", runMS)
	}
	cell.Release("old0", 1)
	cell.Release("old1", 1)
	plan := cell.Plan(gang, localOptions, 12*time.Second, nil)
	require.Len(t, plan.Assignments, 2)
	cell.Commit(plan, localOptions, 12*time.Second)
	w, _ := cell.Worker("vm-00")
	assert.Empty(t, w.Hold.Owner)
}

// Guards against a late release of an old attempt that frees the capacity of a newer
// one, and against reported usage above the estimate that is not counted.
func TestReleaseAndResizeRespectGenerations(t *testing.T) {
	cell := fourRacks(1)
	cell.AddTask("vm-00", place.Task{ID: "t", Generation: 2, Resources: resource.Vector{MilliCores: 1000}})
	assert.False(t, cell.Release("t", 1))
	assert.True(t, cell.Resize("t", 2, resource.Vector{MilliCores: 5000}))
	w, _ := cell.Worker("vm-00")
	assert.Equal(t, int64(-1000), w.Free().MilliCores)
	assert.Empty(t, cell.Plan([]wire.TaskAsk{askFor("u", 1, 0)}, localOptions, 0, nil).Assignments)
	assert.Len(t, cell.Plan([]wire.TaskAsk{askFor("m", 0, 100)}, localOptions, 0, nil).Assignments, 1, "cores do not matter to it")
	assert.True(t, cell.Release("t", 2))
	require.NoError(t, place.CheckIndex(cell))
}

// Guards against a planning run that places more tasks of a job on a VM than its caller allows.
func TestRunLimitPerVMIsKept(t *testing.T) {
	o := localOptions
	o.MaxPerVM = map[string]int{"vm-00": 1, "vm-01": 2, "vm-02": 0}
	for name, gang := range map[string]string{"single tasks": "", "gang": "g"} {
		t.Run(name, func(t *testing.T) {
			cell := fourRacks(4)
			asks := gangOf(3, 1000)
			for i := range asks {
				asks[i].Gang, asks[i].AvoidVMs = gang, []string{"vm-03"}
			}
			perVM := map[string]int{}
			for _, a := range cell.Plan(asks, o, 0, nil).Assignments {
				perVM[a.VM]++
			}
			require.Equal(t, map[string]int{"vm-00": 1, "vm-01": 2}, perVM)
			require.Len(t, cell.Plan(asks, localOptions, 0, nil).Assignments, 3, "the limit ends with the run")
		})
	}
}

// Guards against preempting tasks for a request that the worker refuses for another reason than
// capacity: their work is lost, and the request is not placed.
func TestPreemptionSparesWorkersThatRefuseTheRequestAnyway(t *testing.T) {
	cases := map[string]func(cell *place.Cell, ask *wire.TaskAsk){
		"limit per worker": func(cell *place.Cell, ask *wire.TaskAsk) {
			ask.PerVM = 1
			cell.AddTask("vm-00", place.Task{ID: "same-job", Job: ask.Job, Generation: 1, Priority: 9})
		},
		"label":        func(_ *place.Cell, ask *wire.TaskAsk) { ask.Label = "gpu" },
		"named worker": func(_ *place.Cell, ask *wire.TaskAsk) { ask.Among = []string{"vm-01"} },
	}
	for name, prepare := range cases {
		t.Run(name, func(t *testing.T) {
			cell := fourRacks(1)
			cell.AddTask("vm-00", place.Task{ID: "victim", Job: "other", Generation: 1, Resources: resource.Vector{MilliCores: 4000}, Preemptible: true})
			ask := askFor("urgent", 1000, 0)
			ask.Priority, ask.CanPreempt = 5, true
			require.Len(t, cell.Plan([]wire.TaskAsk{ask}, localOptions, 0, nil).Preemptions, 1)
			prepare(cell, &ask)
			require.Empty(t, cell.Plan([]wire.TaskAsk{ask}, localOptions, 0, nil).Preemptions)
		})
	}
}

// Guards against preempting tasks for the second task of a job on a worker on which the same plan
// has placed the first, beyond the limit per worker.
func TestPreemptionCountsTasksOfTheSamePlan(t *testing.T) {
	cell := fourRacks(1)
	cell.AddTask("vm-00", place.Task{ID: "victim", Job: "other", Generation: 1, Resources: resource.Vector{MilliCores: 3000}, Preemptible: true})
	asks := []wire.TaskAsk{askFor("first", 1000, 0), askFor("second", 1000, 0)}
	for i := range asks {
		asks[i].Priority, asks[i].CanPreempt, asks[i].PerVM = 5, true, 1
	}
	plan := cell.Plan(asks, localOptions, 0, nil)
	require.Len(t, plan.Assignments, 1)
	require.Empty(t, plan.Preemptions)
}
