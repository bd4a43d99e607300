package place

import (
	"slices"
	"time"

	"briarproxy/core/resource"
)

// Cell is the state of the workers of one owner, with its index.
type Cell struct {
	states     []State
	links      [][]link
	present    []bool
	serials    []int64 // differ between all workers that the cell ever had
	serial     int64
	racks      []int32 // rack number per worker
	byVM       map[string]int32
	freeIDs    []int32
	nodes      []node
	freeNodes  []int32
	pools      map[string]*pool
	rackIDs    map[rackKey]int32
	tasks      map[string]int32 // worker per task id
	spread     map[jobRack]int  // running tasks of spread jobs
	failed     map[failedShape]int64
	holds      map[string][]int32 // workers held per owner; the hold in State decides
	inRack     []bool             // scratch: racks used by the gang being planned
	usedRacks  []int32            // scratch: the racks set in inRack
	candidates []candidate        // scratch: workers for the gang being planned
	booked     []booking          // scratch: room booked by the planning run
}

type rackKey struct{ dataCentre, rack string }

type jobRack struct {
	job  string
	rack int32
}

// NewCell returns a cell without workers.
func NewCell() *Cell {
	return &Cell{
		byVM:    map[string]int32{},
		nodes:   make([]node, 1),
		pools:   map[string]*pool{},
		rackIDs: map[rackKey]int32{},
		tasks:   map[string]int32{},
		spread:  map[jobRack]int{},
		failed:  map[failedShape]int64{},
		holds:   map[string][]int32{},
	}
}

// Len returns the number of workers.
func (c *Cell) Len() int { return len(c.byVM) }

// Worker returns a copy of the state of a worker.
func (c *Cell) Worker(vm string) (State, bool) {
	i, ok := c.byVM[vm]
	if !ok {
		return State{}, false
	}
	w := c.states[i]
	w.Tasks = slices.Clone(w.Tasks)
	return w, true
}

// Room returns the free capacity of a worker that new work may be placed on.
func (c *Cell) Room(vm string) (free resource.Vector, open bool) {
	i, ok := c.byVM[vm]
	if !ok || !c.states[i].Open() {
		return resource.Vector{}, false
	}
	return c.states[i].Free(), true
}

// Workers returns a copy of the state of all workers, in no particular order but
// the same for the same history.
func (c *Cell) Workers() []State {
	all := make([]State, 0, len(c.byVM))
	for i := range c.states {
		if c.present[i] {
			w, _ := c.Worker(c.states[i].VM)
			all = append(all, w)
		}
	}
	return all
}

// UpdateWorker adds a worker or changes its description. A new worker or a new
// incarnation is not usable until SetUsable. A new incarnation has no tasks.
func (c *Cell) UpdateWorker(d Worker) {
	i, known := c.byVM[d.VM]
	if known && c.states[i].Incarnation != d.Incarnation {
		c.RemoveWorker(d.VM)
		known = false
	}
	if !known {
		c.insert(State{Worker: d})
		return
	}
	w := c.states[i]
	if sameDescription(&w.Worker, &d) {
		return
	}
	c.detach(i)
	c.countTasks(i, -1)
	w.Worker = d
	c.states[i] = w
	c.attach(i)
	c.countTasks(i, 1)
}

func sameDescription(a, b *Worker) bool {
	return a.Region == b.Region && a.DataCentre == b.DataCentre && a.Rack == b.Rack &&
		a.Capacity == b.Capacity && slices.Equal(a.Pools, b.Pools) && slices.Equal(a.Labels, b.Labels)
}

func (c *Cell) insert(w State) {
	var i int32
	if n := len(c.freeIDs); n > 0 {
		i = c.freeIDs[n-1]
		c.freeIDs = c.freeIDs[:n-1]
	} else {
		i = int32(len(c.states))
		c.states = append(c.states, State{})
		c.links = append(c.links, nil)
		c.present = append(c.present, false)
		c.serials = append(c.serials, 0)
		c.racks = append(c.racks, 0)
	}
	c.states[i] = w
	c.present[i] = true
	c.serial++
	c.serials[i] = c.serial
	c.byVM[w.VM] = i
	c.attach(i)
}

// RemoveWorker forgets a worker and returns the tasks that were on it.
func (c *Cell) RemoveWorker(vm string) []Task {
	i, ok := c.byVM[vm]
	if !ok {
		return nil
	}
	c.detach(i)
	c.countTasks(i, -1)
	tasks := c.states[i].Tasks
	for _, t := range tasks {
		delete(c.tasks, t.ID)
	}
	delete(c.byVM, vm)
	c.states[i] = State{}
	c.present[i] = false
	c.freeIDs = append(c.freeIDs, i)
	return tasks
}

// attach adds the worker to the index of its pools.
func (c *Cell) attach(i int32) {
	w := &c.states[i]
	c.racks[i] = c.rackID(w.DataCentre, w.Rack)
	for n, name := range w.Pools {
		if slices.Contains(w.Pools[:n], name) {
			continue
		}
		p := c.pool(name)
		p.members++
		p.shapes[w.Capacity]++
		c.links[i] = append(c.links[i], link{
			pool: p, zone: p.zone(w.Region, w.DataCentre), slot: -1, victim: -1,
			node: c.newNode(i), slotNode: c.newNode(i),
		})
	}
	if w.Open() {
		c.count(i, 1)
	}
	c.reindex(i)
	c.updateVictims(i)
}

// detach removes the worker from the index of its pools.
func (c *Cell) detach(i int32) {
	w := &c.states[i]
	if w.Open() {
		c.count(i, -1)
	}
	for n := range c.links[i] {
		l := &c.links[i][n]
		c.unlink(l)
		c.dropVictim(l)
		c.freeNodes = append(c.freeNodes, l.node, l.slotNode)
		l.pool.members--
		l.pool.shapes[w.Capacity]--
		if l.pool.shapes[w.Capacity] == 0 {
			delete(l.pool.shapes, w.Capacity)
		}
	}
	c.links[i] = c.links[i][:0]
}

// count adds an open worker to the totals of its pools, or removes it.
func (c *Cell) count(i int32, sign int64) {
	w := &c.states[i]
	for n := range c.links[i] {
		p := c.links[i][n].pool
		p.open += int(sign)
		c.links[i][n].zone.open += int(sign)
		p.capacity = p.capacity.Add(w.Capacity.Scale(sign))
		p.committed = p.committed.Add(w.Committed.Scale(sign))
		p.growth++
	}
}

func (c *Cell) rackID(dataCentre, rack string) int32 {
	key := rackKey{dataCentre, rack}
	id, ok := c.rackIDs[key]
	if !ok {
		id = int32(len(c.rackIDs))
		c.rackIDs[key] = id
		c.inRack = append(c.inRack, false)
	}
	return id
}

func (c *Cell) pool(name string) *pool {
	p, ok := c.pools[name]
	if !ok {
		p = &pool{name: name, shapes: map[resource.Vector]int{}}
		c.pools[name] = p
	}
	return p
}

func (p *pool) zone(region, dataCentre string) *zone {
	for _, z := range p.zones {
		if z.region == region && z.dataCentre == dataCentre {
			return z
		}
	}
	z := &zone{region: region, dataCentre: dataCentre}
	p.zones = append(p.zones, z)
	return z
}

// setFlags changes flags of a worker and its place in the index.
func (c *Cell) setFlags(vm string, change func(*State)) {
	i, ok := c.byVM[vm]
	if !ok {
		return
	}
	w := &c.states[i]
	before := w.Open()
	change(w)
	if w.Open() == before {
		return
	}
	if before {
		c.count(i, -1)
	} else {
		c.count(i, 1)
	}
	c.reindex(i)
	c.updateVictims(i)
}

// SetUsable says whether the worker is known to be live.
func (c *Cell) SetUsable(vm string, usable bool) {
	c.setFlags(vm, func(w *State) { w.Usable = usable })
}

// SetLeaving marks the worker as leaving. Only a new incarnation ends it.
func (c *Cell) SetLeaving(vm string) {
	c.setFlags(vm, func(w *State) { w.Leaving = true })
}

// SetQuarantined isolates the worker or ends its isolation.
func (c *Cell) SetQuarantined(vm string, quarantined bool) {
	c.setFlags(vm, func(w *State) { w.Quarantined = quarantined })
}

// adjust changes the committed capacity of a worker.
func (c *Cell) adjust(i int32, delta resource.Vector) {
	w := &c.states[i]
	w.Committed = w.Committed.Add(delta)
	if w.Open() {
		grows := delta.MilliCores < 0 || delta.MemoryMiB < 0 || delta.Accelerators < 0 || delta.Slots < 0
		for n := range c.links[i] {
			p := c.links[i][n].pool
			p.committed = p.committed.Add(delta)
			if grows {
				p.growth++
			}
		}
	}
	c.reindex(i)
}

// countTasks adds the worker's spread tasks to the counters per rack.
func (c *Cell) countTasks(i int32, sign int) {
	for n := range c.states[i].Tasks {
		t := &c.states[i].Tasks[n]
		if t.SpreadRacks {
			c.countSpread(t.Job, c.racks[i], sign)
		}
	}
}

func (c *Cell) countSpread(job string, rack int32, delta int) {
	key := jobRack{job, rack}
	c.spread[key] += delta
	if c.spread[key] == 0 {
		delete(c.spread, key)
	}
}

// AddTask records a task that runs on the worker already, as learned from its
// inventory. It may exceed the capacity. It reports whether the worker is known
// and the task was not.
func (c *Cell) AddTask(vm string, t Task) bool {
	i, ok := c.byVM[vm]
	if _, placed := c.tasks[t.ID]; !ok || placed {
		return false
	}
	c.addTask(i, t)
	return true
}

func (c *Cell) addTask(i int32, t Task) {
	c.states[i].Tasks = append(c.states[i].Tasks, t)
	c.tasks[t.ID] = i
	if t.SpreadRacks {
		c.countSpread(t.Job, c.racks[i], 1)
	}
	c.adjust(i, t.Resources)
	if t.Preemptible {
		c.states[i].preemptible++
		c.updateVictims(i)
	}
}

// TaskWorker returns the VM that holds the task.
func (c *Cell) TaskWorker(taskID string) (string, bool) {
	i, ok := c.tasks[taskID]
	if !ok {
		return "", false
	}
	return c.states[i].VM, true
}

// Release frees the room of a task attempt and reports whether it was there. A
// newer generation of the task stays.
func (c *Cell) Release(taskID string, generation int64) bool {
	i, n := c.find(taskID, generation)
	if n < 0 {
		return false
	}
	w := &c.states[i]
	t := w.Tasks[n]
	last := len(w.Tasks) - 1
	w.Tasks[n] = w.Tasks[last]
	w.Tasks[last] = Task{}
	w.Tasks = w.Tasks[:last]
	delete(c.tasks, taskID)
	if t.SpreadRacks {
		c.countSpread(t.Job, c.racks[i], -1)
	}
	c.adjust(i, resource.Vector{}.Sub(t.Resources))
	if t.Preemptible {
		w.preemptible--
		c.updateVictims(i)
	}
	return true
}

// Resize changes the committed size of a task attempt, for instance because
// reports show more use.
func (c *Cell) Resize(taskID string, generation int64, size resource.Vector) bool {
	i, n := c.find(taskID, generation)
	if n < 0 {
		return false
	}
	t := &c.states[i].Tasks[n]
	delta := size.Sub(t.Resources)
	t.Resources = size
	c.adjust(i, delta)
	return true
}

// Throttle records that a task attempt keeps only a percentage of its committed
// cores.
func (c *Cell) Throttle(taskID string, generation int64, percent int) bool {
	i, n := c.find(taskID, generation)
	if n < 0 {
		return false
	}
	t := &c.states[i].Tasks[n]
	t.Throttled = true
	size := t.Resources
	size.MilliCores = size.MilliCores * int64(percent) / 100
	return c.Resize(taskID, generation, size)
}

// SetExpectedEnd changes the instant at which a task attempt is expected to end.
func (c *Cell) SetExpectedEnd(taskID string, generation int64, end time.Duration) bool {
	i, n := c.find(taskID, generation)
	if n < 0 {
		return false
	}
	c.states[i].Tasks[n].ExpectedEnd = end
	return true
}

// find returns the worker and position of a task attempt, position -1 if absent.
func (c *Cell) find(taskID string, generation int64) (int32, int) {
	i, ok := c.tasks[taskID]
	if !ok {
		return 0, -1
	}
	n := slices.IndexFunc(c.states[i].Tasks, func(t Task) bool { return t.ID == taskID })
	if c.states[i].Tasks[n].Generation != generation {
		return i, -1
	}
	return i, n
}
