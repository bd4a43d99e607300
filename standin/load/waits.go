package load

import (
	"fmt"
	"slices"
	"time"

	"briarproxy/core/wire"
	"briarproxy/standin/logservice"
	"briarproxy/standin/worker"
)

const (
	outageDuration      = 10 * time.Second // shorter than the 60 s after which an outage counts as long
	drainTimeout        = 45 * time.Second
	drainPollInterval   = 500 * time.Millisecond
	failingWorkerStride = 10 // every tenth worker fails its work
	maxP99Ratio         = 1.5
)

// measureWaits measures waiting times at healthyLoads with all workers healthy, at
// failingLoads with a tenth of the workers failing all work, and during a log outage.
func (c *Cell) measureWaits(r *Report, healthyLoads, failingLoads []float64, duration time.Duration) error {
	for _, failing := range []bool{false, true} {
		loads := healthyLoads
		if failing {
			loads = failingLoads
		}
		if len(loads) == 0 {
			continue
		}
		if err := c.setFailing(failing); err != nil {
			return err
		}
		p99 := map[float64]time.Duration{}
		for _, load := range loads {
			caseName := fmt.Sprintf("%.0f%% load", load*100)
			if failing {
				caseName += ", 10% of workers fail"
			}
			urgent, err := c.measureLoad(r, caseName, load, duration)
			if err != nil {
				return err
			}
			p99[load] = urgent
		}
		low, high := p99[loads[0]], p99[loads[len(loads)-1]]
		r.addTarget(fmt.Sprintf("urgent p99 at %.0f%% within 1.5 times that at %.0f%%, failing workers: %t", loads[len(loads)-1]*100, loads[0]*100, failing),
			float64(high) <= maxP99Ratio*float64(low), "%.1f ms against %.1f ms: ratio %.2f", toMilliseconds(high), toMilliseconds(low), float64(high)/float64(max(low, 1)))
	}
	if err := c.setFailing(false); err != nil {
		return err
	}
	if len(healthyLoads) == 0 {
		return nil
	}
	return c.measureLogOutage(r, healthyLoads[0])
}

func toMilliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// setFailing makes every tenth worker fail all work, or none.
func (c *Cell) setFailing(failing bool) error {
	for i, vm := range c.vms {
		if i%failingWorkerStride != 0 {
			continue
		}
		if err := c.post("http://"+vm.Address+"/control/misbehaviour", worker.Misbehaviour{FailAll: failing}); err != nil {
			return err
		}
	}
	return nil
}

// measureLoad measures one load and returns the 99th percentile of the urgent requests'
// waiting times.
func (c *Cell) measureLoad(r *Report, caseName string, load float64, duration time.Duration) (time.Duration, error) {
	before, err := c.observe()
	if err != nil {
		return 0, err
	}
	began := time.Now()
	results := c.generate(fmt.Sprintf("p%d", began.UnixNano()), c.daemons, c.mixedStreams(load), duration)
	after, err := c.observe()
	if err != nil {
		return 0, err
	}
	after.costSince(before).report(r, caseName)
	return c.reportWaits(r, caseName, results)
}

// reportWaits waits for the accepted durable requests to end and adds a row for each
// operation. It returns the 99th percentile of the urgent requests' waiting times.
func (c *Cell) reportWaits(r *Report, caseName string, results []requestResult) (time.Duration, error) {
	drained, lost := c.awaitDurableJobs(results)
	if err := c.readJournals(); err != nil {
		return 0, err
	}
	urgent := time.Duration(0)
	for _, m := range requestMix {
		var waits []time.Duration
		counts := [outcomeCount]int{}
		problems := map[string]int{}
		for _, result := range results {
			if result.operation != m.operation {
				continue
			}
			counts[result.outcome]++
			if result.problemType != "" {
				problems[result.problemType]++
			}
			if result.outcome == outcomeAnswered {
				waits = append(waits, c.waitTime(result))
			}
		}
		values := quantileValues(waits)
		for o := outcomeRefused; o < outcomeCount; o++ {
			if counts[o] > 0 {
				values = append(values, count(outcomeNames[o], counts[o]))
			}
		}
		note := mostFrequent(problems)
		if m.operation == survey {
			values = append(values, count("lost", lost), seconds("drained after", drained))
			r.addTarget("no durable request lost, "+caseName, lost == 0, "%d lost of %d accepted", lost, counts[outcomeAnswered])
		}
		if m.operation == doorstep {
			urgent = quantile(waits, 0.99)
		}
		r.addRow("waiting time", caseName, m.operation, note, values...)
	}
	return urgent, nil
}

// waitTime returns the time until the request ran. For a durable request, this is the time
// until its first start in a worker's journal, or drainTimeout if it has not started.
func (c *Cell) waitTime(result requestResult) time.Duration {
	if result.operation != survey {
		return result.waitTime()
	}
	if starts := c.journal.startsByJob[result.jobID]; len(starts) > 0 {
		first := slices.MinFunc(starts, func(x, y taskStart) int { return x.startedAt.Compare(y.startedAt) })
		return max(0, first.startedAt.Sub(result.sentAt))
	}
	return drainTimeout
}

// mostFrequent returns the most frequent problem; of equally frequent ones, the first by
// name.
func mostFrequent(problems map[string]int) string {
	name, most := "", 0
	for problem, n := range problems {
		if n > most || n == most && problem < name {
			name, most = problem, n
		}
	}
	return name
}

// awaitDurableJobs waits until every accepted durable request has ended, and returns the
// time that this took and the number of lost requests. A request counts as lost if the first
// daemon does not report its end within drainTimeout.
func (c *Cell) awaitDurableJobs(results []requestResult) (time.Duration, int) {
	began := time.Now()
	var open []string
	for _, result := range results {
		if result.operation == survey && result.outcome == outcomeAnswered && result.jobID != "" {
			open = append(open, result.jobID)
		}
	}
	for len(open) > 0 && time.Since(began) < drainTimeout {
		open = slices.DeleteFunc(open, func(id string) bool { return c.jobEnded(id) })
		if len(open) > 0 {
			time.Sleep(drainPollInterval)
		}
	}
	return time.Since(began), len(open)
}

func (c *Cell) jobEnded(job string) bool {
	var status wire.JobStatus
	if err := c.get(c.daemons[0].callerURL+"/v1/jobs/"+job, &status); err != nil {
		return false
	}
	return status.State == wire.JobSucceeded || status.State == wire.JobFailed
}

// measureLogOutage measures a load while the log refuses all calls, and the recovery
// afterwards.
func (c *Cell) measureLogOutage(r *Report, load float64) error {
	if err := c.post(c.logURL+"/control/outage", logservice.Outage{MS: outageDuration.Milliseconds(), Mode: logservice.OutageRefuse}); err != nil {
		return err
	}
	caseName := fmt.Sprintf("log outage of %s, %.0f%% load", outageDuration, load*100)
	began := time.Now()
	results := c.generate(fmt.Sprintf("o%d", began.UnixNano()), c.daemons, c.mixedStreams(load), outageDuration)
	if _, err := c.reportWaits(r, caseName, results); err != nil {
		return err
	}
	recovery := c.probeUntilRecovered(c.daemons, began.Add(outageDuration), recoveryTimeout)
	recovery.report(r, "log outage of "+outageDuration.String())
	return nil
}
