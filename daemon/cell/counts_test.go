package cell

import (
	"net/http"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"briarproxy/core/cluster"
	"briarproxy/core/placer"
)

// Guards against metrics that lack what an on-call engineer needs: what waits and for how long,
// how runs end, why callers are rejected, and which dependency is slow or does not answer.
func TestMetricsOfPlacerAndPlatformCalls(t *testing.T) {
	m := newMetrics()
	m.countDecision(&placer.Decision{Kind: placer.DecisionRunEnded, Reason: "lapsed", WastedCoreSeconds: 12.5})
	m.countDecision(&placer.Decision{Kind: placer.DecisionJobStarted, Reason: "q", Age: 300 * time.Millisecond})
	m.publishSummary(&placer.Summary{Waiting: map[string]placer.QueueBacklog{"q": {Steps: 3, LongestWait: 2 * time.Second}}, Workers: 5, Usable: 4,
		Workspaces: map[string]placer.WorkspaceUse{"ws": {Runs: 7, WaitingSteps: 3, HeldSteps: 2}}})
	m.countPlatformCall(cluster.Call{Dependency: "store", Outcome: cluster.CallTimedOut, Duration: time.Second, SentBytes: 10})
	require.InDelta(t, 1, testutil.ToFloat64(m.ends.WithLabelValues("lapsed")), 0)
	require.InDelta(t, 12.5, testutil.ToFloat64(m.wastedCoreSeconds), 0)
	require.InDelta(t, 3, testutil.ToFloat64(m.waitingSteps.WithLabelValues("q")), 0)
	require.InDelta(t, 2, testutil.ToFloat64(m.oldestWaiting.WithLabelValues("q")), 0)
	require.InDelta(t, 7, testutil.ToFloat64(m.workspaceRuns.WithLabelValues("ws")), 0)
	require.InDelta(t, 2, testutil.ToFloat64(m.workspaceSteps.WithLabelValues("ws", "held by maximum")), 0)
	require.InDelta(t, 4, testutil.ToFloat64(m.workers.WithLabelValues("usable")), 0)
	require.InDelta(t, 1, testutil.ToFloat64(m.calls.WithLabelValues("store", cluster.CallTimedOut)), 0)
	require.Equal(t, 1, testutil.CollectAndCount(m.firstStartSeconds))
	problems, err := testutil.GatherAndLint(m.registry)
	require.NoError(t, err)
	require.Empty(t, problems)

	// A daemon that is no longer the placer must not report the cell's gauges: the new placer does.
	api := newTestCallerAPI(t, &fakeStore{}, 0)
	api.onEngine(func(e *engine) {
		e.metrics.publishSummary(&placer.Summary{Workers: 5})
		e.publishMetrics(time.Hour)
	})
	require.Equal(t, 0, testutil.CollectAndCount(api.engine.metrics.workers))
	api = newTestCallerAPI(t, &fakeStore{}, 10*time.Second)
	require.Equal(t, http.StatusServiceUnavailable, api.request(http.MethodPost, "/p/new", jobBody).Code)
	require.InDelta(t, 1, testutil.ToFloat64(api.engine.metrics.rejections.WithLabelValues("log away")), 0)
}
