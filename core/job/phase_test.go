package job

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"briarproxy/core/chart"
	"briarproxy/core/fault"
)

// Guards against phases or events of the code that the task chart does not have,
// and against states and events of the chart that the code does not use.
func TestPhasesAreTheStatesOfTheTaskChart(t *testing.T) {
	phases := []Phase{Pending, Reserving, Logging, Starting, Running, Verifying, Stopping, Succeeded, Failed, Cancelled}
	require.Len(t, taskChart.States, len(phases))
	for _, p := range phases {
		require.Contains(t, taskChart.States, chart.State(p))
		require.Equal(t, taskChart.IsFinal(chart.State(p)), p.Final(), p)
	}
	events := []*taskEvent{
		taken, noRoom, reserved, notLogged, intentLogged, intentReplayed, started, startUnknown, rackOwnerChanged,
		foundRunning, ownerChanged, finished, attemptEnded, attemptsExhausted, endedCancelled, cancel, gangAborted,
	}
	var names []chart.Event
	for _, e := range events {
		names = append(names, e.name)
		require.NotEmpty(t, e.next, e.name)
	}
	require.ElementsMatch(t, taskChart.Events, names)
}

// Guards against a refused event that changes the task or leaves no trace.
func TestRefusedEventIsKeptAndChangesNothing(t *testing.T) {
	s := NewShard(rand.New(rand.NewPCG(1, 1)))
	s.Apply(Record{Submit: &Submit{ID: "j", Tasks: 1}}, 0)
	task := &s.Get("j").Tasks[0]
	require.False(t, s.step(task, started), "no attempt exists")
	require.Equal(t, Pending, task.Phase)
	refusals := s.TakeRefusals()
	require.Len(t, refusals, 1)
	require.True(t, fault.Is(refusals[0], fault.Refused))
	require.Empty(t, s.TakeRefusals())
}

// Guards against a record that stops every owner of its shard: a count of tasks that
// can't be allocated, or a phase that no step leads out of.
func TestCheckRefusesWhatNoReleaseWrites(t *testing.T) {
	bad := []Record{
		{Submit: &Submit{ID: "j", Tasks: -1}},
		{Submit: &Submit{ID: "j"}},
		{Submit: &Submit{ID: "j", Tasks: MaxTasks + 1}},
		{Submit: &Submit{Tasks: 1}},
		{Job: &Job{Submit: Submit{ID: "j"}}},
		{Job: &Job{Submit: Submit{ID: "j"}, Tasks: []Task{{Phase: "no such"}}}},
	}
	for _, r := range bad {
		require.True(t, fault.Is(r.Check(), fault.Invalid), "%+v", r)
	}
	require.NoError(t, Record{Submit: &Submit{ID: "j", Tasks: MaxTasks}}.Check())
	require.NoError(t, Record{Job: &Job{Submit: Submit{ID: "j"}, Tasks: []Task{{Phase: Running}}}}.Check())
}
