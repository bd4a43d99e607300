package shard

import (
	"context"
	"fmt"
	"time"

	"briarproxy/core/admission"
	"briarproxy/core/fault"
	"briarproxy/core/job"
	"briarproxy/core/resource"
	"briarproxy/core/wire"
)

// teamQuotas holds the portions of team quotas that the jobs of one shard use. It
// belongs to the runner's goroutine.
type teamQuotas struct {
	r      *runner
	holder *admission.QuotaHolder
	next   time.Duration // when use is added up again
	seq    int64
}

func newTeamQuotas(r *runner) *teamQuotas {
	return &teamQuotas{r: r, holder: admission.NewQuotaHolder()}
}

// quotaInterval is the time between two sums of what the tasks use.
const quotaInterval = 200 * time.Millisecond

// limit returns the quota of a team; ok is false for a team without one.
func (q *teamQuotas) limit(team string) (quota resource.Vector, ok bool) {
	t := q.r.View.Current().Set.Teams[team]
	if t == nil || t.Quota.IsZero() {
		return quota, false
	}
	return t.Quota, true
}

// limited leaves out the kinds for which the quota has no limit.
func limited(v, quota resource.Vector) resource.Vector {
	keep := func(amount, limit int64) int64 {
		if limit == 0 {
			return 0
		}
		return amount
	}
	return resource.Vector{
		MilliCores: keep(v.MilliCores, quota.MilliCores), MemoryMiB: keep(v.MemoryMiB, quota.MemoryMiB),
		Accelerators: keep(v.Accelerators, quota.Accelerators), Slots: keep(v.Slots, quota.Slots),
	}
}

// tick adds up what the tasks use and wait for, and asks for what is due.
func (q *teamQuotas) tick(now time.Duration) {
	if now < q.next {
		return
	}
	q.next = now + quotaInterval
	uses := q.r.jobs.Usage(func(team string) bool { _, ok := q.limit(team); return ok })
	for _, team := range q.holder.Teams() {
		if _, counted := uses[team]; !counted {
			uses[team] = job.Use{}
		}
	}
	for team, use := range uses {
		quota, _ := q.limit(team)
		q.holder.SetUsed(team, limited(use.Used, quota))
		q.holder.SetWaiting(team, limited(use.Waiting, quota))
	}
	for shard, wishes := range q.holder.TakeDueRequests(now) {
		q.ask(shard, wishes, now)
	}
}

// take charges a group's tasks to their team; it returns false when the portion of
// the quota does not cover them. The next tick counts them, or no longer does when
// they got no room.
func (q *teamQuotas) take(g job.Group, now time.Duration) bool {
	d := g.Job.Definition
	quota, ok := q.limit(d.Team)
	if !ok {
		return true
	}
	need := limited(d.Resources, quota).Scale(int64(len(g.Tasks)))
	return need.IsZero() || q.holder.TryAcquire(now, d.Team, need)
}

func (q *teamQuotas) ask(shard int, wishes []wire.QuotaRequest, now time.Duration) {
	r := q.r
	q.seq++
	unit := wire.ShardUnit(shard)
	snapshot := r.View.Current()
	owner, owned := snapshot.OwnerOf(unit)
	args := &wire.QuotaArgs{
		Holder: fmt.Sprintf("%s/%s@%d", r.Self, wire.ShardUnit(r.shard), r.epoch),
		Seq:    q.seq, Shard: shard, ShardEpoch: snapshot.Units[unit].Epoch, Wishes: wishes,
	}
	r.Calls.Go(func() {
		answer := quotaLeased{args: args, sent: now}
		if !owned {
			answer.err = fault.New(fault.NotOwner, "retry in a few seconds", "%s has no live owner", unit)
		} else {
			ctx, cancel := context.WithTimeout(r.ctx, callTimeout)
			defer cancel()
			reply := &wire.QuotaReply{}
			answer.err = r.Peers.Call(ctx, owner.Name, wire.RPCQuota, args, reply)
			if answer.err == nil { // after an error a late answer may still be written to reply
				answer.reply = *reply
			}
		}
		_ = r.send(answer)
	})
}

// quotaLeased is a shard owner's answer to wishes.
type quotaLeased struct {
	args  *wire.QuotaArgs
	reply wire.QuotaReply
	err   error
	sent  time.Duration // boot clock before the call
}

func (m quotaLeased) handle(r *runner) {
	now := r.Now()
	granted := map[string]bool{}
	for _, portion := range m.reply.Portions {
		granted[portion.Team] = true
		ttl := time.Duration(portion.TTLMS) * time.Millisecond
		r.teams.holder.ApplyGrant(now, m.sent+ttl-ttl/2000-100*time.Millisecond, portion)
	}
	for _, wish := range m.args.Wishes {
		if !granted[wish.Team] {
			r.teams.holder.CallFailed(now, wish.Team)
		}
	}
}
