package metric

import (
	"github.com/prometheus/client_golang/prometheus"

	"briarproxy/daemon/router"
)

// PoolSource provides the state of the request queues and worker slots.
type PoolSource interface {
	Stats() []router.PoolStats
}

var (
	queueEntriesDesc = prometheus.NewDesc("briar_queue_entries", "Requests that wait for a slot.", []string{"pool", "class"}, nil)
	slotsDesc        = prometheus.NewDesc("briar_slots", "Borrowed slots by state.", []string{"pool", "state"}, nil)
)

// poolCollector reads the queues and slots on each scrape.
type poolCollector struct {
	source  PoolSource
	pools   *labelLimiter
	classes *labelLimiter
}

// ObservePools registers the gauges for the queues and slots of source.
func (m *Metrics) ObservePools(source PoolSource) {
	m.Registry.MustRegister(&poolCollector{source: source, pools: &labelLimiter{maxValues: maxPoolValues}, classes: &m.classes})
}

// Describe implements prometheus.Collector.
func (c *poolCollector) Describe(out chan<- *prometheus.Desc) {
	out <- queueEntriesDesc
	out <- slotsDesc
}

// seriesKey identifies one time series.
type seriesKey struct {
	desc  *prometheus.Desc
	pool  string
	label string // class or state
}

// Collect implements prometheus.Collector. Values whose labels are replaced by
// overflowValue are summed, because a scrape may contain each series only once.
func (c *poolCollector) Collect(out chan<- prometheus.Metric) {
	sums := map[seriesKey]float64{}
	for _, p := range c.source.Stats() {
		pool := c.pools.admit(p.Pool)
		for class, n := range p.Queued {
			sums[seriesKey{queueEntriesDesc, pool, c.classes.admit(class)}] += float64(n)
		}
		sums[seriesKey{slotsDesc, pool, "busy"}] += float64(p.Busy - int64(p.Unsettled))
		sums[seriesKey{slotsDesc, pool, "unsettled"}] += float64(p.Unsettled)
		sums[seriesKey{slotsDesc, pool, "free"}] += float64(p.Slots - p.Busy)
	}
	for g, sum := range sums {
		out <- prometheus.MustNewConstMetric(g.desc, prometheus.GaugeValue, sum, g.pool, g.label)
	}
}
