package bench

import (
	"encoding/json"
	"io"
	"os"
	"runtime"
	"text/tabwriter"

	"briarproxy/core/fault"
)

// Kind names a benchmark.
type Kind string

// Benchmarks that Run knows.
const (
	KindDecisions    Kind = "decisions"
	KindPacking      Kind = "packing"
	KindOppositeEnds Kind = "opposite-ends"
)

// Result is the content of the JSON file. Only the rows of the benchmark that ran
// are set.
type Result struct {
	Kind      Kind          `json:"kind"`
	GoVersion string        `json:"go_version"`
	Seed      uint64        `json:"seed"`
	Decisions []DecisionRow `json:"decisions,omitempty"`
	Targets   []Target      `json:"targets,omitempty"`
	Packing   []PackingRow  `json:"packing,omitempty"`
	Opposite  []OppositeRow `json:"opposite_ends,omitempty"`
}

// Target says whether a measured goal was met.
type Target struct {
	Name   string `json:"name"`
	Detail string `json:"detail"`
	Met    bool   `json:"met"`
}

// Run runs one benchmark, prints its table to out and writes the rows to jsonPath
// unless that is empty.
func Run(kind Kind, seed uint64, out io.Writer, jsonPath string) error {
	result := Result{Kind: kind, GoVersion: runtime.Version(), Seed: seed}
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	switch kind {
	case KindDecisions:
		result.Decisions = RunDecisions(DefaultDecisions(seed))
		result.Targets = DecisionTargets(result.Decisions)
		printDecisions(table, result.Decisions)
		printTargets(table, result.Targets)
	case KindPacking:
		result.Packing = RunPacking(DefaultPacking(seed))
		printPacking(table, result.Packing)
	case KindOppositeEnds:
		result.Opposite = RunOppositeEnds(DefaultOppositeEnds(seed))
		printOppositeEnds(table, result.Opposite)
	default:
		return fault.New(fault.Invalid, "use decisions, packing or opposite-ends", "benchmark %q does not exist", kind)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return writeJSON(jsonPath, result)
}

func writeJSON(path string, result Result) error {
	if path == "" {
		return nil
	}
	data, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}
