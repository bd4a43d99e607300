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

// Time limits, delays and sizes of appends.
const (
	appendTimeout         = directTimeout + 300*time.Millisecond // of one append: a direct attempt, then one through another daemon
	appendRetryDelay      = 120 * time.Millisecond               // doubled after each failure in a row
	maxAppendRetryDelay   = 960 * time.Millisecond
	appendQueueLength     = 4096                    // records that wait for an append
	maxOpenForwards       = 16                      // concurrent calls that forward a group to the placer
	groupWindow           = 4 * time.Millisecond    // records that arrive within it are appended together
	maxGroupRecords       = 512                     // at 400 bytes each, a partition slowed down by a factor of 100 appends them within a second
	minPlacerWait         = 500 * time.Millisecond  // the shortest wait for an answer of the placer; if it does not respond then, this daemon appends the record as well
	aliveTimeout          = 300 * time.Millisecond  // a round trip between regions to a busy daemon
	placerWaitFactor      = 3                       // the wait is this multiple of the average latency; with a shorter one, all daemons would append their records a second time at a slow store
	maxPlacerWait         = 1500 * time.Millisecond // the longest wait unless the log is slow; leaves time within the caller's time limit for an append from this daemon
	slowLogMargin         = 100 * time.Millisecond  // a log whose latency exceeds the usual one by more than this counts as slow: appends of all daemons would queue there for seconds
	latencyAverageDivisor = 4                       // each answer moves the average by the difference divided by this
	hedgeDelay            = 600 * time.Millisecond  // longer than a slow answer, shorter than the time without records of the placer after which another daemon claims its role; doubled after each attempt
	maxOpenHedges         = 3                       // concurrent attempts of one append
	maxRecordTime         = 30 * time.Second        // for which a record is sent at most, whatever time its caller has: TombstoneRetention is longer
	peerReturnMargin      = 100 * time.Millisecond  // of a call's time limit, left for the reply to travel back
	suspectPollInterval   = 20 * time.Millisecond
)

// pendingRecord is a record to append, with the state of its attempts and its outcome.
type pendingRecord struct {
	data     []byte
	deadline time.Duration // boot clock, which also counts the time for which this VM is suspended
	done     chan struct{} // closed once the record is stored or abandoned

	mu             sync.Mutex
	stored         bool
	attempts       int  // attempts without an outcome yet
	outcomeUnknown bool // an attempt ended without an answer, so the record may be stored
	abandoned      bool // must not be sent any more
}

// beginAttempt registers an attempt and reports whether it may be made: a record that is stored,
// abandoned or past its deadline is not sent again.
func (p *pendingRecord) beginAttempt() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.abandoned || p.stored || p.late() {
		return false
	}
	p.attempts++
	return true
}

// endAttempt records the outcome of an attempt.
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

// refuse abandons a record that is certainly not stored, so that its caller gets an answer at once.
func (p *pendingRecord) refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.abandoned || p.stored || p.attempts > 0 || p.outcomeUnknown {
		return
	}
	p.abandoned = true
	close(p.done)
}

// settled reports whether the record needs no further attempt: it is stored, abandoned or past its
// deadline.
func (p *pendingRecord) settled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.abandoned || p.stored || p.late()
}

func (p *pendingRecord) late() bool { return bootclock.Now() > p.deadline }

// finalOutcome returns the outcome of the record, and abandons a record that is certainly not stored.
// It is called once the record is done, its deadline has passed or its caller has gone.
func (p *pendingRecord) finalOutcome() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.stored:
		return nil
	case p.abandoned:
		return fault.New(fault.Refused, "retry later; nothing was done", "the log does not answer; the record was held back and is not stored")
	case p.attempts > 0 || p.outcomeUnknown:
		return fault.New(fault.Unknown, "retry with the same id", "the log did not answer the append in time; the record may be stored")
	}
	p.abandoned = true
	return fault.New(fault.Refused, "retry later; nothing was done", "the record could not be appended to the log in time")
}

// writer appends callers' records in groups. Only the first submission and the first
// cancellation of a job count, so every record may safely be appended twice, and an append
// without an answer is repeated until the deadline of the record.
//
// Records are forwarded to the placer, which is near the log and merges those of all daemons:
// a partition carries out one append at a time, so at a slow store many small appends would
// queue behind each other. Records that the placer does not get stored in time, or that would
// cross the slow link of a low-capacity placer, are appended from this daemon.
type writer struct {
	log             Log
	peers           *peerClients
	placerAddress   atomic.Pointer[string] // "" means this daemon, or no known placer
	fallbackAddress atomic.Pointer[string] // daemon that appends for all while the log is slow and the placer is not reached; "" means this daemon
	queue           chan *pendingRecord    // this daemon's records, to be forwarded to the placer or appended directly
	directQueue     chan *pendingRecord    // records that this daemon appends itself
	forwardSlots    chan struct{}          // semaphore of concurrent forwards
	placerLatency   atomic.Int64           // moving average of the latency of the placer's answers, ns
	appendTimes     recentMax              // durations of successful appends
	logSlow         func() bool            // reports whether the log takes much longer than usual to answer
	// logSuspect reports whether an append sent now is likely to get no answer; logUnresponsive
	// whether the log has stopped answering altogether.
	logSuspect, logUnresponsive func() bool
	// logAnswersInTime probes the log and reports whether it answers within the usual time. logSlow
	// notices a log that has become slow only after a second or two.
	logAnswersInTime  func(ctx context.Context) bool
	storedAt          atomic.Int64                              // boot clock: time of the last successful append or forward
	lowCapacityPlacer atomic.Bool                               // the placer's capacity factor is below minForwardCapacityFactor: records must not cross its link twice, unless the log is slow
	onAppended        func(firstOffset int64, records [][]byte) // called after every successful append of this daemon
}

// alwaysFalse is the default of the checks of the log's health.
func alwaysFalse() bool { return false }

func newWriter(log Log, peers *peerClients) *writer {
	w := &writer{
		log: log, peers: peers, queue: make(chan *pendingRecord, appendQueueLength), directQueue: make(chan *pendingRecord, appendQueueLength),
		forwardSlots: make(chan struct{}, maxOpenForwards), onAppended: func(int64, [][]byte) {},
		logSlow: alwaysFalse, logSuspect: alwaysFalse, logUnresponsive: alwaysFalse, logAnswersInTime: func(context.Context) bool { return true },
	}
	unset := ""
	w.placerAddress.Store(&unset)
	w.fallbackAddress.Store(&unset)
	return w
}

// append stores a record. An error of kind fault.Refused means that the record is not stored and
// never will be; fault.Unknown means that it may be stored.
func (w *writer) append(ctx context.Context, record *flow.Record, timeout time.Duration) error {
	data, err := record.Encode()
	if err != nil {
		return err
	}
	return w.enqueueAndWait(ctx, w.queue, data, timeout)
}

// appendForPeer stores encoded records on behalf of another daemon and returns the error of each.
func (w *writer) appendForPeer(records [][]byte, timeout time.Duration) []error {
	outcomes := make([]error, len(records))
	var wg sync.WaitGroup
	for i, data := range records {
		wg.Go(func() { outcomes[i] = w.enqueueAndWait(context.Background(), w.directQueue, data, timeout) })
	}
	wg.Wait()
	return outcomes
}

// enqueueAndWait queues a record and waits for its outcome, at most until its deadline.
func (w *writer) enqueueAndWait(ctx context.Context, queue chan *pendingRecord, data []byte, timeout time.Duration) error {
	timeout = min(timeout, maxRecordTime)
	pending := &pendingRecord{data: data, deadline: bootclock.Now() + timeout, done: make(chan struct{})}
	select {
	case queue <- pending:
	default:
		return fault.New(fault.Refused, "retry later; nothing was done", "the queue of appends is full: %d records wait for the log", appendQueueLength)
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-pending.done:
	case <-timer.C:
	case <-ctx.Done():
	}
	return pending.finalOutcome()
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
		case w.forwardSlots <- struct{}{}:
		default:
			w.queueDirect(group) // the placer does not keep up
			continue
		}
		go func() {
			defer func() { <-w.forwardSlots }()
			w.forward(ctx, address, group)
			w.appendElsewhere(ctx, address, group)
		}()
	}
}

// appenderAddress returns the address of the daemon that appends the records of this one; ""
// means this daemon itself.
func (w *writer) appenderAddress() string {
	placer := *w.placerAddress.Load()
	switch {
	case w.logSlow() && placer == "":
		return *w.fallbackAddress.Load()
	case w.lowCapacityPlacer.Load() && !w.logSlow():
		return ""
	default:
		return placer
	}
}

// appendElsewhere appends the records that the daemon at triedAddress did not get stored. At a slow
// log the fallback daemon comes first, as direct appends of all daemons would queue behind each
// other; what is left is appended from this daemon.
func (w *writer) appendElsewhere(ctx context.Context, triedAddress string, group []*pendingRecord) {
	if slices.IndexFunc(group, func(record *pendingRecord) bool { return !record.settled() }) < 0 {
		return
	}
	if fallback := *w.fallbackAddress.Load(); w.logSlow() && fallback != "" && fallback != triedAddress {
		w.forward(ctx, fallback, group)
	}
	w.queueDirect(group)
}

// nextGroup returns the next record with those that arrive within groupWindow of it, or nil when
// the context ends.
func nextGroup(ctx context.Context, queue <-chan *pendingRecord) []*pendingRecord {
	var group []*pendingRecord
	select {
	case <-ctx.Done():
		return nil
	case record := <-queue:
		group = append(group, record)
	}
	timer := time.NewTimer(groupWindow)
	defer timer.Stop()
	for len(group) < maxGroupRecords {
		select {
		case record := <-queue:
			group = append(group, record)
		case <-timer.C:
			return group
		}
	}
	return group
}

// queueDirect queues records to be appended by this daemon.
func (w *writer) queueDirect(group []*pendingRecord) {
	for _, record := range group {
		select {
		case w.directQueue <- record:
		default: // the queue is full: the record fails at its deadline
		}
	}
}

// beginAttempts begins an attempt of each record that may still be sent, and returns these records
// with their data.
func beginAttempts(group []*pendingRecord) (live []*pendingRecord, records [][]byte) {
	for _, record := range group {
		if record.beginAttempt() {
			live = append(live, record)
			records = append(records, record.data)
		}
	}
	return live, records
}

func endAttempts(group []*pendingRecord, err error) {
	for _, record := range group {
		record.endAttempt(err)
	}
}

// endSubmitted records the placer's answer for each record. It returns the error of the last one
// that is not known to be stored.
func endSubmitted(group []*pendingRecord, reply *SubmitReply) (lastErr error) {
	for i, record := range group {
		err := reply.outcome(i)
		record.endAttempt(err)
		if err != nil {
			lastErr = err
		}
	}
	return lastErr
}

// forward sends records to another daemon, which appends them with those of other daemons. It
// returns when all are stored, or when they are to be appended elsewhere: the daemon has answered
// with an error, does not respond, or is late although the log is not slow.
func (w *writer) forward(ctx context.Context, address string, group []*pendingRecord) {
	live, records := beginAttempts(group)
	if len(live) == 0 {
		return
	}
	result, sentAt := make(chan error, 1), time.Now()
	go func() {
		timeout := live[0].deadline - bootclock.Now()
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		reply := &SubmitReply{}
		err := w.peers.call(callCtx, address, submitMethod, &SubmitArgs{records, timeout - peerReturnMargin}, reply)
		if err = remoteError(err, "", fault.Unknown); err != nil {
			endAttempts(live, err)
		} else {
			err = endSubmitted(live, reply)
		}
		w.recordPlacerLatency(time.Since(sentAt))
		if err == nil {
			w.appendTimes.record(time.Since(sentAt), bootclock.Now())
			w.storedAt.Store(int64(bootclock.Now()))
		}
		result <- err
	}()
	wait := w.placerWait()
	for waited := time.Duration(0); ; {
		select {
		case err := <-result:
			if err == nil {
				return
			}
		case <-time.After(wait):
			if waited += wait; (waited < maxPlacerWait || w.logSlow() || !w.logAnswersInTime(ctx)) && w.alive(ctx, address) {
				continue // the placer waits for a slow log, which direct appends of all daemons would slow down further
			}
		}
		return
	}
}

// alive reports whether a daemon answers RPCs. It sends a yield for an epoch before the first one,
// which has no effect.
func (w *writer) alive(ctx context.Context, address string) bool {
	callCtx, cancel := context.WithTimeout(ctx, aliveTimeout)
	defer cancel()
	var reply bool
	return w.peers.call(callCtx, address, yieldMethod, &YieldArgs{Epoch: -1}, &reply) == nil
}

// recordPlacerLatency adds the latency of one answer of the placer to the moving average.
func (w *writer) recordPlacerLatency(latency time.Duration) {
	average := time.Duration(w.placerLatency.Load())
	w.placerLatency.Store(int64(average + (latency-average)/latencyAverageDivisor))
}

// placerWait returns how long to wait for an answer of the placer before checking that it is alive.
func (w *writer) placerWait() time.Duration {
	return min(max(minPlacerWait, placerWaitFactor*time.Duration(w.placerLatency.Load())), maxPlacerWait)
}

// appendTimeLimit returns the time limit of one append. It is longer at a slow log, where a repeated
// append would queue behind the first one.
func (w *writer) appendTimeLimit() time.Duration {
	if w.logSlow() {
		return slowStoreTimeout
	}
	return appendTimeout
}

// runDirect appends the records of directQueue, one append at a time, because the partition carries
// out only one at a time anyway.
func (w *writer) runDirect(ctx context.Context) {
	retryDelay := appendRetryDelay
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
		appendCtx, cancel := context.WithTimeout(ctx, w.appendTimeLimit())
		sentAt := bootclock.Now()
		firstOffset, err := w.log.Append(appendCtx, partition, records, nil)
		cancel()
		endAttempts(live, err)
		if err != nil {
			time.Sleep(retryDelay)
			retryDelay = min(2*retryDelay, maxAppendRetryDelay)
			w.queueDirect(live)
			continue
		}
		retryDelay = appendRetryDelay
		w.appendTimes.record(bootclock.Now()-sentAt, bootclock.Now())
		w.storedAt.Store(int64(bootclock.Now()))
		w.onAppended(firstOffset, records)
	}
}

// holdWhileSuspect holds records back while the log is suspected not to answer, and returns those
// that are still to be appended. As soon as the log is known to be unresponsive, it refuses the
// records that are certainly not stored, so that their callers have time left for a retry.
func (w *writer) holdWhileSuspect(ctx context.Context, group []*pendingRecord) []*pendingRecord {
	for w.logSuspect() && ctx.Err() == nil {
		if w.logUnresponsive() {
			group = append(group, drainQueue(w.directQueue)...)
			for _, record := range group {
				record.refuse()
			}
		}
		group = slices.DeleteFunc(group, func(record *pendingRecord) bool { return record.settled() })
		if len(group) == 0 {
			break
		}
		time.Sleep(suspectPollInterval)
	}
	return group
}

// refuseQueued refuses the records that wait in directQueue while the log is unresponsive. The append
// in progress, which they wait for, may take seconds to time out.
func (w *writer) refuseQueued(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(suspectPollInterval)
		if !w.logUnresponsive() {
			continue
		}
		var unsettled []*pendingRecord
		for _, record := range drainQueue(w.directQueue) {
			if record.refuse(); !record.settled() {
				unsettled = append(unsettled, record) // it may be stored: an attempt is in progress or got no answer
			}
		}
		w.queueDirect(unsettled)
	}
}

// drainQueue returns all records that are in a queue now.
func drainQueue(queue <-chan *pendingRecord) []*pendingRecord {
	var drained []*pendingRecord
	for {
		select {
		case record := <-queue:
			drained = append(drained, record)
		default:
			return drained
		}
	}
}

// fencedAppender appends the placer's records in order, each with the next sequence number of its
// fence, so that a repeated append has no further effect.
type fencedAppender struct {
	log     Log
	fence   cluster.Fence
	logSlow func() bool // reports whether the log takes much longer than usual to answer
}

// append stores a record and returns its offset. It repeats the append until there is an answer or
// the context ends. An error of kind fault.Conflict means that the log has seen a newer epoch.
func (f *fencedAppender) append(ctx context.Context, record *flow.Record) (int64, error) {
	data, err := record.Encode()
	if err != nil {
		return 0, err
	}
	fence := f.fence
	f.fence.Sequence++
	return f.appendUntilAnswered(ctx, data, fence)
}

// appendUntilAnswered hedges an append until there is an answer: it starts the next attempt while
// earlier ones wait, because their answers may be lost, and a placer whose records stop is replaced.
func (f *fencedAppender) appendUntilAnswered(ctx context.Context, data []byte, fence cluster.Fence) (int64, error) {
	type answer struct {
		offset int64
		err    error
	}
	hedgeCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan answer, 1)
	timeout, hedgeWait := appendTimeout, hedgeDelay
	if f.logSlow() {
		timeout, hedgeWait = slowStoreTimeout, slowStoreTimeout/2
	}
	attempt := func() {
		attemptCtx, cancelAttempt := context.WithTimeout(hedgeCtx, timeout)
		defer cancelAttempt()
		offset, err := f.log.Append(attemptCtx, partition, [][]byte{data}, &fence)
		select {
		case answers <- answer{offset, err}:
		case <-hedgeCtx.Done():
		}
	}
	inFlight := 0
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return 0, fault.Wrap(ctx.Err(), fault.Unknown, "read the log to learn the outcome", "an append of the placer got no answer")
		case <-timer.C:
			if inFlight < maxOpenHedges {
				inFlight++
				go attempt()
			}
			timer.Reset(hedgeWait)
			hedgeWait *= 2
		case got := <-answers:
			inFlight--
			if got.err == nil || fault.Is(got.err, fault.Conflict) {
				return got.offset, got.err
			}
			timer.Reset(appendRetryDelay)
		}
	}
}
