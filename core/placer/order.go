package placer

import (
	"cmp"
	"slices"
	"time"
)

// maxLateFactor is the multiple of its objective within which the result of a late job is still
// of some value to the caller, according to the requirements.
const maxLateFactor = 3

// timeliness classifies a waiting step by the value that its job can still have for the caller.
type timeliness int

const (
	onTime  timeliness = iota // the job can complete within its objective
	late                      // the job will miss its objective, but can complete within maxLateFactor times the objective
	tooLate                   // the job must still run, but the caller no longer waits for it
)

// stepRank is the sort key of a waiting step.
type stepRank struct {
	beyondRate    bool // the workspace has submitted the job beyond its rate
	timeliness    timeliness
	priority      int           // of the queue; 0 is the highest
	latestStartMS int64         // Unix ms: latest start with which the job completes within its objective
	coreTime      time.Duration // estimated CPU time of all tasks of the step
	offset        int64         // log offset of the job's record
	step          int
}

// newStepRank returns the rank of a step at the given time (Unix ms).
//
// The order is designed for overload. Steps that can still be on time precede late ones, so
// that a backlog does not make new requests late as well. Within a class, the operator's queue
// priority decides. Steps of equal priority that can be on time are sorted by latest start, late
// ones by least work, which completes most jobs with the same capacity. What a workspace submits
// beyond its rate follows after everything else. Steps of one class are placed in turns of their
// workspaces (see turns); the rank is then the order within a workspace.
func newStepRank(step *pendingStep, wallMS int64) stepRank {
	r := stepRank{beyondRate: step.job.BeyondRate, latestStartMS: step.latestStartMS, coreTime: step.coreTime(), offset: step.job.Offset, step: step.id.Step}
	if step.queue != nil {
		r.priority = step.queue.Priority
	}
	switch {
	case wallMS <= step.latestStartMS:
		r.timeliness = onTime
	case wallMS <= step.latestStartMS+(maxLateFactor-1)*step.objective.Milliseconds():
		r.timeliness = late
	default:
		r.timeliness = tooLate
	}
	return r
}

// compare returns a negative number if the step of rank a is placed before that of b.
func (a *stepRank) compare(b *stepRank) int {
	if order := a.compareClass(b); order != 0 {
		return order
	}
	if a.timeliness == onTime {
		return cmp.Or(cmp.Compare(a.latestStartMS, b.latestStartMS), a.compareAge(b))
	}
	return cmp.Or(cmp.Compare(a.coreTime, b.coreTime), a.compareAge(b))
}

// compareClass compares what precedes the turns of the workspaces.
func (a *stepRank) compareClass(b *stepRank) int {
	if a.beyondRate != b.beyondRate {
		if a.beyondRate {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(a.timeliness, b.timeliness), cmp.Compare(a.priority, b.priority))
}

func (a *stepRank) sameClass(b *stepRank) bool { return a.compareClass(b) == 0 }

// compareAge makes the order total: it sorts steps of equal rank by the log offset of their jobs.
func (a *stepRank) compareAge(b *stepRank) int {
	return cmp.Or(cmp.Compare(a.offset, b.offset), cmp.Compare(a.step, b.step))
}

// coreTime returns the estimated CPU time of all tasks of the step.
func (s *pendingStep) coreTime() time.Duration {
	return time.Duration(int64(s.def.Count)*s.def.Size.MilliCores*s.def.EstimateMS/1000) * time.Millisecond
}

// sortSteps sorts waiting steps by the order in which they receive capacity and advice.
func (p *Placer) sortSteps(steps []*pendingStep, wallMS int64) {
	for _, step := range steps {
		step.rank = newStepRank(step, wallMS)
		step.spare, step.waits = time.Duration(step.latestStartMS-wallMS)*time.Millisecond, false
		step.speedWeight = newSpeedWeight(step)
		if p.options.Disabled.QueuePriorities {
			step.rank.priority = 0
		}
	}
	slices.SortFunc(steps, func(a, b *pendingStep) int { return a.rank.compare(&b.rank) })
}
