// Package cluster holds what a cell reads from its platform and what it asks of it, in
// briarproxy's own words. An adapter fills these types; nothing else knows how the
// platform spells them.
package cluster

import (
	"time"

	"briarproxy/core/resource"
)

// Advice says that only a service outside the cell knows which workers may run the
// steps of a queue.
type Advice struct {
	Decide time.Duration // fixed part of the time of one call
	PerVM  time.Duration // time of one call for each worker that it names
	Valid  time.Duration // how long a ticket holds
	MaxVMs int           // workers that one call may name
}

// Queue takes the jobs of one host and path prefix and says how they are run.
type Queue struct {
	Name        string
	Host        string
	PathPrefix  string
	Pool        string
	Priority    int // 0 is the most urgent
	MaxAttempts int // failed runs of one task before its job fails
	Slack       float64
	Target      time.Duration // see Objective
	Timeout     time.Duration // of one call of a caller
	Advice      *Advice       // nil: every worker of the pool may run its steps
}

// Objective returns the time from submission in which a job should end whose longest
// chain of work takes the given time.
func (q *Queue) Objective(chain time.Duration) time.Duration {
	return time.Duration(q.Slack*float64(chain)) + q.Target
}

// Pool is a set of workers that run the jobs of some queues.
type Pool struct {
	Name             string
	EnforcesCapacity bool // its workers refuse what does not fit
	Standby          bool // its VMs are off until they are moved to another pool
}

// Limits bound what a caller may send.
type Limits struct {
	Headers       int // bytes
	Body          int // bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one published version of the operator's objects. It never changes.
type Configuration struct {
	Version int64
	Queues  []Queue
	Pools   []Pool
	Limits  Limits
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

// Match returns the queue with the longest prefix of the path on the host, or nil.
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

// Life names one life of a worker. A worker that starts again remembers nothing of its
// former lives, even at the same address and under the same name.
type Life struct {
	Worker string `json:"w"`
	Born   int64  `json:"b"` // Unix time of its start, ms
}

// Worker is a worker as the platform's registry lists it.
type Worker struct {
	Life
	Address    string
	Pool       string
	DataCentre string
	Rack       string
	Labels     []string // with the rack
	Capacity   resource.Vector
	Draining   bool
	Stays      time.Duration // of a draining worker: at least this long after it wrote so; 0 is not said
}

// HasLabel reports whether the worker carries a label.
func (w *Worker) HasLabel(label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// TaskID names a task: a task of a step of one occurrence of a job.
type TaskID struct {
	Job        string `json:"j"`
	Occurrence int    `json:"k,omitempty"`
	Step       int    `json:"s,omitempty"`
	Index      int    `json:"i,omitempty"`
}

// StepID names a step of one occurrence of a job.
type StepID struct {
	Job        string
	Occurrence int
	Step       int
}

// StepID returns the step of the task.
func (t TaskID) StepID() StepID { return StepID{t.Job, t.Occurrence, t.Step} }

// RunID names one run of a task.
type RunID struct {
	TaskID
	Run int `json:"r"`
}

// How says how a run ended.
type How string

// Ends of a run. The values are stored in the log and never change.
const (
	Done    How = "done"
	Failed  How = "failed"  // through its own fault or the worker's
	Stopped How = "stopped" // on an order
	Lapsed  How = "lapsed"  // the worker's lease ended
	Broken  How = "broken"  // another member of its gang ended
	Alone   How = "alone"   // the other members of its gang did not come in time
	Void    How = "void"    // the run never began and can't begin any more
	Lost    How = "lost"    // the worker's life ended with the run on it
)

// Start is an order to start a run.
type Start struct {
	RunID
	Spec       string
	Checkpoint string
	Ticket     string
	LeaseUntil int64 // worker's clock, ms: end of the lease of all that runs on the worker
	Token      int64 // fencing token
}

// StartResult is what a worker said to a start or a stop.
type StartResult string

// Answers to a start. Only NoAnswer leaves open whether the run begins.
const (
	Started      StartResult = "started"
	NoAnswer     StartResult = "no answer"
	RefusedFence StartResult = "fenced"       // a newer owner orders this worker
	RefusedOld   StartResult = "old run"      // the run is not newer than one that ended there
	RefusedLate  StartResult = "lease passed" // the order came after the end of its own lease
	RefusedRoom  StartResult = "no room"
	RefusedPass  StartResult = "no ticket" // the ticket is missing or has expired
	RefusedOther StartResult = "refused"   // the worker is unhealthy or rejects the order; nothing was done
	OtherLife    StartResult = "other life"
	NotSent      StartResult = "not sent" // it would have reached the worker after its ticket or lease
)

// Hold renews the lease of a worker, confirms ends and asks for its lists.
type Hold struct {
	LeaseUntil int64 // worker's clock, ms; 0 leaves the lease as it is
	Token      int64
	Confirmed  int64         // ends up to this number are recorded and may be forgotten
	Wait       time.Duration // how long to wait for a new end
}

// RunReport is one run on a worker.
type RunReport struct {
	RunID
	Checkpoint string
	Percent    int // of the run's work
	Load       int // roughly, over the last half second: tail of response times in ms of a task that serves, thousandths of a core of any other
}

// EndReport is one end on a worker.
type EndReport struct {
	Number int64 // counts the ends of one life of the worker
	RunID
	How        How
	Checkpoint string
}

// Report is a worker's answer to a hold.
type Report struct {
	Life    Life
	ClockMS int64
	Running []RunReport
	Ended   []EndReport
}

// Outcomes of a call to the platform or a worker.
const (
	CallAnswered = "answered"
	CallRefused  = "refused" // answered, and nothing was done
	CallTimedOut = "no answer"
	CallUnsent   = "not sent" // no connection
)

// Call tells of one call to the platform or a worker, for the metrics.
type Call struct {
	Dependency string // "store", "worker" or "advice"
	Outcome    string
	Took       time.Duration
	Sent       int // bytes of the body
	Received   int
}

// Grant allows a step on a worker.
type Grant struct {
	Worker string
	Ticket string
}

// Fence names the writer of an append. The log refuses an epoch lower than one that it
// has seen, and answers a repeat of a sequence number as it answered the first.
type Fence struct {
	Producer string
	Epoch    int64
	Sequence int64
}

// LogPage is a part of a log partition.
type LogPage struct {
	Records [][]byte
	Next    int64 // offset that follows the last record
	First   int64 // oldest offset that is kept
	End     int64 // offset of the next append
	Expired bool  // the offset asked for is no longer kept
}

// Entry is a named value that the log keeps until it is replaced.
type Entry struct {
	Key   string
	Value []byte
}
