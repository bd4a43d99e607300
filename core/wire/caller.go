package wire

import "briarproxy/core/resource"

// HTTP headers of the callers' API.
const (
	HeaderDeadlineMS     = "Briar-Deadline-Ms"    // time that the caller waits, in milliseconds
	HeaderClass          = "Briar-Class"          // policy class; the service has a default
	HeaderTeam           = "Briar-Team"           // team that the request is charged to
	HeaderOperation      = "Briar-Operation"      // operation of the service
	HeaderIdempotencyKey = "Idempotency-Key"      // required for non-idempotent operations
	HeaderRequestID      = "Briar-Request-Id"     // set on every response
	HeaderConfigVersion  = "Briar-Config-Version" // configuration version that the request was handled under
	HeaderResultDigest   = "Briar-Result-Sha256"  // SHA-256 digest of the response body, in hex
)

// Outcome says whether a failed request ran.
type Outcome string

// Outcomes that an error reports to the caller.
const (
	OutcomeRan     Outcome = "ran"     // it ran and failed, or its result is no longer available
	OutcomeNotRun  Outcome = "not-run" // it did not run and will not run
	OutcomeUnknown Outcome = "unknown" // it may have run; the caller can retry with the same idempotency key
)

// Problem is the body of an error response, media type application/problem+json (RFC
// 9457).
type Problem struct {
	Type       string  `json:"type"` // stable identifier of the problem type
	Title      string  `json:"title"`
	Status     int     `json:"status"`
	Detail     string  `json:"detail"`
	Outcome    Outcome `json:"outcome"`
	Remedy     string  `json:"remedy"`
	RetryAfter int64   `json:"retry_after_s,omitempty"` // in seconds, also sent as the Retry-After header
	RequestID  string  `json:"request_id,omitempty"`
}

// JobSpec is the body of a submission of a batch or gang job.
type JobSpec struct {
	ID       string `json:"id"`       // chosen by the caller; a resubmission with equal content refers to the same job
	Template string `json:"template"` // name of a published batch or gang job object
	Team     string `json:"team,omitempty"`
	Tasks    int    `json:"tasks,omitempty"` // 0 takes the number from the template
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
	JobRefused   JobState = "refused" // the job can never run; JobStatus.Reason says why
)

// TaskStatus is the status of one task of a job in the callers' API.
type TaskStatus struct {
	ID         string          `json:"id"`
	State      string          `json:"state"` // a state of the state chart for tasks
	Generation int64           `json:"generation"`
	VM         string          `json:"vm,omitempty"`
	Reason     string          `json:"reason,omitempty"` // why it waits or failed
	Resources  resource.Vector `json:"resources"`
}

// JobStatus is the response to a call that gets or waits for a job's status.
type JobStatus struct {
	ID     string       `json:"id"`
	State  JobState     `json:"state"`
	Reason string       `json:"reason,omitempty"`
	Tasks  []TaskStatus `json:"tasks"`
}

// JobResults is the response to a call that gets a job's results.
type JobResults struct {
	ID      string   `json:"id"`
	State   JobState `json:"state"`
	Results []Result `json:"results"`
}
