package place

import (
	"cmp"
	"slices"

	"briarproxy/core/resource"
	"briarproxy/core/wire"
)

// planGang plans all tasks of a gang or none. For tasks of equal size it finds a
// placement whenever one exists: the tasks that are booked first, to reach the
// minimum number of racks, take no larger share of a worker than the others. Tasks
// of unequal size are planned largest first, which can miss a packing that exists.
func (p *planner) planGang(members []*wire.TaskAsk) {
	if slices.ContainsFunc(members, p.neverFits) {
		return
	}
	firstBooking, firstAssignment := len(p.bookings), len(p.plan.Assignments)
	ordered := largestFirst(members)
	refused := p.bookGang(ordered)
	p.clearUsedRacks()
	if refused == nil {
		return
	}
	p.undoBookings(firstBooking)
	p.plan.Assignments = p.plan.Assignments[:firstAssignment]
	refused = append(refused, wire.Refused{Reason: string(ReasonGangDoesNotFit), Count: len(members)})
	for _, ask := range members {
		p.plan.Unplaced = append(p.plan.Unplaced, Unplaced{TaskID: ask.TaskID, Gang: ask.Gang, Refused: refused})
	}
}

// largestFirst returns a copy sorted by descending size, or members itself if all
// tasks have the same size.
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
	// 4096 MiB per core is the usual ratio of general-purpose VMs.
	return int((a.MilliCores*4096/1000 + a.MemoryMiB) - (b.MilliCores*4096/1000 + b.MemoryMiB))
}

// bookGang books capacity for all tasks, first in new racks until the gang uses its
// minimum number. It returns the refusals of the first task that fits nowhere.
func (p *planner) bookGang(ordered []*wire.TaskAsk) []wire.Refused {
	racks := p.minRacks(ordered[0].Gang)
	n := 0
	for ; n < len(ordered) && len(p.cell.usedRacks) < racks; n++ {
		if refused := p.bookGangTask(ordered[n], true); refused != nil {
			return refused
		}
	}
	if len(p.cell.usedRacks) < racks {
		return []wire.Refused{{Reason: string(ReasonRackUsed), Count: len(ordered)}}
	}
	rest := ordered[n:]
	if len(rest) > 1 && interchangeable(rest) {
		return p.bookEqualTasks(rest)
	}
	for _, ask := range rest {
		if refused := p.bookGangTask(ask, false); refused != nil {
			return refused
		}
	}
	return nil
}

// bookGangTask books capacity for one task of a gang, in a rack that the gang does
// not use yet if newRack is set.
func (p *planner) bookGangTask(ask *wire.TaskAsk, newRack bool) []wire.Refused {
	worker, refused := p.findWorker(ask, newRack)
	if worker < 0 {
		return refused
	}
	p.markRackUsed(worker)
	p.book(ask, worker)
	return nil
}

// interchangeable reports whether the tasks can be placed in any order with the
// same result. Tasks that are spread over racks are not, because the cost of one
// depends on where the others are.
func interchangeable(asks []*wire.TaskAsk) bool {
	first := asks[0]
	for _, a := range asks {
		if a.Resources != first.Resources || a.Pool != first.Pool || a.Priority != first.Priority ||
			a.RunMS != first.RunMS || a.SpeedWeight != first.SpeedWeight || a.SpreadRacks || a.PerVM != first.PerVM || a.Job != first.Job || a.Label != first.Label || !slices.Equal(a.Among, first.Among) || !slices.Equal(a.AvoidVMs, first.AvoidVMs) {
			return false
		}
	}
	return true
}

// bookEqualTasks books capacity for interchangeable tasks in one pass over the
// index instead of one search per task. It fills the workers with the lowest cost
// first.
func (p *planner) bookEqualTasks(asks []*wire.TaskAsk) []wire.Refused {
	first := asks[0]
	pool := p.cell.pools[first.Pool]
	if pool == nil {
		return []wire.Refused{{Reason: string(ReasonNotInPool), Count: p.cell.Len()}}
	}
	sum := first.Resources.Scale(int64(len(asks)))
	if exceedsHeadroom(first.Pool, first.Priority, pool.capacity, pool.committed, sum, p.options.Headroom) {
		return p.countRefusals(pool, refusals{}, pool.schedulable)
	}
	s := search{
		cell: p.cell, pool: pool, ask: first, options: p.options, now: p.now, candidateLimit: p.candidateLimit,
		preemptionWorkers: p.preemptionWorkers, booked: p.booked, tasksToPlace: int64(len(asks)), collected: p.cell.candidates[:0],
	}
	found := s.collect()
	p.cell.candidates = s.collected
	if !found {
		return p.countRefusals(pool, s.refused, 0)
	}
	slices.SortFunc(s.collected, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.worker, b.worker))
	})
	for _, c := range s.collected {
		n := min(int64(len(asks)), c.tasks)
		p.bookOnWorker(c.worker, asks[:n])
		asks = asks[n:]
		if len(asks) == 0 {
			break
		}
	}
	return nil
}

// bookOnWorker books one worker for all the tasks, with a single index update.
func (p *planner) bookOnWorker(worker int32, asks []*wire.TaskAsk) {
	for _, ask := range asks {
		p.addAssignment(ask, worker)
	}
	p.cell.adjustCommitted(worker, asks[0].Resources.Scale(int64(len(asks))))
}

func (p *planner) minRacks(gang string) int {
	for _, rule := range p.options.Gangs {
		if rule.Gang == gang {
			return rule.MinRacks
		}
	}
	return 0
}

func (p *planner) markRackUsed(worker int32) {
	rack := p.cell.rackOfWorker[worker]
	if p.cell.rackUsed[rack] {
		return
	}
	p.cell.rackUsed[rack] = true
	p.cell.usedRacks = append(p.cell.usedRacks, rack)
}

func (p *planner) clearUsedRacks() {
	for _, rack := range p.cell.usedRacks {
		p.cell.rackUsed[rack] = false
	}
	p.cell.usedRacks = p.cell.usedRacks[:0]
}
