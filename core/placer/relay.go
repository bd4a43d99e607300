package placer

import (
	"hash/fnv"
	"time"
)

// Limits of sending orders through other daemons.
const (
	directStartShare        = 0.1             // of the placer's link that its own orders to start may take; looks, advice and the log need the rest
	directStartBurstSeconds = 0.5             // s: orders of this long may be sent at once
	relayAvoidTime          = 5 * time.Second // a daemon through which an order was not answered is left alone
	startOverheadBytes      = 350             // of an order to start and its answer beside the Spec, with headers
)

// startRelays decides which orders to start the placer sends itself. An order carries the
// whole Spec of its job, which every daemon has read from the log, so another daemon can
// send it for a hundredth of the bytes of the placer's link. The worker's fence judges such
// an order like one of the placer's own, and its lease ends at a time on the worker's clock.
// It answers a load of starts that fill the link: 200 a second with 1.3 KB of Spec take more
// than 2 Mbit/s.
type startRelays struct {
	linkBytesPerSecond float64 // bytes a second; 0 is not known, and all orders are sent directly
	budgetBytes        float64 // bytes that may be sent now
	refilledAt         time.Duration
	avoidUntil         map[string]time.Duration // boot clock, by daemon
}

func newStartRelays(mbps float64, now time.Duration) startRelays {
	const bytesPerMbit = 1e6 / 8
	return startRelays{linkBytesPerSecond: mbps * bytesPerMbit, budgetBytes: mbps * bytesPerMbit * directStartShare * directStartBurstSeconds, refilledAt: now, avoidUntil: map[string]time.Duration{}}
}

// takeBudget reports whether the placer's own link has room for an order of some bytes, and
// takes it.
func (c *startRelays) takeBudget(bytes int, now time.Duration) bool {
	if c.linkBytesPerSecond == 0 {
		return true
	}
	rate := c.linkBytesPerSecond * directStartShare
	c.budgetBytes = min(rate*directStartBurstSeconds, c.budgetBytes+rate*(now-c.refilledAt).Seconds())
	c.refilledAt = now
	if c.budgetBytes < float64(bytes) {
		return false
	}
	c.budgetBytes -= float64(bytes)
	return true
}

// chooseRelay returns the daemon that is to send an order to start to the worker, or "" for the
// placer itself. Each worker has one, in its own data centre if there is any, so that few
// connections to workers are opened.
func (p *Placer) chooseRelay(v *vm, spec string, now time.Duration) string {
	if p.relays.takeBudget(startOverheadBytes+len(spec), now) {
		return ""
	}
	best, bestNear, bestHash := "", false, uint32(0)
	for name, m := range p.state.Members {
		if name == p.state.Claim.Daemon || m.Leaving || now-m.LastSeen >= helloTimeout || now < p.relays.avoidUntil[name] {
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

// relayFailed leaves a daemon alone that did not bring the answer to an order.
func (p *Placer) relayFailed(name string, now time.Duration) {
	if name != "" {
		p.relays.avoidUntil[name] = now + relayAvoidTime
	}
}
