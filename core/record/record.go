package record

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Version is the envelope version that this code writes. Records of a higher
// version are skipped by readers.
const Version = 1

// NoRecord is the value of Supersedes for a unit that has never been owned.
const NoRecord int64 = -1

// ID identifies a record for ever: no incarnation uses a counter twice.
type ID struct {
	Daemon      string
	Incarnation int64
	Counter     int64
}

// String formats the id as it stands, quoted, in the encoded record.
func (id ID) String() string {
	return fmt.Sprintf("%s/%d/%d", id.Daemon, id.Incarnation, id.Counter)
}

// MarshalText implements encoding.TextMarshaler.
func (id ID) MarshalText() ([]byte, error) { return []byte(id.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (id *ID) UnmarshalText(text []byte) error {
	rest, counter, found := cutLast(string(text))
	name, incarnation, foundBoth := cutLast(rest)
	if !found || !foundBoth {
		return fmt.Errorf("record id %q is not daemon/incarnation/counter", text)
	}
	var err error
	if id.Counter, err = strconv.ParseInt(counter, 10, 64); err != nil {
		return fmt.Errorf("counter of record id %q: %w", text, err)
	}
	if id.Incarnation, err = strconv.ParseInt(incarnation, 10, 64); err != nil {
		return fmt.Errorf("incarnation of record id %q: %w", text, err)
	}
	id.Daemon = name
	return nil
}

func cutLast(s string) (before, after string, found bool) {
	i := strings.LastIndexByte(s, '/')
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+1:], true
}

// HeldUnit is a unit that a record's sender holds.
type HeldUnit struct {
	Name  string `json:"n"`
	Epoch int64  `json:"e"` // log offset of the claim
}

// Heartbeat describes a daemon and renews the units it lists.
type Heartbeat struct {
	Sequence      int64      `json:"s"`
	PeerAddress   string     `json:"p,omitempty"` // IP:port
	CallerAddress string     `json:"c,omitempty"` // IP:port
	AdminAddress  string     `json:"a,omitempty"` // IP:port
	Region        string     `json:"r,omitempty"`
	DataCentre    string     `json:"z,omitempty"`
	ConfigVersion int64      `json:"v,omitempty"`
	Draining      bool       `json:"x,omitempty"`
	Appends       int64      `json:"l,omitempty"` // log appends used since the daemon started
	Units         []HeldUnit `json:"u,omitempty"`
}

// ClaimedUnit names a unit and the record that the claim replaces.
type ClaimedUnit struct {
	Name       string `json:"n"`
	Supersedes int64  `json:"o"` // offset of the last record that held the unit, or NoRecord
}

// Claim takes units over. The claimant is the record's ID.
type Claim struct {
	Units []ClaimedUnit `json:"u"`
}

// Release frees units that the sender owns under the given epochs. The epoch keeps
// a delayed release from freeing a unit that the sender has claimed again.
type Release struct {
	Units []HeldUnit `json:"u"`
}

// Record is one record of the stream. Exactly one of Heartbeat, Claim and Release
// is set.
type Record struct {
	Version   int        `json:"v"`
	ID        ID         `json:"id"`
	Heartbeat *Heartbeat `json:"hb,omitempty"`
	Claim     *Claim     `json:"cl,omitempty"`
	Release   *Release   `json:"rl,omitempty"`
}

// Encode returns one line without a line end.
func Encode(r Record) ([]byte, error) {
	r.Version = Version
	if err := r.check(); err != nil {
		return nil, err
	}
	return json.Marshal(r)
}

// Decode returns the records of one append in order, and the number of lines that
// were skipped because they do not decode.
func Decode(data []byte) (records []Record, skipped int) {
	for line := range bytes.SplitSeq(data, []byte{'\n'}) {
		if len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		var r Record
		if json.Unmarshal(line, &r) != nil || r.check() != nil {
			skipped++
			continue
		}
		records = append(records, r)
	}
	return records, skipped
}

func (r Record) check() error {
	if r.Version != Version {
		return fmt.Errorf("record version %d is not supported, want %d", r.Version, Version)
	}
	if r.ID.Daemon == "" {
		return errors.New("record id has no daemon name")
	}
	bodies := 0
	for _, set := range []bool{r.Heartbeat != nil, r.Claim != nil, r.Release != nil} {
		if set {
			bodies++
		}
	}
	if bodies != 1 {
		return fmt.Errorf("record %s has %d bodies, want 1", r.ID, bodies)
	}
	return nil
}
