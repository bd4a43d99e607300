package place

import "briarproxy/core/wire"

// atPerVMLimit reports whether the worker has as many tasks of the request's job as the
// request allows per worker. booked is the number of tasks of the job that the current
// planning run has booked there; the worker's tasks do not include them.
func atPerVMLimit(w *WorkerState, ask *wire.TaskAsk, booked int) bool {
	if ask.PerVM <= 0 {
		return false
	}
	n := booked
	for i := range w.Tasks {
		if w.Tasks[i].Job == ask.Job {
			n++
		}
	}
	return n >= ask.PerVM
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
