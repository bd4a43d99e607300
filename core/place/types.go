package place

import (
	"time"

	"briarproxy/core/resource"
	"briarproxy/core/wire"
)

// Worker describes a VM that runs tasks and serves requests.
type Worker struct {
	VM          string
	Region      string
	DataCentre  string
	Rack        string
	Incarnation int64
	Pools       []string // names of the pools that it belongs to
	Labels      []string
	Capacity    resource.Vector
}

// Task is a task attempt that capacity is committed to.
type Task struct {
	ID             string
	Job            string
	Generation     int64
	Resources      resource.Vector // committed: the larger of estimated and reported usage
	Priority       int
	Preemptible    bool
	Checkpointable bool          // a checkpoint is taken before it is preempted
	Throttled      bool          // its cores are already limited by a preemption
	SpreadRacks    bool          // counted per rack, to spread the job's next tasks over racks
	ExpectedEnd    time.Duration // on the boot clock; 0 means unknown
	OverdueAt      time.Duration // from then on a task that still runs has no expected end
}

// Hold reserves a worker for one gang or task.
type Hold struct {
	Owner   string        // gang or task id; "" means no hold
	Start   time.Duration // other tasks may run there if they end by this time
	Expires time.Duration
}

// WorkerState is the state of one worker.
type WorkerState struct {
	Worker
	Committed   resource.Vector // sum of tasks and slots
	Slots       int64           // slots taken by service requests, included in Committed
	Live        bool
	Draining    bool // permanent for an incarnation
	Quarantined bool
	Hold        Hold
	Tasks       []Task
	SpeedLevel  int // see speed.Estimator.Level; negative means faster than usual
	preemptible int // number of preemptible tasks
}

// Free returns the capacity that is not committed. An amount is negative if the
// worker is overcommitted, for instance after reports of higher usage.
func (s *WorkerState) Free() resource.Vector { return s.Capacity.Sub(s.Committed) }

// Schedulable reports whether new work may be placed on the worker.
func (s *WorkerState) Schedulable() bool { return s.Live && !s.Draining && !s.Quarantined }

// Scope limits how far from the local data centre work may be placed.
type Scope int

// Values of Scope, from the widest to the narrowest.
const (
	ScopeAnywhere   Scope = iota // in any region
	ScopeRegion                  // only in the local region
	ScopeDataCentre              // only in the local data centre
)

// Headroom reserves part of a pool for requests of higher priority.
type Headroom struct {
	Pool          string
	BelowPriority int     // applies to requests with a lower priority than this
	Share         float64 // fraction, 0 to 1, of the pool's schedulable capacity that they must leave free
}

// GangRule adds constraints to one gang.
type GangRule struct {
	Gang     string
	MinRacks int // least number of racks that the gang's tasks use
}

// Options control one planning run.
type Options struct {
	DataCentre          string // local data centre
	Region              string // local region
	Scope               Scope
	Headroom            []Headroom
	Gangs               []GangRule
	ProtectAccelerators bool // see strandsAccelerators
	CandidateLimit      int  // workers scored per tier of a search; 0 means DefaultCandidateLimit
	NoPreemption        bool
	MaxPerVM            map[string]int // by VM: most tasks of one job that this run places there; not checked by Commit
}

// DefaultCandidateLimit is the default number of workers scored per tier of a search.
// A tier consists of the workers at one distance, either with or without accelerators.
const DefaultCandidateLimit = 16

// Reason says why a worker or an assignment is refused.
type Reason string

// Reasons for refusals.
const (
	ReasonNone                Reason = ""
	ReasonNotInPool           Reason = "not in the pool"
	ReasonNotSchedulable      Reason = "not usable, leaving or quarantined"
	ReasonOutOfScope          Reason = "too far away"
	ReasonHeadroom            Reason = "headroom for urgent work"
	ReasonLacksCapacity       Reason = "not enough free capacity"
	ReasonAvoided             Reason = "excluded by the request"
	ReasonHeld                Reason = "held for a gang"
	ReasonStrandsAccelerators Reason = "kept for accelerator tasks"
	ReasonRackUsed            Reason = "rack already used by the gang"
	ReasonLacksLabel          Reason = "required label is missing"
	ReasonPerVMLimit          Reason = "enough tasks of the job run there"
	ReasonGangDoesNotFit      Reason = "gang does not fit as a whole"
	ReasonWorkerGone          Reason = "worker or incarnation is gone"
	ReasonDuplicate           Reason = "task is already placed"
)

// Assignment assigns one task to one worker.
type Assignment struct {
	Ask         *wire.TaskAsk // the request passed to Plan or Probe; must not change until Commit
	VM          string
	Rack        string
	Incarnation int64
	worker      int32
	probe       bool // the worker may be quarantined
}

// Action is the method by which a victim is preempted.
type Action string

// Preemption actions.
const (
	ActionThrottle   Action = "throttle"
	ActionCheckpoint Action = "checkpoint"
	ActionStop       Action = "stop"
)

// Victim is a task to preempt.
type Victim struct {
	TaskID     string
	Generation int64
	Action     Action
	Percent    int // percentage of its committed cores that a throttled task keeps
}

// Preemption frees capacity on a worker for one task. Commit holds the worker for a
// limited time, and a later plan places the task once the victims have released
// their capacity.
type Preemption struct {
	Ask     *wire.TaskAsk
	VM      string
	Victims []Victim
}

// Unplaced is a request that got no worker, with the number of refused workers by
// reason.
type Unplaced struct {
	TaskID  string
	Gang    string
	Refused []wire.Refused
}

// Plan is the result of one planning run.
type Plan struct {
	PlannedAt   time.Duration
	Assignments []Assignment
	Unplaced    []Unplaced
	NeverFits   []string // ids of tasks that exceed the capacity of every worker of the pool
	Preemptions []Preemption
}

// Refusal is an assignment that Verify or Commit did not accept.
type Refusal struct {
	TaskID string
	VM     string
	Reason Reason
}
