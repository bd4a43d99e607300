package place

import (
	"math"

	"briarproxy/core/resource"
	"briarproxy/core/wire"
)

// noLimit stands for any number of tasks.
const noLimit = math.MaxInt64

// tasksUnderPerVMLimit returns how many more tasks of the request's job the worker may run by
// the limit of the request. booked is the number of tasks of the job that the current planning
// run has booked there; the worker's tasks do not include them.
func tasksUnderPerVMLimit(w *WorkerState, ask *wire.TaskAsk, booked int) int64 {
	if ask.PerVM <= 0 {
		return noLimit
	}
	return int64(max(0, ask.PerVM-tasksOfJob(w, ask.Job)-booked))
}

// tasksUnderRunLimit returns how many more tasks of a job the planning run may book on the VM.
func tasksUnderRunLimit(vm string, booked int, o *Options) int64 {
	limit, limited := o.MaxPerVM[vm]
	if !limited {
		return noLimit
	}
	return int64(max(0, limit-booked))
}

// tasksOfJob returns the number of the worker's tasks that belong to the job.
func tasksOfJob(w *WorkerState, job string) int {
	n := 0
	for i := range w.Tasks {
		if w.Tasks[i].Job == job {
			n++
		}
	}
	return n
}

// fittingTasks returns how many more tasks like the request the free capacity of the worker and
// the limit of the request admit.
func fittingTasks(w *WorkerState, ask *wire.TaskAsk) int64 {
	return min(w.Free().CountFitting(ask.Resources), tasksUnderPerVMLimit(w, ask, 0))
}

// fittingTasksWhenEmpty is fittingTasks for the time when all tasks of the worker have ended.
func fittingTasksWhenEmpty(w *WorkerState, ask *wire.TaskAsk) int64 {
	empty := WorkerState{Worker: w.Worker, Committed: resource.Vector{Slots: w.Slots}}
	return fittingTasks(&empty, ask)
}
