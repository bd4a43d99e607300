package chart

import (
	"bytes"
	"embed"
	"encoding/json"
	"fmt"
	"slices"

	"briarproxy/core/fault"
)

//go:embed charts/*.json
var files embed.FS

// Name names an embedded chart.
type Name string

// Embedded charts.
const (
	Request       Name = "request"        // a request at its entry daemon
	Task          Name = "task"           // a task at the owner of its key shard
	Lease         Name = "lease"          // a loan of slots at its lender
	Daemon        Name = "daemon"         // the life of a daemon
	ConfigVersion Name = "config-version" // a configuration from draft to its successor
	Run           Name = "run"            // a run of a task at the placer
)

// Names lists the embedded charts.
func Names() []Name { return []Name{Request, Task, Lease, Daemon, ConfigVersion, Run} }

// State is a state of a chart.
type State string

// Event is an event of a chart.
type Event string

// Behaviour says what a state does with each event.
type Behaviour struct {
	Meaning string             `json:"meaning"`
	On      map[Event]State    `json:"on"`
	Refuse  map[string][]Event `json:"refuse"` // by reason
}

// Chart is a state chart.
type Chart struct {
	Name    Name                `json:"name"`
	Initial State               `json:"initial"`
	Final   []State             `json:"final"`
	Events  []Event             `json:"events"`
	States  map[State]Behaviour `json:"states"`
}

// Load returns an embedded chart. Charts never change, so one may be shared.
func Load(name Name) (*Chart, error) {
	data, err := files.ReadFile("charts/" + string(name) + ".json")
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "use a name from chart.Names", "chart %q does not exist", name)
	}
	return Parse(data)
}

// Parse reads a chart and refuses one that is incomplete or contradicts itself.
func Parse(data []byte) (*Chart, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	c := &Chart{}
	if err := decoder.Decode(c); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "correct the chart file", "the chart is not readable")
	}
	if faults := c.faults(); len(faults) > 0 {
		return nil, fault.New(fault.Invalid, "correct the chart file", "chart %q: %v", c.Name, faults)
	}
	return c, nil
}

// MustLoad is Load for package variables; the embedded charts are checked by tests.
func MustLoad(name Name) *Chart {
	c, err := Load(name)
	if err != nil {
		panic(err)
	}
	return c
}

// Transitions returns the state that follows an event by the state that handles it.
// Code that steps very often prepares its own table from it.
func (c *Chart) Transitions(e Event) map[State]State {
	transitions := map[State]State{}
	for s, b := range c.States {
		if to, handled := b.On[e]; handled {
			transitions[s] = to
		}
	}
	return transitions
}

// IsFinal reports whether nothing follows a state.
func (c *Chart) IsFinal(s State) bool { return slices.Contains(c.Final, s) }

// faults lists everything that is wrong with the chart, in a fixed order.
func (c *Chart) faults() []string {
	var faults []string
	add := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	for _, s := range append([]State{c.Initial}, c.Final...) {
		if _, known := c.States[s]; !known {
			add("state %q is not defined", s)
		}
	}
	for s, b := range c.States {
		for _, e := range c.Events {
			if n := b.answers(e); n != 1 {
				add("state %q answers event %q %d times, not once", s, e, n)
			}
		}
		for e, to := range b.On {
			if _, known := c.States[to]; !known {
				add("state %q moves to %q, which is not defined", s, to)
			}
			c.checkEvent(e, add)
		}
		for reason, events := range b.Refuse {
			if reason == "" {
				add("state %q refuses %v without a reason", s, events)
			}
			for _, e := range events {
				c.checkEvent(e, add)
			}
		}
		if c.IsFinal(s) && len(b.On) > 0 {
			add("final state %q handles events", s)
		}
	}
	faults = append(faults, c.traps()...)
	slices.Sort(faults)
	return faults
}

func (c *Chart) checkEvent(e Event, add func(format string, args ...any)) {
	if !slices.Contains(c.Events, e) {
		add("event %q is not defined", e)
	}
}

// answers counts how often the state says what it does with an event.
func (b Behaviour) answers(e Event) int {
	count := 0
	if _, handled := b.On[e]; handled {
		count++
	}
	for _, events := range b.Refuse {
		for _, refused := range events {
			if refused == e {
				count++
			}
		}
	}
	return count
}

// traps lists the states that cannot be reached and those from which no final state
// can be reached.
func (c *Chart) traps() []string {
	var faults []string
	reached := c.reachable(c.Initial)
	for s := range c.States {
		if !reached[s] {
			faults = append(faults, fmt.Sprintf("state %q cannot be reached", s))
		}
		if !slices.ContainsFunc(c.Final, func(final State) bool { return c.reachable(s)[final] }) {
			faults = append(faults, fmt.Sprintf("no final state can be reached from %q", s))
		}
	}
	return faults
}

// reachable returns the states that can follow a state, and itself.
func (c *Chart) reachable(from State) map[State]bool {
	reached := map[State]bool{from: true}
	queue := []State{from}
	for len(queue) > 0 {
		s := queue[0]
		queue = queue[1:]
		for _, to := range c.States[s].On {
			if !reached[to] {
				reached[to] = true
				queue = append(queue, to)
			}
		}
	}
	return reached
}

// Machine is one instance of a chart. It is not safe for concurrent use.
type Machine struct {
	chart *Chart
	state State
}

// Start returns a machine in the initial state.
func (c *Chart) Start() *Machine { return &Machine{chart: c, state: c.Initial} }

// Resume returns a machine in a state that was stored before.
func (c *Chart) Resume(s State) (*Machine, error) {
	if _, known := c.States[s]; !known {
		return nil, fault.New(fault.Invalid, "resume with a state of the chart", "chart %q has no state %q", c.Name, s)
	}
	return &Machine{chart: c, state: s}, nil
}

// State returns the current state.
func (m *Machine) State() State { return m.state }

// Done reports whether the state is final.
func (m *Machine) Done() bool { return m.chart.IsFinal(m.state) }

// Step moves by an event and returns the state that follows. The state stays and
// the error is Next's for an event that is not handled.
func (m *Machine) Step(e Event) (State, error) {
	to, err := m.chart.Next(m.state, e)
	m.state = to
	return to, err
}

// Next returns the state that follows an event. The state stays and the error is of
// kind fault.Refused for an event that the state refuses on purpose, fault.Internal
// for a state or an event that the chart does not have.
func (c *Chart) Next(s State, e Event) (State, error) {
	if to, handled := c.States[s].On[e]; handled {
		return to, nil
	}
	return s, c.refusal(s, e)
}

func (c *Chart) refusal(s State, e Event) error {
	behaviour, known := c.States[s]
	if !known {
		return fault.New(fault.Internal, "report this as a defect", "chart %q has no state %q", c.Name, s)
	}
	for reason, events := range behaviour.Refuse {
		if slices.Contains(events, e) {
			return fault.New(fault.Refused, "discard the event",
				"chart %q in state %q refuses %q: %s", c.Name, s, e, reason)
		}
	}
	return fault.New(fault.Internal, "report this as a defect", "chart %q has no event %q", c.Name, e)
}
