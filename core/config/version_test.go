package config

import (
	"testing"

	"github.com/stretchr/testify/require"

	"briarproxy/core/chart"
	"briarproxy/core/fault"
	"briarproxy/core/object"
)

// Guards against version states that differ from the config-version chart. The newest
// version is accepted, older ones are superseded, and a publication with a stale base
// is refused.
func TestHistoryFollowsTheConfigVersionChart(t *testing.T) {
	s := NewState(0)
	for offset, p := range []Publication{{ID: "a", Base: 0}, {ID: "b", Base: 1}, {ID: "late", Base: 1}} {
		p.Set = &object.Set{}
		data, err := EncodePublication(p)
		require.NoError(t, err)
		s.Apply(int64(offset), data)
	}
	states := []chart.State{}
	for _, e := range s.History() {
		states = append(states, e.State)
	}
	require.Equal(t, []chart.State{StateSuperseded, StateAccepted}, states)
	result, known := s.PublicationResult("late")
	require.True(t, known)
	require.Equal(t, StateRefused, result.State)
	require.Empty(t, s.TakeRefusals())
	require.Equal(t, StateSuperseded, s.nextVersionState(StateSuperseded, BaseIsStale), "an accepted version never reverts")
	require.Len(t, s.TakeRefusals(), 1)
}

// Guards against a publication that is appended again although the first append may
// have taken effect.
func TestNoSecondAppendAfterALostAnswer(t *testing.T) {
	p := NewProgress()
	require.Error(t, p.Step(AppendSent), "an unchecked set is never published")
	require.NoError(t, p.Step(Checked))
	require.NoError(t, p.Step(AppendSent))
	require.NoError(t, p.RecordAppend(fault.New(fault.Unknown, "read back", "the answer was lost")))
	require.True(t, fault.Is(p.Step(AppendSent), fault.Refused))
	require.NoError(t, p.RecordAppend(nil))
	require.NoError(t, p.RecordResult(PublicationResult{Accepted: true}))
	require.Equal(t, StateAccepted, p.State())
}

// Guards against events that only the chart or only the code defines.
func TestEventsMatchTheConfigVersionChart(t *testing.T) {
	require.ElementsMatch(t, versionChart.Events, []chart.Event{
		ProblemsFound, Checked, AppendSent, AppendFailed, AnswerLost, FoundInLog, AbsentFromLog,
		BaseIsNewest, BaseIsStale, NewerAccepted,
	})
}
