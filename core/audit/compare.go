package audit

import (
	"fmt"
	"reflect"

	"briarproxy/core/cluster"
)

// Compare returns what a configuration changes against the version in force.
func Compare(inForce, next *cluster.Configuration) []Finding {
	var f findings
	if next.Version <= inForce.Version {
		f.add(Error, "version", "%d is not above %d, which is in force, so daemons ignore the configuration", next.Version, inForce.Version)
	}
	compareNamed(&f, "queue", inForce.Queues, next.Queues, func(q *cluster.Queue) string { return q.Name })
	compareNamed(&f, "pool", inForce.Pools, next.Pools, func(p *cluster.Pool) string { return p.Name })
	compareNamed(&f, "workspace", inForce.Workspaces, next.Workspaces, func(w *cluster.Workspace) string { return w.Name })
	f.compareFields("limits", reflect.ValueOf(inForce.Limits), reflect.ValueOf(next.Limits))
	if len(inForce.Workspaces) == 0 && len(next.Workspaces) > 0 {
		f.add(Change, "workspaces", "callers need keys from now on")
	}
	if len(inForce.Workspaces) > 0 && len(next.Workspaces) == 0 {
		f.add(Change, "workspaces", "callers need no keys any more, unless bounds.revoke_ms is set: then no key is accepted")
	}
	return f
}

// compareNamed compares lists whose entries have unique names.
func compareNamed[T any](f *findings, kind string, before, after []T, name func(*T) string) {
	old := map[string]*T{}
	for i := range before {
		old[name(&before[i])] = &before[i]
	}
	for i := range after {
		field := fmt.Sprintf("%s %s", kind, name(&after[i]))
		former, known := old[name(&after[i])]
		if !known {
			f.add(Change, field, "is new")
			continue
		}
		delete(old, name(&after[i]))
		f.compareFields(field, reflect.ValueOf(*former), reflect.ValueOf(after[i]))
	}
	for i := range before {
		if old[name(&before[i])] != nil {
			f.add(Change, fmt.Sprintf("%s %s", kind, name(&before[i])), "is removed")
		}
	}
}

// compareFields adds a finding for each field of a struct that differs. Keys are counted, not shown.
func (f *findings) compareFields(name string, before, after reflect.Value) {
	for i := range before.NumField() {
		a, b := before.Field(i).Interface(), after.Field(i).Interface()
		if reflect.DeepEqual(a, b) {
			continue
		}
		field := name + "." + before.Type().Field(i).Name
		if before.Type().Field(i).Name == keysField {
			added, removed := countDifference(before.Field(i), after.Field(i))
			if added+removed > 0 {
				f.add(Change, field, "%d added, %d taken away", added, removed)
			}
			continue
		}
		f.add(Change, field, "%s becomes %s", show(before.Field(i)), show(after.Field(i)))
	}
}

// keysField is the field of a workspace that holds its keys.
const keysField = "Keys"

// countDifference returns how many entries of a list are only in the second, and only in the first one.
func countDifference(before, after reflect.Value) (added, removed int) {
	known := map[any]bool{}
	for i := range before.Len() {
		known[before.Index(i).Interface()] = true
	}
	for i := range after.Len() {
		if key := after.Index(i).Interface(); known[key] {
			delete(known, key)
		} else {
			added++
		}
	}
	return added, len(known)
}

// show returns a value as text, and "none" for a nil pointer.
func show(v reflect.Value) string {
	if v.Kind() == reflect.Pointer {
		if v.IsNil() {
			return "none"
		}
		v = v.Elem()
	}
	return fmt.Sprintf("%+v", v.Interface())
}
