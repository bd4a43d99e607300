package flow

import (
	"encoding/json"
	"time"

	"briarproxy/core/cluster"
	"briarproxy/core/fault"
	"briarproxy/core/resource"
	"briarproxy/core/speed"
)

// Step is a set of identical tasks of a job.
type Step struct {
	Count          int             `json:"n"`
	Size           resource.Vector `json:"z"`
	EstimateMS     int64           `json:"e,omitempty"` // expected run time of a task, a rough value given by the caller
	DependsOn      []int           `json:"a,omitempty"` // indexes of earlier steps that must be complete first
	Gang           bool            `json:"g,omitempty"`
	SameRack       bool            `json:"r,omitempty"` // the tasks prefer one rack, because they are slower across racks
	Checkpointing  bool            `json:"c,omitempty"`
	Speculative    bool            `json:"x,omitempty"` // several copies of a task may run in parallel
	LongRunning    bool            `json:"l,omitempty"` // runs until the job is cancelled
	Backfill       bool            `json:"f,omitempty"` // uses only capacity that other tasks leave free
	Label          string          `json:"b,omitempty"` // label that a worker must have
	NearRack       string          `json:"k,omitempty"` // rack that holds the input data
	MaxPerWorker   int             `json:"p,omitempty"` // maximum number of the step's tasks on one worker; 0 means no limit
	Image          string          `json:"i,omitempty"`
	TailTargetMS   int64           `json:"t,omitempty"` // upper bound of the tail response time, for long-running tasks
	MaxUnavailable int             `json:"m,omitempty"` // maximum number of tasks that may be disrupted on purpose at the same time
}

// ExpectedRunTime returns the expected run time of a task, or 0 if it is unknown. A long-running
// task ends only when its job is cancelled, whatever the caller's estimate.
func (s *Step) ExpectedRunTime() time.Duration {
	if s.LongRunning {
		return 0
	}
	return time.Duration(s.EstimateMS) * time.Millisecond
}

// Submit accepts a job. Only the first submission of an id takes effect.
type Submit struct {
	ID          string  `json:"id"`
	Queue       string  `json:"q"`
	Pool        string  `json:"o"`
	Workspace   string  `json:"w,omitempty"` // of the key with which the job was submitted; "" means none
	Rate        float64 `json:"r,omitempty"` // jobs a second that the workspace may submit; 0 is no limit
	Config      int64   `json:"v"`           // version of the configuration under which the job was accepted
	Spec        string  `json:"s"`
	Steps       []Step  `json:"t"`
	Times       int     `json:"n,omitempty"` // number of occurrences; 0 means a single one without a due time
	FirstMS     int64   `json:"f,omitempty"` // due time of the first occurrence, Unix ms
	EveryMS     int64   `json:"e,omitempty"` // time between the due times of two occurrences
	MaxAttempts int     `json:"m"`
	AtMS        int64   `json:"at"` // time of acceptance, Unix ms of the accepting daemon's clock
}

// Cancel cancels a job. With Absent it also cancels a submission of the id that is stored after it.
type Cancel struct {
	ID        string `json:"id"`
	AtMS      int64  `json:"at"`
	Absent    bool   `json:"u,omitempty"` // the log contained no job of the id when the caller cancelled it
	Workspace string `json:"w,omitempty"` // with Absent: of the caller's key; "" means none
}

// Claim makes a daemon the placer as of the claim's offset in the log.
type Claim struct {
	Daemon    string `json:"d"`
	Address   string `json:"a"` // address of the daemon's peer listener
	Epoch     int64  `json:"e"` // epoch of the daemon's appends
	StartedMS int64  `json:"t"` // process start, Unix ms; distinguishes restarts of a daemon
	// Truncated says that the daemon places although records that it has not read have expired, as no daemon that has
	// read them was heard of.
	Truncated bool `json:"u,omitempty"`
}

// Release ends the placer's claim.
type Release struct {
	Daemon string `json:"d"`
	Epoch  int64  `json:"e"`
}

// Hello announces a daemon to the other daemons. A running daemon repeats it.
type Hello struct {
	Daemon     string `json:"d"`
	Address    string `json:"a"`
	StartedMS  int64  `json:"t"` // process start, Unix ms
	Leaving    bool   `json:"x,omitempty"`
	DataCentre string `json:"z,omitempty"`
	// CapacityFactor is the daemon's capacity as a multiple of what a placer needs.
	// LogLatencyMS is the response time of the log as seen by the daemon.
	CapacityFactor float64 `json:"w,omitempty"`
	LogLatencyMS   int64   `json:"r,omitempty"`
}

// Begin records the intention to start a run. It is logged before the start order is sent.
type Begin struct {
	cluster.RunID
	cluster.Life
	Checkpoint string `json:"c,omitempty"`
}

// End is the end of a run.
type End struct {
	cluster.RunID
	Reason     cluster.EndReason `json:"h"`
	Checkpoint string            `json:"c,omitempty"`
	Address    string            `json:"a,omitempty"` // of the worker, with Unreachable
	Answered   bool              `json:"y,omitempty"` // with Unreachable: the worker answered the start command
}

// Batch holds the placer's decisions and the ends it learned of since its last batch. An empty
// batch serves as a heartbeat.
type Batch struct {
	Epoch       int64    `json:"e"`
	AtMS        int64    `json:"t,omitempty"` // time of the decisions, Unix ms of the placer's clock
	Begins      []Begin  `json:"b,omitempty"`
	Ends        []End    `json:"x,omitempty"`
	StartedJobs []string `json:"s,omitempty"` // ids of jobs whose first run was accepted by a worker
	// Speeds are the workers' speeds as the placer estimates them, if they have changed.
	Speeds   []speed.Saved  `json:"v,omitempty"`
	Snapshot *SavedSnapshot `json:"n,omitempty"` // newest snapshot, if it was saved since the last batch
}

// SavedSnapshot tells the daemons that follow the log that a snapshot is stored.
type SavedSnapshot struct {
	Next  int64 `json:"x"`           // offset of the first record that it does not include
	AgeMS int64 `json:"a,omitempty"` // time since its placer had read the log up to that offset
}

// Record is one log record. Exactly one field is set.
type Record struct {
	Submit  *Submit  `json:"s,omitempty"`
	Cancel  *Cancel  `json:"c,omitempty"`
	Claim   *Claim   `json:"l,omitempty"`
	Release *Release `json:"r,omitempty"`
	Hello   *Hello   `json:"h,omitempty"`
	Batch   *Batch   `json:"b,omitempty"`
}

// Encode returns the stored form of the record.
func (r *Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "report this as a bug", "log record cannot be encoded")
	}
	stored, err := compress(data)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "report this as a bug", "log record cannot be compressed")
	}
	return stored, nil
}

// Decode reads a stored record.
func Decode(data []byte) (Record, error) {
	var r Record
	plain, err := decompress(data)
	if err == nil {
		err = json.Unmarshal(plain, &r)
	}
	if err != nil {
		return Record{}, fault.Wrap(err, fault.Invalid, "find and stop the process that writes invalid records to the log", "log record of %d bytes cannot be decoded", len(data))
	}
	return r, nil
}

// Limits of a job. They also apply to jobs in the log that some other program wrote.
const (
	MaxTasksInStep = 5000
	MaxOccurrences = 10_000
)

// validate rejects a job that daemons could not apply safely. Every daemon applies every record,
// so a job must not need unbounded memory or refer to steps that do not exist.
func (s *Submit) validate() error {
	if s.ID == "" || s.Times < 0 || s.Times > MaxOccurrences {
		return fault.New(fault.Invalid, "find and stop the process that writes invalid records to the log", "job %q has an empty id or an invalid number of occurrences: %d", s.ID, s.Times)
	}
	for i := range s.Steps {
		if n := s.Steps[i].Count; n < 1 || n > MaxTasksInStep {
			return fault.New(fault.Invalid, "find and stop the process that writes invalid records to the log", "job %s: step %d has an invalid number of tasks: %d", s.ID, i, n)
		}
		for _, a := range s.Steps[i].DependsOn {
			if a < 0 || a >= i {
				return fault.New(fault.Invalid, "find and stop the process that writes invalid records to the log", "job %s: step %d depends on step %d, which is not an earlier step", s.ID, i, a)
			}
		}
	}
	return nil
}

// DueMS returns the due time of an occurrence in Unix ms; 0 means immediately.
func (s *Submit) DueMS(occurrence int) int64 {
	if s.Times == 0 {
		return 0
	}
	return s.FirstMS + int64(occurrence)*s.EveryMS
}

// Occurrences returns the number of occurrences, which is at least 1.
func (s *Submit) Occurrences() int { return max(1, s.Times) }

// CriticalPath returns the estimated duration of the longest chain of dependent steps.
func (s *Submit) CriticalPath() time.Duration { return s.RemainingCriticalPath(nil) }

// RemainingCriticalPath returns the estimated duration of the longest chain of dependent steps
// that are not done. The function done reports whether a step is; nil means that none is.
func (s *Submit) RemainingCriticalPath(done func(step int) bool) time.Duration {
	ends := make([]int64, len(s.Steps))
	longest := int64(0)
	for i := range s.Steps {
		start := int64(0)
		for _, a := range s.Steps[i].DependsOn {
			if a < i {
				start = max(start, ends[a])
			}
		}
		ends[i] = start
		if done == nil || !done(i) {
			ends[i] += s.Steps[i].EstimateMS
		}
		longest = max(longest, ends[i])
	}
	return time.Duration(longest) * time.Millisecond
}
