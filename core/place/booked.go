package place

import "briarproxy/core/wire"

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
