package placer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/cluster"
	"briarproxy/core/flow"
)

// gangWithExpiredTickets returns a cell in which a gang of six has waited for two full workers until
// its tickets expired, and a map that receives the times at which members of the gang start.
func gangWithExpiredTickets(t *testing.T) (c *fakeCell, starts map[cluster.TaskID]time.Duration) {
	c = newFakeCell(t, 2, workerCapacity)
	c.addAdvisedQueue(400 * time.Millisecond)
	starts = map[cluster.TaskID]time.Duration{}
	c.runTime = func(s cluster.Start) time.Duration {
		if s.Job == "gang" {
			starts[s.TaskID] = c.now
		}
		return 3 * time.Second
	}
	require.NoError(t, c.append(flow.Record{Hello: &flow.Hello{Daemon: "d", Address: "x"}}))
	c.takeOver()
	c.advance(200 * time.Millisecond)
	c.submit("blocks", batchStep(8))
	c.advance(200 * time.Millisecond)
	gang := batchStep(6)
	gang.Gang = true
	c.submitTo("advised", "gang", gang)
	c.advance(2500 * time.Millisecond)
	require.Empty(t, starts)
	return c, starts
}

// Guards against a gang of which some members start while tickets for others are still
// requested: on their workers the started members waited for the others for longer than
// allowed. This happened in a cell of several racks with jobs that have due times.
func TestGangStartsOnlyWithAllTickets(t *testing.T) {
	c, starts := gangWithExpiredTickets(t)
	step := c.placer.steps[cluster.StepID{Job: "gang"}]
	step.grants["w00"] = ticket{"t", c.now + 5*time.Second} // only this ticket is valid until the workers have free capacity
	c.advance(3 * time.Second)
	require.Len(t, starts, 6)
	first, last := time.Hour, time.Duration(0)
	for _, at := range starts {
		first, last = min(first, at), max(last, at)
	}
	require.Less(t, last-first, 100*time.Millisecond)
}

// Guards against a gang that starts partially because an append took so long that only some of
// its tickets are still valid.
func TestGangIsWithdrawnAsAWhole(t *testing.T) {
	c, starts := gangWithExpiredTickets(t)
	step := c.placer.steps[cluster.StepID{Job: "gang"}]
	step.grants["w00"] = ticket{"t", c.now + time.Minute}
	step.grants["w01"] = ticket{"t", c.now + 2*time.Second}
	for len(c.placer.pendingRuns) < 6 { // the blocking tasks end and the gang is planned
		c.now += 5 * time.Millisecond
		c.runScheduled()
		c.tickWorkers()
		c.dispatch(c.placer.Tick(c.now, c.wallMS()))
		if batch, runs, ok := c.placer.Flush(c.now); ok && len(runs) > 0 {
			c.now += 3 * time.Second // a slow append
			require.NoError(t, c.append(flow.Record{Batch: &batch}))
			require.Empty(t, c.placer.BatchAppended(runs, c.now), "no member is started once a ticket of the gang has expired")
			break
		} else if ok {
			require.NoError(t, c.append(flow.Record{Batch: &batch}))
		}
	}
	require.Empty(t, starts)
	c.advance(8 * time.Second)
	require.Equal(t, flow.Completed, c.state.Jobs["gang"].Phase)
	require.Len(t, starts, 6)
}
