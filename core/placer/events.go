package placer

import (
	"time"

	"briarproxy/core/cluster"
	"briarproxy/core/flow"
)

// maxReportedEnds is the number of ends that a worker lists at most in one answer.
const maxReportedEnds = 500

// RecordApplied takes a record that was applied to the state just now.
func (p *Placer) RecordApplied(r *flow.Record, now time.Duration) {
	switch {
	case r.Submit != nil:
		if j := p.state.Jobs[r.Submit.ID]; j != nil && j.Offset == p.state.NextOffset-1 {
			p.addJob(j, now)
			p.dirty = true
		}
	case r.Cancel != nil:
		p.dropJob(r.Cancel.ID)
	case r.Batch != nil:
		for i := range r.Batch.Ends {
			p.endRecorded(&r.Batch.Ends[i], now)
		}
	}
}

// endRecorded follows the record of an end.
func (p *Placer) endRecorded(e *flow.End, now time.Duration) {
	if r := p.runs[e.TaskID]; r != nil && r.Run == e.Run && r.state == ended {
		delete(p.runs, e.TaskID)
		if w := p.steps[e.StepID()]; w != nil {
			w.activeRuns--
		}
		r.vm.markEndRecorded(e.RunID)
	}
	p.dirty = true
	w := p.jobs[e.Job]
	if w == nil {
		return
	}
	if w.job.Phase.Final() {
		p.dropJob(e.Job)
		return
	}
	if s := w.job.Step(e.Occurrence, e.Step); s != nil && s.Complete() {
		delete(p.steps, e.StepID())
		p.activate(w, e.Occurrence, now)
	}
}

// BatchAppended takes the acknowledgement of a batch: its runs may be started now.
func (p *Placer) BatchAppended(runs []*run, now time.Duration) []Command {
	var commands []Command
	p.lastAppendTime = now - p.flushedAt
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
			p.addDecision(Decision{Kind: "start withdrawn", Job: r.Job, Task: r.TaskID, Run: r.Run, Worker: r.vm.Life.Worker, Reason: "the ticket expired while the plan was recorded"})
			p.endRun(r, cluster.NeverStarted, "", now)
		default:
			r.transition(logged)
			commands = append(commands, p.firstStart(r, now))
		}
	}
	return commands
}

// ticketExpired reports whether the run's ticket would not reach its worker in time.
func (p *Placer) ticketExpired(r *run, now time.Duration) bool {
	return r.ticket.text != "" && now+p.deliveryTime() > r.ticket.validUntil
}

// deliveryTime is how long an order may take to reach its worker, as far as answers tell.
func (p *Placer) deliveryTime() time.Duration { return max(ticketSendMargin, p.startWindow.median/2) }

// sendDeadline is the latest time at which an order made now may be sent. A repeat also tells whether
// the run began on an earlier order, which needs no ticket.
func (p *Placer) sendDeadline(r *run, now time.Duration) time.Duration {
	until := now + p.options.Lease
	if r.ticket.text != "" && r.startsSent == 0 {
		until = min(until, r.ticket.validUntil)
	}
	return until - p.deliveryTime()
}

// expiredGangs returns the gangs of which a member's ticket expired while the plan was
// recorded: none of their members is started.
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

// recordJobStart has it recorded that a job has begun, once.
func (p *Placer) recordJobStart(r *run) {
	w := p.jobs[r.Job]
	if w == nil || w.startRecorded || w.job.Phase != flow.Queued {
		return
	}
	w.startRecorded = true
	p.addDecision(Decision{Kind: DecisionJobBegan, Job: r.Job, Reason: w.job.Queue, Age: r.answeredAt - w.readAt})
	p.pendingBatch.StartedJobs = append(p.pendingBatch.StartedJobs, r.Job)
}

// firstStart returns the first order to start a run.
func (p *Placer) firstStart(r *run, now time.Duration) Command {
	p.addDecision(Decision{Kind: "start sent", Job: r.Job, Task: r.TaskID, Run: r.Run, Worker: r.vm.Life.Worker, Age: now - r.plannedAt, Version: p.token})
	r.orderedAt = now
	p.unansweredStarts = append(p.unansweredStarts, r)
	p.retryBudget.Request()
	return p.startCommand(r, p.chooseRelay(r.vm, r.spec, now), now)
}

// StartAnswered takes the answer to a start. It reports whether a newer placer was named.
func (p *Placer) StartAnswered(c *StartCommand, result cluster.StartResult, clockMS int64, now time.Duration) (superseded bool) {
	v := p.vms[c.Life.Worker]
	if v == nil {
		return false
	}
	if v.Life == c.Life {
		v.observeClock(clockMS, now)
	}
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
	if !r.decidedBy(result) {
		if r.startsInFlight > 0 || r.state != starting {
			return fenced
		}
		result = cluster.NoAnswer
	}
	switch result {
	case cluster.Started:
		v.refusals = 0
		r.transition(accepted)
		r.answeredAt = now
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
		v.refusals++
		v.avoidUntil = now + avoidAfterRefusal*time.Duration(min(v.refusals, 8))
		p.updateCellWorker(v, now)
	case cluster.RefusedCapacity:
		v.avoidUntil = now + avoidAfterRefusal
		p.updateCellWorker(v, now)
	case cluster.RefusedTicket:
		if w := p.steps[r.StepID()]; w != nil {
			delete(w.grants, v.Life.Worker)
		}
	}
	p.endRun(r, cluster.NeverStarted, "", now)
	return fenced
}

// updateStartWindow lets the answer to an order, or its absence, decide how many runs may be started
// at one time.
func (p *Placer) updateStartWindow(r *run, now time.Duration) {
	p.dirty = p.dirty || p.startWindow.limiting
	if r.state == starting && p.startWindow.observe(r.orderedAt, now, p.startsInProgress) {
		p.addDecision(Decision{Kind: "start window changed", Version: int64(p.startWindow.limit), Age: now - r.orderedAt})
	}
}

// StopAnswered takes the answer to a stop order.
func (p *Placer) StopAnswered(c *StopCommand, result cluster.StartResult, clockMS int64, now time.Duration) (superseded bool) {
	v := p.vms[c.Life.Worker]
	if v == nil {
		return false
	}
	if v.Life == c.Life {
		v.observeClock(clockMS, now)
	}
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

// PollFailed takes a look that was not answered.
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

// PollAnswered takes the answer to a look.
func (p *Placer) PollAnswered(c *PollCommand, report *cluster.WorkerReport, now time.Duration) {
	v := p.vms[c.Life.Worker]
	if v == nil {
		return
	}
	v.pollInFlight = false
	if report.Life.Born < v.Born {
		return // an answer of a former life that was overtaken
	}
	if report.Life.Born > v.Born {
		p.workerRestarted(v, report, now)
	}
	if v.missedPolls > 0 {
		p.addDecision(Decision{Kind: "worker answers again", Worker: v.Life.Worker})
	}
	v.missedPolls = 0
	v.observeClock(report.ClockMS, now)
	v.tokenSeen = true // it has seen this placer's token in the life that answered
	if v.Life == c.Life {
		v.confirmedUpTo = max(v.confirmedUpTo, c.Hold.Confirmed)
	}
	p.processEnds(v, report, now)
	p.processRunning(v, report, now)
	p.adjustPace(v, now)
	v.nextPollAt = now + pollInterval
	p.updateCellWorker(v, now)
	p.dirty = true
}

// processEnds takes the ends that were not listed before.
func (p *Placer) processEnds(v *vm, report *cluster.WorkerReport, now time.Duration) {
	for i := range report.Ended {
		e := &report.Ended[i]
		if e.Number <= v.lastListedEnd {
			continue
		}
		v.lastListedEnd = e.Number
		r := p.runs[e.TaskID]
		mine := r != nil && r.Run == e.Run && r.vm == v && r.state != ended
		v.unrecordedEnds = append(v.unrecordedEnds, listedEnd{number: e.Number, run: e.RunID, recorded: !mine || r.unknown})
		if mine {
			p.processEnd(r, e, now)
		}
	}
	v.advanceRecorded()
}

func (p *Placer) processEnd(r *run, e *cluster.EndReport, now time.Duration) {
	v := r.vm
	switch e.Reason {
	case cluster.Failed:
		p.workerFailed(v, r, now)
	case cluster.Done:
		v.failures = 0
	}
	p.endRun(r, e.Reason, e.Checkpoint, now)
}

// workerFailed counts failures of unlike jobs in a row: a worker that fails all that it
// starts is left alone for a while, a task that fails everywhere is not its fault.
func (p *Placer) workerFailed(v *vm, r *run, now time.Duration) {
	if w := p.steps[r.StepID()]; w != nil && len(w.avoidWorkers) < 8 {
		w.avoidWorkers = append(w.avoidWorkers, v.Life.Worker)
	}
	if v.lastFailed == r.Job {
		return
	}
	v.lastFailed = r.Job
	v.failures++
	if v.failures >= failuresToAvoid {
		v.avoidUntil = now + avoidAfterFailures
		p.addDecision(Decision{Kind: "worker set apart", Worker: v.Life.Worker, Job: r.Job, Reason: "runs of several jobs failed in a row"})
		p.updateCellWorker(v, now)
	}
}

// processRunning compares the runs that the worker lists with those that it should have.
func (p *Placer) processRunning(v *vm, report *cluster.WorkerReport, now time.Duration) {
	listedRuns := make(map[cluster.RunID]bool, len(report.Running))
	for i := range report.Running {
		row := &report.Running[i]
		listedRuns[row.RunID] = true
		r := p.runs[row.TaskID]
		if r != nil && r.Run == row.Run && r.vm == v {
			r.progress.observe(row.Percent, now)
			r.load, r.wasListed = row.Load, true
			if row.Checkpoint != "" {
				r.lastCheckpoint = row.Checkpoint
			}
			if r.state != ended {
				r.transition(listed)
				p.recordJobStart(r)
			}
			continue
		}
		p.handleUnknownRun(v, row, now)
	}
	if len(report.Ended) >= maxReportedEnds {
		return // later ends may be missing from the answer
	}
	for _, r := range v.runs {
		if listedRuns[r.RunID] {
			continue
		}
		p.handleMissing(r, now)
	}
}

// handleMissing follows a run that its worker does not list. Only a look that was sent after
// the order was settled proves that the run is not there.
func (p *Placer) handleMissing(r *run, now time.Duration) {
	sent := r.vm.pollSentAt
	switch r.state {
	case running:
		if sent > r.answeredAt+time.Second {
			if r.mayStartLate(now) {
				r.transition(stopOrder)
				return
			}
			p.addDecision(Decision{Kind: "run is missing", Job: r.Job, Task: r.TaskID, Run: r.Run, Worker: r.vm.Life.Worker, Age: now - r.answeredAt})
			p.endRun(r, cluster.Lost, "", now)
		}
	case uncertain:
		if sent > r.answeredAt {
			r.transition(stopOrder)
		}
	case stopping:
		if r.stopAnsweredAt > 0 && sent > r.stopAnsweredAt {
			p.endRun(r, cluster.NeverStarted, "", now)
		}
	}
}

// handleUnknownRun stops a run that the log does not know as active, and keeps its room until it
// is gone.
func (p *Placer) handleUnknownRun(v *vm, row *cluster.RunReport, now time.Duration) {
	if known := p.runs[row.TaskID]; known != nil {
		// The task has another run: the stray one is stopped without being followed up.
		p.addDecision(Decision{Kind: "stray run", Job: row.Job, Task: row.TaskID, Run: row.Run, Worker: v.Life.Worker})
		p.queuedCommands = append(p.queuedCommands, Command{Stop: &StopCommand{Life: v.Life, Address: v.Address, Run: row.RunID, Token: p.token}})
		return
	}
	j := p.state.Jobs[row.Job]
	r := &run{RunID: row.RunID, state: stopping, vm: v, unknown: true, wasListed: true, recorded: true, plannedAt: now, answeredAt: now}
	if j != nil && row.Step >= 0 && row.Step < len(j.Steps) {
		r.size = occupiedRoom(&j.Steps[row.Step])
	}
	p.addDecision(Decision{Kind: "stray run", Job: row.Job, Task: row.TaskID, Run: row.Run, Worker: v.Life.Worker})
	p.runs[row.TaskID] = r
	v.runs[row.TaskID] = r
	if w := p.steps[row.StepID()]; w != nil {
		w.activeRuns++
	}
	p.cell.AddTask(v.Life.Worker, p.cellTask(r, now))
}

// endRun frees the room of a run and has its end recorded.
func (p *Placer) endRun(r *run, how cluster.EndReason, checkpoint string, now time.Duration) {
	if r.released {
		return
	}
	r.released = true
	if r.state != ended {
		r.transition(dropped)
	}
	delete(r.vm.runs, r.TaskID)
	p.cell.Release(cellTaskID(r.TaskID), int64(r.Run))
	p.dirty = true
	if r.unknown {
		delete(p.runs, r.TaskID)
		if w := p.steps[r.StepID()]; w != nil {
			w.activeRuns--
		}
		return
	}
	if !r.recorded {
		delete(p.runs, r.TaskID)
		if w := p.steps[r.StepID()]; w != nil {
			w.activeRuns--
		}
		return
	}
	if checkpoint == "" && how != cluster.NeverStarted {
		checkpoint = r.lastCheckpoint // a worker that is gone can't tell its newest one
	}
	thrown := 0.0
	if how != cluster.Done && how != cluster.NeverStarted && checkpoint == "" && r.answeredAt > 0 {
		thrown = (now - r.answeredAt).Seconds() * float64(r.size.MilliCores) / 1000
	}
	p.addDecision(Decision{
		Kind: DecisionRunEnded, Job: r.Job, Task: r.TaskID, Run: r.Run, Worker: r.vm.Life.Worker, Reason: string(how), Age: now - r.plannedAt, WastedCoreSeconds: thrown,
	})
	p.pendingBatch.Ends = append(p.pendingBatch.Ends, flow.End{RunID: r.RunID, Reason: how, Checkpoint: checkpoint})
	if how != cluster.Done {
		p.stopGang(r)
	}
}

// stopGang has the other members of a gang stopped when one is gone.
func (p *Placer) stopGang(r *run) {
	w := p.steps[r.StepID()]
	if w == nil || !w.def.Gang {
		return
	}
	for i := 0; i < w.def.Count; i++ {
		if other := p.runs[w.taskID(i)]; other != nil && other != r && other.Run == r.Run && other.state != ended {
			other.wanted = false
		}
	}
}

// AdviceAnswered takes the answer to a request for advice; failed means that there was none.
func (p *Placer) AdviceAnswered(c *AdviseCommand, grants []cluster.Grant, valid, took time.Duration, failed bool, now time.Duration) {
	p.advisers.callFinished(c, took, failed, now)
	w := p.steps[c.Step]
	p.dirty = true
	got := map[string]string{}
	for _, g := range grants {
		got[g.Worker] = g.Ticket
	}
	if w != nil {
		w.adviceInFlight = false
		if failed {
			w.nextAdviceAt = now + adviceRetryDelay
		} else {
			p.updateGrantRate(w.job.Queue, len(grants), len(c.Workers))
			for _, worker := range c.Workers {
				if text, granted := got[worker]; granted {
					w.grants[worker] = ticket{text, now + valid - p.advisers.ticketAge(c)}
				} else {
					w.denied[worker] = true
					delete(w.grants, worker)
				}
			}
		}
		p.addDecision(Decision{Kind: "advice", Job: c.Step.Job, Task: cluster.TaskID{Job: c.Step.Job, Occurrence: c.Step.Occurrence, Step: c.Step.Step}, Reason: adviceReason(failed, len(grants), len(c.Workers)), Age: took})
	}
	if w != nil {
		p.applyTickets(w, now)
	}
}

// applyTickets begins the runs of a step that wait for tickets and have one now, and gives
// the room of the others back. The members of a gang begin together or not at all.
func (p *Placer) applyTickets(w *pendingStep, now time.Duration) {
	var waiting []*run
	whole := true
	for i := 0; i < w.def.Count; i++ {
		r := p.runs[w.taskID(i)]
		if r == nil || r.state != ticketing {
			continue
		}
		waiting = append(waiting, r)
		if t := w.grants[r.vm.Life.Worker]; t.validUntil <= now+ticketPlanMargin || !r.wanted {
			whole = false
		}
	}
	for _, r := range waiting {
		t := w.grants[r.vm.Life.Worker]
		if t.validUntil <= now+ticketPlanMargin || !r.wanted || w.def.Gang && !whole {
			p.endRun(r, cluster.NeverStarted, "", now)
			continue
		}
		r.ticket = t
		r.transition(ticketGranted)
		p.recordBegin(r)
	}
}
