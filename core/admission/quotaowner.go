package admission

import (
	"time"

	"briarproxy/core/resource"
	"briarproxy/core/wire"
)

// QuotaOwner leases portions of the quotas of the teams of one key shard. It keeps
// nothing durable: portions of an earlier owner lapse, and until then a holder is
// leased only what it holds.
type QuotaOwner struct {
	ttl     time.Duration // counted by the owner
	settled time.Duration // portions of earlier owners have surely lapsed
	teams   map[string]*teamQuota
}

type teamQuota struct {
	ledger  *QuotaLedger
	holders map[string]*quotaHolder
}

// quotaHolder is a daemon that asked lately.
type quotaHolder struct {
	seq   int64
	until time.Duration
	unmet bool // it was granted less than it wanted
}

// NewQuotaOwner returns an owner that took over at now. ttl is the longest time,
// on this clock, for which a holder counts on a portion.
func NewQuotaOwner(now, ttl time.Duration) *QuotaOwner {
	return &QuotaOwner{ttl: ttl, settled: now + ttl, teams: map[string]*teamQuota{}}
}

// Lease answers a wish; ok is false for a call that was overtaken by a later one.
// The holder keeps at least what it both held and wants, unless the quota was
// lowered, because it goes on using that until the answer arrives.
func (o *QuotaOwner) Lease(now time.Duration, holder string, seq int64, quota resource.Vector, wish wire.QuotaWish) (portion wire.QuotaPortion, ok bool) {
	t := o.team(wish.Team)
	t.expire(now)
	h := t.holders[holder]
	if h == nil {
		h = &quotaHolder{}
		t.holders[holder] = h
	}
	if seq <= h.seq {
		return portion, false
	}
	h.seq, h.until = seq, now+o.ttl
	want := wish.Want.Max(resource.Vector{})
	if now < o.settled {
		want = want.Min(wish.Held.Max(resource.Vector{}))
	}
	portion.Team = wish.Team
	if t.othersUnmet(h) {
		portion.Share = ceilDivide(quota, int64(len(t.holders)))
		want = want.Min(portion.Share.Max(wish.Held).Max(wish.Used))
	}
	t.ledger.SetQuota(quota)
	portion.Amount = t.ledger.Lease(now, o.ttl, holder, want)
	t.ledger.Count(now, o.ttl, holder, wish.Used)
	h.unmet = !wish.Want.Fits(portion.Amount)
	return portion, true
}

func (o *QuotaOwner) team(name string) *teamQuota {
	t := o.teams[name]
	if t == nil {
		t = &teamQuota{ledger: NewQuotaLedger(resource.Vector{}), holders: map[string]*quotaHolder{}}
		o.teams[name] = t
	}
	return t
}

// Expire forgets holders that have not asked for the time of a portion, and teams
// without holders.
func (o *QuotaOwner) Expire(now time.Duration) {
	for name, t := range o.teams {
		t.expire(now)
		if len(t.holders) == 0 {
			delete(o.teams, name)
		}
	}
}

func (t *teamQuota) expire(now time.Duration) {
	for name, h := range t.holders {
		if now >= h.until {
			delete(t.holders, name)
		}
	}
}

func (t *teamQuota) othersUnmet(self *quotaHolder) bool {
	for _, h := range t.holders {
		if h != self && h.unmet {
			return true
		}
	}
	return false
}

func ceilDivide(v resource.Vector, n int64) resource.Vector {
	up := func(amount int64) int64 { return (amount + n - 1) / n }
	return resource.Vector{
		MilliCores: up(v.MilliCores), MemoryMiB: up(v.MemoryMiB),
		Accelerators: up(v.Accelerators), Slots: up(v.Slots),
	}
}
