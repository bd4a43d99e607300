package idempotency

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"briarproxy/core/wire"
)

// model is the naive version: it keeps every record and searches them all.
type model struct {
	intents  []Intent
	dones    []Done         // logged ends
	neverRan []Done         // attempts that really never ran, logged or not
	runs     map[string]int // attempts that really ran, by key
}

func (m *model) mayRun(key string) bool {
	for _, in := range m.intents {
		if in.Key != key {
			continue
		}
		neverRan := false
		for _, d := range m.neverRan {
			if d.RequestID == in.RequestID {
				neverRan = true
			}
		}
		if !neverRan {
			return false
		}
	}
	return true
}

// Guards against a second run of a non-idempotent request: by a repeat, after the
// owner was replaced and the log replayed, or after an attempt that never ran.
func TestAtMostOneRunPerKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{runs: map[string]int{}}
		table := NewTable()
		keys := []string{"a", "b", "c"}
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		var now int64
		for range steps {
			now++
			key := rapid.SampledFrom(keys).Draw(t, "key")
			switch rapid.SampledFrom([]string{"request", "replay", "resolve"}).Draw(t, "step") {
			case "request":
				d := table.Begin(key, "digest")
				if d.Action != ActionRun {
					break
				}
				require.True(t, m.mayRun(key), "a run was allowed although an earlier attempt may have run")
				if rapid.Bool().Draw(t, "no slot") {
					table.Abandon(key)
					break
				}
				in := Intent{Key: key, BodyDigest: "digest", RequestID: fmt.Sprint(now), Generation: d.Generation, VM: "vm", AtMS: now}
				m.intents = append(m.intents, in)
				table.ApplyIntent(in)
				finish(t, m, table, in)
			case "replay":
				table = NewTable()
				for _, in := range m.intents {
					table.ApplyIntent(in)
					for _, d := range m.dones {
						if d.RequestID == in.RequestID {
							table.ApplyDone(d)
						}
					}
				}
				table.FinishReplay()
			case "resolve":
				for _, e := range table.Unresolved(10) {
					finish(t, m, table, e.Intent)
				}
			}
			require.LessOrEqual(t, m.runs[key], 1)
		}
	})
}

// finish ends the attempt as the worker would: it ran and the end is logged, it
// ran and the end is lost, or it never ran.
func finish(t *rapid.T, m *model, table *Table, in Intent) {
	ran := m.runs[in.Key] > 0
	end := rapid.SampledFrom([]string{"logged", "lost", "never ran"}).Draw(t, "end")
	if end == "never ran" && !ran {
		d := Done{Key: in.Key, RequestID: in.RequestID, Generation: in.Generation, NeverRan: true}
		if rapid.Bool().Draw(t, "logged") {
			m.dones = append(m.dones, d)
		}
		m.neverRan = append(m.neverRan, d)
		table.ApplyDone(d)
		return
	}
	if !ran {
		m.runs[in.Key]++
	}
	if end == "lost" {
		table.Distrust(in.Key)
		return
	}
	d := Done{Key: in.Key, RequestID: in.RequestID, Generation: in.Generation, Result: &wire.Result{ID: in.Key}}
	m.dones = append(m.dones, d)
	table.ApplyDone(d)
}

// Guards against the loss of a later attempt on replay when the record that ended
// an earlier one was never logged.
func TestReplayKeepsTheLaterAttempt(t *testing.T) {
	table := NewTable()
	table.ApplyIntent(Intent{Key: "k", BodyDigest: "d", RequestID: "first", VM: "a", Generation: 1})
	table.ApplyIntent(Intent{Key: "k", BodyDigest: "d", RequestID: "second", VM: "b", Generation: 1})
	table.ApplyDone(Done{Key: "k", RequestID: "first", Generation: 1, NeverRan: true})
	table.FinishReplay()
	d := table.Begin("k", "d")
	require.Equal(t, ActionResolve, d.Action)
	require.Equal(t, "second", d.Entry.RequestID)
}

func TestBeginDecisions(t *testing.T) {
	ended := &wire.Result{ID: "r"}
	cases := []struct {
		name  string
		setup func(*Table)
		body  string
		want  Action
	}{
		{"first use", func(*Table) {}, "d", ActionRun},
		{"begun by another request", func(t *Table) { t.Begin("k", "d") }, "d", ActionWait},
		{"in flight", func(t *Table) { t.ApplyIntent(Intent{Key: "k", BodyDigest: "d", Generation: 1}) }, "d", ActionWait},
		{"ended", func(t *Table) {
			t.ApplyIntent(Intent{Key: "k", BodyDigest: "d", Generation: 1})
			t.ApplyDone(Done{Key: "k", Generation: 1, Result: ended})
		}, "d", ActionRepeat},
		{"other body", func(t *Table) { t.ApplyIntent(Intent{Key: "k", BodyDigest: "d", Generation: 1}) }, "x", ActionConflict},
		{"replayed without an end", func(t *Table) {
			t.ApplyIntent(Intent{Key: "k", BodyDigest: "d", Generation: 1})
			t.FinishReplay()
		}, "d", ActionResolve},
		{"end of an older generation", func(t *Table) {
			t.ApplyIntent(Intent{Key: "k", BodyDigest: "d", Generation: 2})
			t.ApplyDone(Done{Key: "k", Generation: 1, Result: ended})
		}, "d", ActionWait},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := NewTable()
			c.setup(table)
			require.Equal(t, c.want, table.Begin("k", c.body).Action)
		})
	}
}
