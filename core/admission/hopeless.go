package admission

import (
	"sort"
	"time"
)

// hopelessPart is the part of the predicted wait that must be over an entry's time
// for it to be refused after it was queued. Predictions vary with the measured
// rate, so an entry that is late by little keeps its place.
const hopelessPart = 0.8

// Late is a queued entry that can't start in time any more.
type Late[T any] struct {
	Entry *Entry[T]
	Shed  Shed
}

// Hopeless removes and returns the entries that can't start in time, because
// entries which arrived later go before them or the service has become slower. It
// costs O(entries × teams) and is called a few times a second.
func (q *Queue[T]) Hopeless(now time.Duration, load Load) []Late[T] {
	if load.Rate <= 0 || q.length == 0 {
		return nil
	}
	classes := make([]*classQueue[T], 0, len(q.classes))
	for _, c := range q.classes {
		classes = append(classes, c)
	}
	sort.Slice(classes, func(i, j int) bool { return classes[i].before(classes[j]) })
	var late []Late[T]
	higher := 0
	for _, c := range classes {
		late = append(late, c.hopeless(now, load, higher)...)
		higher += c.length
	}
	for _, l := range late {
		q.Remove(l.Entry)
	}
	return late
}

// teamCursor is a team's place in the simulated service of its class.
type teamCursor[T any] struct {
	name    string
	weight  float64
	virtual float64
	entries entryHeap[T] // sorted
}

// hopeless walks through the class in the order in which Pop would serve it. An
// entry that is given up makes room for those behind it.
func (c *classQueue[T]) hopeless(now time.Duration, load Load, higher int) []Late[T] {
	var late []Late[T]
	served := 0
	teams := c.cursors()
	for len(teams) > 0 {
		i := first(teams)
		team := &teams[i]
		entry := team.entries[0]
		team.entries = team.entries[1:]
		wait := c.waitFor(float64(served), higher, load)
		if over := time.Duration(float64(wait)*hopelessPart) - (entry.StartBy - now); over > 0 {
			late = append(late, Late[T]{entry, Shed{Reason: ShedTooLong, Wait: wait, RetryAfter: clampRetry(over)}})
		} else {
			served++
			team.virtual += 1 / team.weight
		}
		if len(team.entries) == 0 {
			teams = append(teams[:i], teams[i+1:]...)
		}
	}
	return late
}

func (c *classQueue[T]) cursors() []teamCursor[T] {
	teams := make([]teamCursor[T], 0, len(c.active))
	for _, team := range c.active {
		sorted := append(entryHeap[T](nil), team.entries...)
		sort.Slice(sorted, sorted.Less)
		teams = append(teams, teamCursor[T]{team.name, team.weight, team.virtual, sorted})
	}
	return teams
}

// first returns the team that is served next.
func first[T any](teams []teamCursor[T]) int {
	best := 0
	for i := range teams {
		a, b := &teams[i], &teams[best]
		if a.virtual < b.virtual || (a.virtual == b.virtual && a.name < b.name) {
			best = i
		}
	}
	return best
}
