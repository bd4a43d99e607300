package load

import (
	"fmt"
	"time"

	"briarproxy/standin/logservice"
)

// Budget of the control cost of one daemon (design page, 1.6).
const (
	budgetCore  = 2.9 // % of a core
	budgetRSS   = 32  // MB
	budgetBytes = 9   // KB/s
)

// observation is the use of all daemons, summed, and of the log.
type observation struct {
	at      time.Time
	daemons int
	sum     usage
	maxRSS  int64
	log     logservice.Stats
}

func (c *Cell) observe() (observation, error) {
	o := observation{at: time.Now(), daemons: len(c.daemons)}
	for _, d := range c.daemons {
		u, err := d.usage()
		if err != nil {
			return o, err
		}
		o.sum.cpu += u.cpu
		o.sum.rss += u.rss
		o.sum.sent += u.sent
		o.sum.received += u.received
		o.sum.reads += u.reads
		o.sum.writes += u.writes
		o.maxRSS = max(o.maxRSS, u.rss)
	}
	var err error
	o.log, err = c.logStats()
	return o, err
}

// cost is the use of one daemon, on average.
type cost struct {
	core      float64 // % of a core
	rss       float64 // MB
	maxRSS    float64 // MB
	kilobytes float64 // a second, sent and received
	messages  float64 // writes a second
	appends   float64 // of the whole cell a second
	logRead   float64 // KB/s of records that the log sent, per daemon
}

func (o observation) subtract(before observation) cost {
	elapsed := o.at.Sub(before.at).Seconds()
	each := elapsed * float64(o.daemons)
	return cost{
		core:      100 * (o.sum.cpu - before.sum.cpu).Seconds() / each,
		rss:       float64(o.sum.rss) / float64(o.daemons) / 1e6,
		maxRSS:    float64(o.maxRSS) / 1e6,
		kilobytes: float64(o.sum.sent+o.sum.received-before.sum.sent-before.sum.received) / each / 1e3,
		messages:  float64(o.sum.writes-before.sum.writes) / each,
		appends:   float64(o.log.Appends-before.log.Appends) / elapsed,
		logRead:   float64(o.log.ReadBytes-before.log.ReadBytes) / each / 1e3,
	}
}

func (k cost) report(r *Report, of string) {
	r.add("cost per daemon", of, "", "",
		Value{"core", k.core, "%"}, Value{"RSS", k.rss, "MB"}, Value{"largest", k.maxRSS, "MB"},
		Value{"traffic", k.kilobytes, "KB/s"}, Value{"of it log records", k.logRead, "KB/s"},
		Value{"writes", k.messages, "/s"}, Value{"log appends of the cell", k.appends, "/s"})
}

// idle measures the cost without requests.
func (c *Cell) idle(r *Report, lasting time.Duration) error {
	before, err := c.observe()
	if err != nil {
		return err
	}
	time.Sleep(lasting)
	after, err := c.observe()
	if err != nil {
		return err
	}
	k := after.subtract(before)
	of := fmt.Sprintf("idle, %d daemons, %d workers", len(c.daemons), len(c.vms))
	k.report(r, of)
	r.target("budget per daemon, "+of, k.core <= budgetCore && k.rss <= budgetRSS && k.kilobytes <= budgetBytes,
		"%.2f of %.1f%% of a core, %.1f of %d MB, %.1f of %d KB/s", k.core, budgetCore, k.rss, budgetRSS, k.kilobytes, budgetBytes)
	return nil
}
