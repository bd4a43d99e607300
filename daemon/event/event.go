// Package event defines the numbered log events of the daemon and the logger that
// writes them, one JSON line each.
package event

import (
	"fmt"
	"io"
	"slices"
	"sync"

	"github.com/phuslu/log"
)

// Event is a type of log event. Its Number and Name never change once released.
type Event struct {
	Number  int
	Name    string
	Level   log.Level
	Meaning string // Says when the event is logged and what an operator can do.
}

var (
	catalogueMu sync.Mutex
	catalogue   = map[int]Event{}
)

// Define registers an event. It panics if the number is already in use. Events are defined
// during package initialisation, so any test of the package detects a duplicate.
func Define(number int, name string, level log.Level, meaning string) Event {
	catalogueMu.Lock()
	defer catalogueMu.Unlock()
	if old, taken := catalogue[number]; taken {
		panic(fmt.Sprintf("event number %d is defined as %q and as %q", number, old.Name, name))
	}
	e := Event{Number: number, Name: name, Level: level, Meaning: meaning}
	catalogue[number] = e
	return e
}

// Catalogue returns the events of all packages linked into the program, ordered by number.
func Catalogue() []Event {
	catalogueMu.Lock()
	defer catalogueMu.Unlock()
	events := make([]Event, 0, len(catalogue))
	for _, e := range catalogue {
		events = append(events, e)
	}
	slices.SortFunc(events, func(a, b Event) int { return a.Number - b.Number })
	return events
}

// Logger writes events as JSON lines.
type Logger struct {
	out log.Logger
}

// NewLogger returns a logger that writes events at or above level to w. Every line contains
// the daemon's name.
func NewLogger(w io.Writer, level log.Level, daemon string) *Logger {
	return &Logger{out: log.Logger{
		Level:   level,
		Writer:  &log.IOWriter{Writer: w},
		Context: log.NewContext(nil).Str("daemon", daemon).Value(),
	}}
}

// Discard returns a logger that writes nothing.
func Discard() *Logger { return NewLogger(io.Discard, log.PanicLevel, "") }

// SetLevel sets the minimum level of events that are written.
func (l *Logger) SetLevel(level log.Level) { l.out.SetLevel(level) }

// Emit logs the event on one line. The fields are alternating keys and values.
func (l *Logger) Emit(e Event, fields ...any) {
	entry := l.out.WithLevel(e.Level)
	if entry == nil {
		return
	}
	entry.Int("event", e.Number).KeysAndValues(fields...).Msg(e.Name)
}
