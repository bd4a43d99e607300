package node

import (
	"bytes"
	"testing"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"briarproxy/core/chart"
	"briarproxy/daemon/event"
)

// Guards against a planned stop whose steps change their order, against an event
// that is refused without a trace, and against events of the code that the chart
// does not have.
func TestLifeFollowsTheDaemonChart(t *testing.T) {
	var out bytes.Buffer
	l := newLife(event.NewLogger(&out, log.InfoLevel, "d"))
	require.False(t, l.step(stop), "the listeners are not open")
	require.True(t, l.step(listening))
	require.True(t, l.step(synced))
	require.Equal(t, stateServing, l.state())
	require.False(t, l.step(releaseLogged), "units are released last")
	require.True(t, l.step(stop))
	require.False(t, l.step(synced), "a stopping daemon does not become ready")
	for _, e := range []chart.Event{drainDelayPassed, requestsEnded, loansReturned, releaseLogged} {
		require.True(t, l.step(e), e)
	}
	require.True(t, l.machine.Done())
	require.Equal(t, 3, bytes.Count(out.Bytes(), []byte(`"event":1007`)))
	require.ElementsMatch(t, daemonChart.Events, []chart.Event{
		listening, startFailed, synced, stop, drainDelayPassed, requestsEnded, requestsCutOff,
		loansReturned, loansKept, releaseLogged, releaseFailed,
	})
}
