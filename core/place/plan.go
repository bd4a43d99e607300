package place

import (
	"math/rand/v2"
	"time"

	"briarproxy/core/resource"
	"briarproxy/core/wire"
)

// planner is one planning run. It books room in the cell while it plans, so that
// later requests see earlier ones, and takes all of it back at the end.
type planner struct {
	cell    *Cell
	options *Options
	now     time.Duration
	rng     *rand.Rand
	limit   int
	plan    Plan
	booked  []booking
	claimed map[int32]bool // workers chosen for preemption in this run
	fitting *wire.TaskAsk  // the last request that fits some empty worker
	lower   []*Task        // scratch: tasks of a lower priority
}

// booking is room that a planning run took for one request.
type booking struct {
	worker int32
	size   resource.Vector
	ask    *wire.TaskAsk
}

// Plan chooses workers for the requests, in their order. The tasks of one gang
// are planned together at the place of its first task, all or none. The cell is
// the same afterwards. The random source chooses where the search for preemption
// victims begins; it may be nil.
func (c *Cell) Plan(asks []wire.TaskAsk, o Options, now time.Duration, rng *rand.Rand) Plan {
	p := &planner{cell: c, options: &o, now: now, rng: rng, limit: o.CandidateLimit}
	if p.limit <= 0 {
		p.limit = DefaultCandidateLimit
	}
	p.plan.At = now
	p.plan.Assignments = make([]Assignment, 0, len(asks))
	p.booked = c.booked[:0]
	p.all(asks)
	p.undo(0)
	c.booked = p.booked
	return p.plan
}

func (p *planner) all(asks []wire.TaskAsk) {
	gangs := gangsOf(asks)
	for i := range asks {
		ask := &asks[i]
		if ask.Gang == "" {
			p.single(ask)
			continue
		}
		if members := gangs[ask.Gang]; members[0] == ask {
			p.gang(members)
		}
	}
}

// gangsOf groups the requests by gang. It returns nil if there is no gang.
func gangsOf(asks []wire.TaskAsk) map[string][]*wire.TaskAsk {
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

func (p *planner) single(ask *wire.TaskAsk) {
	if p.neverFits(ask) {
		return
	}
	worker, refused := p.find(ask, false)
	if worker >= 0 {
		p.assign(ask, worker)
		return
	}
	if ask.CanPreempt && !p.options.NoPreemption && !p.cell.holdsFor(ask.TaskID, p.now) && p.preempt(ask) {
		return
	}
	p.plan.Unplaced = append(p.plan.Unplaced, Unplaced{TaskID: ask.TaskID, Refused: refused})
}

// neverFits records a request that no worker of the pool could hold when empty.
func (p *planner) neverFits(ask *wire.TaskAsk) bool {
	pl := p.cell.pools[ask.Pool]
	if pl == nil || pl.members == 0 {
		return false
	}
	if f := p.fitting; f != nil && f.Pool == ask.Pool && f.Resources == ask.Resources {
		return false
	}
	for capacity := range pl.shapes {
		if ask.Resources.Fits(capacity) {
			p.fitting = ask
			return false
		}
	}
	p.plan.NeverFits = append(p.plan.NeverFits, ask.TaskID)
	return true
}

// find returns the worker for one request, or -1 and the reasons.
func (p *planner) find(ask *wire.TaskAsk, newRacks bool) (int32, []wire.Refused) {
	pl := p.cell.pools[ask.Pool]
	if pl == nil {
		return -1, []wire.Refused{{Reason: string(StepPool), Count: p.cell.Len()}}
	}
	if headroomRefuses(ask.Pool, ask.Priority, pl.capacity, pl.committed, ask.Resources, p.options.Headroom) {
		return -1, p.explain(pl, refusals{}, pl.open)
	}
	key := failedShapeOf(ask, p.options)
	if at, ok := p.cell.failed[key]; ok && at == pl.growth && !narrow(ask) {
		return -1, p.explain(pl, refusals{}, 0)
	}
	s := search{
		cell: p.cell, pool: pl, ask: ask, options: p.options, now: p.now,
		claimed: p.claimed, newRacks: newRacks, limit: p.limit,
	}
	worker := s.run()
	if worker >= 0 {
		return worker, nil
	}
	if s.refused.only() && len(p.booked) == 0 && !narrow(ask) {
		p.remember(key, pl.growth)
	}
	return -1, p.explain(pl, s.refused, 0)
}

// remember notes that the shape fits nowhere. Room that this run has booked would
// make the note wrong after the run, so the caller notes nothing then.
func (p *planner) remember(key failedShape, growth int64) {
	if len(p.cell.failed) >= maxFailedShapes {
		clear(p.cell.failed)
	}
	p.cell.failed[key] = growth
}

// explain counts the refused workers per filter step. Workers in buckets that
// were not searched do not fit.
func (p *planner) explain(pl *pool, r refusals, headroom int) []wire.Refused {
	reach := 0
	if p.options.Reach != ReachAnywhere {
		reach = pl.open - p.openInReach(pl)
	}
	fits := pl.open - reach - headroom - r.avoid - r.held - r.accelerator - r.spread
	rows := []wire.Refused{
		{Reason: string(StepPool), Count: p.cell.Len() - pl.members},
		{Reason: string(StepUsable), Count: pl.members - pl.open},
		{Reason: string(StepReach), Count: reach},
		{Reason: string(StepHeadroom), Count: headroom},
		{Reason: string(StepFits), Count: max(fits, 0)},
		{Reason: string(StepAvoid), Count: r.avoid},
		{Reason: string(StepHeld), Count: r.held},
		{Reason: string(StepAccelerator), Count: r.accelerator},
		{Reason: string(StepSpread), Count: r.spread},
	}
	kept := rows[:0]
	for _, row := range rows {
		if row.Count > 0 {
			kept = append(kept, row)
		}
	}
	return kept
}

func (p *planner) openInReach(pl *pool) int {
	n := 0
	for _, z := range pl.zones {
		if distance(z.region, z.dataCentre, p.options) <= maxDistance(p.options.Reach) {
			n += z.open
		}
	}
	return n
}

// assign books the worker for the request.
func (p *planner) assign(ask *wire.TaskAsk, worker int32) {
	p.record(ask, worker)
	p.cell.adjust(worker, ask.Resources)
}

// record notes the assignment without booking the resources.
func (p *planner) record(ask *wire.TaskAsk, worker int32) {
	w := &p.cell.states[worker]
	p.plan.Assignments = append(p.plan.Assignments, Assignment{
		Ask: ask, VM: w.VM, Rack: w.Rack, Incarnation: w.Incarnation, worker: worker,
	})
	p.booked = append(p.booked, booking{worker: worker, size: ask.Resources, ask: ask})
	if ask.SpreadRacks {
		p.cell.countSpread(ask.Job, p.cell.racks[worker], 1)
	}
}

// undo takes back the bookings from position first on. Runs of bookings on the
// same worker are taken back in one step.
func (p *planner) undo(first int) {
	for n := len(p.booked) - 1; n >= first; {
		worker, sum := p.booked[n].worker, resource.Vector{}
		for ; n >= first && p.booked[n].worker == worker; n-- {
			sum = sum.Add(p.booked[n].size)
			if ask := p.booked[n].ask; ask.SpreadRacks {
				p.cell.countSpread(ask.Job, p.cell.racks[worker], -1)
			}
		}
		p.cell.adjustQuietly(worker, resource.Vector{}.Sub(sum))
	}
	p.booked = p.booked[:first]
}
