package placer

import (
	"hash/fnv"
	"time"
)

// Limits of sending orders through other daemons.
const (
	courierShare = 0.1             // of the placer's link that its own orders to start may take; looks, advice and the log need the rest
	courierBurst = 0.5             // s: orders of this long may be sent at once
	courierAvoid = 5 * time.Second // a daemon through which an order was not answered is left alone
	orderBytes   = 350             // of an order to start and its answer beside the Spec, with headers
)

// couriers decides which orders to start the placer sends itself. An order carries the
// whole Spec of its job, which every daemon has read from the log, so another daemon can
// send it for a hundredth of the bytes of the placer's link. The worker's fence judges such
// an order like one of the placer's own, and its lease ends at a time on the worker's clock.
// It answers a load of starts that fill the link: 200 a second with 1.3 KB of Spec take more
// than 2 Mbit/s.
type couriers struct {
	link   float64 // bytes a second; 0 is not known, and all orders are sent directly
	budget float64 // bytes that may be sent now
	at     time.Duration
	avoid  map[string]time.Duration // boot clock, by daemon
}

func newCouriers(mbps float64, now time.Duration) couriers {
	const bytesPerMbit = 1e6 / 8
	return couriers{link: mbps * bytesPerMbit, budget: mbps * bytesPerMbit * courierShare * courierBurst, at: now, avoid: map[string]time.Duration{}}
}

// spend reports whether the placer's own link has room for an order of some bytes, and
// takes it.
func (c *couriers) spend(bytes int, now time.Duration) bool {
	if c.link == 0 {
		return true
	}
	rate := c.link * courierShare
	c.budget = min(rate*courierBurst, c.budget+rate*(now-c.at).Seconds())
	c.at = now
	if c.budget < float64(bytes) {
		return false
	}
	c.budget -= float64(bytes)
	return true
}

// courier returns the daemon that is to send an order to start to the worker, or "" for the
// placer itself. Each worker has one, in its own data centre if there is any, so that few
// connections to workers are opened.
func (p *Placer) courier(v *vm, spec string, now time.Duration) string {
	if p.couriers.spend(orderBytes+len(spec), now) {
		return ""
	}
	best, bestNear, bestHash := "", false, uint32(0)
	for name, m := range p.state.Members {
		if name == p.state.Claim.Daemon || m.Leaving || now-m.Seen >= rankSilence || now < p.couriers.avoid[name] {
			continue
		}
		h := fnv.New32a()
		_, _ = h.Write([]byte(v.Life.Worker + " " + name)) // never fails
		near, hash := m.DataCentre == v.DataCentre, h.Sum32()
		if best == "" || near && !bestNear || near == bestNear && (hash > bestHash || hash == bestHash && name < best) {
			best, bestNear, bestHash = name, near, hash
		}
	}
	return best
}

// courierLost leaves a daemon alone that did not bring the answer to an order.
func (p *Placer) courierLost(name string, now time.Duration) {
	if name != "" {
		p.couriers.avoid[name] = now + courierAvoid
	}
}
