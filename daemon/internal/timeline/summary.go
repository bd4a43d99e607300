package timeline

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Text returns the content of a line without its time and daemon.
func (l *Line) Text() string {
	parts := []string{fmt.Sprint(l.Event), l.EventName}
	if l.Decision != "" {
		parts = []string{fmt.Sprint(l.Event), l.Decision}
	}
	if l.Job != "" {
		parts = append(parts, "job "+l.Job)
	}
	if l.Task.Run > 0 {
		parts = append(parts, fmt.Sprintf("task %s run %d", l.Task.label(), l.Task.Run))
	}
	if l.Worker != "" {
		parts = append(parts, "on "+l.Worker)
	}
	if l.Reason != "" {
		parts = append(parts, "("+l.Reason+")")
	}
	if l.AgeMS > 0 {
		parts = append(parts, fmt.Sprintf("age %d ms", l.AgeMS))
	}
	if l.Version > 0 {
		parts = append(parts, fmt.Sprintf("version %d", l.Version))
	}
	if l.Event != eventPlacerSummary {
		parts = append(parts, l.formatExtraFields()...)
	}
	return strings.Join(parts, " ")
}

// formatExtraFields returns the fields that have no member in Line, sorted by name.
func (l *Line) formatExtraFields() []string {
	var names []string
	for name := range l.Fields {
		names = append(names, name)
	}
	slices.Sort(names)
	for i, name := range names {
		names[i] = fmt.Sprintf("%s %v", name, l.Fields[name])
	}
	return names
}

// label returns the task as "occurrence.step.index".
func (t Task) label() string { return fmt.Sprintf("%d.%d.%d", t.Occurrence, t.Step, t.Index) }

// Write prints the lines as a table, with the seconds since the first line.
func Write(out io.Writer, lines []Line) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for i := range lines {
		l := &lines[i]
		fmt.Fprintf(table, "%s\t+%.3f\t%s\t%s\n", l.Time.UTC().Format("15:04:05.000"), l.Time.Sub(lines[0].Time).Seconds(), l.Daemon, l.Text())
	}
	return table.Flush()
}

// Summary returns one sentence about the outcome of a job, or "" if job is empty.
func Summary(lines []Line, job string) string {
	if job == "" {
		return ""
	}
	var accepted, lastOutcome *Line
	var started, ended, failed int
	for i := range lines {
		l := &lines[i]
		if l.Job != job {
			continue
		}
		switch {
		case l.Event == eventJobAccepted:
			accepted = l
		case l.Event > eventJobAccepted && l.Event <= lastJobEvent:
			lastOutcome = l
		case l.Decision == "start sent":
			started++
		case l.Decision == "run ended":
			ended++
			if l.Reason == "failed" {
				failed++
			}
		}
	}
	switch {
	case accepted == nil && lastOutcome == nil && started == 0:
		return "no line names job " + job
	case accepted == nil && lastOutcome != nil && started == 0:
		return fmt.Sprintf("job %s was not accepted here: %s (%s) at %s", job, lastOutcome.EventName, lastOutcome.Reason, lastOutcome.Daemon)
	}
	s := fmt.Sprintf("job %s: %d starts, %d ends, %d of them failed", job, started, ended, failed)
	if accepted != nil {
		s += fmt.Sprintf("; accepted by %s at %s", accepted.Daemon, accepted.Time.UTC().Format("15:04:05.000"))
	}
	if lastOutcome != nil {
		s += fmt.Sprintf("; %s (%s)", lastOutcome.EventName, lastOutcome.Reason)
	}
	return s
}

// Span is a time interval in one lane of the page's chart.
type Span struct {
	Lane       string
	From       time.Time
	To         time.Time
	Kind       string // "placer", "away" for a daemon without the log, "running", or how a run ended
	Label      string
	unfinished bool
}

// Spans returns the intervals in which a daemon was the placer, in which a daemon could not
// read the log, and in which a task ran. Intervals that have not ended by the last line end
// there.
func Spans(lines []Line) []Span {
	var spans []Span
	if len(lines) == 0 {
		return nil
	}
	end := lines[len(lines)-1].Time
	unfinished := map[string]int{}
	begin := func(key string, s Span) {
		s.unfinished = true
		unfinished[key] = len(spans)
		spans = append(spans, s)
	}
	finish := func(key string, at time.Time, kind, label string) {
		if i, found := unfinished[key]; found {
			spans[i].To, spans[i].unfinished = at, false
			if kind != "" {
				spans[i].Kind = kind
			}
			spans[i].Label += label
			delete(unfinished, key)
		}
	}
	for i := range lines {
		l := &lines[i]
		switch {
		case l.Event == eventPlacerBegan:
			begin("placer "+l.Daemon, Span{Lane: "placer", From: l.Time, Kind: "placer", Label: l.Daemon})
		case l.Event == eventPlacerEnded, l.Event == eventCellStarted, l.Event == eventCellStopped:
			finish("placer "+l.Daemon, l.Time, "", ": "+l.Reason)
		case l.Event == eventLogLost:
			begin("away "+l.Daemon, Span{Lane: "log away from " + l.Daemon, From: l.Time, Kind: "away", Label: l.Reason})
		case l.Event == eventLogBack:
			finish("away "+l.Daemon, l.Time, "", "")
		case l.Event == eventPlacerDecision && l.Decision == "start sent":
			begin(runKey(l), Span{Lane: "task " + l.Task.label() + " of " + l.Job, From: l.Time, Kind: "running", Label: fmt.Sprintf("run %d on %s", l.Task.Run, l.Worker)})
		case l.Event == eventPlacerDecision && l.Decision == "run ended":
			finish(runKey(l), l.Time, l.Reason, ": "+l.Reason)
		}
	}
	for i := range spans {
		if spans[i].unfinished {
			spans[i].To = end
		}
	}
	return spans
}

// runKey identifies one run of a task.
func runKey(l *Line) string { return fmt.Sprintf("%s %s %d", l.Job, l.Task.label(), l.Task.Run) }
