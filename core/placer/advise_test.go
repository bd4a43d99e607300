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
