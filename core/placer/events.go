package placer

import (
	"time"

	"briarproxy/core/cluster"
	"briarproxy/core/flow"
)

// maxReportedEnds is the maximum number of run ends in one worker report.
const maxReportedEnds = 500

// RecordApplied processes a record that has just been applied to the state.
func (p *Placer) RecordApplied(r *flow.Record, now time.Duration) {
	switch {
	case r.Submit != nil:
		if j := p.state.Jobs[r.Submit.ID]; j != nil && j.Offset == p.state.NextOffset-1 {
			p.addJob(j, now)
			p.planNeeded = true
		}
	case r.Cancel != nil:
		p.dropJob(r.Cancel.ID)
	case r.Batch != nil:
		for i := range r.Batch.Ends {
			p.endRecorded(&r.Batch.Ends[i], now)
		}
	}
}

// endRecorded processes the record of a run's end after it was read back from the log.
func (p *Placer) endRecorded(end *flow.End, now time.Duration) {
	r := p.runs[end.TaskID]
	ownEnd := r != nil && r.Run == end.Run && r.state == ended
	if ownEnd {
		delete(p.runs, end.TaskID)
		if step := p.steps[end.StepID()]; step != nil {
			step.activeRuns--
		}
		r.vm.markEndRecorded(end.RunID)
	}
	p.lateEndRecorded(end)
	p.planNeeded = true
	p.lostStartRecorded(end, !ownEnd, now)
	pending := p.jobs[end.Job]
	if pending == nil {
		return
	}
	if pending.job.Phase.Final() {
		p.dropJob(end.Job)
		return
	}
	if s := pending.job.Step(end.Occurrence, end.Step); s != nil && s.Complete() {
		delete(p.steps, end.StepID())
		p.activate(pending, end.Occurrence, now)
	}
}

// BatchAppended processes the log's acknowledgement of a batch and starts its runs.
func (p *Placer) BatchAppended(runs []*run, now time.Duration) []Command {
	var commands []Command
	p.lastAppendDuration = now - p.flushedAt
	expired := p.expiredGangs(runs, now)
	for _, r := range runs {
		if r.state != logging || p.runs[r.TaskID] != r {
			continue
		}
		r.recorded = true
		switch {
		case !r.wanted:
			r.transition(logged)
			p.endRun(r, cluster.NeverStarted, "", now)
		case p.ticketExpired(r, now) || expired[r.StepID()]:
			r.transition(logged)
			p.addDecision(Decision{Kind: "start withdrawn", Job: r.Job, Task: r.TaskID, Run: r.Run, Worker: r.vm.Life.Worker, Reason: "the ticket expired while the plan was being recorded"})
			p.endRun(r, cluster.NeverStarted, "", now)
		default:
			r.transition(logged)
			commands = append(commands, p.firstStart(r, now))
		}
	}
	return commands
}

// ticketExpired reports whether the run's ticket would expire before it reaches the worker.
func (p *Placer) ticketExpired(r *run, now time.Duration) bool {
	return r.ticket.text != "" && now+p.deliveryTime(now) > r.ticket.validUntil
}

// deliveryTime returns the expected time from sending a command to its arrival at the worker: half
// the median latency of recent start commands, but at least ticketSendMargin.
func (p *Placer) deliveryTime(now time.Duration) time.Duration {
	return max(ticketSendMargin, p.startWindow.recentMedian(now)/2)
}

// sendDeadline returns the latest time at which a start command created now may be sent. The
// ticket limits only the first command: a retry also finds out whether the run has started on an
// earlier one, which needs no valid ticket.
func (p *Placer) sendDeadline(r *run, now time.Duration) time.Duration {
	expiry := now + p.options.Lease
	if r.ticket.text != "" && r.startsSent == 0 {
		expiry = min(expiry, r.ticket.validUntil)
	}
	return expiry - p.deliveryTime(now)
}

// expiredGangs returns the gangs in which the ticket of a member expired while the plan was
// being recorded. None of their members is started.
func (p *Placer) expiredGangs(runs []*run, now time.Duration) map[cluster.StepID]bool {
	var gangs map[cluster.StepID]bool
	for _, r := range runs {
		if def := p.stepDef(r); p.ticketExpired(r, now) && def != nil && def.Gang {
			if gangs == nil {
				gangs = map[cluster.StepID]bool{}
			}
			gangs[r.StepID()] = true
		}
	}
	return gangs
}

// recordJobStart adds the start of a job to the next batch, once per job.
func (p *Placer) recordJobStart(r *run) {
	pending := p.jobs[r.Job]
	if pending == nil || pending.startRecorded || pending.job.Phase != flow.Queued {
		return
	}
	pending.startRecorded = true
	p.addDecision(Decision{Kind: DecisionJobStarted, Job: r.Job, Reason: pending.job.Queue, Age: r.answeredAt - pending.readAt})
	p.pendingBatch.StartedJobs = append(p.pendingBatch.StartedJobs, r.Job)
}

// firstStart returns the first start command of a run.
func (p *Placer) firstStart(r *run, now time.Duration) Command {
	p.addDecision(Decision{Kind: "start sent", Job: r.Job, Task: r.TaskID, Run: r.Run, Worker: r.vm.Life.Worker, Age: now - r.plannedAt, Value: p.token})
	r.startSentAt = now
	p.recentStarts = append(p.recentStarts, r)
	p.retryBudget.AddRequest()
	return p.startCommand(r, p.chooseRelay(r.vm, r.spec, now), now)
}

// StartAnswered processes the answer to a start command. It reports whether the worker refused
// the command because a newer placer exists.
func (p *Placer) StartAnswered(c *StartCommand, result cluster.StartResult, clockMS int64, now time.Duration) (superseded bool) {
	v := p.vms[c.Life.Worker]
	if v == nil {
		return false
	}
	p.reportForeignLease(c.Life, c.Order.LeaseUntil, clockMS)
	if v.Life == c.Life {
		v.observeClock(clockMS, now)
	}
	p.checkIncarnation(v, c.Life, result, now)
	r := p.runs[c.Order.TaskID]
	if r == nil || r.Run != c.Order.Run || r.vm != v {
		return result == cluster.RefusedFenced
	}
	r.startsInFlight--
	p.updateStartWindow(r, now)
	if result == cluster.NoAnswer {
		p.relayFailed(c.Relay, now)
	}
	fenced := result == cluster.RefusedFenced
	if !r.isConclusive(result) {
		if r.startsInFlight > 0 || r.state != starting {
			return fenced
		}
		result = cluster.NoAnswer
	}
	switch result {
	case cluster.Started:
		v.consecutiveRefusals = 0
		r.transition(accepted)
		r.answeredAt, r.answered = now, true
		p.recordJobStart(r)
		return false
	case cluster.NoAnswer:
		r.transition(unanswered)
		r.answeredAt = now
		v.nextPollAt = now
		v.avoidUntil = max(v.avoidUntil, now+avoidAfterNoAnswer)
		p.updateCellWorker(v, now)
		p.addDecision(Decision{Kind: "start not answered", Job: r.Job, Task: r.TaskID, Run: r.Run, Worker: v.Life.Worker})
		return false
	}
	p.addDecision(Decision{Kind: "start refused", Job: r.Job, Task: r.TaskID, Run: r.Run, Worker: v.Life.Worker, Reason: string(result)})
	if !r.transition(refused) {
		return result == cluster.RefusedFenced
	}
	switch result {
	case cluster.RefusedOther:
		v.consecutiveRefusals++
		v.avoidUntil = now + avoidAfterRefusal*time.Duration(min(v.consecutiveRefusals, 8))
		p.updateCellWorker(v, now)
	case cluster.RefusedCapacity:
		v.avoidUntil = now + avoidAfterRefusal
		p.updateCellWorker(v, now)
	case cluster.RefusedTicket:
		if step := p.steps[r.StepID()]; step != nil {
			delete(step.grants, v.Life.Worker)
		}
	}
	p.endRun(r, cluster.NeverStarted, "", now)
	return fenced
}

// reportForeignLease reports a command that another incarnation of the worker than the intended one has
// executed. Its clock differs, so the lease may last up to MaxLease there.
func (p *Placer) reportForeignLease(intended cluster.Life, leaseUntilMS, clockMS int64) {
	granted := time.Duration(leaseUntilMS-clockMS) * time.Millisecond
	if clockMS <= 0 || leaseUntilMS <= 0 || granted <= p.options.Lease+leaseMargin {
		return
	}
	p.addDecision(Decision{Kind: decisionForeignLease, Worker: intended.Worker, Value: intended.Born, Age: min(granted, p.options.MaxLease)})
}

// checkIncarnation excludes a worker from placement and polls it if the answer to a command shows that
// the known incarnation has ended.
func (p *Placer) checkIncarnation(v *vm, intended cluster.Life, result cluster.StartResult, now time.Duration) {
	if result != cluster.RefusedOtherWorker || v.Life != intended {
		return
	}
	v.tokenSeen, v.nextPollAt = false, now
	p.updateCellWorker(v, now)
}

// updateStartWindow adjusts the limit of concurrent starts to the response time of a start
// command, or to the lack of an answer.
func (p *Placer) updateStartWindow(r *run, now time.Duration) {
	p.planNeeded = p.planNeeded || p.startWindow.limiting
	if p.pause(now) > minReportedPause {
		p.startWindow.discard(now) // the answer has waited for this process
		return
	}
	if r.state == starting && p.startWindow.observe(r.startSentAt, now, p.startsInProgress) {
		p.addDecision(Decision{Kind: "start window changed", Value: int64(p.startWindow.limit), Age: now - r.startSentAt})
	}
}

// StopAnswered processes the answer to a stop command. It reports whether the worker refused the
// command because a newer placer exists.
func (p *Placer) StopAnswered(c *StopCommand, result cluster.StartResult, clockMS int64, now time.Duration) (superseded bool) {
	v := p.vms[c.Life.Worker]
	if v == nil {
		return false
	}
	if v.Life == c.Life {
		v.observeClock(clockMS, now)
	}
	p.checkIncarnation(v, c.Life, result, now)
	r := p.runs[c.Run.TaskID]
	if r == nil || r.Run != c.Run.Run || r.vm != v {
		return result == cluster.RefusedFenced
	}
	r.stopInFlight = false
	if result == cluster.Started || result == cluster.RefusedStaleRun {
		r.stopAnsweredAt = now
		v.nextPollAt = min(v.nextPollAt, now)
	}
	return result == cluster.RefusedFenced
}

// PollFailed processes a poll that was not answered.
func (p *Placer) PollFailed(c *PollCommand, now time.Duration) {
	v := p.vms[c.Life.Worker]
	if v == nil {
		return
	}
	v.pollInFlight = false
	v.missedPolls++
	v.nextPollAt = now + missedPollDelay
	if v.missedPolls == 1 {
		p.addDecision(Decision{Kind: "worker does not answer", Worker: v.Life.Worker, Age: now - v.answeredAt})
		p.updateCellWorker(v, now)
	}
}

// PollAnswered processes the answer to a poll.
func (p *Placer) PollAnswered(c *PollCommand, report *cluster.WorkerReport, now time.Duration) {
	v := p.vms[c.Life.Worker]
	if v == nil {
		return
	}
	v.pollInFlight = false
	if report.Life.Born < v.Born {
		v.nextPollAt = now + missedPollDelay
		return // late answer from before the worker's restart
	}
	if report.Renewed {
		p.reportForeignLease(c.Life, c.Renewal.LeaseUntil, report.ClockMS)
	}
	if report.Life.Born > v.Born {
		p.workerRestarted(v, report, now)
	}
	if v.missedPolls > 0 {
		p.addDecision(Decision{Kind: "worker answers again", Worker: v.Life.Worker})
	}
	v.missedPolls, v.replacedBorn = 0, 0
	v.observeClock(report.ClockMS, now)
	v.tokenSeen = true // the answer proves that the worker has seen this placer's token since its start
	if v.Life == c.Life {
		v.confirmedUpTo = max(v.confirmedUpTo, c.Renewal.Confirmed)
	}
	p.processEnds(v, report, now)
	p.processRunning(v, report, now)
	p.explainByAnswer(v, now)
	p.confirmReplacement(v, now)
	p.adjustPace(v, now)
	v.nextPollAt = now + pollInterval
	p.updateCellWorker(v, now)
	p.planNeeded = true
}

// processEnds processes the run ends that the worker has not reported before.
func (p *Placer) processEnds(v *vm, report *cluster.WorkerReport, now time.Duration) {
	for i := range report.Ended {
		e := &report.Ended[i]
		if e.Number <= v.lastListedEnd {
			continue
		}
		v.lastListedEnd = e.Number
		r := p.runs[e.TaskID]
		tracked := r != nil && r.Run == e.Run && r.vm == v && r.state != ended
		late := (!tracked || r.stray) && p.recordLateEnd(v, e, now)
		v.unrecordedEnds = append(v.unrecordedEnds, listedEnd{number: e.Number, run: e.RunID, recorded: !late && (!tracked || r.stray)})
		if tracked {
			p.processEnd(r, e, now)
		}
	}
	v.advanceRecorded()
}

func (p *Placer) processEnd(r *run, e *cluster.EndReport, now time.Duration) {
	v := r.vm
	if p.options.RemoteFactor > 1 {
		p.waits.releases.Observe(v.Life.Worker, r.size, now)
	}
	r.lostStart = "" // a worker that lists the end has survived the start
	switch e.Reason {
	case cluster.Failed:
		p.countWorkerFailure(v, r, now)
	case cluster.Done:
		v.consecutiveFailures = 0
		p.observeSpeed(r, now)
	}
	p.endRun(r, e.Reason, e.Checkpoint, now)
}

// countWorkerFailure counts consecutive failures of runs of different jobs. A worker on which
// several jobs in a row fail receives no work for a while. Repeated failures of one job count
// once, as the worker may not be their cause.
func (p *Placer) countWorkerFailure(v *vm, r *run, now time.Duration) {
	if step := p.steps[r.StepID()]; step != nil {
		step.avoid(v.Life.Worker, now)
	}
	if v.lastFailedJob == r.Job {
		return
	}
	v.lastFailedJob = r.Job
	v.consecutiveFailures++
	if v.consecutiveFailures >= failuresToAvoid && p.maySetApart(v, now) {
		v.avoidUntil = now + avoidAfterFailures
		p.addDecision(Decision{Kind: "worker set apart", Worker: v.Life.Worker, Job: r.Job, Reason: "runs of several jobs failed in a row"})
		p.updateCellWorker(v, now)
	}
}

// maySetApart reports whether at most half of the workers of the pool are set apart with this one. Where more of them fail
// runs, the tasks are at fault.
func (p *Placer) maySetApart(v *vm, now time.Duration) bool {
	workers, apart := 0, 1
	for _, other := range p.vms {
		if !other.inRegistry || other.Pool != v.Pool {
			continue
		}
		workers++
		if other != v && other.consecutiveFailures >= failuresToAvoid && now < other.avoidUntil {
			apart++
		}
	}
	return 2*apart <= workers
}

// processRunning compares the runs that the worker reports with those that it should have.
func (p *Placer) processRunning(v *vm, report *cluster.WorkerReport, now time.Duration) {
	listedRuns := make(map[cluster.RunID]bool, len(report.Running))
	var strays []cluster.RunID
	for i := range report.Running {
		row := &report.Running[i]
		listedRuns[row.RunID] = true
		r := p.runs[row.TaskID]
		if r != nil && r.Run == row.Run && r.vm == v {
			r.progress.observe(row.Percent, now)
			r.load, r.wasListed, r.lostStart = row.Load, true, ""
			if row.Checkpoint != "" {
				r.lastCheckpoint = row.Checkpoint
			}
			if r.state != ended {
				r.transition(listed)
				p.recordJobStart(r)
			}
			continue
		}
		if untracked := p.handleStrayRun(v, row, now); untracked {
			strays = append(strays, row.RunID)
		}
	}
	p.countUntracked(v, strays)
	if len(report.Ended) >= maxReportedEnds {
		return // the report may have been truncated: a run that it lacks may have ended
	}
	for _, r := range v.runs {
		if listedRuns[r.RunID] {
			continue
		}
		p.handleMissingRun(r, now)
	}
}

// handleMissingRun handles a run that its worker does not report. Only a poll that was sent after
// the outcome of the last command was known proves that the worker does not have the run.
func (p *Placer) handleMissingRun(r *run, now time.Duration) {
	sent := r.vm.pollSentAt
	switch r.state {
	case running:
		if sent > r.answeredAt+time.Second {
			if r.mayStartLate(now) {
				r.transition(stopRequested)
				return
			}
			p.addDecision(Decision{Kind: "run is missing", Job: r.Job, Task: r.TaskID, Run: r.Run, Worker: r.vm.Life.Worker, Age: now - r.answeredAt})
			p.endRun(r, cluster.Lost, "", now)
		}
	case uncertain:
		if sent > r.answeredAt {
			r.transition(stopRequested)
		}
	case stopping:
		if r.stopAnsweredAt > 0 && sent > r.stopAnsweredAt {
			p.endRun(r, cluster.NeverStarted, "", now)
		}
	}
}

// handleStrayRun stops a run that is not active according to the log. The capacity of the run
// stays occupied until the run is gone, unless the task has another run: then the stray one is not
// tracked, and the result is true.
func (p *Placer) handleStrayRun(v *vm, row *cluster.RunReport, now time.Duration) (untracked bool) {
	if known := p.runs[row.TaskID]; known != nil {
		p.addDecision(Decision{Kind: "stray run", Job: row.Job, Task: row.TaskID, Run: row.Run, Worker: v.Life.Worker})
		p.queuedCommands = append(p.queuedCommands, Command{Stop: &StopCommand{Life: v.Life, Address: v.Address, Run: row.RunID, Token: p.token}})
		return true
	}
	j := p.state.Jobs[row.Job]
	r := &run{RunID: row.RunID, state: stopping, vm: v, stray: true, wasListed: true, recorded: true, plannedAt: now, answeredAt: now}
	if j != nil && row.Step >= 0 && row.Step < len(j.Steps) {
		r.size = reservedResources(&j.Steps[row.Step])
	}
	p.addDecision(Decision{Kind: "stray run", Job: row.Job, Task: row.TaskID, Run: row.Run, Worker: v.Life.Worker})
	p.countRun(r, j)
	p.runs[row.TaskID] = r
	v.runs[row.TaskID] = r
	if step := p.steps[row.StepID()]; step != nil {
		step.activeRuns++
	}
	p.cell.AddTask(v.Life.Worker, p.cellTask(r, now))
	return false
}

// endRun releases the capacity of a run and adds its end to the next batch.
func (p *Placer) endRun(r *run, how cluster.EndReason, checkpoint string, now time.Duration) {
	if r.released {
		return
	}
	r.released = true
	if r.state != ended {
		r.transition(dropped)
	}
	delete(r.vm.runs, r.TaskID)
	p.removeUse(r.workspace, r.countedSize)
	p.cell.Release(cellTaskID(r.TaskID), int64(r.Run))
	if r.onTrial {
		p.updateCellWorker(r.vm, now)
	}
	p.planNeeded = true
	if r.stray {
		delete(p.runs, r.TaskID)
		if step := p.steps[r.StepID()]; step != nil {
			step.activeRuns--
		}
		return
	}
	if !r.recorded {
		delete(p.runs, r.TaskID)
		if step := p.steps[r.StepID()]; step != nil {
			step.activeRuns--
		}
		return
	}
	if r.lostStart != "" {
		how = r.lostStart
	}
	if checkpoint == "" && how != cluster.NeverStarted {
		checkpoint = r.lastCheckpoint // a lost worker cannot report a newer one
	}
	wastedCoreSeconds := 0.0
	if how != cluster.Done && how != cluster.NeverStarted && checkpoint == "" && r.answeredAt > 0 {
		wastedCoreSeconds = (now - r.answeredAt).Seconds() * float64(r.size.MilliCores) / 1000
	}
	p.addDecision(Decision{
		Kind: DecisionRunEnded, Job: r.Job, Task: r.TaskID, Run: r.Run, Worker: r.vm.Life.Worker, Reason: string(how), Age: now - r.plannedAt, WastedCoreSeconds: wastedCoreSeconds,
	})
	r.givenUp = how.GivenUp()
	end := flow.End{RunID: r.RunID, Reason: how, Checkpoint: checkpoint}
	if how == cluster.Unreachable {
		end.Address, end.Answered = r.vm.Address, r.answered
	}
	p.pendingBatch.Ends = append(p.pendingBatch.Ends, end)
	if how != cluster.Done {
		p.stopGang(r)
	}
}

// stopGang requests the stop of the other members of a gang when one has ended early.
func (p *Placer) stopGang(r *run) {
	step := p.steps[r.StepID()]
	if step == nil || !step.def.Gang {
		return
	}
	for i := 0; i < step.def.Count; i++ {
		if other := p.runs[step.taskID(i)]; other != nil && other != r && other.Run == r.Run && other.state != ended {
			other.wanted = false
		}
	}
}

// AdviceAnswered processes the answer to an advice call; failed means that there was no answer.
func (p *Placer) AdviceAnswered(c *AdviseCommand, grants []cluster.Grant, valid, took time.Duration, failed bool, now time.Duration) {
	p.advisers.callFinished(c, took, failed, now)
	step := p.steps[c.Step]
	p.planNeeded = true
	tickets := map[string]string{}
	for _, g := range grants {
		tickets[g.Worker] = g.Ticket
	}
	if step != nil {
		step.adviceInFlight = false
		if failed {
			step.nextAdviceAt = now + adviceRetryDelay
		} else {
			p.updateGrantRate(step.job.Queue, len(grants), len(c.Workers))
			for _, worker := range c.Workers {
				if text, granted := tickets[worker]; granted {
					step.grants[worker] = ticket{text, now + valid - p.advisers.ticketAge(c)}
				} else {
					step.denied[worker] = true
					delete(step.grants, worker)
				}
			}
		}
		p.addDecision(Decision{Kind: "advice", Job: c.Step.Job, Task: cluster.TaskID{Job: c.Step.Job, Occurrence: c.Step.Occurrence, Step: c.Step.Step}, Reason: adviceReason(failed, len(grants), len(c.Workers)), Age: took})
	}
	if step != nil {
		p.applyTickets(step, now)
	}
}

// applyTickets lets the runs of a step that wait for a ticket proceed if they have one now, and
// releases the capacity of the others. The members of a gang proceed together or not at all.
func (p *Placer) applyTickets(step *pendingStep, now time.Duration) {
	var waiting []*run
	allGranted := true
	for i := 0; i < step.def.Count; i++ {
		r := p.runs[step.taskID(i)]
		if r == nil || r.state != ticketing {
			continue
		}
		waiting = append(waiting, r)
		if t := step.grants[r.vm.Life.Worker]; t.validUntil <= now+ticketPlanMargin || !r.wanted {
			allGranted = false
		}
	}
	for _, r := range waiting {
		t := step.grants[r.vm.Life.Worker]
		if t.validUntil <= now+ticketPlanMargin || !r.wanted || step.def.Gang && !allGranted {
			p.endRun(r, cluster.NeverStarted, "", now)
			continue
		}
		r.ticket = t
		r.transition(ticketGranted)
		p.recordBegin(r)
	}
}
