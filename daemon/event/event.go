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

// Event is one kind of log line. Number and Name never change once released.
type Event struct {
	Number  int
	Name    string
	Level   log.Level
	Meaning string // when it is written and what an operator can do
}

var (
	catalogueMu sync.Mutex
	catalogue   = map[int]Event{}
)

// Define registers an event. It panics when the number is taken, which happens at
// program start and so in every test of the package.
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

// Catalogue returns every event defined in the packages linked into the program,
// ordered by number.
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

// Logger writes events.
type Logger struct {
	out log.Logger
}

// NewLogger writes events at or above level to w. The daemon's name is part of
// every line.
func NewLogger(w io.Writer, level log.Level, daemon string) *Logger {
	return &Logger{out: log.Logger{
		Level:   level,
		Writer:  &log.IOWriter{Writer: w},
		Context: log.NewContext(nil).Str("daemon", daemon).Value(),
	}}
}

// Discard returns a logger that writes nothing.
func Discard() *Logger { return NewLogger(io.Discard, log.PanicLevel, "") }

// SetLevel changes the lowest level that is written.
func (l *Logger) SetLevel(level log.Level) { l.out.SetLevel(level) }

// Emit writes one line for the event. The fields are alternating keys and values.
func (l *Logger) Emit(e Event, fields ...any) {
	entry := l.out.WithLevel(e.Level)
	if entry == nil {
		return
	}
	entry.Int("event", e.Number).KeysAndValues(fields...).Msg(e.Name)
}
