package placer

import (
	"strconv"
	"time"

	"briarproxy/core/cluster"
	"briarproxy/core/flow"
	"briarproxy/core/speed"
)

// pendingJob is the placer's state of a job that has not ended.
type pendingJob struct {
	job           *flow.Job
	readAt        time.Duration           // time at which the job's record was read
	activated     map[cluster.StepID]bool // steps that were added to Placer.steps or were complete already
	startRecorded bool                    // the start of the job is recorded or in a batch still to be appended
}

// pendingStep is a step that is ready to run and is not complete.
type pendingStep struct {
	id             cluster.StepID
	job            *flow.Job
	def            *flow.Step
	queue          *cluster.Queue
	workspace      *workspace
	atMaximum      bool          // its workspace was at its maximum in the last planning pass
	readyAt        time.Duration // time at which the step became ready
	latestStartMS  int64         // Unix ms; see latestStart
	objective      time.Duration // of the job
	rank           stepRank      // in this planning pass
	speedWeight    float64       // in this planning pass; see newSpeedWeight
	evidence       speed.Step    // of the work of its tasks
	spare          time.Duration // in this planning pass: until the latest start
	waits          bool          // in this planning pass: tasks wait for a better place although another is free
	waitsSince     time.Duration // since when tasks have waited for a better place; 0 means that they have not
	waitEnded      bool          // the end of such a wait has been reported
	grants         map[string]ticket
	denied         map[string]bool
	adviceInFlight bool
	adviceSentAt   time.Duration
	nextAdviceAt   time.Duration
	nextReportAt   time.Duration // of a refused plan
	avoidWorkers   []string      // workers on which a task of the step failed, the last one at the end
	failedAt       time.Duration // time of the last such failure
	ticketsNeeded  []string      // workers on which resources are reserved until a new ticket arrives
	onTrial        bool          // a worker may have crashed as it started a task of the step
	trialUntil     time.Duration // a run of it ended without proof that its worker survived the start
	crashedAt      time.Duration // time of the last such record or end, or at which this placer began
	lateEnds       int           // late ends of its tasks that are not recorded yet; until then the step is not planned
	activeRuns     int           // runs of the step that are planned and whose end is not recorded yet
}

// dueOccurrence is an occurrence whose due time is still to come.
type dueOccurrence struct {
	job        *flow.Job
	occurrence int
	atMS       int64 // Unix ms
}

func cellJobID(s cluster.StepID) string {
	return s.Job + "." + strconv.Itoa(s.Occurrence) + "." + strconv.Itoa(s.Step)
}

func cellTaskID(t cluster.TaskID) string { return cellJobID(t.StepID()) + "." + strconv.Itoa(t.Index) }

// addJob adds a job unless it has ended. Its occurrences become active at their due times.
func (p *Placer) addJob(job *flow.Job, now time.Duration) {
	if job.Phase.Final() || p.jobs[job.ID] != nil {
		return
	}
	pending := &pendingJob{job: job, readAt: now, activated: map[cluster.StepID]bool{}}
	p.jobs[job.ID] = pending
	for occurrence := 0; occurrence < job.Submit.Occurrences(); occurrence++ {
		if at := job.DueMS(occurrence); at > 0 && len(job.Occurrences) <= occurrence {
			p.dueOccurrences = append(p.dueOccurrences, dueOccurrence{job, occurrence, at})
			continue
		}
		p.activate(pending, occurrence, now)
	}
}

// activate adds the steps of an occurrence that have become ready to run.
func (p *Placer) activate(pending *pendingJob, occurrence int, now time.Duration) {
	for s := range pending.job.Steps {
		id := cluster.StepID{Job: pending.job.ID, Occurrence: occurrence, Step: s}
		if pending.activated[id] || !pending.job.StepReady(occurrence, s) {
			continue
		}
		if state := pending.job.Step(occurrence, s); state != nil && state.Complete() {
			pending.activated[id] = true
			continue
		}
		pending.activated[id] = true
		step := &pendingStep{
			id: id, job: pending.job, def: &pending.job.Steps[s], readyAt: now, workspace: p.workspaceOf(pending.job.Workspace),
			grants: map[string]ticket{}, denied: map[string]bool{}, onTrial: hasCrashed(pending.job.Step(occurrence, s)),
		}
		if step.onTrial {
			step.crashedAt = now
		}
		for i := 0; i < step.def.Count; i++ {
			if p.runs[cluster.TaskID{Job: id.Job, Occurrence: id.Occurrence, Step: s, Index: i}] != nil {
				step.activeRuns++
			}
		}
		p.steps[id] = step
		p.planNeeded = true
	}
}

// activateDue activates the occurrences whose due time has passed.
func (p *Placer) activateDue(now time.Duration, wallMS int64) {
	rest := p.dueOccurrences[:0]
	for _, d := range p.dueOccurrences {
		pending := p.jobs[d.job.ID]
		switch {
		case pending == nil:
		case wallMS >= d.atMS:
			p.activate(pending, d.occurrence, now)
		default:
			rest = append(rest, d)
		}
	}
	p.dueOccurrences = rest
}

// dropJob removes a job that has ended, with its steps, and marks its runs to be stopped.
func (p *Placer) dropJob(jobID string) {
	pending := p.jobs[jobID]
	if pending == nil {
		return
	}
	delete(p.jobs, jobID)
	for stepID := range pending.activated {
		delete(p.steps, stepID)
		p.cell.ReleaseHold(cellJobID(stepID))
		for i := range pending.job.Steps[stepID.Step].Count {
			if r := p.runs[cluster.TaskID{Job: jobID, Occurrence: stepID.Occurrence, Step: stepID.Step, Index: i}]; r != nil {
				r.wanted = false
			}
		}
	}
	p.planNeeded = true
}

// waitingTasks appends the indexes of the step's tasks that have to be started to buf and returns
// the result.
func (p *Placer) waitingTasks(step *pendingStep, buf []int) []int {
	state := step.job.Step(step.id.Occurrence, step.id.Step)
	for i := 0; i < step.def.Count; i++ {
		if state != nil && (state.Tasks[i].Done || state.Tasks[i].Active) {
			continue
		}
		if step.activeRuns > 0 && p.runs[step.taskID(i)] != nil {
			continue
		}
		buf = append(buf, i)
	}
	return buf
}

func (s *pendingStep) taskID(i int) cluster.TaskID {
	return cluster.TaskID{Job: s.id.Job, Occurrence: s.id.Occurrence, Step: s.id.Step, Index: i}
}

// setQueue sets the step's queue and, when the queue is first known, its latest start.
func (s *pendingStep) setQueue(q *cluster.Queue) {
	if s.queue == nil && q != nil {
		s.queue = q
		s.latestStartMS = s.latestStart()
	}
	s.queue = q
}

// latestStart returns the latest time (Unix ms) at which the step has to start for its job to
// end within its objective, according to the estimates. It also sets the objective.
func (s *pendingStep) latestStart() int64 {
	start := s.job.AtMS
	if due := s.job.DueMS(s.id.Occurrence); due > 0 {
		start = due
	}
	s.objective = 0
	if s.queue != nil {
		s.objective = s.queue.Objective(s.job.CriticalPath())
	}
	remaining := s.job.RemainingCriticalPath(func(step int) bool {
		state := s.job.Step(s.id.Occurrence, step)
		return state != nil && state.Complete()
	})
	return start + s.objective.Milliseconds() - remaining.Milliseconds()
}
