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

// PingArgs is a liveness check between daemons.
type PingArgs struct {
	From        string
	Incarnation int64
}

// PingReply is the reply to PingArgs.
type PingReply struct {
	Name          string
	Incarnation   int64
	ConfigVersion int64
}

// BorrowArgs asks the owner of rack units for loans of slots of a service's pool, and
// renews and returns loans.
type BorrowArgs struct {
	Borrower    string
	Incarnation int64
	Pool        string
	Want        int64        // additional slots wanted, including those for expected requests
	Waiting     int64        // requests that wait for a slot now
	Renew       []int64      // IDs of the loans to renew
	Return      []SlotReturn // slots to return
	Runs        []RunCount   // requests that ended since the last call, at most MaxRunCounts
}

// MaxRunCounts limits the run counts in one BorrowArgs.
const MaxRunCounts = 64

// RunCount counts the ended requests of one operation on one worker.
type RunCount struct {
	VM          string
	Incarnation int64
	Operation   string // service/operation
	Finished    int64
	Failed      int64
}

// Loan lends slots of one worker for TTLMS. The borrower counts that time on its own
// clock from before it sent BorrowArgs.
type Loan struct {
	ID             int64
	VM             string
	Address        string
	Region         string
	DataCentre     string
	Slots          int64
	Epoch          int64 // epoch of the rack unit, which starts under the loan carry
	Incarnation    int64 // worker incarnation
	WorkerClockMS  int64 // lower bound of the worker's clock at the time of the reply
	TTLMS          int64
	MaxDeadlineMS  int64 // longest run lease that a start under this loan may ask for
	LenderInstance string
	Probe          bool // the loan probes an isolated worker with one request that is safe to retry
}

// SlotReturn returns slots of one loan.
type SlotReturn struct {
	LoanID int64
	Slots  int64
}

// BorrowReply is the reply to BorrowArgs. Lapsed lists the loans in Renew that the lender
// does not know.
type BorrowReply struct {
	Loans   []Loan
	Renewed []int64
	Lapsed  []int64
	Free    int64 // slots that remain free at the lender
}

// ForwardArgs forwards a request with an idempotency key from the daemon that received it
// to the owner of the key's shard.
type ForwardArgs struct {
	RequestID  string
	Key        string
	Service    string
	Operation  string
	Class      string
	Team       string
	DeadlineMS int64 // time left until the deadline
	Body       []byte
	From       string
	Shard      int
	ShardEpoch int64 // shard epoch that the sender knows; a call with an outdated epoch is refused
}

// ForwardReply carries a result or a problem.
type ForwardReply struct {
	Result  *Result
	Problem *Problem
}

// JobAction selects the operation of a job call.
type JobAction string

// Operations of a job call.
const (
	JobSubmit  JobAction = "submit"
	JobGet     JobAction = "get"
	JobCancel  JobAction = "cancel"
	JobResult  JobAction = "results"
	JobExplain JobAction = "explain"
)

// JobArgs forwards a job call from the daemon that received it to the shard owner.
type JobArgs struct {
	Action     JobAction
	ID         string
	Spec       *JobSpec
	DeadlineMS int64 // time left until the deadline
	WaitMS     int64 // for JobGet: longest wait for the job's end
	From       string
	ShardEpoch int64 // as in ForwardArgs
}

// JobReply is the reply to JobArgs.
type JobReply struct {
	Status  *JobStatus
	Results *JobResults
	Explain *Explanation
	Problem *Problem
}

// Explanation says why a task, job or request was placed where it is or why it waits.
type Explanation struct {
	ID      string       `json:"id"`
	State   string       `json:"state"`
	Summary string       `json:"summary"`
	Refused []Refused    `json:"refused,omitempty"` // rejected placements, by reason
	History []HistoryRow `json:"history,omitempty"`
}

// Refused counts the placements that were rejected for one reason.
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

// TaskAsk requests a reservation for one task.
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
	Gang         string // the same for all tasks of a gang; "" is none
	MinRacks     int    // least number of racks over which a gang is spread
	AvoidVMs     []string
	Among        []string // allowed VMs; nil allows every VM of the pool
	Label        string   // required label of the VM; "" is none
	NearRack     string   // preferred rack; "" is none
	PerVM        int      // most tasks of the same Job on one VM; 0 is no limit
	SpeedWeight  float64  // preference for fast VMs, from -1 (slow ones first) to 1; 0 is none
	SpreadRacks  bool
	Preemptible  bool
	CanPreempt   bool
	CheckpointOK bool
}

// ReserveArgs asks a rack owner for reservations. With AllOrNothing set, either all asks
// get a reservation or none does.
type ReserveArgs struct {
	From         string
	Shard        int
	ShardEpoch   int64
	TTLMS        int64
	AllOrNothing bool
	Asks         []TaskAsk
}

// Reservation reserves capacity on one worker for one task attempt.
type Reservation struct {
	TaskID      string
	Generation  int64
	ID          int64
	VM          string
	Rack        string
	Epoch       int64
	Incarnation int64
}

// ReserveReply is the reply to ReserveArgs. Refused gives the reasons for asks without a
// reservation.
type ReserveReply struct {
	Reservations []Reservation
	Refused      []Refused
	NeverFits    []string // IDs of tasks that are too large for any worker of this owner, even an idle one
}

// StartArgs starts reserved tasks. The sender has logged the intent to start them to the
// shard's stream before.
type StartArgs struct {
	From       string
	Shard      int
	ShardEpoch int64
	Starts     []ReservedStart
}

// ReservedStart is the start of a task under a reservation.
type ReservedStart struct {
	ReservationID int64
	Start         Start
}

// StartOutcome is the outcome of one ReservedStart.
type StartOutcome struct {
	TaskID     string
	Generation int64
	VM         string
	Started    bool
	Unknown    bool    // no reply from the worker; the rack owner resolves it and reports by TaskEnded or the next call
	Refused    Refusal // set if the attempt did not start and will not start
}

// StartReplyBatch is the reply to StartArgs.
type StartReplyBatch struct {
	Outcomes []StartOutcome
}

// ReleaseArgs releases reservations.
type ReleaseArgs struct {
	From string
	IDs  []int64
}

// StopTask names an attempt to stop or query and the worker that it was sent to.
type StopTask struct {
	TaskID      string
	Generation  int64
	VM          string
	Incarnation int64 // of the worker to which the attempt was sent
	Query       bool  // as in Stop
}

// StopArgs stops or queries a batch of attempts.
type StopArgs struct {
	From  string
	Tasks []StopTask
}

// StopOutcome is the outcome of one StopTask. Known is false if the worker could not be
// reached and the run lease of the attempt may still be valid.
type StopOutcome struct {
	TaskID     string
	Generation int64
	Known      bool
	Restarted  bool // the worker has restarted since: the attempt is not running, but may have run
	State      RunState
	Result     *Result
}

// StopReplyBatch is the reply to StopArgs.
type StopReplyBatch struct {
	Outcomes []StopOutcome
}

// TaskEndedArgs reports ended attempts to a shard owner.
type TaskEndedArgs struct {
	From  string
	Ended []EndedTask
}

// EndedTask is an attempt that has ended or whose run lease has certainly expired.
type EndedTask struct {
	TaskID     string
	Job        string
	Generation int64
	VM         string
	State      RunState // RunStopped if the lease expired
	Result     *Result
	PeakUsage  resource.Vector
}

// TaskEndedReply lists the attempts whose end the shard owner has recorded. The worker
// may drop their results.
type TaskEndedReply struct {
	Recorded []string
}

// SummaryArgs asks for the free capacity that a daemon owns.
type SummaryArgs struct{ From string }

// PoolSummary is the capacity of one pool in the racks of one owner.
type PoolSummary struct {
	Pool       string          `json:"pool"`
	Region     string          `json:"region"`
	DataCentre string          `json:"data_centre"`
	Workers    int             `json:"workers"`
	Usable     int             `json:"usable"`
	Capacity   resource.Vector `json:"capacity"`
	Free       resource.Vector `json:"free"`
	Largest    resource.Vector `json:"largest"` // free capacity of the worker with the most free cores
}

// SummaryReply is the reply to SummaryArgs.
type SummaryReply struct {
	Name  string
	Pools []PoolSummary
}

// ConfigSinceArgs asks a peer for the configuration records from an offset on.
type ConfigSinceArgs struct{ From int64 }

// ConfigSinceReply holds configuration records as stored in the log.
type ConfigSinceReply struct {
	Records []LogRecord
	Next    int64
}
