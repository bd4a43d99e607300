package router

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/alitto/pond/v2"

	"briarproxy/core/object"
	"briarproxy/core/wire"
	"briarproxy/daemon/bootclock"
	"briarproxy/daemon/event"
	"briarproxy/daemon/view"
	"briarproxy/daemon/workerclient"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// testWorker is a worker with the rules of the protocol that requests need.
type testWorker struct {
	vm      wire.VM
	mu      sync.Mutex
	ran     map[string]int // starts accepted, by id and generation
	results map[string]*wire.Result
	banned  map[string]bool
	running int
	peak    int
	runTime time.Duration
	refuse  wire.Refusal
	mangle  func(n int, reply *wire.StartReply) bool // changes an answer; false: never answers
	forget  int                                      // stops answered without the result
	lose    *atomic.Int64                            // number of starts still to be taken off a connection and lost
	starts  int
}

func attemptKey(id string, generation int64) string { return fmt.Sprint(id, "/", generation) }

func (w *testWorker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case wire.PathStart:
		w.start(out, r)
	case wire.PathStop:
		var msg wire.Stop
		_ = json.NewDecoder(r.Body).Decode(&msg)
		_ = json.NewEncoder(out).Encode(w.stop(msg))
	case wire.PathReport:
		_ = json.NewEncoder(out).Encode(wire.Report{VM: w.vm.Name, Incarnation: 1})
	}
}

func (w *testWorker) start(out http.ResponseWriter, r *http.Request) {
	var msg wire.Start
	_ = json.NewDecoder(r.Body).Decode(&msg)
	w.mu.Lock()
	w.starts++
	n := w.starts
	w.mu.Unlock()
	if w.lose.Add(-1) >= 0 {
		<-r.Context().Done()
		return
	}
	reply := w.run(msg)
	if w.mangle != nil && !w.mangle(n, &reply) {
		<-r.Context().Done()
		return
	}
	_ = json.NewEncoder(out).Encode(reply)
}

func (w *testWorker) run(msg wire.Start) wire.StartReply {
	key := attemptKey(msg.ID, msg.Generation)
	w.mu.Lock()
	if w.refuse != "" || w.banned[key] {
		defer w.mu.Unlock()
		return wire.StartReply{Refused: max(w.refuse, wire.RefusedDraining)}
	}
	w.ran[key]++
	w.running++
	w.peak = max(w.peak, w.running)
	w.mu.Unlock()
	time.Sleep(w.runTime)
	digest := sha256.Sum256(msg.Body)
	result := &wire.Result{ID: msg.ID, Generation: msg.Generation, State: wire.RunFinished, Length: int64(len(msg.Body)), Digest: hex.EncodeToString(digest[:]), Body: msg.Body}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
	w.results[key] = result
	copied := *result
	return wire.StartReply{Result: &copied}
}

func (w *testWorker) stop(msg wire.Stop) wire.StopReply {
	key := attemptKey(msg.ID, msg.Generation)
	w.mu.Lock()
	defer w.mu.Unlock()
	if result, found := w.results[key]; found {
		if w.forget > 0 {
			w.forget--
			result = nil
		}
		return wire.StopReply{State: wire.RunFinished, Result: result}
	}
	if w.ran[key] > 0 {
		return wire.StopReply{State: wire.RunRunning}
	}
	w.banned[key] = true
	return wire.StopReply{State: wire.RunNeverStarted}
}

// runs counts the accepted starts of a request over all workers.
func runs(id string, workers ...*testWorker) int {
	total := 0
	for _, w := range workers {
		w.mu.Lock()
		for key, n := range w.ran {
			if strings.HasPrefix(key, id+"/") {
				total += n
			}
		}
		w.mu.Unlock()
	}
	return total
}

// fakePeers lends slots of the workers and answers shard calls.
type fakePeers struct {
	mu      sync.Mutex
	workers map[string][]*testWorker // by lender
	slots   int64                    // per worker
	ttl     time.Duration
	lent    map[int64]int64
	asked   map[string]int
	granted int // loans
	decline bool
	forward func(n int, args *wire.ForwardArgs, reply *wire.ForwardReply) error
	keys    []string
	job     func(args *wire.JobArgs, reply *wire.JobReply) error
	clock   func() time.Duration
	quota   func(args *wire.QuotaArgs, reply *wire.QuotaReply) error
}

func (f *fakePeers) Call(_ context.Context, daemon, method string, args, reply any) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch method {
	case wire.RPCBorrow:
		f.lend(daemon, args.(*wire.BorrowArgs), reply.(*wire.BorrowReply))
	case wire.RPCForward:
		f.keys = append(f.keys, args.(*wire.ForwardArgs).Key)
		return f.forward(len(f.keys), args.(*wire.ForwardArgs), reply.(*wire.ForwardReply))
	case wire.RPCQuota:
		return f.quota(args.(*wire.QuotaArgs), reply.(*wire.QuotaReply))
	case wire.RPCJob:
		return f.job(args.(*wire.JobArgs), reply.(*wire.JobReply))
	}
	return nil
}

func (f *fakePeers) lend(daemon string, args *wire.BorrowArgs, reply *wire.BorrowReply) {
	f.asked[daemon]++
	for _, back := range args.Return {
		delete(f.lent, back.LoanID)
	}
	if f.decline {
		reply.Lapsed = args.Renew
	} else {
		reply.Renewed = args.Renew
	}
	for i, w := range f.workers[daemon] {
		id := int64(daemon[len(daemon)-1])*1000 + int64(i)
		if args.Want <= 0 || f.lent[id] > 0 {
			continue
		}
		args.Want -= f.slots
		f.lent[id] = f.slots
		f.granted++
		reply.Loans = append(reply.Loans, wire.Loan{
			ID: id, VM: w.vm.Name, Address: w.vm.Address, Region: w.vm.Region, DataCentre: w.vm.DataCentre, Slots: f.slots,
			Epoch: 5, Incarnation: 1, WorkerClockMS: f.clock().Milliseconds(), TTLMS: f.ttl.Milliseconds(), MaxDeadlineMS: 20_000, LenderInstance: daemon,
		})
	}
}

// harness is a router with stand-ins around it.
type harness struct {
	*Router
	t       testing.TB
	peers   *fakePeers
	holder  *view.Holder
	mu      sync.Mutex
	skew    time.Duration
	workers []*testWorker
}

func (h *harness) now() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return bootclock.Now() + h.skew
}

func (h *harness) advance(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.skew += d
}

// newHarness builds one worker per given region; the lender of a worker in region
// "r1" is "d-r1".
func newHarness(t testing.TB, regions ...string) *harness {
	h := &harness{t: t, holder: view.NewHolder()}
	h.peers = &fakePeers{workers: map[string][]*testWorker{}, slots: 2, ttl: 10 * time.Second, lent: map[int64]int64{}, asked: map[string]int{}, clock: h.now}
	snapshot := &view.Snapshot{
		Self:          view.Daemon{Name: "self", Region: "r1", DataCentre: "r1-a"},
		ConfigVersion: 1,
		Units:         map[string]view.Unit{},
		Daemons:       map[string]view.Daemon{"owner": {Name: "owner", Live: true}},
		VMs:           map[string]view.VM{},
		Set: &object.Set{
			Services: map[string]*object.Service{"s": {Name: "s", Pool: "p", Team: "t", Operations: map[string]*object.Operation{
				"read":    {Policy: "normal", Idempotent: true, MaxRunTime: 10 * time.Second},
				"issue":   {Policy: "normal"},
				"survey":  {Policy: "durable", Idempotent: true},
				"anyhere": {Policy: "wide", Idempotent: true, MaxRunTime: 10 * time.Second},
			}}},
			Policies: map[string]*object.Policy{
				"normal":  {Name: "normal", Priority: 5, Deadline: 4 * time.Second},
				"wide":    {Name: "wide", Priority: 5, Deadline: 4 * time.Second, CrossRegion: true},
				"durable": {Name: "durable", Durable: true, Deadline: time.Hour},
			},
			Pools: map[string]*object.Pool{"p": {Name: "p"}},
			Teams: map[string]*object.Team{"t": {Name: "t", Weight: 1}},
		},
	}
	lose := &atomic.Int64{}
	for i, region := range regions {
		w := &testWorker{lose: lose, ran: map[string]int{}, results: map[string]*wire.Result{}, banned: map[string]bool{}}
		server := httptest.NewServer(w)
		t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
		w.vm = wire.VM{Name: fmt.Sprint("w", i), Address: strings.TrimPrefix(server.URL, "http://"), Role: wire.RoleWorker, State: wire.VMLive, Region: region, DataCentre: region + "-a", Rack: "k"}
		lender := "d-" + region
		h.workers = append(h.workers, w)
		h.peers.workers[lender] = append(h.peers.workers[lender], w)
		snapshot.VMs[w.vm.Name] = view.VM{VM: w.vm}
		snapshot.Daemons[lender] = view.Daemon{Name: lender, Live: true}
		unit := wire.RackUnit(w.vm.DataCentre, "k")
		snapshot.Units[unit] = view.Unit{Name: unit, Owner: lender}
	}
	for shard := range wire.ShardCount {
		unit := wire.ShardUnit(shard)
		snapshot.Units[unit] = view.Unit{Name: unit, Owner: "owner"}
	}
	h.holder.Publish(snapshot)
	workers := workerclient.New()
	h.Router = New(Options{
		Peers: h.peers, Workers: workers, View: h.holder, Log: event.Discard(), Now: h.now,
		Random: rand.New(rand.NewPCG(1, 1)), Calls: pond.NewPool(16), Follow: pond.NewPool(16),
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { h.Serve(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
	return h
}

func (h *harness) handle(id, operation string) (*Answer, *wire.Problem) {
	return h.Handle(context.Background(), Request{ID: id, Service: "s", Operation: operation, IdempotencyKey: "k-" + id, Body: []byte("body of " + id)})
}

func (h *harness) query(wait time.Duration) Query {
	return Query{RequestID: "q", Service: "s", Pool: "p", Class: "normal", Team: "t", Deadline: h.now() + wait}
}
