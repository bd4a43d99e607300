package admission

import (
	"time"

	"briarproxy/core/resource"
)

// QuotaLedger is kept by the one owner of a team's quota. It leases portions of
// the quota to daemons. The sum of the portions that have not surely expired is
// never above the quota.
type QuotaLedger struct {
	quota    resource.Vector
	portions map[string]portion
}

type portion struct {
	amount resource.Vector
	until  time.Duration
}

// NewQuotaLedger returns a ledger without portions.
func NewQuotaLedger(quota resource.Vector) *QuotaLedger {
	return &QuotaLedger{quota: quota, portions: map[string]portion{}}
}

// SetQuota changes the quota. Portions above a lowered quota stay until they
// expire; nothing is leased meanwhile.
func (l *QuotaLedger) SetQuota(quota resource.Vector) { l.quota = quota }

// Lease replaces the holder's portion by what it wants, cut in each kind to what
// the others leave free. ttl must include the drift margin on the owner's side. A
// holder that asks for less than it uses breaks the quota itself.
func (l *QuotaLedger) Lease(now, ttl time.Duration, holder string, want resource.Vector) resource.Vector {
	l.expire(now)
	delete(l.portions, holder)
	free := l.quota.Sub(l.leased()).Max(resource.Vector{})
	granted := resource.Vector{
		MilliCores:   cut(want.MilliCores, free.MilliCores, l.quota.MilliCores),
		MemoryMiB:    cut(want.MemoryMiB, free.MemoryMiB, l.quota.MemoryMiB),
		Accelerators: cut(want.Accelerators, free.Accelerators, l.quota.Accelerators),
		Slots:        cut(want.Slots, free.Slots, l.quota.Slots),
	}
	if !granted.IsZero() {
		l.portions[holder] = portion{amount: granted, until: now + ttl}
	}
	return granted
}

// Count raises what is recorded of a holder to what it uses, which can be more than
// its portion after a takeover, so that nobody else is leased it.
func (l *QuotaLedger) Count(now, ttl time.Duration, holder string, used resource.Vector) {
	amount := l.portions[holder].amount.Max(used)
	if !amount.IsZero() {
		l.portions[holder] = portion{amount: amount, until: now + ttl}
	}
}

// cut limits want to free; a quota of zero is unlimited.
func cut(want, free, quota int64) int64 {
	if quota == 0 {
		return want
	}
	return max(0, min(want, free))
}

// Leased returns the sum of the portions that hold at now.
func (l *QuotaLedger) Leased(now time.Duration) resource.Vector {
	l.expire(now)
	return l.leased()
}

// LeasedToOthers returns the sum of the portions of all but one holder.
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
		if p.until <= now {
			delete(l.portions, holder)
		}
	}
}

// Portion is a daemon's leased part of a team's quota.
type Portion struct {
	amount resource.Vector
	until  time.Duration
	used   resource.Vector
}

// Set stores a leased amount, which counts until the given time. The time must be
// counted from before the lease was asked for.
func (p *Portion) Set(amount resource.Vector, until time.Duration) {
	p.amount = amount
	p.until = until
}

// Shrink lowers the amount, before the ledger is told that less is wanted.
func (p *Portion) Shrink(amount resource.Vector) { p.amount = p.amount.Min(amount) }

// Amount returns what the portion covers at now.
func (p *Portion) Amount(now time.Duration) resource.Vector {
	if now >= p.until {
		return resource.Vector{}
	}
	return p.amount
}

// Take charges an amount; it returns false when the portion has lapsed or does not
// cover it. Kinds with a zero quota must be zero in the amount.
func (p *Portion) Take(now time.Duration, amount resource.Vector) bool {
	if now >= p.until || !p.used.Add(amount).Fits(p.amount) {
		return false
	}
	p.used = p.used.Add(amount)
	return true
}

// Put gives back an amount that was taken.
func (p *Portion) Put(amount resource.Vector) { p.used = p.used.Sub(amount) }

// Used returns what is taken now.
func (p *Portion) Used() resource.Vector { return p.used }
