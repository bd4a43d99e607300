package vmlist

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/wire"
)

// Guards against a failed, malformed or silent answer that is taken for an empty
// list, which would make every worker vanish.
func TestOnlyGoodListsAreHandled(t *testing.T) {
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		switch calls.Add(1) {
		case 1:
			w.WriteHeader(http.StatusInternalServerError)
		case 2:
			_, _ = w.Write([]byte(`{"vms":[`))
		case 3:
			time.Sleep(200 * time.Millisecond)
		default:
			_, _ = w.Write([]byte(`{"vms":[{"name":"v1","state":"live"}]}`))
		}
	}))
	defer server.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	var lists []wire.VMList
	New(Options{BaseURL: server.URL, Interval: 20 * time.Millisecond, Timeout: 100 * time.Millisecond}).Run(ctx, func(l wire.VMList) {
		lists = append(lists, l)
		cancel()
	})
	require.Len(t, lists, 1)
	require.Equal(t, "v1", lists[0].VMs[0].Name)
	require.GreaterOrEqual(t, calls.Load(), int64(4))
}
