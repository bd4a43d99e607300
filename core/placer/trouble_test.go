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

// Guards against runs that are started again elsewhere or given up although their worker was
// unreachable for less than a lease.
func TestUnreachableWorkerKeepsItsRuns(t *testing.T) {
	c := readyCell(t, 3)
	c.runTime = func(cluster.Start) time.Duration { return 12 * time.Second }
	c.submit("j", batchStep(6))
	c.advance(500 * time.Millisecond)
	w := c.busyWorker()
	for range 2 {
		w.partitioned = true
		c.advance(3500 * time.Millisecond) // less than a lease
		w.partitioned = false
		c.advance(time.Second)
	}
	c.advance(8 * time.Second)
	require.Equal(t, 6, c.starts)
	require.Equal(t, flow.Completed, c.state.Jobs["j"].Phase)
}

// Guards against a placer that was paused during a takeover and then sends its start commands or
// retries them: workers must refuse all of them.
func TestPausedPlacerIsFencedAfterATakeover(t *testing.T) {
	c := readyCell(t, 3)
	c.runTime = func(cluster.Start) time.Duration { return 5 * time.Second }
	c.commandFault = func(command Command) (bool, time.Duration) { return command.Start != nil, time.Hour }
	c.submit("j", batchStep(6))
	c.advance(100 * time.Millisecond) // the start commands are sent and not executed
	former := c.placer
	require.Zero(t, c.starts)
	c.commandFault = nil
	c.takeOver()
	c.advance(time.Second)
	retries := 0
	for _, command := range former.Tick(c.now, c.wallMS()) { // the paused placer resumes
		if s := command.Start; s != nil {
			retries++
			require.Equal(t, cluster.RefusedFenced, c.start(c.workers[s.Life.Worker], &s.Order))
		}
	}
	require.Positive(t, retries, "the resumed placer retries unanswered start commands")
	c.advance(15 * time.Second)
	require.Equal(t, 6, c.starts)
	require.Equal(t, flow.Completed, c.state.Jobs["j"].Phase)
}

// Guards against a placer that was paused for longer than its leases and then assumes that they
// are still valid: the runs under them have ended.
func TestPlacerPausedBeyondItsLeases(t *testing.T) {
	c := readyCell(t, 3)
	c.runTime = func(cluster.Start) time.Duration { return 20 * time.Second }
	c.submit("j", batchStep(6))
	c.advance(500 * time.Millisecond)
	for range 1600 { // 8 s in which only the workers continue
		c.now += 5 * time.Millisecond
		c.tickWorkers()
	}
	c.advance(25 * time.Second) // the fake workers fail the test if a task runs twice
	require.Equal(t, 12, c.starts, "the lease of each task expired once, and each task started once more")
	require.Equal(t, flow.Completed, c.state.Jobs["j"].Phase)
}

// Guards against runs that end with their leases on sound workers because the placer was frozen for less than a lease and
// then asked the workers, without a renewal, to answer late.
func TestPauseOfThePlacerWithinTheLeaseEndsNoRun(t *testing.T) {
	const pause = 3300 * time.Millisecond // a renewal is at most one poll old before it, so that over a second of the lease is left after it
	for offset := time.Duration(0); offset <= maxPollWait+pollInterval; offset += 50 * time.Millisecond {
		t.Run(offset.String(), func(t *testing.T) {
			c := readyCell(t, 3)
			c.holdsPolls = true
			c.runTime = func(cluster.Start) time.Duration { return 20 * time.Second }
			c.submit("j", batchStep(6))
			c.advance(5*time.Second + offset)
			c.pausedUntil = c.now + pause
			c.advance(pause + 25*time.Second)
			require.Equal(t, 6, c.starts)
			require.Equal(t, flow.Completed, c.state.Jobs["j"].Phase)
		})
	}
}

// Guards against tasks that run again, or crashes that count, because a placer that was frozen for longer than a lease gives
// runs up by its clock before it reads the answers that wait for it.
func TestEndsThatWaitForAFrozenPlacerCount(t *testing.T) {
	for offset := time.Duration(0); offset <= maxPollWait+pollInterval; offset += 50 * time.Millisecond {
		t.Run(offset.String(), func(t *testing.T) {
			c := readyCell(t, 3)
			c.holdsPolls = true
			c.runTime = func(cluster.Start) time.Duration { return 3 * time.Second }
			c.submit("j", batchStep(6))
			c.advance(100*time.Millisecond + offset)
			c.pausedUntil = c.now + 9*time.Second
			c.advance(40 * time.Second)
			require.Equal(t, 6, c.starts)
			require.Equal(t, flow.Completed, c.state.Jobs["j"].Phase)
		})
	}
}

// Guards against a worker that has left, or is draining, and is used again after a takeover
// because the new placer has not seen it leave.
func TestWorkersThatLeftStayUnusedAfterATakeover(t *testing.T) {
	c := readyCell(t, 3)
	gone, leaving := c.workers["w00"], c.workers["w01"]
	gone.inRegistry, gone.partitioned = false, true
	leaving.Draining = true
	c.publishRegistry()
	c.takeOver()
	c.advance(300 * time.Millisecond)
	c.submit("j", batchStep(12))
	c.advance(5 * time.Second)
	require.Equal(t, flow.Completed, c.state.Jobs["j"].Phase)
	require.Zero(t, leaving.lastEndNumber+gone.lastEndNumber)
	require.EqualValues(t, 12, c.workers["w02"].lastEndNumber)
}

// Guards against a task that runs twice because the answer to its start command was lost: the
// retried command is refused, which must not count as "did not run".
func TestLostAnswerOfAShortRun(t *testing.T) {
	c := readyCell(t, 2)
	c.runTime = func(cluster.Start) time.Duration { return 100 * time.Millisecond } // ends before the retry
	answerLost, noPollUntil := map[cluster.TaskID]bool{}, time.Duration(0)
	c.commandFault = func(command Command) (bool, time.Duration) {
		if s := command.Start; s != nil && !answerLost[s.Order.TaskID] {
			answerLost[s.Order.TaskID] = true
			require.Equal(t, cluster.Started, c.start(c.workers[s.Life.Worker], &s.Order))
			return true, time.Hour // no answer, not even an error
		}
		if command.Poll != nil && c.now < noPollUntil {
			return false, noPollUntil - c.now
		}
		return false, 0
	}
	noPollUntil = c.now + 900*time.Millisecond // polls are answered after the retry
	c.submit("j", batchStep(4))
	c.advance(6 * time.Second)
	require.Len(t, answerLost, 4)
	require.Equal(t, 4, c.starts)
	require.Equal(t, flow.Completed, c.state.Jobs["j"].Phase)
}

// Guards against a delayed copy of a start command that the next incarnation of its worker executes
// after the task has been started elsewhere.
func TestDelayedStartCommandReachesTheNextIncarnation(t *testing.T) {
	c := readyCell(t, 2)
	c.runTime = func(cluster.Start) time.Duration { return 30 * time.Second }
	var delayed []*StartCommand
	c.commandFault = func(command Command) (bool, time.Duration) {
		if command.Start != nil && len(delayed) < 1 {
			delayed = append(delayed, command.Start)
			return true, time.Hour // executed only by the explicit call below
		}
		return false, 0
	}
	c.submit("j", batchStep(1))
	c.advance(time.Second)
	require.Equal(t, 1, c.starts, "the retried command was executed")
	w := c.workers[delayed[0].Life.Worker]
	c.restart(w)
	c.publishRegistry()
	c.advance(2 * time.Second)
	require.Equal(t, cluster.RefusedStaleRun, c.start(w, &delayed[0].Order), "the new incarnation was told to stop the run first")
	c.advance(35 * time.Second)
	require.Equal(t, 2, c.starts)
	require.Equal(t, flow.Completed, c.state.Jobs["j"].Phase)
}

// Guards against a pool in which nothing is placed for seconds because a few jobs fail by their own fault on each of its
// workers.
func TestJobsThatFailEverywhereDoNotSetAllWorkersApart(t *testing.T) {
	c := readyCell(t, 3)
	c.runTime = func(cluster.Start) time.Duration { return 300 * time.Millisecond }
	c.outcome = func(s cluster.Start) cluster.EndReason {
		if s.Job != "sound" {
			return cluster.Failed
		}
		return cluster.Done
	}
	for i := range 3 {
		c.submit(fmt.Sprint("faulty", i), batchStep(1))
	}
	c.advance(3 * time.Second)
	require.Equal(t, map[flow.Phase]int{flow.Failed: 3}, c.jobsByPhase())
	c.submit("sound", batchStep(3))
	c.publishRegistry()
	c.advance(2 * time.Second)
	require.Equal(t, flow.Completed, c.state.Jobs["sound"].Phase)
}

// Guards against a lasting task that is not restarted for seconds because other lasting tasks, which fail now and then, fail on
// the same workers. The tasks of such a pool never end as done.
func TestLastingTasksThatFailAreRestartedSoon(t *testing.T) {
	for _, workers := range []int{1, 3} {
		t.Run(fmt.Sprint(workers, " workers"), func(t *testing.T) {
			c := readyCell(t, workers)
			jobs := 4 * workers / 2 // under half of the room
			rng := rand.New(rand.NewPCG(1, 1))
			c.runTime = func(cluster.Start) time.Duration { return time.Duration(1000+rng.IntN(9000)) * time.Millisecond }
			c.outcome = func(cluster.Start) cluster.EndReason { return cluster.Failed }
			for i := range jobs {
				c.submit(fmt.Sprint("j", i), flow.Step{Count: 1, Size: batchStep(1).Size, LongRunning: true})
			}
			c.advance(time.Second)
			for idleSince := map[string]time.Duration{}; c.now < 2*time.Minute; c.advance(100 * time.Millisecond) {
				c.publishRegistry()
				for i := range jobs {
					id := fmt.Sprint("j", i)
					if c.state.Task(cluster.TaskID{Job: id}).Active {
						idleSince[id] = c.now
					}
					require.Less(t, c.now-idleSince[id], 6*time.Second, "task of %s at %v", id, c.now)
				}
			}
		})
	}
}
