package router

import (
	"context"
	"sort"
	"time"

	"briarproxy/core/wire"
	"briarproxy/daemon/view"
	"briarproxy/daemon/workerclient"
)

// failureReportEvery is the least time between borrow calls made only to report
// failed runs. Finished runs wait for the next call.
const failureReportEvery = 250 * time.Millisecond

// unlikeWorkers is the number of workers on which one request fails before the
// failures count against the request and no longer against the workers.
const unlikeWorkers = 3

type runKey struct {
	vm          string
	incarnation int64
	operation   string
}

// runCounts holds the ended requests that the lender was not told of yet.
type runCounts struct {
	counts map[runKey]*wire.RunCount
	failed bool // some of them failed
}

// add counts one run. When the counts are full, those without a failure make room
// for failures.
func (c *runCounts) add(key runKey, failed bool) {
	count := c.counts[key]
	if count == nil {
		if len(c.counts) >= wire.MaxRunCounts && !(failed && c.dropFinished()) {
			return
		}
		count = &wire.RunCount{VM: key.vm, Incarnation: key.incarnation, Operation: key.operation}
		if c.counts == nil {
			c.counts = map[runKey]*wire.RunCount{}
		}
		c.counts[key] = count
	}
	if failed {
		count.Failed++
		c.failed = true
		return
	}
	count.Finished++
}

func (c *runCounts) dropFinished() bool {
	for key, count := range c.counts {
		if count.Failed == 0 {
			delete(c.counts, key)
			return true
		}
	}
	return false
}

// take returns the counts in order of name and starts anew. What a lost call
// carried is not sent again: later runs tell the same.
func (c *runCounts) take() []wire.RunCount {
	list := make([]wire.RunCount, 0, len(c.counts))
	for _, count := range c.counts {
		list = append(list, *count)
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		if a.VM != b.VM {
			return a.VM < b.VM
		}
		return a.Operation < b.Operation
	})
	*c = runCounts{}
	return list
}

// countRun notes the end of a run for the lender of its slot.
func (p *poolState) countRun(slot *Slot, operation string, failed bool) {
	for _, l := range p.lenders {
		if l.name == slot.loan.lender {
			l.runs.add(runKey{slot.VM, slot.Incarnation, operation}, failed)
		}
	}
}

// failedMsg counts failed runs of a request whose end is known.
type failedMsg struct {
	slots     []*Slot
	operation string
}

func (m failedMsg) apply(s *state) {
	for _, slot := range m.slots {
		s.pool(slot.pool).countRun(slot, m.operation, true)
	}
}

// history is what became of the attempts at an idempotent request so far.
type history struct {
	outcome  wire.Outcome  // of the attempts without an answer
	failed   []*Slot       // on which the request ran and failed, without probes
	failures int           // failed runs
	last     *wire.Problem // of the newest failed run
}

// fail notes a failed run.
func (h *history) fail(plan *Plan, slot *Slot, result *wire.Result) {
	h.outcome = wire.OutcomeRan
	h.failures++
	if !slot.probe { // counted at once
		h.failed = append(h.failed, slot)
	}
	h.last = failed(plan, slot, result)
}

// honest corrects the reason for which no further attempt is made by the outcome
// of the earlier ones.
func (h *history) honest(p *wire.Problem) *wire.Problem {
	if h.last == nil || p.Outcome != wire.OutcomeNotRun {
		return honest(p, h.outcome)
	}
	combined := *h.last
	combined.Detail += "; then: " + p.Detail
	return &combined
}

// blame reports the workers on which the request failed, unless it failed on so
// many that the request itself is at fault.
func (r *Router) blame(plan *Plan, h *history) {
	if len(h.failed) > 0 && h.failures < unlikeWorkers {
		r.send(failedMsg{h.failed, plan.Service.Name + "/" + plan.Operation})
	}
}

func ranAndFailed(outcome Outcome) bool {
	return outcome.Kind == workerclient.Done && outcome.Result.State == wire.RunFailed
}

// mayRunAgain decides whether a request that ran and failed is run on another
// worker, and waits for the backoff.
func (r *Router) mayRunAgain(ctx context.Context, plan *Plan, h *history, generation int64, avoid []string) bool {
	if h.failures > plan.Policy.MaxRetries || !otherWorker(r.options.View.Current(), plan, avoid) {
		return false
	}
	return r.mayResend(ctx, plan, generation, "failed", h.last.Detail) == nil
}

// otherWorker reports whether the pool has a worker in reach that is not to be
// avoided, so that nobody waits for one in vain.
func otherWorker(snapshot *view.Snapshot, plan *Plan, avoid []string) bool {
	avoided := map[string]bool{}
	for _, vm := range avoid {
		avoided[vm] = true
	}
	for name, vm := range snapshot.VMs {
		near := plan.Policy.CrossRegion || vm.Region == snapshot.Self.Region
		if near && !avoided[name] && !vm.Leaving && view.PoolOf(plan.Pool, vm) {
			return true
		}
	}
	return false
}
