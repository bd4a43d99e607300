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
	adviserBackoff = 2 * time.Second // after a daemon could not bring an answer
	slowCall       = 200 * time.Millisecond
	openPerAdviser = 4    // calls of one daemon are served in turn; more would only wait there
	quickShare     = 0.34 // of the daemons are kept for quick calls
	netDelay       = 70 * time.Millisecond
	memberSilence  = 15 * time.Second // a daemon says hello every few seconds
)

// adviser is a daemon through which advice is asked for.
type adviser struct {
	name     string
	busy     time.Duration // boot clock: its calls will have been served
	open     int
	avoid    time.Duration
	overhead time.Duration // of its answers beyond the service's own time
}

// advisers spreads calls for advice over the daemons. The service serves one call at a
// time for each daemon, so a slow call delays all that follow it there.
type advisers struct {
	byName map[string]*adviser
	sent   map[cluster.StepID]sentCall
}

type sentCall struct {
	at   time.Duration
	cost time.Duration
}

func newAdvisers() *advisers {
	return &advisers{byName: map[string]*adviser{}, sent: map[cluster.StepID]sentCall{}}
}

// members keeps the advisers equal to the daemons of the cell.
func (a *advisers) members(names []string) {
	for name := range a.byName {
		if !slices.Contains(names, name) {
			delete(a.byName, name)
		}
	}
	for _, name := range names {
		if a.byName[name] == nil {
			a.byName[name] = &adviser{name: name, overhead: netDelay}
		}
	}
}

// callTime is the time that the service takes for a call.
func callTime(rule *cluster.Advice, workers int) time.Duration {
	return rule.Decide + time.Duration(workers)*rule.PerVM
}

// available reports whether any daemon may take another call. Most steps of a backlog
// find none, and are spared the choice of workers.
func (a *advisers) available(now time.Duration) bool {
	for _, d := range a.byName {
		if now >= d.avoid && d.open < openPerAdviser {
			return true
		}
	}
	return false
}

// pick returns the daemon whose answer is expected first, or "". Slow calls leave a
// share of the daemons to quick ones.
func (a *advisers) pick(cost, now time.Duration) string {
	list := make([]*adviser, 0, len(a.byName))
	for _, d := range a.byName {
		if now >= d.avoid {
			list = append(list, d)
		}
	}
	slices.SortFunc(list, func(x, y *adviser) int { return cmp.Compare(x.name, y.name) })
	kept := int(quickShare*float64(len(list)) + 0.5)
	if cost >= slowCall && len(list) > kept {
		list = list[kept:]
	}
	var best *adviser
	var bestAt time.Duration
	for _, d := range list {
		if d.open >= openPerAdviser {
			continue
		}
		at := max(d.busy, now) + d.overhead
		if best == nil || at < bestAt {
			best, bestAt = d, at
		}
	}
	if best == nil {
		return ""
	}
	return best.name
}

func (a *advisers) asked(name string, step cluster.StepID, cost, now time.Duration) {
	d := a.byName[name]
	d.open++
	d.busy = max(d.busy, now) + cost
	a.sent[step] = sentCall{now, cost}
}

func (a *advisers) finished(c *AdviseCommand, took time.Duration, failed bool, now time.Duration) {
	s := a.sent[c.Step]
	delete(a.sent, c.Step)
	d := a.byName[c.Daemon]
	if d == nil {
		return
	}
	d.open--
	if d.open <= 0 {
		d.open, d.busy = 0, now
	}
	if failed {
		d.avoid = now + adviserBackoff
		return
	}
	if extra := took - s.cost; extra > 0 && d.open == 0 {
		d.overhead += (extra - d.overhead) / 8
	}
}

// age is how old the tickets of an answer may be: its way back.
func (a *advisers) age(c *AdviseCommand) time.Duration {
	if d := a.byName[c.Daemon]; d != nil {
		return min(d.overhead, netDelay)
	}
	return netDelay
}

func adviceReason(failed bool, granted, asked int) string {
	if failed {
		return "no answer"
	}
	return fmt.Sprintf("%d of %d workers granted", granted, asked)
}
