package cell

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"briarproxy/core/cluster"
	"briarproxy/core/fault"
	"briarproxy/daemon/bootclock"
	"briarproxy/daemon/event"
)

// Times of reaching the store through another daemon.
const (
	directTimeout = 1500 * time.Millisecond // a slow store answers within a second; calls that it does not get to in time would only be made again
	slowTimeout   = 3 * time.Second         // of a call to a store that is known to be slow: a partition holds 2 s of appends
	directAgain   = 1200 * time.Millisecond // between probes of a path that has not worked for long
	relayAgain    = 900 * time.Millisecond  // after no other daemon reached the store either
	relayTries    = 4                       // as long as they fail at once: a daemon that is cut off reaches no other one, and its own path may work
	relayFirst    = 3                       // daemons of which the first tries choose, or a part of a large cell:
	relayPart     = 4
	relayPatience = 900 * time.Millisecond // with one daemon: a slow answer of the store and a dead daemon
)

// storeAccess is what a daemon needs of the platform's store.
type storeAccess interface {
	Log
	Registry
}

// relay reaches the store directly or, while the store turns this daemon away or the
// path to it is cut, through other daemons. All calls may safely be made twice.
type relay struct {
	direct     storeAccess
	peers      *peers
	members    atomic.Pointer[[]string] // addresses of the other daemons, the strong and near ones first
	away       atomic.Bool              // the store was not reached directly
	position   atomic.Int64             // of the last read
	relayAfter atomic.Int64             // boot clock: do not try peers until then
	answered   atomic.Int64             // boot clock: the last direct call that was carried out
	contact    atomic.Int64             // boot clock: the last call that was carried out, directly or through another daemon
	carried    atomic.Int64             // boot clock: as contact, 0 before the first call
	reads      *reads
	usual      atomic.Int64           // ns that an answer of the store takes at present
	slow       atomic.Bool            // the store's answers take much longer than usual
	through    atomic.Pointer[string] // the daemon that reached the store last

	log      *event.Logger
	failedAt atomic.Int64 // boot clock: last line about a failure through other daemons

	mu   sync.Mutex
	last int
	open map[int]func() // direct calls under way
}

func newRelay(direct storeAccess, p *peers) *relay {
	r := &relay{direct: direct, peers: p, open: map[int]func(){}, reads: newReads(newCounts()), log: event.Discard()}
	r.contact.Store(int64(bootclock.Now()))
	r.answered.Store(r.contact.Load())
	r.members.Store(&[]string{})
	return r
}

// worthRelaying reports whether another daemon may get what this one did not.
func worthRelaying(err error) bool {
	return err != nil && !fault.Is(err, fault.Conflict) && !fault.Is(err, fault.Invalid)
}

// reach makes a call directly and, if that fails, through other daemons.
func (r *relay) reach(ctx context.Context, wait time.Duration, direct func(ctx context.Context) error, via func(ctx context.Context, address string) error) error {
	var err error
	relayed := r.away.Load() && int64(bootclock.Now()) >= r.relayAfter.Load()
	if !relayed {
		sent := int64(bootclock.Now())
		bounded, cancel := context.WithTimeout(ctx, wait+r.patience())
		forget := r.cancelWhenLost(cancel)
		err = direct(bounded)
		timedOut := errors.Is(bounded.Err(), context.DeadlineExceeded)
		forget()
		cancel()
		if !worthRelaying(err) {
			r.reached()
			return err
		}
		if fault.Is(err, fault.Unknown) && r.answered.Load() > sent {
			return err // the store is slow: through another daemon it would get the call once more
		}
		if ctx.Err() != nil || timedOut && r.silence() < 0 {
			return err // its caller ended it, or the store is slow: that says nothing of the path
		}
		r.lost()
		if int64(bootclock.Now()) < r.relayAfter.Load() {
			return err
		}
	}
	members := *r.members.Load()
	began := bootclock.Now()
	tries := 0
	for try := 0; try < relayTries && len(members) > 0 && ctx.Err() == nil && bootclock.Now()-began < relayPatience; try++ {
		tries++
		address := candidate(members, try)
		if last := r.through.Load(); try == 0 && last != nil && slices.Contains(members, *last) {
			address = *last
		}
		bounded, cancel := context.WithTimeout(ctx, min(wait, relayWait)+relayPatience)
		failed := via(bounded, address)
		cancel()
		if !worthRelaying(failed) {
			r.through.Store(&address)
			r.contact.Store(int64(bootclock.Now()))
			r.carried.Store(r.contact.Load())
			return failed
		}
		err = keepUnsure(err, failed)
	}
	if ctx.Err() != nil {
		return keepUnsure(err, fault.Wrap(ctx.Err(), fault.Unavailable, "retry", "the call was ended before another daemon reached the store"))
	}
	r.relayAfter.Store(int64(bootclock.Now() + relayAgain))
	r.reportFailure(err, tries, bootclock.Now()-began)
	if err == nil {
		err = fault.New(fault.Unavailable, "retry", "the store was not reached and there is no other daemon")
	}
	return err
}

// reportFailure logs that neither this daemon nor those that it asked reached the store.
func (r *relay) reportFailure(err error, tries int, took time.Duration) {
	now := int64(bootclock.Now())
	if last := r.failedAt.Load(); err == nil || now-last < int64(time.Second) || !r.failedAt.CompareAndSwap(last, now) {
		return
	}
	r.log.Emit(evRelayFailed, "reason", err.Error(), "asked", tries, "took_ms", took.Milliseconds())
}

// patience is how long a direct call may take beyond the wait that it asks for.
func (r *relay) patience() time.Duration {
	if r.slow.Load() {
		return slowTimeout
	}
	return directTimeout
}

// candidate chooses a daemon for a try: at first one of the strong ones near the store, as
// the log passes its link once more for each daemon that it helps; then any.
func candidate(members []string, try int) string {
	among := len(members)
	if try < relayTries/2 {
		among = max(min(relayFirst, among), among/relayPart)
	}
	return members[rand.IntN(among)]
}

// cancelWhenLost has a call ended when another one finds that the path does not work.
func (r *relay) cancelWhenLost(cancel func()) (forget func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last++
	id := r.last
	r.open[id] = cancel
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.open, id)
	}
}

// lost notes that the store was not reached directly, and has the path tried in the background,
// so that no call waits for one that does not work.
func (r *relay) lost() {
	if r.away.Swap(true) {
		return
	}
	r.log.Emit(evPathLost, "silent_ms", r.silence().Milliseconds())
	r.cancelOpen()
	go r.seek()
}

// cancelOpen ends the direct calls that are under way.
func (r *relay) cancelOpen() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, cancel := range r.open {
		cancel()
	}
}

// keepUnsure returns the error that says more of what may have happened: a call without
// an answer may have taken effect.
func keepUnsure(first, second error) error {
	if first != nil && fault.Is(first, fault.Unknown) {
		return first
	}
	return second
}

// Append implements Log.
func (r *relay) Append(ctx context.Context, part int, records [][]byte, fence *cluster.Fence) (int64, error) {
	var offset int64
	err := r.reach(ctx, 0, func(ctx context.Context) (err error) {
		offset, err = r.direct.Append(ctx, part, records, fence)
		return err
	}, func(ctx context.Context, address string) error {
		reply := &AppendReply{}
		err := r.peers.call(ctx, address, appendMethod, &AppendArgs{part, records, fence, within(ctx, directTimeout)}, reply)
		offset = reply.Offset
		return remote(err, reply.Failure, fault.Unknown)
	})
	return offset, err
}

// Read implements Log.
func (r *relay) Read(ctx context.Context, part int, from int64, wait time.Duration) (cluster.LogPage, error) {
	var page cluster.LogPage
	r.position.Store(from)
	err := r.reach(ctx, wait, func(ctx context.Context) (err error) {
		page, err = r.direct.Read(ctx, part, from, wait)
		return err
	}, func(ctx context.Context, address string) error {
		reply := &ReadReply{}
		err := r.peers.call(ctx, address, readMethod, &ReadArgs{part, from, min(wait, relayWait), within(ctx, directTimeout+relayWait)}, reply)
		page = reply.Page
		return remote(err, reply.Failure, fault.Unavailable)
	})
	return page, err
}

// End implements Log.
func (r *relay) End(ctx context.Context, part int, from int64) (int64, error) {
	var end int64
	err := r.reach(ctx, 0, func(ctx context.Context) (err error) {
		end, err = r.direct.End(ctx, part, from)
		return err
	}, func(ctx context.Context, address string) error {
		reply := &EndReply{}
		err := r.peers.call(ctx, address, endMethod, &ReadArgs{Partition: part, From: from, Within: within(ctx, directTimeout)}, reply)
		end = reply.End
		return remote(err, reply.Failure, fault.Unavailable)
	})
	r.reads.note(readToRefresh, 0)
	return end, err
}

// Configuration implements Registry.
func (r *relay) Configuration(ctx context.Context, position int64, wait time.Duration) (*cluster.Configuration, int64, error) {
	var config *cluster.Configuration
	next := position
	err := r.reach(ctx, wait, func(ctx context.Context) (err error) {
		config, next, err = r.direct.Configuration(ctx, position, wait)
		return err
	}, func(ctx context.Context, address string) error {
		reply := &ConfigurationReply{}
		err := r.peers.call(ctx, address, configurationMethod, &ReadArgs{From: position, Wait: min(wait, relayWait), Within: within(ctx, directTimeout+relayWait)}, reply)
		if err == nil && reply.Failure == "" {
			next = reply.Next
			if reply.Some {
				config = &reply.Config
			}
		}
		return remote(err, reply.Failure, fault.Unavailable)
	})
	return config, next, err
}

// Workers implements Registry.
func (r *relay) Workers(ctx context.Context) ([]cluster.Worker, []string, error) {
	var workers []cluster.Worker
	var unusable []string
	err := r.reach(ctx, 0, func(ctx context.Context) (err error) {
		workers, unusable, err = r.direct.Workers(ctx)
		return err
	}, func(ctx context.Context, address string) error {
		reply := &WorkersReply{}
		err := r.peers.call(ctx, address, workersMethod, &ReadArgs{Within: within(ctx, directTimeout)}, reply)
		workers, unusable = reply.Workers, reply.Unusable
		return remote(err, reply.Failure, fault.Unavailable)
	})
	return workers, unusable, err
}

// relayWait is how long a read through another daemon waits for a record.
const relayWait = 300 * time.Millisecond

// within is the time that a call may take at the other daemon.
func within(ctx context.Context, most time.Duration) time.Duration {
	if deadline, set := ctx.Deadline(); set {
		return min(most, time.Until(deadline))
	}
	return most
}

// failures are the kinds of error that keep their meaning on the way back.
var failures = map[string]*errorx.Type{
	"refused": fault.Refused, "unavailable": fault.Unavailable, "conflict": fault.Conflict, "invalid": fault.Invalid, "unknown": fault.Unknown,
}

// failure returns the name of an error's kind for a reply; "" is no error.
func failure(err error) string {
	if err == nil {
		return ""
	}
	for name, kind := range failures {
		if fault.Is(err, kind) {
			return name
		}
	}
	return "unknown"
}

// remote returns the error of a call through another daemon. A call without an answer is
// of the given kind.
func remote(err error, failed string, unanswered *errorx.Type) error {
	switch {
	case err != nil:
		return fault.Wrap(err, unanswered, "retry", "a daemon that was asked for the store gave no answer")
	case failed != "":
		return fault.New(failures[failed], "retry", "the store refused another daemon (%s)", failed)
	default:
		return nil
	}
}
