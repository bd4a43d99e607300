package placer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/cluster"
	"briarproxy/core/flow"
)

// failsTwice makes the first two runs of each task fail.
func (c *fakeCell) failsTwice() {
	c.runTime = func(cluster.Start) time.Duration { return 500 * time.Millisecond }
	c.outcome = func(s cluster.Start) cluster.EndReason {
		if s.Run <= 2 {
			return cluster.Failed
		}
		return cluster.Done
	}
}

// Guards against a task that is never started again because it has failed on all workers that it may use, in a cell that has
// many others.
func TestTaskThatHasFailedOnAllItsWorkersStartsAgain(t *testing.T) {
	for name, limit := range map[string]func(w *fakeWorker, step *flow.Step){
		"pool":  func(w *fakeWorker, _ *flow.Step) { w.Pool = "other" },
		"label": func(w *fakeWorker, step *flow.Step) { w.Labels, step.Label = []string{"b"}, "a" },
		"size":  func(w *fakeWorker, _ *flow.Step) { w.Capacity.MemoryMiB = 1024 },
	} {
		t.Run(name, func(t *testing.T) {
			c := newFakeCell(t, 8, workerCapacity)
			step := batchStep(1)
			for i := 2; i < 8; i++ {
				limit(c.workers[fmt.Sprintf("w%02d", i)], &step)
			}
			c.takeOver()
			c.advance(200 * time.Millisecond)
			c.failsTwice()
			c.submit("j", step)
			c.advance(10 * time.Second)
			require.Equal(t, flow.Completed, c.state.Jobs["j"].Phase)
			require.Equal(t, 3, c.starts)
		})
	}
}

// Guards against a task that is never started again because the workers on which it has not failed have as many tasks of its
// step as they may.
func TestTaskThatHasFailedWhereItsStepHasRoomStartsAgain(t *testing.T) {
	c := readyCell(t, 6)
	c.runTime = func(s cluster.Start) time.Duration {
		if s.Index == 0 && s.Run <= 2 {
			return 500 * time.Millisecond
		}
		return time.Hour
	}
	c.outcome = func(cluster.Start) cluster.EndReason { return cluster.Failed }
	c.submit("j", flow.Step{Count: 5, Size: batchStep(1).Size, LongRunning: true, MaxPerWorker: 1})
	c.advance(10 * time.Second)
	require.Equal(t, 7, c.starts)
	require.True(t, c.state.Task(cluster.TaskID{Job: "j"}).Active)
}

// Guards against a lasting task that waits for as long as the workers are full on which it has not failed.
func TestLastingTaskThatHasFailedStartsAgainWhereThereIsRoom(t *testing.T) {
	c := readyCell(t, 2)
	full := c.workers["w00"]
	c.runTime = func(s cluster.Start) time.Duration {
		if s.Job == "j" && s.Run == 1 {
			return 500 * time.Millisecond
		}
		return time.Hour
	}
	c.outcome = func(cluster.Start) cluster.EndReason { return cluster.Failed }
	c.workers["w01"].inRegistry = false
	c.publishRegistry()
	c.advance(6 * time.Second)
	c.submit("beside", flow.Step{Count: 4, Size: batchStep(1).Size, LongRunning: true})
	c.advance(time.Second)
	require.Len(t, full.runs, 4)
	c.workers["w01"].inRegistry = true
	c.publishRegistry()
	c.advance(time.Second)
	c.submit("j", flow.Step{Count: 1, Size: batchStep(1).Size, LongRunning: true})
	for range 60 {
		c.advance(100 * time.Millisecond)
		c.publishRegistry()
	}
	require.True(t, c.state.Task(cluster.TaskID{Job: "j"}).Active)
}

// Guards against a gang that is never started again because its members have failed on workers without which it has no room.
func TestGangThatHasFailedOnWorkersThatItNeedsStartsAgain(t *testing.T) {
	c := readyCell(t, 8)
	c.runTime = func(s cluster.Start) time.Duration { return time.Duration(300+200*(s.Index/3)) * time.Millisecond }
	c.outcome = func(s cluster.Start) cluster.EndReason {
		if s.Run == 1 && s.Index < 3 {
			return cluster.Failed
		}
		return cluster.Done
	}
	c.submit("j", flow.Step{Count: 6, Size: workerCapacity, EstimateMS: 800, Gang: true})
	c.advance(10 * time.Second)
	require.Equal(t, flow.Completed, c.state.Jobs["j"].Phase)
}

// Guards against a task that uses up its attempts on the one worker that fails everything.
func TestTaskThatHasFailedKeepsOffItsWorker(t *testing.T) {
	c := readyCell(t, 4)
	c.outcome = func(s cluster.Start) cluster.EndReason {
		if c.workers["w00"].runs[s.TaskID] == nil {
			return cluster.Done
		}
		return cluster.Failed
	}
	jobs := 0
	for range 120 {
		c.submit(fmt.Sprint("j", jobs), batchStep(3))
		jobs++
		c.advance(500 * time.Millisecond)
		c.publishRegistry()
	}
	c.advance(30 * time.Second)
	require.Equal(t, map[flow.Phase]int{flow.Completed: jobs}, c.jobsByPhase())
}
