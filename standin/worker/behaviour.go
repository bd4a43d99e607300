package worker

import (
	"math/rand"
	"slices"
	"strconv"
	"strings"
	"time"

	"briarproxy/core/fault"
	"briarproxy/core/resource"
	"briarproxy/core/wire"
)

// Operation names and prefixes of names that determine how an operation runs, unless
// Options.Operations has an entry for it.
const (
	opSleepPrefix = "sleep:" // The run time in milliseconds follows.
	opFailPrefix  = "fail:"  // The run time in milliseconds follows, after which the operation fails.
	opForever     = "forever"
)

const endlessRunTime = 100 * 365 * 24 * time.Hour

// Operation defines how an operation runs.
type Operation struct {
	RunMS       int64 `json:"run_ms"`
	Fail        bool  `json:"fail,omitempty"`
	ResultBytes int64 `json:"result_bytes,omitempty"` // The result body is padded with this many bytes.
}

// Misbehaviour is the set of faults that a worker injects. It is the body of POST
// /control/misbehaviour, which replaces the previous set. The zero value injects no
// faults.
type Misbehaviour struct {
	FailAll           bool     `json:"fail_all,omitempty"`         // Every attempt fails as soon as it starts.
	FailOperations    []string `json:"fail_operations,omitempty"`  // Attempts of these operations fail as soon as they start.
	HangResponses     bool     `json:"hang_answers,omitempty"`     // No response is sent, though the message took effect.
	TruncateResponses bool     `json:"truncate_answers,omitempty"` // The connection closes in the middle of the response.
	TruncateResults   bool     `json:"shorten_results,omitempty"`  // The result body lacks its second half.
	MismatchResultIDs bool     `json:"foreign_results,omitempty"`  // The result has a wrong ID.
	ResponseDelayMS   int64    `json:"late_answers_ms,omitempty"`  // Each response is delayed by this time.
	Paths             []string `json:"paths,omitempty"`            // Only responses on these protocol paths are faulty; empty means all paths.
	FaultProbability  float64  `json:"share,omitempty"`            // Each response is faulty with this probability; 0 means that all are.
	Seed              int64    `json:"seed,omitempty"`             // Seed of the random choice of faulty responses.
	ActualUseFactor   float64  `json:"real_use,omitempty"`         // The actual use is this multiple of the declared size; 0 means 1.
	RunTimeFactor     float64  `json:"run_time,omitempty"`         // The actual run time is this multiple of the planned one; 0 means 1.
}

func (m Misbehaviour) validate() error {
	if m.FaultProbability < 0 || m.FaultProbability > 1 || m.ActualUseFactor < 0 || m.RunTimeFactor < 0 || m.ResponseDelayMS < 0 {
		return fault.New(fault.Invalid, "use a share from 0 to 1 and no negative numbers", "misbehaviour has a value out of range")
	}
	return nil
}

// affectsResponse reports whether the response on a path is faulty.
func (m Misbehaviour) affectsResponse(path string, random *rand.Rand) bool {
	if len(m.Paths) > 0 && !slices.Contains(m.Paths, path) {
		return false
	}
	return m.FaultProbability == 0 || random.Float64() < m.FaultProbability
}

func (m Misbehaviour) actualUse(declared resource.Vector) resource.Vector {
	if m.ActualUseFactor == 0 {
		return declared
	}
	return resource.Vector{
		MilliCores:   int64(float64(declared.MilliCores) * m.ActualUseFactor),
		MemoryMiB:    int64(float64(declared.MemoryMiB) * m.ActualUseFactor),
		Accelerators: declared.Accelerators, // Accelerators and slots are allocated whole, so their use does not differ.
		Slots:        declared.Slots,
	}
}

// runPlan defines how one attempt will run.
type runPlan struct {
	runTime     time.Duration
	fail        bool
	resultBytes int64
}

// planRun decides how an attempt runs. In order of precedence, it uses the injected
// faults, Options.Operations, the operation's name, a task's declared run time and
// the default.
func (w *Worker) planRun(start wire.Start) runPlan {
	if w.misbehaviour.FailAll || slices.Contains(w.misbehaviour.FailOperations, start.Operation) {
		return runPlan{fail: true}
	}
	p := w.planWithoutMisbehaviour(start)
	if w.misbehaviour.RunTimeFactor > 0 && p.runTime < endlessRunTime {
		p.runTime = time.Duration(float64(p.runTime) * w.misbehaviour.RunTimeFactor)
	}
	return p
}

func (w *Worker) planWithoutMisbehaviour(start wire.Start) runPlan {
	if op, ok := w.options.Operations[start.Operation]; ok {
		return runPlan{runTime: milliseconds(op.RunMS), fail: op.Fail, resultBytes: op.ResultBytes}
	}
	if start.Operation == opForever {
		return runPlan{runTime: endlessRunTime}
	}
	if run, ok := parseNamedRunTime(start.Operation, opSleepPrefix); ok {
		return runPlan{runTime: run}
	}
	if run, ok := parseNamedRunTime(start.Operation, opFailPrefix); ok {
		return runPlan{runTime: run, fail: true}
	}
	if start.Kind == wire.KindTask && start.RunMS > 0 {
		return runPlan{runTime: milliseconds(start.RunMS)}
	}
	return runPlan{runTime: w.options.DefaultOperationRunTime}
}

// parseNamedRunTime parses the run time in an operation name such as sleep:20.
func parseNamedRunTime(operation, prefix string) (time.Duration, bool) {
	text, ok := strings.CutPrefix(operation, prefix)
	if !ok {
		return 0, false
	}
	runMS, err := strconv.ParseInt(text, 10, 64)
	if err != nil || runMS < 0 {
		return 0, false
	}
	return milliseconds(runMS), true
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
