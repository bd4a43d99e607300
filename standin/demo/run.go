package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"time"

	"briarproxy/core/fault"
	"briarproxy/standin/worker"
)

// Cell is a running cluster of daemons and workers, with the user whose work it runs.
type Cell struct {
	User        string
	Daemons     []string // base URLs of the callers' API
	JournalPath string   // file to which its workers write their journal
}

// ParseCells parses cells written as USER,JOURNAL,URL,URL... Errors are of kind
// fault.Invalid.
func ParseCells(texts []string) ([]Cell, error) {
	cells := make([]Cell, 0, len(texts))
	for _, text := range texts {
		cell, err := parseCell(text)
		if err != nil {
			return nil, err
		}
		cells = append(cells, cell)
	}
	return cells, nil
}

func parseCell(text string) (Cell, error) {
	parts := strings.Split(text, ",")
	if len(parts) < 3 {
		return Cell{}, fault.New(fault.Invalid, "use USER,JOURNAL,URL,URL...", "cell %q is incomplete", text)
	}
	return Cell{User: parts[0], JournalPath: parts[1], Daemons: parts[2:]}, nil
}

// Options configures RunCells.
type Options struct {
	Cells     []Cell
	Duration  time.Duration // time for which requests are sent
	GangTasks int           // tasks of the gang job
	Seed      uint64
	Out       io.Writer
}

// settleTime is the time after the last answer within which a request wrongly reported as
// not run would still start; a start order is valid for 2 s.
const settleTime = 3 * time.Second

// RunCells runs the work of all cells concurrently and prints a table for each. It returns
// an error if work was lost or duplicated, a VM was overloaded or an answer was wrong.
func RunCells(ctx context.Context, options Options) error {
	name := fmt.Sprintf("run-%d", time.Now().UnixMilli())
	results := make([]cellResult, len(options.Cells))
	var group sync.WaitGroup
	for i, cell := range options.Cells {
		streams, err := UserStreams(cell.User, name, options.GangTasks)
		if err != nil {
			return err
		}
		group.Go(func() { results[i] = cell.run(ctx, streams, options) })
	}
	group.Wait()
	failures := 0
	for i, cell := range options.Cells {
		failures += results[i].print(options.Out, cell.User)
	}
	if failures > 0 {
		return fault.New(fault.Internal, "read the faults printed above and the daemons' logs", "the demo found %d faults", failures)
	}
	return nil
}

// cellResult holds the records of one cell and what the checks found in them.
type cellResult struct {
	records    []*Record
	rows       []Row
	violations []Violation
	err        error
}

func (c Cell) run(ctx context.Context, streams []Stream, options Options) cellResult {
	client := NewClient(c.Daemons, options.Seed)
	defer client.Close()
	records := SendStreams(ctx, client, streams, options.Duration, options.Seed)
	sleep(ctx, settleTime)
	entries, err := ReadJournal(c.JournalPath)
	if err != nil {
		return cellResult{err: err}
	}
	return cellResult{records: records, rows: Summarise(records, entries), violations: CheckRecords(records, entries)}
}

// ReadJournal reads the journal file of a cell's workers.
func ReadJournal(path string) ([]worker.Entry, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "pass the file to which the workers write their journal", "journal")
	}
	defer func() { _ = file.Close() }()
	return worker.ReadEntries(file)
}

// print writes the table and the faults of a cell and returns the number of faults.
func (r cellResult) print(out io.Writer, user string) int {
	_, _ = fmt.Fprintf(out, "\n%s\n", user)
	if r.err != nil {
		_, _ = fmt.Fprintf(out, "fault: %v\n", r.err)
		return 1
	}
	PrintSummary(out, r.rows)
	faults := 0
	for _, v := range r.violations {
		_, _ = fmt.Fprintf(out, "fault: %s\n", v)
		faults++
	}
	for _, row := range r.rows {
		for _, text := range row.failures() {
			_, _ = fmt.Fprintf(out, "fault: %s: %s\n", row.Kind, text)
			faults++
		}
	}
	if faults > 0 {
		printUnanswered(out, r.records)
	}
	return faults
}

// failures returns the reasons for which a row counts as failed. Requests that are
// idempotent and not durable may miss their deadlines, but at least half of all requests
// must be answered.
func (r Row) failures() []string {
	var found []string
	if r.Lost > 0 && r.Durable {
		found = append(found, fmt.Sprintf("%d lost", r.Lost))
	}
	if r.Duplicated > 0 {
		found = append(found, fmt.Sprintf("%d doubled", r.Duplicated))
	}
	if 2*r.Answered < r.Sent {
		found = append(found, fmt.Sprintf("only %d of %d answered", r.Answered, r.Sent))
	}
	return found
}

// maxUnansweredPrinted limits the unanswered requests that are printed for a cell with faults.
const maxUnansweredPrinted = 10

func printUnanswered(out io.Writer, records []*Record) {
	listed := 0
	for _, r := range records {
		if r.succeeded() || listed == maxUnansweredPrinted {
			continue
		}
		listed++
		_, _ = fmt.Fprintf(out, "not answered: %s of body %.8s: %s after %d calls, the last to %s: %s\n", r.Kind, r.BodyDigest, r.FinalOutcome, len(r.Attempts), r.lastAttempt().Daemon, r.lastAttempt().Detail)
	}
}
