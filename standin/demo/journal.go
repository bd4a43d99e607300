package demo

import (
	"cmp"
	"fmt"
	"slices"

	"briarproxy/core/wire"
	"briarproxy/standin/worker"
)

// Rule is an invariant that the demo checks, named after its violation.
type Rule string

// Values of Rule.
const (
	RuleOverCapacity     Rule = "vm-over-capacity"
	RuleAttemptsOverlap  Rule = "attempts-overlap"
	RuleTwoEffects       Rule = "request-took-effect-twice"
	RuleAtMostOnce       Rule = "non-idempotent-ran-twice"
	RuleNotRunButRan     Rule = "told-not-run-but-ran"
	RuleAnswerWithoutRun Rule = "answer-without-run"
	RuleWrongAnswer      Rule = "wrong-answer"
	RuleLost             Rule = "lost"
	RuleGangNotTogether  Rule = "gang-not-together"
	RuleRanWithoutRun    Rule = "told-ran-but-did-not"
)

// Violation is a violated rule.
type Violation struct {
	Rule   Rule
	Detail string
}

func (v Violation) String() string { return string(v.Rule) + ": " + v.Detail }

func violation(rule Rule, format string, args ...any) Violation {
	return Violation{Rule: rule, Detail: fmt.Sprintf(format, args...)}
}

// Run is one attempt that a worker started. Times are Unix times in µs.
type Run struct {
	ID           string
	Generation   int64
	VM           string
	Kind         wire.Kind
	Job          string
	BodyDigest   string
	StartUS      int64
	EndUS        int64 // 0 if still running at the end of the journal
	Finished     bool  // ended successfully
	Failed       bool
	StopReason   string // empty unless the run was stopped
	ResultDigest string // hex SHA-256 of the result
	LostUS       int64  // time at which the VM failed or was replaced after the start of the run; 0 if it was not
}

// Runs pairs the starts in a journal with their ends and returns the runs in order of their
// starts.
func Runs(entries []worker.Entry) []*Run {
	type runKey struct {
		vm, id      string
		incarnation int64
	}
	open := map[runKey]*Run{}
	var runs []*Run
	for _, e := range entries {
		key := runKey{e.VM, e.ID, e.Incarnation}
		switch e.Event {
		case worker.EventBoot:
			markLost(runs, e)
		case worker.EventStart:
			open[key] = &Run{
				ID: e.ID, Generation: e.Generation, VM: e.VM, Kind: e.Kind, Job: e.Job,
				BodyDigest: e.BodyDigest, StartUS: e.TimeUS,
			}
			runs = append(runs, open[key])
		case worker.EventEnd, worker.EventStop:
			if run := open[key]; run != nil {
				run.end(e)
				delete(open, key)
			}
		}
	}
	return runs
}

// markLost marks the earlier runs of a VM that booted again as lost with it.
func markLost(runs []*Run, boot worker.Entry) {
	for _, r := range runs {
		if r.VM == boot.VM && r.LostUS == 0 {
			r.LostUS = boot.TimeUS
		}
	}
}

func (r *Run) end(e worker.Entry) {
	// A paused worker notices only later that a lease has expired; the run ended at expiry.
	r.EndUS = e.TimeUS - e.OverdueUS
	r.Finished = e.Event == worker.EventEnd && e.State == wire.RunFinished
	r.Failed = e.Event == worker.EventEnd && e.State == wire.RunFailed
	r.ResultDigest = e.Digest
	if e.Event == worker.EventStop {
		r.StopReason = e.Reason
	}
}

// CheckJournal checks the invariants that the workers' journal alone can show: no VM is ever
// over its capacity, no two attempts of one id run at the same time, and no request or task
// takes effect twice.
func CheckJournal(entries []worker.Entry) []Violation {
	return slices.Concat(checkCapacity(entries), checkOverlap(Runs(entries)), checkTwice(Runs(entries)))
}

func checkCapacity(entries []worker.Entry) []Violation {
	var found []Violation
	for _, e := range entries {
		if e.Event == worker.EventOverload || !e.InUse.Fits(e.Capacity) {
			found = append(found, violation(RuleOverCapacity, "%s has %v in use of %v after %s of %s", e.VM, e.InUse, e.Capacity, e.Event, e.ID))
		}
	}
	return found
}

// checkOverlap checks that attempts of one id do not overlap. All workers of a journal must
// use the same clock.
func checkOverlap(runs []*Run) []Violation {
	var found []Violation
	for id, attempts := range groupBy(runs, func(r *Run) string { return r.ID }) {
		slices.SortStableFunc(attempts, func(a, b *Run) int { return cmp.Compare(a.StartUS, b.StartUS) })
		for i, later := range attempts[min(1, len(attempts)):] {
			earlier := attempts[i]
			if earlier.EndUS == 0 || earlier.EndUS > later.StartUS {
				found = append(found, violation(RuleAttemptsOverlap, "%s: generation %d on %s was not over when generation %d began on %s",
					id, earlier.Generation, earlier.VM, later.Generation, later.VM))
			}
		}
	}
	return found
}

func checkTwice(runs []*Run) []Violation {
	var found []Violation
	for id, attempts := range groupBy(runs, func(r *Run) string { return r.ID }) {
		if first, second, twice := findTwoEffects(attempts); twice {
			found = append(found, violation(RuleTwoEffects, "%s finished on %s as generation %d and again on %s as generation %d",
				id, first.VM, first.Generation, second.VM, second.Generation))
		}
	}
	return found
}

// findTwoEffects returns two runs of one id that both finished. A run whose VM failed before
// the later run began does not count, because its result was lost with the VM.
func findTwoEffects(attempts []*Run) (first, second *Run, twice bool) {
	for i, later := range attempts {
		for _, earlier := range attempts[:i] {
			lost := earlier.LostUS > 0 && earlier.LostUS <= later.StartUS
			if earlier.Finished && later.Finished && !lost {
				return earlier, later, true
			}
		}
	}
	return nil, nil, false
}

func groupBy(runs []*Run, key func(*Run) string) map[string][]*Run {
	groups := map[string][]*Run{}
	for _, r := range runs {
		groups[key(r)] = append(groups[key(r)], r)
	}
	return groups
}
