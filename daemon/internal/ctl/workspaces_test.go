package ctl

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// serveMetrics serves a metrics page and returns its URL.
func serveMetrics(t *testing.T, page string) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(page)) }))
	t.Cleanup(server.Close)
	return server.URL + "/metrics"
}

// Guards against a list that takes the placer's gauges from another daemon, leaves out the refusals of
// some daemons, hides that a daemon did not answer, or does not show first who has waited longest.
func TestWorkspacesAreListedFromAllDaemons(t *testing.T) {
	placer := serveMetrics(t, `# TYPE briarproxy_placing gauge
briarproxy_placing 1
# TYPE briarproxy_key_lease_held gauge
briarproxy_key_lease_held 1
# TYPE briarproxy_workspace_share gauge
briarproxy_workspace_share{workspace="audits"} 0.75
briarproxy_workspace_share{workspace="mill"} 0.25
# TYPE briarproxy_workspace_runs gauge
briarproxy_workspace_runs{workspace="audits"} 12
# TYPE briarproxy_workspace_cores gauge
briarproxy_workspace_cores{kind="used",workspace="audits"} 47.5
briarproxy_workspace_cores{kind="maximum",workspace="audits"} 48
briarproxy_workspace_cores{kind="used",workspace="mill"} 3
briarproxy_workspace_cores{kind="maximum",workspace="mill"} 0
# TYPE briarproxy_workspace_steps gauge
briarproxy_workspace_steps{state="waiting",workspace="audits"} 9
briarproxy_workspace_steps{state="held by maximum",workspace="audits"} 8
# TYPE briarproxy_workspace_waiting_oldest_seconds gauge
briarproxy_workspace_waiting_oldest_seconds{workspace="audits"} 6.25
briarproxy_workspace_waiting_oldest_seconds{workspace="mill"} 0
# TYPE briarproxy_workspace_submissions_total counter
briarproxy_workspace_submissions_total{outcome="refused",workspace="mill"} 2
`)
	other := serveMetrics(t, `# TYPE briarproxy_placing gauge
briarproxy_placing 0
# TYPE briarproxy_key_lease_held gauge
briarproxy_key_lease_held 0
# TYPE briarproxy_key_refusals_total counter
briarproxy_key_refusals_total{reason="unknown key"} 5
# TYPE briarproxy_workspace_submissions_total counter
briarproxy_workspace_submissions_total{outcome="accepted",workspace="audits"} 30
briarproxy_workspace_submissions_total{outcome="refused",workspace="mill"} 3
`)
	code, out, errs := run("workspaces", placer, other, "http://127.0.0.1:1/metrics")
	require.Equal(t, ExitOK, code, errs)
	require.Equal(t, `WORKSPACE  SHARE  CORES  MAXIMUM  RUNS  WAITING  AT MAXIMUM  OLDEST  ACCEPTED  REFUSED
audits     75.0%  47.5   48.0     12    9        8           6.2s    30        0
mill       25.0%  3.0    -        0     0        0           0.0s    0         5
2 daemons answered, 1 of them accept keys
no answer: http://127.0.0.1:1/metrics
calls refused, unknown key: 5
`, out)
	_, out, _ = run("workspaces", other)
	require.Contains(t, out, "none of them places")
	_, out, _ = run("workspaces", placer, "-o", "json")
	require.Contains(t, out, `"oldest_wait_seconds":6.25`)
	code, _, _ = run("workspaces", "http://127.0.0.1:1/metrics")
	require.Equal(t, ExitUnreachable, code)
}
