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

// Guards against a system that loses, doubles or refuses work when nothing fails.
func TestWholePath(t *testing.T) {
	c := start(t, options{daemons: 3, workers: 8, operations: fastOperations})
	records := c.warm()
	records = append(records, c.load(c.urls(), 6*time.Second, doorsteps(20), certificates(5), surveys(4)).wait()...)
	c.requireFinal(records, "doorstep", demo.ToldAnswered)
	c.requireFinal(records, "certificate", demo.ToldAnswered)
	c.requireFinal(records, "survey", demo.ToldAnswered, demo.ToldAccepted)
	c.verify(records)
}

// Guards against certificates that run twice or are lost when the daemon that
// forwards them, or that owns their key, is killed.
func TestDaemonKilled(t *testing.T) {
	c := start(t, options{daemons: 3, workers: 8, operations: fastOperations})
	records := c.warm()
	load := c.load(c.urls(), 8*time.Second, certificates(15), surveys(4))
	time.Sleep(2 * time.Second)
	c.daemons[0].kill()
	records = append(records, load.wait()...)
	c.requireFinal(records, "certificate", demo.ToldAnswered)
	c.requireFinal(records, "survey", demo.ToldAnswered, demo.ToldAccepted)
	c.verify(records)
}

// Guards against a daemon that acts on expired leases after a pause: a certificate
// that runs twice, a task in two places, a VM over its capacity.
func TestDaemonPaused(t *testing.T) {
	c := start(t, options{daemons: 3, workers: 8, operations: fastOperations})
	records := c.warm()
	all := c.load(c.urls(), 12*time.Second, certificates(10), surveys(3))
	others := c.load(c.urls(c.daemons[1]), 12*time.Second, doorsteps(15))
	time.Sleep(1500 * time.Millisecond)
	c.daemons[1].pause()
	time.Sleep(10 * time.Second)
	c.daemons[1].unpause()
	records = append(records, all.wait()...)
	records = append(records, others.wait()...)
	c.requireFinal(records, "certificate", demo.ToldAnswered)
	c.requireFinal(records, "survey", demo.ToldAnswered, demo.ToldAccepted)
	c.requireFinal(records, "doorstep", demo.ToldAnswered, demo.ToldNotRun)
	c.verify(records)
}

// Guards against a planned stop that cuts off a request in flight: every call of
// the daemon before it turned unready is answered, and it ends by itself.
func TestGracefulStop(t *testing.T) {
	c := start(t, options{daemons: 3, workers: 8, operations: []string{"survey=200", "certificate=600", "doorstep=400"}})
	records := c.warm()
	others := c.load(c.urls(c.daemons[2]), 7*time.Second, doorsteps(10), certificates(5))
	calls := c.callUntilUnready(c.daemons[2], 40)
	time.Sleep(2 * time.Second)
	c.daemons[2].stopSoft()
	stopped := calls.wait()
	assert.Greater(t, len(stopped), 40, "too few requests to show anything")
	assert.Zero(t, c.daemons[2].waitExit(15*time.Second))
	for _, r := range stopped {
		if r.Final == demo.ToldBroken || r.Final == demo.ToldUnknown {
			assert.Fail(t, "a request was cut off", "%s: %s", r.Kind, lastDetail(r))
		}
	}
	records = append(records, stopped...)
	records = append(records, others.wait()...)
	c.verify(records)
}

// Guards against long tasks that are lost, run in two places or start again
// without need when the owner of their rack or of their job is killed.
func TestJobSurvivesKilledDaemon(t *testing.T) {
	c := start(t, options{daemons: 3, workers: 9, operations: []string{"risk-map=7000", "certificate=300", "doorstep=100"}})
	records := c.warm()
	ctx, cancel := context.WithTimeout(context.Background(), loadWait)
	defer cancel()
	client := demo.NewClient(c.urls(), seed)
	defer client.Close()
	spec := wire.JobSpec{ID: "map-1", Template: "risk-map", Tasks: 30, Body: []byte("map")}
	record := client.Submit(ctx, "risk-map", spec, 10*time.Second)
	record.Batch = true
	require.Equal(t, demo.ToldAccepted, record.Final, lastDetail(record))
	time.Sleep(2 * time.Second)
	c.daemons[0].kill()
	client.Await(ctx, record, 15*time.Second)
	records = append(records, record)
	c.verify(records)
	starts := 0
	for _, e := range c.entries() {
		if e.Job == spec.ID && e.Event == worker.EventStart {
			starts++
		}
	}
	assert.Equal(t, spec.Tasks, starts, "a task that its worker goes on running needs no second start")
}

// Guards against faults that only two failures together show: the log service is
// down, and a daemon is killed meanwhile.
func TestDaemonKilledDuringLogOutage(t *testing.T) {
	c := start(t, options{daemons: 3, workers: 8, operations: fastOperations})
	records := c.warm()
	load := c.load(c.urls(), 7*time.Second, certificates(10), surveys(4))
	time.Sleep(1500 * time.Millisecond)
	c.control(c.logURL, "/control/outage", logservice.Outage{MS: 4000})
	time.Sleep(time.Second)
	c.daemons[1].kill()
	records = append(records, load.wait()...)
	c.requireFinal(records, "certificate", demo.ToldAnswered)
	c.requireFinal(records, "survey", demo.ToldAnswered, demo.ToldAccepted)
	c.verify(records)
}
