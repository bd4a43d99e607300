package placer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/cluster"
	"briarproxy/core/flow"
)

// drainWorker has a worker say that it leaves, and takes it away after the time that it says.
func (c *fakeCell) drainWorker(w *fakeWorker, stays time.Duration) {
	w.Draining, w.Stays = true, stays
	c.publishRegistry()
	c.after(stays, func() {
		w.up, w.inRegistry = false, false
		w.runs = map[cluster.TaskID]*fakeRun{}
		c.publishRegistry()
	})
}

// longTasks returns a step whose tasks take as long as the estimate says.
func (c *fakeCell) longTasks(n int, takes time.Duration, savesProgress bool) flow.Step {
	c.runTime = func(cluster.Start) time.Duration { return takes }
	for _, w := range c.workers {
		w.savesProgress = savesProgress
	}
	s := tasks(n)
	s.EstimateMS, s.Checkpointing = takes.Milliseconds(), savesProgress
	return s
}

// Guards against work on a worker that leaves being done anew, after a lease, although it
// saves its progress.
func TestRunsLeaveADrainingWorkerWithTheirCheckpoints(t *testing.T) {
	for _, gang := range []bool{false, true} {
		c := readyCell(t, 3)
		step := c.longTasks(4, 6*time.Second, true)
		step.Gang = gang
		c.submit("j", step)
		c.advance(time.Second)
		c.drainWorker(c.busyWorker(), 3*time.Second)
		c.advance(6 * time.Second) // 6 s of work and a second for the move
		require.Equal(t, map[flow.Phase]int{flow.Completed: 1}, c.phases(), "gang %v", gang)
	}
}

// Guards against work that saves no progress staying on a worker that leaves long before
// it can end, and against work that can end there being stopped.
func TestRunsThatCantFinishLeaveADrainingWorkerAtOnce(t *testing.T) {
	c := readyCell(t, 3)
	c.submit("long", c.longTasks(4, 9*time.Second, false))
	c.advance(500 * time.Millisecond)
	c.drainWorker(c.busyWorker(), 3*time.Second)
	c.advance(10500 * time.Millisecond)
	require.Equal(t, map[flow.Phase]int{flow.Completed: 1}, c.phases())

	c = readyCell(t, 3)
	c.submit("short", c.longTasks(4, 2500*time.Millisecond, false))
	c.advance(500 * time.Millisecond)
	c.drainWorker(c.busyWorker(), 3*time.Second)
	c.advance(3 * time.Second)
	require.Equal(t, map[flow.Phase]int{flow.Completed: 1}, c.phases())
	require.Equal(t, 4, c.starts)
}

// Guards against the loss of progress that a worker has shown before it vanished.
func TestCheckpointsSurviveALostWorker(t *testing.T) {
	c := readyCell(t, 3)
	c.submit("j", c.longTasks(4, 8*time.Second, true))
	c.advance(5 * time.Second)
	lost := c.busyWorker()
	lost.partitioned, lost.inRegistry = true, false
	c.publishRegistry()
	c.advance(6*time.Second + 5*time.Second) // a lease, and what the last look did not show
	require.Equal(t, map[flow.Phase]int{flow.Completed: 1}, c.phases())
}
