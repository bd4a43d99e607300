package placer

import (
	"strconv"
	"time"

	"briarproxy/core/cluster"
	"briarproxy/core/flow"
)

// pendingJob is what the placer keeps of a job that has not ended.
type pendingJob struct {
	job           *flow.Job
	readAt        time.Duration // its record was read
	activated     map[cluster.StepID]bool
	startRecorded bool // that it has begun is recorded or about to be
}

// pendingStep is a step whose turn has come and that has tasks to start.
type pendingStep struct {
	id             cluster.StepID
	job            *flow.Job
	def            *flow.Step
	queue          *cluster.Queue
	readyAt        time.Duration // its turn came
	latestStartMS  int64         // see latestStart
	objective      time.Duration // of the job
	stepRank       stepRank      // in this planning pass
	grants         map[string]ticket
	denied         map[string]bool
	adviceInFlight bool
	adviceSentAt   time.Duration
	nextAdviceAt   time.Duration
	avoidWorkers   []string // workers on which a task of the step failed
	ticketsNeeded  []string // workers on which room is kept until a new ticket comes
	activeRuns     int      // runs of the step from plan to recorded end
}

// dueOccurrence is an occurrence that waits for its time.
type dueOccurrence struct {
	job        *flow.Job
	occurrence int
	atMS       int64
}

func cellJobID(s cluster.StepID) string {
	return s.Job + "." + strconv.Itoa(s.Occurrence) + "." + strconv.Itoa(s.Step)
}

func cellTaskID(t cluster.TaskID) string { return cellJobID(t.StepID()) + "." + strconv.Itoa(t.Index) }

// addJob takes up a job that has not ended.
func (p *Placer) addJob(j *flow.Job, now time.Duration) {
	if j.Phase.Final() || p.jobs[j.ID] != nil {
		return
	}
	w := &pendingJob{job: j, readAt: now, activated: map[cluster.StepID]bool{}}
	p.jobs[j.ID] = w
	for k := 0; k < j.Submit.Occurrences(); k++ {
		if at := j.DueMS(k); at > 0 && len(j.Occurrences) <= k {
			p.dueOccurrences = append(p.dueOccurrences, dueOccurrence{j, k, at})
			continue
		}
		p.activate(w, k, now)
	}
}

// activate takes up the steps of an occurrence whose turn has come.
func (p *Placer) activate(w *pendingJob, occurrence int, now time.Duration) {
	for s := range w.job.Steps {
		id := cluster.StepID{Job: w.job.ID, Occurrence: occurrence, Step: s}
		if w.activated[id] || !w.job.StepReady(occurrence, s) {
			continue
		}
		if st := w.job.Step(occurrence, s); st != nil && st.Complete() {
			w.activated[id] = true
			continue
		}
		w.activated[id] = true
		work := &pendingStep{
			id: id, job: w.job, def: &w.job.Steps[s], readyAt: now,
			grants: map[string]ticket{}, denied: map[string]bool{},
		}
		for i := 0; i < work.def.Count; i++ {
			if p.runs[cluster.TaskID{Job: id.Job, Occurrence: id.Occurrence, Step: s, Index: i}] != nil {
				work.activeRuns++
			}
		}
		p.steps[id] = work
		p.dirty = true
	}
}

// activateDue activates the occurrences whose time has come.
func (p *Placer) activateDue(now time.Duration, wallMS int64) {
	rest := p.dueOccurrences[:0]
	for _, d := range p.dueOccurrences {
		w := p.jobs[d.job.ID]
		switch {
		case w == nil:
		case wallMS >= d.atMS:
			p.activate(w, d.occurrence, now)
		default:
			rest = append(rest, d)
		}
	}
	p.dueOccurrences = rest
}

// dropJob forgets the work of a job that has ended and stops its runs.
func (p *Placer) dropJob(id string) {
	w := p.jobs[id]
	if w == nil {
		return
	}
	delete(p.jobs, id)
	for s := range w.activated {
		delete(p.steps, s)
		for i := range w.job.Steps[s.Step].Count {
			if r := p.runs[cluster.TaskID{Job: id, Occurrence: s.Occurrence, Step: s.Step, Index: i}]; r != nil {
				r.wanted = false
			}
		}
	}
	p.dirty = true
}

// waitingTasks returns the indexes of the step's tasks that are to be started.
func (p *Placer) waitingTasks(w *pendingStep, into []int) []int {
	state := w.job.Step(w.id.Occurrence, w.id.Step)
	for i := 0; i < w.def.Count; i++ {
		if state != nil && (state.Tasks[i].Done || state.Tasks[i].Active) {
			continue
		}
		if w.activeRuns > 0 && p.runs[w.taskID(i)] != nil {
			continue
		}
		into = append(into, i)
	}
	return into
}

func (w *pendingStep) taskID(i int) cluster.TaskID {
	return cluster.TaskID{Job: w.id.Job, Occurrence: w.id.Occurrence, Step: w.id.Step, Index: i}
}

// setQueue puts the step's latest start in place when its queue is first known.
func (w *pendingStep) setQueue(q *cluster.Queue) {
	if w.queue == nil && q != nil {
		w.queue = q
		w.latestStartMS = w.latestStart()
	}
	w.queue = q
}

// latestStart returns the time (Unix ms) at which the step must begin for its job to
// end within its objective, as far as estimates go.
func (w *pendingStep) latestStart() int64 {
	begin := w.job.AtMS
	if due := w.job.DueMS(w.id.Occurrence); due > 0 {
		begin = due
	}
	w.objective = 0
	if w.queue != nil {
		w.objective = w.queue.Objective(w.job.CriticalPath())
	}
	remaining := w.job.RemainingCriticalPath(func(step int) bool {
		s := w.job.Step(w.id.Occurrence, step)
		return s != nil && s.Complete()
	})
	return begin + w.objective.Milliseconds() - remaining.Milliseconds()
}
