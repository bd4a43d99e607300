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

// setNamed returns a set that differs from all others by one team.
func setNamed(name string) *object.Set {
	return &object.Set{
		Services: map[string]*object.Service{}, BatchJobs: map[string]*object.BatchJob{}, GangJobs: map[string]*object.GangJob{},
		Policies: map[string]*object.Policy{}, Pools: map[string]*object.Pool{},
		Teams: map[string]*object.Team{name: {Name: name, Weight: 1}},
	}
}

func publication(t require.TestingT, id string, base int64) []byte {
	data, err := EncodePublication(Publication{ID: id, Base: base, Author: "a-" + id, Message: "m", Set: setNamed(id)})
	require.NoError(t, err)
	return data
}

// drawn is a publication of the drawn log. A delta removes the team of the version
// that it was made from.
type drawn struct {
	id     string
	base   int64
	delta  bool
	remove string
}

// model is the naive replay: it reads the whole log from offset 0 each time.
type model struct {
	version int64
	teams   map[string]bool
	won     map[string]int64 // id to accepted version
}

func replay(log []drawn) model {
	m := model{won: map[string]int64{}, teams: map[string]bool{}}
	for _, p := range log {
		if p.id == "" || p.base != m.version || (p.remove != "" && !m.teams[p.remove]) {
			continue
		}
		m.version++
		m.won[p.id] = m.version
		if !p.delta {
			m.teams = map[string]bool{}
		}
		delete(m.teams, p.remove)
		m.teams[p.id] = true
	}
	return m
}

func (p drawn) encode(t require.TestingT) []byte {
	if !p.delta {
		return publication(t, p.id, p.base)
	}
	from := &object.Set{}
	if p.remove != "" {
		from = setNamed(p.remove)
	}
	data, err := EncodeDelta(Publication{ID: p.id, Base: p.base, Author: "a-" + p.id, Set: setNamed(p.id)}, from)
	require.NoError(t, err)
	return data
}

// drawLog returns a log and its encoded records. Publishers and the writer of
// snapshots act on states that are up to 6 records old.
func drawLog(t *rapid.T) (log []drawn, data [][]byte) {
	full := New(0)
	var versions []int64
	var snapshots [][]byte
	var newest []string
	n := rapid.IntRange(1, 40).Draw(t, "records")
	for i := range n {
		snapshot, err := full.Snapshot()
		if err != nil {
			snapshot = []byte("not exact")
		}
		versions, snapshots = append(versions, full.Version()), append(snapshots, snapshot)
		entry, _ := full.Newest()
		newest = append(newest, entry.ID)
		seen := max(0, i-rapid.IntRange(0, 6).Draw(t, "lag"))
		switch rapid.IntRange(0, 9).Draw(t, "kind") {
		case 0, 1:
			log, data = append(log, drawn{}), append(data, snapshots[seen])
		case 2:
			garbage := rapid.SampledFrom([]string{"", "{}", `{"format":9,"kind":"publication","id":"x"}`, `{"format":1,"kind":"publication","id":"x","base":0,"author":"","set":{"new":{}}}`}).Draw(t, "garbage")
			log, data = append(log, drawn{}), append(data, []byte(garbage))
		case 3:
			if i > 0 {
				copied := rapid.IntRange(0, i-1).Draw(t, "copied")
				log, data = append(log, log[copied]), append(data, data[copied])
				break
			}
			fallthrough
		default:
			wrong := rapid.SampledFrom([]int64{0, 0, 0, 0, 1, -1}).Draw(t, "error")
			p := drawn{id: fmt.Sprint("p", i), base: max(versions[seen]+wrong, 0), delta: rapid.Bool().Draw(t, "delta")}
			if p.delta && i > 0 {
				p.remove = newest[seen]
			}
			log, data = append(log, p), append(data, p.encode(t))
		}
		full.Apply(int64(i), data[i])
	}
	return log, data
}

// Guards against readers that disagree about the version in force: from any start,
// with expired records in between, with records delivered twice, an exact state
// equals the naive replay of the whole log, and no version ever goes back.
func TestReadersAgreeWithNaiveReplay(t *testing.T) {
	exact, adopted := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		log, data := drawLog(t)
		start := rapid.IntRange(0, len(data)).Draw(t, "start")
		gap := rapid.IntRange(start, len(data)).Draw(t, "gap")
		gapEnd := gap + rapid.IntRange(0, 5).Draw(t, "gap length")
		s := New(int64(start))
		for i := start; i < len(data); i++ {
			if i >= gap && i < gapEnd && i != start {
				continue
			}
			before := s.Version()
			s.Apply(int64(i), data[i])
			require.Equal(t, Repeated, s.Apply(int64(i), data[i]))
			require.GreaterOrEqual(t, s.Version(), before)
			requireRising(t, s.History())
			if !s.Exact() {
				continue
			}
			exact++
			want := replay(log[:i+1])
			require.Equal(t, want.version, s.Version())
			got := map[string]bool{}
			for name := range s.Set().Teams {
				got[name] = true
			}
			require.Equal(t, want.teams, got)
			for id, version := range want.won {
				if v, ok := s.Verdict(id); ok {
					require.Equal(t, version, v.Version, id)
				}
			}
		}
		adopted += int(s.Counters()[Adopted])
	})
	assert.Positive(t, adopted, "no run used a snapshot")
	assert.Positive(t, exact)
}

func requireRising(t require.TestingT, history []Entry) {
	for i := 1; i < len(history); i++ {
		require.Greater(t, history[i].Version, history[i-1].Version)
	}
}

// Guards against a complete reader that is not exact or that judges a publication
// otherwise than the naive replay, and against a refusal that names no winner.
func TestVerdictsOfACompleteReader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log, data := drawLog(t)
		s := New(0)
		for i, d := range data {
			s.Apply(int64(i), d)
		}
		require.True(t, s.Exact())
		want := replay(log)
		for _, p := range log {
			if p.id == "" {
				continue
			}
			v, known := s.Verdict(p.id)
			require.True(t, known)
			require.Equal(t, want.won[p.id], v.Version)
			require.Equal(t, want.won[p.id] > 0, v.Err() == nil)
		}
		for i, e := range s.History() {
			require.Equal(t, int64(i+1), e.Version)
		}
	})
}

// Guards against a snapshot that was appended after a publication it does not know:
// the publication must be judged from the snapshot, not lost.
func TestSnapshotOlderThanAPublication(t *testing.T) {
	writer := New(0)
	first, second := publication(t, "one", 0), publication(t, "two", 1)
	writer.Apply(0, first)
	snapshot, err := writer.Snapshot()
	require.NoError(t, err)

	s := New(1) // record 0 has expired
	assert.Equal(t, Undecided, s.Apply(1, second))
	assert.Equal(t, Adopted, s.Apply(2, snapshot))
	assert.Equal(t, int64(2), s.Version())
	v, ok := s.Verdict("two")
	assert.True(t, ok && v.Accepted)

	late := New(2) // the publication has expired too, so the snapshot proves nothing
	assert.Equal(t, Passed, late.Apply(2, snapshot))
	assert.False(t, late.Exact())
	_, err = late.Snapshot()
	assert.True(t, fault.Is(err, fault.Unavailable))
}

// Guards against a loser that is not told who won.
func TestLoserLearnsTheWinner(t *testing.T) {
	s := New(0)
	s.Apply(0, publication(t, "winner", 0))
	assert.Equal(t, Refused, s.Apply(1, publication(t, "loser", 0)))
	s.Apply(2, publication(t, "later", 1))
	v, ok := s.Verdict("loser")
	require.True(t, ok)
	assert.Equal(t, "winner", v.Winner.ID)
	assert.True(t, fault.Is(v.Err(), fault.Conflict))
	assert.Contains(t, v.Err().Error(), "version 1 was published by a-winner")
}

// Guards against a delta that is applied to a set it was not made from.
func TestDeltaFromAnotherSetIsRefused(t *testing.T) {
	s := New(0)
	s.Apply(0, publication(t, "one", 0))
	foreign, err := EncodeDelta(Publication{ID: "two", Base: 1, Author: "a", Set: setNamed("two")}, setNamed("zero"))
	require.NoError(t, err)
	assert.Equal(t, Refused, s.Apply(1, foreign))
	v, ok := s.Verdict("two")
	require.True(t, ok)
	assert.True(t, fault.Is(v.Err(), fault.Invalid))
	assert.Equal(t, setNamed("one"), s.Set())
}

// Guards against a reader that stops at a record of a later release: it skips and
// counts it, and takes the version from the next snapshot that it can read.
func TestNewerFormatIsSkippedUntilASnapshot(t *testing.T) {
	newer := bytes.Replace(publication(t, "two", 1), []byte(`"format":1`), []byte(`"format":2,"extra":0`), 1)
	s := New(0)
	s.Apply(0, publication(t, "one", 0))
	assert.Equal(t, Newer, s.Apply(1, newer))
	assert.Equal(t, Refused, s.Apply(2, publication(t, "three", 2)))
	assert.Equal(t, int64(1), s.Version())
	snapshot, err := encode(record{Kind: KindSnapshot, ID: "three", Base: 2, Version: 3, Through: 2, Author: "a"}, setNamed("three"))
	require.NoError(t, err)
	assert.Equal(t, Adopted, s.Apply(3, snapshot))
	assert.Equal(t, int64(3), s.Version())
	assert.Equal(t, int64(1), s.Counters()[Newer])
}

// Guards against a lost append answer that cannot be resolved by reading back.
func TestIDOf(t *testing.T) {
	id, ok := IDOf(publication(t, "one", 0))
	assert.True(t, ok)
	assert.Equal(t, "one", id)
	_, ok = IDOf([]byte("{}"))
	assert.False(t, ok)
}

// Guards against a record that stops or panics a reader.
func FuzzApply(f *testing.F) {
	f.Add(publication(f, "one", 0))
	f.Add([]byte(`{"format":1,"kind":"publication","id":"x","base":1,"author":"","set":{},"delta":true,"remove":[{"kind":"team","name":"one"}]}`))
	f.Add([]byte(`{"format":1,"kind":"snapshot","id":"x","base":0,"version":9,"through":0,"author":"","set":{}}`))
	f.Add([]byte(`{"format":1,"kind":"publication","id":"x","base":1,"author":"","set":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := New(0)
		s.Apply(0, publication(t, "one", 0))
		s.Apply(1, data)
		s.Apply(2, data)
		require.GreaterOrEqual(t, s.Version(), int64(1))
		require.NotNil(t, s.Set())
	})
}
