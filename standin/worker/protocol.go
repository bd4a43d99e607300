package worker

import (
	"cmp"
	"slices"
	"time"

	"briarproxy/core/resource"
	"briarproxy/core/wire"
)

// Fence raises the lowest accepted epoch and returns the inventory of attempts. A
// lower epoch is refused; the inventory is then for information only.
func (w *Worker) Fence(f wire.Fence) wire.Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.processDueEvents()
	if w.isStaleEpoch(f.Epoch) {
		w.recordStaleEpoch("", 0, f.Epoch)
		report := w.buildReport(now)
		report.Refused = wire.RefusedStaleEpoch
		return report
	}
	if f.Epoch > w.epoch {
		w.epoch = f.Epoch
		w.recordEvent(EventFence, wire.Start{Epoch: f.Epoch}, "", "")
	}
	return w.buildReport(now)
}

// isStaleEpoch reports whether messages of an epoch are fenced off.
func (w *Worker) isStaleEpoch(epoch int64) bool { return epoch < w.epoch && !w.options.DisableFencing }

// notAfterPassed reports whether the worker's clock is past a not_after.
func (w *Worker) notAfterPassed(notAfterMS int64, now time.Duration) bool {
	return now > milliseconds(notAfterMS) && !w.options.DisableFencing
}

// recordStaleEpoch records the refusal of a message with a stale epoch. Refused
// starts are recorded by accept.
func (w *Worker) recordStaleEpoch(id string, generation, epoch int64) {
	message := wire.Start{ID: id, Generation: generation, Epoch: epoch}
	w.recordEvent(EventRefuse, message, "", string(wire.RefusedStaleEpoch))
}

// Report returns the worker's state and the inventory of its attempts.
func (w *Worker) Report() wire.Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buildReport(w.processDueEvents())
}

func (w *Worker) buildReport(now time.Duration) wire.Report {
	r := wire.Report{
		VM:          w.options.Name,
		Incarnation: w.incarnation,
		ClockMS:     now.Milliseconds(),
		Epoch:       w.epoch,
		Draining:    w.draining,
		Capacity:    w.options.Capacity,
		Attempts:    make([]wire.Attempt, 0, len(w.runningAttempts)),
	}
	for _, a := range w.runningAttempts {
		r.Attempts = append(r.Attempts, w.attemptReport(a, now))
	}
	for _, retained := range w.endedAttempts {
		for _, a := range retained {
			if a.start.Kind == wire.KindTask || w.options.ReportEndedRequests {
				r.Attempts = append(r.Attempts, w.attemptReport(a, now))
			}
		}
	}
	slices.SortFunc(r.Attempts, func(a, b wire.Attempt) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Generation, b.Generation))
	})
	return r
}

func (w *Worker) attemptReport(a *attempt, now time.Duration) wire.Attempt {
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

// reportedUsage returns the usage of an attempt as it was UsageLag ago.
func (w *Worker) reportedUsage(a *attempt, now time.Duration) resource.Vector {
	sampledAt := now - max(0, w.options.UsageLag)
	if sampledAt < a.startedAt || (a.state != wire.RunRunning && sampledAt >= a.endedAt) {
		return resource.Vector{}
	}
	usage := a.usage
	usage.MilliCores = usage.MilliCores * int64(a.percent) / 100
	return usage
}

// accept starts an attempt or returns the reason for refusing it.
func (w *Worker) accept(s wire.Start) (wire.Refusal, *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.processDueEvents()
	if refusal := w.startRefusal(s, now); refusal != "" {
		w.recordEvent(EventRefuse, s, "", string(refusal))
		if refusal == wire.RefusedNoRoom {
			// A duplicate of this start that arrives when there is capacity again must
			// not run, because the sender was told that this attempt will never run.
			w.recordGeneration(s.ID, s.Generation, wire.RunNeverStarted, now)
		}
		return refusal, nil
	}
	w.epoch = max(w.epoch, s.Epoch)
	return "", w.startAttempt(s, now)
}

// startRefusal returns the reason to refuse a start, or "". The capacity is checked
// last, because only that refusal depends on a condition that can become acceptable
// again.
func (w *Worker) startRefusal(s wire.Start, now time.Duration) wire.Refusal {
	switch {
	case isMalformed(s):
		return wire.RefusedMalformed
	case s.Incarnation != w.incarnation:
		return wire.RefusedWrongIncarnation
	case w.isStaleEpoch(s.Epoch):
		return wire.RefusedStaleEpoch
	}
	if refusal := w.generationRefusal(s); refusal != "" {
		return refusal
	}
	switch {
	case w.notAfterPassed(s.NotAfterMS, now):
		return wire.RefusedTooLate
	case w.draining:
		return wire.RefusedDraining
	case !w.options.AllowOvercommit && !w.inUse.Add(s.Resources).Fits(w.options.Capacity):
		return wire.RefusedNoRoom
	}
	return ""
}

func isMalformed(s wire.Start) bool {
	return s.ID == "" || s.Generation < 0 || s.LeaseMS <= 0 || s.Operation == "" ||
		(s.Kind != wire.KindRequest && s.Kind != wire.KindTask) || s.Resources.HasNegative()
}

// generationRefusal limits an ID to one running attempt at a time and each generation
// to one run. A higher generation is refused while a lower one runs: the sender must
// stop the lower one first.
func (w *Worker) generationRefusal(s wire.Start) wire.Refusal {
	if history, ok := w.histories[s.ID]; ok && s.Generation <= history.highestGeneration {
		if history.stateOf(s.Generation) == wire.RunNeverStarted {
			return wire.RefusedStaleGeneration
		}
		return wire.RefusedDuplicate
	}
	a, ok := w.runningAttempts[s.ID]
	switch {
	case !ok:
		return ""
	case s.Generation < a.start.Generation:
		return wire.RefusedStaleGeneration
	}
	return wire.RefusedDuplicate
}

// Renew extends the leases of running attempts and never shortens one. The reply
// lists the IDs that do not run here in the given generation.
func (w *Worker) Renew(r wire.Renew) wire.RenewReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.processDueEvents()
	if w.isStaleEpoch(r.Epoch) {
		w.recordStaleEpoch("", 0, r.Epoch)
		return wire.RenewReply{Refused: wire.RefusedStaleEpoch}
	}
	if w.notAfterPassed(r.NotAfterMS, now) {
		return wire.RenewReply{Refused: wire.RefusedTooLate}
	}
	var reply wire.RenewReply
	for _, l := range r.Leases {
		a, ok := w.runningAttempts[l.ID]
		if !ok || a.start.Generation != l.Generation {
			reply.Gone = append(reply.Gone, l.ID)
			continue
		}
		a.leaseUntil = max(a.leaseUntil, now+milliseconds(l.LeaseMS))
	}
	return reply
}

// Stop ends an attempt, or forbids its start if the attempt is unknown. A query does
// not end a running attempt. The reply describes the requested generation, except
// that a query returns running if a lower generation runs.
func (w *Worker) Stop(s wire.Stop) wire.StopReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.processDueEvents()
	if w.isStaleEpoch(s.Epoch) {
		w.recordStaleEpoch(s.ID, s.Generation, s.Epoch)
		return wire.StopReply{Refused: wire.RefusedStaleEpoch}
	}
	if s.Incarnation != 0 && s.Incarnation != w.incarnation {
		return wire.StopReply{Refused: wire.RefusedWrongIncarnation}
	}
	if a, ok := w.runningAttempts[s.ID]; ok && a.start.Generation <= s.Generation {
		if s.Query {
			w.addTombstone(s, now)
			return wire.StopReply{State: wire.RunRunning}
		}
		w.stopAttempt(a, now, ReasonStop)
	}
	w.addTombstone(s, now)
	return w.endedOutcome(s)
}

// addTombstone forbids the start of an attempt that is unknown here. No tombstone is
// needed if this or a higher generation is running, has ended or is forbidden.
func (w *Worker) addTombstone(s wire.Stop, now time.Duration) {
	if a, ok := w.runningAttempts[s.ID]; ok && a.start.Generation >= s.Generation {
		return
	}
	if history, ok := w.histories[s.ID]; ok && history.highestGeneration >= s.Generation {
		return
	}
	w.recordGeneration(s.ID, s.Generation, wire.RunNeverStarted, now)
	w.recordEvent(EventTombstone, wire.Start{ID: s.ID, Generation: s.Generation, Epoch: s.Epoch}, wire.RunNeverStarted, "")
}

// endedOutcome returns the state and, if still retained, the result of an attempt that
// does not run.
func (w *Worker) endedOutcome(s wire.Stop) wire.StopReply {
	for _, a := range w.endedAttempts[s.ID] {
		if a.start.Generation == s.Generation {
			return wire.StopReply{State: a.state, Result: a.result}
		}
	}
	if history, ok := w.histories[s.ID]; ok {
		return wire.StopReply{State: history.stateOf(s.Generation)}
	}
	return wire.StopReply{State: wire.RunNeverStarted}
}

// Ack deletes the results of ended attempts. Their final states are retained.
func (w *Worker) Ack(a wire.Ack) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.processDueEvents()
	for _, acknowledged := range a.Attempts {
		retained := slices.DeleteFunc(w.endedAttempts[acknowledged.ID], func(e *attempt) bool { return e.start.Generation == acknowledged.Generation })
		if len(retained) == 0 {
			delete(w.endedAttempts, acknowledged.ID)
		} else {
			w.endedAttempts[acknowledged.ID] = retained
		}
	}
}

// Throttle limits the speed of a running task to a percentage. The reply holds the
// state of the attempt; if the attempt does not run here, the message is refused
// as stale-generation and has no effect.
func (w *Worker) Throttle(t wire.Throttle) wire.StopReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.processDueEvents()
	a, refusal := w.runningTask(t.ID, t.Generation, t.Epoch)
	if refusal == "" && (t.Percent < 1 || t.Percent > 100) {
		refusal = wire.RefusedMalformed
	}
	if refusal != "" {
		return wire.StopReply{Refused: refusal}
	}
	a.updateProgress(now)
	a.percent = t.Percent
	w.resetTimer(a, now)
	return wire.StopReply{State: wire.RunRunning}
}

// Checkpoint stores the progress of a running task and stops it. A later attempt
// continues from there. It is refused for the same reasons as Throttle.
func (w *Worker) Checkpoint(c wire.Checkpoint) wire.StopReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.processDueEvents()
	a, refusal := w.runningTask(c.ID, c.Generation, c.Epoch)
	if refusal != "" {
		return wire.StopReply{Refused: refusal}
	}
	a.updateProgress(now)
	a.checkpoint = true
	w.options.Checkpoints.put(c.ID, a.completedWork)
	w.stopAttempt(a, now, ReasonCheckpoint)
	return wire.StopReply{State: a.state, Result: a.result}
}

// runningTask returns the running attempt that a message names, or the reason to
// refuse the message.
func (w *Worker) runningTask(id string, generation, epoch int64) (*attempt, wire.Refusal) {
	a, ok := w.runningAttempts[id]
	switch {
	case w.isStaleEpoch(epoch):
		w.recordStaleEpoch(id, generation, epoch)
		return nil, wire.RefusedStaleEpoch
	case !ok || a.start.Generation != generation:
		return nil, wire.RefusedStaleGeneration
	}
	return a, ""
}
