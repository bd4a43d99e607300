package placer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/cluster"
	"briarproxy/core/flow"
	"briarproxy/core/resource"
)

// Guards against slow advice calls that no daemon accepts: when a network partition left only
// the placer's own daemon, which was one of those reserved for quick calls, wide steps got no
// advice until the partition ended.
func TestSlowCallsUseTheRemainingDaemons(t *testing.T) {
	a := newAdvisers()
	a.shortestCall = 10 * time.Millisecond
	names := []string{"a", "b", "c", "d", "e"}
	now := time.Minute
	a.setMembers(names, now)
	require.NotEqual(t, "a", a.pick(time.Second, false, now), "daemon a is reserved for quick calls")
	for _, name := range names[1:] {
		a.callFinished(&AdviseCommand{Daemon: name, Step: cluster.StepID{Job: name}}, time.Second, true, now)
	}
	a.setMembers(names, now)
	require.Equal(t, "a", a.pick(time.Second, false, now))
}

// Guards against calls that wait at a daemon for longer than they take, and against calls of
// late steps that delay those of new ones.
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
	require.Equal(t, 1, sent[true], "calls of late steps wait for an idle daemon")
	require.Equal(t, 1, sent[false])
}

// Guards against quick calls through another region: when the daemons reserved for them were the
// first ones by name, 38 short jobs a second waited 146 ms for advice that takes 14 ms through a
// daemon near the placer.
func TestNearDaemonsAreReservedForQuickCalls(t *testing.T) {
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
		for range 40 { // enough answers for the moving average to converge
			step := cluster.StepID{Job: name}
			a.callSent(name, step, a.shortestCall, now)
			a.callFinished(&AdviseCommand{Daemon: name, Step: step}, took, false, now)
		}
	}
	a.setMembers(names, now)
	require.Contains(t, a.pick(a.shortestCall, false, now), "near")
	require.Contains(t, a.pick(time.Second, false, now), "near-3", "two of six daemons are reserved for quick calls")
	for _, reserved := range a.candidates[:2] {
		require.Contains(t, reserved.name, "near")
	}
}

// Guards against a step with a limit of tasks per worker that asks for advice several times, as its
// first call names workers with room for all its tasks, but too few for that limit.
func TestFirstCallNamesEnoughWorkersForTheLimitPerWorker(t *testing.T) {
	c := newFakeCell(t, 60, workerCapacity)
	c.addAdvisedQueue(100 * time.Millisecond)
	calls, grantAll := 0, c.advice
	c.advice = func(a *AdviseCommand) []cluster.Grant {
		calls++
		return grantAll(a)
	}
	require.NoError(t, c.append(flow.Record{Hello: &flow.Hello{Daemon: "d", Address: "x"}}))
	c.takeOver()
	c.advance(200 * time.Millisecond)
	gang := flow.Step{Count: 20, Size: resource.Vector{MilliCores: 1000, MemoryMiB: 1024}, EstimateMS: 800, Gang: true, MaxPerWorker: 1}
	c.submitTo("advised", "gang", gang)
	c.advance(3 * time.Second)
	require.Equal(t, flow.Completed, c.state.Jobs["gang"].Phase)
	require.Equal(t, 1, calls)
}
