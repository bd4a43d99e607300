package cell

import (
	"context"
	"time"

	"briarproxy/daemon/bootclock"
)

// Times for detecting an unresponsive store. They are counted from its last answer, and are extended
// by a multiple of its current latency.
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
func (c *storeClient) recordDirectAnswer() {
	now := int64(bootclock.Now())
	c.directAnsweredAt.Store(now)
	c.answeredAt.Store(now)
	c.confirmedAt.Store(now)
}

// unansweredTime returns for how long the store has not answered this daemon, directly or through
// another daemon, less the tolerated multiple of its current latency.
func (c *storeClient) unansweredTime() time.Duration {
	return bootclock.Now() - time.Duration(c.answeredAt.Load()+toleratedLatencies*c.latency.Load())
}

// suspect reports whether a call made now may get no answer. Records are not sent then, because a
// record that was not sent can be refused with a definite outcome.
func (c *storeClient) suspect() bool { return c.unansweredTime() > suspectAfter }

// unresponsive reports whether the store answers neither this daemon nor those that relay its calls.
func (c *storeClient) unresponsive() bool { return c.unansweredTime() > unresponsiveAfter }

// answersInTime reports whether the store answers a small call within its current latency and a
// margin.
func (c *storeClient) answersInTime(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, time.Duration(c.latency.Load())+slowLogMargin)
	defer cancel()
	c.reads.count(readToProbe, 0)
	_, err := c.direct.End(callCtx, partition, c.readPosition.Load())
	return err == nil
}

// monitor probes the store when it has not answered a direct call for probeAfter, and marks the
// direct path as down when it remains unresponsive.
func (c *storeClient) monitor(ctx context.Context) {
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
		unanswered := now - time.Duration(c.directAnsweredAt.Load())
		if c.directDown.Load() || unanswered < probeAfter {
			continue
		}
		if now-lastProbe >= minProbeInterval {
			lastProbe = now
			go c.probe(ctx)
		}
		if unanswered > unresponsiveAfter+time.Duration(toleratedLatencies*c.latency.Load()) {
			c.markDirectDown()
		}
	}
}

// probeUntilReached probes the direct path until the store answers on it. Each probe has its own
// connection: TCP on a connection from before the outage retransmits only seconds after its end.
func (c *storeClient) probeUntilReached() {
	startedAt := bootclock.Now()
	for c.directDown.Load() {
		go c.probe(context.Background())
		time.Sleep(min(max(minProbeInterval, (bootclock.Now()-startedAt)/probeBackoffDivisor), maxProbeInterval))
	}
}

// probe makes one small call to the store. An answer after an outage cancels the direct calls in
// flight, which may wait on connections from before the outage; they are retried.
func (c *storeClient) probe(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, c.directCallTimeout())
	defer cancel()
	c.reads.count(readToProbe, 0)
	if _, err := c.direct.End(callCtx, partition, c.readPosition.Load()); err != nil {
		return
	}
	c.recordDirectAnswer()
	if c.directDown.Swap(false) {
		c.log.Emit(evPathBack)
		c.cancelDirectCalls()
	}
}
