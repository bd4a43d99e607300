package cell

import "github.com/prometheus/client_golang/prometheus"

// counts are the daemon's metrics.
type counts struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
	starts   *prometheus.CounterVec
	batches  prometheus.Counter
}

func newCounts() counts {
	c := counts{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "briarproxy_caller_requests_total", Help: "Requests of callers by method and status.",
		}, []string{"method", "status"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "briarproxy_caller_request_seconds", Help: "Time to answer callers, by method.",
			Buckets: []float64{.005, .02, .05, .1, .2, .5, 1, 2, 3},
		}, []string{"method"}),
		starts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "briarproxy_starts_total", Help: "Orders to start a run, by the worker's answer.",
		}, []string{"result"}),
		batches: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "briarproxy_placer_batches_total", Help: "Batches that the placer appended to the log.",
		}),
	}
	c.registry.MustRegister(c.requests, c.seconds, c.starts, c.batches)
	return c
}
