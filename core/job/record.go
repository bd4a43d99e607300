package job

import (
	"briarproxy/core/chart"
	"briarproxy/core/fault"
	"briarproxy/core/resource"
	"briarproxy/core/wire"
)

// Definition is what a job needs to run, resolved from its template when it was
// submitted, so that a later configuration does not change a job that waits.
type Definition struct {
	Pool        string          `json:"pool"`
	Class       string          `json:"class"` // name of the policy
	Team        string          `json:"team"`
	Priority    int             `json:"priority"`
	DeadlineMS  int64           `json:"deadline_ms"` // from submission to start
	Operation   string          `json:"operation"`
	Service     string          `json:"service,omitempty"` // for durable requests
	Resources   resource.Vector `json:"resources"`         // per task
	RunMS       int64           `json:"run_ms"`
	MaxAttempts int             `json:"max_attempts"`           // failed runs of one task before it fails
	AtMostOnce  bool            `json:"at_most_once,omitempty"` // never started again once it may have run
	Gang        bool            `json:"gang,omitempty"`
	MinRacks    int             `json:"min_racks,omitempty"`
	SpreadRacks bool            `json:"spread_racks,omitempty"`
	Preemptible bool            `json:"preemptible,omitempty"`
	CanPreempt  bool            `json:"can_preempt,omitempty"`
	Checkpoint  bool            `json:"checkpoint,omitempty"`
}

// Submit is the record that accepts a job.
type Submit struct {
	ID         string     `json:"id"`
	Template   string     `json:"template"`
	SpecDigest string     `json:"spec_digest"` // tells a repeat from another job of the same id
	Definition Definition `json:"definition"`
	Tasks      int        `json:"tasks"`
	Body       []byte     `json:"body,omitempty"`
	AtMS       int64      `json:"at_ms"` // Unix time, ms
}

// Intent is the record that precedes every start.
type Intent struct {
	Job        string `json:"job"`
	Index      int    `json:"index"`
	Generation int64  `json:"generation"`
	Place
}

// Place is the VM to which an attempt is sent.
type Place struct {
	VM          string `json:"vm,omitempty"`
	Incarnation int64  `json:"incarnation,omitempty"` // of the worker on the VM
}

// Ended is the record of an attempt's end.
type Ended struct {
	Job        string        `json:"job"`
	Index      int           `json:"index"`
	Generation int64         `json:"generation"`
	State      wire.RunState `json:"state"`
	Result     *wire.Result  `json:"result,omitempty"`
	AtMS       int64         `json:"at_ms"` // Unix time, ms
}

// Cancel is the record that cancels a job.
type Cancel struct {
	Job  string `json:"job"`
	AtMS int64  `json:"at_ms"` // Unix time, ms
}

// Record is one entry of a shard's stream. Exactly one field is set.
type Record struct {
	Submit *Submit `json:"submit,omitempty"`
	Intent *Intent `json:"intent,omitempty"`
	Ended  *Ended  `json:"ended,omitempty"`
	Cancel *Cancel `json:"cancel,omitempty"`
	Job    *Job    `json:"job,omitempty"` // a whole job, re-appended before its records expire
}

// Task is one task of a job.
type Task struct {
	Phase      Phase `json:"phase"`
	Generation int64 `json:"generation"` // of the newest attempt
	Place
	Failures int          `json:"failures,omitempty"`
	FailedOn []string     `json:"failed_on,omitempty"` // VMs on which it failed
	Result   *wire.Result `json:"result,omitempty"`
	Reason   string       `json:"reason,omitempty"` // why it waits or failed
}

// Job is a job with its tasks.
type Job struct {
	Submit
	Tasks      []Task `json:"task_states"`
	Cancelled  bool   `json:"cancelled,omitempty"`
	FinishedMS int64  `json:"finished_ms,omitempty"` // Unix time, ms; 0 while it has open tasks
	open       int    // tasks that are not final
	seq        int64  // order of submission
	tries      int    // failed reservations in a row
	aborting   bool   // a gang attempt is being taken back
}

// MaxTasks bounds the tasks of one job.
const MaxTasks = 100_000

// Check refuses a record that no release of this code writes. Applying one could
// stop every owner of the shard, one after the other.
func (r Record) Check() error {
	const remedy = "check for daemons of another release"
	switch {
	case r.Submit != nil && (r.Submit.ID == "" || r.Submit.Tasks < 1 || r.Submit.Tasks > MaxTasks):
		return fault.New(fault.Invalid, remedy, "submission of job %q with %d tasks", r.Submit.ID, r.Submit.Tasks)
	case r.Job != nil:
		return r.Job.check()
	}
	return nil
}

func (j *Job) check() error {
	const remedy = "check for daemons of another release"
	if j.ID == "" || len(j.Tasks) < 1 || len(j.Tasks) > MaxTasks {
		return fault.New(fault.Invalid, remedy, "state of job %q with %d tasks", j.ID, len(j.Tasks))
	}
	for i := range j.Tasks {
		if _, known := taskChart.States[chart.State(j.Tasks[i].Phase)]; !known {
			return fault.New(fault.Invalid, remedy, "task %d of job %q in unknown phase %q", i, j.ID, j.Tasks[i].Phase)
		}
	}
	return nil
}
