package cell

import (
	"sync"
	"time"
)

// recentMaxWindow is how long a recorded duration counts towards the maximum. Records that waited
// for a slow store are stored and read within it, as a partition queues at most 2 s of appends.
const recentMaxWindow = 2500 * time.Millisecond

// recentMax tracks the longest duration recorded within recentMaxWindow, such as the log's response
// times or the gaps between two records of the placer. A maximum is used because the first quick
// response of a store that has recovered from slowness does not mean that a silent placer has
// failed: its records may still be queued there. Appends without an answer are not recorded, so
// that those sent to a failed placer do not delay the claim of its successor.
type recentMax struct {
	mu         sync.Mutex
	value      time.Duration
	recordedAt time.Duration // time on the boot clock
}

func (m *recentMax) record(duration, now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now-m.recordedAt > recentMaxWindow || duration >= m.value {
		m.value, m.recordedAt = duration, now
	}
}

func (m *recentMax) longest(now time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now-m.recordedAt > recentMaxWindow {
		return 0
	}
	return m.value
}

// recentMinWindow is the length of a window of recentMin. A read that waits for a new record takes
// longer than the log itself needs, so a single slow read does not show that the log is slow.
const recentMinWindow = time.Second

// recentMin tracks the shortest duration recorded in the current window and the one before.
type recentMin struct {
	current, previous time.Duration // minimum of each window
	windowStart       time.Duration // start of the current window on the boot clock
}

func (m *recentMin) record(duration, now time.Duration) {
	switch {
	case m.windowStart == 0 || now-m.windowStart > 2*recentMinWindow:
		m.current, m.previous, m.windowStart = duration, duration, now
	case now-m.windowStart > recentMinWindow:
		m.current, m.previous, m.windowStart = duration, m.current, now
	default:
		m.current = min(m.current, duration)
	}
}

func (m *recentMin) shortest() time.Duration { return min(m.current, m.previous) }
