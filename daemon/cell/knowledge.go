package cell

import (
	"time"

	"briarproxy/core/flow"
)

// Ages of what is known of the log beyond which an answer is sought elsewhere.
const (
	maxCountAge = 1500 * time.Millisecond // a count may be 2 s old when the caller has it
	maxStateAge = 1500 * time.Millisecond // twice what a read takes in an idle cell
)

// readState tells up to which offset a daemon knows the log, and as of when. Only reading the
// log to its end renews it: a record that was stored, or a store that answers, does not.
type readState struct {
	offset int64
	asOf   time.Duration // boot clock at which the log held nothing beyond the offset; 0 is never
}

// age is the time since the log was known to its end; known is false if it never was.
func (s readState) age(now time.Duration) (age time.Duration, known bool) {
	return now - s.asOf, s.asOf > 0
}

// atMostOld reports whether the log was known to its end at most the given time ago.
func (s readState) atMostOld(limit, now time.Duration) bool {
	age, known := s.age(now)
	return known && age <= limit
}

// view is what a daemon says of a queue and a job.
type view struct {
	Pending   int        // jobs of the queue that wait
	Found     bool       // the job is in the log
	Phase     flow.Phase // of the job, if it was found
	readState readState  // from which this is said
}

// source is from where a question of a caller is to be answered.
type source int

// Sources of answers.
const (
	fromHere source = iota // what this daemon knows
	fromLog                // what it knows once it has read the log to its present end
	fromPeer               // a daemon that knows the log better
)

// String names the source in logs.
func (s source) String() string { return [...]string{"here", "log", "other daemon"}[s] }

// sourceOfCount decides who counts the waiting jobs. It answers the load of callers that come to
// a daemon which starts, or reads the log slowly: its count is older than they may take it for.
func sourceOfCount(k readState, now time.Duration) source {
	if k.atMostOld(maxCountAge, now) {
		return fromHere
	}
	return fromPeer
}

// sourceOfState decides who tells the state of a job. A final state never changes; that a job is
// unknown is only true of the log's present end, which a daemon that is far behind has not read.
func sourceOfState(k readState, f view, now time.Duration) source {
	switch {
	case f.Found && f.Phase.Final():
		return fromHere
	case !k.atMostOld(maxStateAge, now):
		return fromPeer
	case f.Found:
		return fromHere
	default:
		return fromLog
	}
}
