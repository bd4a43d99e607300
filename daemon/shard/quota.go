package shard

import (
	"time"

	"briarproxy/core/admission"
	"briarproxy/core/fault"
	"briarproxy/core/resource"
	"briarproxy/core/wire"
)

// quotaTTL is the time for which a portion of a team's quota is leased. Holders
// renew it after half of it, so a takeover of the team's shard fits in between.
const quotaTTL = 20 * time.Second

// quotaLapse is the time after which a portion has surely lapsed on the holder's
// clock, which may run 500 ppm slower.
const quotaLapse = quotaTTL + quotaTTL/2000 + 100*time.Millisecond

// newQuotas returns the state of an owner that took over at now. Portions that a
// predecessor leased may still be in use; they are within its logged bounds.
func newQuotas(now time.Duration, predecessor bool, logged map[string]resource.Vector) *admission.QuotaOwner {
	if !predecessor {
		now -= quotaLapse
	}
	owner := admission.NewQuotaOwner(now, quotaLapse)
	owner.EnforceBounds(logged)
	return owner
}

// Quota leases portions of the quotas of teams whose key shard this daemon owns.
func (m *Manager) Quota(args *wire.QuotaArgs, reply *wire.QuotaReply) error {
	r, err := m.runner(args.Shard, args.ShardEpoch)
	if err != nil {
		return err
	}
	call := quotaCall{args: args, reply: make(chan quotaAnswer, 1)}
	if err := r.send(call); err != nil {
		return err
	}
	select {
	case answer := <-call.reply:
		*reply = answer.reply
		return answer.err
	case <-r.done:
		return r.gone()
	}
}

// applyBound takes over a confirmed bound. Bounds only rise.
func (r *runner) applyBound(b admission.QuotaBound) {
	r.bounds[b.Team] = r.bounds[b.Team].Max(b.Most)
	if r.quotas != nil {
		r.quotas.BoundLogged(b)
	}
}

// logBounds appends the bounds that the answered wishes need. A holder that got less
// than it wanted asks again.
func (r *runner) logBounds() {
	var entries []Entry
	for _, bound := range r.quotas.TakeBoundsToLog() {
		entries = append(entries, Entry{Bound: &bound})
	}
	if len(entries) > 0 {
		r.append(entries, func(error) {})
	}
}

type quotaAnswer struct {
	reply wire.QuotaReply
	err   error
}

type quotaCall struct {
	args  *wire.QuotaArgs
	reply chan quotaAnswer
}

func (m quotaCall) handle(r *runner) {
	if !r.leased() {
		m.reply <- quotaAnswer{err: fault.New(fault.NotOwner, "ask the next owner; portions go on until they lapse", "the lease of %s has expired", wire.ShardUnit(r.shard))}
		return
	}
	now := r.Now()
	teams := r.View.Current().Set.Teams
	var answer quotaAnswer
	for _, wish := range m.args.Wishes[:min(len(m.args.Wishes), wire.MaxQuotaRequests)] {
		team := teams[wish.Team]
		if team == nil || wire.TeamShard(wish.Team) != r.shard {
			continue
		}
		portion, ok := r.quotas.Lease(now, m.args.Holder, m.args.Seq, team.Quota, wish)
		if !ok {
			continue
		}
		portion.TTLMS = quotaTTL.Milliseconds()
		answer.reply.Portions = append(answer.reply.Portions, portion)
	}
	r.logBounds()
	m.reply <- answer
}
