package logservice

import (
	"math/rand"
	"time"

	"briarproxy/core/fault"
)

// OutageMode says what a request meets during an outage.
type OutageMode string

// Modes of an outage.
const (
	OutageRefuse OutageMode = "refuse" // 503 at once
	OutageHang   OutageMode = "hang"   // no answer until the client gives up
)

// Scope limits a fault to appends or reads.
type Scope string

// Scopes of a fault.
const (
	ScopeAll     Scope = ""
	ScopeAppends Scope = "append"
	ScopeReads   Scope = "read"
)

// Outage is the body of POST /control/outage. MS of 0 ends an outage.
type Outage struct {
	MS   int64      `json:"ms"`
	Mode OutageMode `json:"mode"` // default refuse
	Only Scope      `json:"only,omitempty"`
}

// Delay is the body of POST /control/delay. It holds until it is replaced.
type Delay struct {
	AppendMS int64 `json:"append_ms"` // before the append takes effect
	AnswerMS int64 `json:"answer_ms"` // after the append took effect, before its answer
	ReadMS   int64 `json:"read_ms"`
	// LateEffect lets an append take effect although its client gave up during
	// AppendMS. A client that reads the stream back too early then misses it.
	LateEffect bool `json:"late_effect,omitempty"`
}

// Lose is the body of POST /control/lose: answers of appends that took effect are
// lost by closing the connection.
type Lose struct {
	Appends     int64   `json:"appends"`     // the next so many
	Probability float64 `json:"probability"` // of each append after these, 0 to 1
	Seed        int64   `json:"seed"`
}

// Limits is the body of POST /control/limits.
type Limits struct {
	AppendsPerSecond float64 `json:"appends_per_second"` // 0: no cap
}

// faults is the state of the injected faults.
type faults struct {
	outage      Outage
	outageUntil time.Time
	delay       Delay
	loseNext    int64
	loseShare   float64
	random      *rand.Rand
	changed     chan struct{} // closed and replaced by each change of the outage
}

func (f *faults) setOutage(o Outage, now time.Time) error {
	if o.Mode == "" {
		o.Mode = OutageRefuse
	}
	if o.Mode != OutageRefuse && o.Mode != OutageHang {
		return fault.New(fault.Invalid, "use refuse or hang", "outage mode %q is not known", o.Mode)
	}
	if o.Only != ScopeAll && o.Only != ScopeAppends && o.Only != ScopeReads {
		return fault.New(fault.Invalid, "use append, read or nothing", "outage scope %q is not known", o.Only)
	}
	f.outage = o
	f.outageUntil = now.Add(time.Duration(o.MS) * time.Millisecond)
	close(f.changed)
	f.changed = make(chan struct{})
	return nil
}

// down returns the mode of an outage that meets requests of the scope, or "".
func (f *faults) down(scope Scope, now time.Time) OutageMode {
	if !now.Before(f.outageUntil) {
		return ""
	}
	if f.outage.Only != ScopeAll && f.outage.Only != scope {
		return ""
	}
	return f.outage.Mode
}

func (f *faults) setLose(l Lose) error {
	if l.Probability < 0 || l.Probability > 1 || l.Appends < 0 {
		return fault.New(fault.Invalid, "use a probability from 0 to 1 and a count of at least 0", "lose %d, %v", l.Appends, l.Probability)
	}
	f.loseNext = l.Appends
	f.loseShare = l.Probability
	f.random = rand.New(rand.NewSource(l.Seed))
	return nil
}

// loses reports whether the answer of the next append is lost.
func (f *faults) loses() bool {
	if f.loseNext > 0 {
		f.loseNext--
		return true
	}
	return f.loseShare > 0 && f.random.Float64() < f.loseShare
}
