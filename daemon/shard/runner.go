package shard

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"briarproxy/core/admission"
	"briarproxy/core/fault"
	"briarproxy/core/idempotency"
	"briarproxy/core/job"
	"briarproxy/core/resource"
	"briarproxy/core/wire"
	"briarproxy/daemon/view"
)

// runner owns one shard. All fields below the channel belong to its goroutine.
type runner struct {
	Options
	shard    int
	epoch    int64
	cancel   context.CancelFunc
	done     chan struct{}
	messages chan message
	inFlight atomic.Int64 // keyed requests
	stats    atomic.Pointer[Stats]

	ctx        context.Context
	rng        *rand.Rand
	stream     Stream
	jobs       *job.Shard
	keys       *idempotency.Table
	quotas     *admission.QuotaOwner
	bounds     map[string]resource.Vector // logged bounds of what is leased of quotas, by team
	waiters    map[string][]chan struct{} // closed when the job or key changes
	submitting map[string]bool            // job ids whose Submit record is being appended
	history    map[string][]wire.HistoryRow
	owners     *ownerChoice
	teams      *teamQuotas
	rackEpochs map[string]int64 // epoch under which each rack unit was last seen
	lastView   *view.Snapshot
	missing    map[string]time.Duration // VMs that the list does not name, since when
	verifying  bool
	stopping   bool
	nextVerify time.Duration
	nextStop   time.Duration
	nextKeep   time.Duration
	nextRepeat time.Duration // when the state is appended again
	seq        int64         // number of the newest batch
	inAppend   int           // appends in flight
	repeatDue  bool          // repeat waits for appends in flight
	repeating  int           // appends of repeat in flight
	held       []heldAppend
}

// message is handled by the runner's goroutine.
type message interface{ handle(r *runner) }

func startRunner(parent context.Context, options Options, shared *summaries, shard int, epoch int64) *runner {
	ctx, cancel := context.WithCancel(parent)
	r := &runner{
		Options: options, shard: shard, epoch: epoch, cancel: cancel, ctx: ctx,
		done: make(chan struct{}), messages: make(chan message, 256),
		rng: options.Random(), stream: options.Stream(ctx, shard),
		waiters: map[string][]chan struct{}{}, submitting: map[string]bool{},
		history: map[string][]wire.HistoryRow{}, rackEpochs: map[string]int64{},
		missing: map[string]time.Duration{},
	}
	r.owners = newOwnerChoice(shared)
	r.teams = newTeamQuotas(r)
	go r.serve()
	return r
}

func (r *runner) serve() {
	defer close(r.done)
	defer r.cancel()
	if !r.open() {
		return
	}
	r.Log.Emit(eventOpened, "shard", r.shard, "epoch", r.epoch, "jobs", r.jobs.Len(), "keys", r.keys.Len(), "state", r.jobs.String())
	defer r.Log.Emit(eventClosed, "shard", r.shard, "epoch", r.epoch)
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	idle := false
	for {
		select {
		case <-r.ctx.Done():
			return
		case m := <-r.messages:
			m.handle(r)
			if idle {
				idle = false
				timer.Reset(tickInterval)
			}
		case <-timer.C:
			r.tick()
			idle = !r.busy()
			if idle {
				timer.Reset(idleTickInterval)
			} else {
				timer.Reset(tickInterval)
			}
		}
	}
}

// busy reports whether something waits that a tick moves on.
func (r *runner) busy() bool {
	return r.jobs.Waiting() > 0 || r.jobs.Verifying() > 0 || r.stopping
}

// open replays the stream. It goes on trying until it succeeds or the shard is
// taken away.
func (r *runner) open() bool {
	for {
		err := r.replay()
		if err == nil {
			return true
		}
		r.Log.Emit(eventReplay, "shard", r.shard, "epoch", r.epoch, "error", err.Error())
		select {
		case <-r.ctx.Done():
			return false
		case <-time.After(200*time.Millisecond + time.Duration(r.rng.Int64N(int64(300*time.Millisecond)))):
		}
	}
}

func (r *runner) replay() error {
	r.jobs = job.NewShard(r.rng)
	r.keys = idempotency.NewTable()
	r.quotas, r.bounds = nil, map[string]resource.Vector{}
	item, err := r.batch([]Entry{{Open: &Open{Owner: r.Self}}})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.ctx, 2*appendTimeout)
	defer cancel()
	if err := r.stream.Append(item)(ctx); err != nil {
		return err
	}
	p := replayer{r: r}
	if err := r.stream.Replay(ctx, p.item); err != nil {
		return err
	}
	if p.epoch > r.epoch {
		return fault.New(fault.NotOwner, "none; the owner with the higher epoch serves the shard", "the stream was opened under epoch %d", p.epoch)
	}
	now := r.Now()
	r.jobs.FinishReplay(now)
	r.keys.FinishReplay()
	r.quotas = newQuotas(now, p.predecessor, r.bounds)
	r.nextRepeat = now + r.Retention/3
	return nil
}

// batch encodes entries as the next batch of this owner.
func (r *runner) batch(entries []Entry) ([]byte, error) {
	r.seq++
	return json.Marshal(Batch{Epoch: r.epoch, Seq: r.seq, Entries: entries})
}

// replayer applies the items of a stream. It skips what landed too late: batches
// of an owner after its successor had opened the stream, and batches of one owner
// that landed behind a later one. Their owner never learned that they landed and
// did not act on them.
type replayer struct {
	r     *runner
	epoch int64
	seq   int64

	predecessor bool // another owner served the shard before
}

func (p *replayer) item(item []byte) {
	var batch Batch
	if err := json.Unmarshal(item, &batch); err != nil {
		p.r.Log.Emit(eventBadEntry, "shard", p.r.shard, "error", err.Error())
		return
	}
	if batch.Epoch < p.epoch || batch.Epoch == p.epoch && batch.Seq <= p.seq {
		return
	}
	p.epoch, p.seq = batch.Epoch, batch.Seq
	p.predecessor = p.predecessor || batch.Epoch < p.r.epoch
	now := p.r.Now()
	for _, e := range batch.Entries {
		p.r.apply(e, now)
	}
}

func (r *runner) apply(e Entry, now time.Duration) {
	switch {
	case e.Job != nil:
		if err := e.Job.Check(); err != nil {
			r.Log.Emit(eventBadEntry, "shard", r.shard, "error", err.Error())
			return
		}
		r.jobs.Apply(*e.Job, now)
	case e.KeyIntent != nil:
		r.keys.ApplyIntent(*e.KeyIntent)
	case e.KeyDone != nil:
		r.keys.ApplyDone(*e.KeyDone)
	case e.Key != nil:
		r.keys.ApplyEntry(*e.Key)
	case e.Bound != nil:
		r.applyBound(*e.Bound)
	}
}

// leased reports whether this daemon may act as the owner now.
func (r *runner) leased() bool {
	return holds(r.View.Current(), wire.ShardUnit(r.shard), r.epoch, r.Now())
}

func holds(snapshot *view.Snapshot, unit string, epoch int64, now time.Duration) bool {
	u := snapshot.Units[unit]
	return u.Mine && u.Epoch == epoch && now < u.LeaseUntil
}

// send hands a message to the runner. It fails when the shard is not served any
// more.
func (r *runner) send(m message) error {
	select {
	case r.messages <- m:
		return nil
	case <-r.done:
		return r.gone()
	}
}

func (r *runner) gone() error {
	return fault.New(fault.Unavailable, "retry; another daemon takes the shard over", "daemon %q has stopped serving %s", r.Self, wire.ShardUnit(r.shard))
}

// appended is the outcome of an append; then is called by the runner's goroutine.
type appended struct {
	entries []Entry
	err     error
	then    func(err error)
}

func (m appended) handle(r *runner) {
	r.inAppend--
	if m.err == nil {
		now := r.Now()
		for _, e := range m.entries {
			r.apply(e, now)
		}
	}
	m.then(m.err)
	if r.repeatDue {
		r.repeat()
	}
}

// append writes the entries, applies them once they are confirmed, and then calls
// then on the runner's goroutine.
func (r *runner) append(entries []Entry, then func(err error)) {
	if r.repeatDue || r.repeating > 0 {
		r.held = append(r.held, heldAppend{entries, then})
		return
	}
	r.write(entries, then)
}

// heldAppend waits for the end of repeat.
type heldAppend struct {
	entries []Entry
	then    func(err error)
}

func (r *runner) write(entries []Entry, then func(err error)) {
	item, err := r.batch(entries)
	if err != nil {
		then(fault.Wrap(err, fault.Refused, "report this as a bug", "a record does not encode"))
		return
	}
	if !r.leased() {
		then(fault.New(fault.Refused, "retry; the shard is changing its owner or the log is down", "the lease of %s has expired", wire.ShardUnit(r.shard)))
		return
	}
	r.inAppend++
	wait := r.stream.Append(item) // in the order of batch numbers
	go func() {
		ctx, cancel := context.WithTimeout(r.ctx, appendTimeout)
		defer cancel()
		_ = r.send(appended{entries: entries, err: wait(ctx), then: then})
	}()
}

func jobEntries(records []job.Record) []Entry {
	entries := make([]Entry, len(records))
	for i := range records {
		entries[i].Job = &records[i]
	}
	return entries
}

func (r *runner) tick() {
	now := r.Now()
	r.publishStats()
	r.logRefusals()
	if now >= r.nextKeep {
		r.nextKeep = now + housekeepInterval
		r.housekeep(now)
	}
	if !r.leased() {
		return
	}
	r.noticeRackChanges()
	r.teams.tick(now)
	r.place(now)
	r.verify(now)
	r.stop(now)
}

func (r *runner) publishStats() {
	r.stats.Store(&Stats{Jobs: r.jobs.Len(), Waiting: r.jobs.Waiting(), Verify: r.jobs.Verifying(), Keys: r.keys.Len()})
}

// logRefusals logs what the task chart refused.
func (r *runner) logRefusals() {
	for _, err := range r.jobs.TakeRefusals() {
		r.Log.Emit(eventStep, "shard", r.shard, "error", err.Error())
	}
}

func (r *runner) housekeep(now time.Duration) {
	wall := r.WallMS()
	r.jobs.Expire(wall, keepFinished)
	r.keys.Expire(wall, keepFinished)
	r.quotas.Expire(now)
	for id := range r.history {
		if r.jobs.Get(id) == nil {
			delete(r.history, id)
		}
	}
	if now >= r.nextRepeat {
		r.nextRepeat = now + r.Retention/3
		r.repeatDue = true
		r.repeat()
	}
}

// repeatPerAppend bounds the size of one append of repeated state.
const repeatPerAppend = 32

// repeat appends the whole state again, so that it outlives the records that it
// came from. It waits until no other append is in flight and holds back new ones
// until it has ended: a state that lands after a record which it does not include
// would undo that record on replay.
func (r *runner) repeat() {
	if r.inAppend > 0 {
		return
	}
	entries := r.wholeState()
	r.repeatDue = false
	for len(entries) > 0 {
		n := min(repeatPerAppend, len(entries))
		part := entries[:n]
		entries = entries[n:]
		r.repeating++
		r.write(part, func(err error) { r.repeated(err) })
	}
}

func (r *runner) wholeState() []Entry {
	entries := []Entry{{Open: &Open{Owner: r.Self}}} // a successor learns that there was an owner
	for _, record := range r.jobs.Snapshot() {
		entries = append(entries, Entry{Job: &record})
	}
	for _, key := range r.keys.Snapshot() {
		entries = append(entries, Entry{Key: &key})
	}
	for team, most := range r.bounds {
		entries = append(entries, Entry{Bound: &admission.QuotaBound{Team: team, Most: most}})
	}
	return entries
}

// repeated counts the ends of the appends of repeat. After a failure the state is
// appended again at the next housekeeping.
func (r *runner) repeated(err error) {
	r.repeating--
	if err != nil {
		r.nextRepeat = 0
	}
	if r.repeating > 0 {
		return
	}
	held := r.held
	r.held = nil
	for _, h := range held {
		r.append(h.entries, h.then)
	}
}

// wake tells everybody who waits for a job or key that it has changed.
func (r *runner) wake(id string) {
	for _, ch := range r.waiters[id] {
		close(ch)
	}
	delete(r.waiters, id)
}

func (r *runner) note(jobID, what, detail string) {
	rows := append(r.history[jobID], wire.HistoryRow{AtMS: r.WallMS(), Event: what, Detail: detail})
	r.history[jobID] = rows[max(0, len(rows)-maxHistory):]
}

const maxHistory = 16 // decisions kept for explanations of one job
