package place_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"briarproxy/core/place"
	"briarproxy/core/place/naive"
	"briarproxy/core/resource"
	"briarproxy/core/wire"
)

func drawWorker(t *rapid.T, n int) place.Worker {
	dataCentre := rapid.IntRange(0, 2).Draw(t, "zone")
	pools := [][]string{{"a"}, {"b"}, {"a", "b"}}
	return place.Worker{
		VM:          fmt.Sprintf("vm-%02d", n),
		Region:      []string{"r0", "r0", "r1"}[dataCentre],
		DataCentre:  []string{"d0", "d1", "d2"}[dataCentre],
		Rack:        fmt.Sprintf("k%d", rapid.IntRange(0, 2).Draw(t, "rack")),
		Incarnation: rapid.Int64Range(1, 2).Draw(t, "incarnation"),
		Pools:       pools[rapid.IntRange(0, 2).Draw(t, "pools")],
		Capacity: resource.Vector{
			MilliCores:   rapid.Int64Range(0, 8000).Draw(t, "cores"),
			MemoryMiB:    rapid.Int64Range(0, 16384).Draw(t, "memory"),
			Accelerators: rapid.Int64Range(0, 2).Draw(t, "accelerators"),
			Slots:        8,
		},
	}
}

func drawAsk(t *rapid.T, id int, gang string) wire.TaskAsk {
	ask := wire.TaskAsk{
		TaskID: fmt.Sprintf("t%d", id), Job: fmt.Sprintf("j%d", id%3), Generation: 1, Gang: gang,
		Pool:     rapid.SampledFrom([]string{"a", "b"}).Draw(t, "pool"),
		Priority: rapid.IntRange(0, 3).Draw(t, "priority"),
		Resources: resource.Vector{
			MilliCores:   rapid.Int64Range(0, 4000).Draw(t, "cores"),
			MemoryMiB:    rapid.Int64Range(0, 8192).Draw(t, "memory"),
			Accelerators: max(0, rapid.Int64Range(-3, 2).Draw(t, "accelerators")),
		},
		RunMS:       rapid.Int64Range(0, 2000).Draw(t, "run"),
		SpreadRacks: rapid.Bool().Draw(t, "spread"),
		Preemptible: rapid.Bool().Draw(t, "preemptible"),
		CanPreempt:  rapid.Bool().Draw(t, "can preempt"),
	}
	if rapid.IntRange(0, 4).Draw(t, "avoid") == 0 {
		ask.AvoidVMs = []string{"vm-00", "vm-03"}
	}
	ask.PerVM = max(0, rapid.IntRange(-2, 2).Draw(t, "limit per worker"))
	return ask
}

func drawOptions(t *rapid.T) place.Options {
	o := place.Options{
		DataCentre: "d0", Region: "r0",
		Scope:               place.Scope(rapid.IntRange(0, 2).Draw(t, "reach")),
		ProtectAccelerators: rapid.Bool().Draw(t, "protect"),
		CandidateLimit:      rapid.IntRange(1, 4).Draw(t, "limit"),
	}
	if rapid.Bool().Draw(t, "headroom") {
		o.Headroom = []place.Headroom{{Pool: "a", BelowPriority: 2, Share: 0.3}}
	}
	return o
}

// cellModel runs random operations on a cell and tracks the tasks, slots and plans
// that the cell's user would know.
type cellModel struct {
	cell       *place.Cell
	now        time.Duration
	next       int
	live       map[string]wire.TaskAsk
	slots      []place.Slot
	stalePlans []place.Plan
}

func (m *cellModel) asks(t *rapid.T) []wire.TaskAsk {
	gang := ""
	if rapid.Bool().Draw(t, "is gang") {
		gang = fmt.Sprintf("g%d", m.next)
	}
	asks := make([]wire.TaskAsk, rapid.IntRange(1, 5).Draw(t, "asks"))
	for i := range asks {
		asks[i] = drawAsk(t, m.next, gang)
		m.next++
	}
	return asks
}

func (m *cellModel) commit(t *rapid.T, plan place.Plan, o place.Options) {
	refusals := m.cell.Verify(plan, o, m.now)
	accepted, refused := m.cell.Commit(plan, o, m.now)
	require.Equal(t, refusals, refused, "Verify and Commit must agree")
	require.Len(t, plan.Assignments, len(accepted)+len(refused))
	gangs := map[string]bool{}
	for _, a := range accepted {
		m.live[a.Ask.TaskID] = *a.Ask
		gangs[a.Ask.Gang] = true
	}
	for _, r := range refused {
		for _, a := range plan.Assignments {
			require.False(t, a.Ask.TaskID == r.TaskID && a.Ask.Gang != "" && gangs[a.Ask.Gang], "gang %s is partial", a.Ask.Gang)
		}
	}
}

func (m *cellModel) randomOperation(t *rapid.T) {
	vm := fmt.Sprintf("vm-%02d", rapid.IntRange(0, 9).Draw(t, "vm"))
	o := drawOptions(t)
	m.now += time.Duration(rapid.IntRange(0, 500).Draw(t, "pass ms")) * time.Millisecond
	switch rapid.IntRange(0, 11).Draw(t, "operation") {
	case 0:
		w := drawWorker(t, rapid.IntRange(0, 9).Draw(t, "new"))
		if old, known := m.cell.Worker(w.VM); known && old.Incarnation == w.Incarnation {
			w.Capacity = w.Capacity.Max(old.Committed)
		}
		m.cell.UpdateWorker(w)
	case 1:
		m.cell.SetLive(vm, rapid.IntRange(0, 3).Draw(t, "usable") > 0)
	case 2:
		m.cell.SetQuarantined(vm, rapid.Bool().Draw(t, "quarantined"))
	case 3:
		if rapid.IntRange(0, 3).Draw(t, "leaving") == 0 {
			m.cell.SetDraining(vm)
		}
	case 4:
		for _, id := range sortedKeys(m.live) {
			if rapid.Bool().Draw(t, "release") {
				m.cell.Release(id, 1)
				delete(m.live, id)
			}
		}
	case 5:
		if slot, ok := m.cell.PickSlot("a", &o, m.slots); ok {
			require.True(t, m.cell.TakeSlots(slot, 1))
			m.slots = append(m.slots, slot)
		}
	case 6:
		if len(m.slots) > 0 {
			m.cell.ReturnSlots(m.slots[0], 1)
			m.slots = m.slots[1:]
		}
	case 7:
		asks := m.asks(t)
		if hold, ok := m.cell.PlanHold(asks, o, 0.8, m.now, time.Second); ok {
			m.cell.ApplyHold(hold, m.now)
		}
	case 8:
		if len(m.stalePlans) > 0 {
			m.commit(t, m.stalePlans[0], o)
			m.stalePlans = m.stalePlans[1:]
		}
	default:
		before := m.cell.Workers()
		plan := m.cell.Plan(m.asks(t), o, m.now, rand.New(rand.NewPCG(1, 2)))
		require.Equal(t, before, m.cell.Workers(), "planning changed the cell")
		if rapid.Bool().Draw(t, "keep for later") {
			m.stalePlans = append(m.stalePlans, plan)
			return
		}
		require.Empty(t, m.cell.Verify(plan, o, m.now), "a plan for the current state is refused")
		m.commit(t, plan, o)
		m.carryOutPreemptions(t, plan, o)
	}
}

// carryOutPreemptions preempts the plan's victims and checks that the preempting
// tasks are then accepted.
func (m *cellModel) carryOutPreemptions(t *rapid.T, plan place.Plan, o place.Options) {
	for _, p := range plan.Preemptions {
		for _, v := range p.Victims {
			require.Less(t, m.live[v.TaskID].Priority, p.Ask.Priority)
			if v.Action == place.ActionThrottle {
				require.True(t, m.cell.Throttle(v.TaskID, v.Generation, v.Percent))
				continue
			}
			require.True(t, m.cell.Release(v.TaskID, v.Generation))
			delete(m.live, v.TaskID)
		}
		w, _ := m.cell.Worker(p.VM)
		require.True(t, p.Ask.Resources.Fits(w.Free().Max(resource.Vector{})), "%v into %v", p.Ask.Resources, w.Free())
		require.Equal(t, place.ReasonNone, place.Check(&w, p.Ask, &o, m.now))
	}
}

func sortedKeys(m map[string]wire.TaskAsk) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func newModel(t *rapid.T) *cellModel {
	m := &cellModel{cell: place.NewCell(), live: map[string]wire.TaskAsk{}}
	for n := range rapid.IntRange(1, 10).Draw(t, "workers") {
		w := drawWorker(t, n)
		m.cell.UpdateWorker(w)
		m.cell.SetLive(w.VM, rapid.IntRange(0, 4).Draw(t, "usable") > 0)
	}
	return m
}

// Guards against overcommitted workers, partially placed gangs, plans that change
// the cell, and an index that differs from the state. The random operations include
// commits of outdated plans.
func TestAnySequenceKeepsCapacityGangsAndIndex(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			m.randomOperation(t)
			checkCapacity(t, m)
			require.NoError(t, place.CheckIndex(m.cell))
		}
	})
}

// checkCapacity compares each worker's committed resources with the sum of its tasks
// and slots. Every task in the cell must have been reported as accepted.
func checkCapacity(t *rapid.T, m *cellModel) {
	for _, w := range m.cell.Workers() {
		sum := resource.Vector{Slots: w.Slots}
		for _, task := range w.Tasks {
			sum = sum.Add(task.Resources)
			require.Contains(t, m.live, task.ID)
		}
		require.Equal(t, sum, w.Committed, w.VM)
		require.True(t, sum.Fits(w.Capacity), "%s holds %v of %v", w.VM, sum, w.Capacity)
	}
}

// Guards against an index that misses a worker that the full scan finds, and against
// a choice that does not pass Check. The indexed choice may cost more only in the
// terms after the accelerator term, because it scores a bounded number of candidates.
func TestIndexPlacesWhatTheFullScanPlaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(0, 25).Draw(t, "steps") {
			m.randomOperation(t)
		}
		o := drawOptions(t)
		o.NoPreemption = true
		for range 4 {
			ask := drawAsk(t, m.next, "")
			m.next++
			fullScan := naive.Cell{Workers: m.cell.Workers()}
			want := fullScan.Place(&ask, &o, m.now, nil)
			plan := m.cell.Plan([]wire.TaskAsk{ask}, o, m.now, nil)
			require.Equal(t, want >= 0, len(plan.Assignments) == 1, "ask %+v", ask)
			if want < 0 {
				continue
			}
			got, _ := m.cell.Worker(plan.Assignments[0].VM)
			require.Equal(t, place.ReasonNone, place.Check(&got, &ask, &o, m.now))
			tier := func(w *place.WorkerState) int { return int(place.Cost(w, &ask, &o, 0)) / 100 }
			require.Equal(t, tier(&fullScan.Workers[want]), tier(&got), "distance or accelerator term")
			m.commit(t, plan, o)
		}
	})
}

// Guards against a hold that keeps too few workers for its gang, so that the gang does not
// fit on them even when their tasks have ended.
func TestGangFitsOnHeldWorkersWhenTheirTasksHaveEnded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(0, 25).Draw(t, "steps") {
			m.randomOperation(t)
		}
		o := place.Options{DataCentre: "d0", Region: "r0", NoPreemption: true}
		ask := drawAsk(t, m.next, "held")
		asks := make([]wire.TaskAsk, rapid.IntRange(1, 8).Draw(t, "tasks"))
		for i := range asks {
			asks[i] = ask
			asks[i].TaskID = fmt.Sprintf("held-%d", i)
		}
		hold, ok := m.cell.PlanHold(asks, o, 1, m.now, time.Minute)
		if !ok {
			return
		}
		require.Equal(t, len(hold.VMs), m.cell.ApplyHold(hold, m.now))
		for _, vm := range hold.VMs {
			w, _ := m.cell.Worker(vm)
			for _, task := range w.Tasks {
				m.cell.Release(task.ID, task.Generation)
			}
		}
		for i := range asks {
			asks[i].Among = hold.VMs
		}
		require.Len(t, m.cell.Plan(asks, o, hold.Start, nil).Assignments, len(asks))
	})
}

// Guards against refusing a gang of equal tasks that the full scan places one task
// at a time.
func TestGangOfEqualTasksIsPlacedWhenTheFullScanPlacesIt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(0, 15).Draw(t, "steps") {
			m.randomOperation(t)
		}
		o := drawOptions(t)
		// Whether accelerators are stranded depends on the order in which workers are filled.
		o.ProtectAccelerators = false
		ask := drawAsk(t, m.next, "gang")
		ask.Resources = resource.Vector{MilliCores: rapid.Int64Range(500, 1500).Draw(t, "gang cores"), Accelerators: ask.Resources.Accelerators / 2}
		asks := make([]wire.TaskAsk, rapid.IntRange(2, 12).Draw(t, "tasks"))
		for i := range asks {
			asks[i] = ask
			asks[i].TaskID = fmt.Sprintf("gang-%d", i)
		}
		fullScan := naive.Cell{Workers: m.cell.Workers()}
		want := fullScan.PlaceGang(asks, &o, m.now)
		plan := m.cell.Plan(asks, o, m.now, nil)
		require.Equal(t, want != nil, len(plan.Assignments) == len(asks))
		require.True(t, len(plan.Assignments) == 0 || len(plan.Assignments) == len(asks))
	})
}
