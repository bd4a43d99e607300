package metric

import (
	"github.com/prometheus/client_golang/prometheus"

	"briarproxy/daemon/router"
)

// PoolSource gives the state of the queues and slots.
type PoolSource interface {
	Stats() []router.PoolStats
}

var (
	queueDesc = prometheus.NewDesc("briar_queue_entries", "Requests that wait for a slot.", []string{"pool", "class"}, nil)
	slotsDesc = prometheus.NewDesc("briar_slots", "Borrowed slots by state.", []string{"pool", "state"}, nil)
)

// poolCollector reads the queues and slots when it is scraped.
type poolCollector struct {
	source  PoolSource
	pools   *bounded
	classes *bounded
}

// ObservePools registers the queue and slot gauges.
func (m *Metrics) ObservePools(source PoolSource) {
	m.Registry.MustRegister(&poolCollector{source: source, pools: &bounded{limit: maxPools}, classes: &m.classes})
}

// Describe implements prometheus.Collector.
func (c *poolCollector) Describe(out chan<- *prometheus.Desc) {
	out <- queueDesc
	out <- slotsDesc
}

// gauge identifies one time series.
type gauge struct {
	desc  *prometheus.Desc
	pool  string
	label string
}

// Collect implements prometheus.Collector. Values whose labels are replaced by
// otherValue are added up, because a series may be sent once only.
func (c *poolCollector) Collect(out chan<- prometheus.Metric) {
	sums := map[gauge]float64{}
	for _, p := range c.source.Stats() {
		pool := c.pools.value(p.Pool)
		for class, n := range p.Queued {
			sums[gauge{queueDesc, pool, c.classes.value(class)}] += float64(n)
		}
		sums[gauge{slotsDesc, pool, "busy"}] += float64(p.Busy - int64(p.Unsettled))
		sums[gauge{slotsDesc, pool, "unsettled"}] += float64(p.Unsettled)
		sums[gauge{slotsDesc, pool, "free"}] += float64(p.Slots - p.Busy)
	}
	for g, sum := range sums {
		out <- prometheus.MustNewConstMetric(g.desc, prometheus.GaugeValue, sum, g.pool, g.label)
	}
}
