package worker

import (
	"cmp"
	"slices"
	"time"

	"briarproxy/core/resource"
	"briarproxy/core/wire"
)

// Fence raises the lowest epoch that is accepted and returns the inventory. A
// lower epoch is refused; the inventory is then only informative.
func (w *Worker) Fence(f wire.Fence) wire.Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.settle()
	if w.stale(f.Epoch) {
		w.journalStale("", 0, f.Epoch)
		report := w.report(now)
		report.Refused = wire.RefusedStaleEpoch
		return report
	}
	if f.Epoch > w.epoch {
		w.epoch = f.Epoch
		w.journal(EventFence, wire.Start{Epoch: f.Epoch}, "", "")
	}
	return w.report(now)
}

// stale reports whether a fence forbids messages of an epoch.
func (w *Worker) stale(epoch int64) bool { return epoch < w.epoch && !w.options.Unfenced }

// tooLate reports whether a not_after has passed on the worker's clock.
func (w *Worker) tooLate(notAfterMS int64, now time.Duration) bool {
	return now > ms(notAfterMS) && !w.options.Unfenced
}

// journalStale records a message of an old owner other than a start.
func (w *Worker) journalStale(id string, generation, epoch int64) {
	message := wire.Start{ID: id, Generation: generation, Epoch: epoch}
	w.journal(EventRefuse, message, "", string(wire.RefusedStaleEpoch))
}

// Report returns the inventory.
func (w *Worker) Report() wire.Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.report(w.settle())
}

func (w *Worker) report(now time.Duration) wire.Report {
	r := wire.Report{
		VM:          w.options.Name,
		Incarnation: w.incarnation,
		ClockMS:     now.Milliseconds(),
		Epoch:       w.epoch,
		Draining:    w.draining,
		Capacity:    w.options.Capacity,
		Attempts:    make([]wire.Attempt, 0, len(w.running)),
	}
	for _, a := range w.running {
		r.Attempts = append(r.Attempts, w.inventory(a, now))
	}
	for _, kept := range w.ended {
		for _, a := range kept {
			if a.start.Kind == wire.KindTask || w.options.ReportEndedRequests {
				r.Attempts = append(r.Attempts, w.inventory(a, now))
			}
		}
	}
	slices.SortFunc(r.Attempts, func(a, b wire.Attempt) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Generation, b.Generation))
	})
	return r
}

func (w *Worker) inventory(a *attempt, now time.Duration) wire.Attempt {
	return wire.Attempt{
		ID:         a.start.ID,
		Generation: a.start.Generation,
		Epoch:      a.start.Epoch,
		Kind:       a.start.Kind,
		Job:        a.start.Job,
		Operation:  a.start.Operation,
		Loan:       a.start.Loan,
		State:      a.state,
		Resources:  a.start.Resources,
		Usage:      w.reportedUsage(a, now),
		Throttled:  a.percent < 100,
		Checkpoint: a.checkpoint,
		Result:     a.result,
	}
}

// reportedUsage returns the use that was measured UsageLag ago.
func (w *Worker) reportedUsage(a *attempt, now time.Duration) resource.Vector {
	measured := now - max(0, w.options.UsageLag)
	if measured < a.began || (a.state != wire.RunRunning && measured >= a.ended) {
		return resource.Vector{}
	}
	usage := a.usage
	usage.MilliCores = usage.MilliCores * int64(a.percent) / 100
	return usage
}

// accept begins an attempt, or returns the refusal.
func (w *Worker) accept(s wire.Start) (wire.Refusal, *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.settle()
	if refusal := w.refuses(s, now); refusal != "" {
		w.journal(EventRefuse, s, "", string(refusal))
		if refusal == wire.RefusedNoRoom {
			// A copy that arrives when there is room again must not run, because
			// the sender was told that this attempt never will.
			w.remember(s.ID, s.Generation, wire.RunNeverStarted, now)
		}
		return refusal, nil
	}
	w.epoch = max(w.epoch, s.Epoch)
	return "", w.begin(s, now)
}

// refuses returns the reason to refuse a start, or "". Room comes last, because
// only its refusal depends on anything that can change back.
func (w *Worker) refuses(s wire.Start, now time.Duration) wire.Refusal {
	switch {
	case malformed(s):
		return wire.RefusedMalformed
	case s.Incarnation != w.incarnation:
		return wire.RefusedWrongIncarnation
	case w.stale(s.Epoch):
		return wire.RefusedStaleEpoch
	}
	if refusal := w.refusesGeneration(s); refusal != "" {
		return refusal
	}
	switch {
	case w.tooLate(s.NotAfterMS, now):
		return wire.RefusedTooLate
	case w.draining:
		return wire.RefusedDraining
	case !w.options.Trusting && !w.inUse.Add(s.Resources).Fits(w.options.Capacity):
		return wire.RefusedNoRoom
	}
	return ""
}

func malformed(s wire.Start) bool {
	return s.ID == "" || s.Generation < 0 || s.LeaseMS <= 0 || s.Operation == "" ||
		(s.Kind != wire.KindRequest && s.Kind != wire.KindTask) || s.Resources.HasNegative()
}

// refusesGeneration keeps an id to one run at a time and each generation to one
// run. A higher generation is refused while a lower one runs: the sender must
// have it stopped first.
func (w *Worker) refusesGeneration(s wire.Start) wire.Refusal {
	if p, ok := w.past[s.ID]; ok && s.Generation <= p.highest {
		if p.state(s.Generation) == wire.RunNeverStarted {
			return wire.RefusedStaleGeneration
		}
		return wire.RefusedDuplicate
	}
	a, ok := w.running[s.ID]
	switch {
	case !ok:
		return ""
	case s.Generation < a.start.Generation:
		return wire.RefusedStaleGeneration
	}
	return wire.RefusedDuplicate
}

// Renew extends run leases. It never shortens one.
func (w *Worker) Renew(r wire.Renew) wire.RenewReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.settle()
	if w.stale(r.Epoch) {
		w.journalStale("", 0, r.Epoch)
		return wire.RenewReply{Refused: wire.RefusedStaleEpoch}
	}
	if w.tooLate(r.NotAfterMS, now) {
		return wire.RenewReply{Refused: wire.RefusedTooLate}
	}
	var reply wire.RenewReply
	for _, l := range r.Leases {
		a, ok := w.running[l.ID]
		if !ok || a.start.Generation != l.Generation {
			reply.Gone = append(reply.Gone, l.ID)
			continue
		}
		a.leaseUntil = max(a.leaseUntil, now+ms(l.LeaseMS))
	}
	return reply
}

// Stop ends an attempt or forbids one that has not been seen. The answer is about
// the generation that was asked for, except that a query finds a lower generation
// running if one does.
func (w *Worker) Stop(s wire.Stop) wire.StopReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.settle()
	if w.stale(s.Epoch) {
		w.journalStale(s.ID, s.Generation, s.Epoch)
		return wire.StopReply{Refused: wire.RefusedStaleEpoch}
	}
	if s.Incarnation != 0 && s.Incarnation != w.incarnation {
		return wire.StopReply{Refused: wire.RefusedWrongIncarnation}
	}
	if a, ok := w.running[s.ID]; ok && a.start.Generation <= s.Generation {
		if s.Query {
			w.forbid(s, now)
			return wire.StopReply{State: wire.RunRunning}
		}
		w.stop(a, now, ReasonStop)
	}
	w.forbid(s, now)
	return w.outcome(s)
}

// forbid leaves a tombstone for an attempt that has not been seen. It needs none
// if this or a higher generation runs or is over.
func (w *Worker) forbid(s wire.Stop, now time.Duration) {
	if a, ok := w.running[s.ID]; ok && a.start.Generation >= s.Generation {
		return
	}
	if p, ok := w.past[s.ID]; ok && p.highest >= s.Generation {
		return
	}
	w.remember(s.ID, s.Generation, wire.RunNeverStarted, now)
	w.journal(EventForbid, wire.Start{ID: s.ID, Generation: s.Generation, Epoch: s.Epoch}, wire.RunNeverStarted, "")
}

// outcome tells what became of an attempt that does not run.
func (w *Worker) outcome(s wire.Stop) wire.StopReply {
	for _, a := range w.ended[s.ID] {
		if a.start.Generation == s.Generation {
			return wire.StopReply{State: a.state, Result: a.result}
		}
	}
	if p, ok := w.past[s.ID]; ok {
		return wire.StopReply{State: p.state(s.Generation)}
	}
	return wire.StopReply{State: wire.RunNeverStarted}
}

// Ack drops the results of ended attempts. That they ran stays known.
func (w *Worker) Ack(a wire.Ack) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle()
	for _, acked := range a.Attempts {
		kept := slices.DeleteFunc(w.ended[acked.ID], func(e *attempt) bool { return e.start.Generation == acked.Generation })
		if len(kept) == 0 {
			delete(w.ended, acked.ID)
		} else {
			w.ended[acked.ID] = kept
		}
	}
}

// Throttle limits a running task. The answer has the state of the attempt; an
// attempt that does not run here is refused as stale-generation without effect.
func (w *Worker) Throttle(t wire.Throttle) wire.StopReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.settle()
	a, refusal := w.runningTask(t.ID, t.Generation, t.Epoch)
	if refusal == "" && (t.Percent < 1 || t.Percent > 100) {
		refusal = wire.RefusedMalformed
	}
	if refusal != "" {
		return wire.StopReply{Refused: refusal}
	}
	a.advance(now)
	a.percent = t.Percent
	w.rearm(a, now)
	return wire.StopReply{State: wire.RunRunning}
}

// Checkpoint stores the progress of a running task and stops it. A later attempt
// continues from there. Refusals are those of Throttle.
func (w *Worker) Checkpoint(c wire.Checkpoint) wire.StopReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.settle()
	a, refusal := w.runningTask(c.ID, c.Generation, c.Epoch)
	if refusal != "" {
		return wire.StopReply{Refused: refusal}
	}
	a.advance(now)
	a.checkpoint = true
	w.options.Checkpoints.put(c.ID, a.worked)
	w.stop(a, now, ReasonCheckpoint)
	return wire.StopReply{State: a.state, Result: a.result}
}

func (w *Worker) runningTask(id string, generation, epoch int64) (*attempt, wire.Refusal) {
	a, ok := w.running[id]
	switch {
	case w.stale(epoch):
		w.journalStale(id, generation, epoch)
		return nil, wire.RefusedStaleEpoch
	case !ok || a.start.Generation != generation:
		return nil, wire.RefusedStaleGeneration
	}
	return a, ""
}
