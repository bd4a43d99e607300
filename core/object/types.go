package object

import (
	"time"

	"briarproxy/core/resource"
)

// Kind identifies the type of an object.
type Kind string

// These are the kinds of objects.
const (
	KindService  Kind = "service"
	KindBatchJob Kind = "batch-job"
	KindGangJob  Kind = "gang-job"
	KindPolicy   Kind = "policy"
	KindPool     Kind = "pool"
	KindTeam     Kind = "team"
)

// Set holds validated objects, keyed by name within each kind.
type Set struct {
	Services  map[string]*Service  `json:"services,omitempty"`
	BatchJobs map[string]*BatchJob `json:"batch_jobs,omitempty"`
	GangJobs  map[string]*GangJob  `json:"gang_jobs,omitempty"`
	Policies  map[string]*Policy   `json:"policies,omitempty"`
	Pools     map[string]*Pool     `json:"pools,omitempty"`
	Teams     map[string]*Team     `json:"teams,omitempty"`
}

// Service is a request-serving workload that runs on the slots of a pool's workers.
type Service struct {
	Name         string                `json:"name"`
	Pool         string                `json:"pool"`
	Team         string                `json:"team"`
	Operations   map[string]*Operation `json:"operations"`
	MaxBodyBytes int64                 `json:"max_body_bytes"` // MaxBodyBytes limits the size of a request body.
}

// Operation is a type of request that a service accepts.
type Operation struct {
	Policy     string        `json:"policy"`
	Idempotent bool          `json:"idempotent"`
	RunTime    time.Duration `json:"run_time"`     // RunTime is the declared run time, which is often far off.
	MaxRunTime time.Duration `json:"max_run_time"` // MaxRunTime is the duration of the run lease of one attempt.
}

// JobTemplate holds the fields that batch and gang jobs have in common.
type JobTemplate struct {
	Name        string          `json:"name"`
	Pool        string          `json:"pool"`
	Policy      string          `json:"policy"`
	Team        string          `json:"team"`
	Operation   string          `json:"operation"` // Operation names what the worker runs.
	Tasks       int             `json:"tasks"`
	Resources   resource.Vector `json:"resources"` // Resources is the declared demand of each task.
	RunTime     time.Duration   `json:"run_time"`  // RunTime is the declared run time, which is often far off.
	MaxAttempts int             `json:"max_attempts"`
}

// BatchJob is a template of jobs whose tasks run independently.
type BatchJob struct {
	JobTemplate
}

// GangJob is a template of jobs whose tasks start all together or not at all.
type GangJob struct {
	JobTemplate
	MinRacks int `json:"min_racks"` // MinRacks is the smallest number of racks that the tasks are spread over; 0 and 1 set no constraint.
}

// Policy defines how work of one class is scheduled and retried.
type Policy struct {
	Name         string        `json:"name"`
	Parent       string        `json:"parent,omitempty"` // Parent names the policy that missing fields are inherited from; Load has applied it.
	Priority     int           `json:"priority"`         // Priority is 0 to 1000; higher values are scheduled first.
	Deadline     time.Duration `json:"deadline"`         // Deadline is the time within which callers expect a response or a start.
	Durable      bool          `json:"durable"`          // Durable work is logged when it is accepted and is never dropped.
	MinShare     float64       `json:"min_share"`        // MinShare is the fraction of capacity, 0 to 1, that work of this policy keeps under load from higher priorities.
	Headroom     float64       `json:"headroom"`         // Headroom is the fraction of a pool, 0 to 1, that stays free for higher priorities.
	CanPreempt   bool          `json:"can_preempt"`
	Preemptible  bool          `json:"preemptible"`
	Checkpoint   bool          `json:"checkpoint"`   // Checkpoint requests a checkpoint before preemption.
	SpreadRacks  bool          `json:"spread_racks"` // SpreadRacks places the tasks of a job on different racks where possible.
	CrossRegion  bool          `json:"cross_region"` // CrossRegion allows work to be sent to another region when the local one is full.
	MaxRetries   int           `json:"max_retries"`
	RetryBackoff time.Duration `json:"retry_backoff"` // RetryBackoff is the first backoff; it doubles with each retry and has full jitter.
}

// Pool selects VMs by location and declares the number and size that the operator
// expects.
type Pool struct {
	Name        string          `json:"name"`
	Regions     []string        `json:"regions,omitempty"`      // An empty list selects all regions.
	DataCentres []string        `json:"data_centres,omitempty"` // An empty list selects all data centres.
	Racks       []string        `json:"racks,omitempty"`        // An empty list selects all racks.
	LargestVM   resource.Vector `json:"largest"`                // LargestVM is the capacity of the pool's largest VM.
	ExpectedVMs int             `json:"vms"`                    // ExpectedVMs is the number of VMs that the operator expects.
	Fencing     bool            `json:"fencing"`                // Fencing is set if workers refuse stale epochs; it defaults to true.
}

// Team owns services and jobs, and shares capacity with other teams by weight and
// quota.
type Team struct {
	Name   string          `json:"name"`
	Weight float64         `json:"weight"` // Weight is the relative share under contention; it defaults to 1.
	Quota  resource.Vector `json:"quota"`  // Quota limits the resources in use at once; a zero amount means unlimited.
}
