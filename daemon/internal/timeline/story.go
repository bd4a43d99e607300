package timeline

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Text returns what a line says, without time and daemon.
func (l *Line) Text() string {
	parts := []string{fmt.Sprint(l.Event), l.Message}
	if l.Decision != "" {
		parts = []string{fmt.Sprint(l.Event), l.Decision}
	}
	if l.Job != "" {
		parts = append(parts, "job "+l.Job)
	}
	if l.Task.Run > 0 {
		parts = append(parts, fmt.Sprintf("task %s run %d", l.Task.name(), l.Task.Run))
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
	if l.Event != eventSummary {
		parts = append(parts, l.rest()...)
	}
	return strings.Join(parts, " ")
}

// rest returns the fields that have no place of their own, in a fixed order.
func (l *Line) rest() []string {
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

func (t Task) name() string { return fmt.Sprintf("%d.%d.%d", t.Occurrence, t.Step, t.Index) }

// Write prints the lines, with the time since the first.
func Write(out io.Writer, lines []Line) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for i := range lines {
		l := &lines[i]
		fmt.Fprintf(table, "%s\t+%.3f\t%s\t%s\n", l.At.UTC().Format("15:04:05.000"), l.At.Sub(lines[0].At).Seconds(), l.Daemon, l.Text())
	}
	return table.Flush()
}

// Summary says in one sentence how a job's story ends; "" if the lines hold no job's story.
func Summary(lines []Line, job string) string {
	if job == "" {
		return ""
	}
	var accepted, decided *Line
	var started, ended, failed int
	for i := range lines {
		l := &lines[i]
		if l.Job != job {
			continue
		}
		switch {
		case l.Event == eventAccepted:
			accepted = l
		case l.Event > eventAccepted && l.Event <= eventLastOfJob:
			decided = l
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
	case accepted == nil && decided == nil && started == 0:
		return "no line names job " + job
	case accepted == nil && decided != nil && started == 0:
		return fmt.Sprintf("job %s was not accepted here: %s (%s) at %s", job, decided.Message, decided.Reason, decided.Daemon)
	}
	s := fmt.Sprintf("job %s: %d starts, %d ends, %d of them failed", job, started, ended, failed)
	if accepted != nil {
		s += fmt.Sprintf("; accepted by %s at %s", accepted.Daemon, accepted.At.UTC().Format("15:04:05.000"))
	}
	if decided != nil {
		s += fmt.Sprintf("; %s (%s)", decided.Message, decided.Reason)
	}
	return s
}

// Span is a stretch of time in a lane of the page.
type Span struct {
	Lane  string
	From  time.Time
	To    time.Time
	Kind  string // "placer", "away", or how a run ended
	Label string
	open  bool
}

// Spans returns who placed, which daemons had lost the log, and the runs of the lines.
// What has not ended by the last line ends there.
func Spans(lines []Line) []Span {
	var spans []Span
	if len(lines) == 0 {
		return nil
	}
	end := lines[len(lines)-1].At
	open := map[string]int{}
	begin := func(key string, s Span) {
		s.open = true
		open[key] = len(spans)
		spans = append(spans, s)
	}
	finish := func(key string, at time.Time, kind, label string) {
		if i, found := open[key]; found {
			spans[i].To, spans[i].open = at, false
			if kind != "" {
				spans[i].Kind = kind
			}
			spans[i].Label += label
			delete(open, key)
		}
	}
	for i := range lines {
		l := &lines[i]
		switch {
		case l.Event == eventPlacing:
			begin("placer "+l.Daemon, Span{Lane: "placer", From: l.At, Kind: "placer", Label: l.Daemon})
		case l.Event == eventPlacedEnd, l.Event == eventStarted, l.Event == eventStopped:
			finish("placer "+l.Daemon, l.At, "", ": "+l.Reason)
		case l.Event == eventLogLost:
			begin("away "+l.Daemon, Span{Lane: "log away from " + l.Daemon, From: l.At, Kind: "away", Label: l.Reason})
		case l.Event == eventLogBack:
			finish("away "+l.Daemon, l.At, "", "")
		case l.Event == eventDecision && l.Decision == "start sent":
			begin(runKey(l), Span{Lane: "task " + l.Task.name() + " of " + l.Job, From: l.At, Kind: "running", Label: fmt.Sprintf("run %d on %s", l.Task.Run, l.Worker)})
		case l.Event == eventDecision && l.Decision == "run ended":
			finish(runKey(l), l.At, l.Reason, ": "+l.Reason)
		}
	}
	for i := range spans {
		if spans[i].open {
			spans[i].To = end
		}
	}
	return spans
}

func runKey(l *Line) string { return fmt.Sprintf("%s %s %d", l.Job, l.Task.name(), l.Task.Run) }
