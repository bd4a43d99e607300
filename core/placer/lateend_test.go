package placer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/cluster"
	"briarproxy/core/flow"
	"briarproxy/core/resource"
)

// unreachableUntilGivenUp returns a cell of one worker on which a task has ended while the worker was
// unreachable, after which the placer has given the run up.
func unreachableUntilGivenUp(t *testing.T, outcome cluster.EndReason) (*fakeCell, *fakeWorker) {
	c := readyCell(t, 1)
	c.runTime = func(cluster.Start) time.Duration { return 2 * time.Second }
	c.outcome = func(s cluster.Start) cluster.EndReason { return outcome }
	c.submit("j", batchStep(1))
	c.advance(500 * time.Millisecond)
	w := c.busyWorker()
	w.partitioned = true
	c.advance(9 * time.Second)
	require.False(t, c.state.Task(cluster.TaskID{Job: "j"}).Active, "the run is given up")
	require.Equal(t, 1, c.starts)
	return c, w
}

// Guards against a task that runs again although its worker has listed that it is done, because the run was
// given up while the worker was unreachable (TWICE).
func TestTaskWithAListedSuccessDoesNotRunAgain(t *testing.T) {
	c, w := unreachableUntilGivenUp(t, cluster.Done)
	w.partitioned = false
	c.advance(25 * time.Second)
	require.Equal(t, flow.Completed, c.state.Jobs["j"].Phase)
	require.Equal(t, 1, c.starts)
	require.Empty(t, w.ended, "the end is confirmed")
}

// Guards against more attempts than allowed, because failed runs that were given up are not counted.
func TestListedFailureOfAGivenUpRunCountsAsAttempt(t *testing.T) {
	c, w := unreachableUntilGivenUp(t, cluster.Failed)
	w.partitioned = false
	c.advance(40 * time.Second)
	require.Equal(t, flow.Failed, c.state.Jobs["j"].Phase)
	require.Equal(t, 3, c.starts)
}

// Guards against a run that starts after an earlier one has been listed as done, because it was already
// planned and waited for the log.
func TestPlannedRunIsWithdrawnWhenAnEarlierOneIsListedAsDone(t *testing.T) {
	c, w := unreachableUntilGivenUp(t, cluster.Done)
	c.logUnreachable = true
	c.addWorker("w01")
	c.advance(time.Second)
	require.Equal(t, logging, c.placer.runs[cluster.TaskID{Job: "j"}].state)
	w.partitioned = false
	c.advance(25 * time.Second)
	c.logUnreachable = false
	c.advance(5 * time.Second)
	require.Equal(t, flow.Completed, c.state.Jobs["j"].Phase)
	require.Equal(t, 1, c.starts)
}

// Guards against a worker that is back and stays unused, with ends that nobody confirms, because it had no run left
// that counted when it fell silent.
func TestWorkerWhoseRunsWereGivenUpIsUsedSoonAfterItIsBack(t *testing.T) {
	c, w := unreachableUntilGivenUp(t, cluster.Done)
	w.partitioned = false
	c.advance(3 * time.Second)
	require.Empty(t, w.ended)
	c.submit("next", batchStep(1))
	c.advance(time.Second)
	require.Equal(t, 2, c.starts)
}

// Guards against a task that starts a third time after its first run was listed as done, because the end is discarded
// while the second run works.
func TestSuccessListedWhileALaterRunWorksCounts(t *testing.T) {
	c, w := unreachableUntilGivenUp(t, cluster.Done)
	c.outcome = func(s cluster.Start) cluster.EndReason {
		if s.Run == 2 {
			return cluster.Failed
		}
		return cluster.Done
	}
	c.runTime = func(cluster.Start) time.Duration { return 5 * time.Second }
	c.addWorker("w01")
	c.advance(500 * time.Millisecond)
	require.Equal(t, 2, c.starts)
	w.partitioned = false
	c.advance(15 * time.Second)
	require.Equal(t, 2, c.starts)
	require.Equal(t, flow.Completed, c.state.Jobs["j"].Phase)
	require.Zero(t, c.placer.ActiveRuns())
}

// Guards against more attempts than allowed, because a failure is discarded that is listed while a later run works.
func TestFailureListedWhileALaterRunWorksCounts(t *testing.T) {
	c, w := unreachableUntilGivenUp(t, cluster.Failed)
	c.addWorker("w01")
	c.advance(500 * time.Millisecond)
	require.Equal(t, 2, c.starts)
	w.partitioned = false
	c.advance(40 * time.Second)
	require.Equal(t, flow.Failed, c.state.Jobs["j"].Phase)
	require.Equal(t, 3, c.starts)
}

// Guards against a gang that runs again after a member was listed as done, because its next run was planned.
func TestPlannedGangIsWithdrawnWhenAMemberIsListedAsDone(t *testing.T) {
	c := newFakeCell(t, 2, resource.Vector{MilliCores: 1000, MemoryMiB: 8000})
	c.takeOver()
	c.retireFormerPlacers()
	c.advance(time.Second)
	c.runTime = func(cluster.Start) time.Duration { return 2 * time.Second }
	c.submit("j", flow.Step{Count: 2, Gang: true, Size: resource.Vector{MilliCores: 1000, MemoryMiB: 100}, EstimateMS: 2000})
	c.advance(500 * time.Millisecond)
	c.workers["w00"].partitioned, c.workers["w01"].partitioned = true, true
	c.advance(9 * time.Second)
	require.False(t, c.state.Task(cluster.TaskID{Job: "j"}).Active)
	c.logUnreachable = true
	c.addWorker("w02")
	c.addWorker("w03")
	c.advance(time.Second)
	require.Equal(t, logging, c.placer.runs[cluster.TaskID{Job: "j"}].state)
	c.workers["w00"].partitioned, c.workers["w01"].partitioned = false, false
	c.advance(25 * time.Second)
	c.logUnreachable = false
	c.advance(5 * time.Second)
	require.Equal(t, flow.Completed, c.state.Jobs["j"].Phase)
	require.Equal(t, 2, c.starts)
}
