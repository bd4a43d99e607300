package rack

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/wire"
	"briarproxy/daemon/view"
)

// ownAfterRelease changes the view so that the former owner released the rack.
func (h *harness) ownAfterRelease() {
	snapshot := *h.holder.Current()
	units := map[string]view.Unit{}
	for name, unit := range snapshot.Units {
		unit.AfterRelease = true
		units[name] = unit
	}
	snapshot.Units = units
	h.holder.Publish(&snapshot)
}

func (h *harness) query(id string) wire.StopOutcome {
	call := stopCall{
		args:     &wire.StopArgs{Tasks: []wire.StopTask{{TaskID: id, Generation: 1, VM: testVM, Query: true}}},
		outcomes: make(chan wire.StopOutcome, 1), reply: make(chan bool, 1),
	}
	call.handle(h.Owner)
	h.pump()
	return <-call.outcomes
}

// Guards against tasks that wait for ever because their worker died just before
// their rack changed owner, and against calling them stopped too early.
func TestTasksOfAWorkerThatWasNeverReachedEndAfterARelease(t *testing.T) {
	h := newHarness(t, vmSize)
	h.ownAfterRelease()
	h.worker.silent = true
	h.pass(time.Second, tickInterval)
	h.pass(runLease+startValidity-2*time.Second, tickInterval)
	require.False(t, h.query("j/0").Known, "the run lease may still hold")
	h.pass(3*time.Second, tickInterval)
	outcome := h.query("j/0")
	require.True(t, outcome.Known)
	require.Equal(t, wire.RunStopped, outcome.State)
	require.False(t, h.query("request.1").Known, "requests have longer run leases")
}

// Guards against a second run while a former owner that did not release the rack
// still renews run leases on a worker that only it reaches.
func TestTasksOfAnUnreachedWorkerStayOpenWithoutARelease(t *testing.T) {
	h := newHarness(t, vmSize)
	h.worker.silent = true
	h.pass(time.Minute, time.Second)
	require.False(t, h.query("j/0").Known)
}

// Guards against a release that tells the next owner that nobody renews run leases
// on a worker, although an earlier owner may.
func TestRackWithAnUnreachedWorkerIsKept(t *testing.T) {
	h := newHarness(t, vmSize)
	rack := wire.RackUnit("c", "r")
	h.worker.silent = true
	h.pass(time.Second, tickInterval)
	require.True(t, h.MustKeep(rack))
	h.worker.silent = false
	h.pass(time.Second, tickInterval)
	require.False(t, h.MustKeep(rack))
	h.worker.silent = true
	h.pass(time.Minute, time.Second)
	require.False(t, h.MustKeep(rack), "it was fenced once, so no earlier owner can renew")
}

// Guards against run leases that are renewed after the rack was released, because the
// owner's goroutine has not followed the newest view yet: the next owner counts on the
// last renewal being older than the release.
func TestNothingIsRenewedAfterTheRelease(t *testing.T) {
	h := newHarness(t, vmSize)
	h.pass(time.Second, tickInterval)
	require.True(t, h.start(h.reserve("j/0", taskSize)[0], taskSize).Started)
	h.pass(renewInterval+time.Second, tickInterval)
	before := h.worker.leases["j/0"]
	released := *h.holder.Current()
	released.Units = map[string]view.Unit{}
	h.holder.Publish(&released)
	for range 20 {
		h.now += time.Second
		h.tick() // without reconcile
		h.pump()
	}
	require.Equal(t, before, h.worker.leases["j/0"])
}
