package object

import (
	"maps"
	"reflect"

	"briarproxy/core/fault"
)

// Delta holds the changes that turn one set into another. Its size depends on the
// number of changed objects, not on the size of the sets.
type Delta struct {
	Put    *Set  `json:"put"`              // Put holds the objects that are added or replaced.
	Remove []Ref `json:"remove,omitempty"` // Remove is ordered by kind and name.
}

// DeltaOf returns the delta that turns the set from into the set to.
func DeltaOf(from, to *Set) Delta {
	put := newSet()
	d := Delta{Put: put}
	addDeltaOfKind(&d, KindBatchJob, from.BatchJobs, to.BatchJobs, put.BatchJobs)
	addDeltaOfKind(&d, KindGangJob, from.GangJobs, to.GangJobs, put.GangJobs)
	addDeltaOfKind(&d, KindPolicy, from.Policies, to.Policies, put.Policies)
	addDeltaOfKind(&d, KindPool, from.Pools, to.Pools, put.Pools)
	addDeltaOfKind(&d, KindService, from.Services, to.Services, put.Services)
	addDeltaOfKind(&d, KindTeam, from.Teams, to.Teams, put.Teams)
	sortRefs(d.Remove)
	return d
}

func addDeltaOfKind[T any](d *Delta, kind Kind, from, to, put map[string]*T) {
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

// Apply returns a new set with the changes applied to base, which is not modified. It
// fails if the delta removes an object that base does not have, because the delta was
// then computed from another base.
func (d Delta) Apply(base *Set) (*Set, error) {
	set := &Set{
		Services:  cloneMap(base.Services),
		BatchJobs: cloneMap(base.BatchJobs),
		GangJobs:  cloneMap(base.GangJobs),
		Policies:  cloneMap(base.Policies),
		Pools:     cloneMap(base.Pools),
		Teams:     cloneMap(base.Teams),
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

func cloneMap[T any](objects map[string]*T) map[string]*T {
	copied := make(map[string]*T, len(objects)+1)
	maps.Copy(copied, objects)
	return copied
}

// remove deletes an object and reports whether it existed.
func (s *Set) remove(ref Ref) bool {
	switch ref.Kind {
	case KindService:
		return removeFromMap(s.Services, ref.Name)
	case KindBatchJob:
		return removeFromMap(s.BatchJobs, ref.Name)
	case KindGangJob:
		return removeFromMap(s.GangJobs, ref.Name)
	case KindPolicy:
		return removeFromMap(s.Policies, ref.Name)
	case KindPool:
		return removeFromMap(s.Pools, ref.Name)
	case KindTeam:
		return removeFromMap(s.Teams, ref.Name)
	}
	return false
}

func removeFromMap[T any](objects map[string]*T, name string) bool {
	_, found := objects[name]
	delete(objects, name)
	return found
}
