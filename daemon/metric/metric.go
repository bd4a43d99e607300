package metric

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"briarproxy/core/wire"
)

// Purpose classifies messages between processes by what they are for.
type Purpose string

// Purposes of messages.
const (
	PurposeConfig     Purpose = "config"     // distribution of configuration versions
	PurposeMembership Purpose = "membership" // heartbeats in the log and pings between daemons
	PurposeLoans      Purpose = "loans"      // lending of worker slots and quota between daemons
	PurposeRequests   Purpose = "requests"   // requests and jobs of callers
	PurposeReports    Purpose = "reports"    // reports of workers and of ended tasks
	PurposePlacement  Purpose = "placement"  // reservations, starts and stops of tasks, capacity summaries
	PurposeRecords    Purpose = "records"    // records of the key shards in the log
)

// Scope classifies messages by the distance that they travel.
type Scope string

// Scopes of messages.
const (
	ScopeLocal       Scope = "local" // within the daemon's region
	ScopeCrossRegion Scope = "cross-region"
	ScopePlatform    Scope = "platform" // to the log service, whose region is unknown
	ScopeUnknown     Scope = "unknown"  // the peer is no longer in the membership view
)

// AppendResult is the outcome of an append to the log.
type AppendResult string

// Results of appends.
const (
	AppendConfirmed AppendResult = "confirmed"
	AppendReadBack  AppendResult = "read-back" // the response was lost, and the record was found in the log
	AppendFailed    AppendResult = "failed"
)

// Limits on the number of values per label, which bound the number of time series.
// Further values are counted as overflowValue.
const (
	maxServiceValues = 256
	maxClassValues   = 64
	maxPoolValues    = 64
	maxReasonValues  = 32
	overflowValue    = "other"
)

// waitBucketsSeconds ranges from the wait for a free local slot to the longest usual
// deadline. Urgent work must start within 3.7 s.
var waitBucketsSeconds = []float64{0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 3.7, 5, 10, 30, 60}

// Metrics holds the collectors of one daemon. It implements router.Observer.
type Metrics struct {
	Registry *prometheus.Registry

	requests     *prometheus.CounterVec
	requestWait  *prometheus.HistogramVec
	taskWait     *prometheus.HistogramVec
	retries      *prometheus.CounterVec
	appends      *prometheus.CounterVec
	appendBytes  prometheus.Counter
	messageBytes *prometheus.CounterVec

	services labelLimiter
	classes  labelLimiter
	reasons  labelLimiter
}

// New returns metrics in a new registry, together with the collectors of the Go runtime
// and the process.
func New() *Metrics {
	m := &Metrics{
		Registry: prometheus.NewRegistry(),
		requests: newCounter("briar_requests_total", "Requests answered.", "service", "class", "outcome"),
		requestWait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "briar_request_wait_seconds", Help: "Time from arrival to a slot.", Buckets: waitBucketsSeconds,
		}, []string{"class"}),
		taskWait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "briar_task_wait_seconds", Help: "Time from a job's submission to a task's start.", Buckets: waitBucketsSeconds,
		}, []string{"class"}),
		retries: newCounter("briar_retries_total", "Repeated starts and calls.", "reason"),
		appends: newCounter("briar_log_appends_total", "Appends to the log service.", "stream", "result"),
		appendBytes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "briar_log_append_bytes_total", Help: "Bytes appended to the log service.",
		}),
		messageBytes: newCounter("briar_message_bytes_total", "Bytes of messages between processes.", "purpose", "scope"),
		services:     labelLimiter{maxValues: maxServiceValues},
		classes:      labelLimiter{maxValues: maxClassValues},
		reasons:      labelLimiter{maxValues: maxReasonValues},
	}
	m.Registry.MustRegister(m.requests, m.requestWait, m.taskWait, m.retries, m.appends, m.appendBytes, m.messageBytes,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

func newCounter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

// Answered counts a request that was answered.
func (m *Metrics) Answered(service, class string, outcome wire.Outcome) {
	m.requests.WithLabelValues(m.services.admit(service), m.classes.admit(class), string(outcome)).Inc()
}

// Waited records how long a request waited for a slot.
func (m *Metrics) Waited(class string, wait time.Duration) {
	m.requestWait.WithLabelValues(m.classes.admit(class)).Observe(wait.Seconds())
}

// Retried counts a repeated start or call.
func (m *Metrics) Retried(reason string) {
	m.retries.WithLabelValues(m.reasons.admit(reason)).Inc()
}

// Appended counts an append to the log and its bytes. All shard streams share one label
// value.
func (m *Metrics) Appended(stream string, result AppendResult, bytes int) {
	if stream != wire.StreamConfig && stream != wire.StreamMembers {
		stream = "shard"
	}
	m.appends.WithLabelValues(stream, string(result)).Inc()
	m.appendBytes.Add(float64(bytes))
}

// Transferred counts the bytes of a message that was sent or received.
func (m *Metrics) Transferred(purpose Purpose, scope Scope, bytes int) {
	m.messageBytes.WithLabelValues(string(purpose), string(scope)).Add(float64(bytes))
}

// labelLimiter admits the first maxValues values of a label and replaces all others by
// overflowValue.
type labelLimiter struct {
	maxValues int
	mu        sync.Mutex
	admitted  map[string]bool
}

// admit returns v, or overflowValue if the limit of values is reached.
func (b *labelLimiter) admit(v string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.admitted[v] {
		return v
	}
	if len(b.admitted) >= b.maxValues {
		return overflowValue
	}
	if b.admitted == nil {
		b.admitted = map[string]bool{}
	}
	b.admitted[v] = true
	return v
}

// TaskStarted records the time from the submission of a job to the start of a task.
func (m *Metrics) TaskStarted(class string, waited time.Duration) {
	m.taskWait.WithLabelValues(m.classes.admit(class)).Observe(waited.Seconds())
}
