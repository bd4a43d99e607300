package control

import (
	"context"
	"time"

	"briarproxy/core/ownership"
	"briarproxy/core/wire"
	"briarproxy/daemon/view"
)

// vmFlags is what is known of a VM beside the list.
type vmFlags struct {
	incarnation int64
	leaving     bool
	seenAt      time.Duration // boot clock when the list last named the VM
}

// followVMs polls the VM list, without an end.
func (c *Control) followVMs(ctx context.Context) {
	for ctx.Err() == nil {
		vms, err := c.VMs.Get(ctx)
		if err != nil {
			c.Events.Emit(eventVMList, "error", err.Error())
		} else if !c.send(vmsRead{vms}) {
			return
		}
		sleep(ctx, vmListInterval/2, vmListInterval*3/2)
	}
}

type vmsRead struct{ vms []wire.VM }

func (m vmsRead) handle(c *Control) {
	now := c.Now()
	listed := make(map[string]wire.VM, len(m.vms))
	for _, vm := range m.vms {
		listed[vm.Name] = vm
		flags := c.flags[vm.Name]
		if vm.State == wire.VMLeaving && !flags.leaving {
			flags.leaving = true
			c.Events.Emit(eventLeaving, "vm", vm.Name, "source", "VM list")
		}
		flags.seenAt = now
		c.flags[vm.Name] = flags
	}
	for name, flags := range c.flags {
		if now-flags.seenAt > unlistedVMs {
			delete(c.flags, name)
		}
	}
	c.vms = listed
	c.dirty = true
}

// ReportVM notes what a worker says of itself. Leaving is undone only by a higher
// incarnation, which is another VM of the same name.
func (c *Control) ReportVM(vm string, incarnation int64, draining bool) {
	select {
	case c.messages <- vmReport{vm, incarnation, draining}:
	default: // the worker's next report says the same
	}
}

type vmReport struct {
	vm          string
	incarnation int64
	draining    bool
}

func (m vmReport) handle(c *Control) {
	flags := c.flags[m.vm]
	before := flags
	if m.incarnation > flags.incarnation {
		replaced := flags.incarnation != 0
		flags.incarnation = m.incarnation
		flags.leaving = flags.leaving && !replaced
	}
	if m.draining && m.incarnation == flags.incarnation && !flags.leaving {
		flags.leaving = true
		c.Events.Emit(eventLeaving, "vm", m.vm, "source", "worker")
	}
	if flags != before {
		c.flags[m.vm] = flags
		c.dirty = true
	}
}

// wantedUnits lists every unit that should have an owner.
func (c *Control) wantedUnits() []ownership.Unit {
	units := make([]ownership.Unit, 0, wire.ShardCount+len(c.vms)/8)
	for shard := range wire.ShardCount {
		units = append(units, ownership.Unit{Name: wire.ShardUnit(shard)})
	}
	racks := map[string]int{}
	for _, vm := range c.vms {
		if vm.Role != wire.RoleWorker {
			continue
		}
		name := wire.RackUnit(vm.DataCentre, vm.Rack)
		if _, known := racks[name]; !known {
			racks[name] = len(units)
			units = append(units, ownership.Unit{Name: name, Region: vm.Region, DataCentre: vm.DataCentre})
		}
		if c.unfenced(vm) {
			units[racks[name]].ExtraWait = startValidity
		}
	}
	return units
}

// startValidity is the longest time for which a start may be on its way to a
// worker that does not refuse stale epochs.
const startValidity = 2 * time.Second

func (c *Control) unfenced(vm wire.VM) bool {
	if !c.configKnown {
		return false
	}
	for _, pool := range c.config.Set().Pools {
		if !pool.Fencing && view.PoolOf(pool, view.VM{VM: vm}) {
			return true
		}
	}
	return false
}
