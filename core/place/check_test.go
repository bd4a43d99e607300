package place

import (
	"fmt"
	"slices"

	"briarproxy/core/resource"
)

// CheckIndex checks the index against totals and buckets that it recomputes from the
// workers' states.
func CheckIndex(c *Cell) error {
	for name, p := range c.pools {
		if err := checkPool(c, name, p); err != nil {
			return fmt.Errorf("pool %s: %w", name, err)
		}
	}
	spread := map[jobRack]int{}
	for i := range c.states {
		for _, t := range c.states[i].Tasks {
			if c.workerOfTask[t.ID] != int32(i) {
				return fmt.Errorf("task %s is missing in workerOfTask", t.ID)
			}
			if t.SpreadRacks {
				spread[jobRack{t.Job, c.rackOfWorker[i]}]++
			}
		}
	}
	if fmt.Sprint(spread) != fmt.Sprint(c.spreadTasks) {
		return fmt.Errorf("spread counters %v, recount %v", c.spreadTasks, spread)
	}
	return nil
}

func checkPool(c *Cell, name string, p *poolIndex) error {
	members, schedulable := 0, 0
	var capacity, committed resource.Vector
	for i := range c.states {
		w := &c.states[i]
		if !c.present[i] || !slices.Contains(w.Pools, name) {
			continue
		}
		members++
		preemptible := slices.ContainsFunc(w.Tasks, func(t Task) bool { return t.Preemptible })
		if listed := slices.Contains(p.preemptible, int32(i)); listed != (preemptible && w.Schedulable()) {
			return fmt.Errorf("%s in the list of workers with preemptible tasks: %v", w.VM, listed)
		}
		if w.Schedulable() {
			schedulable++
			capacity, committed = capacity.Add(w.Capacity), committed.Add(w.Committed)
		}
	}
	if members != p.members || schedulable != p.schedulable || capacity != p.capacity || committed != p.committed {
		return fmt.Errorf("totals %d %d %v %v, recount %d %d %v %v", p.members, p.schedulable, p.capacity, p.committed, members, schedulable, capacity, committed)
	}
	return checkBuckets(c, p, schedulable)
}

func checkBuckets(c *Cell, p *poolIndex, schedulable int) error {
	inGrids, inSlots := 0, 0
	for _, dc := range p.dataCentres {
		for class := range dc.grids {
			for acc, g := range dc.grids[class] {
				if g == nil {
					continue
				}
				for bucket, head := range g.heads {
					row, col := bucket/levels, bucket%levels
					if bit := g.coreLevels>>row&1 == 1 && g.memoryLevels[row]>>col&1 == 1; bit != (head != 0) {
						return fmt.Errorf("bucket %d marked %v, head %d", bucket, bit, head)
					}
					for n := head; n != 0; n = c.nodes[n].next {
						inGrids++
						w := &c.states[c.nodes[n].worker]
						f := w.Free()
						if !w.Schedulable() || level(f.MilliCores) != row || level(f.MemoryMiB) != col || (class == 1 && acceleratorLevel(f.Accelerators) != acc) {
							return fmt.Errorf("%s is in the wrong bucket", w.VM)
						}
					}
				}
			}
		}
		for bucket, head := range dc.slots.heads {
			if (dc.slots.nonEmpty>>bucket&1 == 1) != (head != 0) {
				return fmt.Errorf("slot bucket %d marked wrongly", bucket)
			}
			for n := head; n != 0; n = c.nodes[n].next {
				inSlots++
				if free := c.states[c.nodes[n].worker].Free().Slots; min(max(free, 0), levels-1) != int64(bucket) {
					return fmt.Errorf("%s is in the wrong slot bucket", c.states[c.nodes[n].worker].VM)
				}
			}
		}
	}
	if inGrids != schedulable || inSlots != schedulable {
		return fmt.Errorf("%d in grids, %d in slot buckets, %d schedulable", inGrids, inSlots, schedulable)
	}
	return nil
}
