package adminapi

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"briarproxy/core/fault"
	"briarproxy/core/wire"
	"briarproxy/daemon/event"
	"briarproxy/daemon/router"
	"briarproxy/daemon/view"
)

const token = "a-long-enough-token"

type pools struct{}

func (pools) Stats() []router.PoolStats { return []router.PoolStats{{Pool: "p", Busy: 3}} }

func server(t *testing.T, token string) *Server {
	explain := ExplainFunc(func(_ context.Context, id string) (wire.Explanation, bool) {
		return wire.Explanation{ID: id, State: "routed"}, id == "known"
	})
	s, err := New(Options{Token: token, View: view.NewHolder(), Pools: pools{}, Explainers: []Explainer{explain}, Log: event.Discard()})
	require.NoError(t, err)
	return s
}

func get(h http.Handler, path, authorization string) *httptest.ResponseRecorder {
	r := httptest.NewRequest("GET", path, nil)
	r.Header.Set("Authorization", authorization)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// Guards against an admin API that is open without the token.
func TestTokenCheck(t *testing.T) {
	on, off := server(t, token).Handler(), server(t, "").Handler()
	for _, bad := range []string{"", "Bearer ", "Bearer x" + token, "Bearer " + token + "x", token, "Basic " + token} {
		require.Equal(t, 401, get(on, "/v1/status", bad).Code, bad)
		require.Equal(t, 401, get(off, "/v1/status", bad).Code, bad)
	}
	require.Equal(t, 200, get(on, "/v1/status", "Bearer "+token).Code)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.True(t, fault.Is(server(t, "").Serve(listener), fault.Invalid))
	_, err = net.Dial("tcp", listener.Addr().String())
	require.Error(t, err, "the listener is closed")
	_, err = New(Options{Token: "short"})
	require.True(t, fault.Is(err, fault.Invalid))
	_, err = New(Options{Token: token, CertFile: "c"})
	require.True(t, fault.Is(err, fault.Invalid))
}

// Guards against wrong routes and contents.
func TestAdminRoutes(t *testing.T) {
	h := server(t, token).Handler()
	var top Top
	require.NoError(t, json.Unmarshal(get(h, "/v1/top", "Bearer "+token).Body.Bytes(), &top))
	require.Equal(t, int64(3), top.Queues[0].Busy)
	require.Equal(t, 200, get(h, "/v1/explain/known", "Bearer "+token).Code)
	require.Equal(t, 404, get(h, "/v1/explain/other", "Bearer "+token).Code)
	status := StatusOf(&view.Snapshot{
		Units: map[string]view.Unit{"b": {Name: "b"}, "a": {Name: "a", Owner: "d"}},
		VMs:   map[string]view.VM{"w": {VM: wire.VM{Name: "w"}, Leaving: true}},
	})
	require.Equal(t, []UnitStatus{{Name: "a", Owner: "d"}, {Name: "b"}}, status.Units)
	require.Equal(t, []string{"w"}, status.Leaving)
}

type readiness struct{ ready bool }

func (r readiness) Ready() (bool, string) { return r.ready, "stopping" }

// Guards against a daemon that the load balancer keeps using while it stops.
func TestMonitor(t *testing.T) {
	ready := Monitor(readiness{true}, prometheus.NewRegistry())
	stopping := Monitor(readiness{false}, prometheus.NewRegistry())
	require.Equal(t, 200, get(ready, "/readyz", "").Code)
	require.Equal(t, 503, get(stopping, "/readyz", "").Code)
	require.Equal(t, 200, get(stopping, "/healthz", "").Code)
	require.Equal(t, 200, get(ready, "/metrics", "").Code)
}
