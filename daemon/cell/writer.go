package cell

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"briarproxy/core/cluster"
	"briarproxy/core/fault"
	"briarproxy/core/flow"
	"briarproxy/daemon/bootclock"
)

// Limits of appending.
const (
	appendTimeout         = directTimeout + 300*time.Millisecond // of one append: a direct try, then one through another daemon
	appendRetryDelay      = 120 * time.Millisecond               // doubled with each failure in a row
	maxAppendRetryDelay   = 960 * time.Millisecond
	appendQueueLength     = 4096 // records that wait for an append
	maxOpenForwards       = 16   // groups that are under way to the placer
	groupWindow           = 4 * time.Millisecond
	maxGroupRecords       = 512                     // of 400 bytes: a partition that is a hundred times as slow takes them in a second
	minPlacerWait         = 500 * time.Millisecond  // then the record is appended here as well
	aliveTimeout          = 300 * time.Millisecond  // two ways between regions and a busy daemon
	placerWaitFactor      = 3                       // times the usual answer: a slow store must not get every record twice, from all daemons
	maxPlacerWait         = 1500 * time.Millisecond // leaves a caller time for an append from here
	slowLogExcess         = 100 * time.Millisecond  // beyond the usual answer: appends from all daemons would wait there for seconds
	latencyAverageDivisor = 4                       // one answer moves the usual one by this part of the difference
	hedgeDelay            = 600 * time.Millisecond  // longer than a slow answer, shorter than the silence that makes others claim; doubled each time
	maxOpenHedges         = 3
	peerReturnMargin      = 100 * time.Millisecond // of a call's time limit, for the way back
	suspectPollInterval   = 20 * time.Millisecond
)

// pendingRecord is a record to append and its outcome.
type pendingRecord struct {
	data     []byte
	deadline time.Time
	done     chan struct{} // closed when the outcome is certain

	mu             sync.Mutex
	stored         bool
	attempts       int  // attempts under way
	outcomeUnknown bool // an attempt was not answered
	abandoned      bool // given up: it must not be sent any more
}

// beginAttempt notes an attempt; false means that none may be made any more.
func (p *pendingRecord) beginAttempt() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.abandoned || p.stored {
		return false
	}
	p.attempts++
	return true
}

// endAttempt notes the outcome of an attempt.
func (p *pendingRecord) endAttempt(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.attempts--
	switch {
	case err == nil && !p.stored:
		p.stored = true
		close(p.done)
	case fault.Is(err, fault.Unknown):
		p.outcomeUnknown = true
	}
}

// refuse gives a record up that was certainly not sent, so that its caller is told at once.
func (p *pendingRecord) refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.abandoned || p.stored || p.attempts > 0 || p.outcomeUnknown {
		return
	}
	p.abandoned = true
	close(p.done)
}

// settled reports whether nobody waits for the record any more.
func (p *pendingRecord) settled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.abandoned || p.stored || time.Now().After(p.deadline)
}

// finalOutcome returns what is certain at the record's deadline, or when its outcome is.
func (p *pendingRecord) finalOutcome() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.stored:
		return nil
	case p.abandoned:
		return fault.New(fault.Refused, "ask again later; nothing was done", "the log does not answer; the record was kept back")
	case p.attempts > 0 || p.outcomeUnknown:
		return fault.New(fault.Unknown, "ask again with the same id", "the log did not answer in time")
	}
	p.abandoned = true
	return fault.New(fault.Refused, "ask again later; nothing was done", "the log did not take the record in time")
}

// writer appends callers' records in groups. Every record may safely be appended twice,
// because the first submission and the first cancellation of a job count; so it repeats
// an append that was not answered until the deadline of the record.
//
// The records go through the placer, unless its machine is weak; it is near the log and gathers those of all
// daemons: a partition carries out its appends one at a time, so many small ones wait
// for each other when the store is slow. Without an answer of the placer they are
// appended here.
type writer struct {
	log             Log
	peers           *peerClients
	placerAddress   atomic.Pointer[string] // address of the placer; "" is here
	fallbackAddress atomic.Pointer[string] // where records are gathered at a slow log while the placer is not reached; "" is here
	queue           chan *pendingRecord
	directQueue     chan *pendingRecord
	forwards        chan struct{}
	placerLatency   atomic.Int64 // time of the placer's answers, ns
	appendTimes     recentMax    // to appends that were stored
	logSlow         func() bool  // the log's answers take much longer than usual
	// logSuspect reports that an append made now may be left without an answer, logUnresponsive that
	// the log does not answer at all.
	logSuspect, logUnresponsive func() bool
	// logAnswersInTime asks the log for a sign of life and reports whether it comes in the usual time. The
	// answers of a slow log show up in logSlow only after a second or two.
	logAnswersInTime func(ctx context.Context) bool
	storedAt         atomic.Int64                        // boot clock: a record of this daemon was stored
	weakPlacer       atomic.Bool                         // the placer's machine has too little of what a placer needs: records should not pass its link twice
	onAppended       func(first int64, records [][]byte) // told of every append made here
}

// alwaysFalse is the judgement of a log that always answers.
func alwaysFalse() bool { return false }

func newWriter(log Log, p *peerClients) *writer {
	w := &writer{
		log: log, peers: p, queue: make(chan *pendingRecord, appendQueueLength), directQueue: make(chan *pendingRecord, appendQueueLength),
		forwards: make(chan struct{}, maxOpenForwards), onAppended: func(int64, [][]byte) {},
		logSlow: alwaysFalse, logSuspect: alwaysFalse, logUnresponsive: alwaysFalse, logAnswersInTime: func(context.Context) bool { return true },
	}
	none := ""
	w.placerAddress.Store(&none)
	w.fallbackAddress.Store(&none)
	return w
}

// append stores a record. An error of kind fault.Refused means that it is not stored
// and never will be; fault.Unknown that it may be.
func (w *writer) append(ctx context.Context, r *flow.Record, within time.Duration) error {
	data, err := r.Encode()
	if err != nil {
		return err
	}
	return w.enqueueAndWait(ctx, w.queue, data, within)
}

// appendForPeer stores encoded records of another daemon and returns the outcome of each.
func (w *writer) appendForPeer(records [][]byte, within time.Duration) []error {
	outcomes := make([]error, len(records))
	var waiting sync.WaitGroup
	for i, data := range records {
		waiting.Go(func() { outcomes[i] = w.enqueueAndWait(context.Background(), w.directQueue, data, within) })
	}
	waiting.Wait()
	return outcomes
}

// enqueueAndWait queues a record and waits for its outcome until its deadline.
func (w *writer) enqueueAndWait(ctx context.Context, queue chan *pendingRecord, data []byte, within time.Duration) error {
	e := &pendingRecord{data: data, deadline: time.Now().Add(within), done: make(chan struct{})}
	select {
	case queue <- e:
	default:
		return fault.New(fault.Refused, "retry later; nothing was done", "%d records wait for the log", appendQueueLength)
	}
	timer := time.NewTimer(within)
	defer timer.Stop()
	select {
	case <-e.done:
	case <-timer.C:
	case <-ctx.Done():
	}
	return e.finalOutcome()
}

func (w *writer) run(ctx context.Context) {
	go w.runDirect(ctx)
	go w.refuseQueued(ctx)
	for {
		group := nextGroup(ctx, w.queue)
		if group == nil {
			return
		}
		address := w.appenderAddress()
		if address == "" {
			w.queueDirect(group)
			continue
		}
		select {
		case w.forwards <- struct{}{}:
		default:
			w.queueDirect(group) // the placer does not keep up
			continue
		}
		go func() {
			defer func() { <-w.forwards }()
			w.forward(ctx, address, group)
			w.appendElsewhere(ctx, address, group)
		}()
	}
}

// appenderAddress is the daemon that appends the records of this one; "" is this one.
func (w *writer) appenderAddress() string {
	placer := *w.placerAddress.Load()
	switch {
	case w.logSlow() && placer == "":
		return *w.fallbackAddress.Load()
	case w.weakPlacer.Load() && !w.logSlow():
		return ""
	default:
		return placer
	}
}

// appendElsewhere has records appended that the daemon at appenderAddress did not get stored: here, or at a slow
// log by the fallback appender, as appends of all daemons would wait for each other there.
func (w *writer) appendElsewhere(ctx context.Context, tried string, group []*pendingRecord) {
	if slices.IndexFunc(group, func(e *pendingRecord) bool { return !e.settled() }) < 0 {
		return
	}
	if fallback := *w.fallbackAddress.Load(); w.logSlow() && fallback != "" && fallback != tried {
		w.forward(ctx, fallback, group)
	}
	w.queueDirect(group)
}

// nextGroup gathers the records that arrive within a short time of the first.
func nextGroup(ctx context.Context, queue <-chan *pendingRecord) []*pendingRecord {
	var group []*pendingRecord
	select {
	case <-ctx.Done():
		return nil
	case e := <-queue:
		group = append(group, e)
	}
	timer := time.NewTimer(groupWindow)
	defer timer.Stop()
	for len(group) < maxGroupRecords {
		select {
		case e := <-queue:
			group = append(group, e)
		case <-timer.C:
			return group
		}
	}
	return group
}

// queueDirect has records appended here.
func (w *writer) queueDirect(group []*pendingRecord) {
	for _, e := range group {
		select {
		case w.directQueue <- e:
		default: // the queue is full; the record is refused at its deadline
		}
	}
}

// beginAttempts returns the records that may still be sent, each with an attempt begun.
func beginAttempts(group []*pendingRecord) (live []*pendingRecord, records [][]byte) {
	for _, e := range group {
		if e.beginAttempt() {
			live = append(live, e)
			records = append(records, e.data)
		}
	}
	return live, records
}

func endAttempts(group []*pendingRecord, err error) {
	for _, e := range group {
		e.endAttempt(err)
	}
}

// endSubmitted notes the placer's answer for each record. It returns the error of one that is
// not known to be stored.
func endSubmitted(group []*pendingRecord, reply *SubmitReply) (failed error) {
	for i, e := range group {
		err := reply.outcome(i)
		e.endAttempt(err)
		if err != nil {
			failed = err
		}
	}
	return failed
}

// forward has another daemon append records with those of other daemons, until it answers or
// can't be waited for any longer.
func (w *writer) forward(ctx context.Context, address string, group []*pendingRecord) {
	live, records := beginAttempts(group)
	if len(live) == 0 {
		return
	}
	answered, sent := make(chan error, 1), time.Now()
	go func() {
		limit := time.Until(live[0].deadline)
		bounded, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		reply := &SubmitReply{}
		err := w.peers.call(bounded, address, submitMethod, &SubmitArgs{records, limit - peerReturnMargin}, reply)
		if err = remoteError(err, "", fault.Unknown); err != nil {
			endAttempts(live, err)
		} else {
			err = endSubmitted(live, reply)
		}
		w.recordPlacerLatency(time.Since(sent))
		if err == nil {
			w.appendTimes.record(time.Since(sent), bootclock.Now())
			w.storedAt.Store(int64(bootclock.Now()))
		}
		answered <- err
	}()
	wait := w.placerWait()
	for waited := time.Duration(0); ; {
		select {
		case err := <-answered:
			if err == nil {
				return
			}
		case <-time.After(wait):
			if waited += wait; (waited < maxPlacerWait || w.logSlow() || !w.logAnswersInTime(ctx)) && w.alive(ctx, address) {
				continue // it waits for a slow log, which appends from all daemons would only slow down
			}
		}
		return
	}
}

// alive reports whether the placer's daemon answers. A call to yield an epoch before the
// first one has no effect.
func (w *writer) alive(ctx context.Context, address string) bool {
	bounded, cancel := context.WithTimeout(ctx, aliveTimeout)
	defer cancel()
	var done bool
	return w.peers.call(bounded, address, yieldMethod, &YieldArgs{Epoch: -1}, &done) == nil
}

// recordPlacerLatency takes the time of one answer of the placer into the usual one.
func (w *writer) recordPlacerLatency(took time.Duration) {
	average := time.Duration(w.placerLatency.Load())
	w.placerLatency.Store(int64(average + (took-average)/latencyAverageDivisor))
}

// placerWait is how long an answer of the placer is waited for.
func (w *writer) placerWait() time.Duration {
	return min(max(minPlacerWait, placerWaitFactor*time.Duration(w.placerLatency.Load())), maxPlacerWait)
}

// appendTimeLimit is the time limit of one append. Another one before the first is answered would
// wait behind it at a slow log.
func (w *writer) appendTimeLimit() time.Duration {
	if w.logSlow() {
		return slowStoreTimeout
	}
	return appendTimeout
}

// runDirect appends records here, one append at a time: more would only wait for each
// other at the partition.
func (w *writer) runDirect(ctx context.Context) {
	retry := appendRetryDelay
	for {
		group := nextGroup(ctx, w.directQueue)
		if group == nil {
			return
		}
		if w.logSuspect() {
			group = w.holdWhileSuspect(ctx, group)
		}
		live, records := beginAttempts(group)
		if len(live) == 0 {
			continue
		}
		bounded, cancel := context.WithTimeout(ctx, w.appendTimeLimit())
		sent := bootclock.Now()
		first, err := w.log.Append(bounded, partition, records, nil)
		cancel()
		endAttempts(live, err)
		if err != nil {
			time.Sleep(retry)
			retry = min(2*retry, maxAppendRetryDelay)
			w.queueDirect(live)
			continue
		}
		retry = appendRetryDelay
		w.appendTimes.record(bootclock.Now()-sent, bootclock.Now())
		w.storedAt.Store(int64(bootclock.Now()))
		w.onAppended(first, records)
	}
}

// holdWhileSuspect holds records until the log answers again, and returns those that are still to be
// appended. Those of which none was sent are refused as soon as the log is known to be silent:
// their callers have time left to come again.
func (w *writer) holdWhileSuspect(ctx context.Context, group []*pendingRecord) []*pendingRecord {
	for w.logSuspect() && ctx.Err() == nil {
		if w.logUnresponsive() {
			group = append(group, drainQueue(w.directQueue)...)
			for _, e := range group {
				e.refuse()
			}
		}
		group = slices.DeleteFunc(group, func(e *pendingRecord) bool { return e.settled() })
		if len(group) == 0 {
			break
		}
		time.Sleep(suspectPollInterval)
	}
	return group
}

// refuseQueued refuses the records that wait behind an append to a silent log. The append itself
// may take seconds to be given up.
func (w *writer) refuseQueued(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(suspectPollInterval)
		if !w.logUnresponsive() {
			continue
		}
		var rest []*pendingRecord
		for _, e := range drainQueue(w.directQueue) {
			if e.refuse(); !e.settled() {
				rest = append(rest, e) // an attempt of it is under way
			}
		}
		w.queueDirect(rest)
	}
}

// drainQueue takes what waits in a queue.
func drainQueue(queue <-chan *pendingRecord) []*pendingRecord {
	var group []*pendingRecord
	for {
		select {
		case e := <-queue:
			group = append(group, e)
		default:
			return group
		}
	}
}

// fencedAppender appends the placer's records in order, each under the next sequence number.
type fencedAppender struct {
	log     Log
	fence   cluster.Fence
	logSlow func() bool // the log's answers take much longer than usual
}

// append stores a record and returns its offset. It repeats the append, which has no
// further effect, until there is an answer or the context ends. An error of kind
// fault.Conflict means that a newer epoch was used.
func (f *fencedAppender) append(ctx context.Context, r *flow.Record) (int64, error) {
	data, err := r.Encode()
	if err != nil {
		return 0, err
	}
	fence := f.fence
	f.fence.Sequence++
	return f.appendUntilAnswered(ctx, data, fence)
}

// appendUntilAnswered appends until there is an answer. While one attempt waits, the next is made: the
// answer of the first may be lost, and a placer that is silent for long is replaced.
func (f *fencedAppender) appendUntilAnswered(ctx context.Context, data []byte, fence cluster.Fence) (int64, error) {
	type answer struct {
		offset int64
		err    error
	}
	bounded, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan answer, 1)
	limit, wait := appendTimeout, hedgeDelay
	if f.logSlow() {
		limit, wait = slowStoreTimeout, slowStoreTimeout/2
	}
	attempt := func() {
		limited, end := context.WithTimeout(bounded, limit)
		defer end()
		offset, err := f.log.Append(limited, partition, [][]byte{data}, &fence)
		select {
		case answers <- answer{offset, err}:
		case <-bounded.Done():
		}
	}
	open := 0
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return 0, fault.Wrap(ctx.Err(), fault.Unknown, "read the log", "an append of the placer was not answered")
		case <-timer.C:
			if open < maxOpenHedges {
				open++
				go attempt()
			}
			timer.Reset(wait)
			wait *= 2
		case a := <-answers:
			open--
			if a.err == nil || fault.Is(a.err, fault.Conflict) {
				return a.offset, a.err
			}
			timer.Reset(appendRetryDelay)
		}
	}
}
