package placer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/cluster"
	"briarproxy/core/flow"
	"briarproxy/core/resource"
)

// cellWithOccupiedWorkers returns a cell of four workers, of which the two with label b each run a
// task of the given step that leaves too little room for a member of waitingGang.
func cellWithOccupiedWorkers(t *testing.T, occupant flow.Step) *fakeCell {
	c := newFakeCell(t, 4, workerCapacity)
	for _, id := range []string{"w02", "w03"} {
		c.workers[id].Labels = []string{"b", "r0"}
	}
	c.runTime = func(s cluster.Start) time.Duration {
		if s.Job == "occupant" {
			return time.Hour
		}
		return 800 * time.Millisecond
	}
	c.takeOver()
	c.advance(200 * time.Millisecond)
	occupant.Count, occupant.Size, occupant.Label = 2, resource.Vector{MilliCores: 10_000, MemoryMiB: 4096}, "b"
	c.submit("occupant", occupant)
	c.advance(500 * time.Millisecond)
	require.Equal(t, 2, c.starts)
	return c
}

// waitingGang returns a gang that does not fit beside the occupants.
func waitingGang() flow.Step {
	return flow.Step{Count: 2, Size: resource.Vector{MilliCores: 12_000, MemoryMiB: 4096}, EstimateMS: 800, Label: "b", Gang: true}
}

// requireSmallJobRuns fails the test unless a job that fits beside the occupants runs within a second.
func (c *fakeCell) requireSmallJobRuns() {
	small := flow.Step{Count: 2, Size: resource.Vector{MilliCores: 1000, MemoryMiB: 1024}, EstimateMS: 800, Label: "b"}
	c.submit("small", small)
	c.advance(2 * time.Second)
	require.Equal(c.t, flow.Completed, c.state.Jobs["small"].Phase, "the workers have room and are held for a gang that can't start")
}

// Guards against a gang that holds the workers of long-running tasks against all other work, for
// ends that never come.
func TestGangDoesNotHoldWorkersOfLongRunningTasks(t *testing.T) {
	cases := map[string]struct {
		estimateMS int64
		disturb    func(c *fakeCell)
	}{
		"after a takeover":                  {disturb: func(c *fakeCell) { c.takeOver() }},
		"with an estimate":                  {estimateMS: 600},
		"with an estimate after a takeover": {estimateMS: 600, disturb: func(c *fakeCell) { c.takeOver() }},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := cellWithOccupiedWorkers(t, flow.Step{LongRunning: true, EstimateMS: test.estimateMS})
			if test.disturb != nil {
				test.disturb(c)
			}
			c.advance(8 * time.Second)
			c.submit("gang", waitingGang())
			c.advance(2 * time.Second)
			c.requireSmallJobRuns()
		})
	}
}

// Guards against a gang that holds the workers of tasks that run far longer than estimated, and so
// keeps all other work off them for as long as these tasks run.
func TestGangDoesNotHoldWorkersOfOverdueTasks(t *testing.T) {
	c := cellWithOccupiedWorkers(t, flow.Step{EstimateMS: 600})
	c.advance(8 * time.Second)
	c.submit("gang", waitingGang())
	c.advance(2 * time.Second)
	c.requireSmallJobRuns()
}

// Guards against workers that stay held for a gang whose job was cancelled.
func TestCancelledGangReleasesItsHold(t *testing.T) {
	c := cellWithOccupiedWorkers(t, flow.Step{EstimateMS: 20_000})
	c.submit("gang", waitingGang())
	c.advance(2 * time.Second)
	require.NoError(t, c.append(flow.Record{Cancel: &flow.Cancel{ID: "gang", AtMS: c.wallMS()}}))
	long := flow.Step{Count: 2, Size: resource.Vector{MilliCores: 1000, MemoryMiB: 1024}, EstimateMS: 30_000, Label: "b"}
	c.submit("long", long)
	c.advance(time.Second)
	require.NotEqual(t, flow.Queued, c.state.Jobs["long"].Phase, "the workers have room and are held for a cancelled gang")
}

// Guards against workers that stay held for a gang that can't use them any more.
func TestGangThatCannotStartReleasesItsHold(t *testing.T) {
	c := cellWithOccupiedWorkers(t, flow.Step{EstimateMS: 20_000})
	c.submit("gang", waitingGang())
	c.advance(2 * time.Second)
	c.workers["w03"].Draining = true // the only other worker with the label
	c.publishRegistry()
	long := flow.Step{Count: 2, Size: resource.Vector{MilliCores: 1000, MemoryMiB: 1024}, EstimateMS: 30_000, Label: "b"}
	c.submit("long", long)
	c.advance(time.Second)
	require.NotEqual(t, flow.Queued, c.state.Jobs["long"].Phase, "the worker has room and is held for a gang that does not fit any more")
}

// Guards against a gang with a limit of tasks per worker that waits for as long as other work does,
// because too few workers are held for it: one that has room for all members takes only some of them.
func TestHoldForGangWithLimitPerWorkerCoversAllMembers(t *testing.T) {
	c := readyCell(t, 4)
	c.runTime = func(s cluster.Start) time.Duration { return time.Duration(600+s.Index*97%500) * time.Millisecond } // the workers are never all idle
	c.submit("backlog", flow.Step{Count: 1000, Size: resource.Vector{MilliCores: 1000, MemoryMiB: 1024}, EstimateMS: 800})
	c.advance(300 * time.Millisecond)
	gang := flow.Step{Count: 2, Size: resource.Vector{MilliCores: 8000, MemoryMiB: 1024}, EstimateMS: 800, Gang: true, MaxPerWorker: 1}
	c.submit("gang", gang)
	c.advance(5 * time.Second)
	require.Equal(t, flow.Completed, c.state.Jobs["gang"].Phase)
	require.NotEqual(t, flow.Completed, c.state.Jobs["backlog"].Phase, "the gang must not have to wait for the backlog")
}
