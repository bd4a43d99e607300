package place

import (
	"briarproxy/core/resource"
	"briarproxy/core/wire"
)

// atPerVMLimit reports whether the worker has as many tasks of the request's job as the
// request allows per worker. booked is the number of tasks of the job that the current
// planning run has booked there; the worker's tasks do not include them.
func atPerVMLimit(w *WorkerState, ask *wire.TaskAsk, booked int) bool {
	return ask.PerVM > 0 && tasksOfJob(w, ask.Job)+booked >= ask.PerVM
}

// atRunLimit reports whether the planning run may place no more tasks of the job on the VM.
func atRunLimit(vm string, booked int, o *Options) bool {
	limit, limited := o.MaxPerVM[vm]
	return limited && booked >= limit
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
// the limit per worker admit.
func fittingTasks(w *WorkerState, ask *wire.TaskAsk) int64 {
	n := w.Free().CountFitting(ask.Resources)
	if ask.PerVM > 0 && n > 0 {
		n = min(n, int64(max(0, ask.PerVM-tasksOfJob(w, ask.Job))))
	}
	return n
}

// fittingTasksWhenEmpty is fittingTasks for the time when all tasks of the worker have ended.
func fittingTasksWhenEmpty(w *WorkerState, ask *wire.TaskAsk) int64 {
	empty := WorkerState{Worker: w.Worker, Committed: resource.Vector{Slots: w.Slots}}
	return fittingTasks(&empty, ask)
}

// jobWorker identifies the tasks of one job on one worker.
type jobWorker struct {
	job    string
	worker int32
}

// bookingCounts counts the tasks that a planning run has booked, by job and worker. It is
// nil in a run without limits per worker.
type bookingCounts map[jobWorker]int

// newBookingCounts returns the counts for a planning run of the requests.
func newBookingCounts(asks []wire.TaskAsk, o *Options) bookingCounts {
	if o.MaxPerVM != nil {
		return bookingCounts{}
	}
	for i := range asks {
		if asks[i].PerVM > 0 {
			return bookingCounts{}
		}
	}
	return nil
}

// add changes the count of a job's bookings on the worker by n.
func (b bookingCounts) add(job string, worker int32, n int) {
	if b != nil {
		b[jobWorker{job, worker}] += n
	}
}

// of returns the number of the job's tasks that are booked on the worker.
func (b bookingCounts) of(job string, worker int32) int {
	return b[jobWorker{job, worker}]
}
