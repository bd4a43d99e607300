package node

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"briarproxy/core/wire"
	"briarproxy/daemon/logclient"
	"briarproxy/daemon/metric"
	"briarproxy/daemon/peer"
	"briarproxy/daemon/view"
)

// Guards against a call between daemons whose bytes have no purpose.
func TestEveryPeerMethodHasAPurpose(t *testing.T) {
	methods := reflect.TypeFor[peer.Handler]()
	for i := range methods.NumMethod() {
		require.NotEmpty(t, purposes["Peer."+methods.Method(i).Name], methods.Method(i).Name)
	}
}

// Guards against label values that grow with the number of workers, daemons,
// streams or regions, and against bytes in the wrong scope.
func TestTrafficLabelsAreBounded(t *testing.T) {
	metrics := metric.New()
	snapshot := &view.Snapshot{
		Self: view.Daemon{Name: "self", Region: "r0"}, VMs: map[string]view.VM{}, Daemons: map[string]view.Daemon{},
	}
	for i := range 200 {
		region := fmt.Sprint("r", i%11)
		name := fmt.Sprint("n", i)
		snapshot.VMs[name] = view.VM{VM: wire.VM{Name: name, Address: name, Region: region}}
		snapshot.Daemons[name] = view.Daemon{Name: name, Region: region}
	}
	holder := view.NewHolder()
	holder.Publish(snapshot)
	counts := newTraffic(metrics, holder)
	for i := range 250 { // the last 50 are not in the view
		counts.worker(fmt.Sprint("n", i), i%2 == 0, 1)
		for method := range purposes {
			counts.peer(fmt.Sprint("n", i), method, 1)
		}
		counts.appended(wire.ShardStream(i%64), logclient.AppendConfirmed, 1)
	}
	for _, kind := range []logclient.StreamKind{logclient.StreamConfig, logclient.StreamMembers, logclient.StreamShards} {
		counts.log(kind, 1)
	}
	series, err := testutil.GatherAndCount(metrics.Registry, "briar_message_bytes_total")
	require.NoError(t, err)
	require.LessOrEqual(t, series, 7*4, "purposes by scopes")
	appends, err := testutil.GatherAndCount(metrics.Registry, "briar_log_appends_total")
	require.NoError(t, err)
	require.Equal(t, 1, appends)
	require.Equal(t, metric.ScopeLocal, counts.workerScope("n11"))
	require.Equal(t, metric.ScopeCrossRegion, counts.workerScope("n12"))
	require.Equal(t, metric.ScopeUnknown, counts.workerScope("n240"))
}
