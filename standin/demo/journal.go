package demo

import (
	"cmp"
	"fmt"
	"slices"

	"briarproxy/core/wire"
	"briarproxy/standin/worker"
)

// Rule names what a violation breaks.
type Rule string

// Rules that are checked.
const (
	RuleCapacity    Rule = "vm-over-capacity"
	RuleOverlap     Rule = "attempts-overlap"
	RuleTwice       Rule = "request-took-effect-twice"
	RuleAtMostOnce  Rule = "non-idempotent-ran-twice"
	RuleNotRun      Rule = "told-not-run-but-ran"
	RuleAnswer      Rule = "answer-without-run"
	RuleForeign     Rule = "wrong-answer"
	RuleLost        Rule = "lost"
	RuleGang        Rule = "gang-not-together"
	RuleUnexplained Rule = "told-ran-but-did-not"
)

// Violation is a broken rule.
type Violation struct {
	Rule   Rule
	Detail string
}

func (v Violation) String() string { return string(v.Rule) + ": " + v.Detail }

func violation(rule Rule, format string, args ...any) Violation {
	return Violation{Rule: rule, Detail: fmt.Sprintf(format, args...)}
}

// Run is one attempt that a worker started. Times are Unix time in µs.
type Run struct {
	ID         string
	Generation int64
	VM         string
	Kind       wire.Kind
	Job        string
	BodyDigest string
	Start      int64
	End        int64 // 0: still running at the end of the journal
	Finished   bool  // ran to its end with success
	Failed     bool
	Stopped    string // reason of a stop
	Digest     string // of the result
	Gone       int64  // when the VM failed or was replaced after the run, 0: not
}

// Runs pairs the starts in a journal with their ends, in order of their start.
func Runs(entries []worker.Entry) []*Run {
	type place struct {
		vm, id      string
		incarnation int64
	}
	open := map[place]*Run{}
	var runs []*Run
	for _, e := range entries {
		at := place{e.VM, e.ID, e.Incarnation}
		switch e.Event {
		case worker.EventBoot:
			forget(runs, e)
		case worker.EventStart:
			open[at] = &Run{
				ID: e.ID, Generation: e.Generation, VM: e.VM, Kind: e.Kind, Job: e.Job,
				BodyDigest: e.BodyDigest, Start: e.TimeUS,
			}
			runs = append(runs, open[at])
		case worker.EventEnd, worker.EventStop:
			if run := open[at]; run != nil {
				run.end(e)
				delete(open, at)
			}
		}
	}
	return runs
}

// forget marks the runs of a VM that was replaced.
func forget(runs []*Run, boot worker.Entry) {
	for _, r := range runs {
		if r.VM == boot.VM && r.Gone == 0 {
			r.Gone = boot.TimeUS
		}
	}
}

func (r *Run) end(e worker.Entry) {
	// A worker that was paused notices a lapsed lease late; the run ended before.
	r.End = e.TimeUS - e.OverdueUS
	r.Finished = e.Event == worker.EventEnd && e.State == wire.RunFinished
	r.Failed = e.Event == worker.EventEnd && e.State == wire.RunFailed
	r.Digest = e.Digest
	if e.Event == worker.EventStop {
		r.Stopped = e.Reason
	}
}

// CheckJournal checks what can be seen from the workers' journal alone: no VM over
// its capacity at any moment, no two attempts of one id at the same time, and no
// request or task that took effect twice.
func CheckJournal(entries []worker.Entry) []Violation {
	return slices.Concat(checkCapacity(entries), checkOverlap(Runs(entries)), checkTwice(Runs(entries)))
}

func checkCapacity(entries []worker.Entry) []Violation {
	var found []Violation
	for _, e := range entries {
		if e.Event == worker.EventOverload || !e.InUse.Fits(e.Capacity) {
			found = append(found, violation(RuleCapacity, "%s has %v in use of %v after %s of %s", e.VM, e.InUse, e.Capacity, e.Event, e.ID))
		}
	}
	return found
}

// checkOverlap relies on one clock for all workers of a journal.
func checkOverlap(runs []*Run) []Violation {
	var found []Violation
	for id, attempts := range byKey(runs, func(r *Run) string { return r.ID }) {
		slices.SortStableFunc(attempts, func(a, b *Run) int { return cmp.Compare(a.Start, b.Start) })
		for i, later := range attempts[min(1, len(attempts)):] {
			earlier := attempts[i]
			if earlier.End == 0 || earlier.End > later.Start {
				found = append(found, violation(RuleOverlap, "%s: generation %d on %s was not over when generation %d began on %s",
					id, earlier.Generation, earlier.VM, later.Generation, later.VM))
			}
		}
	}
	return found
}

func checkTwice(runs []*Run) []Violation {
	var found []Violation
	for id, attempts := range byKey(runs, func(r *Run) string { return r.ID }) {
		if first, second, twice := effectTwice(attempts); twice {
			found = append(found, violation(RuleTwice, "%s finished on %s as generation %d and again on %s as generation %d",
				id, first.VM, first.Generation, second.VM, second.Generation))
		}
	}
	return found
}

// effectTwice returns two runs of one id that both finished. What finished on a VM
// that failed before the later run began may run again: its result is gone.
func effectTwice(attempts []*Run) (first, second *Run, twice bool) {
	for i, later := range attempts {
		for _, earlier := range attempts[:i] {
			gone := earlier.Gone > 0 && earlier.Gone <= later.Start
			if earlier.Finished && later.Finished && !gone {
				return earlier, later, true
			}
		}
	}
	return nil, nil, false
}

func byKey(runs []*Run, key func(*Run) string) map[string][]*Run {
	groups := map[string][]*Run{}
	for _, r := range runs {
		groups[key(r)] = append(groups[key(r)], r)
	}
	return groups
}
