package admission

import (
	"container/heap"
	"math"
	"time"
)

// Class holds the queueing settings of a class of requests.
type Class struct {
	Name      string
	Priority  int     // classes with a higher value are served first
	MinShare  float64 // guaranteed fraction of the service while the class has waiting entries, 0 to 1
	MaxLength int     // maximum number of waiting entries
}

// Entry is a queued request. Remove takes its pointer as the handle.
type Entry[T any] struct {
	Class   string
	Team    string
	Weight  float64       // relative weight of the team under contention; 0 counts as 1
	StartBy time.Duration // latest start time that still meets the deadline
	Value   T

	sequence uint64
	index    int // index in the team's heap, -1 when not queued
	queue    *teamQueue[T]
}

// Shed says why a request was shed and when the caller should retry.
type Shed struct {
	Reason     ShedReason
	Wait       time.Duration // predicted wait
	RetryAfter time.Duration
}

// ShedReason is the reason for which a request was shed.
type ShedReason string

// Reasons for which requests are shed.
const (
	ShedQueueFull      ShedReason = "queue-full"
	ShedWaitTooLong    ShedReason = "predicted-wait-over-deadline"
	ShedDeadlinePassed ShedReason = "deadline-passed"
	ShedUnknownClass   ShedReason = "unknown-class"
)

// Limits of the Retry-After time of a shed request.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// Queue orders waiting requests: classes by strict priority with a guaranteed
// minimum share, teams of a class by weighted fair queueing, and the entries of a
// team by StartBy. Push, Pop and Remove cost O(log n) in the number of entries; the
// wait prediction adds O(teams).
type Queue[T any] struct {
	classes  map[string]*classQueue[T]
	length   int
	sequence uint64
}

type classQueue[T any] struct {
	Class
	teams       map[string]*teamQueue[T]
	activeTeams teamHeap[T]
	virtualTime float64 // virtual start time of the last team served
	credit      float64 // entries that MinShare has earned the class and that were not served yet
	length      int
}

type teamQueue[T any] struct {
	name         string
	weight       float64
	virtualStart float64 // virtual time at which the team is served next
	index        int     // index in activeTeams, -1 when the team has no entries
	entries      entryHeap[T]
	class        *classQueue[T]
}

// NewQueue returns an empty queue without classes.
func NewQueue[T any]() *Queue[T] {
	return &Queue[T]{classes: map[string]*classQueue[T]{}}
}

// SetClass adds a class or changes its settings. Waiting entries stay queued.
func (q *Queue[T]) SetClass(class Class) {
	if old, found := q.classes[class.Name]; found {
		old.Class = class
		return
	}
	q.classes[class.Name] = &classQueue[T]{Class: class, teams: map[string]*teamQueue[T]{}}
}

// Len returns the number of waiting entries.
func (q *Queue[T]) Len() int { return q.length }

// ClassLen returns the number of waiting entries of a class.
func (q *Queue[T]) ClassLen(class string) int {
	if c, found := q.classes[class]; found {
		return c.length
	}
	return 0
}

// Load describes the service that the queued requests wait for.
type Load struct {
	StartsPerSecond float64 // measured starts per second under load; 0 is unknown and disables shedding by wait
	SlotFree        bool    // a slot is free now, so the first entry need not wait for a run to end
}

// Push queues the entry, or returns why it was shed.
func (q *Queue[T]) Push(now time.Duration, load Load, entry *Entry[T]) *Shed {
	class, found := q.classes[entry.Class]
	if !found {
		return &Shed{Reason: ShedUnknownClass}
	}
	if entry.StartBy < now {
		return &Shed{Reason: ShedDeadlinePassed}
	}
	wait := q.predict(class, entry, load)
	if overrun := wait - (entry.StartBy - now); overrun > 0 {
		return &Shed{Reason: ShedWaitTooLong, Wait: wait, RetryAfter: clampRetryAfter(overrun)}
	}
	if class.length >= class.MaxLength {
		return &Shed{Reason: ShedQueueFull, Wait: wait, RetryAfter: clampRetryAfter(wait)}
	}
	q.sequence++
	entry.sequence = q.sequence
	class.add(entry)
	q.length++
	return nil
}

func clampRetryAfter(d time.Duration) time.Duration {
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

// predict estimates the wait of an entry that would be queued now.
func (q *Queue[T]) predict(class *classQueue[T], entry *Entry[T], load Load) time.Duration {
	if load.StartsPerSecond <= 0 {
		return 0
	}
	higher := 0
	for _, other := range q.classes {
		if other.Priority > class.Priority {
			higher += other.length
		}
	}
	return class.waitFor(class.entriesAhead(entry), higher, load)
}

// waitFor returns the wait of an entry behind the given numbers of entries of its own
// class and of classes with higher priority: the entries ahead, plus the entry itself
// unless a slot is free, divided by the service rate. The guaranteed share of the
// class is an upper bound on the wait.
func (c *classQueue[T]) waitFor(ahead float64, higher int, load Load) time.Duration {
	if !load.SlotFree {
		ahead++
	}
	seconds := (ahead + float64(higher)) / load.StartsPerSecond
	if c.MinShare > 0 {
		seconds = math.Min(seconds, ahead/(load.StartsPerSecond*c.MinShare))
	}
	if seconds > maxPredictedWait.Seconds() {
		return maxPredictedWait
	}
	return time.Duration(seconds * float64(time.Second))
}

// maxPredictedWait caps the predicted wait so that it fits in a time.Duration.
const maxPredictedWait = 24 * time.Hour

// entriesAhead estimates how many entries of the class are served before the entry if
// each team is served in proportion to its weight.
func (c *classQueue[T]) entriesAhead(entry *Entry[T]) float64 {
	weight := effectiveWeight(entry.Weight)
	ownTeam := 0.0
	if team, found := c.teams[entry.Team]; found {
		ownTeam = float64(team.entries.countDueBy(entry.StartBy, 0))
	}
	total := ownTeam
	for _, team := range c.activeTeams {
		if team.name == entry.Team {
			continue
		}
		turns := (ownTeam + 1) * team.weight / weight
		total += math.Min(float64(len(team.entries)), turns)
	}
	return total
}

// Pop removes and returns the next entry to serve from the classes that allow accepts,
// or nil if there is none. A nil allow accepts every class.
func (q *Queue[T]) Pop(allow func(class string) bool) *Entry[T] {
	class := q.nextClass(allow)
	if class == nil {
		return nil
	}
	q.updateCredits(class)
	team := class.activeTeams[0]
	entry := team.entries[0]
	class.virtualTime = team.virtualStart
	team.virtualStart += 1 / team.weight
	heap.Fix(&class.activeTeams, team.index)
	q.Remove(entry)
	return entry
}

// MinShareDue reports whether the class has waiting entries and has earned enough
// credit under MinShare to be served before classes of higher priority.
func (q *Queue[T]) MinShareDue(class string) bool {
	c, found := q.classes[class]
	return found && c.length > 0 && c.credit+c.MinShare >= 1
}

// nextClass chooses the class to serve: among the classes with credit for a whole entry
// the one with the most credit, otherwise the class with the highest priority.
func (q *Queue[T]) nextClass(allow func(class string) bool) *classQueue[T] {
	var shareDue, highest *classQueue[T]
	for _, c := range q.classes {
		if c.length == 0 || (allow != nil && !allow(c.Name)) {
			continue
		}
		if c.credit+c.MinShare >= 1 && (shareDue == nil || c.hasMoreCredit(shareDue)) {
			shareDue = c
		}
		if highest == nil || c.before(highest) {
			highest = c
		}
	}
	if shareDue != nil {
		return shareDue
	}
	return highest
}

func (c *classQueue[T]) before(o *classQueue[T]) bool {
	if c.Priority != o.Priority {
		return c.Priority > o.Priority
	}
	return c.Name < o.Name
}

func (c *classQueue[T]) hasMoreCredit(o *classQueue[T]) bool {
	left, right := c.credit+c.MinShare, o.credit+o.MinShare
	if left != right {
		return left > right
	}
	return c.before(o)
}

// updateCredits adds MinShare to the credit of each class with waiting entries and
// charges one entry to the class that is served.
func (q *Queue[T]) updateCredits(served *classQueue[T]) {
	for _, c := range q.classes {
		if c.length > 0 {
			c.credit += c.MinShare
		}
	}
	served.credit = math.Max(0, served.credit-1)
}

// Remove takes an entry out of the queue and returns false if it is not queued.
func (q *Queue[T]) Remove(entry *Entry[T]) bool {
	team := entry.queue
	if team == nil {
		return false
	}
	heap.Remove(&team.entries, entry.index)
	entry.queue = nil
	team.class.entryRemoved(team)
	q.length--
	return true
}

func (c *classQueue[T]) add(entry *Entry[T]) {
	team, found := c.teams[entry.Team]
	if !found {
		team = &teamQueue[T]{name: entry.Team, index: -1, class: c}
		c.teams[entry.Team] = team
	}
	team.weight = effectiveWeight(entry.Weight)
	entry.queue = team
	heap.Push(&team.entries, entry)
	c.length++
	if team.index < 0 {
		// A team gets no credit for service that it did not request while it was idle.
		team.virtualStart = math.Max(team.virtualStart, c.virtualTime)
		heap.Push(&c.activeTeams, team)
	}
}

func (c *classQueue[T]) entryRemoved(team *teamQueue[T]) {
	c.length--
	if len(team.entries) == 0 {
		heap.Remove(&c.activeTeams, team.index)
	}
	if c.length == 0 {
		// Without waiting entries neither the class nor its teams hold any credit;
		// dropping the teams bounds the memory.
		c.credit = 0
		c.virtualTime = 0
		c.teams = map[string]*teamQueue[T]{}
	}
}

func effectiveWeight(weight float64) float64 {
	if weight <= 0 {
		return 1
	}
	return weight
}
