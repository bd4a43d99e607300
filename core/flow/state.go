package flow

import (
	"time"

	"briarproxy/core/cluster"
	"briarproxy/core/fault"
)

// Phase is the state of a job.
type Phase string

// Phases of a job. The last three are final.
const (
	Queued    Phase = "queued"
	Running   Phase = "running"
	Completed Phase = "completed"
	Failed    Phase = "failed"
	Cancelled Phase = "cancelled"
)

// Final reports whether a job in this phase has ended.
func (p Phase) Final() bool { return p == Completed || p == Failed || p == Cancelled }

// TaskState is what the log says of one task.
type TaskState struct {
	Run        int          `json:"r,omitempty"` // of the last run begun; runs count from 1
	Active     bool         `json:"a,omitempty"`
	Done       bool         `json:"d,omitempty"`
	Failures   int          `json:"f,omitempty"`
	Life       cluster.Life `json:"l"` // that the last run was begun on
	Checkpoint string       `json:"c,omitempty"`
}

// StepState is what the log says of one step of an occurrence.
type StepState struct {
	Tasks    []TaskState
	Done     int // tasks that are done
	Run      int // highest run of any task, shared by the members of a gang
	Failures int // failed runs of a gang
	failed   int // last run that was counted
}

// Complete reports whether all tasks of the step are done.
func (s *StepState) Complete() bool { return s.Done == len(s.Tasks) }

// Occurrence is one run of all steps of a job.
type Occurrence struct {
	Steps    []StepState
	Complete int // steps that are complete
}

// Job is a job with its progress.
type Job struct {
	Submit
	Offset      int64 // of the submission in the log
	Phase       Phase
	Occurrences map[int]*Occurrence // those of which a run was begun
	Ended       int                 // occurrences that are complete
	EndedAt     time.Duration       // boot clock at which the final phase was read
	Active      int                 // runs that have begun and not ended
}

// Step returns the state of a step; nil if no run of the occurrence was begun.
func (j *Job) Step(occurrence, step int) *StepState {
	o := j.Occurrences[occurrence]
	if o == nil || step < 0 || step >= len(o.Steps) {
		return nil
	}
	return &o.Steps[step]
}

// occurrence returns the occurrence and makes it if it does not exist.
func (j *Job) occurrence(k int) *Occurrence {
	o := j.Occurrences[k]
	if o != nil {
		return o
	}
	o = &Occurrence{Steps: make([]StepState, len(j.Steps))}
	for i := range o.Steps {
		o.Steps[i].Tasks = make([]TaskState, j.Steps[i].Count)
	}
	if j.Occurrences == nil {
		j.Occurrences = map[int]*Occurrence{}
	}
	j.Occurrences[k] = o
	return o
}

// StepReady reports whether the steps that the step waits for are complete.
func (j *Job) StepReady(occurrence, step int) bool {
	for _, a := range j.Steps[step].After {
		s := j.Step(occurrence, a)
		if s == nil || !s.Complete() {
			return false
		}
	}
	return true
}

// start notes that a run of the job has certainly begun.
func (s *State) start(j *Job) {
	if j.Phase == Queued {
		s.leaveQueue(j)
		j.Phase = Running
	}
}

// Member is a daemon that said hello.
type Member struct {
	Hello
	Seen time.Duration // boot clock
}

// State is all that the log of one partition says. It is not safe for concurrent use.
type State struct {
	Jobs    map[string]*Job
	Claim   Claim // newest claim; its Daemon is "" if it was released or never made
	Token   int64 // fencing token of the newest claim: its offset plus one
	Heard   time.Duration
	Claimed time.Duration // boot clock at which the newest claim was read
	Members map[string]Member
	Next    int64          // offset of the next record
	Pending map[string]int // by queue: jobs without a due time of which nothing has begun
}

// NewState returns the state before the first record.
func NewState() *State {
	return &State{Jobs: map[string]*Job{}, Members: map[string]Member{}, Pending: map[string]int{}}
}

// Apply applies the record at State.Next, read at the given time of the boot clock. An
// error means that the record, or the entry that it names, was ignored.
func (s *State) Apply(r *Record, now time.Duration) error {
	offset := s.Next
	s.Next++
	switch {
	case r.Submit != nil:
		return s.submit(r.Submit, offset)
	case r.Cancel != nil:
		return s.cancel(r.Cancel, now)
	case r.Claim != nil:
		s.Claim, s.Token, s.Heard, s.Claimed = *r.Claim, offset+1, now, now
	case r.Release != nil:
		if r.Release.Epoch == s.Claim.Epoch {
			s.Claim.Daemon = ""
		}
	case r.Hello != nil:
		s.hello(*r.Hello, now)
	case r.Batch != nil:
		return s.batch(r.Batch, now)
	default:
		return fault.New(fault.Invalid, "upgrade this daemon if newer ones write to the log", "record %d is of no known kind", offset)
	}
	return nil
}

// Skip passes over a record that can't be read.
func (s *State) Skip() { s.Next++ }

func (s *State) submit(in *Submit, offset int64) error {
	if s.Jobs[in.ID] != nil {
		return nil
	}
	if err := in.check(); err != nil {
		return err
	}
	s.Jobs[in.ID] = &Job{Submit: *in, Offset: offset, Phase: Queued}
	if in.Times == 0 {
		s.Pending[in.Queue]++
	}
	return nil
}

func (s *State) cancel(c *Cancel, now time.Duration) error {
	j := s.Jobs[c.ID]
	if j == nil {
		return fault.New(fault.Invalid, "none needed: the job has been forgotten", "job %s to cancel is not known", c.ID)
	}
	s.finish(j, Cancelled, now)
	return nil
}

// finish gives a job its final phase, unless it has one.
func (s *State) finish(j *Job, p Phase, now time.Duration) {
	if j.Phase.Final() {
		return
	}
	s.leaveQueue(j)
	j.Phase, j.EndedAt = p, now
}

// leaveQueue keeps the count of jobs of which nothing has begun.
func (s *State) leaveQueue(j *Job) {
	if j.Phase == Queued && j.Times == 0 {
		s.Pending[j.Queue]--
	}
}

func (s *State) hello(h Hello, now time.Duration) {
	if h.Leaving {
		delete(s.Members, h.Daemon)
		return
	}
	if h.Daemon == s.Claim.Daemon && h.Started > s.Claim.Started {
		s.Claim.Daemon = "" // the process that claimed has ended: this is its successor
	}
	s.Members[h.Daemon] = Member{Hello: h, Seen: now}
}

func (s *State) batch(b *Batch, now time.Duration) error {
	if b.Epoch != s.Claim.Epoch {
		return fault.New(fault.Conflict, "none needed: a newer placer has taken over", "batch of epoch %d while %d is in force", b.Epoch, s.Claim.Epoch)
	}
	s.Heard = now
	for _, id := range b.Started {
		if j := s.Jobs[id]; j != nil {
			s.start(j)
		}
	}
	var first error
	for i := range b.Ends {
		if err := s.end(&b.Ends[i], now); err != nil && first == nil {
			first = err
		}
	}
	for i := range b.Begins {
		if err := s.begin(&b.Begins[i]); err != nil && first == nil {
			first = err
		}
	}
	return first
}

func (s *State) find(id cluster.TaskID) (*Job, *Occurrence, *StepState, *TaskState) {
	j := s.Jobs[id.Job]
	if j == nil || id.Step < 0 || id.Step >= len(j.Steps) || id.Index < 0 ||
		id.Index >= j.Steps[id.Step].Count || id.Occurrence < 0 || id.Occurrence >= j.Submit.Occurrences() {
		return nil, nil, nil, nil
	}
	o := j.occurrence(id.Occurrence)
	step := &o.Steps[id.Step]
	return j, o, step, &step.Tasks[id.Index]
}

// Task returns the state of a task, or nil if the job or task does not exist.
func (s *State) Task(id cluster.TaskID) *TaskState {
	_, _, _, t := s.find(id)
	return t
}

func (s *State) begin(b *Begin) error {
	j, _, step, t := s.find(b.TaskID)
	if t == nil || t.Done || t.Active || b.Run <= t.Run {
		return fault.New(fault.Conflict, "report this as a bug", "run %d of task %v can't begin", b.Run, b.TaskID)
	}
	t.Run, t.Active, t.Life = b.Run, true, b.Life
	step.Run = max(step.Run, b.Run)
	j.Active++
	return nil
}

func (s *State) end(e *End, now time.Duration) error {
	j, o, step, t := s.find(e.TaskID)
	if t == nil {
		return fault.New(fault.Conflict, "none needed: the job has been forgotten", "end of unknown task %v", e.TaskID)
	}
	if t.Done && t.Run == e.Run {
		return nil // a gang's member that ended with the others
	}
	if !t.Active || t.Run != e.Run {
		return fault.New(fault.Conflict, "none needed: the end was recorded before", "run %d of task %v does not run", e.Run, e.TaskID)
	}
	t.Active = false
	j.Active--
	if e.How == cluster.Void {
		return nil
	}
	s.start(j)
	def := &j.Steps[e.Step]
	if e.Checkpoint != "" && def.Gang {
		step.Tasks[0].Checkpoint = e.Checkpoint // any member's is valid for all
	} else if e.Checkpoint != "" {
		t.Checkpoint = e.Checkpoint
	}
	if def.LongRunning {
		return nil
	}
	switch e.How {
	case cluster.Done:
		s.done(j, o, step, t, now)
		if def.Gang {
			s.doneGang(j, o, step, e.Run, now)
		}
	case cluster.Failed:
		s.failed(j, def, step, t, e, now)
	}
	return nil
}

// doneGang marks the other members of a gang as done: one such end stands for all.
func (s *State) doneGang(j *Job, o *Occurrence, step *StepState, run int, now time.Duration) {
	for i := range step.Tasks {
		t := &step.Tasks[i]
		if t.Done || t.Run != run {
			continue
		}
		if t.Active {
			t.Active = false
			j.Active--
		}
		s.done(j, o, step, t, now)
	}
}

func (s *State) done(j *Job, o *Occurrence, step *StepState, t *TaskState, now time.Duration) {
	t.Done = true
	step.Done++
	if !step.Complete() {
		return
	}
	o.Complete++
	if o.Complete < len(o.Steps) {
		return
	}
	j.Ended++
	if j.Ended == j.Submit.Occurrences() {
		s.finish(j, Completed, now)
	}
}

// failed counts an attempt. The failure of a gang's member is one attempt of the gang.
func (s *State) failed(j *Job, def *Step, step *StepState, t *TaskState, e *End, now time.Duration) {
	t.Failures++
	attempts := t.Failures
	if def.Gang {
		if step.failed == e.Run {
			return
		}
		step.failed = e.Run
		step.Failures++
		attempts = step.Failures
	}
	if attempts >= j.MaxAttempts {
		s.finish(j, Failed, now)
	}
}

// Forget drops jobs that ended longer ago than the given time and have no run left. It
// returns their ids. Of those that ended a while ago it keeps what a snapshot keeps.
func (s *State) Forget(keep, now time.Duration) []string {
	var gone []string
	for id, j := range s.Jobs {
		switch {
		case !j.over(now):
		case now-j.EndedAt > keep:
			delete(s.Jobs, id)
			gone = append(gone, id)
		case len(j.Steps) > 0:
			s.Jobs[id] = &Job{Submit: Submit{ID: id}, Offset: j.Offset, Phase: j.Phase, EndedAt: j.EndedAt}
		}
	}
	return gone
}

// over reports whether only the id and phase of the job are of use any more.
func (j *Job) over(now time.Duration) bool {
	return j.Phase.Final() && j.Active <= 0 && now-j.EndedAt > wholeAfterEnd
}
