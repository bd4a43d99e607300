package cell

import (
	"context"
	"time"

	"briarproxy/core/fault"
	"briarproxy/core/flow"
	"briarproxy/core/placer"
	"briarproxy/daemon/bootclock"
)

// runPlacer lets the placer decide and carries its commands out.
func (e *engine) runPlacer(ctx context.Context, now time.Duration) {
	if now-e.batchAckedAt > maxLogOutage {
		e.stopPlacing("the log has not answered for too long")
		return
	}
	e.handOverIfDue(now)
	if e.handingOver {
		if !e.appending {
			e.release(ctx)
		}
		return
	}
	e.execute(e.placingContext, e.placer.Tick(now, time.Now().UnixMilli()))
	for _, n := range e.placer.TakeDecisions() {
		e.logDecision(&n)
	}
	e.appendBatch(ctx, now)
	e.summarize(now)
	if e.placer != nil {
		e.saveSnapshot(e.placingContext, now)
	}
}

// summarize writes once a second what the placer holds.
func (e *engine) summarize(now time.Duration) {
	if now-e.summaryLoggedAt < summaryInterval || e.placer == nil {
		return
	}
	e.summaryLoggedAt = now
	s := e.placer.Summarize(now, time.Now().UnixMilli())
	e.metrics.publishSummary(&s)
	e.log.Emit(evSummary, "steps", s.Steps, "unadvised", s.Unadvised, "asking", s.AdviceInFlight, "roomless", s.AwaitingRoom, "late", s.Late,
		"runs", s.Runs, "usable", s.Usable, "workers", s.Workers, "free", s.Free.String(), "capacity", s.Capacity.String(),
		"advisers", s.Advisers, "calls", s.AdviceCalls)
}

// appendBatch appends the next batch unless one is under way.
func (e *engine) appendBatch(ctx context.Context, now time.Duration) {
	if e.appending || e.placer == nil {
		return
	}
	batch, runs, due := e.placer.Flush(now)
	if !due {
		return
	}
	e.appending = true
	p, appender := e.placer, e.appender
	e.metrics.batches.Inc()
	go func() {
		bounded, cancel := context.WithTimeout(ctx, maxLogOutage)
		defer cancel()
		sent := bootclock.Now()
		record := &flow.Record{Batch: &batch}
		offset, err := appender.append(bounded, record)
		e.do(ctx, func(e *engine) {
			if e.placer != p {
				return
			}
			e.appending = false
			if err == nil && offset >= e.state.NextOffset {
				e.ackedAppends[offset] = decoded{record: *record}
				e.applyAcked(ctx, bootclock.Now())
			}
			if fault.Is(err, fault.Conflict) {
				e.claimConflictAt = bootclock.Now()
			}
			if err != nil {
				e.stopPlacing("the log refused a batch: " + err.Error())
				return
			}
			e.batchAckedAt = sent
			if e.placer != p {
				return // a record that was applied just now ended it
			}
			e.execute(e.placingContext, p.BatchAppended(runs, bootclock.Now()))
			if len(e.ackedAppends) > 0 {
				e.wakeReader()
			}
		})
	}()
}

func (e *engine) logDecision(n *placer.Decision) {
	e.metrics.countDecision(n)
	if n.Kind == placer.DecisionJobBegan {
		return // the start of the run has its own line
	}
	e.log.Emit(evDecision, "decision", n.Kind, "job", n.Job, "occurrence", n.Task.Occurrence, "step", n.Task.Step, "task", n.Task.Index,
		"run", n.Run, "worker", n.Worker, "reason", n.Reason, "age_ms", n.Age.Milliseconds(), "version", n.Version)
}

// registryReadInterval is the time between two readings of the registry, of which the last one named
// some workers. All readings share what a slow store can send, and what the link can take.
func (e *engine) registryReadInterval(workers int) time.Duration {
	pause := registryInterval
	if e.store.storeSlow.Load() {
		pause = maxRegistryInterval
	}
	if rate := registryLinkShare * e.settings.Limits.LinkMbps * bytesPerMbit; rate > 0 {
		pause = max(pause, time.Duration(float64(workers*registryBytesPerWorker)/rate*float64(time.Second)))
	}
	return min(pause, maxRegistryInterval)
}

// watchRegistry reads the registry while this daemon is the placer.
func (e *engine) watchRegistry(ctx context.Context, p *placer.Placer) {
	for ctx.Err() == nil {
		bounded, cancel := context.WithTimeout(ctx, storeTimeout)
		workers, unusable, err := e.store.Workers(bounded)
		cancel()
		if err == nil {
			e.do(ctx, func(e *engine) {
				if e.placer != p {
					return
				}
				if len(unusable) != e.unusable {
					e.unusable = len(unusable)
					e.log.Emit(evRegistryUnusable, "entries", unusable)
				}
				p.SetRegistry(workers, bootclock.Now())
			})
		}
		select {
		case <-ctx.Done():
		case <-time.After(e.registryReadInterval(len(workers))):
		}
	}
}
