package rack

import (
	"context"
	"sync/atomic"
	"time"

	"briarproxy/core/estimate"
	"briarproxy/core/fault"
	"briarproxy/core/loan"
	"briarproxy/core/place"
	"briarproxy/core/quarantine"
	"briarproxy/core/wire"
	"briarproxy/daemon/view"
)

// Owner is the authority over the workers of this daemon's rack units.
type Owner struct {
	Options
	messages chan message
	done     chan struct{}

	// The fields below belong to the goroutine that runs Serve.
	ctx          context.Context
	lastView     *view.Snapshot
	workers      map[string]*worker
	byTask       map[string]*worker // task id -> worker with its newest attempt
	cell         *place.Cell
	ledger       *loan.Ledger
	failures     *quarantine.Tracker
	sizes        *estimate.Estimator
	reservations map[int64]reserved
	notices      map[string]*attempt // ended attempts by task id, until their end is recorded
	nextID       int64
	draining     bool
	unfenced     atomic.Pointer[map[string]bool] // rack units with workers that were never fenced; read by any goroutine
	slotDemand   map[string]slotDemand           // by pool
	wants        map[want]time.Duration          // borrowers that got less than they wanted, until when
}

// message is handled by the owner's goroutine.
type message interface{ handle(o *Owner) }

// New returns an owner. Call Serve to run it.
func New(options Options) *Owner {
	return &Owner{
		Options: options, messages: make(chan message, 1024), done: make(chan struct{}),
		workers: map[string]*worker{}, byTask: map[string]*worker{}, cell: place.NewCell(),
		ledger: newLedger(), failures: quarantine.New(quarantine.Defaults()),
		sizes: estimate.New(estimate.Defaults()), reservations: map[int64]reserved{},
		slotDemand: map[string]slotDemand{}, wants: map[want]time.Duration{}, notices: map[string]*attempt{},
	}
}

// Serve runs until ctx ends.
func (o *Owner) Serve(ctx context.Context) {
	o.ctx = ctx
	defer close(o.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		changed := o.View.Changed()
		o.reconcile(o.View.Current())
		select {
		case <-ctx.Done():
			return
		case m := <-o.messages:
			m.handle(o)
		case <-changed:
		case <-ticker.C:
			o.tick()
		}
	}
}

func (o *Owner) send(m message) error {
	select {
	case o.messages <- m:
		return nil
	case <-o.done:
		return fault.New(fault.Refused, "ask the rack's next owner", "daemon %q is stopping", o.Self)
	}
}

// ask sends a message and waits for its reply.
func ask[T any](o *Owner, m message, reply <-chan T) (T, error) {
	var zero T
	if err := o.send(m); err != nil {
		return zero, err
	}
	select {
	case answer := <-reply:
		return answer, nil
	case <-o.done:
		return zero, fault.New(fault.Unavailable, "ask the rack's next owner", "daemon %q has stopped", o.Self)
	}
}

// reconcile follows the ownership of racks and the VM list.
func (o *Owner) reconcile(snapshot *view.Snapshot) {
	if snapshot == o.lastView {
		return
	}
	o.lastView = snapshot
	for name, w := range o.workers {
		unit := snapshot.Units[w.unit]
		if !unit.Mine || unit.Epoch != w.epoch {
			o.drop(name, "the rack unit has another owner")
		}
	}
	for name, w := range o.workers {
		if _, listed := snapshot.VMs[name]; !listed && len(w.attempts) == 0 {
			o.drop(name, "the VM is gone")
		}
	}
	for name, vm := range snapshot.VMs {
		if vm.Role != wire.RoleWorker {
			continue
		}
		unit := snapshot.Units[wire.RackUnit(vm.DataCentre, vm.Rack)]
		if unit.Mine {
			o.adopt(name, vm, unit)
		}
	}
}

func (o *Owner) adopt(name string, vm view.VM, unit view.Unit) {
	w := o.workers[name]
	if w == nil {
		w = &worker{unit: unit.Name, epoch: unit.Epoch, attempts: map[string]*attempt{}, capacity: vm.Capacity, takenAt: o.Now()}
		if unit.Name == "" {
			w.unit = wire.RackUnit(vm.DataCentre, vm.Rack)
		}
		o.workers[name] = w
	}
	if w.vm.Address != "" && w.vm.Address != vm.Address {
		w.fenced = false // a VM of the same name on another address: its inventory is read first
	}
	w.vm = vm
	o.describe(w)
}

// describe brings the cell's entry for the worker up to date.
func (o *Owner) describe(w *worker) {
	set := o.lastView.Set
	pools := make([]string, 0, 2)
	w.fencing = true
	for name, pool := range set.Pools {
		if view.PoolOf(pool, w.vm) {
			pools = append(pools, name)
			w.fencing = w.fencing && pool.Fencing
		}
	}
	if !w.fenced {
		return
	}
	o.cell.UpdateWorker(place.Worker{
		VM: w.vm.Name, Region: w.vm.Region, DataCentre: w.vm.DataCentre, Rack: w.vm.Rack,
		Incarnation: w.incarnation, Pools: pools, Capacity: w.capacity,
	})
	if w.vm.Leaving || w.draining {
		o.cell.SetDraining(w.vm.Name)
	}
	o.cell.SetLive(w.vm.Name, o.usable(w, o.Now()))
}

// usable reports whether new work may be placed on the worker.
func (o *Owner) usable(w *worker, now time.Duration) bool {
	return w.fenced && !o.draining && now-w.clockAt <= reportMaxAge && o.authorised(w, now)
}

// authorised reports whether this daemon may still act for the worker's rack. With
// fencing it may until it knows of a successor, because the successor fences the
// worker before it places there. Without, it may only while its lease is valid.
//
// now must have been read before the call: whatever is sent on the strength of it is
// valid for a bounded time after now, so it is refused if this process is paused
// between the check and the send.
func (o *Owner) authorised(w *worker, now time.Duration) bool {
	unit := o.View.Current().Units[w.unit]
	return unit.Mine && unit.Epoch == w.epoch && (w.fencing || now < unit.LeaseUntil)
}

// drop forgets a worker whose rack is not owned any more. Its next owner reads
// from the worker what runs there.
func (o *Owner) drop(name, reason string) {
	w := o.workers[name]
	o.Log.Emit(eventDropped, "vm", name, "reason", reason)
	for id := range w.attempts {
		delete(o.byTask, id)
		delete(o.notices, id)
	}
	for id, r := range o.reservations {
		if r.worker == w {
			delete(o.reservations, id)
		}
	}
	o.ledger.Forget(name)
	o.failures.Forget(name)
	o.cell.RemoveWorker(name)
	delete(o.workers, name)
}

func (o *Owner) tick() {
	now := o.Now()
	for _, w := range o.workers {
		o.tickWorker(w, now)
	}
	o.publishUnfenced()
	o.expireReservations(now)
	o.expireLoans(now)
	o.tellEnds(now)
}

func (o *Owner) tickWorker(w *worker, now time.Duration) {
	interval := o.reportInterval(w, now)
	if !w.asking && now-w.askedAt >= interval && o.authorised(w, now) {
		o.askWorker(w, now)
	}
	if w.fenced {
		o.cell.SetLive(w.vm.Name, o.usable(w, now))
		o.renew(w, now)
		o.declareLost(w, now)
	}
}

// reportInterval is the time between reports of a worker. Around the expected ends
// of tasks it is shorter: the room of a task that has ended is found only by a
// report. A task that is far over its expected end does not count.
func (o *Owner) reportInterval(w *worker, now time.Duration) time.Duration {
	if !w.fenced {
		return fenceRetry
	}
	for _, a := range w.attempts {
		overdue := now - a.expectedEnd
		if a.expectedEnd > 0 && !a.ended() && overdue >= 0 && overdue < o.ReportInterval {
			return min(endInterval, o.ReportInterval)
		}
	}
	return o.ReportInterval
}

// publishUnfenced notes which racks have workers that were never fenced under the
// present epoch.
func (o *Owner) publishUnfenced() {
	unfenced := map[string]bool{}
	for _, w := range o.workers {
		if !w.fencedOnce {
			unfenced[w.unit] = true
		}
	}
	o.unfenced.Store(&unfenced)
}

// MustKeep reports whether a rack must not be released, because an earlier owner may
// still renew run leases on one of its workers. A release tells the next owner that
// nobody does.
func (o *Owner) MustKeep(unit string) bool {
	unfenced := o.unfenced.Load()
	return unfenced != nil && (*unfenced)[unit]
}

// Drain stops lending and reserving; what runs goes on under its leases.
func (o *Owner) Drain() { _ = o.send(drain{}) }

type drain struct{}

func (drain) handle(o *Owner) { o.draining = true }
