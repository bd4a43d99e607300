package flow

import (
	"cmp"
	"slices"
	"time"
)

// Limits of tombstones.
const (
	// TombstoneRetention is how long a tombstone is kept. The store carries a late append out within seconds, and a
	// daemon repeats a record for less than a minute.
	TombstoneRetention = 2 * time.Minute
	// tombstoneRenewalAge is the age from which another cancellation of the id is recorded again.
	tombstoneRenewalAge = TombstoneRetention / 4
	// maxTombstones bounds the tombstones of all workspaces.
	maxTombstones = 8192
	// maxWorkspaceTombstones is the number from which a workspace may add no more, so that one workspace cannot use up
	// the tombstones of all.
	maxWorkspaceTombstones = maxTombstones / 4
)

// tombstone marks an id that was cancelled while the log contained no job of it. A submission of the id that the log
// stores later does not run.
type tombstone struct {
	id        string
	workspace string        // of the caller that cancelled; "" if it had no key
	at        time.Duration // boot-clock time at which the cancellation was applied
}

// covers reports whether the caller that cancelled might have cancelled a job of the workspace.
func (t *tombstone) covers(workspace string) bool {
	return workspace == "" || workspace == t.workspace
}

// tombstones are the tombstones of a cell. Their number is bounded whoever cancels: beyond maxTombstones, the oldest one
// of the workspace that has the most gives way.
type tombstones struct {
	byID        map[string][]*tombstone // one for each workspace that cancelled the id
	byWorkspace map[string][]*tombstone // the oldest first
	count       int
}

func newTombstones() tombstones {
	return tombstones{byID: map[string][]*tombstone{}, byWorkspace: map[string][]*tombstone{}}
}

// add adds a tombstone or renews it.
func (t *tombstones) add(id, workspace string, at time.Duration) {
	for _, known := range t.byID[id] {
		if known.workspace == workspace {
			t.remove(known)
			break
		}
	}
	if t.count >= maxTombstones {
		t.remove(t.byWorkspace[t.largestWorkspace()][0])
	}
	added := &tombstone{id, workspace, at}
	t.byID[id] = append(t.byID[id], added)
	t.byWorkspace[workspace] = append(t.byWorkspace[workspace], added)
	t.count++
}

// largestWorkspace returns the workspace with the most tombstones; of several, the first by name.
func (t *tombstones) largestWorkspace() string {
	largest, most := "", 0
	for workspace, list := range t.byWorkspace {
		if len(list) > most || len(list) == most && workspace < largest {
			largest, most = workspace, len(list)
		}
	}
	return largest
}

func (t *tombstones) remove(removed *tombstone) {
	removeFrom(t.byID, removed.id, removed)
	removeFrom(t.byWorkspace, removed.workspace, removed)
	t.count--
}

// removeFrom removes a tombstone from the list of a key, and the key with its last tombstone.
func removeFrom(lists map[string][]*tombstone, key string, removed *tombstone) {
	list := lists[key]
	switch {
	case len(list) == 1:
		delete(lists, key)
	case list[0] == removed:
		lists[key] = list[1:]
	default:
		lists[key] = slices.DeleteFunc(list, func(t *tombstone) bool { return t == removed })
	}
}

// find returns the newest tombstone that covers a submission of the id by a workspace, or nil.
func (t *tombstones) find(id, workspace string) *tombstone {
	var newest *tombstone
	for _, candidate := range t.byID[id] {
		if candidate.covers(workspace) && (newest == nil || candidate.at > newest.at) {
			newest = candidate
		}
	}
	return newest
}

// expire removes the tombstones that were added before the given time.
func (t *tombstones) expire(before time.Duration) {
	for workspace := range t.byWorkspace {
		for len(t.byWorkspace[workspace]) > 0 && t.byWorkspace[workspace][0].at < before {
			t.remove(t.byWorkspace[workspace][0])
		}
	}
}

// sorted returns all tombstones, the oldest first.
func (t *tombstones) sorted() []*tombstone {
	all := make([]*tombstone, 0, t.count)
	for _, list := range t.byWorkspace {
		all = append(all, list...)
	}
	slices.SortFunc(all, func(a, b *tombstone) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.id, b.id), cmp.Compare(a.workspace, b.workspace))
	})
	return all
}

// Withdrawn reports whether a submission of the id by a workspace would be cancelled as soon as it is stored, because
// its cancellation came first.
func (s *State) Withdrawn(id, workspace string) bool { return s.tombstones.find(id, workspace) != nil }

// WithdrawnLately reports whether a workspace has cancelled the id so lately that another cancellation need not be
// recorded.
func (s *State) WithdrawnLately(id, workspace string, now time.Duration) bool {
	for _, t := range s.tombstones.byID[id] {
		if t.workspace == workspace && now-t.at < tombstoneRenewalAge {
			return true
		}
	}
	return false
}

// AcceptsTombstone reports whether a workspace may cancel another job that the log does not contain. The limits leave
// room for cancellations that several daemons admit at the same time.
func (s *State) AcceptsTombstone(workspace string) bool {
	return s.tombstones.count < maxTombstones-maxWorkspaceTombstones && len(s.tombstones.byWorkspace[workspace]) < maxWorkspaceTombstones
}

// Tombstones returns the number of tombstones.
func (s *State) Tombstones() int { return s.tombstones.count }
