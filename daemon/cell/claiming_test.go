package cell

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"briarproxy/core/cluster"
	"briarproxy/core/flow"
	"briarproxy/core/placer"
	"briarproxy/daemon/bootclock"
)

// Guards against all daemons claiming as soon as a slow store is quick again, before the
// placer's records that waited there can be read (dosui-sched-grown, trouble-2).
func TestRecentMaxKeepsLongTimesForItsWindow(t *testing.T) {
	var s recentMax
	require.Zero(t, s.longest(10*time.Second))
	s.record(400*time.Millisecond, 10*time.Second)
	s.record(20*time.Millisecond, 11*time.Second)
	require.Equal(t, 400*time.Millisecond, s.longest(12*time.Second))
	require.Zero(t, s.longest(10*time.Second+recentMaxWindow+time.Millisecond))
	s.record(20*time.Millisecond, 14*time.Second)
	require.Equal(t, 20*time.Millisecond, s.longest(14*time.Second))
}

// Guards against two successors of one placer, and against one that can't place: a claim
// on request must be that of a ready daemon which knows the same placer.
func TestSucceedClaimsOnceAndOnlyWhenReady(t *testing.T) {
	store := &fakeStore{}
	c := newTestCallerAPI(t, store, 0)
	succeed := func(epoch int64, change func(e *engine)) bool {
		c.onEngine(func(e *engine) {
			e.state.Claim, e.state.LastHeard = flow.Claim{Daemon: "x", Epoch: 5}, bootclock.Now()
			e.claiming, e.draining, e.logUnreachable = false, false, false
			change(e)
		})
		done, ok := query(t.Context(), c.engine, func(e *engine, reply chan<- bool) { e.succeed(c.ctx, epoch, reply) })
		return done && ok
	}
	require.False(t, succeed(4, func(*engine) {}), "another placer is in force")
	require.False(t, succeed(5, func(e *engine) { e.draining = true }))
	require.False(t, succeed(5, func(e *engine) { e.logUnreachable = true }))
	require.False(t, succeed(5, func(e *engine) { e.claiming = true }))
	require.Zero(t, store.appends.Load())
	require.True(t, succeed(5, func(*engine) {}))
	require.EqualValues(t, 1, store.appends.Load())
	store.failWith(errConflict)
	require.False(t, succeed(5, func(*engine) {}), "the claim was not stored")
}

// Guards against a placer that goes on for the whole of a partition in which it reaches the
// log but no other daemon: it got advice through itself alone (dosui-sched, scale-2, cut
// machines), and against one that gives up because daemons have died.
func TestIsolatedPlacerGivesUp(t *testing.T) {
	c := newTestCallerAPI(t, &fakeStore{}, 0)
	var died, weak, cut bool
	var at, now time.Duration
	c.onEngine(func(e *engine) {
		now = bootclock.Now()
		for _, name := range []string{"b", "c", "d"} {
			e.state.Members[name] = flow.Member{Hello: flow.Hello{Daemon: name, Address: "x", StartedMS: 1}, LastSeen: now}
		}
		e.placer = placer.New(e.state, e.config, placer.Options{Lease: time.Second}, now)
		e.placingStartedAt = now - time.Minute
		e.placer.UpdateMembers(now)
		for _, name := range []string{"b", "c"} {
			e.placer.AdviceAnswered(&placer.AdviseCommand{Daemon: name}, nil, 0, time.Second, true, now)
		}
		e.handOverIfDue(now)
		died = e.handingOver
		e.bypassedRecords, e.lastBypassAt = isolationBypassedRecords, now
		e.writer.weakPlacer.Store(true)
		e.handOverIfDue(now)
		weak = e.handingOver
		e.writer.weakPlacer.Store(false)
		e.handOverIfDue(now)
		cut, at = e.handingOver, e.isolatedAt
		e.placer, e.handingOver = nil, false
	})
	require.False(t, died, "the others may have died")
	require.False(t, weak, "the others append past a weak placer also when they reach it")
	require.True(t, cut)
	require.Equal(t, now, at)
}

// Guards against a placer that stays although it reaches the log through other daemons only
// (every record a second late for 12 s: dosui-sched, scale-2, three daemons cut off), and
// against one that gives up while the log is away from everybody.
func TestPlacerWithoutItsOwnPathHandsOver(t *testing.T) {
	c := newTestCallerAPI(t, &fakeStore{}, 0)
	try := func(away bool, since, acked time.Duration) (leaves bool) {
		c.onEngine(func(e *engine) {
			now := bootclock.Now()
			e.state.Members["b"] = flow.Member{Hello: flow.Hello{Daemon: "b", Address: "x", StartedMS: 1}, LastSeen: now}
			e.placer = placer.New(e.state, e.config, placer.Options{Lease: time.Second}, now)
			e.placingStartedAt, e.directDownSince, e.batchAckedAt = now-time.Minute, now-since, now-acked
			e.store.directDown.Store(away)
			e.handOverIfDue(now)
			leaves = e.handingOver
			e.store.directDown.Store(false)
			e.placer, e.handingOver = nil, false
		})
		return leaves
	}
	require.True(t, try(true, 3*time.Second, time.Second))
	require.False(t, try(false, 3*time.Second, time.Second))
	require.False(t, try(true, time.Second, time.Second), "for a moment")
	require.False(t, try(true, 9*time.Second, 8*time.Second), "away from everybody")
}

// fencingStore refuses all appends for a higher epoch.
type fencingStore struct{ Platform }

func (fencingStore) Append(context.Context, int, [][]byte, *cluster.Fence) (int64, error) {
	return 0, errConflict
}

// Guards against a daemon that claims again and again while a higher claim waits at a slow
// log: one of its epochs fences that claim in turn (trouble-2 of dosui-sched-large).
func TestOutbidClaimIsNotRepeatedAtOnce(t *testing.T) {
	c := newTestCallerAPI(t, &fakeStore{}, 0)
	c.engine.store.direct = fencingStore{c.engine.platform}
	c.onEngine(func(e *engine) { e.claiming, e.readableSince, e.firstConfigAt = false, 1, 1 })
	refused := 0.0
	for range 30 {
		c.onEngine(func(e *engine) {
			e.readToEndAt = bootclock.Now()
			refused = testutil.ToFloat64(e.metrics.claims.WithLabelValues("not stored"))
		})
		time.Sleep(40 * time.Millisecond)
	}
	require.Equal(t, 1.0, refused)
}

// Guards against a placer that is replaced while a slow log keeps its records waiting, and
// against one that is not although its daemon is gone or it has been silent for very long.
func TestBusyPlacerAtASlowLogIsNotReplaced(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	gone := l.Addr().String()
	require.NoError(t, l.Close())
	alive := serveSubmissions(t, nil)
	for _, c := range []struct {
		name    string
		address string
		silent  time.Duration
		slow    bool
		claims  bool
	}{
		{"alive at a slow log", alive, 3 * time.Second, true, false},
		{"alive at a quick log", alive, 3 * time.Second, false, true},
		{"gone at a slow log", gone, 3 * time.Second, true, true},
		{"silent for very long", alive, maxBusyPlacerSilence + time.Second, true, true},
	} {
		callers := newTestCallerAPI(t, &fakeStore{}, 0)
		callers.onEngine(func(e *engine) {
			e.state.Claim = flow.Claim{Daemon: "x", Address: c.address, Epoch: 5}
			e.state.LastHeard = bootclock.Now() - c.silent
			e.store.storeSlow.Store(c.slow)
			e.claimUnlessPlacerAlive(callers.ctx, "the placer is silent")
		})
		time.Sleep(aliveTimeout + 200*time.Millisecond)
		claimed := false
		callers.onEngine(func(e *engine) { claimed = e.claimEpoch > 0 })
		require.Equal(t, c.claims, claimed, c.name)
	}
}

// Guards against a placer that has its own records gathered elsewhere, and against a fallback appender that is the placer, has left, or has just started.
func TestFallbackAppenderIsTheBestSuccessor(t *testing.T) {
	c := newTestCallerAPI(t, &fakeStore{}, 0)
	fallback := func(claim string) (address string) {
		c.onEngine(func(e *engine) {
			now := bootclock.Now()
			for name, h := range map[string]flow.Hello{
				"p": {CapacityFactor: 9, StartedMS: 1}, "young": {CapacityFactor: 9, StartedMS: time.Now().UnixMilli()},
				"b": {CapacityFactor: 4, StartedMS: 1}, "c": {CapacityFactor: 1, StartedMS: 1}, "a": {CapacityFactor: 2, StartedMS: 1},
			} {
				h.Daemon, h.Address = name, "at "+name
				e.state.Members[name] = flow.Member{Hello: h, LastSeen: now}
			}
			e.state.Members["gone"] = flow.Member{Hello: flow.Hello{Daemon: "gone", CapacityFactor: 9, StartedMS: 1, Address: "at gone"}, LastSeen: now - time.Hour}
			e.state.Claim.Daemon = claim
			e.publishMembers()
			address = *e.writer.fallbackAddress.Load()
		})
		return address
	}
	require.Equal(t, "at b", fallback("p"))
	require.Equal(t, "at p", fallback(""))
	require.Empty(t, fallback("a"), "this daemon places")
	require.Equal(t, "at p", fallback("b"))
}
