package placer

import "slices"

// yieldShare is the part of its objective for which a step may make way for gangs of more
// urgent queues. The rest is left to be placed in.
const yieldShare = 0.5

// yields keeps less urgent steps off the workers that a waiting gang may use. A gang needs
// room for all its members at once; single tasks take each gap before the next one opens, so
// that a gang of an urgent queue waits behind work of any priority.
//
// It answers a cell that is nearly full of single tasks while gangs of a more urgent queue
// arrive.
type yields struct {
	priority map[string]int // by worker: the most urgent priority of a gang that waits for it
}

// clear forgets the gangs of the last planning pass.
func (y *yields) clear() { clear(y.priority) }

// to makes less urgent steps yield the workers that the gang may use.
func (y *yields) to(gang *stepWork) {
	if y.priority == nil {
		y.priority = map[string]int{}
	}
	for worker := range gang.grants {
		if p, known := y.priority[worker]; !known || gang.ranked.priority < p {
			y.priority[worker] = gang.ranked.priority
		}
	}
}

// mayWait reports whether the step has time to make way.
func (y *yields) mayWait(w *stepWork, wallMS int64) bool {
	return len(y.priority) > 0 && float64(w.latest-wallMS) > yieldShare*float64(w.objective.Milliseconds())
}

// others returns the workers for which no more urgent gang waits.
func (y *yields) others(w *stepWork, workers []string) []string {
	return slices.DeleteFunc(workers, func(id string) bool {
		p, waits := y.priority[id]
		return waits && p < w.ranked.priority
	})
}
