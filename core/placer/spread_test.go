package placer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/cluster"
	"briarproxy/core/flow"
)

// crashGangMember crashes the worker of one member of a gang, which breaks the runs of the others. The
// worker is back after the given time.
func (c *fakeCell) crashGangMember(member cluster.TaskID, down time.Duration) {
	for _, w := range c.workers {
		for id := range w.runs {
			switch {
			case id == member:
				w.up, w.runs = false, map[cluster.TaskID]*fakeRun{}
				c.after(down, func() { c.restart(w); w.up = true; c.publishRegistry() })
			case id.StepID() == member.StepID():
				w.end(id, cluster.GangBroken)
			}
		}
	}
}

// Guards against a gang with a limit of tasks per worker that is never placed, because one plan puts
// more of its members on a worker than the limit allows and is refused as a whole.
func TestGangWithLimitPerWorkerIsPlacedInIdleCell(t *testing.T) {
	for name, limit := range map[string]int{"one task per worker": 1, "two tasks per worker": 2} {
		t.Run(name, func(t *testing.T) {
			c := readyCell(t, 4)
			gang := batchStep(4)
			gang.Gang, gang.MaxPerWorker = true, limit
			c.submit("gang", gang)
			c.advance(400 * time.Millisecond)
			require.Equal(t, 4, c.starts, "all workers are idle")
			c.advance(2 * time.Second)
			require.Equal(t, flow.Completed, c.state.Jobs["gang"].Phase)
		})
	}
}

// Guards against a step whose tasks belong in one rack and which is never placed there, because one
// plan puts more of them on a worker than its limit per worker allows.
func TestStepForOneRackWithLimitPerWorkerIsPlacedInOneRack(t *testing.T) {
	c := readyCell(t, 16)
	step := batchStep(8)
	step.SameRack, step.MaxPerWorker = true, 1
	c.submit("job", step)
	c.advance(400 * time.Millisecond)
	racks := map[string]int{}
	for _, w := range c.workers {
		racks[w.Rack] += len(w.runs)
	}
	require.Contains(t, []int{racks["r0"], racks["r1"]}, 8, "one rack has an idle worker for each task")
}

// Guards against a gang with a limit of tasks per worker that is not placed again after one of its
// workers was lost.
func TestGangWithLimitPerWorkerIsPlacedAgainAfterCrash(t *testing.T) {
	c := readyCell(t, 8)
	c.runTime = func(cluster.Start) time.Duration { return 3 * time.Second }
	blocks := batchStep(8)
	blocks.Size.MilliCores, blocks.MaxPerWorker = 10_000, 1 // leaves room for one member on each worker
	c.submit("blocks", blocks)
	c.advance(400 * time.Millisecond)
	gang := batchStep(3)
	gang.Gang, gang.MaxPerWorker = true, 1
	c.submit("gang", gang)
	c.advance(400 * time.Millisecond)
	require.Equal(t, 11, c.starts)
	c.advance(time.Second)
	c.crashGangMember(cluster.TaskID{Job: "gang"}, 4500*time.Millisecond)
	c.advance(15 * time.Second)
	require.Equal(t, flow.Completed, c.state.Jobs["gang"].Phase)
}

// Guards against a step with a limit of tasks per worker that waits without end after a crash of one of
// its workers, for workers that start nothing else: those found have room for its tasks, but may not
// take as many.
func TestStepOnTrialDoesNotWaitForWorkersBeyondItsLimit(t *testing.T) {
	c := readyCell(t, 4)
	c.submit("beside", flow.Step{Count: 3, Size: batchStep(1).Size, EstimateMS: 800, MaxPerWorker: 1})
	for len(c.placer.runs) < 3 {
		c.advance(5 * time.Millisecond)
	}
	gang := flow.Step{Count: 2, Size: batchStep(1).Size, EstimateMS: 800, Gang: true, MaxPerWorker: 1}
	step := &pendingStep{id: cluster.StepID{Job: "gang"}, def: &gang, onTrial: true, crashedAt: c.now}
	require.Len(t, c.placer.workersForTrial(step, 2, nil, c.now), 1, "three workers start a run")
	later := c.now + maxTrialWait + time.Millisecond
	require.Nil(t, c.placer.workersForTrial(step, 2, nil, later), "one worker can't take both members: any may")
	gang.MaxPerWorker = 2
	require.Len(t, c.placer.workersForTrial(step, 2, nil, later), 1)
}

// Guards against a step with a label that waits without end after a crash of one of its workers, for
// workers that start nothing else: those found lack the label.
func TestStepOnTrialDoesNotWaitForWorkersWithoutItsLabel(t *testing.T) {
	c := readyCell(t, 4)
	c.workers["w03"].Labels = []string{"b"}
	c.publishRegistry()
	c.submit("beside", flow.Step{Count: 1, Size: batchStep(1).Size, EstimateMS: 800, Label: "b"})
	for len(c.placer.runs) < 1 {
		c.advance(5 * time.Millisecond)
	}
	def := flow.Step{Count: 1, Size: batchStep(1).Size, EstimateMS: 800, Label: "b"}
	step := &pendingStep{id: cluster.StepID{Job: "job"}, def: &def, onTrial: true, crashedAt: c.now}
	require.Len(t, c.placer.workersForTrial(step, 1, nil, c.now), 3, "the worker with the label starts a run")
	later := c.now + maxTrialWait + time.Millisecond
	require.Nil(t, c.placer.workersForTrial(step, 1, nil, later), "any worker may")
}
