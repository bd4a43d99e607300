package cell

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/flow"
	"briarproxy/daemon/bootclock"
)

// Guards against all daemons claiming as soon as a slow store is quick again, before the
// placer's records that waited there can be read (dosui-sched-grown, trouble-2).
func TestSlowAnswersAreRememberedForAWhile(t *testing.T) {
	var s slowAnswers
	require.Zero(t, s.longest(10*time.Second))
	s.note(400*time.Millisecond, 10*time.Second)
	s.note(20*time.Millisecond, 11*time.Second)
	require.Equal(t, 400*time.Millisecond, s.longest(12*time.Second))
	require.Zero(t, s.longest(10*time.Second+slowMemory+time.Millisecond))
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
