package admission

import (
	"container/heap"
	"math"
	"time"
)

// Class is a class of requests.
type Class struct {
	Name      string
	Priority  int     // higher first
	MinShare  float64 // part of the service that the class gets while it waits, 0 to 1
	MaxLength int     // entries that may wait at once
}

// Entry is a waiting request. Its pointer is the handle with which it is removed.
type Entry[T any] struct {
	Class   string
	Team    string
	Weight  float64       // share of the team under contention; 0 counts as 1
	StartBy time.Duration // latest start that still meets the deadline
	Value   T

	sequence uint64
	index    int // position in the team's heap, -1 when not queued
	queue    *teamQueue[T]
}

// Shed says why a request is refused at once and when a retry pays.
type Shed struct {
	Reason     ShedReason
	Wait       time.Duration // predicted wait
	RetryAfter time.Duration
}

// ShedReason is the reason of a refusal.
type ShedReason string

// Reasons of refusals.
const (
	ShedFull     ShedReason = "queue-full"
	ShedTooLong  ShedReason = "predicted-wait-over-deadline"
	ShedPastDue  ShedReason = "deadline-passed"
	ShedNotKnown ShedReason = "unknown-class"
)

// Limits of the retry time that a refused caller is told.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// Queue orders waiting requests: classes by strict priority with a guaranteed
// minimum share, teams of a class by weighted fairness, and the entries of a team
// by StartBy. Push, Pop and Remove cost O(log n) in the number of entries; the
// wait prediction adds O(teams).
type Queue[T any] struct {
	classes  map[string]*classQueue[T]
	length   int
	sequence uint64
}

type classQueue[T any] struct {
	Class
	teams  map[string]*teamQueue[T]
	active teamHeap[T]
	clock  float64 // virtual start of the last team served
	credit float64 // service owed under MinShare
	length int
}

type teamQueue[T any] struct {
	name    string
	weight  float64
	virtual float64 // virtual time at which the team is served next
	index   int     // position among the active teams, -1 when it has no entries
	entries entryHeap[T]
	class   *classQueue[T]
}

// NewQueue returns an empty queue without classes.
func NewQueue[T any]() *Queue[T] {
	return &Queue[T]{classes: map[string]*classQueue[T]{}}
}

// SetClass adds a class or changes its settings; waiting entries stay.
func (q *Queue[T]) SetClass(class Class) {
	if old, found := q.classes[class.Name]; found {
		old.Class = class
		return
	}
	q.classes[class.Name] = &classQueue[T]{Class: class, teams: map[string]*teamQueue[T]{}}
}

// Len returns the number of waiting entries.
func (q *Queue[T]) Len() int { return q.length }

// LenOf returns the number of waiting entries of a class.
func (q *Queue[T]) LenOf(class string) int {
	if c, found := q.classes[class]; found {
		return c.length
	}
	return 0
}

// Load is what is known of the service that the queue waits for.
type Load struct {
	Rate float64 // measured starts per second under load; 0: not known, nothing is refused for its wait
	Idle bool    // a slot is free now, so the first entry need not wait for one to end
}

// Push queues the entry, or returns why it is refused.
func (q *Queue[T]) Push(now time.Duration, load Load, entry *Entry[T]) *Shed {
	class, found := q.classes[entry.Class]
	if !found {
		return &Shed{Reason: ShedNotKnown}
	}
	if entry.StartBy < now {
		return &Shed{Reason: ShedPastDue}
	}
	wait := q.predict(class, entry, load)
	if late := wait - (entry.StartBy - now); late > 0 {
		return &Shed{Reason: ShedTooLong, Wait: wait, RetryAfter: clampRetry(late)}
	}
	if class.length >= class.MaxLength {
		return &Shed{Reason: ShedFull, Wait: wait, RetryAfter: clampRetry(wait)}
	}
	q.sequence++
	entry.sequence = q.sequence
	class.add(entry)
	q.length++
	return nil
}

func clampRetry(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// PredictWait returns the wait that Push would predict for the entry.
func (q *Queue[T]) PredictWait(entry *Entry[T], load Load) time.Duration {
	class, found := q.classes[entry.Class]
	if !found {
		return 0
	}
	return q.predict(class, entry, load)
}

// predict returns the wait of an entry that would be queued now.
func (q *Queue[T]) predict(class *classQueue[T], entry *Entry[T], load Load) time.Duration {
	if load.Rate <= 0 {
		return 0
	}
	higher := 0
	for _, other := range q.classes {
		if other.Priority > class.Priority {
			higher += other.length
		}
	}
	return class.waitFor(class.ahead(entry), higher, load)
}

// waitFor divides the entries ahead, and the entry itself unless a slot is free, by
// the service rate. The guaranteed share of the class bounds the wait from above.
func (c *classQueue[T]) waitFor(own float64, higher int, load Load) time.Duration {
	if !load.Idle {
		own++
	}
	seconds := (own + float64(higher)) / load.Rate
	if c.MinShare > 0 {
		seconds = math.Min(seconds, own/(load.Rate*c.MinShare))
	}
	if seconds > maxWait.Seconds() {
		return maxWait
	}
	return time.Duration(seconds * float64(time.Second))
}

// maxWait caps the predicted wait so that it fits a time.Duration.
const maxWait = 24 * time.Hour

// ahead estimates how many entries of the class are served before the entry, when
// each team is served in proportion to its weight.
func (c *classQueue[T]) ahead(entry *Entry[T]) float64 {
	weight := weightOf(entry.Weight)
	own := 0.0
	if team, found := c.teams[entry.Team]; found {
		own = float64(team.entries.countBefore(entry.StartBy, 0))
	}
	total := own
	for _, team := range c.active {
		if team.name == entry.Team {
			continue
		}
		turns := (own + 1) * team.weight / weight
		total += math.Min(float64(len(team.entries)), turns)
	}
	return total
}

// Pop removes and returns the entry that goes next among the classes that allow
// accepts, or nil. A nil allow accepts every class.
func (q *Queue[T]) Pop(allow func(class string) bool) *Entry[T] {
	class := q.next(allow)
	if class == nil {
		return nil
	}
	q.settle(class)
	team := class.active[0]
	entry := team.entries[0]
	class.clock = team.virtual
	team.virtual += 1 / team.weight
	heap.Fix(&class.active, team.index)
	q.Remove(entry)
	return entry
}

// Owed reports whether entries of the class wait and its guaranteed share owes them a
// turn before classes of higher priority.
func (q *Queue[T]) Owed(class string) bool {
	c, found := q.classes[class]
	return found && c.length > 0 && c.credit+c.MinShare >= 1
}

// next chooses the class: the one that is owed the most under its guaranteed share
// once it is owed a whole entry, otherwise the one with the highest priority.
func (q *Queue[T]) next(allow func(class string) bool) *classQueue[T] {
	var owed, first *classQueue[T]
	for _, c := range q.classes {
		if c.length == 0 || (allow != nil && !allow(c.Name)) {
			continue
		}
		if c.credit+c.MinShare >= 1 && (owed == nil || c.owedBefore(owed)) {
			owed = c
		}
		if first == nil || c.before(first) {
			first = c
		}
	}
	if owed != nil {
		return owed
	}
	return first
}

func (c *classQueue[T]) before(o *classQueue[T]) bool {
	if c.Priority != o.Priority {
		return c.Priority > o.Priority
	}
	return c.Name < o.Name
}

func (c *classQueue[T]) owedBefore(o *classQueue[T]) bool {
	left, right := c.credit+c.MinShare, o.credit+o.MinShare
	if left != right {
		return left > right
	}
	return c.before(o)
}

// settle credits each waiting class with its share of one entry and charges the
// class that is served.
func (q *Queue[T]) settle(served *classQueue[T]) {
	for _, c := range q.classes {
		if c.length > 0 {
			c.credit += c.MinShare
		}
	}
	served.credit = math.Max(0, served.credit-1)
}

// Remove takes an entry out of the queue; it returns false when the entry does not
// wait.
func (q *Queue[T]) Remove(entry *Entry[T]) bool {
	team := entry.queue
	if team == nil {
		return false
	}
	heap.Remove(&team.entries, entry.index)
	entry.queue = nil
	team.class.removed(team)
	q.length--
	return true
}

func (c *classQueue[T]) add(entry *Entry[T]) {
	team, found := c.teams[entry.Team]
	if !found {
		team = &teamQueue[T]{name: entry.Team, index: -1, class: c}
		c.teams[entry.Team] = team
	}
	team.weight = weightOf(entry.Weight)
	entry.queue = team
	heap.Push(&team.entries, entry)
	c.length++
	if team.index < 0 {
		// A team that was idle may not claim the service it did not ask for.
		team.virtual = math.Max(team.virtual, c.clock)
		heap.Push(&c.active, team)
	}
}

func (c *classQueue[T]) removed(team *teamQueue[T]) {
	c.length--
	if len(team.entries) == 0 {
		heap.Remove(&c.active, team.index)
	}
	if c.length == 0 {
		// With nobody waiting, no team or class is owed anything; forgetting the
		// teams keeps the state bounded.
		c.credit = 0
		c.clock = 0
		c.teams = map[string]*teamQueue[T]{}
	}
}

func weightOf(weight float64) float64 {
	if weight <= 0 {
		return 1
	}
	return weight
}
