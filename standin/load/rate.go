package load

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"briarproxy/core/wire"
)

// Sizes of the measurement of task starts.
const (
	tasksPerJob  = 100
	submitTime   = 5 * time.Second
	startsWithin = 60 * time.Second
)

func newDelete(url string) (*http.Request, error) {
	return http.NewRequest(http.MethodDelete, url, nil)
}

// taskStarts submits short tasks at a rate for a time and measures the rate at which
// they start, and how many starts share an append to the log.
func (c *Cell) taskStarts(r *Report, perSecond float64) error {
	if err := c.readJournals(); err != nil {
		return err
	}
	before, err := c.observe()
	if err != nil {
		return err
	}
	tasksBefore := c.starts.tasks
	began := time.Now()
	jobs := int(perSecond * submitTime.Seconds() / tasksPerJob)
	accepted := c.submitMany(fmt.Sprintf("s%d", began.UnixNano()), jobs)
	wanted := tasksBefore + accepted*tasksPerJob
	for c.starts.tasks < wanted && time.Since(began) < startsWithin {
		time.Sleep(100 * time.Millisecond)
		if err := c.readJournals(); err != nil {
			return err
		}
	}
	after, err := c.observe()
	if err != nil {
		return err
	}
	started := c.starts.tasks - tasksBefore
	of := fmt.Sprintf("%.0f/s for %s, %d daemons, %d workers", perSecond, submitTime, len(c.daemons), len(c.vms))
	appends := shardAppends(after) - shardAppends(before)
	lastStart := c.lastStart(began)
	r.add("task starts", of, "", fmt.Sprintf("%d of %d jobs accepted", accepted, jobs),
		count("started", started), seconds("in", lastStart),
		Value{"rate", float64(started) / max(lastStart.Seconds(), 0.001), "/s"},
		Value{"starts per append to a shard", float64(started) / max(float64(appends), 1), ""},
		Value{"bytes appended per start", float64(after.log.AppendedBytes-before.log.AppendedBytes) / max(float64(started), 1), ""},
		count("appends over the log's cap", after.log.AppendsLimited-before.log.AppendsLimited))
	after.subtract(before).report(r, of)
	return nil
}

func (c *Cell) submitMany(name string, jobs int) (accepted int) {
	results := make(chan answer, jobs)
	gap := submitTime / time.Duration(max(jobs, 1))
	for i := range jobs {
		go func() {
			spec := wire.JobSpec{ID: fmt.Sprintf("%s-%d", name, i), Template: "short", Tasks: tasksPerJob}
			results <- c.submit(c.daemons[i%len(c.daemons)], spec, 2*probeTimeout)
		}()
		time.Sleep(gap)
	}
	for range jobs {
		if a := <-results; a.kind == answered {
			accepted++
		}
	}
	return accepted
}

// lastStart returns the time from began to the newest start of a task.
func (c *Cell) lastStart(began time.Time) time.Duration {
	last := time.Duration(0)
	for _, starts := range c.starts.jobs {
		for _, s := range starts {
			last = max(last, s.at.Sub(began))
		}
	}
	return last
}

// shardAppends counts the records of all shard streams.
func shardAppends(o observation) int64 {
	total := int64(0)
	for name, s := range o.log.Streams {
		if strings.HasPrefix(name, "shard") {
			total += s.Next - 1
		}
	}
	return total
}
