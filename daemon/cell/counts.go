package cell

import (
	"fmt"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"briarproxy/core/cluster"
	"briarproxy/core/placer"
)

// Buckets of the histograms, in seconds. Callers wait up to 3 s for an answer; a job may wait a
// minute for free capacity.
var (
	answerSecondsBuckets = []float64{.005, .02, .05, .1, .2, .5, 1, 2, 3}
	waitSecondsBuckets   = []float64{.05, .1, .2, .5, 1, 2, 5, 10, 30, 60}
)

// metrics are the daemon's metrics. Labels have few values: they name queues, decisions and
// dependencies, never jobs or workers.
type metrics struct {
	registry          *prometheus.Registry
	requests          *prometheus.CounterVec
	requestSeconds    *prometheus.HistogramVec
	rejections        *prometheus.CounterVec
	starts            *prometheus.CounterVec
	ends              *prometheus.CounterVec
	decisions         *prometheus.CounterVec
	firstStartSeconds *prometheus.HistogramVec
	batches           prometheus.Counter
	claims            *prometheus.CounterVec
	calls             *prometheus.CounterVec
	callSeconds       *prometheus.HistogramVec
	callBytes         *prometheus.CounterVec
	readCalls         *prometheus.CounterVec
	readBytes         *prometheus.CounterVec
	configVersion     prometheus.Gauge
	logAge            prometheus.Gauge
	isPlacer          prometheus.Gauge
	placerAge         prometheus.Gauge
	waitingSteps      *prometheus.GaugeVec
	oldestWaiting     *prometheus.GaugeVec
	runs              *prometheus.GaugeVec
	workers           *prometheus.GaugeVec
	workerCores       *prometheus.GaugeVec
	workerMemory      *prometheus.GaugeVec
	wastedCoreSeconds prometheus.Counter
	doorUsed          *prometheus.GaugeVec
	doorLimit         *prometheus.GaugeVec
	doorRefusals      *prometheus.CounterVec
	doorEvictions     *prometheus.CounterVec
}

func newMetrics() metrics {
	registry := prometheus.NewRegistry()
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		v := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "briarproxy_" + name, Help: help}, labels)
		registry.MustRegister(v)
		return v
	}
	histogram := func(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
		v := prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "briarproxy_" + name, Help: help, Buckets: buckets}, labels)
		registry.MustRegister(v)
		return v
	}
	gauge := func(name, help string, labels ...string) *prometheus.GaugeVec {
		v := prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "briarproxy_" + name, Help: help}, labels)
		registry.MustRegister(v)
		return v
	}
	return metrics{
		registry:          registry,
		requests:          counter("caller_requests_total", "Requests of callers by method and status.", "method", "status"),
		requestSeconds:    histogram("caller_request_seconds", "Time to answer callers, by method.", answerSecondsBuckets, "method"),
		rejections:        counter("caller_rejections_total", "Submissions and cancellations that were not carried out, and questions that were not answered, by reason.", "reason"),
		starts:            counter("starts_total", "Orders to start a run, by the worker's answer.", "result"),
		ends:              counter("ends_total", "Ends of runs, by how they ended.", "how"),
		decisions:         counter("placer_decisions_total", "Decisions and changes of belief of the placer.", "decision"),
		firstStartSeconds: histogram("first_start_seconds", "Time from a job's record to the first start that a worker took, by queue.", waitSecondsBuckets, "queue"),
		batches:           counter("placer_batches_total", "Batches that the placer appended to the log.").WithLabelValues(),
		claims:            counter("placer_claims_total", "Claims of this daemon to be the placer, by outcome.", "outcome"),
		calls:             counter("platform_calls_total", "Calls to the platform and its workers, by dependency and outcome.", "dependency", "outcome"),
		callSeconds:       histogram("platform_call_seconds", "Time of answered calls to the platform and its workers, with the wait that the call asks for.", answerSecondsBuckets, "dependency"),
		callBytes:         counter("platform_call_bytes_total", "Bytes of bodies, by dependency and direction.", "dependency", "direction"),
		readCalls:         counter("store_reads_total", "Reads of the store by purpose: to follow the log, to refresh an answer, to probe the path, to restore a snapshot.", "purpose"),
		readBytes:         counter("store_read_bytes_total", "Bytes of records and snapshots that reads of the store brought, by purpose.", "purpose"),
		configVersion:     gauge("config_version", "Version of the configuration in force.").WithLabelValues(),
		logAge:            gauge("log_age_seconds", "Time since the log was last read to its end.").WithLabelValues(),
		isPlacer:          gauge("placing", "1 on the daemon that places.").WithLabelValues(),
		placerAge:         gauge("placer_age_seconds", "Time since the newest claim was read.").WithLabelValues(),
		waitingSteps:      gauge("waiting_steps", "Steps with tasks to start, by queue; on the placer.", "queue"),
		oldestWaiting:     gauge("waiting_oldest_seconds", "How long the oldest such step has waited, by queue; on the placer.", "queue"),
		runs:              gauge("runs", "Runs by state; on the placer.", "state"),
		workers:           gauge("workers", "Workers that are known, and that may take work; on the placer.", "state"),
		workerCores:       gauge("room_cores", "Cores of the workers that may take work; on the placer.", "state"),
		workerMemory:      gauge("room_memory_bytes", "Memory of the workers that may take work; on the placer.", "state"),
		wastedCoreSeconds: counter("thrown_away_core_seconds_total", "Work of runs that ended without being done and without a checkpoint, from their start on.").WithLabelValues(),
		doorUsed:          gauge("door_used", "What strangers hold, by port and by what it is: connections, or bytes of bodies, long headers and messages.", "port", "of"),
		doorLimit:         gauge("door_limit", "What strangers may hold, as door_used.", "port", "of"),
		doorRefusals:      counter("door_refused_total", "Connections and requests of strangers that were refused, by port and reason.", "port", "reason"),
		doorEvictions:     counter("door_evicted_total", "Connections that gave way to others, by port and by what they were used for.", "port", "stage"),
	}
}

// countDecision records a decision of the placer.
func (m *metrics) countDecision(decision *placer.Decision) {
	m.decisions.WithLabelValues(decision.Kind).Inc()
	switch decision.Kind {
	case placer.DecisionRunEnded:
		m.ends.WithLabelValues(decision.Reason).Inc()
		m.wastedCoreSeconds.Add(decision.WastedCoreSeconds)
	case placer.DecisionJobStarted:
		m.firstStartSeconds.WithLabelValues(decision.Reason).Observe(decision.Age.Seconds())
	}
}

// publishSummary sets the gauges of waiting steps, runs, workers and capacity from the placer's summary.
func (m *metrics) publishSummary(summary *placer.Summary) {
	m.waitingSteps.Reset()
	m.oldestWaiting.Reset()
	for queue, waiting := range summary.Waiting {
		m.waitingSteps.WithLabelValues(queue).Set(float64(waiting.Steps))
		m.oldestWaiting.WithLabelValues(queue).Set(waiting.LongestWait.Seconds())
	}
	m.runs.Reset()
	for state, count := range summary.Runs {
		m.runs.WithLabelValues(string(state)).Set(float64(count))
	}
	m.workers.WithLabelValues("known").Set(float64(summary.Workers))
	m.workers.WithLabelValues("usable").Set(float64(summary.Usable))
	m.workerCores.WithLabelValues("total").Set(float64(summary.Capacity.MilliCores) / 1000)
	m.workerCores.WithLabelValues("free").Set(float64(summary.Free.MilliCores) / 1000)
	m.workerMemory.WithLabelValues("total").Set(float64(summary.Capacity.MemoryMiB) * (1 << 20))
	m.workerMemory.WithLabelValues("free").Set(float64(summary.Free.MemoryMiB) * (1 << 20))
}

// countPlatformCall records the outcome, bytes and duration of a call to the platform.
func (m *metrics) countPlatformCall(call cluster.Call) {
	m.calls.WithLabelValues(call.Dependency, call.Outcome).Inc()
	m.callBytes.WithLabelValues(call.Dependency, "sent").Add(float64(call.SentBytes))
	m.callBytes.WithLabelValues(call.Dependency, "received").Add(float64(call.ReceivedBytes))
	if call.Outcome == cluster.CallAnswered {
		m.callSeconds.WithLabelValues(call.Dependency).Observe(call.Duration.Seconds())
	}
}

// publishMetrics sets the gauges of the configuration, the log and the placer. Unless this daemon
// is the placer, it removes the gauges that only the placer reports.
func (e *engine) publishMetrics(now time.Duration) {
	m := &e.metrics
	e.publishDoors()
	if e.config != nil {
		m.configVersion.Set(float64(e.config.Version))
	}
	if e.readToEndAt > 0 {
		m.logAge.Set((now - e.readToEndAt).Seconds())
	}
	if e.state.ClaimedAt > 0 {
		m.placerAge.Set((now - e.state.ClaimedAt).Seconds())
	}
	if e.placer != nil {
		m.isPlacer.Set(1)
		return
	}
	m.isPlacer.Set(0)
	for _, g := range []*prometheus.GaugeVec{m.waitingSteps, m.oldestWaiting, m.runs, m.workers, m.workerCores, m.workerMemory} {
		g.Reset() // another daemon reports them now
	}
}

// publishDoors sets the gauges of the doors, and logs one line if any of them has refused or evicted
// something since the last call.
func (e *engine) publishDoors() {
	var crowded []string
	refused, evicted := 0, 0
	for _, d := range e.doors {
		r := d.report()
		e.metrics.doorUsed.WithLabelValues(d.port, "connections").Set(float64(r.connections))
		e.metrics.doorUsed.WithLabelValues(d.port, "bytes").Set(float64(r.bytes))
		e.metrics.doorLimit.WithLabelValues(d.port, "connections").Set(float64(r.limits.Connections))
		e.metrics.doorLimit.WithLabelValues(d.port, "bytes").Set(float64(r.limits.Bytes))
		if r.refused+r.evicted > 0 {
			crowded = append(crowded, fmt.Sprintf("%s: %d of %d connections, %d of %d bytes", d.port, r.connections, r.limits.Connections, r.bytes, r.limits.Bytes))
			refused, evicted = refused+r.refused, evicted+r.evicted
		}
	}
	if len(crowded) > 0 {
		e.log.Emit(evCrowd, "ports", crowded, "refused", refused, "evicted", evicted)
	}
}
