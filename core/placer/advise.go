package placer

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"briarproxy/core/cluster"
)

// Limits for calls to the advice service.
const (
	adviceRetryDelay      = 250 * time.Millisecond
	initialAdviserBackoff = 2 * time.Second // doubled with each further failure of a daemon to return an answer
	maxAdviserBackoff     = 16 * time.Second
	slowCallFactor        = 4                     // a call is slow if it takes more than this many times as long as the shortest call of any queue
	maxCallsPerAdviser    = 16                    // half of the 32 calls that the service accepts from a daemon: during a takeover, both placers may call
	quickCallDaemonShare  = 0.34                  // share of the daemons that is reserved for quick calls
	usualNetworkDelay     = 70 * time.Millisecond // initial answerDelay of a daemon, and the upper bound of ticketAge
	maxAnswerDelay        = time.Second
	answerDelayResolution = 20 * time.Millisecond // smaller differences do not affect the ranking of daemons
	answerDelayDivisor    = 8                     // each answer moves the average by 1/8 of the difference
	adviserHelloTimeout   = 15 * time.Second      // daemons append a Hello record every few seconds
)

// adviser is a daemon through which the placer calls the advice service.
type adviser struct {
	name                string
	busyUntil           time.Duration // boot clock: expected time at which the service has processed all calls sent through the daemon so far
	callsInFlight       int
	avoidUntil          time.Duration // boot clock: receives no calls before this time
	consecutiveFailures int           // consecutive calls without an answer
	answerDelay         time.Duration // moving average of the response time in excess of the expected queueing and service time
}

// queueDelay returns how long a call sent now is expected to wait in the service's queue.
func (d *adviser) queueDelay(now time.Duration) time.Duration { return max(0, d.busyUntil-now) }

// advisers distributes advice calls over the daemons. The service processes one call at a
// time for each daemon, so a slow call delays all calls behind it. Therefore some daemons are
// reserved for quick calls. No daemon receives a call that would queue there for long: it is
// better sent later through another daemon. Steps that are already late wait for an idle
// daemon, so that a backlog does not make new requests late as well.
type advisers struct {
	byName             map[string]*adviser
	candidates         []*adviser                    // daemons available in this planning pass, shortest answerDelay first
	longestRefusedCall [2][2]time.Duration           // by lateness (on time, late) and lane (quick, slow): longest call for which this pass found no daemon
	callsByStep        map[cluster.StepID]adviceCall // calls in flight
	shortestCall       time.Duration                 // duration of the shortest call of any queue

	sortByName bool // see DisabledMechanisms.NearAdvisers
}

// adviceCall is a call in flight.
type adviceCall struct{ expected time.Duration } // queueing and service time, without the daemon's answerDelay

func newAdvisers() *advisers {
	return &advisers{byName: map[string]*adviser{}, callsByStep: map[cluster.StepID]adviceCall{}}
}

// setQueues updates shortestCall from the advice rules of the queues.
func (a *advisers) setQueues(queues []cluster.Queue) {
	a.shortestCall = 0
	for i := range queues {
		if rule := queues[i].Advice; rule != nil {
			if t := adviceCallTime(rule, usualCallWorkers); a.shortestCall == 0 || t < a.shortestCall {
				a.shortestCall = t
			}
		}
	}
}

// setMembers synchronizes the advisers with the daemons of the cell and determines the
// candidates of a planning pass.
func (a *advisers) setMembers(names []string, now time.Duration) {
	a.candidates, a.longestRefusedCall = a.candidates[:0], [2][2]time.Duration{}
	former := a.byName
	a.byName = make(map[string]*adviser, len(names))
	for _, name := range names {
		d := former[name]
		if d == nil {
			d = &adviser{name: name, answerDelay: usualNetworkDelay}
		}
		a.byName[name] = d
		if now >= d.avoidUntil {
			a.candidates = append(a.candidates, d)
		}
	}
	if a.sortByName {
		slices.SortFunc(a.candidates, func(x, y *adviser) int { return cmp.Compare(x.name, y.name) })
		return
	}
	slices.SortFunc(a.candidates, compareAdvisers)
}

// compareAdvisers sorts by answer delay, shortest first. The first daemons are reserved for
// quick calls, which a detour through another region would make many times as long.
func compareAdvisers(x, y *adviser) int {
	return cmp.Or(cmp.Compare(x.answerDelay/answerDelayResolution, y.answerDelay/answerDelayResolution), cmp.Compare(x.name, y.name))
}

// adviceCallTime returns the service time of a call.
func adviceCallTime(rule *cluster.Advice, workers int) time.Duration {
	return rule.Decide + time.Duration(workers)*rule.PerVM
}

// accepts reports whether a call may be sent through the daemon now.
func (d *adviser) accepts(cost time.Duration, late bool, now time.Duration) bool {
	maxQueueDelay := d.answerDelay // the service becomes idle by the time the call arrives
	if !late {
		maxQueueDelay += cost
	}
	return now >= d.avoidUntil && d.callsInFlight < maxCallsPerAdviser && d.queueDelay(now) <= maxQueueDelay
}

// pick returns the daemon that is expected to answer first, or "" if none is available. Within
// a planning pass daemons only get busier, and a shorter call tolerates less queueing, so once
// no daemon was found for a call, shorter ones are refused without a search. Otherwise each
// step of a backlog would search all daemons.
func (a *advisers) pick(cost time.Duration, late bool, now time.Duration) string {
	eligible, lane, lateness := a.candidates, 0, 0
	if cost > slowCallFactor*a.shortestCall {
		lane = 1
		if reserved := int(quickCallDaemonShare*float64(len(eligible)) + 0.5); len(eligible) > reserved {
			eligible = eligible[reserved:]
		}
	}
	if late {
		lateness = 1
	}
	if cost <= a.longestRefusedCall[lateness][lane] {
		return ""
	}
	bestName, bestDelay := "", time.Duration(0)
	for _, d := range eligible {
		if !d.accepts(cost, late, now) {
			continue
		}
		if delay := d.queueDelay(now) + d.answerDelay; bestName == "" || delay < bestDelay {
			bestName, bestDelay = d.name, delay
		}
	}
	if bestName == "" {
		a.longestRefusedCall[lateness][lane] = cost
	}
	return bestName
}

func (a *advisers) callSent(name string, step cluster.StepID, cost, now time.Duration) {
	d := a.byName[name]
	d.callsInFlight++
	a.callsByStep[step] = adviceCall{expected: d.queueDelay(now) + cost}
	d.busyUntil = now + d.queueDelay(now) + cost
}

func (a *advisers) callFinished(c *AdviseCommand, took time.Duration, failed bool, now time.Duration) {
	call := a.callsByStep[c.Step]
	delete(a.callsByStep, c.Step)
	d := a.byName[c.Daemon]
	if d == nil {
		return
	}
	d.callsInFlight = max(0, d.callsInFlight-1)
	if d.callsInFlight == 0 {
		d.busyUntil = now
	}
	if failed {
		d.avoidUntil = now + min(initialAdviserBackoff<<min(d.consecutiveFailures, 4), maxAdviserBackoff)
		d.consecutiveFailures++
		return
	}
	d.consecutiveFailures = 0
	d.answerDelay += (min(max(0, took-call.expected), maxAnswerDelay) - d.answerDelay) / answerDelayDivisor
}

// ticketAge returns how old the tickets of an answer may be on arrival: the network delay of the
// answer, at most usualNetworkDelay.
func (a *advisers) ticketAge(c *AdviseCommand) time.Duration {
	if d := a.byName[c.Daemon]; d != nil {
		return min(d.answerDelay, usualNetworkDelay)
	}
	return usualNetworkDelay
}

func adviceReason(failed bool, granted, asked int) string {
	if failed {
		return "no answer"
	}
	return fmt.Sprintf("%d of %d workers granted", granted, asked)
}

// FailingAdvisers returns the number of advisers whose last call failed, and the number of
// all advisers.
func (p *Placer) FailingAdvisers() (failing, all int) {
	for _, d := range p.advisers.byName {
		if d.consecutiveFailures > 0 {
			failing++
		}
	}
	return failing, len(p.advisers.byName)
}
