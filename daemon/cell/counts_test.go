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

// Guards against a question of the on-call engineer that the metrics do not answer: what
// waits and for how long, how runs end, why callers are turned away, and which dependency
// is slow or gone.
func TestMetricsAnswerTheUsualQuestions(t *testing.T) {
	c := newMetrics()
	c.countDecision(&placer.Decision{Kind: placer.DecisionRunEnded, Reason: "lapsed", WastedCoreSeconds: 12.5})
	c.countDecision(&placer.Decision{Kind: placer.DecisionJobBegan, Reason: "q", Age: 300 * time.Millisecond})
	c.publishSummary(&placer.Summary{Waiting: map[string]placer.QueueWaiting{"q": {Steps: 3, Oldest: 2 * time.Second}}, Workers: 5, Usable: 4})
	c.countPlatformCall(cluster.Call{Dependency: "store", Outcome: cluster.CallTimedOut, Duration: time.Second, SentBytes: 10})
	require.InDelta(t, 1, testutil.ToFloat64(c.ends.WithLabelValues("lapsed")), 0)
	require.InDelta(t, 12.5, testutil.ToFloat64(c.wastedCoreSeconds), 0)
	require.InDelta(t, 3, testutil.ToFloat64(c.waitingSteps.WithLabelValues("q")), 0)
	require.InDelta(t, 2, testutil.ToFloat64(c.oldestWaiting.WithLabelValues("q")), 0)
	require.InDelta(t, 4, testutil.ToFloat64(c.workers.WithLabelValues("usable")), 0)
	require.InDelta(t, 1, testutil.ToFloat64(c.calls.WithLabelValues("store", cluster.CallTimedOut)), 0)
	require.Equal(t, 1, testutil.CollectAndCount(c.firstStart))
	problems, err := testutil.GatherAndLint(c.registry)
	require.NoError(t, err)
	require.Empty(t, problems)

	// A daemon that no longer places tells nothing of the cell: another one knows it now.
	e := newTestCallerAPI(t, &fakeStore{}, 0)
	e.onEngine(func(e *engine) {
		e.metrics.publishSummary(&placer.Summary{Workers: 5})
		e.publishMetrics(time.Hour)
	})
	require.Equal(t, 0, testutil.CollectAndCount(e.engine.metrics.workers))
	e = newTestCallerAPI(t, &fakeStore{}, 10*time.Second)
	require.Equal(t, http.StatusServiceUnavailable, e.request(http.MethodPost, "/p/new", jobBody).Code)
	require.InDelta(t, 1, testutil.ToFloat64(e.engine.metrics.rejections.WithLabelValues("log away")), 0)
}
