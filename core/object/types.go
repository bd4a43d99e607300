package object

import (
	"time"

	"briarproxy/core/resource"
)

// Kind names the kind of an object.
type Kind string

// Kinds of objects.
const (
	KindService  Kind = "service"
	KindBatchJob Kind = "batch-job"
	KindGangJob  Kind = "gang-job"
	KindPolicy   Kind = "policy"
	KindPool     Kind = "pool"
	KindTeam     Kind = "team"
)

// Set is a checked set of objects, by name within each kind.
type Set struct {
	Services  map[string]*Service  `json:"services,omitempty"`
	BatchJobs map[string]*BatchJob `json:"batch_jobs,omitempty"`
	GangJobs  map[string]*GangJob  `json:"gang_jobs,omitempty"`
	Policies  map[string]*Policy   `json:"policies,omitempty"`
	Pools     map[string]*Pool     `json:"pools,omitempty"`
	Teams     map[string]*Team     `json:"teams,omitempty"`
}

// Service answers requests on the slots of a pool's workers.
type Service struct {
	Name       string                `json:"name"`
	Pool       string                `json:"pool"`
	Team       string                `json:"team"`
	Operations map[string]*Operation `json:"operations"`
	MaxBody    int64                 `json:"max_body_bytes"` // largest request body, bytes
}

// Operation is one kind of request of a service.
type Operation struct {
	Policy     string        `json:"policy"`
	Idempotent bool          `json:"idempotent"`
	RunTime    time.Duration `json:"run_time"`     // declared, often far off
	MaxRunTime time.Duration `json:"max_run_time"` // run lease of one attempt
}

// JobTemplate holds what batch and gang jobs share.
type JobTemplate struct {
	Name        string          `json:"name"`
	Pool        string          `json:"pool"`
	Policy      string          `json:"policy"`
	Team        string          `json:"team"`
	Operation   string          `json:"operation"` // what the worker runs
	Tasks       int             `json:"tasks"`
	Resources   resource.Vector `json:"resources"` // per task, declared
	RunTime     time.Duration   `json:"run_time"`  // declared, often far off
	MaxAttempts int             `json:"max_attempts"`
}

// BatchJob is a template of jobs whose tasks run independently.
type BatchJob struct {
	JobTemplate
}

// GangJob is a template of jobs whose tasks all start together.
type GangJob struct {
	JobTemplate
	MinRacks int `json:"min_racks"` // spread over at least this many racks; 0 or 1: any
}

// Policy governs how work of one class is treated.
type Policy struct {
	Name         string        `json:"name"`
	Parent       string        `json:"parent,omitempty"` // policy whose values fill the fields left out; already applied by Load
	Priority     int           `json:"priority"`         // 0 to 1000, higher first
	Deadline     time.Duration `json:"deadline"`         // time in which callers expect an answer or a start
	Durable      bool          `json:"durable"`          // accepted work is logged and never dropped
	MinShare     float64       `json:"min_share"`        // part of capacity that lower priority keeps under load, 0 to 1
	Headroom     float64       `json:"headroom"`         // part of a pool kept free for higher priorities, 0 to 1
	CanPreempt   bool          `json:"can_preempt"`
	Preemptible  bool          `json:"preemptible"`
	Checkpoint   bool          `json:"checkpoint"`   // a checkpoint is taken before preemption
	SpreadRacks  bool          `json:"spread_racks"` // tasks of one job go to different racks where possible
	CrossRegion  bool          `json:"cross_region"` // may be sent to another region when the local one is full
	MaxRetries   int           `json:"max_retries"`
	RetryBackoff time.Duration `json:"retry_backoff"` // first backoff; doubles, with full jitter
}

// Pool selects VMs and states the shape that the operator expects of them.
type Pool struct {
	Name        string          `json:"name"`
	Regions     []string        `json:"regions,omitempty"`      // empty: all
	DataCentres []string        `json:"data_centres,omitempty"` // empty: all
	Racks       []string        `json:"racks,omitempty"`        // empty: all
	Largest     resource.Vector `json:"largest"`                // capacity of the pool's largest VM
	VMs         int             `json:"vms"`                    // expected number of VMs
	Fencing     bool            `json:"fencing"`                // workers refuse stale epochs; default true
}

// Team owns services and jobs and has a quota.
type Team struct {
	Name   string          `json:"name"`
	Weight float64         `json:"weight"` // share under contention, default 1
	Quota  resource.Vector `json:"quota"`  // upper bound in use at once; zero amounts are unlimited
}
