package place

import (
	"cmp"
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
	n := 0
	for ; n < len(ordered) && len(p.cell.usedRacks) < racks; n++ {
		if refused := p.gangTask(ordered[n], true); refused != nil {
			return refused
		}
	}
	if len(p.cell.usedRacks) < racks {
		return []wire.Refused{{Reason: string(StepSpread), Count: len(ordered)}}
	}
	rest := ordered[n:]
	if len(rest) > 1 && alike(rest) {
		return p.sweep(rest)
	}
	for _, ask := range rest {
		if refused := p.gangTask(ask, false); refused != nil {
			return refused
		}
	}
	return nil
}

// gangTask books room for one task of a gang.
func (p *planner) gangTask(ask *wire.TaskAsk, newRack bool) []wire.Refused {
	worker, refused := p.find(ask, newRack)
	if worker < 0 {
		return refused
	}
	p.useRack(worker)
	p.assign(ask, worker)
	return nil
}

// alike tells whether the tasks can be swapped for one another.
func alike(asks []*wire.TaskAsk) bool {
	first := asks[0]
	for _, a := range asks {
		if a.Resources != first.Resources || a.Pool != first.Pool || a.Priority != first.Priority ||
			a.RunMS != first.RunMS || a.SpreadRacks || a.PerVM > 0 || a.Label != first.Label || !slices.Equal(a.Among, first.Among) || !slices.Equal(a.AvoidVMs, first.AvoidVMs) {
			return false
		}
	}
	return true
}

// sweep books room for tasks that are alike in one pass over the index, instead
// of one search per task, and fills the workers with the lowest cost first.
func (p *planner) sweep(asks []*wire.TaskAsk) []wire.Refused {
	first := asks[0]
	pl := p.cell.pools[first.Pool]
	if pl == nil {
		return []wire.Refused{{Reason: string(StepPool), Count: p.cell.Len()}}
	}
	sum := first.Resources.Scale(int64(len(asks)))
	if headroomRefuses(first.Pool, first.Priority, pl.capacity, pl.committed, sum, p.options.Headroom) {
		return p.explain(pl, refusals{}, pl.open)
	}
	s := search{
		cell: p.cell, pool: pl, ask: first, options: p.options, now: p.now, limit: p.limit,
		claimed: p.claimed, need: int64(len(asks)), collected: p.cell.candidates[:0],
	}
	found := s.collect()
	p.cell.candidates = s.collected
	if !found {
		return p.explain(pl, s.refused, 0)
	}
	slices.SortFunc(s.collected, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.worker, b.worker))
	})
	for _, c := range s.collected {
		n := min(int64(len(asks)), c.tasks)
		p.fill(c.worker, asks[:n])
		asks = asks[n:]
		if len(asks) == 0 {
			break
		}
	}
	return nil
}

// fill books one worker for the tasks with one change of the index.
func (p *planner) fill(worker int32, asks []*wire.TaskAsk) {
	for _, ask := range asks {
		p.record(ask, worker)
	}
	p.cell.adjust(worker, asks[0].Resources.Scale(int64(len(asks))))
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
