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
