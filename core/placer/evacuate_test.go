package placer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/cluster"
	"briarproxy/core/flow"
)

// drainWorker makes a worker announce its departure, and removes it after the announced time.
func (c *fakeCell) drainWorker(w *fakeWorker, stays time.Duration) {
	w.Draining, w.Stays = true, stays
	c.publishRegistry()
	c.after(stays, func() {
		w.up, w.inRegistry = false, false
		w.runs = map[cluster.TaskID]*fakeRun{}
		c.publishRegistry()
	})
}

// longStep returns a step whose tasks take exactly as long as estimated.
func (c *fakeCell) longStep(n int, duration time.Duration, savesProgress bool) flow.Step {
	c.runTime = func(cluster.Start) time.Duration { return duration }
	for _, w := range c.workers {
		w.savesProgress = savesProgress
	}
	s := batchStep(n)
	s.EstimateMS, s.Checkpointing = duration.Milliseconds(), savesProgress
	return s
}

// Guards against runs with checkpoints on a draining worker that start from scratch elsewhere,
// and only after their lease has expired.
func TestRunsLeaveADrainingWorkerWithTheirCheckpoints(t *testing.T) {
	for _, gang := range []bool{false, true} {
		c := readyCell(t, 3)
		step := c.longStep(4, 6*time.Second, true)
		step.Gang = gang
		c.submit("j", step)
		c.advance(time.Second)
		c.drainWorker(c.busyWorker(), 3*time.Second)
		c.advance(6 * time.Second) // 7 s in all: 6 s of work and one second for the move
		require.Equal(t, map[flow.Phase]int{flow.Completed: 1}, c.jobsByPhase(), "gang %v", gang)
	}
}

// Guards against runs without checkpoints that stay on a worker that leaves long before they can
// finish, and against the stop of runs that can finish there.
func TestRunsThatCannotFinishAreStoppedOnADrainingWorker(t *testing.T) {
	c := readyCell(t, 3)
	c.submit("long", c.longStep(4, 9*time.Second, false))
	c.advance(500 * time.Millisecond)
	c.drainWorker(c.busyWorker(), 3*time.Second)
	c.advance(10500 * time.Millisecond)
	require.Equal(t, map[flow.Phase]int{flow.Completed: 1}, c.jobsByPhase())

	c = readyCell(t, 3)
	c.submit("short", c.longStep(4, 2500*time.Millisecond, false))
	c.advance(500 * time.Millisecond)
	c.drainWorker(c.busyWorker(), 3*time.Second)
	c.advance(3 * time.Second)
	require.Equal(t, map[flow.Phase]int{flow.Completed: 1}, c.jobsByPhase())
	require.Equal(t, 4, c.starts)
}

// Guards against the loss of checkpoints that a worker reported before it failed.
func TestCheckpointsSurviveALostWorker(t *testing.T) {
	c := readyCell(t, 3)
	c.submit("j", c.longStep(4, 8*time.Second, true))
	c.advance(5 * time.Second)
	lost := c.busyWorker()
	lost.partitioned, lost.inRegistry = true, false
	c.publishRegistry()
	c.advance(6*time.Second + 5*time.Second) // the lease, and the work after the last reported checkpoint
	require.Equal(t, map[flow.Phase]int{flow.Completed: 1}, c.jobsByPhase())
}
