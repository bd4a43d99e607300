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

// Guards against claims by all daemons as soon as a slow store is fast again, before the
// placer's records that waited there can be read.
func TestRecentMaxKeepsLongTimesForItsWindow(t *testing.T) {
	var recent recentMax
	require.Zero(t, recent.longest(10*time.Second))
	recent.record(400*time.Millisecond, 10*time.Second)
	recent.record(20*time.Millisecond, 11*time.Second)
	require.Equal(t, 400*time.Millisecond, recent.longest(12*time.Second))
	require.Zero(t, recent.longest(10*time.Second+recentMaxWindow+time.Millisecond))
	recent.record(20*time.Millisecond, 14*time.Second)
	require.Equal(t, 20*time.Millisecond, recent.longest(14*time.Second))
}

// Guards against two successors of one placer, and against a successor that can't place: only
// a ready daemon that knows the same placer may claim on request.
func TestSucceedClaimsOnceAndOnlyWhenReady(t *testing.T) {
	store := &fakeStore{}
	api := newTestCallerAPI(t, store, 0)
	succeed := func(epoch int64, change func(e *engine)) bool {
		api.onEngine(func(e *engine) {
			e.state.Claim, e.state.LastHeard = flow.Claim{Daemon: "x", Epoch: 5}, bootclock.Now()
			e.claiming, e.draining, e.logUnreachable = false, false, false
			change(e)
		})
		done, ok := query(t.Context(), api.engine, func(e *engine, reply chan<- bool) { e.succeed(api.ctx, epoch, reply) })
		return done && ok
	}
	require.False(t, succeed(4, func(*engine) {}), "another placer holds the claim")
	require.False(t, succeed(5, func(e *engine) { e.draining = true }))
	require.False(t, succeed(5, func(e *engine) { e.logUnreachable = true }))
	require.False(t, succeed(5, func(e *engine) { e.claiming = true }))
	require.Zero(t, store.appends.Load())
	require.True(t, succeed(5, func(*engine) {}))
	require.EqualValues(t, 1, store.appends.Load())
	store.failWith(errConflict)
	require.False(t, succeed(5, func(*engine) {}), "the claim was not stored")
}

// Guards against a placer that keeps its claim throughout a network partition in which it
// reaches the log but no other daemon, so that it gets advice only through itself, and against
// one that hands over because other daemons have died.
func TestIsolatedPlacerHandsOver(t *testing.T) {
	api := newTestCallerAPI(t, &fakeStore{}, 0)
	var handsOverOnDeaths, handsOverWithLowCapacity, handsOverWhenIsolated bool
	var steppedDownAt, now time.Duration
	api.onEngine(func(e *engine) {
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
		handsOverOnDeaths = e.handingOver
		e.bypassedRecords, e.lastBypassAt = isolationBypassThreshold, now
		e.writer.lowCapacityPlacer.Store(true)
		e.handOverIfDue(now)
		handsOverWithLowCapacity = e.handingOver
		e.writer.lowCapacityPlacer.Store(false)
		e.handOverIfDue(now)
		handsOverWhenIsolated, steppedDownAt = e.handingOver, e.steppedDownAt
		e.placer, e.handingOver = nil, false
	})
	require.False(t, handsOverOnDeaths, "the other daemons may have died")
	require.False(t, handsOverWithLowCapacity, "other daemons do not forward records to a low-capacity placer even if they reach it")
	require.True(t, handsOverWhenIsolated)
	require.Equal(t, now, steppedDownAt)
}

// Guards against a placer that keeps its claim although it reaches the log through other
// daemons only (in a cell with three daemons cut off from the log, every record was 1 s late for
// 12 s), and against one that hands over while no daemon reaches the log.
func TestPlacerWithoutDirectLogPathHandsOver(t *testing.T) {
	api := newTestCallerAPI(t, &fakeStore{}, 0)
	handsOver := func(directDown bool, downFor, sinceAck time.Duration) (handingOver bool) {
		api.onEngine(func(e *engine) {
			now := bootclock.Now()
			e.state.Members["b"] = flow.Member{Hello: flow.Hello{Daemon: "b", Address: "x", StartedMS: 1}, LastSeen: now}
			e.placer = placer.New(e.state, e.config, placer.Options{Lease: time.Second}, now)
			e.placingStartedAt, e.directDownSince, e.batchAckedAt = now-time.Minute, now-downFor, now-sinceAck
			e.store.directDown.Store(directDown)
			e.handOverIfDue(now)
			handingOver = e.handingOver
			e.store.directDown.Store(false)
			e.placer, e.handingOver = nil, false
		})
		return handingOver
	}
	require.True(t, handsOver(true, 3*time.Second, time.Second))
	require.False(t, handsOver(false, 3*time.Second, time.Second))
	require.False(t, handsOver(true, time.Second, time.Second), "the direct path has been down for a moment only")
	require.False(t, handsOver(true, 9*time.Second, 8*time.Second), "no daemon reaches the log")
}

// fencingStore refuses all appends as fenced by a higher epoch.
type fencingStore struct{ Platform }

func (fencingStore) Append(context.Context, int, [][]byte, *cluster.Fence) (int64, error) {
	return 0, errConflict
}

// Guards against a daemon that keeps claiming while a higher claim waits at a slow log, until
// one of its own epochs is high enough to fence that claim off.
func TestSupersededClaimIsNotRetriedAtOnce(t *testing.T) {
	api := newTestCallerAPI(t, &fakeStore{}, 0)
	api.engine.store.direct = fencingStore{api.engine.platform}
	api.onEngine(func(e *engine) { e.claiming, e.readableSince, e.firstConfigAt = false, 1, 1 })
	failedClaims := 0.0
	for range 30 {
		api.onEngine(func(e *engine) {
			e.readToEndAt = bootclock.Now()
			failedClaims = testutil.ToFloat64(e.metrics.claims.WithLabelValues("not stored"))
		})
		time.Sleep(40 * time.Millisecond)
	}
	require.Equal(t, 1.0, failedClaims)
}

// Guards against replacing a placer whose records only wait at a slow log, and against keeping
// one whose daemon is gone or that has been silent for longer than maxBusyPlacerSilence.
func TestBusyPlacerAtASlowLogIsNotReplaced(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	unreachableAddress := l.Addr().String()
	require.NoError(t, l.Close())
	aliveAddress := serveSubmissions(t, nil)
	for _, test := range []struct {
		name    string
		address string
		silent  time.Duration
		slow    bool
		claims  bool
	}{
		{"alive at a slow log", aliveAddress, 3 * time.Second, true, false},
		{"alive at a fast log", aliveAddress, 3 * time.Second, false, true},
		{"gone at a slow log", unreachableAddress, 3 * time.Second, true, true},
		{"silent for very long", aliveAddress, maxBusyPlacerSilence + time.Second, true, true},
	} {
		api := newTestCallerAPI(t, &fakeStore{}, 0)
		api.onEngine(func(e *engine) {
			e.state.Claim = flow.Claim{Daemon: "x", Address: test.address, Epoch: 5}
			e.state.LastHeard = bootclock.Now() - test.silent
			e.store.storeSlow.Store(test.slow)
			e.claimUnlessPlacerAlive(api.ctx, "the placer is silent")
		})
		time.Sleep(aliveTimeout + 200*time.Millisecond)
		claimed := false
		api.onEngine(func(e *engine) { claimed = e.claimEpoch > 0 })
		require.Equal(t, test.claims, claimed, test.name)
	}
}

// Guards against a placer that sends its callers' records to a fallback appender, and against a
// fallback appender that is the placer, is gone, or has just started.
func TestFallbackAppenderIsTheBestSuccessor(t *testing.T) {
	api := newTestCallerAPI(t, &fakeStore{}, 0)
	fallback := func(placerName string) (address string) {
		api.onEngine(func(e *engine) {
			now := bootclock.Now()
			for name, h := range map[string]flow.Hello{
				"p": {CapacityFactor: 9, StartedMS: 1}, "young": {CapacityFactor: 9, StartedMS: time.Now().UnixMilli()},
				"b": {CapacityFactor: 4, StartedMS: 1}, "c": {CapacityFactor: 1, StartedMS: 1}, "a": {CapacityFactor: 2, StartedMS: 1},
			} {
				h.Daemon, h.Address = name, "at "+name
				e.state.Members[name] = flow.Member{Hello: h, LastSeen: now}
			}
			e.state.Members["gone"] = flow.Member{Hello: flow.Hello{Daemon: "gone", CapacityFactor: 9, StartedMS: 1, Address: "at gone"}, LastSeen: now - time.Hour}
			e.state.Claim.Daemon = placerName
			e.publishMembers()
			address = *e.writer.fallbackAddress.Load()
		})
		return address
	}
	require.Equal(t, "at b", fallback("p"))
	require.Equal(t, "at p", fallback(""))
	require.Empty(t, fallback("a"), "this daemon is the placer")
	require.Equal(t, "at p", fallback("b"))
}
