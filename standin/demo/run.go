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

// Cell is one running system.
type Cell struct {
	User    string
	Daemons []string // base URLs of the callers' API
	Journal string   // file of its workers
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
		return Cell{}, fault.New(fault.Invalid, "use USER,JOURNAL,URL,URL...", "cell %q", text)
	}
	return Cell{User: parts[0], Journal: parts[1], Daemons: parts[2:]}, nil
}

// Options configure RunCells.
type Options struct {
	Cells     []Cell
	Duration  time.Duration // of the load
	GangTasks int           // tasks of the gang job
	Seed      uint64
	Out       io.Writer
}

// settleWait is the time after the last answer in which a request that was
// wrongly reported as not run would still begin; starts are valid for 2 s.
const settleWait = 3 * time.Second

// RunCells runs the work of all cells at once and prints a table for each. Its error
// tells that work was lost or doubled, a VM overloaded or a caller misinformed.
func RunCells(ctx context.Context, options Options) error {
	name := fmt.Sprintf("run-%d", time.Now().UnixMilli())
	results := make([]result, len(options.Cells))
	var group sync.WaitGroup
	for i, cell := range options.Cells {
		kinds, err := Kinds(cell.User, name, options.GangTasks)
		if err != nil {
			return err
		}
		group.Go(func() { results[i] = cell.run(ctx, kinds, options) })
	}
	group.Wait()
	failures := 0
	for i, cell := range options.Cells {
		failures += results[i].print(options.Out, cell.User)
	}
	if failures > 0 {
		return fault.New(fault.Internal, "read the lines above and the daemons' logs", "the demo found %d faults", failures)
	}
	return nil
}

// result is the outcome of one cell.
type result struct {
	records    []*Record
	rows       []Row
	violations []Violation
	err        error
}

func (c Cell) run(ctx context.Context, kinds []Kind, options Options) result {
	client := NewClient(c.Daemons, options.Seed)
	defer client.Close()
	records := Send(ctx, client, kinds, options.Duration, options.Seed)
	sleep(ctx, settleWait)
	entries, err := ReadJournal(c.Journal)
	if err != nil {
		return result{err: err}
	}
	return result{records: records, rows: Summarise(records, entries), violations: Compare(records, entries)}
}

// ReadJournal reads the journal file of a cell's workers.
func ReadJournal(path string) ([]worker.Entry, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "name the file that the workers write", "journal")
	}
	defer func() { _ = file.Close() }()
	return worker.ReadEntries(file)
}

// print writes the table and the faults of a cell and returns the number of faults.
func (r result) print(out io.Writer, user string) int {
	_, _ = fmt.Fprintf(out, "\n%s\n", user)
	if r.err != nil {
		_, _ = fmt.Fprintf(out, "fault: %v\n", r.err)
		return 1
	}
	Print(out, r.rows)
	faults := 0
	for _, v := range r.violations {
		_, _ = fmt.Fprintf(out, "fault: %s\n", v)
		faults++
	}
	for _, row := range r.rows {
		for _, text := range row.faults() {
			_, _ = fmt.Fprintf(out, "fault: %s: %s\n", row.Kind, text)
			faults++
		}
	}
	if faults > 0 {
		printUnanswered(out, r.records)
	}
	return faults
}

// faults lists what makes a row a failure. Requests that are neither durable nor
// non-idempotent may miss their deadline, but not most of them.
func (r Row) faults() []string {
	var found []string
	if r.Lost > 0 && r.Durable {
		found = append(found, fmt.Sprintf("%d lost", r.Lost))
	}
	if r.Doubled > 0 {
		found = append(found, fmt.Sprintf("%d doubled", r.Doubled))
	}
	if 2*r.Answered < r.Sent {
		found = append(found, fmt.Sprintf("only %d of %d answered", r.Answered, r.Sent))
	}
	return found
}

// maxUnanswered bounds the requests that a failure lists.
const maxUnanswered = 10

func printUnanswered(out io.Writer, records []*Record) {
	listed := 0
	for _, r := range records {
		if r.done() || listed == maxUnanswered {
			continue
		}
		listed++
		_, _ = fmt.Fprintf(out, "not answered: %s of body %.8s: %s after %d calls, the last to %s: %s\n", r.Kind, r.Digest, r.Final, len(r.Attempts), r.last().Daemon, r.last().Detail)
	}
}
