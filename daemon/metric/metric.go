package metric

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"briarproxy/core/wire"
)

// Purpose names what a message between processes is for (design page, 3.11).
type Purpose string

// Purposes of messages.
const (
	PurposeConfig     Purpose = "config"
	PurposeMembership Purpose = "membership"
	PurposeLoans      Purpose = "loans"
	PurposeRequests   Purpose = "requests"
	PurposeReports    Purpose = "reports"
	PurposePlacement  Purpose = "placement"
	PurposeRecords    Purpose = "records" // of key shards, in the log
)

// Scope tells how far bytes travel.
type Scope string

// Scopes of messages.
const (
	ScopeLocal       Scope = "local" // within the daemon's region
	ScopeCrossRegion Scope = "cross-region"
	ScopePlatform    Scope = "platform" // to the log service, whose region is not known
	ScopeUnknown     Scope = "unknown"  // the other end has left the view
)

// AppendResult is the result of an append to the log.
type AppendResult string

// Results of appends.
const (
	AppendConfirmed AppendResult = "confirmed"
	AppendReadBack  AppendResult = "read-back" // the answer was lost and the record found
	AppendFailed    AppendResult = "failed"
)

// Limits on the number of values per label; further values are counted as
// otherValue.
const (
	maxServices = 256
	maxClasses  = 64
	maxPools    = 64
	maxReasons  = 32
	otherValue  = "other"
)

// waitBuckets cover waits from a local slot to the longest usual deadline, in
// seconds. 3.7 s is the limit for urgent work.
var waitBuckets = []float64{0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 3.7, 5, 10, 30, 60}

// Metrics holds the collectors of one daemon. It is a router.Observer.
type Metrics struct {
	Registry *prometheus.Registry

	requests *prometheus.CounterVec
	wait     *prometheus.HistogramVec
	taskWait *prometheus.HistogramVec
	retries  *prometheus.CounterVec
	appends  *prometheus.CounterVec
	appended prometheus.Counter
	bytes    *prometheus.CounterVec

	services bounded
	classes  bounded
	reasons  bounded
}

// New returns collectors in a registry of their own, with those of the Go runtime
// and the process.
func New() *Metrics {
	m := &Metrics{
		Registry: prometheus.NewRegistry(),
		requests: counter("briar_requests_total", "Requests answered.", "service", "class", "outcome"),
		wait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "briar_request_wait_seconds", Help: "Time from arrival to a slot.", Buckets: waitBuckets,
		}, []string{"class"}),
		taskWait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "briar_task_wait_seconds", Help: "Time from a job's submission to a task's start.", Buckets: waitBuckets,
		}, []string{"class"}),
		retries: counter("briar_retries_total", "Repeated starts and calls.", "reason"),
		appends: counter("briar_log_appends_total", "Appends to the log service.", "stream", "result"),
		appended: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "briar_log_append_bytes_total", Help: "Bytes appended to the log service.",
		}),
		bytes:    counter("briar_message_bytes_total", "Bytes of messages between processes.", "purpose", "scope"),
		services: bounded{limit: maxServices},
		classes:  bounded{limit: maxClasses},
		reasons:  bounded{limit: maxReasons},
	}
	m.Registry.MustRegister(m.requests, m.wait, m.taskWait, m.retries, m.appends, m.appended, m.bytes,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

// Answered counts the answer to a request.
func (m *Metrics) Answered(service, class string, outcome wire.Outcome) {
	m.requests.WithLabelValues(m.services.value(service), m.classes.value(class), string(outcome)).Inc()
}

// Waited records the time that a request waited for a slot.
func (m *Metrics) Waited(class string, wait time.Duration) {
	m.wait.WithLabelValues(m.classes.value(class)).Observe(wait.Seconds())
}

// Retried counts a repeated start or call.
func (m *Metrics) Retried(reason string) {
	m.retries.WithLabelValues(m.reasons.value(reason)).Inc()
}

// Appended counts an append to the log. Shard streams are counted together.
func (m *Metrics) Appended(stream string, result AppendResult, bytes int) {
	if stream != wire.StreamConfig && stream != wire.StreamMembers {
		stream = "shard"
	}
	m.appends.WithLabelValues(stream, string(result)).Inc()
	m.appended.Add(float64(bytes))
}

// Transferred counts the bytes of a message, sent or received.
func (m *Metrics) Transferred(purpose Purpose, scope Scope, bytes int) {
	m.bytes.WithLabelValues(string(purpose), string(scope)).Add(float64(bytes))
}

// bounded admits the first values of a label and replaces the others.
type bounded struct {
	limit int
	mu    sync.Mutex
	seen  map[string]bool
}

func (b *bounded) value(v string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.seen[v] {
		return v
	}
	if len(b.seen) >= b.limit {
		return otherValue
	}
	if b.seen == nil {
		b.seen = map[string]bool{}
	}
	b.seen[v] = true
	return v
}

// TaskStarted records the time from the submission of a job to the start of a task.
func (m *Metrics) TaskStarted(class string, waited time.Duration) {
	m.taskWait.WithLabelValues(m.classes.value(class)).Observe(waited.Seconds())
}
