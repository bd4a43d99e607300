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

// Timeouts, delays and limits of calls to the store, directly and through other daemons.
const (
	directTimeout         = 1500 * time.Millisecond // a slow store answers within a second; with a shorter limit, calls that still queue there would only be made again
	slowStoreTimeout      = 3 * time.Second         // of a call to a store that is known to be slow: a partition queues up to 2 s of appends
	maxProbeInterval      = 1200 * time.Millisecond // between probes of a direct path that has been down for long
	relayRetryDelay       = 900 * time.Millisecond  // for which no other daemon is asked after none of them reached the store
	maxRelayTries         = 4                       // made only within relayTimeout: a daemon that is cut off from the network reaches no peer either, and its direct path may work again
	preferredRelays       = 3                       // number of daemons that the first tries choose from; in a large cell, the number of other daemons divided by preferredRelayDivisor
	preferredRelayDivisor = 4
	relayTimeout          = 900 * time.Millisecond // of a call through one daemon: longer than a slow answer of the store takes, and short enough for a daemon that is down
)

// storeAccess is the part of the platform's store that daemons also call on behalf of each other.
type storeAccess interface {
	Log
	Registry
}

// storeClient calls the store directly or, while the store refuses this daemon or the network path to it
// is down, through other daemons. All calls may safely be made twice.
type storeClient struct {
	direct               storeAccess
	peers                *peerClients
	rereadPeers          *peerClients             // for repeated readings of the configuration; not shared, as one that is not needed any more closes its connection
	memberAddresses      atomic.Pointer[[]string] // addresses of the other daemons, those with more capacity and nearer to the store first
	directDown           atomic.Bool              // the direct path to the store is down
	readPosition         atomic.Int64             // log position of the last read; probes use it
	relayingBlockedUntil atomic.Int64             // boot clock: no other daemon is asked before this time
	directAnsweredAt     atomic.Int64             // boot clock: last answer to a direct call
	answeredAt           atomic.Int64             // boot clock: last answer of the store, directly or through another daemon; initially the start
	confirmedAt          atomic.Int64             // boot clock: as answeredAt, but 0 before the first answer
	reads                *readStats
	latency              atomic.Int64           // current latency of the store, ns
	storeSlow            atomic.Bool            // the store takes much longer than usual to answer
	lastRelay            atomic.Pointer[string] // address of the daemon that reached the store last

	log             *event.Logger
	failureLoggedAt atomic.Int64 // boot clock: last log line about a failure through other daemons

	mu          sync.Mutex
	lastCallID  int
	directCalls map[int]func() // cancels the direct calls in progress, by call id
}

func newStoreClient(direct storeAccess, peers *peerClients) *storeClient {
	c := &storeClient{direct: direct, peers: peers, rereadPeers: newPeerClients(), directCalls: map[int]func(){}, reads: newReadStats(newMetrics()), log: event.Discard()}
	c.answeredAt.Store(int64(bootclock.Now()))
	c.directAnsweredAt.Store(c.answeredAt.Load())
	c.memberAddresses.Store(&[]string{})
	return c
}

// shouldRelay reports whether a failed call may succeed through another daemon.
func shouldRelay(err error) bool {
	return err != nil && !fault.Is(err, fault.Conflict) && !fault.Is(err, fault.Invalid)
}

// callStore makes a call directly and, if that fails or the direct path is down, through other
// daemons. The store may hold the call for the given wait before it answers.
func (c *storeClient) callStore(ctx context.Context, wait time.Duration, direct func(ctx context.Context) error, throughPeer func(ctx context.Context, address string) error) error {
	var err error
	skipDirect := c.directDown.Load() && int64(bootclock.Now()) >= c.relayingBlockedUntil.Load()
	if !skipDirect {
		sentAt := int64(bootclock.Now())
		callCtx, cancel := context.WithTimeout(ctx, wait+c.directCallTimeout())
		unregister := c.registerDirectCall(cancel)
		err = direct(callCtx)
		timedOut := errors.Is(callCtx.Err(), context.DeadlineExceeded)
		unregister()
		cancel()
		if !shouldRelay(err) {
			c.recordDirectAnswer()
			return err
		}
		if fault.Is(err, fault.Unknown) && c.directAnsweredAt.Load() > sentAt {
			return err // the store answered other calls meanwhile: it is slow, and a relayed call would only add to its load
		}
		if ctx.Err() != nil || timedOut && c.unansweredTime() < 0 {
			return err // the caller cancelled, or the store is slow: neither shows that the path is down
		}
		c.markDirectDown()
		if int64(bootclock.Now()) < c.relayingBlockedUntil.Load() {
			return err
		}
	}
	addresses := *c.memberAddresses.Load()
	relayingSince := bootclock.Now()
	tries := 0
	for try := 0; try < maxRelayTries && len(addresses) > 0 && ctx.Err() == nil && bootclock.Now()-relayingSince < relayTimeout; try++ {
		tries++
		address := chooseRelay(addresses, try)
		if lastAddress := c.lastRelay.Load(); try == 0 && lastAddress != nil && slices.Contains(addresses, *lastAddress) {
			address = *lastAddress
		}
		callCtx, cancel := context.WithTimeout(ctx, min(wait, maxRelayReadWait)+relayTimeout)
		relayErr := throughPeer(callCtx, address)
		cancel()
		if !shouldRelay(relayErr) {
			c.lastRelay.Store(&address)
			c.answeredAt.Store(int64(bootclock.Now()))
			c.confirmedAt.Store(c.answeredAt.Load())
			return relayErr
		}
		err = preferUnknownOutcome(err, relayErr)
	}
	if ctx.Err() != nil {
		return preferUnknownOutcome(err, fault.Wrap(ctx.Err(), fault.Unavailable, "retry", "the call was cancelled or timed out before another daemon reached the store"))
	}
	c.relayingBlockedUntil.Store(int64(bootclock.Now() + relayRetryDelay))
	c.logFailure(err, tries, bootclock.Now()-relayingSince)
	if err == nil {
		err = fault.New(fault.Unavailable, "retry", "the store can't be reached directly, and no other daemon is known")
	}
	return err
}

// logFailure logs, at most once a second, that neither this daemon nor those that it asked reached
// the store.
func (c *storeClient) logFailure(err error, tries int, took time.Duration) {
	now := int64(bootclock.Now())
	if last := c.failureLoggedAt.Load(); err == nil || now-last < int64(time.Second) || !c.failureLoggedAt.CompareAndSwap(last, now) {
		return
	}
	c.log.Emit(evStoreThroughPeersFailed, "reason", err.Error(), "asked", tries, "took_ms", took.Milliseconds())
}

// directCallTimeout returns the time limit of a direct call, not counting the wait that it asks for.
func (c *storeClient) directCallTimeout() time.Duration {
	if c.storeSlow.Load() {
		return slowStoreTimeout
	}
	return directTimeout
}

// chooseRelay chooses a random daemon for a try. The first tries choose among those with the most
// capacity near the store, as a relay's link carries the log once more for each daemon that
// reads through it; later tries choose among all.
func chooseRelay(addresses []string, try int) string {
	candidates := len(addresses)
	if try < maxRelayTries/2 {
		candidates = max(min(preferredRelays, candidates), candidates/preferredRelayDivisor)
	}
	return addresses[rand.IntN(candidates)]
}

// registerDirectCall registers a direct call, to be cancelled when another one finds that the path is
// down.
func (c *storeClient) registerDirectCall(cancel func()) (unregister func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastCallID++
	id := c.lastCallID
	c.directCalls[id] = cancel
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.directCalls, id)
	}
}

// markDirectDown marks the direct path as down, cancels the direct calls in progress and probes the
// path in the background, so that no call waits for it.
func (c *storeClient) markDirectDown() {
	if c.directDown.Swap(true) {
		return
	}
	c.log.Emit(evPathLost, "silent_ms", c.unansweredTime().Milliseconds())
	c.cancelDirectCalls()
	go c.probeUntilReached()
}

// cancelDirectCalls cancels the direct calls in progress.
func (c *storeClient) cancelDirectCalls() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cancel := range c.directCalls {
		cancel()
	}
}

// preferUnknownOutcome returns the first error if its outcome is unknown, else the second: a call
// without an answer may have taken effect, whatever a later try returned.
func preferUnknownOutcome(first, second error) error {
	if first != nil && fault.Is(first, fault.Unknown) {
		return first
	}
	return second
}

// Append implements Log.
func (c *storeClient) Append(ctx context.Context, partition int, records [][]byte, fence *cluster.Fence) (int64, error) {
	var offset int64
	err := c.callStore(ctx, 0, func(ctx context.Context) (err error) {
		offset, err = c.direct.Append(ctx, partition, records, fence)
		return err
	}, func(ctx context.Context, address string) error {
		reply := &AppendReply{}
		err := c.peers.call(ctx, address, appendMethod, &AppendArgs{partition, records, fence, remoteTimeout(ctx, directTimeout)}, reply)
		offset = reply.Offset
		return remoteError(err, reply.Failure, fault.Unknown)
	})
	return offset, err
}

// Read implements Log.
func (c *storeClient) Read(ctx context.Context, partition int, from int64, wait time.Duration) (cluster.LogPage, error) {
	var page cluster.LogPage
	c.readPosition.Store(from)
	err := c.callStore(ctx, wait, func(ctx context.Context) (err error) {
		page, err = c.direct.Read(ctx, partition, from, wait)
		return err
	}, func(ctx context.Context, address string) error {
		reply := &ReadReply{}
		err := c.peers.call(ctx, address, readMethod, &ReadArgs{partition, from, min(wait, maxRelayReadWait), remoteTimeout(ctx, directTimeout+maxRelayReadWait)}, reply)
		page = reply.Page
		return remoteError(err, reply.Failure, fault.Unavailable)
	})
	return page, err
}

// End implements Log.
func (c *storeClient) End(ctx context.Context, partition int, from int64) (int64, error) {
	var end int64
	err := c.callStore(ctx, 0, func(ctx context.Context) (err error) {
		end, err = c.direct.End(ctx, partition, from)
		return err
	}, func(ctx context.Context, address string) error {
		reply := &EndReply{}
		err := c.peers.call(ctx, address, endMethod, &ReadArgs{Partition: partition, From: from, Within: remoteTimeout(ctx, directTimeout)}, reply)
		end = reply.End
		return remoteError(err, reply.Failure, fault.Unavailable)
	})
	c.reads.count(readToRefresh, 0)
	return end, err
}

// Workers implements Registry.
func (c *storeClient) Workers(ctx context.Context) ([]cluster.Worker, []string, error) {
	var workers []cluster.Worker
	var unusable []string
	err := c.callStore(ctx, 0, func(ctx context.Context) (err error) {
		workers, unusable, err = c.direct.Workers(ctx)
		return err
	}, func(ctx context.Context, address string) error {
		reply := &WorkersReply{}
		err := c.peers.call(ctx, address, workersMethod, &ReadArgs{Within: remoteTimeout(ctx, directTimeout)}, reply)
		workers, unusable = reply.Workers, reply.Unusable
		return remoteError(err, reply.Failure, fault.Unavailable)
	})
	return workers, unusable, err
}

// maxRelayReadWait is the longest wait for a record in a read through another daemon.
const maxRelayReadWait = 300 * time.Millisecond

// remoteTimeout returns the time limit to send with a call to another daemon: the time that is left
// in the context, at most maxTimeout.
func remoteTimeout(ctx context.Context, maxTimeout time.Duration) time.Duration {
	if deadline, hasDeadline := ctx.Deadline(); hasDeadline {
		return min(maxTimeout, time.Until(deadline))
	}
	return maxTimeout
}

// failureKinds are the kinds of error that replies between daemons carry, by name.
var failureKinds = map[string]*errorx.Type{
	"refused": fault.Refused, "unavailable": fault.Unavailable, "conflict": fault.Conflict, "invalid": fault.Invalid, "unknown": fault.Unknown,
}

// failureName returns the name of an error's kind for a reply; "" means no error.
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

// remoteError returns the error of a call through another daemon, from the error of the RPC or the
// name of the kind in its reply. A call without an answer gets the kind unansweredKind.
func remoteError(err error, failure string, unansweredKind *errorx.Type) error {
	switch {
	case err != nil:
		return fault.Wrap(err, unansweredKind, "retry", "the daemon that was to relay a call to the store did not answer")
	case failure != "":
		return fault.New(failureKinds[failure], "retry", "a call to the store through another daemon failed: %s", failure)
	default:
		return nil
	}
}
