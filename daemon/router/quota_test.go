package router

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarproxy/core/admission"
	"briarproxy/core/fault"
	"briarproxy/core/resource"
	"briarproxy/core/wire"
)

const testQuotaTTL = 4 * time.Second

// quotaHarness has two workers with four slots each, and a team with a quota whose
// owner can be taken away.
type quotaHarness struct {
	*harness
	owner *admission.QuotaOwner
	down  atomic.Bool
}

func newQuotaHarness(t *testing.T, quota int64) *quotaHarness {
	h := &quotaHarness{harness: newHarness(t, "r1", "r1")}
	h.peers.slots = 4
	h.owner = admission.NewQuotaOwner(h.now()-time.Hour, testQuotaTTL+time.Second)
	h.peers.quota = func(args *wire.QuotaArgs, reply *wire.QuotaReply) error {
		if h.down.Load() {
			return fault.New(fault.NotOwner, "none", "the shard has no owner")
		}
		for _, wish := range args.Wishes {
			p, ok := h.owner.Lease(h.now(), args.Holder, args.Seq, resource.Vector{Slots: quota}, wish)
			p.TTLMS = testQuotaTTL.Milliseconds()
			if ok {
				reply.Portions = append(reply.Portions, p)
			}
		}
		return nil
	}
	team := *h.holder.Current().Set.Teams["t"]
	team.Quota.Slots = quota
	h.holder.Current().Set.Teams["t"] = &team
	free := team
	free.Name, free.Quota = "free", resource.Vector{}
	h.holder.Current().Set.Teams["free"] = &free
	return h
}

func (h *quotaHarness) request(id, team string, wait time.Duration) *wire.Problem {
	_, p := h.Handle(h.t.Context(), Request{ID: id, Service: "s", Operation: "read", Team: team, Wait: wait})
	return p
}

// Guards against a team that uses more slots at once than its quota, and against a
// quota that loses slots when requests end, fail to start, or their callers leave.
func TestTeamStaysWithinItsQuota(t *testing.T) {
	for name, c := range map[string]struct{ quota, slots int64 }{
		"quota is short":  {quota: 3, slots: 4},
		"slots are short": {quota: 12, slots: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newQuotaHarness(t, c.quota)
			h.peers.slots = c.slots
			for _, w := range h.workers {
				w.runTime = 20 * time.Millisecond
			}
			for round := range 3 {
				h.round(round)
			}
			require.LessOrEqual(t, h.workers[0].peak+h.workers[1].peak, int(c.quota))
			require.Eventually(t, func() bool { return h.used() == 0 }, 3*time.Second, 20*time.Millisecond, "slots charged to the team without a request")
		})
	}
}

// round sends 24 requests at once; the callers of a quarter of them leave early.
func (h *quotaHarness) round(round int) {
	var wg sync.WaitGroup
	for i := range 24 {
		wg.Go(func() {
			ctx, cancel := h.t.Context(), context.CancelFunc(func() {})
			if i%4 == 0 {
				ctx, cancel = context.WithTimeout(ctx, 30*time.Millisecond)
			}
			defer cancel()
			_, p := h.Handle(ctx, Request{ID: fmt.Sprint("r", round, "-", i), Service: "s", Operation: "read", Team: "t"})
			if i%4 != 0 {
				assert.Nil(h.t, p, "%+v", p)
			}
		})
	}
	wg.Wait()
}

// used returns the slots charged to the team.
func (h *quotaHarness) used() int64 {
	reply := make(chan int64, 1)
	h.send(usedMsg{reply})
	return <-reply
}

type usedMsg struct{ reply chan int64 }

func (m usedMsg) apply(s *state) { m.reply <- s.quotas.holder.Used("t").Slots }

// Guards against a request over the quota that waits in vain, or that is refused
// without a true outcome and a time; and against effects on other teams.
func TestRequestOverTheQuotaIsRefusedAtOnce(t *testing.T) {
	h := newQuotaHarness(t, 1)
	for _, w := range h.workers {
		w.runTime = 1500 * time.Millisecond
	}
	require.Nil(t, h.request("first", "t", 4*time.Second)) // the run time is known
	var wg sync.WaitGroup
	wg.Go(func() { assert.Nil(t, h.request("second", "t", 4*time.Second)) })
	require.Eventually(t, func() bool { return h.used() == 1 }, time.Second, 5*time.Millisecond)
	began := time.Now()
	p := h.request("third", "t", 2*time.Second)
	require.NotNil(t, p)
	require.Less(t, time.Since(began), time.Second, "answered at once")
	require.Equal(t, http.StatusTooManyRequests, p.Status)
	require.Equal(t, wire.OutcomeNotRun, p.Outcome)
	require.EqualValues(t, 2, p.RetryAfter, "the predicted wait, rounded up")
	require.Zero(t, runs("third", h.workers...))
	require.Nil(t, h.request("other", "free", 4*time.Second), "a team without a quota")
	wg.Wait()
}

// Guards against a quota that stops a team as soon as its owner is away, and
// against use of a portion after it lapsed.
func TestPortionGoesOnUntilItLapses(t *testing.T) {
	h := newQuotaHarness(t, 2)
	require.Nil(t, h.request("r1", "t", time.Second))
	h.down.Store(true)
	require.Nil(t, h.request("r2", "t", time.Second))
	h.advance(testQuotaTTL)
	p := h.request("r3", "t", 4*time.Second)
	require.NotNil(t, p)
	require.Equal(t, "briar:quota-unavailable", p.Type)
	require.Equal(t, wire.OutcomeNotRun, p.Outcome)
	require.Positive(t, p.RetryAfter)
	require.Nil(t, h.request("r4", "free", time.Second))
	h.down.Store(false)
	require.Nil(t, h.request("r5", "t", 4*time.Second))
}
