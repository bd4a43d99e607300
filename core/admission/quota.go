package admission

import (
	"time"

	"briarproxy/core/resource"
)

// QuotaLedger records the portions of a team's quota that its single owner has leased
// to daemons. The sum of the portions that may still be in use never exceeds the
// quota, except after the quota was lowered or more use was recorded by RecordUse.
type QuotaLedger struct {
	quota    resource.Vector
	portions map[string]portion
}

type portion struct {
	amount    resource.Vector
	expiresAt time.Duration
}

// NewQuotaLedger returns a ledger without portions.
func NewQuotaLedger(quota resource.Vector) *QuotaLedger {
	return &QuotaLedger{quota: quota, portions: map[string]portion{}}
}

// SetQuota changes the quota. Portions that exceed a lowered quota stay until they
// expire, and nothing more is leased until then.
func (l *QuotaLedger) SetQuota(quota resource.Vector) { l.quota = quota }

// Lease replaces the holder's portion by the wanted amount, limited in each resource
// kind to what other holders leave free. ttl must include the owner's margin for clock
// drift. A holder must not ask for less than it uses: the ledger would lease the
// difference to others and the team would exceed its quota.
func (l *QuotaLedger) Lease(now, ttl time.Duration, holder string, want resource.Vector) resource.Vector {
	l.expire(now)
	delete(l.portions, holder)
	free := l.quota.Sub(l.leased()).Max(resource.Vector{})
	granted := resource.Vector{
		MilliCores:   limitToFree(want.MilliCores, free.MilliCores, l.quota.MilliCores),
		MemoryMiB:    limitToFree(want.MemoryMiB, free.MemoryMiB, l.quota.MemoryMiB),
		Accelerators: limitToFree(want.Accelerators, free.Accelerators, l.quota.Accelerators),
		Slots:        limitToFree(want.Slots, free.Slots, l.quota.Slots),
	}
	if !granted.IsZero() {
		l.portions[holder] = portion{amount: granted, expiresAt: now + ttl}
	}
	return granted
}

// RecordUse raises the recorded portion of a holder to what it uses, which can exceed
// its portion after a takeover, so that the amount is not leased to others.
func (l *QuotaLedger) RecordUse(now, ttl time.Duration, holder string, used resource.Vector) {
	amount := l.portions[holder].amount.Max(used)
	if !amount.IsZero() {
		l.portions[holder] = portion{amount: amount, expiresAt: now + ttl}
	}
}

// limitToFree limits want to free. A quota of zero is unlimited.
func limitToFree(want, free, quota int64) int64 {
	if quota == 0 {
		return want
	}
	return max(0, min(want, free))
}

// Leased returns the sum of the portions that have not expired at now.
func (l *QuotaLedger) Leased(now time.Duration) resource.Vector {
	l.expire(now)
	return l.leased()
}

// LeasedToOthers returns the sum of the unexpired portions of all other holders.
func (l *QuotaLedger) LeasedToOthers(now time.Duration, holder string) resource.Vector {
	l.expire(now)
	return l.leased().Sub(l.portions[holder].amount)
}

func (l *QuotaLedger) leased() resource.Vector {
	var sum resource.Vector
	for _, p := range l.portions {
		sum = sum.Add(p.amount)
	}
	return sum
}

func (l *QuotaLedger) expire(now time.Duration) {
	for holder, p := range l.portions {
		if p.expiresAt <= now {
			delete(l.portions, holder)
		}
	}
}

// Portion is a daemon's leased part of a team's quota.
type Portion struct {
	amount    resource.Vector
	expiresAt time.Duration
	used      resource.Vector
}

// Set stores a leased amount and its expiry time. The caller must count the expiry from
// before it sent the request for the lease.
func (p *Portion) Set(amount resource.Vector, until time.Duration) {
	p.amount = amount
	p.expiresAt = until
}

// Shrink lowers the amount. It must be called before the owner is asked for less.
func (p *Portion) Shrink(amount resource.Vector) { p.amount = p.amount.Min(amount) }

// Amount returns what the portion covers at now.
func (p *Portion) Amount(now time.Duration) resource.Vector {
	if now >= p.expiresAt {
		return resource.Vector{}
	}
	return p.amount
}

// TryAcquire charges an amount to the portion. It returns false if the portion has
// expired or does not cover the amount. Resource kinds with a zero quota must be zero
// in the amount.
func (p *Portion) TryAcquire(now time.Duration, amount resource.Vector) bool {
	if now >= p.expiresAt || !p.used.Add(amount).Fits(p.amount) {
		return false
	}
	p.used = p.used.Add(amount)
	return true
}

// Release gives back an acquired amount.
func (p *Portion) Release(amount resource.Vector) { p.used = p.used.Sub(amount) }

// Used returns the amount that is acquired now.
func (p *Portion) Used() resource.Vector { return p.used }
