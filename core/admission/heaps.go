package admission

import "time"

// entryHeap orders entries by StartBy, then by arrival.
type entryHeap[T any] []*Entry[T]

func (h entryHeap[T]) Len() int { return len(h) }

func (h entryHeap[T]) Less(i, j int) bool {
	if h[i].StartBy != h[j].StartBy {
		return h[i].StartBy < h[j].StartBy
	}
	return h[i].sequence < h[j].sequence
}

func (h entryHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *entryHeap[T]) Push(x any) {
	entry := x.(*Entry[T])
	entry.index = len(*h)
	*h = append(*h, entry)
}

// Pop implements heap.Interface.
func (h *entryHeap[T]) Pop() any {
	last := len(*h) - 1
	entry := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	entry.index = -1
	return entry
}

// countDueBy counts the entries in the subtree rooted at index i whose StartBy is at
// most startBy. It skips the subtree of any entry with a later StartBy.
func (h entryHeap[T]) countDueBy(startBy time.Duration, i int) int {
	if i >= len(h) || h[i].StartBy > startBy {
		return 0
	}
	return 1 + h.countDueBy(startBy, 2*i+1) + h.countDueBy(startBy, 2*i+2)
}

// teamHeap orders the teams of a class by virtual start time, then by name.
type teamHeap[T any] []*teamQueue[T]

func (h teamHeap[T]) Len() int { return len(h) }

func (h teamHeap[T]) Less(i, j int) bool {
	if h[i].virtualStart != h[j].virtualStart {
		return h[i].virtualStart < h[j].virtualStart
	}
	return h[i].name < h[j].name
}

func (h teamHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *teamHeap[T]) Push(x any) {
	team := x.(*teamQueue[T])
	team.index = len(*h)
	*h = append(*h, team)
}

// Pop implements heap.Interface.
func (h *teamHeap[T]) Pop() any {
	last := len(*h) - 1
	team := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	team.index = -1
	return team
}
