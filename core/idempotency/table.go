package idempotency

import (
	"time"

	"briarproxy/core/wire"
)

// State is what is known about a key.
type State string

// States of a key.
const (
	StateBegun      State = "begun"      // in this process only: no intent is in the log yet
	StateIntent     State = "intent"     // an attempt may run
	StateDone       State = "done"       // the attempt ended; Result is its answer
	StateUnresolved State = "unresolved" // found by replay: an attempt may have run, its worker must be asked
)

// Intent is the record that precedes every attempt.
type Intent struct {
	Key        string `json:"key"`
	BodyDigest string `json:"body_digest"` // hex SHA-256 of service, operation and body
	RequestID  string `json:"request_id"`  // id of the attempt on the worker
	VM         string `json:"vm"`
	Worker     int64  `json:"worker"` // incarnation of the worker on the VM
	Generation int64  `json:"generation"`
	AtMS       int64  `json:"at_ms"` // Unix time, ms; decides only when the key is forgotten
}

// Done is the record of an attempt's end. NeverRan frees the key for a new attempt.
type Done struct {
	Key        string       `json:"key"`
	RequestID  string       `json:"request_id"`
	Generation int64        `json:"generation"`
	NeverRan   bool         `json:"never_ran,omitempty"`
	Uncertain  bool         `json:"uncertain,omitempty"` // it can't be learned any more whether it ran
	Result     *wire.Result `json:"result,omitempty"`
}

// Entry is the state of one key.
type Entry struct {
	Intent
	State     State        `json:"state"`
	Uncertain bool         `json:"uncertain,omitempty"` // as in Done
	Result    *wire.Result `json:"result,omitempty"`
}

// Action is the decision on a request.
type Action int

// Decisions on a request.
const (
	ActionRun      Action = iota // first use: acquire a slot, log the intent, then send
	ActionRepeat                 // answer with Entry.Result
	ActionWait                   // an attempt is in flight
	ActionResolve                // ask the worker named in Entry first
	ActionConflict               // the key was used for another body
)

// Decision is the outcome of Begin. Entry is set for all actions but ActionRun.
type Decision struct {
	Action     Action
	Generation int64 // for ActionRun: generation of the attempt to log
	Entry      *Entry
}

// Table is the state of the keys of one shard. It is not safe for concurrent use.
type Table struct {
	entries map[string]*Entry
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: map[string]*Entry{}} }

// Len returns the number of keys known.
func (t *Table) Len() int { return len(t.entries) }

// Get returns the entry of a key, or nil.
func (t *Table) Get(key string) *Entry { return t.entries[key] }

// Begin decides on a request. After ActionRun the key is in flight until Abandon,
// or until Apply has seen a Done record.
func (t *Table) Begin(key, bodyDigest string) Decision {
	e, known := t.entries[key]
	if !known {
		t.entries[key] = &Entry{Intent: Intent{Key: key, BodyDigest: bodyDigest}, State: StateBegun}
		return Decision{Action: ActionRun, Generation: 1}
	}
	if e.BodyDigest != bodyDigest {
		return Decision{Action: ActionConflict, Entry: e}
	}
	switch e.State {
	case StateDone:
		return Decision{Action: ActionRepeat, Entry: e}
	case StateUnresolved:
		return Decision{Action: ActionResolve, Entry: e}
	default:
		return Decision{Action: ActionWait, Entry: e}
	}
}

// Abandon ends a Begin whose intent was certainly not logged, so that the key can
// be used again.
func (t *Table) Abandon(key string) {
	if e, known := t.entries[key]; known && e.State == StateBegun {
		delete(t.entries, key)
	}
}

// Distrust marks a key whose attempt was logged but whose end this process can't
// learn by waiting: the next request for it asks the worker.
func (t *Table) Distrust(key string) {
	if e, known := t.entries[key]; known && e.State != StateDone {
		e.State = StateUnresolved
	}
}

// Resolving marks an unresolved key as in flight while its worker is asked.
func (t *Table) Resolving(key string) {
	if e, known := t.entries[key]; known && e.State == StateUnresolved {
		e.State = StateIntent
	}
}

// ApplyIntent applies a confirmed Intent record. Records are applied in log order,
// so the later one always replaces the earlier: the owner wrote it only after it
// knew that the earlier attempt never ran or is past the time for which keys are
// kept. Generations can't decide this, because they start again for a new request.
func (t *Table) ApplyIntent(in Intent) {
	t.entries[in.Key] = &Entry{Intent: in, State: StateIntent}
}

// ApplyDone applies a Done record. Records of another attempt have no effect.
func (t *Table) ApplyDone(d Done) {
	e, known := t.entries[d.Key]
	if !known || e.RequestID != d.RequestID || e.Generation != d.Generation || e.State == StateDone {
		return
	}
	if d.NeverRan {
		delete(t.entries, d.Key)
		return
	}
	e.State = StateDone
	e.Uncertain = d.Uncertain
	e.Result = d.Result
}

// ApplyEntry adds a key from its re-appended state, on replay only. A key that is
// known already is complete: every record that followed the first one is kept
// longer than it.
func (t *Table) ApplyEntry(e Entry) {
	if _, known := t.entries[e.Key]; known {
		return
	}
	t.entries[e.Key] = &e
}

// FinishReplay marks every attempt without an end as unresolved and returns how
// many there are. A new owner calls it before it answers any request.
func (t *Table) FinishReplay() int {
	unresolved := 0
	for _, e := range t.entries {
		if e.State == StateDone {
			continue
		}
		e.State = StateUnresolved
		unresolved++
	}
	return unresolved
}

// Unresolved returns up to limit entries whose worker must be asked.
func (t *Table) Unresolved(limit int) []Entry {
	var found []Entry
	for _, e := range t.entries {
		if len(found) == limit {
			break
		}
		if e.State == StateUnresolved {
			found = append(found, *e)
		}
	}
	return found
}

// Snapshot returns the entries to re-append: those with a logged attempt.
func (t *Table) Snapshot() []Entry {
	entries := make([]Entry, 0, len(t.entries))
	for _, e := range t.entries {
		if e.State == StateBegun {
			continue
		}
		logged := *e
		if logged.State == StateUnresolved {
			logged.State = StateIntent
		}
		entries = append(entries, logged)
	}
	return entries
}

// Expire forgets ended keys that are older than keep and returns their number. An
// attempt without a known end is never forgotten by age.
func (t *Table) Expire(nowMS int64, keep time.Duration) int {
	forgotten := 0
	for key, e := range t.entries {
		if e.State == StateDone && nowMS-e.AtMS > keep.Milliseconds() {
			delete(t.entries, key)
			forgotten++
		}
	}
	return forgotten
}
