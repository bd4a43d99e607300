package place

import (
	"math/rand/v2"
	"time"

	"briarproxy/core/resource"
	"briarproxy/core/wire"
)

// planner is the state of one planning run. It books capacity in the cell while it
// plans, so that later requests see earlier ones, and undoes all bookings at the end.
type planner struct {
	cell               *Cell
	options            *Options
	now                time.Duration
	rng                *rand.Rand
	candidateLimit     int
	plan               Plan
	bookings           []booking
	booked             bookingCounts
	preemptionWorkers  map[int32]bool // workers on which this run preempts tasks
	lastFitting        *wire.TaskAsk  // last request found to fit some empty worker
	lowerPriorityTasks []*Task        // scratch: result of preemptibleBelow
}

// booking is capacity that a planning run has booked for one request.
type booking struct {
	worker int32
	size   resource.Vector
	ask    *wire.TaskAsk
}

// Plan chooses workers for the requests, in their order. The tasks of a gang are
// planned together, all or none, when its first task is reached. The cell is the
// same afterwards. The random source chooses the worker at which the search for
// preemption victims begins; it may be nil.
func (c *Cell) Plan(asks []wire.TaskAsk, o Options, now time.Duration, rng *rand.Rand) Plan {
	p := &planner{cell: c, options: &o, now: now, rng: rng, candidateLimit: o.CandidateLimit}
	if p.candidateLimit <= 0 {
		p.candidateLimit = DefaultCandidateLimit
	}
	p.plan.PlannedAt = now
	p.plan.Assignments = make([]Assignment, 0, len(asks))
	p.bookings = c.bookings[:0]
	p.booked = newBookingCounts(asks, &o)
	p.planAll(asks)
	p.undoBookings(0)
	c.bookings = p.bookings
	return p.plan
}

func (p *planner) planAll(asks []wire.TaskAsk) {
	gangs := groupByGang(asks)
	for i := range asks {
		ask := &asks[i]
		if ask.Gang == "" {
			p.planSingle(ask)
			continue
		}
		if members := gangs[ask.Gang]; members[0] == ask {
			p.planGang(members)
		}
	}
}

// groupByGang groups the requests that belong to a gang. It returns nil if there
// are none.
func groupByGang(asks []wire.TaskAsk) map[string][]*wire.TaskAsk {
	var gangs map[string][]*wire.TaskAsk
	for i := range asks {
		if asks[i].Gang == "" {
			continue
		}
		if gangs == nil {
			gangs = map[string][]*wire.TaskAsk{}
		}
		members := gangs[asks[i].Gang]
		if members == nil {
			members = make([]*wire.TaskAsk, 0, len(asks)-i)
		}
		gangs[asks[i].Gang] = append(members, &asks[i])
	}
	return gangs
}

func (p *planner) planSingle(ask *wire.TaskAsk) {
	if p.neverFits(ask) {
		return
	}
	worker, refused := p.findWorker(ask, false)
	if worker >= 0 {
		p.book(ask, worker)
		return
	}
	if ask.CanPreempt && !p.options.NoPreemption && !p.cell.hasHold(ask.TaskID, p.now) && p.preempt(ask) {
		return
	}
	p.plan.Unplaced = append(p.plan.Unplaced, Unplaced{TaskID: ask.TaskID, Refused: refused})
}

// neverFits reports whether the request exceeds the capacity of every worker of the
// pool, and records such a request in the plan.
func (p *planner) neverFits(ask *wire.TaskAsk) bool {
	pool := p.cell.pools[ask.Pool]
	if pool == nil || pool.members == 0 {
		return false
	}
	if f := p.lastFitting; f != nil && f.Pool == ask.Pool && f.Resources == ask.Resources {
		return false
	}
	for capacity := range pool.capacityCounts {
		if ask.Resources.Fits(capacity) {
			p.lastFitting = ask
			return false
		}
	}
	p.plan.NeverFits = append(p.plan.NeverFits, ask.TaskID)
	return true
}

// findWorker returns the worker for one request, or -1 and the refusal counts.
func (p *planner) findWorker(ask *wire.TaskAsk, newRacks bool) (int32, []wire.Refused) {
	pool := p.cell.pools[ask.Pool]
	if pool == nil {
		return -1, []wire.Refused{{Reason: string(ReasonNotInPool), Count: p.cell.Len()}}
	}
	if exceedsHeadroom(ask.Pool, ask.Priority, pool.capacity, pool.committed, ask.Resources, p.options.Headroom) {
		return -1, p.countRefusals(pool, refusals{}, pool.schedulable)
	}
	key := failedShapeOf(ask, p.options)
	if at, ok := p.cell.failedShapes[key]; ok && at == pool.capacityVersion && !restrictsWorkers(ask) {
		return -1, p.countRefusals(pool, refusals{}, 0)
	}
	s := search{
		cell: p.cell, pool: pool, ask: ask, options: p.options, now: p.now,
		preemptionWorkers: p.preemptionWorkers, booked: p.booked, newRacks: newRacks, candidateLimit: p.candidateLimit,
	}
	worker := s.run()
	if worker >= 0 {
		return worker, nil
	}
	if s.refused.none() && len(p.bookings) == 0 && !restrictsWorkers(ask) && p.options.MaxPerVM == nil {
		p.rememberFailedShape(key, pool.capacityVersion)
	}
	return -1, p.countRefusals(pool, s.refused, 0)
}

// rememberFailedShape records that the shape fits no worker at this capacity
// version. The caller must not record it while the run has bookings, because the
// shape may fit once these are undone.
func (p *planner) rememberFailedShape(key failedShape, capacityVersion int64) {
	if len(p.cell.failedShapes) >= maxFailedShapes {
		clear(p.cell.failedShapes)
	}
	p.cell.failedShapes[key] = capacityVersion
}

// countRefusals returns the number of refused workers per reason. Workers in
// buckets that were not searched count as lacking capacity, and so do workers that
// were refused for their label or the limit per VM.
func (p *planner) countRefusals(pool *poolIndex, r refusals, headroom int) []wire.Refused {
	outOfScope := 0
	if p.options.Scope != ScopeAnywhere {
		outOfScope = pool.schedulable - p.schedulableInScope(pool)
	}
	lackingCapacity := pool.schedulable - outOfScope - headroom - r.avoided - r.held - r.strandsAccelerators - r.rackUsed
	rows := []wire.Refused{
		{Reason: string(ReasonNotInPool), Count: p.cell.Len() - pool.members},
		{Reason: string(ReasonNotSchedulable), Count: pool.members - pool.schedulable},
		{Reason: string(ReasonOutOfScope), Count: outOfScope},
		{Reason: string(ReasonHeadroom), Count: headroom},
		{Reason: string(ReasonLacksCapacity), Count: max(lackingCapacity, 0)},
		{Reason: string(ReasonAvoided), Count: r.avoided},
		{Reason: string(ReasonHeld), Count: r.held},
		{Reason: string(ReasonStrandsAccelerators), Count: r.strandsAccelerators},
		{Reason: string(ReasonRackUsed), Count: r.rackUsed},
	}
	kept := rows[:0]
	for _, row := range rows {
		if row.Count > 0 {
			kept = append(kept, row)
		}
	}
	return kept
}

func (p *planner) schedulableInScope(pool *poolIndex) int {
	workers := 0
	for _, dc := range pool.dataCentres {
		if distance(dc.region, dc.dataCentre, p.options) <= maxDistance(p.options.Scope) {
			workers += dc.schedulable
		}
	}
	return workers
}

// book assigns the request to the worker and books its resources.
func (p *planner) book(ask *wire.TaskAsk, worker int32) {
	p.addAssignment(ask, worker)
	p.cell.adjustCommitted(worker, ask.Resources)
}

// addAssignment adds the assignment to the plan. The caller adjusts the worker's
// committed resources.
func (p *planner) addAssignment(ask *wire.TaskAsk, worker int32) {
	w := &p.cell.states[worker]
	p.plan.Assignments = append(p.plan.Assignments, Assignment{
		Ask: ask, VM: w.VM, Rack: w.Rack, Incarnation: w.Incarnation, worker: worker,
	})
	p.bookings = append(p.bookings, booking{worker: worker, size: ask.Resources, ask: ask})
	p.booked.add(ask.Job, worker, 1)
	if ask.SpreadRacks {
		p.cell.addSpreadCount(ask.Job, p.cell.rackOfWorker[worker], 1)
	}
}

// undoBookings undoes the bookings from position first on. Consecutive bookings on
// the same worker are undone with one index update.
func (p *planner) undoBookings(first int) {
	for n := len(p.bookings) - 1; n >= first; {
		worker, sum := p.bookings[n].worker, resource.Vector{}
		for ; n >= first && p.bookings[n].worker == worker; n-- {
			ask := p.bookings[n].ask
			sum = sum.Add(p.bookings[n].size)
			p.booked.add(ask.Job, worker, -1)
			if ask.SpreadRacks {
				p.cell.addSpreadCount(ask.Job, p.cell.rackOfWorker[worker], -1)
			}
		}
		p.cell.restoreCommitted(worker, resource.Vector{}.Sub(sum))
	}
	p.bookings = p.bookings[:first]
}
