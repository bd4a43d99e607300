package config

import (
	"bytes"
	"encoding/json"

	"briarproxy/core/fault"
	"briarproxy/core/object"
)

// Format is the newest record format that this release reads and writes. It rises
// when a record or any object gains, loses or reinterprets a field.
const Format = 1

// Kind names the kind of a record.
type Kind string

// Kinds of records.
const (
	KindPublication Kind = "publication"
	KindSnapshot    Kind = "snapshot"
)

// Publication is an operator's request to put a set in force.
type Publication struct {
	ID      string // unique; identifies the record after a lost answer
	Base    int64  // version that the author started from; 0 before the first
	Author  string
	Message string
	Set     *object.Set
}

// record is the encoding of both kinds.
type record struct {
	Format  int             `json:"format"`
	Kind    Kind            `json:"kind"`
	ID      string          `json:"id"`
	Base    int64           `json:"base"`
	Version int64           `json:"version,omitempty"` // snapshots
	Through int64           `json:"through,omitempty"` // snapshots: offset of the last record that the version takes into account
	Author  string          `json:"author"`
	Message string          `json:"message,omitempty"`
	Set     json.RawMessage `json:"set"`              // the whole set, or the objects that are put
	Delta   bool            `json:"delta,omitempty"`  // publications: Set and Remove are relative to the base
	Remove  []object.Ref    `json:"remove,omitempty"` // publications with Delta

	decoded *object.Set
}

// EncodePublication encodes a publication with its whole set for the log.
func EncodePublication(p Publication) ([]byte, error) {
	return encode(publicationRecord(p), p.Set)
}

// EncodeDelta encodes a publication as the difference to the set of its base
// version. The record is accepted under the same rule; it is small where few
// objects change, so that 32,000 changes a day fit the daemons' network limit.
func EncodeDelta(p Publication, base *object.Set) ([]byte, error) {
	delta := object.DeltaOf(base, p.Set)
	r := publicationRecord(p)
	r.Delta = true
	r.Remove = delta.Remove
	return encode(r, delta.Put)
}

func publicationRecord(p Publication) record {
	return record{Kind: KindPublication, ID: p.ID, Base: p.Base, Author: p.Author, Message: p.Message}
}

func encode(r record, set *object.Set) ([]byte, error) {
	encoded, err := object.Encode(set)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "report this as a defect", "the set cannot be encoded")
	}
	r.Format = Format
	r.Set = encoded
	return json.Marshal(r)
}

// successor returns the set that a publication makes of the version in force. ok is
// false if it is not accepted.
func (r record) successor(version int64, set *object.Set) (next *object.Set, ok bool) {
	if r.Base != version {
		return nil, false
	}
	if !r.Delta {
		return r.decoded, true
	}
	next, err := object.Delta{Put: r.decoded, Remove: r.Remove}.Apply(set)
	return next, err == nil
}

// IDOf returns the unique id of an encoded record, for reading back an append whose
// answer was lost. ok is false if the data is not a record that has one.
func IDOf(data []byte) (id string, ok bool) {
	var head struct {
		ID string `json:"id"`
	}
	if json.Unmarshal(data, &head) != nil {
		return "", false
	}
	return head.ID, head.ID != ""
}

// decode reads a record. newer is true for a record of a later release's format.
func decode(data []byte) (r record, newer bool, err error) {
	var head struct {
		Format int `json:"format"`
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return record{}, false, err
	}
	if head.Format > Format {
		return record{}, true, nil
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&r); err != nil {
		return record{}, false, err
	}
	if err := r.validate(); err != nil {
		return record{}, false, err
	}
	r.decoded, err = object.Decode(r.Set)
	return r, false, err
}

func (r record) validate() error {
	const remedy = "write records with the functions of package config"
	switch {
	case r.Format < 1:
		return fault.New(fault.Invalid, remedy, "record without a format")
	case r.ID == "":
		return fault.New(fault.Invalid, remedy, "record without an id")
	case r.Kind != KindPublication && r.Kind != KindSnapshot:
		return fault.New(fault.Invalid, remedy, "unknown kind of record %q", r.Kind)
	case r.Base < 0 || (r.Kind == KindSnapshot && r.Version < 1):
		return fault.New(fault.Invalid, remedy, "version out of range")
	case r.Delta && r.Kind == KindSnapshot:
		return fault.New(fault.Invalid, remedy, "snapshot without the whole set")
	case !r.Delta && len(r.Remove) > 0:
		return fault.New(fault.Invalid, remedy, "removal from a whole set")
	}
	return nil
}
