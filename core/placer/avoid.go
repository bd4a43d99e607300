package placer

import (
	"slices"
	"time"
)

// A failed run proves that its task or its worker is at fault, not which. The tasks of the step keep off
// the worker for some time, unless they would find no place at all then.

const (
	maxAvoidedWorkers = 8 // of a step
	avoidTime         = 15 * time.Second
	avoidTimeLasting  = 4 * time.Second // of a step that must be restarted soon
)

// avoid notes that a task of the step has failed on the worker.
func (s *pendingStep) avoid(worker string, now time.Duration) {
	s.avoidWorkers = slices.DeleteFunc(s.avoidWorkers, func(id string) bool { return id == worker })
	s.avoidWorkers = append(s.avoidWorkers, worker)
	s.avoidWorkers = s.avoidWorkers[max(0, len(s.avoidWorkers)-maxAvoidedWorkers):]
	s.failedAt = now
}

// workersToAvoid returns the workers that the given number of tasks of the step keep off, among the
// candidates (nil: all workers).
func (p *Placer) workersToAvoid(step *pendingStep, tasks int, candidates []string, now time.Duration) []string {
	avoid, limit := step.avoidWorkers, avoidTime
	if step.def.LongRunning {
		limit = avoidTimeLasting
	}
	if len(avoid) == 0 || now-step.failedAt > limit {
		return nil
	}
	if !step.def.Gang {
		tasks = 1
	}
	if candidates == nil {
		candidates = p.workerIDs
	}
	last := avoid[len(avoid)-1:]
	workers, room, roomOffLast := 0, 0, 0
	for _, id := range candidates {
		n := p.roomIfEmpty(step, id, tasks)
		if n == 0 {
			continue
		}
		workers++
		if !slices.Contains(avoid, id) {
			room += n
		}
		if id != last[0] {
			roomOffLast += n
		}
		if room >= tasks && workers >= 2*len(avoid) {
			return avoid
		}
	}
	switch {
	case room >= tasks && len(avoid) == 1:
		return avoid
	case roomOffLast >= tasks:
		return last // a task that fails everywhere must not rule out all workers of a small pool
	default:
		return nil
	}
}

// roomIfEmpty returns how many tasks of the step, at most the given number, the worker may run if nothing
// but the step's own tasks runs there.
func (p *Placer) roomIfEmpty(step *pendingStep, id string, most int) int {
	v := p.vms[id]
	if v == nil || !v.inRegistry || v.Draining || v.Pool != step.job.Pool || step.def.Label != "" && !v.HasLabel(step.def.Label) {
		return 0
	}
	n := int(min(v.Capacity.CountFitting(reservedResources(step.def)), int64(most)))
	if limit := step.def.MaxPerWorker; limit > 0 {
		for _, r := range v.runs {
			if r.StepID() == step.id {
				limit--
			}
		}
		n = min(n, limit)
	}
	return max(0, n)
}
