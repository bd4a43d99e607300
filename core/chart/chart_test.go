package chart

import (
	"io/fs"
	"math/rand"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarproxy/core/fault"
)

// Guards against a chart with an unreachable state or one without a path to a final state, and
// against an event that a state neither handles nor refuses on purpose.
func TestEmbeddedChartsAreComplete(t *testing.T) {
	for _, name := range Names() {
		t.Run(string(name), func(t *testing.T) {
			c, err := Load(name)
			require.NoError(t, err)
			assert.Equal(t, name, c.Name)
			assert.NotEmpty(t, c.Final)
			for s, b := range c.States {
				assert.NotEmpty(t, b.Meaning, s)
				for _, e := range c.Events {
					m, err := c.Resume(s)
					require.NoError(t, err)
					_, err = m.Step(e)
					assert.True(t, err == nil || fault.Is(err, fault.Refused), "%s %s: %v", s, e, err)
				}
			}
			for _, final := range c.Final {
				assert.True(t, c.reachable(c.Initial)[final], final)
			}
		})
	}
	listed, err := fs.Glob(chartFiles, "charts/*.json")
	require.NoError(t, err)
	assert.Len(t, listed, len(Names()))
}

// Guards against outcomes that change after they were returned to a caller or written to the log:
// no event may change a final state. The test walks the charts at random with a fixed seed.
func TestFinalStatesStay(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	for _, name := range Names() {
		c, err := Load(name)
		require.NoError(t, err)
		ended := 0
		for range 60 {
			m := c.Start()
			for range 60 {
				before, done := m.State(), m.Done()
				after, err := m.Step(c.Events[random.Intn(len(c.Events))])
				if err != nil || done {
					require.Equal(t, before, after)
				}
			}
			if m.Done() {
				ended++
			}
		}
		assert.Positive(t, ended, name)
	}
}

// Guards against transitions that violate an invariant of the design. The numbers are those of
// section 1.2 of the design page.
func TestForbiddenTransitions(t *testing.T) {
	cases := []struct {
		invariant string
		chart     Name
		state     State
		event     Event
	}{
		{"2 one place per task", Task, "running", "taken"},
		{"2 one place per task", Task, "verifying", "intent-logged"},
		{"4 not run is relied on", Request, "not-run", "slot-granted"},
		{"5 at most once", Request, "sent", "slot-granted"},
		{"7 stop cuts nothing off", Daemon, "draining", "release-logged"},
		{"8 never reverts", ConfigVersion, "accepted", "base-is-stale"},
		{"1 slots are not used twice", Lease, "lapsed", "renewed"},
		{"1 slots are not used twice", Lease, "lent", "settled"},
		{"1 no stale owner", Lease, "ended", "renewed"},
	}
	for _, c := range cases {
		chart, err := Load(c.chart)
		require.NoError(t, err)
		m, err := chart.Resume(c.state)
		require.NoError(t, err)
		_, err = m.Step(c.event)
		assert.True(t, fault.Is(err, fault.Refused), c.invariant)
	}
}

// Guards against a parser that accepts invalid charts.
func TestParseRefusesFaultyCharts(t *testing.T) {
	const good = `{"name":"x","initial":"a","final":["b"],"events":["e"],"states":{
		"a":{"meaning":"","on":{"e":"b"},"refuse":{}},"b":{"meaning":"","on":{},"refuse":{"over":["e"]}}}}`
	_, err := Parse([]byte(good))
	require.NoError(t, err)
	cases := []struct{ from, to, want string }{
		{`"on":{"e":"b"}`, `"on":{}`, `state "a" answers event "e" 0 times`},
		{`"refuse":{}`, `"refuse":{"r":["e"]}`, `state "a" answers event "e" 2 times`},
		{`"on":{"e":"b"}`, `"on":{"e":"a"}`, `no final state can be reached from "a"`},
		{`"on":{"e":"b"}`, `"on":{"e":"c"}`, `moves to "c", which is not defined`},
		{`"events":["e"]`, `"events":["f"]`, `event "e" is not defined`},
		{`"initial":"a"`, `"initial":"z"`, `state "z" is not defined`},
		{`"initial":"a"`, `"initial":"b"`, `state "a" cannot be reached`},
		{`"over"`, `""`, `without a reason`},
		{`"name"`, `"nmae"`, `not readable`},
	}
	for _, c := range cases {
		_, err := Parse([]byte(strings.Replace(good, c.from, c.to, 1)))
		require.Error(t, err, c.want)
		assert.Contains(t, err.Error(), c.want)
	}
}

// Guards against unknown charts, states and events that are accepted without an error.
func TestUnknownNamesAreRejected(t *testing.T) {
	_, err := Load("nothing")
	assert.True(t, fault.Is(err, fault.Internal))
	c, err := Load(Task)
	require.NoError(t, err)
	_, err = c.Resume("nowhere")
	assert.True(t, fault.Is(err, fault.Invalid))
	_, err = c.Start().Step("no-event")
	assert.True(t, fault.Is(err, fault.Internal))
}
