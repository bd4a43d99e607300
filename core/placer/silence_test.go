package placer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/cluster"
	"briarproxy/core/flow"
)

// isolateWorkersOf cuts off each worker that starts a task of the job, from the moment at which it has
// answered the start, if it does.
func (c *fakeCell) isolateWorkersOf(job string, answered bool, duration time.Duration) {
	runTime := c.runTime
	c.runTime = func(s cluster.Start) time.Duration {
		if s.Job != job {
			return runTime(s)
		}
		c.after(0, func() {
			for _, w := range c.workers {
				if w.runs[s.TaskID] == nil {
					continue
				}
				w.partitioned = true
				c.after(duration, func() { w.partitioned = false })
			}
		})
		return time.Hour
	}
	c.commandFault = func(command Command) (bool, time.Duration) {
		return !answered && command.Start != nil && command.Start.Order.Job == job, 0
	}
}

// pause lets time pass for the workers while the placer's process stands still. Answers reach it afterwards.
func (c *fakeCell) pause(d time.Duration) {
	p := c.placer
	c.placer = nil
	for end := c.now + d; c.now < end; {
		c.now += 5 * time.Millisecond
		c.tickWorkers()
	}
	c.placer = p
}

// Guards against a job that is shown as failed although its workers were only cut off (LOST).
func TestJobIsNotFailedBySilentWorkers(t *testing.T) {
	for answered, phase := range map[bool]flow.Phase{true: flow.Running, false: flow.Queued} {
		t.Run(fmt.Sprint("start answered: ", answered), func(t *testing.T) {
			c := readyCell(t, 8)
			c.isolateWorkersOf("j", answered, 8*time.Second)
			c.submit("j", batchStep(1))
			c.advance(90 * time.Second)
			require.Equal(t, phase, c.state.Jobs["j"].Phase)
			c.runTime = func(cluster.Start) time.Duration { return time.Second }
			c.commandFault = nil
			c.advance(30 * time.Second)
			require.Equal(t, flow.Completed, c.state.Jobs["j"].Phase)
		})
	}
}

// Guards against a job that is shown as failed because its placer stood still after each start (LOST).
func TestJobIsNotFailedByPausesOfItsPlacer(t *testing.T) {
	c := readyCell(t, 4)
	c.runTime = func(cluster.Start) time.Duration { return 20 * time.Second }
	c.submit("j", batchStep(1))
	for range 4 {
		starts := c.starts
		for range 400 {
			if c.starts > starts {
				break
			}
			c.advance(5 * time.Millisecond)
		}
		c.advance(5 * time.Millisecond)
		c.pause(testOptions.Lease + time.Second)
	}
	c.advance(60 * time.Second)
	require.Equal(t, flow.Completed, c.state.Jobs["j"].Phase)
}

// Guards against a job that is shown as failed by lost starts of several placers, none of which was a crash (LOST).
func TestJobIsNotFailedBySilentWorkersOfSeveralPlacers(t *testing.T) {
	c := readyCell(t, 8)
	c.isolateWorkersOf("j", true, 5*time.Second)
	c.submit("j", batchStep(1))
	for range 6 {
		c.advance(9 * time.Second)
		c.takeOver()
		c.retireFormerPlacers()
	}
	require.Equal(t, flow.Running, c.state.Jobs["j"].Phase)
}

// Guards against a step that stays on trial, and so waits for idle workers, after its workers have shown that they
// survived its starts.
func TestStepWhoseWorkersAreBackIsNotOnTrial(t *testing.T) {
	c := readyCell(t, 8)
	c.isolateWorkersOf("j", true, 8*time.Second)
	c.submit("j", batchStep(1))
	c.advance(8 * time.Second)
	step := c.placer.steps[cluster.StepID{Job: "j"}]
	require.True(t, step.onTrial, "its worker is silent")
	c.commandFault = nil
	c.runTime = func(cluster.Start) time.Duration { return time.Hour }
	c.advance(4 * time.Second)
	require.Empty(t, c.state.Task(cluster.TaskID{Job: "j"}).LostStarts)
	require.False(t, step.onTrial)
}

// Guards against a job that is shown as failed although fewer than two workers have crashed under each of its tasks, while
// workers crash and are cut off, and placers stand still and follow each other: 60 seeds (LOST).
func TestJobsFailOnlyAfterCrashesOfTheirWorkers(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { playSilentWorkers(t, rand.New(rand.NewPCG(seed, 3))) })
	}
}

func playSilentWorkers(t *testing.T, rng *rand.Rand) {
	c := readyCell(t, 8)
	lastsUntil := c.now + 100*time.Second
	crashes := map[cluster.TaskID]int{}
	crash := func(w *fakeWorker) {
		for id := range w.runs {
			crashes[id]++
		}
		w.up, w.runs = false, map[cluster.TaskID]*fakeRun{}
		newID := rng.IntN(2) == 0
		c.after(time.Duration(1000+rng.IntN(9000))*time.Millisecond, func() { c.comeBack(w, newID) })
	}
	isolate := func(w *fakeWorker) {
		w.partitioned = true
		c.after(time.Duration(3000+rng.IntN(7000))*time.Millisecond, func() { w.partitioned = false })
	}
	c.commandFault = func(command Command) (bool, time.Duration) { return command.Start != nil && rng.IntN(4) == 0, 0 }
	c.runTime = func(s cluster.Start) time.Duration {
		event := rng.IntN(20)
		c.after(0, func() {
			for _, w := range c.workers {
				switch {
				case w.runs[s.TaskID] == nil:
				case event < 10:
					isolate(w)
				case event == 10:
					crash(w)
				}
			}
		})
		return max(time.Second, lastsUntil-c.now)
	}
	for n := range 3 {
		c.submit(fmt.Sprint("j", n), batchStep(2))
	}
	for c.now < lastsUntil {
		switch rng.IntN(4) {
		case 0:
			c.pause(time.Duration(rng.IntN(8000)) * time.Millisecond)
		case 1:
			c.takeOver()
			c.retireFormerPlacers()
		}
		c.advance(time.Duration(1000+rng.IntN(10000)) * time.Millisecond)
	}
	c.runTime = func(cluster.Start) time.Duration { return time.Second }
	c.advance(120 * time.Second)
	for id, job := range c.state.Jobs {
		if job.Phase == flow.Completed {
			continue
		}
		require.Equal(t, flow.Failed, job.Phase, id)
		worst := max(crashes[cluster.TaskID{Job: id}], crashes[cluster.TaskID{Job: id, Index: 1}])
		require.GreaterOrEqual(t, worst, 2, "job %s has failed", id)
	}
}

// workerOf returns the worker that is up and has a run of the task, or nil.
func (c *fakeCell) workerOf(id cluster.TaskID) *fakeWorker {
	for _, w := range c.workers {
		if w.up && w.runs[id] != nil {
			return w
		}
	}
	return nil
}

// cutOff returns the workers that are cut off.
func (c *fakeCell) cutOff() (workers []*fakeWorker) {
	for _, w := range c.workers {
		if w.partitioned {
			workers = append(workers, w)
		}
	}
	return workers
}

// advanceUntil runs the simulation until the condition holds, for 60 s at most.
func (c *fakeCell) advanceUntil(condition func() bool) {
	for range 12000 {
		if condition() {
			return
		}
		c.advance(5 * time.Millisecond)
	}
	require.Fail(c.t, "the condition does not hold after 60 s")
}

// Guards against a job that is shown as failed while its task is at work, because workers that were cut off long before have
// restarted since (LOST).
func TestJobIsNotFailedByLateRestartsOfSilentWorkers(t *testing.T) {
	c := readyCell(t, 8)
	task := cluster.TaskID{Job: "j"}
	c.isolateWorkersOf("j", true, time.Hour)
	c.submit("j", batchStep(1))
	c.advanceUntil(func() bool { return len(c.cutOff()) == 3 })
	c.runTime = func(cluster.Start) time.Duration { return 5 * time.Minute }
	c.advance(60 * time.Second)
	w := c.workerOf(task)
	require.NotNil(t, w)
	require.False(t, w.partitioned, "the task is at work")
	for _, w := range c.cutOff() {
		c.restart(w)
		w.partitioned = false
	}
	c.publishRegistry()
	c.advance(20 * time.Second)
	require.Equal(t, flow.Running, c.state.Jobs["j"].Phase)
}

// Guards against a lasting job that is shown as failed, because workers crashed under its run, long after its start, while
// placers were replaced (LOST).
func TestLastingTaskIsNotFailedByLostWorkersAndTakeovers(t *testing.T) {
	c := readyCell(t, 8)
	task := cluster.TaskID{Job: "j"}
	c.runTime = func(cluster.Start) time.Duration { return time.Hour }
	c.submit("j", flow.Step{Count: 1, Size: batchStep(1).Size, LongRunning: true})
	for range 6 {
		c.advanceUntil(func() bool { return c.workerOf(task) != nil || c.state.Jobs["j"].Phase.Final() })
		require.False(t, c.state.Jobs["j"].Phase.Final())
		c.advance(20 * time.Second)
		w := c.workerOf(task)
		require.NotNil(t, w)
		w.up, w.runs = false, map[cluster.TaskID]*fakeRun{}
		c.after(3*time.Second, func() { c.comeBack(w, false) })
		c.takeOver()
		c.retireFormerPlacers()
	}
	c.advance(20 * time.Second)
	require.Equal(t, flow.Running, c.state.Jobs["j"].Phase)
}

// Guards against a job that is shown as failed because of registry entries that other writers made with the addresses of
// workers that are cut off (LOST).
func TestJobIsNotFailedByEntriesOfOtherWriters(t *testing.T) {
	c := readyCell(t, 8)
	c.isolateWorkersOf("j", true, 10*time.Second)
	c.submit("j", batchStep(1))
	for range 80 {
		c.advance(500 * time.Millisecond)
		var entries []cluster.Worker
		for _, w := range c.workers {
			odd := w.Worker
			odd.Life, odd.Pool = cluster.Life{Worker: "odd-" + w.Life.Worker, Born: 1 << 50}, "unnamed"
			entries = append(entries, w.Worker, odd)
		}
		c.placer.SetRegistry(entries, c.now)
	}
	require.Equal(t, flow.Running, c.state.Jobs["j"].Phase)
}

// Guards against a job that is shown as failed because workers that were cut off from the placer have drained and left, and
// others use their addresses (LOST).
func TestJobIsNotFailedByWorkersThatDrainAndLeave(t *testing.T) {
	c := readyCell(t, 8)
	c.isolateWorkersOf("j", true, time.Hour)
	c.submit("j", batchStep(1))
	for range 60 {
		c.advance(time.Second)
		for _, w := range c.cutOff() {
			if w.Draining || len(w.runs) > 0 {
				continue
			}
			w.Draining, w.Stays = true, 3*time.Second
			c.publishRegistry()
			c.after(5*time.Second, func() {
				w.up, w.partitioned = false, false
				left := w.Worker
				w.Draining, w.Stays = false, 0 // comeBack copies the entry
				c.comeBack(w, true)
				w.Worker = left
			})
		}
	}
	require.Equal(t, flow.Running, c.state.Jobs["j"].Phase)
}

// Guards against a task that is not started, although there is room, as long as other tasks of its step lose workers (LOST).
func TestTaskDoesNotWaitForExplanationsOfOtherTasks(t *testing.T) {
	c := readyCell(t, 8)
	c.placer = nil
	apply := func(r flow.Record) { require.NoError(t, c.state.Apply(&r, c.now)) }
	apply(flow.Record{Submit: &flow.Submit{ID: "j", Queue: "q", Pool: "p", Config: 1, Spec: "j", Steps: []flow.Step{batchStep(2)}, MaxAttempts: 3, AtMS: c.wallMS()}})
	waiting, flaky := cluster.TaskID{Job: "j"}, cluster.TaskID{Job: "j", Index: 1}
	for run := 1; run <= 3; run++ {
		id := cluster.RunID{TaskID: waiting, Run: run}
		apply(flow.Record{Batch: &flow.Batch{Epoch: c.state.Claim.Epoch, Begins: []flow.Begin{{RunID: id, Life: cluster.Life{Worker: "gone", Born: 1}}}}})
		apply(flow.Record{Batch: &flow.Batch{Epoch: c.state.Claim.Epoch, Ends: []flow.End{{RunID: id, Reason: cluster.Unreachable, Address: "gone", Answered: true}}}})
	}
	c.runTime = func(s cluster.Start) time.Duration {
		if s.TaskID == flaky {
			c.after(0, func() {
				w := c.workerOf(flaky)
				w.partitioned = true
				c.after(7*time.Second, func() { w.partitioned = false })
			})
		}
		return time.Hour
	}
	c.takeOver()
	c.retireFormerPlacers()
	c.advance(2*explanationWait + time.Second)
	require.Greater(t, c.state.Task(waiting).LastRun, 3)
}

// Guards against a lasting task that is not started again in time after workers that started it are gone for good (LOST).
func TestLastingTaskWhoseWorkersAreGoneIsStartedAgain(t *testing.T) {
	c := readyCell(t, 8)
	task := cluster.TaskID{Job: "j"}
	gone := 0
	c.runTime = func(cluster.Start) time.Duration {
		if gone < 3 {
			c.after(0, func() {
				w := c.workerOf(task)
				w.up, w.inRegistry, w.runs = false, false, map[cluster.TaskID]*fakeRun{}
				gone++
				c.publishRegistry()
			})
		}
		return time.Hour
	}
	c.submit("j", flow.Step{Count: 1, Size: batchStep(1).Size, LongRunning: true})
	c.advanceUntil(func() bool { return gone == 3 })
	goneAt := c.now
	c.advanceUntil(func() bool { return c.workerOf(task) != nil })
	require.Less(t, c.now-goneAt, 9*time.Second)
}

// Guards against a batch that the placer's own state refuses, as it holds both a late end and the explanation of a lost start.
func TestLateFailureOfALostStartIsRecordedOnce(t *testing.T) {
	c := readyCell(t, 8)
	c.isolateWorkersOf("j", true, 8*time.Second)
	isolated := c.runTime
	c.runTime = func(s cluster.Start) time.Duration {
		isolated(s)
		return time.Second
	}
	c.outcome = func(cluster.Start) cluster.EndReason { return cluster.Failed }
	c.submit("j", batchStep(1))
	c.advance(12 * time.Second) // fails if a batch is refused
	require.Equal(t, 1, c.state.Task(cluster.TaskID{Job: "j"}).Failures)
}

// Guards against a step that stays on trial until it is complete, although the worker that was silent has shown that it survived
// the start.
func TestStepIsNotOnTrialAfterItsListedRunLapsed(t *testing.T) {
	c := readyCell(t, 8)
	task := cluster.TaskID{Job: "j"}
	c.runTime = func(cluster.Start) time.Duration {
		c.after(15*time.Millisecond, func() { c.placer.runs[task].vm.nextPollAt = c.now })
		c.after(40*time.Millisecond, func() {
			w := c.workerOf(task)
			w.partitioned = true
			c.after(8*time.Second, func() { w.partitioned = false })
		})
		return time.Hour
	}
	c.submit("j", batchStep(1))
	c.advanceUntil(func() bool { return len(c.cutOff()) == 1 })
	require.True(t, c.placer.runs[task].progress.seen)
	c.runTime = func(cluster.Start) time.Duration { return time.Hour }
	c.advance(20 * time.Second)
	require.Empty(t, c.cutOff())
	require.False(t, c.placer.steps[cluster.StepID{Job: "j"}].onTrial)
}

// Guards against a job that is shown as failed because three workers crashed before its starts reached them (LOST).
func TestJobIsNotFailedByWorkersThatCrashedBeforeItsStart(t *testing.T) {
	c := readyCell(t, 8)
	crashes := 0
	c.commandFault = func(command Command) (bool, time.Duration) {
		if command.Start == nil || crashes == 3 || !c.workers[command.worker()].up {
			return false, 0
		}
		crashes++
		w := c.workers[command.worker()]
		w.up = false
		c.after(2*time.Second, func() { c.comeBack(w, false) })
		return false, 0
	}
	c.submit("j", batchStep(1))
	c.advance(60 * time.Second)
	require.Equal(t, 3, crashes)
	require.Equal(t, flow.Completed, c.state.Jobs["j"].Phase)
}

// Guards against a placer that starts nothing any more because the latencies of the starts during its pause look like the
// time that a command takes, which is longer than tickets are valid (LOST).
func TestPlacerStartsTasksAfterAPause(t *testing.T) {
	c := newFakeCell(t, 8, workerCapacity)
	c.addAdvisedQueue(50 * time.Millisecond)
	announce := func() { require.NoError(t, c.append(flow.Record{Hello: &flow.Hello{Daemon: "d", Address: "x"}})) }
	announce()
	c.takeOver()
	c.advance(300 * time.Millisecond)
	c.answerDelay = 40 * time.Millisecond
	c.submitTo("advised", "first", batchStep(16))
	for range 200 {
		if c.starts > 0 {
			break
		}
		c.advance(5 * time.Millisecond)
	}
	require.Positive(t, c.starts)
	c.pausedUntil = c.now + 6*time.Second
	c.advance(7 * time.Second)
	announce()
	c.submitTo("advised", "second", batchStep(4))
	c.advance(8 * time.Second)
	require.Equal(t, map[flow.Phase]int{flow.Completed: 2}, c.jobsByPhase())
}

// Guards against a task that stands still while there is room for it, after its starts were lost on workers that stay cut off (LOST).
func TestTaskOfSilentWorkersIsStartedAgainSoon(t *testing.T) {
	c := readyCell(t, 12)
	c.isolateWorkersOf("j", true, 10*time.Minute)
	c.submit("j", batchStep(1))
	c.advance(time.Second)
	idleSince := time.Duration(0)
	for range 9000 {
		c.advance(5 * time.Millisecond)
		if c.state.Task(cluster.TaskID{Job: "j"}).Active {
			idleSince = c.now
		}
		require.Less(t, c.now-idleSince, 3*time.Second)
	}
	require.GreaterOrEqual(t, c.starts, 5)
}
