package integration

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"briarproxy/standin/demo"
	"briarproxy/standin/faultproxy"
	"briarproxy/standin/worker"
)

// Guards against work that is lost or doubled when a worker fails and is replaced
// on the same address, and against a daemon that takes it for the old one.
func TestWorkerRestarted(t *testing.T) {
	c := start(t, options{daemons: 3, workers: 8, operations: fastOperations})
	records := c.warm()
	load := c.load(c.urls(), 9*time.Second, doorsteps(15), certificates(8), surveys(5))
	for i := range 4 {
		time.Sleep(1500 * time.Millisecond)
		c.controlWorker(c.vms[2*i].Name, "/control/restart", struct{}{})
	}
	records = append(records, load.wait()...)
	// The result of a certificate that ran on a failed VM is gone; its caller must be
	// told that it ran.
	c.requireFinal(records, "certificate", demo.ToldAnswered, demo.ToldRan)
	c.requireFinal(records, "survey", demo.ToldAnswered, demo.ToldAccepted)
	c.verify(records)
}

// Guards against callers that wait for a connection which delivers nothing any
// more, and against a second run of what was sent on it.
func TestSilentWorkerConnections(t *testing.T) {
	c := start(t, options{daemons: 3, workers: 8, operations: fastOperations, workerProxy: true})
	records := c.warm()
	load := c.load(c.urls(), 9*time.Second, doorsteps(15), certificates(8), surveys(3))
	for _, direction := range []faultproxy.Direction{faultproxy.DirectionBoth, faultproxy.DirectionDown, faultproxy.DirectionUp} {
		time.Sleep(2 * time.Second)
		for _, p := range c.proxies {
			assert.NoError(t, p.Silence(faultproxy.Silence{All: true, Direction: direction}))
		}
	}
	records = append(records, load.wait()...)
	c.requireFinal(records, "doorstep", demo.ToldAnswered)
	c.requireFinal(records, "certificate", demo.ToldAnswered)
	c.requireFinal(records, "survey", demo.ToldAnswered, demo.ToldAccepted)
	c.verify(records)
}

// Guards against new work on VMs that leave, whether the VM list says so or the
// worker itself.
func TestLeavingVMs(t *testing.T) {
	c := start(t, options{daemons: 3, workers: 8, operations: fastOperations})
	records := c.warm()
	load := c.load(c.urls(), 9*time.Second, doorsteps(25), certificates(5), surveys(4))
	time.Sleep(2 * time.Second)
	listed, draining := c.vms[0].Name, c.vms[4].Name
	c.setLeaving(listed)
	c.controlWorker(draining, "/control/drain", worker.Drain{Draining: true})
	limit := time.Now().Add(4 * time.Second).UnixMicro()
	records = append(records, load.wait()...)
	before := map[string]int{}
	for _, e := range c.entries() {
		if e.Event != worker.EventStart {
			continue
		}
		if e.TimeUS < limit {
			before[e.VM]++
			continue
		}
		assert.NotContains(t, []string{listed, draining}, e.VM, "new work %s on a VM that leaves", e.ID)
	}
	assert.NotZero(t, before[listed]+before[draining], "neither VM ever had work, so the test shows nothing")
	c.requireFinal(records, "doorstep", demo.ToldAnswered)
	c.requireFinal(records, "certificate", demo.ToldAnswered)
	c.verify(records)
}
