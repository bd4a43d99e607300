package rack

import (
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/assert"

	"briarproxy/core/wire"
	"briarproxy/daemon/event"
	"briarproxy/daemon/view"
)

// Guards against a second run of a task that still runs: a report that the worker
// made before a start arrived may be handled after the answer to that start.
func TestReportFromBeforeTheStartEndsNothing(t *testing.T) {
	now := time.Second
	o := New(Options{
		Self: "d1", Log: event.NewLogger(io.Discard, log.InfoLevel, "d1"),
		Now: func() time.Duration { return now }, Random: rand.New(rand.NewPCG(1, 1)),
	})
	w := &worker{vm: view.VM{VM: wire.VM{Name: "vm-1"}}, fenced: true, attempts: map[string]*attempt{}}
	a := &attempt{task: wire.Attempt{ID: "job/1", Generation: 1, Kind: wire.KindTask, State: wire.RunRunning}, starting: true}
	w.attempts["job/1"] = a
	o.workers["vm-1"] = w
	started := wire.StartOutcome{TaskID: "job/1", Generation: 1, VM: "vm-1", Started: true}
	o.noteStart(w, startAnswer{vm: "vm-1", start: wire.Start{ID: "job/1", Generation: 1}}, started)

	o.follow(w, inventory{vm: "vm-1", sent: now - time.Millisecond})
	assert.False(t, a.ended(), "the report was asked for before the start was answered")

	now += time.Second
	o.follow(w, inventory{vm: "vm-1", sent: now})
	assert.True(t, a.ended(), "the worker has forgotten the task")
}
