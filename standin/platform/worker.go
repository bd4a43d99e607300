package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Size is an amount of resources.
type Size struct{ Cpu, MemMb, Gpu int64 }

func (s Size) add(o Size) Size { return Size{s.Cpu + o.Cpu, s.MemMb + o.MemMb, s.Gpu + o.Gpu} }

func (s Size) fitsIn(o Size) bool { return s.Cpu <= o.Cpu && s.MemMb <= o.MemMb && s.Gpu <= o.Gpu }

// Fleet simulates a pool of workers and the advice service. The test or the job's Spec sets
// the size and run time of each step's tasks.
type Fleet struct {
	mu             sync.Mutex
	store          *Store
	pool           string
	capacity       Size
	workers        map[string]*Worker
	plans          map[string]StepPlan // plans has keys of the form JOB.STEP.
	completed      map[string]completedRun
	confirmed      map[completedRun]bool // confirmed holds the completed runs that were acknowledged while the lease was valid.
	running        map[string]string     // running maps tasks to worker IDs.
	violations     []string
	starts         int
	startedJobs    map[string]time.Time          // startedJobs maps the jobs of which a task was started to the time of the first start.
	maxLease       time.Duration                 // maxLease is the longest lease that a worker grants, counted from the command.
	grantedWorkers map[string]map[string]bool    // grantedWorkers maps steps to the IDs of the workers granted for them.
	maxima         map[string][]publishedMaximum // maxima holds the published maxima of workspaces, the oldest first.
	startFaults    map[string]*StartFault        // startFaults holds what happens to workers that start a task of a job.
	lastID         int                           // lastID is the number in the newest worker ID.
	failedEnds     map[string]int                // failedEnds counts the runs of each task that have ended as failed.
	crashesUnder   map[string]int                // crashesUnder counts the workers that have crashed while they ran a task.
}

// StepPlan says how the tasks of a step run.
type StepPlan struct {
	Size         Size
	Takes        time.Duration
	Fail         int // Fail is the number of runs of each task that fail before one succeeds.
	MaxPerWorker int // MaxPerWorker is the most tasks of the step on one worker; 0 means no limit.
	Workspace    string
}

// NewFleet starts n workers that listen on the loopback interface and registers them in the
// store.
func NewFleet(store *Store, pool string, n int, capacity Size, maxLease time.Duration) (*Fleet, error) {
	f := &Fleet{
		store: store, pool: pool, capacity: capacity, maxLease: maxLease, workers: map[string]*Worker{}, plans: map[string]StepPlan{},
		completed: map[string]completedRun{}, confirmed: map[completedRun]bool{}, running: map[string]string{}, grantedWorkers: map[string]map[string]bool{}, startedJobs: map[string]time.Time{}, maxima: map[string][]publishedMaximum{},
		startFaults: map[string]*StartFault{}, lastID: n - 1, failedEnds: map[string]int{}, crashesUnder: map[string]int{},
	}
	for i := range n {
		w := &Worker{fleet: f, id: fmt.Sprintf("i-%04x", i), rack: fmt.Sprintf("r%d", i/8), clockOffset: firstClockOffset, connections: map[net.Conn]bool{}}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		w.address = l.Addr().String()
		w.restart()
		f.workers[w.id] = w
		w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Second, ConnState: w.trackConnection, ConnContext: w.markConnection}
		go func() { _ = w.server.Serve(l) }() // Close ends this goroutine.
		w.register()
	}
	return f, nil
}

// Close stops the workers' servers.
func (f *Fleet) Close() {
	f.mu.Lock()
	workers := slices.Collect(maps.Values(f.workers))
	f.mu.Unlock()
	for _, w := range workers {
		_ = w.server.Close()
	}
}

// SetStepPlan sets the plan of a job's step.
func (f *Fleet) SetStepPlan(job string, step int, p StepPlan) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.plans[job+"."+strconv.Itoa(step)] = p
}

// Violations returns the violations of the platform's rules that were detected so far.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.violations...)
}

// HasStarted reports whether any task of a job was started.
func (f *Fleet) HasStarted(job string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, started := f.startedJobs[job]
	return started
}

// StartedBefore reports whether a task of a job was started before the given time.
func (f *Fleet) StartedBefore(job string, at time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	first, started := f.startedJobs[job]
	return started && first.Before(at)
}

// Starts returns the number of runs started.
func (f *Fleet) Starts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts
}

// Restart simulates a restart of a worker, which loses all its runs and connections and begins a new
// incarnation.
func (f *Fleet) Restart(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	w.loseRuns()
	w.clockOffset = restartedClockOffset
	w.restart()
	w.closeConnections()
}

// Silence cuts a worker off until Reconnect is called: its runs go on, and it neither executes nor answers
// commands. Cuts may overlap; each needs its own call of Reconnect.
func (f *Fleet) Silence(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].cuts++
}

// Reconnect ends a cut. Commands that the worker received during the cut are never executed.
func (f *Fleet) Reconnect(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].cuts--
}

// LoseAnswers makes all answers of a worker get lost until DeliverAnswers is called: it executes the commands that it
// receives. Losses may overlap; each needs its own call of DeliverAnswers.
func (f *Fleet) LoseAnswers(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].answerLosses++
}

// DeliverAnswers ends a loss of answers. Answers that got lost are never delivered.
func (f *Fleet) DeliverAnswers(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].answerLosses--
}

// RunsOn returns the number of runs in progress on a worker.
func (f *Fleet) RunsOn(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].endDueRuns()
	return len(f.workers[id].runs)
}

func (f *Fleet) addViolation(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

// ServeHTTP serves the protocol of the advice service. It withholds some workers from each step.
func (f *Fleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Step    string
		Workers []string
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	granted := [][]string{}
	if f.grantedWorkers[request.Step] == nil {
		f.grantedWorkers[request.Step] = map[string]bool{}
	}
	for i, id := range request.Workers {
		if (i+len(request.Step))%4 != 0 || f.grantedWorkers[request.Step][id] {
			f.grantedWorkers[request.Step][id] = true
			granted = append(granted, []string{id, "t-" + request.Step + "-" + id})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"Granted": granted, "ValidMs": 1500})
}

// completedRun identifies a run that ended as done.
type completedRun struct {
	worker    *Worker
	born      int64
	endNumber int64
}

// completionCounts reports whether the completion of a run is still valid, so that its task must
// not run again. An acknowledged completion is valid forever. One that is not yet acknowledged is
// lost when the worker restarts and, by the platform's rules, becomes void if the worker's lease
// expires after it.
func (f *Fleet) completionCounts(run completedRun) bool {
	run.worker.endDueRuns() // A worker that is cut off may not have noticed that its lease has expired.
	return f.confirmed[run] || run.worker.born == run.born && run.endNumber > run.worker.lapsedUpTo
}

// Worker simulates a worker, whose runs all depend on one lease.
type Worker struct {
	fleet         *Fleet
	server        *http.Server
	id            string
	address       string
	rack          string
	born          int64
	started       time.Time
	clockOffset   time.Duration     // clockOffset is what the clock shows at the start.
	connections   map[net.Conn]bool // connections holds the open connections.
	cuts          int               // cuts is the number of cuts that have not ended.
	answerLosses  int               // answerLosses is the number of losses of answers that have not ended.
	starts        int               // starts is the number of runs started.
	down          bool              // down is set while the worker has crashed and is not back yet.
	highestToken  int64
	leaseUntil    int64
	lastEndNumber int64
	lapsedUpTo    int64 // The lease expired after the runs up to lapsedUpTo had ended.
	runs          map[string]*taskRun
	ended         []endRow
	highestRun    map[string]int
	failedRuns    map[string]int
}

// taskRun is a run in progress.
type taskRun struct {
	run       int
	size      Size
	endAt     time.Time
	how       string
	workspace string
}

// endRow is an ended run that the scheduler has not acknowledged.
type endRow struct {
	number int64
	task   string
	run    int
	how    string
}

// restart drops all state of the worker and begins a new incarnation.
func (w *Worker) restart() {
	w.born = max(time.Now().UnixMilli(), w.born+1)
	w.started = time.Now()
	w.highestToken, w.leaseUntil, w.lastEndNumber, w.lapsedUpTo = 0, 0, 0, 0
	w.runs, w.ended, w.highestRun, w.failedRuns = map[string]*taskRun{}, nil, map[string]int{}, map[string]int{}
	w.register()
}

// register writes the worker's entry to the registry.
func (w *Worker) register() {
	entry, err := json.Marshal(map[string]any{
		"Service": w.fleet.pool, "Address": w.address, "Zone": "z", "Version": "v1", "Slots": 8, "State": "ready", "Sequence": 1,
		"Capacity": w.fleet.capacity, "Labels": []string{"a", w.rack}, "ClockMs": w.clock(), "born": w.born,
	})
	if err != nil {
		panic(err)
	}
	w.fleet.store.Put("keyed.servers", w.id, entry)
}

// Clocks of workers at their start. The first incarnations have run for long.
const (
	firstClockOffset     = time.Hour
	restartedClockOffset = time.Second
)

// clock returns the worker's own clock in ms.
func (w *Worker) clock() int64 { return (w.clockOffset + time.Since(w.started)).Milliseconds() }

// extendLease extends the lease up to a time on the worker's clock, but never beyond the longest lease
// from now.
func (w *Worker) extendLease(until int64) {
	w.leaseUntil = max(w.leaseUntil, min(until, w.clock()+w.fleet.maxLease.Milliseconds()))
}

func (w *Worker) trackConnection(conn net.Conn, state http.ConnState) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	switch state {
	case http.StateNew:
		w.connections[conn] = true
		if w.down {
			_ = conn.Close() // The client notices it.
		}
	case http.StateClosed, http.StateHijacked:
		delete(w.connections, conn)
	}
}

// bornKey is the context key of the incarnation that has accepted a connection.
type bornKey struct{}

func (w *Worker) markConnection(ctx context.Context, _ net.Conn) context.Context {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	return context.WithValue(ctx, bornKey{}, w.born)
}

// end records that the run of a task has ended.
func (w *Worker) end(task, how string) {
	r := w.runs[task]
	delete(w.runs, task)
	if w.fleet.running[task] == w.id {
		delete(w.fleet.running, task)
	}
	w.lastEndNumber++
	w.highestRun[task] = max(w.highestRun[task], r.run)
	w.ended = append(w.ended, endRow{w.lastEndNumber, task, r.run, how})
	switch how {
	case "done":
		w.fleet.completed[task] = completedRun{w, w.born, w.lastEndNumber}
	case "failed":
		w.fleet.failedEnds[task]++
	}
}

// endDueRuns ends the runs that are complete, or all runs if the lease has expired. A run that was
// complete before that keeps its outcome, however late this is called. The caller must hold the
// fleet's lock.
func (w *Worker) endDueRuns() {
	now := w.clock()
	expired := now > w.leaseUntil
	for task, r := range w.runs {
		if endAt := (w.clockOffset + r.endAt.Sub(w.started)).Milliseconds(); endAt < now && (!expired || endAt <= w.leaseUntil) {
			w.end(task, r.how)
		}
	}
	if !expired {
		return
	}
	w.lapsedUpTo = w.lastEndNumber
	for task := range w.runs {
		w.end(task, "lapsed")
	}
}

// command is the body of any request to a worker.
type command struct {
	Task         string
	Run          int
	Spec         string
	DeadlineMs   int64
	FencingToken int64
	AckCursor    int64
	WaitMs       int64
	Ticket       string
}

// ServeHTTP serves the protocol of a worker.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	var cmd command
	if err := json.NewDecoder(r.Body).Decode(&cmd); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if w.cuts > 0 || w.down || r.Context().Value(bornKey{}) != any(w.born) {
		w.hang(r) // A command that the former incarnation has received ends with it.
		return
	}
	starts := w.starts
	status, body := w.execute(r, &cmd)
	lost := w.cuts > 0 || w.answerLosses > 0
	if fault := w.fleet.startFaults[jobOf(cmd.Task)]; fault != nil && w.starts > starts {
		lost = lost || !fault.Answered
		w.suffer(fault)
	}
	if lost {
		w.hang(r)
		return
	}
	writeJSON(out, status, body)
}

// execute executes a command and returns the answer.
func (w *Worker) execute(r *http.Request, cmd *command) (status int, body map[string]any) {
	w.endDueRuns()
	if cmd.FencingToken < w.highestToken {
		return w.refuse("fence")
	}
	w.highestToken = cmd.FencingToken
	switch r.URL.Path {
	case "/run-start":
		return w.start(cmd)
	case "/run-stop":
		w.highestRun[cmd.Task] = max(w.highestRun[cmd.Task], cmd.Run)
		if run := w.runs[cmd.Task]; run != nil && run.run == cmd.Run {
			w.end(cmd.Task, "stopped")
		}
		return w.accept()
	case "/hold":
		return w.hold(r, cmd)
	default:
		return http.StatusNotFound, nil
	}
}

func (w *Worker) accept() (status int, body map[string]any) {
	return http.StatusOK, map[string]any{"ClockMs": w.clock()}
}

func (w *Worker) refuse(reason string) (status int, body map[string]any) {
	return http.StatusConflict, map[string]any{"ClockMs": w.clock(), "Reason": reason}
}

// jobOf returns the job of a task, whose name begins with it.
func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}

// hang waits until the client gives up a request. The caller must hold the fleet's lock.
func (w *Worker) hang(r *http.Request) {
	w.fleet.mu.Unlock()
	<-r.Context().Done()
	w.fleet.mu.Lock()
}

// start serves POST /run-start and records violations of the platform's rules.
func (w *Worker) start(cmd *command) (status int, body map[string]any) {
	f := w.fleet
	if r := w.runs[cmd.Task]; r != nil && r.run == cmd.Run {
		return w.accept()
	}
	nameParts := strings.Split(cmd.Task, ".")
	step := nameParts[0] + "." + nameParts[1] + "." + nameParts[2]
	switch {
	case cmd.Run <= w.highestRun[cmd.Task]:
		return w.refuse("old")
	case w.clock() > cmd.DeadlineMs:
		return w.refuse("late")
	case f.grantedWorkers[step] != nil && cmd.Ticket != "t-"+step+"-"+w.id:
		return w.refuse("ticket")
	}
	if otherWorker, running := f.running[cmd.Task]; running {
		f.workers[otherWorker].endDueRuns()
	}
	if otherWorker, running := f.running[cmd.Task]; running {
		f.addViolation("task %s was started on worker %s while running on worker %s", cmd.Task, w.id, otherWorker)
	}
	if completion, done := f.completed[cmd.Task]; done && f.completionCounts(completion) {
		f.addViolation("task %s was started after it had completed", cmd.Task)
	}
	plan := f.planOf(nameParts[0], nameParts[2], cmd.Spec)
	how := "done"
	if w.fleet.failedRunsOf(cmd.Task) < plan.Fail {
		how = "failed"
		w.failedRuns[cmd.Task]++
	}
	w.extendLease(cmd.DeadlineMs)
	started := &taskRun{run: cmd.Run, size: plan.Size, endAt: time.Now().Add(plan.Takes), how: how, workspace: plan.Workspace}
	w.runs[cmd.Task] = started
	f.checkMaximum(cmd.Task, started)
	f.running[cmd.Task] = w.id
	f.starts++
	w.starts++
	if _, started := f.startedJobs[nameParts[0]]; !started {
		f.startedJobs[nameParts[0]] = time.Now()
	}
	used, tasksOfStep := Size{}, 0
	for task, r := range w.runs {
		used = used.add(r.size)
		if strings.HasPrefix(task, step+".") {
			tasksOfStep++
		}
	}
	if !used.fitsIn(f.capacity) {
		f.addViolation("worker %s is overcommitted: its runs need %+v, its capacity is %+v", w.id, used, f.capacity)
	}
	if plan.MaxPerWorker > 0 && tasksOfStep > plan.MaxPerWorker {
		f.addViolation("worker %s has %d tasks of step %s, which allows %d on one worker", w.id, tasksOfStep, step, plan.MaxPerWorker)
	}
	return w.accept()
}

// SpecStep is an element of a job's Spec, which is a JSON array with one element per step. It
// sets the run time and size of the step's tasks for workers in another process than the
// caller's.
type SpecStep struct {
	MS         int64
	Cpu, MemMb int64
	Workspace  string `json:",omitempty"`
}

// Body returns the step as part of a job submission.
func (s SpecStep) Body(count int, gang bool, after []int) map[string]any {
	return map[string]any{"Count": count, "Cpu": s.Cpu, "MemMb": s.MemMb, "EstimateMs": s.MS, "Gang": gang, "StartAfter": after}
}

// planOf returns the plan of a step that the test has set, or else the one in the job's Spec.
// The caller must hold the lock.
func (f *Fleet) planOf(job, step, spec string) StepPlan {
	if p, known := f.plans[job+"."+step]; known {
		return p
	}
	var steps []SpecStep
	if n, err := strconv.Atoi(step); err == nil && json.Unmarshal([]byte(spec), &steps) == nil && n < len(steps) {
		s := steps[n]
		return StepPlan{Size: Size{Cpu: s.Cpu, MemMb: s.MemMb}, Takes: time.Duration(s.MS) * time.Millisecond, Workspace: s.Workspace}
	}
	return StepPlan{}
}

// failedRunsOf returns the number of failed runs of a task on all workers. The caller must hold
// the lock.
func (f *Fleet) failedRunsOf(task string) int {
	n := 0
	for _, w := range f.workers {
		n += w.failedRuns[task]
	}
	return n
}

// hold serves POST /hold. It renews the lease and drops acknowledged ended runs. If none remain, it
// waits for one up to the requested time.
func (w *Worker) hold(r *http.Request, cmd *command) (status int, body map[string]any) {
	w.extendLease(cmd.DeadlineMs)
	unconfirmed := w.ended[:0:0]
	for _, e := range w.ended {
		switch {
		case e.number > cmd.AckCursor:
			unconfirmed = append(unconfirmed, e)
		case e.how == "done" && e.number > w.lapsedUpTo:
			w.fleet.confirmed[completedRun{w, w.born, e.number}] = true
		}
	}
	w.ended = unconfirmed
	until := time.Now().Add(time.Duration(cmd.WaitMs) * time.Millisecond)
	for len(w.ended) == 0 && time.Now().Before(until) && r.Context().Err() == nil {
		w.fleet.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		w.fleet.mu.Lock()
		w.endDueRuns()
	}
	running, finished := [][]any{}, [][]any{}
	for task, run := range w.runs {
		running = append(running, []any{task, run.run, "", 50, 100})
	}
	for _, e := range w.ended {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	return http.StatusOK, map[string]any{"ClockMs": w.clock(), "born": w.born, "Running": running, "Finished": finished}
}
