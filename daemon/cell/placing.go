package cell

import (
	"context"
	"time"

	"briarproxy/core/fault"
	"briarproxy/core/flow"
	"briarproxy/core/placer"
	"briarproxy/daemon/bootclock"
)

// runPlacer runs one tick of the placer: it carries out the placer's commands, logs its
// decisions and appends its batch.
func (e *engine) runPlacer(ctx context.Context, now time.Duration) {
	if now-e.batchAckedAt > maxLogOutage {
		e.stopPlacing("no batch was acknowledged within the longest tolerated log outage")
		return
	}
	if now-e.handOverCheckedAt >= handOverCheckInterval {
		e.handOverCheckedAt = now
		e.handOverIfDue(now)
	}
	if e.handingOver {
		if !e.appending {
			e.releaseClaim(ctx)
		}
		return
	}
	e.execute(e.placingContext, e.placer.Tick(now, time.Now().UnixMilli()))
	for _, decision := range e.placer.TakeDecisions() {
		e.logDecision(&decision)
	}
	e.appendBatch(ctx, now)
	e.logSummary(now)
	if e.placer != nil {
		e.saveSnapshot(ctx, now)
	}
}

// logSummary logs and publishes a summary of the placer's state once a second.
func (e *engine) logSummary(now time.Duration) {
	if now-e.summaryLoggedAt < summaryInterval || e.placer == nil {
		return
	}
	e.summaryLoggedAt = now
	summary := e.placer.Summarize(now, time.Now().UnixMilli())
	e.metrics.publishSummary(&summary)
	e.log.Emit(evSummary, "steps", summary.Steps, "unadvised", summary.Unadvised, "asking", summary.AdviceInFlight, "roomless", summary.AwaitingCapacity, "at_maximum", summary.AwaitingMaximum, "beyond_rate", summary.BeyondRate, "late", summary.Late,
		"runs", summary.Runs, "usable", summary.Usable, "workers", summary.Workers, "free", summary.Free.String(), "capacity", summary.Capacity.String(),
		"advisers", summary.Advisers, "calls", summary.AdviceCalls, "fast", summary.Fast, "slow", summary.Slow, "place_waits", summary.WaitingForPlace)
}

// appendBatch appends the next batch, unless an append is under way or nothing is due.
func (e *engine) appendBatch(ctx context.Context, now time.Duration) {
	if e.appending || e.placer == nil {
		return
	}
	batch, runs, due := e.placer.Flush(now)
	if !due {
		return
	}
	batch.Snapshot = e.takeSnapshotNote(now)
	e.appending = true
	p, appender := e.placer, e.appender
	e.metrics.batches.Inc()
	go func() {
		appendCtx, cancel := context.WithTimeout(ctx, maxLogOutage)
		defer cancel()
		sentAt := bootclock.Now()
		record := &flow.Record{Batch: &batch}
		offset, err := appender.append(appendCtx, record)
		begin := func() []placer.Command { return p.BatchAppended(runs, bootclock.Now()) }
		e.do(ctx, func(e *engine) { e.batchAppended(ctx, p, &appendedBatch{record, offset, sentAt, err, begin}) })
	}()
}

// appendedBatch is the outcome of an append of the placer.
type appendedBatch struct {
	record *flow.Record
	offset int64
	sentAt time.Duration // boot clock
	err    error
	begin  func() []placer.Command // returns the commands that start the runs of the batch
}

// batchAppended handles the outcome of an append of the placer p. An acknowledgement that this daemon handles late, because it
// was suspended meanwhile, starts no runs: a successor may have given them up since.
func (e *engine) batchAppended(ctx context.Context, p *placer.Placer, b *appendedBatch) {
	if e.placer != p {
		return
	}
	e.appending = false
	if b.err == nil && b.offset >= e.state.NextOffset {
		e.ackedAppends[b.offset] = decodedRecord{record: *b.record}
		e.applyAcked(ctx, bootclock.Now())
	}
	if fault.Is(b.err, fault.Conflict) {
		e.claimConflictAt = bootclock.Now()
	}
	if b.err != nil {
		e.stopPlacing("appending a batch failed: " + b.err.Error())
		return
	}
	e.batchAckedAt = b.sentAt
	if e.placer != p {
		return // a record that applyAcked applied has ended the placer
	}
	if bootclock.Now()-b.sentAt > maxLogOutage {
		e.stopPlacing("a batch was acknowledged later than the longest tolerated log outage")
		return
	}
	e.execute(e.placingContext, b.begin())
	if len(e.ackedAppends) > 0 {
		e.wakeReader()
	}
}

func (e *engine) logDecision(decision *placer.Decision) {
	e.metrics.countDecision(decision)
	if decision.Kind == placer.DecisionJobStarted {
		return // the start of the run is logged separately
	}
	e.log.Emit(evDecision, "decision", decision.Kind, "job", decision.Job, "occurrence", decision.Task.Occurrence, "step", decision.Task.Step, "task", decision.Task.Index,
		"run", decision.Run, "worker", decision.Worker, "reason", decision.Reason, "age_ms", decision.Age.Milliseconds(), "version", decision.Value)
}

// registryReadInterval returns the time between two reads of the registry, given the number of
// workers in the last one. Reads are rarer while the store is slow, because all reads share its
// bandwidth, and when they would take more than registryLinkShare of the link.
func (e *engine) registryReadInterval(workers int) time.Duration {
	interval := registryInterval
	if e.store.storeSlow.Load() {
		interval = maxRegistryInterval
	}
	if bytesPerSecond := registryLinkShare * e.settings.Limits.LinkMbps * bytesPerMbit; bytesPerSecond > 0 {
		interval = max(interval, time.Duration(float64(workers*registryBytesPerWorker)/bytesPerSecond*float64(time.Second)))
	}
	return min(interval, maxRegistryInterval)
}

// watchRegistry reads the registry periodically while this daemon is the placer.
func (e *engine) watchRegistry(ctx context.Context, p *placer.Placer) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		workers, unusable, err := e.store.Workers(callCtx)
		cancel()
		if err == nil {
			e.do(ctx, func(e *engine) {
				if e.placer != p {
					return
				}
				if len(unusable) != e.unusableEntries {
					e.unusableEntries = len(unusable)
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
