package node

import (
	"sync"

	"briarproxy/core/chart"
	"briarproxy/daemon/event"
)

// States of the daemon chart that the code asks for.
const (
	stateSyncing chart.State = "syncing"
	stateServing chart.State = "serving"
)

// Events of the daemon chart.
const (
	listening        chart.Event = "listening"
	startFailed      chart.Event = "start-failed"
	synced           chart.Event = "synced"
	stop             chart.Event = "stop"
	drainDelayPassed chart.Event = "drain-delay-passed"
	requestsEnded    chart.Event = "requests-ended"
	requestsCutOff   chart.Event = "requests-cut-off" // some were in flight when the time was over
	loansReturned    chart.Event = "loans-returned"
	loansKept        chart.Event = "loans-kept" // some were in use; they expire
	releaseLogged    chart.Event = "release-logged"
	releaseFailed    chart.Event = "release-failed" // the units change owner when their leases end
)

var daemonChart = chart.MustLoad(chart.Daemon)

// life is the daemon's state by the daemon chart. It is safe for concurrent use.
type life struct {
	events  *event.Logger
	mu      sync.Mutex
	machine *chart.Machine
}

func newLife(events *event.Logger) *life {
	return &life{events: events, machine: daemonChart.Start()}
}

func (l *life) state() chart.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.State()
}

// step moves by an event and reports whether the state handles it. A refused event
// changes nothing and is logged.
func (l *life) step(e chart.Event) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, err := l.machine.Step(e); err != nil {
		l.events.Emit(eventLife, "error", err.Error())
		return false
	}
	return true
}

// either returns yes if ok, no if not.
func either[T any](ok bool, yes, no T) T {
	if ok {
		return yes
	}
	return no
}
