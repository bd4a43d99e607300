package cell

import (
	"context"
	"time"

	"briarproxy/daemon/bootclock"
)

// Times for detecting an unresponsive store. They are counted from its last answer, and grow with its
// current latency.
const (
	probeAfter          = 400 * time.Millisecond // the placer's records normally complete a long-poll read more often
	minProbeInterval    = 250 * time.Millisecond
	probeBackoffDivisor = 8                      // the interval is the outage's duration divided by this, at most maxProbeInterval
	suspectAfter        = 600 * time.Millisecond // one probe has had no answer
	unresponsiveAfter   = 1000 * time.Millisecond
	monitorInterval     = 100 * time.Millisecond
	toleratedLatencies  = 3 // multiple of the current latency that is added to these times
)

// recordDirectAnswer records that the store answered a direct call of this daemon.
func (r *relay) recordDirectAnswer() {
	now := int64(bootclock.Now())
	r.directAnsweredAt.Store(now)
	r.answeredAt.Store(now)
	r.confirmedAt.Store(now)
}

// unansweredTime returns for how long the store has not answered this daemon, directly or through
// another daemon, less the tolerated multiple of its current latency.
func (r *relay) unansweredTime() time.Duration {
	return bootclock.Now() - time.Duration(r.answeredAt.Load()+toleratedLatencies*r.latency.Load())
}

// suspect reports whether a call made now may get no answer. Records are not sent then, because a
// record that was not sent can be refused with a definite outcome.
func (r *relay) suspect() bool { return r.unansweredTime() > suspectAfter }

// unresponsive reports whether the store answers neither this daemon nor those that relay its calls.
func (r *relay) unresponsive() bool { return r.unansweredTime() > unresponsiveAfter }

// answersInTime reports whether the store answers a small call within its current latency and a
// margin.
func (r *relay) answersInTime(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, time.Duration(r.latency.Load())+slowLogExcess)
	defer cancel()
	r.reads.count(readToProbe, 0)
	_, err := r.direct.End(callCtx, partition, r.readPosition.Load())
	return err == nil
}

// monitor probes the store when it has not answered a direct call for probeAfter, and marks the
// direct path as down when it remains unresponsive.
func (r *relay) monitor(ctx context.Context) {
	ticker := time.NewTicker(monitorInterval)
	defer ticker.Stop()
	lastProbe := bootclock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := bootclock.Now()
		unanswered := now - time.Duration(r.directAnsweredAt.Load())
		if r.directDown.Load() || unanswered < probeAfter {
			continue
		}
		if now-lastProbe >= minProbeInterval {
			lastProbe = now
			go r.probe(ctx)
		}
		if unanswered > unresponsiveAfter+time.Duration(toleratedLatencies*r.latency.Load()) {
			r.markDirectDown()
		}
	}
}

// probeUntilReached probes the direct path until the store answers on it. Each probe has its own
// connection: TCP on a connection from before the outage retransmits only seconds after its end.
func (r *relay) probeUntilReached() {
	startedAt := bootclock.Now()
	for r.directDown.Load() {
		go r.probe(context.Background())
		time.Sleep(min(max(minProbeInterval, (bootclock.Now()-startedAt)/probeBackoffDivisor), maxProbeInterval))
	}
}

// probe makes one small call to the store. An answer after an outage cancels the direct calls in
// flight, which may wait on connections from before the outage; they are retried.
func (r *relay) probe(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, r.directCallTimeout())
	defer cancel()
	r.reads.count(readToProbe, 0)
	if _, err := r.direct.End(callCtx, partition, r.readPosition.Load()); err != nil {
		return
	}
	r.recordDirectAnswer()
	if r.directDown.Swap(false) {
		r.log.Emit(evPathBack)
		r.cancelDirectCalls()
	}
}
