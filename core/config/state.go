package config

import (
	"briarproxy/core/chart"
	"briarproxy/core/fault"
	"briarproxy/core/object"
)

const (
	// maxHistoryEntries limits the history entries and the publication results that
	// are kept.
	maxHistoryEntries = 4096
	// maxRecentPublications limits the publications that can be applied again on top
	// of an older snapshot. A snapshot follows the state that it holds by the duration
	// of one append, so only a few publications lie between them.
	maxRecentPublications = 16
)

// HistoryEntry describes an accepted version.
type HistoryEntry struct {
	Version int64
	ID      string
	Base    int64
	Author  string
	Message string
	Offset  int64       // Offset is the log offset of the publication, -1 if the version was read from a snapshot.
	State   chart.State // State is StateAccepted for the newest version and StateSuperseded for all others.
}

// PublicationResult tells whether a publication was accepted.
type PublicationResult struct {
	Accepted         bool
	Version          int64 // Version is the accepted version.
	Base             int64
	ConflictingEntry HistoryEntry // ConflictingEntry is, for a refused publication, the version that was accepted on the same base, or else the newest one.
	State            chart.State  // State is the state of the publication when it was accepted or refused.
}

// Err returns nil for an accepted publication. It returns an error of kind
// fault.Conflict that names the conflicting version if the base is stale, and one of
// kind fault.Invalid if a delta does not apply to the set of its base version.
func (r PublicationResult) Err() error {
	if r.Accepted {
		return nil
	}
	if r.Base == r.ConflictingEntry.Version {
		return fault.New(fault.Invalid, "read the newest version and publish again from it",
			"the change does not apply to the set of its base version %d", r.Base)
	}
	return fault.New(fault.Conflict, "compare with the newest version and publish again from it",
		"base version %d is not the newest: version %d was published by %s (%q)",
		r.Base, r.ConflictingEntry.Version, r.ConflictingEntry.Author, r.ConflictingEntry.Message)
}

// Effect is the effect of a record on the state.
type Effect int

// These are the effects of a record.
const (
	EffectAlreadyApplied  Effect = iota // The offset was applied before.
	EffectAccepted                      // The publication is in force.
	EffectRefused                       // The base of the publication is stale, or its delta does not apply.
	EffectDuplicate                     // The record is another copy of an accepted publication.
	EffectUndecided                     // The publication can be decided only after a usable snapshot.
	EffectSnapshotAdopted               // The snapshot made the state synced, or moved it to a newer version.
	EffectSnapshotIgnored               // The snapshot is not usable, or not newer than the state.
	EffectUndecodable                   // The record is not readable and was skipped.
	EffectNewerFormat                   // The record has a later format and was skipped.
)

// Counters holds the number of records by effect.
type Counters map[Effect]int64

// State is the state of one reader of the stream. It is not safe for concurrent use.
type State struct {
	version          int64
	set              *object.Set
	nextOffset       int64 // nextOffset is the lowest offset that was not applied.
	lastMissedOffset int64 // lastMissedOffset is the highest offset that was not read and that no snapshot covers, -1 if there is none.

	recentPublications []offsetRecord // recentPublications holds the newest publications, which are applied again on top of a snapshot.
	lastDroppedOffset  int64          // lastDroppedOffset is the highest offset of a publication that was dropped from recentPublications, -1 if there is none.

	history       []HistoryEntry
	results       map[string]PublicationResult
	resultOrder   []string // resultOrder holds the ids of results, oldest first.
	counters      Counters
	refusedEvents []error
}

type offsetRecord struct {
	offset int64
	record record
}

// NewState returns the state of a reader whose first record has the given offset. A
// reader that starts at offset 0 is synced at once; any other needs a snapshot.
func NewState(first int64) *State {
	return &State{
		set:               &object.Set{},
		nextOffset:        first,
		lastMissedOffset:  first - 1,
		lastDroppedOffset: -1,
		results:           map[string]PublicationResult{},
		counters:          Counters{},
	}
}

// Synced reports whether the version in force reflects all records before NextOffset.
// It is false from the time that records are missed until a snapshot covers them;
// meanwhile the last known version stays in force.
func (s *State) Synced() bool { return s.lastMissedOffset < 0 }

// Version returns the version in force, 0 if there is none yet.
func (s *State) Version() int64 { return s.version }

// Set returns the set in force. The caller must not modify it.
func (s *State) Set() *object.Set { return s.set }

// NextOffset returns the lowest offset that was not applied.
func (s *State) NextOffset() int64 { return s.nextOffset }

// Counters returns the number of records by effect.
func (s *State) Counters() Counters {
	copied := Counters{}
	for effect, n := range s.counters {
		copied[effect] = n
	}
	return copied
}

// PublicationResult returns the result of a publication. ok is false if the
// publication was not read, cannot be decided yet, or is too old to be kept.
func (s *State) PublicationResult(id string) (result PublicationResult, ok bool) {
	result, ok = s.results[id]
	return result, ok
}

// History returns the known accepted versions, oldest first.
func (s *State) History() []HistoryEntry { return append([]HistoryEntry(nil), s.history...) }

// Newest returns the newest accepted version. ok is false if there is none yet.
func (s *State) Newest() (e HistoryEntry, ok bool) {
	if len(s.history) == 0 {
		return HistoryEntry{}, false
	}
	return s.history[len(s.history)-1], true
}

// Apply applies one record. An offset below NextOffset is ignored. An offset above it
// means that records expired before they were read; the state is then not synced.
func (s *State) Apply(offset int64, data []byte) Effect {
	if offset < s.nextOffset {
		return s.count(EffectAlreadyApplied)
	}
	if offset > s.nextOffset {
		s.lastMissedOffset = offset - 1
	}
	s.nextOffset = offset + 1
	r, newerFormat, err := decode(data)
	switch {
	case newerFormat:
		return s.count(EffectNewerFormat)
	case err != nil:
		return s.count(EffectUndecodable)
	case r.Kind == KindSnapshot:
		return s.count(s.applySnapshot(r))
	}
	s.addRecent(offset, r)
	if !s.Synced() {
		return s.count(EffectUndecided)
	}
	return s.count(s.decide(offset, r))
}

func (s *State) count(e Effect) Effect {
	s.counters[e]++
	return e
}

func (s *State) addRecent(offset int64, r record) {
	s.recentPublications = append(s.recentPublications, offsetRecord{offset, r})
	if len(s.recentPublications) > maxRecentPublications {
		s.lastDroppedOffset = s.recentPublications[0].offset
		s.recentPublications = append([]offsetRecord(nil), s.recentPublications[1:]...)
	}
}

// decide accepts a publication if its base is the newest version and, for a delta, if
// the delta applies to that version's set. Only one publication is accepted on each
// base, so a refused record was accepted at another offset only if it is a copy of
// that publication. If the accepted publication is no longer known, no result is
// recorded.
func (s *State) decide(offset int64, r record) Effect {
	if set, ok := r.applyTo(s.version, s.set); ok {
		s.accept(HistoryEntry{
			Version: r.Base + 1, ID: r.ID, Base: r.Base, Author: r.Author, Message: r.Message, Offset: offset,
			State: s.nextVersionState(StateLogged, BaseIsNewest),
		}, set)
		s.recordResult(r.ID, PublicationResult{Accepted: true, Version: s.version, Base: r.Base, State: StateAccepted})
		return EffectAccepted
	}
	conflicting, known := s.entryOfVersion(r.Base + 1)
	switch {
	case known && conflicting.ID == r.ID:
		s.recordResult(r.ID, PublicationResult{Accepted: true, Version: conflicting.Version, Base: r.Base, State: conflicting.State})
		return EffectDuplicate
	case !known && r.Base < s.version:
		return EffectRefused
	case !known:
		conflicting, _ = s.Newest()
	}
	s.recordResult(r.ID, PublicationResult{Base: r.Base, ConflictingEntry: conflicting, State: s.nextVersionState(StateLogged, BaseIsStale)})
	return EffectRefused
}

func (s *State) accept(e HistoryEntry, set *object.Set) {
	s.version = e.Version
	s.set = set
	if newest, ok := s.Newest(); ok && newest.Version >= e.Version {
		return // The publication was applied again on top of a snapshot.
	}
	if n := len(s.history); n > 0 {
		s.history[n-1].State = s.nextVersionState(s.history[n-1].State, NewerAccepted)
	}
	s.history = append(s.history, e)
	if len(s.history) > maxHistoryEntries {
		s.history = append([]HistoryEntry(nil), s.history[len(s.history)-maxHistoryEntries/2:]...)
	}
}

// entryOfVersion returns the history entry of a version if it is still kept.
func (s *State) entryOfVersion(version int64) (e HistoryEntry, known bool) {
	for i := len(s.history) - 1; i >= 0; i-- {
		if s.history[i].Version == version {
			return s.history[i], true
		}
	}
	return HistoryEntry{}, false
}

// recordResult keeps the first result of an id, except that an acceptance replaces an
// earlier refusal. That occurs only if the base did not exist yet when the first copy
// was read.
func (s *State) recordResult(id string, result PublicationResult) {
	_, known := s.results[id]
	if known && !result.Accepted {
		return
	}
	s.results[id] = result
	if known {
		return
	}
	s.resultOrder = append(s.resultOrder, id)
	if len(s.resultOrder) > maxHistoryEntries {
		delete(s.results, s.resultOrder[0])
		s.resultOrder = s.resultOrder[1:]
	}
}

// applySnapshot adopts a snapshot that covers all missed records, or that has a newer
// version because this reader skipped records of a later format. Publications after
// the snapshot's Through are decided again on top of it.
func (s *State) applySnapshot(r record) Effect {
	coversMissed := r.Through >= s.lastMissedOffset && r.Through < s.nextOffset
	replayable := s.lastDroppedOffset <= r.Through
	if !coversMissed || !replayable {
		return EffectSnapshotIgnored
	}
	if s.Synced() && r.Version <= s.version {
		return EffectSnapshotIgnored
	}
	later := s.publicationsAfter(r.Through)
	if versionAfter(r, later) < s.version {
		return EffectSnapshotIgnored
	}
	s.lastMissedOffset = -1
	s.accept(HistoryEntry{Version: r.Version, ID: r.ID, Base: r.Base, Author: r.Author, Message: r.Message, Offset: -1, State: StateAccepted}, r.decodedSet)
	for _, p := range later {
		s.decide(p.offset, p.record)
	}
	return EffectSnapshotAdopted
}

func (s *State) publicationsAfter(offset int64) []offsetRecord {
	for i, p := range s.recentPublications {
		if p.offset > offset {
			return s.recentPublications[i:]
		}
	}
	return nil
}

// versionAfter returns the version that results from a snapshot and the publications
// after it.
func versionAfter(snapshot record, later []offsetRecord) int64 {
	version, set := snapshot.Version, snapshot.decodedSet
	for _, p := range later {
		if next, ok := p.record.applyTo(version, set); ok {
			version++
			set = next
		}
	}
	return version
}

// Snapshot encodes the state as a log record, so that readers can start after the
// publications behind it have expired. The state must be synced and have a version.
func (s *State) Snapshot() ([]byte, error) {
	newest, ok := s.Newest()
	if !ok || !s.Synced() {
		return nil, fault.New(fault.Unavailable, "read the stream to its end first", "the state at offset %d is not synced", s.nextOffset)
	}
	return encode(record{
		Kind: KindSnapshot, ID: newest.ID, Base: newest.Base, Version: newest.Version,
		Through: s.nextOffset - 1, Author: newest.Author, Message: newest.Message,
	}, s.set)
}
