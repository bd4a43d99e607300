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

// Names that an operation itself gives a meaning to, before the options apply.
const (
	opSleep   = "sleep:" // runs for so many ms
	opFail    = "fail:"  // runs for so many ms, then fails
	opForever = "forever"
)

const forever = 100 * 365 * 24 * time.Hour

// Operation says how an operation runs.
type Operation struct {
	RunMS       int64 `json:"run_ms"`
	Fail        bool  `json:"fail,omitempty"`
	ResultBytes int64 `json:"result_bytes,omitempty"` // padding of the result body
}

// Misbehaviour is the body of POST /control/misbehaviour, which replaces the
// former one. The zero value is a healthy worker.
type Misbehaviour struct {
	FailAll         bool     `json:"fail_all,omitempty"`         // everything that starts fails at once
	FailOperations  []string `json:"fail_operations,omitempty"`  // each start of these fails at once
	HangAnswers     bool     `json:"hang_answers,omitempty"`     // no answer, though the message took effect
	TruncateAnswers bool     `json:"truncate_answers,omitempty"` // the connection closes in the middle of the answer
	ShortenResults  bool     `json:"shorten_results,omitempty"`  // the result body lacks its second half
	ForeignResults  bool     `json:"foreign_results,omitempty"`  // the result carries another id
	LateAnswersMS   int64    `json:"late_answers_ms,omitempty"`  // answers leave so much later
	Paths           []string `json:"paths,omitempty"`            // protocol paths with faulty answers; empty: all
	Share           float64  `json:"share,omitempty"`            // of answers that are faulty; 0: all
	Seed            int64    `json:"seed,omitempty"`             // of the choice of answers
	RealUse         float64  `json:"real_use,omitempty"`         // real use as a multiple of the declared size; 0: 1
	RunTime         float64  `json:"run_time,omitempty"`         // real run time as a multiple of the expected one; 0: 1
}

func (m Misbehaviour) check() error {
	if m.Share < 0 || m.Share > 1 || m.RealUse < 0 || m.RunTime < 0 || m.LateAnswersMS < 0 {
		return fault.New(fault.Invalid, "use a share from 0 to 1 and no negative numbers", "misbehaviour is out of range")
	}
	return nil
}

// strikes reports whether the answer on a path is faulty.
func (m Misbehaviour) strikes(path string, random *rand.Rand) bool {
	if len(m.Paths) > 0 && !slices.Contains(m.Paths, path) {
		return false
	}
	return m.Share == 0 || random.Float64() < m.Share
}

func (m Misbehaviour) realUse(declared resource.Vector) resource.Vector {
	if m.RealUse == 0 {
		return declared
	}
	return resource.Vector{
		MilliCores:   int64(float64(declared.MilliCores) * m.RealUse),
		MemoryMiB:    int64(float64(declared.MemoryMiB) * m.RealUse),
		Accelerators: declared.Accelerators, // whole devices and slots are handed out exactly
		Slots:        declared.Slots,
	}
}

// plan is how one attempt will run.
type plan struct {
	run         time.Duration
	fail        bool
	resultBytes int64
}

// plan decides how an attempt runs: by the misbehaviour, the mapped operations,
// the operation's name, a task's declared run time and the default, in this order.
func (w *Worker) plan(start wire.Start) plan {
	if w.bad.FailAll || slices.Contains(w.bad.FailOperations, start.Operation) {
		return plan{fail: true}
	}
	p := w.healthyPlan(start)
	if w.bad.RunTime > 0 && p.run < forever {
		p.run = time.Duration(float64(p.run) * w.bad.RunTime)
	}
	return p
}

func (w *Worker) healthyPlan(start wire.Start) plan {
	if op, ok := w.options.Operations[start.Operation]; ok {
		return plan{run: ms(op.RunMS), fail: op.Fail, resultBytes: op.ResultBytes}
	}
	if start.Operation == opForever {
		return plan{run: forever}
	}
	if run, ok := namedTime(start.Operation, opSleep); ok {
		return plan{run: run}
	}
	if run, ok := namedTime(start.Operation, opFail); ok {
		return plan{run: run, fail: true}
	}
	if start.Kind == wire.KindTask && start.RunMS > 0 {
		return plan{run: ms(start.RunMS)}
	}
	return plan{run: w.options.DefaultRun}
}

// namedTime parses the time in a name such as sleep:20.
func namedTime(operation, prefix string) (time.Duration, bool) {
	text, ok := strings.CutPrefix(operation, prefix)
	if !ok {
		return 0, false
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil || value < 0 {
		return 0, false
	}
	return ms(value), true
}

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
