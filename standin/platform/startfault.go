package platform

import (
	"fmt"
	"time"
)

// StartFault says what happens to each worker that starts a task of a job, as soon as it has started it.
type StartFault struct {
	Answered bool // The start is answered all the same, unless the worker is cut off already.

	// Cut is one of the cuts of a worker that lasts until the test ends it: Silence is ended by Reconnect, and
	// LoseAnswers by DeliverAnswers.
	Cut CutKind

	// CrashFor is how long a worker is down that crashes; 0 means that it does not crash. It is back at the same
	// address, under a new ID if NewID is set.
	CrashFor time.Duration
	NewID    bool

	Then func(worker string) // Then is called for each start, in its own goroutine, if it is set.
}

// CutKind is a kind of cut between a worker and all daemons.
type CutKind int

// Kinds of cuts.
const (
	CutNone    CutKind = iota
	CutBoth            // Silence
	CutAnswers         // LoseAnswers
)

// timeToAnswer is the time from the start to the crash of a worker. The worker is silent then, but for the answer to the start.
const timeToAnswer = 20 * time.Millisecond

// SetStartFault sets what happens to workers that start a task of a job; nil ends it for coming starts.
func (f *Fleet) SetStartFault(job string, fault *StartFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.startFaults[job] = fault
}

// FailureIsJustified reports whether a job may be shown as failed: the runs of a task have ended as failed the given
// number of times, or at least two workers have crashed while they ran one.
func (f *Fleet) FailureIsJustified(job string, attempts int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		w.endDueRuns()
	}
	for task, n := range f.failedEnds {
		if jobOf(task) == job && n >= attempts {
			return true
		}
	}
	for task, n := range f.crashesUnder {
		if jobOf(task) == job && n >= crashesToFail {
			return true
		}
	}
	return false
}

// crashesToFail is the number of crashed workers for which a task may be given up.
const crashesToFail = 2

// suffer begins a fault of the worker. The caller must hold the fleet's lock.
func (w *Worker) suffer(fault *StartFault) {
	switch fault.Cut {
	case CutBoth:
		w.cuts++
	case CutAnswers:
		w.answerLosses++
	}
	if fault.CrashFor > 0 {
		w.cuts++ // It answers no other command before it crashes.
		time.AfterFunc(timeToAnswer, func() { w.crash(fault.CrashFor, fault.NewID) })
	}
	if fault.Then != nil {
		go fault.Then(w.id)
	}
}

// crash ends the cut before a crash and the present incarnation, and begins the next one after some time.
func (w *Worker) crash(down time.Duration, newID bool) {
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	w.cuts--
	if w.down {
		return
	}
	w.loseRuns()
	w.down = true
	w.closeConnections()
	time.AfterFunc(down, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		w.down = false
		if newID {
			f.lastID++
			f.store.Put("keyed.servers", w.id, nil)
			delete(f.workers, w.id)
			w.id = fmt.Sprintf("i-%04x", f.lastID)
			f.workers[w.id] = w
		}
		w.clockOffset = restartedClockOffset
		w.restart()
	})
}

// loseRuns drops the runs of a worker that crashes. The caller must hold the fleet's lock.
func (w *Worker) loseRuns() {
	w.endDueRuns()
	for task := range w.runs {
		w.fleet.crashesUnder[task]++
		delete(w.fleet.running, task)
	}
	w.runs = nil
}

func (w *Worker) closeConnections() {
	for conn := range w.connections {
		_ = conn.Close() // The clients notice it.
	}
}
