package worker

import (
	"encoding/json"
	"errors"
	"io"
	"sync"
	"time"

	"briarproxy/core/fault"
	"briarproxy/core/resource"
	"briarproxy/core/wire"
)

// JournalEvent is the kind of a journal entry.
type JournalEvent string

// Kinds of journal entries.
const (
	EventStart    JournalEvent = "start"
	EventEnd      JournalEvent = "end"      // ran to its end, finished or failed
	EventStop     JournalEvent = "stop"     // stopped before its end; Reason says by what
	EventRefuse   JournalEvent = "refuse"   // Reason holds the wire.Refusal
	EventForbid   JournalEvent = "forbid"   // a stop left a tombstone
	EventOverload JournalEvent = "overload" // accepted work is over capacity
	EventOveruse  JournalEvent = "overuse"  // real use is over capacity
	EventFence    JournalEvent = "fence"
	EventBoot     JournalEvent = "boot" // a new incarnation, with nothing running
)

// Reasons of EventStop.
const (
	ReasonStop       = "stop"
	ReasonLapse      = "lapsed-lease"
	ReasonCheckpoint = "checkpoint"
	ReasonCrash      = "crash"
)

// Entry is one line of a journal. Seq orders the entries of one journal.
type Entry struct {
	Seq         int64           `json:"seq"`
	TimeUS      int64           `json:"time_us"` // Unix time, µs
	VM          string          `json:"vm"`
	Incarnation int64           `json:"incarnation"`
	ClockMS     int64           `json:"clock_ms"` // the worker's clock
	Event       JournalEvent    `json:"event"`
	ID          string          `json:"id,omitempty"`
	Generation  int64           `json:"generation,omitempty"`
	Epoch       int64           `json:"epoch,omitempty"`
	Kind        wire.Kind       `json:"kind,omitempty"`
	Operation   string          `json:"operation,omitempty"`
	Job         string          `json:"job,omitempty"`
	State       wire.RunState   `json:"state,omitempty"`
	Reason      string          `json:"reason,omitempty"`
	Digest      string          `json:"digest,omitempty"`      // of the result, at the end
	BodyDigest  string          `json:"body_digest,omitempty"` // of the body, at the start
	OverdueUS   int64           `json:"overdue_us,omitempty"`  // for ReasonLapse: time since the lease lapsed; a paused worker notices late
	InUse       resource.Vector `json:"in_use"`                // committed after the event
	RealUse     resource.Vector `json:"real_use"`              // used after the event
	Capacity    resource.Vector `json:"capacity"`
}

// Journal collects the entries of one or more workers.
type Journal struct {
	mu      sync.Mutex
	seq     int64
	out     io.Writer
	entries []Entry
}

// NewJournal returns a journal that writes JSON lines to out, or keeps its entries
// in memory if out is nil.
func NewJournal(out io.Writer) *Journal { return &Journal{out: out} }

// Add numbers an entry, stamps its time and stores it. Entries are written one by
// one without a buffer, so that none is lost when the process is killed.
func (j *Journal) Add(e Entry) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.seq++
	e.Seq = j.seq
	e.TimeUS = time.Now().UnixMicro()
	if j.out == nil {
		j.entries = append(j.entries, e)
		return
	}
	line, err := json.Marshal(e)
	if err != nil {
		panic("journal entry cannot be encoded: " + err.Error())
	}
	if _, err := j.out.Write(append(line, '\n')); err != nil {
		panic("journal cannot be written: " + err.Error())
	}
}

// Entries returns the entries that are kept in memory.
func (j *Journal) Entries() []Entry {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]Entry{}, j.entries...)
}

// ReadEntries parses a journal file. A last line that a killed process left
// incomplete is passed over. Errors are of kind fault.Invalid.
func ReadEntries(in io.Reader) ([]Entry, error) {
	var entries []Entry
	decoder := json.NewDecoder(in)
	for {
		var e Entry
		err := decoder.Decode(&e)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return entries, nil
		}
		if err != nil {
			return nil, fault.Wrap(err, fault.Invalid, "read a file that a worker wrote", "journal entry %d", len(entries)+1)
		}
		entries = append(entries, e)
	}
}
