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
func TestSlowCallsAreMadeThroughWhoeverIsLeft(t *testing.T) {
	a := newAdvisers()
	a.quickest = 10 * time.Millisecond
	names := []string{"a", "b", "c", "d", "e"}
	now := time.Minute
	a.members(names, now)
	require.NotEqual(t, "a", a.pick(time.Second, false, now), "one of those kept for quick calls")
	for _, name := range names[1:] {
		a.finished(&AdviseCommand{Daemon: name, Step: cluster.StepID{Job: name}}, time.Second, true, now)
	}
	a.members(names, now)
	require.Equal(t, "a", a.pick(time.Second, false, now))
}

// Guards against calls that queue up at a daemon for longer than they take, and against
// steps that are late already taking the place of new ones.
func TestCallsDoNotQueueUpAtADaemon(t *testing.T) {
	a := newAdvisers()
	a.quickest = 10 * time.Millisecond
	now := time.Minute
	a.members([]string{"a"}, now)
	const cost = 100 * time.Millisecond
	sent := map[bool]int{}
	for _, late := range []bool{true, false} {
		for i := 0; a.pick(cost, late, now) != ""; i++ {
			a.asked("a", cluster.StepID{Job: "j", Occurrence: sent[true] + sent[false]}, cost, now)
			sent[late]++
			require.Less(t, sent[late], openPerAdviser)
		}
	}
	require.Equal(t, 1, sent[true], "a late call waits until the daemon has nothing to do")
	require.Equal(t, 1, sent[false])
}
