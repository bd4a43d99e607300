package admission

import (
	"maps"
	"slices"
	"time"

	"briarproxy/core/resource"
	"briarproxy/core/wire"
)

// QuotaOwner leases portions of the quotas of the teams of one key shard. Portions
// are not durable: those of an earlier owner lapse. Until then a holder is leased
// what it holds, and all of them together what the earlier owners cannot have leased.
// With bounds, an owner logs how much of a quota it leases before it leases it, so
// that its successor knows how much that is at most.
type QuotaOwner struct {
	ttl       time.Duration // counted by the owner
	settled   time.Duration // portions of earlier owners have surely lapsed
	teams     map[string]*teamQuota
	bounded   bool
	inherited map[string]resource.Vector // with bounds: most that earlier owners leased
	bounds    map[string]resource.Vector // logged bounds, by team
	raises    map[string]resource.Vector // bounds that are wanted
}

type teamQuota struct {
	ledger  *QuotaLedger
	holders map[string]*quotaHolder
}

// QuotaBound is the record of the most that is leased of a team's quota from then on.
type QuotaBound struct {
	Team string          `json:"team"`
	Most resource.Vector `json:"most"`
}

// quotaHolder is a daemon that asked lately.
type quotaHolder struct {
	seq   int64
	until time.Duration
	unmet bool // it was granted less than it wanted
	// carried is what it held of an earlier owner at its first call, extra what it was
	// leased beyond that before the portions of earlier owners have lapsed.
	carried, extra resource.Vector
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
		h = &quotaHolder{carried: wish.Held.Max(resource.Vector{})}
		t.holders[holder] = h
	}
	if seq <= h.seq {
		return portion, false
	}
	h.seq, h.until = seq, now+o.ttl
	want := wish.Want.Max(resource.Vector{})
	earlier := resource.Vector{} // what portions of earlier owners may take up, beside the ledger
	if now < o.settled {
		earlier = o.inherited[wish.Team].Add(t.extras(h)).Sub(h.carried)
		want = want.Min(h.carried.Add(o.fresh(earlier.Add(h.carried), quota)))
	}
	portion.Team = wish.Team
	if t.othersUnmet(h) {
		portion.Share = ceilDivide(quota, int64(len(t.holders)))
		want = want.Min(portion.Share.Max(wish.Held).Max(wish.Used))
	}
	t.ledger.SetQuota(quota)
	others := t.ledger.LeasedToOthers(now, holder)
	if now < o.settled {
		others = earlier
	}
	want = o.withinBound(others, quota, want, wish.Team)
	portion.Amount = t.ledger.Lease(now, o.ttl, holder, want)
	h.extra = portion.Amount.Sub(h.carried).Max(resource.Vector{})
	t.ledger.Count(now, o.ttl, holder, wish.Used)
	h.unmet = !wish.Want.Fits(portion.Amount)
	return portion, true
}

// UseBounds makes the owner lease only within logged bounds. logged holds those of
// earlier owners, which are also the bounds in force now.
func (o *QuotaOwner) UseBounds(logged map[string]resource.Vector) {
	o.bounded = true
	o.inherited, o.bounds, o.raises = maps.Clone(logged), maps.Clone(logged), map[string]resource.Vector{}
	if o.bounds == nil {
		o.bounds = map[string]resource.Vector{}
	}
}

// Raises returns the bounds to log now; each is returned once until it was logged.
func (o *QuotaOwner) Raises() []QuotaBound {
	var bounds []QuotaBound
	for _, team := range slices.Sorted(maps.Keys(o.raises)) {
		bounds = append(bounds, QuotaBound{Team: team, Most: o.raises[team]})
	}
	clear(o.raises)
	return bounds
}

// Logged notes that a bound is in the log.
func (o *QuotaOwner) Logged(b QuotaBound) { o.bounds[b.Team] = o.bounds[b.Team].Max(b.Most) }

// fresh returns what a holder may have beyond what it carried over: the part of the
// quota that neither earlier owners can have leased nor others got from this one.
func (o *QuotaOwner) fresh(taken, quota resource.Vector) resource.Vector {
	if !o.bounded {
		return resource.Vector{}
	}
	return quota.Sub(taken).Max(resource.Vector{})
}

// extras returns what the other holders were leased beyond what they carried over.
func (t *teamQuota) extras(self *quotaHolder) resource.Vector {
	var sum resource.Vector
	for _, h := range t.holders {
		if h != self {
			sum = sum.Add(h.extra)
		}
	}
	return sum
}

// withinBound cuts a wish to what the logged bound allows in all, and notes when a
// higher bound is wanted.
func (o *QuotaOwner) withinBound(others, quota, want resource.Vector, team string) resource.Vector {
	if !o.bounded {
		return want
	}
	bound := o.bounds[team]
	needed := others.Add(want).Min(quota)
	if !needed.Fits(bound) {
		o.raises[team] = bound.Max(needed.Scale(2).Max(ceilDivide(quota, boundSteps)).Min(quota))
	}
	return want.Min(bound.Sub(others).Max(resource.Vector{}))
}

// boundSteps is the number of steps in which a bound is raised at the least, so that a
// team needs few records.
const boundSteps = 4

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
