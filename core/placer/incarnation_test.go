package placer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/cluster"
)

// Guards against a lease that is longer than intended, on another incarnation of the worker, without a line in the log.
func TestLeaseOnAnotherIncarnationIsReported(t *testing.T) {
	c := readyCell(t, 1)
	c.runTime = func(cluster.Start) time.Duration { return 20 * time.Second }
	c.submit("first", batchStep(1))
	c.advance(20 * time.Second)
	c.restart(c.workers["w00"])
	c.advance(3 * time.Second)
	var reports []Decision
	for _, d := range c.decisions {
		if d.Kind == decisionForeignLease {
			reports = append(reports, d)
		}
	}
	require.Len(t, reports, 1)
	require.Equal(t, "w00", reports[0].Worker)
	require.EqualValues(t, 1, reports[0].Value)
	require.Equal(t, testOptions.MaxLease, reports[0].Age)
}
