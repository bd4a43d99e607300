package place

import (
	"slices"

	"briarproxy/core/resource"
	"briarproxy/core/wire"
)

// gang plans all tasks of one gang or none. For tasks of equal size it finds
// room whenever there is room: a task in a new rack and a task in a used one take
// the same share of what a worker can hold. Tasks of unequal size are planned
// largest first, which can miss a packing that exists.
func (p *planner) gang(members []*wire.TaskAsk) {
	if slices.ContainsFunc(members, p.neverFits) {
		return
	}
	firstBooking, firstAssignment := len(p.booked), len(p.plan.Assignments)
	ordered := largestFirst(members)
	refused := p.gangTasks(ordered)
	p.clearRacks()
	if refused == nil {
		return
	}
	p.undo(firstBooking)
	p.plan.Assignments = p.plan.Assignments[:firstAssignment]
	refused = append(refused, wire.Refused{Reason: string(StepGang), Count: len(members)})
	for _, ask := range members {
		p.plan.Unplaced = append(p.plan.Unplaced, Unplaced{TaskID: ask.TaskID, Gang: ask.Gang, Refused: refused})
	}
}

// largestFirst sorts a copy by size, and leaves gangs of equal tasks as they are.
func largestFirst(members []*wire.TaskAsk) []*wire.TaskAsk {
	first := members[0].Resources
	if !slices.ContainsFunc(members, func(a *wire.TaskAsk) bool { return a.Resources != first }) {
		return members
	}
	ordered := slices.Clone(members)
	slices.SortStableFunc(ordered, func(a, b *wire.TaskAsk) int { return compareSize(b.Resources, a.Resources) })
	return ordered
}

func compareSize(a, b resource.Vector) int {
	if a.Accelerators != b.Accelerators {
		return int(a.Accelerators - b.Accelerators)
	}
	// 4096 MiB per core is the usual proportion of general-purpose VMs.
	return int((a.MilliCores*4096/1000 + a.MemoryMiB) - (b.MilliCores*4096/1000 + b.MemoryMiB))
}

// gangTasks books room for the tasks. It returns the reasons when one of them
// finds none.
func (p *planner) gangTasks(ordered []*wire.TaskAsk) []wire.Refused {
	racks := p.minRacks(ordered[0].Gang)
	for n := 0; n < len(ordered); {
		newRack := len(p.cell.usedRacks) < racks
		worker, refused := p.find(ordered[n], newRack)
		if worker < 0 {
			return refused
		}
		p.useRack(worker)
		if newRack {
			p.assign(ordered[n], worker)
			n++
			continue
		}
		n += p.fill(worker, ordered[n:])
	}
	if len(p.cell.usedRacks) < racks {
		return []wire.Refused{{Reason: string(StepSpread), Count: len(ordered)}}
	}
	return nil
}

func (p *planner) minRacks(gang string) int {
	for _, rule := range p.options.Gangs {
		if rule.Gang == gang {
			return rule.MinRacks
		}
	}
	return 0
}

func (p *planner) useRack(worker int32) {
	rack := p.cell.racks[worker]
	if p.cell.inRack[rack] {
		return
	}
	p.cell.inRack[rack] = true
	p.cell.usedRacks = append(p.cell.usedRacks, rack)
}

func (p *planner) clearRacks() {
	for _, rack := range p.cell.usedRacks {
		p.cell.inRack[rack] = false
	}
	p.cell.usedRacks = p.cell.usedRacks[:0]
}

// fill puts the first request, and those after it that are alike, on the worker
// as long as it has room, with one change of the index. It returns their number,
// at least 1.
func (p *planner) fill(worker int32, asks []*wire.TaskAsk) int {
	first := asks[0]
	sum, n := resource.Vector{}, 0
	for _, ask := range asks {
		if n > 0 && !p.canFollow(worker, first, ask, sum) {
			break
		}
		p.record(ask, worker)
		sum = sum.Add(ask.Resources)
		n++
	}
	p.cell.adjust(worker, sum)
	return n
}

// canFollow tells whether the next request can be put on the same worker without
// a search: it is like the first one and still passes the filter steps.
func (p *planner) canFollow(worker int32, first, next *wire.TaskAsk, sum resource.Vector) bool {
	if next.Resources != first.Resources || next.SpreadRacks || next.Pool != first.Pool || next.RunMS != first.RunMS {
		return false
	}
	w := &p.cell.states[worker]
	free := w.Free().Sub(sum)
	if fitsRefuses(free, next.Resources) || avoidRefuses(w.VM, next.AvoidVMs) {
		return false
	}
	if p.options.ProtectAccelerators && acceleratorRefuses(w.Capacity, free, next.Resources) {
		return false
	}
	pl := p.cell.pools[next.Pool]
	return !headroomRefuses(pl.name, next.Priority, pl.capacity, pl.committed.Add(sum), next.Resources, p.options.Headroom)
}
