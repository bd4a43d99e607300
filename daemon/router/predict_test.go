package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/admission"
	"briarproxy/core/wire"
	"briarproxy/daemon/view"
)

// Guards against a Retry-After that has nothing to do with the time after which a
// request can run.
func TestRetryAfterIsThePrediction(t *testing.T) {
	t.Run("every slot is busy", func(t *testing.T) {
		h := newHarness(t, "r1")
		h.peers.slots = 1
		h.setRunTime(3500 * time.Millisecond)
		_, p := h.handle("first", "read") // the run time is known
		require.Nil(t, p, "%+v", p)
		slot, p := h.Acquire(t.Context(), h.query(time.Second))
		require.Nil(t, p)
		defer h.Release(slot)
		_, p = h.Acquire(t.Context(), h.query(500*time.Millisecond))
		require.NotNil(t, p)
		require.Equal(t, wire.OutcomeNotRun, p.Outcome)
		require.GreaterOrEqual(t, p.RetryAfter, int64(3), "%+v", p)
		require.LessOrEqual(t, p.RetryAfter, int64(4), "%+v", p)
	})
	for name, c := range map[string]struct {
		change func(s *view.Snapshot)
		want   int64
	}{
		"rack is taken over":  {func(s *view.Snapshot) { s.Units = map[string]view.Unit{} }, 7},
		"no worker in a pool": {func(s *view.Snapshot) { s.Units, s.VMs = map[string]view.Unit{}, map[string]view.VM{} }, 60},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, "r1")
			snapshot := *h.holder.Current()
			c.change(&snapshot)
			h.holder.Publish(&snapshot)
			_, p := h.handle("r", "read")
			require.NotNil(t, p)
			require.Equal(t, "briar:no-capacity", p.Type)
			require.Equal(t, c.want, p.RetryAfter)
		})
	}
	require.EqualValues(t, 60, busy("x", time.Hour, "").RetryAfter)
	require.EqualValues(t, 1, busy("x", 0, "").RetryAfter)
}

// Guards against a durable request that never began and is reported as run, and
// against a cancelled one whose outcome is claimed to be known.
func TestOutcomeOfADurableRequest(t *testing.T) {
	for _, c := range []struct {
		state      wire.JobState
		generation int64
		want       wire.Outcome
	}{
		{wire.JobRefused, 0, wire.OutcomeNotRun},
		{wire.JobCancelled, 0, wire.OutcomeNotRun},
		{wire.JobCancelled, 1, wire.OutcomeUnknown},
		{wire.JobFailed, 0, wire.OutcomeNotRun},
		{wire.JobFailed, 2, wire.OutcomeRan},
	} {
		status := &wire.JobStatus{ID: "j", State: c.state, Tasks: []wire.TaskStatus{{Generation: c.generation}}}
		require.Equal(t, c.want, jobFailed(status).Outcome, "%+v", c)
	}
}

// Guards against a constant Retry-After where the measured run time or the backoff
// of the workers tells when a slot is free.
func TestWaitForASlotIsPredicted(t *testing.T) {
	h := newHarness(t, "r1")
	s := newState(h.Router, t.Context())
	p := s.pool("p")
	now := time.Hour
	loanOf := func(vm string, busy int64) *loan {
		return &loan{Loan: wire.Loan{VM: vm, Slots: 1}, end: now + time.Second, busy: busy}
	}
	w := &waiter{query: Query{Class: "c", Team: "t"}}
	w.entry = &admission.Entry[*waiter]{Class: "c", Team: "t", StartBy: now, Value: w}
	p.queue.SetClass(admission.Class{Name: "c", MaxLength: 1})

	require.Equal(t, int64(noSlotRetry/time.Second), noSlot(s.predicted(p, w, now)).RetryAfter, "nothing is known")
	p.loans = []*loan{loanOf("a", 0), loanOf("b", 0)}
	s.suspects["a"], s.suspects["b"] = suspect{until: now + 9*time.Second}, suspect{until: now + 5*time.Second}
	require.EqualValues(t, 5, noSlot(s.predicted(p, w, now)).RetryAfter, "the first worker is tried again then")
	s.suspects = map[string]suspect{}
	p.loans = []*loan{loanOf("a", 1)}
	p.rate.Observe(4 * time.Second)
	require.EqualValues(t, 4, noSlot(s.predicted(p, w, now)).RetryAfter, "the run in the only slot ends then")
}
