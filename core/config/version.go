package config

import (
	"briarproxy/core/chart"
	"briarproxy/core/fault"
)

// States of the config-version chart that code asks for.
const (
	StateLogged     chart.State = "logged"
	StateAccepted   chart.State = "accepted"
	StateRefused    chart.State = "refused"
	StateSuperseded chart.State = "superseded"
)

// Events of the config-version chart.
const (
	ProblemsFound chart.Event = "problems-found"
	Checked       chart.Event = "checked"
	AppendSent    chart.Event = "append-sent"
	AppendFailed  chart.Event = "append-failed" // the record is not in the log and never will be
	AnswerLost    chart.Event = "answer-lost"   // the record may be in the log
	FoundInLog    chart.Event = "found-in-log"
	AbsentFromLog chart.Event = "absent-from-log"
	BaseIsNewest  chart.Event = "base-is-newest"
	BaseIsStale   chart.Event = "base-is-stale"
	NewerAccepted chart.Event = "newer-accepted"
)

var versionChart = chart.MustLoad(chart.ConfigVersion)

// stepVersion returns the state of a version after an event. With a refused event the
// state stays and the refusal is kept for TakeRefusals.
func (s *State) stepVersion(before chart.State, e chart.Event) chart.State {
	after, err := versionChart.Next(before, e)
	if err != nil {
		s.refusals = append(s.refusals, err)
	}
	return after
}

// TakeRefusals returns the events that the config-version chart refused since the
// last call, as errors of kind fault.Refused or fault.Internal. Each one shows a
// defect of this package.
func (s *State) TakeRefusals() []error {
	taken := s.refusals
	s.refusals = nil
	return taken
}

// Progress follows one publication from its draft to its verdict by the
// config-version chart.
type Progress struct{ machine *chart.Machine }

// NewProgress returns the progress of a draft.
func NewProgress() *Progress { return &Progress{machine: versionChart.Start()} }

// State returns the state of the publication.
func (p *Progress) State() chart.State { return p.machine.State() }

// Step moves by an event. The error of a refused event is the chart's.
func (p *Progress) Step(e chart.Event) error {
	_, err := p.machine.Step(e)
	return err
}

// Appended steps by the outcome of the append that was sent: nil, fault.Refused for
// a record that is not in the log and never will be, any other error for one that
// may be there.
func (p *Progress) Appended(outcome error) error {
	switch {
	case outcome == nil:
		return p.Step(FoundInLog)
	case fault.Is(outcome, fault.Refused):
		return p.Step(AppendFailed)
	}
	return p.Step(AnswerLost)
}

// Judged steps by the verdict that was read from the log.
func (p *Progress) Judged(v Verdict) error {
	if v.Accepted {
		return p.Step(BaseIsNewest)
	}
	return p.Step(BaseIsStale)
}
