package placer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/cluster"
	"briarproxy/core/flow"
	"briarproxy/core/resource"
)

// comeBack starts a crashed worker again, under its id or as another worker at its address.
func (c *fakeCell) comeBack(w *fakeWorker, newID bool) {
	if !newID {
		c.restart(w)
		w.up = true
		c.publishRegistry()
		return
	}
	w.inRegistry = false
	next := &fakeWorker{Worker: w.Worker, up: true, inRegistry: true, startedAt: c.now, runs: map[cluster.TaskID]*fakeRun{}, highestRun: map[cluster.TaskID]int{}}
	next.Life = cluster.Life{Worker: fmt.Sprintf("n%03d", len(c.workers)), Born: max(w.Born+1, c.wallMS())}
	c.workers[next.Life.Worker] = next
	c.publishRegistry()
}

// crashWorkersOf makes each worker that starts a task of the job crash after the given delay. It is back after the
// time down. The result counts the crashes.
func (c *fakeCell) crashWorkersOf(job string, delay, down time.Duration, newID bool) (crashes *int) {
	crashes = new(int)
	runTime := c.runTime
	c.runTime = func(s cluster.Start) time.Duration {
		if s.Job != job {
			return runTime(s)
		}
		c.after(delay, func() {
			for _, w := range c.workers {
				if w.runs[s.TaskID] == nil {
					continue
				}
				*crashes++
				w.up, w.runs = false, map[cluster.TaskID]*fakeRun{}
				c.after(down, func() { c.comeBack(w, newID) })
			}
		})
		return time.Hour
	}
	return crashes
}

// Guards against a task that crashes one worker after another, and takes the work of others with it,
// without end (BUDGET), and against giving up the tasks beside it.
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	for _, test := range []struct {
		name     string
		down     time.Duration
		newID    bool
		answered bool
		crashes  int // of workers, at most; the rule is broken at the sixth
		step     flow.Step
	}{
		{"back within the lease", 2 * time.Second, false, true, 3, batchStep(1)},
		{"back after the lease", 9 * time.Second, false, true, 3, batchStep(1)},
		{"back within the lease, the start is not answered", 2 * time.Second, false, false, 3, batchStep(1)},
		{"back after the lease, the start is not answered", 9 * time.Second, false, false, 5, batchStep(1)},
		{"another worker at the address within the lease", 2 * time.Second, true, true, 3, batchStep(1)},
		{"another worker at the address after the lease", 9 * time.Second, true, true, 3, batchStep(1)},
		{"another worker at the address, the start is not answered", 9 * time.Second, true, false, 5, batchStep(1)},
		{"long-running", 2 * time.Second, false, true, 3, flow.Step{Count: 1, Size: batchStep(1).Size, LongRunning: true}},
		{"gang", 2 * time.Second, false, true, 3, flow.Step{Count: 3, Size: batchStep(1).Size, EstimateMS: 800, Gang: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := readyCell(t, 8)
			crashes := c.crashWorkersOf("deadly", 0, test.down, test.newID)
			c.commandFault = func(command Command) (bool, time.Duration) {
				return !test.answered && command.Start != nil && command.Start.Order.Job == "deadly", 0
			}
			c.submit("beside", flow.Step{Count: 16, Size: resource.Vector{MilliCores: 1000, MemoryMiB: 1024}, EstimateMS: 8000})
			c.advance(time.Second)
			c.submit("deadly", test.step)
			jobs := 0
			for range 160 {
				c.submit(fmt.Sprint("j", jobs), batchStep(2))
				jobs++
				c.advance(500 * time.Millisecond)
			}
			c.advance(40 * time.Second)
			require.Equal(t, flow.Failed, c.state.Jobs["deadly"].Phase)
			require.LessOrEqual(t, *crashes, test.crashes*test.step.Count, "crashes of workers")
			require.Equal(t, map[flow.Phase]int{flow.Failed: 1, flow.Completed: jobs + 1}, c.jobsByPhase())
		})
	}
}

// Guards against a task that crashes one worker after another without end (BUDGET), because its placer was replaced
// before the crashes were known.
func TestCrashesAreCountedAcrossTakeovers(t *testing.T) {
	for _, newID := range []bool{false, true} {
		t.Run(fmt.Sprint("another worker at the address: ", newID), func(t *testing.T) {
			c := readyCell(t, 8)
			crashes := c.crashWorkersOf("deadly", 0, 9*time.Second, newID)
			c.submit("deadly", batchStep(1))
			c.advance(testOptions.Lease + time.Second)
			c.takeOver() // the first lost start is recorded and its worker is not back
			c.retireFormerPlacers()
			c.advance(60 * time.Second)
			require.Equal(t, flow.Failed, c.state.Jobs["deadly"].Phase)
			require.LessOrEqual(t, *crashes, 5, "crashes of workers")
		})
	}
}

// Guards against a task that crashes one worker after another without end (BUDGET), because each of them has listed the
// run before it crashed.
func TestCrashSoonAfterTheRunWasListedCounts(t *testing.T) {
	c := readyCell(t, 8)
	crashes := c.crashWorkersOf("deadly", 80*time.Millisecond, 3*time.Second, true)
	runTime := c.runTime
	c.runTime = func(s cluster.Start) time.Duration {
		c.after(20*time.Millisecond, func() {
			if r := c.placer.runs[s.TaskID]; r != nil {
				r.vm.nextPollAt = c.now
			}
		})
		return runTime(s)
	}
	c.submit("deadly", batchStep(1))
	c.advance(60 * time.Second)
	require.Equal(t, flow.Failed, c.state.Jobs["deadly"].Phase)
	require.LessOrEqual(t, *crashes, 5, "crashes of workers")
}

// Guards against a task that crashes one worker after another without end (BUDGET), because each placer that started it
// is replaced before the worker's leases have expired.
func TestCrashesUnderAdoptedRunsCount(t *testing.T) {
	for _, newID := range []bool{false, true} {
		t.Run(fmt.Sprint("another worker at the address: ", newID), func(t *testing.T) {
			c := readyCell(t, 8)
			crashes := c.crashWorkersOf("deadly", 0, 3*time.Second, newID)
			c.submit("deadly", batchStep(1))
			for range 8 {
				started := *crashes
				for range 4000 {
					if *crashes > started {
						break
					}
					c.advance(5 * time.Millisecond)
				}
				c.advance(time.Second)
				c.takeOver()
				c.retireFormerPlacers()
			}
			c.advance(30 * time.Second)
			require.Equal(t, flow.Failed, c.state.Jobs["deadly"].Phase)
			require.LessOrEqual(t, *crashes, 5, "crashes of workers")
		})
	}
}

// Guards against giving up a task whose workers crash while it runs, long after they have started it.
func TestTaskOnCrashingWorkersIsNotGivenUp(t *testing.T) {
	c := readyCell(t, 8)
	c.runTime = func(cluster.Start) time.Duration { return 10 * time.Second }
	c.submit("j", batchStep(1))
	for range 5 {
		c.advance(3 * time.Second)
		w := c.busyWorker()
		w.up, w.runs = false, map[cluster.TaskID]*fakeRun{}
		c.advance(2 * time.Second)
		c.restart(w)
		w.up = true
		c.publishRegistry()
		c.advance(3 * time.Second)
	}
	c.advance(20 * time.Second)
	require.Equal(t, flow.Completed, c.state.Jobs["j"].Phase)
}

// Guards against a start on a worker whose capacity has shrunk below what it runs (LIMIT), and
// against one that stays unused after its capacity has grown again.
func TestShrunkCapacityIsNotExceeded(t *testing.T) {
	c := readyCell(t, 1)
	c.runTime = func(cluster.Start) time.Duration { return 3 * time.Second }
	c.submit("first", batchStep(2))
	c.advance(500 * time.Millisecond)
	w := c.workers["w00"]
	w.Capacity = resource.Vector{MilliCores: 9000, MemoryMiB: 32768}
	c.publishRegistry()
	c.submit("second", batchStep(2)) // the fake workers fail the test when their capacity is exceeded
	c.advance(10 * time.Second)
	require.Equal(t, map[flow.Phase]int{flow.Completed: 2}, c.jobsByPhase())
	w.Capacity = workerCapacity
	c.publishRegistry()
	c.submit("third", batchStep(4))
	c.advance(4 * time.Second)
	require.Equal(t, map[flow.Phase]int{flow.Completed: 3}, c.jobsByPhase())
}

// Guards against giving up a task that was started on one cut off worker after another, as idle workers
// are polled rarely.
func TestTaskIsNotGivenUpWhileWorkersAreCutOff(t *testing.T) {
	c := readyCell(t, 6)
	c.advance(2 * time.Second)
	for _, id := range []string{"w00", "w01", "w02", "w03"} {
		c.workers[id].partitioned = true
	}
	c.submit("j", batchStep(1))
	c.advance(40 * time.Second)
	require.Equal(t, flow.Completed, c.state.Jobs["j"].Phase)
}

// Guards against a task that crashes one worker after another without end (BUDGET), because its placer is replaced soon after a
// start and the worker is back only after its leases have expired.
func TestLateCrashesUnderAdoptedRunsCount(t *testing.T) {
	for _, newID := range []bool{false, true} {
		t.Run(fmt.Sprint("another worker at the address: ", newID), func(t *testing.T) {
			c := readyCell(t, 12)
			crashes := c.crashWorkersOf("deadly", 0, 9*time.Second, newID)
			c.submit("deadly", batchStep(1))
			for n := range 3 {
				c.advanceUntil(func() bool { return *crashes > n })
				c.advance(time.Second)
				c.takeOver()
				c.retireFormerPlacers()
			}
			c.advance(90 * time.Second)
			require.Equal(t, flow.Failed, c.state.Jobs["deadly"].Phase)
			require.LessOrEqual(t, *crashes, 5, "crashes of workers")
		})
	}
}

// Guards against other starts on a worker to which the start of a run on trial is on its way, and so against innocent tasks that
// count as beside the cause of a crash.
func TestWorkerOfATrialStartsNothingElseUntilTheStartIsAnswered(t *testing.T) {
	c := readyCell(t, 1)
	c.answerDelay = 100 * time.Millisecond
	c.runTime = func(cluster.Start) time.Duration { return time.Hour }
	c.submit("j", batchStep(1))
	c.placer.steps[cluster.StepID{Job: "j"}].onTrial = true
	c.advance(50 * time.Millisecond)
	require.True(t, c.placer.runs[cluster.TaskID{Job: "j"}].onTrial)
	c.submit("beside", batchStep(1))
	c.advance(200 * time.Millisecond)
	require.Nil(t, c.placer.runs[cluster.TaskID{Job: "beside"}])
	c.advance(2 * time.Second)
	require.NotNil(t, c.placer.runs[cluster.TaskID{Job: "beside"}])
}

// Guards against planning passes in a large cell that take seconds because steps are on trial, as after a cut of many workers.
func TestPlanningStepsOnTrialInALargeCellIsNotSlow(t *testing.T) {
	plan := func(onTrial bool) time.Duration {
		c := newFakeCell(t, 6000, resource.Vector{MilliCores: 64000, MemoryMiB: 262144})
		c.takeOver()
		c.advance(50 * time.Millisecond)
		for n := range 100 {
			c.submit(fmt.Sprint("j", n), batchStep(8))
		}
		for _, step := range c.placer.steps {
			step.onTrial = onTrial
		}
		c.placer.startWindow.limit = 1000
		began := time.Now()
		c.placer.plan(nil, c.now, c.wallMS())
		took := time.Since(began)
		require.Len(t, c.placer.runs, 800)
		return took
	}
	usual := max(plan(false), 5*time.Millisecond)
	require.Less(t, plan(true), 20*usual)
}
