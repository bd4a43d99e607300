package object

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"sort"
	"strings"

	"briarproxy/core/fault"
)

// Encode returns the canonical JSON of a set, so that equal sets give equal bytes.
// Kinds without objects are omitted.
func Encode(set *Set) ([]byte, error) { return json.Marshal(set) }

// Decode reads canonical JSON. It refuses unknown fields, because a release that
// ignored a field would schedule work differently from one that knows it.
func Decode(data []byte) (*Set, error) {
	if !bytes.HasPrefix(bytes.TrimSpace(data), []byte("{")) {
		return nil, fault.New(fault.Invalid, "read the set with the release that wrote it", "the encoded set is not an object")
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	set := newSet()
	if err := decoder.Decode(set); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "read the set with the release that wrote it", "the encoded set is not readable")
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, fault.New(fault.Invalid, "read the set with the release that wrote it", "data follows the encoded set")
	}
	if hasNil(set) {
		return nil, fault.New(fault.Invalid, "read the set with the release that wrote it", "the encoded set holds a null object")
	}
	return set, nil
}

// hasNil reports whether any object or operation is null.
func hasNil(set *Set) bool {
	value := reflect.ValueOf(set).Elem()
	for i := range value.NumField() {
		objects := value.Field(i)
		if objects.IsNil() {
			return true
		}
		for _, key := range objects.MapKeys() {
			if objects.MapIndex(key).IsNil() {
				return true
			}
		}
	}
	for _, s := range set.Services {
		for _, o := range s.Operations {
			if o == nil {
				return true
			}
		}
	}
	return false
}

// Ref identifies an object by kind and name.
type Ref struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// FieldChange is one field that differs. Old or New is "" if the field is absent.
type FieldChange struct {
	Path string `json:"path"`
	Old  string `json:"old"`
	New  string `json:"new"`
}

// Change is an object that differs between two sets.
type Change struct {
	Ref
	Fields []FieldChange `json:"fields"`
}

// Difference lists the objects that change from one set to another, ordered by kind
// and name.
type Difference struct {
	Added   []Ref    `json:"added"`
	Removed []Ref    `json:"removed"`
	Changed []Change `json:"changed"`
}

// Empty reports whether the sets are equal.
func (d Difference) Empty() bool {
	return len(d.Added) == 0 && len(d.Removed) == 0 && len(d.Changed) == 0
}

// Diff compares two sets.
func Diff(from, to *Set) Difference {
	before, after := flattenSet(from), flattenSet(to)
	var d Difference
	for _, ref := range sortedRefs(before, after) {
		oldFields, inOld := before[ref]
		newFields, inNew := after[ref]
		switch {
		case !inOld:
			d.Added = append(d.Added, ref)
		case !inNew:
			d.Removed = append(d.Removed, ref)
		default:
			if fields := diffFields(oldFields, newFields); len(fields) > 0 {
				d.Changed = append(d.Changed, Change{Ref: ref, Fields: fields})
			}
		}
	}
	return d
}

// fieldValues maps the field paths of an object to their values as text.
type fieldValues map[string]string

func flattenSet(set *Set) map[Ref]fieldValues {
	objects := map[Ref]fieldValues{}
	if set == nil {
		return objects
	}
	flattenKind(objects, KindService, set.Services)
	flattenKind(objects, KindBatchJob, set.BatchJobs)
	flattenKind(objects, KindGangJob, set.GangJobs)
	flattenKind(objects, KindPolicy, set.Policies)
	flattenKind(objects, KindPool, set.Pools)
	flattenKind(objects, KindTeam, set.Teams)
	return objects
}

func flattenKind[T any](into map[Ref]fieldValues, kind Kind, objects map[string]*T) {
	for name, o := range objects {
		fields := fieldValues{}
		flatten(fields, "", reflect.ValueOf(o).Elem())
		into[Ref{Kind: kind, Name: name}] = fields
	}
}

// flatten adds the field paths below v. It descends into structs and maps; any other
// kind, lists included, is a single value.
func flatten(into fieldValues, path string, v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		flatten(into, path, v.Elem())
	case reflect.Struct:
		flattenStruct(into, path, v)
	case reflect.Map:
		for _, key := range v.MapKeys() {
			flatten(into, joinPath(path, key.String()), v.MapIndex(key))
		}
	default:
		into[path] = fmt.Sprint(v.Interface())
	}
}

func flattenStruct(into fieldValues, path string, v reflect.Value) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if field.Anonymous {
			flatten(into, path, v.Field(i))
			continue
		}
		flatten(into, joinPath(path, name), v.Field(i))
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func sortedRefs(sets ...map[Ref]fieldValues) []Ref {
	seen := map[Ref]bool{}
	for _, set := range sets {
		for ref := range set {
			seen[ref] = true
		}
	}
	refs := make([]Ref, 0, len(seen))
	for ref := range seen {
		refs = append(refs, ref)
	}
	sortRefs(refs)
	return refs
}

func sortRefs(refs []Ref) {
	sort.Slice(refs, func(i, j int) bool {
		if refs[i].Kind != refs[j].Kind {
			return refs[i].Kind < refs[j].Kind
		}
		return refs[i].Name < refs[j].Name
	})
}

func diffFields(oldFields, newFields fieldValues) []FieldChange {
	var changes []FieldChange
	for path, value := range oldFields {
		if newFields[path] != value {
			changes = append(changes, FieldChange{Path: path, Old: value, New: newFields[path]})
		}
	}
	for path, value := range newFields {
		if _, inOld := oldFields[path]; !inOld {
			changes = append(changes, FieldChange{Path: path, New: value})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Path < changes[j].Path })
	return changes
}
