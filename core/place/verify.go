package place

import (
	"time"

	"briarproxy/core/resource"
	"briarproxy/core/wire"
)

// preemptionHold is how long a worker is held for a task whose victims are being
// preempted. It is shorter than the 3.7 s within which urgent work must start.
const preemptionHold = 3 * time.Second

// Verify returns the refusals that Commit would return now. The cell is the same
// afterwards.
func (c *Cell) Verify(plan Plan, o Options, now time.Duration) []Refusal {
	accepted, refused := c.acceptAll(plan, &o, now)
	for n := len(accepted) - 1; n >= 0; n-- {
		c.Release(accepted[n].Ask.TaskID, accepted[n].Ask.Generation)
	}
	return refused
}

// Commit applies the assignments that still fit, and each gang only as a whole. It
// returns the applied assignments and the refusals. Commit ends the holds of placed
// tasks and gangs, and holds the workers of the plan's preemptions for the
// preempting tasks.
func (c *Cell) Commit(plan Plan, o Options, now time.Duration) ([]Assignment, []Refusal) {
	accepted, refused := c.acceptAll(plan, &o, now)
	for n := range accepted {
		c.ReleaseHold(accepted[n].Ask.TaskID)
		c.ReleaseHold(accepted[n].Ask.Gang)
	}
	c.releaseExpiredHolds(now)
	for _, p := range plan.Preemptions {
		c.hold(p.VM, Hold{Owner: p.Ask.TaskID, Start: now, Expires: now + preemptionHold}, now)
	}
	return accepted, refused
}

func (c *Cell) acceptAll(plan Plan, o *Options, now time.Duration) ([]Assignment, []Refusal) {
	accepted := plan.Assignments[:0:0]
	var refused []Refusal
	for n := 0; n < len(plan.Assignments); {
		group := gangGroup(plan.Assignments[n:])
		if r := c.acceptGroup(group, o, now); len(r) > 0 {
			refused = append(refused, r...)
		} else if len(refused) == 0 {
			accepted = plan.Assignments[: n+len(group) : n+len(group)] // not copied until an assignment is refused
		} else {
			accepted = append(accepted, group...)
		}
		n += len(group)
	}
	return accepted, refused
}

// gangGroup returns the first assignment and the ones after it of the same gang.
// Plan returns the assignments of a gang consecutively.
func gangGroup(as []Assignment) []Assignment {
	gang := as[0].Ask.Gang
	n := 1
	for gang != "" && n < len(as) && as[n].Ask.Gang == gang {
		n++
	}
	return as[:n]
}

// acceptGroup applies all assignments of the group, or none if one is refused.
func (c *Cell) acceptGroup(group []Assignment, o *Options, now time.Duration) []Refusal {
	for n := range group {
		reason := c.acceptOne(&group[n], o, now)
		if reason == ReasonNone {
			continue
		}
		for k := n - 1; k >= 0; k-- {
			c.Release(group[k].Ask.TaskID, group[k].Ask.Generation)
		}
		return refuseGroup(group, n, reason)
	}
	return nil
}

func refuseGroup(group []Assignment, at int, reason Reason) []Refusal {
	refused := make([]Refusal, len(group))
	for n := range group {
		refused[n] = Refusal{TaskID: group[n].Ask.TaskID, VM: group[n].VM, Reason: ReasonGangDoesNotFit}
	}
	refused[at].Reason = reason
	return refused
}

func (c *Cell) acceptOne(a *Assignment, o *Options, now time.Duration) Reason {
	i, ok := c.workerByVM[a.VM]
	if !ok || c.states[i].Incarnation != a.Incarnation || c.states[i].Rack != a.Rack {
		return ReasonWorkerGone
	}
	if _, placed := c.workerOfTask[a.Ask.TaskID]; placed {
		return ReasonDuplicate
	}
	if reason := c.checkAssigned(i, a, o, now); reason != ReasonNone {
		return reason
	}
	if pool := c.pools[a.Ask.Pool]; exceedsHeadroom(pool.name, a.Ask.Priority, pool.capacity, pool.committed, a.Ask.Resources, o.Headroom) {
		return ReasonHeadroom
	}
	c.addTask(i, TaskOf(a.Ask, now))
	return ReasonNone
}

// checkAssigned is Check, except that a probe may be placed on a quarantined worker.
func (c *Cell) checkAssigned(i int32, a *Assignment, o *Options, now time.Duration) Reason {
	if !a.probe {
		return Check(&c.states[i], a.Ask, o, now)
	}
	w := c.states[i]
	w.Quarantined = false
	return Check(&w, a.Ask, o, now)
}

// TaskOf returns the task for a request that is placed at the time now.
func TaskOf(ask *wire.TaskAsk, now time.Duration) Task {
	t := Task{
		ID: ask.TaskID, Job: ask.Job, Generation: ask.Generation,
		Resources: ask.Resources, Priority: ask.Priority,
		Preemptible: ask.Preemptible, Checkpointable: ask.CheckpointOK, SpreadRacks: ask.SpreadRacks,
	}
	t.SetExpectedRunTime(time.Duration(ask.RunMS)*time.Millisecond, now)
	return t
}

// overdueFactor is the multiple of its expected run time after which a task counts as overdue.
// Estimates of callers are often off by half.
const overdueFactor = 2

// SetExpectedRunTime sets the expected end of a task that runs for the given time from now on; 0
// means unknown.
func (t *Task) SetExpectedRunTime(runTime, now time.Duration) {
	t.ExpectedEnd, t.OverdueAt = 0, 0
	if runTime > 0 {
		t.ExpectedEnd, t.OverdueAt = now+runTime, now+overdueFactor*runTime
	}
}

// restoreCommitted undoes bookings of a planning run. Unlike adjustCommitted, it
// keeps the capacity version: the pool is as it was before the bookings, so shapes
// that did not fit then still do not fit.
func (c *Cell) restoreCommitted(i int32, delta resource.Vector) {
	w := &c.states[i]
	w.Committed = w.Committed.Add(delta)
	if w.Schedulable() {
		for n := range c.entries[i] {
			p := c.entries[i][n].pool
			p.committed = p.committed.Add(delta)
		}
	}
	c.reindex(i)
}
