package cell

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/cluster"
	"briarproxy/core/flow"
	"briarproxy/daemon/event"
)

// Guards against two placers under one epoch: the log acknowledges the second of two claims
// with the same epoch as if it were a repeat of the first.
func TestOnlyTheDaemonThatTheClaimNamesPlaces(t *testing.T) {
	e := newEngine(&Settings{Name: "a", Bounds: BoundSettings{MaxLeaseMS: 6000}}, nil, event.Discard())
	e.metrics = newMetrics()
	e.claimEpoch = 77
	for _, claim := range []flow.Claim{
		{Daemon: "b", Epoch: 77, StartedMS: e.startedMS},
		{Daemon: "a", Epoch: 77, StartedMS: e.startedMS - 1},
		{Daemon: "a", Epoch: 76, StartedMS: e.startedMS},
	} {
		record := flow.Record{Claim: &claim}
		e.applyRecord(t.Context(), &decodedRecord{record: record}, time.Second)
		require.Nil(t, e.placer, "%+v", claim)
	}
}

// Guards against an older configuration that replaces a newer one.
func TestConfigurationNeverReverts(t *testing.T) {
	e := newEngine(&Settings{Name: "a"}, nil, event.Discard())
	e.setConfig(&cluster.Configuration{Version: 5})
	e.setConfig(&cluster.Configuration{Version: 4})
	require.EqualValues(t, 5, e.config.Version)
	e.setConfig(&cluster.Configuration{Version: 9})
	require.EqualValues(t, 9, e.config.Version)
}

// Guards against a job that runs again, or although it was cancelled, on the word of a daemon that was frozen for longer than
// such ids are kept: it dropped them before it read the late copy of the submission that they stand against.
func TestFrozenDaemonKeepsEndedJobsUntilItHasReadTheLog(t *testing.T) {
	const frozen = 10 * time.Minute
	e := newEngine(&Settings{Name: "a", Bounds: BoundSettings{MaxLeaseMS: 6000, StatusS: 120}}, nil, event.Discard())
	apply := func(r flow.Record, now time.Duration) {
		e.applyRecord(t.Context(), &decodedRecord{record: r}, now)
	}
	submission := func(id string) flow.Record {
		return flow.Record{Submit: &flow.Submit{ID: id, Queue: "q", Steps: []flow.Step{{Count: 1}}}}
	}
	before := time.Hour
	apply(submission("ended"), before)
	apply(flow.Record{Cancel: &flow.Cancel{ID: "ended"}}, before)
	apply(flow.Record{Cancel: &flow.Cancel{ID: "absent", Absent: true}}, before)
	e.readToEndAt = before

	e.runTimers(t.Context(), before+frozen)
	for _, id := range []string{"ended", "absent"} {
		apply(submission(id), before+frozen)
		require.Equal(t, flow.Cancelled, e.state.Jobs[id].Phase, id)
	}
	e.readToEndAt = before + frozen
	e.runTimers(t.Context(), before+frozen+2*expiryInterval)
	require.NotContains(t, e.state.Jobs, "ended")
	require.Zero(t, e.state.Tombstones())
}
