package object

import (
	"maps"
	"reflect"

	"briarproxy/core/fault"
)

// Delta turns one set into another. It is small where few objects change.
type Delta struct {
	Put    *Set  `json:"put"`              // objects that are added or replaced
	Remove []Ref `json:"remove,omitempty"` // ordered by kind and name
}

// DeltaOf returns the delta that turns one set into another.
func DeltaOf(from, to *Set) Delta {
	put := newSet()
	d := Delta{Put: put}
	deltaOfKind(&d, KindBatchJob, from.BatchJobs, to.BatchJobs, put.BatchJobs)
	deltaOfKind(&d, KindGangJob, from.GangJobs, to.GangJobs, put.GangJobs)
	deltaOfKind(&d, KindPolicy, from.Policies, to.Policies, put.Policies)
	deltaOfKind(&d, KindPool, from.Pools, to.Pools, put.Pools)
	deltaOfKind(&d, KindService, from.Services, to.Services, put.Services)
	deltaOfKind(&d, KindTeam, from.Teams, to.Teams, put.Teams)
	sortRefs(d.Remove)
	return d
}

func deltaOfKind[T any](d *Delta, kind Kind, from, to, put map[string]*T) {
	for name, o := range to {
		if old, found := from[name]; !found || !reflect.DeepEqual(old, o) {
			put[name] = o
		}
	}
	for name := range from {
		if _, found := to[name]; !found {
			d.Remove = append(d.Remove, Ref{Kind: kind, Name: name})
		}
	}
}

// Apply returns the set that the delta makes of base, which stays unchanged. It
// fails if the delta removes an object that base does not have, because it was then
// made for another base.
func (d Delta) Apply(base *Set) (*Set, error) {
	set := &Set{
		Services:  copyOf(base.Services),
		BatchJobs: copyOf(base.BatchJobs),
		GangJobs:  copyOf(base.GangJobs),
		Policies:  copyOf(base.Policies),
		Pools:     copyOf(base.Pools),
		Teams:     copyOf(base.Teams),
	}
	for _, ref := range d.Remove {
		if !set.remove(ref) {
			return nil, fault.New(fault.Invalid, "make the change from the newest version", "%s %q does not exist in the base", ref.Kind, ref.Name)
		}
	}
	maps.Copy(set.Services, d.Put.Services)
	maps.Copy(set.BatchJobs, d.Put.BatchJobs)
	maps.Copy(set.GangJobs, d.Put.GangJobs)
	maps.Copy(set.Policies, d.Put.Policies)
	maps.Copy(set.Pools, d.Put.Pools)
	maps.Copy(set.Teams, d.Put.Teams)
	return set, nil
}

func copyOf[T any](objects map[string]*T) map[string]*T {
	copied := make(map[string]*T, len(objects)+1)
	maps.Copy(copied, objects)
	return copied
}

// remove deletes an object and reports whether it existed.
func (s *Set) remove(ref Ref) bool {
	switch ref.Kind {
	case KindService:
		return removeFrom(s.Services, ref.Name)
	case KindBatchJob:
		return removeFrom(s.BatchJobs, ref.Name)
	case KindGangJob:
		return removeFrom(s.GangJobs, ref.Name)
	case KindPolicy:
		return removeFrom(s.Policies, ref.Name)
	case KindPool:
		return removeFrom(s.Pools, ref.Name)
	case KindTeam:
		return removeFrom(s.Teams, ref.Name)
	}
	return false
}

func removeFrom[T any](objects map[string]*T, name string) bool {
	_, found := objects[name]
	delete(objects, name)
	return found
}
