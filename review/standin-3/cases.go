package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

func kindA(int) string { return "a" }

// firstIsB makes the first n workers of kind b.
func firstIsB(n int) func(i int) string {
	return func(i int) string {
		if i < n {
			return "b"
		}
		return "a"
	}
}

var scenarios = map[string]scenario{
	"avoid":   {workers: 16, kind: kindA, routes: []route{plainRoute("/lohu930/")}, play: playAvoid},
	"fill":    {workers: 8, kind: kindA, routes: []route{plainRoute("/lohu930/")}, play: playFill},
	"kind":    {workers: 16, kind: firstIsB(2), routes: []route{plainRoute("/lohu930/")}, play: playKind},
	"pending": {workers: 16, kind: firstIsB(2), routes: []route{plainRoute("/lohu930/")}, play: playPending},
	"history": {workers: 16, kind: kindA, keepS: 20, routes: []route{plainRoute("/lohu930/")}, play: playHistory},
	"cancel":  {workers: 16, kind: kindA, routes: []route{plainRoute("/lohu930/")}, play: playCancel},
	"route":   {workers: 16, kind: kindA, routes: []route{plainRoute("/lohu930/"), advisedRoute("/pufi791/")}, play: playRoute},
}

// restartBound is from a lasting task's last run until the rule counts it: 6 s, the 3 s of the rule and the 4 s before
// them, which have to be calm, and a second for the stand-in's own delays.
const restartBound = 14 * time.Second

// playAvoid runs a job of 6 tasks that last, one a worker, on a rack of 8 workers. With trouble, three of the tasks
// fail once each.
func playAvoid(c *cell, trouble bool) (string, error) {
	const id, tasks, failing = "5c0e7a21d94b36f8", 6, 3
	c.fleet.behaves = func(task string, run int) behaviour {
		var index int
		_, _ = fmt.Sscanf(task[strings.LastIndex(task, ".")+1:], "%d", &index)
		if trouble && run == 1 && index < failing {
			return behaviour{time.Duration(4+3*index) * time.Second, "failed"}
		}
		return behaviour{}
	}
	job := map[string]any{"Spec": "service", "Steps": []map[string]any{{"Count": tasks, "Cpu": 2000, "MemMb": 1024, "LongRunning": true, "Requirements": "r1-0", "AntiAffinity": 1}}}
	if !c.submit("/lohu930/"+id, job) {
		return "", errNotAccepted
	}
	if !c.waitFor(15*time.Second, func() bool { return c.fleet.runningTasks(id+".0.0", tasks) == tasks }) {
		return "", errNotStarted
	}
	end := time.Now().Add(45 * time.Second)
	for time.Now().Before(end) {
		time.Sleep(100 * time.Millisecond)
		if broken := c.idleTask(id+".0.0", tasks, func(w *worker) bool { return w.rack == "r1-0" }, true); broken != "" {
			return broken, nil
		}
	}
	c.state("/lohu930/" + id)
	return "", nil
}

// idleTask returns a description of a lasting task that has not run for restartBound although twice as many workers
// as it needs could take it: they are up, meet the condition and, with apart, run no other task of the step.
func (c *cell) idleTask(prefix string, n int, suits func(w *worker) bool, apart bool) string {
	f := c.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	idle, longest := []string{}, time.Duration(0)
	for i := range n {
		name := fmt.Sprintf("%s.%d", prefix, i)
		o := f.task(name)
		if o.running == nil && !o.endedAt.IsZero() && time.Since(o.endedAt) > restartBound {
			idle, longest = append(idle, name), max(longest, time.Since(o.endedAt))
		}
	}
	free := 0
	for _, w := range f.workers {
		takes := w.up && !w.draining && suits(w)
		for task := range w.runs {
			takes = takes && !(apart && strings.HasPrefix(task, prefix+"."))
		}
		if takes {
			free++
		}
	}
	if len(idle) == 0 || free < 2*len(idle) {
		return ""
	}
	return fmt.Sprintf("LOST: the lasting task(s) %v have not run for %.1f s, and %d workers that could run one each are idle", idle, longest.Seconds(), free)
}

// playFill runs a job of 7 serving tasks that last, one a worker, and a lasting task that fills, on 8 workers. With
// trouble, the worker of the task that fills is lost for good.
func playFill(c *cell, trouble bool) (string, error) {
	const fills, serves = "1111aaaa2222bbbb", "5c0e7a21d94b36f8"
	c.fleet.behaves = never
	filling := map[string]any{"Spec": "index", "Steps": []map[string]any{{"Count": 1, "Cpu": 4000, "MemMb": 2048, "LongRunning": true, "Fills": true, "Image": "img-fill"}}}
	if !c.submit("/lohu930/"+fills, filling) {
		return "", errNotAccepted
	}
	if !c.waitFor(15*time.Second, func() bool { return c.fleet.runningTasks(fills+".0.0", 1) == 1 }) {
		return "", errNotStarted
	}
	serving := map[string]any{"Spec": "service", "Steps": []map[string]any{{"Count": 7, "Cpu": 4000, "MemMb": 2048, "LongRunning": true, "AntiAffinity": 1, "Image": "img-serve", "TargetMs": 200}}}
	if !c.submit("/lohu930/"+serves, serving) {
		return "", errNotAccepted
	}
	if !c.waitFor(15*time.Second, func() bool { return c.fleet.runningTasks(serves+".0.0", 7) == 7 }) {
		return "", errNotStarted
	}
	time.Sleep(6 * time.Second) // calm
	if trouble {
		c.fleet.mu.Lock()
		w := c.fleet.task(fills + ".0.0.0").running
		c.fleet.mu.Unlock()
		if w == nil {
			return "", errNotStarted
		}
		c.fleet.crash(w)
	}
	end := time.Now().Add(40 * time.Second)
	for time.Now().Before(end) {
		time.Sleep(100 * time.Millisecond)
		if broken := c.idleTask(fills+".0.0", 1, func(*worker) bool { return true }, false); broken != "" {
			return broken, nil
		}
	}
	return "", nil
}

// playKind runs a job that needs workers of kind b, of which there are two among 16, and keeps them busy. With
// trouble, one of them crashes, and its next life is of kind a.
func playKind(c *cell, trouble bool) (string, error) {
	const id = "5c0e7a21d94b36f8"
	c.fleet.behaves = func(string, int) behaviour { return behaviour{5 * time.Second, "done"} }
	broken := ""
	c.fleet.onStart = func(w *worker, task string, run int) {
		if w.kind != "b" && broken == "" {
			broken = fmt.Sprintf("ROUTE: task %s run %d, which requires the label b, was started on worker %s of kind %s, %d ms after that life began and registered", task, run, w.id, w.kind, time.Since(w.started).Milliseconds())
		}
	}
	job := map[string]any{"Spec": "survey", "Steps": []map[string]any{{"Count": 40, "Cpu": 18000, "MemMb": 37000, "EstimateMs": 5000, "Requirements": "b"}}}
	if !c.submit("/lohu930/"+id, job) {
		return "", errNotAccepted
	}
	if !c.waitFor(15*time.Second, func() bool { return c.fleet.runningTasks(id+".0.0", 40) == 6 }) {
		return "", errNotStarted
	}
	time.Sleep(2 * time.Second)
	if trouble {
		w := c.fleet.workers[0]
		c.fleet.crash(w)
		time.Sleep(1500 * time.Millisecond)
		if err := c.fleet.restart(w, "a"); err != nil {
			return "", err
		}
	}
	time.Sleep(15 * time.Second)
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	return broken, nil
}

// playPending hands in 10 jobs that need workers of kind b, of which there are two among 16. With trouble, both are dark
// for good just before; without, both are busy. No task of the jobs can start, so all of them are pending.
func playPending(c *cell, trouble bool) (string, error) {
	const jobs, visible = 10, 3 * time.Second
	c.fleet.behaves = never
	if !c.submit("/lohu930/0000000000000001", map[string]any{"Spec": "first", "Steps": []map[string]any{{"Count": 2, "Cpu": 4000, "MemMb": 1024, "LongRunning": true, "AntiAffinity": 1, "Requirements": "a"}}}) {
		return "", errNotAccepted
	}
	if !c.waitFor(15*time.Second, func() bool { return c.fleet.runningTasks("0000000000000001.0.0", 2) == 2 }) {
		return "", errNotStarted
	}
	if !trouble {
		if !c.submit("/lohu930/0000000000000002", map[string]any{"Spec": "blocks", "Steps": []map[string]any{{"Count": 2, "Cpu": 64000, "MemMb": 1024, "LongRunning": true, "Requirements": "b"}}}) {
			return "", errNotAccepted
		}
		if !c.waitFor(15*time.Second, func() bool { return c.fleet.runningTasks("0000000000000002.0.0", 2) == 2 }) {
			return "", errNotStarted
		}
	}
	time.Sleep(5 * time.Second)
	if trouble {
		for _, w := range c.fleet.workers[:2] {
			c.fleet.darken(w)
		}
	}
	for i := range jobs {
		job := map[string]any{"Spec": "certificate", "Steps": []map[string]any{{"Count": 1, "Cpu": 2000, "MemMb": 1024, "EstimateMs": 2000, "Requirements": "b"}}}
		if !c.submit(fmt.Sprintf("/lohu930/5c0e7a21d94b%04x", i), job) {
			return "", errNotAccepted
		}
	}
	accepted := time.Now()
	for end := time.Now().Add(35 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		if time.Since(accepted) < visible+2*time.Second+10*time.Second {
			continue // until the disturbance is long over
		}
		begun := 0
		c.fleet.mu.Lock()
		for i := range jobs {
			if c.fleet.task(fmt.Sprintf("5c0e7a21d94b%04x.0.0.0", i)).runs > 0 {
				begun++
			}
		}
		c.fleet.mu.Unlock()
		for _, d := range c.daemons {
			status, answer := c.call(d, http.MethodGet, "/lohu930/", nil)
			var count struct{ Pending *int }
			if status != http.StatusOK || json.Unmarshal([]byte(answer), &count) != nil || count.Pending == nil {
				continue
			}
			if 2**count.Pending < jobs-begun {
				c.state("/lohu930/5c0e7a21d94b0000")
				return fmt.Sprintf("MIXED: %s gives %d as Pending, %.0f s after the last of %d jobs was accepted of which %d have begun", d.name, *count.Pending, time.Since(accepted).Seconds(), jobs, begun), nil
			}
		}
	}
	return "", nil
}

func advisedRoute(prefix string) route {
	r := plainRoute(prefix)
	r.Advice = &advice{82, 1.2, 1500}
	return r
}

// adviser is the advice service: it grants a step every second worker, with a ticket that never changes.
type adviser struct{ fleet *fleet }

func (a *adviser) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Step    string
		Workers []string
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(82*time.Millisecond + time.Duration(len(request.Workers))*1200*time.Microsecond)
	f := a.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	granted := [][]string{}
	for _, id := range request.Workers {
		if id[len(id)-1]%2 == 0 {
			ticket := "c81e-" + request.Step + "-" + id
			granted = append(granted, []string{id, ticket})
			if f.tickets != nil {
				f.tickets[request.Step+" "+id+" "+ticket] = true
			}
		}
	}
	f.record.add("advice", "step %s: %d of %d workers granted", request.Step, len(granted), len(request.Workers))
	answerJSON(w, http.StatusOK, map[string]any{"Granted": granted, "ValidMs": 1500})
}

// playRoute runs a job of two steps on a queue with advice. With trouble, a manifest removes the queue while the first
// step runs, and then the daemons are stopped and started in turn.
func playRoute(c *cell, trouble bool) (string, error) {
	const id = "5c0e7a21d94b36f8"
	c.fleet.tickets = map[string]bool{}
	c.fleet.behaves = func(task string, _ int) behaviour {
		if strings.HasPrefix(task, id+".0.0.") {
			return behaviour{12 * time.Second, "done"}
		}
		return behaviour{time.Second, "done"}
	}
	job := map[string]any{"Spec": "survey", "Steps": []map[string]any{
		{"Count": 4, "Cpu": 3900, "MemMb": 14000, "EstimateMs": 12000},
		{"Count": 4, "Cpu": 3900, "MemMb": 14000, "EstimateMs": 1000, "StartAfter": []int{0}},
	}}
	if !c.submit("/pufi791/"+id, job) {
		return "", errNotAccepted
	}
	if !c.waitFor(15*time.Second, func() bool { return c.fleet.runningTasks(id+".0.0", 4) == 4 }) {
		return "", errNotStarted
	}
	if trouble {
		c.publish(9, []route{plainRoute("/lohu930/")})
		time.Sleep(4 * time.Second)
		for _, d := range c.daemons {
			c.stop(d, 15)
			if err := c.start(d); err != nil {
				return "", err
			}
			time.Sleep(time.Second)
		}
	}
	end := time.Now().Add(50 * time.Second)
	for time.Now().Before(end) {
		time.Sleep(200 * time.Millisecond)
		f := c.fleet
		f.mu.Lock()
		done, idle, since := 0, 0, time.Time{}
		for i := range 4 {
			if f.task(fmt.Sprintf("%s.0.1.%d", id, i)).lastHow == "done" {
				done++
			}
			o := f.task(fmt.Sprintf("%s.0.0.%d", id, i))
			if o.lastHow == "done" {
				idle++
				if o.endedAt.After(since) {
					since = o.endedAt
				}
			}
		}
		f.mu.Unlock()
		if done == 4 {
			return "", nil
		}
		if idle == 4 && time.Since(since) > finishTime+3*time.Second && done == 0 {
			return fmt.Sprintf("LOST: %.0f s after the job's first step was done none of the 4 tasks of its second step has run, and the workers are idle", time.Since(since).Seconds()), nil
		}
	}
	return "", nil
}

// playHistory keeps a lasting job on a store that keeps 20 s of history. With trouble, the process that places is killed
// seven times, and starts again each time.
func playHistory(c *cell, trouble bool) (string, error) {
	const id = "5c0e7a21d94b36f8"
	c.fleet.behaves = never
	if !c.submit("/lohu930/"+id, map[string]any{"Spec": "service", "Steps": []map[string]any{{"Count": 4, "Cpu": 2000, "MemMb": 1024, "LongRunning": true}}}) {
		return "", errNotAccepted
	}
	if !c.waitFor(15*time.Second, func() bool { return c.fleet.runningTasks(id+".0.0", 4) == 4 }) {
		return "", errNotStarted
	}
	for range 7 {
		time.Sleep(3500 * time.Millisecond)
		if !trouble {
			continue
		}
		for _, d := range c.daemons {
			if c.places(d) {
				c.stop(d, 9)
				time.Sleep(300 * time.Millisecond)
				if err := c.start(d); err != nil {
					return "", err
				}
				break
			}
		}
	}
	time.Sleep(finishTime)
	gone := []string{}
	for _, d := range c.daemons {
		if status, _ := c.call(d, http.MethodGet, "/lohu930/"+id, nil); status == http.StatusGone {
			gone = append(gone, d.name)
		}
	}
	if len(gone) == 0 {
		return "", nil
	}
	c.fleet.mu.Lock()
	running := c.fleet.runningTasks(id+".0.0", 4)
	c.fleet.mu.Unlock()
	return fmt.Sprintf("LOST: %v answer 410 for an accepted job that nobody has cancelled, %v after the last kill; %d of its 4 lasting tasks run", gone, finishTime, running), nil
}

// places reports whether a daemon says that it places.
func (c *cell) places(d *daemon) bool {
	resp, err := c.client.Get("http://" + d.metrics + "/metrics")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return strings.Contains(string(text), "\nbriarproxy_placing 1\n")
}

// playCancel hands a job in, leaves if there is no answer within half of the objective, and cancels the job at another
// daemon. With trouble, the store carries the writes of 300 ms out 5 s later and does not answer them.
func playCancel(c *cell, trouble bool) (string, error) {
	const id, patience, window = "5c0e7a21d94b36f8", 600 * time.Millisecond, 4500 * time.Millisecond
	c.fleet.behaves = func(string, int) behaviour { return behaviour{30 * time.Second, "done"} }
	step := []map[string]any{{"Count": 2, "Cpu": 3900, "MemMb": 14000, "EstimateMs": 30000}}
	if !c.submit("/lohu930/0000000000000001", map[string]any{"Spec": "first", "Steps": step}) {
		return "", errNotAccepted
	}
	if !c.waitFor(15*time.Second, func() bool { return c.fleet.runningTasks("0000000000000001.0.0", 2) == 2 }) {
		return "", errNotStarted
	}
	time.Sleep(5 * time.Second) // calm
	var lost, before int
	if trouble {
		c.store.mu.Lock()
		until := time.Now().Add(300 * time.Millisecond)
		before = c.store.appends
		c.store.late = func() time.Duration {
			if time.Now().After(until) {
				return 0
			}
			lost++
			c.record.add("trouble", "the store does not answer a write, and carries it out 5 s later")
			return 5 * time.Second
		}
		c.store.mu.Unlock()
		time.AfterFunc(window, func() {
			c.store.mu.Lock()
			defer c.store.mu.Unlock()
			c.record.add("trouble", "%d of %d writes of %v were late", lost, c.store.appends-before, window)
		})
	}
	status := c.callWithin(patience, c.daemons[0], http.MethodPost, "/lohu930/"+id, map[string]any{"Spec": "certificate", "Steps": step})
	acknowledged := time.Time{}
	for try := 1; acknowledged.IsZero(); try++ {
		if try > 40 {
			return "", errNotCancelled
		}
		answer, _ := c.call(c.daemons[try%len(c.daemons)], http.MethodDelete, "/lohu930/"+id, nil)
		if answer/100 == 2 || answer == http.StatusGone {
			acknowledged = time.Now()
			c.record.add("client", "the job's cancelling is acknowledged with %d (its submission: %d)", answer, status)
		}
	}
	for time.Since(acknowledged) < 25*time.Second {
		time.Sleep(100 * time.Millisecond)
		c.fleet.mu.Lock()
		running := c.fleet.runningTasks(id+".0.0", 2)
		c.fleet.mu.Unlock()
		if since := time.Since(acknowledged); running > 0 && since > 15*time.Second {
			c.state("/lohu930/" + id)
			return fmt.Sprintf("UNASKED: %d tasks run %.0f s after the job's cancelling was acknowledged", running, since.Seconds()), nil
		}
	}
	return "", nil
}
