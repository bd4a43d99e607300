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

// maxLineBytes is the length of the longest log line that Read accepts.
const maxLineBytes = 1 << 20

// Line is one parsed line of a daemon's log.
type Line struct {
	Time      time.Time
	Daemon    string
	Event     int
	EventName string // name of the event
	Decision  string // kind of decision, in lines about placer decisions
	Job       string
	Worker    string
	Reason    string
	Former    string // daemon that was the placer before
	Task      Task
	AgeMS     int64          // age of the data behind a decision or an answer
	Version   int64          // configuration version, or log offset of the record behind a decision
	Fields    map[string]any // fields of the log line that have no member here
}

// Task identifies one run of a task within a job.
type Task struct{ Occurrence, Step, Index, Run int }

// record is a log line as a daemon writes it.
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

// Read returns the log lines of a file. Text before the JSON object of a line, such as the
// prefix that a log collector adds, is ignored, and so are lines without a brace. Lines whose
// object is not a valid log record are counted in skipped.
func Read(in io.Reader) (lines []Line, skipped int, err error) {
	s := bufio.NewScanner(in)
	s.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
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

// parse decodes one log record. It returns false if the JSON is invalid or the event number
// or time is missing.
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
		Time: r.Time, Daemon: r.Daemon, Event: r.Event, EventName: r.Message, Decision: r.Decision, Job: r.Job, Worker: r.Worker, Reason: r.Reason,
		Former: r.Former, Task: Task{r.Occurrence, r.Step, r.Task, r.Run}, AgeMS: r.AgeMS, Version: r.Version, Fields: fields,
	}, true
}

// Filter selects lines that match any of its non-zero fields. The zero Filter selects all
// lines except the placer's periodic summaries.
type Filter struct {
	Job       string
	Worker    string
	Ownership bool // changes of the placer, starts and stops of daemons, and losses of the log
}

// Numbers of the log events that this package interprets.
const (
	eventCellStarted      = 900
	eventCellStopped      = 902
	eventLogLost          = 910
	eventLogBack          = 911
	eventLogHistoryLost   = 912
	eventPlacerClaim      = 930
	eventPlacerBegan      = 931
	eventPlacerEnded      = 932
	eventPlacerHandedOver = 935
	eventJobAccepted      = 940
	lastJobEvent          = 949 // upper bound of the event numbers about jobs
	eventPlacerDecision   = 950
	eventPlacerSummary    = 951
)

// concernsOwnership reports whether a line is about a start or stop of a daemon, a loss of
// the log, or a change of the placer.
func (l *Line) concernsOwnership() bool {
	return l.Event >= eventCellStarted && l.Event <= eventLogHistoryLost || l.Event >= eventPlacerClaim && l.Event <= eventPlacerHandedOver
}

func (f Filter) matches(l *Line) bool {
	switch {
	case f == (Filter{}):
		return l.Event != eventPlacerSummary
	case f.Job != "" && l.Job == f.Job, f.Worker != "" && l.Worker == f.Worker:
		return true
	case f.Ownership:
		return l.concernsOwnership()
	default:
		return false
	}
}

// Select returns the lines that match the filter in order of time. For a job or worker it
// adds the changes of the placer and the losses of the log between the first and the last
// matching line, because they explain gaps.
func Select(lines []Line, f Filter) []Line {
	var selected []Line
	for i := range lines {
		if f.matches(&lines[i]) {
			selected = append(selected, lines[i])
		}
	}
	slices.SortStableFunc(selected, func(a, b Line) int { return a.Time.Compare(b.Time) })
	if f.Ownership || len(selected) == 0 || f == (Filter{}) {
		return selected
	}
	from, to := selected[0].Time, selected[len(selected)-1].Time
	for i := range lines {
		l := &lines[i]
		if l.Event >= eventLogLost && l.concernsOwnership() && !l.Time.Before(from) && !l.Time.After(to) {
			selected = append(selected, *l)
		}
	}
	slices.SortStableFunc(selected, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return selected
}
