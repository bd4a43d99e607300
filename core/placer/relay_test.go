package placer

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/cluster"
	"briarproxy/core/flow"
)

// Guards against a placer whose link is filled by its own orders, so that it can't renew
// leases or record ends any more (LOST on the small twin of quiet-1 of dosui-sched-large).
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
	direct, through := 0, map[string]int{}
	for i := range 400 { // 200 a second
		if name := p.chooseRelay(v, spec, c.now+time.Duration(i)*5*time.Millisecond); name == "" {
			direct++
		} else {
			through[name]++
		}
	}
	sent := float64(direct*(startOverheadBytes+len(spec))) / 2
	require.LessOrEqual(t, sent, 250_000*directStartShare*(1+directStartBurstSeconds/2))
	require.Greater(t, sent, 250_000*directStartShare*0.8, "what the link has room for is sent directly")
	require.Len(t, through, 1, "one daemon a worker: %v", through)
	chosen := ""
	for name := range through {
		chosen = name
	}
	require.Contains(t, []string{"near1", "near2"}, chosen)
	p.relayFailed(chosen, c.now)
	p.relays.budgetBytes = 0
	require.NotContains(t, []string{chosen, "d1", "far"}, p.chooseRelay(v, spec, p.relays.refilledAt), "the other one nearby")
	p.relays = newStartRelays(0, c.now)
	require.Empty(t, p.chooseRelay(v, spec, c.now), "the link is not known")
}
