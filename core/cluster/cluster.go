// Package cluster defines the types that a cell exchanges with its platform, independently of
// the platform's own data formats. An adapter converts between the two; no other package
// depends on the platform's formats.
package cluster

import (
	"time"

	"briarproxy/core/resource"
)

// Advice configures calls to an external advice service, which alone decides which workers may
// run the steps of a queue.
type Advice struct {
	Decide time.Duration // fixed part of the duration of a call
	PerVM  time.Duration // additional duration of a call per worker that it names
	Valid  time.Duration // how long a ticket stays valid
	MaxVMs int           // maximum number of workers that a call may name
}

// Queue accepts the jobs of one host and path prefix and defines how they are run.
type Queue struct {
	Name        string
	Host        string
	PathPrefix  string
	Pool        string
	Priority    int           // 0 is the highest priority
	MaxAttempts int           // number of failed runs of a task at which its job fails
	Slack       float64       // see Objective
	Target      time.Duration // see Objective
	Timeout     time.Duration // time limit for a call from a caller
	Advice      *Advice       // nil means that every worker of the pool may run the queue's steps
	Public      bool          // calls need no key
}

// Objective returns the target time from submission to completion of a job whose longest chain
// of dependent steps takes the given time.
func (q *Queue) Objective(chain time.Duration) time.Duration {
	return time.Duration(q.Slack*float64(chain)) + q.Target
}

// Pool is a set of workers that run the jobs of some queues.
type Pool struct {
	Name             string
	EnforcesCapacity bool // workers refuse tasks that exceed their free capacity
	Standby          bool // VMs are powered off until they are moved to another pool
}

// Limits are the size and time limits for requests of callers.
type Limits struct {
	Headers       int // bytes
	Body          int // bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one published, immutable version of the operator's configuration.
type Configuration struct {
	Version    int64
	Queues     []Queue
	Pools      []Pool
	Workspaces []Workspace // none means that calls need no key
	Limits     Limits
}

// Queue returns the queue with the given name, or nil.
func (c *Configuration) Queue(name string) *Queue {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i]
		}
	}
	return nil
}

// Match returns the queue of the host whose path prefix is the longest that matches the path, or
// nil.
func (c *Configuration) Match(host, path string) *Queue {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host != host || len(path) < len(q.PathPrefix) || path[:len(q.PathPrefix)] != q.PathPrefix {
			continue
		}
		if best == nil || len(q.PathPrefix) > len(best.PathPrefix) {
			best = q
		}
	}
	return best
}

// Life identifies one incarnation of a worker. A restarted worker keeps no state of earlier
// incarnations, even at the same address and under the same name.
type Life struct {
	Worker string `json:"w"`
	Born   int64  `json:"b"` // start time of the worker, Unix ms
}

// Worker is a worker as listed in the platform's registry.
type Worker struct {
	Life
	Address    string
	Pool       string
	DataCentre string
	Rack       string
	Labels     []string // including the rack
	Capacity   resource.Vector
	Draining   bool
	Stays      time.Duration // minimum time that a draining worker stays up after it announced draining; 0 means unknown
}

// HasLabel reports whether the worker has the label.
func (w *Worker) HasLabel(label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// TaskID identifies a task within a step of one occurrence of a job.
type TaskID struct {
	Job        string `json:"j"`
	Occurrence int    `json:"k,omitempty"`
	Step       int    `json:"s,omitempty"`
	Index      int    `json:"i,omitempty"`
}

// StepID identifies a step of one occurrence of a job.
type StepID struct {
	Job        string
	Occurrence int
	Step       int
}

// StepID returns the step of the task.
func (t TaskID) StepID() StepID { return StepID{t.Job, t.Occurrence, t.Step} }

// RunID identifies one run of a task.
type RunID struct {
	TaskID
	Run int `json:"r"`
}

// EndReason is the way in which a run ended.
type EndReason string

// Reasons for the end of a run. The values are stored in the log and must not change.
const (
	Done         EndReason = "done"
	Failed       EndReason = "failed"  // failure of the task or the worker
	Stopped      EndReason = "stopped" // stopped by an order
	LeaseExpired EndReason = "lapsed"  // the worker's lease expired
	GangBroken   EndReason = "broken"  // another member of the gang ended
	GangTimedOut EndReason = "alone"   // the other members of the gang did not start in time
	NeverStarted EndReason = "void"    // the run never began and can no longer begin
	Lost         EndReason = "lost"    // the worker's incarnation ended while the run was on it
	Crashed      EndReason = "crashed" // the worker's incarnation has ended, and the run was the last that it started
	Unanswered   EndReason = "silent"  // as Crashed, but the worker did not answer the start, so the run may never have begun
	// Unreachable: the worker answered nothing after the start until its leases expired. Whether its incarnation has ended
	// is not known.
	Unreachable EndReason = "unreachable"
)

// GivenUp reports whether the placer ended the run without word of its worker.
func (r EndReason) GivenUp() bool {
	return r == LeaseExpired || r == Lost || r == Crashed || r == Unanswered || r == Unreachable
}

// Start is an order to start a run.
type Start struct {
	RunID
	Spec       string
	Checkpoint string
	Ticket     string
	LeaseUntil int64 // end of the lease for all runs on the worker, ms of the worker's clock
	Token      int64 // fencing token
}

// StartResult is the result of an order to start or stop a run.
type StartResult string

// Results of a start order. Only after NoAnswer is it unknown whether the run begins.
const (
	Started             StartResult = "started"
	NoAnswer            StartResult = "no answer"
	RefusedFenced       StartResult = "fenced"       // the worker has seen a newer fencing token
	RefusedStaleRun     StartResult = "old run"      // the run is not newer than one that already ended on the worker
	RefusedLeaseExpired StartResult = "lease passed" // the order arrived after its lease had expired
	RefusedCapacity     StartResult = "no room"
	RefusedTicket       StartResult = "no ticket"  // the ticket is missing or has expired
	RefusedOther        StartResult = "refused"    // the worker is unhealthy or rejected the order; the order had no effect
	RefusedOtherWorker  StartResult = "other life" // another worker, or another incarnation of it, is at the address; the order was not sent or had no effect
	NotSent             StartResult = "not sent"   // the order would have reached the worker after its ticket or lease expired
)

// LeaseRenewal renews the lease of a worker, acknowledges ends of runs and requests the worker's
// lists of running and ended runs.
type LeaseRenewal struct {
	LeaseUntil int64 // ms of the worker's clock; 0 leaves the lease unchanged
	Token      int64
	Confirmed  int64         // ends up to this number are recorded in the log, so the worker may discard them
	Wait       time.Duration // maximum time to wait for a new end
}

// RunReport describes one active run on a worker.
type RunReport struct {
	RunID
	Checkpoint string
	Percent    int // progress of the run
	Load       int // approximate, over the last half second: tail response time in ms for a serving task, used thousandths of a core for any other
}

// EndReport describes one ended run on a worker.
type EndReport struct {
	Number int64 // sequence number of the end within the worker's incarnation
	RunID
	Reason     EndReason
	Checkpoint string
}

// WorkerReport is a worker's response to a LeaseRenewal.
type WorkerReport struct {
	Life    Life
	Renewed bool // the renewal took effect; false if another incarnation than the intended one was only asked for its report
	ClockMS int64
	Running []RunReport
	Ended   []EndReport
}

// Outcomes of a call to the platform or a worker.
const (
	CallAnswered = "answered"
	CallRefused  = "refused" // answered, without any effect
	CallTimedOut = "no answer"
	CallUnsent   = "not sent" // no connection could be made
)

// Call describes one call to the platform or a worker, for the metrics.
type Call struct {
	Dependency    string // "store", "worker" or "advice"
	Outcome       string
	Duration      time.Duration
	SentBytes     int // size of the request body
	ReceivedBytes int
}

// Grant permits a step to run on a worker.
type Grant struct {
	Worker string
	Ticket string
}

// Fence identifies the writer of an append. The log rejects an epoch below the highest one it
// has seen, and answers a repeated sequence number with the result of the first append.
type Fence struct {
	Producer string
	Epoch    int64
	Sequence int64
}

// LogPage is the result of reading a range of a log partition.
type LogPage struct {
	Records [][]byte
	Next    int64 // offset after the last record of the page
	First   int64 // oldest retained offset
	End     int64 // offset of the next append
	Expired bool  // the requested offset is no longer retained
}

// Entry is a keyed value that the log retains until a newer value replaces it.
type Entry struct {
	Key   string
	Value []byte
}
