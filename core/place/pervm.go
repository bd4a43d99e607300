package place

import "briarproxy/core/wire"

// perVMRefuses tells whether the worker already runs as many tasks of the request's job
// as may share a worker. It counts committed tasks only, so requests with such a limit
// are planned and committed one at a time.
func perVMRefuses(w *State, ask *wire.TaskAsk) bool {
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
