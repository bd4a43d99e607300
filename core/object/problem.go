package object

import (
	"fmt"
	"sort"
	"strings"

	"briarproxy/core/fault"
	"briarproxy/core/jsonc"
)

// These rules apply to a whole set, in addition to the rules of jsonc.
const (
	RuleUnknownKind       jsonc.Rule = "unknown-kind"
	RuleDuplicateName     jsonc.Rule = "duplicate-name"
	RuleDanglingReference jsonc.Rule = "dangling-reference"
	RuleCyclicReference   jsonc.Rule = "cyclic-reference"
	RuleNeverFits         jsonc.Rule = "never-fits"
	RuleEmptyPool         jsonc.Rule = "empty-pool"
	RuleUnsafeRetry       jsonc.Rule = "unsafe-retry"
	RuleConflictingFields jsonc.Rule = "conflicting-fields"
)

// Problem is one violation of a rule in a set of object files.
type Problem struct {
	File    string     `json:"file"`
	Line    int        `json:"line"` // Lines are numbered from 1.
	Kind    Kind       `json:"kind,omitempty"`
	Object  string     `json:"object,omitempty"`
	Field   string     `json:"field,omitempty"` // Field is the path within the object.
	Rule    jsonc.Rule `json:"rule"`
	Message string     `json:"message"`
	Remedy  string     `json:"remedy"`
}

// String formats the problem on one line.
func (p Problem) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d: ", p.File, p.Line)
	if p.Object != "" {
		fmt.Fprintf(&b, "%s %q: ", p.Kind, p.Object)
	}
	if p.Field != "" {
		fmt.Fprintf(&b, "%s: ", p.Field)
	}
	fmt.Fprintf(&b, "%s (%s)", p.Message, p.Remedy)
	return b.String()
}

// ProblemsError returns one error of kind fault.Invalid that lists the problems, or
// nil if there are none.
func ProblemsError(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	lines := make([]string, 0, len(problems))
	for _, p := range problems {
		lines = append(lines, p.String())
	}
	return fault.New(fault.Invalid, "correct every listed problem; nothing of the set was accepted",
		"%d problems in the objects:\n%s", len(problems), strings.Join(lines, "\n"))
}

// sortProblems orders problems by location, so that equal input gives equal output.
func sortProblems(problems []Problem) {
	sort.SliceStable(problems, func(i, j int) bool {
		a, b := problems[i], problems[j]
		if a.File != b.File {
			return a.File < b.File
		}
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		if a.Object != b.Object {
			return a.Object < b.Object
		}
		if a.Field != b.Field {
			return a.Field < b.Field
		}
		return a.Message < b.Message
	})
}
