package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Limits of the platform, as in the site file.
const (
	maxHoldMS     = 10000
	gangTimeout   = 3 * time.Second
	maxListedEnds = 500 // ends that one answer to /hold lists
)

// Worker is one machine that runs tasks. All its state belongs to one life and is guarded by the
// cell's lock.
type Worker struct {
	cell      *Cell
	id        string
	pool      string
	address   string
	capacity  Size
	labels    []string
	server    *http.Server
	up        bool
	dark      bool      // answers nothing, for good
	grey      bool      // fails what it runs
	drainedAt time.Time // when the store took the report that the worker drains; zero before

	born    int64
	started time.Time
	token   int64
	lease   int64 // end of the lease on the worker's clock, ms
	lastEnd int64
	runs    map[string]*Run // by task
	ends    []*ended
	highest map[string]int // by task: highest run that was stopped or has ended here
	changed chan struct{}  // closed and replaced when a run ends
}

// Run is a run on a worker.
type Run struct {
	task     Task
	run      int
	worker   *Worker
	token    int64
	at       time.Time // of the start
	workEnds time.Time // zero while a gang waits for its members
	stopAt   time.Time // set by a stop
	saved    string    // newest checkpoint
	savedAt  time.Time
}

// ended is an end that was not acknowledged.
type ended struct {
	n    int64
	run  *Run
	how  string
	at   time.Time
	void bool // the lease lapsed after the end
}

func (c *Cell) addWorker(id, pool string, capacity Size, labels ...string) *Worker {
	w := &Worker{cell: c, id: id, pool: pool, capacity: capacity, labels: labels}
	c.workers[id] = w
	w.begin()
	return w
}

// begin starts a life of the worker. It knows nothing of earlier ones.
func (w *Worker) begin() {
	address := w.address
	if address == "" {
		address = freeAddress()
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		fatal("worker %s: %v", w.id, err)
	}
	w.address = listener.Addr().String()
	w.born, w.started = time.Now().UnixMilli(), time.Now()
	w.token, w.lease, w.lastEnd = 0, 0, 0
	w.runs, w.ends, w.highest, w.changed = map[string]*Run{}, nil, map[string]int{}, make(chan struct{})
	w.up = true
	server := &http.Server{Handler: w, ReadHeaderTimeout: 5 * time.Second}
	w.server = server
	go func() { _ = server.Serve(listener) }() // ends when the server is closed
	w.register("ready", 0)
}

// crash ends the life at once: connections are reset and everything that ran is gone.
func (w *Worker) crash() {
	c := w.cell
	c.mu.Lock()
	w.up = false
	for _, r := range w.runs {
		c.gone(r, "crash")
	}
	w.runs = map[string]*Run{}
	server := w.server
	c.mu.Unlock()
	_ = server.Close()
	c.rec.line("worker %s crashes", w.id)
}

// goDark lets the worker vanish without a word: what ran on it is gone, calls to it get no answer, and
// its entry is removed after three check-in intervals.
func (w *Worker) goDark() {
	c := w.cell
	c.mu.Lock()
	defer c.mu.Unlock()
	w.dark, w.up = true, false
	for _, r := range w.runs {
		c.gone(r, "crash")
	}
	w.runs = map[string]*Run{}
	c.rec.line("worker %s goes dark", w.id)
	time.AfterFunc(4500*time.Millisecond, func() {
		c.store.put("keyed.servers", w.id, nil)
		c.rec.line("the entry of worker %s is removed", w.id)
	})
}

// restart begins the next life of a worker that has crashed.
func (w *Worker) restart() {
	w.cell.mu.Lock()
	defer w.cell.mu.Unlock()
	w.begin()
	w.cell.rec.line("worker %s starts again", w.id)
}

func (w *Worker) register(state string, remainingMS int64) {
	entry := map[string]any{
		"Service": w.pool, "Address": w.address, "Zone": "kushiro", "Version": "v1", "Slots": 8, "State": state, "Sequence": 1, "ColdRemainingMs": 0,
		"Capacity": w.capacity, "Labels": w.labels, "ClockMs": w.clock(), "born": w.born,
	}
	if remainingMS > 0 {
		entry["RemainingMs"] = remainingMS
	}
	data, _ := json.Marshal(entry)
	w.cell.store.put("keyed.servers", w.id, data)
}

// leave drains the worker and takes it away after the time.
func (w *Worker) leave(after time.Duration) {
	c := w.cell
	c.mu.Lock()
	w.register("draining", after.Milliseconds())
	w.drainedAt = time.Now()
	c.rec.line("worker %s drains, leaves in %v", w.id, after)
	c.mu.Unlock()
	time.Sleep(after + 200*time.Millisecond)
	w.crash()
	c.mu.Lock()
	c.store.put("keyed.servers", w.id, nil)
	delete(c.workers, w.id)
	c.mu.Unlock()
}

// clock returns the worker's clock, ms.
func (w *Worker) clock() int64 { return time.Since(w.started).Milliseconds() + 1000 }

// end ends a run. The caller holds the lock.
func (w *Worker) end(r *Run, how string) {
	delete(w.runs, r.task.name)
	w.lastEnd++
	w.highest[r.task.name] = max(w.highest[r.task.name], r.run)
	w.ends = append(w.ends, &ended{n: w.lastEnd, run: r, how: how, at: time.Now()})
	close(w.changed)
	w.changed = make(chan struct{})
	w.cell.gone(r, how)
}

// advance ends what is due. The caller holds the lock.
func (w *Worker) advance() {
	now := time.Now()
	if w.clock() > w.lease {
		for _, e := range w.ends {
			e.void = true
		}
		for _, r := range w.runs {
			w.end(r, "lapsed")
		}
		return
	}
	for _, r := range w.runs {
		if w.runs[r.task.name] != r {
			continue // ended together with another member of its gang
		}
		if r.task.step.Checkpointing && !r.workEnds.IsZero() && now.Sub(r.savedAt) > 300*time.Millisecond {
			w.cell.save(r)
		}
		switch {
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			if r.task.step.Checkpointing && !r.workEnds.IsZero() {
				w.cell.save(r)
			}
			w.end(r, "stopped")
		case !r.workEnds.IsZero() && now.After(r.workEnds):
			how := "done"
			if w.cell.fails(r) {
				how = "failed"
			}
			if how == "done" && r.task.step.Gang {
				w.cell.endGang(r, "done")
			} else {
				w.end(r, how)
			}
		case r.workEnds.IsZero() && now.Sub(r.at) > gangTimeout:
			w.end(r, "alone")
		}
	}
}

type command struct {
	Task         string
	Run          int
	Spec         string
	DeadlineMs   int64
	FencingToken int64
	Ticket       string
	Checkpoint   string
	AckCursor    int64
	WaitMs       int64
}

func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	var cmd command
	if json.NewDecoder(r.Body).Decode(&cmd) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	c := w.cell
	c.mu.Lock()
	defer c.mu.Unlock()
	if w.dark {
		c.mu.Unlock()
		<-r.Context().Done()
		c.mu.Lock()
		return
	}
	if !w.up || r.Header.Get("X-Target-Instance") != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if c.intercept != nil {
		if act := c.intercept(w, r.URL.Path); act != "" {
			w.unanswered(r.URL.Path, &cmd, act)
		}
	}
	w.advance()
	answer := func(status int, reason string) {
		body := map[string]any{"ClockMs": w.clock()}
		if reason != "" {
			body["Reason"] = reason
		}
		writeJSON(out, status, body)
		if r.URL.Path != "/hold" && !c.quiet[strings.Split(cmd.Task, ".")[0]] {
			c.rec.line("worker %s %s %s run %d token %d ticket %q -> %d %s", w.id, r.URL.Path, cmd.Task, cmd.Run, cmd.FencingToken, cmd.Ticket, status, reason)
		}
	}
	if cmd.FencingToken < w.token {
		answer(http.StatusConflict, "fence")
		return
	}
	w.token = cmd.FencingToken
	switch r.URL.Path {
	case "/run-start":
		w.start(&cmd, answer)
	case "/run-stop":
		w.stop(&cmd, answer)
	case "/pace":
		answer(http.StatusOK, "")
	case "/hold":
		w.hold(out, r, &cmd)
	default:
		out.WriteHeader(http.StatusNotFound)
	}
}

// unanswered leaves a command without an answer: "lost" carries it out at once, "drop" never, and
// "late" 2 to 12 s later, if the worker's life still lasts. The caller holds the lock.
func (w *Worker) unanswered(path string, cmd *command, act string) {
	c, born := w.cell, w.born
	c.rec.line("worker %s %s %s run %d gets no answer (%s)", w.id, path, cmd.Task, cmd.Run, act)
	carryOut := func() {
		if !w.up || w.born != born {
			return
		}
		w.advance()
		if cmd.FencingToken < w.token {
			return
		}
		w.token = cmd.FencingToken
		nobody := func(status int, reason string) {
			c.rec.line("worker %s %s %s run %d carried out unanswered: %d %s", w.id, path, cmd.Task, cmd.Run, status, reason)
		}
		switch path {
		case "/run-start":
			w.start(cmd, nobody)
		case "/run-stop":
			w.stop(cmd, nobody)
		}
	}
	switch act {
	case "lost":
		carryOut()
	case "late":
		time.AfterFunc(time.Duration(2000+c.rng.IntN(10000))*time.Millisecond, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			carryOut()
		})
	}
	panic(http.ErrAbortHandler) // resets the channel; the deferred unlock runs
}

func (w *Worker) extend(deadline int64) {
	w.lease = max(w.lease, min(deadline, w.clock()+maxHoldMS))
}

func (w *Worker) start(cmd *command, answer func(int, string)) {
	c := w.cell
	if r := w.runs[cmd.Task]; r != nil && r.run == cmd.Run {
		w.extend(cmd.DeadlineMs)
		answer(http.StatusOK, "")
		return
	}
	task, known := c.parse(cmd.Task)
	switch {
	case !known:
		c.broken("UNASKED", "start of %s, which nobody sent", cmd.Task)
		answer(http.StatusBadRequest, "")
		return
	case cmd.Run <= w.highest[cmd.Task]:
		w.extend(cmd.DeadlineMs)
		answer(http.StatusConflict, "old")
		return
	case cmd.DeadlineMs <= w.clock():
		answer(http.StatusConflict, "late")
		return
	case task.job.queue.Advice != nil && !c.ticketValid(task, w, cmd.Ticket):
		answer(http.StatusConflict, "ticket")
		return
	}
	w.extend(cmd.DeadlineMs)
	r := &Run{task: task, run: cmd.Run, worker: w, token: cmd.FencingToken, at: time.Now()}
	w.runs[cmd.Task] = r
	c.begun(r, cmd)
	answer(http.StatusOK, "")
	if c.onStart != nil {
		go c.onStart(r)
	}
}

func (w *Worker) stop(cmd *command, answer func(int, string)) {
	w.highest[cmd.Task] = max(w.highest[cmd.Task], cmd.Run)
	if run := w.runs[cmd.Task]; run != nil && run.run == cmd.Run && run.stopAt.IsZero() {
		run.stopAt = time.Now().Add(100 * time.Millisecond)
	}
	answer(http.StatusOK, "")
}

func (w *Worker) hold(out http.ResponseWriter, r *http.Request, cmd *command) {
	c := w.cell
	if cmd.DeadlineMs > 0 {
		w.extend(cmd.DeadlineMs)
	}
	rest := w.ends[:0:0]
	for _, e := range w.ends {
		if e.n > cmd.AckCursor {
			rest = append(rest, e)
			continue
		}
		c.noted(e)
	}
	w.ends = rest
	until := time.After(time.Duration(cmd.WaitMs) * time.Millisecond)
	born := w.born
	for waiting := cmd.WaitMs > 0; waiting && len(w.ends) == 0; {
		changed := w.changed
		c.mu.Unlock()
		select {
		case <-changed:
		case <-until:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		c.mu.Lock()
		if !w.up || w.born != born {
			panic(http.ErrAbortHandler) // the life that was asked has ended
		}
	}
	running, finished := [][]any{}, [][]any{}
	for _, run := range w.runs {
		percent := 0
		if !run.workEnds.IsZero() {
			percent = int(100 * time.Since(run.at) / max(run.workEnds.Sub(run.at), 1))
		}
		if run.task.step.LongRunning && time.Since(run.at) > 300*time.Millisecond {
			percent = 100
		}
		figure := run.task.step.Cpu
		if run.task.step.TargetMs > 0 {
			figure = run.task.step.TargetMs / 5 // the tail of its response times, ms
		}
		running = append(running, []any{run.task.name, run.run, run.saved, min(100, percent), figure})
	}
	for _, e := range w.ends[:min(len(w.ends), maxListedEnds)] {
		finished = append(finished, []any{e.n, e.run.task.name, e.run.run, e.how, e.run.saved})
	}
	writeJSON(out, http.StatusOK, map[string]any{"ClockMs": w.clock(), "born": w.born, "Running": running, "Finished": finished})
	if c.logHolds {
		c.rec.line("worker %s /hold token %d cursor %d wait %d -> %d running, %d ends listed of %d", w.id, cmd.FencingToken, cmd.AckCursor, cmd.WaitMs, len(running), len(finished), len(w.ends))
	}
}

// parse finds the task of a name ID.K.STEP.INDEX.
func (c *Cell) parse(name string) (Task, bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return Task{}, false
	}
	job := c.jobs[parts[0]]
	k, _ := strconv.Atoi(parts[1])
	s, _ := strconv.Atoi(parts[2])
	i, _ := strconv.Atoi(parts[3])
	if job == nil || s < 0 || s >= len(job.Steps) || i < 0 || i >= job.Steps[s].Count || k < 0 || k >= max(1, job.Repetitions) {
		return Task{}, false
	}
	return Task{name: name, job: job, occurrence: k, index: i, stepNo: s, step: &job.Steps[s], stepName: fmt.Sprintf("%s.%d.%d", parts[0], k, s)}, true
}
