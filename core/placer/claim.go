package placer

import (
	"math/rand/v2"
	"time"

	"briarproxy/core/flow"
)

const (
	epochStep       = 1 << 20               // epochs of one generation of claims differ below this
	roundTripFactor = 5                     // a daemon near the log claims before one that is far from it
	slowAnswer      = 80 * time.Millisecond // beyond the usual round trip
	slowFactor      = 10
	settleTime      = 6 * time.Second // after a claim
	settleFactor    = 2
	claimSpread     = 60 * time.Millisecond
)

// Watch is what a daemon knows when it considers a claim.
type Watch struct {
	Now       time.Duration // boot clock
	Able      time.Duration // since when the daemon has had all that a placer needs and has read the log without a gap
	ReadLast  time.Duration // last answer that reached the end of the log
	RoundTrip time.Duration // to the log
	Failover  time.Duration // silence of a placer that makes others claim
	Jitter    time.Duration // of this daemon, below claimSpread
	Probe     time.Duration // how long the log took to answer just now; 0 is not known
}

// ShouldClaim reports whether a daemon should claim to be the placer, and why. Silence
// counts only while the log was readable: after an outage of the log every placer has
// been silent.
func ShouldClaim(s *flow.State, w Watch) (reason string, claim bool) {
	if w.ReadLast == 0 || w.Now-w.ReadLast > w.Failover {
		return "", false
	}
	delay := roundTripFactor*w.RoundTrip + w.Jitter
	quiet := w.Now - max(s.Heard, w.Able)
	if s.Claim.Daemon == "" && quiet > delay {
		return "there is no placer", true
	}
	if slow := w.Probe - w.RoundTrip; slow > slowAnswer {
		delay += slowFactor * slow // a placer's records are as late as this answer, several times over
	}
	if w.Now-s.Claimed < settleTime {
		delay += settleFactor * w.Failover // it takes over runs and a backlog; another takeover would begin anew
	}
	if s.Claim.Daemon != "" && quiet > w.Failover+delay {
		return "the placer is silent", true
	}
	return "", false
}

// NextEpoch returns an epoch above all that were claimed. Two daemons that claim at the
// same time get different ones, so that the log fences the lower one.
func NextEpoch(s *flow.State, rng *rand.Rand) int64 {
	return (s.Claim.Epoch/epochStep+1)*epochStep + rng.Int64N(epochStep)
}

// ClaimJitter returns a daemon's own delay before a claim.
func ClaimJitter(rng *rand.Rand) time.Duration { return time.Duration(rng.Int64N(int64(claimSpread))) }
