package admission

import (
	"maps"
	"slices"
	"time"

	"briarproxy/core/resource"
	"briarproxy/core/wire"
)

// QuotaOwner leases portions of the quotas of the teams of one key shard. Portions are
// not durable: a new owner waits until those of earlier owners have expired. Until then
// it leases a holder no more than the holder already has, plus what the earlier owners
// cannot have leased. With bounds enforced, an owner logs an upper bound of what it
// leases of a quota before it leases it, so that its successor knows the maximum.
type QuotaOwner struct {
	ttl                  time.Duration // of a portion, on the owner's clock
	predecessorsExpireAt time.Duration // from then on no portion of an earlier owner is valid
	teams                map[string]*teamQuota
	bounded              bool
	predecessorBounds    map[string]resource.Vector // with bounds enforced: most that earlier owners leased, by team
	loggedBounds         map[string]resource.Vector // bounds in force, by team
	wantedBounds         map[string]resource.Vector // bounds to log next, by team
}

type teamQuota struct {
	ledger  *QuotaLedger
	holders map[string]*holderRecord
}

// QuotaBound is the log record of the most that is leased of a team's quota from this
// record on.
type QuotaBound struct {
	Team string          `json:"team"`
	Most resource.Vector `json:"most"`
}

// holderRecord is the owner's record of a holder whose last request is younger than the
// TTL of a portion.
type holderRecord struct {
	seq       int64
	expiresAt time.Duration
	unmet     bool // the last grant was less than the holder wanted
	// heldAtTakeover is what the holder had from an earlier owner at its first call, and
	// leasedBeyond what this owner leased it beyond that amount.
	heldAtTakeover, leasedBeyond resource.Vector
}

// NewQuotaOwner returns an owner that took over at now. ttl is the longest time, on the
// owner's clock, for which a holder may use a portion.
func NewQuotaOwner(now, ttl time.Duration) *QuotaOwner {
	return &QuotaOwner{ttl: ttl, predecessorsExpireAt: now + ttl, teams: map[string]*teamQuota{}}
}

// Lease answers a request. ok is false if a later request of the holder was answered
// before. The holder keeps at least what it both held and wants, unless the quota was
// lowered, because it goes on using that until the reply arrives.
func (o *QuotaOwner) Lease(now time.Duration, holder string, seq int64, quota resource.Vector, request wire.QuotaRequest) (portion wire.QuotaPortion, ok bool) {
	t := o.team(request.Team)
	t.expire(now)
	h := t.holders[holder]
	if h == nil {
		h = &holderRecord{heldAtTakeover: request.Held.Max(resource.Vector{})}
		t.holders[holder] = h
	}
	if seq <= h.seq {
		return portion, false
	}
	h.seq, h.expiresAt = seq, now+o.ttl
	want := request.Want.Max(resource.Vector{})
	predecessors := resource.Vector{} // upper bound of what other holders have, while portions of earlier owners are valid
	if now < o.predecessorsExpireAt {
		predecessors = o.predecessorBounds[request.Team].Add(t.othersLeasedBeyond(h)).Sub(h.heldAtTakeover)
		want = want.Min(h.heldAtTakeover.Add(o.additionalFree(predecessors.Add(h.heldAtTakeover), quota)))
	}
	portion.Team = request.Team
	if t.othersUnmet(h) {
		portion.Share = ceilDivide(quota, int64(len(t.holders)))
		want = want.Min(portion.Share.Max(request.Held).Max(request.Used))
	}
	t.ledger.SetQuota(quota)
	others := t.ledger.LeasedToOthers(now, holder)
	if now < o.predecessorsExpireAt {
		others = predecessors
	}
	want = o.limitToBound(others, quota, want, request.Team)
	portion.Amount = t.ledger.Lease(now, o.ttl, holder, want)
	h.leasedBeyond = portion.Amount.Sub(h.heldAtTakeover).Max(resource.Vector{})
	t.ledger.RecordUse(now, o.ttl, holder, request.Used)
	h.unmet = !request.Want.Fits(portion.Amount)
	return portion, true
}

// EnforceBounds makes the owner lease only within logged bounds. logged holds the bounds
// that earlier owners logged, which are also the bounds in force now.
func (o *QuotaOwner) EnforceBounds(logged map[string]resource.Vector) {
	o.bounded = true
	o.predecessorBounds, o.loggedBounds, o.wantedBounds = maps.Clone(logged), maps.Clone(logged), map[string]resource.Vector{}
	if o.loggedBounds == nil {
		o.loggedBounds = map[string]resource.Vector{}
	}
}

// TakeBoundsToLog returns and clears the bounds to log now. A bound whose append fails is
// returned again after the next request that needs it.
func (o *QuotaOwner) TakeBoundsToLog() []QuotaBound {
	var bounds []QuotaBound
	for _, team := range slices.Sorted(maps.Keys(o.wantedBounds)) {
		bounds = append(bounds, QuotaBound{Team: team, Most: o.wantedBounds[team]})
	}
	clear(o.wantedBounds)
	return bounds
}

// BoundLogged records that a bound is in the log.
func (o *QuotaOwner) BoundLogged(b QuotaBound) {
	o.loggedBounds[b.Team] = o.loggedBounds[b.Team].Max(b.Most)
}

// additionalFree returns what a holder may be leased beyond heldAtTakeover: the part of
// the quota that neither earlier owners can have leased nor this owner leased to others.
func (o *QuotaOwner) additionalFree(taken, quota resource.Vector) resource.Vector {
	if !o.bounded {
		return resource.Vector{}
	}
	return quota.Sub(taken).Max(resource.Vector{})
}

// othersLeasedBeyond returns the sum of leasedBeyond of all other holders.
func (t *teamQuota) othersLeasedBeyond(self *holderRecord) resource.Vector {
	var sum resource.Vector
	for _, h := range t.holders {
		if h != self {
			sum = sum.Add(h.leasedBeyond)
		}
	}
	return sum
}

// limitToBound limits the wanted amount to what the logged bound leaves beside the
// amount of the others, and records a higher bound to log if that is not enough.
func (o *QuotaOwner) limitToBound(others, quota, want resource.Vector, team string) resource.Vector {
	if !o.bounded {
		return want
	}
	bound := o.loggedBounds[team]
	needed := others.Add(want).Min(quota)
	if !needed.Fits(bound) {
		o.wantedBounds[team] = bound.Max(needed.Scale(2).Max(ceilDivide(quota, maxBoundSteps)).Min(quota))
	}
	return want.Min(bound.Sub(others).Max(resource.Vector{}))
}

// maxBoundSteps is the largest number of steps in which a bound is raised to the quota:
// each raise is at least the quota divided by it, which keeps the log records of a team
// few.
const maxBoundSteps = 4

func (o *QuotaOwner) team(name string) *teamQuota {
	t := o.teams[name]
	if t == nil {
		t = &teamQuota{ledger: NewQuotaLedger(resource.Vector{}), holders: map[string]*holderRecord{}}
		o.teams[name] = t
	}
	return t
}

// Expire drops holders without a request during the TTL of a portion, and teams without
// holders.
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
		if now >= h.expiresAt {
			delete(t.holders, name)
		}
	}
}

func (t *teamQuota) othersUnmet(self *holderRecord) bool {
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
