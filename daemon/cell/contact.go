package cell

import (
	"context"
	"time"

	"briarproxy/daemon/bootclock"
)

// Times of judging whether the store answers. They are counted from the last answer, and grow
// with the time that an answer takes at present.
const (
	probeAfter    = 400 * time.Millisecond // the placer's records end a waiting read more often
	probeGap      = 250 * time.Millisecond
	probeAgeShare = 8                      // the gap is this part of an outage's age, at most directAgain
	doubtfulAfter = 600 * time.Millisecond // a probe was left without an answer
	silentAfter   = 1000 * time.Millisecond
	watchTick     = 100 * time.Millisecond
	answersWaited = 3 // answers of the present length that are waited for beyond these times
)

// reached notes an answer of the store to this daemon.
func (r *relay) reached() {
	now := int64(bootclock.Now())
	r.answered.Store(now)
	r.contact.Store(now)
	r.carried.Store(now)
}

// silence is how long the store has not answered this daemon, directly or through another
// one, beyond what its answers take at present.
func (r *relay) silence() time.Duration {
	return bootclock.Now() - time.Duration(r.contact.Load()+answersWaited*r.usual.Load())
}

// doubtful reports that a call made now may be left without an answer. Records are kept back
// then: what was not sent can be refused truthfully.
func (r *relay) doubtful() bool { return r.silence() > doubtfulAfter }

// silent reports that the store answers neither this daemon nor those that it asked.
func (r *relay) silent() bool { return r.silence() > silentAfter }

// quick reports whether a small call is answered in the usual time.
func (r *relay) quick(ctx context.Context) bool {
	bounded, cancel := context.WithTimeout(ctx, time.Duration(r.usual.Load())+slowLog)
	defer cancel()
	r.reads.note(readToProbe, 0)
	_, err := r.direct.End(bounded, partition, r.position.Load())
	return err == nil
}

// watch asks the store for a sign of life when it has not answered for a while.
func (r *relay) watch(ctx context.Context) {
	ticker := time.NewTicker(watchTick)
	defer ticker.Stop()
	probed := bootclock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := bootclock.Now()
		quiet := now - time.Duration(r.answered.Load())
		if r.away.Load() || quiet < probeAfter {
			continue
		}
		if now-probed >= probeGap {
			probed = now
			go r.probe(ctx)
		}
		if quiet > silentAfter+time.Duration(answersWaited*r.usual.Load()) {
			r.lost()
		}
	}
}

// seek tries a path that did not work until it does. Each probe has a connection of its own:
// one that was open in an outage sends again only seconds after its end.
func (r *relay) seek() {
	began := bootclock.Now()
	for r.away.Load() {
		go r.probe(context.Background())
		time.Sleep(min(max(probeGap, (bootclock.Now()-began)/probeAgeShare), directAgain))
	}
}

// probe makes one small call to the store. An answer after an outage ends the direct calls
// under way, which may wait on connections from before; they are made again.
func (r *relay) probe(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, r.patience())
	defer cancel()
	r.reads.note(readToProbe, 0)
	if _, err := r.direct.End(bounded, partition, r.position.Load()); err != nil {
		return
	}
	r.reached()
	if r.away.Swap(false) {
		r.log.Emit(evPathBack)
		r.cancelOpen()
	}
}
