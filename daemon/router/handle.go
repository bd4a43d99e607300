package router

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"briarproxy/core/admission"
	"briarproxy/core/wire"
	"briarproxy/daemon/workerclient"
)

// Answer is the answer to a request that ran, or the id of the job as which a
// durable request was accepted.
type Answer struct {
	Result *wire.Result
	JobID  string // set for durable requests; without Result it is to be fetched later

	ConfigVersion int64 // configuration version that the request was decided under
}

// OutcomeAccepted is what an Observer is told of a durable request whose job goes
// on after the answer.
const OutcomeAccepted wire.Outcome = "accepted"

// minResends is the number of times that an idempotent request which never ran is
// sent to another worker even if its policy allows fewer retries: such a request
// has not used any capacity.
const minResends = 2

// Handle answers a request: durable ones as a job of one task, non-idempotent ones
// through the owner of their key's shard, the others on a slot of this daemon.
func (r *Router) Handle(ctx context.Context, request Request) (*Answer, *wire.Problem) {
	plan, p := Check(r.options.View.Current(), request, r.options.Now())
	if p != nil {
		r.options.Log.Emit(eventShed, "request", request.ID, "service", request.Service, "class", request.Class, "reason", p.Detail)
		r.recent.add(decision{at: time.Now(), id: request.ID, state: "refused", detail: p.Detail})
		return nil, p
	}
	answer, p := r.route(ctx, plan)
	outcome := wire.OutcomeRan
	if p != nil {
		p.RequestID = request.ID
		outcome = p.Outcome
	} else {
		answer.ConfigVersion = plan.Version
		if answer.Result == nil {
			outcome = OutcomeAccepted
		}
	}
	r.options.Observer.Answered(plan.Service.Name, plan.Class, outcome)
	return answer, p
}

func (r *Router) route(ctx context.Context, plan *Plan) (*Answer, *wire.Problem) {
	ctx, cancel := context.WithTimeout(ctx, plan.Deadline-r.options.Now())
	defer cancel()
	switch {
	case plan.Durable:
		return r.submit(ctx, plan)
	case !plan.Op.Idempotent:
		return r.forward(ctx, plan)
	}
	return r.runIdempotent(ctx, plan)
}

// runIdempotent acquires a slot and runs the request. A request that never ran,
// whose result is lost, whose run lease has surely lapsed or whose run failed goes to
// another worker while the deadline, the policy and the retry budget allow.
func (r *Router) runIdempotent(ctx context.Context, plan *Plan) (*Answer, *wire.Problem) {
	r.budget.request()
	query := plan.Query()
	past := &history{outcome: wire.OutcomeNotRun}
	defer func() { r.blame(plan, past) }()
	for generation := int64(1); ; generation++ {
		slot, p := r.Acquire(ctx, query)
		if p != nil {
			return nil, past.honest(p)
		}
		run, early := r.prepare(slot, plan.Start(generation))
		outcome := early
		if early == nil {
			run.stop, run.deferFailure = true, true
			got := r.followUntilLapsed(ctx, run)
			outcome = &got
		}
		if ranAndFailed(*outcome) {
			past.fail(plan, slot, outcome.Result)
			query.Probe = false
			query.Avoid = append(query.Avoid, slot.VM)
			if !r.mayRunAgain(ctx, plan, past, generation, query.Avoid) {
				return nil, past.last
			}
			continue
		}
		if answer, p, settled := settle(plan, slot, *outcome); settled {
			if answer != nil {
				r.Ack(slot, plan.ID, generation)
			}
			return answer, p
		}
		if !outcome.Ended() && r.options.Now() < run.lapsed {
			return nil, unknown(sendAgain, "the end of the run was not learned in time: %s", outcome.Reason)
		}
		past.outcome = worse(past.outcome, *outcome)
		query.Avoid = append(query.Avoid, slot.VM)
		if p := r.mayResend(ctx, plan, generation, "never-ran", outcome.Reason); p != nil {
			return nil, past.honest(p)
		}
	}
}

const sendAgain = "send the request again; it is idempotent"

// worse adds the outcome of an attempt without an answer to those before it.
func worse(earlier wire.Outcome, outcome Outcome) wire.Outcome {
	switch {
	case outcome.Kind == workerclient.NeverRan:
		return earlier
	case outcome.Ended() && !outcome.Restarted:
		return wire.OutcomeRan
	case earlier == wire.OutcomeNotRun:
		return wire.OutcomeUnknown
	}
	return earlier
}

// followUntilLapsed follows a run until its run lease has surely lapsed, because an
// idempotent request may then go to another worker.
func (r *Router) followUntilLapsed(ctx context.Context, run attempt) Outcome {
	ctx, cancel := context.WithTimeout(ctx, run.lapsed-r.options.Now())
	defer cancel()
	return r.follow(ctx, run)
}

// honest corrects a not-run problem by the outcome of the earlier attempts.
func honest(p *wire.Problem, earlier wire.Outcome) *wire.Problem {
	if p.Outcome != wire.OutcomeNotRun || earlier == wire.OutcomeNotRun {
		return p
	}
	if earlier == wire.OutcomeRan {
		return problem(http.StatusBadGateway, wire.OutcomeRan, "result-lost", sendAgain, "the request ran but its result is lost; then: %s", p.Detail)
	}
	return unknown(sendAgain, "an earlier attempt may have run; then: %s", p.Detail)
}

// settle turns an outcome into an answer; settled is false when the request may be
// sent to another worker.
func settle(plan *Plan, slot *Slot, outcome Outcome) (answer *Answer, p *wire.Problem, settled bool) {
	if outcome.Kind != workerclient.Done {
		return nil, nil, false
	}
	if outcome.Result.State == wire.RunFailed || outcome.Result.State == wire.RunStopped {
		return nil, failed(plan, slot, outcome.Result), true
	}
	return &Answer{Result: outcome.Result}, nil, true
}

func failed(plan *Plan, slot *Slot, result *wire.Result) *wire.Problem {
	return problem(http.StatusBadGateway, wire.OutcomeRan, "request-failed", "read the error of the service in detail",
		"operation %q ran on %s and ended as %s: %s", plan.Operation, slot.VM, result.State, result.Error)
}

// mayResend waits for the backoff before another attempt, or returns why none is
// made.
func (r *Router) mayResend(ctx context.Context, plan *Plan, generation int64, kind, reason string) *wire.Problem {
	if generation > int64(max(plan.Policy.MaxRetries, minResends)) {
		return busy("retries-used-up", noSlotRetry, "no worker ran the request in %d attempts, the last one: %s", generation, reason)
	}
	if !r.budget.retry() {
		return busy("retry-budget", noSlotRetry, "the retry budget is used up; the last attempt: %s", reason)
	}
	wait := admission.Backoff(r.budget.rng(), plan.Policy.RetryBackoff, int(generation-1))
	if r.options.Now()+wait >= plan.Deadline {
		return busy("deadline-passed", notReadyRetry, "no time is left for another attempt; the last one: %s", reason)
	}
	r.options.Observer.Retried(kind)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return busy("deadline-passed", notReadyRetry, "the caller left or the deadline passed; the last attempt: %s", reason)
	}
}

// newRandom derives an own random source from that of the options.
func newRandom(rng *rand.Rand) *rand.Rand {
	return rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
}
