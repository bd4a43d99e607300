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

// disconnectedPlacer is an earlier placer that is cut off from the log and from the daemons. It reaches
// all workers, and works until a worker knows a newer token or its time without the log is over.
type disconnectedPlacer struct {
	*Placer
	stopsAt time.Duration
}

// step lets the placer renew leases of workers.
func (d *disconnectedPlacer) step(c *fakeCell) {
	if c.now > d.stopsAt {
		return
	}
	for _, command := range d.Tick(c.now, c.wallMS()) {
		if command.Poll == nil {
			continue
		}
		w := c.workers[command.Poll.Life.Worker]
		if command.Poll.Renewal.Token < w.token {
			d.stopsAt = c.now
			return
		}
		d.PollAnswered(command.Poll, c.poll(w, &command.Poll.Renewal), c.now)
	}
}

// Guards against tasks that run twice because a placer, two claims later, takes the leases of one that
// is cut off for expired: 60 seeds of moments and of unreachable workers (TWICE).
func TestTasksRunOnceWhileAnEarlierPlacerRenewsLeases(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			c := readyCell(t, 4)
			c.runTime = func(cluster.Start) time.Duration { return time.Duration(2+rng.IntN(18)) * time.Second }
			c.submit("j", batchStep(10))
			c.advance(time.Duration(300+rng.IntN(1500)) * time.Millisecond)
			first := &disconnectedPlacer{c.placer, c.now + testOptions.MaxRenewalWithoutLog}
			advance := func(d time.Duration) {
				for end := c.now + d; c.now < end; {
					c.advance(5 * time.Millisecond)
					first.step(c)
				}
			}
			for _, w := range c.workers {
				w.partitioned = rng.IntN(3) > 0 // from the later placers
			}
			for range 1 + rng.IntN(3) {
				former := c.state.Claim
				c.takeOver()
				if former.Epoch > 1 && rng.IntN(4) > 0 {
					c.placer.FormerPlacerRetired(former.Daemon, former.Epoch, c.now)
				}
				advance(time.Duration(rng.IntN(4000)) * time.Millisecond)
			}
			advance(30 * time.Second)
			for _, w := range c.workers {
				w.partitioned = false
			}
			advance(40 * time.Second)
			require.Equal(t, flow.Completed, c.state.Jobs["j"].Phase)
		})
	}
}

// Guards against an end that is acknowledged before anything of its run is recorded, because the placer
// had already given the run up: after a takeover the task runs again.
func TestEndOfAGivenUpRunIsAcknowledgedAfterItsRecord(t *testing.T) {
	c := readyCell(t, 2)
	c.runTime = func(cluster.Start) time.Duration { return 3 * time.Second }
	c.submit("j", batchStep(1))
	c.advance(500 * time.Millisecond)
	w := c.busyWorker()
	c.logUnreachable, w.partitioned = true, true
	c.advance(8 * time.Second) // the task is done, and then the lease expires
	w.partitioned = false
	c.advance(2 * time.Second)
	c.logUnreachable = false
	c.takeOver()
	c.advance(5 * time.Second)
	require.Equal(t, flow.Completed, c.state.Jobs["j"].Phase)
	require.Equal(t, 1, c.starts)
}
