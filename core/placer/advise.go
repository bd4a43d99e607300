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
	adviceRetry    = 250 * time.Millisecond
	adviserBackoff = 2 * time.Second // after a daemon could not bring an answer; doubled each time
	backoffMost    = 16 * time.Second
	slowCalls      = 4    // a call that takes this many times as long as the quickest one is slow
	openPerAdviser = 16   // the service takes 32 calls of a daemon; both placers of a takeover may ask
	quickShare     = 0.34 // of the daemons are kept for quick calls
	netDelay       = 70 * time.Millisecond
	delayMost      = time.Second
	delayStep      = 20 * time.Millisecond // smaller differences do not change the order of daemons
	delayWeight    = 8                     // one answer moves a daemon's delay by this part of the difference
	memberSilence  = 15 * time.Second      // a daemon says hello every few seconds
)

// adviser is a daemon through which advice is asked for.
type adviser struct {
	name     string
	served   time.Duration // boot clock: when the service will have served the calls sent so far
	open     int
	avoid    time.Duration // boot clock: not asked until then
	failures int           // in a row
	delay    time.Duration // of its answers beyond the service's own time
}

// wait is how long the service would leave a call sent now waiting.
func (d *adviser) wait(now time.Duration) time.Duration { return max(0, d.served-now) }

// advisers spreads calls for advice over the daemons. The service serves one call at a
// time for each daemon, so a slow call delays all that follow it there. Therefore some
// daemons take quick calls only; none gets a call that would wait there for long, as
// that is better sent later to another; and steps that are late already wait until a
// daemon has nothing to do, so that a backlog does not make new requests late as well.
type advisers struct {
	byName   map[string]*adviser
	list     []*adviser          // those that may be asked in this pass, the nearest first
	refused  [2][2]time.Duration // by lateness and lane: the longest call for which none was found in this pass
	sent     map[cluster.StepID]sentCall
	quickest time.Duration // the shortest call of any queue

	byNameOnly bool // see Ablation.NearAdvisers
}

// sentCall is a call under way.
type sentCall struct{ expected time.Duration } // answer, without the daemon's delay

func newAdvisers() *advisers {
	return &advisers{byName: map[string]*adviser{}, sent: map[cluster.StepID]sentCall{}}
}

// rules takes the queues' rules for advice.
func (a *advisers) rules(queues []cluster.Queue) {
	a.quickest = 0
	for i := range queues {
		if rule := queues[i].Advice; rule != nil {
			if t := callTime(rule, usualAsk); a.quickest == 0 || t < a.quickest {
				a.quickest = t
			}
		}
	}
}

// members keeps the advisers equal to the daemons of the cell, at the start of a pass.
func (a *advisers) members(names []string, now time.Duration) {
	a.list, a.refused = a.list[:0], [2][2]time.Duration{}
	for name := range a.byName {
		if !slices.Contains(names, name) {
			delete(a.byName, name)
		}
	}
	for _, name := range names {
		if a.byName[name] == nil {
			a.byName[name] = &adviser{name: name, delay: netDelay}
		}
		if d := a.byName[name]; now >= d.avoid {
			a.list = append(a.list, d)
		}
	}
	if a.byNameOnly {
		slices.SortFunc(a.list, func(x, y *adviser) int { return cmp.Compare(x.name, y.name) })
		return
	}
	slices.SortFunc(a.list, compareAdvisers)
}

// compareAdvisers puts the daemons through which answers come soonest first: the first ones are
// kept for quick calls, which a way to another region would make many times as long.
func compareAdvisers(x, y *adviser) int {
	return cmp.Or(cmp.Compare(x.delay/delayStep, y.delay/delayStep), cmp.Compare(x.name, y.name))
}

// callTime is the time that the service takes for a call.
func callTime(rule *cluster.Advice, workers int) time.Duration {
	return rule.Decide + time.Duration(workers)*rule.PerVM
}

// takes reports whether a call may be sent to the daemon now.
func (d *adviser) takes(cost time.Duration, late bool, now time.Duration) bool {
	most := d.delay // the call arrives as the service gets to it
	if !late {
		most += cost
	}
	return now >= d.avoid && d.open < openPerAdviser && d.wait(now) <= most
}

// pick returns the daemon whose answer is expected first, or "". Within a planning pass
// the daemons only get busier, so a length of call for which none was found is not tried
// again: a backlog would look through all daemons for each of its steps.
func (a *advisers) pick(cost time.Duration, late bool, now time.Duration) string {
	list, lane, lateness := a.list, 0, 0
	if cost > slowCalls*a.quickest {
		lane = 1
		if kept := int(quickShare*float64(len(list)) + 0.5); len(list) > kept {
			list = list[kept:]
		}
	}
	if late {
		lateness = 1
	}
	if cost <= a.refused[lateness][lane] {
		return ""
	}
	best, bestAt := "", time.Duration(0)
	for _, d := range list {
		if !d.takes(cost, late, now) {
			continue
		}
		if at := d.wait(now) + d.delay; best == "" || at < bestAt {
			best, bestAt = d.name, at
		}
	}
	if best == "" {
		a.refused[lateness][lane] = cost
	}
	return best
}

func (a *advisers) asked(name string, step cluster.StepID, cost, now time.Duration) {
	d := a.byName[name]
	d.open++
	a.sent[step] = sentCall{expected: d.wait(now) + cost}
	d.served = now + d.wait(now) + cost
}

func (a *advisers) finished(c *AdviseCommand, took time.Duration, failed bool, now time.Duration) {
	s := a.sent[c.Step]
	delete(a.sent, c.Step)
	d := a.byName[c.Daemon]
	if d == nil {
		return
	}
	d.open = max(0, d.open-1)
	if d.open == 0 {
		d.served = now
	}
	if failed {
		d.avoid = now + min(adviserBackoff<<min(d.failures, 4), backoffMost)
		d.failures++
		return
	}
	d.failures = 0
	d.delay += (min(max(0, took-s.expected), delayMost) - d.delay) / delayWeight
}

// age is how old the tickets of an answer may be: its way back.
func (a *advisers) age(c *AdviseCommand) time.Duration {
	if d := a.byName[c.Daemon]; d != nil {
		return min(d.delay, netDelay)
	}
	return netDelay
}

func adviceReason(failed bool, granted, asked int) string {
	if failed {
		return "no answer"
	}
	return fmt.Sprintf("%d of %d workers granted", granted, asked)
}

// Unreachable returns how many of the daemons that advice is asked through gave no answer
// to their last calls, and how many there are.
func (p *Placer) Unreachable() (failing, all int) {
	for _, d := range p.advise.byName {
		if d.failures > 0 {
			failing++
		}
	}
	return failing, len(p.advise.byName)
}
