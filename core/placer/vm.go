package placer

import (
	"time"

	"briarproxy/core/cluster"
)

// vm is a worker as the placer knows it.
type vm struct {
	cluster.Worker
	listed     bool // in the registry
	listedAt   time.Duration
	tokenSeen  bool // it has answered a look under this placer's token in its present life
	clockKnown bool // its clock has been read in its present life
	clockMS    int64
	clockAt    time.Duration // boot clock at which the answer with clockMS arrived

	leaseUntil        int64         // worker's clock: the latest end of lease ever sent
	inheritedLeaseEnd time.Duration // boot clock: the end of all leases that earlier placers can have sent

	runs           map[cluster.TaskID]*run
	lastListedEnd  int64 // highest number of an end that was listed
	unrecordedEnds []listedEnd
	recordedUpTo   int64 // ends up to this number are recorded
	confirmedUpTo  int64 // highest number that the worker was told

	pollInFlight bool // a look is under way
	pollSentAt   time.Duration
	nextPollAt   time.Duration // next look, not before
	answeredAt   time.Duration // last answer to any order
	missedPolls  int           // looks in a row without an answer
	failures     int           // failed runs in a row, of different jobs
	lastFailed   string        // job of the last failed run
	avoidUntil   time.Duration
	refusals     int           // starts refused as unhealthy, in a row
	leavesAt     time.Duration // of a draining worker, not before; 0 is not known
}

// listedEnd is a listed end of which the record was not read back yet.
type listedEnd struct {
	number   int64
	run      cluster.RunID
	recorded bool
}

// allRunsListed reports whether the worker has listed every run that was ordered there in its
// present life. Otherwise one may have run in a next life that is not known yet, in which
// ends are numbered anew, and a confirmation for this life would make it forget that end.
func (v *vm) allRunsListed() bool {
	for _, r := range v.runs {
		if r.startOrdered() && !r.wasListed {
			return false
		}
	}
	return true
}

// updateDeparture follows a worker's word that it leaves. Its entry is older than the reading, so
// the earliest time that follows from any reading is the best one.
func (v *vm) updateDeparture(w *cluster.Worker, now time.Duration) {
	switch {
	case !w.Draining:
		v.leavesAt = 0
	case w.Stays > 0 && (v.leavesAt == 0 || now+w.Stays < v.leavesAt):
		v.leavesAt = now + w.Stays
	}
}

// clockLowerBound returns a lower bound of the worker's clock, ms.
func (v *vm) clockLowerBound(now time.Duration) int64 {
	passed := now - v.clockAt
	return v.clockMS + int64(float64(passed.Milliseconds())*(1-maxClockDrift))
}

// observeClock takes a clock value from an answer.
func (v *vm) observeClock(ms int64, now time.Duration) {
	if ms <= 0 {
		return
	}
	v.clockMS, v.clockAt, v.clockKnown = ms, now, true
	v.answeredAt = now
}

// leaseEnd returns the boot time at which every lease on the worker has surely ended.
func (v *vm) leaseEnd() time.Duration {
	end := v.inheritedLeaseEnd
	if v.clockKnown && v.leaseUntil > 0 {
		left := time.Duration(float64(v.leaseUntil-v.clockMS)/(1-maxClockDrift)) * time.Millisecond
		end = max(end, v.clockAt+left+leaseMargin)
	}
	return end
}

// markEndRecorded marks the end of a run as recorded and moves the number up to which ends may
// be confirmed.
func (v *vm) markEndRecorded(id cluster.RunID) {
	for i := range v.unrecordedEnds {
		if v.unrecordedEnds[i].run == id {
			v.unrecordedEnds[i].recorded = true
		}
	}
	v.advanceRecorded()
}

func (v *vm) advanceRecorded() {
	n := 0
	for n < len(v.unrecordedEnds) && v.unrecordedEnds[n].recorded {
		v.recordedUpTo = v.unrecordedEnds[n].number
		n++
	}
	v.unrecordedEnds = v.unrecordedEnds[n:]
}

// resetLife drops what belongs to a former life.
func (v *vm) resetLife(life cluster.Life) {
	v.Life = life
	v.tokenSeen, v.clockKnown = false, false
	v.leaseUntil, v.lastListedEnd, v.recordedUpTo, v.confirmedUpTo = 0, 0, 0, 0
	v.unrecordedEnds = nil
	v.failures, v.refusals, v.avoidUntil, v.leavesAt = 0, 0, 0, 0
}
