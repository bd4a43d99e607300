package load

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"briarproxy/core/wire"
)

// Times of recovery measurements.
const (
	recoveryTimeout = 30 * time.Second
	probeInterval   = 100 * time.Millisecond
	probeTimeout    = 4 * time.Second
	quietTime       = 4 * time.Second // without a failed or slow probe, after which a cell has recovered
	slowWait        = time.Second     // of a probe that counts as slow
	pauseTime       = 10 * time.Second
	longTasks       = 96
)

// recovery says how a cell did after a fault.
type recovery struct {
	kinds    map[string]*probeResult
	finished bool // before the timeout
}

type probeResult struct {
	sent, bad int
	normal    time.Duration // end of the last probe that failed or waited for slowWait, since the fault
	slowest   time.Duration // wait of an answered probe
	problem   string
}

// probe sends a request of each operation to the daemons at each interval, and a
// job of one task, until none has failed for quietTime.
func (c *Cell) probe(daemons []*daemon, fault time.Time, limit time.Duration) recovery {
	var mu sync.Mutex
	var group sync.WaitGroup
	rec := recovery{kinds: map[string]*probeResult{doorstep: {}, certificate: {}, "job": {}}}
	began := time.Now()
	lastBad := began
	note := func(kind string, a answer) {
		mu.Lock()
		defer mu.Unlock()
		p := rec.kinds[kind]
		p.sent++
		if a.kind == answered {
			p.slowest = max(p.slowest, a.wait())
		} else {
			p.bad++
			p.problem = kindNames[a.kind] + " " + a.problem
		}
		if a.kind != answered || a.wait() >= slowWait {
			p.normal = max(p.normal, a.sent.Add(a.took).Sub(fault))
			lastBad = time.Now()
		}
	}
	for i := 0; time.Since(began) < limit; i++ {
		d := daemons[i%len(daemons)]
		key := fmt.Sprintf("probe-%d-%d", began.UnixNano(), i)
		group.Go(func() { note(doorstep, c.send(d, doorstep, key, probeTimeout)) })
		group.Go(func() { note(certificate, c.send(d, certificate, key, probeTimeout)) })
		group.Go(func() {
			note("job", c.submit(d, wire.JobSpec{ID: key, Template: "short", Tasks: 1}, probeTimeout))
		})
		time.Sleep(probeInterval)
		mu.Lock()
		quiet := time.Since(lastBad)
		mu.Unlock()
		if quiet > quietTime && time.Since(began) > quietTime+probeTimeout {
			rec.finished = true
			break
		}
	}
	group.Wait()
	return rec
}

func (rec recovery) report(r *Report, of string) {
	for _, kind := range []string{doorstep, certificate, "job"} {
		p := rec.kinds[kind]
		r.add("recovery", of, kind, p.problem, seconds("normal after", p.normal),
			count("failed probes", p.bad), count("of", p.sent), milliseconds("slowest success", p.slowest))
	}
	if !rec.finished {
		r.target("recovered, "+of, false, "probes still failed after %s", recoveryTimeout)
	}
}

// recover measures a paused daemon, the loss and replacement of another one, and a
// lost rack, in this order.
func (c *Cell) recover(r *Report) error {
	if err := c.readJournals(); err != nil {
		return err
	}
	last := len(c.daemons) - 1
	paused, others := c.daemons[last], c.daemons[:last]
	began := time.Now()
	paused.signal(syscall.SIGSTOP)
	resume := time.AfterFunc(pauseTime, func() { paused.signal(syscall.SIGCONT) })
	c.probe(others, began, recoveryTimeout).report(r, fmt.Sprintf("daemon paused for %s", pauseTime))
	if resume.Stop() {
		paused.signal(syscall.SIGCONT)
	}
	// The first one is killed because it holds units: the paused one gets none back
	// before the settling time of ownership is over.
	killed := c.daemons[0]
	began = time.Now()
	killed.kill()
	c.daemons = slices.Clone(c.daemons[1:])
	c.probe(c.daemons, began, recoveryTimeout).report(r, "daemon killed")
	if err := c.replace(r, last+1); err != nil {
		return err
	}
	return c.loseRack(r)
}

// replace starts a new daemon and measures when it serves.
func (c *Cell) replace(r *Report, number int) error {
	began := time.Now()
	d, err := c.addDaemon(number)
	if err != nil {
		return err
	}
	if _, err := c.awaitReady(d); err != nil {
		return err
	}
	ready := time.Since(began)
	for c.send(d, doorstep, "", probeTimeout).kind != answered {
		if time.Since(began) > readyTimeout {
			break
		}
		time.Sleep(probeInterval)
	}
	r.add("recovery", "new daemon", "ready", fmt.Sprintf("%d jobs known to the cell", len(c.starts.jobs)),
		seconds("ready", ready), seconds("first request answered", time.Since(began)))
	return nil
}

// loseRack kills the workers of a rack that runs tasks and measures when the tasks
// run elsewhere.
func (c *Cell) loseRack(r *Report) error {
	const job = "long-1"
	if a := c.submit(c.daemons[0], wire.JobSpec{ID: job, Template: "long", Tasks: longTasks}, probeTimeout); a.kind != answered {
		r.add("recovery", "rack lost", "tasks", "the job was not accepted: "+a.problem)
		return nil
	}
	if err := c.awaitStarts(job, longTasks); err != nil {
		return err
	}
	rack, affected := c.busiestRack(job)
	before := len(c.starts.jobs[job])
	began := time.Now()
	c.racks[rack].kill()
	go c.probe(c.daemons, began, quietTime)
	slowest, first := time.Duration(0), time.Duration(0)
	for time.Since(began) < 2*recoveryTimeout && len(c.starts.jobs[job]) < before+affected {
		time.Sleep(drainPoll)
		if err := c.readJournals(); err != nil {
			return err
		}
	}
	again := c.starts.jobs[job][before:]
	for i, s := range again {
		if after := s.at.Sub(began); i == 0 || after < first {
			first = after
		}
		slowest = max(slowest, s.at.Sub(began))
	}
	r.add("recovery", "rack lost", "tasks", "", count("on the rack", affected), count("started elsewhere", len(again)),
		seconds("first after", first), seconds("last after", slowest))
	return c.cancel(job)
}

func (c *Cell) cancel(job string) error {
	request, err := newDelete(c.daemons[0].url + "/v1/jobs/" + job)
	if err != nil {
		return err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return err
	}
	return decode(response, "cancel "+job, nil)
}

// awaitStarts waits until so many tasks of a job have started.
func (c *Cell) awaitStarts(job string, tasks int) error {
	for began := time.Now(); len(c.starts.jobs[job]) < tasks && time.Since(began) < recoveryTimeout; {
		time.Sleep(drainPoll)
		if err := c.readJournals(); err != nil {
			return err
		}
	}
	return nil
}

// busiestRack returns the rack on which most tasks of a job were started.
func (c *Cell) busiestRack(job string) (rack, tasks int) {
	for i := range c.racks {
		n := 0
		for _, s := range c.starts.jobs[job] {
			if strings.HasPrefix(s.vm, fmt.Sprintf("rack-%02d-", i)) {
				n++
			}
		}
		if n > tasks {
			rack, tasks = i, n
		}
	}
	return rack, tasks
}
