package config

import (
	"bytes"
	"encoding/json"

	"briarproxy/core/fault"
	"briarproxy/core/object"
)

// RecordFormat is the newest record format that this release reads and writes. It is
// incremented when a field of a record or of any object is added, removed or given
// another meaning.
const RecordFormat = 1

// Kind identifies the type of a record.
type Kind string

// These are the kinds of records.
const (
	KindPublication Kind = "publication"
	KindSnapshot    Kind = "snapshot"
)

// Publication is an operator's request to put a set of objects in force.
type Publication struct {
	ID      string // ID is unique; it identifies the record in the log if the response to the append is lost.
	Base    int64  // Base is the version that the author started from, 0 if there was none.
	Author  string
	Message string
	Set     *object.Set
}

// record is the JSON encoding of publications and snapshots.
type record struct {
	Format  int             `json:"format"`
	Kind    Kind            `json:"kind"`
	ID      string          `json:"id"`
	Base    int64           `json:"base"`
	Version int64           `json:"version,omitempty"` // Version is set in snapshots only.
	Through int64           `json:"through,omitempty"` // Through is set in snapshots only: the offset of the last record that Version takes into account.
	Author  string          `json:"author"`
	Message string          `json:"message,omitempty"`
	Set     json.RawMessage `json:"set"`              // Set holds the whole set, or the added and replaced objects of a delta.
	Delta   bool            `json:"delta,omitempty"`  // Delta is set in publications whose Set and Remove are changes to the base version.
	Remove  []object.Ref    `json:"remove,omitempty"` // Remove is used only with Delta.

	decodedSet *object.Set
}

// EncodePublication encodes a publication with its whole set as a log record.
func EncodePublication(p Publication) ([]byte, error) {
	return encode(publicationRecord(p), p.Set)
}

// EncodeDelta encodes a publication as the difference from the set of its base
// version. The rule for acceptance is the same as for a whole set. The size of the
// record depends on the number of changed objects, so that 32,000 changes a day stay
// within the daemons' network limit.
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
	r.Format = RecordFormat
	r.Set = encoded
	return json.Marshal(r)
}

// applyTo returns the set that results from applying a publication to the version in
// force. ok is false if the publication is not accepted.
func (r record) applyTo(version int64, set *object.Set) (next *object.Set, ok bool) {
	if r.Base != version {
		return nil, false
	}
	if !r.Delta {
		return r.decodedSet, true
	}
	next, err := object.Delta{Put: r.decodedSet, Remove: r.Remove}.Apply(set)
	return next, err == nil
}

// RecordID returns the unique id of an encoded record, which is used to find a record
// in the log after the response to its append was lost. ok is false if the data is
// not a record with an id.
func RecordID(data []byte) (id string, ok bool) {
	var header struct {
		ID string `json:"id"`
	}
	if json.Unmarshal(data, &header) != nil {
		return "", false
	}
	return header.ID, header.ID != ""
}

// decode reads a record. If a later release wrote it in a newer format, newerFormat
// is true and the record is not decoded.
func decode(data []byte) (r record, newerFormat bool, err error) {
	var header struct {
		Format int `json:"format"`
	}
	if err := json.Unmarshal(data, &header); err != nil {
		return record{}, false, err
	}
	if header.Format > RecordFormat {
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
	r.decodedSet, err = object.Decode(r.Set)
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
		return fault.New(fault.Invalid, remedy, "snapshot holds a delta instead of the whole set")
	case !r.Delta && len(r.Remove) > 0:
		return fault.New(fault.Invalid, remedy, "record with a whole set lists removed objects")
	}
	return nil
}
