package placer

import (
	"time"

	"briarproxy/core/chart"
	"briarproxy/core/cluster"
	"briarproxy/core/resource"
)

var runChart = chart.MustLoad(chart.Run)

// States of a run. The state chart of runs describes each of them.
const (
	ticketing chart.State = "ticketing"
	logging   chart.State = "logging"
	starting  chart.State = "starting"
	uncertain chart.State = "uncertain"
	running   chart.State = "running"
	stopping  chart.State = "stopping"
	ended     chart.State = "ended"
)

// Events of a run.
const (
	ticketGranted chart.Event = "ticket-granted"
	logged        chart.Event = "logged"
	accepted      chart.Event = "accepted"
	refused       chart.Event = "refused"
	unanswered    chart.Event = "unanswered"
	listed        chart.Event = "listed"
	stopRequested chart.Event = "stop"
	dropped       chart.Event = "dropped"
)

// run is one run of a task, from its plan until its end is recorded.
type run struct {
	cluster.RunID
	state          chart.State
	vm             *vm
	size           resource.Vector // reserved on the worker
	workspace      *workspace      // for which it counts
	countedSize    resource.Vector // as which it counts there
	spec           string
	checkpoint     string
	ticket         ticket
	released       bool              // its resources were released
	recorded       bool              // the log has acknowledged its Begin record
	adopted        bool              // a former placer began it
	stray          bool              // listed by a worker but not active according to the log, so it is only stopped
	givenUp        bool              // ended without word of its worker
	wanted         bool              // false: it is to be stopped as soon as possible
	onTrial        bool              // an earlier run of its step was the last that a worker started before it crashed or fell silent
	lostStart      cluster.EndReason // how the run ends if it was the last that its worker has started; "" otherwise
	answered       bool              // the worker has answered its start command
	beganMS        int64             // time of its Begin record, Unix ms; 0 means unknown
	wasListed      bool              // the current incarnation of the worker has listed it
	plannedAt      time.Duration     // boot clock
	answeredAt     time.Duration     // time of the answer to its start command; the answer to a later poll must list the run
	startSentAt    time.Duration     // time at which the first start command was sent
	startsSent     int               // number of start commands sent
	startsInFlight int               // number of start commands that are neither answered nor timed out
	stopSentAt     time.Duration     // time of the last stop command
	stopAnsweredAt time.Duration     // time at which the worker last answered a stop command
	stopInFlight   bool              // a stop command is in flight
	progress       progress
	lastCheckpoint string // newest checkpoint that the worker has reported
	load           int    // last reported load: tail latency in ms of a serving run, thousandths of a core of any other run
	pacePercent    int    // last confirmed or initial pace, in percent of its full speed
	paceConfirmed  bool   // the worker is known to work at that pace
	paceInFlight   bool   // a pace command is in flight
}

// transition applies an event to the state of the run. It returns false and changes nothing if
// the chart does not allow the event in this state.
func (r *run) transition(e chart.Event) bool {
	next, err := runChart.Next(r.state, e)
	if err != nil {
		return false
	}
	r.state = next
	return true
}

// mayHaveStarted reports whether a start command for the run may have been sent.
func (r *run) mayHaveStarted() bool { return r.state != ticketing && r.state != logging }

// ticket permits a step to run on a worker for a limited time. Advice grants it.
type ticket struct {
	text       string
	validUntil time.Duration // boot clock
}

// mayStartLate reports whether the worker may still execute an unanswered start command for the
// run.
func (r *run) mayStartLate(now time.Duration) bool {
	return r.startsSent > 1 && now-r.startSentAt < maxCommandDelay
}
