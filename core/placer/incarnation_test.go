package placer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/cluster"
	"briarproxy/core/flow"
	"briarproxy/core/resource"
)

// Guards against a lease that is longer than intended, on another incarnation of the worker, without a line in the log.
func TestLeaseOnAnotherIncarnationIsReported(t *testing.T) {
	c := readyCell(t, 1)
	c.runTime = func(cluster.Start) time.Duration { return 20 * time.Second }
	c.submit("first", batchStep(1))
	c.advance(20 * time.Second)
	c.restart(c.workers["w00"])
	c.advance(3 * time.Second)
	var reports []Decision
	for _, d := range c.decisions {
		if d.Kind == decisionForeignLease {
			reports = append(reports, d)
		}
	}
	require.Len(t, reports, 1)
	require.Equal(t, "w00", reports[0].Worker)
	require.EqualValues(t, 1, reports[0].Value)
	require.Equal(t, testOptions.MaxLease, reports[0].Age)
}

// Guards against start commands that are sent again and again to an incarnation of a worker that has ended.
func TestWorkerOfAnotherIncarnationIsPolledBeforeItGetsAStart(t *testing.T) {
	c := readyCell(t, 1)
	var starts []*StartCommand
	c.commandFault = func(command Command) (bool, time.Duration) {
		if command.Start != nil {
			starts = append(starts, command.Start)
			return true, time.Hour // answered only by the explicit call below
		}
		return false, 0
	}
	c.submit("j", batchStep(1))
	c.advance(100 * time.Millisecond)
	require.Len(t, starts, 1)
	c.workers["w00"].partitioned = true
	c.placer.StartAnswered(starts[0], cluster.RefusedOtherWorker, 0, c.now)
	c.advance(time.Second)
	require.Len(t, starts, 1)
	c.workers["w00"].partitioned = false
	c.advance(2 * missedPollDelay)
	require.Greater(t, len(starts), 1)
}

// Guards against tasks that run twice on workers that restart under their ids and are cut off soon after, while
// placers follow each other: 60 seeds of moments and workers (TWICE).
func TestTasksRunOnceWhileWorkersRestartAndAreCutOff(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 2))
			c := readyCell(t, 4)
			c.boundConnections = true
			c.runTime = func(cluster.Start) time.Duration { return time.Duration(500+rng.IntN(9000)) * time.Millisecond }
			c.advance(20 * time.Second) // the clocks of later incarnations are far behind
			for n := range 4 {
				c.submit(fmt.Sprint("j", n), batchStep(5))
				for _, w := range c.workers {
					if rng.IntN(2) == 0 {
						c.restart(w)
					}
				}
				if rng.IntN(2) == 0 {
					c.publishRegistry()
				}
				c.advance(time.Duration(rng.IntN(1500)) * time.Millisecond)
				for _, w := range c.workers {
					w.partitioned = rng.IntN(2) == 0
				}
				c.advance(time.Duration(rng.IntN(500)) * time.Millisecond)
				if rng.IntN(3) > 0 {
					c.takeOver()
					c.retireFormerPlacers()
				}
				c.advance(time.Duration(rng.IntN(12000)) * time.Millisecond)
			}
			for _, w := range c.workers {
				w.partitioned = false
			}
			c.advance(90 * time.Second)
			for id, job := range c.state.Jobs {
				require.Equal(t, flow.Completed, job.Phase, id)
			}
			for _, d := range c.decisions {
				require.NotEqual(t, decisionForeignLease, d.Kind, "no command was sent to another incarnation")
			}
		})
	}
}

// Guards against a worker that is polled without a pause while it answers with an earlier start time than its entry in
// the registry.
func TestWorkerWithAnEarlierStartTimeIsPolledWithPauses(t *testing.T) {
	c := newFakeCell(t, 1, resource.Vector{MilliCores: 1000, MemoryMiB: 1024})
	w := c.workers["w00"]
	w.Born = 2
	c.takeOver()
	w.Born = 1
	polls := 0
	c.commandFault = func(Command) (bool, time.Duration) { polls++; return false, 0 }
	c.advance(4 * time.Second)
	require.Positive(t, polls)
	require.LessOrEqual(t, polls, int(4*time.Second/missedPollDelay))
}
