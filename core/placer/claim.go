package placer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"briarproxy/core/flow"
)

const (
	epochsPerRank        = 1 << 20 // epochs of claims of one rank differ below this
	epochRanks           = 64      // later ranks share the last place
	epochsPerClaim       = epochRanks * epochsPerRank
	claimDelayRoundTrips = 2                     // a daemon near the log claims before one that is far from it
	slowLogExtraLatency  = 80 * time.Millisecond // beyond the usual round trip
	slowLogDelayFactor   = 10
	placerSettleTime     = 6 * time.Second // after a claim
	settleFailoverFactor = 2
	maxClaimJitter       = 20 * time.Millisecond

	// rankDelay lets the claim of a daemon reach the next one before that claims too: an
	// append and a read between regions, or twice what the log takes to answer now.
	rankDelay            = 60 * time.Millisecond
	logLatenciesPerRank  = 2
	maxDelayedRanks      = 8                      // more daemons than this are not lost at once without the log
	helloTimeout         = 12 * time.Second       // a daemon says hello every few seconds
	strongerClaimWait    = 2 * time.Second        // the strong daemons have claimed by then, also after a missed probe
	usualRecordGap       = 600 * time.Millisecond // between two readings of an idle placer's records
	recordGapDelayFactor = 3
	logReplayTime        = 3 * time.Second // a daemon has read the log by then
	strengthClassRatio   = 1.5             // differences below this do not matter to a placer
	distanceClassWidth   = 10 * time.Millisecond
	minStrength          = 0.01 // of a daemon that does not state it
)

// ClaimInput is what a daemon knows when it considers a claim.
type ClaimInput struct {
	Now             time.Duration // boot clock
	ReadySince      time.Duration // since when the daemon has had all that a placer needs and has read the log without a gap
	CaughtUpAt      time.Duration // last answer that reached the end of the log
	LogRoundTrip    time.Duration // to the log
	FailoverTimeout time.Duration // silence of a placer that makes others claim
	Jitter          time.Duration // of this daemon, below maxClaimJitter
	MaxLogLatency   time.Duration // longest that the log took to answer lately; 0 is not known
	Rank            int           // daemons that are to claim before this one
	StrongerPresent bool          // a much stronger daemon than this one is there
	MaxRecordGap    time.Duration // longest time without a record of the placer lately, before the present one
}

// ShouldClaim reports whether a daemon should claim to be the placer, and why. Silence
// counts only while the log was readable: after an outage of the log every placer has
// been silent.
func ShouldClaim(s *flow.State, in ClaimInput) (reason string, claim bool) {
	if in.CaughtUpAt == 0 || in.Now-in.CaughtUpAt > in.FailoverTimeout {
		return "", false
	}
	delay := claimDelayRoundTrips*in.LogRoundTrip + in.Jitter + time.Duration(min(in.Rank, maxDelayedRanks))*max(rankDelay, logLatenciesPerRank*in.MaxLogLatency)
	silence := in.Now - max(s.LastHeard, in.ReadySince)
	if in.StrongerPresent {
		delay += strongerClaimWait
	}
	if s.Claim.Daemon == "" && silence > delay {
		return "there is no placer", true
	}
	if slow := in.MaxLogLatency - in.LogRoundTrip; slow > slowLogExtraLatency {
		delay += slowLogDelayFactor * slow // a placer's records are as late as this answer, several times over
	}
	if in.Now-s.ClaimedAt < placerSettleTime {
		delay += settleFailoverFactor * in.FailoverTimeout // it takes over runs and a backlog; another takeover would begin anew
	}
	if late := in.MaxRecordGap - usualRecordGap; late > 0 {
		delay += recordGapDelayFactor * late // a placer whose records come seldom is slow, as the log may be
	}
	if s.Claim.Daemon != "" && silence > in.FailoverTimeout+delay {
		return "the placer is silent", true
	}
	return "", false
}

// ClaimRank returns the number of daemons that are to claim before the named one: those that
// have much more of what a placer needs, then those nearer to the log. Without an order
// all claim at once in a large cell, and each claim makes the last one void.
func ClaimRank(s *flow.State, self flow.Hello, now time.Duration) int {
	n := 0
	for name, m := range s.Members {
		if name != self.Daemon && name != s.Claim.Daemon && now-m.LastSeen < helloTimeout && CompareCandidates(m.Hello, self) < 0 {
			n++
		}
	}
	return n
}

// HasStronger reports whether a daemon is there that has much more of what a placer needs.
func HasStronger(s *flow.State, self flow.Hello, now time.Duration) bool {
	for name, m := range s.Members {
		if name != self.Daemon && now-m.LastSeen < helloTimeout && strengthClass(m.CapacityFactor) > strengthClass(self.CapacityFactor) {
			return true
		}
	}
	return false
}

// Successors returns the daemons to which a placer that stops may hand over, the best one
// first. One that has just started may not have read the log yet.
func Successors(s *flow.State, self string, now time.Duration, wallMS int64) []flow.Hello {
	var list []flow.Hello
	for name, m := range s.Members {
		if name != self && now-m.LastSeen < helloTimeout && wallMS-m.StartedMS > logReplayTime.Milliseconds() {
			list = append(list, m.Hello)
		}
	}
	slices.SortFunc(list, CompareCandidates)
	return list
}

// CompareCandidates puts the daemons first that have much of what a placer needs and are near the log;
// among equal ones those that started last, as restarts in turn come to them last.
func CompareCandidates(a, b flow.Hello) int {
	return cmp.Or(cmp.Compare(strengthClass(b.CapacityFactor), strengthClass(a.CapacityFactor)), cmp.Compare(a.LogLatencyMS/distanceClassWidth.Milliseconds(), b.LogLatencyMS/distanceClassWidth.Milliseconds()), cmp.Compare(b.StartedMS, a.StartedMS), cmp.Compare(a.Daemon, b.Daemon))
}

// strengthClass puts strengths that differ little into one class.
func strengthClass(strength float64) int {
	return int(math.Floor(math.Log(max(strength, minStrength)) / math.Log(strengthClassRatio)))
}

// NextEpoch returns an epoch above all that were claimed. Of daemons that claim at the same
// time the one with the lowest rank gets the highest epoch: while appends wait at a slow
// log, a claim that arrives later with a higher epoch fences the one that waits there.
func NextEpoch(s *flow.State, rank int, rng *rand.Rand) int64 {
	place := int64(epochRanks - 1 - min(rank, epochRanks-1))
	return (s.Claim.Epoch/epochsPerClaim+1)*epochsPerClaim + place*epochsPerRank + rng.Int64N(epochsPerRank)
}

// ClaimJitter returns a daemon's own delay before a claim.
func ClaimJitter(rng *rand.Rand) time.Duration {
	return time.Duration(rng.Int64N(int64(maxClaimJitter)))
}
