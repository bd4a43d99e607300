package node

import (
	"sync"

	"briarproxy/core/wire"
	"briarproxy/daemon/logclient"
	"briarproxy/daemon/metric"
	"briarproxy/daemon/view"
)

// purposes maps the calls between daemons to what they are for.
var purposes = map[string]metric.Purpose{
	wire.RPCPing:        metric.PurposeMembership,
	wire.RPCBorrow:      metric.PurposeLoans,
	wire.RPCQuota:       metric.PurposeLoans,
	wire.RPCForward:     metric.PurposeRequests,
	wire.RPCJob:         metric.PurposeRequests,
	wire.RPCReserve:     metric.PurposePlacement,
	wire.RPCStart:       metric.PurposePlacement,
	wire.RPCRelease:     metric.PurposePlacement,
	wire.RPCStopTasks:   metric.PurposePlacement,
	wire.RPCSummary:     metric.PurposePlacement,
	wire.RPCTaskEnded:   metric.PurposeReports,
	wire.RPCConfigSince: metric.PurposeConfig,
}

// maxScopes bounds the remembered worker addresses.
const maxScopes = 32768

// traffic attributes bytes to a purpose and a scope.
type traffic struct {
	metrics *metric.Metrics
	view    view.Source
	mu      sync.Mutex
	scopes  map[string]metric.Scope // by worker address
}

func newTraffic(metrics *metric.Metrics, source view.Source) *traffic {
	return &traffic{metrics: metrics, view: source, scopes: map[string]metric.Scope{}}
}

// worker counts bytes of a connection to a worker.
func (t *traffic) worker(address string, request bool, bytes int) {
	purpose := metric.PurposeReports
	if request {
		purpose = metric.PurposeRequests
	}
	t.metrics.Transferred(purpose, t.workerScope(address), bytes)
}

// workerScope looks the address up in the VM list once.
func (t *traffic) workerScope(address string) metric.Scope {
	t.mu.Lock()
	defer t.mu.Unlock()
	if scope, known := t.scopes[address]; known {
		return scope
	}
	snapshot := t.view.Current()
	for _, vm := range snapshot.VMs {
		if vm.Address != address {
			continue
		}
		if len(t.scopes) >= maxScopes {
			clear(t.scopes)
		}
		t.scopes[address] = scopeOf(snapshot, vm.Region)
		return t.scopes[address]
	}
	return metric.ScopeUnknown
}

func scopeOf(snapshot *view.Snapshot, region string) metric.Scope {
	if region == snapshot.Self.Region {
		return metric.ScopeLocal
	}
	return metric.ScopeCrossRegion
}

// peer counts bytes of a call to another daemon.
func (t *traffic) peer(daemon, method string, bytes int) {
	snapshot := t.view.Current()
	scope := metric.ScopeUnknown
	if d, known := snapshot.Daemons[daemon]; known {
		scope = scopeOf(snapshot, d.Region)
	}
	t.metrics.Transferred(purposes[method], scope, bytes)
}

// log counts bytes of a connection to the log service, whose region is not known.
func (t *traffic) log(stream logclient.StreamKind, bytes int) {
	purpose := metric.PurposeRecords
	switch stream {
	case logclient.StreamConfig:
		purpose = metric.PurposeConfig
	case logclient.StreamMembers:
		purpose = metric.PurposeMembership
	}
	t.metrics.Transferred(purpose, metric.ScopePlatform, bytes)
}

// appended counts an append to the log.
func (t *traffic) appended(stream string, result logclient.AppendResult, bytes int) {
	t.metrics.Appended(stream, metric.AppendResult(result), bytes)
}
