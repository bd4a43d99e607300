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
