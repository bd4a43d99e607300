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
	directTimeout         = 1500 * time.Millisecond // a slow store answers within a second; calls that it does not get to in time would only be made again
	slowStoreTimeout      = 3 * time.Second         // of a call to a store that is known to be slow: a partition holds 2 s of appends
	maxProbeInterval      = 1200 * time.Millisecond // between probes of a path that has not worked for long
	relayRetryDelay       = 900 * time.Millisecond  // after no other daemon reached the store either
	maxRelayTries         = 4                       // as long as they fail at once: a daemon that is cut off reaches no other one, and its own path may work
	preferredRelays       = 3                       // daemons of which the first tries choose, or a part of a large cell:
	preferredRelayDivisor = 4
	relayTimeout          = 900 * time.Millisecond // with one daemon: a slow answer of the store and a dead daemon
)

// storeAccess is what a daemon needs of the platform's store.
type storeAccess interface {
	Log
	Registry
}

// relay reaches the store directly or, while the store turns this daemon away or the
// path to it is cut, through other daemons. All calls may safely be made twice.
type relay struct {
	direct            storeAccess
	peers             *peerClients
	members           atomic.Pointer[[]string] // addresses of the other daemons, the strong and near ones first
	directDown        atomic.Bool              // the store was not reached directly
	readPosition      atomic.Int64             // of the last read
	relayBlockedUntil atomic.Int64             // boot clock: do not try peers until then
	directAnsweredAt  atomic.Int64             // boot clock: the last direct call that was carried out
	answeredAt        atomic.Int64             // boot clock: the last call that was carried out, directly or through another daemon
	confirmedAt       atomic.Int64             // boot clock: as answeredAt, 0 before the first call
	reads             *readStats
	latency           atomic.Int64           // ns that an answer of the store takes at present
	storeSlow         atomic.Bool            // the store's answers take much longer than usual
	lastRelay         atomic.Pointer[string] // the daemon that reached the store last

	log             *event.Logger
	failureLoggedAt atomic.Int64 // boot clock: last line about a failure through other daemons

	mu          sync.Mutex
	lastCallID  int
	directCalls map[int]func() // direct calls under way
}

func newRelay(direct storeAccess, p *peerClients) *relay {
	r := &relay{direct: direct, peers: p, directCalls: map[int]func(){}, reads: newReadStats(newMetrics()), log: event.Discard()}
	r.answeredAt.Store(int64(bootclock.Now()))
	r.directAnsweredAt.Store(r.answeredAt.Load())
	r.members.Store(&[]string{})
	return r
}

// shouldRelay reports whether another daemon may get what this one did not.
func shouldRelay(err error) bool {
	return err != nil && !fault.Is(err, fault.Conflict) && !fault.Is(err, fault.Invalid)
}

// callStore makes a call directly and, if that fails, through other daemons.
func (r *relay) callStore(ctx context.Context, wait time.Duration, direct func(ctx context.Context) error, via func(ctx context.Context, address string) error) error {
	var err error
	relayed := r.directDown.Load() && int64(bootclock.Now()) >= r.relayBlockedUntil.Load()
	if !relayed {
		sent := int64(bootclock.Now())
		bounded, cancel := context.WithTimeout(ctx, wait+r.directCallTimeout())
		unregister := r.registerDirectCall(cancel)
		err = direct(bounded)
		timedOut := errors.Is(bounded.Err(), context.DeadlineExceeded)
		unregister()
		cancel()
		if !shouldRelay(err) {
			r.recordDirectAnswer()
			return err
		}
		if fault.Is(err, fault.Unknown) && r.directAnsweredAt.Load() > sent {
			return err // the store is slow: through another daemon it would get the call once more
		}
		if ctx.Err() != nil || timedOut && r.unansweredTime() < 0 {
			return err // its caller ended it, or the store is slow: that says nothing of the path
		}
		r.markDirectDown()
		if int64(bootclock.Now()) < r.relayBlockedUntil.Load() {
			return err
		}
	}
	members := *r.members.Load()
	began := bootclock.Now()
	tries := 0
	for try := 0; try < maxRelayTries && len(members) > 0 && ctx.Err() == nil && bootclock.Now()-began < relayTimeout; try++ {
		tries++
		address := chooseRelay(members, try)
		if last := r.lastRelay.Load(); try == 0 && last != nil && slices.Contains(members, *last) {
			address = *last
		}
		bounded, cancel := context.WithTimeout(ctx, min(wait, maxRelayReadWait)+relayTimeout)
		failed := via(bounded, address)
		cancel()
		if !shouldRelay(failed) {
			r.lastRelay.Store(&address)
			r.answeredAt.Store(int64(bootclock.Now()))
			r.confirmedAt.Store(r.answeredAt.Load())
			return failed
		}
		err = preferUnknownOutcome(err, failed)
	}
	if ctx.Err() != nil {
		return preferUnknownOutcome(err, fault.Wrap(ctx.Err(), fault.Unavailable, "retry", "the call was ended before another daemon reached the store"))
	}
	r.relayBlockedUntil.Store(int64(bootclock.Now() + relayRetryDelay))
	r.logFailure(err, tries, bootclock.Now()-began)
	if err == nil {
		err = fault.New(fault.Unavailable, "retry", "the store was not reached and there is no other daemon")
	}
	return err
}

// logFailure logs that neither this daemon nor those that it asked reached the store.
func (r *relay) logFailure(err error, tries int, took time.Duration) {
	now := int64(bootclock.Now())
	if last := r.failureLoggedAt.Load(); err == nil || now-last < int64(time.Second) || !r.failureLoggedAt.CompareAndSwap(last, now) {
		return
	}
	r.log.Emit(evStoreThroughPeersFailed, "reason", err.Error(), "asked", tries, "took_ms", took.Milliseconds())
}

// directCallTimeout is how long a direct call may take beyond the wait that it asks for.
func (r *relay) directCallTimeout() time.Duration {
	if r.storeSlow.Load() {
		return slowStoreTimeout
	}
	return directTimeout
}

// chooseRelay chooses a daemon for a try: at first one of the strong ones near the store, as
// the log passes its link once more for each daemon that it helps; then any.
func chooseRelay(members []string, try int) string {
	among := len(members)
	if try < maxRelayTries/2 {
		among = max(min(preferredRelays, among), among/preferredRelayDivisor)
	}
	return members[rand.IntN(among)]
}

// registerDirectCall has a call ended when another one finds that the path does not work.
func (r *relay) registerDirectCall(cancel func()) (forget func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastCallID++
	id := r.lastCallID
	r.directCalls[id] = cancel
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.directCalls, id)
	}
}

// markDirectDown notes that the store was not reached directly, and has the path tried in the background,
// so that no call waits for one that does not work.
func (r *relay) markDirectDown() {
	if r.directDown.Swap(true) {
		return
	}
	r.log.Emit(evPathLost, "silent_ms", r.unansweredTime().Milliseconds())
	r.cancelDirectCalls()
	go r.probeUntilReached()
}

// cancelDirectCalls ends the direct calls that are under way.
func (r *relay) cancelDirectCalls() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, cancel := range r.directCalls {
		cancel()
	}
}

// preferUnknownOutcome returns the error that says more of what may have happened: a call without
// an answer may have taken effect.
func preferUnknownOutcome(first, second error) error {
	if first != nil && fault.Is(first, fault.Unknown) {
		return first
	}
	return second
}

// Append implements Log.
func (r *relay) Append(ctx context.Context, part int, records [][]byte, fence *cluster.Fence) (int64, error) {
	var offset int64
	err := r.callStore(ctx, 0, func(ctx context.Context) (err error) {
		offset, err = r.direct.Append(ctx, part, records, fence)
		return err
	}, func(ctx context.Context, address string) error {
		reply := &AppendReply{}
		err := r.peers.call(ctx, address, appendMethod, &AppendArgs{part, records, fence, remoteTimeout(ctx, directTimeout)}, reply)
		offset = reply.Offset
		return remoteError(err, reply.Failure, fault.Unknown)
	})
	return offset, err
}

// Read implements Log.
func (r *relay) Read(ctx context.Context, part int, from int64, wait time.Duration) (cluster.LogPage, error) {
	var page cluster.LogPage
	r.readPosition.Store(from)
	err := r.callStore(ctx, wait, func(ctx context.Context) (err error) {
		page, err = r.direct.Read(ctx, part, from, wait)
		return err
	}, func(ctx context.Context, address string) error {
		reply := &ReadReply{}
		err := r.peers.call(ctx, address, readMethod, &ReadArgs{part, from, min(wait, maxRelayReadWait), remoteTimeout(ctx, directTimeout+maxRelayReadWait)}, reply)
		page = reply.Page
		return remoteError(err, reply.Failure, fault.Unavailable)
	})
	return page, err
}

// End implements Log.
func (r *relay) End(ctx context.Context, part int, from int64) (int64, error) {
	var end int64
	err := r.callStore(ctx, 0, func(ctx context.Context) (err error) {
		end, err = r.direct.End(ctx, part, from)
		return err
	}, func(ctx context.Context, address string) error {
		reply := &EndReply{}
		err := r.peers.call(ctx, address, endMethod, &ReadArgs{Partition: part, From: from, Within: remoteTimeout(ctx, directTimeout)}, reply)
		end = reply.End
		return remoteError(err, reply.Failure, fault.Unavailable)
	})
	r.reads.count(readToRefresh, 0)
	return end, err
}

// Configuration implements Registry.
func (r *relay) Configuration(ctx context.Context, position int64, wait time.Duration) (*cluster.Configuration, int64, error) {
	var config *cluster.Configuration
	next := position
	err := r.callStore(ctx, wait, func(ctx context.Context) (err error) {
		config, next, err = r.direct.Configuration(ctx, position, wait)
		return err
	}, func(ctx context.Context, address string) error {
		reply := &ConfigurationReply{}
		err := r.peers.call(ctx, address, configurationMethod, &ReadArgs{From: position, Wait: min(wait, maxRelayReadWait), Within: remoteTimeout(ctx, directTimeout+maxRelayReadWait)}, reply)
		if err == nil && reply.Failure == "" {
			next = reply.Next
			if reply.Some {
				config = &reply.Config
			}
		}
		return remoteError(err, reply.Failure, fault.Unavailable)
	})
	return config, next, err
}

// Workers implements Registry.
func (r *relay) Workers(ctx context.Context) ([]cluster.Worker, []string, error) {
	var workers []cluster.Worker
	var unusable []string
	err := r.callStore(ctx, 0, func(ctx context.Context) (err error) {
		workers, unusable, err = r.direct.Workers(ctx)
		return err
	}, func(ctx context.Context, address string) error {
		reply := &WorkersReply{}
		err := r.peers.call(ctx, address, workersMethod, &ReadArgs{Within: remoteTimeout(ctx, directTimeout)}, reply)
		workers, unusable = reply.Workers, reply.Unusable
		return remoteError(err, reply.Failure, fault.Unavailable)
	})
	return workers, unusable, err
}

// maxRelayReadWait is how long a read through another daemon waits for a record.
const maxRelayReadWait = 300 * time.Millisecond

// remoteTimeout is the time that a call may take at the other daemon.
func remoteTimeout(ctx context.Context, most time.Duration) time.Duration {
	if deadline, set := ctx.Deadline(); set {
		return min(most, time.Until(deadline))
	}
	return most
}

// failureKinds are the kinds of error that keep their meaning on the way back.
var failureKinds = map[string]*errorx.Type{
	"refused": fault.Refused, "unavailable": fault.Unavailable, "conflict": fault.Conflict, "invalid": fault.Invalid, "unknown": fault.Unknown,
}

// failureName returns the name of an error's kind for a reply; "" is no error.
func failureName(err error) string {
	if err == nil {
		return ""
	}
	for name, kind := range failureKinds {
		if fault.Is(err, kind) {
			return name
		}
	}
	return "unknown"
}

// remoteError returns the error of a call through another daemon. A call without an answer is
// of the given kind.
func remoteError(err error, failed string, unanswered *errorx.Type) error {
	switch {
	case err != nil:
		return fault.Wrap(err, unanswered, "retry", "a daemon that was asked for the store gave no answer")
	case failed != "":
		return fault.New(failureKinds[failed], "retry", "the store refused another daemon (%s)", failed)
	default:
		return nil
	}
}
