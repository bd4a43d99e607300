package place

import (
	"time"

	"briarproxy/core/resource"
	"briarproxy/core/wire"
)

// Worker describes a VM that runs work.
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

// Task is one task attempt that room is committed to.
type Task struct {
	ID          string
	Job         string
	Generation  int64
	Resources   resource.Vector // committed: the larger of estimate and reported use
	Priority    int
	Preemptible bool
	Checkpoint  bool          // a checkpoint is taken before it is preempted
	Throttled   bool          // preemption has already limited its cores
	SpreadRacks bool          // counted when the job's next task is spread
	ExpectedEnd time.Duration // boot clock; 0 is unknown
}

// Hold keeps a worker for one gang or task.
type Hold struct {
	Owner   string        // gang or task id; "" is no hold
	Start   time.Duration // other tasks may run there if they end before this instant
	Expires time.Duration
}

// State is the state of one worker.
type State struct {
	Worker
	Committed   resource.Vector // tasks and slots
	Slots       int64           // slots given to service requests, part of Committed
	Usable      bool
	Leaving     bool // never undone for one incarnation
	Quarantined bool
	Hold        Hold
	Tasks       []Task
	preemptible int // number of preemptible tasks
}

// Free returns the capacity that is not committed. An amount is negative when
// reports showed more use than was committed.
func (s *State) Free() resource.Vector { return s.Capacity.Sub(s.Committed) }

// Open reports whether new work may be placed on the worker.
func (s *State) Open() bool { return s.Usable && !s.Leaving && !s.Quarantined }

// Reach bounds how far from the local data centre work may be placed.
type Reach int

// Values of Reach. Each includes the ones before it.
const (
	ReachAnywhere   Reach = iota // also in other regions
	ReachRegion                  // in the local region
	ReachDataCentre              // in the local data centre
)

// Headroom keeps part of a pool for urgent work.
type Headroom struct {
	Pool  string
	Below int     // applies to requests with a lower priority than this
	Share float64 // part of the pool's open capacity that they must leave free, 0 to 1
}

// GangRule adds constraints to one gang.
type GangRule struct {
	Gang     string
	MinRacks int // the gang's tasks use at least this many racks
}

// Options are the rules of one planning run.
type Options struct {
	DataCentre          string // local data centre
	Region              string // local region
	Reach               Reach
	Headroom            []Headroom
	Gangs               []GangRule
	ProtectAccelerators bool // see acceleratorRefuses
	CandidateLimit      int  // workers scored per decision; 0 is DefaultCandidateLimit
	NoPreemption        bool
}

// DefaultCandidateLimit is the number of workers scored per decision.
const DefaultCandidateLimit = 16

// Step names a filter step. It is the reason in explanations.
type Step string

// Filter steps in the order in which they are applied.
const (
	StepNone        Step = ""
	StepPool        Step = "not in the pool"
	StepUsable      Step = "not usable, leaving or quarantined"
	StepReach       Step = "too far away"
	StepHeadroom    Step = "headroom for urgent work"
	StepFits        Step = "not enough free capacity"
	StepAvoid       Step = "excluded by the request"
	StepHeld        Step = "held for a gang"
	StepAccelerator Step = "kept for accelerator tasks"
	StepSpread      Step = "rack already used by the gang"
	StepLabel       Step = "required label is missing"
	StepPerVM       Step = "enough tasks of the job run there"
	StepGang        Step = "gang does not fit as a whole"
	StepGone        Step = "worker or incarnation is gone"
	StepDuplicate   Step = "task is already placed"
)

// Assignment puts one task on one worker.
type Assignment struct {
	Ask         *wire.TaskAsk // the caller's request; must stay unchanged until Commit
	VM          string
	Rack        string
	Incarnation int64
	worker      int32
	probe       bool // the worker may be quarantined
}

// Action is the way in which a victim is preempted.
type Action string

// Actions of preemption.
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
	Percent    int // cores left to a throttled task
}

// Preemption makes room for one task. The task is placed by a later plan, when
// the victims have released their room; Commit holds the worker until then.
type Preemption struct {
	Ask     *wire.TaskAsk
	VM      string
	Victims []Victim
}

// Unplaced explains a request that got no worker.
type Unplaced struct {
	TaskID  string
	Gang    string
	Refused []wire.Refused
}

// Plan is the result of one planning run.
type Plan struct {
	At          time.Duration
	Assignments []Assignment
	Unplaced    []Unplaced
	NeverFits   []string // task ids that fit no worker of the pool even when it is empty
	Preemptions []Preemption
}

// Refusal is an assignment that Verify or Commit did not accept.
type Refusal struct {
	TaskID string
	VM     string
	Reason Step
}
