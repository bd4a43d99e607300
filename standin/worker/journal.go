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
	EventStart         JournalEvent = "start"
	EventEnd           JournalEvent = "end"      // The attempt ended by itself, finished or failed.
	EventStop          JournalEvent = "stop"     // The attempt was stopped early; Reason holds the cause.
	EventRefuse        JournalEvent = "refuse"   // Reason holds the wire.Refusal.
	EventTombstone     JournalEvent = "forbid"   // A stop recorded a tombstone, which forbids later starts.
	EventOverload      JournalEvent = "overload" // The declared sizes of the running attempts exceed the capacity.
	EventUsageOverload JournalEvent = "overuse"  // The actual use of the running attempts exceeds the capacity.
	EventFence         JournalEvent = "fence"    // The lowest accepted epoch was raised.
	EventBoot          JournalEvent = "boot"     // A new incarnation began, with nothing running.
)

// Reasons of EventStop.
const (
	ReasonStop         = "stop"
	ReasonLeaseExpired = "lapsed-lease"
	ReasonCheckpoint   = "checkpoint"
	ReasonCrash        = "crash"
)

// Entry is one line of a journal. Seq numbers the entries of one journal from 1.
type Entry struct {
	Seq         int64           `json:"seq"`
	TimeUS      int64           `json:"time_us"` // Unix time in microseconds.
	VM          string          `json:"vm"`
	Incarnation int64           `json:"incarnation"`
	ClockMS     int64           `json:"clock_ms"` // Reading of the worker's own clock.
	Event       JournalEvent    `json:"event"`
	ID          string          `json:"id,omitempty"`
	Generation  int64           `json:"generation,omitempty"`
	Epoch       int64           `json:"epoch,omitempty"`
	Kind        wire.Kind       `json:"kind,omitempty"`
	Operation   string          `json:"operation,omitempty"`
	Job         string          `json:"job,omitempty"`
	State       wire.RunState   `json:"state,omitempty"`
	Reason      string          `json:"reason,omitempty"`
	Digest      string          `json:"digest,omitempty"`      // Digest of the result; set for EventEnd.
	BodyDigest  string          `json:"body_digest,omitempty"` // Digest of the start's body; set for EventStart.
	OverdueUS   int64           `json:"overdue_us,omitempty"`  // Time since the lease expired, which a paused worker detects late; set for ReasonLeaseExpired.
	InUse       resource.Vector `json:"in_use"`                // Sum of the running attempts' declared sizes after the event.
	ActualUse   resource.Vector `json:"real_use"`              // Sum of the running attempts' actual use after the event.
	Capacity    resource.Vector `json:"capacity"`
}

// Journal records the entries of one or more workers.
type Journal struct {
	mu      sync.Mutex
	seq     int64
	out     io.Writer
	entries []Entry
}

// NewJournal returns a journal that writes JSON lines to out, or keeps its entries
// in memory if out is nil.
func NewJournal(out io.Writer) *Journal { return &Journal{out: out} }

// Add sets the number and the time of an entry and stores it. Each entry is written
// without buffering, so that none is lost when the process is killed.
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
		panic("cannot encode journal entry: " + err.Error())
	}
	if _, err := j.out.Write(append(line, '\n')); err != nil {
		panic("cannot write journal: " + err.Error())
	}
}

// Entries returns a copy of the entries that are kept in memory.
func (j *Journal) Entries() []Entry {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]Entry{}, j.entries...)
}

// ReadEntries parses a journal file. It ignores an incomplete last line, which a
// killed process may leave. Errors are of kind fault.Invalid.
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
			return nil, fault.Wrap(err, fault.Invalid, "read a journal file that a worker wrote", "cannot decode journal entry %d", len(entries)+1)
		}
		entries = append(entries, e)
	}
}
