package placer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/cluster"
	"briarproxy/core/flow"
)

// submitBeyondRate submits a job that its workspace sends beyond its rate of one job a second.
func (c *fakeCell) submitBeyondRate(pool, id string, step flow.Step) {
	submit := func(id string, step flow.Step) {
		require.NoError(c.t, c.append(flow.Record{Submit: &flow.Submit{ID: id, Queue: "q", Pool: pool, Workspace: "ws0", Rate: 1, Config: 1, Spec: id, Steps: []flow.Step{step}, MaxAttempts: 3, AtMS: c.wallMS()}}))
	}
	submit("within the rate", batchStep(1))
	submit(id, step)
	require.True(c.t, c.state.Jobs[id].BeyondRate)
}

// Guards against work beyond the rate that waits beside an idle pool because another pool is in use.
func TestRoomToLendIsThatOfThePool(t *testing.T) {
	c := newFakeCell(t, 8, workerCapacity)
	c.config.Workspaces = []cluster.Workspace{{Name: "ws0", Weight: 1}, {Name: "ws1", Weight: 100}}
	for i := range 2 {
		c.workers[fmt.Sprintf("w%02d", i)].Pool = "small"
	}
	c.takeOver()
	c.advance(200 * time.Millisecond)
	c.runTime = func(cluster.Start) time.Duration { return time.Hour }
	c.submitFrom("ws1", "usual", batchStep(int(6*workerCapacity.MilliCores/4000)))
	c.advance(500 * time.Millisecond)
	c.submitBeyondRate("small", "beyond", batchStep(1))
	c.advance(2 * time.Second)
	require.Equal(t, 1, c.state.Jobs["beyond"].ActiveRuns)
}

// Guards against a task that lasts and waits for as long as its pool is busy, because its job was submitted
// beyond the rate of its workspace: there may never be a time with less work.
func TestTaskThatLastsStartsBeyondTheRate(t *testing.T) {
	c := cellWithWorkspaces(t, 8, 0, 0)
	c.runTime = func(cluster.Start) time.Duration { return time.Hour }
	c.submitFrom("ws1", "usual", batchStep(int(6*workerCapacity.MilliCores/4000)))
	c.advance(500 * time.Millisecond)
	lasting := batchStep(1)
	lasting.LongRunning = true
	c.submitBeyondRate("p", "lasting", lasting)
	c.advance(2 * time.Second)
	require.Equal(t, 1, c.state.Jobs["lasting"].ActiveRuns)
}

// Guards against work beyond the rate that waits in a pool whose cores are idle because its memory is in use.
func TestWorkBeyondTheRateStartsBesideIdleCores(t *testing.T) {
	c := cellWithWorkspaces(t, 8, 0, 0)
	c.runTime = func(cluster.Start) time.Duration { return time.Hour }
	usual := batchStep(8)
	usual.Size.MilliCores, usual.Size.MemoryMiB = 1, workerCapacity.MemoryMiB*7/10
	c.submitFrom("ws1", "usual", usual)
	c.advance(500 * time.Millisecond)
	c.submitBeyondRate("p", "beyond", batchStep(1))
	c.advance(2 * time.Second)
	require.Equal(t, 1, c.state.Jobs["beyond"].ActiveRuns)
}
