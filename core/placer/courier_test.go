package placer

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/cluster"
	"briarproxy/core/flow"
)

// Guards against a placer that saturates its link with start commands and can no longer renew
// leases or record the ends of runs, so that runs are lost.
func TestStartsBeyondTheLinkShareAreRelayed(t *testing.T) {
	c := newFakeCell(t, 1, workerCapacity)
	for _, h := range []flow.Hello{
		{Daemon: "d1", DataCentre: "a"}, {Daemon: "near1", DataCentre: "a"}, {Daemon: "near2", DataCentre: "a"}, {Daemon: "far", DataCentre: "b"},
	} {
		require.NoError(t, c.append(flow.Record{Hello: &h}))
	}
	c.takeOver()
	p, v := c.placer, &vm{}
	v.Life, v.DataCentre = cluster.Life{Worker: "w"}, "a"
	spec := strings.Repeat("s", 1300)
	p.relays = newStartRelays(2, c.now)
	direct, relayed := 0, map[string]int{}
	for i := range 400 { // 200 a second
		if name := p.chooseRelay(v, spec, c.now+time.Duration(i)*5*time.Millisecond); name == "" {
			direct++
		} else {
			relayed[name]++
		}
	}
	directBytesPerSecond := float64(direct*(startOverheadBytes+len(spec))) / 2
	require.LessOrEqual(t, directBytesPerSecond, 250_000*directStartShare*(1+directStartBurstSeconds/2))
	require.Greater(t, directBytesPerSecond, 250_000*directStartShare*0.8, "the direct share of the link is used")
	require.Len(t, relayed, 1, "each worker has one relay: %v", relayed)
	chosen := ""
	for name := range relayed {
		chosen = name
	}
	require.Contains(t, []string{"near1", "near2"}, chosen)
	p.relayFailed(chosen, c.now)
	p.relays.budgetBytes = 0
	require.NotContains(t, []string{chosen, "d1", "far"}, p.chooseRelay(v, spec, p.relays.refilledAt), "the other daemon in the same data centre")
	p.relays = newStartRelays(0, c.now)
	require.Empty(t, p.chooseRelay(v, spec, c.now), "without a known link speed, all commands are sent directly")
}
