package placer

import (
	"time"

	"briarproxy/core/cluster"
	"briarproxy/core/flow"
)

// Tick does what is due at the given time (boot clock and Unix ms): it ends runs whose leases
// have expired, stops runs, retries start commands, plans and polls workers.
func (p *Placer) Tick(now time.Duration, wallMS int64) []Command {
	p.reportPause(now)
	p.wallOffsetMS = wallMS - now.Milliseconds()
	commands := p.queuedCommands
	p.queuedCommands = nil
	p.activateDue(now, wallMS+p.options.EarlyStart.Milliseconds()/2)
	scanDue := now-p.lastScanAt >= max(scanInterval, scanIntervalPerRun*time.Duration(len(p.runs)))
	if scanDue {
		p.lastScanAt = now
		p.endExpiredRuns(now)
		p.evacuate(now)
		commands = p.stopUnwanted(commands, now)
	}
	commands = p.retryStarts(commands, now)
	if (p.planNeeded || p.waits.recheckAt > 0 && now >= p.waits.recheckAt) && now-p.lastPlanAt >= p.nextPlanDelay() {
		p.planNeeded, p.lastPlanAt = false, now
		commands = p.plan(commands, now, wallMS)
	}
	if scanDue {
		commands = p.pollWorkers(commands, now)
	}
	return commands
}

// endExpiredRuns ends the runs of workers on which all leases have certainly expired, and which have not
// answered when they were asked.
func (p *Placer) endExpiredRuns(now time.Duration) {
	formerLeaseEnd := p.formerLeaseEnd()
	p.workersWithRuns = 0
	for _, v := range p.vms {
		if len(v.runs) > 0 {
			p.workersWithRuns++
		} else if len(v.untracked) == 0 {
			continue
		}
		end, grantedBy := v.leaseEnd(formerLeaseEnd)
		if now <= end {
			continue
		}
		if len(v.untracked) > 0 {
			p.countUntracked(v, nil)
			p.planNeeded = true
		}
		if !v.askedInVain() {
			continue
		}
		n := 0
		for _, r := range v.runs {
			if r.mayHaveStarted() {
				p.reportSilence(r, now)
				p.suspectStep(r, now)
				p.markLostStart(r)
				p.endRun(r, cluster.LeaseExpired, "", now)
				n++
			}
		}
		if n > 0 {
			p.addDecision(Decision{Kind: "lease ended", Worker: v.Life.Worker, Reason: "the last lease was granted by " + grantedBy, Age: now - v.answeredAt})
		}
	}
}

// stopUnwanted sends stop commands for the runs that are no longer wanted.
func (p *Placer) stopUnwanted(commands []Command, now time.Duration) []Command {
	for _, r := range p.runs {
		if r.wanted && r.state != stopping {
			continue
		}
		switch r.state {
		case ticketing:
			p.endRun(r, cluster.NeverStarted, "", now)
		case uncertain, running:
			r.transition(stopRequested)
			commands = p.stopRun(commands, r, now)
		case stopping:
			if !r.stopInFlight && (r.stopSentAt == 0 || now-r.stopSentAt > stopRetryInterval) {
				commands = p.stopRun(commands, r, now)
			}
		}
	}
	return commands
}

func (p *Placer) stopRun(commands []Command, r *run, now time.Duration) []Command {
	if r.vm.Address == "" {
		return commands
	}
	r.stopSentAt, r.stopInFlight = now, true
	p.addDecision(Decision{Kind: "stop sent", Job: r.Job, Task: r.TaskID, Run: r.Run, Worker: r.vm.Life.Worker, Value: p.token})
	return append(commands, Command{Stop: &StopCommand{Life: r.vm.Life, Address: r.vm.Address, Run: r.RunID, Token: p.token}})
}

// pollWorkers polls the workers for which a poll is due and renews the leases of those that have
// runs and have answered recently. Polls that renew nothing do not wait for an end, so that a worker that
// this placer has not asked for a while is known to answer, and its leases are renewed, before they end.
func (p *Placer) pollWorkers(commands []Command, now time.Duration) []Command {
	for _, v := range p.vms {
		if v.pollInFlight || now < v.nextPollAt || v.Address == "" || !p.needsPoll(v, now) {
			continue
		}
		renewal := cluster.LeaseRenewal{Token: p.token}
		if v.allRunsListed() {
			renewal.Confirmed = v.recordedUpTo
		}
		if len(v.runs) > 0 && v.clockKnown {
			if v.missedPolls == 0 && now-v.answeredAt < maxSilenceForRenewal {
				renewal.Wait = p.pollWait(v)
				renewal.LeaseUntil = v.clockLowerBoundMS(now) + p.leaseDuration(v, now).Milliseconds()
				v.leaseUntilMS = max(v.leaseUntilMS, renewal.LeaseUntil)
			}
		}
		v.pollInFlight, v.pollSentAt = true, now
		commands = append(commands, Command{Poll: &PollCommand{Life: v.Life, Address: v.Address, Renewal: renewal}})
	}
	return commands
}

// needsPoll reports whether a poll of the worker is useful now.
func (p *Placer) needsPoll(v *vm, now time.Duration) bool {
	switch {
	case !v.tokenSeen || !v.clockKnown:
		return v.inRegistry || len(v.runs) > 0
	case len(v.unrecordedEnds) > 0:
		return now-v.pollSentAt > time.Second // a poll sooner would only list the same ends again
	case len(v.runs) > 0:
		return true
	case v.recordedUpTo > v.confirmedUpTo:
		return true
	case len(p.lostStarts[v.Life.Worker]) > 0:
		return v.inRegistry && now-v.pollSentAt > silentPollInterval
	case v.missedPolls > 0:
		return v.inRegistry && now-v.pollSentAt > silentPollInterval
	default:
		return v.inRegistry && now-v.answeredAt > idlePollInterval
	}
}

// pollWait returns how long the worker may delay its answer to a poll until a run ends: not at all
// if the worker has missed polls, or if one of its runs is uncertain or being stopped.
func (p *Placer) pollWait(v *vm) time.Duration {
	if v.missedPolls > 0 {
		return 0
	}
	wait := p.longestPollWait()
	if serving, backfill, _ := p.countServingAndBackfill(v); serving > 0 && backfill > 0 {
		wait = min(wait, pacingPollWait)
	}
	for _, r := range v.runs {
		if r.state == uncertain || r.state == stopping || r.awaitsTrial() {
			return 0
		}
	}
	return wait
}

// longestPollWait returns the longest wait of a poll with which the polls that may be under way reach all
// workers as often as they do when there are enough of them. Otherwise renewals would wait for their turn
// behind polls that wait for an end, until the leases have ended.
func (p *Placer) longestPollWait() time.Duration {
	if p.options.OpenPolls <= 0 || p.workersWithRuns <= p.options.OpenPolls {
		return maxPollWait
	}
	perPoll := (maxPollWait + pollInterval) * time.Duration(p.options.OpenPolls) / time.Duration(p.workersWithRuns)
	return max(0, min(maxPollWait, perPoll-pollRoundTrip))
}

// Flush returns the batch to append next, and false if none is due. The caller appends one batch
// at a time and passes the runs to BatchAppended when the log has acknowledged it.
func (p *Placer) Flush(now time.Duration) (batch flow.Batch, runs []*run, ok bool) {
	n := len(p.pendingBatch.Begins) + len(p.pendingBatch.Ends)
	if len(p.pendingBatch.StartedJobs) > 0 && now-p.flushedAt >= maxStartedJobsDelay {
		n++
	}
	if n == 0 && now-p.flushedAt < heartbeatInterval || n > 0 && now-p.flushedAt < batchInterval {
		return flow.Batch{}, nil, false
	}
	batch, runs = p.pendingBatch, p.pendingRuns
	batch.Epoch, batch.AtMS = p.epoch, p.wallAtMS(now)
	batch.Speeds = p.speeds.estimator.TakeChanges(maxSpeedsPerBatch)
	p.pendingBatch, p.pendingRuns = flow.Batch{}, nil
	p.flushedAt = now
	return batch, runs, true
}

// recordBegin adds the planned run to the next batch. A run that needs a ticket already has one.
func (p *Placer) recordBegin(r *run) {
	p.pendingBatch.Begins = append(p.pendingBatch.Begins, flow.Begin{RunID: r.RunID, Life: r.vm.Life, Checkpoint: r.checkpoint})
	p.pendingRuns = append(p.pendingRuns, r)
	r.beganMS = p.wallAtMS(r.plannedAt)
}
