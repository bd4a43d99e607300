package integration

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarproxy/core/wire"
	"briarproxy/standin/demo"
	"briarproxy/standin/logservice"
	"briarproxy/standin/worker"
)

var fastOperations = []string{"survey=200", "certificate=300", "doorstep=100"}

// Guards against lost, duplicated or refused work in a cluster without failures.
func TestRequestsWithoutFailures(t *testing.T) {
	c := startCluster(t, options{daemons: 3, workers: 8, operations: fastOperations})
	records := c.warmUp()
	records = append(records, c.startLoad(c.callerURLs(), 6*time.Second, doorstepLoad(20), certificateLoad(5), surveyLoad(4)).wait()...)
	c.requireOutcome(records, "doorstep", demo.OutcomeAnswered)
	c.requireOutcome(records, "certificate", demo.OutcomeAnswered)
	c.requireOutcome(records, "survey", demo.OutcomeAnswered, demo.OutcomeAccepted)
	c.verifyAgainstJournal(records)
}

// Guards against certificate requests that run twice or are lost when the daemon that
// forwards them, or the daemon that owns their key, is killed.
func TestDaemonKilled(t *testing.T) {
	c := startCluster(t, options{daemons: 3, workers: 8, operations: fastOperations})
	records := c.warmUp()
	load := c.startLoad(c.callerURLs(), 8*time.Second, certificateLoad(15), surveyLoad(4))
	time.Sleep(2 * time.Second)
	c.daemons[0].kill()
	records = append(records, load.wait()...)
	c.requireOutcome(records, "certificate", demo.OutcomeAnswered)
	c.requireOutcome(records, "survey", demo.OutcomeAnswered, demo.OutcomeAccepted)
	c.verifyAgainstJournal(records)
}

// Guards against a daemon that acts on expired leases after a pause. The consequences
// are a certificate request that runs twice, a task that runs on two workers, or an
// overcommitted VM.
func TestDaemonPaused(t *testing.T) {
	c := startCluster(t, options{daemons: 3, workers: 8, operations: fastOperations})
	records := c.warmUp()
	all := c.startLoad(c.callerURLs(), 12*time.Second, certificateLoad(10), surveyLoad(3))
	others := c.startLoad(c.callerURLs(c.daemons[1]), 12*time.Second, doorstepLoad(15))
	time.Sleep(1500 * time.Millisecond)
	c.daemons[1].pause()
	time.Sleep(10 * time.Second)
	c.daemons[1].resume()
	records = append(records, all.wait()...)
	records = append(records, others.wait()...)
	c.requireOutcome(records, "certificate", demo.OutcomeAnswered)
	c.requireOutcome(records, "survey", demo.OutcomeAnswered, demo.OutcomeAccepted)
	c.requireOutcome(records, "doorstep", demo.OutcomeAnswered, demo.OutcomeNotRun)
	c.verifyAgainstJournal(records)
}

// Guards against a graceful stop that drops in-flight requests. The daemon must answer
// every request that was sent before it became unready, and then exit by itself.
func TestGracefulStop(t *testing.T) {
	c := startCluster(t, options{daemons: 3, workers: 8, operations: []string{"survey=200", "certificate=600", "doorstep=400"}})
	records := c.warmUp()
	others := c.startLoad(c.callerURLs(c.daemons[2]), 7*time.Second, doorstepLoad(10), certificateLoad(5))
	calls := c.callUntilUnready(c.daemons[2], 40)
	time.Sleep(2 * time.Second)
	c.daemons[2].terminate()
	stopped := calls.wait()
	assert.Greater(t, len(stopped), 40, "too few requests for a meaningful test")
	assert.Zero(t, c.daemons[2].waitExit(15*time.Second))
	for _, r := range stopped {
		if r.FinalOutcome == demo.OutcomeBroken || r.FinalOutcome == demo.OutcomeUnknown {
			assert.Fail(t, "an in-flight request was dropped", "%s: %s", r.Kind, lastDetail(r))
		}
	}
	records = append(records, stopped...)
	records = append(records, others.wait()...)
	c.verifyAgainstJournal(records)
}

// Guards against long tasks that are lost, run on two workers at once or are restarted
// needlessly when the daemon that owns their rack or their job is killed.
func TestJobSurvivesKilledDaemon(t *testing.T) {
	c := startCluster(t, options{daemons: 3, workers: 9, operations: []string{"risk-map=7000", "certificate=300", "doorstep=100"}})
	records := c.warmUp()
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	client := demo.NewClient(c.callerURLs(), seed)
	defer client.Close()
	spec := wire.JobSpec{ID: "map-1", Template: "risk-map", Tasks: 30, Body: []byte("map")}
	record := client.SubmitJob(ctx, "risk-map", spec, 10*time.Second)
	record.IndependentTasks = true
	require.Equal(t, demo.OutcomeAccepted, record.FinalOutcome, lastDetail(record))
	time.Sleep(2 * time.Second)
	c.daemons[0].kill()
	client.AwaitJob(ctx, record, 15*time.Second)
	records = append(records, record)
	c.verifyAgainstJournal(records)
	starts := 0
	for _, e := range c.journalEntries() {
		if e.Job == spec.ID && e.Event == worker.EventStart {
			starts++
		}
	}
	assert.Equal(t, spec.Tasks, starts, "a task that is still running on its worker must not be started again")
}

// Guards against faults that only a combination of failures exposes: a daemon is
// killed while the log service is unavailable.
func TestDaemonKilledDuringLogOutage(t *testing.T) {
	c := startCluster(t, options{daemons: 3, workers: 8, operations: fastOperations})
	records := c.warmUp()
	load := c.startLoad(c.callerURLs(), 7*time.Second, certificateLoad(10), surveyLoad(4))
	time.Sleep(1500 * time.Millisecond)
	c.postControl(c.logURL, "/control/outage", logservice.Outage{MS: 4000})
	time.Sleep(time.Second)
	c.daemons[1].kill()
	records = append(records, load.wait()...)
	c.requireOutcome(records, "certificate", demo.OutcomeAnswered)
	c.requireOutcome(records, "survey", demo.OutcomeAnswered, demo.OutcomeAccepted)
	c.verifyAgainstJournal(records)
}
