package cell

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/flow"
	"briarproxy/core/placer"
	"briarproxy/daemon/bootclock"
)

// Guards against all daemons claiming as soon as a slow store is quick again, before the
// placer's records that waited there can be read (dosui-sched-grown, trouble-2).
func TestLongTimesAreRememberedForAWhile(t *testing.T) {
	var s lately
	require.Zero(t, s.longest(10*time.Second))
	s.note(400*time.Millisecond, 10*time.Second)
	s.note(20*time.Millisecond, 11*time.Second)
	require.Equal(t, 400*time.Millisecond, s.longest(12*time.Second))
	require.Zero(t, s.longest(10*time.Second+lateMemory+time.Millisecond))
	s.note(20*time.Millisecond, 14*time.Second)
	require.Equal(t, 20*time.Millisecond, s.longest(14*time.Second))
}

// Guards against two successors of one placer, and against one that can't place: a claim
// on request must be that of a ready daemon which knows the same placer.
func TestSucceedClaimsOnceAndOnlyWhenReady(t *testing.T) {
	store := &fakeStore{}
	c := callersOf(t, store, 0)
	succeed := func(epoch int64, change func(e *engine)) bool {
		c.run(func(e *engine) {
			e.state.Claim, e.state.Heard = flow.Claim{Daemon: "x", Epoch: 5}, bootclock.Now()
			e.claiming, e.draining, e.lost = false, false, false
			change(e)
		})
		done, ok := ask(t.Context(), c.engine, func(e *engine, reply chan<- bool) { e.succeed(c.ctx, epoch, reply) })
		return done && ok
	}
	require.False(t, succeed(4, func(*engine) {}), "another placer is in force")
	require.False(t, succeed(5, func(e *engine) { e.draining = true }))
	require.False(t, succeed(5, func(e *engine) { e.lost = true }))
	require.False(t, succeed(5, func(e *engine) { e.claiming = true }))
	require.Zero(t, store.appends.Load())
	require.True(t, succeed(5, func(*engine) {}))
	require.EqualValues(t, 1, store.appends.Load())
	store.failWith(errFenced)
	require.False(t, succeed(5, func(*engine) {}), "the claim was not stored")
}

// Guards against a placer that goes on for the whole of a partition in which it reaches the
// log but no other daemon: it got advice through itself alone (dosui-sched, scale-2, cut
// machines), and against one that gives up because daemons have died.
func TestIsolatedPlacerGivesUp(t *testing.T) {
	c := callersOf(t, &fakeStore{}, 0)
	c.run(func(e *engine) {
		now := bootclock.Now()
		for _, name := range []string{"b", "c", "d"} {
			e.state.Members[name] = flow.Member{Hello: flow.Hello{Daemon: name, Address: "x", Started: 1}, Seen: now}
		}
		e.placer = placer.New(e.state, e.config, placer.Options{Lease: time.Second}, now)
		defer func() { e.placer = nil }()
		e.placingSince = now - time.Minute
		fail := func(names ...string) {
			e.placer.Members(now)
			for _, name := range names {
				e.placer.Granted(&placer.AdviseCommand{Daemon: name}, nil, 0, time.Second, true, now)
			}
		}
		fail("b", "c")
		e.considerHandOver(now)
		require.False(t, e.leaving, "they may have died")
		e.bypassed, e.bypassedAt = bypassesMost, now
		e.considerHandOver(now)
		require.True(t, e.leaving)
		require.Equal(t, now, e.isolatedAt)
		e.leaving = false
	})
}
