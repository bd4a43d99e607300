package router

import (
	"time"

	"briarproxy/core/wire"
	"briarproxy/daemon/view"
)

// takeoverTime covers the lease of a daemon that has died and the claim of its
// successor.
const takeoverTime = 7 * time.Second

// noCapacity refuses a request for a pool that nobody lends slots of. A rack that is
// taken over comes back within a known time, a pool without live workers does not.
func (s *state) noCapacity(poolName string) *wire.Problem {
	snapshot := s.r.options.View.Current()
	pool := snapshot.Set.Pools[poolName]
	for _, vm := range snapshot.VMs {
		if pool != nil && !vm.Leaving && view.PoolOf(pool, vm) {
			return busy("no-capacity", takeoverTime, "no live daemon owns workers of pool %q now", poolName)
		}
	}
	return busy("no-capacity", maxRetry, "pool %q has no live worker", poolName)
}

// predicted returns how long a request like the waiter's waits from now on, 0 when
// that is not known.
func (s *state) predicted(p *poolState, w *waiter, now time.Duration) time.Duration {
	wait := s.firstTrusted(p, now)
	if w.entry != nil {
		wait = max(wait, p.queue.PredictWait(w.entry, p.load(now)))
	}
	return wait
}

// firstTrusted returns the time until the first worker is tried again, when all
// borrowed ones did not take their last start.
func (s *state) firstTrusted(p *poolState, now time.Duration) time.Duration {
	first := time.Duration(0)
	for _, l := range p.loans {
		if !l.usable(now) {
			continue
		}
		wait := s.suspects[l.VM].until - now
		if wait <= 0 {
			return 0
		}
		if first == 0 || wait < first {
			first = wait
		}
	}
	return first
}

// noSlot refuses a request that waited until its deadline.
func noSlot(predicted time.Duration) *wire.Problem {
	if predicted <= 0 {
		return busy("no-slot", noSlotRetry, "no slot became free before the deadline or the caller left")
	}
	return busy("no-slot", predicted, "no slot became free before the deadline or the caller left, predicted wait %d ms", predicted.Milliseconds())
}
