package placer

import (
	"cmp"
	"slices"
	"time"
)

// maxLateFactor is how many times its objective a job may take and still be of some use to its
// caller, by the users' rules.
const maxLateFactor = 3

// timeliness says how much of a job's use can still be had from a waiting step.
type timeliness int

const (
	onTime  timeliness = iota // the job can end within its objective
	late                      // it can't, but can end while late answers are of use
	tooLate                   // it must still be run, but nobody waits for it any more
)

// stepRank places a waiting step among the others.
type stepRank struct {
	timeliness    timeliness
	priority      int           // of the queue; 0 is the most urgent
	latestStartMS int64         // Unix ms: the latest start with which the job ends on time
	coreTime      time.Duration // core time of the step
	offset        int64         // of the job's record
	step          int
}

// newStepRank returns the rank of a step at a time (Unix ms).
//
// It answers a load beyond the room of the cell. Steps that can still be on time go before
// late ones, so that a backlog does not make new requests late as well. Among each the
// operator's priority decides. Steps of one queue that can be on time follow their latest
// start; late ones begin with the least work, which frees most callers with the same room.
func newStepRank(w *pendingStep, wallMS int64) stepRank {
	r := stepRank{latestStartMS: w.latestStartMS, coreTime: w.coreTime(), offset: w.job.Offset, step: w.id.Step}
	if w.queue != nil {
		r.priority = w.queue.Priority
	}
	switch {
	case wallMS <= w.latestStartMS:
		r.timeliness = onTime
	case wallMS <= w.latestStartMS+(maxLateFactor-1)*w.objective.Milliseconds():
		r.timeliness = late
	default:
		r.timeliness = tooLate
	}
	return r
}

// compare is negative if the step of rank a is to be placed before that of b.
func (a stepRank) compare(b stepRank) int {
	if order := cmp.Or(cmp.Compare(a.timeliness, b.timeliness), cmp.Compare(a.priority, b.priority)); order != 0 {
		return order
	}
	if a.timeliness == onTime {
		return cmp.Or(cmp.Compare(a.latestStartMS, b.latestStartMS), a.compareAge(b))
	}
	return cmp.Or(cmp.Compare(a.coreTime, b.coreTime), a.compareAge(b))
}

// compareAge makes the order total: steps of equal rank go in the order of their jobs' records.
func (a stepRank) compareAge(b stepRank) int {
	return cmp.Or(cmp.Compare(a.offset, b.offset), cmp.Compare(a.step, b.step))
}

// coreTime is the core time that the step's tasks are estimated to take.
func (w *pendingStep) coreTime() time.Duration {
	return time.Duration(int64(w.def.Count)*w.def.Size.MilliCores*w.def.EstimateMS/1000) * time.Millisecond
}

// sortSteps puts waiting steps into the order in which room and advice are given to them.
func (p *Placer) sortSteps(order []*pendingStep, wallMS int64) {
	for _, w := range order {
		w.stepRank = newStepRank(w, wallMS)
		if p.options.Disabled.Priority {
			w.stepRank.priority = 0
		}
	}
	slices.SortFunc(order, func(a, b *pendingStep) int { return a.stepRank.compare(b.stepRank) })
}
