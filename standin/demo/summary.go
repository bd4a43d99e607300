package demo

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"briarproxy/core/wire"
	"briarproxy/standin/worker"
)

// Row sums up the requests of one kind.
type Row struct {
	Kind     string
	Durable  bool // or non-idempotent: none may be lost
	Sent     int
	Answered int   // with the result, or as a job that succeeded
	RanOnce  int   // exactly one run took effect
	Refused  int   // told not-run, with a time to retry
	Lost     int   // neither of these
	Doubled  int   // ran more often than the operation allows
	P50      int64 // ms from sending to the start of the run
	P99      int64 // ms
}

// Summarise returns a row for each kind, in the order of the first request.
func Summarise(records []*Record, entries []worker.Entry) []Row {
	runs := newIndex(Runs(entries))
	byKind := map[string][]*Record{}
	var kinds []string
	for _, r := range records {
		if byKind[r.Kind] == nil {
			kinds = append(kinds, r.Kind)
		}
		byKind[r.Kind] = append(byKind[r.Kind], r)
	}
	slices.Sort(kinds)
	rows := make([]Row, 0, len(kinds))
	for _, kind := range kinds {
		rows = append(rows, summarise(kind, byKind[kind], runs))
	}
	return rows
}

func summarise(kind string, records []*Record, runs index) Row {
	row := Row{Kind: kind, Sent: len(records), Durable: records[0].Durable || !records[0].Idempotent}
	var waits []int64
	for _, r := range records {
		of := runs.of(r)
		switch {
		case r.done():
			row.Answered++
			if wait, ok := waited(r, of); ok {
				waits = append(waits, wait)
			}
		case r.RefusedWithTime():
			row.Refused++
		default:
			row.Lost++
		}
		if effects(of) == max(1, r.Tasks) {
			row.RanOnce++
		}
		if doubled(r, of) {
			row.Doubled++
		}
	}
	slices.Sort(waits)
	row.P50, row.P99 = quantile(waits, 0.50), quantile(waits, 0.99)
	return row
}

// done reports whether the caller has what it asked for.
func (r *Record) done() bool {
	return r.Final == ToldAnswered || (r.Final == ToldAccepted && r.Job != nil && r.Job.State == wire.JobSucceeded)
}

func effects(runs []*Run) int {
	count := 0
	for _, run := range runs {
		if run.Finished {
			count++
		}
	}
	return count
}

// doubled reports whether a non-idempotent request was started twice, or one call
// of an idempotent request took effect twice for no reason. A caller that repeats an
// idempotent request makes a new call.
func doubled(r *Record, runs []*Run) bool {
	if !r.Idempotent {
		return len(runs) > 1
	}
	for _, same := range byKey(runs, func(run *Run) string { return run.ID }) {
		if _, _, twice := effectTwice(same); twice {
			return true
		}
	}
	return false
}

// waited returns the time in ms from sending to the start of the run whose answer
// the caller has; for a job, of its last task.
func waited(r *Record, runs []*Run) (int64, bool) {
	var start int64
	for _, run := range runs {
		if run.Finished && (r.Result == nil || run.ID == r.Result.ID) {
			start = max(start, run.Start)
		}
	}
	return max(0, (start-r.Sent.UnixMicro())/1000), start > 0
}

func quantile(sorted []int64, q float64) int64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// Print writes rows as a table.
func Print(out io.Writer, rows []Row) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "kind\tsent\tanswered\tran once\trefused, retry time\tlost\tdoubled\twait p50 ms\twait p99 ms\t")
	for _, r := range rows {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", r.Kind, r.Sent, r.Answered, r.RanOnce, r.Refused, r.Lost, r.Doubled, r.P50, r.P99)
	}
	_ = w.Flush()
}

// ByTime orders journal entries of several files by time.
func ByTime(entries []worker.Entry) {
	slices.SortStableFunc(entries, func(a, b worker.Entry) int { return cmp.Compare(a.TimeUS, b.TimeUS) })
}
