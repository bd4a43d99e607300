package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"
)

func init() {
	cases["spread-gang"] = spreadGang
	cases["avoided"] = avoided
	cases["dropped-route"] = droppedRoute
	cases["many-ends"] = manyEnds
	cases["crashes"] = crashes
	cases["pending"] = pending
	cases["history"] = history
	cases["crash-loop"] = crashLoop
	cases["fills"] = fills
}

const finish = 14 * time.Second // finish_s

func queue(name, host, prefix, service string, attempts int, advice *Advice) *Route {
	return &Route{Name: name, Host: host, PathPrefix: prefix, Type: "non_idempotent", TimeoutMs: 3000, TargetLatencyMs: 1200, Priority: 1, Service: service, MaxAttempts: attempts, SlackFactor: 2.2, Advice: advice}
}

// begin publishes the first manifest, starts the daemons and waits until one of them places.
func (p *play) begin(routes ...*Route) {
	p.cell.mu.Lock()
	p.cell.publish(routes...)
	p.cell.mu.Unlock()
	for _, d := range p.daemons {
		d.start()
	}
	p.waitReady(20 * time.Second)
	p.leader()
	time.Sleep(2 * time.Second) // the placer polls all workers first
}

// addWorkers adds n workers of the service. Every worker from the given number on is of kind b.
func (p *play) addWorkers(n, kindB int, service string, capacity Size) {
	for i := range n {
		kind := "a"
		if i >= kindB {
			kind = "b"
		}
		p.cell.addWorker(fmt.Sprintf("i-%04x", i), service, capacity, kind, fmt.Sprintf("r%d", i/8))
	}
}

// accept hands a job in, which has to be accepted.
func (p *play) accept(job *Job) {
	if !p.submit(job) {
		fatal("job %s was not accepted", job.ID)
	}
}

// done returns how many tasks of a step have ended done. The caller holds the lock.
func (c *Cell) done(job *Job, step int) int {
	n := 0
	for i := range job.Steps[step].Count {
		if len(c.past(fmt.Sprintf("%s.0.%d.%d", job.ID, step, i)).doneAt) > 0 {
			n++
		}
	}
	return n
}

// waitFor waits until the condition holds, at most for the time, and reports whether it does.
func (p *play) waitFor(limit time.Duration, condition func() bool) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		p.cell.mu.Lock()
		holds := condition()
		p.cell.mu.Unlock()
		if holds {
			return true
		}
	}
	return false
}

// runsOf returns the runs of a step that are on workers now. The caller holds the lock.
func (c *Cell) runsOf(job *Job, step int) []*Run {
	var list []*Run
	for _, runs := range c.running {
		for _, r := range runs {
			if r.task.job == job && r.task.stepNo == step {
				list = append(list, r)
			}
		}
	}
	return list
}

// standing reports whether a task's turn has come, nothing of the job runs, there is room for what
// waits twice over, and under half of the service's capacity is in use. The caller holds the lock.
func (c *Cell) standing(job *Job) (step int, stands bool) {
	used, all := Size{}, Size{}
	for _, w := range c.workers {
		if w.pool != job.queue.Service || !w.up {
			continue
		}
		all = all.plus(w.capacity)
		for _, r := range w.runs {
			used = used.plus(Size{r.task.step.Cpu, r.task.step.MemMb, r.task.step.Gpu})
		}
	}
	for i := range job.Steps {
		s := &job.Steps[i]
		if !s.LongRunning && c.done(job, i) == s.Count || slices.ContainsFunc(s.StartAfter, func(a int) bool { return c.done(job, a) < job.Steps[a].Count }) {
			continue
		}
		if len(c.runsOf(job, i)) > 0 || used.plus(used).Cpu >= all.Cpu || used.plus(used).MemMb >= all.MemMb {
			return i, false
		}
		// Slots that the tasks may use, by label, room and AntiAffinity.
		slots := 0
		for _, w := range c.workers {
			if w.pool != job.queue.Service || !w.up || s.Requirements != "" && !slices.Contains(w.labels, s.Requirements) {
				continue
			}
			free := w.capacity
			for _, r := range w.runs {
				free = Size{free.Cpu - r.task.step.Cpu, free.MemMb - r.task.step.MemMb, free.Gpu - r.task.step.Gpu}
			}
			n := 0
			for size := (Size{s.Cpu, s.MemMb, s.Gpu}); size.within(free) && (s.AntiAffinity == 0 || n < s.AntiAffinity); n++ {
				free = Size{free.Cpu - s.Cpu, free.MemMb - s.MemMb, free.Gpu - s.Gpu}
			}
			slots += n
		}
		return i, slots >= 2*(s.Count-c.done(job, i))
	}
	return -1, false
}

// lost waits until finish_s after the end of the traffic, which is now, asks for the jobs, and watches
// them for ten seconds. It returns a sentence for each job that isn't known or stands still for 3 s.
func (p *play) lost(jobs ...*Job) []string {
	p.rec.line("the traffic has ended")
	time.Sleep(finish)
	var broken []string
	since, reported := map[*Job]time.Time{}, map[*Job]bool{}
	for _, job := range jobs {
		if state := p.state(job); state == "" || state == "410" {
			broken = append(broken, fmt.Sprintf("LOST: accepted job %s is answered %q", job.ID, state))
		}
	}
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		p.cell.mu.Lock()
		for _, job := range jobs {
			step, stands := p.cell.standing(job)
			switch {
			case !stands:
				delete(since, job)
			case since[job].IsZero():
				since[job] = time.Now()
			case time.Since(since[job]) > 3*time.Second && !reported[job]:
				reported[job] = true
				broken = append(broken, fmt.Sprintf("LOST: accepted job %s has nothing running for 3 s, %d of the %d tasks of its step %d are done, the step's turn has come and there is room for the rest twice over", job.ID, p.cell.done(job, step), job.Steps[step].Count, step))
			}
		}
		p.cell.mu.Unlock()
	}
	for _, job := range jobs {
		p.state(job)
	}
	return broken
}

// spreadGang: a gang with AntiAffinity starts in a busy service; when that is idle, the worker of one
// member crashes. The gang has to run again.
func spreadGang(p *play) []string {
	p.addWorkers(8, 8, "huvo11a", Size{8000, 32768, 0})
	r := queue("r-survey", "nony24.example", "/lohu930/", "huvo11a", 4, &Advice{DecideMs: 10, EachMs: 0.2, ValidMs: 1500})
	p.begin(r)
	filler := &Job{ID: jobID(1), Spec: "filler", queue: r, Steps: []Step{{Count: 8, Cpu: 5000, MemMb: 4096, EstimateMs: 6000, AntiAffinity: 1, takes: 6 * time.Second}}}
	gang := &Job{ID: jobID(2), Spec: "survey", queue: r, Steps: []Step{{Count: 3, Cpu: 2000, MemMb: 4096, EstimateMs: 10000, Gang: true, AntiAffinity: 1, takes: 10 * time.Second}}}
	p.accept(filler)
	if !p.waitFor(5*time.Second, func() bool { return len(p.cell.runsOf(filler, 0)) == 8 }) {
		fatal("the filling job does not run")
	}
	p.accept(gang)
	if !p.waitFor(5*time.Second, func() bool { return len(p.cell.runsOf(gang, 0)) == 3 }) {
		fatal("the gang does not start in the busy service")
	}
	if !p.waitFor(10*time.Second, func() bool { return p.cell.done(filler, 0) == 8 }) {
		fatal("the filling job does not end")
	}
	time.Sleep(time.Second)
	if p.trouble {
		p.cell.mu.Lock()
		w := p.cell.runsOf(gang, 0)[0].worker
		p.cell.mu.Unlock()
		w.crash()
		time.AfterFunc(4500*time.Millisecond, w.restart)
	}
	return p.lost(filler, gang)
}

// avoided: the one task of a lasting job fails once on each of the three workers of its service. It must
// be started again however it ends.
func avoided(p *play) []string {
	for i := range 12 {
		service := "huvo11a"
		if i >= 9 {
			service = "bexa27b"
		}
		p.cell.addWorker(fmt.Sprintf("i-%04x", i), service, Size{16000, 65536, 0}, "a", fmt.Sprintf("r%d", i/4))
	}
	big := queue("r-checks", "nony24.example", "/lohu930/", "huvo11a", 4, nil)
	small := queue("r-desk", "nony24.example", "/pule252/", "bexa27b", 4, nil)
	p.begin(big, small)
	lasting := &Job{ID: jobID(1), Spec: "desk", queue: small, Steps: []Step{{Count: 1, Cpu: 2000, MemMb: 4096, LongRunning: true, MayMiss: 1}}}
	if p.trouble {
		lasting.Steps[0].fails, lasting.Steps[0].failsAfter = 3, 2*time.Second
	}
	p.accept(lasting)
	if p.trouble && !p.waitFor(20*time.Second, func() bool { return p.cell.past(lasting.ID+".0.0.0").failed == 3 }) {
		fatal("the task has not failed three times")
	}
	check := &Job{ID: jobID(2), Spec: "check", queue: small, Steps: []Step{{Count: 2, Cpu: 1000, MemMb: 512, EstimateMs: 500, takes: 500 * time.Millisecond}}}
	p.accept(check)
	broken := p.lost(lasting, check)
	p.cell.mu.Lock()
	defer p.cell.mu.Unlock()
	if p.cell.done(check, 0) < 2 {
		fatal("another job of the service does not run either")
	}
	return broken
}

// droppedRoute: a manifest drops a queue with advice while one of its jobs runs, and then the placer's
// process is killed and started again. The job has to go on.
func droppedRoute(p *play) []string {
	p.addWorkers(8, 8, "huvo11a", Size{16000, 65536, 0})
	advice := &Advice{DecideMs: 10, EachMs: 0.2, ValidMs: 1500}
	kept := queue("r-kept", "nony24.example", "/pule252/", "huvo11a", 3, advice)
	dropped := queue("r-dropped", "nony24.example", "/lohu930/", "huvo11a", 3, advice)
	p.begin(kept, dropped)
	job := &Job{ID: jobID(1), Spec: "survey", queue: dropped, Steps: []Step{
		{Count: 2, Cpu: 1000, MemMb: 512, EstimateMs: 12000, takes: 12 * time.Second},
		{Count: 2, Cpu: 1000, MemMb: 512, EstimateMs: 500, StartAfter: []int{0}, takes: 500 * time.Millisecond},
	}}
	p.accept(job)
	time.Sleep(2 * time.Second)
	p.cell.mu.Lock()
	p.cell.publish(kept)
	p.cell.mu.Unlock()
	time.Sleep(4 * time.Second) // more than ConfigApplyMs
	if p.trouble {
		old := p.leader()
		old.kill()
		time.Sleep(3500 * time.Millisecond)
		old.start()
	}
	time.Sleep(2 * time.Second)
	other := &Job{ID: jobID(2), Spec: "check", queue: kept, Steps: []Step{{Count: 2, Cpu: 1000, MemMb: 512, EstimateMs: 500, takes: 500 * time.Millisecond}}}
	p.accept(other)
	p.rec.line("the traffic has ended")
	time.Sleep(5 * time.Second)
	broken := p.lost(other) // no route leads to the other job any more, so that it can't be asked for
	if _, stands := p.cell.standingNow(job); stands {
		time.Sleep(4 * time.Second)
		if step, still := p.cell.standingNow(job); still {
			broken = append(broken, fmt.Sprintf("LOST: accepted job %s has nothing running for 4 s, more than 25 s after its step %d could begin", job.ID, step))
		}
	}
	return broken
}

func (c *Cell) standingNow(job *Job) (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.standing(job)
}

// manyEnds: the placer's process is killed while workers run many small tasks, and more than 500 of
// them end on a worker before the next placer calls it. The job has to go on.
func manyEnds(p *play) []string {
	p.addWorkers(2, 2, "huvo11a", Size{64000, 262144, 0})
	r := queue("r-checks", "nony24.example", "/lohu930/", "huvo11a", 3, nil)
	p.begin(r)
	job := &Job{ID: jobID(1), Spec: "checks", queue: r, Steps: []Step{
		{Count: 1200, Cpu: 100, MemMb: 256, EstimateMs: 5000, takes: 5 * time.Second},
		{Count: 1, Cpu: 100, MemMb: 256, EstimateMs: 500, StartAfter: []int{0}, takes: 500 * time.Millisecond},
	}}
	p.accept(job)
	if !p.waitFor(10*time.Second, func() bool { return len(p.cell.runsOf(job, 0)) == 1200 }) {
		fatal("the tasks do not all run at the same time")
	}
	old := p.leader()
	if !p.waitFor(10*time.Second, func() bool { return p.cell.done(job, 0) > 0 }) {
		fatal("no task ends")
	}
	if p.trouble {
		old.kill()
		time.Sleep(3500 * time.Millisecond)
		old.start()
	}
	return p.lost(job)
}

// crashes: three times, the worker that has just started a job's only task crashes. No run of the
// task ever ends failed, so that the job must not be shown as failed.
func crashes(p *play) []string {
	p.addWorkers(8, 8, "huvo11a", Size{16000, 65536, 0})
	r := queue("r-survey", "nony24.example", "/lohu930/", "huvo11a", 4, &Advice{DecideMs: 10, EachMs: 0.2, ValidMs: 1500})
	p.begin(r)
	left := 3
	p.cell.onStart = func(run *Run) {
		p.cell.mu.Lock()
		hit := p.trouble && left > 0
		if hit {
			left--
		}
		p.cell.mu.Unlock()
		if hit {
			time.Sleep(50 * time.Millisecond)
			run.worker.crash()
			time.AfterFunc(4500*time.Millisecond, run.worker.restart)
		}
	}
	job := &Job{ID: jobID(1), Spec: "survey", queue: r, Steps: []Step{{Count: 1, Cpu: 4000, MemMb: 4096, EstimateMs: 3000, takes: 3 * time.Second}}}
	p.accept(job)
	state := ""
	for until := time.Now().Add(60 * time.Second); time.Now().Before(until) && state != "completed" && state != "failed"; time.Sleep(time.Second) {
		state = p.state(job)
	}
	p.cell.mu.Lock()
	defer p.cell.mu.Unlock()
	if failed := p.cell.past(job.ID + ".0.0.0").failed; state == "failed" && failed == 0 {
		return []string{fmt.Sprintf("LOST: job %s is shown as failed, and none of its runs has ended failed", job.ID)}
	}
	return nil
}

// pending: the only worker with the label that a job needs has gone silent when the job comes, and does
// not return. No task of the job has started, so that it counts as pending.
func pending(p *play) []string {
	p.addWorkers(8, 7, "huvo11a", Size{16000, 65536, 0})
	r := queue("r-cert", "nony24.example", "/lohu930/", "huvo11a", 4, nil)
	p.begin(r)
	if p.trouble {
		p.cell.workers["i-0007"].goDark()
	}
	job := &Job{ID: jobID(1), Spec: "certificate", queue: r, Steps: []Step{{Count: 1, Cpu: 4000, MemMb: 4096, EstimateMs: 800, Requirements: "b", takes: 800 * time.Millisecond}}}
	other := &Job{ID: jobID(2), Spec: "check", queue: r, Steps: []Step{{Count: 1, Cpu: 4000, MemMb: 4096, EstimateMs: 800, takes: 800 * time.Millisecond}}}
	time.Sleep(500 * time.Millisecond)
	p.accept(job)
	p.accept(other)
	accepted := time.Now()
	wrong := map[string]int{}
	for time.Since(accepted) < 20*time.Second {
		time.Sleep(time.Second)
		if time.Since(accepted) < 5500*time.Millisecond {
			continue // visible_ms and 2 s
		}
		for _, d := range p.daemons {
			status, text := call(p.rec, d, http.MethodGet, r, "", nil)
			var body struct{ Pending int }
			if status != http.StatusOK || json.Unmarshal([]byte(text), &body) != nil {
				continue
			}
			p.cell.mu.Lock()
			begun := len(p.cell.past(job.ID+".0.0.0").starts) > 0
			p.cell.mu.Unlock()
			if !begun && body.Pending < 1 {
				wrong[d.name]++
			}
		}
	}
	p.state(job)
	var broken []string
	for name, n := range wrong {
		broken = append(broken, fmt.Sprintf("MIXED: %s gave 0 as Pending %d times, while job %s, accepted over 5 s before, has not begun", name, n, job.ID))
	}
	return broken
}

// fills: tasks that serve are on seven of eight workers, a task that fills on the eighth, which crashes
// and does not return. The seven have room, and the step that fills has to run again.
func fills(p *play) []string {
	p.addWorkers(8, 8, "huvo11a", Size{16000, 65536, 0})
	r := queue("r-desk", "nony24.example", "/lohu930/", "huvo11a", 4, nil)
	p.begin(r)
	serving := &Job{ID: jobID(1), Spec: "desk", queue: r, Steps: []Step{{Count: 7, Cpu: 2000, MemMb: 4096, LongRunning: true, AntiAffinity: 1, MayMiss: 1, Image: "desk", TargetMs: 200}}}
	filling := &Job{ID: jobID(2), Spec: "index", queue: r, Steps: []Step{{Count: 1, Cpu: 2000, MemMb: 4096, EstimateMs: 8000, Fills: true, Image: "index", takes: 8 * time.Second}}}
	p.accept(serving)
	if !p.waitFor(5*time.Second, func() bool { return len(p.cell.runsOf(serving, 0)) == 7 }) {
		fatal("the tasks that serve do not run")
	}
	p.accept(filling)
	if !p.waitFor(5*time.Second, func() bool { return len(p.cell.runsOf(filling, 0)) == 1 }) {
		fatal("the task that fills does not run on the free worker")
	}
	time.Sleep(time.Second)
	if p.trouble {
		p.cell.mu.Lock()
		w := p.cell.runsOf(filling, 0)[0].worker
		p.cell.mu.Unlock()
		w.goDark()
	}
	return p.lost(serving, filling)
}

// crashLoop: the process of the daemon that places is killed again and again, each time sooner after its
// takeover than a placer saves its first snapshot, and for longer than the log keeps records.
func crashLoop(p *play) []string {
	p.addWorkers(8, 8, "huvo11a", Size{16000, 65536, 0})
	r := queue("r-desk", "nony24.example", "/lohu930/", "huvo11a", 4, nil)
	p.begin(r)
	time.Sleep(time.Duration(keepS) * time.Second / 4)
	lasting := &Job{ID: jobID(1), Spec: "desk", queue: r, Steps: []Step{{Count: 1, Cpu: 2000, MemMb: 4096, LongRunning: true, MayMiss: 1}}}
	p.accept(lasting)
	for until := time.Now().Add(time.Duration(keepS+8) * time.Second); time.Now().Before(until); {
		if !p.trouble {
			time.Sleep(time.Second)
			continue
		}
		old := p.leader()
		old.kill()
		time.Sleep(500 * time.Millisecond)
		old.start()
		time.Sleep(2500 * time.Millisecond)
	}
	p.rec.line("the traffic has ended")
	time.Sleep(finish)
	late := p.notReady(time.Second)
	var broken []string
	answered := false
	for _, d := range p.daemons {
		status, _ := call(p.rec, d, http.MethodGet, r, lasting.ID, nil)
		answered = answered || status == http.StatusOK
		if status == http.StatusGone {
			broken = append(broken, fmt.Sprintf("LOST: %s answers 410 for job %s, which was accepted and not cancelled", d.name, lasting.ID))
		}
	}
	if !answered {
		broken = append(broken, fmt.Sprintf("LOST: no daemon gives the state of accepted job %s; not ready after 14 s: %v", lasting.ID, late))
	}
	p.cell.mu.Lock()
	defer p.cell.mu.Unlock()
	if len(p.cell.runsOf(lasting, 0)) == 0 {
		broken = append(broken, fmt.Sprintf("LOST: the task of the lasting job %s was stopped and does not run any more", lasting.ID))
	}
	return broken
}

// history: a scheduled job has run so many times that its part of the snapshot is longer than a record
// of the store may be. Another job is accepted after that. When the log has forgotten its record, the
// daemons are stopped and started in turn.
func history(p *play) []string {
	p.addWorkers(32, 32, "huvo11a", Size{64000, 262144, 0})
	r := queue("r-checks", "nony24.example", "/lohu930/", "huvo11a", 4, nil)
	p.begin(r)
	scheduled := &Job{ID: jobID(1), Spec: "round", queue: r, Repetitions: 1700, FirstRunMs: time.Now().UnixMilli() + 500, IntervalMs: 20, Steps: []Step{
		{Count: 10, Cpu: 200, MemMb: 64, EstimateMs: 300, Checkpointing: true, takes: 300 * time.Millisecond},
	}}
	p.cell.quiet[scheduled.ID] = true
	p.accept(scheduled)
	if !p.waitFor(60*time.Second, func() bool { return p.cell.store.refused() > 0 }) {
		fatal("the store has refused no snapshot")
	}
	lasting := &Job{ID: jobID(2), Spec: "desk", queue: r, Steps: []Step{{Count: 1, Cpu: 2000, MemMb: 4096, LongRunning: true, MayMiss: 1}}}
	p.accept(lasting)
	p.count(scheduled)
	time.Sleep(time.Duration(keepS+3) * time.Second)
	p.count(scheduled)
	if p.trouble {
		for _, d := range p.daemons {
			d.signal(syscall.SIGTERM)
			<-d.exited
			d.start()
			time.Sleep(1300 * time.Millisecond)
		}
	}
	p.rec.line("the traffic has ended")
	time.Sleep(finish)
	late := p.notReady(time.Second)
	var broken []string
	answered := false
	for _, d := range p.daemons {
		status, _ := call(p.rec, d, http.MethodGet, r, lasting.ID, nil)
		answered = answered || status == http.StatusOK
		if status == http.StatusGone {
			broken = append(broken, fmt.Sprintf("LOST: %s answers 410 for job %s, which was accepted and not cancelled", d.name, lasting.ID))
		}
	}
	if !answered {
		broken = append(broken, fmt.Sprintf("LOST: no daemon gives the state of accepted job %s; not ready after 14 s: %v", lasting.ID, late))
	}
	for _, d := range p.daemons {
		call(p.rec, d, http.MethodGet, r, scheduled.ID, nil)
	}
	p.cell.mu.Lock()
	defer p.cell.mu.Unlock()
	if len(p.cell.runsOf(lasting, 0)) == 0 {
		broken = append(broken, fmt.Sprintf("LOST: the task of the lasting job %s was stopped and does not run any more", lasting.ID))
	}
	return broken
}

// count records how far a scheduled job is.
func (p *play) count(job *Job) {
	p.cell.mu.Lock()
	defer p.cell.mu.Unlock()
	n := 0
	for task, past := range p.cell.history {
		if strings.HasPrefix(task, job.ID) && len(past.doneAt) > 0 {
			n++
		}
	}
	p.rec.line("%d tasks of job %s have ended done, %d runs of it are on workers", n, job.ID, len(p.cell.runsOf(job, 0)))
}
