package load

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"briarproxy/core/wire"
)

const (
	tasksPerJob    = 100
	submitDuration = 5 * time.Second
	startsTimeout  = 60 * time.Second // for all accepted tasks to start
)

func newDeleteRequest(url string) (*http.Request, error) {
	return http.NewRequest(http.MethodDelete, url, nil)
}

// measureTaskStarts submits tasksPerSecond short tasks a second for submitDuration and measures
// the rate at which they start and the number of starts per append to the log.
func (c *Cell) measureTaskStarts(r *Report, tasksPerSecond float64) error {
	if err := c.readJournals(); err != nil {
		return err
	}
	before, err := c.observe()
	if err != nil {
		return err
	}
	tasksBefore := c.journal.taskStarts
	began := time.Now()
	jobs := int(tasksPerSecond * submitDuration.Seconds() / tasksPerJob)
	accepted := c.submitJobs(fmt.Sprintf("s%d", began.UnixNano()), jobs)
	expected := tasksBefore + accepted*tasksPerJob
	for c.journal.taskStarts < expected && time.Since(began) < startsTimeout {
		time.Sleep(100 * time.Millisecond)
		if err := c.readJournals(); err != nil {
			return err
		}
	}
	after, err := c.observe()
	if err != nil {
		return err
	}
	started := c.journal.taskStarts - tasksBefore
	caseName := fmt.Sprintf("%.0f/s for %s, %d daemons, %d workers", tasksPerSecond, submitDuration, len(c.daemons), len(c.vms))
	appends := shardAppends(after) - shardAppends(before)
	lastStart := c.timeToLastStart(began)
	r.addRow("task starts", caseName, "", fmt.Sprintf("%d of %d jobs accepted", accepted, jobs),
		count("started", started), seconds("in", lastStart),
		Value{"rate", float64(started) / max(lastStart.Seconds(), 0.001), "/s"},
		Value{"starts per append to a shard", float64(started) / max(float64(appends), 1), ""},
		Value{"bytes appended per start", float64(after.logStats.AppendedBytes-before.logStats.AppendedBytes) / max(float64(started), 1), ""},
		count("appends over the log's cap", after.logStats.AppendsLimited-before.logStats.AppendsLimited))
	after.costSince(before).report(r, caseName)
	return nil
}

// submitJobs submits jobs evenly over submitDuration and returns how many were accepted.
func (c *Cell) submitJobs(idPrefix string, jobs int) (accepted int) {
	results := make(chan requestResult, jobs)
	interval := submitDuration / time.Duration(max(jobs, 1))
	for i := range jobs {
		go func() {
			spec := wire.JobSpec{ID: fmt.Sprintf("%s-%d", idPrefix, i), Template: "short", Tasks: tasksPerJob}
			results <- c.submitJob(c.daemons[i%len(c.daemons)], spec, 2*probeTimeout)
		}()
		time.Sleep(interval)
	}
	for range jobs {
		if result := <-results; result.outcome == outcomeAnswered {
			accepted++
		}
	}
	return accepted
}

// timeToLastStart returns the time from began to the latest start of any task.
func (c *Cell) timeToLastStart(began time.Time) time.Duration {
	last := time.Duration(0)
	for _, starts := range c.journal.startsByJob {
		for _, s := range starts {
			last = max(last, s.startedAt.Sub(began))
		}
	}
	return last
}

// shardAppends returns the number of appends to the log streams of all shards.
func shardAppends(o observation) int64 {
	total := int64(0)
	for name, s := range o.logStats.Streams {
		if strings.HasPrefix(name, "shard") {
			total += s.Next - 1
		}
	}
	return total
}
