package placer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/cluster"
)

// Guards against slow calls for advice that no daemon takes: when a partition left the
// placer with itself alone, which happened to be one of those kept for quick calls, wide
// steps got no advice until the partition ended (dosui-sched, scale-2).
func TestSlowCallsUseTheRemainingDaemons(t *testing.T) {
	a := newAdvisers()
	a.shortestCall = 10 * time.Millisecond
	names := []string{"a", "b", "c", "d", "e"}
	now := time.Minute
	a.setMembers(names, now)
	require.NotEqual(t, "a", a.pick(time.Second, false, now), "one of those kept for quick calls")
	for _, name := range names[1:] {
		a.callFinished(&AdviseCommand{Daemon: name, Step: cluster.StepID{Job: name}}, time.Second, true, now)
	}
	a.setMembers(names, now)
	require.Equal(t, "a", a.pick(time.Second, false, now))
}

// Guards against calls that queue up at a daemon for longer than they take, and against
// steps that are late already taking the place of new ones.
func TestCallsDoNotQueueUpAtADaemon(t *testing.T) {
	a := newAdvisers()
	a.shortestCall = 10 * time.Millisecond
	now := time.Minute
	a.setMembers([]string{"a"}, now)
	const cost = 100 * time.Millisecond
	sent := map[bool]int{}
	for _, late := range []bool{true, false} {
		for i := 0; a.pick(cost, late, now) != ""; i++ {
			a.callSent("a", cluster.StepID{Job: "j", Occurrence: sent[true] + sent[false]}, cost, now)
			sent[late]++
			require.Less(t, sent[late], maxCallsPerAdviser)
		}
	}
	require.Equal(t, 1, sent[true], "a late call waits until the daemon has nothing to do")
	require.Equal(t, 1, sent[false])
}

// Guards against quick calls that go through another region: the daemons kept for them were
// the first by name, so 38 checks a second waited 146 ms for advice that takes 14 ms through a
// daemon beside the placer (kandy-strings).
func TestNearDaemonsAreKeptForQuickCalls(t *testing.T) {
	a := newAdvisers()
	a.shortestCall = 10 * time.Millisecond
	names := []string{"far-1", "far-2", "far-3", "near-1", "near-2", "near-3"}
	now := time.Minute
	a.setMembers(names, now)
	for _, name := range names {
		took := 15 * time.Millisecond
		if name < "g" {
			took = 150 * time.Millisecond
		}
		for range 40 { // enough answers for the delay to be learned
			step := cluster.StepID{Job: name}
			a.callSent(name, step, a.shortestCall, now)
			a.callFinished(&AdviseCommand{Daemon: name, Step: step}, took, false, now)
		}
	}
	a.setMembers(names, now)
	require.Contains(t, a.pick(a.shortestCall, false, now), "near")
	require.Contains(t, a.pick(time.Second, false, now), "near-3", "slow calls leave two of six to quick ones")
	for _, kept := range a.candidates[:2] {
		require.Contains(t, kept.name, "near")
	}
}
