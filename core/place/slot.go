package place

import (
	"math/bits"

	"briarproxy/core/resource"
)

// Slot is a handle to a worker whose slots serve requests. It is valid until the
// worker is removed or replaced, which TakeSlots checks. Holds do not apply to
// slots, because tasks do not use them.
type Slot struct {
	worker int32
	serial int64
}

// PickSlot returns the nearest worker of the pool with the most free slots,
// without taking one. Workers in avoid are skipped. It does not allocate.
func (c *Cell) PickSlot(poolName string, o *Options, avoid []Slot) (Slot, bool) {
	p, ok := c.pools[poolName]
	if !ok {
		return Slot{}, false
	}
	for d := 0; d <= maxDistance(o.Scope); d++ {
		best, found, most := Slot{}, false, int64(0)
		for _, dc := range p.dataCentres {
			if distance(dc.region, dc.dataCentre, o) != d {
				continue
			}
			slot, free := c.mostFreeSlots(dc, avoid)
			if free > most {
				best, found, most = slot, true, free
			}
		}
		if found {
			return best, true
		}
	}
	return Slot{}, false
}

// mostFreeSlots returns the worker of the data centre with the most free slots and
// their number. Bucket 0 is skipped because its workers have no free slot.
func (c *Cell) mostFreeSlots(dc *dataCentreIndex, avoid []Slot) (Slot, int64) {
	for filled := dc.slots.nonEmpty &^ 1; filled != 0; {
		bucket := bits.Len64(filled) - 1
		for n := dc.slots.heads[bucket]; n != 0; n = c.nodes[n].next {
			i := c.nodes[n].worker
			slot := Slot{worker: i, serial: c.serials[i]}
			if !avoids(avoid, slot) {
				return slot, int64(bucket)
			}
		}
		filled &^= 1 << bucket
	}
	return Slot{}, 0
}

func avoids(avoid []Slot, s Slot) bool {
	for _, a := range avoid {
		if a == s {
			return true
		}
	}
	return false
}

// SlotVM returns the VM of a slot, or "" if the worker was removed or replaced.
func (c *Cell) SlotVM(s Slot) string {
	if !c.slotValid(s) {
		return ""
	}
	return c.states[s.worker].VM
}

func (c *Cell) slotValid(s Slot) bool {
	return s.serial != 0 && int(s.worker) < len(c.states) && c.present[s.worker] && c.serials[s.worker] == s.serial
}

// TakeSlots commits n slots of the worker. It returns false if the worker was
// removed or replaced, is not schedulable, or has fewer free slots. It does not
// allocate.
func (c *Cell) TakeSlots(s Slot, n int64) bool {
	if n <= 0 || !c.slotValid(s) {
		return false
	}
	w := &c.states[s.worker]
	if !w.Schedulable() || w.Capacity.Slots-w.Committed.Slots < n {
		return false
	}
	w.Slots += n
	c.adjustCommitted(s.worker, resource.Vector{Slots: n})
	return true
}

// TakeProbeSlot commits one slot of a worker that is quarantined but otherwise
// schedulable.
func (c *Cell) TakeProbeSlot(s Slot) bool {
	if !c.slotValid(s) {
		return false
	}
	w := &c.states[s.worker]
	if !w.Quarantined || !w.Live || w.Draining || w.Capacity.Slots-w.Committed.Slots < 1 {
		return false
	}
	w.Slots++
	c.adjustCommitted(s.worker, resource.Vector{Slots: 1})
	return true
}

// ReturnSlots frees slots taken with TakeSlots or TakeProbeSlot. It returns the
// number freed, which is below n if the worker was removed or replaced, or fewer
// slots were taken.
func (c *Cell) ReturnSlots(s Slot, n int64) int64 {
	if n <= 0 || !c.slotValid(s) {
		return 0
	}
	w := &c.states[s.worker]
	n = min(n, w.Slots)
	w.Slots -= n
	c.adjustCommitted(s.worker, resource.Vector{Slots: -n})
	return n
}

// SlotOf returns the slot handle of a VM. Loans refer to workers by VM.
func (c *Cell) SlotOf(vm string) (Slot, bool) {
	i, ok := c.workerByVM[vm]
	if !ok {
		return Slot{}, false
	}
	return Slot{worker: i, serial: c.serials[i]}, true
}
