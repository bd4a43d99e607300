package ownership

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"briarproxy/core/record"
)

func init() {
	_ = flag.Set("rapid.seed", "20260301")
	_ = flag.Set("rapid.checks", "100")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.shrinktime", "2s")
}

const (
	step       = 250 * time.Millisecond
	faultSteps = 480
	quietSteps = 160
	maxDelay   = 32 // steps; longer than a lease
	window     = 32 // records, about 15 s; longer than maxDelay
)

type entry struct {
	offset int64
	rec    record.Record
}

type message struct {
	at  int // step at which the append takes effect
	rec record.Record
}

type batch struct {
	at      int // step at which the answer to the read arrives
	entries []entry
}

type simDaemon struct {
	state             *State
	id                Identity
	ppm               int64
	counter, position int64
	nextBeat          time.Duration
	pausedTo, cutTo   int
	reads             []batch
	full              bool // has read the log from its beginning
}

type sim struct {
	t       *rapid.T
	random  *rand.Rand // rapid's own draws favour small values, which makes nearly every step a fault
	now     int
	log     []entry
	network []message
	daemons []*simDaemon
	units   []Unit
	epochs  map[string]int64
}

func (d *simDaemon) clock(stepNo int) time.Duration {
	real := time.Duration(stepNo) * step
	return time.Hour + real + time.Duration(int64(real)*d.ppm/1_000_000)
}

func (s *sim) start(d *simDaemon) {
	d.id.Incarnation++
	timing := DefaultTiming()
	timing.Window = window
	d.state = New(d.id, timing)
	d.counter, d.reads, d.nextBeat = 0, nil, 0
	d.position = max(0, int64(len(s.log))-timing.History())
	d.full = d.position == 0
	d.state.StartAt(d.position)
}

func (s *sim) send(d *simDaemon, r record.Record, quiet bool) {
	d.counter++
	r.ID = record.ID{Daemon: d.id.Name, Incarnation: d.id.Incarnation, Counter: d.counter}
	d.state.Sending(r.ID, d.clock(s.now))
	delay := 0
	if !quiet {
		delay = max(0, s.random.IntN(2*maxDelay)-maxDelay)
		if s.random.IntN(10) == 0 {
			return
		}
	}
	s.network = append(s.network, message{at: s.now + delay, rec: r})
}

func (s *sim) run(d *simDaemon, quiet bool) {
	now := d.clock(s.now)
	for len(d.reads) > 0 && d.reads[0].at <= s.now {
		for _, e := range d.reads[0].entries {
			d.state.Apply(e.offset, e.rec, now)
		}
		d.state.ReadSucceeded(now)
		d.reads = d.reads[1:]
	}
	if len(d.reads) == 0 && d.cutTo <= s.now {
		delay := 1
		if !quiet {
			delay += max(0, s.random.IntN(16)-8)
		}
		d.reads = append(d.reads, batch{at: s.now + delay, entries: s.log[d.position:]})
		d.position = int64(len(s.log))
	}
	if now < d.nextBeat {
		return
	}
	d.nextBeat = now + 2*time.Second
	s.send(d, record.Record{Heartbeat: &record.Heartbeat{Sequence: d.counter, Region: "r", DataCentre: "dc", Units: d.state.Held()}}, quiet)
	plan := d.state.Decide(now, s.units, false)
	if len(plan.Claims) > 0 {
		s.send(d, record.Record{Claim: &record.Claim{Units: plan.Claims}}, quiet)
	}
	if len(plan.Releases) > 0 {
		s.send(d, record.Record{Release: &record.Release{Units: plan.Releases}}, quiet)
	}
}

func (s *sim) injectFault() {
	d := s.daemons[s.random.IntN(len(s.daemons))]
	length := 1 + s.random.IntN(60)
	switch s.random.IntN(60) {
	case 0:
		d.pausedTo = s.now + length
	case 1:
		d.cutTo = s.now + length
	case 2:
		s.start(d)
		d.pausedTo = s.now + length
	}
}

func (s *sim) advance(quiet bool) {
	s.now++
	if !quiet {
		s.injectFault()
	}
	for i := 0; i < len(s.network); i++ {
		if m := s.network[i]; m.at <= s.now {
			s.log = append(s.log, entry{offset: int64(len(s.log)), rec: m.rec})
			s.network = slices.Delete(s.network, i, i+1)
			i--
		}
	}
	for _, d := range s.daemons {
		if d.pausedTo <= s.now {
			s.run(d, quiet)
		}
	}
	s.check()
}

// naiveOwner folds the whole log for one unit, without late starts.
func naiveOwner(log []entry, next int64, unit string) (owner Identity, epoch int64) {
	last := record.NoRecord
	for _, e := range log[:next] {
		if e.offset-last > window {
			owner, last = Identity{}, record.NoRecord
		}
		from := Identity{Name: e.rec.ID.Daemon, Incarnation: e.rec.ID.Incarnation}
		if c := e.rec.Claim; c != nil && slices.Contains(c.Units, record.ClaimedUnit{Name: unit, Supersedes: last}) {
			owner, epoch, last = from, e.offset, e.offset
		}
		if h := e.rec.Heartbeat; h != nil && from == owner && slices.Contains(h.Units, record.HeldUnit{Name: unit, Epoch: epoch}) {
			last = e.offset
		}
		if r := e.rec.Release; r != nil && from == owner && slices.Contains(r.Units, record.HeldUnit{Name: unit, Epoch: epoch}) {
			owner = Identity{}
		}
	}
	if next-last > window {
		owner = Identity{}
	}
	return owner, epoch
}

func (s *sim) check() {
	for _, unit := range s.units {
		holders := 0
		for _, d := range s.daemons {
			if d.state.LeaseUntil(unit.Name) > d.clock(s.now) {
				holders++
				h, _ := d.state.Owner(unit.Name)
				require.GreaterOrEqual(s.t, h.Epoch, s.epochs[unit.Name], "epoch of %s fell", unit.Name)
				s.epochs[unit.Name] = h.Epoch
			}
			if s.now%16 == 0 && d.full {
				owner, epoch := naiveOwner(s.log, d.state.next, unit.Name)
				h, held := d.state.Owner(unit.Name)
				require.Equal(s.t, owner != Identity{}, held)
				if held {
					require.Equal(s.t, owner, h.Owner)
					require.Equal(s.t, epoch, h.Epoch)
				}
			}
		}
		require.LessOrEqual(s.t, holders, 1, "step %d: %s has two holders", s.now, unit.Name)
	}
}

// Guards against two daemons that hold a valid lease of one unit at the same
// instant, against falling epochs, against readers that reach different verdicts,
// and against units that stay without an owner after the faults have ended.
func TestOneHolderUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		s := &sim{t: t, random: rand.New(rand.NewPCG(seed, 1)), epochs: map[string]int64{}}
		for i := range 5 {
			s.units = append(s.units, Unit{Name: fmt.Sprintf("shard:%02d", i)})
		}
		for i := range 3 {
			d := &simDaemon{id: Identity{Name: string(rune('a' + i))}, ppm: rapid.Int64Range(-250, 250).Draw(t, "drift")}
			s.start(d)
			s.daemons = append(s.daemons, d)
		}
		for range faultSteps {
			s.advance(false)
		}
		for _, d := range s.daemons {
			d.pausedTo, d.cutTo = 0, 0
		}
		for range quietSteps {
			s.advance(true)
		}
		for _, unit := range s.units {
			valid := 0
			for _, d := range s.daemons {
				if d.state.LeaseUntil(unit.Name) > d.clock(s.now) {
					valid++
				}
			}
			require.Equal(t, 1, valid, "%s has no holder after the faults ended", unit.Name)
		}
	})
}

func beat(name string, sequence int64, units ...record.HeldUnit) record.Record {
	return record.Record{ID: record.ID{Daemon: name, Incarnation: 1, Counter: sequence},
		Heartbeat: &record.Heartbeat{Sequence: sequence, Units: units}}
}

func claim(name string, counter int64, unit string, supersedes int64) record.Record {
	return record.Record{ID: record.ID{Daemon: name, Incarnation: 1, Counter: counter},
		Claim: &record.Claim{Units: []record.ClaimedUnit{{Name: unit, Supersedes: supersedes}}}}
}

// Guards against a daemon that calls a lease lapsed, or claims every unit, right
// after it has started, and against a claim while the log cannot be read.
func TestNewReaderWatchesOneLeaseBeforeClaiming(t *testing.T) {
	timing := DefaultTiming()
	s := New(Identity{Name: "b", Incarnation: 1}, timing)
	units := []Unit{{Name: "shard:00"}, {Name: "shard:01"}}
	s.StartAt(0)
	s.Apply(0, claim("a", 1, "shard:00", record.NoRecord), 0)
	now := time.Duration(0)
	s.ReadSucceeded(now)
	for s.Apply(1, beat("b", 1), 0); now < timing.TakeoverWait(); now += time.Second {
		s.Apply(2+int64(now/time.Second), beat("b", 2+int64(now)), now)
		s.ReadSucceeded(now)
		require.Empty(t, s.Decide(now, units, false).Claims, "at %s", now)
	}
	s.ReadSucceeded(now)
	require.Equal(t, []record.ClaimedUnit{{Name: "shard:00", Supersedes: 0}, {Name: "shard:01", Supersedes: record.NoRecord}},
		s.Decide(now, units, false).Claims)
	now += timing.Lease * 2 / 3
	require.Empty(t, s.Decide(now, units, false).Claims, "the log was not read for most of a lease")
	s.ReadSucceeded(now)
	require.Empty(t, s.Decide(now, units, false).Claims, "owners have not had time to renew")
}

// Guards against a reader that starts in the middle of the log and keeps a claim
// for valid that readers of the whole log reject.
func TestLateReaderIsCorrectedByHeartbeats(t *testing.T) {
	unit := "shard:00"
	log := []record.Record{claim("a", 1, unit, record.NoRecord), claim("b", 1, unit, record.NoRecord),
		beat("a", 2, record.HeldUnit{Name: unit}), claim("b", 2, unit, 0), claim("c", 1, unit, 2), beat("c", 2, record.HeldUnit{Name: unit, Epoch: 4})}
	whole := New(Identity{Name: "z"}, DefaultTiming())
	for offset, r := range log {
		whole.Apply(int64(offset), r, 0)
	}
	want, _ := whole.Owner(unit)
	require.Equal(t, "c", want.Owner.Name)
	for start := 1; start < len(log); start++ {
		late := New(Identity{Name: "z"}, DefaultTiming())
		late.StartAt(int64(start))
		for offset, r := range log[start:] {
			late.Apply(int64(start+offset), r, 0)
			if h, _ := late.Owner(unit); start == 1 && offset == 1 {
				require.Equal(t, "a", h.Owner.Name)
			}
		}
		got, _ := late.Owner(unit)
		require.Equal(t, want, got, "start at %d", start)
	}
}

// Guards against a claim that overrides a renewal appended before it, against a
// heartbeat of a non-owner that renews, and against release by a non-owner.
func TestLogOrderDecides(t *testing.T) {
	s := New(Identity{Name: "z", Incarnation: 1}, DefaultTiming())
	unit := "rack:dc/r1"
	s.Apply(0, claim("a", 1, unit, record.NoRecord), 0)
	s.Apply(1, beat("a", 2, record.HeldUnit{Name: unit, Epoch: 0}), 0)
	s.Apply(2, claim("b", 1, unit, 0), 0)
	s.Apply(3, beat("b", 2, record.HeldUnit{Name: unit, Epoch: 2}), 0)
	s.Apply(4, record.Record{ID: record.ID{Daemon: "b", Incarnation: 1, Counter: 3}, Release: &record.Release{Units: []record.HeldUnit{{Name: unit}}}}, 0)
	h, ok := s.Owner(unit)
	require.True(t, ok)
	require.Equal(t, Holding{Owner: Identity{Name: "a", Incarnation: 1}, Epoch: 0, Last: 1}, h)
	s.Apply(5, claim("b", 4, unit, 1), 0)
	h, _ = s.Owner(unit)
	require.Equal(t, "b", h.Owner.Name)
	require.EqualValues(t, 5, h.Epoch)
}

// Guards against moves that are immediate, unlimited, or made by a draining daemon
// that keeps its units, and against shares that are far from equal.
func TestMovesSettleAndAreLimited(t *testing.T) {
	timing := DefaultTiming()
	s := New(Identity{Name: "a", Incarnation: 1}, timing)
	var units []Unit
	for i := range 64 {
		units = append(units, Unit{Name: fmt.Sprintf("shard:%02d", i)})
		s.Apply(int64(i), claim("a", int64(i), units[i].Name, record.NoRecord), 0)
	}
	offset, released := int64(64), 0
	for now := time.Duration(0); now <= timing.TakeoverWait()+timing.Settle+2*time.Second; now += time.Second {
		s.Apply(offset, beat("a", offset, s.Held()...), now)
		s.Apply(offset+1, beat("b", offset), now)
		offset += 2
		s.ReadSucceeded(now)
		plan := s.Decide(now, units, false)
		if now < timing.TakeoverWait()+timing.Settle {
			require.Empty(t, plan.Releases)
		}
		released = max(released, len(plan.Releases))
	}
	require.Equal(t, timing.MaxMoves, released)
	require.Len(t, s.Decide(0, units, true).Releases, 64)
	require.Empty(t, s.Held())
	counts := map[string]int{}
	for _, unit := range units {
		counts[WantedOwner(unit, s.candidates(timing.Lease))]++
	}
	require.InDelta(t, 32, counts["b"], 12)
}

// Guards against a wanted owner in another data centre or region while a daemon of
// the rack's own exists.
func TestWantedOwnerPrefersNear(t *testing.T) {
	member := func(name, region, dc string) Member {
		return Member{Identity: Identity{Name: name}, Heartbeat: record.Heartbeat{Region: region, DataCentre: dc}}
	}
	far, near, same := member("far", "r2", "d3"), member("near", "r1", "d2"), member("same", "r1", "d1")
	unit := Unit{Name: "rack:d1/x", Region: "r1", DataCentre: "d1"}
	require.Equal(t, "same", WantedOwner(unit, []Member{far, near, same}))
	require.Equal(t, "near", WantedOwner(unit, []Member{far, near}))
	require.Equal(t, "far", WantedOwner(unit, []Member{far}))
	require.Empty(t, WantedOwner(unit, nil))
}

// Guards against a successor that takes a lapsed lease for a release, and against the
// release of a unit that must be kept.
func TestReleasesAreToldApartAndCanBeForbidden(t *testing.T) {
	s := New(Identity{Name: "z"}, DefaultTiming())
	s.StartAt(0)
	s.Apply(0, claim("a", 1, "rack:x", record.NoRecord), 0)
	s.Apply(1, claim("b", 1, "rack:x", 0), 0)
	h, _ := s.Owner("rack:x")
	require.False(t, h.AfterRelease, "the lease of a ran out")
	release := record.Release{Units: []record.HeldUnit{{Name: "rack:x", Epoch: 1}}}
	s.Apply(2, record.Record{ID: record.ID{Daemon: "b", Incarnation: 1, Counter: 2}, Release: &release}, 0)
	s.Apply(3, claim("a", 2, "rack:x", 1), 0)
	h, _ = s.Owner("rack:x")
	require.Equal(t, "a", h.Owner.Name)
	require.True(t, h.AfterRelease)

	mine := New(Identity{Name: "a", Incarnation: 1}, DefaultTiming())
	mine.StartAt(0)
	mine.Apply(0, claim("a", 1, "rack:x", record.NoRecord), 0)
	require.Empty(t, mine.Decide(0, []Unit{{Name: "rack:x", Keep: true}}, true).Releases)
	require.Len(t, mine.Decide(0, []Unit{{Name: "rack:x"}}, true).Releases, 1)
}
