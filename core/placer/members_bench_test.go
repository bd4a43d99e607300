package placer

import (
	"fmt"
	"testing"
	"time"

	"briarproxy/core/flow"
)

// BenchmarkSuccessors measures the order of the candidates for the placer role by the number of daemons.
func BenchmarkSuccessors(b *testing.B) {
	for _, daemons := range []int{34, 104, 304} {
		state := flow.NewState()
		for i := range daemons {
			name := fmt.Sprintf("d%03d", i)
			state.Members[name] = flow.Member{Hello: flow.Hello{Daemon: name, Address: "x", CapacityFactor: []float64{0.96, 3.5, 1}[i%3], LogLatencyMS: int64(i % 60)}, LastSeen: time.Second}
		}
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Successors(state, "d000", time.Second, time.Hour.Milliseconds())
			}
		})
	}
}
