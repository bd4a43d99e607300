package control

import (
	"context"
	"time"

	"briarproxy/core/wire"
)

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
	before := c.leavingVMs()
	c.vms.list(wire.VMList{VMs: m.vms}, c.Now())
	c.logLeaving(before, "VM list")
	c.dirty = true
}

// ReportVM notes what a worker says of itself. Leaving is undone only by a higher
// incarnation, which is another VM of the same name.
func (c *Control) ReportVM(vm string, incarnation int64, draining bool) {
	select {
	case c.messages <- vmReport{vm, incarnation, draining, c.Now()}:
	default: // the worker's next report says the same
	}
}

type vmReport struct {
	vm          string
	incarnation int64
	draining    bool
	at          time.Duration
}

func (m vmReport) handle(c *Control) {
	before := c.vms.leaving(m.vm)
	if c.vms.report(m.vm, m.incarnation, m.draining, m.at) {
		c.dirty = true
	}
	if c.vms.leaving(m.vm) && !before {
		c.Events.Emit(eventLeaving, "vm", m.vm, "source", "worker")
	}
}

func (c *Control) leavingVMs() map[string]bool {
	leaving := map[string]bool{}
	for name, v := range c.vms.vms {
		if v.leaving {
			leaving[name] = true
		}
	}
	return leaving
}

func (c *Control) logLeaving(before map[string]bool, source string) {
	for name := range c.leavingVMs() {
		if !before[name] {
			c.Events.Emit(eventLeaving, "vm", name, "source", source)
		}
	}
}
