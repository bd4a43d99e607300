package cell

import (
	"context"
	"math/rand/v2"
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
	placerTick    = 20 * time.Millisecond
	followTick    = 250 * time.Millisecond
	helloEvery    = 5 * time.Second
	summaryEvery  = time.Second
	forgetEvery   = 10 * time.Second
	keepFactor    = 1.25                    // ended jobs are known longer than promised, as clocks and answers lag
	failoverShare = 0.35                    // of the bound for a change of the daemon that orders: leaves time to take over
	leaseMost     = 4800 * time.Millisecond // longer leases delay the restart of what ran on lost workers
	readyWithin   = 1600 * time.Millisecond // a daemon that has not read the log for this long turns callers away
	retireTries   = 4
	retireTimeout = 800 * time.Millisecond
	orphanTime    = 14 * time.Second // longest outage of the log over which leases are renewed
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

	state      *flow.State
	config     *cluster.Configuration
	configAt   time.Duration // first configuration
	readSince  time.Duration
	readLast   time.Duration
	roundTrip  time.Duration
	lost       bool
	draining   bool
	jitter     time.Duration
	freshWaits []freshWait

	placer     *placer.Placer
	appender   *fenced
	claimEpoch int64 // of a claim that this daemon has sent
	claiming   bool
	claimedAt  time.Duration // when the last claim was answered
	leaving    bool          // the placer gives up its claim once its last batch is stored
	appending  bool
	ackedAt    time.Duration
	placing    context.Context // of the placer's orders
	stopPlacer context.CancelFunc
	helloAt    time.Duration
	forgotAt   time.Duration
	unusable   int
	summaryAt  time.Duration

	saver           *saver
	saving          bool
	savedAt         time.Duration
	savedNext       int64
	savedGeneration int64

	probedAt time.Duration // boot clock: answer to the newest read out of turn

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
	e.orders = newOrders(e)
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
			e.read(ctx, p)
		case f := <-e.calls:
			f(e)
			e.drainCalls()
		case <-ticker.C:
		}
		now := bootclock.Now()
		e.onTime(ctx, now)
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
			f(e)
		default:
			return
		}
	}
}

// read takes a page of the log.
func (e *engine) read(ctx context.Context, p page) {
	now := p.readAt
	if p.err != nil {
		if !e.lost && now-e.readLast > readyWithin {
			e.lost = true
			e.log.Emit(evStoreLost, "reason", p.err.Error(), "position", p.next)
		}
		return
	}
	if e.lost || e.readLast == 0 || now-e.readLast > readyWithin+readTimeout {
		if e.lost {
			e.log.Emit(evStoreBack, "position", p.next, "away_ms", (now - e.readLast).Milliseconds())
		}
		e.lost = false
		e.readSince = now
	}
	if took := now - p.sentAt; len(p.records) == 0 && took < readWait || took < readWait/2 {
		if e.roundTrip == 0 || took < e.roundTrip {
			e.roundTrip = took
		}
	}
	if p.restored != nil {
		e.restore(&p)
	}
	if p.expired {
		e.log.Emit(evHistory, "position", e.state.Next, "first", p.first)
		e.state.Next = max(e.state.Next, p.next)
	}
	for i := range p.records {
		if p.next-int64(len(p.records)-i) < e.state.Next {
			continue // known from the acknowledgement of its append
		}
		e.apply(ctx, &p.records[i], now)
		e.applyAhead(ctx, now)
	}
	if e.state.Next >= p.end {
		e.readLast = max(p.sentAt, now-e.roundTrip) // the end of the log as of the answer
	}
	e.answerFresh()
}

func (e *engine) apply(ctx context.Context, d *decoded, now time.Duration) {
	if d.err != nil {
		e.log.Emit(evBadRecord, "position", e.state.Next, "reason", d.err.Error())
		e.state.Skip()
		return
	}
	former := e.state.Claim
	if err := e.state.Apply(&d.record, now); err != nil {
		e.log.Emit(evBadRecord, "position", e.state.Next-1, "reason", err.Error())
	}
	if e.placer != nil {
		e.placer.Read(&d.record, now)
	}
	if d.record.Hello != nil {
		e.shareMembers()
	}
	e.sharePlacer()
	if d.record.Claim != nil {
		e.claimed(ctx, former, now)
	}
}

// sharePlacer tells the writer where callers' records are gathered.
func (e *engine) sharePlacer() {
	if address := e.placerAddress(); address != *e.writer.placer.Load() {
		e.writer.placer.Store(&address)
	}
}

// placerAddress is where callers' records are gathered: at the placer, which is near the
// log; "" is here.
func (e *engine) placerAddress() string {
	if e.state.Claim.Daemon == "" || e.state.Claim.Daemon == e.settings.Name {
		return ""
	}
	return e.state.Claim.Address
}

// restore begins with a snapshot if it is newer than what is known.
func (e *engine) restore(p *page) {
	e.savedGeneration = max(e.savedGeneration, p.generation)
	if p.restored.Next <= e.state.Next {
		return
	}
	e.endPlacer("its records expired unread")
	e.state = p.restored
	e.savedNext = p.restored.Next
	e.log.Emit(evRestored, "offset", e.state.Next, "jobs", len(e.state.Jobs), "generation", p.generation)
	e.shareMembers()
	e.sharePlacer()
}

// appended takes records that this daemon appended. They are applied when all before
// them are, without being read back.
func (e *engine) appended(ctx context.Context, first int64, records [][]byte) {
	now := bootclock.Now()
	for i, data := range records {
		if offset := first + int64(i); offset >= e.state.Next {
			record, err := flow.Decode(data)
			e.ahead[offset] = decoded{record, err}
		}
	}
	e.applyAhead(ctx, now)
	if len(e.ahead) > 0 {
		e.wakeTail() // somebody else's records lie in between
	}
}

func (e *engine) applyAhead(ctx context.Context, now time.Duration) {
	for len(e.ahead) > 0 {
		d, ready := e.ahead[e.state.Next]
		if !ready {
			break
		}
		delete(e.ahead, e.state.Next)
		e.apply(ctx, &d, now)
	}
	for offset := range e.ahead {
		if offset < e.state.Next {
			delete(e.ahead, offset) // it was read meanwhile
		}
	}
}

// shareMembers tells the relay through which daemons the store may be reached.
func (e *engine) shareMembers() {
	addresses := make([]string, 0, len(e.state.Members))
	for name, m := range e.state.Members {
		if name != e.settings.Name {
			addresses = append(addresses, m.Address)
		}
	}
	e.store.members.Store(&addresses)
}

// claimed follows a claim that was read.
func (e *engine) claimed(ctx context.Context, former flow.Claim, now time.Duration) {
	e.endPlacer("another daemon claimed")
	mine := e.state.Claim.Daemon == e.settings.Name && e.state.Claim.Started == e.started
	if !mine || e.state.Claim.Epoch != e.claimEpoch {
		return
	}
	placing, stop := context.WithCancel(ctx)
	e.placing, e.stopPlacer = placing, stop
	e.saver = &saver{store: e.platform, fence: cluster.Fence{Producer: "placer", Epoch: e.claimEpoch}}
	e.saving, e.savedAt = false, now
	e.ackedAt = now
	e.placer = placer.New(e.state, e.configOrEmpty(), placer.Options{
		Lease: min(leaseMost, ms(e.settings.Bounds.MaxLeaseMS)), MaxLease: ms(e.settings.Bounds.MaxLeaseMS), Orphan: orphanTime,
		StopTimeout: ms(e.settings.Bounds.StopMS), GangTimeout: ms(e.settings.Bounds.GangMS),
		Early: ms(e.settings.Bounds.EarlyMS),
	}, now)
	e.log.Emit(evPlacing, "offset", e.state.Token-1, "epoch", e.state.Claim.Epoch, "jobs", len(e.state.Jobs), "runs", e.placer.RunsActive())
	go e.watchRegistry(placing, e.placer)
	go e.retire(placing, e.placer, former)
}

// retire asks the former placer to stop, so that what it ordered is bounded by leases
// that end soon. Without an answer its orders are bounded by the time over which a
// placer without the log renews leases.
func (e *engine) retire(ctx context.Context, p *placer.Placer, former flow.Claim) {
	for try := 0; try < retireTries && ctx.Err() == nil; try++ {
		err := error(nil)
		if former.Daemon != "" && former.Address != e.settings.Listen.Peers {
			bounded, cancel := context.WithTimeout(ctx, retireTimeout)
			err = e.peers.yield(bounded, former.Address, former.Epoch)
			cancel()
		}
		if err == nil {
			e.do(ctx, func(e *engine) {
				if e.placer == p {
					e.log.Emit(evRetired, "daemon", former.Daemon, "epoch", former.Epoch, "tries", try+1)
					p.FormerRetired(bootclock.Now())
				}
			})
			return
		}
	}
}

// yield ends the placer of an epoch on behalf of its successor.
func (e *engine) yield(epoch int64) {
	if e.placer != nil && e.placer.Epoch() <= epoch {
		e.endPlacer("a successor asked")
	}
}

func (e *engine) configOrEmpty() *cluster.Configuration {
	if e.config == nil {
		return &cluster.Configuration{}
	}
	return e.config
}

// endPlacer stops placing, if this daemon does.
func (e *engine) endPlacer(reason string) {
	if e.placer == nil {
		return
	}
	e.stopPlacer()
	e.placer, e.appending = nil, false
	e.isPlacer.Store(false)
	e.log.Emit(evPlacingEnd, "reason", reason, "epoch", e.claimEpoch)
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
	if e.placer != nil {
		e.place(ctx, now)
		return
	}
	e.considerClaim(ctx, now)
}

func (e *engine) sayHello(ctx context.Context, leaving bool) {
	r := flow.Record{Hello: &flow.Hello{Daemon: e.settings.Name, Address: e.settings.Listen.Peers, Started: e.started, Leaving: leaving}}
	go func() { _ = e.writer.append(ctx, &r, helloEvery) }() // repeated every few seconds
}

func (e *engine) considerClaim(ctx context.Context, now time.Duration) {
	if e.draining || e.claiming || e.config == nil || e.readLast < e.claimedAt {
		return // the outcome of the last claim has not been read yet
	}
	watch := placer.Watch{
		Now: now, Able: max(e.readSince, e.configAt), ReadLast: e.readLast, RoundTrip: e.roundTrip, Jitter: e.jitter,
		Failover: time.Duration(failoverShare * float64(ms(e.settings.Bounds.FailoverMS))),
	}
	if _, claim := placer.ShouldClaim(e.state, watch); !claim {
		return
	}
	e.claiming = true
	sent := now
	e.fresh(ctx, func(e *engine, ok bool) {
		e.claiming = false
		watch.Now, watch.ReadLast = bootclock.Now(), e.readLast
		watch.Probe = e.probedAt - sent
		if reason, claim := placer.ShouldClaim(e.state, watch); claim && ok {
			e.claim(ctx, reason)
		}
	})
}

// claim appends a claim under a new epoch. It counts once it is read back.
func (e *engine) claim(ctx context.Context, reason string) {
	epoch := placer.NextEpoch(e.state, e.rng)
	e.claiming, e.claimEpoch = true, epoch
	e.appender = &fenced{log: e.store, fence: cluster.Fence{Producer: "placer", Epoch: epoch}}
	e.log.Emit(evClaim, "reason", reason, "epoch", epoch, "former", e.state.Claim.Daemon, "former_epoch", e.state.Claim.Epoch,
		"silent_ms", (bootclock.Now() - e.state.Heard).Milliseconds(), "offset", e.state.Next)
	record := &flow.Record{Claim: &flow.Claim{Daemon: e.settings.Name, Address: e.settings.Listen.Peers, Epoch: epoch, Started: e.started}}
	appender := e.appender
	go func() {
		bounded, cancel := context.WithTimeout(ctx, 2*appendTimeout)
		defer cancel()
		_, err := appender.append(bounded, record)
		e.do(ctx, func(e *engine) {
			e.claiming, e.claimedAt = false, bootclock.Now()
			if err != nil {
				e.log.Emit(evPlacingEnd, "reason", "the claim was not stored: "+err.Error(), "epoch", epoch)
			}
			e.wakeTail()
		})
	}()
}

// wakeTail has the log read at once.
func (e *engine) wakeTail() {
	select {
	case e.nudge <- struct{}{}:
	default:
	}
}

// fresh runs a query once the log was read up to what it holds now; ok is false if the
// log can't be read.
func (e *engine) fresh(ctx context.Context, f func(e *engine, ok bool)) {
	from := e.state.Next
	go func() {
		bounded, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		got, err := e.store.Read(bounded, partition, from, 0)
		answered := bootclock.Now()
		e.do(ctx, func(e *engine) {
			e.probedAt = answered
			if err != nil || e.state.Next >= got.End {
				f(e, err == nil)
				return
			}
			e.freshWaits = append(e.freshWaits, freshWait{got.End, f})
			e.wakeTail()
		})
	}()
}

func (e *engine) answerFresh() {
	waits := e.freshWaits
	e.freshWaits = nil
	for _, w := range waits {
		if e.state.Next >= w.end {
			w.do(e, true)
		} else {
			e.freshWaits = append(e.freshWaits, w)
		}
	}
}

// place lets the placer decide and carries its commands out.
func (e *engine) place(ctx context.Context, now time.Duration) {
	if now-e.ackedAt > orphanTime {
		e.endPlacer("the log has not answered for too long")
		return
	}
	if e.leaving {
		if !e.appending {
			e.release(ctx)
		}
		return
	}
	e.carryOut(e.placing, e.placer.Tick(now, time.Now().UnixMilli()))
	for _, n := range e.placer.Notes() {
		e.logNote(&n)
	}
	e.flush(ctx, now)
	e.summarize(now)
	if e.placer != nil {
		e.saveSnapshot(e.placing, now)
	}
}

// summarize writes once a second what the placer holds.
func (e *engine) summarize(now time.Duration) {
	if now-e.summaryAt < summaryEvery || e.placer == nil {
		return
	}
	e.summaryAt = now
	s := e.placer.Summarize(now, time.Now().UnixMilli())
	e.log.Emit(evSummary, "steps", s.Steps, "unadvised", s.Unadvised, "asking", s.Asking, "roomless", s.Roomless, "late", s.Late,
		"runs", s.Runs, "usable", s.Usable, "workers", s.Workers, "free", s.Free.String(), "capacity", s.Capacity.String(),
		"advisers", s.Advisers, "calls", s.Calls)
}

// flush appends the next batch unless one is under way.
func (e *engine) flush(ctx context.Context, now time.Duration) {
	if e.appending || e.placer == nil {
		return
	}
	batch, runs, due := e.placer.Flush(now)
	if !due {
		return
	}
	e.appending = true
	p, appender := e.placer, e.appender
	e.counts.batches.Inc()
	go func() {
		bounded, cancel := context.WithTimeout(ctx, orphanTime)
		defer cancel()
		sent := bootclock.Now()
		record := &flow.Record{Batch: &batch}
		offset, err := appender.append(bounded, record)
		e.do(ctx, func(e *engine) {
			if e.placer != p {
				return
			}
			e.appending = false
			if err == nil && offset >= e.state.Next {
				e.ahead[offset] = decoded{record: *record}
				e.applyAhead(ctx, bootclock.Now())
			}
			if err != nil {
				e.endPlacer("the log refused a batch: " + err.Error())
				return
			}
			e.ackedAt = sent
			if e.placer != p {
				return // a record that was applied just now ended it
			}
			e.carryOut(e.placing, p.Appended(runs, bootclock.Now()))
			if len(e.ahead) > 0 {
				e.wakeTail()
			}
		})
	}()
}

func (e *engine) logNote(n *placer.Note) {
	e.log.Emit(evDecision, "decision", n.What, "job", n.Job, "occurrence", n.Task.Occurrence, "step", n.Task.Step, "task", n.Task.Index,
		"run", n.Run, "worker", n.Worker, "reason", n.Reason, "age_ms", n.Age.Milliseconds(), "version", n.Version)
}

// watchRegistry reads the registry while this daemon is the placer.
func (e *engine) watchRegistry(ctx context.Context, p *placer.Placer) {
	for ctx.Err() == nil {
		bounded, cancel := context.WithTimeout(ctx, storeTimeout)
		workers, unusable, err := e.store.Workers(bounded)
		cancel()
		if err == nil {
			e.do(ctx, func(e *engine) {
				if e.placer != p {
					return
				}
				if len(unusable) != e.unusable {
					e.unusable = len(unusable)
					e.log.Emit(evWorkers, "entries", unusable)
				}
				p.Registry(workers, bootclock.Now())
			})
		}
		select {
		case <-ctx.Done():
		case <-time.After(registryGap):
		}
	}
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

// leave begins a planned stop: the placer records what it knows and gives up its claim,
// so that another daemon takes over at once. Workers keep their leases meanwhile.
func (e *engine) leave(ctx context.Context) {
	e.draining = true
	e.sayHello(ctx, true)
	e.leaving = e.placer != nil
}

// release gives up the claim behind the last batch.
func (e *engine) release(ctx context.Context) {
	batch, _, due := e.placer.Flush(bootclock.Now())
	batch.Begins = nil // nothing begins after the release
	appender, epoch := e.appender, e.placer.Epoch()
	e.endPlacer("planned stop")
	go func() {
		bounded, cancel := context.WithTimeout(ctx, drainTime)
		defer cancel()
		if due && len(batch.Ends) > 0 {
			if _, err := appender.append(bounded, &flow.Record{Batch: &batch}); err != nil {
				e.log.Emit(evPlacingEnd, "reason", "the last batch was not stored: "+err.Error(), "epoch", epoch)
			}
		}
		if _, err := appender.append(bounded, &flow.Record{Release: &flow.Release{Daemon: e.settings.Name, Epoch: epoch}}); err != nil {
			e.log.Emit(evPlacingEnd, "reason", "the release was not stored: "+err.Error(), "epoch", epoch)
		}
	}()
}
