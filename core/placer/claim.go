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
	epochsPerRank        = 1 << 20 // number of epochs from which the claims of one rank are drawn
	epochRanks           = 64      // higher ranks use the epochs of the last one
	epochsPerClaim       = epochRanks * epochsPerRank
	claimDelayRoundTrips = 2                     // a daemon close to the log claims before a distant one
	slowLogExtraLatency  = 80 * time.Millisecond // above the usual round trip; beyond this the log counts as slow
	slowLogDelayFactor   = 10
	placerSettleTime     = 6 * time.Second // after a claim, while the new placer takes over runs and a backlog
	settleFailoverFactor = 2
	maxClaimJitter       = 20 * time.Millisecond

	// rankDelay is the least delay per rank. Within it, the claim of one daemon reaches the daemon
	// of the next rank, which then does not claim: an append and a read between regions. While the
	// log is slow, twice its current latency applies instead.
	rankDelay            = 60 * time.Millisecond
	logLatenciesPerRank  = 2
	maxDelayedRanks      = 8                      // more daemons than this do not fail at once unless the log fails, too
	helloTimeout         = 12 * time.Second       // daemons append a Hello record every few seconds
	preferOthersDelay    = 2 * time.Second        // preferred daemons have claimed by then, even if one query of the log's end, which precedes each claim, has failed
	usualRecordGap       = 600 * time.Millisecond // between two reads that return records of an idle placer
	recordGapDelayFactor = 3
	logReplayTime        = 3 * time.Second // a daemon has replayed the log within this time after its start
	capacityClassRatio   = 1.5             // differences below this ratio do not affect a placer
	logLatencyClassWidth = 10 * time.Millisecond
	minCapacityFactor    = 0.01 // also assumed for a daemon that does not report its capacity
)

// ClaimInput is the local information on which a daemon decides whether to claim.
type ClaimInput struct {
	Now             time.Duration // boot clock
	ReadySince      time.Duration // since when the daemon has met all conditions for a placer and has read the log without interruption
	CaughtUpAt      time.Duration // last read that reached the end of the log
	LogRoundTrip    time.Duration // usual round trip to the log
	FailoverTimeout time.Duration // silence of the placer after which other daemons claim
	Jitter          time.Duration // random delay of this daemon, below maxClaimJitter
	MaxLogLatency   time.Duration // longest recent response time of the log; 0 means unknown
	Rank            int           // number of daemons that claim before this one
	PreferOthers    bool          // a daemon of a higher capacity class is alive, or this one has no direct path to the log or has recently stopped placing because of isolation or an error
	MaxRecordGap    time.Duration // longest recent gap between records of the placer, without the current one
}

// silence returns for how long the placer has been silent while the log was readable.
func (in *ClaimInput) silence(s *flow.State) time.Duration {
	return in.Now - max(s.LastHeard, in.ReadySince)
}

// PlacerHeard reports whether the placer has been heard of so recently that ShouldClaim refuses whatever the
// daemon's rank is. It saves the comparison with all daemons, which each event would otherwise cost.
func PlacerHeard(s *flow.State, in *ClaimInput) bool {
	return s.Claim.Daemon != "" && in.silence(s) <= in.FailoverTimeout
}

// ShouldClaim reports whether a daemon should claim the placer role, and why. Only the time in
// which the log was readable counts as silence of the placer: after an outage of the log, every
// placer has been silent.
func ShouldClaim(s *flow.State, in ClaimInput) (reason string, claim bool) {
	if in.CaughtUpAt == 0 || in.Now-in.CaughtUpAt > in.FailoverTimeout {
		return "", false
	}
	delay := claimDelayRoundTrips*in.LogRoundTrip + in.Jitter + time.Duration(min(in.Rank, maxDelayedRanks))*max(rankDelay, logLatenciesPerRank*in.MaxLogLatency)
	silence := in.silence(s)
	if in.PreferOthers {
		delay += preferOthersDelay
	}
	if s.Claim.Daemon == "" && silence > delay {
		return "there is no placer", true
	}
	if extraLatency := in.MaxLogLatency - in.LogRoundTrip; extraLatency > slowLogExtraLatency {
		delay += slowLogDelayFactor * extraLatency // records of the placer are delayed by several such response times
	}
	if in.Now-s.ClaimedAt < placerSettleTime {
		delay += settleFailoverFactor * in.FailoverTimeout // another claim would make the takeover of runs and backlog start again
	}
	if extraGap := in.MaxRecordGap - usualRecordGap; extraGap > 0 {
		delay += recordGapDelayFactor * extraGap // infrequent records mean that the placer, or the log, is slow rather than lost
	}
	if s.Claim.Daemon != "" && silence > in.FailoverTimeout+delay {
		return "the placer is silent", true
	}
	return "", false
}

// ClaimRank returns the number of daemons that claim before self: all live daemons that
// CompareCandidates sorts before it, except the present placer. Without this order all daemons of
// a large cell claim at once, and each claim fences the one before.
func ClaimRank(s *flow.State, self flow.Hello, now time.Duration) int {
	n := 0
	for name, m := range s.Members {
		if name != self.Daemon && name != s.Claim.Daemon && now-m.LastSeen < helloTimeout && CompareCandidates(m.Hello, self) < 0 {
			n++
		}
	}
	return n
}

// HasHigherCapacity reports whether a daemon of a higher capacity class than self is alive.
func HasHigherCapacity(s *flow.State, self flow.Hello, now time.Duration) bool {
	for name, m := range s.Members {
		if name != self.Daemon && now-m.LastSeen < helloTimeout && capacityClass(m.CapacityFactor) > capacityClass(self.CapacityFactor) {
			return true
		}
	}
	return false
}

// Successors returns the daemons to which a stopping placer may hand over, the best candidate first.
func Successors(s *flow.State, self string, now time.Duration, wallMS int64) []flow.Hello {
	var list []flow.Hello
	for name, m := range s.Members {
		if maySucceed(name, &m, self, now, wallMS) {
			list = append(list, m.Hello)
		}
	}
	SortCandidates(list)
	return list
}

// BestSuccessor returns the first of Successors.
func BestSuccessor(s *flow.State, self string, now time.Duration, wallMS int64) (best flow.Hello, found bool) {
	for name, m := range s.Members {
		if maySucceed(name, &m, self, now, wallMS) && (!found || CompareCandidates(m.Hello, best) < 0) {
			best, found = m.Hello, true
		}
	}
	return best, found
}

// maySucceed reports whether the daemon may take over from self. One that started within logReplayTime may
// not have replayed the log.
func maySucceed(name string, m *flow.Member, self string, now time.Duration, wallMS int64) bool {
	return name != self && now-m.LastSeen < helloTimeout && wallMS-m.StartedMS > logReplayTime.Milliseconds()
}

// SortCandidates sorts daemons by CompareCandidates. Every daemon sorts all others, so it computes the
// capacity class of each only once.
func SortCandidates(list []flow.Hello) {
	type candidate struct {
		class int
		hello flow.Hello
	}
	candidates := make([]*candidate, len(list))
	for i := range list {
		candidates[i] = &candidate{capacityClass(list[i].CapacityFactor), list[i]}
	}
	slices.SortFunc(candidates, func(a, b *candidate) int {
		if byClass := cmp.Compare(b.class, a.class); byClass != 0 {
			return byClass
		}
		return compareWithinClass(&a.hello, &b.hello)
	})
	for i := range candidates {
		list[i] = candidates[i].hello
	}
}

// CompareCandidates sorts daemons by suitability for the placer role: by capacity class, then by
// the latency of the log. Among equal ones the one that started last comes first, as a rolling
// restart reaches it last.
func CompareCandidates(a, b flow.Hello) int {
	if byClass := cmp.Compare(capacityClass(b.CapacityFactor), capacityClass(a.CapacityFactor)); byClass != 0 {
		return byClass
	}
	return compareWithinClass(&a, &b)
}

// compareWithinClass sorts daemons of one capacity class.
func compareWithinClass(a, b *flow.Hello) int {
	const width = int64(logLatencyClassWidth / time.Millisecond)
	if byLatency := cmp.Compare(a.LogLatencyMS/width, b.LogLatencyMS/width); byLatency != 0 {
		return byLatency
	}
	return cmp.Or(cmp.Compare(b.StartedMS, a.StartedMS), cmp.Compare(a.Daemon, b.Daemon))
}

// capacityClass maps capacity factors that differ little to the same class.
func capacityClass(factor float64) int {
	return int(math.Floor(math.Log(max(factor, minCapacityFactor)) / math.Log(capacityClassRatio)))
}

// NextEpoch returns an epoch above all claimed ones. Among daemons that claim at the same time,
// the one with the lowest rank gets the highest epoch: while appends are queued at a slow log, a
// claim that arrives later with a higher epoch fences the one that is queued there.
func NextEpoch(s *flow.State, rank int, rng *rand.Rand) int64 {
	rankFromLast := int64(epochRanks - 1 - min(rank, epochRanks-1))
	return (s.Claim.Epoch/epochsPerClaim+1)*epochsPerClaim + rankFromLast*epochsPerRank + rng.Int64N(epochsPerRank)
}

// ClaimJitter returns a random delay for the claims of a daemon.
func ClaimJitter(rng *rand.Rand) time.Duration {
	return time.Duration(rng.Int64N(int64(maxClaimJitter)))
}
