package placer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/cluster"
	"briarproxy/core/flow"
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
	other := *w
	other.Life, other.Address = cluster.Life{Worker: "w01", Born: 1}, "w01"
	other.partitioned, other.token, other.leaseUntilMS, other.ended = false, 0, 0, nil
	other.runs, other.highestRun = map[cluster.TaskID]*fakeRun{}, map[cluster.TaskID]int{}
	c.workers["w01"] = &other
	c.publishRegistry()
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
