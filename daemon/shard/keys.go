package shard

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"time"

	"briarproxy/core/idempotency"
	"briarproxy/core/wire"
	"briarproxy/daemon/router"
	"briarproxy/daemon/workerclient"
)

// Requests runs requests on slots; *router.Router implements it.
type Requests interface {
	Acquire(ctx context.Context, query router.Query) (*router.Slot, *wire.Problem)
	Release(slot *router.Slot)
	Run(ctx context.Context, slot *router.Slot, start wire.Start) router.Outcome
	Ack(slot *router.Slot, id string, generation int64)
}

// resolveInterval is the time between questions to a worker about an attempt.
const resolveInterval = 250 * time.Millisecond

// Forward serves a request with an idempotency key. It returns when the outcome is
// known or the request's deadline has passed.
func (m *Manager) Forward(args *wire.ForwardArgs, reply *wire.ForwardReply) error {
	r, err := m.runner(args.Shard, args.ShardEpoch)
	if err != nil {
		return err
	}
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	wait := time.Duration(args.DeadlineMS) * time.Millisecond
	plan, p := router.Check(r.View.Current(), router.Request{
		ID: args.RequestID, Service: args.Service, Operation: args.Operation, Class: args.Class,
		Team: args.Team, IdempotencyKey: args.Key, Wait: wait, Body: args.Body,
	}, r.Now())
	if p != nil {
		reply.Problem = p
		return nil
	}
	ctx, cancel := context.WithTimeout(r.ctx, wait)
	defer cancel()
	request := &keyedRequest{r: r, plan: plan, digest: bodyDigest(args)}
	reply.Result, reply.Problem = request.serve(ctx)
	r.logKey(request, reply)
	return nil
}

func (r *runner) logKey(request *keyedRequest, reply *wire.ForwardReply) {
	outcome, detail := "answered", request.how
	if reply.Problem != nil {
		outcome, detail = string(reply.Problem.Outcome), reply.Problem.Detail
		reply.Problem.RequestID = request.plan.ID
	}
	r.Log.Emit(eventKey, "request", request.plan.ID, "service", request.plan.Service.Name, "operation", request.plan.Operation,
		"shard", r.shard, "outcome", outcome, "reason", detail)
}

func bodyDigest(args *wire.ForwardArgs) string {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%s\n%s\n", args.Service, args.Operation)
	_, _ = h.Write(args.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// keyedRequest follows one request; its methods run on the caller's goroutine and
// ask the runner for every decision.
type keyedRequest struct {
	r      *runner
	plan   *router.Plan
	digest string
	how    string // how the answer came about
}

func (k *keyedRequest) serve(ctx context.Context) (*wire.Result, *wire.Problem) {
	for attempt := 1; ; attempt++ {
		call := keyCall{key: k.plan.IdempotencyKey, digest: k.digest, reply: make(chan keyAnswer, 1)}
		// The decision must not be lost when the caller leaves: it marks the key as
		// in flight.
		answer, p := ask(k.r.ctx, k.r, call, call.reply)
		if p != nil {
			return nil, p
		}
		result, p, settled := k.act(ctx, answer, attempt)
		if settled {
			return result, p
		}
	}
}

// act carries out a decision; settled is false when the runner must be asked again.
func (k *keyedRequest) act(ctx context.Context, answer keyAnswer, attempt int) (*wire.Result, *wire.Problem, bool) {
	switch answer.action {
	case idempotency.ActionConflict:
		return nil, problem(http.StatusUnprocessableEntity, "idempotency-key-in-use", wire.OutcomeNotRun, 0,
			"the idempotency key was used for another request", "choose a new key for a new request"), true
	case idempotency.ActionRepeat:
		k.how = "stored outcome of the same key"
		return storedOutcome(answer.entry)
	case idempotency.ActionWait:
		select {
		case <-answer.changed:
			return nil, nil, false
		case <-ctx.Done():
			return nil, inFlight(), true
		}
	case idempotency.ActionResolve:
		return k.resolve(ctx, answer.entry)
	default:
		return k.run(ctx, answer.generation, attempt)
	}
}

func storedOutcome(e idempotency.Entry) (*wire.Result, *wire.Problem, bool) {
	if e.Uncertain {
		return nil, problem(http.StatusBadGateway, "outcome-lost", wire.OutcomeUnknown, 0,
			"the worker on "+e.VM+" restarted before the end of the request was learned", "look up the effect in the service itself; the request is not run again under this key"), true
	}
	if e.Result == nil {
		return nil, problem(http.StatusBadGateway, "result-lost", wire.OutcomeRan, 0,
			"the request ran, its result is not kept", "look up the effect in the service itself; do not send it under a new key"), true
	}
	if e.Result.State == wire.RunFinished {
		return e.Result, nil, true
	}
	return nil, failedProblem(e.Result), true
}

func failedProblem(result *wire.Result) *wire.Problem {
	return problem(http.StatusBadGateway, "request-failed", wire.OutcomeRan, 0,
		fmt.Sprintf("the request ended as %s: %s", result.State, result.Error), "read the error; a new try needs a new idempotency key")
}

func inFlight() *wire.Problem {
	return problem(http.StatusGatewayTimeout, "in-flight", wire.OutcomeUnknown, retryAfterSeconds,
		"an attempt with this idempotency key is in flight", "send the request again with the same key")
}

// run makes one attempt: slot, intent record, lease check, start.
func (k *keyedRequest) run(ctx context.Context, generation int64, attempt int) (*wire.Result, *wire.Problem, bool) {
	if !k.r.View.Current().LogHealthy {
		_ = k.r.send(keyAbandon{key: k.plan.IdempotencyKey})
		return nil, logDown(), true
	}
	slot, p := k.r.Requests.Acquire(ctx, k.plan.Query())
	if p != nil {
		_ = k.r.send(keyAbandon{key: k.plan.IdempotencyKey})
		return nil, p, true
	}
	start := k.plan.Start(generation)
	start.ID = fmt.Sprintf("%s.%d", k.plan.ID, attempt) // a worker refuses an id that it was told to forget
	intent := idempotency.Intent{
		Key: k.plan.IdempotencyKey, BodyDigest: k.digest, RequestID: start.ID,
		VM: slot.VM, Worker: slot.Incarnation, Generation: generation, AtMS: k.r.WallMS(),
	}
	call := intentCall{intent: intent, reply: make(chan error, 1)}
	// The wait for the append must not end with the caller: a start that is not
	// sent has to be known as such.
	err, p := ask(k.r.ctx, k.r, call, call.reply)
	if p != nil || err != nil {
		k.r.Requests.Release(slot)
		return nil, k.unlogged(err, p), true
	}
	outcome := k.r.Requests.Run(ctx, slot, start)
	return k.settle(slot, intent, outcome)
}

// logDown is the answer to what needs a record while the log service is known to be
// down; waiting for it would only take up the caller's time.
func logDown() *wire.Problem {
	return problem(http.StatusServiceUnavailable, "log-unavailable", wire.OutcomeNotRun, logDownRetrySeconds,
		"the log service is not available", "retry after the time given")
}

// unlogged is the problem when no start was sent for want of its record.
func (k *keyedRequest) unlogged(err error, p *wire.Problem) *wire.Problem {
	detail := "the shard has changed its owner"
	if p == nil {
		detail = err.Error()
	}
	return problem(http.StatusServiceUnavailable, "log-unavailable", wire.OutcomeNotRun, retryAfterSeconds, detail, "retry after the time given")
}

func (k *keyedRequest) settle(slot *router.Slot, intent idempotency.Intent, outcome router.Outcome) (*wire.Result, *wire.Problem, bool) {
	done := idempotency.Done{Key: intent.Key, RequestID: intent.RequestID, Generation: intent.Generation}
	switch outcome.Kind {
	case workerclient.Done:
		done.Result = outcome.Result
		k.how = "ran on " + slot.VM
		_ = k.r.send(keyEnded{done: done, then: func() { k.r.Requests.Ack(slot, intent.RequestID, intent.Generation) }})
		if outcome.Result.State == wire.RunFinished {
			return outcome.Result, nil, true
		}
		return nil, failedProblem(outcome.Result), true
	case workerclient.NeverRan:
		done.NeverRan = true
		_ = k.r.send(keyEnded{done: done})
		return nil, nil, false
	case workerclient.Lost:
		_ = k.r.send(keyEnded{done: done})
		result, p, _ := storedOutcome(idempotency.Entry{})
		return result, p, true
	default:
		_ = k.r.send(keyDistrust{key: intent.Key})
		return nil, problem(http.StatusGatewayTimeout, "unknown-outcome", wire.OutcomeUnknown, retryAfterSeconds,
			"the request was sent to "+slot.VM+" and its end is not known: "+outcome.Reason, "send the request again with the same idempotency key"), true
	}
}

// resolve asks the worker that may have run an earlier attempt.
func (k *keyedRequest) resolve(ctx context.Context, e idempotency.Entry) (*wire.Result, *wire.Problem, bool) {
	for {
		o, known := k.r.query(ctx, e)
		done := idempotency.Done{Key: e.Key, RequestID: e.RequestID, Generation: e.Generation}
		switch {
		case known && o.Restarted:
			// The worker forgot: the attempt does not run, and nobody can tell whether it
			// ran. It must not be started again.
			done.Uncertain = true
			_ = k.r.send(keyEnded{done: done})
			return nil, nil, false
		case known && o.State == wire.RunNeverStarted:
			done.NeverRan = true
			_ = k.r.send(keyEnded{done: done})
			return nil, nil, false
		case known && o.State != wire.RunRunning:
			done.Result = o.Result
			_ = k.r.send(keyEnded{done: done})
			return nil, nil, false
		}
		select {
		case <-time.After(resolveInterval):
		case <-ctx.Done():
			_ = k.r.send(keyDistrust{key: e.Key})
			return nil, inFlight(), true
		}
	}
}

// query asks the owner of the VM's rack for an attempt.
func (r *runner) query(ctx context.Context, e idempotency.Entry) (wire.StopOutcome, bool) {
	snapshot := r.View.Current()
	vm, listed := snapshot.VMs[e.VM]
	owner, owned := snapshot.OwnerOf(wire.RackUnit(vm.DataCentre, vm.Rack))
	if !listed || !owned {
		return wire.StopOutcome{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	task := wire.StopTask{TaskID: e.RequestID, Generation: e.Generation, VM: e.VM, Incarnation: e.Worker, Query: true}
	var reply wire.StopReplyBatch
	err := r.Peers.Call(ctx, owner.Name, wire.RPCStopTasks, &wire.StopArgs{From: r.Self, Tasks: []wire.StopTask{task}}, &reply)
	if err != nil || len(reply.Outcomes) != 1 || !reply.Outcomes[0].Known {
		return wire.StopOutcome{}, false
	}
	return reply.Outcomes[0], true
}

// ask sends a message and waits for its reply.
func ask[T any](ctx context.Context, r *runner, m message, reply <-chan T) (T, *wire.Problem) {
	var zero T
	gone := problem(http.StatusServiceUnavailable, "shard-moves", wire.OutcomeUnknown, retryAfterSeconds,
		"the shard is changing its owner", "send the request again with the same idempotency key")
	if r.send(m) != nil {
		return zero, gone
	}
	select {
	case answer := <-reply:
		return answer, nil
	case <-r.done:
		return zero, gone
	case <-ctx.Done():
		return zero, inFlight()
	}
}

type keyAnswer struct {
	action     idempotency.Action
	generation int64
	entry      idempotency.Entry
	changed    <-chan struct{}
}

// keyCall asks what to do with a request.
type keyCall struct {
	key, digest string
	reply       chan keyAnswer
}

func (m keyCall) handle(r *runner) {
	d := r.keys.Begin(m.key, m.digest)
	answer := keyAnswer{action: d.Action, generation: d.Generation}
	if d.Entry != nil {
		answer.entry = *d.Entry
	}
	switch d.Action {
	case idempotency.ActionWait:
		changed := make(chan struct{})
		r.waiters[keyWaiter(m.key)] = append(r.waiters[keyWaiter(m.key)], changed)
		answer.changed = changed
	case idempotency.ActionResolve:
		r.keys.Resolving(m.key)
	}
	m.reply <- answer
}

// keyWaiter keeps waiters for keys apart from waiters for jobs.
func keyWaiter(key string) string { return "key " + key }

// keyAbandon ends a request that got no slot.
type keyAbandon struct{ key string }

func (m keyAbandon) handle(r *runner) {
	r.keys.Abandon(m.key)
	r.wake(keyWaiter(m.key))
}

// keyDistrust ends a request whose attempt has an unknown outcome.
type keyDistrust struct{ key string }

func (m keyDistrust) handle(r *runner) {
	r.keys.Distrust(m.key)
	r.wake(keyWaiter(m.key))
}

// intentCall logs an intent. A nil reply allows the start.
type intentCall struct {
	intent idempotency.Intent
	reply  chan error
}

func (m intentCall) handle(r *runner) {
	r.append([]Entry{{KeyIntent: &m.intent}}, func(err error) {
		if err == nil && !r.leased() {
			err = fmt.Errorf("the lease of %s expired while the record was appended", wire.ShardUnit(r.shard))
			r.keys.Distrust(m.intent.Key)
		} else if err != nil {
			r.keys.Abandon(m.intent.Key)
		}
		if err != nil {
			r.wake(keyWaiter(m.intent.Key))
		}
		m.reply <- err
	})
}

// keyEnded logs the end of an attempt; then is called when it is in the stream.
type keyEnded struct {
	done idempotency.Done
	then func()
}

func (m keyEnded) handle(r *runner) {
	r.append([]Entry{{KeyDone: &m.done}}, func(err error) {
		if err != nil {
			// What this owner knows holds without the record; a successor asks the
			// worker again, which keeps the result until it is acknowledged.
			r.keys.ApplyDone(m.done)
		} else if m.then != nil {
			m.then()
		}
		r.wake(keyWaiter(m.done.Key))
	})
}
