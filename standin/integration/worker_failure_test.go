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

// Guards against work that is lost or duplicated when a worker fails and restarts at the
// same address, and against a daemon that mistakes the new worker for the old one.
func TestWorkerRestarted(t *testing.T) {
	c := startCluster(t, options{daemons: 3, workers: 8, operations: fastOperations})
	records := c.warmUp()
	load := c.startLoad(c.callerURLs(), 9*time.Second, doorstepLoad(15), certificateLoad(8), surveyLoad(5))
	for i := range 4 {
		time.Sleep(1500 * time.Millisecond)
		c.postWorkerControl(c.vms[2*i].Name, "/control/restart", struct{}{})
	}
	records = append(records, load.wait()...)
	c.requireOutcome(records, "certificate", demo.OutcomeAnswered, demo.OutcomeRan, demo.OutcomeUnknown)
	c.requireUnansweredOnlyOnFailedVMs(records)
	c.requireOutcome(records, "survey", demo.OutcomeAnswered, demo.OutcomeAccepted)
	c.verifyAgainstJournal(records)
}

// requireUnansweredOnlyOnFailedVMs checks that a request is unanswered only if every VM
// that ran it failed afterwards, because the VM's results are then lost.
func (c *cluster) requireUnansweredOnlyOnFailedVMs(records []*demo.Record) {
	c.Helper()
	survivingRuns := map[string]*demo.Run{}
	for _, run := range demo.Runs(c.journalEntries()) {
		if run.LostUS == 0 {
			survivingRuns[run.BodyDigest] = run
		}
	}
	for _, r := range records {
		if run := survivingRuns[r.BodyDigest]; run != nil && r.FinalOutcome != demo.OutcomeAnswered && r.FinalOutcome != demo.OutcomeAccepted {
			assert.Fail(c, "a result was not delivered", "%s ran on %s, which did not fail; its caller was told %s: %s", r.Kind, run.VM, r.FinalOutcome, lastDetail(r))
		}
	}
}

// Guards against callers that wait for a stalled connection to a worker, and against a
// second run of the requests that were sent on it.
func TestUnresponsiveWorkerConnections(t *testing.T) {
	c := startCluster(t, options{daemons: 3, workers: 8, operations: fastOperations, workerProxies: true})
	records := c.warmUp()
	load := c.startLoad(c.callerURLs(), 9*time.Second, doorstepLoad(15), certificateLoad(8), surveyLoad(3))
	for _, direction := range []faultproxy.Direction{faultproxy.DirectionBoth, faultproxy.DirectionDown, faultproxy.DirectionUp} {
		time.Sleep(2 * time.Second)
		for _, p := range c.workerProxies {
			assert.NoError(t, p.Silence(faultproxy.Silence{All: true, Direction: direction}))
		}
	}
	records = append(records, load.wait()...)
	c.requireOutcome(records, "doorstep", demo.OutcomeAnswered)
	c.requireOutcome(records, "certificate", demo.OutcomeAnswered)
	c.requireOutcome(records, "survey", demo.OutcomeAnswered, demo.OutcomeAccepted)
	c.verifyAgainstJournal(records)
}

// Guards against new work on VMs that are leaving according to the VM list or to the
// worker itself.
func TestLeavingVMs(t *testing.T) {
	c := startCluster(t, options{daemons: 3, workers: 8, operations: fastOperations})
	records := c.warmUp()
	load := c.startLoad(c.callerURLs(), 9*time.Second, doorstepLoad(25), certificateLoad(5), surveyLoad(4))
	time.Sleep(2 * time.Second)
	listed, draining := c.vms[0].Name, c.vms[4].Name
	c.markVMLeaving(listed)
	c.postWorkerControl(draining, "/control/drain", worker.Drain{Draining: true})
	cutoffUS := time.Now().Add(4 * time.Second).UnixMicro()
	records = append(records, load.wait()...)
	startsBefore := map[string]int{}
	for _, e := range c.journalEntries() {
		if e.Event != worker.EventStart {
			continue
		}
		if e.TimeUS < cutoffUS {
			startsBefore[e.VM]++
			continue
		}
		assert.NotContains(t, []string{listed, draining}, e.VM, "new work %s on a leaving VM", e.ID)
	}
	assert.NotZero(t, startsBefore[listed]+startsBefore[draining], "neither VM had any work, so the test is not meaningful")
	c.requireOutcome(records, "doorstep", demo.OutcomeAnswered)
	c.requireOutcome(records, "certificate", demo.OutcomeAnswered)
	c.verifyAgainstJournal(records)
}

// Guards against a delayed worker report that was created before a task's start and is
// processed after it. The task is not in the report, but must not be considered lost and
// started again.
func TestDelayedReports(t *testing.T) {
	c := startCluster(t, options{daemons: 3, workers: 8, operations: []string{"survey=1000", "certificate=300", "doorstep=100"}})
	records := c.warmUp()
	for _, vm := range c.vms {
		c.postWorkerControl(vm.Name, "/control/misbehaviour", worker.Misbehaviour{ResponseDelayMS: 300, Paths: []string{wire.PathReport}})
	}
	records = append(records, c.startLoad(c.callerURLs(), 5*time.Second, surveyLoad(15)).wait()...)
	c.requireOutcome(records, "survey", demo.OutcomeAnswered, demo.OutcomeAccepted)
	c.verifyAgainstJournal(records)
}

// Guards against passing on worker responses that belong to another request, are truncated
// or never end, and against a second run of a request because of such a response.
func TestCorruptWorkerResponses(t *testing.T) {
	c := startCluster(t, options{daemons: 3, workers: 8, operations: fastOperations})
	records := c.warmUp()
	paths := []string{wire.PathStart, wire.PathStop}
	faults := []worker.Misbehaviour{{MismatchResultIDs: true}, {TruncateResults: true}, {TruncateResponses: true}, {HangResponses: true}}
	for i, vm := range c.vms {
		fault := faults[i%len(faults)]
		fault.Paths, fault.FaultProbability, fault.Seed = paths, 0.3, int64(i+1)
		c.postWorkerControl(vm.Name, "/control/misbehaviour", fault)
	}
	records = append(records, c.startLoad(c.callerURLs(), 7*time.Second, doorstepLoad(15), certificateLoad(8), surveyLoad(4)).wait()...)
	c.requireOutcome(records, "certificate", demo.OutcomeAnswered)
	c.requireOutcome(records, "survey", demo.OutcomeAnswered, demo.OutcomeAccepted)
	c.verifyAgainstJournal(records)
}

// busiestVM returns the VM with the most task starts so far.
func (c *cluster) busiestVM() string {
	c.Helper()
	counts := map[string]int{}
	busiest := ""
	for _, e := range c.journalEntries() {
		if e.Event == worker.EventStart && e.Kind == wire.KindTask {
			counts[e.VM]++
		}
		if counts[e.VM] > counts[busiest] {
			busiest = e.VM
		}
	}
	return busiest
}

// isolationTimeout is the time within which a rack's owner learns of a third failure. The
// owner requests a report every 2 s.
const isolationTimeout = 3 * time.Second

// startsAfterIsolation counts the starts on a VM that come more than isolationTimeout after
// the failures that should isolate it, and reports whether there were such failures. A VM
// should be isolated after its third failure, or after a later one if all failures before
// are of the same operation.
func (c *cluster) startsAfterIsolation(vm string, from time.Time) (late int, isolated bool) {
	c.Helper()
	failures := 0
	operations := map[string]bool{}
	var cutoffUS int64
	for _, e := range c.journalEntries() {
		if e.VM != vm || e.TimeUS < from.UnixMicro() || e.Kind != wire.KindTask {
			continue
		}
		if e.Event == worker.EventStart && cutoffUS > 0 && e.TimeUS > cutoffUS {
			late++
		}
		if e.Event == worker.EventEnd && e.State == wire.RunFailed {
			failures++
			operations[e.Operation] = true
		}
		if cutoffUS == 0 && failures >= 3 && len(operations) > 1 {
			cutoffUS = e.TimeUS + isolationTimeout.Microseconds()
		}
	}
	return late, cutoffUS > 0
}

// Guards against a worker that fails every task and attracts all work, because each failure
// frees its capacity at once. The test sends two operations, since failures of only one
// would not distinguish a faulty worker from a faulty operation.
func TestWorkerFailsAllTasks(t *testing.T) {
	c := startCluster(t, options{daemons: 3, workers: 9, operations: append([]string{"risk-map=300"}, fastOperations...)})
	records := c.warmUp()
	runningLoad := c.startLoad(c.callerURLs(), 9*time.Second, surveyLoad(10), riskMapLoad(1, 40))
	time.Sleep(1500 * time.Millisecond)
	failingVM := c.busiestVM()
	c.postWorkerControl(failingVM, "/control/misbehaviour", worker.Misbehaviour{FailAll: true})
	from := time.Now()
	loadRecords := runningLoad.wait()
	c.requireOutcome(loadRecords, "survey", demo.OutcomeAnswered, demo.OutcomeAccepted)
	late, isolated := c.startsAfterIsolation(failingVM, from)
	assert.True(t, isolated, "the VM had too few failures to be isolated, so the test is not meaningful")
	assert.LessOrEqual(t, late, 1, "starts on the failing VM after it should be isolated; one start may be a probe")
	c.verifyAgainstJournal(append(records, loadRecords...))
}
