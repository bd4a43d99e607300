package rack

import (
	"slices"
	"time"

	"briarproxy/core/fault"
	"briarproxy/core/place"
	"briarproxy/core/resource"
	"briarproxy/core/wire"
	"briarproxy/daemon/view"
)

// maxReservation bounds the time for which room is kept without a start.
const maxReservation = 5 * time.Second

// slotDemandTime is how long slots that tasks waited for are not lent.
const slotDemandTime = 2 * time.Second

// slotDemand is the number of slots that tasks of a pool could not get lately.
type slotDemand struct {
	slots int64
	until time.Duration // boot clock
}

// reserved finds the attempt of a reservation.
type reserved struct {
	worker  *worker
	attempt *attempt
}

// Reserve serves a shard owner's request for room.
func (o *Owner) Reserve(args *wire.ReserveArgs, reply *wire.ReserveReply) error {
	call := reserveCall{args: args, reply: make(chan reserveAnswer, 1)}
	answer, err := ask(o, call, call.reply)
	*reply = answer.reply
	if err != nil {
		return err
	}
	return answer.err
}

type reserveAnswer struct {
	reply wire.ReserveReply
	err   error
}

type reserveCall struct {
	args  *wire.ReserveArgs
	reply chan reserveAnswer
}

func (m reserveCall) handle(o *Owner) {
	if err := o.checkShard(m.args.Shard, m.args.ShardEpoch); err != nil {
		m.reply <- reserveAnswer{err: err}
		return
	}
	now := o.Now()
	options := o.placeOptions(m.args.Asks)
	o.commitEstimates(m.args.Asks, now)
	kept, allowed := o.keepForRequests(m.args.Asks, now)
	probes, asks := o.probe(allowed, options, now)
	plan := o.cell.Plan(asks, options, now, o.Random)
	if m.args.AllOrNothing && len(plan.Assignments) < len(asks) {
		plan.Assignments = nil
	}
	accepted, refused := o.cell.Commit(plan, options, now)
	o.preempt(plan.Preemptions)
	reply := o.reservationsFor(m.args, append(probes, accepted...), plan, refused, now)
	if kept > 0 {
		reply.Refused = append(reply.Refused, wire.Refused{Reason: "slots are kept for waiting requests", Count: kept})
	}
	m.reply <- reserveAnswer{reply: reply}
}

// keepForRequests leaves out tasks that would take slots for which requests wait,
// beyond the share of the pool that the task's policy guarantees. Gangs and tasks
// without slots are not concerned.
func (o *Owner) keepForRequests(asks []wire.TaskAsk, now time.Duration) (kept int, allowed []wire.TaskAsk) {
	left := map[string]int64{} // by pool
	for _, ask := range asks {
		if ask.Resources.Slots == 0 || ask.Gang != "" || !o.requestsWait(ask.Pool, now) {
			allowed = append(allowed, ask)
			continue
		}
		if _, known := left[ask.Pool]; !known {
			left[ask.Pool] = o.taskShare(ask)
		}
		if left[ask.Pool] < ask.Resources.Slots {
			kept++
			continue
		}
		left[ask.Pool] -= ask.Resources.Slots
		allowed = append(allowed, ask)
	}
	return kept, allowed
}

// requestsWait reports whether a borrower lately got less slots than it wanted.
func (o *Owner) requestsWait(pool string, now time.Duration) bool {
	for w, until := range o.wants {
		if w.pool == pool && now < until {
			return true
		}
	}
	return false
}

// taskShare returns the slots that tasks of the ask's policy may still take while
// requests wait: its guaranteed share of the pool, less what tasks use already.
func (o *Owner) taskShare(ask wire.TaskAsk) int64 {
	capacity, used := int64(0), int64(0)
	pool := o.lastView.Set.Pools[ask.Pool]
	policy := o.lastView.Set.Policies[ask.Class]
	if pool == nil || policy == nil {
		return 0
	}
	for _, w := range o.workers {
		if !w.fenced || !view.PoolOf(pool, w.vm) {
			continue
		}
		capacity += w.capacity.Slots
		for _, a := range w.attempts {
			if !a.ended() {
				used += a.task.Resources.Slots
			}
		}
	}
	return int64(policy.MinShare*float64(capacity)) - used
}

// probeTimeout is the time after which a probe of which nothing was heard counts as
// failed.
const probeTimeout = 2 * time.Minute

// probe puts single tasks on isolated workers whose backoff has ended, one on each,
// to find out whether they work again. It returns the requests that are left.
func (o *Owner) probe(asks []wire.TaskAsk, options place.Options, now time.Duration) ([]place.Assignment, []wire.TaskAsk) {
	o.failures.ExpireProbes(now)
	var probes []place.Assignment
	for _, vm := range o.failures.DueProbes(now) {
		left := slices.DeleteFunc(slices.Clone(asks), func(ask wire.TaskAsk) bool {
			return ask.Gang != "" || slices.ContainsFunc(probes, func(p place.Assignment) bool { return p.Ask.TaskID == ask.TaskID })
		})
		accepted, _ := o.cell.Commit(o.cell.Probe(vm, left, options, now), options, now)
		if len(accepted) > 0 {
			o.failures.ProbeStarted(vm, now+probeTimeout)
			probes = append(probes, accepted...)
		}
	}
	rest := slices.DeleteFunc(slices.Clone(asks), func(ask wire.TaskAsk) bool {
		return slices.ContainsFunc(probes, func(p place.Assignment) bool { return p.Ask.TaskID == ask.TaskID })
	})
	return probes, rest
}

// checkShard refuses a call of a shard owner that has a successor.
func (o *Owner) checkShard(shard int, epoch int64) error {
	unit := o.lastView.Units[wire.ShardUnit(shard)]
	if unit.Epoch > epoch {
		return fault.New(fault.NotOwner, "none; the next owner of the shard places the tasks", "%s is owned under epoch %d, the call names %d", unit.Name, unit.Epoch, epoch)
	}
	return nil
}

func (o *Owner) placeOptions(asks []wire.TaskAsk) place.Options {
	options := place.Options{DataCentre: o.lastView.Self.DataCentre, Region: o.lastView.Self.Region, ProtectAccelerators: true}
	for _, ask := range asks {
		if ask.Gang != "" && ask.MinRacks > 1 {
			options.Gangs = append(options.Gangs, place.GangRule{Gang: ask.Gang, MinRacks: ask.MinRacks})
			break // a call holds one gang
		}
	}
	for name := range o.lastView.Set.Pools {
		for _, policy := range o.lastView.Set.Policies {
			if policy.Headroom > 0 {
				options.Headroom = append(options.Headroom, place.Headroom{Pool: name, BelowPriority: policy.Priority, Share: policy.Headroom})
			}
		}
	}
	return options
}

// commitEstimates raises declared sizes to what was learned of the job. Learned
// sizes below the declared ones are not used: a worker checks declared sizes.
func (o *Owner) commitEstimates(asks []wire.TaskAsk, now time.Duration) {
	for i := range asks {
		declared := asks[i].Resources
		learned := o.sizes.Size(asks[i].Operation, declared, now)
		learned.Slots, learned.Accelerators = declared.Slots, declared.Accelerators
		asks[i].Resources = declared.Max(learned)
	}
}

func (o *Owner) reservationsFor(args *wire.ReserveArgs, accepted []place.Assignment, plan place.Plan, refused []place.Refusal, now time.Duration) wire.ReserveReply {
	reply := wire.ReserveReply{NeverFits: plan.NeverFits}
	ttl := min(time.Duration(args.TTLMS)*time.Millisecond, maxReservation)
	for i := range accepted {
		reply.Reservations = append(reply.Reservations, o.hold(&accepted[i], now+ttl))
	}
	reply.Refused = refusals(plan, refused)
	if len(accepted) > 0 {
		o.Log.Emit(eventReserved, "for", args.From, "tasks", len(accepted), "first", accepted[0].Ask.TaskID, "vm", accepted[0].VM, "refused", reply.Refused)
	}
	if missing := len(args.Asks) - len(accepted); missing > 0 {
		o.Log.Emit(eventNoRoom, "for", args.From, "tasks", missing, "refused", reply.Refused)
		o.noteDemand(args.Asks[0], missing, now)
	}
	return reply
}

// noteDemand keeps slots from being lent while tasks wait for them.
func (o *Owner) noteDemand(ask wire.TaskAsk, missing int, now time.Duration) {
	if ask.Resources.Slots == 0 {
		return
	}
	wanted := ask.Resources.Slots * int64(missing)
	if o.requestsWait(ask.Pool, now) {
		wanted = min(wanted, o.taskShare(ask))
	}
	if wanted > 0 {
		o.slotDemand[ask.Pool] = slotDemand{slots: wanted, until: now + slotDemandTime}
	}
}

func refusals(plan place.Plan, commit []place.Refusal) []wire.Refused {
	counts := map[string]int{}
	for _, u := range plan.Unplaced {
		for _, r := range u.Refused {
			counts[r.Reason] += r.Count
		}
	}
	for _, r := range commit {
		counts[string(r.Reason)]++
	}
	list := make([]wire.Refused, 0, len(counts))
	for reason, count := range counts {
		list = append(list, wire.Refused{Reason: reason, Count: count})
	}
	return list
}

// hold records a committed assignment as a reservation.
func (o *Owner) hold(a *place.Assignment, expires time.Duration) wire.Reservation {
	w := o.workers[a.VM]
	o.nextID++
	att := &attempt{
		task:        wire.Attempt{ID: a.Ask.TaskID, Generation: a.Ask.Generation, Kind: wire.KindTask, Job: a.Ask.Job, Operation: a.Ask.Operation, Resources: a.Ask.Resources},
		class:       a.Ask.Class,
		reservation: o.nextID,
		expires:     expires,
	}
	w.attempts[a.Ask.TaskID] = att
	o.byTask[a.Ask.TaskID] = w
	o.reservations[o.nextID] = reserved{worker: w, attempt: att}
	return wire.Reservation{
		TaskID: a.Ask.TaskID, Generation: a.Ask.Generation, ID: o.nextID,
		VM: a.VM, Rack: a.Rack, Epoch: w.epoch, Incarnation: w.incarnation,
	}
}

// discard frees the room of an attempt that surely does not run.
func (o *Owner) discard(w *worker, a *attempt) {
	delete(o.reservations, a.reservation)
	o.cell.Release(a.task.ID, a.task.Generation)
	if w.attempts[a.task.ID] == a {
		delete(w.attempts, a.task.ID)
		delete(o.byTask, a.task.ID)
	}
}

func (o *Owner) expireReservations(now time.Duration) {
	for id, r := range o.reservations {
		if now >= r.attempt.expires {
			o.Log.Emit(eventLapsed, "reservation", id, "task", r.attempt.task.ID, "vm", r.worker.vm.Name)
			o.discard(r.worker, r.attempt)
		}
	}
}

// Release serves a shard owner that gives reservations back.
func (o *Owner) Release(args *wire.ReleaseArgs, reply *bool) error {
	call := releaseCall{ids: args.IDs, reply: make(chan bool, 1)}
	done, err := ask(o, call, call.reply)
	*reply = done
	return err
}

type releaseCall struct {
	ids   []int64
	reply chan bool
}

func (m releaseCall) handle(o *Owner) {
	for _, id := range m.ids {
		if r, known := o.reservations[id]; known {
			o.discard(r.worker, r.attempt)
		}
	}
	m.reply <- true
}

// Summary serves a shard owner's question for free room.
func (o *Owner) Summary(_ *wire.SummaryArgs, reply *wire.SummaryReply) error {
	call := summaryCall{reply: make(chan wire.SummaryReply, 1)}
	answer, err := ask(o, call, call.reply)
	*reply = answer
	return err
}

type summaryCall struct{ reply chan wire.SummaryReply }

func (m summaryCall) handle(o *Owner) {
	pools := map[string]*wire.PoolSummary{}
	for _, state := range o.cell.Workers() {
		for _, name := range state.Pools {
			if pools[name] == nil {
				pools[name] = &wire.PoolSummary{Pool: name, Region: state.Region, DataCentre: state.DataCentre}
			}
			addWorker(pools[name], &state)
		}
	}
	answer := wire.SummaryReply{Name: o.Self}
	for _, p := range pools {
		answer.Pools = append(answer.Pools, *p)
	}
	m.reply <- answer
}

func addWorker(p *wire.PoolSummary, state *place.WorkerState) {
	p.Workers++
	p.Capacity = p.Capacity.Add(state.Capacity)
	if !state.Schedulable() {
		return
	}
	free := state.Free()
	p.Usable++
	p.Free = p.Free.Add(free.Max(resource.Vector{}))
	p.Largest = p.Largest.Max(free)
}
