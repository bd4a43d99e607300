package worker

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"
	"time"

	"briarproxy/core/resource"
	"briarproxy/core/wire"
)

// attempt is a run of one generation of a task or request.
type attempt struct {
	start      wire.Start
	plan       runPlan
	state      wire.RunState
	startedAt  time.Duration
	endedAt    time.Duration
	leaseUntil time.Duration
	usage      resource.Vector // The actual use while the attempt runs.
	checkpoint bool
	result     *wire.Result
	done       chan struct{} // Closed when the attempt ends or the worker restarts.

	// completedWork is the progress up to progressAt, as run time at full speed.
	completedWork time.Duration
	progressAt    time.Duration
	percent       int
	timer         *time.Timer
}

// updateProgress adds the work done since progressAt.
func (a *attempt) updateProgress(now time.Duration) {
	a.completedWork += (now - a.progressAt) * time.Duration(a.percent) / 100
	a.progressAt = now
}

// maxThrottledWork is the longest remaining work that throttling extends. Longer work
// would overflow the calculation and is treated as endless.
const maxThrottledWork = 365 * 24 * time.Hour

// endsAt returns when the work will be complete at the current speed.
func (a *attempt) endsAt() time.Duration {
	remaining := max(0, a.plan.runTime-a.completedWork)
	if remaining > maxThrottledWork {
		return a.progressAt + remaining
	}
	return a.progressAt + remaining*100/time.Duration(a.percent)
}

// nextEvent returns when the attempt ends or its lease expires, whichever is first.
func (a *attempt) nextEvent() time.Duration { return min(a.endsAt(), a.leaseUntil) }

// generationHistory records the generations of an ID that may not start here any more:
// they have ended, were forbidden by a stop, or were refused finally.
type generationHistory struct {
	highestGeneration int64               // This generation and all lower ones may not start any more.
	outcomes          []generationOutcome // The generations that ran.
	updatedAt         time.Duration
}

// generationOutcome is a generation that ran and its final state.
type generationOutcome struct {
	generation int64
	state      wire.RunState
}

// stateOf returns the final state of a generation, or RunNeverStarted if it did not run.
func (h *generationHistory) stateOf(generation int64) wire.RunState {
	for _, outcome := range h.outcomes {
		if outcome.generation == generation {
			return outcome.state
		}
	}
	return wire.RunNeverStarted
}

// RequestResult is the body of a request's result. It lets a caller verify that the
// response belongs to its own request.
type RequestResult struct {
	ID         string `json:"id"`
	Generation int64  `json:"generation"`
	Operation  string `json:"operation"`
	VM         string `json:"vm"`
	BodySHA256 string `json:"body_sha256"`
	Padding    string `json:"padding,omitempty"`
}

// result returns the result of an attempt that ran to its end.
func (w *Worker) result(a *attempt) *wire.Result {
	r := &wire.Result{ID: a.start.ID, Generation: a.start.Generation, State: wire.RunFinished}
	if a.plan.fail {
		r.State = wire.RunFailed
		r.Error = "operation " + a.start.Operation + " failed"
		r.Digest = sha256Hex(nil)
		return r
	}
	body, err := json.Marshal(RequestResult{
		ID:         a.start.ID,
		Generation: a.start.Generation,
		Operation:  a.start.Operation,
		VM:         w.options.Name,
		BodySHA256: sha256Hex(a.start.Body),
		Padding:    strings.Repeat("x", int(a.plan.resultBytes)),
	})
	if err != nil {
		panic("cannot encode result: " + err.Error())
	}
	r.Body = body
	r.Length = int64(len(body))
	r.Digest = sha256Hex(body)
	return r
}

func sha256Hex(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
