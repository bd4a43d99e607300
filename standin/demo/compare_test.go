package demo

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"briarproxy/core/resource"
	"briarproxy/core/wire"
	"briarproxy/standin/worker"
)

// journalBuilder builds journal entries with increasing times.
type journalBuilder struct{ entries []worker.Entry }

func (j *journalBuilder) add(event worker.JournalEvent, vm, id string, generation int64, change func(*worker.Entry)) {
	e := worker.Entry{
		TimeUS: int64(len(j.entries)+1) * 1000, VM: vm, Event: event, ID: id, Generation: generation,
		Kind: wire.KindRequest, Capacity: resource.Vector{Slots: 8},
	}
	if change != nil {
		change(&e)
	}
	j.entries = append(j.entries, e)
}

func (j *journalBuilder) start(vm, id string, generation int64, body []byte) {
	j.add(worker.EventStart, vm, id, generation, func(e *worker.Entry) { e.BodyDigest = digest(body) })
}

func (j *journalBuilder) end(vm, id string, generation int64, result string) {
	j.add(worker.EventEnd, vm, id, generation, func(e *worker.Entry) { e.State, e.Digest = wire.RunFinished, result })
}

func violatedRules(found []Violation) []Rule {
	var names []Rule
	for _, v := range found {
		names = append(names, v.Rule)
	}
	return names
}

// Guards against a check that misses a violated invariant or reports a violation where
// there is none.
func TestCheckRecordsFindsExactlyTheViolations(t *testing.T) {
	body := []byte("b")
	answered := func(id string) *Record {
		return &Record{
			Request: Request{Kind: "k", Idempotent: true, Body: body}, BodyDigest: digest(body), FinalOutcome: OutcomeAnswered,
			Attempts: []Attempt{{Outcome: OutcomeAnswered, RequestID: id}},
			Result:   &worker.RequestResult{ID: id, Generation: 1}, ResultDigest: "d",
		}
	}
	nonIdempotent := func(told AttemptOutcome) *Record {
		return &Record{
			Request: Request{Kind: "k", Key: "key", Body: body}, BodyDigest: digest(body), FinalOutcome: told,
			Attempts: []Attempt{{Outcome: told, RequestID: "r", RetryAfter: time.Second}},
		}
	}
	accepted := func(state wire.JobState, results ...wire.Result) *Record {
		return &Record{
			Request: Request{Kind: "k", Idempotent: true, Durable: true, Body: body}, BodyDigest: digest(body), FinalOutcome: OutcomeAccepted,
			JobID: "j", Job: &wire.JobStatus{State: state}, JobResults: results,
		}
	}
	gang := &Record{
		Request: Request{Kind: "gang", Idempotent: true, Body: body}, BodyDigest: digest(body), FinalOutcome: OutcomeAccepted, JobID: "j", Tasks: 2,
		Job: &wire.JobStatus{State: wire.JobSucceeded}, JobResults: []wire.Result{{ID: "j/0", Generation: 1, Digest: "d"}, {ID: "j/1", Generation: 1, Digest: "d"}},
	}
	task := func(e *worker.Entry) { e.Kind, e.Job, e.State, e.Digest = wire.KindTask, "j", wire.RunFinished, "d" }
	cases := []struct {
		name   string
		record *Record
		fill   func(j *journalBuilder)
		want   []Rule
	}{
		{"started and finished", answered("r"), func(j *journalBuilder) { j.start("v", "r", 1, body); j.end("v", "r", 1, "d") }, nil},
		{"result of no run", answered("r"), func(j *journalBuilder) { j.start("v", "r", 1, body); j.end("v", "r", 1, "x") }, []Rule{RuleAnswerWithoutRun}},
		{"answer of another request", answered("r"), func(j *journalBuilder) { j.start("v", "r", 1, []byte("c")); j.end("v", "r", 1, "d") }, []Rule{RuleAnswerWithoutRun}},
		{"over capacity", answered("r"), func(j *journalBuilder) {
			j.start("v", "r", 1, body)
			j.end("v", "r", 1, "d")
			j.add(worker.EventStart, "v", "other", 1, func(e *worker.Entry) { e.InUse.Slots = 9 })
		}, []Rule{RuleOverCapacity}},
		{"overlap", answered("r"), func(j *journalBuilder) {
			j.start("v", "r", 1, body)
			j.start("w", "r", 2, body)
			j.end("v", "r", 1, "d")
			j.add(worker.EventStop, "w", "r", 2, nil)
		}, []Rule{RuleAttemptsOverlap}},
		{"expired lease noticed late", answered("r"), func(j *journalBuilder) {
			j.start("v", "x", 1, nil)
			j.start("w", "x", 2, nil)
			j.add(worker.EventStop, "v", "x", 1, func(e *worker.Entry) { e.OverdueUS = 2000 })
			j.start("v", "r", 1, body)
			j.end("v", "r", 1, "d")
		}, nil},
		{"two effects", answered("r"), func(j *journalBuilder) {
			j.start("v", "r", 1, body)
			j.end("v", "r", 1, "d")
			j.start("w", "r", 2, body)
			j.end("w", "r", 2, "d")
		}, []Rule{RuleTwoEffects}},
		{"run again after the VM failed", answered("r"), func(j *journalBuilder) {
			j.start("v", "r", 1, body)
			j.end("v", "r", 1, "d")
			j.add(worker.EventBoot, "v", "", 0, nil)
			j.start("w", "r", 2, body)
			j.end("w", "r", 2, "d")
		}, nil},
		{"VM failed after both runs", answered("r"), func(j *journalBuilder) {
			j.start("v", "r", 1, body)
			j.end("v", "r", 1, "d")
			j.start("w", "r", 2, body)
			j.end("w", "r", 2, "d")
			j.add(worker.EventBoot, "v", "", 0, nil)
		}, []Rule{RuleTwoEffects}},
		{"non-idempotent twice under two ids", nonIdempotent(OutcomeUnknown), func(j *journalBuilder) {
			j.start("v", "r.1", 1, body)
			j.end("v", "r.1", 1, "d")
			j.start("w", "s.1", 1, body)
		}, []Rule{RuleAtMostOnce}},
		{"told not-run and ran", nonIdempotent(OutcomeNotRun), func(j *journalBuilder) { j.start("v", "r.1", 1, body) }, []Rule{RuleNotRunButRan}},
		{"told not-run and ran under another id", nonIdempotent(OutcomeNotRun), func(j *journalBuilder) { j.start("v", "s", 1, body) }, []Rule{RuleNotRunButRan}},
		{"told not-run", nonIdempotent(OutcomeNotRun), func(*journalBuilder) {}, nil},
		{"told ran and did not", nonIdempotent(OutcomeRan), func(*journalBuilder) {}, []Rule{RuleRanWithoutRun}},
		{"accepted and pending", accepted(wire.JobPending), func(*journalBuilder) {}, []Rule{RuleLost}},
		{"accepted without result", accepted(wire.JobSucceeded), func(*journalBuilder) {}, []Rule{RuleLost}},
		{"accepted, result without run", accepted(wire.JobSucceeded, wire.Result{ID: "j/0", Generation: 1, Digest: "d"}), func(*journalBuilder) {}, []Rule{RuleAnswerWithoutRun}},
		{"gang tasks in sequence", gang, func(j *journalBuilder) {
			for _, id := range []string{"j/0", "j/1"} {
				j.add(worker.EventStart, "v", id, 1, task)
				j.add(worker.EventEnd, "v", id, 1, task)
			}
		}, []Rule{RuleGangNotTogether}},
		{"gang tasks at the same time", gang, func(j *journalBuilder) {
			j.add(worker.EventStart, "v", "j/0", 1, task)
			j.add(worker.EventStart, "w", "j/1", 1, task)
			j.add(worker.EventEnd, "v", "j/0", 1, task)
			j.add(worker.EventEnd, "w", "j/1", 1, task)
		}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var j journalBuilder
			c.fill(&j)
			assert.Equal(t, c.want, violatedRules(CheckRecords([]*Record{c.record}, j.entries)))
		})
	}
}

// Guards against a summary that omits a lost or duplicated request.
func TestSummaryCountsEachRequestOnce(t *testing.T) {
	var j journalBuilder
	j.start("v", "a", 1, []byte("a"))
	j.end("v", "a", 1, "d")
	j.start("v", "b.1", 1, []byte("b"))
	j.end("v", "b.1", 1, "d")
	j.start("v", "c.1", 1, []byte("b"))
	record := func(body string, final AttemptOutcome, retry time.Duration) *Record {
		return &Record{
			Request: Request{Kind: "k"}, BodyDigest: digest([]byte(body)), SentAt: time.UnixMicro(0), FinalOutcome: final,
			Attempts: []Attempt{{Outcome: final, RetryAfter: retry}}, Result: &worker.RequestResult{ID: body},
		}
	}
	rows := Summarise([]*Record{
		record("a", OutcomeAnswered, 0), record("b", OutcomeUnknown, time.Second), record("c", OutcomeNotRun, time.Second), record("d", OutcomeNotRun, 0),
	}, j.entries)
	assert.Equal(t, []Row{{Kind: "k", Durable: true, Sent: 4, Answered: 1, RanOnce: 2, Refused: 1, Lost: 2, Duplicated: 1, P50MS: 1, P99MS: 1}}, rows)
	assert.Equal(t, []string{"2 lost", "1 doubled", "only 1 of 4 answered"}, rows[0].failures())
}
