package placer

import (
	"time"

	"briarproxy/core/chart"
	"briarproxy/core/cluster"
	"briarproxy/core/resource"
)

var runChart = chart.MustLoad(chart.Run)

// States of a run; the chart says what each means.
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
	stopOrder     chart.Event = "stop"
	dropped       chart.Event = "dropped"
)

// run is one run of a task from its plan to the record of its end.
type run struct {
	cluster.RunID
	state          chart.State
	vm             *vm
	size           resource.Vector
	spec           string
	checkpoint     string
	ticket         ticket
	released       bool          // its room was given back
	recorded       bool          // its Begin was acknowledged
	unknown        bool          // begun by nobody known: it is only stopped
	wanted         bool          // false: it is to be stopped as soon as that is possible
	wasListed      bool          // the worker has listed it in its present life
	plannedAt      time.Duration // boot clock
	answeredAt     time.Duration // of the start; a later look must list the run
	orderedAt      time.Duration // the first order to start it was sent
	startsSent     int           // orders to start it that were sent
	startsInFlight int           // of these, not answered and not given up yet
	stopSentAt     time.Duration // last stop order
	stopAnsweredAt time.Duration // the worker answered a stop
	stopInFlight   bool          // a stop order is under way
	progress       progress
	lastCheckpoint string // newest checkpoint that a look has shown
	load           int    // of the last look: tail of response times in ms of a serving run, thousandths of a core of others
	pacePercent    int    // percent of its speed that it was told to work at
	paceConfirmed  bool   // the worker has taken that order
	paceInFlight   bool   // an order to pace is under way
}

// transition moves the run by an event. It reports false, and changes nothing, for an event
// that the state refuses.
func (r *run) transition(e chart.Event) bool {
	next, err := runChart.Next(r.state, e)
	if err != nil {
		return false
	}
	r.state = next
	return true
}

// startOrdered reports whether an order to start the run may have been sent.
func (r *run) startOrdered() bool { return r.state != ticketing && r.state != logging }

// ticket allows a step on a worker for a limited time.
type ticket struct {
	text       string
	validUntil time.Duration // boot clock
}

// mayStartLate reports whether an order to start the run that was not answered may still be
// carried out.
func (r *run) mayStartLate(now time.Duration) bool {
	return r.startsSent > 1 && now-r.orderedAt < maxOrderDelay
}
