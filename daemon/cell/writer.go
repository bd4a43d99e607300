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
	appendTimeout  = directTimeout + 300*time.Millisecond // of one append: a direct try, then one through another daemon
	appendRetry    = 120 * time.Millisecond               // doubled with each failure in a row
	appendRetryMax = 960 * time.Millisecond
	appendQueue    = 4096 // records that wait for an append
	forwardsOpen   = 16   // groups that are under way to the placer
	gather         = 4 * time.Millisecond
	maxGather      = 512                     // of 400 bytes: a partition that is a hundred times as slow takes them in a second
	placerPatience = 500 * time.Millisecond  // then the record is appended here as well
	aliveTimeout   = 300 * time.Millisecond  // two ways between regions and a busy daemon
	patienceFactor = 3                       // times the usual answer: a slow store must not get every record twice, from all daemons
	patienceMost   = 1500 * time.Millisecond // leaves a caller time for an append from here
	slowLog        = 100 * time.Millisecond  // beyond the usual answer: appends from all daemons would wait there for seconds
	answerWeight   = 4                       // one answer moves the usual one by this part of the difference
	hedgeAfter     = 600 * time.Millisecond  // longer than a slow answer, shorter than the silence that makes others claim; doubled each time
	hedgesOpen     = 3
	peerMargin     = 100 * time.Millisecond // of a call's time limit, for the way back
	doubtPoll      = 20 * time.Millisecond
)

// entry is a record to append and its outcome.
type entry struct {
	data  []byte
	until time.Time
	done  chan struct{} // closed when the outcome is certain

	mu     sync.Mutex
	stored bool
	open   int  // attempts under way
	unsure bool // an attempt was not answered
	dead   bool // given up: it must not be sent any more
}

// begin notes an attempt; false means that none may be made any more.
func (e *entry) begin() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead || e.stored {
		return false
	}
	e.open++
	return true
}

// end notes the outcome of an attempt.
func (e *entry) end(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.open--
	switch {
	case err == nil && !e.stored:
		e.stored = true
		close(e.done)
	case fault.Is(err, fault.Unknown):
		e.unsure = true
	}
}

// refuse gives a record up that was certainly not sent, so that its caller is told at once.
func (e *entry) refuse() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead || e.stored || e.open > 0 || e.unsure {
		return
	}
	e.dead = true
	close(e.done)
}

// over reports whether nobody waits for the record any more.
func (e *entry) over() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dead || e.stored || time.Now().After(e.until)
}

// giveUp returns what is certain at the record's deadline, or when its outcome is.
func (e *entry) giveUp() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.stored:
		return nil
	case e.dead:
		return fault.New(fault.Refused, "ask again later; nothing was done", "the log does not answer; the record was kept back")
	case e.open > 0 || e.unsure:
		return fault.New(fault.Unknown, "ask again with the same id", "the log did not answer in time")
	}
	e.dead = true
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
	log      Log
	peers    *peers
	placer   atomic.Pointer[string] // address of the placer; "" is here
	standIn  atomic.Pointer[string] // where records are gathered at a slow log while the placer is not reached; "" is here
	entries  chan *entry
	direct   chan *entry
	forwards chan struct{}
	usual    atomic.Int64 // time of the placer's answers, ns
	slow     lately       // to appends that were stored
	logSlow  func() bool  // the log's answers take much longer than usual
	// logDoubtful reports that an append made now may be left without an answer, logSilent that
	// the log does not answer at all.
	logDoubtful, logSilent func() bool
	// logQuick asks the log for a sign of life and reports whether it comes in the usual time. The
	// answers of a slow log show up in logSlow only after a second or two.
	logQuick func(ctx context.Context) bool
	storedAt atomic.Int64                        // boot clock: a record of this daemon was stored
	thin     atomic.Bool                         // the placer's machine has too little of what a placer needs: records should not pass its link twice
	stored   func(first int64, records [][]byte) // told of every append made here
}

// never is the judgement of a log that always answers.
func never() bool { return false }

func newWriter(log Log, p *peers) *writer {
	w := &writer{
		log: log, peers: p, entries: make(chan *entry, appendQueue), direct: make(chan *entry, appendQueue),
		forwards: make(chan struct{}, forwardsOpen), stored: func(int64, [][]byte) {},
		logSlow: never, logDoubtful: never, logSilent: never, logQuick: func(context.Context) bool { return true },
	}
	none := ""
	w.placer.Store(&none)
	w.standIn.Store(&none)
	return w
}

// append stores a record. An error of kind fault.Refused means that it is not stored
// and never will be; fault.Unknown that it may be.
func (w *writer) append(ctx context.Context, r *flow.Record, within time.Duration) error {
	data, err := r.Encode()
	if err != nil {
		return err
	}
	return w.await(ctx, w.entries, data, within)
}

// put stores encoded records of another daemon and returns the outcome of each.
func (w *writer) put(records [][]byte, within time.Duration) []error {
	outcomes := make([]error, len(records))
	var waiting sync.WaitGroup
	for i, data := range records {
		waiting.Go(func() { outcomes[i] = w.await(context.Background(), w.direct, data, within) })
	}
	waiting.Wait()
	return outcomes
}

// await queues a record and waits for its outcome until its deadline.
func (w *writer) await(ctx context.Context, queue chan *entry, data []byte, within time.Duration) error {
	e := &entry{data: data, until: time.Now().Add(within), done: make(chan struct{})}
	select {
	case queue <- e:
	default:
		return fault.New(fault.Refused, "retry later; nothing was done", "%d records wait for the log", appendQueue)
	}
	timer := time.NewTimer(within)
	defer timer.Stop()
	select {
	case <-e.done:
	case <-timer.C:
	case <-ctx.Done():
	}
	return e.giveUp()
}

func (w *writer) run(ctx context.Context) {
	go w.runDirect(ctx)
	go w.refuseQueued(ctx)
	for {
		group := next(ctx, w.entries)
		if group == nil {
			return
		}
		address := w.gatherer()
		if address == "" {
			w.hand(group)
			continue
		}
		select {
		case w.forwards <- struct{}{}:
		default:
			w.hand(group) // the placer does not keep up
			continue
		}
		go func() {
			defer func() { <-w.forwards }()
			w.forward(ctx, address, group)
			w.gatherElsewhere(ctx, address, group)
		}()
	}
}

// gatherer is the daemon that appends the records of this one; "" is this one.
func (w *writer) gatherer() string {
	placer := *w.placer.Load()
	switch {
	case w.logSlow() && placer == "":
		return *w.standIn.Load()
	case w.thin.Load() && !w.logSlow():
		return ""
	default:
		return placer
	}
}

// gatherElsewhere has records appended that the gatherer did not get stored: here, or at a slow
// log by the daemon that stands in, as appends of all daemons would wait for each other there.
func (w *writer) gatherElsewhere(ctx context.Context, tried string, group []*entry) {
	if slices.IndexFunc(group, func(e *entry) bool { return !e.over() }) < 0 {
		return
	}
	if standIn := *w.standIn.Load(); w.logSlow() && standIn != "" && standIn != tried {
		w.forward(ctx, standIn, group)
	}
	w.hand(group)
}

// next gathers the records that arrive within a short time of the first.
func next(ctx context.Context, queue <-chan *entry) []*entry {
	var group []*entry
	select {
	case <-ctx.Done():
		return nil
	case e := <-queue:
		group = append(group, e)
	}
	timer := time.NewTimer(gather)
	defer timer.Stop()
	for len(group) < maxGather {
		select {
		case e := <-queue:
			group = append(group, e)
		case <-timer.C:
			return group
		}
	}
	return group
}

// hand has records appended here.
func (w *writer) hand(group []*entry) {
	for _, e := range group {
		select {
		case w.direct <- e:
		default: // the queue is full; the record is refused at its deadline
		}
	}
}

// begun returns the records that may still be sent, each with an attempt begun.
func begun(group []*entry) (live []*entry, records [][]byte) {
	for _, e := range group {
		if e.begin() {
			live = append(live, e)
			records = append(records, e.data)
		}
	}
	return live, records
}

func finish(group []*entry, err error) {
	for _, e := range group {
		e.end(err)
	}
}

// finishEach notes the placer's answer for each record. It returns the error of one that is
// not known to be stored.
func finishEach(group []*entry, reply *SubmitReply) (failed error) {
	for i, e := range group {
		err := reply.outcome(i)
		e.end(err)
		if err != nil {
			failed = err
		}
	}
	return failed
}

// forward has another daemon append records with those of other daemons, until it answers or
// can't be waited for any longer.
func (w *writer) forward(ctx context.Context, address string, group []*entry) {
	live, records := begun(group)
	if len(live) == 0 {
		return
	}
	answered, sent := make(chan error, 1), time.Now()
	go func() {
		limit := time.Until(live[0].until)
		bounded, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		reply := &SubmitReply{}
		err := w.peers.call(bounded, address, submitMethod, &SubmitArgs{records, limit - peerMargin}, reply)
		if err = remote(err, "", fault.Unknown); err != nil {
			finish(live, err)
		} else {
			err = finishEach(live, reply)
		}
		w.learn(time.Since(sent))
		if err == nil {
			w.slow.note(time.Since(sent), bootclock.Now())
			w.storedAt.Store(int64(bootclock.Now()))
		}
		answered <- err
	}()
	patience := w.patience()
	for waited := time.Duration(0); ; {
		select {
		case err := <-answered:
			if err == nil {
				return
			}
		case <-time.After(patience):
			if waited += patience; (waited < patienceMost || w.logSlow() || !w.logQuick(ctx)) && w.alive(ctx, address) {
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

// learn takes the time of one answer of the placer into the usual one.
func (w *writer) learn(took time.Duration) {
	usual := time.Duration(w.usual.Load())
	w.usual.Store(int64(usual + (took-usual)/answerWeight))
}

// patience is how long an answer of the placer is waited for.
func (w *writer) patience() time.Duration {
	return min(max(placerPatience, patienceFactor*time.Duration(w.usual.Load())), patienceMost)
}

// timeout is the time limit of one append. Another one before the first is answered would
// wait behind it at a slow log.
func (w *writer) timeout() time.Duration {
	if w.logSlow() {
		return slowTimeout
	}
	return appendTimeout
}

// runDirect appends records here, one append at a time: more would only wait for each
// other at the partition.
func (w *writer) runDirect(ctx context.Context) {
	retry := appendRetry
	for {
		group := next(ctx, w.direct)
		if group == nil {
			return
		}
		if w.logDoubtful() {
			group = w.keepBack(ctx, group)
		}
		live, records := begun(group)
		if len(live) == 0 {
			continue
		}
		bounded, cancel := context.WithTimeout(ctx, w.timeout())
		sent := bootclock.Now()
		first, err := w.log.Append(bounded, partition, records, nil)
		cancel()
		finish(live, err)
		if err != nil {
			time.Sleep(retry)
			retry = min(2*retry, appendRetryMax)
			w.hand(live)
			continue
		}
		retry = appendRetry
		w.slow.note(bootclock.Now()-sent, bootclock.Now())
		w.storedAt.Store(int64(bootclock.Now()))
		w.stored(first, records)
	}
}

// keepBack holds records until the log answers again, and returns those that are still to be
// appended. Those of which none was sent are refused as soon as the log is known to be silent:
// their callers have time left to come again.
func (w *writer) keepBack(ctx context.Context, group []*entry) []*entry {
	for w.logDoubtful() && ctx.Err() == nil {
		if w.logSilent() {
			group = append(group, queued(w.direct)...)
			for _, e := range group {
				e.refuse()
			}
		}
		group = slices.DeleteFunc(group, func(e *entry) bool { return e.over() })
		if len(group) == 0 {
			break
		}
		time.Sleep(doubtPoll)
	}
	return group
}

// refuseQueued refuses the records that wait behind an append to a silent log. The append itself
// may take seconds to be given up.
func (w *writer) refuseQueued(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(doubtPoll)
		if !w.logSilent() {
			continue
		}
		var rest []*entry
		for _, e := range queued(w.direct) {
			if e.refuse(); !e.over() {
				rest = append(rest, e) // an attempt of it is under way
			}
		}
		w.hand(rest)
	}
}

// queued takes what waits in a queue.
func queued(queue <-chan *entry) []*entry {
	var group []*entry
	for {
		select {
		case e := <-queue:
			group = append(group, e)
		default:
			return group
		}
	}
}

// fenced appends the placer's records in order, each under the next sequence number.
type fenced struct {
	log   Log
	fence cluster.Fence
	slow  func() bool // the log's answers take much longer than usual
}

// append stores a record and returns its offset. It repeats the append, which has no
// further effect, until there is an answer or the context ends. An error of kind
// fault.Conflict means that a newer epoch was used.
func (f *fenced) append(ctx context.Context, r *flow.Record) (int64, error) {
	data, err := r.Encode()
	if err != nil {
		return 0, err
	}
	fence := f.fence
	f.fence.Sequence++
	return f.repeat(ctx, data, fence)
}

// repeat appends until there is an answer. While one attempt waits, the next is made: the
// answer of the first may be lost, and a placer that is silent for long is replaced.
func (f *fenced) repeat(ctx context.Context, data []byte, fence cluster.Fence) (int64, error) {
	type answer struct {
		offset int64
		err    error
	}
	bounded, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan answer, 1)
	limit, wait := appendTimeout, hedgeAfter
	if f.slow() {
		limit, wait = slowTimeout, slowTimeout/2
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
			if open < hedgesOpen {
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
			timer.Reset(appendRetry)
		}
	}
}
