package flow

import (
	"encoding/json"
	"time"

	"briarproxy/core/cluster"
	"briarproxy/core/fault"
	"briarproxy/core/resource"
)

// Step is a set of like tasks of a job.
type Step struct {
	Count         int             `json:"n"`
	Size          resource.Vector `json:"z"`
	EstimateMS    int64           `json:"e,omitempty"` // rough, given by the caller
	After         []int           `json:"a,omitempty"` // steps whose tasks must all be done first
	Gang          bool            `json:"g,omitempty"`
	SameRack      bool            `json:"r,omitempty"` // slower on more than one rack
	Checkpointing bool            `json:"c,omitempty"`
	Speculative   bool            `json:"x,omitempty"` // copies may run in parallel
	LongRunning   bool            `json:"l,omitempty"` // runs until the job is cancelled
	Fills         bool            `json:"f,omitempty"` // uses what other tasks leave
	Label         string          `json:"b,omitempty"` // required of the worker
	NearRack      string          `json:"k,omitempty"` // rack with the data
	PerWorker     int             `json:"p,omitempty"` // most tasks of the step on one worker; 0 is no limit
	Image         string          `json:"i,omitempty"`
	TargetMS      int64           `json:"t,omitempty"` // bound of the tail of response times, for tasks that last
	MayMiss       int             `json:"m,omitempty"` // tasks that orders may take away at the same time
}

// Submit accepts a job. The first one of an id counts.
type Submit struct {
	ID          string `json:"id"`
	Queue       string `json:"q"`
	Pool        string `json:"o"`
	Config      int64  `json:"v"` // version of the configuration that it was accepted under
	Spec        string `json:"s"`
	Steps       []Step `json:"t"`
	Times       int    `json:"n,omitempty"` // occurrences; 0 is one without a due time
	FirstMS     int64  `json:"f,omitempty"` // due time of the first occurrence, Unix ms
	EveryMS     int64  `json:"e,omitempty"`
	MaxAttempts int    `json:"m"`
	AtMS        int64  `json:"at"` // Unix ms at the daemon that accepted it
}

// Cancel cancels a job.
type Cancel struct {
	ID   string `json:"id"`
	AtMS int64  `json:"at"`
}

// Claim makes a daemon the placer, from the claim's offset on.
type Claim struct {
	Daemon  string `json:"d"`
	Address string `json:"a"` // of its peer listener
	Epoch   int64  `json:"e"` // of its appends
	Started int64  `json:"t"` // start of the process, Unix ms: tells its lives apart
}

// Release ends the placer's claim.
type Release struct {
	Daemon string `json:"d"`
	Epoch  int64  `json:"e"`
}

// Hello names a daemon to the others. It is repeated while the daemon runs.
type Hello struct {
	Daemon     string `json:"d"`
	Address    string `json:"a"`
	Started    int64  `json:"t"` // start of the process, Unix ms
	Leaving    bool   `json:"x,omitempty"`
	DataCentre string `json:"z,omitempty"`
	// Strength is how many times the daemon has what a placer needs; DistanceMS is how long
	// the log takes to answer it.
	Strength   float64 `json:"w,omitempty"`
	DistanceMS int64   `json:"r,omitempty"`
}

// Begin is the plan to start a run. It is recorded before the order is sent.
type Begin struct {
	cluster.RunID
	cluster.Life
	Checkpoint string `json:"c,omitempty"`
}

// End is the end of a run.
type End struct {
	cluster.RunID
	How        cluster.How `json:"h"`
	Checkpoint string      `json:"c,omitempty"`
}

// Batch is what the placer decided and learned since its last batch. An empty one shows
// that it is alive.
type Batch struct {
	Epoch   int64    `json:"e"`
	Begins  []Begin  `json:"b,omitempty"`
	Ends    []End    `json:"x,omitempty"`
	Started []string `json:"s,omitempty"` // jobs of which a worker has taken the first run
}

// Record is one entry of the log. Exactly one field is set.
type Record struct {
	Submit  *Submit  `json:"s,omitempty"`
	Cancel  *Cancel  `json:"c,omitempty"`
	Claim   *Claim   `json:"l,omitempty"`
	Release *Release `json:"r,omitempty"`
	Hello   *Hello   `json:"h,omitempty"`
	Batch   *Batch   `json:"b,omitempty"`
}

// Encode returns the record as it is stored.
func (r *Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "report this as a bug", "a record can't be encoded")
	}
	stored, err := pack(data)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "report this as a bug", "a record can't be compressed")
	}
	return stored, nil
}

// Decode reads a stored record.
func Decode(data []byte) (Record, error) {
	var r Record
	plain, err := unpack(data)
	if err == nil {
		err = json.Unmarshal(plain, &r)
	}
	if err != nil {
		return Record{}, fault.Wrap(err, fault.Invalid, "remove the writer of foreign records from the log", "a record of %d bytes can't be read", len(data))
	}
	return r, nil
}

// Limits of a job, also of one that another writer put into the log.
const (
	MaxTasksInStep = 5000
	MaxTimes       = 10_000
)

// check reports what makes a job impossible to follow: every daemon applies every record, so
// none may ask for memory without bound or name what is not there.
func (s *Submit) check() error {
	if s.ID == "" || s.Times < 0 || s.Times > MaxTimes {
		return fault.New(fault.Invalid, "remove the writer of foreign records from the log", "job %q with %d occurrences", s.ID, s.Times)
	}
	for i := range s.Steps {
		if n := s.Steps[i].Count; n < 1 || n > MaxTasksInStep {
			return fault.New(fault.Invalid, "remove the writer of foreign records from the log", "job %s: step %d has %d tasks", s.ID, i, n)
		}
		for _, a := range s.Steps[i].After {
			if a < 0 || a >= i {
				return fault.New(fault.Invalid, "remove the writer of foreign records from the log", "job %s: step %d waits for step %d", s.ID, i, a)
			}
		}
	}
	return nil
}

// Due returns the due time of an occurrence, Unix ms; 0 is at once.
func (s *Submit) Due(occurrence int) int64 {
	if s.Times == 0 {
		return 0
	}
	return s.FirstMS + int64(occurrence)*s.EveryMS
}

// Occurrences returns how often the steps run.
func (s *Submit) Occurrences() int { return max(1, s.Times) }

// Chain returns the estimated time of the longest chain of steps.
func (s *Submit) Chain() time.Duration { return s.ChainFrom(nil) }

// ChainFrom returns the estimated time of the longest chain of steps that remain; done
// reports steps that have ended.
func (s *Submit) ChainFrom(done func(step int) bool) time.Duration {
	ends := make([]int64, len(s.Steps))
	longest := int64(0)
	for i := range s.Steps {
		start := int64(0)
		for _, a := range s.Steps[i].After {
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
