package place

import "briarproxy/core/wire"

// atPerVMLimit reports whether the worker already runs as many tasks of the request's
// job as the request allows per worker. It counts committed tasks only, so requests
// with such a limit must be planned and committed one at a time.
func atPerVMLimit(w *WorkerState, ask *wire.TaskAsk) bool {
	if ask.PerVM <= 0 {
		return false
	}
	n := 0
	for i := range w.Tasks {
		if w.Tasks[i].Job == ask.Job {
			n++
		}
	}
	return n >= ask.PerVM
}
