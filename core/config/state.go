package config

import (
	"briarproxy/core/chart"
	"briarproxy/core/fault"
	"briarproxy/core/object"
)

const (
	// maxHistory bounds the entries and verdicts that are kept.
	maxHistory = 4096
	// maxRecent bounds the publications that a snapshot older than them can be
	// brought up to date with. A snapshot is appended within an append delay of the
	// state that it holds, so few publications lie between.
	maxRecent = 16
)

// Entry is an accepted version. A snapshot gives an entry without Offset.
type Entry struct {
	Version int64
	ID      string
	Base    int64
	Author  string
	Message string
	Offset  int64       // log offset, -1 if it was learned from a snapshot
	State   chart.State // Accepted for the newest version, Superseded for others
}

// Verdict says what became of a publication.
type Verdict struct {
	Accepted bool
	Version  int64 // the accepted version
	Base     int64
	Winner   Entry       // if refused: the version that took the place, or else the newest
	State    chart.State // of the publication when it was judged
}

// Err returns nil for an accepted publication, an error of kind fault.Conflict that
// names the winner for a stale base, and one of kind fault.Invalid for a delta that
// was not made from its base.
func (v Verdict) Err() error {
	if v.Accepted {
		return nil
	}
	if v.Base == v.Winner.Version {
		return fault.New(fault.Invalid, "read the newest version and publish again from it",
			"the change does not apply to the set of its base version %d", v.Base)
	}
	return fault.New(fault.Conflict, "compare with the newest version and publish again from it",
		"base version %d is not the newest: version %d was published by %s (%q)",
		v.Base, v.Winner.Version, v.Winner.Author, v.Winner.Message)
}

// Effect is what applying a record did.
type Effect int

// Effects of a record.
const (
	Repeated    Effect = iota // the offset was applied before
	Accepted                  // a publication is in force now
	Refused                   // a publication whose base is not the newest version
	Copied                    // another copy of an accepted publication
	Undecided                 // a publication that cannot be judged before a usable snapshot
	Adopted                   // a snapshot made the state exact or newer
	Passed                    // a snapshot that tells nothing new
	Undecodable               // a record that is not readable; skipped
	Newer                     // a record of a later format; skipped
)

// Counters count records by effect.
type Counters map[Effect]int64

// State is the state of a reader of the stream. It is not safe for concurrent use.
type State struct {
	version int64
	set     *object.Set
	next    int64 // lowest offset not applied
	missing int64 // highest offset before the state is exact that was not read, -1 if none

	recent  []offsetRecord // newest publications, for rebasing
	dropped int64          // highest offset of a publication no longer in recent, -1 if none

	history  []Entry
	verdicts map[string]Verdict
	order    []string // ids of verdicts, oldest first
	counters Counters
	refusals []error
}

type offsetRecord struct {
	offset int64
	record record
}

// New returns the state of a reader whose first record has the given offset. From
// offset 0 the state is exact at once; later it needs a snapshot.
func New(first int64) *State {
	return &State{
		set:      &object.Set{},
		next:     first,
		missing:  first - 1,
		dropped:  -1,
		verdicts: map[string]Verdict{},
		counters: Counters{},
	}
}

// Exact reports whether the version is the newest one at Next. It is false after
// records were missed, until a snapshot covers them; the last version then stays.
func (s *State) Exact() bool { return s.missing < 0 }

// Version returns the version in force, 0 before the first.
func (s *State) Version() int64 { return s.version }

// Set returns the set in force. The caller must not change it.
func (s *State) Set() *object.Set { return s.set }

// Next returns the lowest offset that was not applied.
func (s *State) Next() int64 { return s.next }

// Counters returns the number of records by effect.
func (s *State) Counters() Counters {
	copied := Counters{}
	for effect, n := range s.counters {
		copied[effect] = n
	}
	return copied
}

// Verdict returns what became of a publication. ok is false if it was not read,
// cannot be judged yet, or lies too far back.
func (s *State) Verdict(id string) (v Verdict, ok bool) {
	v, ok = s.verdicts[id]
	return v, ok
}

// History returns the known accepted versions, oldest first.
func (s *State) History() []Entry { return append([]Entry(nil), s.history...) }

// Newest returns the newest accepted version; ok is false before the first.
func (s *State) Newest() (e Entry, ok bool) {
	if len(s.history) == 0 {
		return Entry{}, false
	}
	return s.history[len(s.history)-1], true
}

// Apply applies one record. Offsets below Next are ignored. A gap above Next means
// that records expired unread; the state is then not exact.
func (s *State) Apply(offset int64, data []byte) Effect {
	if offset < s.next {
		return s.count(Repeated)
	}
	if offset > s.next {
		s.missing = offset - 1
	}
	s.next = offset + 1
	r, newer, err := decode(data)
	switch {
	case newer:
		return s.count(Newer)
	case err != nil:
		return s.count(Undecodable)
	case r.Kind == KindSnapshot:
		return s.count(s.applySnapshot(r))
	}
	s.remember(offset, r)
	if !s.Exact() {
		return s.count(Undecided)
	}
	return s.count(s.judge(offset, r))
}

func (s *State) count(e Effect) Effect {
	s.counters[e]++
	return e
}

func (s *State) remember(offset int64, r record) {
	s.recent = append(s.recent, offsetRecord{offset, r})
	if len(s.recent) > maxRecent {
		s.dropped = s.recent[0].offset
		s.recent = append([]offsetRecord(nil), s.recent[1:]...)
	}
}

// judge accepts a publication if its base is the newest version and, for a delta,
// if it applies to that version's set. A base has one
// winner, so a refused record was accepted at another offset only if it is a copy of
// that winner. If the winner is not known any more, there is no verdict.
func (s *State) judge(offset int64, r record) Effect {
	if set, ok := r.successor(s.version, s.set); ok {
		s.accept(Entry{
			Version: r.Base + 1, ID: r.ID, Base: r.Base, Author: r.Author, Message: r.Message, Offset: offset,
			State: s.stepVersion(StateLogged, BaseIsNewest),
		}, set)
		s.keepVerdict(r.ID, Verdict{Accepted: true, Version: s.version, Base: r.Base, State: StateAccepted})
		return Accepted
	}
	winner, known := s.entryOf(r.Base + 1)
	switch {
	case known && winner.ID == r.ID:
		s.keepVerdict(r.ID, Verdict{Accepted: true, Version: winner.Version, Base: r.Base, State: winner.State})
		return Copied
	case !known && r.Base < s.version:
		return Refused
	case !known:
		winner, _ = s.Newest()
	}
	s.keepVerdict(r.ID, Verdict{Base: r.Base, Winner: winner, State: s.stepVersion(StateLogged, BaseIsStale)})
	return Refused
}

func (s *State) accept(e Entry, set *object.Set) {
	s.version = e.Version
	s.set = set
	if newest, ok := s.Newest(); ok && newest.Version >= e.Version {
		return // judged again from a snapshot
	}
	if n := len(s.history); n > 0 {
		s.history[n-1].State = s.stepVersion(s.history[n-1].State, NewerAccepted)
	}
	s.history = append(s.history, e)
	if len(s.history) > maxHistory {
		s.history = append([]Entry(nil), s.history[len(s.history)-maxHistory/2:]...)
	}
}

// entryOf returns the entry of a version if it is still known.
func (s *State) entryOf(version int64) (e Entry, known bool) {
	for i := len(s.history) - 1; i >= 0; i-- {
		if s.history[i].Version == version {
			return s.history[i], true
		}
	}
	return Entry{}, false
}

// keepVerdict keeps the first verdict of an id, but acceptance overrides an earlier
// refusal, which only a base that did not exist yet can cause.
func (s *State) keepVerdict(id string, v Verdict) {
	_, known := s.verdicts[id]
	if known && !v.Accepted {
		return
	}
	s.verdicts[id] = v
	if known {
		return
	}
	s.order = append(s.order, id)
	if len(s.order) > maxHistory {
		delete(s.verdicts, s.order[0])
		s.order = s.order[1:]
	}
}

// applySnapshot adopts a snapshot that covers all records that were missed, or one
// that is ahead because records of a later format were skipped. Publications after
// the snapshot's Through are judged again from it.
func (s *State) applySnapshot(r record) Effect {
	covers := r.Through >= s.missing && r.Through < s.next
	replayable := s.dropped <= r.Through
	if !covers || !replayable {
		return Passed
	}
	if s.Exact() && r.Version <= s.version {
		return Passed
	}
	after := s.publicationsAfter(r.Through)
	if versionAfter(r, after) < s.version {
		return Passed
	}
	s.missing = -1
	s.accept(Entry{Version: r.Version, ID: r.ID, Base: r.Base, Author: r.Author, Message: r.Message, Offset: -1, State: StateAccepted}, r.decoded)
	for _, p := range after {
		s.judge(p.offset, p.record)
	}
	return Adopted
}

func (s *State) publicationsAfter(offset int64) []offsetRecord {
	for i, p := range s.recent {
		if p.offset > offset {
			return s.recent[i:]
		}
	}
	return nil
}

// versionAfter returns the version that a snapshot and the publications after it
// lead to.
func versionAfter(snapshot record, after []offsetRecord) int64 {
	version, set := snapshot.Version, snapshot.decoded
	for _, p := range after {
		if next, ok := p.record.successor(version, set); ok {
			version++
			set = next
		}
	}
	return version
}

// Snapshot encodes the state for the log, so that it outlives the records it came
// from. It needs an exact state with a version.
func (s *State) Snapshot() ([]byte, error) {
	newest, ok := s.Newest()
	if !ok || !s.Exact() {
		return nil, fault.New(fault.Unavailable, "read the stream to its end first", "the state at offset %d is not exact", s.next)
	}
	return encode(record{
		Kind: KindSnapshot, ID: newest.ID, Base: newest.Base, Version: newest.Version,
		Through: s.next - 1, Author: newest.Author, Message: newest.Message,
	}, s.set)
}
