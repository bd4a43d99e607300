package job

import "briarproxy/core/chart"

// Phase is the state of a task, a state of the task chart. Phases are stored in
// records, so their names never change.
type Phase chart.State

// Phases of a task. Pending to Starting exist only in the owner's memory; the
// stream knows an intent and an end. The chart says what each phase means.
const (
	Pending   Phase = "pending"
	Reserving Phase = "reserving"
	Logging   Phase = "logging"
	Starting  Phase = "starting"
	Running   Phase = "running"
	Verifying Phase = "verifying"
	Stopping  Phase = "stopping"
	Succeeded Phase = "succeeded"
	Failed    Phase = "failed"
	Cancelled Phase = "cancelled"
)

var taskChart = chart.MustLoad(chart.Task)

// taskEvent is an event of the task chart with what follows it. Few phases handle
// an event, so a scan of the list is faster than a map.
type taskEvent struct {
	name chart.Event
	next []transition
}

type transition struct{ from, to Phase }

func eventOf(name chart.Event) *taskEvent {
	e := &taskEvent{name: name}
	for from, to := range taskChart.Transitions(name) {
		e.next = append(e.next, transition{Phase(from), Phase(to)})
	}
	return e
}

// Events of the task chart.
var (
	taken             = eventOf("taken")              // its group is to be placed
	noRoom            = eventOf("no-room")            // no rack owner had room
	reserved          = eventOf("reserved")           // a rack owner keeps room
	notLogged         = eventOf("not-logged")         // the intent was not confirmed
	intentLogged      = eventOf("intent-logged")      // the intent was confirmed
	intentReplayed    = eventOf("intent-replayed")    // an intent was read back; earlier attempts have ended or never started
	started           = eventOf("started")            // the worker accepted the start
	startUnknown      = eventOf("start-unknown")      // the worker did not answer the start
	rackOwnerChanged  = eventOf("rack-owner-changed") // an end may have been told to nobody
	foundRunning      = eventOf("found-running")      // the worker says that the attempt runs
	ownerChanged      = eventOf("owner-changed")      // the shard was replayed
	finished          = eventOf("finished")           // the attempt succeeded
	attemptEnded      = eventOf("attempt-ended")      // the attempt ended without success; another may follow
	attemptsExhausted = eventOf("attempts-exhausted") // no attempt may follow
	endedCancelled    = eventOf("ended-cancelled")    // the attempt of a cancelled job ended without success
	cancel            = eventOf("cancel")             // the job is cancelled
	gangAborted       = eventOf("gang-aborted")       // another task of the gang did not succeed
)

// Final reports whether the task has ended.
func (p Phase) Final() bool { return p == Succeeded || p == Failed || p == Cancelled }

// active reports whether an attempt of the task may run.
func (p Phase) active() bool {
	return p == Starting || p == Running || p == Verifying || p == Stopping
}

// maxRefusals bounds the refusals that are kept for TakeRefusals.
const maxRefusals = 64

// step moves the task by an event and reports whether its phase handles the event.
// A refused event leaves the task as it is and is kept for TakeRefusals.
func (s *Shard) step(t *Task, e *taskEvent) bool {
	for i := range e.next {
		if e.next[i].from == t.Phase {
			t.Phase = e.next[i].to
			return true
		}
	}
	if len(s.refusals) < maxRefusals {
		_, err := taskChart.Next(chart.State(t.Phase), e.name)
		s.refusals = append(s.refusals, err)
	}
	return false
}

// TakeRefusals returns the events that the task chart refused since the last call,
// as errors of kind fault.Refused or fault.Internal. A refused event changes
// nothing; a frequent one shows a defect.
func (s *Shard) TakeRefusals() []error {
	taken := s.refusals
	s.refusals = nil
	return taken
}
