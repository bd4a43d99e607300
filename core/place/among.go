package place

import (
	"slices"

	"briarproxy/core/wire"
)

// restrictsWorkers reports whether a request accepts only some workers of its pool.
// Such a request neither uses nor updates failedShapes, which describes whole pools.
func restrictsWorkers(ask *wire.TaskAsk) bool {
	return ask.Among != nil || ask.Label != "" || ask.PerVM > 0
}

// excluded reports whether the request rules the worker out, whatever runs there.
func excluded(w *WorkerState, ask *wire.TaskAsk) bool {
	return avoided(w.VM, ask.AvoidVMs) || lacksLabel(w, ask.Label) || ask.Among != nil && !slices.Contains(ask.Among, w.VM)
}

// scanNamed examines the workers that the request names. Placement advice names at
// most 100 workers, so a linear scan is enough.
func (s *search) scanNamed() {
	s.best = -1
	for _, vm := range s.ask.Among {
		i, known := s.cell.workerByVM[vm]
		if !known || notInPool(&s.cell.states[i], s.ask.Pool) || notSchedulable(&s.cell.states[i]) {
			continue
		}
		s.examine(i)
	}
}
