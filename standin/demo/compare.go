package demo

import (
	"slices"
	"strings"

	"briarproxy/core/wire"
	"briarproxy/standin/worker"
)

// CheckRecords checks all answers to callers against the runs in the journal, and the
// journal itself with CheckJournal. All records must be complete.
func CheckRecords(records []*Record, entries []worker.Entry) []Violation {
	found := CheckJournal(entries)
	runs := newRunIndex(Runs(entries))
	for _, r := range records {
		found = append(found, runs.check(r)...)
	}
	return found
}

// runIndex finds runs by the properties that records hold.
type runIndex struct {
	byBody map[string][]*Run
	byJob  map[string][]*Run
	byID   map[string][]*Run
}

func newRunIndex(runs []*Run) runIndex {
	return runIndex{
		byBody: groupBy(runs, func(r *Run) string { return r.BodyDigest }),
		byJob:  groupBy(runs, func(r *Run) string { return r.Job }),
		byID:   groupBy(runs, func(r *Run) string { return requestID(r.ID) }),
	}
}

// requestID strips the number that a shard owner appends to the request id for each
// attempt of a request with an idempotency key.
func requestID(id string) string {
	request, _, _ := strings.Cut(id, ".")
	return request
}

// runsOf returns the runs of a record's request or job.
func (x runIndex) runsOf(r *Record) []*Run {
	if r.Tasks > 0 {
		return x.byJob[r.JobID]
	}
	return x.byBody[r.BodyDigest]
}

func (x runIndex) check(r *Record) []Violation {
	var found []Violation
	for _, text := range r.Violations {
		found = append(found, violation(RuleWrongAnswer, "%s of body %.8s: %s", r.Kind, r.BodyDigest, text))
	}
	found = append(found, x.checkNotRun(r)...)
	found = append(found, x.checkAnswer(r)...)
	found = append(found, x.checkOnce(r)...)
	found = append(found, x.checkAccepted(r)...)
	if r.Tasks > 0 && !r.IndependentTasks {
		found = append(found, checkGang(r, x.runsOf(r))...)
	}
	return found
}

// checkNotRun checks invariant 4: what a caller was told did not run has not run. If all
// answers to a request were "not run", it must have no run at all. Otherwise each "not run"
// holds only for the call that it answers, which the request id identifies.
func (x runIndex) checkNotRun(r *Record) []Violation {
	var found []Violation
	only := true
	for _, a := range r.Attempts {
		if a.Outcome != OutcomeNotRun {
			only = false
			continue
		}
		if a.RequestID != "" && len(x.byID[a.RequestID]) > 0 {
			found = append(found, violation(RuleNotRunButRan, "%s %s: %s", r.Kind, a.RequestID, a.Detail))
		}
	}
	if only && len(r.Attempts) > 0 && len(x.runsOf(r)) > 0 && len(found) == 0 {
		found = append(found, violation(RuleNotRunButRan, "%s of body %.8s was only told not-run and ran as %s", r.Kind, r.BodyDigest, x.runsOf(r)[0].ID))
	}
	return found
}

// checkAnswer checks that the answer is the result of a run of this request, and that a
// request reported as run has a run.
func (x runIndex) checkAnswer(r *Record) []Violation {
	if r.FinalOutcome == OutcomeRan && len(x.runsOf(r)) == 0 {
		return []Violation{violation(RuleRanWithoutRun, "%s of body %.8s: %s", r.Kind, r.BodyDigest, r.lastAttempt().Detail)}
	}
	if r.FinalOutcome != OutcomeAnswered {
		return nil
	}
	for _, run := range x.runsOf(r) {
		if run.ID == r.Result.ID && run.Generation == r.Result.Generation && run.Finished && run.ResultDigest == r.ResultDigest {
			return nil
		}
	}
	return []Violation{violation(RuleAnswerWithoutRun, "%s %s was answered, but no such run finished", r.Kind, r.Result.ID)}
}

// checkOnce checks invariant 5: a non-idempotent request is started at most once.
func (x runIndex) checkOnce(r *Record) []Violation {
	runs := x.runsOf(r)
	if r.Idempotent || len(runs) <= 1 {
		return nil
	}
	return []Violation{violation(RuleAtMostOnce, "%s with key %s was started %d times, as %s and %s", r.Kind, r.Key, len(runs), runs[0].ID, runs[1].ID)}
}

// checkAccepted checks that an accepted job succeeded and that its results are those of
// its runs.
func (x runIndex) checkAccepted(r *Record) []Violation {
	if r.FinalOutcome != OutcomeAccepted {
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
		ran := slices.ContainsFunc(x.runsOf(r), func(run *Run) bool {
			return run.ID == result.ID && run.Generation == result.Generation && run.Finished && run.ResultDigest == result.Digest
		})
		if !ran {
			found = append(found, violation(RuleAnswerWithoutRun, "%s: no run has the result of %s", r.Kind, result.ID))
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

// checkGang checks that all tasks of a gang were running at the same time.
func checkGang(r *Record, runs []*Run) []Violation {
	if r.FinalOutcome != OutcomeAccepted {
		return nil
	}
	var lastStart, firstEnd int64
	tasks := 0
	for _, run := range runs {
		if !run.Finished {
			continue
		}
		tasks++
		lastStart = max(lastStart, run.StartUS)
		if firstEnd == 0 || run.EndUS < firstEnd {
			firstEnd = run.EndUS
		}
	}
	if tasks == r.Tasks && lastStart <= firstEnd {
		return nil
	}
	return []Violation{violation(RuleGangNotTogether, "job %s: %d of %d tasks finished, the last began %d µs after the first ended", r.JobID, tasks, r.Tasks, lastStart-firstEnd)}
}
