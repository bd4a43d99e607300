package wire

import "briarproxy/core/resource"

// Paths of the worker protocol (HTTP, JSON bodies).
const (
	PathFence      = "/v1/fence"
	PathStart      = "/v1/start"
	PathRenew      = "/v1/renew"
	PathStop       = "/v1/stop"
	PathCheckpoint = "/v1/checkpoint"
	PathThrottle   = "/v1/throttle"
	PathReport     = "/v1/report"
	PathAck        = "/v1/ack"
)

// Kind tells requests, which occupy a slot and answer with a result, from tasks,
// which run on their own and report their end.
type Kind string

// Kinds of work that a worker starts.
const (
	KindRequest Kind = "request"
	KindTask    Kind = "task"
)

// Fence raises the lowest epoch from which a worker accepts messages. The worker
// answers with a Report; it refuses a lower epoch with RefusedStaleEpoch.
type Fence struct {
	Epoch int64 `json:"epoch"` // log offset of the unit's claim record
}

// Start asks a worker to run a request or a task.
type Start struct {
	ID          string          `json:"id"`           // unique for a request or task, the same for all its attempts
	Generation  int64           `json:"generation"`   // rises with each attempt
	Epoch       int64           `json:"epoch"`        // epoch of the rack unit under which the start was decided
	Incarnation int64           `json:"incarnation"`  // the worker's incarnation that the sender knows
	NotAfterMS  int64           `json:"not_after_ms"` // last instant at which it may begin, on the worker's clock
	LeaseMS     int64           `json:"lease_ms"`     // run lease, counted by the worker from the start
	Kind        Kind            `json:"kind"`
	Service     string          `json:"service,omitempty"` // for requests
	Operation   string          `json:"operation"`         // what to run, passed through from the caller or job
	Job         string          `json:"job,omitempty"`     // for tasks
	Resources   resource.Vector `json:"resources"`         // committed on the worker while it runs
	RunMS       int64           `json:"run_ms,omitempty"`  // declared run time of a task
	Loan        int64           `json:"loan,omitempty"`    // loan of the slot, repeated in reports
	Body        []byte          `json:"body,omitempty"`
}

// Refusal is the reason for which a worker did not start something.
type Refusal string

// Reasons of a worker's refusal. After any of them but RefusedDuplicate the attempt
// has not run and will not run.
const (
	RefusedStaleEpoch       Refusal = "stale-epoch"
	RefusedTooLate          Refusal = "too-late"
	RefusedStaleGeneration  Refusal = "stale-generation" // also: stopped before it was seen
	RefusedDuplicate        Refusal = "duplicate"        // this id and generation has run already
	RefusedNoRoom           Refusal = "no-room"
	RefusedDraining         Refusal = "draining"
	RefusedWrongIncarnation Refusal = "wrong-incarnation"
	RefusedMalformed        Refusal = "malformed"
)

// RunState is the state of an attempt on a worker.
type RunState string

// States of an attempt on a worker.
const (
	RunNeverStarted RunState = "never-started" // a later start of this generation is refused
	RunRunning      RunState = "running"
	RunFinished     RunState = "finished"
	RunFailed       RunState = "failed"
	RunStopped      RunState = "stopped" // by a stop or a lapsed lease
)

// Result is the answer of an attempt. Digest is the hex SHA-256 of Body; a
// receiver discards a result whose length or digest does not match.
type Result struct {
	ID         string   `json:"id"`
	Generation int64    `json:"generation"`
	State      RunState `json:"state"`
	Length     int64    `json:"length"` // bytes of Body
	Digest     string   `json:"digest"`
	Body       []byte   `json:"body,omitempty"`
	Error      string   `json:"error,omitempty"`
}

// StartReply answers a Start. For a request, Result is set when it has ended.
// For a task, an accepted start is answered at once without Result.
type StartReply struct {
	Refused Refusal `json:"refused,omitempty"`
	Result  *Result `json:"result,omitempty"`
}

// Stop ends an attempt or forbids one that has not been seen. With Query set it
// does not end a running attempt; an unseen attempt is forbidden in both cases.
type Stop struct {
	ID         string `json:"id"`
	Generation int64  `json:"generation"` // this and all lower generations
	Epoch      int64  `json:"epoch"`
	Query      bool   `json:"query,omitempty"`
	// Incarnation of the worker to which the attempt was sent, 0 for any. Another
	// incarnation refuses, because it can't know whether the attempt ran before.
	Incarnation int64 `json:"incarnation,omitempty"`
}

// StopReply tells what became of the attempt. Result is set when it has ended
// and its result is still kept.
type StopReply struct {
	Refused Refusal  `json:"refused,omitempty"`
	State   RunState `json:"state"`
	Result  *Result  `json:"result,omitempty"`
}

// LeaseRenewal extends the run lease of one attempt.
type LeaseRenewal struct {
	ID         string `json:"id"`
	Generation int64  `json:"generation"`
	LeaseMS    int64  `json:"lease_ms"` // counted by the worker from receipt
}

// Renew extends run leases in a batch.
type Renew struct {
	Epoch      int64          `json:"epoch"`
	NotAfterMS int64          `json:"not_after_ms"` // a renewal that arrives later has no effect
	Leases     []LeaseRenewal `json:"leases"`
}

// RenewReply lists the attempts that were not running any more.
type RenewReply struct {
	Refused Refusal  `json:"refused,omitempty"`
	Gone    []string `json:"gone,omitempty"`
}

// Attempt is one entry of a worker's inventory.
type Attempt struct {
	ID         string          `json:"id"`
	Generation int64           `json:"generation"`
	Epoch      int64           `json:"epoch"`
	Kind       Kind            `json:"kind"`
	Job        string          `json:"job,omitempty"`
	Operation  string          `json:"operation,omitempty"`
	Loan       int64           `json:"loan,omitempty"` // as in the start
	State      RunState        `json:"state"`
	Resources  resource.Vector `json:"resources"`
	Usage      resource.Vector `json:"usage"` // measured, with the platform's lag
	Throttled  bool            `json:"throttled,omitempty"`
	Checkpoint bool            `json:"checkpoint,omitempty"` // a checkpoint is stored
	Result     *Result         `json:"result,omitempty"`
}

// Report is a worker's inventory. ClockMS is the worker's own boot clock at the
// moment of the report; deadlines for the worker are given on that clock.
type Report struct {
	VM          string          `json:"vm"`
	Incarnation int64           `json:"incarnation"`
	ClockMS     int64           `json:"clock_ms"`
	Epoch       int64           `json:"epoch"` // highest epoch seen
	Refused     Refusal         `json:"refused,omitempty"`
	Draining    bool            `json:"draining,omitempty"`
	Capacity    resource.Vector `json:"capacity"`
	Attempts    []Attempt       `json:"attempts"`
}

// AttemptID names one attempt.
type AttemptID struct {
	ID         string `json:"id"`
	Generation int64  `json:"generation"`
}

// Ack lets the worker forget the results of ended attempts. Without the generation
// a late acknowledgement could drop the result of a later attempt.
type Ack struct {
	Attempts []AttemptID `json:"attempts"`
}

// Throttle limits a running task to a share of its cores.
type Throttle struct {
	ID         string `json:"id"`
	Generation int64  `json:"generation"`
	Epoch      int64  `json:"epoch"`
	Percent    int    `json:"percent"` // 1 to 100; 100 ends the throttling
}

// Checkpoint asks a worker to store a checkpoint of a running task and stop it.
type Checkpoint struct {
	ID         string `json:"id"`
	Generation int64  `json:"generation"`
	Epoch      int64  `json:"epoch"`
}
