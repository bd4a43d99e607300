package router

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/stretchr/testify/require"

	"briarproxy/core/object"
	"briarproxy/core/resource"
	"briarproxy/core/wire"
	"briarproxy/daemon/bootclock"
	"briarproxy/daemon/event"
	"briarproxy/daemon/rack"
	"briarproxy/daemon/view"
	"briarproxy/daemon/workerclient"
)

// faultyCell is a router with the real owner of its racks. Some workers fail every
// request; the operation "broken" fails on every worker.
type faultyCell struct {
	router *Router
	owner  *rack.Owner
	skew   atomic.Int64
	mu     sync.Mutex
	faulty map[string]bool
	starts map[string]int // since the last reset, by VM
}

func (c *faultyCell) now() time.Duration { return bootclock.Now() + time.Duration(c.skew.Load()) }

func (c *faultyCell) Fence(_ context.Context, vm string, msg wire.Fence) (wire.Report, error) {
	return wire.Report{VM: vm, Incarnation: 1, ClockMS: c.now().Milliseconds(), Epoch: msg.Epoch, Capacity: resource.Vector{Slots: 1}}, nil
}

func (c *faultyCell) Report(ctx context.Context, vm string) (wire.Report, error) {
	return c.Fence(ctx, vm, wire.Fence{Epoch: 1})
}

func (c *faultyCell) Run(_ context.Context, vm string, start wire.Start) Outcome {
	time.Sleep(time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts[vm]++
	state := wire.RunFinished
	if c.faulty[vm] || start.Operation == "broken" {
		state = wire.RunFailed
	}
	return Outcome{Kind: workerclient.Done, Result: &wire.Result{ID: start.ID, Generation: start.Generation, State: state}}
}

func (c *faultyCell) Ack(context.Context, string, wire.Ack) error { return nil }

func (c *faultyCell) Stop(context.Context, string, wire.Stop) (wire.StopReply, error) {
	return wire.StopReply{}, nil
}

func (c *faultyCell) Call(_ context.Context, _, _ string, args, reply any) error {
	return c.owner.Borrow(args.(*wire.BorrowArgs), reply.(*wire.BorrowReply))
}

// ReportVM implements rack.Membership.
func (c *faultyCell) ReportVM(string, int64, bool) {}

// startsOn returns the starts on the named workers since the last call.
func (c *faultyCell) startsOn(vms ...string) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, vm := range vms {
		n += c.starts[vm]
	}
	c.starts = map[string]int{}
	return n
}

func newFaultyCell(t *testing.T, workers int, faulty ...string) *faultyCell {
	c := &faultyCell{faulty: map[string]bool{}, starts: map[string]int{}}
	for _, vm := range faulty {
		c.faulty[vm] = true
	}
	self := view.Daemon{Name: "self", Live: true, Region: "r1", DataCentre: "a"}
	operations := map[string]*object.Operation{}
	for _, name := range []string{"read", "list", "broken"} {
		operations[name] = &object.Operation{Policy: "normal", Idempotent: true}
	}
	operations["issue"] = &object.Operation{Policy: "normal"}
	snapshot := &view.Snapshot{
		Self: self, ConfigVersion: 1, Units: map[string]view.Unit{}, VMs: map[string]view.VM{},
		Daemons: map[string]view.Daemon{"self": self},
		Set: &object.Set{
			Services: map[string]*object.Service{"s": {Name: "s", Pool: "p", Team: "t", Operations: operations}},
			Policies: map[string]*object.Policy{"normal": {Name: "normal", Deadline: 5 * time.Second, MaxRetries: 2}},
			Pools:    map[string]*object.Pool{"p": {Name: "p", Fencing: true}},
			Teams:    map[string]*object.Team{"t": {Name: "t", Weight: 1}},
		},
	}
	for i := range workers {
		vm := wire.VM{Name: fmt.Sprint("w", i), Address: fmt.Sprint("w", i), Role: wire.RoleWorker, State: wire.VMLive, Region: "r1", DataCentre: "a", Rack: fmt.Sprint(i / 8)}
		unit := wire.RackUnit(vm.DataCentre, vm.Rack)
		snapshot.VMs[vm.Name] = view.VM{VM: vm}
		snapshot.Units[unit] = view.Unit{Name: unit, Owner: "self", Epoch: 1, Mine: true}
	}
	holder := view.NewHolder()
	holder.Publish(snapshot)
	c.owner = rack.New(rack.Options{
		Self: "self", View: holder, Peers: c, Workers: rackSide{c}, Membership: c, Log: event.Discard(), Now: c.now,
		Random: rand.New(rand.NewPCG(1, 2)), Calls: pond.NewPool(16), ReportInterval: 200 * time.Millisecond,
	})
	c.router = New(Options{
		Peers: c, Workers: routerSide{c}, View: holder, Log: event.Discard(), Now: c.now,
		Random: rand.New(rand.NewPCG(1, 3)), Calls: pond.NewPool(16), Follow: pond.NewPool(16),
	})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { c.owner.Serve(ctx) })
	running.Go(func() { c.router.Serve(ctx) })
	t.Cleanup(func() { cancel(); running.Wait() })
	return c
}

// rackSide and routerSide name the methods that both protocols' clients have.
type rackSide struct{ *faultyCell }

type routerSide struct{ *faultyCell }

func (s routerSide) Resolve(context.Context, string, wire.Start) (Outcome, bool) {
	return Outcome{}, false
}

func (s rackSide) Start(context.Context, string, wire.Start) (wire.StartReply, error) {
	return wire.StartReply{}, nil
}

func (s rackSide) Renew(context.Context, string, wire.Renew) (wire.RenewReply, error) {
	return wire.RenewReply{}, nil
}

func (s rackSide) Throttle(context.Context, string, wire.Throttle) error { return nil }

func (s rackSide) Checkpoint(context.Context, string, wire.Checkpoint) (wire.StopReply, error) {
	return wire.StopReply{}, nil
}

// request sends one request and returns its problem.
func (c *faultyCell) request(id, operation string) *wire.Problem {
	_, p := c.router.Handle(context.Background(), Request{ID: id, Service: "s", Operation: operation})
	return p
}

// load sends requests of two operations from 24 callers and returns the number
// that got no answer.
func (c *faultyCell) load(n int) (failed int) {
	var wg sync.WaitGroup
	var bad atomic.Int64
	for caller := range 24 {
		wg.Go(func() {
			for i := range n / 24 {
				if c.request(fmt.Sprint(caller, "-", i), []string{"read", "list"}[i%2]) != nil {
					bad.Add(1)
				}
			}
		})
	}
	wg.Wait()
	return int(bad.Load())
}

// Guards against workers that fail everything and go on drawing requests, because
// a quick failure leaves their slots free.
func TestWorkersThatFailEverythingAreAvoided(t *testing.T) {
	bad := []string{"w3", "w12"}
	c := newFaultyCell(t, 20, bad...)
	tried := 0
	require.Eventually(t, func() bool {
		c.load(240)
		starts := c.startsOn(bad...)
		tried += starts
		return tried > 6 && starts == 0
	}, 10*time.Second, time.Millisecond, "the faulty workers are isolated")
	require.Zero(t, c.load(2400), "requests without an answer")
	require.LessOrEqual(t, c.startsOn(bad...), 1, "starts on isolated workers")

	c.skew.Add(int64(31 * time.Second)) // the backoff ends
	probed := 0
	require.Eventually(t, func() bool {
		failed := c.load(240)
		probed += c.startsOn(bad...)
		return failed == 0 && probed == len(bad)
	}, 10*time.Second, time.Millisecond, "one probe for each worker")
	c.load(2400)
	require.Zero(t, c.startsOn(bad...), "starts between probes")

	c.mu.Lock()
	c.faulty = map[string]bool{}
	c.mu.Unlock()
	c.skew.Add(int64(61 * time.Second))
	require.Eventually(t, func() bool {
		c.load(240)
		return c.startsOn(bad[0]) > 1
	}, 10*time.Second, time.Millisecond, "a worker that was repaired is used again")
}

// Guards against the isolation of healthy workers when an operation, or every
// operation of a service, fails on all workers.
func TestOperationThatFailsEverywhereIsolatesNobody(t *testing.T) {
	c := newFaultyCell(t, 4)
	for i := range 40 {
		p := c.request(fmt.Sprint("b", i), "broken")
		require.NotNil(t, p)
		require.Equal(t, wire.OutcomeRan, p.Outcome, "%+v", p)
	}
	for i := range 4 {
		c.faulty[fmt.Sprint("w", i)] = true
	}
	c.load(240)
	c.mu.Lock()
	c.faulty = map[string]bool{}
	c.mu.Unlock()
	require.Eventually(t, func() bool { return c.load(240) == 0 }, 10*time.Second, 10*time.Millisecond)
	c.startsOn()
	used := 0
	c.load(480)
	c.mu.Lock()
	defer c.mu.Unlock()
	for range c.starts {
		used++
	}
	require.GreaterOrEqual(t, used, 3, "workers in use after the service was repaired: %v", c.starts)
}

// Guards against a request that is answered as failed although another worker
// could run it, and against waiting
// for another worker where there is none.
func TestFailedRunGoesToAnotherWorker(t *testing.T) {
	c := newFaultyCell(t, 6, "w0")
	require.Zero(t, c.load(24), "requests without an answer")
	require.NotZero(t, c.startsOn("w0"), "the faulty worker was tried")

	alone := newFaultyCell(t, 1, "w0")
	began := time.Now()
	p := alone.request("r", "read")
	require.NotNil(t, p)
	require.Equal(t, "briar:request-failed", p.Type)
	require.Equal(t, wire.OutcomeRan, p.Outcome)
	require.Less(t, time.Since(began), 2*time.Second, "answered at once")
}

// Guards against run counts that grow with the number of workers, and against
// successes that push failures out.
func TestRunCountsAreBounded(t *testing.T) {
	counts := runCounts{}
	for i := range 10 * wire.MaxRunCounts {
		counts.add(runKey{vm: fmt.Sprint(i)}, false)
	}
	counts.add(runKey{vm: "faulty"}, true)
	list := counts.take()
	require.Len(t, list, wire.MaxRunCounts)
	require.Contains(t, list, wire.RunCount{VM: "faulty", Failed: 1})
	require.Empty(t, counts.take())
}
