package flow

import (
	"slices"
	"time"

	"briarproxy/core/cluster"
)

// A task may crash each worker that starts it. Its job fails once enough incarnations are known to have
// ended as they started it. The silence of a worker is not enough: it may be cut off, or the placer may
// have stood still. It becomes a lost start, which whatever answers at the worker's address explains later.

// Limits for a task that crashes one worker after another. At either of them its job fails.
const (
	maxCrashes = 3 // incarnations that have answered the start of the task and ended then
	// maxLostStarts counts incarnations that did not answer the start as well. They may have ended before
	// they received it, so it takes more of them.
	maxLostStarts = 5
)

// LostStart is a start after which the worker answered nothing until its leases expired.
type LostStart struct {
	Run      int          `json:"r"`
	Life     cluster.Life `json:"l"`
	Address  string       `json:"a"`
	Answered bool         `json:"y,omitempty"` // the worker answered the start command
	BeganMS  int64        `json:"b,omitempty"` // see TaskState
}

// countLostStart processes the end of a run that was the last that its worker started.
func (s *State) countLostStart(j *Job, t *TaskState, e *End, now time.Duration) {
	switch e.Reason {
	case cluster.Crashed:
		t.Crashes++
	case cluster.Unanswered:
		t.Unanswered++
	case cluster.Unreachable:
		t.LostStarts = append(t.LostStarts, LostStart{Run: e.Run, Life: t.Life, Address: e.Address, Answered: e.Answered, BeganMS: t.BeganMS})
		t.LostStarts = t.LostStarts[max(0, len(t.LostStarts)-maxGivenUpRuns):]
	}
	if t.Crashes >= maxCrashes || t.Crashes+t.Unanswered >= maxLostStarts {
		s.finish(j, Failed, now)
	}
}

// explainLostStart applies a second end of a run that ended as Unreachable: LeaseExpired if its worker
// has survived, Crashed or Unanswered if its incarnation has ended. It reports whether the end is one.
func (s *State) explainLostStart(j *Job, t *TaskState, e *End, now time.Duration) bool {
	if e.Reason != cluster.LeaseExpired && e.Reason != cluster.Crashed && e.Reason != cluster.Unanswered {
		return false
	}
	i := slices.IndexFunc(t.LostStarts, func(l LostStart) bool { return l.Run == e.Run })
	if i < 0 {
		return false
	}
	t.LostStarts = slices.Delete(t.LostStarts, i, i+1)
	s.countLostStart(j, t, e, now)
	return true
}

// HasLostStart reports whether the run is a lost start that is not explained.
func (t *TaskState) HasLostStart(run int) bool {
	return slices.ContainsFunc(t.LostStarts, func(l LostStart) bool { return l.Run == run })
}

// IsSuspect reports whether a worker may have crashed as it started the task, and none has survived it since.
func (t *TaskState) IsSuspect() bool { return t.Crashes+t.Unanswered+len(t.LostStarts) > 0 }

// NeedsExplanation reports whether the task would have reached the limit of crashes if its unexplained
// lost starts were crashes.
func (t *TaskState) NeedsExplanation() bool {
	return len(t.LostStarts) > 0 && t.Crashes+t.Unanswered+len(t.LostStarts) >= maxCrashes
}

func (t *TaskState) forgetLostStarts() { t.Crashes, t.Unanswered, t.LostStarts = 0, 0, nil }
