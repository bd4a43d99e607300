package place

import (
	"slices"
	"time"

	"briarproxy/core/wire"
)

// Probe plans the first of the requests that fits on a quarantined worker, to find
// out whether the worker has recovered. The plan is empty if none fits, or if the
// worker is not quarantined, is draining or is not live. The caller must limit the
// number of probes per worker. Tasks from before the quarantine may still run there.
func (c *Cell) Probe(vm string, asks []wire.TaskAsk, o Options, now time.Duration) Plan {
	plan := Plan{PlannedAt: now}
	i, ok := c.workerByVM[vm]
	if !ok || !c.states[i].Quarantined {
		return plan
	}
	w := &c.states[i]
	n := slices.IndexFunc(asks, func(ask wire.TaskAsk) bool {
		a := Assignment{Ask: &ask, probe: true}
		return ask.Gang == "" && c.checkAssigned(i, &a, &o, now) == ReasonNone
	})
	if n >= 0 {
		plan.Assignments = []Assignment{{
			Ask: &asks[n], VM: w.VM, Rack: w.Rack, Incarnation: w.Incarnation, worker: i, probe: true,
		}}
	}
	return plan
}
