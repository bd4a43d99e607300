package load

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"briarproxy/standin/logservice"
)

// Budget of the control cost of one daemon (design page, 1.6).
const (
	budgetCore  = 2.9 // % of a core
	budgetRSS   = 32  // MB
	budgetBytes = 9   // KB/s
)

// trafficSample is the time between readings of the connections' counters.
const trafficSample = time.Second

// observation is the use of all daemons, summed, and of the log.
type observation struct {
	at      time.Time
	daemons int
	sum     usage
	maxRSS  int64
	log     logservice.Stats
	traffic traffic
}

func (c *Cell) observe() (observation, error) {
	o := observation{at: time.Now(), daemons: len(c.daemons)}
	if err := c.countTraffic(); err != nil {
		return o, err
	}
	o.traffic = traffic{bytes: maps.Clone(c.traffic.bytes), segments: maps.Clone(c.traffic.segments)}
	for _, d := range c.daemons {
		u, err := d.usage()
		if err != nil {
			return o, err
		}
		o.sum.cpu += u.cpu
		o.sum.rss += u.rss
		o.maxRSS = max(o.maxRSS, u.rss)
	}
	var err error
	o.log, err = c.logStats()
	return o, err
}

// cost is the use of one daemon, on average.
type cost struct {
	core    float64            // % of a core
	rss     float64            // MB
	maxRSS  float64            // MB, of the largest
	traffic map[string]float64 // KB/s sent and received, by purpose
	control float64            // KB/s, without callers
	packets float64            // with payload, a second, without callers
	appends float64            // of the whole cell a second
}

func (o observation) subtract(before observation) cost {
	elapsed := o.at.Sub(before.at).Seconds()
	each := elapsed * float64(o.daemons)
	k := cost{
		core:    100 * (o.sum.cpu - before.sum.cpu).Seconds() / each,
		rss:     float64(o.sum.rss) / float64(o.daemons) / 1e6,
		maxRSS:  float64(o.maxRSS) / 1e6,
		traffic: map[string]float64{},
		appends: float64(o.log.Appends-before.log.Appends) / elapsed,
	}
	for purpose, bytes := range o.traffic.bytes {
		rate := float64(bytes-before.traffic.bytes[purpose]) / each / 1e3
		k.traffic[purpose] = rate
		if purpose != toCallers {
			k.control += rate
			k.packets += float64(o.traffic.segments[purpose]-before.traffic.segments[purpose]) / each
		}
	}
	return k
}

func (k cost) report(r *Report, of string) {
	values := []Value{
		{"core", k.core, "%"}, {"RSS", k.rss, "MB"}, {"largest", k.maxRSS, "MB"},
		{"traffic without callers", k.control, "KB/s"}, {"packets", k.packets, "/s"},
	}
	for _, purpose := range slices.Sorted(maps.Keys(k.traffic)) {
		values = append(values, Value{purpose, k.traffic[purpose], "KB/s"})
	}
	r.add("cost per daemon", of, "", "", append(values, Value{"log appends of the cell", k.appends, "/s"})...)
}

// idle measures the cost without requests.
func (c *Cell) idle(r *Report, lasting time.Duration) error {
	before, err := c.observe()
	if err != nil {
		return err
	}
	for began := time.Now(); time.Since(began) < lasting; {
		time.Sleep(trafficSample)
		if err := c.countTraffic(); err != nil {
			return err
		}
	}
	after, err := c.observe()
	if err != nil {
		return err
	}
	k := after.subtract(before)
	of := fmt.Sprintf("idle, %d daemons, %d workers", len(c.daemons), len(c.vms))
	k.report(r, of)
	r.target("budget per daemon, "+of, k.core <= budgetCore && k.rss <= budgetRSS && k.control <= budgetBytes,
		"%.2f of %.1f%% of a core, %.1f of %d MB, %.1f of %d KB/s", k.core, budgetCore, k.rss, budgetRSS, k.control, budgetBytes)
	return nil
}
