package load

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"briarproxy/standin/logservice"
)

// Control-cost budget of one daemon, from section 1.6 of the design page.
const (
	budgetCorePercent        = 2.9
	budgetRSSMB              = 32
	budgetTrafficKBPerSecond = 9
)

// trafficSampleInterval is the time between readings of the connections' counters. What a
// connection carries after its last reading is not counted.
const trafficSampleInterval = time.Second

// observation is a reading of the resource usage of all daemons and of the log's counters.
type observation struct {
	at          time.Time
	daemons     int
	total       usage
	maxRSSBytes int64
	logStats    logservice.Stats
	traffic     traffic
}

func (c *Cell) observe() (observation, error) {
	o := observation{at: time.Now(), daemons: len(c.daemons)}
	if err := c.updateTraffic(); err != nil {
		return o, err
	}
	o.traffic = traffic{bytes: maps.Clone(c.traffic.bytes), segments: maps.Clone(c.traffic.segments)}
	for _, d := range c.daemons {
		u, err := d.usage()
		if err != nil {
			return o, err
		}
		o.total.cpu += u.cpu
		o.total.rssBytes += u.rssBytes
		o.maxRSSBytes = max(o.maxRSSBytes, u.rssBytes)
	}
	var err error
	o.logStats, err = c.logStats()
	return o, err
}

// cost is the resource usage between two observations, per daemon unless noted.
type cost struct {
	corePercent        float64 // CPU time, % of one core
	rssMB              float64
	maxRSSMB           float64            // of the largest daemon
	trafficKBPerSecond map[string]float64 // payload sent and received, by purpose
	controlKBPerSecond float64            // without the traffic of callers
	packetsPerSecond   float64            // segments with payload, without those of callers
	appendsPerSecond   float64            // log appends of the whole cell
}

func (o observation) costSince(before observation) cost {
	elapsed := o.at.Sub(before.at).Seconds()
	daemonSeconds := elapsed * float64(o.daemons)
	result := cost{
		corePercent:        100 * (o.total.cpu - before.total.cpu).Seconds() / daemonSeconds,
		rssMB:              float64(o.total.rssBytes) / float64(o.daemons) / 1e6,
		maxRSSMB:           float64(o.maxRSSBytes) / 1e6,
		trafficKBPerSecond: map[string]float64{},
		appendsPerSecond:   float64(o.logStats.Appends-before.logStats.Appends) / elapsed,
	}
	for purpose, bytes := range o.traffic.bytes {
		rate := float64(bytes-before.traffic.bytes[purpose]) / daemonSeconds / 1e3
		result.trafficKBPerSecond[purpose] = rate
		if purpose != purposeCallers {
			result.controlKBPerSecond += rate
			result.packetsPerSecond += float64(o.traffic.segments[purpose]-before.traffic.segments[purpose]) / daemonSeconds
		}
	}
	return result
}

func (c cost) report(r *Report, caseName string) {
	values := []Value{
		{"core", c.corePercent, "%"}, {"RSS", c.rssMB, "MB"}, {"largest", c.maxRSSMB, "MB"},
		{"traffic without callers", c.controlKBPerSecond, "KB/s"}, {"packets", c.packetsPerSecond, "/s"},
	}
	for _, purpose := range slices.Sorted(maps.Keys(c.trafficKBPerSecond)) {
		values = append(values, Value{purpose, c.trafficKBPerSecond[purpose], "KB/s"})
	}
	r.addRow("cost per daemon", caseName, "", "", append(values, Value{"log appends of the cell", c.appendsPerSecond, "/s"})...)
}

// measureIdle measures the cost of a cell that receives no requests.
func (c *Cell) measureIdle(r *Report, duration time.Duration) error {
	before, err := c.observe()
	if err != nil {
		return err
	}
	for began := time.Now(); time.Since(began) < duration; {
		time.Sleep(trafficSampleInterval)
		if err := c.updateTraffic(); err != nil {
			return err
		}
	}
	after, err := c.observe()
	if err != nil {
		return err
	}
	idle := after.costSince(before)
	caseName := fmt.Sprintf("idle, %d daemons, %d workers", len(c.daemons), len(c.vms))
	idle.report(r, caseName)
	r.addTarget("budget per daemon, "+caseName, idle.corePercent <= budgetCorePercent && idle.rssMB <= budgetRSSMB && idle.controlKBPerSecond <= budgetTrafficKBPerSecond,
		"%.2f of %.1f%% of a core, %.1f of %d MB, %.1f of %d KB/s", idle.corePercent, budgetCorePercent, idle.rssMB, budgetRSSMB, idle.controlKBPerSecond, budgetTrafficKBPerSecond)
	return nil
}
