package wire

import "briarproxy/core/resource"

// Method names of the net/rpc service between daemons.
const (
	RPCPing        = "Peer.Ping"
	RPCBorrow      = "Peer.Borrow"
	RPCForward     = "Peer.Forward"
	RPCJob         = "Peer.Job"
	RPCReserve     = "Peer.Reserve"
	RPCStart       = "Peer.StartReserved"
	RPCRelease     = "Peer.Release"
	RPCStopTasks   = "Peer.StopTasks"
	RPCTaskEnded   = "Peer.TaskEnded"
	RPCSummary     = "Peer.Summary"
	RPCConfigSince = "Peer.ConfigSince"
	RPCQuota       = "Peer.Quota"
)

// PingArgs and PingReply carry liveness between daemons.
type PingArgs struct {
	From        string
	Incarnation int64
}

// PingReply answers a ping.
type PingReply struct {
	Name          string
	Incarnation   int64
	ConfigVersion int64
}

// BorrowArgs asks the owner of rack units for slots of a service's pool. It also
// renews the loans that the borrower names in Renew.
type BorrowArgs struct {
	Borrower    string
	Incarnation int64
	Pool        string
	Want        int64 // slots wanted in addition, also for requests that are expected
	Waiting     int64 // requests that wait for a slot now
	Renew       []int64
	Return      []SlotReturn // slots given back in the same message
	Runs        []RunCount   // ended requests since the last call, at most MaxRunCounts
}

// MaxRunCounts bounds the run counts in one borrow call.
const MaxRunCounts = 64

// RunCount counts the requests of one operation that ended on one worker.
type RunCount struct {
	VM          string
	Incarnation int64
	Operation   string // service/operation
	Finished    int64
	Failed      int64
}

// Loan lends slots of one worker until the borrower's clock, counted from before
// it sent BorrowArgs, has advanced by TTLMS.
type Loan struct {
	ID             int64
	VM             string
	Address        string
	Region         string
	DataCentre     string
	Slots          int64
	Epoch          int64 // rack unit epoch for the starts
	Incarnation    int64 // worker incarnation
	WorkerClockMS  int64 // conservative: not later than the worker's true clock when the lender replied
	TTLMS          int64
	MaxDeadlineMS  int64 // longest run lease that a start under this loan may ask for
	LenderInstance string
	Probe          bool // for one request that may run again: the worker failed everything before
}

// SlotReturn gives back slots of one loan.
type SlotReturn struct {
	LoanID int64
	Slots  int64
}

// BorrowReply answers BorrowArgs. Lapsed names renewed loans that are unknown.
type BorrowReply struct {
	Loans   []Loan
	Renewed []int64
	Lapsed  []int64
	Free    int64 // slots that stay free at the lender
}

// ForwardArgs carries a keyed request from the entry daemon to the shard owner.
type ForwardArgs struct {
	RequestID  string
	Key        string
	Service    string
	Operation  string
	Class      string
	Team       string
	DeadlineMS int64 // time left
	Body       []byte
	From       string
	Shard      int
	ShardEpoch int64 // epoch of the shard that the sender knows; a call that outlives it is refused
}

// ForwardReply carries a result or a problem.
type ForwardReply struct {
	Result  *Result
	Problem *Problem
}

// JobAction is a call on a job.
type JobAction string

// Calls on a job.
const (
	JobSubmit  JobAction = "submit"
	JobGet     JobAction = "get"
	JobCancel  JobAction = "cancel"
	JobResult  JobAction = "results"
	JobExplain JobAction = "explain"
)

// JobArgs carries a job call from the entry daemon to the shard owner.
type JobArgs struct {
	Action     JobAction
	ID         string
	Spec       *JobSpec
	DeadlineMS int64 // time left
	WaitMS     int64 // JobGet: how long to wait for the job's end
	From       string
	ShardEpoch int64 // as in ForwardArgs
}

// JobReply answers a job call.
type JobReply struct {
	Status  *JobStatus
	Results *JobResults
	Explain *Explanation
	Problem *Problem
}

// Explanation says why something was placed where it is, or why it waits.
type Explanation struct {
	ID      string       `json:"id"`
	State   string       `json:"state"`
	Summary string       `json:"summary"`
	Refused []Refused    `json:"refused,omitempty"` // alternatives refused, by reason
	History []HistoryRow `json:"history,omitempty"`
}

// Refused counts the alternatives that one filter step refused.
type Refused struct {
	Reason string `json:"reason"`
	Count  int    `json:"count"`
}

// HistoryRow is one decision about a task or request.
type HistoryRow struct {
	AtMS   int64  `json:"at_ms"` // Unix time, ms
	Event  string `json:"event"`
	Detail string `json:"detail"`
}

// TaskAsk asks for room for one task.
type TaskAsk struct {
	TaskID       string
	Job          string
	Generation   int64
	Pool         string
	Class        string
	Priority     int
	Team         string
	Resources    resource.Vector
	RunMS        int64
	Operation    string
	Gang         string // set for tasks of one gang
	MinRacks     int    // gang: use at least this many racks
	AvoidVMs     []string
	Among        []string // only these VMs; nil is every VM of the pool
	Label        string   // required label of the VM; "" is none
	NearRack     string   // preferred rack; "" is none
	PerVM        int      // most tasks of the same Job on one VM; 0 is no limit
	SpreadRacks  bool
	Preemptible  bool
	CanPreempt   bool
	CheckpointOK bool
}

// ReserveArgs asks a rack owner for reservations. With AllOrNothing set, either
// every ask is reserved or none.
type ReserveArgs struct {
	From         string
	Shard        int
	ShardEpoch   int64
	TTLMS        int64
	AllOrNothing bool
	Asks         []TaskAsk
}

// Reservation holds room on one worker for one task attempt.
type Reservation struct {
	TaskID      string
	Generation  int64
	ID          int64
	VM          string
	Rack        string
	Epoch       int64
	Incarnation int64
}

// ReserveReply answers ReserveArgs. Refused explains asks without a reservation.
type ReserveReply struct {
	Reservations []Reservation
	Refused      []Refused
	NeverFits    []string // task ids that fit no worker of this owner even when empty
}

// StartArgs starts reserved tasks after their intent is in the shard's stream.
type StartArgs struct {
	From       string
	Shard      int
	ShardEpoch int64
	Starts     []ReservedStart
}

// ReservedStart names a reservation and what to start under it.
type ReservedStart struct {
	ReservationID int64
	Start         Start
}

// StartOutcome tells what became of one reserved start.
type StartOutcome struct {
	TaskID     string
	Generation int64
	VM         string
	Started    bool
	Unknown    bool    // no answer; the owner goes on resolving and reports by TaskEnded or the next call
	Refused    Refusal // set when it surely did not start
}

// StartReplyBatch answers StartArgs.
type StartReplyBatch struct {
	Outcomes []StartOutcome
}

// ReleaseArgs gives reservations back.
type ReleaseArgs struct {
	From string
	IDs  []int64
}

// StopTask names an attempt to stop and the worker that has it.
type StopTask struct {
	TaskID      string
	Generation  int64
	VM          string
	Incarnation int64 // of the worker to which the attempt was sent
	Query       bool
}

// StopArgs stops or queries attempts in a batch.
type StopArgs struct {
	From  string
	Tasks []StopTask
}

// StopOutcome answers for one attempt. Known is false if the worker could not be
// asked and its run lease may still hold.
type StopOutcome struct {
	TaskID     string
	Generation int64
	Known      bool
	Restarted  bool // the worker has restarted since: the attempt does not run, whether it ran is unknown
	State      RunState
	Result     *Result
}

// StopReplyBatch answers StopArgs.
type StopReplyBatch struct {
	Outcomes []StopOutcome
}

// TaskEndedArgs tells shard owners that attempts have ended.
type TaskEndedArgs struct {
	From  string
	Ended []EndedTask
}

// EndedTask is one attempt that has ended or whose run lease has surely lapsed.
type EndedTask struct {
	TaskID     string
	Job        string
	Generation int64
	VM         string
	State      RunState // RunStopped when the lease lapsed
	Result     *Result
	PeakUsage  resource.Vector
}

// TaskEndedReply names the attempts whose end is recorded; the worker may forget
// them.
type TaskEndedReply struct {
	Recorded []string
}

// SummaryArgs asks for the free capacity that a daemon owns.
type SummaryArgs struct{ From string }

// PoolSummary is the free capacity of one pool at one owner.
type PoolSummary struct {
	Pool       string          `json:"pool"`
	Region     string          `json:"region"`
	DataCentre string          `json:"data_centre"`
	Workers    int             `json:"workers"`
	Usable     int             `json:"usable"`
	Capacity   resource.Vector `json:"capacity"`
	Free       resource.Vector `json:"free"`
	Largest    resource.Vector `json:"largest"` // free vector of the worker with most free cores
}

// SummaryReply answers SummaryArgs.
type SummaryReply struct {
	Name  string
	Pools []PoolSummary
}

// ConfigSinceArgs asks a peer for configuration records from an offset on.
type ConfigSinceArgs struct{ From int64 }

// ConfigSinceReply carries configuration records as they are in the log.
type ConfigSinceReply struct {
	Records []LogRecord
	Next    int64
}
