package cell

import (
	"time"

	"briarproxy/core/flow"
)

// Ages of the last read to the end of the log, beyond which another daemon is consulted.
const (
	maxCountAge = 1500 * time.Millisecond // a count may be at most 2 s old when the caller receives it
	maxStateAge = 1500 * time.Millisecond // twice the duration of a read in an idle cell
)

// readState is the offset up to which a daemon has read the log, and the time at which that was the
// log's end. Only reading the log to its end renews it: storing a record or another answer from the
// store does not.
type readState struct {
	offset int64
	asOf   time.Duration // boot clock when the log ended at the offset; 0 if its end was never reached
}

// age returns the time since the log was read to its end; known is false if it never was.
func (s readState) age(now time.Duration) (age time.Duration, known bool) {
	return now - s.asOf, s.asOf > 0
}

// noOlderThan reports whether the log was read to its end at most maxAge ago.
func (s readState) noOlderThan(maxAge, now time.Duration) bool {
	age, known := s.age(now)
	return known && age <= maxAge
}

// view is what a daemon knows about a queue and a job.
type view struct {
	Pending   int        // number of waiting jobs of the queue
	Found     bool       // whether the log contains the job
	Phase     flow.Phase // of the job, if Found
	Workspace string     // of the job, if Found; "" if it has none
	JobsLost  bool       // records of jobs have expired unread so lately that the job may be one of them, unless Found
	readState readState  // of the state that the view was taken from
}

// source is where the answer to a caller's query is taken from.
type source int

const (
	fromLocalState source = iota // this daemon's state as it is
	fromLog                      // this daemon's state after reading the log to its current end
	fromPeer                     // another daemon that has read more of the log
)

// String returns the source's name in log lines.
func (s source) String() string { return [...]string{"here", "log", "other daemon"}[s] }

// sourceOfCount decides where a count of waiting jobs is taken from. A daemon that has just started
// or reads the log slowly has a count that is too old for its callers, who expect a current one.
func sourceOfCount(read readState, now time.Duration) source {
	if read.noOlderThan(maxCountAge, now) {
		return fromLocalState
	}
	return fromPeer
}

// sourceOfState decides where the state of a job is taken from. A final state never changes. A job
// counts as unknown only after a read to the log's current end, which a daemon that is far behind
// can't reach in time.
func sourceOfState(read readState, v view, now time.Duration) source {
	switch {
	case v.Found && v.Phase.Final():
		return fromLocalState
	case !read.noOlderThan(maxStateAge, now):
		return fromPeer
	case v.Found:
		return fromLocalState
	default:
		return fromLog
	}
}
