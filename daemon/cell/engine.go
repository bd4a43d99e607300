package cell

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync/atomic"
	"time"

	"briarproxy/core/cluster"
	"briarproxy/core/fault"
	"briarproxy/core/flow"
	"briarproxy/core/placer"
	"briarproxy/daemon/bootclock"
	"briarproxy/daemon/event"
)

// partition holds the records of the cell. A cell whose pools outgrow one placer gets
// one partition for each group of pools.
const partition = 0

// Times of the engine.
const (
	placerTick      = 20 * time.Millisecond
	followTick      = 250 * time.Millisecond
	helloEvery      = 5 * time.Second
	memberSilence   = 3 * helloEvery // a daemon without a greeting for this long is not asked for anything
	summaryEvery    = time.Second
	forgetEvery     = 10 * time.Second
	keepFactor      = 1.25                    // ended jobs are known longer than promised, as clocks and answers lag
	failoverShare   = 0.35                    // of the bound for a change of the daemon that orders: leaves time to take over
	leaseMost       = 4800 * time.Millisecond // longer leases delay the restart of what ran on lost workers
	readyWithin     = 1600 * time.Millisecond // a daemon that has not read the log for this long turns callers away
	retireTries     = 4
	outbidWait      = 2500 * time.Millisecond // a partition holds 2 s of appends at most
	busyMost        = 7 * time.Second         // of silence of a placer at a slow log: three appends that a full partition keeps waiting
	stackBytes      = 2048
	specTries       = 4
	specWait        = 40 * time.Millisecond // a read of the log
	handOverAfter   = 2 * time.Second       // a placer that has just begun is settling its workers
	bypassesMost    = 5                     // a daemon that does not reach the placer once appends a record past it, too
	isolationTime   = 10 * time.Second      // then the path may be whole again
	handOverTries   = 2
	handOverTimeout = 1200 * time.Millisecond // an append of a slow store; with two tries within drainTime
	retireTimeout   = 800 * time.Millisecond
	orphanTime      = 14 * time.Second // longest outage of the log over which leases are renewed
)

// engine owns the state that the log tells and, at times, the placer.
type engine struct {
	settings *Settings
	started  int64 // Unix ms
	platform Platform
	store    *relay
	peers    *peers
	log      *event.Logger
	rng      *rand.Rand

	pages  chan page
	calls  chan func(*engine)
	nudge  chan struct{}
	writer *writer
	orders *orders

	consultant *consultant

	state      *flow.State
	config     *cluster.Configuration
	configAt   time.Duration // first configuration
	readSince  time.Duration
	readLast   time.Duration
	roundTrip  time.Duration
	lost       bool
	met        bool // members and claim are those of the head of a snapshot
	draining   bool
	jitter     time.Duration
	freshWaits []freshWait

	placer     *placer.Placer
	appender   *fenced
	claimEpoch int64 // of a claim that this daemon has sent
	claiming   bool
	claimedAt  time.Duration // when the last claim was answered
	outbidAt   time.Duration // when the log refused a claim for a higher one that was not read yet; 0 is never
	leaving    bool          // the placer gives up its claim once its last batch is stored
	appending  bool
	ackedAt    time.Duration
	placing    context.Context // of the placer's orders
	stopPlacer context.CancelFunc
	helloAt    time.Duration
	forgotAt   time.Duration
	unusable   int
	summaryAt  time.Duration
	catchUpAt  time.Duration
	logEnd     int64 // as of the last read
	countedAt  time.Duration

	saver           *saver
	saving          bool
	savedAt         time.Duration
	savedNext       int64
	savedGeneration int64
	savedBytes      int // of the last snapshot
	unsaved         int // entries of records since the newest snapshot that this daemon knows

	// What decides about claims and hand-overs. Times are of the boot clock.
	probedAt     time.Duration // answer to the newest read out of turn
	slow         lately        // answers of the log to this daemon's probes
	gaps         lately        // between records of the placer
	quickest     floor         // answer of the log to a read
	placingSince time.Duration
	awaySince    time.Duration // the log is reached through other daemons only; 0 is directly
	bypassed     int           // callers' records that other daemons appended past this placer
	bypassedAt   time.Duration // the last one
	isolatedAt   time.Duration // when this daemon gave up placing, cut off from the others

	ahead    map[int64]decoded // own appends that were acknowledged, by offset, until their turn comes
	known    atomic.Int64      // offset of the next record to apply
	isPlacer atomic.Bool       // read by the tail
	isReady  atomic.Bool       // read by the balancer's checks
	inFlight atomic.Int64      // callers' requests
	counts   counts
}

// freshWait is a query that waits until the log was read up to an offset.
type freshWait struct {
	end int64
	do  func(e *engine, ok bool)
}

func newEngine(s *Settings, p Platform, log *event.Logger) *engine {
	rng := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), uint64(bootclock.Now())))
	links := newPeers()
	store := newRelay(p, links)
	e := &engine{
		settings: s, started: time.Now().UnixMilli(), platform: p, store: store, peers: links, log: log, rng: rng,
		pages: make(chan page), calls: make(chan func(*engine), 1024), nudge: make(chan struct{}, 1),
		ahead: map[int64]decoded{}, state: flow.NewState(), jitter: placer.ClaimJitter(rng), writer: newWriter(store, links), stopPlacer: func() {},
	}
	e.writer.logSlow, e.writer.logDoubtful, e.writer.logSilent = store.slow.Load, store.doubtful, store.silent
	e.writer.logQuick = store.quick
	e.orders = newOrders(e)
	e.consultant = &consultant{peers: newPeers(), members: &store.members, placer: &e.writer.placer}
	e.counts = newCounts()
	store.log = log
	store.reads = newReads(e.counts)
	return e
}

// do runs a function on the engine's goroutine.
func (e *engine) do(ctx context.Context, f func(*engine)) {
	select {
	case e.calls <- f:
	case <-ctx.Done():
	}
}

func (e *engine) run(ctx context.Context) {
	ticker := time.NewTicker(followTick)
	defer ticker.Stop()
	quick := false
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-e.pages:
			e.guard(func() { e.read(ctx, p) })
		case f := <-e.calls:
			e.guard(func() { f(e) })
			e.drainCalls()
		case <-ticker.C:
		}
		now := bootclock.Now()
		e.guard(func() { e.onTime(ctx, now) })
		e.publish(now)
		if want := e.placer != nil; want != quick {
			quick = want
			ticker.Reset(map[bool]time.Duration{true: placerTick, false: followTick}[quick])
		}
	}
}

// drainCalls runs what else waits, so that one planning pass serves it all.
func (e *engine) drainCalls() {
	for range 256 {
		select {
		case f := <-e.calls:
			e.guard(func() { f(e) })
		default:
			return
		}
	}
}

// guard runs one piece of the engine's work. An unexpected error in it ends that piece, and
// the placing of this daemon, whose state may be half changed; it does not end the process,
// as the same record or job would end every daemon in turn.
func (e *engine) guard(work func()) {
	defer func() {
		if r := recover(); r != nil {
			e.log.Emit(evPanic, "reason", fmt.Sprint(r), "offset", e.state.Next, "stack", stack())
			e.endPlacer("an unexpected error")
			e.isolatedAt = bootclock.Now() // others are to place first
		}
	}()
	work()
}

// stack returns the calls that led to a panic, within the length of a log line.
func stack() string {
	text := make([]byte, stackBytes)
	return string(text[:runtime.Stack(text, false)])
}

func (e *engine) configOrEmpty() *cluster.Configuration {
	if e.config == nil {
		return &cluster.Configuration{}
	}
	return e.config
}

// onTime does what is due by time.
func (e *engine) onTime(ctx context.Context, now time.Duration) {
	if now-e.helloAt > helloEvery && !e.draining {
		e.helloAt = now
		e.sayHello(ctx, false)
	}
	if now-e.forgotAt > forgetEvery {
		e.forgotAt = now
		e.state.Forget(time.Duration(keepFactor*e.settings.Bounds.StatusS*float64(time.Second)), now)
	}
	e.reportCatchingUp(now)
	if e.placer != nil {
		e.place(ctx, now)
		return
	}
	e.considerClaim(ctx, now)
}

// hello names this daemon to the others.
func (e *engine) hello() flow.Hello {
	return flow.Hello{
		Daemon: e.settings.Name, Address: e.settings.Listen.Peers, Started: e.started,
		Strength: e.settings.Limits.strength(), DistanceMS: e.roundTrip.Milliseconds(), DataCentre: e.settings.DataCentre,
	}
}

func (e *engine) sayHello(ctx context.Context, leaving bool) {
	h := e.hello()
	h.Leaving = leaving
	r := flow.Record{Hello: &h}
	go func() { _ = e.writer.append(ctx, &r, helloEvery) }() // repeated every few seconds
}

// watchConfig keeps the newest configuration in force.
func (e *engine) watchConfig(ctx context.Context) {
	position := int64(-1)
	for ctx.Err() == nil {
		bounded, cancel := context.WithTimeout(ctx, configWait+storeTimeout)
		config, next, err := e.store.Configuration(bounded, position, configWait)
		cancel()
		position = next
		if err != nil {
			if fault.Is(err, fault.Invalid) {
				e.log.Emit(evConfigBad, "reason", err.Error(), "position", position)
			}
			select {
			case <-ctx.Done():
			case <-time.After(readBackoff):
			}
			continue
		}
		if config == nil {
			if position < 0 {
				time.Sleep(readBackoff)
			}
			continue
		}
		e.do(ctx, func(e *engine) { e.setConfig(config) })
	}
}

// setConfig puts a configuration in force unless a newer one is.
func (e *engine) setConfig(c *cluster.Configuration) {
	if e.config != nil && c.Version <= e.config.Version {
		return
	}
	if e.config == nil {
		e.configAt = bootclock.Now()
	}
	e.config = c
	e.log.Emit(evConfig, "version", c.Version, "queues", len(c.Queues), "pools", len(c.Pools))
	if e.placer != nil {
		e.placer.SetConfig(c)
	}
}

// specOf returns the Spec of a job. It waits a little for the record of a job that was
// submitted just now.
func (e *engine) specOf(ctx context.Context, job string) (string, bool) {
	type found struct {
		spec  string
		known bool
	}
	for try := range specTries {
		if try > 0 {
			e.wakeTail()
			time.Sleep(specWait)
		}
		f, ok := ask(ctx, e, func(e *engine, reply chan<- found) {
			j := e.state.Jobs[job]
			if j == nil || j.Phase.Final() { // of an ended job only the id may be known
				reply <- found{}
				return
			}
			reply <- found{j.Spec, true}
		})
		if !ok || f.known {
			return f.spec, f.known
		}
	}
	return "", false
}
