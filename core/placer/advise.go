package placer

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"briarproxy/core/cluster"
)

// Limits of asking for advice.
const (
	adviceRetryDelay      = 250 * time.Millisecond
	initialAdviserBackoff = 2 * time.Second // after a daemon could not bring an answer; doubled each time
	maxAdviserBackoff     = 16 * time.Second
	slowCallFactor        = 4    // a call that takes this many times as long as the quickest one is slow
	maxCallsPerAdviser    = 16   // the service takes 32 calls of a daemon; both placers of a takeover may ask
	quickCallDaemonShare  = 0.34 // of the daemons are kept for quick calls
	usualNetworkDelay     = 70 * time.Millisecond
	maxAnswerDelay        = time.Second
	answerDelayResolution = 20 * time.Millisecond // smaller differences do not change the order of daemons
	answerDelayDivisor    = 8                     // one answer moves a daemon's delay by this part of the difference
	adviserHelloTimeout   = 15 * time.Second      // a daemon says hello every few seconds
)

// adviser is a daemon through which advice is asked for.
type adviser struct {
	name          string
	busyUntil     time.Duration // boot clock: when the service will have served the calls sent so far
	callsInFlight int
	avoidUntil    time.Duration // boot clock: not asked until then
	failures      int           // in a row
	answerDelay   time.Duration // of its answers beyond the service's own time
}

// queueDelay is how long the service would leave a call sent now waiting.
func (d *adviser) queueDelay(now time.Duration) time.Duration { return max(0, d.busyUntil-now) }

// advisers spreads calls for advice over the daemons. The service serves one call at a
// time for each daemon, so a slow call delays all that follow it there. Therefore some
// daemons take quick calls only; none gets a call that would wait there for long, as
// that is better sent later to another; and steps that are late already wait until a
// daemon has nothing to do, so that a backlog does not make new requests late as well.
type advisers struct {
	byName        map[string]*adviser
	candidates    []*adviser          // those that may be asked in this pass, the nearest first
	refusedCost   [2][2]time.Duration // by lateness and lane: the longest call for which none was found in this pass
	callsInFlight map[cluster.StepID]adviceCall
	shortestCall  time.Duration // the shortest call of any queue

	sortByName bool // see Ablation.NearAdvisers
}

// adviceCall is a call under way.
type adviceCall struct{ expected time.Duration } // answer, without the daemon's delay

func newAdvisers() *advisers {
	return &advisers{byName: map[string]*adviser{}, callsInFlight: map[cluster.StepID]adviceCall{}}
}

// setQueues takes the queues' rules for advice.
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

// setMembers keeps the advisers equal to the daemons of the cell, at the start of a pass.
func (a *advisers) setMembers(names []string, now time.Duration) {
	a.candidates, a.refusedCost = a.candidates[:0], [2][2]time.Duration{}
	for name := range a.byName {
		if !slices.Contains(names, name) {
			delete(a.byName, name)
		}
	}
	for _, name := range names {
		if a.byName[name] == nil {
			a.byName[name] = &adviser{name: name, answerDelay: usualNetworkDelay}
		}
		if d := a.byName[name]; now >= d.avoidUntil {
			a.candidates = append(a.candidates, d)
		}
	}
	if a.sortByName {
		slices.SortFunc(a.candidates, func(x, y *adviser) int { return cmp.Compare(x.name, y.name) })
		return
	}
	slices.SortFunc(a.candidates, compareAdvisers)
}

// compareAdvisers puts the daemons through which answers come soonest first: the first ones are
// kept for quick calls, which a way to another region would make many times as long.
func compareAdvisers(x, y *adviser) int {
	return cmp.Or(cmp.Compare(x.answerDelay/answerDelayResolution, y.answerDelay/answerDelayResolution), cmp.Compare(x.name, y.name))
}

// adviceCallTime is the time that the service takes for a call.
func adviceCallTime(rule *cluster.Advice, workers int) time.Duration {
	return rule.Decide + time.Duration(workers)*rule.PerVM
}

// accepts reports whether a call may be sent to the daemon now.
func (d *adviser) accepts(cost time.Duration, late bool, now time.Duration) bool {
	most := d.answerDelay // the call arrives as the service gets to it
	if !late {
		most += cost
	}
	return now >= d.avoidUntil && d.callsInFlight < maxCallsPerAdviser && d.queueDelay(now) <= most
}

// pick returns the daemon whose answer is expected first, or "". Within a planning pass
// the daemons only get busier, so a length of call for which none was found is not tried
// again: a backlog would look through all daemons for each of its steps.
func (a *advisers) pick(cost time.Duration, late bool, now time.Duration) string {
	list, lane, lateness := a.candidates, 0, 0
	if cost > slowCallFactor*a.shortestCall {
		lane = 1
		if kept := int(quickCallDaemonShare*float64(len(list)) + 0.5); len(list) > kept {
			list = list[kept:]
		}
	}
	if late {
		lateness = 1
	}
	if cost <= a.refusedCost[lateness][lane] {
		return ""
	}
	best, bestAt := "", time.Duration(0)
	for _, d := range list {
		if !d.accepts(cost, late, now) {
			continue
		}
		if at := d.queueDelay(now) + d.answerDelay; best == "" || at < bestAt {
			best, bestAt = d.name, at
		}
	}
	if best == "" {
		a.refusedCost[lateness][lane] = cost
	}
	return best
}

func (a *advisers) callSent(name string, step cluster.StepID, cost, now time.Duration) {
	d := a.byName[name]
	d.callsInFlight++
	a.callsInFlight[step] = adviceCall{expected: d.queueDelay(now) + cost}
	d.busyUntil = now + d.queueDelay(now) + cost
}

func (a *advisers) callFinished(c *AdviseCommand, took time.Duration, failed bool, now time.Duration) {
	s := a.callsInFlight[c.Step]
	delete(a.callsInFlight, c.Step)
	d := a.byName[c.Daemon]
	if d == nil {
		return
	}
	d.callsInFlight = max(0, d.callsInFlight-1)
	if d.callsInFlight == 0 {
		d.busyUntil = now
	}
	if failed {
		d.avoidUntil = now + min(initialAdviserBackoff<<min(d.failures, 4), maxAdviserBackoff)
		d.failures++
		return
	}
	d.failures = 0
	d.answerDelay += (min(max(0, took-s.expected), maxAnswerDelay) - d.answerDelay) / answerDelayDivisor
}

// ticketAge is how old the tickets of an answer may be: its way back.
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

// FailingAdvisers returns how many of the daemons that advice is asked through gave no answer
// to their last calls, and how many there are.
func (p *Placer) FailingAdvisers() (failing, all int) {
	for _, d := range p.advisers.byName {
		if d.failures > 0 {
			failing++
		}
	}
	return failing, len(p.advisers.byName)
}
