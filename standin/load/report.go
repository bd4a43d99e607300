package load

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Value is one measured number.
type Value struct {
	Name   string  `json:"name"`
	Number float64 `json:"number"`
	Unit   string  `json:"unit,omitempty"`
}

// Row holds the values of one measured case.
type Row struct {
	Section string  `json:"section"`
	Case    string  `json:"case"`
	Item    string  `json:"item"`
	Values  []Value `json:"values"`
	Note    string  `json:"note,omitempty"`
}

// Report collects the rows of a run.
type Report struct {
	GoVersion string                     `json:"go_version"`
	Cores     int                        `json:"cores"`
	Rows      []Row                      `json:"rows"`
	Targets   []Target                   `json:"targets"`
	Included  map[string]json.RawMessage `json:"included,omitempty"` // reports of other benchmarks
}

// Target is a goal and whether the measurement met it.
type Target struct {
	Name   string `json:"name"`
	Detail string `json:"detail"`
	Met    bool   `json:"met"`
}

// NewReport returns an empty report.
func NewReport() *Report {
	return &Report{GoVersion: runtime.Version(), Cores: runtime.NumCPU(), Included: map[string]json.RawMessage{}}
}

func (r *Report) addRow(section, caseName, item, note string, values ...Value) {
	r.Rows = append(r.Rows, Row{Section: section, Case: caseName, Item: item, Values: values, Note: note})
}

func (r *Report) addTarget(name string, met bool, format string, args ...any) {
	r.Targets = append(r.Targets, Target{Name: name, Met: met, Detail: fmt.Sprintf(format, args...)})
}

// Print writes the report as a table.
func (r *Report) Print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "section\tcase\titem\tvalues\tnote")
	for _, row := range r.Rows {
		values := make([]string, len(row.Values))
		for i, v := range row.Values {
			values[i] = v.String()
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\n", row.Section, row.Case, row.Item, strings.Join(values, "  "), row.Note)
	}
	for _, t := range r.Targets {
		verdict := "met"
		if !t.Met {
			verdict = "MISSED"
		}
		_, _ = fmt.Fprintf(table, "target\t%s\t%s\t%s\t\n", t.Name, verdict, t.Detail)
	}
	return table.Flush()
}

// Write writes the report as JSON.
func (r *Report) Write(path string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}

// String formats the number with four significant digits, or as an integer from 1000 on.
func (v Value) String() string {
	number := fmt.Sprintf("%.4g", v.Number)
	if v.Number >= 1000 {
		number = fmt.Sprintf("%.0f", v.Number)
	}
	return v.Name + " " + number + v.Unit
}

func count[T int | int64](name string, n T) Value { return Value{Name: name, Number: float64(n)} }

func milliseconds(name string, d time.Duration) Value {
	return Value{Name: name, Number: float64(d.Microseconds()) / 1000, Unit: "ms"}
}

func seconds(name string, d time.Duration) Value {
	return Value{Name: name, Number: float64(d.Milliseconds()) / 1000, Unit: "s"}
}

// quantile returns the smallest value such that at least a fraction q of all values do
// not exceed it. It returns 0 for no values.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	index := int(q*float64(len(sorted))+0.999999) - 1
	return sorted[min(max(index, 0), len(sorted)-1)]
}

func quantileValues(waits []time.Duration) []Value {
	slices.Sort(waits)
	return []Value{
		milliseconds("p50", quantile(waits, 0.5)),
		milliseconds("p99", quantile(waits, 0.99)),
		milliseconds("p99.9", quantile(waits, 0.999)),
		count("of", len(waits)),
	}
}
