package keylease

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a lease that counts from the answer, that outlives its term, and that comes back
// without a new reading.
func TestLeaseCountsFromTheSendingOfAReading(t *testing.T) {
	l := New(5 * time.Second)
	require.False(t, l.Holds(time.Second))
	require.False(t, l.Apply(Reading{SentAt: time.Second, Outcome: NothingNewer}, 2*time.Second), "no version was read")
	require.True(t, l.Apply(Reading{SentAt: time.Second, Outcome: VersionRead, Version: 3, Next: 4}, 2*time.Second))
	require.True(t, l.Holds(time.Second+l.Term()-1))
	require.False(t, l.Holds(time.Second+l.Term()))
	require.False(t, l.Apply(Reading{SentAt: time.Second, Outcome: NothingNewer, Next: 4}, 7*time.Second), "an answer that a frozen daemon reads late")
	require.False(t, l.Holds(7*time.Second))
	require.True(t, l.Apply(Reading{SentAt: 6 * time.Second, Outcome: NothingNewer, Next: 4}, 7*time.Second))
	require.True(t, l.Holds(7*time.Second))
}

// Guards against a lease that is renewed by older versions or beside a version that can't be read.
func TestOlderAndUnreadableVersionsRenewNothing(t *testing.T) {
	l := New(5 * time.Second)
	require.True(t, l.Apply(Reading{SentAt: time.Second, Outcome: VersionRead, Version: 7, Next: 10}, time.Second))
	require.False(t, l.Apply(Reading{SentAt: 2 * time.Second, Outcome: VersionRead, Version: 6, Next: 10}, 2*time.Second))
	l.Apply(Reading{SentAt: 2 * time.Second, Outcome: Unreadable, Next: 12}, 2*time.Second)
	require.False(t, l.Apply(Reading{SentAt: 3 * time.Second, Outcome: NothingNewer, Next: 12}, 3*time.Second))
	require.False(t, l.Apply(Reading{SentAt: 3 * time.Second, Outcome: VersionRead, Version: 7, Next: 10}, 3*time.Second), "sent before the unreadable version")
	require.True(t, l.Holds(5*time.Second))
	require.False(t, l.Holds(6*time.Second))
	require.True(t, l.Apply(Reading{SentAt: 6 * time.Second, Outcome: VersionRead, Version: 9, Next: 13}, 6*time.Second))
	require.True(t, l.Holds(7*time.Second))
}

// Guards against a daemon that refuses all keys for good because the first version took a term to read.
func TestLeaseBeginsAfterASlowFirstReading(t *testing.T) {
	l := New(time.Second)
	require.False(t, l.Apply(Reading{SentAt: time.Second, Outcome: VersionRead, Version: 1, Next: 1}, 9*time.Second))
	require.True(t, l.Apply(Reading{SentAt: 9 * time.Second, Outcome: NothingNewer, Next: 1}, 9*time.Second))
}

// Guards against expiry in a deployment that sets no bound.
func TestLeaseWithoutABoundHolds(t *testing.T) {
	require.True(t, New(0).Holds(time.Hour))
}

// publishedVersion is a version that the store acknowledged at a true time.
type publishedVersion struct {
	at       time.Duration
	keys     []int
	readable bool
}

// flight is a reading under way: it was sent at a time of the daemon's clock, shows the topic as it was
// when the store answered, and arrives later or never.
type flight struct {
	sentAt time.Duration // daemon's clock
	from   int
	upTo   int // number of versions published when the store answered
	served bool
}

// history plays a topic, one daemon and its readings.
type history struct {
	bound    time.Duration
	now      time.Duration // true time
	clock    time.Duration // of the daemon
	rate     float64       // of the daemon's clock
	versions []publishedVersion
	flights  []flight
	lease    *Lease
	inForce  int // version in force, counted from 1; 0 is none
	position int // versions read
}

func (h *history) advance(d time.Duration) {
	h.now += d
	h.clock += time.Duration(float64(d) * h.rate)
}

func (h *history) restart() {
	h.lease, h.inForce, h.position, h.flights = New(h.bound), 0, 0, nil
}

// arrive takes in a reading as a daemon does: the newest readable version after the position of the
// reading is put in force, unless it is older than the present one.
func (h *history) arrive(f flight) {
	r := Reading{SentAt: f.sentAt, Outcome: NothingNewer, Next: int64(f.upTo)}
	if f.upTo > f.from {
		r.Outcome = Unreadable
		if h.versions[f.upTo-1].readable {
			r.Outcome, r.Version = VersionRead, int64(f.upTo)
			h.inForce = max(h.inForce, f.upTo)
		}
	}
	h.position = max(h.position, f.upTo)
	h.lease.Apply(r, h.clock)
}

// mayWork reports whether some version that was the newest one within the bound has the key.
func (h *history) mayWork(key int) bool {
	for i, v := range h.versions {
		replacedAt := h.now
		if i+1 < len(h.versions) {
			replacedAt = h.versions[i+1].at
		}
		if replacedAt >= h.now-h.bound && slices.Contains(v.keys, key) {
			return true
		}
	}
	return false
}

// Guards against a keyed call that is accepted later than the bound after the acknowledgement of a
// version without its key, in random orders of versions, readable or not, lost and overtaking readings,
// cuts, freezes, restarts, and clocks that run 3% fast or slow. Steps of the time of day don't occur:
// the lease has no such clock. It also guards against a lease that a calm daemon doesn't get back.
func TestNoKeyWorksLongerThanTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{bound: 5 * time.Second, now: time.Hour, clock: time.Minute, rate: rapid.SampledFrom([]float64{0.97, 1, 1.03}).Draw(t, "rate")}
		h.restart()
		publish := func(keys []int, readable bool) {
			h.versions = append(h.versions, publishedVersion{h.now, keys, readable})
		}
		publish([]int{0, 1, 2}, true)
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) {
				publish(rapid.SliceOfDistinct(rapid.IntRange(0, 2), rapid.ID[int]).Draw(t, "keys"), rapid.IntRange(0, 3).Draw(t, "readable") > 0)
			},
			"send": func(t *rapid.T) {
				from := h.position
				if rapid.IntRange(0, 4).Draw(t, "whole") == 0 {
					from = 0
				}
				h.flights = append(h.flights, flight{sentAt: h.clock, from: from})
			},
			"serve": func(t *rapid.T) {
				if len(h.flights) == 0 {
					t.Skip()
				}
				f := &h.flights[rapid.IntRange(0, len(h.flights)-1).Draw(t, "flight")]
				f.upTo, f.served = max(f.from, len(h.versions)), true
			},
			"arrive": func(t *rapid.T) {
				if len(h.flights) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(h.flights)-1).Draw(t, "flight")
				if !h.flights[i].served {
					t.Skip()
				}
				f := h.flights[i]
				h.flights = slices.Delete(h.flights, i, i+1)
				h.arrive(f)
			},
			"read at once": func(*rapid.T) {
				h.arrive(flight{sentAt: h.clock, from: h.position, upTo: len(h.versions)})
			},
			"wait almost for the term": func(t *rapid.T) {
				age, _ := h.lease.Age(h.clock)
				left := h.lease.Term() - age - time.Duration(rapid.IntRange(1, 50).Draw(t, "ms"))*time.Millisecond
				h.advance(time.Duration(float64(max(left, 0)) / h.rate))
			},
			"cut":     func(*rapid.T) { h.flights = nil },
			"restart": func(*rapid.T) { h.restart() },
			"wait":    func(t *rapid.T) { h.advance(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond) },
			"freeze":  func(t *rapid.T) { h.advance(time.Duration(rapid.IntRange(1, 20).Draw(t, "s")) * time.Second) },
			"": func(t *rapid.T) {
				if h.inForce == 0 || !h.lease.Holds(h.clock) {
					return
				}
				for _, key := range h.versions[h.inForce-1].keys {
					if !h.mayWork(key) {
						t.Fatalf("key %d of version %d of %d works at %s, lease %s", key, h.inForce, len(h.versions), h.now, h.lease.State())
					}
				}
			},
		})
		publish([]int{0}, true)
		h.arrive(flight{sentAt: h.clock, from: 0, upTo: len(h.versions)})
		require.True(t, h.lease.Holds(h.clock), "state %s", h.lease.State())
	})
}

// Guards against a check that slows down every request with a key.
func BenchmarkHolds(b *testing.B) {
	l := New(5 * time.Second)
	l.Apply(Reading{SentAt: time.Second, Outcome: VersionRead, Version: 1, Next: 1}, time.Second)
	for b.Loop() {
		_ = l.Holds(2 * time.Second)
	}
}
