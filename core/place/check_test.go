package place

import (
	"fmt"
	"slices"

	"briarproxy/core/resource"
)

// CheckIndex recounts the index from the workers' states.
func CheckIndex(c *Cell) error {
	for name, p := range c.pools {
		if err := checkPool(c, name, p); err != nil {
			return fmt.Errorf("pool %s: %w", name, err)
		}
	}
	spread := map[jobRack]int{}
	for i := range c.states {
		for _, t := range c.states[i].Tasks {
			if c.tasks[t.ID] != int32(i) {
				return fmt.Errorf("task %s is not in the table of tasks", t.ID)
			}
			if t.SpreadRacks {
				spread[jobRack{t.Job, c.racks[i]}]++
			}
		}
	}
	if fmt.Sprint(spread) != fmt.Sprint(c.spread) {
		return fmt.Errorf("spread counters %v, recount %v", c.spread, spread)
	}
	return nil
}

func checkPool(c *Cell, name string, p *pool) error {
	members, open := 0, 0
	var capacity, committed resource.Vector
	for i := range c.states {
		w := &c.states[i]
		if !c.present[i] || !slices.Contains(w.Pools, name) {
			continue
		}
		members++
		preemptible := slices.ContainsFunc(w.Tasks, func(t Task) bool { return t.Preemptible })
		if listed := slices.Contains(p.victims, int32(i)); listed != (preemptible && w.Open()) {
			return fmt.Errorf("%s in the list of victims: %v", w.VM, listed)
		}
		if w.Open() {
			open++
			capacity, committed = capacity.Add(w.Capacity), committed.Add(w.Committed)
		}
	}
	if members != p.members || open != p.open || capacity != p.capacity || committed != p.committed {
		return fmt.Errorf("totals %d %d %v %v, recount %d %d %v %v", p.members, p.open, p.capacity, p.committed, members, open, capacity, committed)
	}
	return checkBuckets(c, p, open)
}

func checkBuckets(c *Cell, p *pool, open int) error {
	inGrids, inSlots := 0, 0
	for _, z := range p.zones {
		for class := range z.classes {
			for acc, g := range z.classes[class] {
				if g == nil {
					continue
				}
				for bucket, head := range g.heads {
					row, col := bucket/levels, bucket%levels
					if bit := g.rows>>row&1 == 1 && g.cols[row]>>col&1 == 1; bit != (head != 0) {
						return fmt.Errorf("bucket %d marked %v, head %d", bucket, bit, head)
					}
					for n := head; n != 0; n = c.nodes[n].next {
						inGrids++
						w := &c.states[c.nodes[n].worker]
						f := w.Free()
						if !w.Open() || level(f.MilliCores) != row || level(f.MemoryMiB) != col || (class == 1 && acceleratorLevel(f.Accelerators) != acc) {
							return fmt.Errorf("%s is in the wrong bucket", w.VM)
						}
					}
				}
			}
		}
		for bucket, head := range z.slots.heads {
			if (z.slots.filled>>bucket&1 == 1) != (head != 0) {
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
	if inGrids != open || inSlots != open {
		return fmt.Errorf("%d in grids, %d in slot buckets, %d open", inGrids, inSlots, open)
	}
	return nil
}
