package ownership

import (
	"cmp"
	"slices"
	"time"

	"briarproxy/core/record"
)

// maxPendingSends bounds the remembered sends whose record has not been read back.
const maxPendingSends = 256

// Identity is one run of a daemon.
type Identity struct {
	Name        string
	Incarnation int64
}

// Holding is the last known ownership of a unit.
type Holding struct {
	Owner  Identity      // zero when the unit was released
	Epoch  int64         // offset of the claim; kept after a release
	Last   int64         // offset of the last claim or heartbeat that held the unit
	ReadAt time.Duration // when this daemon read the record at Last
	// AfterRelease is set when the former owner had released the unit before the
	// claim: it has not acted for the unit since.
	AfterRelease bool
	// tentative is set when the claim could not be checked because the reader started
	// after its history, and no heartbeat has confirmed it yet.
	tentative bool
}

// Free reports whether the unit was released.
func (h Holding) Free() bool { return h.Owner == Identity{} }

// Member is a daemon as its newest heartbeat describes it.
type Member struct {
	Identity
	Heartbeat record.Heartbeat
	ReadAt    time.Duration // when this daemon read the heartbeat
}

// State is the ownership of all units after a prefix of the log. It is not safe for
// concurrent use.
type State struct {
	self     Identity
	timing   Timing
	start    int64 // first offset that was read; record.NoRecord before that
	next     int64 // offset after the last applied one
	units    map[string]Holding
	members  map[string]Member
	sends    map[int64]time.Duration // counter of own records, time before their send
	leases   map[string]time.Duration
	givenUp  map[string]int64         // own units whose release is decided, with their epochs
	unwanted map[string]time.Duration // own units and since when another daemon is wanted
	lastRead time.Duration
	watching time.Duration // start of the current uninterrupted reading
	hasRead  bool
	movesAt  []time.Duration // times of recent releases for a move
	cache    wantedCache
}

// New returns the state of a reader that has read nothing.
func New(self Identity, timing Timing) *State {
	s := &State{self: self, timing: timing}
	s.Reset()
	return s
}

// Reset forgets everything that was read from the log. It is used when the log no
// longer has the records after the last one applied.
func (s *State) Reset() {
	s.start = record.NoRecord
	s.next = 0
	s.units = map[string]Holding{}
	s.members = map[string]Member{}
	s.sends = map[int64]time.Duration{}
	s.leases = map[string]time.Duration{}
	s.givenUp = map[string]int64{}
	s.unwanted = map[string]time.Duration{}
	s.hasRead = false
}

// StartAt sets the first offset that will be applied: the later of the first
// retained offset and Timing.History records before the end of the log.
func (s *State) StartAt(offset int64) { s.start = offset }

// Sending notes the time before a record of this daemon is sent.
func (s *State) Sending(id record.ID, now time.Duration) {
	if len(s.sends) >= maxPendingSends {
		oldest := id.Counter
		for counter := range s.sends {
			oldest = min(oldest, counter)
		}
		delete(s.sends, oldest)
	}
	s.sends[id.Counter] = now
}

// Apply applies one record at its log offset. readAt is the boot clock after the
// record was received; it has no influence on owners and epochs. Records of one
// append have the same offset.
func (s *State) Apply(offset int64, r record.Record, readAt time.Duration) {
	if s.start == record.NoRecord {
		s.start = offset
	}
	s.next = max(s.next, offset+1)
	sender := Identity{Name: r.ID.Daemon, Incarnation: r.ID.Incarnation}
	switch {
	case r.Heartbeat != nil:
		s.applyHeartbeat(offset, sender, r, readAt)
	case r.Claim != nil:
		s.applyClaim(offset, sender, r, readAt)
	case r.Release != nil:
		s.applyRelease(sender, r.Release)
	}
	if sender == s.self {
		delete(s.sends, r.ID.Counter)
	}
}

func (s *State) applyHeartbeat(offset int64, sender Identity, r record.Record, readAt time.Duration) {
	known, found := s.members[sender.Name]
	newer := !found || sender.Incarnation > known.Incarnation ||
		(sender.Incarnation == known.Incarnation && r.Heartbeat.Sequence > known.Heartbeat.Sequence)
	if newer {
		s.members[sender.Name] = Member{Identity: sender, Heartbeat: *r.Heartbeat, ReadAt: readAt}
	}
	for _, held := range r.Heartbeat.Units {
		holding, found := s.holding(held.Name, offset)
		switch {
		case found && holding.Owner == sender && holding.Epoch == held.Epoch:
			holding.Last = offset
			holding.ReadAt = readAt
			holding.tentative = false
			s.units[held.Name] = holding
			s.extendLease(held.Name, r.ID)
		case s.learns(holding, found, held, offset):
			s.units[held.Name] = Holding{Owner: sender, Epoch: held.Epoch, Last: offset, ReadAt: readAt}
			s.extendLease(held.Name, r.ID)
		}
	}
}

// learns reports whether a heartbeat tells this reader of a claim that it could not
// read or judge because it started in the middle of the log. Daemons list only
// claims that they know to be valid, so a higher epoch replaces a lower one.
func (s *State) learns(holding Holding, found bool, held record.HeldUnit, offset int64) bool {
	switch {
	case s.start == 0:
		return false
	case !found:
		return offset < s.horizon()
	case holding.tentative:
		return true
	default:
		return held.Epoch > holding.Epoch && held.Epoch < s.horizon()
	}
}

// horizon is the offset up to which missing history can matter to this reader.
func (s *State) horizon() int64 { return s.start + 2*s.timing.Window }

func (s *State) applyClaim(offset int64, sender Identity, r record.Record, readAt time.Duration) {
	for _, claimed := range r.Claim.Units {
		if !s.claimValid(claimed, offset) {
			continue
		}
		old, found := s.holding(claimed.Name, offset)
		tentative := s.start > 0 && (old.tentative || !found && offset < s.horizon())
		s.units[claimed.Name] = Holding{Owner: sender, Epoch: offset, Last: offset, ReadAt: readAt, AfterRelease: found && old.Free(), tentative: tentative}
		delete(s.leases, claimed.Name)
		delete(s.unwanted, claimed.Name)
		s.extendLease(claimed.Name, r.ID)
	}
}

func (s *State) claimValid(claimed record.ClaimedUnit, offset int64) bool {
	holding, found := s.holding(claimed.Name, offset)
	if found {
		return claimed.Supersedes == holding.Last
	}
	return claimed.Supersedes == record.NoRecord || (s.start > 0 && offset < s.horizon())
}

func (s *State) applyRelease(sender Identity, release *record.Release) {
	for _, unit := range release.Units {
		holding, found := s.units[unit.Name]
		if !found || holding.Owner != sender || holding.Epoch != unit.Epoch {
			continue
		}
		holding.Owner = Identity{}
		holding.tentative = false
		s.units[unit.Name] = holding
	}
}

// holding returns the holding of a unit as it counts for a record at the offset.
func (s *State) holding(unit string, offset int64) (Holding, bool) {
	h, found := s.units[unit]
	if !found || offset-h.Last > s.timing.Window {
		return Holding{}, false
	}
	return h, true
}

// extendLease extends this daemon's lease from before the send of its own record.
func (s *State) extendLease(unit string, id record.ID) {
	if id.Daemon != s.self.Name || id.Incarnation != s.self.Incarnation {
		return
	}
	sent, found := s.sends[id.Counter]
	if !found {
		return
	}
	s.leases[unit] = max(s.leases[unit], sent+s.timing.Lease)
}

// Owner returns the holding of a unit; ok is false if it is free.
func (s *State) Owner(unit string) (h Holding, ok bool) {
	h, found := s.holding(unit, s.next)
	return h, found && !h.Free()
}

// Units calls visit for every unit with an owner.
func (s *State) Units(visit func(unit string, h Holding)) {
	for name := range s.units {
		if h, ok := s.Owner(name); ok {
			visit(name, h)
		}
	}
}

// Held returns this daemon's units with their epochs, sorted by name, for a
// heartbeat. Units whose release is decided are left out.
func (s *State) Held() []record.HeldUnit {
	var held []record.HeldUnit
	s.Units(func(unit string, h Holding) {
		if s.holds(unit, h) {
			held = append(held, record.HeldUnit{Name: unit, Epoch: h.Epoch})
		}
	})
	slices.SortFunc(held, func(a, b record.HeldUnit) int { return cmp.Compare(a.Name, b.Name) })
	return held
}

func (s *State) holds(unit string, h Holding) bool {
	epoch, givenUp := s.givenUp[unit]
	return h.Owner == s.self && !(givenUp && epoch == h.Epoch)
}

// LeaseUntil returns the end of this daemon's lease of a unit, 0 if it has none.
func (s *State) LeaseUntil(unit string) time.Duration {
	h, ok := s.Owner(unit)
	if !ok || !s.holds(unit, h) {
		return 0
	}
	return s.leases[unit]
}

// Members calls visit for every known daemon.
func (s *State) Members(visit func(m Member, live bool), now time.Duration) {
	for _, m := range s.members {
		visit(m, s.live(m, now))
	}
}

func (s *State) live(m Member, now time.Duration) bool {
	return now-m.ReadAt <= s.timing.TakeoverWait()
}

// ReadSucceeded notes that everything up to the end of the log was read at now.
func (s *State) ReadSucceeded(now time.Duration) {
	if !s.hasRead || now-s.lastRead > s.timing.Lease/2 {
		s.watching = now
	}
	s.hasRead = true
	s.lastRead = now
}

// Started reports whether the first offset is set.
func (s *State) Started() bool { return s.start != record.NoRecord }
