package metric

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"briarproxy/core/wire"
	"briarproxy/daemon/router"
)

type fixedPools []router.PoolStats

func (f fixedPools) Stats() []router.PoolStats { return f }

// Guards against an unbounded number of values per label, and against a scrape that
// fails because overflowing values produce duplicate series.
func TestLabelsAreBounded(t *testing.T) {
	m := New()
	var pools fixedPools
	for i := range 1000 {
		m.Answered(fmt.Sprint("s", i), fmt.Sprint("c", i), wire.OutcomeRan)
		pools = append(pools, router.PoolStats{Pool: fmt.Sprint("p", i), Queued: map[string]int{fmt.Sprint("c", i): 1}, Slots: 2, Busy: 1})
	}
	m.ObservePools(pools)
	require.LessOrEqual(t, testutil.CollectAndCount(m.requests), maxServiceValues+1)
	count, err := testutil.GatherAndCount(m.Registry, "briar_slots")
	require.NoError(t, err)
	require.Equal(t, 3*(maxPoolValues+1), count)
}

// Guards against wrong metric names, units and label values.
func TestNamesAndValues(t *testing.T) {
	m := New()
	m.Answered("s", "c", wire.OutcomeNotRun)
	m.Waited("c", 3*time.Millisecond)
	m.Retried("never-ran")
	m.Appended("shard-07", AppendReadBack, 100)
	m.Transferred(PurposeLoans, ScopeCrossRegion, 50)
	m.ObservePools(fixedPools{{Pool: "p", Queued: map[string]int{"c": 4}, Slots: 8, Busy: 3, Unsettled: 1}})
	want := `
# HELP briar_log_appends_total Appends to the log service.
# TYPE briar_log_appends_total counter
briar_log_appends_total{result="read-back",stream="shard"} 1
# HELP briar_message_bytes_total Bytes of messages between processes.
# TYPE briar_message_bytes_total counter
briar_message_bytes_total{purpose="loans",scope="cross-region"} 50
# HELP briar_queue_entries Requests that wait for a slot.
# TYPE briar_queue_entries gauge
briar_queue_entries{class="c",pool="p"} 4
# HELP briar_requests_total Requests answered.
# TYPE briar_requests_total counter
briar_requests_total{class="c",outcome="not-run",service="s"} 1
# HELP briar_slots Borrowed slots by state.
# TYPE briar_slots gauge
briar_slots{pool="p",state="busy"} 2
briar_slots{pool="p",state="free"} 5
briar_slots{pool="p",state="unsettled"} 1
`
	require.NoError(t, testutil.GatherAndCompare(m.Registry, strings.NewReader(want),
		"briar_log_appends_total", "briar_message_bytes_total", "briar_queue_entries", "briar_requests_total", "briar_slots"))
}
