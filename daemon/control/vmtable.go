package control

import (
	"math"
	"slices"
	"strings"
	"time"

	"briarproxy/core/object"
	"briarproxy/core/ownership"
	"briarproxy/core/wire"
	"briarproxy/daemon/view"
)

// vmState combines the sources of membership of one VM.
type vmState struct {
	vm          wire.VM
	listed      bool
	incarnation int64 // from the worker's reports, 0 before the first
	leaving     bool  // sticky for the incarnation
	// listIsOld is set when a report showed a new incarnation while the list called
	// the VM leaving: the list lags and may mean the incarnation before.
	listIsOld  bool
	reportedAt time.Duration
	reported   bool
}

// latestStart is how long after the end of a rack's lease a start may still reach a
// worker that does not refuse stale epochs: under a loan that was granted just before,
// which lives for 3 s, with a margin for clock drift.
const latestStart = 3*time.Second + 200*time.Millisecond

// vmKeptAfterReport is how long a VM that the list does not name counts as present
// after its worker's last report.
const vmKeptAfterReport = 10 * time.Second

type vmTable struct {
	vms    map[string]*vmState
	newest []wire.VM // the list that was taken over last

	// What current and unitsOf return, until a change. With 18,000 VMs a rebuild takes
	// milliseconds, and both are needed several times a second.
	snapshot map[string]view.VM
	units    []ownership.Unit
	unitsSet *object.Set   // that units were made with
	until    time.Duration // when the first VM that is not in the list may count as gone
}

func newVMTable() *vmTable { return &vmTable{vms: map[string]*vmState{}} }

// list takes over a VM list. VMs that are in it no more stay for as long as their
// own reports are recent.
func (t *vmTable) list(list wire.VMList, now time.Duration) {
	if sameList(list.VMs, t.newest) {
		return
	}
	t.newest = list.VMs
	t.changed()
	for _, v := range t.vms {
		v.listed = false
	}
	for _, vm := range list.VMs {
		v, found := t.vms[vm.Name]
		if !found || v.vm.Address != vm.Address {
			v = &vmState{}
			t.vms[vm.Name] = v
		}
		v.vm = vm
		v.listed = true
		if vm.State == wire.VMLive {
			v.listIsOld = false
		}
		if vm.State == wire.VMLeaving && !v.listIsOld {
			v.leaving = true
		}
	}
	t.dropGone(now)
}

// sameList reports whether two lists are one and the same, as the list's client
// returns it while the service says that nothing has changed.
func sameList(a, b []wire.VM) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

func (t *vmTable) changed() {
	t.snapshot = nil
	t.units = nil
}

func (t *vmTable) dropGone(now time.Duration) {
	for name, v := range t.vms {
		if !v.present(now) {
			delete(t.vms, name)
		}
	}
}

func (v *vmState) present(now time.Duration) bool {
	return v.listed || (v.reported && now-v.reportedAt <= vmKeptAfterReport)
}

// report takes over what a worker says of itself; true if that changes anything.
func (t *vmTable) report(vm string, incarnation int64, draining bool, now time.Duration) bool {
	v, found := t.vms[vm]
	if !found || incarnation < v.incarnation {
		return false
	}
	before := *v
	if incarnation > v.incarnation && v.incarnation != 0 {
		v.leaving = false
		v.listIsOld = v.vm.State == wire.VMLeaving
	}
	v.incarnation = incarnation
	v.leaving = v.leaving || draining
	v.reportedAt = now
	v.reported = true
	changed := v.leaving != before.leaving || v.incarnation != before.incarnation
	if changed {
		t.changed()
	}
	return changed
}

// leaving reports whether the VM is known to leave.
func (t *vmTable) leaving(vm string) bool {
	v, found := t.vms[vm]
	return found && v.leaving
}

// current returns the VMs that are present. The caller must not change the result.
func (t *vmTable) current(now time.Duration) map[string]view.VM {
	if t.snapshot != nil && now < t.until {
		return t.snapshot
	}
	t.changed()
	t.dropGone(now)
	t.until = math.MaxInt64
	t.snapshot = make(map[string]view.VM, len(t.vms))
	for name, v := range t.vms {
		t.snapshot[name] = view.VM{VM: v.vm, Leaving: v.leaving}
		if !v.listed {
			t.until = min(t.until, v.reportedAt+vmKeptAfterReport+1)
		}
	}
	return t.snapshot
}

// wantedUnits returns unitsOf for the VMs that are present. The caller must not
// change the result.
func (t *vmTable) wantedUnits(now time.Duration, set *object.Set) []ownership.Unit {
	vms := t.current(now)
	if t.units == nil || t.unitsSet != set {
		t.units, t.unitsSet = unitsOf(vms, set), set
	}
	return t.units
}

// unitsOf returns all key shards and the racks of all workers, sorted by name.
func unitsOf(vms map[string]view.VM, set *object.Set) []ownership.Unit {
	units := make([]ownership.Unit, 0, wire.ShardCount)
	for shard := range wire.ShardCount {
		units = append(units, ownership.Unit{Name: wire.ShardUnit(shard)})
	}
	racks := map[string]ownership.Unit{}
	for _, vm := range vms {
		if vm.Role != wire.RoleWorker {
			continue
		}
		name := wire.RackUnit(vm.DataCentre, vm.Rack)
		unit := ownership.Unit{Name: name, Region: vm.Region, DataCentre: vm.DataCentre, ExtraWait: racks[name].ExtraWait}
		if set != nil && unfenced(set, vm) {
			unit.ExtraWait = latestStart
		}
		racks[name] = unit
	}
	for _, unit := range racks {
		units = append(units, unit)
	}
	slices.SortFunc(units, func(a, b ownership.Unit) int { return strings.Compare(a.Name, b.Name) })
	return units
}

// unfenced reports whether the VM is in a pool whose workers do not support fencing.
func unfenced(set *object.Set, vm view.VM) bool {
	for _, pool := range set.Pools {
		if !pool.Fencing && view.PoolOf(pool, vm) {
			return true
		}
	}
	return false
}
