package router

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"briarproxy/core/admission"
	"briarproxy/core/fault"
	"briarproxy/core/resource"
	"briarproxy/core/wire"
	"briarproxy/daemon/view"
)

// Times and bounds of requests that wait for their team's quota.
const (
	quotaTimeout  = time.Second
	quotaPatience = 2 * time.Second // without any portion
	maxHeldBack   = 2048            // requests of one team
	quotaGrace    = 5 * busyTick    // lets the router's goroutine tell why a request gets no slot
)

var oneSlot = resource.Vector{Slots: 1}

// quotas holds the portions of team quotas and the requests that wait for one. A
// request is charged from its place in the queue until its slot is free again, so
// that a run whose end is not known still counts.
type quotas struct {
	holder *admission.QuotaHolder
	held   map[string][]*waiter // by team, in order of arrival
	seq    int64
}

func newQuotas() quotas {
	return quotas{holder: admission.NewQuotaHolder(), held: map[string][]*waiter{}}
}

// charge takes the request's share of its team's quota; it returns false when the
// portion is used up.
func (s *state) charge(w *waiter, now time.Duration) bool {
	if w.query.SlotQuota <= 0 {
		return true
	}
	w.charged = s.quotas.holder.TryAcquire(now, w.query.Team, oneSlot)
	return w.charged
}

// refuse answers a waiter that gets no slot.
func (s *state) refuse(w *waiter, p *wire.Problem) {
	s.uncharge(w)
	w.granted <- grant{problem: p}
}

func (s *state) uncharge(w *waiter) {
	if w.charged {
		w.charged = false
		s.quotas.holder.Release(w.query.Team, oneSlot)
	}
}

// holdBack keeps a request until its team's portion covers it, or refuses it at
// once when that surely takes too long.
func (s *state) holdBack(p *poolState, w *waiter, now time.Duration) {
	team := w.query.Team
	w.heldAt, w.startBy = now, startBy(p, &w.query, now)
	wait := s.quotaWait(p, w, now)
	if now+wait > w.startBy || len(s.quotas.held[team]) >= maxHeldBack {
		s.refuse(w, s.overQuota(p, w, now))
		return
	}
	s.quotas.held[team] = append(s.quotas.held[team], w)
	w.tell(min(w.startBy+quotaGrace, w.query.Deadline))
	s.quotas.noteWaiting(team)
	s.askQuotas(now)
}

func (q *quotas) noteWaiting(team string) {
	q.holder.SetWaiting(team, resource.Vector{Slots: int64(len(q.held[team]))})
	if len(q.held[team]) == 0 {
		delete(q.held, team)
	}
}

// quotaWait predicts how long a request that is held back now waits, 0 when that is
// not known.
func (s *state) quotaWait(p *poolState, w *waiter, now time.Duration) time.Duration {
	amount := s.quotas.holder.Amount(now, w.query.Team).Slots
	if amount <= 0 {
		return 0
	}
	mean := p.runTime(w.query.Service, w.query.Operation).MeanRunTime()
	return mean * time.Duration(len(s.quotas.held[w.query.Team])+1) / time.Duration(amount)
}

// admitHeld queues the requests of a team that its portion covers now, and refuses
// those that can't start in time.
func (s *state) admitHeld(team string, now time.Duration) {
	waiting := s.quotas.held[team]
	if len(waiting) == 0 {
		return
	}
	delete(s.quotas.held, team)
	var kept []*waiter
	for _, w := range waiting {
		p := s.pool(w.query.Pool)
		if len(kept) == 0 && s.charge(w, now) {
			s.enqueue(p, w, now)
			continue
		}
		limit := w.startBy
		if s.quotas.holder.Amount(now, team).IsZero() {
			limit = min(limit, w.heldAt+quotaPatience)
		}
		if now >= limit {
			s.refuse(w, s.overQuota(p, w, now))
			continue
		}
		kept = append(kept, w)
	}
	s.quotas.held[team] = kept
	s.quotas.noteWaiting(team)
}

// dropHeld takes a waiter whose caller has left out of those held back.
func (s *state) dropHeld(w *waiter) {
	team := w.query.Team
	for i, other := range s.quotas.held[team] {
		if other == w {
			s.quotas.held[team] = append(s.quotas.held[team][:i], s.quotas.held[team][i+1:]...)
			s.quotas.noteWaiting(team)
			return
		}
	}
}

// overQuota tells why the team's quota keeps the request from running.
func (s *state) overQuota(p *poolState, w *waiter, now time.Duration) *wire.Problem {
	if !s.quotas.holder.LastCallAnswered(w.query.Team) {
		return busy("quota-unavailable", noOwnerRetry, "the owner of the quota of team %q does not answer and the portion leased here has lapsed", w.query.Team)
	}
	problem := notRun(http.StatusTooManyRequests, "quota-used-up", "send the request again after the time in Retry-After, or ask the operator for a larger quota",
		"team %q has all %d slots of its quota in use", w.query.Team, w.query.SlotQuota)
	problem.RetryAfter = retrySeconds(max(noSlotRetry, s.quotaWait(p, w, now)))
	return problem
}

// tickQuotas admits, refuses and asks by time; it reports whether anybody waits.
func (s *state) tickQuotas(now time.Duration) bool {
	for team := range s.quotas.held {
		s.admitHeld(team, now)
	}
	s.askQuotas(now)
	return len(s.quotas.held) > 0
}

// askQuotas sends the wishes that are due to the owners of the teams' shards.
func (s *state) askQuotas(now time.Duration) {
	snapshot := s.r.options.View.Current()
	for shard, wishes := range s.quotas.holder.TakeDueRequests(now) {
		s.quotas.seq++
		args := &wire.QuotaArgs{
			Holder: fmt.Sprintf("%s/%d", snapshot.Self.Name, snapshot.Self.Incarnation),
			Seq:    s.quotas.seq, Shard: shard, Wishes: wishes,
		}
		s.callQuota(snapshot, args, now)
	}
}

func (s *state) callQuota(snapshot *view.Snapshot, args *wire.QuotaArgs, now time.Duration) {
	unit := wire.ShardUnit(args.Shard)
	owner, owned := snapshot.OwnerOf(unit)
	args.ShardEpoch = snapshot.Units[unit].Epoch
	s.r.options.Calls.Submit(func() {
		m := quotaMsg{args: args, sent: now}
		if !owned {
			m.err = fault.New(fault.NotOwner, "retry in a few seconds", "%s has no live owner", unit)
		} else {
			ctx, cancel := context.WithTimeout(s.ctx, quotaTimeout)
			defer cancel()
			reply := &wire.QuotaReply{}
			m.err = s.r.options.Peers.Call(ctx, owner.Name, wire.RPCQuota, args, reply)
			if m.err == nil { // after an error a late answer may still be written to reply
				m.reply = *reply
			}
		}
		s.r.send(m)
	})
}

// quotaMsg is the answer to a quota call.
type quotaMsg struct {
	args  *wire.QuotaArgs
	reply wire.QuotaReply
	err   error
	sent  time.Duration // boot clock before the call
}

func (m quotaMsg) apply(s *state) {
	now := s.now()
	if m.err != nil {
		s.r.options.Log.Emit(eventQuota, "shard", m.args.Shard, "teams", len(m.args.Wishes), "reason", m.err.Error())
	}
	granted := map[string]bool{}
	for _, portion := range m.reply.Portions {
		granted[portion.Team] = true
		s.quotas.holder.ApplyGrant(now, loanEnd(m.sent, portion.TTLMS), portion)
	}
	for _, wish := range m.args.Wishes {
		if !granted[wish.Team] {
			s.quotas.holder.CallFailed(now, wish.Team)
		}
		s.admitHeld(wish.Team, now)
	}
}
