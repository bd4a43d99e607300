package demo

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

	"briarproxy/core/wire"
	"briarproxy/standin/worker"
)

// Told is what one answer of a daemon told the caller.
type Told string

// Values of Told.
const (
	ToldAnswered Told = "answered" // 200 with a whole answer
	ToldAccepted Told = "accepted" // 202: logged as a job
	ToldRan      Told = "ran"      // an error that says that the request ran
	ToldNotRun   Told = "not-run"
	ToldUnknown  Told = "unknown"
	ToldBroken   Told = "broken" // no answer, or an incomplete one
)

// Request is one piece of work of a caller. Body must differ between requests,
// because journals identify requests by its digest.
type Request struct {
	Kind       string // row of the summary
	Service    string
	Operation  string
	Team       string
	Key        string // idempotency key, "" for none
	Idempotent bool   // the operation may run again
	Durable    bool   // accepted work must run
	Body       []byte
	Deadline   time.Duration // time after which the caller gives up
	CallWait   time.Duration // time that one call waits; 0: until the deadline
}

// Attempt is one call of a daemon.
type Attempt struct {
	Daemon        string
	RequestID     string // given by the daemon, "" without an answer
	Told          Told
	Status        int
	RetryAfter    time.Duration
	ConfigVersion int64
	Detail        string
}

// Record is a request and what its caller was told.
type Record struct {
	Request
	Digest   string // hex SHA-256 of the body
	Sent     time.Time
	Answered time.Time
	Attempts []Attempt
	Final    Told

	Result       *worker.RequestResult // of ToldAnswered
	ResultDigest string

	JobID      string          // of durable requests and jobs
	Job        *wire.JobStatus // last status read
	JobResults []wire.Result   // of a job that succeeded
	Tasks      int             // of jobs
	Batch      bool            // the tasks of the job need not run together
	Violations []string        // found by the caller itself
}

// NewRecord returns the record of a request that is being sent.
func NewRecord(r Request) *Record {
	return &Record{Request: r, Digest: digest(r.Body), Sent: time.Now()}
}

// RefusedWithTime reports whether the caller was told in the end that the request
// did not run, and when to try again.
func (r *Record) RefusedWithTime() bool {
	return r.Final == ToldNotRun && r.last().RetryAfter > 0
}

func (r *Record) last() Attempt {
	if len(r.Attempts) == 0 {
		return Attempt{}
	}
	return r.Attempts[len(r.Attempts)-1]
}

func digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Ledger collects the records of many callers.
type Ledger struct {
	mu      sync.Mutex
	records []*Record
}

// Add stores the record of a request that has been answered or given up.
func (l *Ledger) Add(r *Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, r)
}

// Records returns the records so far.
func (l *Ledger) Records() []*Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*Record{}, l.records...)
}
