package place

import (
	"math/bits"

	"briarproxy/core/resource"
)

// The free capacity of a worker is rounded down to a level per kind: level 0 is
// below levelUnit, then four levels per doubling. A larger amount never has a
// lower level, so a bucket below the request's level holds no worker that fits.
const (
	levelUnit       = 64 // millicores or MiB
	levelUnitBits   = 6
	levels          = 64
	acceleratorTop  = 16 // workers with more free accelerators share the top level
	acceleratorSize = acceleratorTop + 1
)

func level(amount int64) int {
	if amount < levelUnit {
		return 0
	}
	exponent := bits.Len64(uint64(amount)) - 1
	quarter := int(amount>>(exponent-2)) & 3
	return min(1+4*(exponent-levelUnitBits)+quarter, levels-1)
}

func acceleratorLevel(amount int64) int {
	return int(min(max(amount, 0), acceleratorTop))
}

// node is an element of the doubly linked list of a bucket. Node 0 means none.
type node struct {
	worker     int32
	next, prev int32
}

// grid holds buckets of workers by levels of free cores and memory.
type grid struct {
	rows  uint64         // core levels with a worker
	cols  [levels]uint64 // memory levels with a worker, per core level
	heads [levels * levels]int32
}

// slotBuckets holds workers by free slots; the last bucket also holds more.
type slotBuckets struct {
	filled uint64
	heads  [levels]int32
}

// zone is the part of a pool in one data centre. Class 0 holds workers without
// accelerators, class 1 those with accelerators, by free accelerators.
type zone struct {
	region     string
	dataCentre string
	open       int // workers that may get new work
	classes    [2][acceleratorSize]*grid
	slots      slotBuckets
}

// pool is the index of one pool.
type pool struct {
	name      string
	zones     []*zone
	members   int
	open      int                     // members that may get new work
	capacity  resource.Vector         // of open members
	committed resource.Vector         // of open members
	growth    int64                   // rises when a request that did not fit may fit now
	shapes    map[resource.Vector]int // members per capacity
	victims   []int32                 // workers with preemptible tasks, open members only
}

// link is a worker's place in the index of one pool.
type link struct {
	pool     *pool
	zone     *zone
	grid     *grid // nil if the worker is not open
	bucket   int32
	slot     int8 // -1 if the worker is not open
	node     int32
	slotNode int32
	victim   int32 // position in pool.victims, -1 if absent
}

func (c *Cell) push(head *int32, n int32) {
	c.nodes[n].next = *head
	c.nodes[n].prev = 0
	if *head != 0 {
		c.nodes[*head].prev = n
	}
	*head = n
}

// drop unlinks n and reports whether the list is empty.
func (c *Cell) drop(head *int32, n int32) bool {
	e := c.nodes[n]
	if e.next != 0 {
		c.nodes[e.next].prev = e.prev
	}
	if e.prev != 0 {
		c.nodes[e.prev].next = e.next
	} else {
		*head = e.next
	}
	return *head == 0
}

func (c *Cell) newNode(worker int32) int32 {
	if n := len(c.freeNodes); n > 0 {
		id := c.freeNodes[n-1]
		c.freeNodes = c.freeNodes[:n-1]
		c.nodes[id] = node{worker: worker}
		return id
	}
	c.nodes = append(c.nodes, node{worker: worker})
	return int32(len(c.nodes) - 1)
}

// target returns the grid and bucket that the free capacity belongs to.
func (z *zone) target(capacity, free resource.Vector) (*grid, int32) {
	class, acc := 0, 0
	if capacity.Accelerators > 0 {
		class, acc = 1, acceleratorLevel(free.Accelerators)
	}
	g := z.classes[class][acc]
	if g == nil {
		g = &grid{}
		z.classes[class][acc] = g
	}
	return g, int32(level(free.MilliCores)*levels + level(free.MemoryMiB))
}

// unlink takes the worker out of the buckets of one pool.
func (c *Cell) unlink(l *link) {
	if l.grid != nil {
		if c.drop(&l.grid.heads[l.bucket], l.node) {
			row, col := l.bucket/levels, l.bucket%levels
			l.grid.cols[row] &^= 1 << col
			if l.grid.cols[row] == 0 {
				l.grid.rows &^= 1 << row
			}
		}
		l.grid = nil
	}
	if l.slot >= 0 {
		if c.drop(&l.zone.slots.heads[l.slot], l.slotNode) {
			l.zone.slots.filled &^= 1 << l.slot
		}
		l.slot = -1
	}
}

// reindex moves the worker to the buckets of its present state.
func (c *Cell) reindex(i int32) {
	w := &c.states[i]
	open, free := w.Open(), w.Free()
	for n := range c.links[i] {
		l := &c.links[i][n]
		if !open {
			c.unlink(l)
			continue
		}
		c.place(l, w.Capacity, free)
	}
}

// place puts the link into its buckets, and does nothing if it is there already.
func (c *Cell) place(l *link, capacity, free resource.Vector) {
	g, bucket := l.zone.target(capacity, free)
	slot := int8(min(max(free.Slots, 0), levels-1))
	if l.grid == g && l.bucket == bucket && l.slot == slot {
		return
	}
	c.unlink(l)
	row, col := bucket/levels, bucket%levels
	c.push(&g.heads[bucket], l.node)
	g.rows |= 1 << row
	g.cols[row] |= 1 << col
	l.grid, l.bucket = g, bucket
	c.push(&l.zone.slots.heads[slot], l.slotNode)
	l.zone.slots.filled |= 1 << slot
	l.slot = slot
}
