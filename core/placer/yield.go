package placer

import "slices"

// maxYieldShare is the part of its objective for which a step may make way for gangs of more
// urgent queues. The rest is left to be placed in.
const maxYieldShare = 0.5

// yields keeps less urgent steps off the workers that a waiting gang may use. A gang needs
// room for all its members at once; single tasks take each gap before the next one opens, so
// that a gang of an urgent queue waits behind work of any priority.
//
// It answers a cell that is nearly full of single tasks while gangs of a more urgent queue
// arrive.
type yields struct {
	priority map[string]int // by worker: the most urgent priority of a gang that waits for it
}

// reset forgets the gangs of the last planning pass.
func (y *yields) reset() { clear(y.priority) }

// addGang makes less urgent steps yield the workers that the gang may use.
func (y *yields) addGang(gang *pendingStep) {
	if y.priority == nil {
		y.priority = map[string]int{}
	}
	for worker := range gang.grants {
		if p, known := y.priority[worker]; !known || gang.stepRank.priority < p {
			y.priority[worker] = gang.stepRank.priority
		}
	}
}

// canYield reports whether the step has time to make way.
func (y *yields) canYield(w *pendingStep, wallMS int64) bool {
	return len(y.priority) > 0 && float64(w.latestStartMS-wallMS) > maxYieldShare*float64(w.objective.Milliseconds())
}

// withoutYielded returns the workers for which no more urgent gang waits.
func (y *yields) withoutYielded(w *pendingStep, workers []string) []string {
	return slices.DeleteFunc(workers, func(id string) bool {
		p, waits := y.priority[id]
		return waits && p < w.stepRank.priority
	})
}
