package cell

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"briarproxy/core/fault"
	"briarproxy/daemon/bootclock"
)

// Times of a planned stop. The platform's load balancer stops sending new connections after two
// failed health checks, a second apart.
const (
	drainTimeout     = 2600 * time.Millisecond // for which the load balancer may still send new connections; also the time limit of the placer's hand-over
	stopReserve      = 900 * time.Millisecond  // of the grace period, for the last log lines and the exit, also on a slow VM
	answerWriteTime  = 300 * time.Millisecond  // from the last known outcome until its answer is sent
	minRequestTime   = 600 * time.Millisecond  // assumed for every request: an append from another region to a healthy store takes this long
	quietPeriod      = 150 * time.Millisecond  // without a request before a connection is closed
	stopPollInterval = 20 * time.Millisecond
	lastSaveDelay    = 500 * time.Millisecond // from the release of the claim until the last daemon saves its state; a successor claims sooner
	lastSaveInterval = 200 * time.Millisecond // between two snapshots of the last daemon to stop, while records still arrive
)

// stopSchedule holds the times of a planned stop, counted from its signal.
type stopSchedule struct {
	newConnectionsUntil time.Duration // until then the load balancer may send new connections
	answerUntil         time.Duration // until then requests may wait for their outcome
	end                 time.Duration // by then the answers are sent
}

func newStopSchedule(grace time.Duration) stopSchedule {
	end := max(0, grace-stopReserve)
	answerUntil := max(0, end-answerWriteTime)
	return stopSchedule{newConnectionsUntil: min(drainTimeout, answerUntil), answerUntil: answerUntil, end: end}
}

// admits reports whether a request with the given expected time can still be answered with its
// outcome.
func (s stopSchedule) admits(elapsed, expectedTime time.Duration) bool {
	return elapsed+max(expectedTime, minRequestTime) <= s.answerUntil
}

// stopStage is a stage of a planned stop. Each stage includes the actions of the earlier ones.
type stopStage int

const (
	stageServing        stopStage = iota // requests are served; each answer closes its connection
	stageCloseIdle                       // idle connections are closed
	stageCloseListener                   // no more connections are accepted
	stageCancelRequests                  // requests still waiting are answered with an unknown outcome
	stageFinished                        // connections still open are closed
)

// stage returns the stage of a planned stop. Once the load balancer sends no more connections, the
// listener is closed as soon as no connection has been open for quietPeriod, or when no request can
// be admitted any more.
func (s stopSchedule) stage(elapsed, unconnectedFor time.Duration) stopStage {
	switch {
	case elapsed >= s.end:
		return stageFinished
	case elapsed >= s.answerUntil:
		return stageCancelRequests
	case !s.admits(elapsed, 0) && elapsed >= s.newConnectionsUntil, elapsed >= s.newConnectionsUntil && unconnectedFor >= quietPeriod:
		return stageCloseListener
	case elapsed >= s.newConnectionsUntil:
		return stageCloseIdle
	default:
		return stageServing
	}
}

// plannedStop carries out a planned stop: another daemon takes over as the placer, callers connect to
// other daemons, and accepted requests are answered.
func (e *engine) plannedStop(ctx context.Context, server *callerServer) error {
	startedAt := bootclock.Now()
	server.beginStop(startedAt)
	go e.do(ctx, func(e *engine) { e.beginDrain(ctx) }) // asynchronous, because the engine may be busy
	e.log.Emit(evStopping, "open_requests", e.inFlight.Load(), "open_connections", server.openConnections(),
		"answer_until_ms", server.schedule.answerUntil.Milliseconds(), "end_ms", server.schedule.end.Milliseconds())
	unconnectedSince, stage := startedAt, stageServing
	for {
		now, openConnections, previousStage := bootclock.Now(), server.openConnections(), stage
		if openConnections > 0 {
			unconnectedSince = now
		}
		stage = max(stage, server.schedule.stage(now-startedAt, now-unconnectedSince))
		server.enterStage(stage, time.Now())
		// A connection accepted while the listener was being closed is seen only in the next pass.
		if stage == stageFinished || previousStage >= stageCloseListener && openConnections == 0 {
			break
		}
		time.Sleep(stopPollInterval)
	}
	e.awaitLastSnapshot(ctx, startedAt+server.schedule.end)
	return e.finishStop(startedAt, server)
}

// awaitLastSnapshot waits until the last state before a stop of all daemons is saved, at the longest until the given time.
func (e *engine) awaitLastSnapshot(ctx context.Context, until time.Duration) {
	waitCtx, cancel := context.WithTimeout(ctx, until-bootclock.Now())
	defer cancel()
	for waitCtx.Err() == nil {
		unsaved, _ := query(waitCtx, e, func(e *engine, reply chan<- bool) { reply <- e.lastStateUnsaved() })
		if !unsaved {
			return
		}
		time.Sleep(stopPollInterval)
	}
}

// newCallerServer returns the HTTP server for a daemon's callers.
func (e *engine) newCallerServer(handler http.Handler, listener net.Listener) *callerServer {
	s := newCallerServer(handler, listener, time.Duration(e.settings.Bounds.GraceS*float64(time.Second)))
	s.expectedTime = e.expectedTime
	s.onRefused = func(r *http.Request) {
		e.metrics.requests.WithLabelValues(r.Method, strconv.Itoa(http.StatusServiceUnavailable)).Inc()
	}
	return s
}

// expectedTime estimates how long a request takes: that of the slowest recent append for a request
// that stores a record, and 0 for a read.
func (e *engine) expectedTime(r *http.Request) time.Duration {
	if r.Method == http.MethodGet {
		return 0
	}
	return e.writer.appendTimes.longest(bootclock.Now())
}

// finishStop closes the remaining connections and logs the result of the planned stop.
func (e *engine) finishStop(startedAt time.Duration, server *callerServer) error {
	openRequests, openConnections := e.inFlight.Load(), server.openConnections()
	_ = server.server.Close() // fails if the listener is closed already
	e.log.Emit(evStopped, "after_ms", (bootclock.Now() - startedAt).Milliseconds(), "taken", server.accepted.Load(), "refused", server.refused.Load(),
		"closed_idle", server.closedIdle.Load(), "open_requests", openRequests, "open_connections", openConnections)
	if openRequests > 0 {
		return fault.New(fault.Unavailable, "raise the grace period", "the planned stop ended with %d unanswered requests", openRequests)
	}
	return nil
}
