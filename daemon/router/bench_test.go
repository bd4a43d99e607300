package router

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// BenchmarkAcquireRelease measures one routing decision over 50 workers.
func BenchmarkAcquireRelease(b *testing.B) {
	h := newHarness(b, make50()...)
	h.peers.slots = 8
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			slot, p := h.Acquire(context.Background(), h.query(5*time.Second))
			require.Nil(b, p)
			h.Release(slot)
		}
	})
}

func make50() []string {
	regions := make([]string, 50)
	for i := range regions {
		regions[i] = fmt.Sprint("r", 1)
	}
	return regions
}
