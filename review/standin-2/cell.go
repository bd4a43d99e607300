package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"
)

// Size is a capacity or a request.
type Size struct{ Cpu, MemMb, Gpu int64 }

func (s Size) plus(o Size) Size { return Size{s.Cpu + o.Cpu, s.MemMb + o.MemMb, s.Gpu + o.Gpu} }

func (s Size) within(o Size) bool { return s.Cpu <= o.Cpu && s.MemMb <= o.MemMb && s.Gpu <= o.Gpu }

// Step is a step of a job as a requester sends it, with how long its tasks really take.
type Step struct {
	Count         int
	Cpu           int64
	MemMb         int64
	Gpu           int64  `json:",omitempty"`
	EstimateMs    int64  `json:",omitempty"`
	StartAfter    []int  `json:",omitempty"`
	Gang          bool   `json:",omitempty"`
	LongRunning   bool   `json:",omitempty"`
	Requirements  string `json:",omitempty"`
	AntiAffinity  int    `json:",omitempty"`
	Checkpointing bool   `json:",omitempty"`
	MayMiss       int    `json:",omitempty"`
	SameRack      bool   `json:",omitempty"`
	Affinity      string `json:",omitempty"`
	Speculative   bool   `json:",omitempty"`
	Fills         bool   `json:",omitempty"`
	Image         string `json:",omitempty"`
	TargetMs      int64  `json:",omitempty"`
	takes         time.Duration
	fails         int           // runs of each task that fail before one succeeds
	failsAfter    time.Duration // when the runs of a lasting task fail; takes for other tasks
}

// Job is a job as a requester sends it.
type Job struct {
	ID          string `json:"-"`
	Spec        string
	Steps       []Step
	Repetitions int   `json:",omitempty"`
	FirstRunMs  int64 `json:",omitempty"`
	IntervalMs  int64 `json:",omitempty"`
	queue       *Route
	hopeless    bool // no service can run it
}

// Task is a task of a job.
type Task struct {
	name       string
	stepName   string // ID.K.STEP
	job        *Job
	occurrence int
	stepNo     int
	index      int
	step       *Step
}

// Advice is the advice rule of a queue, ms.
type Advice struct{ DecideMs, EachMs, ValidMs float64 }

// Route is a queue of the manifest.
type Route struct {
	Name, Host, PathPrefix, Type string
	TimeoutMs, TargetLatencyMs   float64
	Priority                     int
	Service                      string
	MaxAttempts                  int
	SlackFactor                  float64
	Advice                       *Advice `json:",omitempty"`
}

// Cell is the platform around the daemons: store, workers and advice, with a check of the rules
// that only they can see.
type Cell struct {
	mu          sync.Mutex
	store       *Store
	rec         *recorder
	workers     map[string]*Worker
	jobs        map[string]*Job
	running     map[string][]*Run // by task: runs that are there now
	history     map[string]*past  // by task
	gangs       map[string][]*Run // by ID.K.STEP and run
	tickets     map[string]time.Time
	starts      int
	breakCounts map[string]int // by rule
	breaks      []string
	onStart     func(r *Run) // called without the lock after a start was answered
	logHolds    bool
	quiet       map[string]bool      // jobs whose starts and ends done are not recorded one by one
	cancelled   map[string]time.Time // by job: when its cancelling was acknowledged
	// intercept, if set, decides whether a command stays unanswered: "lost", "late", "drop" or "".
	intercept func(w *Worker, path string) string
	rng       *rand.Rand
	version   int64
}

// past is what is known of the former runs of a task.
type past struct {
	starts    []time.Time
	doneAt    []time.Time // ends done, whatever became of them
	noted     time.Time   // when an end done was acknowledged before the lease had lapsed
	failNoted int
	failed    int
	saved     map[string]bool // checkpoints of the task; those of a gang are kept under its step's name
}

// save makes a new checkpoint of a run.
func (c *Cell) save(r *Run) {
	r.saved, r.savedAt = fmt.Sprintf("%016x%016x", c.rng.Uint64(), c.rng.Uint64()), time.Now()
	p := c.past(c.saver(r.task))
	if p.saved == nil {
		p.saved = map[string]bool{}
	}
	p.saved[r.saved] = true
}

func (c *Cell) saver(t Task) string {
	if t.step.Gang {
		return t.stepName
	}
	return t.name
}

func newCell(rec *recorder) *Cell {
	return &Cell{store: newStore(rec), rec: rec, workers: map[string]*Worker{}, jobs: map[string]*Job{}, running: map[string][]*Run{}, history: map[string]*past{}, gangs: map[string][]*Run{}, cancelled: map[string]time.Time{}, quiet: map[string]bool{}, breakCounts: map[string]int{}, tickets: map[string]time.Time{}, rng: rand.New(rand.NewPCG(1, 2))}
}

// maxSentences is the number of breaks of one rule that are written out.
const maxSentences = 10

// broken notes a break of a rule. The caller holds the lock.
func (c *Cell) broken(rule, format string, args ...any) {
	c.breakCounts[rule]++
	if c.breakCounts[rule] > maxSentences {
		return
	}
	text := rule + ": " + fmt.Sprintf(format, args...)
	c.breaks = append(c.breaks, text)
	c.rec.line("BROKEN %s", text)
}

func (c *Cell) past(task string) *past {
	p := c.history[task]
	if p == nil {
		p = &past{}
		c.history[task] = p
	}
	return p
}

// fails reports whether a run ends failed, by its own fault.
func (c *Cell) fails(r *Run) bool { return c.past(r.task.name).failed < r.task.step.fails }

// begun checks a start against the rules. The caller holds the lock.
func (c *Cell) begun(r *Run, cmd *command) {
	c.starts++
	t, w, p := r.task, r.worker, c.past(r.task.name)
	if cmd.Spec != t.job.Spec {
		c.broken("UNASKED", "%s started with another Spec", t.name)
	}
	for _, other := range c.running[t.name] {
		if t.step.Speculative {
			break
		}
		c.broken("TWICE", "%s run %d starts on %s while run %d is on %s", t.name, r.run, w.id, other.run, other.worker.id)
	}
	if !p.noted.IsZero() {
		c.broken("TWICE", "%s run %d starts on %s after its end done was taken note of", t.name, r.run, w.id)
	}
	if p.failNoted >= t.job.queue.MaxAttempts && !t.step.LongRunning {
		c.broken("BUDGET", "%s run %d starts after %d failed runs", t.name, r.run, p.failNoted)
	}
	for _, before := range t.step.StartAfter {
		for i := range t.job.Steps[before].Count {
			if len(c.past(fmt.Sprintf("%s.%d.%d.%d", t.job.ID, t.occurrence, before, i)).doneAt) == 0 {
				c.broken("ORDER", "%s starts before task %d of step %d has ended done", t.name, i, before)
			}
		}
	}
	if t.job.Repetitions > 0 {
		due := t.job.FirstRunMs + int64(t.occurrence)*t.job.IntervalMs
		if early := due - time.Now().UnixMilli(); early > 250 {
			c.broken("ORDER", "%s starts %d ms before its time", t.name, early)
		}
	}
	if cmd.Checkpoint != "" && !c.past(c.saver(t)).saved[cmd.Checkpoint] {
		c.broken("UNASKED", "%s run %d starts with checkpoint %q, which is not the task's", t.name, r.run, cmd.Checkpoint)
	}
	if at := c.cancelled[t.job.ID]; !at.IsZero() && time.Since(at) > 3*time.Second {
		c.broken("UNASKED", "%s run %d starts %v after its cancelling was acknowledged", t.name, r.run, time.Since(at))
	}
	if !w.drainedAt.IsZero() && time.Since(w.drainedAt) > 3*time.Second {
		c.broken("DRAIN", "%s starts on %s %v after that drains", t.name, w.id, time.Since(w.drainedAt))
	}
	if w.pool != t.job.queue.Service {
		c.broken("ROUTE", "%s starts on a worker of service %s", t.name, w.pool)
	}
	if t.step.Requirements != "" && !slices.Contains(w.labels, t.step.Requirements) {
		c.broken("ROUTE", "%s needs label %s, worker %s has %v", t.name, t.step.Requirements, w.id, w.labels)
	}
	used, same := Size{}, 0
	for _, run := range w.runs {
		if run.task.step.Fills {
			used.MemMb += run.task.step.MemMb
		} else {
			used = used.plus(Size{run.task.step.Cpu, run.task.step.MemMb, run.task.step.Gpu})
		}
		if run.task.stepName == t.stepName {
			same++
		}
	}
	if !used.within(w.capacity) {
		c.broken("LIMIT", "worker %s has %v of %v in use after the start of %s", w.id, used, w.capacity, t.name)
	}
	if t.step.AntiAffinity > 0 && same > t.step.AntiAffinity {
		c.broken("ROUTE", "%d tasks of step %s on worker %s", same, t.stepName, w.id)
	}
	p.starts = append(p.starts, r.at)
	c.running[t.name] = append(c.running[t.name], r)
	if !t.step.Gang {
		r.workEnds = time.Now().Add(t.step.takes)
		switch {
		case t.step.LongRunning && c.fails(r):
			r.workEnds = time.Now().Add(t.step.failsAfter)
		case t.step.LongRunning:
			r.workEnds = time.Now().Add(time.Hour)
		}
		return
	}
	key := fmt.Sprintf("%s/%d", t.stepName, r.run)
	c.gangs[key] = append(c.gangs[key], r)
	if present := c.present(key); len(present) == t.step.Count {
		for _, m := range present {
			m.workEnds = time.Now().Add(t.step.takes)
		}
	}
}

// present returns the members of a gang's run that are there now.
func (c *Cell) present(key string) []*Run {
	var list []*Run
	for _, r := range c.gangs[key] {
		if r.worker.up && r.worker.runs[r.task.name] == r {
			list = append(list, r)
		}
	}
	return list
}

// endGang ends all present members of the gang of a run.
func (c *Cell) endGang(r *Run, how string) {
	for _, m := range c.present(fmt.Sprintf("%s/%d", r.task.stepName, r.run)) {
		m.worker.end(m, how)
	}
}

// gone notes that a run is not on its worker any more. The caller holds the lock.
func (c *Cell) gone(r *Run, how string) {
	list := slices.DeleteFunc(c.running[r.task.name], func(o *Run) bool { return o == r })
	c.running[r.task.name] = list
	p := c.past(r.task.name)
	switch how {
	case "done":
		p.doneAt = append(p.doneAt, time.Now())
	case "failed":
		p.failed++
	}
	if r.task.step.Gang && how != "done" && how != "broken" {
		c.endGang(r, "broken")
	}
	if !c.quiet[r.task.job.ID] || how != "done" {
		c.rec.line("worker %s: %s run %d ends %s", r.worker.id, r.task.name, r.run, how)
	}
}

// noted handles an end that was acknowledged. The caller holds the lock.
func (c *Cell) noted(e *ended) {
	p := c.past(e.run.task.name)
	switch {
	case e.void:
	case e.how == "failed":
		p.failNoted++
	case e.how == "done" && !e.run.task.step.LongRunning:
		if p.noted.IsZero() {
			p.noted = time.Now()
		}
		for _, at := range p.starts {
			if at.After(e.at) && !e.run.task.step.Gang {
				c.broken("TWICE", "%s started again after the end done of run %d, which is taken note of now", e.run.task.name, e.run.run)
			}
		}
	}
}

func (c *Cell) ticketValid(t Task, w *Worker, ticket string) bool {
	until, known := c.tickets[ticket]
	return known && ticket == fmt.Sprintf("t-%s-%s-%d", t.stepName, w.id, w.born) && time.Now().Before(until)
}

// ServeHTTP is the advice service. It grants every worker.
func (c *Cell) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	var ask struct {
		Step    string
		Workers []string
	}
	if json.NewDecoder(r.Body).Decode(&ask) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(10 * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	granted := [][]string{}
	for _, id := range ask.Workers {
		if w := c.workers[id]; w != nil && w.up {
			ticket := fmt.Sprintf("t-%s-%s-%d", ask.Step, w.id, w.born)
			c.tickets[ticket] = time.Now().Add(1500 * time.Millisecond)
			granted = append(granted, []string{id, ticket})
		}
	}
	writeJSON(out, http.StatusOK, map[string]any{"Granted": granted, "ValidMs": 1500})
}

// publish writes a manifest; the store's answer is its acknowledgement.
func (c *Cell) publish(routes ...*Route) {
	c.version += 3
	services := map[string]bool{}
	var list []map[string]any
	for _, w := range c.workers {
		if !services[w.pool] {
			services[w.pool] = true
			list = append(list, map[string]any{"Name": w.pool, "HealthPath": "/health", "MaxConnections": 64, "Protocol": "h1", "Tls": false, "EnforcesCapacity": false, "Standby": false})
		}
	}
	data, _ := json.Marshal(map[string]any{"Version": c.version, "Routes": routes, "Services": list, "Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}})
	c.store.put("keyed.op", "config", data)
	names := []string{}
	for _, r := range routes {
		names = append(names, r.Name)
	}
	c.rec.line("operator: manifest %d with routes %v acknowledged", c.version, names)
}

// keepTime makes ends happen on time.
func (c *Cell) keepTime() {
	for {
		time.Sleep(5 * time.Millisecond)
		c.mu.Lock()
		for _, w := range c.workers {
			if w.up {
				w.advance()
			}
		}
		c.mu.Unlock()
	}
}

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}
