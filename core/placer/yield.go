package placer

import "slices"

// maxYieldShare is the share of its objective for which a step may yield to gangs of more urgent
// queues. The rest of the time is left for placing the step itself.
const maxYieldShare = 0.5

// yields keeps less urgent steps off the workers that a waiting gang may use. A gang needs free
// capacity for all its members at once. Without yields, single tasks would take any
// capacity that becomes free before there is enough for the gang, and a gang of an urgent
// queue would wait behind tasks of any priority. This matters in a cell that is nearly full
// of single tasks while gangs of a more urgent queue arrive.
type yields struct {
	priority map[string]int // by worker: most urgent priority (lowest number) of the gangs that wait for it
}

// reset removes the gangs of the last planning pass.
func (y *yields) reset() { clear(y.priority) }

// addGang makes less urgent steps yield the workers that the gang may use.
func (y *yields) addGang(gang *pendingStep) {
	if y.priority == nil {
		y.priority = map[string]int{}
	}
	for worker := range gang.grants {
		if priority, known := y.priority[worker]; !known || gang.rank.priority < priority {
			y.priority[worker] = gang.rank.priority
		}
	}
}

// canYield reports whether a gang waits and the step has time to yield to it.
func (y *yields) canYield(step *pendingStep, wallMS int64) bool {
	return len(y.priority) > 0 && float64(step.latestStartMS-wallMS) > maxYieldShare*float64(step.objective.Milliseconds())
}

// withoutYielded removes the workers for which a more urgent gang than the step waits.
func (y *yields) withoutYielded(step *pendingStep, workers []string) []string {
	return slices.DeleteFunc(workers, func(id string) bool {
		priority, waits := y.priority[id]
		return waits && priority < step.rank.priority
	})
}
