package wire

import "briarproxy/core/resource"

// Headers of the callers' API.
const (
	HeaderDeadlineMS     = "Briar-Deadline-Ms"    // time the caller waits, ms
	HeaderClass          = "Briar-Class"          // policy class, default from the service
	HeaderTeam           = "Briar-Team"           // team that the request is charged to
	HeaderOperation      = "Briar-Operation"      // operation of the service
	HeaderIdempotencyKey = "Idempotency-Key"      // required for non-idempotent operations
	HeaderRequestID      = "Briar-Request-Id"     // set on every answer
	HeaderConfigVersion  = "Briar-Config-Version" // version that the request was decided under
	HeaderResultDigest   = "Briar-Result-Sha256"  // hex digest of the answer's body
)

// Outcome says whether a request ran.
type Outcome string

// Outcomes that an error tells a caller.
const (
	OutcomeRan     Outcome = "ran"     // it ran and failed, or its result can't be fetched again
	OutcomeNotRun  Outcome = "not-run" // it never ran and never will
	OutcomeUnknown Outcome = "unknown" // it may have run; ask again with the same idempotency key
)

// Problem is the body of an error, media type application/problem+json.
type Problem struct {
	Type       string  `json:"type"` // stable identifier of the kind of problem
	Title      string  `json:"title"`
	Status     int     `json:"status"`
	Detail     string  `json:"detail"`
	Outcome    Outcome `json:"outcome"`
	Remedy     string  `json:"remedy"`
	RetryAfter int64   `json:"retry_after_s,omitempty"` // seconds, also in the Retry-After header
	RequestID  string  `json:"request_id,omitempty"`
}

// JobSpec submits a batch or gang job of a published job object.
type JobSpec struct {
	ID       string `json:"id"`       // chosen by the caller; a repeat with equal content is the same job
	Template string `json:"template"` // name of a published batch or gang job object
	Team     string `json:"team,omitempty"`
	Tasks    int    `json:"tasks,omitempty"` // 0: as in the template
	Body     []byte `json:"body,omitempty"`
}

// JobState is the state of a job.
type JobState string

// States of a job.
const (
	JobPending   JobState = "pending"
	JobRunning   JobState = "running"
	JobSucceeded JobState = "succeeded"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
	JobRefused   JobState = "refused" // it can never run; Reason says why
)

// TaskStatus is one task of a job as callers see it.
type TaskStatus struct {
	ID         string          `json:"id"`
	State      string          `json:"state"` // state of the task chart
	Generation int64           `json:"generation"`
	VM         string          `json:"vm,omitempty"`
	Reason     string          `json:"reason,omitempty"` // why it waits or failed
	Resources  resource.Vector `json:"resources"`
}

// JobStatus answers status and wait calls.
type JobStatus struct {
	ID     string       `json:"id"`
	State  JobState     `json:"state"`
	Reason string       `json:"reason,omitempty"`
	Tasks  []TaskStatus `json:"tasks"`
}

// JobResults answers a results call.
type JobResults struct {
	ID      string   `json:"id"`
	State   JobState `json:"state"`
	Results []Result `json:"results"`
}
