package timeline

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"time"

	"briarproxy/core/fault"
)

// maxLine is the length of the longest log line that is read, bytes.
const maxLine = 1 << 20

// Line is one line of a daemon's log.
type Line struct {
	At       time.Time
	Daemon   string
	Event    int
	Message  string // name of the event
	Decision string // of the placer
	Job      string
	Worker   string
	Reason   string
	Former   string // placer before a claim
	Task     Task
	AgeMS    int64
	Version  int64
	Fields   map[string]any
}

// Task names a run of a task of a job.
type Task struct{ Occurrence, Step, Index, Run int }

// record is a line as a daemon writes it.
type record struct {
	Time       time.Time `json:"time"`
	Daemon     string    `json:"daemon"`
	Event      int       `json:"event"`
	Message    string    `json:"message"`
	Decision   string    `json:"decision"`
	Job        string    `json:"job"`
	Worker     string    `json:"worker"`
	Reason     string    `json:"reason"`
	Former     string    `json:"former"`
	Occurrence int       `json:"occurrence"`
	Step       int       `json:"step"`
	Task       int       `json:"task"`
	Run        int       `json:"run"`
	AgeMS      int64     `json:"age_ms"`
	Version    int64     `json:"version"`
}

// Read returns the log lines of a file. Text before the JSON object of a line, as a
// collector of logs adds it, is passed over. Lines without a readable object are counted.
func Read(in io.Reader) (lines []Line, skipped int, err error) {
	s := bufio.NewScanner(in)
	s.Buffer(make([]byte, 0, 64<<10), maxLine)
	for s.Scan() {
		text := s.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		line, ok := parse(text[start:])
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	if err := s.Err(); err != nil {
		return nil, 0, fault.Wrap(err, fault.Invalid, "name a log of briarproxyd", "a log can't be read")
	}
	return lines, skipped, nil
}

func parse(text []byte) (Line, bool) {
	var r record
	var fields map[string]any
	if json.Unmarshal(text, &fields) != nil || json.Unmarshal(text, &r) != nil || r.Event == 0 || r.Time.IsZero() {
		return Line{}, false
	}
	for _, known := range []string{"time", "level", "daemon", "event", "message", "decision", "job", "worker", "reason", "occurrence", "step", "task", "run", "age_ms", "version"} {
		delete(fields, known)
	}
	return Line{
		At: r.Time, Daemon: r.Daemon, Event: r.Event, Message: r.Message, Decision: r.Decision, Job: r.Job, Worker: r.Worker, Reason: r.Reason,
		Former: r.Former, Task: Task{r.Occurrence, r.Step, r.Task, r.Run}, AgeMS: r.AgeMS, Version: r.Version, Fields: fields,
	}, true
}

// Filter selects lines. An empty field selects nothing by itself; a zero Filter selects
// all lines.
type Filter struct {
	Job       string
	Worker    string
	Ownership bool // who placed, and when the log was lost
}

// Events by which a story is told.
const (
	eventStarted    = 900
	eventStopped    = 902
	eventLogLost    = 910
	eventLogBack    = 911
	eventHistory    = 912
	eventClaim      = 930
	eventPlacing    = 931
	eventPlacedEnd  = 932
	eventHandedOver = 935
	eventAccepted   = 940
	eventLastOfJob  = 949
	eventDecision   = 950
	eventSummary    = 951
)

// owns reports whether a line tells who placed or which daemon could not.
func (l *Line) owns() bool {
	return l.Event >= eventStarted && l.Event <= eventHistory || l.Event >= eventClaim && l.Event <= eventHandedOver
}

func (f Filter) selects(l *Line) bool {
	switch {
	case f == (Filter{}):
		return l.Event != eventSummary
	case f.Job != "" && l.Job == f.Job, f.Worker != "" && l.Worker == f.Worker:
		return true
	case f.Ownership:
		return l.owns()
	default:
		return false
	}
}

// Select returns the lines of the filter in order of time. The ownership of the log is
// part of every story: it explains the gaps.
func Select(lines []Line, f Filter) []Line {
	var chosen []Line
	for i := range lines {
		if f.selects(&lines[i]) {
			chosen = append(chosen, lines[i])
		}
	}
	slices.SortStableFunc(chosen, func(a, b Line) int { return a.At.Compare(b.At) })
	if f.Ownership || len(chosen) == 0 || f == (Filter{}) {
		return chosen
	}
	from, to := chosen[0].At, chosen[len(chosen)-1].At
	for i := range lines {
		l := &lines[i]
		if l.Event >= eventLogLost && l.owns() && !l.At.Before(from) && !l.At.After(to) {
			chosen = append(chosen, *l)
		}
	}
	slices.SortStableFunc(chosen, func(a, b Line) int { return a.At.Compare(b.At) })
	return chosen
}
