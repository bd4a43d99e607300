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

// handleClaim handles a claim that was just applied to the state. It ends the placer of this
// daemon, if there is one, and starts a new one if the claim is the last that this process sent.
func (e *engine) handleClaim(ctx context.Context, now time.Duration) {
	e.stopPlacing("another claim was applied")
	e.claimConflictAt = 0
	own := e.state.Claim.Daemon == e.settings.Name && e.state.Claim.StartedMS == e.startedMS
	if !own {
		e.handleOthersClaim(now)
	}
	if !own || e.state.Claim.Epoch != e.claimEpoch || e.claimEpoch <= e.yieldedEpoch {
		return
	}
	switch {
	case e.gap != nil && !e.state.Claim.Truncated:
		return // records have expired since the claim was sent
	case e.gap != nil:
		e.giveUpGap(now)
	}
	placingCtx, cancel := context.WithCancel(ctx)
	e.placingContext, e.cancelPlacing = placingCtx, cancel
	e.snapshotWriter = &snapshotWriter{store: e.platform, linkBytesPerSecond: e.settings.Limits.LinkMbps * bytesPerMbit, fence: cluster.Fence{Producer: "placer", Epoch: e.claimEpoch}}
	e.savingSnapshot, e.lastSnapshotAt = false, now
	e.snapshotRetryAt, e.snapshotSavedAt, e.snapshotNote = 0, 0, nil
	// The log may have superseded the claim at any time since it was sent.
	e.batchAckedAt, e.placingStartedAt, e.bypassedRecords = e.claimSentAt, now, 0
	e.handingOver = e.draining // the planned stop began after the claim was sent
	e.placer = placer.New(e.state, e.configOrEmpty(), placer.Options{
		Lease: min(maxLease, millis(e.settings.Bounds.MaxLeaseMS)), MaxLease: millis(e.settings.Bounds.MaxLeaseMS), MaxRenewalWithoutLog: maxLogOutage,
		EarlyStart: millis(e.settings.Bounds.EarlyMS), StopTimeout: millis(e.settings.Bounds.StopMS), LinkMbps: e.settings.Limits.LinkMbps,
		OpenPolls:    e.settings.Limits.openPolls(),
		RemoteFactor: e.settings.Bounds.RemoteFactor,
	}, now)
	e.metrics.claims.WithLabelValues("won").Inc()
	e.log.Emit(evPlacerBegan, "offset", e.state.ClaimToken-1, "epoch", e.state.Claim.Epoch, "jobs", len(e.state.Jobs), "runs", e.placer.ActiveRuns())
	go e.watchRegistry(placingCtx, e.placer)
	e.retireFormerPlacers(placingCtx, e.placer, now)
}

// retireFormerPlacers asks the placers of all earlier claims that may still renew leases to stop, each
// until it answers or can't renew any lease any more.
func (e *engine) retireFormerPlacers(ctx context.Context, p *placer.Placer, now time.Duration) {
	former := p.FormerPlacers(now)
	e.log.Emit(evFormerPlacers, "epoch", p.Epoch(), "former", formerNames(former))
	for _, claim := range former {
		go e.retireFormerPlacer(ctx, p, claim, now+maxLogOutage)
	}
}

func formerNames(claims []flow.Claim) []string {
	names := make([]string, len(claims))
	for i := range claims {
		names[i] = claims[i].Daemon
	}
	return names
}

// retireFormerPlacer asks a former placer to stop. Once it has stopped, it renews no more leases, so that
// the last one that it granted ends soon. No answer and a refused connection leave open whether it runs.
func (e *engine) retireFormerPlacer(ctx context.Context, p *placer.Placer, former flow.Claim, until time.Duration) {
	for tries := 1; ctx.Err() == nil && bootclock.Now() < until; tries++ {
		callCtx, cancel := context.WithTimeout(ctx, retireTimeout)
		err := e.peers.yield(callCtx, former.Address, former.Epoch)
		cancel()
		if err == nil {
			e.do(ctx, func(e *engine) {
				if e.placer == p {
					e.log.Emit(evPlacerRetired, "former", former.Daemon, "epoch", former.Epoch, "tries", tries)
					p.FormerPlacerRetired(former.Daemon, former.Epoch, bootclock.Now())
				}
			})
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(retireRetryDelay):
		}
	}
}

// yield stops placing at the request of a successor if this daemon's epoch is not newer than
// the given one. A claim of this daemon that is applied later has no effect either.
func (e *engine) yield(epoch int64) {
	e.yieldedEpoch = max(e.yieldedEpoch, epoch)
	if e.placer != nil && e.placer.Epoch() <= epoch {
		e.stopPlacing("requested by the successor")
	}
}

// stopPlacing ends the placer of this daemon, if it has one.
func (e *engine) stopPlacing(reason string) {
	if e.placer == nil {
		return
	}
	e.cancelPlacing()
	e.placer, e.appending, e.handingOver = nil, false, false
	e.isPlacer.Store(false)
	e.log.Emit(evPlacerEnded, "reason", reason, "epoch", e.claimEpoch)
}

// claimIfDue claims if placer.ShouldClaim decides so twice: on the present state, and again after
// the log has been read up to its end.
func (e *engine) claimIfDue(ctx context.Context, now time.Duration) {
	if e.draining || e.claiming || e.config == nil || e.readToEndAt < e.claimAnsweredAt {
		return // the outcome of the last claim has not been read yet
	}
	if e.claimConflictAt > 0 && now-e.claimConflictAt < claimConflictBackoff {
		return // a higher claim is stored but has not been read yet
	}
	input := placer.ClaimInput{
		Now: now, ReadySince: max(e.readableSince, e.firstConfigAt), CaughtUpAt: e.readToEndAt, LogRoundTrip: e.roundTrip, Jitter: e.claimJitter,
		MaxRecordGap: e.batchGaps.longest(now), FailoverTimeout: time.Duration(failoverBoundShare * float64(millis(e.settings.Bounds.FailoverMS))),
	}
	if placer.PlacerHeard(e.state, &input) {
		return
	}
	input.Rank = placer.ClaimRank(e.state, e.hello(), now)
	input.PreferOthers = placer.HasHigherCapacity(e.state, e.hello(), now) || e.store.directDown.Load() ||
		e.steppedDownAt > 0 && now-e.steppedDownAt < stepDownBackoff
	if _, shouldClaim := placer.ShouldClaim(e.state, input); !shouldClaim {
		return
	}
	e.claiming = true
	querySentAt := now
	e.refresh(ctx, func(e *engine, ok bool) {
		e.claiming = false
		input.Now, input.CaughtUpAt = bootclock.Now(), e.readToEndAt
		e.endQueryTimes.record(e.endQueryAnsweredAt-querySentAt, e.endQueryAnsweredAt)
		input.MaxLogLatency = max(e.endQueryTimes.longest(input.Now), e.writer.appendTimes.longest(input.Now))
		if reason, shouldClaim := placer.ShouldClaim(e.state, input); shouldClaim && ok && !e.draining {
			e.claimUnlessPlacerAlive(ctx, reason)
		}
	})
}

// claimUnlessPlacerAlive claims, unless the log is slow and the placer's daemon answers. In that
// case the placer's records wait at the log, and those of a successor would only queue behind them.
func (e *engine) claimUnlessPlacerAlive(ctx context.Context, reason string) {
	currentClaim := e.state.Claim
	if !e.store.storeSlow.Load() || currentClaim.Daemon == "" || currentClaim.Daemon == e.settings.Name || bootclock.Now()-e.state.LastHeard > maxBusyPlacerSilence {
		e.claim(ctx, reason, nil)
		return
	}
	e.claiming = true
	go func() {
		alive := e.writer.alive(ctx, currentClaim.Address)
		e.do(ctx, func(e *engine) {
			e.claiming = false
			if !alive && e.state.Claim == currentClaim && !e.draining && e.gap == nil {
				e.claim(ctx, reason, nil)
			}
		})
	}()
}

// claim appends a claim under a new epoch. The claim takes effect once it is applied to the
// state. If done is not nil, it is called with the outcome of the append.
func (e *engine) claim(ctx context.Context, reason string, done func(stored bool)) {
	rank := placer.ClaimRank(e.state, e.hello(), bootclock.Now())
	epoch := placer.NextEpoch(e.state, rank, e.rng)
	e.claiming, e.claimEpoch, e.claimSentAt = true, epoch, bootclock.Now()
	e.appender = &fencedAppender{log: e.store, fence: cluster.Fence{Producer: "placer", Epoch: epoch}, logSlow: e.store.storeSlow.Load}
	e.log.Emit(evClaim, "reason", reason, "epoch", epoch, "former", e.state.Claim.Daemon, "former_epoch", e.state.Claim.Epoch,
		"rank", rank,
		"silent_ms", (bootclock.Now() - e.state.LastHeard).Milliseconds(), "offset", e.state.NextOffset)
	record := &flow.Record{Claim: &flow.Claim{Daemon: e.settings.Name, Address: e.settings.Listen.Peers, Epoch: epoch, StartedMS: e.startedMS, Truncated: e.gap != nil}}
	appender := e.appender
	go func() {
		appendCtx, cancel := context.WithTimeout(ctx, 2*slowStoreTimeout)
		defer cancel()
		offset, err := appender.append(appendCtx, record)
		e.do(ctx, func(e *engine) {
			e.claiming, e.claimAnsweredAt = false, bootclock.Now()
			if fault.Is(err, fault.Conflict) {
				e.claimConflictAt = e.claimAnsweredAt
			}
			if err != nil {
				e.metrics.claims.WithLabelValues("not stored").Inc()
				e.log.Emit(evPlacerEnded, "reason", "appending the claim failed: "+err.Error(), "epoch", epoch)
			} else if offset >= e.state.NextOffset {
				e.ackedAppends[offset] = decodedRecord{record: *record}
				e.applyAcked(ctx, bootclock.Now())
			}
			if done != nil {
				done(err == nil)
			}
			e.wakeReader()
		})
	}()
}

// succeed claims at the request of a placer that has stopped and chose this daemon as its
// successor. The other daemons then need not wait until the placer has been silent for long
// enough. The reply reports whether the claim was stored.
func (e *engine) succeed(ctx context.Context, epoch int64, reply chan<- bool) {
	if e.draining || e.claiming || e.config == nil || e.placer != nil || e.logUnreachable || !e.readState().noOlderThan(readyReadAge, bootclock.Now()) || e.store.directDown.Load() || e.state.Claim.Epoch != epoch {
		reply <- false
		return
	}
	e.claim(ctx, "the former placer hands over", func(stored bool) { reply <- stored })
}

// handOverIfDue begins a hand-over when this daemon is isolated from the other daemons, when it
// reaches the log only through them, or when a daemon with much more capacity is alive: a daemon on
// a small VM is the placer only while no daemon on a larger VM can be.
func (e *engine) handOverIfDue(now time.Duration) {
	if e.handingOver || now-e.placingStartedAt < handOverDelay {
		return
	}
	if _, found := placer.BestSuccessor(e.state, e.settings.Name, now, time.Now().UnixMilli()); !found {
		return
	}
	if e.isolated(now) {
		e.steppedDownAt = now
		e.handingOver = true
		return
	}
	e.handingOver = e.directPathFailed(now) || placer.HasHigherCapacity(e.state, e.hello(), now)
}

// directPathFailed reports whether this daemon's direct path to the log has been down for
// handOverDelay while other daemons relayed its records, which delays every record. While no
// daemon reaches the log, the placer does not change, because it renews the workers' leases.
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

// isolated reports whether the placer can't reach at least half of the daemons although they are
// alive: calls for advice through them fail, and they append callers' records without forwarding
// them to the placer.
func (e *engine) isolated(now time.Duration) bool {
	failing, total := e.placer.FailingAdvisers()
	mostFailing := 2*failing >= total
	if e.writer.lowCapacityPlacer.Load() {
		mostFailing = failing == total // other daemons append past a low-capacity placer even if they reach it, and its slow link makes some calls time out
	}
	return total > 2 && mostFailing && e.bypassedRecords >= isolationBypassThreshold && now-e.lastBypassAt < handOverDelay
}

// beginDrain begins a planned stop. If this daemon is the placer, it stores its last results
// and releases its claim, so that another daemon takes over at once. Workers keep their
// leases meanwhile.
func (e *engine) beginDrain(ctx context.Context) {
	e.draining = true
	e.sendHello(ctx, true)
	e.handingOver = e.placer != nil
}

// handOver asks up to maxHandOverTries daemons, one after the other, to take over and reports
// whether one has.
func (e *engine) handOver(ctx context.Context, successors []flow.Hello, epoch int64) bool {
	for i := 0; i < min(maxHandOverTries, len(successors)); i++ {
		callCtx, cancel := context.WithTimeout(ctx, handOverTimeout)
		var accepted bool
		err := e.peers.call(callCtx, successors[i].Address, succeedMethod, &SucceedArgs{epoch}, &accepted)
		cancel()
		if err == nil && accepted {
			e.log.Emit(evPlacerHandedOver, "successor", successors[i].Daemon, "epoch", epoch, "tries", i+1)
			return true
		}
		if err != nil {
			e.log.Emit(evPeerUnreachable, "peer", successors[i].Daemon, "reason", err.Error())
			return false // it may have claimed; the release tells all daemons that this one has stopped placing
		}
	}
	return false
}

// releaseClaim stops placing, appends the results of the last batch and hands over to a
// successor. If none takes over, it appends a release of the claim.
func (e *engine) releaseClaim(ctx context.Context) {
	batch, _, batchDue := e.placer.Flush(bootclock.Now())
	batch.Begins = nil // no run starts after the release
	appender, epoch := e.appender, e.placer.Epoch()
	successors := placer.Successors(e.state, e.settings.Name, bootclock.Now(), time.Now().UnixMilli())
	if e.steppedDownAt > 0 && bootclock.Now()-e.steppedDownAt < handOverDelay {
		successors = nil // an isolated daemon reaches none of them
	}
	e.stopPlacing("planned stop or hand-over")
	e.snapshotRetryAt = bootclock.Now() + lastSaveDelay
	go func() {
		drainCtx, cancel := context.WithTimeout(ctx, drainTimeout)
		defer cancel()
		if batchDue && len(batch.Ends) > 0 {
			if _, err := appender.append(drainCtx, &flow.Record{Batch: &batch}); err != nil {
				e.log.Emit(evPlacerEnded, "reason", "appending the last batch failed: "+err.Error(), "epoch", epoch)
			}
		}
		if e.handOver(drainCtx, successors, epoch) {
			return
		}
		if _, err := appender.append(drainCtx, &flow.Record{Release: &flow.Release{Daemon: e.settings.Name, Epoch: epoch}}); err != nil {
			e.log.Emit(evPlacerEnded, "reason", "appending the release failed: "+err.Error(), "epoch", epoch)
		}
	}()
}
