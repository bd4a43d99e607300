package placer

import (
	"hash/fnv"
	"time"
)

// Limits for relaying start commands through other daemons.
const (
	directStartShare        = 0.1             // share of the placer's link for start commands that it sends itself; polls, advice and the log need the rest
	directStartBurstSeconds = 0.5             // seconds of the direct share that may be used at once
	relayAvoidTime          = 5 * time.Second // for which a relay is not used after a command through it was not answered
	startOverheadBytes      = 350             // size of a start command and its answer, with headers and without the Spec
)

// startRelays decides which start commands the placer sends itself. A start command carries the
// whole Spec of its job, which every daemon has read from the log. A relay therefore receives the
// command without the Spec, which takes a hundredth of the bytes on the placer's link.
//
// The worker applies the same fencing check to relayed and direct commands. The lease in a command
// ends at a fixed time on the worker's clock, so a delay at the relay does not extend it.
//
// Without relays the start commands alone can fill the link: 200 starts a second with a Spec of
// 1.3 KB take more than 2 Mbit/s.
type startRelays struct {
	linkBytesPerSecond float64 // 0 means unknown, and all commands are sent directly
	budgetBytes        float64 // token bucket: bytes that may be sent now
	refilledAt         time.Duration
	avoidUntil         map[string]time.Duration // boot clock, by name of the daemon
}

func newStartRelays(mbps float64, now time.Duration) startRelays {
	const bytesPerMbit = 1e6 / 8
	return startRelays{linkBytesPerSecond: mbps * bytesPerMbit, budgetBytes: mbps * bytesPerMbit * directStartShare * directStartBurstSeconds, refilledAt: now, avoidUntil: map[string]time.Duration{}}
}

// takeBudget reports whether the budget of the placer's link allows a message of the given
// size, and if so deducts it.
func (s *startRelays) takeBudget(bytes int, now time.Duration) bool {
	if s.linkBytesPerSecond == 0 {
		return true
	}
	rate := s.linkBytesPerSecond * directStartShare
	s.budgetBytes = min(rate*directStartBurstSeconds, s.budgetBytes+rate*(now-s.refilledAt).Seconds())
	s.refilledAt = now
	if s.budgetBytes < float64(bytes) {
		return false
	}
	s.budgetBytes -= float64(bytes)
	return true
}

// chooseRelay returns the daemon that sends a start command to the worker, or "" for the placer
// itself. Rendezvous hashing assigns one relay to each worker, in the same data centre if
// possible, which keeps the number of connections to workers low.
func (p *Placer) chooseRelay(v *vm, spec string, now time.Duration) string {
	if p.relays.takeBudget(startOverheadBytes+len(spec), now) {
		return ""
	}
	best, bestSameDataCentre, bestHash := "", false, uint32(0)
	for name, m := range p.state.Members {
		if name == p.state.Claim.Daemon || m.Leaving || now-m.LastSeen >= helloTimeout || now < p.relays.avoidUntil[name] {
			continue
		}
		h := fnv.New32a()
		_, _ = h.Write([]byte(v.Life.Worker + " " + name)) // a hash never returns an error
		sameDataCentre, hash := m.DataCentre == v.DataCentre, h.Sum32()
		if best == "" || sameDataCentre && !bestSameDataCentre || sameDataCentre == bestSameDataCentre && (hash > bestHash || hash == bestHash && name < best) {
			best, bestSameDataCentre, bestHash = name, sameDataCentre, hash
		}
	}
	return best
}

// relayFailed excludes a relay for relayAvoidTime after it has not returned the answer to a command.
// An empty name means that the placer sent the command itself.
func (p *Placer) relayFailed(name string, now time.Duration) {
	if name != "" {
		p.relays.avoidUntil[name] = now + relayAvoidTime
	}
}
