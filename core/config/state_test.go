package config

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"briarproxy/core/fault"
	"briarproxy/core/object"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// setWithTeam returns a set that holds a single team with the given name.
func setWithTeam(name string) *object.Set {
	return &object.Set{
		Services: map[string]*object.Service{}, BatchJobs: map[string]*object.BatchJob{}, GangJobs: map[string]*object.GangJob{},
		Policies: map[string]*object.Policy{}, Pools: map[string]*object.Pool{},
		Teams: map[string]*object.Team{name: {Name: name, Weight: 1}},
	}
}

func encodedPublication(t require.TestingT, id string, base int64) []byte {
	data, err := EncodePublication(Publication{ID: id, Base: base, Author: "a-" + id, Message: "m", Set: setWithTeam(id)})
	require.NoError(t, err)
	return data
}

// generatedPublication is a publication in a generated log. A delta removes the team
// of the version that it was computed from.
type generatedPublication struct {
	id          string
	base        int64
	delta       bool
	removedTeam string
}

// referenceState is the result of the reference implementation, which replays the
// whole log from offset 0 each time.
type referenceState struct {
	version          int64
	teams            map[string]bool
	acceptedVersions map[string]int64 // acceptedVersions maps the id of a publication to its version.
}

func replay(log []generatedPublication) referenceState {
	m := referenceState{acceptedVersions: map[string]int64{}, teams: map[string]bool{}}
	for _, p := range log {
		if p.id == "" || p.base != m.version || (p.removedTeam != "" && !m.teams[p.removedTeam]) {
			continue
		}
		m.version++
		m.acceptedVersions[p.id] = m.version
		if !p.delta {
			m.teams = map[string]bool{}
		}
		delete(m.teams, p.removedTeam)
		m.teams[p.id] = true
	}
	return m
}

func (p generatedPublication) encode(t require.TestingT) []byte {
	if !p.delta {
		return encodedPublication(t, p.id, p.base)
	}
	from := &object.Set{}
	if p.removedTeam != "" {
		from = setWithTeam(p.removedTeam)
	}
	data, err := EncodeDelta(Publication{ID: p.id, Base: p.base, Author: "a-" + p.id, Set: setWithTeam(p.id)}, from)
	require.NoError(t, err)
	return data
}

// generateLog returns a log and its encoded records. Publishers and the writer of
// snapshots use states that are up to 6 records old.
func generateLog(t *rapid.T) (log []generatedPublication, data [][]byte) {
	writer := NewState(0)
	var versions []int64
	var snapshots [][]byte
	var newestIDs []string
	n := rapid.IntRange(1, 40).Draw(t, "records")
	for i := range n {
		snapshot, err := writer.Snapshot()
		if err != nil {
			snapshot = []byte("not synced")
		}
		versions, snapshots = append(versions, writer.Version()), append(snapshots, snapshot)
		entry, _ := writer.Newest()
		newestIDs = append(newestIDs, entry.ID)
		observed := max(0, i-rapid.IntRange(0, 6).Draw(t, "lag"))
		switch rapid.IntRange(0, 9).Draw(t, "kind") {
		case 0, 1:
			log, data = append(log, generatedPublication{}), append(data, snapshots[observed])
		case 2:
			invalid := rapid.SampledFrom([]string{"", "{}", `{"format":9,"kind":"publication","id":"x"}`, `{"format":1,"kind":"publication","id":"x","base":0,"author":"","set":{"new":{}}}`}).Draw(t, "garbage")
			log, data = append(log, generatedPublication{}), append(data, []byte(invalid))
		case 3:
			if i > 0 {
				copied := rapid.IntRange(0, i-1).Draw(t, "copied")
				log, data = append(log, log[copied]), append(data, data[copied])
				break
			}
			fallthrough
		default:
			baseError := rapid.SampledFrom([]int64{0, 0, 0, 0, 1, -1}).Draw(t, "error")
			p := generatedPublication{id: fmt.Sprint("p", i), base: max(versions[observed]+baseError, 0), delta: rapid.Bool().Draw(t, "delta")}
			if p.delta && i > 0 {
				p.removedTeam = newestIDs[observed]
			}
			log, data = append(log, p), append(data, p.encode(t))
		}
		writer.Apply(int64(i), data[i])
	}
	return log, data
}

// Guards against readers that disagree about the version in force. With any start
// offset, expired records in between and records delivered twice, a synced state must
// equal a replay of the whole log, and the version must never decrease.
func TestReadersAgreeWithReferenceReplay(t *testing.T) {
	syncedStates, loadedSnapshots := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		log, data := generateLog(t)
		start := rapid.IntRange(0, len(data)).Draw(t, "start")
		gap := rapid.IntRange(start, len(data)).Draw(t, "gap")
		gapEnd := gap + rapid.IntRange(0, 5).Draw(t, "gap length")
		s := NewState(int64(start))
		for i := start; i < len(data); i++ {
			if i >= gap && i < gapEnd && i != start {
				continue
			}
			before := s.Version()
			s.Apply(int64(i), data[i])
			require.Equal(t, EffectAlreadyApplied, s.Apply(int64(i), data[i]))
			require.GreaterOrEqual(t, s.Version(), before)
			requireIncreasingVersions(t, s.History())
			if !s.Synced() {
				continue
			}
			syncedStates++
			want := replay(log[:i+1])
			require.Equal(t, want.version, s.Version())
			got := map[string]bool{}
			for name := range s.Set().Teams {
				got[name] = true
			}
			require.Equal(t, want.teams, got)
			for id, version := range want.acceptedVersions {
				if result, ok := s.PublicationResult(id); ok {
					require.Equal(t, version, result.Version, id)
				}
			}
		}
		loadedSnapshots += int(s.Counters()[EffectSnapshotAdopted])
	})
	assert.Positive(t, loadedSnapshots, "no run used a snapshot")
	assert.Positive(t, syncedStates)
}

func requireIncreasingVersions(t require.TestingT, history []HistoryEntry) {
	for i := 1; i < len(history); i++ {
		require.Greater(t, history[i].Version, history[i-1].Version)
	}
}

// Guards against a reader of the complete log that is not synced or that decides a
// publication differently from the reference replay, and against a refused
// publication without an error.
func TestResultsOfACompleteReader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log, data := generateLog(t)
		s := NewState(0)
		for i, d := range data {
			s.Apply(int64(i), d)
		}
		require.True(t, s.Synced())
		want := replay(log)
		for _, p := range log {
			if p.id == "" {
				continue
			}
			result, known := s.PublicationResult(p.id)
			require.True(t, known)
			require.Equal(t, want.acceptedVersions[p.id], result.Version)
			require.Equal(t, want.acceptedVersions[p.id] > 0, result.Err() == nil)
		}
		for i, e := range s.History() {
			require.Equal(t, int64(i+1), e.Version)
		}
	})
}

// Guards against losing a publication when a snapshot that does not include it is
// appended after it. The publication must be decided on top of the snapshot.
func TestSnapshotOlderThanAPublication(t *testing.T) {
	writer := NewState(0)
	first, second := encodedPublication(t, "one", 0), encodedPublication(t, "two", 1)
	writer.Apply(0, first)
	snapshot, err := writer.Snapshot()
	require.NoError(t, err)

	s := NewState(1) // Record 0 has expired.
	assert.Equal(t, EffectUndecided, s.Apply(1, second))
	assert.Equal(t, EffectSnapshotAdopted, s.Apply(2, snapshot))
	assert.Equal(t, int64(2), s.Version())
	result, ok := s.PublicationResult("two")
	assert.True(t, ok && result.Accepted)

	lateReader := NewState(2) // The publication has expired, too, so the snapshot does not cover all missed records.
	assert.Equal(t, EffectSnapshotIgnored, lateReader.Apply(2, snapshot))
	assert.False(t, lateReader.Synced())
	_, err = lateReader.Snapshot()
	assert.True(t, fault.Is(err, fault.Unavailable))
}

// Guards against a refusal that does not name the conflicting publication.
func TestStaleBaseNamesTheConflictingVersion(t *testing.T) {
	s := NewState(0)
	s.Apply(0, encodedPublication(t, "winner", 0))
	assert.Equal(t, EffectRefused, s.Apply(1, encodedPublication(t, "loser", 0)))
	s.Apply(2, encodedPublication(t, "later", 1))
	result, ok := s.PublicationResult("loser")
	require.True(t, ok)
	assert.Equal(t, "winner", result.ConflictingEntry.ID)
	assert.True(t, fault.Is(result.Err(), fault.Conflict))
	assert.Contains(t, result.Err().Error(), "version 1 was published by a-winner")
}

// Guards against a delta that is applied to a set it was not computed from.
func TestDeltaFromAnotherSetIsRefused(t *testing.T) {
	s := NewState(0)
	s.Apply(0, encodedPublication(t, "one", 0))
	foreign, err := EncodeDelta(Publication{ID: "two", Base: 1, Author: "a", Set: setWithTeam("two")}, setWithTeam("zero"))
	require.NoError(t, err)
	assert.Equal(t, EffectRefused, s.Apply(1, foreign))
	result, ok := s.PublicationResult("two")
	require.True(t, ok)
	assert.True(t, fault.Is(result.Err(), fault.Invalid))
	assert.Equal(t, setWithTeam("one"), s.Set())
}

// Guards against a reader that stops at a record in a later release's format. It must
// skip and count the record, and take the version from the next readable snapshot.
func TestNewerFormatIsSkippedUntilASnapshot(t *testing.T) {
	newer := bytes.Replace(encodedPublication(t, "two", 1), []byte(`"format":1`), []byte(`"format":2,"extra":0`), 1)
	s := NewState(0)
	s.Apply(0, encodedPublication(t, "one", 0))
	assert.Equal(t, EffectNewerFormat, s.Apply(1, newer))
	assert.Equal(t, EffectRefused, s.Apply(2, encodedPublication(t, "three", 2)))
	assert.Equal(t, int64(1), s.Version())
	snapshot, err := encode(record{Kind: KindSnapshot, ID: "three", Base: 2, Version: 3, Through: 2, Author: "a"}, setWithTeam("three"))
	require.NoError(t, err)
	assert.Equal(t, EffectSnapshotAdopted, s.Apply(3, snapshot))
	assert.Equal(t, int64(3), s.Version())
	assert.Equal(t, int64(1), s.Counters()[EffectNewerFormat])
}

// Guards against a record whose id cannot be read, so that a lost response to an append
// cannot be resolved by reading the log.
func TestRecordID(t *testing.T) {
	id, ok := RecordID(encodedPublication(t, "one", 0))
	assert.True(t, ok)
	assert.Equal(t, "one", id)
	_, ok = RecordID([]byte("{}"))
	assert.False(t, ok)
}

// Guards against a record that makes a reader panic or lose its version.
func FuzzApply(f *testing.F) {
	f.Add(encodedPublication(f, "one", 0))
	f.Add([]byte(`{"format":1,"kind":"publication","id":"x","base":1,"author":"","set":{},"delta":true,"remove":[{"kind":"team","name":"one"}]}`))
	f.Add([]byte(`{"format":1,"kind":"snapshot","id":"x","base":0,"version":9,"through":0,"author":"","set":{}}`))
	f.Add([]byte(`{"format":1,"kind":"publication","id":"x","base":1,"author":"","set":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := NewState(0)
		s.Apply(0, encodedPublication(t, "one", 0))
		s.Apply(1, data)
		s.Apply(2, data)
		require.GreaterOrEqual(t, s.Version(), int64(1))
		require.NotNil(t, s.Set())
	})
}
