package placer

import (
	"fmt"
	"testing"
	"time"

	"briarproxy/core/cluster"
	"briarproxy/core/flow"
	"briarproxy/core/resource"
)

// Measures a planning pass over a backlog in a full cell. This is the load after an outage, in
// which planning must leave enough CPU time for sending commands.
func BenchmarkPlanFullCell(b *testing.B) {
	for _, size := range []struct{ workers, jobs int }{{48, 300}, {350, 2000}} {
		b.Run(fmt.Sprintf("%dworkers-%djobs", size.workers, size.jobs), func(b *testing.B) {
			c := newFakeCell(b, size.workers, resource.Vector{MilliCores: 64000, MemoryMiB: 262144})
			c.takeOver()
			c.advance(200 * time.Millisecond)
			for i := range size.workers {
				c.submit(fmt.Sprintf("full%d", i), flow.Step{Count: 1, Size: resource.Vector{MilliCores: 63000, MemoryMiB: 1000}, EstimateMS: 60000})
			}
			c.runTime = func(cluster.Start) time.Duration { return time.Hour }
			c.advance(300 * time.Millisecond)
			for i := range size.jobs {
				c.submit(fmt.Sprintf("wait%d", i), flow.Step{Count: 8, Size: resource.Vector{MilliCores: 4000 + int64(i), MemoryMiB: 9000}, EstimateMS: 800})
			}
			b.ResetTimer()
			for b.Loop() {
				c.now += planInterval
				c.placer.planNeeded = true
				c.placer.Tick(c.now, c.wallMS())
			}
		})
	}
}
