package demo

import (
	"slices"
	"strings"

	"briarproxy/core/wire"
	"briarproxy/standin/worker"
)

// Compare checks everything that callers were told against what ran. It includes
// CheckJournal. Call it after all records are complete.
func Compare(records []*Record, entries []worker.Entry) []Violation {
	found := CheckJournal(entries)
	runs := newIndex(Runs(entries))
	for _, r := range records {
		found = append(found, runs.check(r)...)
	}
	return found
}

// index finds runs by what records know.
type index struct {
	byBody map[string][]*Run
	byJob  map[string][]*Run
	byID   map[string][]*Run
}

func newIndex(runs []*Run) index {
	return index{
		byBody: byKey(runs, func(r *Run) string { return r.BodyDigest }),
		byJob:  byKey(runs, func(r *Run) string { return r.Job }),
		byID:   byKey(runs, func(r *Run) string { return requestOf(r.ID) }),
	}
}

// requestOf strips the number that a shard owner appends to the request id for
// each attempt of a keyed request.
func requestOf(id string) string {
	request, _, _ := strings.Cut(id, ".")
	return request
}

// of returns the runs of a record.
func (x index) of(r *Record) []*Run {
	if r.Tasks > 0 {
		return x.byJob[r.JobID]
	}
	return x.byBody[r.Digest]
}

func (x index) check(r *Record) []Violation {
	var found []Violation
	for _, text := range r.Violations {
		found = append(found, violation(RuleForeign, "%s of body %.8s: %s", r.Kind, r.Digest, text))
	}
	found = append(found, x.checkNotRun(r)...)
	found = append(found, x.checkAnswer(r)...)
	found = append(found, x.checkOnce(r)...)
	found = append(found, x.checkAccepted(r)...)
	if r.Tasks > 0 && !r.Batch {
		found = append(found, checkGang(r, x.of(r))...)
	}
	return found
}

// checkNotRun checks invariant 4. A request that was only ever told "not run" must
// have no run at all. Among mixed answers each "not run" speaks of the call that it
// answers, which the request id names.
func (x index) checkNotRun(r *Record) []Violation {
	var found []Violation
	only := true
	for _, a := range r.Attempts {
		if a.Told != ToldNotRun {
			only = false
			continue
		}
		if a.RequestID != "" && len(x.byID[a.RequestID]) > 0 {
			found = append(found, violation(RuleNotRun, "%s %s: %s", r.Kind, a.RequestID, a.Detail))
		}
	}
	if only && len(r.Attempts) > 0 && len(x.of(r)) > 0 && len(found) == 0 {
		found = append(found, violation(RuleNotRun, "%s of body %.8s was only told not-run and ran as %s", r.Kind, r.Digest, x.of(r)[0].ID))
	}
	return found
}

// checkAnswer checks that the answer is that of a run of this request.
func (x index) checkAnswer(r *Record) []Violation {
	if r.Final == ToldRan && len(x.of(r)) == 0 {
		return []Violation{violation(RuleUnexplained, "%s of body %.8s: %s", r.Kind, r.Digest, r.last().Detail)}
	}
	if r.Final != ToldAnswered {
		return nil
	}
	for _, run := range x.of(r) {
		if run.ID == r.Result.ID && run.Generation == r.Result.Generation && run.Finished && run.Digest == r.ResultDigest {
			return nil
		}
	}
	return []Violation{violation(RuleAnswer, "%s %s was answered, but no such run finished", r.Kind, r.Result.ID)}
}

// checkOnce checks invariant 5.
func (x index) checkOnce(r *Record) []Violation {
	runs := x.of(r)
	if r.Idempotent || len(runs) <= 1 {
		return nil
	}
	return []Violation{violation(RuleAtMostOnce, "%s with key %s was started %d times, as %s and %s", r.Kind, r.Key, len(runs), runs[0].ID, runs[1].ID)}
}

// checkAccepted checks that accepted work ran to its end and that its results are
// those of its runs.
func (x index) checkAccepted(r *Record) []Violation {
	if r.Final != ToldAccepted {
		return nil
	}
	if r.Job == nil || r.Job.State != wire.JobSucceeded {
		return []Violation{violation(RuleLost, "%s: job %s was accepted and is %s", r.Kind, r.JobID, r.jobState())}
	}
	var found []Violation
	want := max(1, r.Tasks)
	if len(r.JobResults) != want {
		found = append(found, violation(RuleLost, "%s: job %s has %d of %d results", r.Kind, r.JobID, len(r.JobResults), want))
	}
	for _, result := range r.JobResults {
		ran := slices.ContainsFunc(x.of(r), func(run *Run) bool {
			return run.ID == result.ID && run.Generation == result.Generation && run.Finished && run.Digest == result.Digest
		})
		if !ran {
			found = append(found, violation(RuleAnswer, "%s: no run has the result of %s", r.Kind, result.ID))
		}
	}
	return found
}

func (r *Record) jobState() string {
	if r.Job == nil {
		return "not readable"
	}
	state := string(r.Job.State)
	if r.Job.Reason != "" {
		state += ": " + r.Job.Reason
	}
	return state
}

// checkGang checks that there was a moment at which every task of a gang ran.
func checkGang(r *Record, runs []*Run) []Violation {
	if r.Final != ToldAccepted {
		return nil
	}
	var began, over int64
	tasks := 0
	for _, run := range runs {
		if !run.Finished {
			continue
		}
		tasks++
		began = max(began, run.Start)
		if over == 0 || run.End < over {
			over = run.End
		}
	}
	if tasks == r.Tasks && began <= over {
		return nil
	}
	return []Violation{violation(RuleGang, "job %s: %d of %d tasks finished, the last began %d µs after the first ended", r.JobID, tasks, r.Tasks, began-over)}
}
