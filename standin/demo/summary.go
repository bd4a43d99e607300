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
	Kind       string
	Durable    bool // durable or non-idempotent: no request may be lost
	Sent       int
	Answered   int   // with a result, or as a job that succeeded
	RanOnce    int   // exactly one run finished, or one per task
	Refused    int   // reported as not run, with Retry-After
	Lost       int   // neither answered nor refused with Retry-After
	Duplicated int   // ran more often than the operation permits
	P50MS      int64 // median time from sending to the start of the run
	P99MS      int64 // 99th percentile of the same time
}

// Summarise returns a row for each kind of request, sorted by kind.
func Summarise(records []*Record, entries []worker.Entry) []Row {
	runs := newRunIndex(Runs(entries))
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

func summarise(kind string, records []*Record, runs runIndex) Row {
	row := Row{Kind: kind, Sent: len(records), Durable: records[0].Durable || !records[0].Idempotent}
	var waits []int64
	for _, r := range records {
		recordRuns := runs.runsOf(r)
		switch {
		case r.succeeded():
			row.Answered++
			if wait, ok := waitTime(r, recordRuns); ok {
				waits = append(waits, wait)
			}
		case r.RefusedWithRetryAfter():
			row.Refused++
		default:
			row.Lost++
		}
		if countFinished(recordRuns) == max(1, r.Tasks) {
			row.RanOnce++
		}
		if duplicated(r, recordRuns) {
			row.Duplicated++
		}
	}
	slices.Sort(waits)
	row.P50MS, row.P99MS = quantile(waits, 0.50), quantile(waits, 0.99)
	return row
}

// succeeded reports whether the caller got its result or its accepted job succeeded.
func (r *Record) succeeded() bool {
	return r.FinalOutcome == OutcomeAnswered || (r.FinalOutcome == OutcomeAccepted && r.Job != nil && r.Job.State == wire.JobSucceeded)
}

func countFinished(runs []*Run) int {
	count := 0
	for _, run := range runs {
		if run.Finished {
			count++
		}
	}
	return count
}

// duplicated reports whether a non-idempotent request was started twice, or one call of an
// idempotent request took effect twice without the loss of a VM. A caller's retry of an
// idempotent request is a new call.
func duplicated(r *Record, runs []*Run) bool {
	if !r.Idempotent {
		return len(runs) > 1
	}
	for _, same := range groupBy(runs, func(run *Run) string { return run.ID }) {
		if _, _, twice := findTwoEffects(same); twice {
			return true
		}
	}
	return false
}

// waitTime returns the time in ms from sending to the start of the run whose result the
// caller received; for a job, to the start of its last task.
func waitTime(r *Record, runs []*Run) (int64, bool) {
	var start int64
	for _, run := range runs {
		if run.Finished && (r.Result == nil || run.ID == r.Result.ID) {
			start = max(start, run.StartUS)
		}
	}
	return max(0, (start-r.SentAt.UnixMicro())/1000), start > 0
}

func quantile(sorted []int64, q float64) int64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// PrintSummary writes rows as a table.
func PrintSummary(out io.Writer, rows []Row) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "kind\tsent\tanswered\tran once\trefused, retry time\tlost\tdoubled\twait p50 ms\twait p99 ms\t")
	for _, r := range rows {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", r.Kind, r.Sent, r.Answered, r.RanOnce, r.Refused, r.Lost, r.Duplicated, r.P50MS, r.P99MS)
	}
	_ = w.Flush()
}

// SortByTime sorts the journal entries of several files by time.
func SortByTime(entries []worker.Entry) {
	slices.SortStableFunc(entries, func(a, b worker.Entry) int { return cmp.Compare(a.TimeUS, b.TimeUS) })
}
