package placer

import (
	"container/heap"

	"briarproxy/core/resource"
	"briarproxy/core/share"
)

// The load that this file answers: a full cell, of which one workspace would take more than its share
// by sending more. Steps of equal urgency are placed in turns of their workspaces.

// turns yields the waiting steps in the order in which they are placed. Each class of equal
// urgency is complete before the next one. Within a class, the steps of workspaces below their fair
// share come first, in the order of their ranks, so that shares cost no step its objective while there is
// enough for all; then those of the others, the workspace with the lowest share first. What is placed
// counts at once. The share of a workspace only grows during a planning pass.
type turns struct {
	share.Turns
	steps     []*pendingStep // sorted by rank, without those that were yielded or put off
	classLeft int            // number of steps of the present class at the head of steps
	shared    bool           // the configuration has workspaces
	above     workspaceHeap  // workspaces above their fair share with steps of the present class
	last      *workspace     // whose step was yielded last from its queue; not in above
}

// newTurns returns the turns of steps that are sorted by rank.
func (p *Placer) newTurns(steps []*pendingStep) *turns {
	t := &turns{Turns: p.running, steps: steps, shared: len(p.config.Workspaces) > 0}
	if !t.shared {
		return t
	}
	t.Capacity = p.totalCapacity
	for _, step := range steps {
		if w := step.workspace; !w.hasWork {
			w.hasWork = true
			if w.Runs == 0 {
				t.AddWeight(&w.Account)
			}
		}
	}
	return t
}

// beginPass resets what the workspace notes for one planning pass, unless it has begun already.
func (w *workspace) beginPass(pass int) {
	if w.planPass == pass {
		return
	}
	w.wasHeld = w.held > 0
	w.planPass, w.hasWork, w.reserved, w.held, w.queue = pass, false, resource.Vector{}, 0, w.queue[:0]
}

// next returns the next step, or nil.
func (t *turns) next() *pendingStep {
	if !t.shared {
		return t.takeStep()
	}
	for len(t.steps) > 0 || t.last != nil || len(t.above) > 0 {
		if step := t.nextBelowShare(); step != nil {
			return step
		}
		if step := t.nextAboveShare(); step != nil {
			return step
		}
		t.beginClass()
	}
	return nil
}

func (t *turns) takeStep() *pendingStep {
	if len(t.steps) == 0 {
		return nil
	}
	step := t.steps[0]
	t.steps = t.steps[1:]
	return step
}

// beginClass determines the steps of the next class.
func (t *turns) beginClass() {
	for t.classLeft < len(t.steps) && t.steps[t.classLeft].rank.sameClass(&t.steps[0].rank) {
		t.classLeft++
	}
}

// nextBelowShare returns the next step of the class whose workspace is below its fair share. It puts the
// steps of the others off.
func (t *turns) nextBelowShare() *pendingStep {
	for t.classLeft > 0 {
		step := t.takeStep()
		t.classLeft--
		w := step.workspace
		if w.shareUsed = t.Share(&w.Account, w.reserved); w.shareUsed <= 1 {
			return step
		}
		if w.queue = append(w.queue, step); len(w.queue) == 1 {
			heap.Push(&t.above, w)
		}
	}
	return nil
}

// nextAboveShare returns the next step that was put off.
func (t *turns) nextAboveShare() *pendingStep {
	if w := t.last; w != nil && len(w.queue) > 0 {
		w.shareUsed = t.Share(&w.Account, w.reserved)
		heap.Push(&t.above, w)
	}
	t.last = nil
	if len(t.above) == 0 {
		return nil
	}
	w := heap.Pop(&t.above).(*workspace)
	step := w.queue[0]
	w.queue = w.queue[1:]
	t.last = w
	return step
}

// workspaceHeap has the workspace whose turn it is at the top.
type workspaceHeap []*workspace

func (h workspaceHeap) Len() int      { return len(h) }
func (h workspaceHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h workspaceHeap) Less(i, j int) bool {
	if h[i].shareUsed != h[j].shareUsed {
		return h[i].shareUsed < h[j].shareUsed
	}
	return h[i].queue[0].rank.compare(&h[j].queue[0].rank) < 0
}

func (h *workspaceHeap) Push(x any) { *h = append(*h, x.(*workspace)) }

func (h *workspaceHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
