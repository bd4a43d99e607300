// Package view holds the immutable snapshot of configuration, unit owners, peers
// and VMs that the control goroutine publishes to the rest of the daemon.
package view

import (
	"sync/atomic"
	"time"

	"briarproxy/core/object"
	"briarproxy/core/wire"
)

// Daemon is another daemon, or this one, as its heartbeats describe it.
type Daemon struct {
	Name          string
	Incarnation   int64
	PeerAddress   string // IP:port of its net/rpc listener
	CallerAddress string // IP:port of its callers' API
	AdminAddress  string // IP:port of its admin API, "" when off
	Region        string
	DataCentre    string
	ConfigVersion int64
	Draining      bool
	Live          bool
}

// Unit is an ownership unit and its owner.
type Unit struct {
	Name       string        // see wire.RackUnit and wire.ShardUnit
	Owner      string        // daemon name, "" when the unit is free
	Epoch      int64         // log offset of the claim record
	Mine       bool          // owned by this daemon's incarnation
	LeaseUntil time.Duration // boot clock; set for units of this daemon only
	// AfterRelease is set when the former owner released the unit, and so has not
	// acted for it since the claim.
	AfterRelease bool
}

// VM is a VM with every source of membership taken into account.
type VM struct {
	wire.VM
	Leaving bool // sticky for the VM's incarnation
}

// Snapshot is a consistent view. Nothing in it is changed after it is published.
type Snapshot struct {
	Self          Daemon
	ConfigVersion int64 // 0 before the end of the config stream was read once
	Set           *object.Set
	Units         map[string]Unit
	Daemons       map[string]Daemon
	VMs           map[string]VM
	LogHealthy    bool // the last append or read succeeded recently
}

// OwnerOf returns the owner of a unit; ok is false when the unit is free.
func (s *Snapshot) OwnerOf(unit string) (owner Daemon, ok bool) {
	u, found := s.Units[unit]
	if !found || u.Owner == "" {
		return Daemon{}, false
	}
	owner, ok = s.Daemons[u.Owner]
	return owner, ok
}

// PoolOf reports whether the VM belongs to the pool.
func PoolOf(pool *object.Pool, vm VM) bool {
	return vm.Role == wire.RoleWorker &&
		selects(pool.Regions, vm.Region) &&
		selects(pool.DataCentres, vm.DataCentre) &&
		selects(pool.Racks, vm.Rack)
}

// selects reports whether a selector list, empty for all, names the value.
func selects(list []string, value string) bool {
	for _, item := range list {
		if item == value {
			return true
		}
	}
	return len(list) == 0
}

// Source gives the newest snapshot.
type Source interface {
	Current() *Snapshot
	// Changed returns a channel that is closed when a newer snapshot exists.
	Changed() <-chan struct{}
}

// Holder is a Source with one writer.
type Holder struct {
	current atomic.Pointer[published]
}

type published struct {
	snapshot *Snapshot
	changed  chan struct{}
}

// NewHolder returns a Holder that starts with an empty snapshot.
func NewHolder() *Holder {
	h := &Holder{}
	h.current.Store(&published{snapshot: &Snapshot{Set: &object.Set{}}, changed: make(chan struct{})})
	return h
}

// Publish replaces the snapshot. Only one goroutine may call it.
func (h *Holder) Publish(s *Snapshot) {
	old := h.current.Swap(&published{snapshot: s, changed: make(chan struct{})})
	close(old.changed)
}

// Current implements Source.
func (h *Holder) Current() *Snapshot { return h.current.Load().snapshot }

// Changed implements Source.
func (h *Holder) Changed() <-chan struct{} { return h.current.Load().changed }
