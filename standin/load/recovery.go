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

const (
	recoveryTimeout    = 30 * time.Second
	probeInterval      = 100 * time.Millisecond
	probeTimeout       = 4 * time.Second
	quietPeriod        = 4 * time.Second // time without a failed or slow probe after which a cell has recovered
	slowProbeThreshold = time.Second     // a probe that waits at least this long counts as slow
	pauseDuration      = 10 * time.Second
	longJobTasks       = 96
)

// recovery is the outcome of the probes after a fault.
type recovery struct {
	byOperation map[string]*probeResult
	recovered   bool // the probes were normal again before the timeout
}

type probeResult struct {
	sent, failed   int
	recoveredAfter time.Duration // time from the fault to the end of the last failed or slow probe
	slowestSuccess time.Duration // longest wait of an answered probe
	lastProblem    string
}

// probeUntilRecovered sends a request of each interactive operation and a job of one task
// at every probeInterval, to the daemons in turn, until no probe has failed or been slow
// for quietPeriod.
func (c *Cell) probeUntilRecovered(daemons []*daemon, faultTime time.Time, timeout time.Duration) recovery {
	var mu sync.Mutex
	var group sync.WaitGroup
	rec := recovery{byOperation: map[string]*probeResult{doorstep: {}, certificate: {}, "job": {}}}
	began := time.Now()
	lastFailure := began
	record := func(operation string, result requestResult) {
		mu.Lock()
		defer mu.Unlock()
		p := rec.byOperation[operation]
		p.sent++
		if result.outcome == outcomeAnswered {
			p.slowestSuccess = max(p.slowestSuccess, result.waitTime())
		} else {
			p.failed++
			p.lastProblem = outcomeNames[result.outcome] + " " + result.problemType
		}
		if result.outcome != outcomeAnswered || result.waitTime() >= slowProbeThreshold {
			p.recoveredAfter = max(p.recoveredAfter, result.sentAt.Add(result.elapsed).Sub(faultTime))
			lastFailure = time.Now()
		}
	}
	for i := 0; time.Since(began) < timeout; i++ {
		d := daemons[i%len(daemons)]
		key := fmt.Sprintf("probe-%d-%d", began.UnixNano(), i)
		group.Go(func() { record(doorstep, c.sendRequest(d, doorstep, key, probeTimeout)) })
		group.Go(func() { record(certificate, c.sendRequest(d, certificate, key, probeTimeout)) })
		group.Go(func() {
			record("job", c.submitJob(d, wire.JobSpec{ID: key, Template: "short", Tasks: 1}, probeTimeout))
		})
		time.Sleep(probeInterval)
		mu.Lock()
		quiet := time.Since(lastFailure)
		mu.Unlock()
		if quiet > quietPeriod && time.Since(began) > quietPeriod+probeTimeout {
			rec.recovered = true
			break
		}
	}
	group.Wait()
	return rec
}

func (rec recovery) report(r *Report, caseName string) {
	for _, operation := range []string{doorstep, certificate, "job"} {
		p := rec.byOperation[operation]
		r.addRow("recovery", caseName, operation, p.lastProblem, seconds("normal after", p.recoveredAfter),
			count("failed probes", p.failed), count("of", p.sent), milliseconds("slowest success", p.slowestSuccess))
	}
	if !rec.recovered {
		r.addTarget("recovered, "+caseName, false, "probes still failed after %s", recoveryTimeout)
	}
}

// measureRecovery measures recovery from a paused daemon, from the loss and replacement of
// another one, and from the loss of a rack, in this order.
func (c *Cell) measureRecovery(r *Report) error {
	if err := c.readJournals(); err != nil {
		return err
	}
	last := len(c.daemons) - 1
	paused, others := c.daemons[last], c.daemons[:last]
	began := time.Now()
	paused.signal(syscall.SIGSTOP)
	resume := time.AfterFunc(pauseDuration, func() { paused.signal(syscall.SIGCONT) })
	c.probeUntilRecovered(others, began, recoveryTimeout).report(r, fmt.Sprintf("daemon paused for %s", pauseDuration))
	if resume.Stop() {
		paused.signal(syscall.SIGCONT)
	}
	// The first daemon is killed because it holds ownership units; the paused one gets none back
	// before the settling time of ownership has passed.
	killed := c.daemons[0]
	began = time.Now()
	killed.kill()
	c.daemons = slices.Clone(c.daemons[1:])
	c.probeUntilRecovered(c.daemons, began, recoveryTimeout).report(r, "daemon killed")
	if err := c.measureReplacement(r, last+1); err != nil {
		return err
	}
	return c.measureRackLoss(r)
}

// measureReplacement starts a new daemon and measures the time until it is ready and
// until it answers a request.
func (c *Cell) measureReplacement(r *Report, number int) error {
	began := time.Now()
	d, err := c.addDaemon(number)
	if err != nil {
		return err
	}
	if _, err := c.awaitReady(d); err != nil {
		return err
	}
	ready := time.Since(began)
	for c.sendRequest(d, doorstep, "", probeTimeout).outcome != outcomeAnswered {
		if time.Since(began) > readyTimeout {
			break
		}
		time.Sleep(probeInterval)
	}
	r.addRow("recovery", "new daemon", "ready", fmt.Sprintf("%d jobs known to the cell", len(c.journal.startsByJob)),
		seconds("ready", ready), seconds("first request answered", time.Since(began)))
	return nil
}

// measureRackLoss kills the workers of the rack that runs the most tasks of a job and
// measures the time until those tasks are started elsewhere.
func (c *Cell) measureRackLoss(r *Report) error {
	const job = "long-1"
	if result := c.submitJob(c.daemons[0], wire.JobSpec{ID: job, Template: "long", Tasks: longJobTasks}, probeTimeout); result.outcome != outcomeAnswered {
		r.addRow("recovery", "rack lost", "tasks", "the job was not accepted: "+result.problemType)
		return nil
	}
	if err := c.awaitStarts(job, longJobTasks); err != nil {
		return err
	}
	rack, affected := c.busiestRack(job)
	startsBefore := len(c.journal.startsByJob[job])
	began := time.Now()
	c.racks[rack].kill()
	go c.probeUntilRecovered(c.daemons, began, quietPeriod)
	lastRestart, firstRestart := time.Duration(0), time.Duration(0)
	for time.Since(began) < 2*recoveryTimeout && len(c.journal.startsByJob[job]) < startsBefore+affected {
		time.Sleep(drainPollInterval)
		if err := c.readJournals(); err != nil {
			return err
		}
	}
	restarts := c.journal.startsByJob[job][startsBefore:]
	for i, s := range restarts {
		if after := s.startedAt.Sub(began); i == 0 || after < firstRestart {
			firstRestart = after
		}
		lastRestart = max(lastRestart, s.startedAt.Sub(began))
	}
	r.addRow("recovery", "rack lost", "tasks", "", count("on the rack", affected), count("started elsewhere", len(restarts)),
		seconds("first after", firstRestart), seconds("last after", lastRestart))
	return c.cancelJob(job)
}

func (c *Cell) cancelJob(job string) error {
	request, err := newDeleteRequest(c.daemons[0].callerURL + "/v1/jobs/" + job)
	if err != nil {
		return err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return err
	}
	return decode(response, "cancel "+job, nil)
}

// awaitStarts waits until the journals show the given number of task starts of a job, for
// at most recoveryTimeout.
func (c *Cell) awaitStarts(job string, tasks int) error {
	for began := time.Now(); len(c.journal.startsByJob[job]) < tasks && time.Since(began) < recoveryTimeout; {
		time.Sleep(drainPollInterval)
		if err := c.readJournals(); err != nil {
			return err
		}
	}
	return nil
}

// busiestRack returns the rack on which the most tasks of a job were started, and their
// number.
func (c *Cell) busiestRack(job string) (rack, tasks int) {
	for i := range c.racks {
		n := 0
		for _, s := range c.journal.startsByJob[job] {
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
