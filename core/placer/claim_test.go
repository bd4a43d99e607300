package placer

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/flow"
)

const second = time.Second

// Guards against claims while a placer is alive: after an outage of the log, by daemons that
// have only started to read it, and while the log is slow. Also guards against a cell that stays
// without a placer.
func TestShouldClaim(t *testing.T) {
	placing := &flow.State{Claim: flow.Claim{Daemon: "a", Epoch: 1}, LastHeard: 100 * second}
	noPlacer := &flow.State{LastHeard: 100 * second}
	base := ClaimInput{Now: 100*second + 200*time.Millisecond, ReadySince: 50 * second, CaughtUpAt: 100*second + 150*time.Millisecond, LogRoundTrip: 4 * time.Millisecond, FailoverTimeout: second}
	for _, test := range []struct {
		name   string
		state  *flow.State
		change func(*ClaimInput)
		claim  bool
	}{
		{"the placer has appended recently", placing, func(*ClaimInput) {}, false},
		{"there is no placer", noPlacer, func(*ClaimInput) {}, true},
		{"there is no placer, but a closer daemon claims first", noPlacer, func(in *ClaimInput) { in.Rank = 4 }, false},
		{"there is no placer and the closer daemons do not claim", noPlacer, func(in *ClaimInput) { in.Rank, in.Now = 4, 101*second; in.CaughtUpAt = in.Now }, true},
		{"there is no placer, the log is slow and a closer daemon claims first", noPlacer, func(in *ClaimInput) { in.Rank, in.MaxLogLatency = 1, 400*time.Millisecond }, false},
		{"there is no placer and the log is slow", noPlacer, func(in *ClaimInput) { in.MaxLogLatency = 400 * time.Millisecond }, true},
		{"the placer is silent", placing, func(in *ClaimInput) { in.Now, in.CaughtUpAt = 102*second, 102*second }, true},
		{"the log was not read recently", placing, func(in *ClaimInput) { in.Now = 102 * second }, false},
		{"the log was unreadable during the silence", placing, func(in *ClaimInput) {
			in.Now, in.CaughtUpAt, in.ReadySince = 110*second, 110*second, 109*second+500*time.Millisecond
		}, false},
		{"the placer is silent, but the log is slow", placing, func(in *ClaimInput) {
			in.Now, in.CaughtUpAt, in.MaxLogLatency = 102*second, 102*second, 300*time.Millisecond
		}, false},
		{"a new placer is silent while it takes over", &flow.State{Claim: placing.Claim, LastHeard: 100 * second, ClaimedAt: 99 * second}, func(in *ClaimInput) { in.Now, in.CaughtUpAt = 102*second, 102*second }, false},
		{"a new placer is silent for longer than a takeover needs", &flow.State{Claim: placing.Claim, LastHeard: 100 * second, ClaimedAt: 99 * second}, func(in *ClaimInput) { in.Now, in.CaughtUpAt = 104*second, 104*second }, true},
		{"the placer is silent, but a daemon with more capacity claims first", placing, func(in *ClaimInput) { in.Now, in.CaughtUpAt, in.PreferOthers = 102*second, 102*second, true }, false},
		{"the placer is silent and the daemon with more capacity does not claim", placing, func(in *ClaimInput) { in.Now, in.CaughtUpAt, in.PreferOthers = 104*second, 104*second, true }, true},
		{"the placer is silent, but its records were infrequent before", placing, func(in *ClaimInput) {
			in.Now, in.CaughtUpAt, in.MaxRecordGap = 102*second, 102*second, 1200*time.Millisecond
		}, false},
		{"the log was never read to its end", placing, func(in *ClaimInput) { in.CaughtUpAt = 0 }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			in := base
			test.change(&in)
			_, claim := ShouldClaim(test.state, in)
			require.Equal(t, test.claim, claim)
		})
	}
}

// Guards against two claims with the same epoch, neither of which the log would reject.
func TestEpochsIncrease(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	s := &flow.State{}
	for range 1000 {
		next := NextEpoch(s, 0, rng)
		require.Greater(t, next, s.Claim.Epoch)
		require.NotEqual(t, next, NextEpoch(s, 0, rng))
		s.Claim.Epoch = next
	}
}

// Guards against all daemons of a large cell claiming at once when the placer is silent, as in
// 35 claims within two seconds, each of which fenced the one before. Also guards against a placer
// on a VM that is too small for it.
func TestDaemonsClaimInTurn(t *testing.T) {
	s := flow.NewState()
	add := func(name string, capacityFactor float64, logLatencyMS int64) flow.Hello {
		h := flow.Hello{Daemon: name, CapacityFactor: capacityFactor, LogLatencyMS: logLatencyMS}
		s.Members[name] = flow.Member{Hello: h, LastSeen: 100 * second}
		return h
	}
	order := []flow.Hello{
		add("near", 4, 4), add("near2", 4, 6), add("far", 4, 64), add("far2", 3.9, 63),
		add("small", 1, 4), add("small2", 1, 5), add("smallfar", 1, 64),
	}
	for i, h := range order {
		require.Equal(t, i, ClaimRank(s, h, 101*second), h.Daemon)
	}
	for i, h := range order {
		require.Equal(t, i >= 4, HasHigherCapacity(s, h, 101*second), h.Daemon)
	}
	s.Claim.Daemon = "near" // The unresponsive placer is excluded from the ranking.
	require.Equal(t, 0, ClaimRank(s, order[1], 101*second))
	s.Members["near2"] = flow.Member{Hello: order[1], LastSeen: 50 * second}
	require.Equal(t, 0, ClaimRank(s, order[2], 101*second))
}

// Guards against a placer that hands over to the daemon that a rolling restart stops next, or to
// one that has not replayed the log yet.
func TestSuccessorsAreThoseThatStartedLast(t *testing.T) {
	s := flow.NewState()
	const wallMS = 1_700_000_100_000
	for name, age := range map[string]int64{"old": 100_000, "older": 200_000, "young": 10_000, "newborn": 1_000, "self": 50_000} {
		s.Members[name] = flow.Member{Hello: flow.Hello{Daemon: name, CapacityFactor: 2, LogLatencyMS: 4, StartedMS: wallMS - age}, LastSeen: 100 * second}
	}
	s.Members["gone"] = flow.Member{Hello: flow.Hello{Daemon: "gone", CapacityFactor: 2, StartedMS: wallMS - 5_000}, LastSeen: 50 * second}
	var names []string
	for _, h := range Successors(s, "self", 101*second, wallMS) {
		names = append(names, h.Daemon)
	}
	require.Equal(t, []string{"young", "old", "older"}, names)
}

// Guards against claims that fence each other for seconds while they are queued at a slow log:
// with random epochs, the daemon of the lowest rank lost to later claims of others, as in thirty
// claims within two seconds.
func TestClaimsOfLaterRanksHaveLowerEpochs(t *testing.T) {
	s, rng := flow.NewState(), rand.New(rand.NewPCG(1, 2))
	s.Claim.Epoch = NextEpoch(s, 5, rng)
	for rank := range 70 {
		for later := rank + 1; later < min(70, epochRanks); later++ {
			require.Greater(t, NextEpoch(s, rank, rng), NextEpoch(s, later, rng))
		}
		require.Greater(t, NextEpoch(s, rank, rng), s.Claim.Epoch)
	}
}

// Guards against daemons that disagree on who claims next, because one of them sorts the candidates otherwise.
func TestCandidatesHaveOneOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 5))
	state := flow.NewState()
	var want []flow.Hello
	for i := range 200 {
		h := flow.Hello{Daemon: strconv.Itoa(i), CapacityFactor: 4 * rng.Float64(), LogLatencyMS: rng.Int64N(60), StartedMS: rng.Int64N(3)}
		state.Members[h.Daemon] = flow.Member{Hello: h, LastSeen: time.Second}
		want = append(want, h)
	}
	slices.SortFunc(want, CompareCandidates)
	list := slices.Collect(func(yield func(flow.Hello) bool) {
		for _, m := range state.Members {
			if !yield(m.Hello) {
				return
			}
		}
	})
	SortCandidates(list)
	require.Equal(t, want, list)
	require.Equal(t, want, Successors(state, "", time.Second, time.Hour.Milliseconds()))
	best, found := BestSuccessor(state, "", time.Second, time.Hour.Milliseconds())
	require.True(t, found)
	require.Equal(t, want[0], best)
}

// Guards against a daemon that never claims, because it takes a placer for alive that has been silent for too long.
func TestPlacerIsHeardOnlyWhileNoDaemonClaims(t *testing.T) {
	in := ClaimInput{Now: 100 * second, CaughtUpAt: 100 * second, ReadySince: second, FailoverTimeout: second}
	for silence := time.Duration(0); silence < 30*second; silence += 50 * time.Millisecond {
		for _, daemon := range []string{"", "a"} {
			s := &flow.State{Claim: flow.Claim{Daemon: daemon, Epoch: 1}, LastHeard: in.Now - silence}
			if _, claim := ShouldClaim(s, in); claim {
				require.False(t, PlacerHeard(s, &in), "placer %q, silent for %v", daemon, silence)
			}
			require.Equal(t, daemon == "a" && silence <= second, PlacerHeard(s, &in))
		}
	}
}
