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

// attempt is a start that was accepted.
type attempt struct {
	start      wire.Start
	plan       plan
	state      wire.RunState
	began      time.Duration
	ended      time.Duration
	leaseUntil time.Duration
	usage      resource.Vector // real use while running
	checkpoint bool
	result     *wire.Result
	done       chan struct{} // closed when the attempt has ended or the worker crashed

	// Progress: work done up to progressAt, in time at full speed.
	worked     time.Duration
	progressAt time.Duration
	percent    int
	timer      *time.Timer
}

// advance brings the progress up to now.
func (a *attempt) advance(now time.Duration) {
	a.worked += (now - a.progressAt) * time.Duration(a.percent) / 100
	a.progressAt = now
}

// maxScaled is the longest work that is slowed by throttling; longer work would
// overflow the calculation and counts as endless.
const maxScaled = 365 * 24 * time.Hour

// endsAt returns when the work is complete at the present speed.
func (a *attempt) endsAt() time.Duration {
	remaining := max(0, a.plan.run-a.worked)
	if remaining > maxScaled {
		return a.progressAt + remaining
	}
	return a.progressAt + remaining*100/time.Duration(a.percent)
}

// nextEvent returns when the attempt ends or its lease lapses.
func (a *attempt) nextEvent() time.Duration { return min(a.endsAt(), a.leaseUntil) }

// past is what is known of the generations of an id that are over here: they
// ended, were forbidden, or were refused for good.
type past struct {
	highest int64 // this and all lower generations may not start any more
	ran     []ran // those that ran
	at      time.Duration
}

// ran is a generation that ran and its last state.
type ran struct {
	generation int64
	state      wire.RunState
}

// state returns what became of a generation.
func (p *past) state(generation int64) wire.RunState {
	for _, r := range p.ran {
		if r.generation == generation {
			return r.state
		}
	}
	return wire.RunNeverStarted
}

// RequestResult is the body of a request's result, from which a caller sees that
// it got the answer to its own request.
type RequestResult struct {
	ID         string `json:"id"`
	Generation int64  `json:"generation"`
	Operation  string `json:"operation"`
	VM         string `json:"vm"`
	BodySHA256 string `json:"body_sha256"`
	Padding    string `json:"padding,omitempty"`
}

// result returns the result of an attempt that ended by itself.
func (w *Worker) result(a *attempt) *wire.Result {
	r := &wire.Result{ID: a.start.ID, Generation: a.start.Generation, State: wire.RunFinished}
	if a.plan.fail {
		r.State = wire.RunFailed
		r.Error = "operation " + a.start.Operation + " failed"
		r.Digest = digest(nil)
		return r
	}
	body, err := json.Marshal(RequestResult{
		ID:         a.start.ID,
		Generation: a.start.Generation,
		Operation:  a.start.Operation,
		VM:         w.options.Name,
		BodySHA256: digest(a.start.Body),
		Padding:    strings.Repeat("x", int(a.plan.resultBytes)),
	})
	if err != nil {
		panic("result cannot be encoded: " + err.Error())
	}
	r.Body = body
	r.Length = int64(len(body))
	r.Digest = digest(body)
	return r
}

func digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
