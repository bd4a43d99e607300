package placer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/cluster"
	"briarproxy/core/flow"
	"briarproxy/core/resource"
)

// servingCell returns a cell in which the tail latency of serving tasks rises with the pace of
// the backfill tasks on the same worker.
func servingCell(t *testing.T, workers int) *fakeCell {
	c := newFakeCell(t, workers, workerCapacity)
	c.runTime = func(cluster.Start) time.Duration { return time.Hour }
	c.reportedLoad = func(w *fakeWorker, r *fakeRun) int {
		if c.state.Jobs[r.start.Job].Steps[0].Backfill {
			return 0
		}
		tail := 20
		for _, other := range w.runs {
			if c.state.Jobs[other.start.Job].Steps[0].Backfill {
				tail += other.pacePercent
			}
		}
		return tail
	}
	c.takeOver()
	c.advance(200 * time.Millisecond)
	return c
}

func servingStep(n int) flow.Step {
	return flow.Step{Count: n, Size: resource.Vector{MilliCores: 4000, MemoryMiB: 4096}, LongRunning: true, TailTargetMS: 100}
}

func backfillStep(n int) flow.Step {
	return flow.Step{Count: n, Size: resource.Vector{MilliCores: 8000, MemoryMiB: 1024}, Backfill: true, EstimateMS: 3600_000}
}

// Guards against backfill tasks on the workers of serving tasks while other workers are idle,
// and against backfill tasks that occupy cores which other tasks could use.
func TestBackfillTasksAvoidServingTasks(t *testing.T) {
	c := servingCell(t, 3)
	c.submit("serve", servingStep(1))
	c.advance(300 * time.Millisecond)
	c.submit("fill", backfillStep(2))
	c.advance(300 * time.Millisecond)
	for id, w := range c.workers {
		kinds := map[string]int{}
		for task := range w.runs {
			kinds[task.Job]++
		}
		require.False(t, kinds["serve"] > 0 && kinds["fill"] > 0, "worker %s has %v", id, kinds)
	}
	c.submit("work", flow.Step{Count: 11, Size: resource.Vector{MilliCores: 4000, MemoryMiB: 1024}, EstimateMS: 1000})
	c.advance(300 * time.Millisecond)
	require.Equal(t, 14, c.starts, "backfill tasks occupy no cores")
}

// Guards against serving tasks that stay above their latency target because backfill tasks are
// not throttled, and against backfill tasks that stay throttled for ever.
func TestBackfillTasksArePaced(t *testing.T) {
	c := servingCell(t, 1)
	c.submit("fill", backfillStep(1))
	c.advance(300 * time.Millisecond)
	c.submit("serve", servingStep(1))
	c.advance(4 * time.Second)
	w := c.workers["w00"]
	require.Len(t, w.runs, 2)
	fill := w.runs[cluster.TaskID{Job: "fill"}]
	require.Less(t, fill.pacePercent+20, 100)
	c.takeOver()
	c.advance(4 * time.Second)
	require.Less(t, fill.pacePercent+20, 100)
	require.NoError(t, c.append(flow.Record{Cancel: &flow.Cancel{ID: "serve"}}))
	c.advance(20 * time.Second)
	require.Equal(t, 100, fill.pacePercent)
}

// Guards against backfill tasks that crowd one worker while others have idle cores, because a plan counts
// only the tasks that were there before it, and against tasks that wait when no more cores are idle.
func TestBackfillTasksOfOneStepSpreadOverIdleCores(t *testing.T) {
	for name, gang := range map[string]bool{"single tasks": false, "gang": true} {
		t.Run(name, func(t *testing.T) {
			c := servingCell(t, 4)
			fill := backfillStep(8)
			fill.Gang = gang
			c.submit("fill", fill)
			c.advance(300 * time.Millisecond)
			for id, w := range c.workers {
				require.Len(t, w.runs, 2, "worker %s has idle cores for two tasks", id)
			}
		})
	}
	c := servingCell(t, 2)
	c.submit("fill", backfillStep(6))
	c.advance(300 * time.Millisecond)
	require.Equal(t, 6, c.starts, "tasks beyond the idle cores start as well")
}
