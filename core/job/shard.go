package job

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"briarproxy/core/wire"
)

// Backoff of groups that found no room.
const (
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 2 * time.Second
	deferFor     = 50 * time.Millisecond // shortest wait of a group that nobody known has room for
)

// Attempt names an attempt and the VM that may run it.
type Attempt struct {
	TaskID     string
	Job        string
	Index      int
	Generation int64
	Place
}

// Group is a set of tasks to place together.
type Group struct {
	Job   *Job // read only
	Tasks []int
}

// Shard is the state of one key shard's jobs. It is not safe for concurrent use.
type Shard struct {
	jobs     map[string]*Job
	ready    readyQueue
	delayed  delayQueue
	stop     []Attempt        // attempts to stop
	verify   map[string]Phase // task id -> phase to return to, for attempts to verify
	nextSeq  int64
	rng      *rand.Rand
	refusals []error // events that the task chart refused
}

// NewShard returns an empty shard. The random source spreads backoffs.
func NewShard(rng *rand.Rand) *Shard {
	return &Shard{jobs: map[string]*Job{}, verify: map[string]Phase{}, rng: rng}
}

// TaskID returns the id of a task.
func TaskID(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// ParseTaskID returns the job and index of a task id.
func ParseTaskID(id string) (job string, index int, ok bool) {
	slash := strings.LastIndexByte(id, '/')
	if slash < 0 {
		return "", 0, false
	}
	index, err := strconv.Atoi(id[slash+1:])
	return id[:slash], index, err == nil && index >= 0
}

// Get returns a job, or nil. It must not be changed.
func (s *Shard) Get(id string) *Job { return s.jobs[id] }

// Len returns the number of jobs known.
func (s *Shard) Len() int { return len(s.jobs) }

// Waiting returns the number of groups that wait for room.
func (s *Shard) Waiting() int { return s.ready.Len() + s.delayed.Len() }

// Apply applies a confirmed record that passes Check. Records of an ended or unknown
// attempt have no effect, so replaying a record twice is harmless.
func (s *Shard) Apply(r Record, now time.Duration) {
	switch {
	case r.Submit != nil:
		s.applySubmit(*r.Submit, now)
	case r.Job != nil:
		s.applyJob(*r.Job)
	case r.Intent != nil:
		s.applyIntent(*r.Intent)
	case r.Ended != nil:
		s.applyEnded(*r.Ended, now)
	case r.Cancel != nil:
		s.applyCancel(*r.Cancel)
	}
}

func (s *Shard) applySubmit(in Submit, now time.Duration) {
	if _, known := s.jobs[in.ID]; known {
		return
	}
	j := &Job{Submit: in, Tasks: make([]Task, in.Tasks), open: in.Tasks}
	for i := range j.Tasks {
		j.Tasks[i].Phase = Pending
	}
	s.add(j)
	s.enqueueJob(j, now)
}

func (s *Shard) add(j *Job) {
	s.nextSeq++
	j.seq = s.nextSeq
	s.jobs[j.ID] = j
}

func (s *Shard) enqueueJob(j *Job, now time.Duration) {
	if j.Definition.Gang {
		s.enqueueGroup(j, 0, now, now)
		return
	}
	for i := range j.Tasks {
		if j.Tasks[i].Phase == Pending {
			s.enqueueGroup(j, i, now, now)
		}
	}
}

func (s *Shard) enqueueGroup(j *Job, index int, notBefore, now time.Duration) {
	s.enqueue(group{job: j, index: index, notBefore: notBefore, deadline: j.AtMS + j.Definition.DeadlineMS}, now)
}

// applyJob adds a job from its re-appended state, on replay only. A job that is
// known already is complete: every record that followed the first one is kept
// longer than it.
func (s *Shard) applyJob(j Job) {
	if _, known := s.jobs[j.ID]; known {
		return
	}
	j.open = 0
	for _, t := range j.Tasks {
		if !t.Phase.Final() {
			j.open++
		}
	}
	s.add(&j)
}

func (s *Shard) task(job string, index int) (*Job, *Task) {
	j := s.jobs[job]
	if j == nil || index < 0 || index >= len(j.Tasks) {
		return nil, nil
	}
	return j, &j.Tasks[index]
}

func (s *Shard) applyIntent(in Intent) {
	_, t := s.task(in.Job, in.Index)
	if t == nil || t.Phase.Final() || in.Generation <= t.Generation {
		return
	}
	event := intentReplayed
	if t.Phase == Logging {
		event = intentLogged
	}
	if s.step(t, event) {
		t.Generation = in.Generation
		t.Place = in.Place
	}
}

func (s *Shard) applyEnded(in Ended, now time.Duration) {
	j, t := s.task(in.Job, in.Index)
	if t == nil || t.Phase.Final() || t.Generation != in.Generation || !t.Phase.active() {
		return
	}
	delete(s.verify, TaskID(in.Job, in.Index))
	vm := t.VM
	t.Place = Place{}
	switch {
	case in.State == wire.RunFinished:
		s.finish(j, t, finished, in)
	case j.Cancelled:
		s.finish(j, t, endedCancelled, in)
	case in.State == wire.RunFailed:
		t.Failures++
		t.FailedOn = append(t.FailedOn, vm)
		t.Reason = failureReason(in)
		if t.Failures >= max(1, j.Definition.MaxAttempts) {
			s.finish(j, t, attemptsExhausted, in)
			break
		}
		s.step(t, attemptEnded)
	case j.Definition.AtMostOnce && in.State != wire.RunNeverStarted:
		t.Reason = mayHaveRun
		s.finish(j, t, attemptsExhausted, in)
	default:
		s.step(t, attemptEnded)
	}
	s.afterEnd(j, in.Index, now)
}

// mayHaveRun is the reason of a task that must not be started again although its
// end is not known.
const mayHaveRun = "the attempt was lost after it may have run; the operation is not idempotent, so it is not started again"

func failureReason(in Ended) string {
	if in.Result != nil && in.Result.Error != "" {
		return in.Result.Error
	}
	return "the worker reported a failure without a reason"
}

// finish moves the task to its final phase.
func (s *Shard) finish(j *Job, t *Task, event *taskEvent, in Ended) {
	if !s.step(t, event) {
		return
	}
	t.Result = in.Result
	j.open--
	if j.open == 0 {
		j.FinishedMS = in.AtMS
	}
}

// afterEnd queues the task again. A gang is queued as a whole, once none of its
// tasks may run: all its tasks have to start together.
func (s *Shard) afterEnd(j *Job, index int, now time.Duration) {
	if j.open == 0 {
		return
	}
	if !j.Definition.Gang {
		if j.Tasks[index].Phase == Pending {
			s.enqueueGroup(j, index, now+s.backoff(j.Tasks[index].Failures), now)
		}
		return
	}
	s.abortGang(j)
	s.requeueGang(j, now)
}

// abortGang stops the attempts of a gang of which one task did not succeed.
func (s *Shard) abortGang(j *Job) {
	pending := false
	for i := range j.Tasks {
		pending = pending || j.Tasks[i].Phase == Pending
	}
	if !pending || j.aborting {
		return
	}
	for i := range j.Tasks {
		if p := j.Tasks[i].Phase; p == Starting || p == Running {
			s.stopTask(j, i, gangAborted)
			j.aborting = true
		}
	}
}

func (s *Shard) requeueGang(j *Job, now time.Duration) {
	pending := false
	for i := range j.Tasks {
		if j.Tasks[i].Phase.active() {
			return
		}
		pending = pending || j.Tasks[i].Phase == Pending
	}
	j.aborting = false
	if pending {
		s.enqueueGroup(j, 0, now+s.backoff(j.tries), now)
	}
}

func (s *Shard) stopTask(j *Job, index int, event *taskEvent) {
	if s.step(&j.Tasks[index], event) {
		s.stop = append(s.stop, attemptOf(j, index))
	}
}

func attemptOf(j *Job, index int) Attempt {
	t := &j.Tasks[index]
	return Attempt{TaskID: TaskID(j.ID, index), Job: j.ID, Index: index, Generation: t.Generation, Place: t.Place}
}

func (s *Shard) applyCancel(in Cancel) {
	j := s.jobs[in.Job]
	if j == nil || j.Cancelled || j.open == 0 {
		return
	}
	j.Cancelled = true
	for i := range j.Tasks {
		t := &j.Tasks[i]
		switch t.Phase {
		case Starting, Running:
			s.stopTask(j, i, cancel)
		case Pending, Reserving, Logging:
			s.finish(j, t, cancel, Ended{AtMS: in.AtMS})
		case Verifying, Stopping:
			s.step(t, cancel)
		}
	}
}

// FinishReplay prepares the shard of a new owner: every attempt without an end has
// to be verified with its worker, everything else is queued.
func (s *Shard) FinishReplay(now time.Duration) {
	s.ready, s.delayed, s.stop = nil, delayQueue{}, nil
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		s.resume(s.jobs[id], now)
	}
}

func (s *Shard) resume(j *Job, now time.Duration) {
	active := false
	for i := range j.Tasks {
		t := &j.Tasks[i]
		switch {
		case t.Phase.active():
			s.toVerify(j, i, ownerChanged)
			active = true
		case !t.Phase.Final():
			s.step(t, ownerChanged)
		}
	}
	if j.open == 0 || j.Definition.Gang && active {
		return
	}
	s.enqueueJob(j, now)
}

// toVerify marks an attempt for the question to its worker.
func (s *Shard) toVerify(j *Job, index int, event *taskEvent) {
	t := &j.Tasks[index]
	before := t.Phase
	if s.step(t, event) {
		s.verify[TaskID(j.ID, index)] = before
	}
}

// NextGroups takes up to limit groups that are ready to be placed, the most urgent
// first. Their tasks are in phase Reserving until Reserved or NoRoom is called.
func (s *Shard) NextGroups(now time.Duration, limit int) []Group {
	s.releaseDelayed(now)
	var groups []Group
	for len(groups) < limit && s.ready.Len() > 0 {
		g := heap.Pop(&s.ready).(group)
		if tasks := s.takePending(g); len(tasks) > 0 {
			groups = append(groups, Group{Job: g.job, Tasks: tasks})
		}
	}
	return groups
}

func (s *Shard) takePending(g group) []int {
	if !g.job.Definition.Gang {
		t := &g.job.Tasks[g.index]
		if t.Phase != Pending || !s.step(t, taken) {
			return nil
		}
		return []int{g.index}
	}
	var tasks []int
	for i := range g.job.Tasks {
		if t := &g.job.Tasks[i]; t.Phase == Pending && s.step(t, taken) {
			tasks = append(tasks, i)
		}
	}
	return tasks
}

// NoRoom puts a group back with a backoff. The reason is kept for explanations.
func (s *Shard) NoRoom(g Group, reason string, now time.Duration) {
	g.Job.tries++
	s.putBack(g, noRoom, reason, now, s.backoff(g.Job.tries))
}

// Defer puts a group back for a short time, because nobody known has room for it.
func (s *Shard) Defer(g Group, reason string, now time.Duration) {
	s.putBack(g, noRoom, reason, now, deferFor+time.Duration(s.rng.Int64N(int64(deferFor))))
}

func (s *Shard) putBack(g Group, event *taskEvent, reason string, now, delay time.Duration) {
	requeue := false
	for _, i := range g.Tasks {
		t := &g.Job.Tasks[i]
		if t.Phase.Final() || !s.step(t, event) {
			continue
		}
		t.Reason = reason
		requeue = true
	}
	if requeue {
		s.enqueueGroup(g.Job, g.Tasks[0], now+delay, now)
	}
}

// backoff returns a delay with full jitter that doubles with each try.
func (s *Shard) backoff(tries int) time.Duration {
	if tries == 0 {
		return 0
	}
	ceiling := min(firstBackoff<<min(tries, 16), maxBackoff)
	return time.Duration(s.rng.Int64N(int64(ceiling)))
}

// Reserved returns the records to append before the group's tasks are started on
// the given VMs, one per task in the order of g.Tasks.
func (s *Shard) Reserved(g Group, places []Place) []Record {
	g.Job.tries = 0
	records := make([]Record, 0, len(g.Tasks))
	for n, i := range g.Tasks {
		t := &g.Job.Tasks[i]
		if t.Phase.Final() || !s.step(t, reserved) {
			continue
		}
		t.Reason = ""
		records = append(records, Record{Intent: &Intent{Job: g.Job.ID, Index: i, Generation: t.Generation + 1, Place: places[n]}})
	}
	return records
}

// NotLogged puts a group back whose intents could not be confirmed. No start was
// sent, but the records may be in the stream, so their generation is used up.
func (s *Shard) NotLogged(g Group, now time.Duration) {
	for _, i := range g.Tasks {
		if t := &g.Job.Tasks[i]; t.Phase == Logging {
			t.Generation++
		}
	}
	g.Job.tries++
	s.putBack(g, notLogged, "the log service did not confirm the start record", now, s.backoff(g.Job.tries))
}

// Startable reports whether a logged attempt should still be started.
func (s *Shard) Startable(job string, index int, generation int64) bool {
	_, t := s.task(job, index)
	return t != nil && t.Phase == Starting && t.Generation == generation
}

// Started notes that the worker has accepted the start.
func (s *Shard) Started(job string, index int, generation int64) {
	if s.Startable(job, index, generation) {
		_, t := s.task(job, index)
		s.step(t, started)
	}
}

// StartUnknown notes that it is not known whether the worker got the start.
func (s *Shard) StartUnknown(job string, index int, generation int64) {
	if s.Startable(job, index, generation) {
		j, _ := s.task(job, index)
		s.toVerify(j, index, startUnknown)
	}
}

// EndRecord returns the record for the end of an attempt, or nil when the end is
// known already or belongs to another attempt. RunNeverStarted ends it as well.
func (s *Shard) EndRecord(taskID string, generation int64, state wire.RunState, result *wire.Result, atMS int64) *Record {
	name, index, ok := ParseTaskID(taskID)
	if !ok {
		return nil
	}
	_, t := s.task(name, index)
	if t == nil || t.Generation != generation || !t.Phase.active() {
		return nil
	}
	return &Record{Ended: &Ended{Job: name, Index: index, Generation: generation, State: state, Result: result, AtMS: atMS}}
}

// Knows reports whether the end of this attempt needs no record any more, so that
// its worker may forget it.
func (s *Shard) Knows(taskID string, generation int64) bool {
	name, index, ok := ParseTaskID(taskID)
	if !ok {
		return true
	}
	_, t := s.task(name, index)
	return t == nil || t.Phase.Final() || generation < t.Generation || !t.Phase.active()
}

// FoundRunning notes that a verified attempt runs.
func (s *Shard) FoundRunning(taskID string, generation int64) {
	name, index, ok := ParseTaskID(taskID)
	if !ok {
		return
	}
	j, t := s.task(name, index)
	if t == nil || t.Phase != Verifying || t.Generation != generation {
		return
	}
	before := s.verify[taskID]
	if !s.step(t, foundRunning) {
		return
	}
	delete(s.verify, taskID)
	switch {
	case j.Cancelled:
		s.stopTask(j, index, cancel)
	case before == Stopping:
		s.stopTask(j, index, gangAborted)
	}
}

// ToVerify returns up to limit attempts whose workers must be asked.
func (s *Shard) ToVerify(limit int) []Attempt {
	ids := slices.Sorted(maps.Keys(s.verify))
	attempts := make([]Attempt, 0, min(limit, len(ids)))
	for _, id := range ids[:min(limit, len(ids))] {
		name, index, _ := ParseTaskID(id)
		attempts = append(attempts, attemptOf(s.jobs[name], index))
	}
	return attempts
}

// Verifying returns the number of attempts whose workers must be asked.
func (s *Shard) Verifying() int { return len(s.verify) }

// VerifyRunning marks the running attempts on the given VMs for verification and
// returns their number. It is used when a VM's rack has a new owner.
func (s *Shard) VerifyRunning(onVM func(vm string) bool) int {
	marked := 0
	for _, j := range s.jobs {
		if j.open == 0 {
			continue
		}
		for i := range j.Tasks {
			if t := &j.Tasks[i]; t.Phase == Running && onVM(t.VM) {
				s.toVerify(j, i, rackOwnerChanged)
				marked++
			}
		}
	}
	return marked
}

// ToStop takes up to limit attempts to stop. An attempt whose stop got no answer
// is given back with StopAgain.
func (s *Shard) ToStop(limit int) []Attempt {
	n := min(limit, len(s.stop))
	taken := s.stop[:n:n]
	s.stop = s.stop[n:]
	return taken
}

// StopAgain queues an attempt for another stop.
func (s *Shard) StopAgain(a Attempt) {
	if _, t := s.task(a.Job, a.Index); t != nil && t.Phase == Stopping && t.Generation == a.Generation {
		s.stop = append(s.stop, a)
	}
}

// Expire forgets jobs that finished more than keep ago and returns their number.
func (s *Shard) Expire(nowMS int64, keep time.Duration) int {
	forgotten := 0
	for id, j := range s.jobs {
		if j.open == 0 && nowMS-j.FinishedMS > keep.Milliseconds() {
			delete(s.jobs, id)
			forgotten++
		}
	}
	return forgotten
}

// Snapshot returns a record for each job, to be appended before older ones expire.
func (s *Shard) Snapshot() []Record {
	records := make([]Record, 0, len(s.jobs))
	for _, j := range s.jobs {
		c := *j
		c.Tasks = append([]Task(nil), j.Tasks...)
		records = append(records, Record{Job: &c})
	}
	return records
}

// String describes the shard in a log line.
func (s *Shard) String() string {
	return fmt.Sprintf("%d jobs, %d groups waiting, %d attempts to verify", len(s.jobs), s.Waiting(), len(s.verify))
}
