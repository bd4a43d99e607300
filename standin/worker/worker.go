package worker

import (
	"hash/fnv"
	"math/rand"
	"net/http"
	"slices"
	"sync"
	"time"

	"briarproxy/core/resource"
	"briarproxy/core/wire"
	"briarproxy/daemon/bootclock"
)

// Defaults of the options, and the upper limit of a clock's first reading.
const (
	DefaultResultRetention  = 10 * time.Minute
	DefaultHistoryRetention = time.Hour
	DefaultUsageLag         = 5 * time.Second
	DefaultRunTime          = 10 * time.Millisecond
	maxInitialClock         = 1000 * time.Hour
)

// Options configures a Worker. Zero values select the defaults.
type Options struct {
	Name                    string
	Capacity                resource.Vector
	Incarnation             int64                // The default is the Unix time in milliseconds.
	AllowOvercommit         bool                 // The worker accepts work beyond its capacity and journals each overload.
	DisableFencing          bool                 // The worker ignores epochs and not_after, as in pools with the setting fencing: false.
	Operations              map[string]Operation // The keys are names of operations.
	DefaultOperationRunTime time.Duration        // Run time if neither the operation nor the task sets one.
	UsageLag                time.Duration        // Reports show the usage of this long ago; a negative value means no lag.
	ResultRetention         time.Duration        // Results wait this long for an ack.
	HistoryRetention        time.Duration        // States of ended attempts and tombstones are retained for this long.
	Journal                 *Journal             // The default is a journal in memory.
	Checkpoints             *Checkpoints         // The default is a store of this worker alone.
	// ReportEndedRequests adds ended requests to reports. They are omitted by
	// default, because they may never be acknowledged and a report would then
	// list every request of the last ResultRetention.
	ReportEndedRequests bool
	Clock               func() time.Duration // The default is the boot clock with an arbitrary origin.
}

// Checkpoints stores the progress of checkpointed tasks by ID. The platform stores
// checkpoints outside of the workers, so the workers of one test share one store.
type Checkpoints struct {
	mu            sync.Mutex
	completedWork map[string]time.Duration
}

// NewCheckpoints returns an empty store.
func NewCheckpoints() *Checkpoints { return &Checkpoints{completedWork: map[string]time.Duration{}} }

func (c *Checkpoints) put(id string, completedWork time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.completedWork[id] = completedWork
}

func (c *Checkpoints) get(id string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.completedWork[id]
}

// Worker is one simulated worker VM. It implements http.Handler.
type Worker struct {
	mux     *http.ServeMux
	options Options

	mu              sync.Mutex
	clockOrigin     time.Duration // The worker's clock is 0 at this reading of the boot clock.
	incarnation     int64
	epoch           int64
	draining        bool
	runningAttempts map[string]*attempt
	endedAttempts   map[string][]*attempt         // Ended attempts with their results by ID, until an ack or for ResultRetention.
	histories       map[string]*generationHistory // The generations that may not start any more, by ID.
	lastPurge       time.Duration
	inUse           resource.Vector
	actualUse       resource.Vector
	misbehaviour    Misbehaviour
	random          *rand.Rand
}

// New returns a worker without running attempts.
func New(options Options) *Worker {
	setDefaults(&options)
	w := &Worker{mux: http.NewServeMux(), options: options, random: rand.New(rand.NewSource(1))}
	w.startIncarnation(options.Incarnation)
	w.registerRoutes()
	return w
}

func setDefaults(o *Options) {
	if o.Incarnation == 0 {
		o.Incarnation = time.Now().UnixMilli()
	}
	if o.DefaultOperationRunTime == 0 {
		o.DefaultOperationRunTime = DefaultRunTime
	}
	if o.UsageLag == 0 {
		o.UsageLag = DefaultUsageLag
	}
	if o.ResultRetention == 0 {
		o.ResultRetention = DefaultResultRetention
	}
	if o.HistoryRetention == 0 {
		o.HistoryRetention = DefaultHistoryRetention
	}
	if o.Journal == nil {
		o.Journal = NewJournal(nil)
	}
	if o.Checkpoints == nil {
		o.Checkpoints = NewCheckpoints()
	}
}

// startIncarnation discards all state and begins an incarnation. The first reading of
// its clock is derived from the name and the incarnation, so that code that relies on
// synchronised clocks fails in tests.
func (w *Worker) startIncarnation(incarnation int64) {
	h := fnv.New64a()
	_, _ = h.Write([]byte(w.options.Name))
	start := time.Duration((h.Sum64()^uint64(incarnation)*0x9e3779b97f4a7c15)%uint64(maxInitialClock.Milliseconds())) * time.Millisecond
	w.clockOrigin = bootclock.Now() - start
	w.incarnation = incarnation
	w.epoch = 0
	w.draining = false
	w.runningAttempts = map[string]*attempt{}
	w.endedAttempts = map[string][]*attempt{}
	w.histories = map[string]*generationHistory{}
	w.inUse = resource.Vector{}
	w.actualUse = resource.Vector{}
	w.recordEvent(EventBoot, wire.Start{}, "", "")
}

// Journal returns the worker's journal.
func (w *Worker) Journal() *Journal { return w.options.Journal }

// Restart ends all running attempts without results and begins a new incarnation,
// like a VM that fails and is replaced at the same address. The connections of
// requests that wait for a response are closed.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.runningAttempts {
		w.releaseResources(a)
		a.state = wire.RunStopped
		w.recordEvent(EventStop, a.start, a.state, ReasonCrash)
		close(a.done)
	}
	w.startIncarnation(max(w.incarnation+1, time.Now().UnixMilli()))
}

// Pause freezes the worker for d: it answers no message and ends no attempt, while
// its clock continues to run.
func (w *Worker) Pause(d time.Duration) {
	w.mu.Lock()
	time.AfterFunc(d, w.mu.Unlock)
}

// SetDraining sets whether the worker refuses new work.
func (w *Worker) SetDraining(draining bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.draining = draining
}

// SetMisbehaviour replaces the injected faults. Running attempts keep the actual
// use that they started with.
func (w *Worker) SetMisbehaviour(m Misbehaviour) error {
	if err := m.validate(); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.misbehaviour = m
	w.random = rand.New(rand.NewSource(m.Seed))
	return nil
}

func (w *Worker) now() time.Duration {
	if w.options.Clock != nil {
		return w.options.Clock()
	}
	return bootclock.Now() - w.clockOrigin
}

func (w *Worker) newEntry(event JournalEvent, start wire.Start, state wire.RunState, reason string) Entry {
	return Entry{
		VM:          w.options.Name,
		Incarnation: w.incarnation,
		ClockMS:     w.now().Milliseconds(),
		Event:       event,
		ID:          start.ID,
		Generation:  start.Generation,
		Epoch:       start.Epoch,
		Kind:        start.Kind,
		Operation:   start.Operation,
		Job:         start.Job,
		State:       state,
		Reason:      reason,
		InUse:       w.inUse,
		ActualUse:   w.actualUse,
		Capacity:    w.options.Capacity,
	}
}

func (w *Worker) recordEvent(event JournalEvent, start wire.Start, state wire.RunState, reason string) {
	w.options.Journal.Add(w.newEntry(event, start, state, reason))
}

// processDueEvents stops attempts whose lease has expired, finishes attempts whose
// work is complete, deletes results past their retention and returns the current
// time. The handler of each message calls it first, so that no decision is based on
// an attempt that is already due to end. If both the lease and the work of an attempt
// are due, the lease counts as expired: the worker was paused, and a paused VM does
// no work.
func (w *Worker) processDueEvents() time.Duration {
	now := w.now()
	for _, a := range w.runningAttempts {
		switch {
		case a.leaseUntil <= now:
			w.stopAttempt(a, now, ReasonLeaseExpired)
		case a.endsAt() <= now:
			w.finishAttempt(a, now)
		}
	}
	w.purgeExpired(now)
	return now
}

func (w *Worker) finishAttempt(a *attempt, now time.Duration) {
	w.releaseResources(a)
	a.result = w.result(a)
	a.state = a.result.State
	w.recordEnd(a, now)
	e := w.newEntry(EventEnd, a.start, a.state, "")
	e.Digest = a.result.Digest
	w.options.Journal.Add(e)
}

func (w *Worker) stopAttempt(a *attempt, now time.Duration, reason string) {
	w.releaseResources(a)
	a.state = wire.RunStopped
	a.result = &wire.Result{
		ID:         a.start.ID,
		Generation: a.start.Generation,
		State:      wire.RunStopped,
		Digest:     sha256Hex(nil),
		Error:      "stopped: " + reason,
	}
	w.recordEnd(a, now)
	e := w.newEntry(EventStop, a.start, a.state, reason)
	if reason == ReasonLeaseExpired {
		e.OverdueUS = (now - a.leaseUntil).Microseconds()
	}
	w.options.Journal.Add(e)
}

// releaseResources removes a running attempt and subtracts its resources from the totals.
func (w *Worker) releaseResources(a *attempt) {
	a.timer.Stop()
	delete(w.runningAttempts, a.start.ID)
	w.inUse = w.inUse.Sub(a.start.Resources)
	w.actualUse = w.actualUse.Sub(a.usage)
}

// recordEnd stores an ended attempt with its result and wakes the request that waits for it.
func (w *Worker) recordEnd(a *attempt, now time.Duration) {
	a.endedAt = now
	a.start.Body = nil // Frees memory: many ended attempts are retained, and none needs its body.
	w.endedAttempts[a.start.ID] = append(w.endedAttempts[a.start.ID], a)
	w.recordGeneration(a.start.ID, a.start.Generation, a.state, now)
	close(a.done)
}

// recordGeneration records the state of a generation that has ended or may not start.
func (w *Worker) recordGeneration(id string, generation int64, state wire.RunState, now time.Duration) {
	history, ok := w.histories[id]
	if !ok {
		history = &generationHistory{}
		w.histories[id] = history
	}
	history.highestGeneration = max(history.highestGeneration, generation)
	history.updatedAt = now
	if state != wire.RunNeverStarted {
		history.outcomes = append(history.outcomes, generationOutcome{generation: generation, state: state})
	}
}

// purgeInterval is the minimum time between scans of the retained results, whose
// cost it limits.
const purgeInterval = time.Second

func (w *Worker) purgeExpired(now time.Duration) {
	if now-w.lastPurge < purgeInterval && now >= w.lastPurge {
		return
	}
	w.lastPurge = now
	for id, retained := range w.endedAttempts {
		retained = slices.DeleteFunc(retained, func(a *attempt) bool { return now-a.endedAt > w.options.ResultRetention })
		w.endedAttempts[id] = retained
		if len(retained) == 0 {
			delete(w.endedAttempts, id)
		}
	}
	for id, history := range w.histories {
		if now-history.updatedAt > w.options.HistoryRetention {
			delete(w.histories, id)
		}
	}
}

// startAttempt starts an attempt that was accepted.
func (w *Worker) startAttempt(start wire.Start, now time.Duration) *attempt {
	a := &attempt{
		start:      start,
		plan:       w.planRun(start),
		state:      wire.RunRunning,
		startedAt:  now,
		leaseUntil: now + milliseconds(start.LeaseMS),
		usage:      w.misbehaviour.actualUse(start.Resources),
		done:       make(chan struct{}),
		progressAt: now,
		percent:    100,
	}
	if start.Kind == wire.KindTask {
		a.completedWork = w.options.Checkpoints.get(start.ID)
	}
	w.runningAttempts[start.ID] = a
	w.inUse = w.inUse.Add(start.Resources)
	w.actualUse = w.actualUse.Add(a.usage)
	e := w.newEntry(EventStart, start, a.state, "")
	e.BodyDigest = sha256Hex(start.Body)
	w.options.Journal.Add(e)
	if !w.inUse.Fits(w.options.Capacity) {
		w.recordEvent(EventOverload, start, a.state, "")
	}
	if !w.actualUse.Fits(w.options.Capacity) {
		w.recordEvent(EventUsageOverload, start, a.state, "")
	}
	a.timer = time.AfterFunc(a.nextEvent()-now, func() { w.onTimer(a) })
	return a
}

// onTimer runs when the next event of an attempt is due.
func (w *Worker) onTimer(a *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.processDueEvents()
	if w.runningAttempts[a.start.ID] == a {
		w.resetTimer(a, now)
	}
}

// minTimerInterval prevents a busy loop when Options.Clock does not follow real time.
const minTimerInterval = time.Millisecond

func (w *Worker) resetTimer(a *attempt, now time.Duration) {
	a.timer.Reset(max(minTimerInterval, a.nextEvent()-now))
}
