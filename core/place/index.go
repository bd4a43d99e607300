package place

import (
	"math/bits"

	"briarproxy/core/resource"
)

// The free amount of each resource of a worker is rounded down to a level. Level 0
// is below minLevelAmount; above it, there are four levels per doubling. Levels
// are monotonic, so a bucket below the request's level holds no worker that fits.
const (
	minLevelAmount      = 64 // millicores or MiB
	minLevelAmountBits  = 6
	levels              = 64
	maxAcceleratorLevel = 16 // also the level of workers with more free accelerators
	acceleratorLevels   = maxAcceleratorLevel + 1
)

func level(amount int64) int {
	if amount < minLevelAmount {
		return 0
	}
	exponent := bits.Len64(uint64(amount)) - 1
	quarter := int(amount>>(exponent-2)) & 3
	return min(1+4*(exponent-minLevelAmountBits)+quarter, levels-1)
}

func acceleratorLevel(amount int64) int {
	return int(min(max(amount, 0), maxAcceleratorLevel))
}

// listNode is an element of the doubly linked list of a bucket. Index 0 means none.
type listNode struct {
	worker     int32
	next, prev int32
}

// grid holds workers in buckets by their levels of free cores and memory. Bit sets
// mark the buckets that are not empty.
type grid struct {
	coreLevels   uint64         // core levels with at least one worker
	memoryLevels [levels]uint64 // memory levels with at least one worker, per core level
	heads        [levels * levels]int32
}

// slotBuckets holds workers in buckets by their number of free slots. The last
// bucket also holds workers with more.
type slotBuckets struct {
	nonEmpty uint64
	heads    [levels]int32
}

// dataCentreIndex is the part of a pool's index for one data centre. Class 0 of
// grids holds workers without accelerators; class 1 holds those with accelerators,
// by the number that is free.
type dataCentreIndex struct {
	region      string
	dataCentre  string
	schedulable int // number of schedulable workers
	grids       [2][acceleratorLevels]*grid
	slots       slotBuckets
}

// poolIndex is the index of the workers of one pool.
type poolIndex struct {
	name            string
	dataCentres     []*dataCentreIndex
	members         int
	schedulable     int                     // number of schedulable members
	capacity        resource.Vector         // of schedulable members
	committed       resource.Vector         // of schedulable members
	capacityVersion int64                   // rises whenever a request that did not fit may fit now
	capacityCounts  map[resource.Vector]int // number of members by capacity
	preemptible     []int32                 // schedulable members with preemptible tasks
}

// poolEntry is the position of a worker in the index of one pool.
type poolEntry struct {
	pool           *poolIndex
	dataCentre     *dataCentreIndex
	grid           *grid // nil if the worker is not schedulable
	bucket         int32
	slotBucket     int8 // -1 if the worker is not schedulable
	node           int32
	slotNode       int32
	preemptiblePos int32 // position in poolIndex.preemptible, -1 if absent
}

func (c *Cell) pushNode(head *int32, n int32) {
	c.nodes[n].next = *head
	c.nodes[n].prev = 0
	if *head != 0 {
		c.nodes[*head].prev = n
	}
	*head = n
}

// unlinkNode removes n from the list and reports whether the list is then empty.
func (c *Cell) unlinkNode(head *int32, n int32) bool {
	removed := c.nodes[n]
	if removed.next != 0 {
		c.nodes[removed.next].prev = removed.prev
	}
	if removed.prev != 0 {
		c.nodes[removed.prev].next = removed.next
	} else {
		*head = removed.next
	}
	return *head == 0
}

func (c *Cell) newNode(worker int32) int32 {
	if n := len(c.unusedNodes); n > 0 {
		id := c.unusedNodes[n-1]
		c.unusedNodes = c.unusedNodes[:n-1]
		c.nodes[id] = listNode{worker: worker}
		return id
	}
	c.nodes = append(c.nodes, listNode{worker: worker})
	return int32(len(c.nodes) - 1)
}

// gridAndBucket returns the grid and the bucket for a worker with the free capacity.
func (dc *dataCentreIndex) gridAndBucket(capacity, free resource.Vector) (*grid, int32) {
	class, acc := 0, 0
	if capacity.Accelerators > 0 {
		class, acc = 1, acceleratorLevel(free.Accelerators)
	}
	g := dc.grids[class][acc]
	if g == nil {
		g = &grid{}
		dc.grids[class][acc] = g
	}
	return g, int32(level(free.MilliCores)*levels + level(free.MemoryMiB))
}

// removeFromBuckets removes the worker from the buckets of one pool.
func (c *Cell) removeFromBuckets(entry *poolEntry) {
	if entry.grid != nil {
		if c.unlinkNode(&entry.grid.heads[entry.bucket], entry.node) {
			row, col := entry.bucket/levels, entry.bucket%levels
			entry.grid.memoryLevels[row] &^= 1 << col
			if entry.grid.memoryLevels[row] == 0 {
				entry.grid.coreLevels &^= 1 << row
			}
		}
		entry.grid = nil
	}
	if entry.slotBucket >= 0 {
		if c.unlinkNode(&entry.dataCentre.slots.heads[entry.slotBucket], entry.slotNode) {
			entry.dataCentre.slots.nonEmpty &^= 1 << entry.slotBucket
		}
		entry.slotBucket = -1
	}
}

// reindex moves the worker to the buckets for its current state.
func (c *Cell) reindex(i int32) {
	w := &c.states[i]
	schedulable, free := w.Schedulable(), w.Free()
	for n := range c.entries[i] {
		entry := &c.entries[i][n]
		if !schedulable {
			c.removeFromBuckets(entry)
			continue
		}
		c.putInBuckets(entry, w.Capacity, free)
	}
}

// putInBuckets moves the entry to the buckets for the free capacity. It does nothing
// if the entry is already there.
func (c *Cell) putInBuckets(entry *poolEntry, capacity, free resource.Vector) {
	g, bucket := entry.dataCentre.gridAndBucket(capacity, free)
	slotBucket := int8(min(max(free.Slots, 0), levels-1))
	if entry.grid == g && entry.bucket == bucket && entry.slotBucket == slotBucket {
		return
	}
	c.removeFromBuckets(entry)
	row, col := bucket/levels, bucket%levels
	c.pushNode(&g.heads[bucket], entry.node)
	g.coreLevels |= 1 << row
	g.memoryLevels[row] |= 1 << col
	entry.grid, entry.bucket = g, bucket
	c.pushNode(&entry.dataCentre.slots.heads[slotBucket], entry.slotNode)
	entry.dataCentre.slots.nonEmpty |= 1 << slotBucket
	entry.slotBucket = slotBucket
}
