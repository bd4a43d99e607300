package integration

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/standin/platform"
)

const (
	lostStartMaxLease = 3 * time.Second
	lostStartRunTime  = 5 * time.Second // Longer than the leases.
	lostStartCuts     = 6
	startWait         = 25 * time.Second // Covers the longest lease and a takeover.
)

// lostStartCell is a cell in which something happens to each worker that starts a task of one job.
type lostStartCell struct {
	*platformCell
	job     string
	starts  chan string // The workers that have started a task of the job.
	started atomic.Int64
}

func newLostStartCell(t *testing.T, daemons int) *lostStartCell {
	return &lostStartCell{
		platformCell: startPlatformCell(&platformCell{t: t, store: platform.NewStore(), retentionSeconds: 300, maxLease: lostStartMaxLease}, daemons, 8, false),
		job:          fmt.Sprintf("%016x", 0x105700),
		starts:       make(chan string, 100),
	}
}

// begin submits the job, which has one task, once the daemons have run another job.
func (c *lostStartCell) begin(fault platform.StartFault) {
	warmUp := fmt.Sprintf("%016x", 0x1057ff)
	c.submit(0, warmUp, c.newStep(warmUp, 0, 8, 100*time.Millisecond, nil))
	c.waitCompleted(0, []string{warmUp}, 10*time.Second)
	fault.Then = func(worker string) {
		c.started.Add(1)
		c.starts <- worker
	}
	c.fleet.SetStartFault(c.job, &fault)
	c.submit(0, c.job, c.newStep(c.job, 0, 1, lostStartRunTime, nil))
}

// isShownAsFailed reports whether a daemon answers a question for the job with failed.
func (c *lostStartCell) isShownAsFailed() bool {
	for i := range c.daemons {
		if status, text := c.callDaemon(i, http.MethodGet, c.job, nil); status == http.StatusOK && strings.Contains(text, "failed") {
			return true
		}
	}
	return false
}

// nextStart waits for a start of the job's task while the job must not be shown as failed.
func (c *lostStartCell) nextStart() (worker string) {
	c.t.Helper()
	for end := time.Now().Add(startWait); time.Now().Before(end); {
		select {
		case worker := <-c.starts:
			return worker
		case <-time.After(50 * time.Millisecond):
			require.False(c.t, c.isShownAsFailed(), "the job is shown as failed after %d starts; no run of it has ended as failed, and no worker has crashed", c.started.Load())
		}
	}
	require.Fail(c.t, "no further start of the task", "%d starts", c.started.Load())
	return ""
}

// killPlacer kills the placer and starts its daemon again.
func (c *lostStartCell) killPlacer() {
	c.t.Helper()
	placer := c.currentPlacer()
	c.daemons[placer].kill()
	c.restartDaemon(placer)
}

// waitLapsed waits until the lease of a worker has expired.
func (c *lostStartCell) waitLapsed(worker string) {
	c.t.Helper()
	require.Eventually(c.t, func() bool { return c.fleet.RunsOn(worker) == 0 }, 2*lostStartMaxLease, 10*time.Millisecond, worker)
}

// waitCompletedOnly is like waitCompleted for a job that must not be shown as failed meanwhile.
func (c *lostStartCell) waitCompletedOnly() {
	c.t.Helper()
	require.Eventually(c.t, func() bool {
		status, text := c.callDaemon(0, http.MethodGet, c.job, nil)
		require.NotContains(c.t, text, "failed", "%d starts", c.started.Load())
		return status == http.StatusOK && strings.Contains(text, "completed")
	}, 40*time.Second, 50*time.Millisecond)
	require.Empty(c.t, c.fleet.Violations())
}

// Guards against a job that is shown as failed although its runs have only lapsed, on workers that were cut off right after the start.
func TestPlatformJobIsNotFailedWhileItsWorkersAreCutOff(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name       string
		cut        platform.CutKind
		answered   bool
		together   bool // All cuts last until the last lease has expired.
		killPlacer bool // The placer is killed after each start.
	}{
		{name: "in both directions", cut: platform.CutBoth, answered: true},
		{name: "answers lost", cut: platform.CutAnswers, answered: true},
		{name: "answers lost, that to the start too", cut: platform.CutAnswers},
		{name: "in both directions, all at a time", cut: platform.CutBoth, answered: true, together: true},
		{name: "in both directions, the placers are killed", cut: platform.CutBoth, answered: true, killPlacer: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := newLostStartCell(t, 3)
			end := c.fleet.Reconnect
			if test.cut == platform.CutAnswers {
				end = c.fleet.DeliverAnswers
			}
			c.begin(platform.StartFault{Cut: test.cut, Answered: test.answered})
			var cutOff []string
			for cut := range lostStartCuts {
				worker := c.nextStart()
				if len(cutOff) > 0 && !test.together {
					end(cutOff[0])
					cutOff = nil
				}
				cutOff = append(cutOff, worker)
				if test.killPlacer {
					time.Sleep(20 * time.Millisecond) // The answer to the start arrives.
					c.killPlacer()
				}
				c.waitLapsed(worker)
				if cut == lostStartCuts-1 {
					c.fleet.SetStartFault(c.job, nil)
				}
			}
			time.Sleep(time.Second)
			for _, worker := range cutOff {
				end(worker)
			}
			c.waitCompletedOnly()
		})
	}
}

// Guards against a job that is shown as failed although its runs have only lapsed, while the placer was frozen right after the starts.
func TestPlatformJobIsNotFailedWhileItsPlacerIsFrozen(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name    string
		daemons int
	}{
		{"it is the only daemon", 1},
		{"the log is kept from the others", 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := newLostStartCell(t, test.daemons)
			c.begin(platform.StartFault{Answered: true})
			for range lostStartCuts {
				worker := c.nextStart()
				time.Sleep(20 * time.Millisecond) // The answer to the start arrives.
				placer := c.daemons[c.currentPlacer()]
				placer.pause()
				c.store.SetUnavailable(test.daemons > 1)
				c.waitLapsed(worker)
				time.Sleep(time.Second)
				c.store.SetUnavailable(false)
				placer.resume()
			}
			c.waitCompletedOnly()
		})
	}
}

// Guards against a task that crashes one worker after another without end, whether they are back under their IDs or under new ones.
func TestPlatformTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	t.Parallel()
	const maxStarts = 5
	for _, test := range []struct {
		name       string
		newID      bool
		answered   bool
		killPlacer bool
	}{
		{"back under a new ID", true, true, false},
		{"back under a new ID, the placer is killed", true, true, true},
		{"back under a new ID, the start is not answered", true, false, false},
		{"back under the same ID", false, true, false},
		{"back under the same ID, the placer is killed", false, true, true},
		{"back under the same ID, the start is not answered", false, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := newLostStartCell(t, 3)
			c.begin(platform.StartFault{Answered: test.answered, CrashFor: 3 * time.Second, NewID: test.newID})
			if test.killPlacer {
				<-c.starts
				<-c.starts
				time.Sleep(200 * time.Millisecond)
				c.killPlacer()
			}
			require.Eventually(t, func() bool { return c.started.Load() > maxStarts || c.isShownAsFailed() }, 60*time.Second, 100*time.Millisecond)
			time.Sleep(2 * lostStartMaxLease)
			require.LessOrEqual(t, c.started.Load(), int64(maxStarts), "starts")
			require.True(t, c.isShownAsFailed())
			require.True(t, c.fleet.FailureIsJustified(c.job, 3))
			require.Empty(t, c.fleet.Violations())
		})
	}
}
