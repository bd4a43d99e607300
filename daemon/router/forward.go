package router

import (
	"context"
	"net/http"
	"time"

	"briarproxy/core/admission"
	"briarproxy/core/fault"
	"briarproxy/core/wire"
)

// Times of calls to shard owners.
const (
	// forwardSilence is the time after which a forward is sent again with the same
	// key; the shard owner lets a repeat wait for the one in flight.
	forwardSilence  = 5 * time.Second
	forwardBackoff  = 50 * time.Millisecond
	maxForwardShift = 4               // doublings of the backoff
	noOwnerRetry    = 3 * time.Second // covers most of a takeover
	maxQuickFails   = 20
	maxRefusals     = 3 // calls that reached no daemon, before the request is given up
)

// forward sends a non-idempotent request to the owner of its key's shard. A lost
// answer is asked for again with the same key, which the owner makes idempotent.
func (r *Router) forward(ctx context.Context, plan *Plan) (*Answer, *wire.Problem) {
	if p := plan.needKey(); p != nil {
		return nil, p
	}
	args := &wire.ForwardArgs{
		RequestID: plan.ID,
		Key:       plan.IdempotencyKey,
		Service:   plan.Service.Name,
		Operation: plan.Operation,
		Class:     plan.Class,
		Team:      plan.Team,
		Body:      plan.Body,
		From:      r.options.View.Current().Self.Name,
		Shard:     wire.ShardOf(plan.IdempotencyKey),
	}
	var reply *wire.ForwardReply
	lost, p := r.callShard(ctx, plan.ID, args.Shard, plan.Deadline, func(ctx context.Context, owner shardOwner, left time.Duration) error {
		args := *args
		args.ShardEpoch = owner.epoch
		args.DeadlineMS = left.Milliseconds()
		reply = &wire.ForwardReply{}
		return r.options.Peers.Call(ctx, owner.name, wire.RPCForward, &args, reply)
	})
	switch {
	case p != nil:
		return nil, p
	case reply.Problem != nil:
		return nil, afterLoss(reply.Problem, lost)
	case !verified(reply.Result):
		return nil, problem(http.StatusBadGateway, wire.OutcomeUnknown, "answer-damaged", askAgain, "the shard owner's answer is incomplete")
	}
	return &Answer{Result: reply.Result}, nil
}

// needKey refuses a non-idempotent request without an idempotency key.
func (p *Plan) needKey() *wire.Problem {
	if p.Op.Idempotent || p.IdempotencyKey != "" {
		return nil
	}
	return notRun(http.StatusBadRequest, "key-required", "set the "+wire.HeaderIdempotencyKey+" header to a unique value and use the same value to ask again",
		"operation %q is not idempotent", p.Operation)
}

// afterLoss corrects a not-run problem when a copy of the call was lost before,
// because that copy may still arrive.
func afterLoss(p *wire.Problem, lost bool) *wire.Problem {
	if !lost || p.Outcome != wire.OutcomeNotRun {
		return p
	}
	return unknown(askAgain, "an earlier copy of the call got no answer; then: %s", p.Detail)
}

const askAgain = "send the request again with the same idempotency key"

// shardOwner is the owner of a shard under one epoch. An owner refuses calls that
// name another epoch, so that a call which was delayed across a change of owners
// has no effect.
type shardOwner struct {
	name  string
	epoch int64
}

// callShard calls the owner of a shard until it answers or the deadline passes.
// The calls it repeats must be idempotent at the owner. Without an owner the
// request is answered at once. lost tells that a call before the answered one got
// no answer: a copy of it may still arrive.
func (r *Router) callShard(ctx context.Context, id string, shard int, deadline time.Duration, call func(ctx context.Context, owner shardOwner, left time.Duration) error) (lost bool, p *wire.Problem) {
	var last error
	refusals := 0
	quick := 0 // failures other than silence; a long request is asked for again without limit
	for quick < maxQuickFails {
		snapshot := r.options.View.Current()
		owner, owned := snapshot.OwnerOf(wire.ShardUnit(shard))
		left := deadline - r.options.Now()
		if !owned || left <= 0 || ctx.Err() != nil {
			return lost, shardProblem(lost, owned, shard, last)
		}
		r.options.Log.Emit(eventForwarded, "request", id, "shard", shard, "owner", owner.Name, "quick_failures", quick)
		r.recent.add(decision{at: time.Now(), id: id, state: "forwarded", detail: "to " + owner.Name + ", owner of " + wire.ShardUnit(shard)})
		began := r.options.Now()
		last = r.callOnce(ctx, shardOwner{owner.Name, snapshot.Units[wire.ShardUnit(shard)].Epoch}, left, call)
		if last == nil {
			return lost, nil
		}
		if fault.Is(last, fault.Refused) {
			refusals++
		}
		if refusals == maxRefusals {
			return lost, shardProblem(lost, owned, shard, last)
		}
		lost = lost || !(fault.Is(last, fault.NotOwner) || fault.Is(last, fault.Refused))
		r.options.Observer.Retried("shard-call")
		if r.options.Now()-began < forwardSilence {
			quick++
			r.pause(ctx, min(quick, maxForwardShift))
		}
	}
	return lost, shardProblem(lost, true, shard, last)
}

func (r *Router) callOnce(ctx context.Context, owner shardOwner, left time.Duration, call func(ctx context.Context, owner shardOwner, left time.Duration) error) error {
	ctx, cancel := context.WithTimeout(ctx, min(left, forwardSilence))
	defer cancel()
	return call(ctx, owner, left)
}

// pause waits for the backoff, or until the view changes, which may bring a new
// owner.
func (r *Router) pause(ctx context.Context, try int) {
	timer := time.NewTimer(admission.Backoff(r.budget.rng(), forwardBackoff, try))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.options.View.Changed():
	case <-ctx.Done():
	}
}

// shardProblem tells why no owner answered. Only a call that surely had no effect
// is reported as not run.
func shardProblem(mayHaveRun, owned bool, shard int, last error) *wire.Problem {
	detail := "no answer before the deadline"
	if last != nil {
		detail = last.Error()
	}
	if mayHaveRun {
		return unknown(askAgain, "the owner of key shard %d did not answer: %s", shard, detail)
	}
	if !owned {
		return busy("no-shard-owner", noOwnerRetry, "key shard %d has no live owner now", shard)
	}
	return busy("shard-unavailable", noOwnerRetry, "the owner of key shard %d did not take the call: %s", shard, detail)
}
