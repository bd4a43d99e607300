package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Times and limits of workers, as the pages of a small site give them.
const (
	maxHold          = 10 * time.Second
	heartbeat        = 1500 * time.Millisecond
	silentHeartbeats = 3 // after which the store removes an entry
	maxListedEnds    = 500
	maxHoldWait      = 2 * time.Second
	startupTime      = 300 * time.Millisecond // until a task that lasts is at work
)

// behaviour says how a run goes: it ends after a time as named, or lasts if the time is 0.
type behaviour struct {
	takes time.Duration
	how   string
}

// fleet is the pool of workers. Its lock guards the state of all workers.
type fleet struct {
	mu       sync.Mutex
	store    *store
	service  string
	record   *record
	workers  []*worker
	behaves  func(task string, run int) behaviour
	onStart  func(w *worker, task string, run int) // called with the lock held
	tickets  map[string]bool                       // valid tickets as STEP WORKER TICKET; nil: no ticket is needed
	observed map[string]*observedTask
}

// observedTask is what the workers have seen of a task.
type observedTask struct {
	runs    int
	running *worker
	endedAt time.Time // of the last run
	lastHow string
}

// worker is a worker of the pool and its machine.
type worker struct {
	fleet    *fleet
	id       string
	address  string
	kind     string
	rack     string
	capacity size
	server   *http.Server
	up       bool
	dark     bool // it is down and its machine answers nothing
	born     int64
	started  time.Time
	sequence int
	draining bool
	lastBeat time.Time

	highestToken int64
	leaseUntil   int64 // ms of its clock
	runs         map[string]*taskRun
	ended        []endRow
	lastEnd      int64
	highestEnded map[string]int // by task: highest run that was stopped or has ended here
}

type size struct{ Cpu, MemMb, Gpu int64 }

type taskRun struct {
	run     int
	started time.Time
	behaviour
}

type endRow struct {
	number int64
	task   string
	run    int
	how    string
}

// clock is the worker's own steady clock in ms. It begins anew in each life.
func (w *worker) clock() int64 { return 1000 + time.Since(w.started).Milliseconds() }

// newFleet starts workers, 8 a rack. The kind of each is given by the function.
func newFleet(s *store, service string, n int, capacity size, kind func(i int) string, rec *record) (*fleet, error) {
	f := &fleet{store: s, service: service, record: rec, observed: map[string]*observedTask{}, onStart: func(*worker, string, int) {}}
	for i := range n {
		w := &worker{fleet: f, id: "i-" + string(rune('a'+i/26)) + string(rune('a'+i%26)), kind: kind(i), rack: "r1-" + string(rune('0'+i/8)), capacity: capacity}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		w.address = l.Addr().String()
		f.workers = append(f.workers, w)
		f.mu.Lock()
		w.begin(l)
		f.mu.Unlock()
	}
	go f.keepTime()
	return f, nil
}

// begin begins a life of the worker. It is called with the lock held.
func (w *worker) begin(l net.Listener) {
	w.born, w.started, w.up, w.draining = max(time.Now().UnixMilli(), w.born+1), time.Now(), true, false
	w.highestToken, w.leaseUntil, w.lastEnd, w.sequence = 0, 0, 0, 0
	w.runs, w.ended, w.highestEnded = map[string]*taskRun{}, nil, map[string]int{}
	w.register() // before it answers anybody
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: 5 * time.Second}
	go func(server *http.Server) { _ = server.Serve(l) }(w.server) // crash ends it
}

// register writes the worker's entry. It is called with the lock held.
func (w *worker) register() {
	w.sequence++
	w.lastBeat = time.Now()
	state := "ready"
	if w.draining {
		state = "draining"
	}
	entry, err := json.Marshal(map[string]any{
		"Service": w.fleet.service, "Address": w.address, "Zone": "kushiro", "Version": "v1", "Slots": 8, "State": state, "ColdRemainingMs": 0,
		"Capacity": w.capacity, "Labels": []string{w.kind, w.rack}, "ClockMs": w.clock(), "Sequence": w.sequence, "born": w.born,
	})
	if err != nil {
		panic(err)
	}
	w.fleet.store.put("keyed.servers", w.id, entry)
}

// crash ends the worker's life without a word: what it runs is gone, its connections are reset.
func (f *fleet) crash(w *worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w.up = false
	for task, r := range w.runs {
		f.noteEnd(w, task, r.run, "lost in the crash")
	}
	w.runs = map[string]*taskRun{}
	_ = w.server.Close()
	f.record.add("trouble", "worker %s (kind %s, rack %s) crashes", w.id, w.kind, w.rack)
}

// darken ends the worker's life: what it runs is gone, and its machine answers nothing any more.
func (f *fleet) darken(w *worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w.up, w.dark = false, true
	for task, r := range w.runs {
		f.noteEnd(w, task, r.run, "lost in the crash")
	}
	w.runs = map[string]*taskRun{}
	f.record.add("trouble", "worker %s (kind %s, rack %s) crashes and is dark", w.id, w.kind, w.rack)
}

// hang leaves a request unanswered while the machine is dark. It is called with the lock held.
func (w *worker) hang(r *http.Request) {
	if !w.dark {
		return
	}
	w.fleet.record.add("dark", "%s at worker %s is not carried out and not answered", r.URL.Path, w.id)
	w.fleet.mu.Unlock()
	<-r.Context().Done()
	w.fleet.mu.Lock()
}

// restart begins a new life of a crashed worker under the same id and address, of the given kind.
func (f *fleet) restart(w *worker, kind string) error {
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", w.address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	w.kind = kind
	w.begin(l)
	f.record.add("trouble", "worker %s starts again, born %d, kind %s, and has registered", w.id, w.born, w.kind)
	return nil
}

// keepTime ends runs that are due, writes heartbeats and removes entries of silent workers.
func (f *fleet) keepTime() {
	for {
		time.Sleep(10 * time.Millisecond)
		f.mu.Lock()
		for _, w := range f.workers {
			switch {
			case w.up:
				w.endDue()
				if time.Since(w.lastBeat) >= heartbeat {
					w.register()
				}
			case !w.lastBeat.IsZero() && time.Since(w.lastBeat) > silentHeartbeats*heartbeat:
				f.store.put("keyed.servers", w.id, nil)
				w.lastBeat = time.Time{}
				f.record.add("store", "the entry of worker %s is removed after %d intervals of silence", w.id, silentHeartbeats)
			}
		}
		f.mu.Unlock()
	}
}

func (f *fleet) task(name string) *observedTask {
	if f.observed[name] == nil {
		f.observed[name] = &observedTask{}
	}
	return f.observed[name]
}

func (f *fleet) noteEnd(w *worker, task string, run int, how string) {
	o := f.task(task)
	if o.running == w {
		o.running = nil
	}
	o.endedAt, o.lastHow = time.Now(), how
	f.record.add("end", "task %s run %d on %s: %s", task, run, w.id, how)
}

// end ends a run and lists its end. It is called with the lock held.
func (w *worker) end(task, how string) {
	r := w.runs[task]
	delete(w.runs, task)
	w.lastEnd++
	w.highestEnded[task] = max(w.highestEnded[task], r.run)
	w.ended = append(w.ended, endRow{w.lastEnd, task, r.run, how})
	w.fleet.noteEnd(w, task, r.run, how)
}

func (w *worker) endDue() {
	expired := w.clock() > w.leaseUntil
	for task, r := range w.runs {
		switch {
		case r.takes > 0 && time.Since(r.started) >= r.takes:
			w.end(task, r.how)
		case expired:
			w.end(task, "lapsed")
		}
	}
}

type command struct {
	Task         string
	Run          int
	Spec         string
	DeadlineMs   int64
	FencingToken int64
	AckCursor    int64
	WaitMs       int64
	Ticket       string
	Percent      int
}

func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	var c command
	if r.Method != http.MethodPost || json.NewDecoder(r.Body).Decode(&c) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != w.id {
		answerJSON(out, http.StatusMisdirectedRequest, map[string]any{"ClockMs": w.clock()})
		return
	}
	if !w.up {
		w.hang(r)
		panic(http.ErrAbortHandler)
	}
	w.endDue()
	if c.FencingToken < w.highestToken {
		answerJSON(out, http.StatusConflict, map[string]any{"ClockMs": w.clock(), "Reason": "fence"})
		return
	}
	w.highestToken = c.FencingToken
	switch r.URL.Path {
	case "/run-start":
		w.start(out, &c)
	case "/run-stop":
		w.highestEnded[c.Task] = max(w.highestEnded[c.Task], c.Run)
		if run := w.runs[c.Task]; run != nil && run.run == c.Run {
			w.end(c.Task, "stopped")
		}
		answerJSON(out, http.StatusOK, map[string]any{"ClockMs": w.clock()})
	case "/pace":
		f.record.add("pace", "task %s run %d on %s: %d percent", c.Task, c.Run, w.id, c.Percent)
		answerJSON(out, http.StatusOK, map[string]any{"ClockMs": w.clock()})
	case "/hold":
		w.hold(out, r, &c)
	default:
		out.WriteHeader(http.StatusNotFound)
	}
}

// extend extends the lease; it never shortens, and lasts maxHold at most.
func (w *worker) extend(until int64) {
	w.leaseUntil = max(w.leaseUntil, min(until, w.clock()+maxHold.Milliseconds()))
}

func (w *worker) start(out http.ResponseWriter, c *command) {
	f := w.fleet
	refuse := func(reason string) {
		f.record.add("refuse", "start of %s run %d on %s: %s", c.Task, c.Run, w.id, reason)
		answerJSON(out, http.StatusConflict, map[string]any{"ClockMs": w.clock(), "Reason": reason})
	}
	present := w.runs[c.Task]
	step := c.Task[:max(0, strings.LastIndex(c.Task, "."))]
	switch {
	case present != nil && present.run == c.Run:
		answerJSON(out, http.StatusOK, map[string]any{"ClockMs": w.clock()})
		return
	case c.Run <= w.highestEnded[c.Task]:
		w.extend(c.DeadlineMs)
		refuse("old")
		return
	case w.clock() > c.DeadlineMs:
		refuse("late")
		return
	case f.tickets != nil && !f.tickets[step+" "+w.id+" "+c.Ticket]:
		refuse("ticket")
		return
	}
	w.extend(c.DeadlineMs)
	w.runs[c.Task] = &taskRun{run: c.Run, started: time.Now(), behaviour: f.behaves(c.Task, c.Run)}
	o := f.task(c.Task)
	o.runs++
	o.running = w
	f.record.add("start", "task %s run %d on %s (kind %s, rack %s, token %d)", c.Task, c.Run, w.id, w.kind, w.rack, c.FencingToken)
	f.onStart(w, c.Task, c.Run)
	answerJSON(out, http.StatusOK, map[string]any{"ClockMs": w.clock()})
}

func (w *worker) hold(out http.ResponseWriter, r *http.Request, c *command) {
	f := w.fleet
	if c.DeadlineMs > 0 {
		w.extend(c.DeadlineMs)
	}
	w.ended = slices.DeleteFunc(w.ended, func(e endRow) bool { return e.number <= c.AckCursor })
	born, until := w.born, time.Now().Add(min(time.Duration(c.WaitMs)*time.Millisecond, maxHoldWait))
	for len(w.ended) == 0 && w.up && w.born == born && time.Now().Before(until) && r.Context().Err() == nil {
		f.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		f.mu.Lock()
	}
	if !w.up || w.born != born {
		w.hang(r)
		panic(http.ErrAbortHandler)
	}
	running, finished := [][]any{}, [][]any{}
	for task, run := range w.runs {
		percent := 0
		switch worked := time.Since(run.started); {
		case run.takes > 0:
			percent = min(99, int(100*worked/run.takes))
		case worked > startupTime:
			percent = 100
		}
		running = append(running, []any{task, run.run, "", percent, 10})
	}
	for _, e := range w.ended[:min(len(w.ended), maxListedEnds)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	answerJSON(out, http.StatusOK, map[string]any{"ClockMs": w.clock(), "born": w.born, "Running": running, "Finished": finished})
}
