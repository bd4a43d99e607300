package load

import (
	"fmt"
	"slices"
	"time"

	"briarproxy/core/wire"
	"briarproxy/standin/logservice"
	"briarproxy/standin/worker"
)

// Phases of a measurement of waiting times.
const (
	outageTime   = 10 * time.Second // shorter than the 60 s of a long outage
	drainTimeout = 45 * time.Second
	drainPoll    = 500 * time.Millisecond
	failingShare = 10 // every tenth worker
	targetRatio  = 1.5
)

// waits measures waiting times at healthyLoads with all workers healthy, at failingLoads
// with a tenth of the workers failing everything, and through an outage of the log.
func (c *Cell) waits(r *Report, healthyLoads, failingLoads []float64, lasting time.Duration) error {
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
			of := fmt.Sprintf("%.0f%% load", load*100)
			if failing {
				of += ", 10% of workers fail"
			}
			urgent, err := c.phase(r, of, load, lasting)
			if err != nil {
				return err
			}
			p99[load] = urgent
		}
		low, high := p99[loads[0]], p99[loads[len(loads)-1]]
		r.target(fmt.Sprintf("urgent p99 at %.0f%% within 1.5 times that at %.0f%%, failing workers: %t", loads[len(loads)-1]*100, loads[0]*100, failing),
			float64(high) <= targetRatio*float64(low), "%.1f ms against %.1f ms: ratio %.2f", ms(high), ms(low), float64(high)/float64(max(low, 1)))
	}
	if err := c.setFailing(false); err != nil {
		return err
	}
	if len(healthyLoads) == 0 {
		return nil
	}
	return c.throughOutage(r, healthyLoads[0])
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func (c *Cell) setFailing(failing bool) error {
	for i, vm := range c.vms {
		if i%failingShare != 0 {
			continue
		}
		if err := c.post("http://"+vm.Address+"/control/misbehaviour", worker.Misbehaviour{FailAll: failing}); err != nil {
			return err
		}
	}
	return nil
}

// phase measures one load and returns the urgent requests' p99.
func (c *Cell) phase(r *Report, of string, load float64, lasting time.Duration) (time.Duration, error) {
	before, err := c.observe()
	if err != nil {
		return 0, err
	}
	began := time.Now()
	answers := c.generate(fmt.Sprintf("p%d", began.UnixNano()), c.daemons, c.mixed(load), lasting)
	after, err := c.observe()
	if err != nil {
		return 0, err
	}
	after.subtract(before).report(r, of)
	return c.reportWaits(r, of, answers)
}

// reportWaits adds a row for each class and waits for the durable requests.
func (c *Cell) reportWaits(r *Report, of string, answers []answer) (time.Duration, error) {
	drained, lost := c.drain(answers)
	if err := c.readJournals(); err != nil {
		return 0, err
	}
	urgent := time.Duration(0)
	for _, m := range mix {
		var waits []time.Duration
		counts := [kinds]int{}
		problems := map[string]int{}
		for _, a := range answers {
			if a.operation != m.operation {
				continue
			}
			counts[a.kind]++
			if a.problem != "" {
				problems[a.problem]++
			}
			if a.kind == answered {
				waits = append(waits, c.waitOf(a))
			}
		}
		values := quantiles(waits)
		for k := refused; k < kinds; k++ {
			if counts[k] > 0 {
				values = append(values, count(kindNames[k], counts[k]))
			}
		}
		note := common(problems)
		if m.operation == survey {
			values = append(values, count("lost", lost), seconds("drained after", drained))
			r.target("no durable request lost, "+of, lost == 0, "%d lost of %d accepted", lost, counts[answered])
		}
		if m.operation == doorstep {
			urgent = quantile(waits, 0.99)
		}
		r.add("waiting time", of, m.operation, note, values...)
	}
	return urgent, nil
}

// waitOf is the time until the request ran: for a durable one until its first start
// in a worker's journal.
func (c *Cell) waitOf(a answer) time.Duration {
	if a.operation != survey {
		return a.wait()
	}
	if starts := c.starts.jobs[a.job]; len(starts) > 0 {
		first := slices.MinFunc(starts, func(x, y start) int { return x.at.Compare(y.at) })
		return max(0, first.at.Sub(a.sent))
	}
	return drainTimeout
}

// common returns the most frequent problem.
func common(problems map[string]int) string {
	name, most := "", 0
	for problem, n := range problems {
		if n > most || n == most && problem < name {
			name, most = problem, n
		}
	}
	return name
}

// drain waits until every accepted durable request has ended. Those that are not
// known to any daemon, or have not ended in time, are lost.
func (c *Cell) drain(answers []answer) (time.Duration, int) {
	began := time.Now()
	var open []string
	for _, a := range answers {
		if a.operation == survey && a.kind == answered && a.job != "" {
			open = append(open, a.job)
		}
	}
	for len(open) > 0 && time.Since(began) < drainTimeout {
		open = slices.DeleteFunc(open, func(id string) bool { return c.ended(id) })
		if len(open) > 0 {
			time.Sleep(drainPoll)
		}
	}
	return time.Since(began), len(open)
}

func (c *Cell) ended(job string) bool {
	var status wire.JobStatus
	if err := c.get(c.daemons[0].url+"/v1/jobs/"+job, &status); err != nil {
		return false
	}
	return status.State == wire.JobSucceeded || status.State == wire.JobFailed
}

// throughOutage measures a load while the log refuses everything.
func (c *Cell) throughOutage(r *Report, load float64) error {
	if err := c.post(c.logURL+"/control/outage", logservice.Outage{MS: outageTime.Milliseconds(), Mode: logservice.OutageRefuse}); err != nil {
		return err
	}
	of := fmt.Sprintf("log outage of %s, %.0f%% load", outageTime, load*100)
	began := time.Now()
	answers := c.generate(fmt.Sprintf("o%d", began.UnixNano()), c.daemons, c.mixed(load), outageTime)
	if _, err := c.reportWaits(r, of, answers); err != nil {
		return err
	}
	recovered := c.probe(c.daemons, began.Add(outageTime), recoveryTimeout)
	recovered.report(r, "log outage of "+outageTime.String())
	return nil
}
