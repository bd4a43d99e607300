package cell

import (
	"sync"
	"time"
)

// lateMemory is how long a long time counts: the records that waited for a slow store are
// stored and read within it, as a partition holds 2 s of appends at most.
const lateMemory = 2500 * time.Millisecond

// lately holds the longest of some times that were noted lately: of the log's answers, or
// between two records of the placer. After a slow store has recovered, its first quick
// answer says nothing of the placer's silence, as its records still wait there. Calls
// without an answer are not noted, so that a lost placer is no reason to wait.
type lately struct {
	mu   sync.Mutex
	most time.Duration
	at   time.Duration // boot clock
}

func (l *lately) note(took, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now-l.at > lateMemory || took >= l.most {
		l.most, l.at = took, now
	}
}

func (l *lately) longest(now time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now-l.at > lateMemory {
		return 0
	}
	return l.most
}

// floorWindow is how long a short time counts. A read that waits for a record takes longer
// than the log needs, so one answer alone does not show that the log is slow.
const floorWindow = time.Second

// floor holds the shortest of some times that were noted in the last one to two windows.
type floor struct {
	present, former time.Duration // of this window and the one before
	since           time.Duration // boot clock: begin of this window
}

func (f *floor) note(took, now time.Duration) {
	switch {
	case f.since == 0 || now-f.since > 2*floorWindow:
		f.present, f.former, f.since = took, took, now
	case now-f.since > floorWindow:
		f.present, f.former, f.since = took, f.present, now
	default:
		f.present = min(f.present, took)
	}
}

func (f *floor) shortest() time.Duration { return min(f.present, f.former) }
