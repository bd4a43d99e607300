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

// Defaults of the options.
const (
	DefaultKeepResults = 10 * time.Minute
	DefaultKeepPast    = time.Hour
	DefaultUsageLag    = 5 * time.Second
	DefaultRunTime     = 10 * time.Millisecond
	maxClockStart      = 1000 * time.Hour
)

// Options configure a Worker. Zero values mean the defaults.
type Options struct {
	Name        string
	Capacity    resource.Vector
	Incarnation int64                // 0: Unix time in ms
	Trusting    bool                 // accepts work over capacity, and journals it
	Unfenced    bool                 // ignores epochs and not_after, as in pools with fencing: false
	Operations  map[string]Operation // by name
	DefaultRun  time.Duration        // of operations that nothing else gives a time
	UsageLag    time.Duration        // age of the use that reports show; negative: none
	KeepResults time.Duration        // how long results wait for an ack
	KeepPast    time.Duration        // how long ended attempts and tombstones are remembered
	Journal     *Journal             // nil: in memory
	Checkpoints *Checkpoints         // nil: own
	// ReportEndedRequests adds ended requests to reports. They are left out by
	// default, because nobody may acknowledge them and a report would grow by
	// every request of KeepResults.
	ReportEndedRequests bool
	Clock               func() time.Duration // nil: boot clock with an arbitrary start
}

// Checkpoints stores the progress of checkpointed tasks by id. The platform keeps
// them outside of the workers, so workers of one test share one store.
type Checkpoints struct {
	mu     sync.Mutex
	worked map[string]time.Duration
}

// NewCheckpoints returns an empty store.
func NewCheckpoints() *Checkpoints { return &Checkpoints{worked: map[string]time.Duration{}} }

func (c *Checkpoints) put(id string, worked time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.worked[id] = worked
}

func (c *Checkpoints) get(id string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.worked[id]
}

// Worker is one worker VM. It is an http.Handler.
type Worker struct {
	mux     *http.ServeMux
	options Options

	mu          sync.Mutex
	clockStart  time.Duration // reading of the boot clock at which the worker's clock is 0
	incarnation int64
	epoch       int64
	draining    bool
	running     map[string]*attempt
	ended       map[string][]*attempt // by id, with their results, until ack or KeepResults
	past        map[string]*past      // generations that are over, by id
	lastPurge   time.Duration
	inUse       resource.Vector
	realUse     resource.Vector
	bad         Misbehaviour
	random      *rand.Rand
}

// New returns a worker that runs nothing.
func New(options Options) *Worker {
	setDefaults(&options)
	w := &Worker{mux: http.NewServeMux(), options: options, random: rand.New(rand.NewSource(1))}
	w.boot(options.Incarnation)
	w.routes()
	return w
}

func setDefaults(o *Options) {
	if o.Incarnation == 0 {
		o.Incarnation = time.Now().UnixMilli()
	}
	if o.DefaultRun == 0 {
		o.DefaultRun = DefaultRunTime
	}
	if o.UsageLag == 0 {
		o.UsageLag = DefaultUsageLag
	}
	if o.KeepResults == 0 {
		o.KeepResults = DefaultKeepResults
	}
	if o.KeepPast == 0 {
		o.KeepPast = DefaultKeepPast
	}
	if o.Journal == nil {
		o.Journal = NewJournal(nil)
	}
	if o.Checkpoints == nil {
		o.Checkpoints = NewCheckpoints()
	}
}

// boot begins an incarnation. Its clock starts at a value that depends on the name
// and the incarnation, so that nobody can rely on clocks that agree.
func (w *Worker) boot(incarnation int64) {
	h := fnv.New64a()
	_, _ = h.Write([]byte(w.options.Name))
	start := time.Duration((h.Sum64()^uint64(incarnation)*0x9e3779b97f4a7c15)%uint64(maxClockStart.Milliseconds())) * time.Millisecond
	w.clockStart = bootclock.Now() - start
	w.incarnation = incarnation
	w.epoch = 0
	w.draining = false
	w.running = map[string]*attempt{}
	w.ended = map[string][]*attempt{}
	w.past = map[string]*past{}
	w.inUse = resource.Vector{}
	w.realUse = resource.Vector{}
	w.journal(EventBoot, wire.Start{}, "", "")
}

// Journal returns the worker's journal.
func (w *Worker) Journal() *Journal { return w.options.Journal }

// Restart kills everything that runs, without results, and begins a new
// incarnation, as a VM that fails and is replaced on the same address. Requests
// that wait for an answer see their connection close.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.running {
		w.release(a)
		a.state = wire.RunStopped
		w.journal(EventStop, a.start, a.state, ReasonCrash)
		close(a.done)
	}
	w.boot(max(w.incarnation+1, time.Now().UnixMilli()))
}

// Pause freezes the worker: no message is answered and nothing ends meanwhile. The
// worker's clock goes on.
func (w *Worker) Pause(d time.Duration) {
	w.mu.Lock()
	time.AfterFunc(d, w.mu.Unlock)
}

// SetDraining makes the worker refuse new work, or accept it again.
func (w *Worker) SetDraining(draining bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.draining = draining
}

// SetMisbehaviour replaces the misbehaviour. The real use of running attempts
// stays as it was at their start.
func (w *Worker) SetMisbehaviour(m Misbehaviour) error {
	if err := m.check(); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bad = m
	w.random = rand.New(rand.NewSource(m.Seed))
	return nil
}

func (w *Worker) now() time.Duration {
	if w.options.Clock != nil {
		return w.options.Clock()
	}
	return bootclock.Now() - w.clockStart
}

func (w *Worker) entry(event JournalEvent, start wire.Start, state wire.RunState, reason string) Entry {
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
		RealUse:     w.realUse,
		Capacity:    w.options.Capacity,
	}
}

func (w *Worker) journal(event JournalEvent, start wire.Start, state wire.RunState, reason string) {
	w.options.Journal.Add(w.entry(event, start, state, reason))
}

// settle carries out what the clock has brought: lapsed leases, ends of attempts
// and results that are no longer kept. Every message calls it first, so that a
// decision never rests on an attempt whose time is over. An attempt whose lease
// and work are both over counts as lapsed: the worker was paused, and a paused VM
// does no work.
func (w *Worker) settle() time.Duration {
	now := w.now()
	for _, a := range w.running {
		switch {
		case a.leaseUntil <= now:
			w.stop(a, now, ReasonLapse)
		case a.endsAt() <= now:
			w.finish(a, now)
		}
	}
	w.purge(now)
	return now
}

func (w *Worker) finish(a *attempt, now time.Duration) {
	w.release(a)
	a.result = w.result(a)
	a.state = a.result.State
	w.keep(a, now)
	e := w.entry(EventEnd, a.start, a.state, "")
	e.Digest = a.result.Digest
	w.options.Journal.Add(e)
}

func (w *Worker) stop(a *attempt, now time.Duration, reason string) {
	w.release(a)
	a.state = wire.RunStopped
	a.result = &wire.Result{
		ID:         a.start.ID,
		Generation: a.start.Generation,
		State:      wire.RunStopped,
		Digest:     digest(nil),
		Error:      "stopped: " + reason,
	}
	w.keep(a, now)
	e := w.entry(EventStop, a.start, a.state, reason)
	if reason == ReasonLapse {
		e.OverdueUS = (now - a.leaseUntil).Microseconds()
	}
	w.options.Journal.Add(e)
}

// release frees what a running attempt holds.
func (w *Worker) release(a *attempt) {
	a.timer.Stop()
	delete(w.running, a.start.ID)
	w.inUse = w.inUse.Sub(a.start.Resources)
	w.realUse = w.realUse.Sub(a.usage)
}

// keep stores an ended attempt.
func (w *Worker) keep(a *attempt, now time.Duration) {
	a.ended = now
	a.start.Body = nil // not needed any more, and kept results are many
	w.ended[a.start.ID] = append(w.ended[a.start.ID], a)
	w.remember(a.start.ID, a.start.Generation, a.state, now)
	close(a.done)
}

// remember notes what became of a generation that is over or forbidden.
func (w *Worker) remember(id string, generation int64, state wire.RunState, now time.Duration) {
	p, ok := w.past[id]
	if !ok {
		p = &past{}
		w.past[id] = p
	}
	p.highest = max(p.highest, generation)
	p.at = now
	if state != wire.RunNeverStarted {
		p.ran = append(p.ran, ran{generation: generation, state: state})
	}
}

// purgeEvery bounds the cost of scans over the kept results.
const purgeEvery = time.Second

func (w *Worker) purge(now time.Duration) {
	if now-w.lastPurge < purgeEvery && now >= w.lastPurge {
		return
	}
	w.lastPurge = now
	for id, kept := range w.ended {
		kept = slices.DeleteFunc(kept, func(a *attempt) bool { return now-a.ended > w.options.KeepResults })
		w.ended[id] = kept
		if len(kept) == 0 {
			delete(w.ended, id)
		}
	}
	for id, p := range w.past {
		if now-p.at > w.options.KeepPast {
			delete(w.past, id)
		}
	}
}

// begin starts an attempt that was accepted.
func (w *Worker) begin(start wire.Start, now time.Duration) *attempt {
	a := &attempt{
		start:      start,
		plan:       w.plan(start),
		state:      wire.RunRunning,
		began:      now,
		leaseUntil: now + ms(start.LeaseMS),
		usage:      w.bad.realUse(start.Resources),
		done:       make(chan struct{}),
		progressAt: now,
		percent:    100,
	}
	if start.Kind == wire.KindTask {
		a.worked = w.options.Checkpoints.get(start.ID)
	}
	w.running[start.ID] = a
	w.inUse = w.inUse.Add(start.Resources)
	w.realUse = w.realUse.Add(a.usage)
	e := w.entry(EventStart, start, a.state, "")
	e.BodyDigest = digest(start.Body)
	w.options.Journal.Add(e)
	if !w.inUse.Fits(w.options.Capacity) {
		w.journal(EventOverload, start, a.state, "")
	}
	if !w.realUse.Fits(w.options.Capacity) {
		w.journal(EventOveruse, start, a.state, "")
	}
	a.timer = time.AfterFunc(a.nextEvent()-now, func() { w.wake(a) })
	return a
}

// wake runs when an attempt's next event is due.
func (w *Worker) wake(a *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.settle()
	if w.running[a.start.ID] == a {
		w.rearm(a, now)
	}
}

// minTimer keeps a clock that does not follow real time from causing a busy loop.
const minTimer = time.Millisecond

func (w *Worker) rearm(a *attempt, now time.Duration) {
	a.timer.Reset(max(minTimer, a.nextEvent()-now))
}
