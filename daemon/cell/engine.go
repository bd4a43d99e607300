package cell

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync/atomic"
	"time"

	"briarproxy/core/cluster"
	"briarproxy/core/flow"
	"briarproxy/core/keylease"
	"briarproxy/core/placer"
	"briarproxy/daemon/bootclock"
	"briarproxy/daemon/event"
)

// partition is the partition of the log that holds the records of the cell. A cell whose
// pools outgrow one placer gets one partition for each group of pools.
const partition = 0

// Intervals, timeouts and limits of the engine.
const (
	placerTickInterval       = 20 * time.Millisecond
	followerTickInterval     = 250 * time.Millisecond
	helloInterval            = 5 * time.Second
	membersPublishDelay      = 200 * time.Millisecond
	memberTimeout            = 3 * helloInterval // a daemon without a Hello record for this long gets no requests
	summaryInterval          = time.Second
	expiryInterval           = 10 * time.Second
	endedJobRetentionFactor  = 1.25                    // keeps ended jobs longer than bounds.status_s, because clocks differ and answers take time
	failoverBoundShare       = 0.35                    // share of bounds.failover_ms for which a placer may be silent before others claim; they need the rest to take over
	maxLease                 = 4800 * time.Millisecond // longer leases delay the restart of tasks of lost workers
	readyReadAge             = 1600 * time.Millisecond // a daemon that has not read the log for this long rejects callers
	claimConflictBackoff     = 2500 * time.Millisecond // by then the higher claim is stored and read, as a partition queues at most 2 s of appends
	maxBusyPlacerSilence     = 7 * time.Second         // a silent placer whose daemon answers keeps its claim for this long at a slow log: three appends of 2 s each in a full partition
	maxStackBytes            = 2048
	maxDecoding              = 2 // bodies at a time
	maxSpecTries             = 4
	specRetryDelay           = 40 * time.Millisecond // about one read of the log
	handOverCheckInterval    = 100 * time.Millisecond
	handOverDelay            = 2 * time.Second  // a new placer does not know the state of all workers yet
	isolationBypassThreshold = 5                // not fewer, because a single failed call to the placer also makes a daemon append a record past it
	stepDownBackoff          = 10 * time.Second // for this long a daemon that stepped down lets others claim first; later its network path may work again
	maxHandOverTries         = 2
	handOverTimeout          = 1200 * time.Millisecond // one append to a slow store; two tries fit into drainTimeout
	retireTimeout            = 800 * time.Millisecond
	retireRetryDelay         = 200 * time.Millisecond // after a call that failed at once
	maxLogOutage             = 14 * time.Second       // without an acknowledged batch for this long, the placer stops and renews no more leases
)

// engine owns the state that is built from the log and, while this daemon holds the claim,
// the placer.
type engine struct {
	settings  *Settings
	startedMS int64 // process start, Unix ms
	platform  Platform
	store     *storeClient
	peers     *peerClients
	log       *event.Logger
	rng       *rand.Rand

	pages    chan page
	calls    chan func(*engine)
	wakeRead chan struct{}
	writer   *writer
	orders   *orderSender

	consultClient *consultClient

	state          *flow.State
	config         *cluster.Configuration
	keyring        *cluster.Keyring // of config
	keyLease       *keylease.Lease
	keyLeaseHeld   bool          // as last logged
	firstConfigAt  time.Duration // when the first configuration came into force
	readableSince  time.Duration // start of the present period in which the log could be read without a gap
	readToEndAt    time.Duration // when the state last reached the end of the log; 0 is never, or since it lacks records
	gap            *historyGap   // nil unless the state lacks records that expired before this daemon read them
	lossClaimed    bool          // this daemon placed in spite of a gap, and has not saved a snapshot since
	roundTrip      time.Duration // shortest round trip to the log so far
	logUnreachable bool
	headApplied    bool // members and claim come from the head of a snapshot
	draining       bool
	claimJitter    time.Duration
	refreshWaiters []refreshWaiter

	placer             *placer.Placer
	appender           *fencedAppender
	claimEpoch         int64         // epoch of the last claim that this daemon has appended
	claimSentAt        time.Duration // when that claim was sent
	yieldedEpoch       int64         // newest epoch of which a successor has asked this daemon to stop placing
	claiming           bool          // a claim, or the check before it, is under way
	claimAnsweredAt    time.Duration // when the last claim was answered
	claimConflictAt    time.Duration // when the log refused an append in favour of a higher claim that is not read yet; 0 is never
	handOverCheckedAt  time.Duration
	handingOver        bool            // the placer releases its claim once the append under way has ended
	appending          bool            // a batch is being appended
	batchAckedAt       time.Duration   // when the last acknowledged batch was sent, at first when the claim was
	placingContext     context.Context // cancelled when this daemon stops placing
	cancelPlacing      context.CancelFunc
	helloSentAt        time.Duration
	membersChanged     bool // a member has changed since membersPublishedAt
	membersPublishedAt time.Duration
	lastExpiryAt       time.Duration
	unusableEntries    int // entries of the registry that could not be read the last time
	summaryLoggedAt    time.Duration
	catchUpLoggedAt    time.Duration
	logEnd             int64 // end of the log as of the last read
	logFirst           int64 // oldest offset that the log retained as of the last read
	metricsPublishedAt time.Duration

	snapshotWriter       *snapshotWriter
	savingSnapshot       bool                // a snapshot, or the lookup before the first one, is under way
	lastSnapshotAt       time.Duration       // when the last snapshot was begun, or this placer; early snapshots keep a distance from it. 0 lets the next one begin at once
	snapshotRetryAt      time.Duration       // no snapshot begins before
	snapshotSavedAt      time.Duration       // when the last snapshot that this placer has saved was begun; 0 is none
	snapshotOffset       int64               // log offset up to which the newest known snapshot covers the records
	snapshotAsOf         time.Duration       // no record beyond snapshotOffset was stored before this time; 0 is unknown
	snapshotNote         *flow.SavedSnapshot // of a saved snapshot that no batch has named yet, with its age at snapshotNotedAt
	snapshotNotedAt      time.Duration
	snapshotGeneration   int64 // generation of the newest known snapshot
	snapshotBytes        int   // size of the last snapshot that this placer began to write
	entriesSinceSnapshot int   // entries in the records since the newest snapshot that this daemon knows

	// Inputs of the decisions on claims and hand-overs. Times are on the boot clock.
	endQueryAnsweredAt time.Duration // when the last query for the end of the log ended
	endQueryTimes      recentMax     // durations of the queries for the end of the log that precede claims, also of failed ones
	batchGaps          recentMax     // times between batches of the placer
	readTimes          recentMin     // latency of reads of the log
	placingStartedAt   time.Duration
	directDownSince    time.Duration // since when the log is reached through other daemons only; 0 while it is reached directly
	bypassedRecords    int           // callers' records that other daemons appended without this placer
	lastBypassAt       time.Duration // when the last of these records was applied
	steppedDownAt      time.Duration // when this daemon last stopped placing because of isolation or an unexpected error

	ackedAppends  map[int64]decodedRecord // acknowledged appends of this daemon, by offset, until all records before them are applied
	appliedOffset atomic.Int64            // offset of the next record to apply
	isPlacer      atomic.Bool             // read by the log reader
	isIncomplete  atomic.Bool             // the state lacks records; read by the log reader
	isReady       atomic.Bool             // read by the load balancer's health checks
	inFlight      atomic.Int64            // callers' requests under way
	decoding      chan struct{}           // holds an element for each body that is being decoded
	doors         []*door                 // of the ports, set before the engine runs
	metrics       metrics
}

// refreshWaiter is a query that waits until the log has been read up to the offset end.
type refreshWaiter struct {
	end      int64
	callback func(e *engine, ok bool)
}

func newEngine(s *Settings, p Platform, log *event.Logger) *engine {
	rng := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), uint64(bootclock.Now())))
	peers := newPeerClients()
	store := newStoreClient(p, peers)
	e := &engine{
		settings: s, startedMS: time.Now().UnixMilli(), platform: p, store: store, peers: peers, log: log, rng: rng,
		pages: make(chan page), calls: make(chan func(*engine), 1024), wakeRead: make(chan struct{}, 1),
		ackedAppends: map[int64]decodedRecord{}, state: flow.NewState(), membersPublishedAt: bootclock.Now(), claimJitter: placer.ClaimJitter(rng), writer: newWriter(store, peers), cancelPlacing: func() {},
	}
	e.writer.logSlow, e.writer.logSuspect, e.writer.logUnresponsive = store.storeSlow.Load, store.suspect, store.unresponsive
	e.writer.logAnswersInTime = store.answersInTime
	e.decoding = make(chan struct{}, maxDecoding)
	e.orders = newOrderSender(e)
	e.consultClient = &consultClient{peers: newPeerClients(), memberAddresses: &store.memberAddresses, placerAddress: &e.writer.placerAddress}
	e.keyLease = keylease.New(millis(s.Bounds.RevokeMS))
	e.metrics = newMetrics()
	store.log = log
	store.reads = newReadStats(e.metrics)
	return e
}

// do queues a function to run on the engine's goroutine.
func (e *engine) do(ctx context.Context, f func(*engine)) {
	select {
	case e.calls <- f:
	case <-ctx.Done():
	}
}

func (e *engine) run(ctx context.Context) {
	ticker := time.NewTicker(followerTickInterval)
	defer ticker.Stop()
	fastTicks := false
	for {
		select {
		case <-ctx.Done():
			e.keyLease.Stop()
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
		if placing := e.placer != nil; placing != fastTicks {
			fastTicks = placing
			ticker.Reset(map[bool]time.Duration{true: placerTickInterval, false: followerTickInterval}[fastTicks])
		}
	}
}

// runQueuedCalls runs up to 256 more queued calls, so that the placer plans once for all of them.
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

// recoverPanic runs a function on the engine's goroutine. A panic ends only that function and
// makes this daemon stop placing, as the placer's state may be inconsistent. It does not end
// the process, because the same record or job would then end every daemon in turn.
func (e *engine) recoverPanic(work func()) {
	defer func() {
		if r := recover(); r != nil {
			e.log.Emit(evUnexpectedError, "reason", fmt.Sprint(r), "offset", e.state.NextOffset, "stack", stackTrace())
			e.stopPlacing("unexpected error")
			e.steppedDownAt = bootclock.Now() // other daemons are to claim first
		}
	}()
	work()
}

// stackTrace returns the stack of the calling goroutine, cut to fit into a log line.
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

// runTimers runs the periodic tasks that are due.
func (e *engine) runTimers(ctx context.Context, now time.Duration) {
	if now-e.helloSentAt > helloInterval && !e.draining {
		e.helloSentAt = now
		e.sendHello(ctx, false)
	}
	if now-e.lastExpiryAt > expiryInterval {
		e.lastExpiryAt = now
		e.forgetEnded()
	}
	e.publishMembersIfDue(now)
	e.logCatchingUp(now)
	e.logKeyLease(now)
	if e.placer != nil {
		e.runPlacer(ctx, now)
		return
	}
	e.saveLastSnapshot(ctx, now)
	e.claimIfDue(ctx, now)
	e.claimInSpiteOfGapIfDue(ctx, now)
}

// forgetEnded removes ended jobs and tombstones whose retention had passed when the log was last read to its end. After a
// suspension, records that other daemons have applied within that time are still to be read.
func (e *engine) forgetEnded() {
	if e.readToEndAt > 0 {
		e.state.Forget(time.Duration(endedJobRetentionFactor*e.settings.Bounds.StatusS*float64(time.Second)), e.readToEndAt)
	}
}

// hello returns the content of the Hello record, which announces this daemon to the others.
func (e *engine) hello() flow.Hello {
	return flow.Hello{
		Daemon: e.settings.Name, Address: e.settings.Listen.Peers, StartedMS: e.startedMS,
		CapacityFactor: e.settings.Limits.capacityFactor(), LogLatencyMS: e.roundTrip.Milliseconds(), DataCentre: e.settings.DataCentre,
	}
}

func (e *engine) sendHello(ctx context.Context, leaving bool) {
	h := e.hello()
	h.Leaving = leaving
	r := flow.Record{Hello: &h}
	go func() { _ = e.writer.append(ctx, &r, helloInterval) }() // an error is ignored: the next Hello follows within seconds
}

// specOf returns the Spec of a job that has not ended. The record of a job that was just
// submitted may not have been read yet, so specOf tries several times, with specRetryDelay
// between the tries.
func (e *engine) specOf(ctx context.Context, job string) (string, bool) {
	type found struct {
		spec  string
		known bool
	}
	for attempt := range maxSpecTries {
		if attempt > 0 {
			e.wakeReader()
			time.Sleep(specRetryDelay)
		}
		f, ok := query(ctx, e, func(e *engine, reply chan<- found) {
			j := e.state.Jobs[job]
			if j == nil || j.Phase.Final() { // of an ended job, possibly only the id is known
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
