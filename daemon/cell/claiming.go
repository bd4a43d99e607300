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

// claimed follows a claim that was read.
func (e *engine) claimed(ctx context.Context, former flow.Claim, now time.Duration) {
	e.endPlacer("another daemon claimed")
	e.outbidAt = 0
	mine := e.state.Claim.Daemon == e.settings.Name && e.state.Claim.Started == e.started
	if !mine || e.state.Claim.Epoch != e.claimEpoch {
		return
	}
	placing, stop := context.WithCancel(ctx)
	e.placing, e.stopPlacer = placing, stop
	e.saver = &saver{store: e.platform, rate: e.settings.Limits.LinkMbps * bytesPerMbit, fence: cluster.Fence{Producer: "placer", Epoch: e.claimEpoch}}
	e.saving, e.savedAt = false, now
	e.ackedAt, e.placingSince, e.bypassed = now, now, 0
	e.placer = placer.New(e.state, e.configOrEmpty(), placer.Options{
		Lease: min(leaseMost, ms(e.settings.Bounds.MaxLeaseMS)), MaxLease: ms(e.settings.Bounds.MaxLeaseMS), Orphan: orphanTime,
		Early: ms(e.settings.Bounds.EarlyMS), Stop: ms(e.settings.Bounds.StopMS), LinkMbps: e.settings.Limits.LinkMbps,
	}, now)
	e.counts.claims.WithLabelValues("won").Inc()
	e.log.Emit(evPlacing, "offset", e.state.Token-1, "epoch", e.state.Claim.Epoch, "jobs", len(e.state.Jobs), "runs", e.placer.RunsActive())
	go e.watchRegistry(placing, e.placer)
	go e.retire(placing, e.placer, former)
}

// retire asks the former placer to stop, so that what it ordered is bounded by leases
// that end soon. Without an answer its orders are bounded by the time over which a
// placer without the log renews leases.
func (e *engine) retire(ctx context.Context, p *placer.Placer, former flow.Claim) {
	for try := 0; try < retireTries && ctx.Err() == nil; try++ {
		err := error(nil)
		if former.Daemon != "" && former.Address != e.settings.Listen.Peers {
			bounded, cancel := context.WithTimeout(ctx, retireTimeout)
			err = e.peers.yield(bounded, former.Address, former.Epoch)
			cancel()
		}
		if err == nil {
			e.do(ctx, func(e *engine) {
				if e.placer == p {
					e.log.Emit(evRetired, "former", former.Daemon, "epoch", former.Epoch, "tries", try+1)
					p.FormerRetired(bootclock.Now())
				}
			})
			return
		}
	}
}

// yield ends the placer of an epoch on behalf of its successor.
func (e *engine) yield(epoch int64) {
	if e.placer != nil && e.placer.Epoch() <= epoch {
		e.endPlacer("a successor asked")
	}
}

// endPlacer stops placing, if this daemon does.
func (e *engine) endPlacer(reason string) {
	if e.placer == nil {
		return
	}
	e.stopPlacer()
	e.placer, e.appending, e.leaving = nil, false, false
	e.isPlacer.Store(false)
	e.log.Emit(evPlacingEnd, "reason", reason, "epoch", e.claimEpoch)
}

func (e *engine) considerClaim(ctx context.Context, now time.Duration) {
	if e.draining || e.claiming || e.config == nil || e.readLast < e.claimedAt {
		return // the outcome of the last claim has not been read yet
	}
	if e.outbidAt > 0 && now-e.outbidAt < outbidWait {
		return // a higher claim waits at the log
	}
	watch := placer.Watch{
		Now: now, Able: max(e.readSince, e.configAt), ReadLast: e.readLast, RoundTrip: e.roundTrip, Jitter: e.jitter,
		Rank: placer.Rank(e.state, e.hello(), now), Weaker: placer.Weaker(e.state, e.hello(), now) || e.store.away.Load() ||
			e.isolatedAt > 0 && now-e.isolatedAt < isolationTime, Gap: e.gaps.longest(now),
		Failover: time.Duration(failoverShare * float64(ms(e.settings.Bounds.FailoverMS))),
	}
	if _, claim := placer.ShouldClaim(e.state, watch); !claim {
		return
	}
	e.claiming = true
	sent := now
	e.fresh(ctx, func(e *engine, ok bool) {
		e.claiming = false
		watch.Now, watch.ReadLast = bootclock.Now(), e.readLast
		e.slow.note(e.probedAt-sent, e.probedAt)
		watch.Probe = max(e.slow.longest(watch.Now), e.writer.slow.longest(watch.Now))
		if reason, claim := placer.ShouldClaim(e.state, watch); claim && ok {
			e.claimUnlessBusy(ctx, reason)
		}
	})
}

// claimUnlessBusy claims, unless the log is slow and the placer's daemon answers: its
// records wait at the log, where those of a successor would only wait behind them.
func (e *engine) claimUnlessBusy(ctx context.Context, reason string) {
	former := e.state.Claim
	if !e.store.slow.Load() || former.Daemon == "" || former.Daemon == e.settings.Name || bootclock.Now()-e.state.Heard > busyMost {
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
	rank := placer.Rank(e.state, e.hello(), bootclock.Now())
	epoch := placer.NextEpoch(e.state, rank, e.rng)
	e.claiming, e.claimEpoch = true, epoch
	e.appender = &fenced{log: e.store, fence: cluster.Fence{Producer: "placer", Epoch: epoch}, slow: e.store.slow.Load}
	e.log.Emit(evClaim, "reason", reason, "epoch", epoch, "former", e.state.Claim.Daemon, "former_epoch", e.state.Claim.Epoch,
		"rank", rank,
		"silent_ms", (bootclock.Now() - e.state.Heard).Milliseconds(), "offset", e.state.Next)
	record := &flow.Record{Claim: &flow.Claim{Daemon: e.settings.Name, Address: e.settings.Listen.Peers, Epoch: epoch, Started: e.started}}
	appender := e.appender
	go func() {
		bounded, cancel := context.WithTimeout(ctx, 2*slowTimeout)
		defer cancel()
		offset, err := appender.append(bounded, record)
		e.do(ctx, func(e *engine) {
			e.claiming, e.claimedAt = false, bootclock.Now()
			if fault.Is(err, fault.Conflict) {
				e.outbidAt = e.claimedAt
			}
			if err != nil {
				e.counts.claims.WithLabelValues("not stored").Inc()
				e.log.Emit(evPlacingEnd, "reason", "the claim was not stored: "+err.Error(), "epoch", epoch)
			} else if offset >= e.state.Next {
				e.ahead[offset] = decoded{record: *record}
				e.applyAhead(ctx, bootclock.Now())
			}
			if done != nil {
				done(err == nil)
			}
			e.wakeTail()
		})
	}()
}

// succeed claims on behalf of a placer that has stopped and chose this daemon. Nobody else
// needs to notice that, and no silence has to pass.
func (e *engine) succeed(ctx context.Context, epoch int64, reply chan<- bool) {
	if e.draining || e.claiming || e.config == nil || e.placer != nil || e.lost || !e.knowledge().within(readyWithin, bootclock.Now()) || e.store.away.Load() || e.state.Claim.Epoch != epoch {
		reply <- false
		return
	}
	e.claim(ctx, "the placer hands over", func(stored bool) { reply <- stored })
}

// considerHandOver gives up the claim when this daemon is cut off from the others, when it
// reaches the log through them only, or when a much stronger one is there: a small VM places
// only while no other does.
func (e *engine) considerHandOver(now time.Duration) {
	if e.leaving || now-e.placingSince < handOverAfter ||
		len(placer.Successors(e.state, e.settings.Name, now, time.Now().UnixMilli())) == 0 {
		return
	}
	if e.isolated(now) {
		e.isolatedAt = now
		e.leaving = true
		return
	}
	e.leaving = e.reachesLogBadly(now) || placer.Weaker(e.state, e.hello(), now)
}

// reachesLogBadly reports whether this daemon's own path to the log has been down for a
// while in which other daemons brought its records there: each of them is late then. While
// the log is away from everybody the placer stays, as it renews the workers' leases.
func (e *engine) reachesLogBadly(now time.Duration) bool {
	if !e.store.away.Load() {
		e.awaySince = 0
		return false
	}
	if e.awaySince == 0 {
		e.awaySince = now
	}
	return now-e.awaySince > handOverAfter && now-e.ackedAt < handOverAfter
}

// isolated reports whether the placer is cut off from at least half of the daemons while
// they live: it gets no advice through them, and they append callers' records past it.
func (e *engine) isolated(now time.Duration) bool {
	failing, all := e.placer.Unreachable()
	most := 2*failing >= all
	if e.writer.thin.Load() {
		most = failing == all // all records are appended past a weak placer, and its link makes some calls late
	}
	return all > 2 && most && e.bypassed >= bypassesMost && now-e.bypassedAt < handOverAfter
}

// leave begins a planned stop: the placer records what it knows and gives up its claim,
// so that another daemon takes over at once. Workers keep their leases meanwhile.
func (e *engine) leave(ctx context.Context) {
	e.draining = true
	e.sayHello(ctx, true)
	e.leaving = e.placer != nil
}

// handOver asks daemons in turn to take over and reports whether one has.
func (e *engine) handOver(ctx context.Context, successors []flow.Hello, epoch int64) bool {
	for i := 0; i < min(handOverTries, len(successors)); i++ {
		bounded, cancel := context.WithTimeout(ctx, handOverTimeout)
		var done bool
		err := e.peers.call(bounded, successors[i].Address, succeedMethod, &SucceedArgs{epoch}, &done)
		cancel()
		if err == nil && done {
			e.log.Emit(evHandedOver, "successor", successors[i].Daemon, "epoch", epoch, "tries", i+1)
			return true
		}
		if err != nil {
			e.log.Emit(evPeerLost, "peer", successors[i].Daemon, "reason", err.Error())
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
	if e.isolatedAt > 0 && bootclock.Now()-e.isolatedAt < handOverAfter {
		successors = nil // none would be reached
	}
	e.endPlacer("planned stop or hand-over")
	go func() {
		bounded, cancel := context.WithTimeout(ctx, drainTime)
		defer cancel()
		if due && len(batch.Ends) > 0 {
			if _, err := appender.append(bounded, &flow.Record{Batch: &batch}); err != nil {
				e.log.Emit(evPlacingEnd, "reason", "the last batch was not stored: "+err.Error(), "epoch", epoch)
			}
		}
		if e.handOver(bounded, successors, epoch) {
			return
		}
		if _, err := appender.append(bounded, &flow.Record{Release: &flow.Release{Daemon: e.settings.Name, Epoch: epoch}}); err != nil {
			e.log.Emit(evPlacingEnd, "reason", "the release was not stored: "+err.Error(), "epoch", epoch)
		}
	}()
}
