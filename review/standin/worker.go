package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of the workers, as the page of the site grenaille-sched gives them.
const (
	heartbeatInterval = 1500 * time.Millisecond
	maxHoldMS         = 6000
	stopTime          = 100 * time.Millisecond // below StopTimeoutMs, which is 200
	maxLongPollMS     = 2000
	checkpointEvery   = 500 * time.Millisecond // CheckpointS
	drainTime         = 3 * time.Second        // DrainMs
	workerTick        = 10 * time.Millisecond
	lastingStartup    = 200 * time.Millisecond // after which a task that lasts is at work
	maxReportedEnds   = 500
	firstClockMS      = 1000 // value of a worker's own clock at its start
)

// size is an amount of resources.
type size struct{ Cpu, MemMb, Gpu int64 }

func (s size) add(o size) size { return size{s.Cpu + o.Cpu, s.MemMb + o.MemMb, s.Gpu + o.Gpu} }

func (s size) fits(room size) bool {
	return s.Cpu <= room.Cpu && s.MemMb <= room.MemMb && s.Gpu <= room.Gpu
}

// taskPlan is what a task does, as the requester's Spec says (an entry for each step).
type taskPlan struct {
	MS          int64 // run time; 0: it lasts until it is stopped
	Size        size
	Fills       bool // the task's Cpu is not counted against the capacity
	Checkpoints bool
	TailMS      int64 // what a serving task reports as its tail
	Label       string
	Advised     bool // the queue has Advice, so a start needs a ticket
}

// workerLife is one lifetime of a worker (PROTOCOL.md, "Running tasks").
type workerLife struct {
	fleet   *fleet
	id      string
	address string
	service string
	labels  []string
	room    size
	born    int64
	started time.Time
	server  *http.Server
	cancel  context.CancelFunc

	mu        sync.Mutex
	token     int64
	leaseEnd  int64 // ms of the worker's clock
	running   map[string]*workerRun
	ended     []endRow
	lastEnd   int64
	highest   map[string]int // by task: highest run that was stopped or has ended here
	lastLapse int64          // number of the last end before the lease lapsed
	changed   chan struct{}
	gone      bool
	sequence  int64
	leavesAt  time.Time // when a draining worker has served for DrainMs; zero while it does not drain
}

type workerRun struct {
	task       string
	run        int
	plan       taskPlan
	startedAt  time.Time
	saved      string
	savedAt    time.Time
	percent    int // pace
	failAt     time.Time
	stopAt     time.Time // when the stop that was ordered is complete
	checkpoint string
}

type endRow struct {
	number int64
	task   string
	run    int
	how    string
	saved  string
}

// fleet is the set of all workers and the advice service, with the record of what ran.
type fleet struct {
	store *store
	rec   *recorder

	mu      sync.Mutex
	workers map[string]*workerLife // the present lifetime of each worker
	active  map[string]string      // by task: where a run is active
	starts  map[string]int         // by task
	lastRun map[string]time.Time   // by task: last moment at which a run was active
	done    map[string]doneEnd     // by task
	tickets map[string]bool        // STEP/WORKER/BORN
	broken  []string               // rules that were seen broken
	// failTask decides whether a run that starts now fails, and after which time.
	failTask func(task string, run int, worker string) (after time.Duration, fails bool)
}

// doneEnd is an end `done` of a task.
type doneEnd struct {
	life   *workerLife
	number int64
	noted  bool // AckCursor has reached it while the lease held
}

func newFleet(st *store, rec *recorder) *fleet {
	return &fleet{
		store: st, rec: rec, workers: map[string]*workerLife{}, active: map[string]string{}, starts: map[string]int{}, lastRun: map[string]time.Time{},
		done: map[string]doneEnd{}, tickets: map[string]bool{},
		failTask: func(string, int, string) (time.Duration, bool) { return 0, false },
	}
}

func (f *fleet) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	f.broken = append(f.broken, text)
	f.rec.line("RULE BROKEN: %s", text)
}

func (f *fleet) brokenRules() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.broken)
}

// startWorker starts a lifetime of a worker on a free port, or on the address given.
func (f *fleet) startWorker(id, address, service string, room size, labels ...string) (*workerLife, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &workerLife{
		fleet: f, id: id, address: listener.Addr().String(), service: service, labels: labels, room: room,
		born: time.Now().UnixMilli(), started: time.Now(), cancel: cancel,
		running: map[string]*workerRun{}, highest: map[string]int{}, changed: make(chan struct{}),
	}
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: 5 * time.Second}
	f.mu.Lock()
	f.workers[id] = w
	f.mu.Unlock()
	go func() { _ = w.server.Serve(listener) }()
	f.rec.line("worker %s starts: address %s, service %s, labels %v, room %+v, born %d", id, w.address, service, labels, room, w.born)
	w.register()
	go w.beat(ctx)
	go w.tick(ctx)
	return w, nil
}

// drain reports that the worker is leaving. It serves for drainTime longer.
func (w *workerLife) drain() {
	w.fleet.rec.line("worker %s drains", w.id)
	w.mu.Lock()
	w.leavesAt = time.Now().Add(drainTime)
	w.mu.Unlock()
	w.register()
}

// crash ends a lifetime at once. Everything that runs here terminates. Its entry expires after
// three intervals of silence.
func (w *workerLife) crash() {
	w.cancel()
	w.mu.Lock()
	w.gone = true
	lost := make([]string, 0, len(w.running))
	for task := range w.running {
		lost = append(lost, task)
	}
	w.running = map[string]*workerRun{}
	w.mu.Unlock()
	_ = w.server.Close()
	f := w.fleet
	f.mu.Lock()
	for _, task := range lost {
		if f.active[task] == w.place() {
			delete(f.active, task)
			f.lastRun[task] = time.Now()
		}
	}
	f.mu.Unlock()
	f.rec.line("worker %s crashes; lost with it: %v", w.id, lost)
	time.AfterFunc(3*heartbeatInterval, func() {
		f.mu.Lock()
		present := f.workers[w.id] == w
		f.mu.Unlock()
		if present {
			f.store.put("keyed.servers", w.id, nil)
		}
	})
}

func (w *workerLife) place() string { return w.id + "/" + strconv.FormatInt(w.born, 10) }

func (w *workerLife) clock() int64 { return firstClockMS + time.Since(w.started).Milliseconds() }

func (w *workerLife) register() {
	w.mu.Lock()
	w.sequence++
	entry := map[string]any{
		"Service": w.service, "Address": w.address, "Zone": "zone-a", "Version": "v1", "Slots": 8, "State": "ready",
		"ColdRemainingMs": 0, "Sequence": w.sequence, "Capacity": w.room, "Labels": w.labels, "ClockMs": w.clock(), "born": w.born,
	}
	if !w.leavesAt.IsZero() {
		entry["State"], entry["RemainingMs"] = "draining", max(0, time.Until(w.leavesAt).Milliseconds())
	}
	w.mu.Unlock()
	data, err := json.Marshal(entry)
	if err == nil {
		w.fleet.store.put("keyed.servers", w.id, data)
	}
}

func (w *workerLife) beat(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeatInterval):
			w.register()
		}
	}
}

func (w *workerLife) tick(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(workerTick)
		w.mu.Lock()
		w.advance(time.Now())
		w.mu.Unlock()
	}
}

// advance ends what is due. The caller holds the worker's lock.
func (w *workerLife) advance(now time.Time) {
	lapsed := w.clock() > w.leaseEnd
	if lapsed {
		w.lastLapse = w.lastEnd
	}
	for task, r := range w.running {
		if r.plan.Checkpoints && now.Sub(r.savedAt) >= checkpointEvery {
			r.saved, r.savedAt = newCheckpoint(), now
		}
		switch {
		case lapsed:
			w.end(task, "lapsed", r.saved)
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			w.end(task, "stopped", r.saved)
		case !r.failAt.IsZero() && now.After(r.failAt):
			w.end(task, "failed", r.saved)
		case r.plan.MS > 0 && now.Sub(r.startedAt) >= time.Duration(r.plan.MS)*time.Millisecond:
			w.end(task, "done", "")
		}
	}
}

func newCheckpoint() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// end records that a run has ended. The caller holds the worker's lock.
func (w *workerLife) end(task, how, saved string) {
	r := w.running[task]
	delete(w.running, task)
	w.lastEnd++
	w.highest[task] = max(w.highest[task], r.run)
	w.ended = append(w.ended, endRow{w.lastEnd, task, r.run, how, saved})
	close(w.changed)
	w.changed = make(chan struct{})
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.active[task] == w.place() {
		delete(f.active, task)
		f.lastRun[task] = time.Now()
	}
	if how == "done" {
		f.done[task] = doneEnd{life: w, number: w.lastEnd}
	}
	f.rec.line("worker %s: run %d of %s ended %s (end %d)", w.id, r.run, task, how, w.lastEnd)
}

// order is the body of any call to a worker.
type order struct {
	Task         string
	Run          int
	Spec         string
	DeadlineMs   int64
	FencingToken int64
	Checkpoint   string
	Ticket       string
	AckCursor    int64
	WaitMs       int64
	Percent      int
}

func (w *workerLife) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	if id := r.Header.Get("X-Target-Instance"); id != "" && id != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone {
		panic(http.ErrAbortHandler)
	}
	w.advance(time.Now())
	if o.FencingToken < w.token {
		w.refuse(out, "fence")
		return
	}
	w.token = o.FencingToken
	switch r.URL.Path {
	case "/run-start":
		w.start(out, &o)
	case "/run-stop":
		w.highest[o.Task] = max(w.highest[o.Task], o.Run)
		if run := w.running[o.Task]; run != nil && run.run == o.Run && run.stopAt.IsZero() {
			run.stopAt = time.Now().Add(stopTime)
			w.fleet.rec.line("worker %s: told to stop run %d of %s", w.id, o.Run, o.Task)
		}
		writeJSON(out, http.StatusOK, map[string]any{"ClockMs": w.clock()})
	case "/pace":
		if run := w.running[o.Task]; run != nil && run.run == o.Run {
			run.percent = o.Percent
		}
		writeJSON(out, http.StatusOK, map[string]any{"ClockMs": w.clock()})
	case "/hold":
		w.hold(out, r, &o)
	default:
		out.WriteHeader(http.StatusNotFound)
	}
}

func (w *workerLife) refuse(out http.ResponseWriter, reason string) {
	writeJSON(out, http.StatusConflict, map[string]any{"ClockMs": w.clock(), "Reason": reason})
}

// renew extends the lease, which never shortens and is at most maxHoldMS long.
func (w *workerLife) renew(deadline int64) {
	w.leaseEnd = max(w.leaseEnd, min(deadline, w.clock()+maxHoldMS))
}

func (w *workerLife) start(out http.ResponseWriter, o *order) {
	if run := w.running[o.Task]; run != nil && run.run == o.Run {
		w.renew(o.DeadlineMs)
		writeJSON(out, http.StatusOK, map[string]any{"ClockMs": w.clock()})
		return
	}
	plan, known := planOf(o.Task, o.Spec)
	switch {
	case !known:
		out.WriteHeader(http.StatusBadRequest)
		return
	case w.running[o.Task] != nil || o.Run <= w.highest[o.Task]:
		w.renew(o.DeadlineMs)
		w.refuse(out, "old")
		return
	case o.DeadlineMs <= w.clock():
		w.refuse(out, "late")
		return
	case plan.Advised && !w.fleet.ticketValid(o.Task, w, o.Ticket):
		w.fleet.rec.line("worker %s: run %d of %s refused, reason ticket (sent %q)", w.id, o.Run, o.Task, o.Ticket)
		w.refuse(out, "ticket")
		return
	}
	w.renew(o.DeadlineMs)
	now := time.Now()
	run := &workerRun{task: o.Task, run: o.Run, plan: plan, startedAt: now, saved: o.Checkpoint, savedAt: now, percent: 100, checkpoint: o.Checkpoint}
	if after, fails := w.fleet.failTask(o.Task, o.Run, w.id); fails {
		run.failAt = now.Add(after)
	}
	w.running[o.Task] = run
	w.fleet.started(w, run)
	used := size{}
	for _, r := range w.running {
		counted := r.plan.Size
		if r.plan.Fills {
			counted.Cpu = 0
		}
		used = used.add(counted)
	}
	if !used.fits(w.room) {
		w.fleet.mu.Lock()
		w.fleet.breaks("LIMIT: worker %s has %+v in use, its capacity is %+v", w.id, used, w.room)
		w.fleet.mu.Unlock()
	}
	writeJSON(out, http.StatusOK, map[string]any{"ClockMs": w.clock()})
}

// started records a start and checks the rules that it may break. The caller holds the worker's lock.
func (f *fleet) started(w *workerLife, run *workerRun) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts[run.task]++
	f.rec.line("worker %s: run %d of %s starts, checkpoint %q, token %d", w.id, run.run, run.task, run.checkpoint, w.token)
	if other, runs := f.active[run.task]; runs {
		f.breaks("TWICE: run %d of %s starts on %s while a run of it is active on %s", run.run, run.task, w.place(), other)
	}
	if end, ended := f.done[run.task]; ended && end.noted {
		f.breaks("TWICE: run %d of %s starts on %s after a run of it has ended done on %s (end %d), which was taken note of", run.run, run.task, w.place(), end.life.place(), end.number)
	}
	if run.plan.Label != "" && !slices.Contains(w.labels, run.plan.Label) {
		f.breaks("ROUTE: run %d of %s starts on %s, whose labels are %v; it needs %s", run.run, run.task, w.place(), w.labels, run.plan.Label)
	}
	f.active[run.task] = w.place()
	f.lastRun[run.task] = time.Now()
}

func (w *workerLife) hold(out http.ResponseWriter, r *http.Request, o *order) {
	w.renew(o.DeadlineMs)
	w.acknowledge(o.AckCursor)
	until := time.NewTimer(time.Duration(min(o.WaitMs, maxLongPollMS)) * time.Millisecond)
	defer until.Stop()
	for waiting := true; waiting && len(w.ended) == 0 && !w.gone; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-until.C:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		w.mu.Lock()
	}
	if w.gone {
		panic(http.ErrAbortHandler)
	}
	running, finished := [][]any{}, [][]any{}
	for task, run := range w.running {
		running = append(running, []any{task, run.run, run.saved, run.progress(), run.load()})
	}
	for _, e := range w.ended[:min(len(w.ended), maxReportedEnds)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, e.saved})
	}
	writeJSON(out, http.StatusOK, map[string]any{"ClockMs": w.clock(), "born": w.born, "Running": running, "Finished": finished})
}

// acknowledge forgets the ends up to the cursor. An end `done` counts as taken note of unless the
// lease lapsed between the two.
func (w *workerLife) acknowledge(cursor int64) {
	kept := w.ended[:0:0]
	for _, e := range w.ended {
		if e.number > cursor {
			kept = append(kept, e)
			continue
		}
		f := w.fleet
		f.mu.Lock()
		if end, known := f.done[e.task]; known && end.life == w && end.number == e.number && e.number > w.lastLapse {
			end.noted = true
			f.done[e.task] = end
		}
		f.mu.Unlock()
	}
	w.ended = kept
}

func (r *workerRun) progress() int {
	elapsed := time.Since(r.startedAt)
	if r.plan.MS == 0 {
		return min(100, int(100*elapsed/lastingStartup))
	}
	return min(99, int(100*elapsed.Milliseconds()/r.plan.MS))
}

func (r *workerRun) load() int64 {
	if r.plan.TailMS > 0 {
		return r.plan.TailMS
	}
	return r.plan.Size.Cpu * int64(r.percent) / 100
}

// planOf returns what a task does, from its name ID.K.STEP.INDEX and the Spec of its job.
func planOf(task, spec string) (taskPlan, bool) {
	parts := strings.Split(task, ".")
	var plans []taskPlan
	if len(parts) != 4 || json.Unmarshal([]byte(spec), &plans) != nil {
		return taskPlan{}, false
	}
	step, err := strconv.Atoi(parts[2])
	if err != nil || step < 0 || step >= len(plans) {
		return taskPlan{}, false
	}
	return plans[step], true
}

func stepOf(task string) string { return task[:strings.LastIndexByte(task, '.')] }

func (f *fleet) ticketValid(task string, w *workerLife, ticket string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tickets[ticket] && ticket == stepOf(task)+"/"+w.place()
}

// adviser serves the advice service, which grants every worker that is up. It answers after the
// times that the queue's Advice names.
func (f *fleet) adviser(out http.ResponseWriter, r *http.Request) {
	var ask struct {
		Step    string
		Workers []string
	}
	if err := json.NewDecoder(r.Body).Decode(&ask); err != nil || len(ask.Workers) > 100 {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(adviceDecide + time.Duration(len(ask.Workers))*adviceEach)
	granted := [][]string{}
	f.mu.Lock()
	for _, id := range ask.Workers {
		if w := f.workers[id]; w != nil {
			ticket := ask.Step + "/" + w.place()
			f.tickets[ticket] = true
			granted = append(granted, []string{id, ticket})
		}
	}
	f.mu.Unlock()
	writeJSON(out, http.StatusOK, map[string]any{"Granted": granted, "ValidMs": adviceValid.Milliseconds()})
}

// Times of the advice service, as for the quick kind of request of the site dosui-sched.
const (
	adviceDecide = 9 * time.Millisecond
	adviceEach   = 130 * time.Microsecond
	adviceValid  = 1500 * time.Millisecond
)
