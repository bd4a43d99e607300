package placer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/cluster"
	"briarproxy/core/flow"
	"briarproxy/core/resource"
)

// servingCell has serving tasks whose response times rise with the filling work beside them.
func servingCell(t *testing.T, workers int) *fakeCell {
	c := newFakeCell(t, workers, workerCapacity)
	c.runTime = func(cluster.Start) time.Duration { return time.Hour }
	c.load = func(w *fakeWorker, r *fakeRun) int {
		if c.state.Jobs[r.start.Job].Steps[0].Backfill {
			return 0
		}
		tail := 20
		for _, other := range w.runs {
			if c.state.Jobs[other.start.Job].Steps[0].Backfill {
				tail += other.pace
			}
		}
		return tail
	}
	c.takeOver()
	c.advance(200 * time.Millisecond)
	return c
}

func serving(n int) flow.Step {
	return flow.Step{Count: n, Size: resource.Vector{MilliCores: 4000, MemoryMiB: 4096}, LongRunning: true, TailTargetMS: 100}
}

func filling(n int) flow.Step {
	return flow.Step{Count: n, Size: resource.Vector{MilliCores: 8000, MemoryMiB: 1024}, Backfill: true, EstimateMS: 3600_000}
}

// Guards against filling tasks beside serving ones while other workers are idle, and
// against the cores of filling tasks being kept from others.
func TestFillingTasksAvoidServingOnes(t *testing.T) {
	c := servingCell(t, 3)
	c.submit("serve", serving(1))
	c.advance(300 * time.Millisecond)
	c.submit("fill", filling(2))
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
	require.Equal(t, 14, c.starts, "filling tasks hold no cores")
}

// Guards against a serving task that stays over its target because of filling tasks that
// nobody slows down, and against filling tasks that stand still for ever.
func TestFillingTasksArePaced(t *testing.T) {
	c := servingCell(t, 1)
	c.submit("fill", filling(1))
	c.advance(300 * time.Millisecond)
	c.submit("serve", serving(1))
	c.advance(4 * time.Second)
	w := c.workers["w00"]
	require.Len(t, w.runs, 2)
	fill := w.runs[cluster.TaskID{Job: "fill"}]
	require.Less(t, fill.pace+20, 100)
	c.takeOver()
	c.advance(4 * time.Second)
	require.Less(t, fill.pace+20, 100)
	require.NoError(t, c.append(flow.Record{Cancel: &flow.Cancel{ID: "serve"}}))
	c.advance(20 * time.Second)
	require.Equal(t, 100, fill.pace)
}
