package demo

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

	"briarproxy/core/wire"
	"briarproxy/standin/worker"
)

// AttemptOutcome is the outcome of a request according to one answer of a daemon.
type AttemptOutcome string

// Values of AttemptOutcome.
const (
	OutcomeAnswered AttemptOutcome = "answered" // 200 with a complete result
	OutcomeAccepted AttemptOutcome = "accepted" // 202: recorded as a job in the log
	OutcomeRan      AttemptOutcome = "ran"      // an error that states that the request ran
	OutcomeNotRun   AttemptOutcome = "not-run"
	OutcomeUnknown  AttemptOutcome = "unknown"
	OutcomeBroken   AttemptOutcome = "broken" // no answer, or an incomplete one
)

// Request is a request of a caller. Body must differ between requests, because its digest
// identifies the request in the workers' journals.
type Request struct {
	Kind           string // row of the summary
	Service        string
	Operation      string
	Team           string
	Key            string // idempotency key, "" for none
	Idempotent     bool   // the operation may run again
	Durable        bool   // once accepted, it must run
	Body           []byte
	Deadline       time.Duration // time after sending at which the caller gives up
	AttemptTimeout time.Duration // timeout of one call; 0: until the deadline
}

// Attempt is one call to a daemon.
type Attempt struct {
	Daemon        string
	RequestID     string // assigned by the daemon, "" without an answer
	Outcome       AttemptOutcome
	Status        int
	RetryAfter    time.Duration
	ConfigVersion int64
	Detail        string
}

// Record is a request with the answers that its caller received.
type Record struct {
	Request
	BodyDigest   string // hex SHA-256 of the body
	SentAt       time.Time
	AnsweredAt   time.Time
	Attempts     []Attempt
	FinalOutcome AttemptOutcome

	Result       *worker.RequestResult // set if the final outcome is OutcomeAnswered
	ResultDigest string

	JobID            string          // of durable requests and jobs
	Job              *wire.JobStatus // status that was read last
	JobResults       []wire.Result   // of a job that succeeded
	Tasks            int             // number of tasks of a job, 0 for a request
	IndependentTasks bool            // the job's tasks need not run at the same time
	Violations       []string        // violations that the caller found in the answers
}

// NewRecord returns the record of a request that is sent now.
func NewRecord(r Request) *Record {
	return &Record{Request: r, BodyDigest: digest(r.Body), SentAt: time.Now()}
}

// RefusedWithRetryAfter reports whether the last answer said that the request did not run
// and when to retry.
func (r *Record) RefusedWithRetryAfter() bool {
	return r.FinalOutcome == OutcomeNotRun && r.lastAttempt().RetryAfter > 0
}

func (r *Record) lastAttempt() Attempt {
	if len(r.Attempts) == 0 {
		return Attempt{}
	}
	return r.Attempts[len(r.Attempts)-1]
}

func digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Recorder collects the records of concurrent callers.
type Recorder struct {
	mu      sync.Mutex
	records []*Record
}

// Add stores the record of a request that was answered or given up.
func (c *Recorder) Add(r *Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records = append(c.records, r)
}

// Records returns the records stored so far.
func (c *Recorder) Records() []*Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*Record{}, c.records...)
}
