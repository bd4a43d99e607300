package cell

import (
	"context"
	"time"

	"briarproxy/core/cluster"
	"briarproxy/core/fault"
	"briarproxy/core/flow"
	"briarproxy/core/placer"
	"briarproxy/daemon/bootclock"
)

// handleClaim follows a claim that was read.
func (e *engine) handleClaim(ctx context.Context, former flow.Claim, now time.Duration) {
	e.stopPlacing("another daemon claimed")
	e.claimConflictAt = 0
	mine := e.state.Claim.Daemon == e.settings.Name && e.state.Claim.StartedMS == e.started
	if !mine || e.state.Claim.Epoch != e.claimEpoch {
		return
	}
	placing, stop := context.WithCancel(ctx)
	e.placingContext, e.cancelPlacing = placing, stop
	e.snapshotWriter = &snapshotWriter{store: e.platform, linkBytesPerSecond: e.settings.Limits.LinkMbps * bytesPerMbit, fence: cluster.Fence{Producer: "placer", Epoch: e.claimEpoch}}
	e.saving, e.savedAt = false, now
	e.batchAckedAt, e.placingStartedAt, e.bypassedRecords = now, now, 0
	e.placer = placer.New(e.state, e.configOrEmpty(), placer.Options{
		Lease: min(maxLease, millis(e.settings.Bounds.MaxLeaseMS)), MaxLease: millis(e.settings.Bounds.MaxLeaseMS), MaxRenewalWithoutLog: maxLogOutage,
		EarlyStart: millis(e.settings.Bounds.EarlyMS), StopTimeout: millis(e.settings.Bounds.StopMS), LinkMbps: e.settings.Limits.LinkMbps,
	}, now)
	e.metrics.claims.WithLabelValues("won").Inc()
	e.log.Emit(evPlacerBegan, "offset", e.state.FencingToken-1, "epoch", e.state.Claim.Epoch, "jobs", len(e.state.Jobs), "runs", e.placer.ActiveRuns())
	go e.watchRegistry(placing, e.placer)
	go e.retireFormerPlacer(placing, e.placer, former)
}

// retireFormerPlacer asks the former placer to stop, so that what it ordered is bounded by leases
// that end soon. Without an answer its orders are bounded by the time over which a
// placer without the log renews leases.
func (e *engine) retireFormerPlacer(ctx context.Context, p *placer.Placer, former flow.Claim) {
	for try := 0; try < maxRetireTries && ctx.Err() == nil; try++ {
		err := error(nil)
		if former.Daemon != "" && former.Address != e.settings.Listen.Peers {
			bounded, cancel := context.WithTimeout(ctx, retireTimeout)
			err = e.peers.yield(bounded, former.Address, former.Epoch)
			cancel()
		}
		if err == nil {
			e.do(ctx, func(e *engine) {
				if e.placer == p {
					e.log.Emit(evPlacerRetired, "former", former.Daemon, "epoch", former.Epoch, "tries", try+1)
					p.FormerPlacerRetired(bootclock.Now())
				}
			})
			return
		}
	}
}

// yield ends the placer of an epoch on behalf of its successor.
func (e *engine) yield(epoch int64) {
	if e.placer != nil && e.placer.Epoch() <= epoch {
		e.stopPlacing("a successor asked")
	}
}

// stopPlacing stops placing, if this daemon does.
func (e *engine) stopPlacing(reason string) {
	if e.placer == nil {
		return
	}
	e.cancelPlacing()
	e.placer, e.appending, e.handingOver = nil, false, false
	e.isPlacer.Store(false)
	e.log.Emit(evPlacerEnded, "reason", reason, "epoch", e.claimEpoch)
}

func (e *engine) claimIfDue(ctx context.Context, now time.Duration) {
	if e.draining || e.claiming || e.config == nil || e.readToEndAt < e.claimedAt {
		return // the outcome of the last claim has not been read yet
	}
	if e.claimConflictAt > 0 && now-e.claimConflictAt < claimConflictBackoff {
		return // a higher claim waits at the log
	}
	watch := placer.ClaimInput{
		Now: now, ReadySince: max(e.readableSince, e.firstConfigAt), CaughtUpAt: e.readToEndAt, LogRoundTrip: e.roundTrip, Jitter: e.claimJitter,
		Rank: placer.ClaimRank(e.state, e.hello(), now), StrongerPresent: placer.HasStronger(e.state, e.hello(), now) || e.store.directDown.Load() ||
			e.isolatedAt > 0 && now-e.isolatedAt < isolationBackoff, MaxRecordGap: e.placerGaps.longest(now),
		FailoverTimeout: time.Duration(failoverBoundShare * float64(millis(e.settings.Bounds.FailoverMS))),
	}
	if _, claim := placer.ShouldClaim(e.state, watch); !claim {
		return
	}
	e.claiming = true
	sent := now
	e.refresh(ctx, func(e *engine, ok bool) {
		e.claiming = false
		watch.Now, watch.CaughtUpAt = bootclock.Now(), e.readToEndAt
		e.probeTimes.record(e.probedAt-sent, e.probedAt)
		watch.MaxLogLatency = max(e.probeTimes.longest(watch.Now), e.writer.appendTimes.longest(watch.Now))
		if reason, claim := placer.ShouldClaim(e.state, watch); claim && ok {
			e.claimUnlessPlacerAlive(ctx, reason)
		}
	})
}

// claimUnlessPlacerAlive claims, unless the log is slow and the placer's daemon answers: its
// records wait at the log, where those of a successor would only wait behind them.
func (e *engine) claimUnlessPlacerAlive(ctx context.Context, reason string) {
	former := e.state.Claim
	if !e.store.storeSlow.Load() || former.Daemon == "" || former.Daemon == e.settings.Name || bootclock.Now()-e.state.LastHeard > maxBusyPlacerSilence {
		e.claim(ctx, reason, nil)
		return
	}
	e.claiming = true
	go func() {
		busy := e.writer.alive(ctx, former.Address)
		e.do(ctx, func(e *engine) {
			e.claiming = false
			if !busy && e.state.Claim == former && !e.draining {
				e.claim(ctx, reason, nil)
			}
		})
	}()
}

// claim appends a claim under a new epoch. It counts once it is read back. The outcome of
// the append is told to done, which may be nil.
func (e *engine) claim(ctx context.Context, reason string, done func(stored bool)) {
	rank := placer.ClaimRank(e.state, e.hello(), bootclock.Now())
	epoch := placer.NextEpoch(e.state, rank, e.rng)
	e.claiming, e.claimEpoch = true, epoch
	e.appender = &fencedAppender{log: e.store, fence: cluster.Fence{Producer: "placer", Epoch: epoch}, logSlow: e.store.storeSlow.Load}
	e.log.Emit(evClaim, "reason", reason, "epoch", epoch, "former", e.state.Claim.Daemon, "former_epoch", e.state.Claim.Epoch,
		"rank", rank,
		"silent_ms", (bootclock.Now() - e.state.LastHeard).Milliseconds(), "offset", e.state.NextOffset)
	record := &flow.Record{Claim: &flow.Claim{Daemon: e.settings.Name, Address: e.settings.Listen.Peers, Epoch: epoch, StartedMS: e.started}}
	appender := e.appender
	go func() {
		bounded, cancel := context.WithTimeout(ctx, 2*slowStoreTimeout)
		defer cancel()
		offset, err := appender.append(bounded, record)
		e.do(ctx, func(e *engine) {
			e.claiming, e.claimedAt = false, bootclock.Now()
			if fault.Is(err, fault.Conflict) {
				e.claimConflictAt = e.claimedAt
			}
			if err != nil {
				e.metrics.claims.WithLabelValues("not stored").Inc()
				e.log.Emit(evPlacerEnded, "reason", "the claim was not stored: "+err.Error(), "epoch", epoch)
			} else if offset >= e.state.NextOffset {
				e.ackedAppends[offset] = decoded{record: *record}
				e.applyAcked(ctx, bootclock.Now())
			}
			if done != nil {
				done(err == nil)
			}
			e.wakeReader()
		})
	}()
}

// succeed claims on behalf of a placer that has stopped and chose this daemon. Nobody else
// needs to notice that, and no silence has to pass.
func (e *engine) succeed(ctx context.Context, epoch int64, reply chan<- bool) {
	if e.draining || e.claiming || e.config == nil || e.placer != nil || e.logUnreachable || !e.readState().atMostOld(readyReadAge, bootclock.Now()) || e.store.directDown.Load() || e.state.Claim.Epoch != epoch {
		reply <- false
		return
	}
	e.claim(ctx, "the placer hands over", func(stored bool) { reply <- stored })
}

// handOverIfDue gives up the claim when this daemon is cut off from the others, when it
// reaches the log through them only, or when a much stronger one is there: a small VM places
// only while no other does.
func (e *engine) handOverIfDue(now time.Duration) {
	if e.handingOver || now-e.placingStartedAt < handOverDelay ||
		len(placer.Successors(e.state, e.settings.Name, now, time.Now().UnixMilli())) == 0 {
		return
	}
	if e.isolated(now) {
		e.isolatedAt = now
		e.handingOver = true
		return
	}
	e.handingOver = e.directPathFailed(now) || placer.HasStronger(e.state, e.hello(), now)
}

// directPathFailed reports whether this daemon's own path to the log has been down for a
// while in which other daemons brought its records there: each of them is late then. While
// the log is away from everybody the placer stays, as it renews the workers' leases.
func (e *engine) directPathFailed(now time.Duration) bool {
	if !e.store.directDown.Load() {
		e.directDownSince = 0
		return false
	}
	if e.directDownSince == 0 {
		e.directDownSince = now
	}
	return now-e.directDownSince > handOverDelay && now-e.batchAckedAt < handOverDelay
}

// isolated reports whether the placer is cut off from at least half of the daemons while
// they live: it gets no advice through them, and they append callers' records past it.
func (e *engine) isolated(now time.Duration) bool {
	failing, all := e.placer.FailingAdvisers()
	most := 2*failing >= all
	if e.writer.weakPlacer.Load() {
		most = failing == all // all records are appended past a weak placer, and its link makes some calls late
	}
	return all > 2 && most && e.bypassedRecords >= isolationBypassedRecords && now-e.lastBypassAt < handOverDelay
}

// beginDrain begins a planned stop: the placer records what it knows and gives up its claim,
// so that another daemon takes over at once. Workers keep their leases meanwhile.
func (e *engine) beginDrain(ctx context.Context) {
	e.draining = true
	e.sendHello(ctx, true)
	e.handingOver = e.placer != nil
}

// handOver asks daemons in turn to take over and reports whether one has.
func (e *engine) handOver(ctx context.Context, successors []flow.Hello, epoch int64) bool {
	for i := 0; i < min(maxHandOverTries, len(successors)); i++ {
		bounded, cancel := context.WithTimeout(ctx, handOverTimeout)
		var done bool
		err := e.peers.call(bounded, successors[i].Address, succeedMethod, &SucceedArgs{epoch}, &done)
		cancel()
		if err == nil && done {
			e.log.Emit(evPlacerHandedOver, "successor", successors[i].Daemon, "epoch", epoch, "tries", i+1)
			return true
		}
		if err != nil {
			e.log.Emit(evPeerUnreachable, "peer", successors[i].Daemon, "reason", err.Error())
			return false // it may have claimed: the release tells everybody
		}
	}
	return false
}

// release gives up the claim behind the last batch, to a daemon that takes over if there
// is one.
func (e *engine) release(ctx context.Context) {
	batch, _, due := e.placer.Flush(bootclock.Now())
	batch.Begins = nil // nothing begins after the release
	appender, epoch := e.appender, e.placer.Epoch()
	successors := placer.Successors(e.state, e.settings.Name, bootclock.Now(), time.Now().UnixMilli())
	if e.isolatedAt > 0 && bootclock.Now()-e.isolatedAt < handOverDelay {
		successors = nil // none would be reached
	}
	e.stopPlacing("planned stop or hand-over")
	go func() {
		bounded, cancel := context.WithTimeout(ctx, drainTimeout)
		defer cancel()
		if due && len(batch.Ends) > 0 {
			if _, err := appender.append(bounded, &flow.Record{Batch: &batch}); err != nil {
				e.log.Emit(evPlacerEnded, "reason", "the last batch was not stored: "+err.Error(), "epoch", epoch)
			}
		}
		if e.handOver(bounded, successors, epoch) {
			return
		}
		if _, err := appender.append(bounded, &flow.Record{Release: &flow.Release{Daemon: e.settings.Name, Epoch: epoch}}); err != nil {
			e.log.Emit(evPlacerEnded, "reason", "the release was not stored: "+err.Error(), "epoch", epoch)
		}
	}()
}
