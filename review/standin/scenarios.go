package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Sizes of the workers, as on the site grenaille-sched (about 32 cores, 64 GB, 8 a rack).
var workerRoom = size{Cpu: 32_000, MemMb: 65_536}

const (
	service = "grit-desk"
	// A task that lasts must be running again 6 s after its last run; it is judged over 3 s, with the 4 s before
	// them calm (RULES.md, LOST).
	lastingBound = 6 * time.Second
	judgedSpan   = 3 * time.Second
	calmSpan     = 4 * time.Second
	contact      = 4 * time.Second        // ContactMs
	finish       = 14 * time.Second       // finish_s
	restartDelay = 500 * time.Millisecond // after which a killed process starts again
	recovery     = 12 * time.Second       // RecoveryS
)

// startWorkers starts n workers in one rack. The kinds "a" and "b" take turns.
func (c *cell) startWorkers(n int) error {
	for i := range n {
		if _, err := c.fleet.startWorker(fmt.Sprintf("w%015x", i+1), "", service, workerRoom, []string{"a", "b"}[i%2], "r1"); err != nil {
			return err
		}
	}
	return nil
}

// startCell starts a cell with n workers and one queue without advice.
func startCell(rec *recorder, n int) (*cell, error) {
	c, err := newCell(rec)
	if err != nil {
		return nil, err
	}
	if err = c.publish(1, []string{service}, route("desk", service, false)); err == nil {
		err = c.startWorkers(n)
	}
	if err == nil {
		err = c.startEntries()
	}
	if err != nil {
		c.stop()
		return nil, err
	}
	return c, nil
}

// waitActive waits until all n tasks of a step are at work.
func (c *cell) waitActive(prefix string, n int, limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if c.fleet.activeTasks(prefix, n) == n {
			return nil
		}
	}
	return fmt.Errorf("only %d of %d tasks of %s run after %v", c.fleet.activeTasks(prefix, n), n, prefix, limit)
}

// workerOf returns the worker on which a task runs, or nil.
func (f *fleet) workerOf(task string) *workerLife {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		if f.active[task] == w.place() {
			return w
		}
	}
	return nil
}

// fail makes the run of a task fail now, by its own fault.
func (f *fleet) fail(task string) {
	if w := f.workerOf(task); w != nil {
		w.mu.Lock()
		if run := w.running[task]; run != nil {
			run.failAt = time.Now()
		}
		w.mu.Unlock()
	}
}

func (w *workerLife) runs(prefix string) bool {
	for task := range w.running {
		if stepOf(task) == prefix {
			return true
		}
	}
	return false
}

// watchLasting watches the tasks of a step that lasts until the time is over. It returns what broke LOST: a task
// that has had no run for lastingBound, calmSpan and judgedSpan together, while at least two workers that the
// step's limits allow had room for it all the while.
func (c *cell) watchLasting(prefix string, n int, span time.Duration, needed size, accepts func(w *workerLife) bool) string {
	alone := make([]time.Time, n) // since when a task has had no run although there was room for it twice over
	end := time.Now().Add(span)
	for time.Now().Before(end) {
		room := c.fleet.freeWorkers(needed, accepts)
		for i := range n {
			task := fmt.Sprintf("%s.%d", prefix, i)
			switch {
			case c.fleet.workerOf(task) != nil || len(room) < 2:
				alone[i] = time.Time{}
			case alone[i].IsZero():
				alone[i] = time.Now()
			case time.Since(alone[i]) > lastingBound+calmSpan+judgedSpan:
				used, all := c.fleet.use(service)
				return fmt.Sprintf("LOST: task %s, which lasts, has had no run for %.1f s, though the workers %v have room for it; %+v of %+v is in use", task, time.Since(alone[i]).Seconds(), room, used, all)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return ""
}

// replicas: tasks of a step that lasts, one a worker, fail at times by their own fault.
func replicas(rec *recorder, trouble bool) (string, error) {
	c, err := startCell(rec, 8)
	if err != nil {
		return "", err
	}
	defer c.stop()
	const count = 7
	plan := taskPlan{Size: size{Cpu: 4000, MemMb: 4096}}
	id := newID()
	if !c.submit("desk", id, nil, newStep(count, plan, map[string]any{"LongRunning": true, "AntiAffinity": 1})) {
		return "", fmt.Errorf("the job was not accepted")
	}
	prefix := id + ".0.0"
	if err := c.waitActive(prefix, count, 15*time.Second); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		for i := range 2 {
			rec.line("trouble: task %s.%d fails by its own fault", prefix, i)
			c.fleet.fail(fmt.Sprintf("%s.%d", prefix, i))
			time.Sleep(5 * time.Second)
		}
	}
	broken := c.watchLasting(prefix, count, 30*time.Second, plan.Size, func(w *workerLife) bool { return !w.runs(prefix) })
	c.state("desk", id)
	return broken, nil
}

// judgeJob checks LOST for a job of one step, finish_s after the end of the traffic: for 3 s it has nothing running
// although a task's turn has come, there is room for it twice over, and under half of the service's capacity
// is in use.
func (c *cell) judgeJob(id string, count int, needed size) string {
	status, state := c.state("desk", id)
	if status != 200 {
		return fmt.Sprintf("LOST: the accepted job %s is answered %d", id, status)
	}
	if state == "completed" {
		return ""
	}
	for end := time.Now().Add(judgedSpan); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		room := c.fleet.freeWorkers(needed.add(needed), func(*workerLife) bool { return true })
		used, all := c.fleet.use(service)
		if c.fleet.activeTasks(id+".0.0", count) > 0 || len(room) == 0 || 2*used.Cpu >= all.Cpu || 2*used.MemMb >= all.MemMb {
			return ""
		}
	}
	used, all := c.fleet.use(service)
	_, state = c.state("desk", id)
	return fmt.Sprintf("LOST: the accepted job %s is %s and has had nothing running for 3 s, %v after the end of the traffic; it was started %d times; %+v of %+v is in use", id, state, finish, c.fleet.startsOf(id), used, all)
}

func (f *fleet) startsOf(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for task, starts := range f.starts {
		if len(task) > len(job) && task[:len(job)] == job {
			n += starts
		}
	}
	return n
}

// powerCuts: all machines of the system lose power, and once more soon after they are back.
func powerCuts(rec *recorder, trouble bool) (string, error) {
	c, err := newCell(rec)
	if err != nil {
		return "", err
	}
	defer c.stop()
	if err = c.publish(1, []string{service}, route("desk", service, false)); err == nil {
		err = c.startWorkers(8)
	}
	if err == nil {
		err = c.startEntries()
	}
	if err != nil {
		return "", err
	}
	const (
		dark    = 9500 * time.Millisecond
		between = 3 * time.Second
		every   = 200 * time.Millisecond
	)
	plan := taskPlan{MS: 500, Size: size{Cpu: 1000, MemMb: 512}}
	var accepted []string
	handIn := func(span time.Duration) {
		for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(every) {
			if id := newID(); c.submit("desk", id, nil, newStep(2, plan, nil)) {
				accepted = append(accepted, id)
			}
		}
	}
	handIn(13 * time.Second)
	for range 2 {
		if trouble {
			rec.line("trouble: all machines lose power for %v", dark)
			if err := c.powerCut(dark); err != nil {
				return "", err
			}
		}
		handIn(between)
	}
	time.Sleep(contact + time.Second)
	if err := c.waitReady(recovery + finish - contact - time.Second); err != nil {
		rec.line("%v", err) // then the requesters see it, too
	}
	return c.judgeAccepted(accepted), nil
}

// powerCut kills all processes at once and starts them again after a time.
func (c *cell) powerCut(dark time.Duration) error {
	var group sync.WaitGroup
	for _, p := range c.daemons {
		group.Go(func() { c.kill(p) })
	}
	group.Wait()
	time.Sleep(dark)
	for _, p := range c.daemons {
		if err := c.start(p); err != nil {
			return err
		}
	}
	return nil
}

// judgeAccepted asks for the state of jobs that were accepted. It returns what broke a rule.
func (c *cell) judgeAccepted(ids []string) string {
	var lost, unanswered atomic.Int64
	var group sync.WaitGroup
	for _, id := range ids {
		group.Go(func() {
			switch status, _ := c.state("desk", id); status {
			case http.StatusOK:
			case http.StatusGone:
				lost.Add(1)
			default:
				unanswered.Add(1)
			}
		})
	}
	group.Wait()
	rules := c.fleet.brokenRules()
	var broken []string
	if lost.Load()+unanswered.Load() > 0 {
		broken = append(broken, fmt.Sprintf("LOST: of %d accepted jobs %d are answered 410 and %d not at all", len(ids), lost.Load(), unanswered.Load()))
	}
	if len(rules) > 0 {
		broken = append(broken, fmt.Sprintf("%d breaks seen by the workers, the first: %s", len(rules), rules[0]))
	}
	return strings.Join(broken, "; ")
}

// gangBlock: the process that gives the orders is killed. A gang does not fit, as a task that lasts occupies room that
// it needs; another job that needs workers of the same kind is handed in.
func gangBlock(rec *recorder, trouble bool) (string, error) {
	c, err := startCell(rec, 8)
	if err != nil {
		return "", err
	}
	defer c.stop()
	needsB := func(more map[string]any) map[string]any {
		row := map[string]any{"Requirements": "b"}
		for key, value := range more {
			row[key] = value
		}
		return row
	}
	lasting := taskPlan{Size: size{Cpu: 16_000, MemMb: 8192}, Label: "b"}
	id := newID()
	if !c.submit("desk", id, nil, newStep(1, lasting, needsB(map[string]any{"LongRunning": true}))) {
		return "", fmt.Errorf("the lasting job was not accepted")
	}
	if err := c.waitActive(id+".0.0", 1, 15*time.Second); err != nil {
		return "", err
	}
	isB := func(w *workerLife) bool { return slices.Contains(w.labels, "b") }
	time.Sleep(3 * time.Second)
	if trouble {
		if err := c.killPlacer(); err != nil {
			return "", err
		}
	}
	time.Sleep(8 * time.Second)
	gang := taskPlan{MS: 2000, Size: size{Cpu: 20_000, MemMb: 8192}, Label: "b"}
	if !c.submit("desk", newID(), nil, newStep(4, gang, needsB(map[string]any{"Gang": true}))) {
		return "", fmt.Errorf("the gang was not accepted")
	}
	time.Sleep(5 * time.Second)
	small := taskPlan{MS: 500, Size: size{Cpu: 1000, MemMb: 512}, Label: "b"}
	job := newID()
	if !c.submit("desk", job, nil, newStep(2, small, needsB(nil))) {
		return "", fmt.Errorf("the small job was not accepted")
	}
	time.Sleep(finish)
	rec.line("workers of kind b with room for the small job's tasks: %v", c.fleet.freeWorkers(small.Size, isB))
	return c.judgeJob(job, 2, small.Size), nil
}

// killPlacer kills the process that gave the last orders. It starts again after a short delay.
func (c *cell) killPlacer() error {
	p := c.placer()
	if p == nil {
		return fmt.Errorf("no process gives orders")
	}
	c.rec.line("trouble: %s, which gave the last orders, is killed", p.name)
	c.kill(p)
	time.Sleep(restartDelay)
	return c.start(p)
}

// rollingWorkers: the workers are restarted one after the other, as for a new version of their software. Each one
// drains, exits, and starts again under its id.
func rollingWorkers(rec *recorder, trouble bool) (string, error) {
	const (
		workers  = 16
		replicas = 12
		batch    = 15
	)
	c, err := startCell(rec, workers)
	if err != nil {
		return "", err
	}
	defer c.stop()
	replica := taskPlan{Size: size{Cpu: 2000, MemMb: 2048}}
	id := newID()
	if !c.submit("desk", id, nil, newStep(replicas, replica, map[string]any{"LongRunning": true, "AntiAffinity": 1})) {
		return "", fmt.Errorf("the job that lasts was not accepted")
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Second):
				c.submit("desk", newID(), nil, newStep(batch, taskPlan{MS: 6000, Size: size{Cpu: 1000, MemMb: 1024}}, map[string]any{"AntiAffinity": 1}))
			}
		}
	})
	time.Sleep(7 * time.Second)
	for i := range workers {
		if !trouble {
			break
		}
		c.fleet.mu.Lock()
		w := c.fleet.workers[fmt.Sprintf("w%015x", i+1)]
		c.fleet.mu.Unlock()
		rec.line("trouble: worker %s is restarted", w.id)
		w.drain()
		time.Sleep(drainTime + 200*time.Millisecond)
		w.crash()
		time.Sleep(restartDelay)
		if _, err := c.fleet.startWorker(w.id, w.address, service, workerRoom, w.labels...); err != nil {
			return "", err
		}
	}
	close(stop)
	group.Wait()
	prefix := id + ".0.0"
	return c.watchLasting(prefix, replicas, 24*time.Second, replica.Size, func(w *workerLife) bool { return !w.runs(prefix) }), nil
}
