package placer

import (
	"time"

	"briarproxy/core/cluster"
)

// vm is what the placer knows about a worker. Each worker is a VM.
type vm struct {
	cluster.Worker
	inRegistry       bool          // the worker is in the registry
	lastInRegistryAt time.Duration // time of the last registry that contains it
	tokenSeen        bool          // the current incarnation has answered a poll with this placer's fencing token
	clockKnown       bool          // the clock of the current incarnation has been read
	clockMS          int64         // last value read from its clock
	clockAt          time.Duration // boot clock: arrival of the answer with clockMS

	leaseUntilMS   int64         // latest lease expiry that this placer has sent to the current incarnation, on the worker's clock
	hasFormerLease bool          // former placers may have granted leases
	replacedBorn   int64         // start time, Unix ms, of another worker that has started at its address; 0: none is known
	lateLeaseEnd   time.Duration // boot clock: expiry of all leases that late commands to the previous incarnation can set

	runs           map[cluster.TaskID]*run
	untracked      []untrackedRun
	lastListedEnd  int64       // highest number of an end that the worker has listed
	unrecordedEnds []listedEnd // in the order of their numbers, from the first that is not recorded
	recordedUpTo   int64       // ends up to this number are recorded in the log
	confirmedUpTo  int64       // highest number that was confirmed to the worker

	pollInFlight        bool // a poll is in flight
	pollSentAt          time.Duration
	nextPollAt          time.Duration // earliest time of the next poll
	answeredAt          time.Duration // time of the last answer to any command
	missedPolls         int           // consecutive polls without an answer
	consecutiveFailures int           // failed runs of different jobs in a row
	lastFailedJob       string        // job of the last failed run
	avoidUntil          time.Duration // nothing is placed on the worker before this time
	consecutiveRefusals int           // consecutive starts refused because the worker is unhealthy
	speedLevel          int           // see speed.Estimator.Level
	leavesAt            time.Duration // earliest time at which a draining worker leaves; 0 means unknown
}

// listedEnd is an end that the worker has listed and whose record the placer has not read back
// from the log, or that follows such an end.
type listedEnd struct {
	number   int64
	run      cluster.RunID
	recorded bool
}

// allRunsListed reports whether the current incarnation of the worker has listed every run for
// which a start command may have been sent. If one is not listed, the worker may have restarted
// unnoticed and the run may have ended in the new incarnation. Ends are numbered from 1 again
// there, so a confirmation meant for the known incarnation would make the worker discard that end.
func (v *vm) allRunsListed() bool {
	for _, r := range v.runs {
		if r.mayHaveStarted() && !r.wasListed {
			return false
		}
	}
	return true
}

// updateDeparture updates the time at which a draining worker leaves from its registry entry. The
// entry was written before it is read, so the earliest time computed from any reading is the
// most accurate one.
func (v *vm) updateDeparture(entry *cluster.Worker, now time.Duration) {
	switch {
	case !entry.Draining:
		v.leavesAt = 0
	case entry.Stays > 0 && (v.leavesAt == 0 || now+entry.Stays < v.leavesAt):
		v.leavesAt = now + entry.Stays
	}
}

// askedInVain reports whether the worker is silent, and not this placer: it was polled twice without an answer, or its
// address is not known. After a pause of this placer, the failure of the poll that was in flight tells nothing.
func (v *vm) askedInVain() bool { return v.missedPolls >= minMissedPolls || v.Address == "" }

// clockLowerBoundMS returns a lower bound of the current time on the worker's clock.
func (v *vm) clockLowerBoundMS(now time.Duration) int64 {
	elapsed := now - v.clockAt
	return v.clockMS + int64(float64(elapsed.Milliseconds())*(1-maxClockDrift))
}

// observeClock records the clock value of an answer; 0 means that the answer had none.
func (v *vm) observeClock(ms int64, now time.Duration) {
	if ms <= 0 {
		return
	}
	v.clockMS, v.clockAt, v.clockKnown = ms, now, true
	v.answeredAt = now
}

// leaseEnd returns the boot clock time at which every lease on the worker has certainly expired, given
// that time for the leases of former placers, and who granted the last of them.
func (v *vm) leaseEnd(formerLeaseEnd time.Duration) (end time.Duration, grantedBy string) {
	end, grantedBy = v.lateLeaseEnd, "a late command to the previous incarnation"
	if v.hasFormerLease && formerLeaseEnd > end {
		end, grantedBy = formerLeaseEnd, "a former placer"
	}
	if v.clockKnown && v.leaseUntilMS > 0 {
		left := time.Duration(float64(v.leaseUntilMS-v.clockMS)/(1-maxClockDrift)) * time.Millisecond
		if own := v.clockAt + left + leaseMargin; own > end {
			end, grantedBy = own, "this placer"
		}
	}
	return end, grantedBy
}

// markEndRecorded marks the end of a run as recorded and advances the number up to which ends
// may be confirmed.
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

// resetLife sets the worker's incarnation and clears the state of the previous one.
func (v *vm) resetLife(life cluster.Life) {
	v.Life = life
	v.tokenSeen, v.clockKnown, v.replacedBorn = false, false, 0
	v.leaseUntilMS, v.lastListedEnd, v.recordedUpTo, v.confirmedUpTo = 0, 0, 0, 0
	v.unrecordedEnds = nil
	v.consecutiveFailures, v.consecutiveRefusals, v.avoidUntil, v.leavesAt = 0, 0, 0, 0
}
