package placer

import (
	"time"

	"briarproxy/core/cluster"
)

// vm is a worker as the placer knows it.
type vm struct {
	cluster.Worker
	listed   bool // in the registry
	listedAt time.Duration
	fenced   bool // it has answered a look under this placer's token in its present life
	known    bool // its clock has been read in its present life
	clockMS  int64
	clockAt  time.Duration // boot clock at which the answer with clockMS arrived

	leaseUntil int64         // worker's clock: the latest end of lease ever sent
	inherited  time.Duration // boot clock: the end of all leases that earlier placers can have sent

	runs      map[cluster.TaskID]*run
	seen      int64 // highest number of an end that was listed
	unsettled []unsettledEnd
	confirmed int64 // ends up to this number are recorded
	told      int64 // highest number that the worker was told

	looking    bool // a look is under way
	lookSentAt time.Duration
	lookAt     time.Duration // next look, not before
	answered   time.Duration // last answer to any order
	misses     int           // looks in a row without an answer
	failures   int           // failed runs in a row, of different jobs
	lastFailed string        // job of the last failed run
	avoidUntil time.Duration
	refusals   int           // starts refused as unhealthy, in a row
	leavesAt   time.Duration // of a draining worker, not before; 0 is not known
}

// unsettledEnd is a listed end of which the record was not read back yet.
type unsettledEnd struct {
	number  int64
	run     cluster.RunID
	settled bool
}

// allSeen reports whether the worker has listed every run that was ordered there in its
// present life. Otherwise one may have run in a next life that is not known yet, in which
// ends are numbered anew, and a confirmation for this life would make it forget that end.
func (v *vm) allSeen() bool {
	for _, r := range v.runs {
		if r.ordered() && !r.seen {
			return false
		}
	}
	return true
}

// notice follows a worker's word that it leaves. Its entry is older than the reading, so
// the earliest time that follows from any reading is the best one.
func (v *vm) notice(w *cluster.Worker, now time.Duration) {
	switch {
	case !w.Draining:
		v.leavesAt = 0
	case w.Stays > 0 && (v.leavesAt == 0 || now+w.Stays < v.leavesAt):
		v.leavesAt = now + w.Stays
	}
}

// clock returns a lower bound of the worker's clock, ms.
func (v *vm) clock(now time.Duration) int64 {
	passed := now - v.clockAt
	return v.clockMS + int64(float64(passed.Milliseconds())*(1-clockDrift))
}

// readClock takes a clock value from an answer.
func (v *vm) readClock(ms int64, now time.Duration) {
	if ms <= 0 {
		return
	}
	v.clockMS, v.clockAt, v.known = ms, now, true
	v.answered = now
}

// leaseEnd returns the boot time at which every lease on the worker has surely ended.
func (v *vm) leaseEnd() time.Duration {
	end := v.inherited
	if v.known && v.leaseUntil > 0 {
		left := time.Duration(float64(v.leaseUntil-v.clockMS)/(1-clockDrift)) * time.Millisecond
		end = max(end, v.clockAt+left+leaseMargin)
	}
	return end
}

// settle marks the end of a run as recorded and moves the number up to which ends may
// be confirmed.
func (v *vm) settle(id cluster.RunID) {
	for i := range v.unsettled {
		if v.unsettled[i].run == id {
			v.unsettled[i].settled = true
		}
	}
	v.advance()
}

func (v *vm) advance() {
	n := 0
	for n < len(v.unsettled) && v.unsettled[n].settled {
		v.confirmed = v.unsettled[n].number
		n++
	}
	v.unsettled = v.unsettled[n:]
}

// forget drops what belongs to a former life.
func (v *vm) forget(life cluster.Life) {
	v.Life = life
	v.fenced, v.known = false, false
	v.leaseUntil, v.seen, v.confirmed, v.told = 0, 0, 0, 0
	v.unsettled = nil
	v.failures, v.refusals, v.avoidUntil, v.leavesAt = 0, 0, 0, 0
}
