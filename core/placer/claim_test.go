package placer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/flow"
)

const second = time.Second

// Guards against claims while a placer is alive: after an outage of the log, by daemons
// that have just begun to read, and while the log itself is slow; and against a cell that
// waits although nobody places.
func TestShouldClaim(t *testing.T) {
	placing := &flow.State{Claim: flow.Claim{Daemon: "a", Epoch: 1}, LastHeard: 100 * second}
	free := &flow.State{LastHeard: 100 * second}
	near := ClaimInput{Now: 100*second + 200*time.Millisecond, ReadySince: 50 * second, CaughtUpAt: 100*second + 150*time.Millisecond, LogRoundTrip: 4 * time.Millisecond, FailoverTimeout: second}
	for _, test := range []struct {
		name   string
		state  *flow.State
		change func(*ClaimInput)
		claim  bool
	}{
		{"a placer was heard just now", placing, func(*ClaimInput) {}, false},
		{"nobody places", free, func(*ClaimInput) {}, true},
		{"nobody places, but a nearer daemon goes first", free, func(w *ClaimInput) { w.Rank = 4 }, false},
		{"nobody places, the nearer daemons do not claim", free, func(w *ClaimInput) { w.Rank, w.Now = 4, 101*second; w.CaughtUpAt = w.Now }, true},
		{"the log is slow and a nearer daemon goes first", free, func(w *ClaimInput) { w.Rank, w.MaxLogLatency = 1, 400*time.Millisecond }, false},
		{"nobody places and the log is slow", free, func(w *ClaimInput) { w.MaxLogLatency = 400 * time.Millisecond }, true},
		{"the placer is silent", placing, func(w *ClaimInput) { w.Now, w.CaughtUpAt = 102*second, 102*second }, true},
		{"the log was not read lately", placing, func(w *ClaimInput) { w.Now = 102 * second }, false},
		{"the log was not readable in between", placing, func(w *ClaimInput) {
			w.Now, w.CaughtUpAt, w.ReadySince = 110*second, 110*second, 109*second+500*time.Millisecond
		}, false},
		{"the log is slow, so is the placer", placing, func(w *ClaimInput) {
			w.Now, w.CaughtUpAt, w.MaxLogLatency = 102*second, 102*second, 300*time.Millisecond
		}, false},
		{"a new placer has not settled", &flow.State{Claim: placing.Claim, LastHeard: 100 * second, ClaimedAt: 99 * second}, func(w *ClaimInput) { w.Now, w.CaughtUpAt = 102*second, 102*second }, false},
		{"a new placer is lost", &flow.State{Claim: placing.Claim, LastHeard: 100 * second, ClaimedAt: 99 * second}, func(w *ClaimInput) { w.Now, w.CaughtUpAt = 104*second, 104*second }, true},
		{"a stronger daemon is there", placing, func(w *ClaimInput) { w.Now, w.CaughtUpAt, w.StrongerPresent = 102*second, 102*second, true }, false},
		{"no stronger daemon claims", placing, func(w *ClaimInput) { w.Now, w.CaughtUpAt, w.StrongerPresent = 104*second, 104*second, true }, true},
		{"the placer's records came seldom", placing, func(w *ClaimInput) {
			w.Now, w.CaughtUpAt, w.MaxRecordGap = 102*second, 102*second, 1200*time.Millisecond
		}, false},
		{"never read", placing, func(w *ClaimInput) { w.CaughtUpAt = 0 }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := near
			test.change(&w)
			_, claim := ShouldClaim(test.state, w)
			require.Equal(t, test.claim, claim)
		})
	}
}

// Guards against two claimants with the same epoch, of which the log would refuse neither.
func TestEpochsRise(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	s := &flow.State{}
	for range 1000 {
		next := NextEpoch(s, 0, rng)
		require.Greater(t, next, s.Claim.Epoch)
		require.NotEqual(t, next, NextEpoch(s, 0, rng))
		s.Claim.Epoch = next
	}
}

// Guards against all daemons of a large cell claiming at once when the placer is silent:
// 35 claims in two seconds, each of which fenced the one before (dosui-sched-grown,
// trouble-2), and against a placer on a VM that is too small for it.
func TestDaemonsClaimInTurn(t *testing.T) {
	s := flow.NewState()
	add := func(name string, strength float64, distanceMS int64) flow.Hello {
		h := flow.Hello{Daemon: name, CapacityFactor: strength, LogLatencyMS: distanceMS}
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
		require.Equal(t, i >= 4, HasStronger(s, h, 101*second), h.Daemon)
	}
	s.Claim.Daemon = "near" // it is the one that is silent
	require.Equal(t, 0, ClaimRank(s, order[1], 101*second))
	s.Members["near2"] = flow.Member{Hello: order[1], LastSeen: 50 * second}
	require.Equal(t, 0, ClaimRank(s, order[2], 101*second))
}

// Guards against a placer that hands over to the daemon that is stopped next, or to one
// that has not read the log yet.
func TestSuccessorsAreThoseThatStartedLast(t *testing.T) {
	s := flow.NewState()
	const wall = 1_700_000_100_000
	for name, age := range map[string]int64{"old": 100_000, "older": 200_000, "young": 10_000, "newborn": 1_000, "self": 50_000} {
		s.Members[name] = flow.Member{Hello: flow.Hello{Daemon: name, CapacityFactor: 2, LogLatencyMS: 4, StartedMS: wall - age}, LastSeen: 100 * second}
	}
	s.Members["gone"] = flow.Member{Hello: flow.Hello{Daemon: "gone", CapacityFactor: 2, StartedMS: wall - 5_000}, LastSeen: 50 * second}
	var names []string
	for _, h := range Successors(s, "self", 101*second, wall) {
		names = append(names, h.Daemon)
	}
	require.Equal(t, []string{"young", "old", "older"}, names)
}

// Guards against claims that fence each other for seconds while a slow log keeps them
// waiting: each had a random epoch, so the daemon that was to claim first lost to others
// that came later (trouble-2 of dosui-sched-large, thirty claims in two seconds).
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
