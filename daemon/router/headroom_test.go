package router

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarproxy/core/object"
)

// headroomHarness has 8 slots and a policy that keeps a quarter of them free.
func headroomHarness(t *testing.T, minShare float64) *harness {
	h := newHarness(t, "r1", "r1")
	h.peers.slots = 4
	set := h.holder.Current().Set
	set.Policies["urgent"] = &object.Policy{Name: "urgent", Priority: 9, Headroom: 0.25, Deadline: 4 * time.Second}
	set.Policies["normal"].MinShare = minShare
	set.Services["s"].Operations["alarm"] = &object.Operation{Policy: "urgent", Idempotent: true, MaxRunTime: 10 * time.Second}
	return h
}

func (h *harness) setRunTime(d time.Duration) {
	for _, w := range h.workers {
		w.runTime = d
	}
}

// peaks adds up the most requests that ran at once on each worker.
func (h *harness) peaks() (sum int) {
	for _, w := range h.workers {
		w.mu.Lock()
		sum += w.peak
		w.mu.Unlock()
	}
	return sum
}

// Guards against urgent requests that wait because lower classes use every slot.
func TestUrgentRequestsFindHeadroom(t *testing.T) {
	h := headroomHarness(t, 0)
	h.setRunTime(400 * time.Millisecond)
	var running sync.WaitGroup
	for i := range 16 {
		running.Go(func() {
			_, p := h.handle(fmt.Sprint("low", i), "read")
			assert.Nil(t, p, "%+v", p)
		})
	}
	time.Sleep(150 * time.Millisecond)
	require.LessOrEqual(t, h.peaks(), 6)
	began := time.Now()
	for i := range 2 {
		running.Go(func() {
			_, p := h.handle(fmt.Sprint("alarm", i), "alarm")
			assert.Nil(t, p, "%+v", p)
			assert.Less(t, time.Since(began), 600*time.Millisecond, "it did not wait for a run to end")
		})
	}
	running.Wait()
}

// Guards against headroom that takes from lower classes the share that their policy
// guarantees them.
func TestHeadroomKeepsTheGuaranteedShare(t *testing.T) {
	h := headroomHarness(t, 0.2)
	h.setRunTime(10 * time.Millisecond)
	stop := make(chan struct{})
	var running sync.WaitGroup
	for caller := range 16 {
		running.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
					_, _ = h.handle(fmt.Sprint("alarm", caller, "-", i), "alarm")
				}
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	for i := range 20 {
		_, p := h.handle(fmt.Sprint("low", i), "read")
		require.Nil(t, p, "%+v", p)
	}
	close(stop)
	running.Wait()
}

// Guards against a reserve that leaves nothing to use.
func TestReserve(t *testing.T) {
	rules := []headroomRule{{priority: 5, share: 0.1}, {priority: 9, share: 0.25}}
	for _, c := range []struct {
		priority    int
		total, want int64
	}{{9, 8, 0}, {5, 8, 2}, {1, 8, 2}, {1, 1, 0}, {1, 2, 1}, {1, 0, -1}} {
		require.Equal(t, c.want, reserve(rules, c.priority, c.total), "%+v", c)
	}
}
