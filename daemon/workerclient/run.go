package workerclient

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"briarproxy/core/wire"
)

// queryInterval is the time between queries of a request whose start has not
// answered.
const queryInterval = time.Second

// OutcomeKind says what is known of a request start.
type OutcomeKind int

// Kinds of outcomes.
const (
	// Unknown: the deadline passed, or the worker was replaced, before the end was
	// known. State holds the last state that the worker told.
	Unknown OutcomeKind = iota
	// Done: Result is the verified answer of this attempt.
	Done
	// NeverRan: the attempt has not run, and the worker refuses a later copy.
	NeverRan
	// Lost: the attempt ran and ended, and the worker keeps no result of it.
	Lost
)

// Outcome is the result of Run.
type Outcome struct {
	Kind    OutcomeKind
	Result  *wire.Result
	Refused wire.Refusal  // the worker's reason when it refused the start
	State   wire.RunState // last known state on the worker, "" when it told none
	Reason  string        // why the outcome is not Done
	NoRoute bool          // the worker accepted no connection

	// Restarted: the worker runs the attempt no more; whether it ran is unknown.
	Restarted bool
}

// Ended reports whether the worker surely does not run the attempt any more.
func (o Outcome) Ended() bool {
	return o.Kind != Unknown || o.Restarted || o.State == wire.RunFinished || o.State == wire.RunFailed || o.State == wire.RunStopped
}

// Verify reports whether a result belongs to the attempt and is complete.
func Verify(result *wire.Result, id string, generation int64) bool {
	if result == nil || result.ID != id || result.Generation != generation {
		return false
	}
	if result.Length != int64(len(result.Body)) {
		return false
	}
	digest := sha256.Sum256(result.Body)
	return result.Digest == hex.EncodeToString(digest[:])
}

type startAnswer struct {
	reply wire.StartReply
	err   error
	sent  bool // some of the start may have reached the worker
}

// Run starts a request and follows it to its end. A start without an answer for
// CallTimeout, and one whose connection broke, is queried over a new connection
// every second until the attempt has ended or ctx ends. The query forbids an
// attempt that the worker has not seen, which makes NeverRan safe to say. The same
// id and generation must not have been sent before; Resolve follows such an attempt.
func (c *Client) Run(ctx context.Context, address string, start wire.Start) Outcome {
	if ctx.Err() != nil {
		return Outcome{Kind: NeverRan, Reason: "the deadline passed before the start was sent"}
	}
	w := c.worker(address)
	startCtx, cancel := context.WithCancel(ctx)
	defer cancel() // closes the connection of a start that is resolved by query
	answers := make(chan startAnswer, 1)
	c.pool.Submit(func() { answers <- sendStart(startCtx, w, start) })

	timer := time.NewTimer(CallTimeout)
	defer timer.Stop()
	last := Outcome{Reason: "the worker has not answered"}
	for {
		select {
		case answer := <-answers:
			answers = nil
			outcome, settled := settleStart(answer, start)
			if settled {
				return outcome
			}
			last.Reason = outcome.Reason
		case <-timer.C:
		case <-ctx.Done():
			return last
		}
		outcome, settled := query(ctx, w, start)
		if settled {
			return outcome
		}
		last = newer(last, outcome)
		timer.Reset(queryInterval)
	}
}

// newer keeps the last state that the worker told.
func newer(old, now Outcome) Outcome {
	if now.State == "" {
		now.State = old.State
	}
	return now
}

// sendStart sends the start once and waits for its answer until ctx ends.
func sendStart(ctx context.Context, w *worker, start wire.Start) startAnswer {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	reply, err := call[wire.StartReply](ctx, w.start, http.MethodPost, wire.PathStart, start)
	return startAnswer{reply: reply, err: err, sent: sent.Load()}
}

// settleStart reads the answer of a start; settled is false when only a query can
// tell what became of it.
func settleStart(answer startAnswer, start wire.Start) (outcome Outcome, settled bool) {
	if answer.err != nil && !answer.sent {
		return Outcome{Kind: NeverRan, NoRoute: true, Reason: "the worker accepts no connection: " + answer.err.Error()}, true
	}
	if answer.err != nil {
		return Outcome{Reason: answer.err.Error()}, false
	}
	if answer.reply.Refused != "" && !provesNeverRan(answer.reply.Refused) {
		return Outcome{Reason: "the worker refused the start: " + string(answer.reply.Refused)}, false
	}
	if answer.reply.Refused != "" {
		return Outcome{Kind: NeverRan, Refused: answer.reply.Refused, Reason: "the worker refused the start: " + string(answer.reply.Refused)}, true
	}
	if Verify(answer.reply.Result, start.ID, start.Generation) {
		return Outcome{Kind: Done, Result: answer.reply.Result, State: answer.reply.Result.State}, true
	}
	return Outcome{Reason: "the answer is truncated or belongs to another request"}, false
}

// provesNeverRan reports whether the refusal of a start means that the attempt
// never ran. After 'duplicate' and 'stale-generation' an earlier copy of the same
// attempt may have run, and a reason that this program does not know proves
// nothing.
func provesNeverRan(refusal wire.Refusal) bool {
	switch refusal {
	case wire.RefusedStaleEpoch, wire.RefusedTooLate, wire.RefusedNoRoom, wire.RefusedDraining,
		wire.RefusedWrongIncarnation, wire.RefusedMalformed:
		return true
	}
	return false
}

// query asks on a new connection what became of the attempt. A worker that has
// restarted refuses, because it can't know whether the attempt ran before.
func query(ctx context.Context, w *worker, start wire.Start) (outcome Outcome, settled bool) {
	stop := wire.Stop{ID: start.ID, Generation: start.Generation, Epoch: start.Epoch, Incarnation: start.Incarnation, Query: true}
	reply, err := timed[wire.StopReply](ctx, w.fresh, http.MethodPost, wire.PathStop, stop)
	if err == nil && reply.Refused == wire.RefusedStaleEpoch {
		reply, err = queryFenced(ctx, w, stop)
	}
	if err != nil {
		return Outcome{Reason: err.Error()}, false
	}
	switch {
	case reply.Refused == wire.RefusedWrongIncarnation:
		return Outcome{Restarted: true, Reason: "the worker restarted while the request may have run"}, true
	case reply.Refused != "":
		return Outcome{Reason: "the worker refuses the query: " + string(reply.Refused)}, false
	case reply.State == wire.RunNeverStarted:
		return Outcome{Kind: NeverRan, State: reply.State, Reason: "the worker never saw the start and refuses a later copy"}, true
	case reply.State == wire.RunFinished || reply.State == wire.RunFailed || reply.State == wire.RunStopped:
		return ended(reply, start)
	}
	return Outcome{State: reply.State, Reason: "the request still runs"}, false
}

// queryFenced asks under the epoch of the owner that has fenced the worker. A query
// places nothing, so it needs no authority over the worker's capacity.
func queryFenced(ctx context.Context, w *worker, stop wire.Stop) (wire.StopReply, error) {
	report, err := timed[wire.Report](ctx, w.fresh, http.MethodGet, wire.PathReport, nil)
	if err != nil {
		return wire.StopReply{}, err
	}
	stop.Epoch = max(stop.Epoch, report.Epoch)
	return timed[wire.StopReply](ctx, w.fresh, http.MethodPost, wire.PathStop, stop)
}

// ended reads the result of an attempt that has ended.
func ended(reply wire.StopReply, start wire.Start) (outcome Outcome, settled bool) {
	if Verify(reply.Result, start.ID, start.Generation) {
		return Outcome{Kind: Done, Result: reply.Result, State: reply.State}, true
	}
	if reply.Result == nil {
		return Outcome{Kind: Lost, State: reply.State, Reason: "the worker keeps no result of the request"}, true
	}
	return Outcome{State: reply.State, Reason: "the stored result arrives truncated"}, false
}

// Resolve asks once what became of an attempt; ok is false when it still runs or
// the worker could not tell. start needs ID, Generation, Epoch and Incarnation.
func (c *Client) Resolve(ctx context.Context, address string, start wire.Start) (outcome Outcome, ok bool) {
	return query(ctx, c.worker(address), start)
}
