package cell

import (
	"sync"
	"time"
)

// slowMemory is how long a slow answer counts: the records that waited for a slow store
// are stored and read within this time, as it holds 2 s of appends at most.
const slowMemory = 2500 * time.Millisecond

// slowAnswers is the longest time that the log took to answer lately. After a slow store
// has recovered its first quick answer says nothing of the placer's silence: its records
// wait as all others do. Calls without an answer do not count, so that a lost placer is
// no reason to wait.
type slowAnswers struct {
	mu   sync.Mutex
	took time.Duration
	at   time.Duration // boot clock
}

func (s *slowAnswers) note(took, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now-s.at > slowMemory || took >= s.took {
		s.took, s.at = took, now
	}
}

func (s *slowAnswers) longest(now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now-s.at > slowMemory {
		return 0
	}
	return s.took
}
