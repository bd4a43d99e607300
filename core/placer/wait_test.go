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

// racksUnderLoad returns a cell of two racks. In r0, the eight workers run one task each that takes the whole worker
// and is followed by another one; r1 is idle. Tasks of the job "data" have their data in r0 and take three times as
// long in r1.
func racksUnderLoad(t *testing.T, runTime time.Duration) (c *fakeCell, startedIn map[string]time.Duration) {
	c = newFakeCell(t, 16, workerCapacity)
	startedIn = map[string]time.Duration{}
	c.runTime = func(s cluster.Start) time.Duration {
		if s.Job[:4] == "load" {
			return runTime
		}
		return 3 * time.Second
	}
	c.slowness = func(w *fakeWorker, s *cluster.Start) float64 {
		if s.Job == "data" {
			startedIn[w.Rack] = c.now
			return map[string]float64{"r0": 1, "r1": 3}[w.Rack]
		}
		return 1
	}
	c.takeOver()
	c.placer.options.RemoteFactor = 3
	c.advance(200 * time.Millisecond)
	c.keepRackBusy("r0", 0, runTime)
	c.advance(4 * time.Second)
	require.Empty(t, startedIn)
	return c, startedIn
}

// keepRackBusy submits jobs that fill the workers of a rack, one for each worker and run time, spread over time.
func (c *fakeCell) keepRackBusy(rack string, n int, runTime time.Duration) {
	step := flow.Step{Count: 1, Size: resource.Vector{MilliCores: workerCapacity.MilliCores, MemoryMiB: 1}, EstimateMS: runTime.Milliseconds(), Label: rack}
	jobs := 1
	if n == 0 {
		jobs = 9
	}
	for i := range jobs {
		c.submit(fmt.Sprintf("load%d-%d", n, i), step)
	}
	c.after(runTime/8, func() { c.keepRackBusy(rack, n+1, runTime) })
}

func dataStep(rack string, estimate time.Duration) flow.Step {
	return flow.Step{Count: 1, Size: resource.Vector{MilliCores: 1000, MemoryMiB: 1}, EstimateMS: estimate.Milliseconds(), NearRack: rack}
}

// Guards against tasks that run for three times as long away from their data although a worker there is free a moment
// later.
func TestLongTaskWaitsForItsData(t *testing.T) {
	c, startedIn := racksUnderLoad(t, 2*time.Second)
	c.submit("data", dataStep("r0", 3*time.Second))
	c.advance(7 * time.Second)
	require.Contains(t, startedIn, "r0")
	require.NotContains(t, startedIn, "r1")
}

// Guards against tasks that wait for longer than they would take anywhere else.
func TestShortTaskDoesNotWaitForItsData(t *testing.T) {
	c, startedIn := racksUnderLoad(t, 40*time.Second)
	at := c.now
	c.submit("data", dataStep("r0", 100*time.Millisecond))
	c.advance(300 * time.Millisecond)
	require.Contains(t, startedIn, "r1")
	require.Less(t, startedIn["r1"]-at, 250*time.Millisecond)
}

// Guards against tasks that wait for a rack that no longer exists.
func TestDataOnAMissingRackIsNotWaitedFor(t *testing.T) {
	c, startedIn := racksUnderLoad(t, 2*time.Second)
	c.submit("data", dataStep("r9", 3*time.Second))
	c.advance(300 * time.Millisecond)
	require.Contains(t, startedIn, "r1")
}

// Guards against an endless wait for ends that the measured rate has promised, but which don't come.
func TestWaitEndsWhenItHasCostWhatItSaves(t *testing.T) {
	c, startedIn := racksUnderLoad(t, 2*time.Second)
	c.runTime = func(cluster.Start) time.Duration { return time.Hour }
	c.advance(3 * time.Second) // from now on, each worker of r0 is taken for an hour
	at := c.now
	c.submit("data", dataStep("r0", 600*time.Millisecond))
	c.advance(8 * time.Second)
	require.Contains(t, startedIn, "r1")
	require.Less(t, startedIn["r1"]-at, 2*2*600*time.Millisecond+500*time.Millisecond)
}

// Guards against a waiting task that keeps others from room that it doesn't use, elsewhere or in its rack.
func TestWaitingTaskHoldsNoRoom(t *testing.T) {
	c, startedIn := racksUnderLoad(t, 3*time.Second)
	c.submit("data", dataStep("r0", 8*time.Second))
	c.advance(100 * time.Millisecond)
	require.Empty(t, startedIn, "waits")
	starts := c.starts
	c.submit("other", flow.Step{Count: 8, Size: resource.Vector{MilliCores: workerCapacity.MilliCores, MemoryMiB: 1}, EstimateMS: 500})
	c.advance(300 * time.Millisecond)
	require.GreaterOrEqual(t, c.starts-starts, 8, "all workers of the other rack")
}

// Guards against a change for deployments that don't say what several racks cost: there, a group waits for one rack for
// the fixed time.
func TestWithoutFactorGroupsWaitForTheFixedTime(t *testing.T) {
	c, _ := racksUnderLoad(t, time.Hour)
	c.placer.options.RemoteFactor = 0
	var first time.Duration
	c.runTime = func(s cluster.Start) time.Duration {
		if s.Job == "group" && first == 0 {
			first = c.now
		}
		return time.Hour
	}
	whole := flow.Step{Count: 1, Size: resource.Vector{MilliCores: workerCapacity.MilliCores, MemoryMiB: 1}, EstimateMS: 300}
	c.submit("block", whole)
	c.advance(200 * time.Millisecond)
	at, group := c.now, whole
	group.Count, group.SameRack = 8, true // one more than the rack has workers left
	c.submit("group", group)
	c.advance(4 * time.Second)
	require.InDelta(t, maxSameRackWait.Seconds(), (first - at).Seconds(), 0.3)
}
