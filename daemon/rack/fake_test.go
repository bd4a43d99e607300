package rack

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/alitto/pond/v2"

	"briarproxy/core/fault"
	"briarproxy/core/object"
	"briarproxy/core/resource"
	"briarproxy/core/wire"
	"briarproxy/daemon/event"
	"briarproxy/daemon/view"
)

// syncPool runs calls at once, so that tests are deterministic.
type syncPool struct{ pond.Pool }

// Go runs f before it returns.
func (syncPool) Go(f func()) error { f(); return nil }

const (
	poolName  = "p"
	testVM    = "vm"
	testEpoch = 5
)

// fakeWorker keeps what the worker protocol demands: the highest epoch, the run
// leases and the inventory. It does not check its room: the owner has to.
type fakeWorker struct {
	now         func() time.Duration
	incarnation int64
	epoch       int64
	silent      bool // no call is answered
	capacity    resource.Vector
	attempts    map[string]*wire.Attempt
	leases      map[string]time.Duration // end of the run lease by attempt id
	starts      int
}

func (w *fakeWorker) add(a wire.Attempt, lease time.Duration) {
	a.State = wire.RunRunning
	w.attempts[a.ID] = &a
	w.leases[a.ID] = w.now() + lease
}

// expire stops what has no run lease any more.
func (w *fakeWorker) expire() {
	for id, a := range w.attempts {
		if a.State == wire.RunRunning && w.now() >= w.leases[id] {
			a.State = wire.RunStopped
		}
	}
}

func (w *fakeWorker) used() resource.Vector {
	w.expire()
	sum := resource.Vector{}
	for _, a := range w.attempts {
		if a.State == wire.RunRunning {
			sum = sum.Add(a.Resources)
		}
	}
	return sum
}

func (w *fakeWorker) restart() {
	w.incarnation++
	w.epoch = 0
	w.attempts = map[string]*wire.Attempt{}
}

func (w *fakeWorker) answers() error {
	if w.silent {
		return fault.New(fault.Unavailable, "retry", "the worker is silent")
	}
	return nil
}

// Fence implements Workers.
func (w *fakeWorker) Fence(_ context.Context, _ string, msg wire.Fence) (wire.Report, error) {
	if err := w.answers(); err != nil {
		return wire.Report{}, err
	}
	if msg.Epoch < w.epoch {
		return wire.Report{Refused: wire.RefusedStaleEpoch, Epoch: w.epoch, Incarnation: w.incarnation}, nil
	}
	w.epoch = msg.Epoch
	return w.report(), nil
}

// Report implements Workers.
func (w *fakeWorker) Report(context.Context, string) (wire.Report, error) {
	return w.report(), w.answers()
}

func (w *fakeWorker) report() wire.Report {
	w.expire()
	r := wire.Report{VM: testVM, Incarnation: w.incarnation, ClockMS: w.now().Milliseconds(), Epoch: w.epoch, Capacity: w.capacity}
	for _, a := range w.attempts {
		if a.Kind == wire.KindTask || a.State == wire.RunRunning {
			r.Attempts = append(r.Attempts, *a)
		}
	}
	return r
}

// Start implements Workers.
func (w *fakeWorker) Start(_ context.Context, _ string, msg wire.Start) (wire.StartReply, error) {
	w.starts++
	switch {
	case w.silent:
		return wire.StartReply{}, w.answers()
	case msg.Incarnation != w.incarnation:
		return wire.StartReply{Refused: wire.RefusedWrongIncarnation}, nil
	case msg.Epoch < w.epoch:
		return wire.StartReply{Refused: wire.RefusedStaleEpoch}, nil
	}
	a := wire.Attempt{ID: msg.ID, Generation: msg.Generation, Epoch: msg.Epoch, Kind: msg.Kind, Job: msg.Job, Loan: msg.Loan, Resources: msg.Resources}
	w.add(a, time.Duration(msg.LeaseMS)*time.Millisecond)
	return wire.StartReply{}, nil
}

// Stop implements Workers.
func (w *fakeWorker) Stop(_ context.Context, _ string, msg wire.Stop) (wire.StopReply, error) {
	a := w.attempts[msg.ID]
	if a == nil || w.silent {
		return wire.StopReply{State: wire.RunNeverStarted}, w.answers()
	}
	if !msg.Query && a.State == wire.RunRunning {
		a.State = wire.RunStopped
	}
	return wire.StopReply{State: a.State}, nil
}

// Renew implements Workers.
func (w *fakeWorker) Renew(_ context.Context, _ string, msg wire.Renew) (wire.RenewReply, error) {
	if err := w.answers(); err != nil {
		return wire.RenewReply{}, err
	}
	w.expire()
	for _, l := range msg.Leases {
		if a := w.attempts[l.ID]; a != nil && a.State == wire.RunRunning {
			w.leases[l.ID] = w.now() + time.Duration(l.LeaseMS)*time.Millisecond
		}
	}
	return wire.RenewReply{}, nil
}

// Ack implements Workers.
func (w *fakeWorker) Ack(_ context.Context, _ string, msg wire.Ack) error {
	if err := w.answers(); err != nil {
		return err
	}
	for _, id := range msg.Attempts {
		if a := w.attempts[id.ID]; a != nil && a.State != wire.RunRunning {
			delete(w.attempts, id.ID)
		}
	}
	return nil
}

// Throttle implements Workers.
func (w *fakeWorker) Throttle(context.Context, string, wire.Throttle) error { return w.answers() }

// Checkpoint implements Workers.
func (w *fakeWorker) Checkpoint(ctx context.Context, address string, msg wire.Checkpoint) (wire.StopReply, error) {
	return w.Stop(ctx, address, wire.Stop{ID: msg.ID, Generation: msg.Generation})
}

// shardOwner records the ends that it is told and has them recorded at once.
type shardOwner struct{ ended []wire.EndedTask }

// Call implements peer.Caller.
func (s *shardOwner) Call(_ context.Context, _, _ string, args, reply any) error {
	for _, e := range args.(*wire.TaskEndedArgs).Ended {
		s.ended = append(s.ended, e)
		answer := reply.(*wire.TaskEndedReply)
		answer.Recorded = append(answer.Recorded, e.TaskID)
	}
	return nil
}

type noMembership struct{}

// ReportVM implements Membership.
func (noMembership) ReportVM(string, int64, bool) {}

// harness drives an owner of one worker without its goroutine.
type harness struct {
	*Owner
	now    time.Duration
	worker *fakeWorker
	shards *shardOwner
	holder *view.Holder
}

func newHarness(t *testing.T, capacity resource.Vector) *harness {
	h := &harness{now: time.Minute, shards: &shardOwner{}, holder: view.NewHolder()}
	clock := func() time.Duration { return h.now }
	h.worker = &fakeWorker{now: clock, incarnation: 1, capacity: capacity, attempts: map[string]*wire.Attempt{}, leases: map[string]time.Duration{}}
	h.Owner = New(Options{
		Self: "d", View: h.holder, Peers: h.shards, Workers: h.worker, Membership: noMembership{}, Log: event.Discard(),
		Now: clock, Random: rand.New(rand.NewPCG(1, 1)), Calls: syncPool{}, ReportInterval: 2 * time.Second,
	})
	h.ctx = t.Context()
	h.own(testEpoch)
	return h
}

// own publishes a view in which this daemon owns the rack under the epoch, and all
// key shards.
func (h *harness) own(epoch int64) {
	vm := wire.VM{Name: testVM, Address: "a", Role: wire.RoleWorker, State: wire.VMLive, DataCentre: "c", Rack: "r", Capacity: h.worker.capacity}
	rack := wire.RackUnit("c", "r")
	s := &view.Snapshot{
		Self:    view.Daemon{Name: "d", Live: true},
		Set:     &object.Set{Pools: map[string]*object.Pool{poolName: {Name: poolName, Fencing: true}}},
		Units:   map[string]view.Unit{rack: {Name: rack, Owner: "d", Epoch: epoch, Mine: true, LeaseUntil: h.now + time.Hour}},
		Daemons: map[string]view.Daemon{"d": {Name: "d", Live: true}},
		VMs:     map[string]view.VM{testVM: {VM: vm}},
	}
	for shard := range wire.ShardCount {
		name := wire.ShardUnit(shard)
		s.Units[name] = view.Unit{Name: name, Owner: "d", Epoch: 1, Mine: true, LeaseUntil: h.now + time.Hour}
	}
	h.holder.Publish(s)
}

func (h *harness) pump() {
	for {
		select {
		case m := <-h.messages:
			m.handle(h.Owner)
		default:
			return
		}
	}
}

// pass lets time pass in steps of the owner's tick or longer ones.
func (h *harness) pass(d, step time.Duration) {
	for end := h.now + d; h.now < end; {
		h.now += min(step, end-h.now)
		h.reconcile(h.holder.Current())
		h.tick()
		h.pump()
	}
}

func (h *harness) borrow(args wire.BorrowArgs) wire.BorrowReply {
	args.Pool = poolName
	call := borrowCall{args: &args, reply: make(chan wire.BorrowReply, 1)}
	call.handle(h.Owner)
	return <-call.reply
}

func (h *harness) lend(want int64) wire.BorrowReply {
	return h.borrow(wire.BorrowArgs{Borrower: "b", Want: want})
}

func lentSlots(reply wire.BorrowReply) int64 {
	sum := int64(0)
	for _, l := range reply.Loans {
		sum += l.Slots
	}
	return sum
}

func (h *harness) reserve(id string, size resource.Vector) []wire.Reservation {
	ask := wire.TaskAsk{TaskID: id, Job: "j", Generation: 1, Pool: poolName, Resources: size}
	args := &wire.ReserveArgs{From: "d", ShardEpoch: 1, TTLMS: 2000, Asks: []wire.TaskAsk{ask}}
	call := reserveCall{args: args, reply: make(chan reserveAnswer, 1)}
	call.handle(h.Owner)
	return (<-call.reply).reply.Reservations
}

func (h *harness) start(r wire.Reservation, size resource.Vector) wire.StartOutcome {
	start := wire.Start{ID: r.TaskID, Generation: r.Generation, Kind: wire.KindTask, Job: "j", Resources: size}
	args := &wire.StartArgs{From: "d", ShardEpoch: 1, Starts: []wire.ReservedStart{{ReservationID: r.ID, Start: start}}}
	call := startCall{args: args, reply: make(chan startBatch, 1)}
	call.handle(h.Owner)
	batch := <-call.reply
	if len(batch.refused) > 0 {
		return batch.refused[0]
	}
	h.pump()
	return <-batch.outcomes
}
