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

// fittingTasks returns how many tasks like the request the free capacity of a worker and the
// limit per worker admit. present is the number of tasks of the job on the worker; it is not
// used without a limit.
func fittingTasks(free resource.Vector, ask *wire.TaskAsk, present int) int64 {
	n := free.CountFitting(ask.Resources)
	if ask.PerVM > 0 {
		n = min(n, int64(max(0, ask.PerVM-present)))
	}
	return n
}

// jobWorker identifies the tasks of one job on one worker.
type jobWorker struct {
	job    string
	worker int32
}

// bookingCounts counts the tasks that a planning run has booked, by job and worker. It is
// nil in a run in which no request has a limit per worker.
type bookingCounts map[jobWorker]int

// newBookingCounts returns the counts for a planning run of the requests.
func newBookingCounts(asks []wire.TaskAsk) bookingCounts {
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
