package integration

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"briarproxy/core/wire"
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
	c.requireFinal(records, "certificate", demo.ToldAnswered, demo.ToldRan, demo.ToldUnknown)
	c.requireLostOnFailedVMs(records)
	c.requireFinal(records, "survey", demo.ToldAnswered, demo.ToldAccepted)
	c.verify(records)
}

// requireLostOnFailedVMs checks that only requests whose every run was on a VM that
// failed afterwards have no answer: what the VM knew of them is gone.
func (c *cluster) requireLostOnFailedVMs(records []*demo.Record) {
	c.Helper()
	survived := map[string]*demo.Run{}
	for _, run := range demo.Runs(c.entries()) {
		if run.Gone == 0 {
			survived[run.BodyDigest] = run
		}
	}
	for _, r := range records {
		if run := survived[r.Digest]; run != nil && r.Final != demo.ToldAnswered && r.Final != demo.ToldAccepted {
			assert.Fail(c, "an answer was not fetched", "%s ran on %s, which did not fail; its caller was told %s: %s", r.Kind, run.VM, r.Final, lastDetail(r))
		}
	}
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

// Guards against a report that was written before a start and read after it: the
// task that it does not list yet must not count as gone and start a second time.
func TestLateReports(t *testing.T) {
	c := start(t, options{daemons: 3, workers: 8, operations: []string{"survey=1000", "certificate=300", "doorstep=100"}})
	records := c.warm()
	for _, vm := range c.vms {
		c.controlWorker(vm.Name, "/control/misbehaviour", worker.Misbehaviour{LateAnswersMS: 300, Paths: []string{wire.PathReport}})
	}
	records = append(records, c.load(c.urls(), 5*time.Second, surveys(15)).wait()...)
	c.requireFinal(records, "survey", demo.ToldAnswered, demo.ToldAccepted)
	c.verify(records)
}

// Guards against answers that belong to another request, are cut short or lack
// their end, and against a second run of the request because its answer was bad.
func TestSpoiltAnswers(t *testing.T) {
	c := start(t, options{daemons: 3, workers: 8, operations: fastOperations})
	records := c.warm()
	paths := []string{wire.PathStart, wire.PathStop}
	faults := []worker.Misbehaviour{{ForeignResults: true}, {ShortenResults: true}, {TruncateAnswers: true}, {HangAnswers: true}}
	for i, vm := range c.vms {
		bad := faults[i%len(faults)]
		bad.Paths, bad.Share, bad.Seed = paths, 0.3, int64(i+1)
		c.controlWorker(vm.Name, "/control/misbehaviour", bad)
	}
	records = append(records, c.load(c.urls(), 7*time.Second, doorsteps(15), certificates(8), surveys(4)).wait()...)
	c.requireFinal(records, "certificate", demo.ToldAnswered)
	c.requireFinal(records, "survey", demo.ToldAnswered, demo.ToldAccepted)
	c.verify(records)
}

// busiest returns the VM on which most tasks were started so far.
func (c *cluster) busiest() string {
	c.Helper()
	counts := map[string]int{}
	best := ""
	for _, e := range c.entries() {
		if e.Event == worker.EventStart && e.Kind == wire.KindTask {
			counts[e.VM]++
		}
		if counts[e.VM] > counts[best] {
			best = e.VM
		}
	}
	return best
}

// isolateWithin is the time in which a rack's owner learns of a third failure: it
// asks for a report every 2 s.
const isolateWithin = 3 * time.Second

// startsAfterIsolation counts the starts on a VM that come over isolateWithin after
// its third failure in a row, by which time two operations have failed.
func (c *cluster) startsAfterIsolation(vm string, from time.Time) (late int, isolated bool) {
	c.Helper()
	failures := 0
	operations := map[string]bool{}
	var limit int64
	for _, e := range c.entries() {
		if e.VM != vm || e.TimeUS < from.UnixMicro() || e.Kind != wire.KindTask {
			continue
		}
		if e.Event == worker.EventStart && limit > 0 && e.TimeUS > limit {
			late++
		}
		if e.Event == worker.EventEnd && e.State == wire.RunFailed {
			failures++
			operations[e.Operation] = true
		}
		if limit == 0 && failures >= 3 && len(operations) > 1 {
			limit = e.TimeUS + isolateWithin.Microseconds()
		}
	}
	return late, limit > 0
}

// Guards against a worker that fails everything and attracts all work, because it
// is free again at once. Two unlike operations are sent: one alone would not tell a
// bad worker from a bad operation.
func TestWorkerFailsEverything(t *testing.T) {
	c := start(t, options{daemons: 3, workers: 9, operations: append([]string{"risk-map=300"}, fastOperations...)})
	records := c.warm()
	sending := c.load(c.urls(), 9*time.Second, surveys(10), riskMaps(1, 40))
	time.Sleep(1500 * time.Millisecond)
	bad := c.busiest()
	c.controlWorker(bad, "/control/misbehaviour", worker.Misbehaviour{FailAll: true})
	from := time.Now()
	load := sending.wait()
	c.requireFinal(load, "survey", demo.ToldAnswered, demo.ToldAccepted)
	late, isolated := c.startsAfterIsolation(bad, from)
	assert.True(t, isolated, "the VM never had failures that isolate it, so the test shows nothing")
	assert.LessOrEqual(t, late, 1, "starts on the VM that fails everything, long after it should be isolated; one may be a probe")
	c.verify(append(records, load...))
}
