package control

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/record"
	"briarproxy/core/wire"
	"briarproxy/daemon/bootclock"
)

// Guards against units that two daemons hold at once or nobody holds, against one
// daemon that claims everything at a common start, and against units of a stopped
// daemon that are not taken over.
func TestDaemonsShareAndTakeOver(t *testing.T) {
	log := newMemoryLog()
	a, b := startDaemon(t, log, "a"), startDaemon(t, log, "b")
	noneTwice := func() int {
		before, ofB, after := a.held(), b.held(), a.held()
		for unit, epoch := range before {
			// Held at both times, so also at the time between them.
			if again, still := after[unit]; still && again == epoch {
				require.NotContains(t, ofB, unit, "%s has two holders", unit)
			}
		}
		return len(after) + len(ofB)
	}
	eventually(t, "all units are held", func() bool { return noneTwice() == allUnits })
	require.Greater(t, len(a.held()), allUnits/5)
	require.Greater(t, len(b.held()), allUnits/5)
	require.Equal(t, "w1", b.View.Current().VMs["w1"].Name)
	a.stop()
	eventually(t, "the rest is taken over", func() bool { noneTwice(); return len(b.held()) == allUnits })
	require.False(t, b.View.Current().Daemons["a"].Live)
}

// Guards against a snapshot that loses units or daemons during a log outage, and
// against owners and epochs that change although everybody comes back.
func TestLogOutageKeepsTheSnapshot(t *testing.T) {
	log := newMemoryLog()
	a := startDaemon(t, log, "a")
	eventually(t, "all units are held", func() bool { return len(a.held()) == allUnits })
	before := a.View.Current()
	require.True(t, before.LogHealthy)
	log.set(func() { log.down = true })
	eventually(t, "the outage is noticed", func() bool { return !a.View.Current().LogHealthy })
	require.Empty(t, a.held(), "leases have ended")
	during := a.View.Current()
	require.True(t, during.Daemons["a"].Live)
	require.Len(t, during.Units, len(before.Units))
	for name, u := range before.Units {
		require.True(t, during.Units[name].Mine, name)
		require.Equal(t, u.Epoch, during.Units[name].Epoch)
	}
	log.set(func() { log.down = false })
	eventually(t, "leases are valid again", func() bool { return len(a.held()) == allUnits })
	require.Equal(t, before.Units["shard:00"].Epoch, a.View.Current().Units["shard:00"].Epoch)
}

// Guards against a planned stop that leaves units to their leases, that sends the
// release while the rest of the daemon still acts for the units, or that claims
// again while draining.
func TestPlannedStopPublishesBeforeTheRelease(t *testing.T) {
	log := newMemoryLog()
	a := startDaemon(t, log, "a")
	eventually(t, "all units are held", func() bool { return len(a.held()) == allUnits })
	var mu sync.Mutex
	var early []string
	released, claimed := 0, 0
	log.set(func() {
		log.watch = func(_ string, data []byte) {
			mu.Lock()
			defer mu.Unlock()
			records, _ := record.Decode(data)
			for _, r := range records {
				if r.Claim != nil {
					claimed++
				}
				if r.Release == nil {
					continue
				}
				for _, unit := range r.Release.Units {
					released++
					if a.View.Current().Units[unit.Name].Mine {
						early = append(early, unit.Name)
					}
				}
			}
		}
	})
	a.Drain()
	eventually(t, "the heartbeat says draining", func() bool { return a.View.Current().Daemons["a"].Draining })
	require.Len(t, a.held(), allUnits, "a draining daemon keeps its units until the release")
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	require.True(t, a.ReleaseAll(ctx))
	require.Empty(t, a.held())
	time.Sleep(2 * testLease)
	require.Empty(t, a.held(), "a stopping daemon claims nothing")
	a.stop()
	mu.Lock()
	defer mu.Unlock()
	require.Empty(t, early, "sent before the snapshot without the units was published")
	require.GreaterOrEqual(t, released, allUnits)
	require.Zero(t, claimed)
}

// Guards against a takeover before the holder's lease has ended: a daemon that
// starts reads an old heartbeat, whose age it can't know, and must wait for a lease
// from then on. Guards also against a silent holder that keeps its units for ever.
func TestClaimsWaitForTheLeaseOfTheLastHeartbeat(t *testing.T) {
	log := newMemoryLog()
	old := func(r record.Record) {
		r.ID.Daemon, r.ID.Incarnation = "gone", 1
		data, err := record.Encode(r)
		require.NoError(t, err)
		_, err = log.Append(t.Context(), wire.StreamMembers, data, nil)
		require.NoError(t, err)
	}
	unit := wire.ShardUnit(7)
	old(record.Record{ID: record.ID{Counter: 1}, Claim: &record.Claim{Units: []record.ClaimedUnit{{Name: unit, Supersedes: record.NoRecord}}}})
	old(record.Record{ID: record.ID{Counter: 2}, Heartbeat: &record.Heartbeat{Sequence: 1, Units: []record.HeldUnit{{Name: unit, Epoch: 1}}}})
	began := bootclock.Now()
	var mu sync.Mutex
	claimedAfter := map[string]time.Duration{}
	supersedes := int64(0)
	log.set(func() {
		log.watch = func(_ string, data []byte) {
			mu.Lock()
			defer mu.Unlock()
			records, _ := record.Decode(data)
			for _, r := range records {
				if r.Claim == nil {
					continue
				}
				for _, u := range r.Claim.Units {
					claimedAfter[u.Name] = bootclock.Now() - began
					if u.Name == unit {
						supersedes = u.Supersedes
					}
				}
			}
		}
	})
	a := startDaemon(t, log, "a")
	eventually(t, "all units are held", func() bool { return len(a.held()) == allUnits })
	mu.Lock()
	defer mu.Unlock()
	require.Greater(t, claimedAfter[unit], testLease)
	require.EqualValues(t, 2, supersedes, "the heartbeat is the newest record of the former holder")
	require.False(t, a.View.Current().Daemons["gone"].Live)
}

// Guards against a lease that is counted from the answer or from the reading of the
// heartbeat, and against a heartbeat that lands late and prolongs a lease that has
// ended: other daemons may have claimed by then.
func TestLeaseCountsFromBeforeTheSend(t *testing.T) {
	log := newMemoryLog()
	var mu sync.Mutex
	newest := time.Duration(0)
	log.watch = func(stream string, data []byte) {
		if stream != wire.StreamMembers {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		newest = bootclock.Now()
	}
	a := startDaemon(t, log, "a")
	check := func() {
		leases := a.View.Current().Units
		mu.Lock()
		defer mu.Unlock()
		for name, u := range leases {
			if u.Mine {
				require.LessOrEqual(t, u.LeaseUntil, newest+testLease, name)
			}
		}
	}
	eventually(t, "all units are held", func() bool { check(); return len(a.held()) == allUnits })
	log.set(func() { log.late = testLease + 500*time.Millisecond })
	eventually(t, "leases end", func() bool { check(); return len(a.held()) == 0 })
	late := bootclock.Now() + 2*time.Second
	for bootclock.Now() < late {
		check()
		require.Empty(t, a.held(), "a heartbeat that landed after its lease gives no right")
		time.Sleep(10 * time.Millisecond)
	}
}
