package placer

import (
	"time"

	"briarproxy/core/flow"
)

// formerPlacer is an earlier placer that is not known to have stopped. It may be cut off from the log
// and from all daemons, and still renew the leases of workers that this placer can't reach.
type formerPlacer struct {
	flow.Claim
	renewsUntil time.Duration // boot clock: latest time at which it can renew a lease
}

// setFormerPlacers notes the placers of all superseded claims. Each of them renews leases for at most
// MaxRenewalWithoutLog after its last record.
func (p *Placer) setFormerPlacers(now time.Duration) {
	for _, c := range p.state.Superseded {
		if until := c.At + p.options.MaxRenewalWithoutLog; until > now {
			p.formerPlacers = append(p.formerPlacers, formerPlacer{c.Claim, until})
		}
	}
}

// FormerPlacers returns the claims of the earlier placers that may still renew leases. The caller asks
// each of them to stop.
func (p *Placer) FormerPlacers(now time.Duration) []flow.Claim {
	var claims []flow.Claim
	for i := range p.formerPlacers {
		if p.formerPlacers[i].renewsUntil > now {
			claims = append(claims, p.formerPlacers[i].Claim)
		}
	}
	return claims
}

// FormerPlacerRetired is called when the placers of a daemon up to the given epoch send no more
// commands. This says nothing about the placers of other daemons.
func (p *Placer) FormerPlacerRetired(daemon string, epoch int64, now time.Duration) {
	for i := range p.formerPlacers {
		if f := &p.formerPlacers[i]; f.Daemon == daemon && f.Epoch <= epoch {
			f.renewsUntil = min(f.renewsUntil, now)
		}
	}
}

// formerLeaseEnd returns the time at which all leases that former placers have granted have expired.
func (p *Placer) formerLeaseEnd() time.Duration {
	lastRenewal := p.createdAt
	for i := range p.formerPlacers {
		lastRenewal = max(lastRenewal, p.formerPlacers[i].renewsUntil)
	}
	return lastRenewal + p.options.Lease + leaseMargin
}
