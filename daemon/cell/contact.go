package cell

import (
	"context"
	"time"

	"briarproxy/daemon/bootclock"
)

// Times of judging whether the store answers. They are counted from the last answer, and grow
// with the time that an answer takes at present.
const (
	probeAfter          = 400 * time.Millisecond // the placer's records end a waiting read more often
	minProbeInterval    = 250 * time.Millisecond
	probeBackoffDivisor = 8                      // the gap is this part of an outage's age, at most maxProbeInterval
	suspectAfter        = 600 * time.Millisecond // a probe was left without an answer
	unresponsiveAfter   = 1000 * time.Millisecond
	monitorInterval     = 100 * time.Millisecond
	toleratedLatencies  = 3 // answers of the present length that are waited for beyond these times
)

// recordDirectAnswer notes an answer of the store to this daemon.
func (r *relay) recordDirectAnswer() {
	now := int64(bootclock.Now())
	r.directAnsweredAt.Store(now)
	r.answeredAt.Store(now)
	r.confirmedAt.Store(now)
}

// unansweredTime is how long the store has not answered this daemon, directly or through another
// one, beyond what its answers take at present.
func (r *relay) unansweredTime() time.Duration {
	return bootclock.Now() - time.Duration(r.answeredAt.Load()+toleratedLatencies*r.latency.Load())
}

// suspect reports that a call made now may be left without an answer. Records are kept back
// then: what was not sent can be refused truthfully.
func (r *relay) suspect() bool { return r.unansweredTime() > suspectAfter }

// unresponsive reports that the store answers neither this daemon nor those that it asked.
func (r *relay) unresponsive() bool { return r.unansweredTime() > unresponsiveAfter }

// answersInTime reports whether a small call is answered in the usual time.
func (r *relay) answersInTime(ctx context.Context) bool {
	bounded, cancel := context.WithTimeout(ctx, time.Duration(r.latency.Load())+slowLogExcess)
	defer cancel()
	r.reads.count(readToProbe, 0)
	_, err := r.direct.End(bounded, partition, r.readPosition.Load())
	return err == nil
}

// monitor asks the store for a sign of life when it has not answered for a while.
func (r *relay) monitor(ctx context.Context) {
	ticker := time.NewTicker(monitorInterval)
	defer ticker.Stop()
	probed := bootclock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := bootclock.Now()
		quiet := now - time.Duration(r.directAnsweredAt.Load())
		if r.directDown.Load() || quiet < probeAfter {
			continue
		}
		if now-probed >= minProbeInterval {
			probed = now
			go r.probe(ctx)
		}
		if quiet > unresponsiveAfter+time.Duration(toleratedLatencies*r.latency.Load()) {
			r.markDirectDown()
		}
	}
}

// probeUntilReached tries a path that did not work until it does. Each probe has a connection of its own:
// one that was open in an outage sends again only seconds after its end.
func (r *relay) probeUntilReached() {
	began := bootclock.Now()
	for r.directDown.Load() {
		go r.probe(context.Background())
		time.Sleep(min(max(minProbeInterval, (bootclock.Now()-began)/probeBackoffDivisor), maxProbeInterval))
	}
}

// probe makes one small call to the store. An answer after an outage ends the direct calls
// under way, which may wait on connections from before; they are made again.
func (r *relay) probe(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, r.directCallTimeout())
	defer cancel()
	r.reads.count(readToProbe, 0)
	if _, err := r.direct.End(bounded, partition, r.readPosition.Load()); err != nil {
		return
	}
	r.recordDirectAnswer()
	if r.directDown.Swap(false) {
		r.log.Emit(evPathBack)
		r.cancelDirectCalls()
	}
}
