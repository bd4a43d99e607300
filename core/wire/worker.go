package wire

import "briarproxy/core/resource"

// URL paths of the worker protocol, which is HTTP with JSON bodies.
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

// Kind distinguishes requests, which occupy a slot and return their result in the start
// reply, from tasks, which run in the background and whose end is reported later.
type Kind string

// Kinds of work on a worker.
const (
	KindRequest Kind = "request"
	KindTask    Kind = "task"
)

// Fence raises the lowest epoch whose messages a worker accepts. The worker replies with
// a Report and refuses a lower epoch with RefusedStaleEpoch.
type Fence struct {
	Epoch int64 `json:"epoch"` // log offset of the record that claimed the ownership unit
}

// Start asks a worker to run a request or a task.
type Start struct {
	ID          string          `json:"id"`           // ID of the request or task, the same for all its attempts
	Generation  int64           `json:"generation"`   // increases with each attempt
	Epoch       int64           `json:"epoch"`        // epoch of the rack unit under which the start was decided
	Incarnation int64           `json:"incarnation"`  // worker incarnation that the sender knows
	NotAfterMS  int64           `json:"not_after_ms"` // latest time at which the attempt may start, on the worker's clock
	LeaseMS     int64           `json:"lease_ms"`     // length of the run lease, which the worker counts from the start
	Kind        Kind            `json:"kind"`
	Service     string          `json:"service,omitempty"` // for requests
	Operation   string          `json:"operation"`         // operation to run, as given by the caller or job
	Job         string          `json:"job,omitempty"`     // for tasks
	Resources   resource.Vector `json:"resources"`         // committed on the worker while it runs
	RunMS       int64           `json:"run_ms,omitempty"`  // declared run time of a task
	Loan        int64           `json:"loan,omitempty"`    // loan under which the slot is used, repeated in reports
	Body        []byte          `json:"body,omitempty"`
}

// Refusal is the reason for which a worker refused a message.
type Refusal string

// Reasons for which a worker refuses a message. A refused start has not run and will not
// run, except after RefusedDuplicate.
const (
	RefusedStaleEpoch       Refusal = "stale-epoch"
	RefusedTooLate          Refusal = "too-late"
	RefusedStaleGeneration  Refusal = "stale-generation" // also if the attempt was stopped before its start arrived
	RefusedDuplicate        Refusal = "duplicate"        // this ID and generation was started already
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
	RunStopped      RunState = "stopped" // by a Stop message or an expired lease
)

// Result is the result of an attempt. Digest is the SHA-256 of Body in hex. A receiver
// discards a result whose length or digest does not match.
type Result struct {
	ID         string   `json:"id"`
	Generation int64    `json:"generation"`
	State      RunState `json:"state"`
	Length     int64    `json:"length"` // number of bytes in Body
	Digest     string   `json:"digest"`
	Body       []byte   `json:"body,omitempty"`
	Error      string   `json:"error,omitempty"`
}

// StartReply is the reply to a Start. The reply for a request is sent when the request
// has ended and carries its Result. An accepted start of a task is answered immediately,
// without a Result.
type StartReply struct {
	Refused Refusal `json:"refused,omitempty"`
	Result  *Result `json:"result,omitempty"`
}

// Stop stops an attempt, or prevents its start if the worker does not know it yet. With
// Query set it does not stop a running attempt, but still prevents a later start.
type Stop struct {
	ID         string `json:"id"`
	Generation int64  `json:"generation"` // this and all lower generations
	Epoch      int64  `json:"epoch"`
	Query      bool   `json:"query,omitempty"`
	// Incarnation of the worker to which the attempt was sent, 0 for any. Any other
	// incarnation refuses, because it can't know whether the attempt ran before.
	Incarnation int64 `json:"incarnation,omitempty"`
}

// StopReply is the state of the attempt after a Stop. Result is set if the attempt has
// ended and the worker still keeps its result.
type StopReply struct {
	Refused Refusal  `json:"refused,omitempty"`
	State   RunState `json:"state"`
	Result  *Result  `json:"result,omitempty"`
}

// LeaseRenewal extends the run lease of one attempt.
type LeaseRenewal struct {
	ID         string `json:"id"`
	Generation int64  `json:"generation"`
	LeaseMS    int64  `json:"lease_ms"` // the worker counts it from the receipt
}

// Renew extends a batch of run leases.
type Renew struct {
	Epoch      int64          `json:"epoch"`
	NotAfterMS int64          `json:"not_after_ms"` // on the worker's clock; a renewal that arrives later has no effect
	Leases     []LeaseRenewal `json:"leases"`
}

// RenewReply is the reply to Renew. Gone lists the attempts that are no longer running.
type RenewReply struct {
	Refused Refusal  `json:"refused,omitempty"`
	Gone    []string `json:"gone,omitempty"`
}

// Attempt is one attempt in a worker's report.
type Attempt struct {
	ID         string          `json:"id"`
	Generation int64           `json:"generation"`
	Epoch      int64           `json:"epoch"`
	Kind       Kind            `json:"kind"`
	Job        string          `json:"job,omitempty"`
	Operation  string          `json:"operation,omitempty"`
	Loan       int64           `json:"loan,omitempty"` // as in Start
	State      RunState        `json:"state"`
	Resources  resource.Vector `json:"resources"`
	Usage      resource.Vector `json:"usage"` // measured use, which the platform reports with a lag
	Throttled  bool            `json:"throttled,omitempty"`
	Checkpoint bool            `json:"checkpoint,omitempty"` // a checkpoint of the task is stored
	Result     *Result         `json:"result,omitempty"`
}

// Report lists the attempts on a worker. ClockMS is the worker's boot clock at the time
// of the report; deadlines for the worker are given on that clock.
type Report struct {
	VM          string          `json:"vm"`
	Incarnation int64           `json:"incarnation"`
	ClockMS     int64           `json:"clock_ms"`
	Epoch       int64           `json:"epoch"` // highest epoch received
	Refused     Refusal         `json:"refused,omitempty"`
	Draining    bool            `json:"draining,omitempty"`
	Capacity    resource.Vector `json:"capacity"`
	Attempts    []Attempt       `json:"attempts"`
}

// AttemptID identifies one attempt.
type AttemptID struct {
	ID         string `json:"id"`
	Generation int64  `json:"generation"`
}

// Ack lets the worker drop the results of ended attempts. Without the generation, a
// delayed acknowledgement could drop the result of a later attempt.
type Ack struct {
	Attempts []AttemptID `json:"attempts"`
}

// Throttle limits a running task to a percentage of its cores.
type Throttle struct {
	ID         string `json:"id"`
	Generation int64  `json:"generation"`
	Epoch      int64  `json:"epoch"`
	Percent    int    `json:"percent"` // 1 to 100; 100 removes the limit
}

// Checkpoint asks a worker to store a checkpoint of a running task and then stop it.
type Checkpoint struct {
	ID         string `json:"id"`
	Generation int64  `json:"generation"`
	Epoch      int64  `json:"epoch"`
}
