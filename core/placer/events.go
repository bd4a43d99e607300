package placer

import (
	"time"

	"briarproxy/core/cluster"
	"briarproxy/core/flow"
)

// maxRows is the number of ends that a worker lists at most in one answer.
const maxRows = 500

// Read takes a record that was applied to the state just now.
func (p *Placer) Read(r *flow.Record, now time.Duration) {
	switch {
	case r.Submit != nil:
		if j := p.state.Jobs[r.Submit.ID]; j != nil && j.Offset == p.state.Next-1 {
			p.addJob(j, now)
			p.dirty = true
		}
	case r.Cancel != nil:
		p.dropJob(r.Cancel.ID)
	case r.Batch != nil:
		for i := range r.Batch.Ends {
			p.recorded(&r.Batch.Ends[i], now)
		}
	}
}

// recorded follows the record of an end.
func (p *Placer) recorded(e *flow.End, now time.Duration) {
	if r := p.runs[e.TaskID]; r != nil && r.Run == e.Run && r.state == ended {
		delete(p.runs, e.TaskID)
		if w := p.steps[e.StepID()]; w != nil {
			w.active--
		}
		r.vm.settle(e.RunID)
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

// Appended takes the acknowledgement of a batch: its runs may be started now.
func (p *Placer) Appended(runs []*run, now time.Duration) []Command {
	var commands []Command
	p.appendTook = now - p.sentAt
	expired := p.expiredGangs(runs, now)
	for _, r := range runs {
		if r.state != logging || p.runs[r.TaskID] != r {
			continue
		}
		r.recorded = true
		switch {
		case !r.wanted:
			r.step(logged)
			p.endRun(r, cluster.Void, "", now)
		case p.expired(r, now) || expired[r.StepID()]:
			r.step(logged)
			p.note(Note{What: "start withdrawn", Job: r.Job, Task: r.TaskID, Run: r.Run, Worker: r.vm.Life.Worker, Reason: "the ticket expired while the plan was recorded"})
			p.endRun(r, cluster.Void, "", now)
		default:
			r.step(logged)
			commands = append(commands, p.start(r, now))
		}
	}
	return commands
}

// expired reports whether the run's ticket would not reach its worker in time.
func (p *Placer) expired(r *run, now time.Duration) bool {
	return r.ticket.text != "" && now+p.travel() > r.ticket.until
}

// travel is how long an order may take to reach its worker, as far as answers tell.
func (p *Placer) travel() time.Duration { return max(ticketMargin, p.window.median/2) }

// sendBy is the latest time at which an order made now may be sent. A repeat also tells whether
// the run began on an earlier order, which needs no ticket.
func (p *Placer) sendBy(r *run, now time.Duration) time.Duration {
	until := now + p.options.Lease
	if r.ticket.text != "" && r.copies == 0 {
		until = min(until, r.ticket.until)
	}
	return until - p.travel()
}

// expiredGangs returns the gangs of which a member's ticket expired while the plan was
// recorded: none of their members is started.
func (p *Placer) expiredGangs(runs []*run, now time.Duration) map[cluster.StepID]bool {
	var gangs map[cluster.StepID]bool
	for _, r := range runs {
		if def := p.def(r); p.expired(r, now) && def != nil && def.Gang {
			if gangs == nil {
				gangs = map[cluster.StepID]bool{}
			}
			gangs[r.StepID()] = true
		}
	}
	return gangs
}

// confirm has it recorded that a job has begun, once.
func (p *Placer) confirm(r *run) {
	w := p.jobs[r.Job]
	if w == nil || w.confirmed || w.job.Phase != flow.Queued {
		return
	}
	w.confirmed = true
	p.note(Note{What: NoteBegan, Job: r.Job, Reason: w.job.Queue, Age: r.answeredAt - w.since})
	p.out.Started = append(p.out.Started, r.Job)
}

// start returns the first order to start a run.
func (p *Placer) start(r *run, now time.Duration) Command {
	p.note(Note{What: "start sent", Job: r.Job, Task: r.TaskID, Run: r.Run, Worker: r.vm.Life.Worker, Age: now - r.plannedAt, Version: p.token})
	r.orderedAt = now
	p.unanswered = append(p.unanswered, r)
	p.budget.Request()
	return p.startOrder(r, p.courier(r.vm, r.spec, now), now)
}

// Answered takes the answer to a start. It reports whether a newer placer was named.
func (p *Placer) Answered(c *StartCommand, result cluster.StartResult, clockMS int64, now time.Duration) (superseded bool) {
	v := p.vms[c.Life.Worker]
	if v == nil {
		return false
	}
	if v.Life == c.Life {
		v.readClock(clockMS, now)
	}
	r := p.runs[c.Order.TaskID]
	if r == nil || r.Run != c.Order.Run || r.vm != v {
		return result == cluster.RefusedFence
	}
	r.underWay--
	p.judgeAnswer(r, now)
	if result == cluster.NoAnswer {
		p.courierLost(c.Courier, now)
	}
	fenced := result == cluster.RefusedFence
	if !r.settledBy(result) {
		if r.underWay > 0 || r.state != starting {
			return fenced
		}
		result = cluster.NoAnswer
	}
	switch result {
	case cluster.Started:
		v.refusals = 0
		r.step(accepted)
		r.answeredAt = now
		p.confirm(r)
		return false
	case cluster.NoAnswer:
		r.step(unanswered)
		r.answeredAt = now
		v.lookAt = now
		v.avoidUntil = max(v.avoidUntil, now+silentAvoid)
		p.describe(v, now)
		p.note(Note{What: "start not answered", Job: r.Job, Task: r.TaskID, Run: r.Run, Worker: v.Life.Worker})
		return false
	}
	p.note(Note{What: "start refused", Job: r.Job, Task: r.TaskID, Run: r.Run, Worker: v.Life.Worker, Reason: string(result)})
	if !r.step(refused) {
		return result == cluster.RefusedFence
	}
	switch result {
	case cluster.RefusedOther:
		v.refusals++
		v.avoidUntil = now + refusalAvoid*time.Duration(min(v.refusals, 8))
		p.describe(v, now)
	case cluster.RefusedRoom:
		v.avoidUntil = now + refusalAvoid
		p.describe(v, now)
	case cluster.RefusedPass:
		if w := p.steps[r.StepID()]; w != nil {
			delete(w.grants, v.Life.Worker)
		}
	}
	p.endRun(r, cluster.Void, "", now)
	return fenced
}

// judgeAnswer lets the answer to an order, or its absence, decide how many runs may be started
// at one time.
func (p *Placer) judgeAnswer(r *run, now time.Duration) {
	p.dirty = p.dirty || p.window.full
	if r.state == starting && p.window.answered(r.orderedAt, now, p.opening) {
		p.note(Note{What: "start window changed", Version: int64(p.window.limit), Age: now - r.orderedAt})
	}
}

// StopAnswered takes the answer to a stop order.
func (p *Placer) StopAnswered(c *StopCommand, result cluster.StartResult, clockMS int64, now time.Duration) (superseded bool) {
	v := p.vms[c.Life.Worker]
	if v == nil {
		return false
	}
	if v.Life == c.Life {
		v.readClock(clockMS, now)
	}
	r := p.runs[c.Run.TaskID]
	if r == nil || r.Run != c.Run.Run || r.vm != v {
		return result == cluster.RefusedFence
	}
	r.stopping = false
	if result == cluster.Started || result == cluster.RefusedOld {
		r.stopTaken = now
		v.lookAt = min(v.lookAt, now)
	}
	return result == cluster.RefusedFence
}

// LookFailed takes a look that was not answered.
func (p *Placer) LookFailed(c *LookCommand, now time.Duration) {
	v := p.vms[c.Life.Worker]
	if v == nil {
		return
	}
	v.looking = false
	v.misses++
	v.lookAt = now + missedLookGap
	if v.misses == 1 {
		p.note(Note{What: "worker does not answer", Worker: v.Life.Worker, Age: now - v.answered})
		p.describe(v, now)
	}
}

// Looked takes the answer to a look.
func (p *Placer) Looked(c *LookCommand, report *cluster.Report, now time.Duration) {
	v := p.vms[c.Life.Worker]
	if v == nil {
		return
	}
	v.looking = false
	if report.Life.Born < v.Born {
		return // an answer of a former life that was overtaken
	}
	if report.Life.Born > v.Born {
		p.newLife(v, report, now)
	}
	if v.misses > 0 {
		p.note(Note{What: "worker answers again", Worker: v.Life.Worker})
	}
	v.misses = 0
	v.readClock(report.ClockMS, now)
	v.fenced = true // it has seen this placer's token in the life that answered
	if v.Life == c.Life {
		v.told = max(v.told, c.Hold.Confirmed)
	}
	p.takeEnds(v, report, now)
	p.takeRunning(v, report, now)
	p.pace(v, now)
	v.lookAt = now + lookGap
	p.describe(v, now)
	p.dirty = true
}

// takeEnds takes the ends that were not listed before.
func (p *Placer) takeEnds(v *vm, report *cluster.Report, now time.Duration) {
	for i := range report.Ended {
		e := &report.Ended[i]
		if e.Number <= v.seen {
			continue
		}
		v.seen = e.Number
		r := p.runs[e.TaskID]
		mine := r != nil && r.Run == e.Run && r.vm == v && r.state != ended
		v.unsettled = append(v.unsettled, unsettledEnd{number: e.Number, run: e.RunID, settled: !mine || r.foreign})
		if mine {
			p.takeEnd(r, e, now)
		}
	}
	v.advance()
}

func (p *Placer) takeEnd(r *run, e *cluster.EndReport, now time.Duration) {
	v := r.vm
	switch e.How {
	case cluster.Failed:
		p.workerFailed(v, r, now)
	case cluster.Done:
		v.failures = 0
	}
	p.endRun(r, e.How, e.Checkpoint, now)
}

// workerFailed counts failures of unlike jobs in a row: a worker that fails all that it
// starts is left alone for a while, a task that fails everywhere is not its fault.
func (p *Placer) workerFailed(v *vm, r *run, now time.Duration) {
	if w := p.steps[r.StepID()]; w != nil && len(w.avoid) < 8 {
		w.avoid = append(w.avoid, v.Life.Worker)
	}
	if v.lastFailed == r.Job {
		return
	}
	v.lastFailed = r.Job
	v.failures++
	if v.failures >= failuresToAvoid {
		v.avoidUntil = now + avoidFor
		p.note(Note{What: "worker set apart", Worker: v.Life.Worker, Job: r.Job, Reason: "runs of several jobs failed in a row"})
		p.describe(v, now)
	}
}

// takeRunning compares the runs that the worker lists with those that it should have.
func (p *Placer) takeRunning(v *vm, report *cluster.Report, now time.Duration) {
	there := make(map[cluster.RunID]bool, len(report.Running))
	for i := range report.Running {
		row := &report.Running[i]
		there[row.RunID] = true
		r := p.runs[row.TaskID]
		if r != nil && r.Run == row.Run && r.vm == v {
			r.progress.see(row.Percent, now)
			r.load, r.seen = row.Load, true
			if row.Checkpoint != "" {
				r.saved = row.Checkpoint
			}
			if r.state != ended {
				r.step(listed)
				p.confirm(r)
			}
			continue
		}
		p.foreign(v, row, now)
	}
	if len(report.Ended) >= maxRows {
		return // later ends may be missing from the answer
	}
	for _, r := range v.runs {
		if there[r.RunID] {
			continue
		}
		p.missing(r, now)
	}
}

// missing follows a run that its worker does not list. Only a look that was sent after
// the order was settled proves that the run is not there.
func (p *Placer) missing(r *run, now time.Duration) {
	sent := r.vm.lookSentAt
	switch r.state {
	case running:
		if sent > r.answeredAt+time.Second {
			if r.copyPending(now) {
				r.step(stopOrder)
				return
			}
			p.note(Note{What: "run is missing", Job: r.Job, Task: r.TaskID, Run: r.Run, Worker: r.vm.Life.Worker, Age: now - r.answeredAt})
			p.endRun(r, cluster.Lost, "", now)
		}
	case uncertain:
		if sent > r.answeredAt {
			r.step(stopOrder)
		}
	case stopping:
		if r.stopTaken > 0 && sent > r.stopTaken {
			p.endRun(r, cluster.Void, "", now)
		}
	}
}

// foreign stops a run that the log does not know as active, and keeps its room until it
// is gone.
func (p *Placer) foreign(v *vm, row *cluster.RunReport, now time.Duration) {
	if known := p.runs[row.TaskID]; known != nil {
		// The task has another run: the stray one is stopped without being followed up.
		p.note(Note{What: "stray run", Job: row.Job, Task: row.TaskID, Run: row.Run, Worker: v.Life.Worker})
		p.strays = append(p.strays, Command{Stop: &StopCommand{Life: v.Life, Address: v.Address, Run: row.RunID, Token: p.token}})
		return
	}
	j := p.state.Jobs[row.Job]
	r := &run{RunID: row.RunID, state: stopping, vm: v, foreign: true, seen: true, recorded: true, plannedAt: now, answeredAt: now}
	if j != nil && row.Step >= 0 && row.Step < len(j.Steps) {
		r.size = size(&j.Steps[row.Step])
	}
	p.note(Note{What: "stray run", Job: row.Job, Task: row.TaskID, Run: row.Run, Worker: v.Life.Worker})
	p.runs[row.TaskID] = r
	v.runs[row.TaskID] = r
	if w := p.steps[row.StepID()]; w != nil {
		w.active++
	}
	p.cell.AddTask(v.Life.Worker, p.cellTask(r, now))
}

// endRun frees the room of a run and has its end recorded.
func (p *Placer) endRun(r *run, how cluster.How, checkpoint string, now time.Duration) {
	if r.closed {
		return
	}
	r.closed = true
	if r.state != ended {
		r.step(dropped)
	}
	delete(r.vm.runs, r.TaskID)
	p.cell.Release(cellID(r.TaskID), int64(r.Run))
	p.dirty = true
	if r.foreign {
		delete(p.runs, r.TaskID)
		if w := p.steps[r.StepID()]; w != nil {
			w.active--
		}
		return
	}
	if !r.recorded {
		delete(p.runs, r.TaskID)
		if w := p.steps[r.StepID()]; w != nil {
			w.active--
		}
		return
	}
	if checkpoint == "" && how != cluster.Void {
		checkpoint = r.saved // a worker that is gone can't tell its newest one
	}
	thrown := 0.0
	if how != cluster.Done && how != cluster.Void && checkpoint == "" && r.answeredAt > 0 {
		thrown = (now - r.answeredAt).Seconds() * float64(r.size.MilliCores) / 1000
	}
	p.note(Note{
		What: NoteEnded, Job: r.Job, Task: r.TaskID, Run: r.Run, Worker: r.vm.Life.Worker, Reason: string(how), Age: now - r.plannedAt, Thrown: thrown,
	})
	p.out.Ends = append(p.out.Ends, flow.End{RunID: r.RunID, How: how, Checkpoint: checkpoint})
	if how != cluster.Done {
		p.breakGang(r)
	}
}

// breakGang has the other members of a gang stopped when one is gone.
func (p *Placer) breakGang(r *run) {
	w := p.steps[r.StepID()]
	if w == nil || !w.def.Gang {
		return
	}
	for i := 0; i < w.def.Count; i++ {
		if other := p.runs[w.task(i)]; other != nil && other != r && other.Run == r.Run && other.state != ended {
			other.wanted = false
		}
	}
}

// Granted takes the answer to a request for advice; failed means that there was none.
func (p *Placer) Granted(c *AdviseCommand, grants []cluster.Grant, valid, took time.Duration, failed bool, now time.Duration) {
	p.advise.finished(c, took, failed, now)
	w := p.steps[c.Step]
	p.dirty = true
	got := map[string]string{}
	for _, g := range grants {
		got[g.Worker] = g.Ticket
	}
	if w != nil {
		w.asking = false
		if failed {
			w.askAfter = now + adviceRetry
		} else {
			p.learnGrants(w.job.Queue, len(grants), len(c.Workers))
			for _, worker := range c.Workers {
				if text, granted := got[worker]; granted {
					w.grants[worker] = ticket{text, now + valid - p.advise.age(c)}
				} else {
					w.denied[worker] = true
					delete(w.grants, worker)
				}
			}
		}
		p.note(Note{What: "advice", Job: c.Step.Job, Task: cluster.TaskID{Job: c.Step.Job, Occurrence: c.Step.Occurrence, Step: c.Step.Step}, Reason: adviceReason(failed, len(grants), len(c.Workers)), Age: took})
	}
	if w != nil {
		p.takeTickets(w, now)
	}
}

// takeTickets begins the runs of a step that wait for tickets and have one now, and gives
// the room of the others back. The members of a gang begin together or not at all.
func (p *Placer) takeTickets(w *stepWork, now time.Duration) {
	var waiting []*run
	whole := true
	for i := 0; i < w.def.Count; i++ {
		r := p.runs[w.task(i)]
		if r == nil || r.state != ticketing {
			continue
		}
		waiting = append(waiting, r)
		if t := w.grants[r.vm.Life.Worker]; t.until <= now+ticketPlan || !r.wanted {
			whole = false
		}
	}
	for _, r := range waiting {
		t := w.grants[r.vm.Life.Worker]
		if t.until <= now+ticketPlan || !r.wanted || w.def.Gang && !whole {
			p.endRun(r, cluster.Void, "", now)
			continue
		}
		r.ticket = t
		r.step(ticketGranted)
		p.begin(r)
	}
}
