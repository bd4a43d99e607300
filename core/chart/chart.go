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
var chartFiles embed.FS

// Name identifies an embedded chart.
type Name string

// Embedded charts.
const (
	Request       Name = "request"        // life cycle of a request at the daemon that received it
	Task          Name = "task"           // life cycle of a task at the owner of its key shard
	Lease         Name = "lease"          // life cycle of a loan of slots at the lender
	Daemon        Name = "daemon"         // life cycle of a daemon
	ConfigVersion Name = "config-version" // life cycle of a configuration version, from draft to replacement by its successor
	Run           Name = "run"            // life cycle of a run of a task at the placer
	KeyLease      Name = "key-lease"      // a daemon's right to accept calls with a key
)

// Names returns the names of all embedded charts.
func Names() []Name { return []Name{Request, Task, Lease, Daemon, ConfigVersion, Run, KeyLease} }

// State is a state of a chart.
type State string

// Event is an event of a chart.
type Event string

// Behaviour defines how a state handles each event.
type Behaviour struct {
	Meaning string             `json:"meaning"`
	On      map[Event]State    `json:"on"`
	Refuse  map[string][]Event `json:"refuse"` // refused events by reason
}

// Chart is a state chart.
type Chart struct {
	Name    Name                `json:"name"`
	Initial State               `json:"initial"`
	Final   []State             `json:"final"`
	Events  []Event             `json:"events"`
	States  map[State]Behaviour `json:"states"`
}

// Load returns an embedded chart. Charts are immutable, so they may be shared.
func Load(name Name) (*Chart, error) {
	data, err := chartFiles.ReadFile("charts/" + string(name) + ".json")
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "use a name from chart.Names", "chart %q does not exist", name)
	}
	return Parse(data)
}

// Parse decodes a chart and rejects one that is incomplete or inconsistent.
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

// MustLoad is like Load but panics on an error, for the initialization of package variables.
// Tests validate the embedded charts.
func MustLoad(name Name) *Chart {
	c, err := Load(name)
	if err != nil {
		panic(err)
	}
	return c
}

// Transitions returns the successor states of an event, by the state that handles it. Code on hot
// paths builds its own transition table from it.
func (c *Chart) Transitions(e Event) map[State]State {
	transitions := map[State]State{}
	for s, b := range c.States {
		if to, handled := b.On[e]; handled {
			transitions[s] = to
		}
	}
	return transitions
}

// IsFinal reports whether the state is final.
func (c *Chart) IsFinal(s State) bool { return slices.Contains(c.Final, s) }

// faults returns all defects of the chart, in sorted order.
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
			if n := b.responseCount(e); n != 1 {
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
	faults = append(faults, c.reachabilityFaults()...)
	slices.Sort(faults)
	return faults
}

func (c *Chart) checkEvent(e Event, add func(format string, args ...any)) {
	if !slices.Contains(c.Events, e) {
		add("event %q is not defined", e)
	}
}

// responseCount returns how many transitions and refusals the state defines for an event.
func (b Behaviour) responseCount(e Event) int {
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

// reachabilityFaults returns a defect for each state that is unreachable from the initial state,
// and for each from which no final state is reachable.
func (c *Chart) reachabilityFaults() []string {
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

// reachable returns the states that are reachable from a state, including itself.
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

// Resume returns a machine in a previously stored state.
func (c *Chart) Resume(s State) (*Machine, error) {
	if _, known := c.States[s]; !known {
		return nil, fault.New(fault.Invalid, "resume with a state of the chart", "chart %q has no state %q", c.Name, s)
	}
	return &Machine{chart: c, state: s}, nil
}

// State returns the current state.
func (m *Machine) State() State { return m.state }

// Done reports whether the current state is final.
func (m *Machine) Done() bool { return m.chart.IsFinal(m.state) }

// Step applies an event and returns the resulting state. For an event that is not handled, the
// state stays unchanged and the error is that of Next.
func (m *Machine) Step(e Event) (State, error) {
	to, err := m.chart.Next(m.state, e)
	m.state = to
	return to, err
}

// Next returns the successor of a state for an event. If the event is not handled, it returns the
// same state and an error: of kind fault.Refused if the state refuses the event on purpose, of
// kind fault.Internal if the chart does not have the state or the event.
func (c *Chart) Next(s State, e Event) (State, error) {
	if to, handled := c.States[s].On[e]; handled {
		return to, nil
	}
	return s, c.refusalError(s, e)
}

func (c *Chart) refusalError(s State, e Event) error {
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
