package router

import (
	"context"
	"time"

	"briarproxy/core/wire"
	"briarproxy/daemon/workerclient"
)

// Router is the request path. Its methods are safe for concurrent use.
type Router struct {
	options Options
	inbox   chan message
	done    chan struct{}
	recent  recent
	acks    *acker
	budget  *sharedBudget
}

// message is handled by the router's goroutine.
type message interface{ apply(s *state) }

// New returns a router; Serve runs its goroutine.
func New(options Options) *Router {
	if options.Observer == nil {
		options.Observer = none{}
	}
	return &Router{
		options: options,
		inbox:   make(chan message, inboxLength),
		done:    make(chan struct{}),
		acks:    newAcker(options.Workers, options.Log),
		budget:  newSharedBudget(newRandom(options.Random)),
	}
}

const inboxLength = 256

// Times of the router's goroutine.
const (
	busyTick = 20 * time.Millisecond  // while requests wait
	idleTick = 200 * time.Millisecond // otherwise
)

// Serve owns the queues and the slots until ctx ends.
func (r *Router) Serve(ctx context.Context) {
	defer close(r.done)
	go r.acks.serve(ctx)
	s := newState(r, ctx)
	timer := time.NewTimer(idleTick)
	defer timer.Stop()
	for {
		select {
		case m := <-r.inbox:
			m.apply(s)
		case <-timer.C:
			timer.Reset(s.tick())
		case <-ctx.Done():
			s.refuseAll()
			return
		}
	}
}

// send hands a message to the router's goroutine; it returns false when that has
// ended.
func (r *Router) send(m message) bool {
	select {
	case <-r.done:
		return false
	default:
	}
	select {
	case r.inbox <- m:
		return true
	case <-r.done:
		return false
	}
}

// Acquire waits for a slot until the query's deadline leaves no time to run. The
// problem, if any, says not run.
func (r *Router) Acquire(ctx context.Context, query Query) (*Slot, *wire.Problem) {
	began := r.options.Now()
	w := &waiter{query: query, began: began, granted: make(chan grant, 1), queued: make(chan time.Duration, 1)}
	if !r.send(acquireMsg{w}) {
		return nil, stopping()
	}
	giveUp := time.NewTimer(query.Deadline - began)
	defer giveUp.Stop()
	for {
		select {
		case g := <-w.granted:
			return r.received(w, g)
		case startBy := <-w.queued:
			giveUp.Reset(startBy - r.options.Now())
			continue
		case <-giveUp.C:
		case <-ctx.Done():
		case <-r.done:
		}
		return r.abandon(ctx, w)
	}
}

// received records the decision of the router's goroutine.
func (r *Router) received(w *waiter, g grant) (*Slot, *wire.Problem) {
	wait := r.options.Now() - w.began
	if g.problem != nil {
		r.options.Log.Emit(eventShed, "request", w.query.RequestID, "service", w.query.Service, "class", w.query.Class, "reason", g.problem.Detail)
		r.recent.add(decision{at: time.Now(), id: w.query.RequestID, state: "refused", detail: g.problem.Detail})
		return nil, g.problem
	}
	r.options.Observer.Waited(w.query.Class, wait)
	r.options.Log.Emit(eventRouted, "request", w.query.RequestID, "service", w.query.Service, "class", w.query.Class,
		"vm", g.slot.VM, "wait_ms", wait.Milliseconds(), "reason", g.reason, "refused", g.refused)
	r.recent.add(decision{at: time.Now(), id: w.query.RequestID, state: "routed", detail: g.slot.VM + ": " + g.reason, refused: g.refused})
	return g.slot, nil
}

// abandon takes a waiter out of the queue. A slot that was granted at the same
// moment is used if there is time left, and otherwise given back.
func (r *Router) abandon(ctx context.Context, w *waiter) (*Slot, *wire.Problem) {
	removed := make(chan time.Duration, 1)
	predicted := time.Duration(0)
	if r.send(cancelMsg{w, removed}) {
		select {
		case predicted = <-removed:
		case <-r.done:
		}
	}
	select {
	case g := <-w.granted:
		if g.problem != nil || (ctx.Err() == nil && r.options.Now() < w.query.Deadline) {
			return r.received(w, g)
		}
		r.Release(g.slot)
	default:
	}
	return r.received(w, grant{problem: noSlot(predicted)})
}

// noSlotRetry is the Retry-After when the wait can't be predicted.
const noSlotRetry = 2 * time.Second

// Release gives back a slot under which nothing was started.
func (r *Router) Release(slot *Slot) { r.send(releaseMsg{slot: slot}) }

// Run starts a request under the slot and follows it to its end or to the end of
// ctx. It fills in the start's epoch, incarnation, not-after and lease, and uses up
// the slot: it is free again when the worker surely has ended the request, or when
// the run lease has surely lapsed.
func (r *Router) Run(ctx context.Context, slot *Slot, start wire.Start) Outcome {
	run, outcome := r.prepare(slot, start)
	if outcome != nil {
		return *outcome
	}
	return r.follow(ctx, run)
}

// attempt is a start that is ready to be sent.
type attempt struct {
	slot   *Slot
	start  wire.Start
	sent   time.Duration // boot clock before it is sent
	lapsed time.Duration // its run lease has surely lapsed then
	stop   bool          // end the run when nobody waits for it any more

	deferFailure bool // the request is judged when all its attempts have ended
}

// prepare fills in what depends on the slot. It gives the slot back and returns an
// outcome when the loan has lapsed.
func (r *Router) prepare(slot *Slot, start wire.Start) (attempt, *Outcome) {
	now := r.options.Now()
	limit, validity := slot.notAfter(now)
	if validity <= 0 {
		r.Release(slot)
		return attempt{}, &Outcome{Kind: workerclient.NeverRan, Reason: "the loan of the slot lapsed before the start was sent"}
	}
	start.Epoch = slot.Epoch
	start.Loan = slot.loan.ID
	start.Incarnation = slot.Incarnation
	start.NotAfterMS = limit.Milliseconds()
	start.LeaseMS = leaseMS(start.LeaseMS, slot.maxLease)
	lapsed := now + longest(validity+time.Duration(start.LeaseMS)*time.Millisecond)
	return attempt{slot: slot, start: start, sent: now, lapsed: lapsed}, nil
}

// follow sends the start and reports the end of the run to the router's goroutine.
func (r *Router) follow(ctx context.Context, run attempt) Outcome {
	outcome := r.options.Workers.Run(ctx, run.slot.Address, run.start)
	r.finish(run, outcome)
	return outcome
}

// leaseMS bounds the wanted run lease by the loan's; 0 wants the longest.
func leaseMS(want int64, limit time.Duration) int64 {
	if want <= 0 {
		return limit.Milliseconds()
	}
	return min(want, limit.Milliseconds())
}

// silentRun is the time without a word from the worker after which a run counts
// against it: less than that, its caller may just have left.
const silentRun = 2 * workerclient.CallTimeout

// finish reports the end of a run to the router's goroutine and the log.
func (r *Router) finish(run attempt, outcome Outcome) {
	took := r.options.Now() - run.sent
	silent := outcome.Kind == workerclient.Unknown && outcome.State == "" && took >= silentRun
	m := releaseMsg{
		slot:    run.slot,
		refused: outcome.Refused,
		ran:     outcome.Kind == workerclient.Done,
		noRoute: outcome.NoRoute || silent,
		took:    took,

		restarted: outcome.Restarted,

		service:   run.start.Service,
		operation: run.start.Operation,

		failed: ranAndFailed(outcome),

		deferFailure: run.deferFailure && !run.slot.probe,
	}
	if !outcome.Ended() {
		m.hold = run.lapsed
	}
	r.send(m)
	if m.hold > 0 {
		r.options.Follow.Submit(func() { r.resolve(run) })
	}
	r.logEnd(run, outcome)
}

func (r *Router) logEnd(run attempt, outcome Outcome) {
	event, state := eventUnknown, "outcome unknown"
	switch outcome.Kind {
	case workerclient.Done:
		return
	case workerclient.NeverRan:
		event, state = eventNeverRan, "never ran"
	}
	r.options.Log.Emit(event, "request", run.start.ID, "vm", run.slot.VM, "reason", outcome.Reason)
	r.recent.add(decision{at: time.Now(), id: run.start.ID, state: state, detail: run.slot.VM + ": " + outcome.Reason})
}

// resolveEvery is the time between queries for a run that nobody waits for.
const resolveEvery = time.Second

// resolve frees the slot of a run that nobody waits for as soon as the worker says
// that it has ended, which is usually long before its run lease lapses.
func (r *Router) resolve(run attempt) {
	ctx, cancel := context.WithTimeout(context.Background(), run.lapsed-r.options.Now())
	defer cancel()
	if run.stop {
		msg := wire.Stop{ID: run.start.ID, Generation: run.start.Generation, Epoch: run.start.Epoch, Incarnation: run.start.Incarnation}
		_, _ = r.options.Workers.Stop(ctx, run.slot.Address, msg) // the query below tells whether it worked
	}
	ticker := time.NewTicker(resolveEvery)
	defer ticker.Stop()
	for {
		outcome, _ := r.options.Workers.Resolve(ctx, run.slot.Address, run.start)
		if outcome.Ended() {
			r.send(endedMsg{run.slot})
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		case <-r.done:
			return
		}
	}
}

func stopping() *wire.Problem {
	return busy("stopping", notReadyRetry, "this daemon is stopping")
}
