package place

import (
	"slices"
	"time"

	"briarproxy/core/resource"
	"briarproxy/core/wire"
)

// HoldPlan is the set of workers to hold for an aging gang.
type HoldPlan struct {
	Gang    string
	VMs     []string
	Start   time.Duration // the gang can start then if expected ends are right
	Expires time.Duration
}

// holdChoice is what one worker offers to a gang.
type holdChoice struct {
	worker int32
	at     time.Duration // instant at which its present tasks have ended
	tasks  int64         // tasks of the gang that it can hold then
}

// PlanHold chooses the workers whose tasks end first until they can hold the gang.
// Tasks of unequal size are all counted as the largest. It returns false if the pool is too small, if more than
// maxShare of its open workers would be held, or if the cell already holds
// workers for another gang in this pool: two holds that grow at the same time can
// block each other. It looks at every worker of the pool; an aging gang is rare.
func (c *Cell) PlanHold(asks []wire.TaskAsk, o Options, maxShare float64, now, validity time.Duration) (HoldPlan, bool) {
	if len(asks) == 0 {
		return HoldPlan{}, false
	}
	p := c.pools[asks[0].Pool]
	if p == nil || c.gangHeld(asks[0].Pool, asks[0].Gang, now) {
		return HoldPlan{}, false
	}
	largest := asks[0]
	for i := range asks {
		largest.Resources = largest.Resources.Max(asks[i].Resources)
	}
	choices := c.holdChoices(&largest, &o, now)
	plan := HoldPlan{Gang: asks[0].Gang, Start: now}
	left := int64(len(asks))
	for _, choice := range choices {
		if left <= 0 {
			break
		}
		left -= choice.tasks
		plan.VMs = append(plan.VMs, c.states[choice.worker].VM)
		plan.Start = max(plan.Start, choice.at)
	}
	if left > 0 || float64(len(plan.VMs)) > maxShare*float64(p.open) {
		return HoldPlan{}, false
	}
	plan.Expires = plan.Start + validity
	return plan, true
}

// holdChoices returns the open workers that can hold at least one task, those
// that are free first come first, larger ones first among equals. Workers with a
// task whose end is unknown are left out, unless they have room already.
func (c *Cell) holdChoices(ask *wire.TaskAsk, o *Options, now time.Duration) []holdChoice {
	var choices []holdChoice
	for i := range c.states {
		w := &c.states[i]
		if !c.present[i] || poolRefuses(w, ask.Pool) || usableRefuses(w) || distance(w.Region, w.DataCentre, o) > maxDistance(o.Reach) {
			continue
		}
		if heldRefuses(w, ask, now) || avoidRefuses(w.VM, ask.AvoidVMs) || labelRefuses(w, ask.Label) ||
			(ask.Among != nil && !slices.Contains(ask.Among, w.VM)) {
			continue
		}
		choice := holdChoice{worker: int32(i), at: now}
		choice.tasks = w.Free().Times(ask.Resources)
		if end, known := lastEnd(w, now); choice.tasks == 0 && known {
			choice.at = end
			choice.tasks = w.Capacity.Sub(resource.Vector{Slots: w.Slots}).Times(ask.Resources)
		}
		if choice.tasks > 0 {
			choices = append(choices, choice)
		}
	}
	slices.SortStableFunc(choices, func(a, b holdChoice) int {
		if a.at != b.at {
			return int(a.at - b.at)
		}
		return int(b.tasks - a.tasks)
	})
	return choices
}

// lastEnd returns the instant at which all tasks of the worker have ended.
func lastEnd(w *State, now time.Duration) (time.Duration, bool) {
	end := now
	for n := range w.Tasks {
		if w.Tasks[n].ExpectedEnd == 0 {
			return 0, false
		}
		end = max(end, w.Tasks[n].ExpectedEnd)
	}
	return end, true
}

// gangHeld tells whether workers of the pool are held for another owner.
func (c *Cell) gangHeld(poolName, gang string, now time.Duration) bool {
	for owner, workers := range c.holds {
		if owner == gang {
			continue
		}
		for _, i := range workers {
			if c.heldBy(i, owner, now) && !poolRefuses(&c.states[i], poolName) {
				return true
			}
		}
	}
	return false
}

// heldBy tells whether the owner's hold of the worker is in force.
func (c *Cell) heldBy(i int32, owner string, now time.Duration) bool {
	h := c.states[i].Hold
	return h.Owner == owner && now < h.Expires
}

// holdsFor tells whether any worker is held for the owner.
func (c *Cell) holdsFor(owner string, now time.Duration) bool {
	return slices.ContainsFunc(c.holds[owner], func(i int32) bool { return c.heldBy(i, owner, now) })
}

// ApplyHold holds the workers of the plan. A worker that is held for another
// owner keeps its hold; the number of workers held is returned.
func (c *Cell) ApplyHold(plan HoldPlan, now time.Duration) int {
	c.forgetExpired(now)
	held := 0
	for _, vm := range plan.VMs {
		if c.hold(vm, Hold{Owner: plan.Gang, Start: plan.Start, Expires: plan.Expires}, now) {
			held++
		}
	}
	return held
}

// hold sets a hold unless another owner has one.
func (c *Cell) hold(vm string, h Hold, now time.Duration) bool {
	i, ok := c.byVM[vm]
	if !ok {
		return false
	}
	old := c.states[i].Hold
	if old.Owner != "" && old.Owner != h.Owner && now < old.Expires {
		return false
	}
	c.states[i].Hold = h
	if !slices.Contains(c.holds[h.Owner], i) {
		c.holds[h.Owner] = append(c.holds[h.Owner], i)
	}
	return true
}

// ReleaseHold ends all holds of the owner.
func (c *Cell) ReleaseHold(owner string) {
	if owner == "" || len(c.holds) == 0 {
		return
	}
	for _, i := range c.holds[owner] {
		if c.states[i].Hold.Owner == owner {
			c.states[i].Hold = Hold{}
		}
	}
	delete(c.holds, owner)
}

// forgetExpired drops owners none of whose holds is in force.
func (c *Cell) forgetExpired(now time.Duration) {
	for owner := range c.holds {
		if !c.holdsFor(owner, now) {
			c.ReleaseHold(owner)
		}
	}
}
