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
	placerTickInterval       = 20 * time.Millisecond
	followerTickInterval     = 250 * time.Millisecond
	helloInterval            = 5 * time.Second
	memberTimeout            = 3 * helloInterval // a daemon without a greeting for this long is not asked for anything
	summaryInterval          = time.Second
	expiryInterval           = 10 * time.Second
	endedJobRetentionFactor  = 1.25                    // ended jobs are known longer than promised, as clocks and answers lag
	failoverBoundShare       = 0.35                    // of the bound for a change of the daemon that orders: leaves time to take over
	maxLease                 = 4800 * time.Millisecond // longer leases delay the restart of what ran on lost workers
	readyReadAge             = 1600 * time.Millisecond // a daemon that has not read the log for this long turns callers away
	maxRetireTries           = 4
	claimConflictBackoff     = 2500 * time.Millisecond // a partition holds 2 s of appends at most
	maxBusyPlacerSilence     = 7 * time.Second         // of silence of a placer at a slow log: three appends that a full partition keeps waiting
	maxStackBytes            = 2048
	maxSpecTries             = 4
	specRetryDelay           = 40 * time.Millisecond // a read of the log
	handOverDelay            = 2 * time.Second       // a placer that has just begun is settling its workers
	isolationBypassedRecords = 5                     // a daemon that does not reach the placer once appends a record past it, too
	isolationBackoff         = 10 * time.Second      // then the path may be whole again
	maxHandOverTries         = 2
	handOverTimeout          = 1200 * time.Millisecond // an append of a slow store; with two tries within drainTimeout
	retireTimeout            = 800 * time.Millisecond
	maxLogOutage             = 14 * time.Second // longest outage of the log over which leases are renewed
)

// engine owns the state that the log tells and, at times, the placer.
type engine struct {
	settings *Settings
	started  int64 // Unix ms
	platform Platform
	store    *relay
	peers    *peerClients
	log      *event.Logger
	rng      *rand.Rand

	pages    chan page
	calls    chan func(*engine)
	wakeRead chan struct{}
	writer   *writer
	orders   *orderSender

	consultClient *consultClient

	state          *flow.State
	config         *cluster.Configuration
	firstConfigAt  time.Duration // first configuration
	readableSince  time.Duration
	readToEndAt    time.Duration
	roundTrip      time.Duration
	logUnreachable bool
	headApplied    bool // members and claim are those of the head of a snapshot
	draining       bool
	claimJitter    time.Duration
	refreshWaiters []refreshWaiter

	placer          *placer.Placer
	appender        *fencedAppender
	claimEpoch      int64 // of a claim that this daemon has sent
	claiming        bool
	claimedAt       time.Duration // when the last claim was answered
	claimConflictAt time.Duration // when the log refused a claim for a higher one that was not read yet; 0 is never
	handingOver     bool          // the placer gives up its claim once its last batch is stored
	appending       bool
	batchAckedAt    time.Duration
	placingContext  context.Context // of the placer's orders
	cancelPlacing   context.CancelFunc
	helloSentAt     time.Duration
	expiredAt       time.Duration
	unusable        int
	summaryLoggedAt time.Duration
	catchUpLoggedAt time.Duration
	logEnd          int64 // as of the last read
	metricsAt       time.Duration

	snapshotWriter  *snapshotWriter
	saving          bool
	savedAt         time.Duration
	savedOffset     int64
	savedGeneration int64
	savedBytes      int // of the last snapshot
	unsavedEntries  int // entries of records since the newest snapshot that this daemon knows

	// What decides about claims and hand-overs. Times are of the boot clock.
	probedAt         time.Duration // answer to the newest read out of turn
	probeTimes       recentMax     // answers of the log to this daemon's probes
	placerGaps       recentMax     // between records of the placer
	readTimes        recentMin     // answer of the log to a read
	placingStartedAt time.Duration
	directDownSince  time.Duration // the log is reached through other daemons only; 0 is directly
	bypassedRecords  int           // callers' records that other daemons appended past this placer
	lastBypassAt     time.Duration // the last one
	isolatedAt       time.Duration // when this daemon gave up placing, cut off from the others

	ackedAppends  map[int64]decoded // own appends that were acknowledged, by offset, until their turn comes
	appliedOffset atomic.Int64      // offset of the next record to apply
	isPlacer      atomic.Bool       // read by the log reader
	isReady       atomic.Bool       // read by the balancer's checks
	inFlight      atomic.Int64      // callers' requests
	metrics       metrics
}

// refreshWaiter is a query that waits until the log was read up to an offset.
type refreshWaiter struct {
	end int64
	do  func(e *engine, ok bool)
}

func newEngine(s *Settings, p Platform, log *event.Logger) *engine {
	rng := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), uint64(bootclock.Now())))
	peers := newPeerClients()
	store := newRelay(p, peers)
	e := &engine{
		settings: s, started: time.Now().UnixMilli(), platform: p, store: store, peers: peers, log: log, rng: rng,
		pages: make(chan page), calls: make(chan func(*engine), 1024), wakeRead: make(chan struct{}, 1),
		ackedAppends: map[int64]decoded{}, state: flow.NewState(), claimJitter: placer.ClaimJitter(rng), writer: newWriter(store, peers), cancelPlacing: func() {},
	}
	e.writer.logSlow, e.writer.logSuspect, e.writer.logUnresponsive = store.storeSlow.Load, store.suspect, store.unresponsive
	e.writer.logAnswersInTime = store.answersInTime
	e.orders = newOrderSender(e)
	e.consultClient = &consultClient{peers: newPeerClients(), members: &store.members, placer: &e.writer.placerAddress}
	e.metrics = newMetrics()
	store.log = log
	store.reads = newReadStats(e.metrics)
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
	ticker := time.NewTicker(followerTickInterval)
	defer ticker.Stop()
	quick := false
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-e.pages:
			e.recoverPanic(func() { e.handlePage(ctx, p) })
		case f := <-e.calls:
			e.recoverPanic(func() { f(e) })
			e.runQueuedCalls()
		case <-ticker.C:
		}
		now := bootclock.Now()
		e.recoverPanic(func() { e.runTimers(ctx, now) })
		e.publish(now)
		if want := e.placer != nil; want != quick {
			quick = want
			ticker.Reset(map[bool]time.Duration{true: placerTickInterval, false: followerTickInterval}[quick])
		}
	}
}

// runQueuedCalls runs what else waits, so that one planning pass serves it all.
func (e *engine) runQueuedCalls() {
	for range 256 {
		select {
		case f := <-e.calls:
			e.recoverPanic(func() { f(e) })
		default:
			return
		}
	}
}

// recoverPanic runs one piece of the engine's work. An unexpected error in it ends that piece, and
// the placing of this daemon, whose state may be half changed; it does not end the process,
// as the same record or job would end every daemon in turn.
func (e *engine) recoverPanic(work func()) {
	defer func() {
		if r := recover(); r != nil {
			e.log.Emit(evUnexpectedError, "reason", fmt.Sprint(r), "offset", e.state.NextOffset, "stack", stackTrace())
			e.stopPlacing("an unexpected error")
			e.isolatedAt = bootclock.Now() // others are to place first
		}
	}()
	work()
}

// stackTrace returns the calls that led to a panic, within the length of a log line.
func stackTrace() string {
	text := make([]byte, maxStackBytes)
	return string(text[:runtime.Stack(text, false)])
}

func (e *engine) configOrEmpty() *cluster.Configuration {
	if e.config == nil {
		return &cluster.Configuration{}
	}
	return e.config
}

// runTimers does what is due by time.
func (e *engine) runTimers(ctx context.Context, now time.Duration) {
	if now-e.helloSentAt > helloInterval && !e.draining {
		e.helloSentAt = now
		e.sendHello(ctx, false)
	}
	if now-e.expiredAt > expiryInterval {
		e.expiredAt = now
		e.state.Forget(time.Duration(endedJobRetentionFactor*e.settings.Bounds.StatusS*float64(time.Second)), now)
	}
	e.logCatchingUp(now)
	if e.placer != nil {
		e.runPlacer(ctx, now)
		return
	}
	e.claimIfDue(ctx, now)
}

// hello names this daemon to the others.
func (e *engine) hello() flow.Hello {
	return flow.Hello{
		Daemon: e.settings.Name, Address: e.settings.Listen.Peers, StartedMS: e.started,
		CapacityFactor: e.settings.Limits.strength(), LogLatencyMS: e.roundTrip.Milliseconds(), DataCentre: e.settings.DataCentre,
	}
}

func (e *engine) sendHello(ctx context.Context, leaving bool) {
	h := e.hello()
	h.Leaving = leaving
	r := flow.Record{Hello: &h}
	go func() { _ = e.writer.append(ctx, &r, helloInterval) }() // repeated every few seconds
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
				e.log.Emit(evConfigUnreadable, "reason", err.Error(), "position", position)
			}
			select {
			case <-ctx.Done():
			case <-time.After(readRetryDelay):
			}
			continue
		}
		if config == nil {
			if position < 0 {
				time.Sleep(readRetryDelay)
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
		e.firstConfigAt = bootclock.Now()
	}
	e.config = c
	e.log.Emit(evConfigInForce, "version", c.Version, "queues", len(c.Queues), "pools", len(c.Pools))
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
	for try := range maxSpecTries {
		if try > 0 {
			e.wakeReader()
			time.Sleep(specRetryDelay)
		}
		f, ok := query(ctx, e, func(e *engine, reply chan<- found) {
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
