package admission

import (
	"sort"
	"time"
)

// lateWaitFactor scales the predicted wait of a queued entry before it is compared
// with the time left until StartBy. Predictions vary with the measured rate, so a
// queued entry is shed only if it is predicted to be late by a clear margin.
const lateWaitFactor = 0.8

// LateEntry is a queued entry that is predicted to miss its StartBy.
type LateEntry[T any] struct {
	Entry *Entry[T]
	Shed  Shed
}

// ShedLate removes and returns the queued entries that can no longer start in time,
// because later arrivals are served before them or the service rate has dropped. It
// costs O(entries × teams) and is meant to be called a few times a second.
func (q *Queue[T]) ShedLate(now time.Duration, load Load) []LateEntry[T] {
	if load.StartsPerSecond <= 0 || q.length == 0 {
		return nil
	}
	classes := make([]*classQueue[T], 0, len(q.classes))
	for _, c := range q.classes {
		classes = append(classes, c)
	}
	sort.Slice(classes, func(i, j int) bool { return classes[i].before(classes[j]) })
	var late []LateEntry[T]
	higher := 0
	for _, c := range classes {
		late = append(late, c.lateEntries(now, load, higher)...)
		higher += c.length
	}
	for _, l := range late {
		q.Remove(l.Entry)
	}
	return late
}

// teamCursor is the position of a team in the simulated service order of its class.
type teamCursor[T any] struct {
	name         string
	weight       float64
	virtualStart float64
	entries      entryHeap[T] // sorted, not yet visited
}

// lateEntries visits the entries of the class in the order in which Pop would serve
// them. A late entry is not counted as served, which shortens the wait of the
// entries behind it.
func (c *classQueue[T]) lateEntries(now time.Duration, load Load, higher int) []LateEntry[T] {
	var late []LateEntry[T]
	served := 0
	teams := c.cursors()
	for len(teams) > 0 {
		i := nextTeam(teams)
		team := &teams[i]
		entry := team.entries[0]
		team.entries = team.entries[1:]
		wait := c.waitFor(float64(served), higher, load)
		if overrun := time.Duration(float64(wait)*lateWaitFactor) - (entry.StartBy - now); overrun > 0 {
			late = append(late, LateEntry[T]{entry, Shed{Reason: ShedWaitTooLong, Wait: wait, RetryAfter: clampRetryAfter(overrun)}})
		} else {
			served++
			team.virtualStart += 1 / team.weight
		}
		if len(team.entries) == 0 {
			teams = append(teams[:i], teams[i+1:]...)
		}
	}
	return late
}

func (c *classQueue[T]) cursors() []teamCursor[T] {
	teams := make([]teamCursor[T], 0, len(c.activeTeams))
	for _, team := range c.activeTeams {
		sorted := append(entryHeap[T](nil), team.entries...)
		sort.Slice(sorted, sorted.Less)
		teams = append(teams, teamCursor[T]{team.name, team.weight, team.virtualStart, sorted})
	}
	return teams
}

// nextTeam returns the index of the team that is served next.
func nextTeam[T any](teams []teamCursor[T]) int {
	best := 0
	for i := range teams {
		a, b := &teams[i], &teams[best]
		if a.virtualStart < b.virtualStart || (a.virtualStart == b.virtualStart && a.name < b.name) {
			best = i
		}
	}
	return best
}
