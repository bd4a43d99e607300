package cell

import (
	"fmt"
	"net/http"
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
	keyRefusals       *prometheus.CounterVec
	keyLeaseAge       prometheus.Gauge
	keyLeaseHeld      prometheus.Gauge
	logAge            prometheus.Gauge
	historyIncomplete prometheus.Gauge
	isPlacer          prometheus.Gauge
	placerAge         prometheus.Gauge
	waitingSteps      *prometheus.GaugeVec
	oldestWaiting     *prometheus.GaugeVec
	runs              *prometheus.GaugeVec
	workers           *prometheus.GaugeVec
	placeWaits        *prometheus.GaugeVec
	workerCores       *prometheus.GaugeVec
	workerMemory      *prometheus.GaugeVec
	workspaceJobs     *prometheus.CounterVec
	workspaceShare    *prometheus.GaugeVec
	workspaceRuns     *prometheus.GaugeVec
	workspaceCores    *prometheus.GaugeVec
	workspaceSteps    *prometheus.GaugeVec
	workspaceOldest   *prometheus.GaugeVec
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
		keyRefusals:       counter("key_refusals_total", "Calls that were refused for their key, by reason.", "reason"),
		keyLeaseAge:       gauge("key_lease_age_seconds", "Time since the reading was sent that last confirmed the configuration in force.").WithLabelValues(),
		keyLeaseHeld:      gauge("key_lease_held", "1 while calls with a key are accepted.").WithLabelValues(),
		logAge:            gauge("log_age_seconds", "Time since the log was last read to its end.").WithLabelValues(),
		historyIncomplete: gauge("history_incomplete", "1 while this daemon lacks records that expired before it read them, and waits for a snapshot.").WithLabelValues(),
		isPlacer:          gauge("placing", "1 on the daemon that places.").WithLabelValues(),
		placerAge:         gauge("placer_age_seconds", "Time since the newest claim was read.").WithLabelValues(),
		waitingSteps:      gauge("waiting_steps", "Steps with tasks to start, by queue; on the placer.", "queue"),
		oldestWaiting:     gauge("waiting_oldest_seconds", "How long the oldest such step has waited, by queue; on the placer.", "queue"),
		runs:              gauge("runs", "Runs by state; on the placer.", "state"),
		workers:           gauge("workers", "Workers that are known, that may take work, and that are faster or slower than usual; on the placer.", "state"),
		placeWaits:        gauge("steps_waiting_for_place", "Steps that wait for a better place although another one is free; on the placer."),
		workerCores:       gauge("room_cores", "Cores of the workers that may take work; on the placer.", "state"),
		workerMemory:      gauge("room_memory_bytes", "Memory of the workers that may take work; on the placer.", "state"),
		workspaceJobs:     counter("workspace_submissions_total", "Submissions by workspace and outcome: accepted, refused (never executed) or unknown.", "workspace", "outcome"),
		workspaceShare:    gauge("workspace_share", "Share of the workers that a workspace is owed while demand exceeds capacity; on the placer.", "workspace"),
		workspaceRuns:     gauge("workspace_runs", "Runs that count towards the maximum of their workspace; on the placer.", "workspace"),
		workspaceCores:    gauge("workspace_cores", "Cores that a workspace uses, and that it may use at most (0 is no limit); on the placer.", "workspace", "kind"),
		workspaceSteps:    gauge("workspace_steps", "Steps with tasks to start that wait; those of them that wait for the maximum of their workspace; those of jobs beyond its rate; on the placer.", "workspace", "state"),
		workspaceOldest:   gauge("workspace_waiting_oldest_seconds", "How long the oldest such step has waited, by workspace; on the placer.", "workspace"),
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
	m.publishWorkspaces(summary.Workspaces)
	m.runs.Reset()
	for state, count := range summary.Runs {
		m.runs.WithLabelValues(string(state)).Set(float64(count))
	}
	m.workers.WithLabelValues("known").Set(float64(summary.Workers))
	m.workers.WithLabelValues("usable").Set(float64(summary.Usable))
	m.workers.WithLabelValues("fast").Set(float64(summary.Fast))
	m.workers.WithLabelValues("slow").Set(float64(summary.Slow))
	m.placeWaits.WithLabelValues().Set(float64(summary.WaitingForPlace))
	m.workerCores.WithLabelValues("total").Set(float64(summary.Capacity.MilliCores) / 1000)
	m.workerCores.WithLabelValues("free").Set(float64(summary.Free.MilliCores) / 1000)
	m.workerMemory.WithLabelValues("total").Set(float64(summary.Capacity.MemoryMiB) * (1 << 20))
	m.workerMemory.WithLabelValues("free").Set(float64(summary.Free.MemoryMiB) * (1 << 20))
}

// workspaceGauges returns the gauges that have a series for each workspace.
func (m *metrics) workspaceGauges() []*prometheus.GaugeVec {
	return []*prometheus.GaugeVec{m.workspaceShare, m.workspaceRuns, m.workspaceCores, m.workspaceSteps, m.workspaceOldest}
}

// publishWorkspaces sets the gauges of the workspaces of the configuration.
func (m *metrics) publishWorkspaces(uses map[string]placer.WorkspaceUse) {
	for _, g := range m.workspaceGauges() {
		g.Reset()
	}
	for name, use := range uses {
		m.workspaceRuns.WithLabelValues(name).Set(float64(use.Runs))
		m.workspaceCores.WithLabelValues(name, "used").Set(float64(use.Used.MilliCores) / 1000)
		m.workspaceCores.WithLabelValues(name, "maximum").Set(float64(use.Maximum.MilliCores) / 1000)
		m.workspaceSteps.WithLabelValues(name, "waiting").Set(float64(use.WaitingSteps))
		m.workspaceSteps.WithLabelValues(name, "held by maximum").Set(float64(use.HeldSteps))
		m.workspaceSteps.WithLabelValues(name, "beyond rate").Set(float64(use.BeyondRate))
		m.workspaceOldest.WithLabelValues(name).Set(use.LongestWait.Seconds())
	}
}

// publishShares sets the gauges of the shares that the weights of a configuration give.
func (m *metrics) publishShares(c *cluster.Configuration) {
	total := 0.0
	for i := range c.Workspaces {
		total += c.Workspaces[i].Weight
	}
	for i := range c.Workspaces {
		if w := &c.Workspaces[i]; total > 0 {
			m.workspaceShare.WithLabelValues(w.Name).Set(w.Weight / total)
		}
	}
}

// countSubmission records the outcome of a workspace's submission.
func (m *metrics) countSubmission(workspace string, status int) {
	outcome := "unknown"
	switch {
	case status == http.StatusOK:
		outcome = "accepted"
	case status < http.StatusInternalServerError || status == http.StatusServiceUnavailable:
		outcome = "refused"
	}
	m.workspaceJobs.WithLabelValues(workspace, outcome).Inc()
}

// forgetWorkspaces removes the series of workspaces that a configuration no longer has.
func (m *metrics) forgetWorkspaces(former, present *cluster.Configuration) {
	kept := make(map[string]bool, len(present.Workspaces))
	for i := range present.Workspaces {
		kept[present.Workspaces[i].Name] = true
	}
	for i := range former.Workspaces {
		if name := former.Workspaces[i].Name; !kept[name] {
			m.workspaceJobs.DeletePartialMatch(prometheus.Labels{"workspace": name})
			m.workspaceShare.DeleteLabelValues(name)
		}
	}
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
	if age, confirmed := e.keyLease.Age(now); confirmed {
		m.keyLeaseAge.Set(age.Seconds())
	}
	m.keyLeaseHeld.Set(map[bool]float64{true: 1}[e.keyLease.Holds(now)])
	if e.readToEndAt > 0 {
		m.logAge.Set((now - e.readToEndAt).Seconds())
	}
	m.historyIncomplete.Set(map[bool]float64{true: 1}[e.gap != nil])
	if e.state.ClaimedAt > 0 {
		m.placerAge.Set((now - e.state.ClaimedAt).Seconds())
	}
	if e.placer != nil {
		m.isPlacer.Set(1)
		m.publishShares(e.config)
		return
	}
	m.isPlacer.Set(0)
	onlyPlacer := append(m.workspaceGauges(), m.waitingSteps, m.oldestWaiting, m.runs, m.workers, m.placeWaits, m.workerCores, m.workerMemory)
	for _, g := range onlyPlacer {
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
