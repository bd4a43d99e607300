package cell

import (
	"sync"
	"time"
)

// recentMaxWindow is how long a long time counts: the records that waited for a slow store are
// stored and read within it, as a partition holds 2 s of appends at most.
const recentMaxWindow = 2500 * time.Millisecond

// recentMax holds the longest of some times that were recorded within recentMaxWindow: of the log's answers, or
// between two records of the placer. After a slow store has recovered, its first quick
// answer says nothing of the placer's silence, as its records still wait there. Calls
// without an answer are not recorded, so that a lost placer is no reason to wait.
type recentMax struct {
	mu    sync.Mutex
	value time.Duration
	at    time.Duration // boot clock
}

func (m *recentMax) record(took, now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now-m.at > recentMaxWindow || took >= m.value {
		m.value, m.at = took, now
	}
}

func (m *recentMax) longest(now time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now-m.at > recentMaxWindow {
		return 0
	}
	return m.value
}

// recentMinWindow is how long a short time counts. A read that waits for a record takes longer
// than the log needs, so one answer alone does not show that the log is slow.
const recentMinWindow = time.Second

// recentMin holds the shortest of some times that were recorded in the last one to two windows.
type recentMin struct {
	current, previous time.Duration // of this window and the one before
	since             time.Duration // boot clock: begin of this window
}

func (m *recentMin) record(took, now time.Duration) {
	switch {
	case m.since == 0 || now-m.since > 2*recentMinWindow:
		m.current, m.previous, m.since = took, took, now
	case now-m.since > recentMinWindow:
		m.current, m.previous, m.since = took, m.current, now
	default:
		m.current = min(m.current, took)
	}
}

func (m *recentMin) shortest() time.Duration { return min(m.current, m.previous) }
