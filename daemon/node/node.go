package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/phuslu/log"

	"briarproxy/core/fault"
	"briarproxy/core/ownership"
	"briarproxy/core/wire"
	"briarproxy/daemon/adminapi"
	"briarproxy/daemon/bootclock"
	"briarproxy/daemon/callerapi"
	"briarproxy/daemon/control"
	"briarproxy/daemon/event"
	"briarproxy/daemon/logclient"
	"briarproxy/daemon/metric"
	"briarproxy/daemon/peer"
	"briarproxy/daemon/rack"
	"briarproxy/daemon/router"
	"briarproxy/daemon/settings"
	"briarproxy/daemon/shard"
	"briarproxy/daemon/view"
	"briarproxy/daemon/vmlist"
	"briarproxy/daemon/workerclient"
)

// Bounds of the pools that make outgoing calls, and other times.
const (
	rackCalls      = 512
	shardCalls     = 512
	routerCalls    = 64
	followCalls    = 512
	reportInterval = 2 * time.Second
	drainTimeout   = 60 * time.Second // for requests in flight, after the drain delay
	releaseTimeout = 3 * time.Second
)

// Node is one daemon.
type Node struct {
	settings   *settings.Settings
	events     *event.Logger
	listeners  listeners
	holder     *view.Holder
	log        *logclient.Client
	workers    *workerclient.Client
	peers      *peer.Client
	server     *peer.Server
	control    *control.Control
	racks      *rack.Owner
	shards     *shard.Manager
	router     *router.Router
	callers    *callerapi.Server
	admin      *adminapi.Server
	monitor    *http.Server
	metrics    *metric.Metrics
	pools      []pond.Pool
	cellRate   atomic.Int64 // log appends a second of the whole cell
	drainDelay atomic.Int64 // time.Duration
	life       *life
	running    sync.WaitGroup
}

type listeners struct{ caller, peer, admin, metrics net.Listener }

// New opens the listeners and builds the daemon. Errors are of kind fault.Invalid
// and name the setting to change.
func New(s *settings.Settings, logOutput io.Writer) (*Node, error) {
	debug.SetMemoryLimit(s.MemoryLimitBytes)
	n := &Node{settings: s, holder: view.NewHolder(), metrics: metric.New()}
	n.events = event.NewLogger(logOutput, log.ParseLevel(s.LogLevel), s.Name)
	n.cellRate.Store(int64(s.LogAppendsPerSecond))
	n.drainDelay.Store(int64(s.DrainDelay))
	n.life = newLife(n.events)
	if err := n.listen(); err != nil {
		n.life.step(startFailed)
		return nil, err
	}
	if err := n.build(); err != nil {
		n.life.step(startFailed)
		n.closeListeners()
		return nil, err
	}
	n.life.step(listening)
	return n, nil
}

func (n *Node) listen() error {
	for _, l := range []struct {
		name    string
		address string
		on      bool
		target  *net.Listener
	}{
		{"listen.caller", n.settings.Listen.Caller, true, &n.listeners.caller},
		{"listen.peer", n.settings.Listen.Peer, true, &n.listeners.peer},
		{"listen.metrics", n.settings.Listen.Metrics, true, &n.listeners.metrics},
		{"listen.admin", n.settings.Listen.Admin, n.settings.AdminEnabled(), &n.listeners.admin},
	} {
		if !l.on {
			continue
		}
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			n.closeListeners()
			return fault.Wrap(err, fault.Invalid, "choose a free address of this VM", "%s: can't listen on %s", l.name, l.address)
		}
		*l.target = listener
	}
	return nil
}

func (n *Node) closeListeners() {
	for _, l := range []net.Listener{n.listeners.caller, n.listeners.peer, n.listeners.admin, n.listeners.metrics} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// Addresses describes the open listeners in one line.
func (n *Node) Addresses() string {
	admin := "off"
	if n.listeners.admin != nil {
		admin = n.listeners.admin.Addr().String()
	}
	return fmt.Sprintf("caller=%s peer=%s admin=%s metrics=%s",
		n.listeners.caller.Addr(), n.listeners.peer.Addr(), admin, n.listeners.metrics.Addr())
}

// advertised returns the address that others use, by default the listener's own.
func advertised(setting string, listener net.Listener) string {
	if listener == nil || setting != "" && !strings.HasSuffix(setting, ":0") {
		return setting
	}
	return listener.Addr().String()
}

func (n *Node) pool(size int) pond.Pool {
	p := pond.NewPool(size)
	n.pools = append(n.pools, p)
	return p
}

func (n *Node) self() view.Daemon {
	return view.Daemon{
		Name: n.settings.Name, Incarnation: time.Now().UnixMicro(),
		Region: n.settings.Region, DataCentre: n.settings.DataCentre,
		PeerAddress:   advertised(n.settings.Advertise.Peer, n.listeners.peer),
		CallerAddress: advertised(n.settings.Advertise.Caller, n.listeners.caller),
		AdminAddress:  advertised("", n.listeners.admin),
	}
}

func (n *Node) build() error {
	self := n.self()
	counts := newTraffic(n.metrics, n.holder)
	n.log = logclient.New(n.settings.LogURL, logclient.WithTraffic(counts.log), logclient.WithAppended(counts.appended))
	n.workers = workerclient.New(workerclient.WithTraffic(counts.worker))
	n.peers = peer.NewClient(self.Name, n.peerAddress, nil)
	n.peers.SetTraffic(counts.peer)
	budget := logclient.NewBudget(float64(n.settings.LogAppendsPerSecond))
	n.buildControl(self, budget)
	n.racks = rack.New(rack.Options{
		Self: self.Name, View: n.holder, Peers: n.peers, Workers: n.workers, Membership: n.control,
		Log: n.events, Now: bootclock.Now, Random: newRandom(), Calls: n.pool(rackCalls), ReportInterval: reportInterval,
	})
	n.router = router.New(router.Options{
		Peers: n.peers, Workers: n.workers, View: n.holder, Log: n.events, Observer: n.metrics,
		Now: bootclock.Now, Random: newRandom(), Calls: n.pool(routerCalls), Follow: n.pool(followCalls),
	})
	n.shards = shard.New(shard.Options{
		Self: self.Name, View: n.holder, Peers: n.peers, Requests: n.router, Stream: n.streams(self, budget),
		Log: n.events, Observer: n.metrics, Now: bootclock.Now, WallMS: func() int64 { return time.Now().UnixMilli() },
		Random: newRandom, Calls: n.pool(shardCalls), Retention: n.settings.LogRetention,
	})
	n.metrics.ObservePools(n.router)
	return n.buildServers()
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func (n *Node) buildControl(self view.Daemon, budget *logclient.Budget) {
	timing := ownership.DefaultTiming()
	timing.Lease = n.settings.Lease.Duration
	n.control = control.New(control.Options{
		Self: self, Log: n.log, VMs: vmlist.New(n.settings.VMListURL), Peers: n.peers, View: n.holder,
		Events: n.events, Now: bootclock.Now, Timing: timing, Heartbeat: n.settings.Lease.HeartbeatInterval,
		Retention: n.settings.LogRetention, Budget: budget, Keep: func(unit string) bool { return n.racks.MustKeep(unit) }, CellRate: func() float64 { return float64(n.cellRate.Load()) },
	})
}

func (n *Node) buildServers() error {
	h := &handler{view: n.holder, control: n.control, racks: n.racks, shards: n.shards}
	n.peers.SetLocal(h)
	var err error
	if n.server, err = peer.NewServer(n.listeners.peer, h); err != nil {
		return err
	}
	limits := n.settings.Limits
	n.callers = callerapi.New(callerapi.Options{
		Router: n.router, View: n.holder, Log: n.events, Now: bootclock.Now,
		MaxConnections: limits.MaxConnections, MaxBody: limits.MaxBodyBytes, HeaderTimeout: limits.ReadTimeout,
		BodyTimeout: limits.ReadTimeout, WriteTimeout: limits.WriteTimeout, IdleTimeout: limits.IdleTimeout,
	})
	n.monitor = adminapi.MonitorServer(adminapi.Monitor(n, n.metrics.Registry))
	return n.buildAdmin()
}

func (n *Node) buildAdmin() error {
	if !n.settings.AdminEnabled() {
		return nil
	}
	token, err := os.ReadFile(n.settings.Admin.TokenFile)
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "name a readable file or leave the setting out to turn the admin API off", "admin.token_file can't be read")
	}
	n.admin, err = adminapi.New(adminapi.Options{
		Token: strings.TrimSpace(string(token)), CertFile: n.settings.Admin.TLSCert, KeyFile: n.settings.Admin.TLSKey,
		View: n.holder, Pools: n.router, Summaries: summaries{n.racks}, Log: n.events,
		Explainers: []adminapi.Explainer{adminapi.ExplainFunc(n.explainRequest), adminapi.ExplainFunc(n.explainJob)},
	})
	return err
}

// peerAddress finds a daemon for the peer client.
func (n *Node) peerAddress(name string) (string, bool) {
	d, known := n.holder.Current().Daemons[name]
	return d.PeerAddress, known && d.PeerAddress != ""
}

// Ready implements adminapi.Readiness.
func (n *Node) Ready() (ready bool, reason string) {
	state := n.life.state()
	if state != stateServing && state != stateSyncing {
		return false, string(state)
	}
	if reason := n.missing(); reason != "" {
		return false, reason
	}
	return state == stateServing, either(state == stateServing, "ready", "syncing")
}

// missing says what the daemon has not read yet, "" when it knows everything that
// it needs to serve.
func (n *Node) missing() string {
	switch {
	case n.holder.Current().ConfigVersion == 0:
		return "no configuration is in force yet"
	case len(n.holder.Current().VMs) == 0:
		return "the VM list was not read yet"
	case n.life.state() == stateSyncing && !ownsRacks(n.holder.Current()):
		return "no rack has an owner yet"
	}
	return ""
}

// ownsRacks reports whether any rack has an owner. It matters at the start only: a
// cell that loses its owners later must not look down to the load balancer.
func ownsRacks(s *view.Snapshot) bool {
	for _, vm := range s.VMs {
		if _, owned := s.OwnerOf(wire.RackUnit(vm.DataCentre, vm.Rack)); owned {
			return true
		}
	}
	return false
}

// Run serves until ctx ends, then makes a planned stop.
func (n *Node) Run(ctx context.Context) error {
	n.events.Emit(eventStarted, "addresses", n.Addresses())
	parts, stopParts := context.WithCancel(context.Background())
	n.spawn(func() { n.control.Serve(parts) })
	n.spawn(func() { n.racks.Serve(parts) })
	n.spawn(func() { n.router.Serve(parts) })
	n.spawn(func() { n.shards.Serve(parts) })
	n.spawn(n.server.Serve)
	n.spawn(func() { n.noteEnd("caller", n.callers.Serve(n.listeners.caller)) })
	n.spawn(func() { n.noteEnd("metrics", n.monitor.Serve(n.listeners.metrics)) })
	if n.admin != nil {
		n.spawn(func() { n.noteEnd("admin", n.admin.Serve(n.listeners.admin)) })
	}
	n.spawn(func() { n.noteReady(ctx) })
	<-ctx.Done()
	clean := n.drain()
	stopParts()
	n.close()
	n.events.Emit(eventStopped, "clean", clean)
	return nil
}

func (n *Node) spawn(f func()) {
	n.running.Add(1)
	go func() {
		defer n.running.Done()
		f()
	}()
}

func (n *Node) noteEnd(listener string, err error) {
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		n.events.Emit(eventServe, "listener", listener, "error", err.Error())
	}
}

func (n *Node) noteReady(ctx context.Context) {
	for {
		changed := n.holder.Changed()
		if n.missing() == "" {
			if n.life.step(synced) {
				n.events.Emit(eventReady, "config_version", n.holder.Current().ConfigVersion)
			}
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// drain makes a planned stop in the order of the design page: readiness first,
// units last, so that requests in flight keep their slots and shards.
func (n *Node) drain() (clean bool) {
	n.life.step(stop)
	delay := time.Duration(n.drainDelay.Load())
	n.events.Emit(eventDraining, "delay_ms", delay.Milliseconds())
	n.control.Drain()
	n.callers.Leave()
	time.Sleep(delay)
	n.life.step(drainDelayPassed)
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	ended := n.callers.Finish(ctx) == nil
	ended = n.awaitShards(ctx) && ended
	n.life.step(either(ended, requestsEnded, requestsCutOff))
	returned := n.router.Drain(ctx)
	n.racks.Drain()
	n.life.step(either(returned, loansReturned, loansKept))
	releaseCtx, cancelRelease := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancelRelease()
	released := n.control.ReleaseAll(releaseCtx)
	n.life.step(either(released, releaseLogged, releaseFailed))
	n.events.Emit(eventReleased, "released", released)
	return ended && returned
}

// awaitShards waits until no request that other daemons forwarded is in flight.
func (n *Node) awaitShards(ctx context.Context) bool {
	for !n.shards.Idle() {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(20 * time.Millisecond):
		}
	}
	return true
}

func (n *Node) close() {
	n.server.Close()
	_ = n.monitor.Close()
	if n.admin != nil {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_ = n.admin.Shutdown(ctx) // a call that takes longer ends with the process
		cancel()
	}
	n.peers.Close()
	n.running.Wait()
	n.workers.Close()
	n.log.Close()
	for _, p := range n.pools {
		p.Stop()
	}
}

// explainRequest answers for requests that this daemon routed lately.
func (n *Node) explainRequest(_ context.Context, id string) (wire.Explanation, bool) {
	return n.router.Explain(id)
}

const explainTimeout = 3 * time.Second

// explainJob asks the owner of the job's shard; a task id names its job.
func (n *Node) explainJob(ctx context.Context, id string) (wire.Explanation, bool) {
	name, _, _ := strings.Cut(id, "/")
	reply, p := n.router.Job(ctx, &wire.JobArgs{Action: wire.JobExplain, ID: name}, bootclock.Now()+explainTimeout)
	if p != nil || reply.Explain == nil {
		return wire.Explanation{}, false
	}
	return *reply.Explain, true
}

// summaries gives the admin API the free capacity of the owned racks.
type summaries struct{ racks *rack.Owner }

// Summaries implements adminapi.Summaries.
func (s summaries) Summaries() []wire.PoolSummary {
	var reply wire.SummaryReply
	if s.racks.Summary(&wire.SummaryArgs{}, &reply) != nil {
		return nil
	}
	return reply.Pools
}
