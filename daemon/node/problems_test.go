package node

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// problemShape says where a constructor of wire.Problem takes its arguments, -1 for
// those that it fixes.
type problemShape struct {
	status, kind, outcome, remedy, retry int
	fixedStatus, fixedOutcome            string
	fixedRemedy                          bool
}

var problemShapes = map[string]problemShape{
	"router.problem":        {status: 0, outcome: 1, kind: 2, remedy: 3, retry: -1},
	"router.notRun":         {status: 0, kind: 1, remedy: 2, outcome: -1, retry: -1, fixedOutcome: "OutcomeNotRun"},
	"router.busy":           {kind: 0, retry: 1, status: -1, outcome: -1, remedy: -1, fixedStatus: "StatusServiceUnavailable", fixedOutcome: "OutcomeNotRun", fixedRemedy: true},
	"router.unknown":        {remedy: 0, kind: -1, status: -1, outcome: -1, retry: -1, fixedStatus: "StatusGatewayTimeout", fixedOutcome: "OutcomeUnknown"},
	"shard.problem":         {status: 0, kind: 1, outcome: 2, retry: 3, remedy: 5},
	"shard.refuse":          {kind: 0, remedy: 2, status: -1, outcome: -1, retry: -1, fixedStatus: "StatusUnprocessableEntity", fixedOutcome: "OutcomeNotRun"},
	"callerapi.problem":     {status: 0, kind: 1, remedy: 2, outcome: -1, retry: -1, fixedOutcome: "OutcomeNotRun"},
	"adminapi.writeProblem": {status: 1, kind: 2, remedy: 3, outcome: -1, retry: -1, fixedOutcome: "OutcomeNotRun"},
}

// problemOutcomes lists every kind of problem that the module can return, and the
// outcomes that are true for it. "later" marks kinds whose outcome or kind depends
// on what happened; tests of their packages cover these.
var problemOutcomes = map[string]string{
	// The request was judged before anything was started.
	"not-ready": "NotRun", "unknown-service": "NotRun", "unknown-operation": "NotRun", "body-too-large": "NotRun",
	"unknown-class": "NotRun", "unknown-pool": "NotRun", "unknown-team": "NotRun", "key-required": "NotRun",
	"body-incomplete": "NotRun", "malformed-request": "NotRun", "malformed-job": "NotRun", "no-route": "NotRun",
	"unknown-job": "NotRun", "unknown-id": "NotRun", "job-id-in-use": "NotRun", "idempotency-key-in-use": "NotRun",
	"can-never-run": "NotRun", "job-size": "NotRun", "unauthorized": "NotRun", "unknown-policy": "NotRun", "unknown-template": "NotRun", "quota-used-up": "NotRun", "quota-unavailable": "NotRun",
	// Nothing was started, or what was started surely never ran; history.honest corrects
	// these after an attempt that may have run.
	"no-capacity": "NotRun", "no-slot": "NotRun", "overload": "NotRun", "stopping": "NotRun", "retries-used-up": "NotRun",
	"retry-budget": "NotRun", "deadline-passed": "NotRun", "no-shard-owner": "NotRun", "shard-unavailable": "NotRun",
	"log-unavailable": "NotRun",
	// An answer was lost.
	"outcome-unknown": "Unknown", "answer-damaged": "Unknown", "log-unconfirmed": "Unknown", "submission-in-flight": "Unknown",
	"outcome-lost": "Unknown", "in-flight": "Unknown", "unknown-outcome": "Unknown", "shard-moves": "Unknown", "internal": "Unknown",
	// It ran.
	"request-failed": "Ran", "result-lost": "Ran",
}

// setLater are kinds whose constructor is followed by an assignment of the outcome.
var setLater = map[string]bool{"internal": true, "callerapi answer-damaged": true}

type problemCall struct {
	at, kind, outcome, status, remedy, retry string
}

// problemCalls finds the calls of the constructors, and counts the literals of
// wire.Problem outside of them.
func problemCalls(t *testing.T, dir string) (calls []problemCall, literals int) {
	files, err := filepath.Glob(filepath.Join("..", dir, "*.go"))
	require.NoError(t, err)
	fset := token.NewFileSet()
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(fset, name, nil, 0)
		require.NoError(t, err)
		ast.Inspect(file, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.FuncDecl:
				_, constructor := problemShapes[dir+"."+n.Name.Name]
				return !constructor
			case *ast.CompositeLit:
				if text(n.Type) == "wire.Problem" {
					literals++
				}
			case *ast.CallExpr:
				fun, _ := n.Fun.(*ast.Ident)
				if fun == nil {
					return true
				}
				if shape, known := problemShapes[dir+"."+fun.Name]; known {
					calls = append(calls, shape.read(n.Args, fset.Position(n.Pos()).String()+" "+fun.Name))
				}
			}
			return true
		})
	}
	return calls, literals
}

func (s problemShape) read(args []ast.Expr, at string) problemCall {
	arg := func(i int) string {
		if i < 0 || i >= len(args) {
			return ""
		}
		return text(args[i])
	}
	c := problemCall{at: at, kind: arg(s.kind), outcome: arg(s.outcome), status: arg(s.status), remedy: arg(s.remedy), retry: arg(s.retry)}
	if s.kind < 0 {
		c.kind = "outcome-unknown"
	}
	if s.fixedStatus != "" {
		c.status = s.fixedStatus
	}
	if s.fixedOutcome != "" {
		c.outcome = s.fixedOutcome
	}
	if s.fixedRemedy {
		c.remedy = "fixed"
	}
	c.outcome = strings.TrimPrefix(c.outcome, "wire.")
	c.status = strings.TrimPrefix(c.status, "http.")
	return c
}

// text renders literals, names, selectors and sums of them.
func text(e ast.Expr) string {
	switch e := e.(type) {
	case *ast.BasicLit:
		if s, err := strconv.Unquote(e.Value); err == nil {
			return s
		}
		return e.Value
	case *ast.Ident:
		return e.Name
	case *ast.SelectorExpr:
		return text(e.X) + "." + e.Sel.Name
	case *ast.BinaryExpr:
		return text(e.X) + text(e.Y)
	case *ast.CallExpr:
		return text(e.Fun) + "()"
	case *ast.StarExpr:
		return text(e.X)
	}
	return ""
}

// Guards against a problem without a true outcome, without a remedy, or without a
// time where its remedy is to try again later. A new kind has to be judged here.
func TestEveryProblemHasATrueOutcomeAndARemedy(t *testing.T) {
	seen := map[string]bool{}
	for _, dir := range []string{"router", "shard", "callerapi", "adminapi"} {
		calls, literals := problemCalls(t, dir)
		require.NotEmpty(t, calls, dir)
		require.Zero(t, literals, "%s builds a problem without its constructor", dir)
		for _, c := range calls {
			kind := strings.TrimSuffix(c.kind, "string()")
			if kind == "kind" || kind == "job-" {
				continue // the callers of the wrapper are in the list, or the kind depends on the job's state
			}
			want, judged := problemOutcomes[kind]
			require.True(t, judged, "%s: kind %q is not judged", c.at, kind)
			seen[kind] = true
			if !setLater[kind] && !setLater[dir+" "+kind] {
				require.Equal(t, "Outcome"+want, c.outcome, c.at)
			}
			require.NotEmpty(t, c.remedy, c.at)
			if dir == "shard" && (c.status == "StatusServiceUnavailable" || c.status == "StatusGatewayTimeout") {
				require.NotEqual(t, "0", c.retry, "%s: a caller is to try again, but not told when", c.at)
			}
			if strings.Contains(c.remedy, "time given") {
				require.NotEqual(t, "0", c.retry, "%s: the remedy names a time", c.at)
			}
			if dir != "shard" && (c.status == "StatusServiceUnavailable" || c.status == "StatusGatewayTimeout") {
				require.Contains(t, []string{"busy", "unknown"}, c.at[strings.LastIndex(c.at, " ")+1:], "%s: use a constructor that sets Retry-After", c.at)
			}
		}
	}
	for kind := range problemOutcomes {
		require.True(t, seen[kind], "kind %q is judged but not in the code", kind)
	}
}
