package placer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"briarproxy/core/cluster"
	"briarproxy/core/flow"
	"briarproxy/core/resource"
)

var workerCapacity = resource.Vector{MilliCores: 16000, MemoryMiB: 32768}

func batchStep(n int) flow.Step {
	return flow.Step{Count: n, Size: resource.Vector{MilliCores: 4000, MemoryMiB: 4096}, EstimateMS: 800}
}

// readyCell returns a fake cell whose placer has polled its workers.
func readyCell(t testing.TB, workers int) *fakeCell {
	c := newFakeCell(t, workers, workerCapacity)
	c.takeOver()
	c.advance(200 * time.Millisecond)
	return c
}

// busyWorker returns a worker that has runs.
func (c *fakeCell) busyWorker() *fakeWorker {
	for i := range len(c.workers) {
		if w := c.workers[fmt.Sprintf("w%02d", i)]; len(w.runs) > 0 {
			return w
		}
	}
	c.t.Fatal("no worker has a run")
	return nil
}

// Guards against steps that start too early, tasks that run twice and workers that are
// overcommitted, without any faults.
func TestStepsRunInOrder(t *testing.T) {
	c := readyCell(t, 3)
	for i := range 20 {
		second, third := batchStep(2), batchStep(3)
		second.DependsOn, third.DependsOn = []int{0}, []int{1}
		third.Gang = true
		c.submit(fmt.Sprint("j", i), batchStep(4), second, third)
	}
	c.advance(40 * time.Second)
	require.Equal(t, map[flow.Phase]int{flow.Completed: 20}, c.jobsByPhase())
	require.Equal(t, 20*9, c.starts)
	require.Empty(t, c.placer.runs)
}

// Guards against tasks that are never started again after their worker is lost for good: every
// unanswered poll used to extend the lease.
func TestTasksOfALostWorkerStartElsewhere(t *testing.T) {
	c := readyCell(t, 3)
	c.runTime = func(cluster.Start) time.Duration { return 3 * time.Second }
	c.submit("j", batchStep(6))
	c.advance(500 * time.Millisecond)
	lost := c.busyWorker()
	lost.partitioned, lost.inRegistry = true, false
	runCount := len(lost.runs)
	require.Positive(t, runCount)
	c.publishRegistry()
	c.advance(6*time.Second + 3*time.Second + time.Second)
	require.Equal(t, map[flow.Phase]int{flow.Completed: 1}, c.jobsByPhase())
}

// Guards against a task that is started elsewhere while its unreachable worker may still run it.
func TestTasksOfAPartitionedWorkerWaitForItsLease(t *testing.T) {
	c := readyCell(t, 3)
	c.runTime = func(cluster.Start) time.Duration { return 20 * time.Second }
	c.submit("j", batchStep(6))
	c.advance(500 * time.Millisecond)
	lost := c.busyWorker()
	lost.partitioned = true
	c.advance(15 * time.Second) // the fake workers fail the test if a task runs twice
	require.Empty(t, lost.runs)
	require.Equal(t, 6+len(lost.ended), c.starts)
}

// Guards against tasks that wait for a lease to expire although their worker has restarted.
func TestTasksOfARestartedWorkerStartAtOnce(t *testing.T) {
	c := readyCell(t, 3)
	c.runTime = func(cluster.Start) time.Duration { return 2 * time.Second }
	c.submit("j", batchStep(6))
	c.advance(500 * time.Millisecond)
	w := c.busyWorker()
	runCount := len(w.runs)
	c.restart(w)
	c.publishRegistry()
	c.advance(300 * time.Millisecond)
	require.Equal(t, 6+runCount, c.starts)
	c.advance(4 * time.Second)
	require.Equal(t, map[flow.Phase]int{flow.Completed: 1}, c.jobsByPhase())
}

// Guards against a new placer that starts tasks again that workers still run for the former
// one, and against one that stops or loses such runs.
func TestTakeoverAdoptsRuns(t *testing.T) {
	c := readyCell(t, 3)
	c.runTime = func(cluster.Start) time.Duration { return 3 * time.Second }
	for i := range 3 {
		c.submit(fmt.Sprint("j", i), batchStep(3))
	}
	c.advance(time.Second)
	starts := c.starts
	require.Equal(t, 9, starts)
	c.takeOver()
	c.advance(4 * time.Second)
	require.Equal(t, starts, c.starts)
	require.Equal(t, map[flow.Phase]int{flow.Completed: 3}, c.jobsByPhase())
}

// Guards against tasks of a worker that left during a takeover waiting for the longest time for
// which a disconnected placer renews leases, although the former placer has retired.
func TestRetiredPlacerShortensInheritedLeases(t *testing.T) {
	c := readyCell(t, 3)
	c.runTime = func(cluster.Start) time.Duration { return 2 * time.Second }
	c.submit("j", batchStep(6))
	c.advance(500 * time.Millisecond)
	lost := c.busyWorker()
	lost.up, lost.inRegistry = false, false
	c.takeOver()
	c.retireFormerPlacers()
	c.advance(6*time.Second + 3*time.Second)
	require.Equal(t, map[flow.Phase]int{flow.Completed: 1}, c.jobsByPhase())
}

// Guards against jobs that fail before their attempts are used up, and against attempts beyond
// the limit.
func TestAttempts(t *testing.T) {
	c := readyCell(t, 2)
	failures := map[cluster.TaskID]int{}
	c.outcome = func(s cluster.Start) cluster.EndReason {
		limit := map[string]int{"poison": 99, "twice": 2}[s.Job]
		if failures[s.TaskID] < limit {
			failures[s.TaskID]++
			return cluster.Failed
		}
		return cluster.Done
	}
	c.submit("poison", batchStep(1))
	c.submit("twice", batchStep(1))
	gang := batchStep(3)
	gang.Gang = true
	c.submit("fine", gang)
	c.advance(10 * time.Second)
	require.Equal(t, flow.Failed, c.state.Jobs["poison"].Phase)
	require.Equal(t, flow.Completed, c.state.Jobs["twice"].Phase)
	require.Equal(t, flow.Completed, c.state.Jobs["fine"].Phase)
	require.Equal(t, 3, failures[cluster.TaskID{Job: "poison"}])
}

// Guards against runs of a cancelled job that continue, or that start after the cancellation.
func TestCancelStopsRuns(t *testing.T) {
	c := readyCell(t, 2)
	c.runTime = func(cluster.Start) time.Duration { return 20 * time.Second }
	c.submit("j", batchStep(8), batchStep(8))
	c.advance(400 * time.Millisecond)
	require.NoError(t, c.append(flow.Record{Cancel: &flow.Cancel{ID: "j"}}))
	c.advance(300 * time.Millisecond)
	for _, w := range c.workers {
		require.Empty(t, w.runs)
	}
	starts := c.starts
	c.advance(2 * time.Second)
	require.Equal(t, starts, c.starts)
	require.Empty(t, c.placer.runs)
}

// Guards against violations of the package's invariants under lost answers, late commands,
// partitioned and restarted workers, cancellations and takeovers. The fake workers check
// capacity, the order of steps, concurrent runs and runs after the end of a task.
func TestInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		rng := rand.New(rand.NewPCG(seed, 1))
		c := readyCell(t, 4)
		c.runTime = func(cluster.Start) time.Duration { return time.Duration(100+rng.IntN(1500)) * time.Millisecond }
		faultsOn := true
		c.commandFault = func(Command) (bool, time.Duration) {
			if !faultsOn || rng.IntN(20) > 0 {
				return false, 0
			}
			return true, time.Duration(rng.IntN(4000)) * time.Millisecond
		}
		jobs := 0
		for range 30 {
			switch rng.IntN(12) {
			case 0:
				c.takeOver()
			case 1, 2:
				w := c.workers[fmt.Sprintf("w%02d", rng.IntN(4))]
				w.partitioned = !w.partitioned
			case 3:
				c.restart(c.workers[fmt.Sprintf("w%02d", rng.IntN(4))])
			case 4:
				if j := c.state.Jobs[fmt.Sprint("j", rng.IntN(jobs+1))]; j != nil {
					require.NoError(t, c.append(flow.Record{Cancel: &flow.Cancel{ID: j.ID}}))
				}
			default:
				second := batchStep(1 + rng.IntN(3))
				second.DependsOn, second.Gang = []int{0}, rng.IntN(2) == 0
				first := batchStep(1 + rng.IntN(4))
				first.MaxPerWorker, second.MaxPerWorker = rng.IntN(3), rng.IntN(3) // 0 means no limit
				c.submit(fmt.Sprint("j", jobs), first, second)
				jobs++
			}
			c.publishRegistry()
			c.advance(time.Duration(100+rng.IntN(1500)) * time.Millisecond)
		}
		faultsOn = false
		for _, w := range c.workers {
			w.partitioned = false
		}
		c.takeOver()
		c.retireFormerPlacers()
		c.advance(40 * time.Second)
		phases := c.jobsByPhase()
		require.Equal(t, jobs, phases[flow.Completed]+phases[flow.Cancelled], "seed %d: %v", seed, phases)
		for _, w := range c.workers {
			require.Empty(t, w.runs)
		}
	})
}

// Guards against plans that accumulate while the log is unreachable: their tickets expire, and
// all of them start at once when the log is reachable again.
func TestPendingRunsAreLimitedWhileTheLogIsUnreachable(t *testing.T) {
	c := readyCell(t, 40)
	for i := range 100 {
		c.submit(fmt.Sprint("j", i), batchStep(4))
	}
	c.logUnreachable = true
	c.advance(2 * time.Second)
	c.logUnreachable = false
	require.Less(t, len(c.placer.pendingBatch.Begins), minPendingRuns+4)
	c.advance(20 * time.Second)
	require.Equal(t, map[flow.Phase]int{flow.Completed: 100}, c.jobsByPhase())
}

// Guards against a backlog that uses the placer's processor time although no daemon can request
// advice. Each waiting step used to sort all workers in each pass. On VMs with a quarter of a
// core the placer then sent no heartbeats in time and was replaced again and again.
func TestBacklogWithoutAdvisersDoesNotAllocate(t *testing.T) {
	c := newFakeCell(t, 48, workerCapacity)
	c.config.Queues[0].Advice = &cluster.Advice{Decide: 500 * time.Millisecond, Valid: time.Second, MaxVMs: 100}
	require.NoError(t, c.append(flow.Record{Hello: &flow.Hello{Daemon: "d1", Address: "x"}}))
	c.takeOver()
	c.advance(200 * time.Millisecond)
	const steps = 600
	for i := range steps {
		c.submit(fmt.Sprint("j", i), batchStep(2))
	}
	c.placer.Tick(c.now+time.Second, c.wallMS()) // uses all calls that the only daemon may have in flight
	now := c.now + 2*time.Second
	allocations := testing.AllocsPerRun(20, func() {
		now += time.Second
		c.placer.planNeeded = true
		c.placer.Tick(now, c.wallMS())
	})
	require.Less(t, allocations, float64(steps), "a step that can't request advice must not allocate memory")
}

// Guards against an end that is lost because a confirmation for the previous incarnation of a
// worker reached the next one, which numbers its ends from 1 again: the task, which had ended,
// was started again (TestPlatformSoak, seeds 11, 21 and 22).
func TestConfirmationsDoNotReachTheNextIncarnation(t *testing.T) {
	c := readyCell(t, 1)
	c.runTime = func(cluster.Start) time.Duration { return 50 * time.Millisecond }
	for i := range 6 {
		c.submit(fmt.Sprint("before", i), batchStep(1))
		c.advance(400 * time.Millisecond)
	}
	c.answerDelay = 200 * time.Millisecond
	for i := range 5 {
		id := cluster.TaskID{Job: fmt.Sprint("after", i)}
		c.submit(id.Job, batchStep(1))
		for r := c.placer.runs[id]; r == nil || r.state != starting; r = c.placer.runs[id] {
			c.advance(5 * time.Millisecond)
		}
		c.restart(c.workers["w00"]) // before the start command arrives
		c.advance(20 * time.Second) // the fake workers fail the test on a run after a confirmed end
	}
	require.Equal(t, map[flow.Phase]int{flow.Completed: 11}, c.jobsByPhase())
}
