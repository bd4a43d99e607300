package place

import (
	"slices"
	"time"

	"briarproxy/core/wire"
)

// HoldPlan is a set of workers to hold for a gang that has waited too long.
type HoldPlan struct {
	Gang    string
	VMs     []string
	Start   time.Duration // when the gang can start if the expected ends are right
	Expires time.Duration
}

// holdCandidate is a worker that may be held for a gang.
type holdCandidate struct {
	worker int32
	freeAt time.Duration // expected time at which the gang's tasks can start on it
	tasks  int64         // number of the gang's tasks that fit at that time
}

// PlanHold chooses the workers that become free first, until the gang fits on them.
// Tasks of unequal size are all counted as the largest. It returns false if the
// pool is too small, if more than maxShare of its schedulable workers would be
// held, or if workers of this pool are already held for another owner: two gangs
// that gather holds at the same time can block each other. It examines every
// worker, which is acceptable because gangs rarely wait that long.
func (c *Cell) PlanHold(asks []wire.TaskAsk, o Options, maxShare float64, now, validity time.Duration) (HoldPlan, bool) {
	if len(asks) == 0 {
		return HoldPlan{}, false
	}
	p := c.pools[asks[0].Pool]
	if p == nil || c.poolHeldForOther(asks[0].Pool, asks[0].Gang, now) {
		return HoldPlan{}, false
	}
	largest := asks[0]
	for i := range asks {
		largest.Resources = largest.Resources.Max(asks[i].Resources)
	}
	candidates := c.holdCandidates(&largest, &o, now)
	plan := HoldPlan{Gang: asks[0].Gang, Start: now}
	left := int64(len(asks))
	for _, candidate := range candidates {
		if left <= 0 {
			break
		}
		left -= candidate.tasks
		plan.VMs = append(plan.VMs, c.states[candidate.worker].VM)
		plan.Start = max(plan.Start, candidate.freeAt)
	}
	if left > 0 || float64(len(plan.VMs)) > maxShare*float64(p.schedulable) {
		return HoldPlan{}, false
	}
	plan.Expires = plan.Start + validity
	return plan, true
}

// holdCandidates returns the schedulable workers on which at least one task fits,
// sorted by the time at which they are free, then by descending number of tasks.
// Workers with a task whose end is unknown are left out, unless a task fits now.
func (c *Cell) holdCandidates(ask *wire.TaskAsk, o *Options, now time.Duration) []holdCandidate {
	var candidates []holdCandidate
	for i := range c.states {
		w := &c.states[i]
		if !c.present[i] || notInPool(w, ask.Pool) || notSchedulable(w) || distance(w.Region, w.DataCentre, o) > maxDistance(o.Scope) {
			continue
		}
		if heldForOther(w, ask, now) || excluded(w, ask) {
			continue
		}
		candidate := holdCandidate{worker: int32(i), freeAt: now}
		candidate.tasks = fittingTasks(w, ask)
		if end, known := lastExpectedEnd(w, now); candidate.tasks == 0 && known {
			candidate.freeAt = end
			candidate.tasks = fittingTasksWhenEmpty(w, ask)
		}
		if candidate.tasks > 0 {
			candidates = append(candidates, candidate)
		}
	}
	slices.SortStableFunc(candidates, func(a, b holdCandidate) int {
		if a.freeAt != b.freeAt {
			return int(a.freeAt - b.freeAt)
		}
		return int(b.tasks - a.tasks)
	})
	return candidates
}

// lastExpectedEnd returns the time at which all tasks of the worker are expected to
// have ended, and false if the end of a task is unknown or the task is overdue.
func lastExpectedEnd(w *WorkerState, now time.Duration) (time.Duration, bool) {
	end := now
	for n := range w.Tasks {
		if t := &w.Tasks[n]; t.ExpectedEnd == 0 || now > t.OverdueAt {
			return 0, false
		}
		end = max(end, w.Tasks[n].ExpectedEnd)
	}
	return end, true
}

// poolHeldForOther reports whether a worker of the pool is held for an owner other
// than the gang.
func (c *Cell) poolHeldForOther(poolName, gang string, now time.Duration) bool {
	for owner, workers := range c.heldWorkers {
		if owner == gang {
			continue
		}
		for _, i := range workers {
			if c.holdInForce(i, owner, now) && !notInPool(&c.states[i], poolName) {
				return true
			}
		}
	}
	return false
}

// holdInForce reports whether the owner has an unexpired hold of the worker.
func (c *Cell) holdInForce(i int32, owner string, now time.Duration) bool {
	h := c.states[i].Hold
	return h.Owner == owner && now < h.Expires
}

// hasHold reports whether any worker is held for the owner.
func (c *Cell) hasHold(owner string, now time.Duration) bool {
	return slices.ContainsFunc(c.heldWorkers[owner], func(i int32) bool { return c.holdInForce(i, owner, now) })
}

// ApplyHold holds the workers of the plan, instead of those that the gang held before, and
// returns the number of workers held. A worker that is held for another owner keeps that hold.
func (c *Cell) ApplyHold(plan HoldPlan, now time.Duration) int {
	c.releaseExpiredHolds(now)
	c.ReleaseHold(plan.Gang)
	held := 0
	for _, vm := range plan.VMs {
		if c.hold(vm, Hold{Owner: plan.Gang, Start: plan.Start, Expires: plan.Expires}, now) {
			held++
		}
	}
	return held
}

// hold sets a hold unless another owner has an unexpired one.
func (c *Cell) hold(vm string, h Hold, now time.Duration) bool {
	i, ok := c.workerByVM[vm]
	if !ok {
		return false
	}
	old := c.states[i].Hold
	if old.Owner != "" && old.Owner != h.Owner && now < old.Expires {
		return false
	}
	c.states[i].Hold = h
	if !slices.Contains(c.heldWorkers[h.Owner], i) {
		c.heldWorkers[h.Owner] = append(c.heldWorkers[h.Owner], i)
	}
	return true
}

// ReleaseHold ends all holds of the owner.
func (c *Cell) ReleaseHold(owner string) {
	if owner == "" || len(c.heldWorkers) == 0 {
		return
	}
	for _, i := range c.heldWorkers[owner] {
		if c.states[i].Hold.Owner == owner {
			c.states[i].Hold = Hold{}
		}
	}
	delete(c.heldWorkers, owner)
}

// releaseExpiredHolds removes the owners whose holds have all expired.
func (c *Cell) releaseExpiredHolds(now time.Duration) {
	for owner := range c.heldWorkers {
		if !c.hasHold(owner, now) {
			c.ReleaseHold(owner)
		}
	}
}
