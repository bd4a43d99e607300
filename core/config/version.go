package config

import (
	"briarproxy/core/chart"
	"briarproxy/core/fault"
)

// These are the states of the config-version chart that code refers to.
const (
	StateLogged     chart.State = "logged"
	StateAccepted   chart.State = "accepted"
	StateRefused    chart.State = "refused"
	StateSuperseded chart.State = "superseded"
)

// These are the events of the config-version chart.
const (
	ProblemsFound chart.Event = "problems-found"
	Checked       chart.Event = "checked"
	AppendSent    chart.Event = "append-sent"
	AppendFailed  chart.Event = "append-failed" // The record is not in the log and never will be.
	AnswerLost    chart.Event = "answer-lost"   // The record may be in the log.
	FoundInLog    chart.Event = "found-in-log"
	AbsentFromLog chart.Event = "absent-from-log"
	BaseIsNewest  chart.Event = "base-is-newest"
	BaseIsStale   chart.Event = "base-is-stale"
	NewerAccepted chart.Event = "newer-accepted"
)

var versionChart = chart.MustLoad(chart.ConfigVersion)

// nextVersionState returns the state of a version after an event. If the chart refuses
// the event, the state is unchanged and the error is kept for TakeRefusals.
func (s *State) nextVersionState(before chart.State, e chart.Event) chart.State {
	after, err := versionChart.Next(before, e)
	if err != nil {
		s.refusedEvents = append(s.refusedEvents, err)
	}
	return after
}

// TakeRefusals returns and clears the errors for events that the config-version chart
// has refused since the last call. They are of kind fault.Refused or fault.Internal,
// and each indicates a defect in this package.
func (s *State) TakeRefusals() []error {
	events := s.refusedEvents
	s.refusedEvents = nil
	return events
}

// Progress tracks one publication in the config-version chart, from the draft to its
// acceptance or refusal.
type Progress struct{ machine *chart.Machine }

// NewProgress returns the progress of a publication that is a draft.
func NewProgress() *Progress { return &Progress{machine: versionChart.Start()} }

// State returns the state of the publication.
func (p *Progress) State() chart.State { return p.machine.State() }

// Step applies an event. It returns the chart's error if the chart refuses the event.
func (p *Progress) Step(e chart.Event) error {
	_, err := p.machine.Step(e)
	return err
}

// RecordAppend applies the outcome of the append. A nil error means that the record is
// in the log, fault.Refused that it is not and never will be, and any other error
// that it may be.
func (p *Progress) RecordAppend(outcome error) error {
	switch {
	case outcome == nil:
		return p.Step(FoundInLog)
	case fault.Is(outcome, fault.Refused):
		return p.Step(AppendFailed)
	}
	return p.Step(AnswerLost)
}

// RecordResult applies the result of the publication that was read from the log.
func (p *Progress) RecordResult(result PublicationResult) error {
	if result.Accepted {
		return p.Step(BaseIsNewest)
	}
	return p.Step(BaseIsStale)
}
