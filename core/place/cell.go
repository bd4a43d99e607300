package place

import (
	"slices"

	"briarproxy/core/resource"
	"briarproxy/core/wire"
)

// Cell holds the state of the workers that one scheduler instance is responsible
// for, indexed by free capacity. The position of a worker is the same in states,
// entries, present, serials and rackOfWorker.
type Cell struct {
	states        []WorkerState
	entries       [][]poolEntry
	present       []bool
	serials       []int64 // unique among all workers that the cell ever had
	lastSerial    int64
	rackOfWorker  []int32 // rack number of each worker
	workerByVM    map[string]int32
	unusedWorkers []int32
	nodes         []listNode
	unusedNodes   []int32
	pools         map[string]*poolIndex
	rackIDs       map[rackKey]int32
	workerOfTask  map[string]int32      // by task id
	spreadTasks   map[jobRack]int       // number of placed tasks with SpreadRacks
	failedShapes  map[failedShape]int64 // capacity version of the pool at which the shape fit no worker
	heldWorkers   map[string][]int32    // by owner; may list workers whose hold has ended, WorkerState.Hold is authoritative
	rackUsed      []bool                // scratch: by rack number, whether the gang being planned uses it
	usedRacks     []int32               // scratch: racks set in rackUsed
	candidates    []candidate           // scratch: workers found for the gang being planned
	bookings      []booking             // scratch: capacity booked by the planning run
}

type rackKey struct{ dataCentre, rack string }

type jobRack struct {
	job  string
	rack int32
}

// NewCell returns a cell without workers.
func NewCell() *Cell {
	return &Cell{
		workerByVM:   map[string]int32{},
		nodes:        make([]listNode, 1),
		pools:        map[string]*poolIndex{},
		rackIDs:      map[rackKey]int32{},
		workerOfTask: map[string]int32{},
		spreadTasks:  map[jobRack]int{},
		failedShapes: map[failedShape]int64{},
		heldWorkers:  map[string][]int32{},
	}
}

// Len returns the number of workers.
func (c *Cell) Len() int { return len(c.workerByVM) }

// Worker returns a copy of the state of a worker.
func (c *Cell) Worker(vm string) (WorkerState, bool) {
	i, ok := c.workerByVM[vm]
	if !ok {
		return WorkerState{}, false
	}
	w := c.states[i]
	w.Tasks = slices.Clone(w.Tasks)
	return w, true
}

// FreeCapacity returns the free capacity of a worker, and false if the worker is
// unknown or not schedulable.
func (c *Cell) FreeCapacity(vm string) (free resource.Vector, schedulable bool) {
	i, ok := c.workerByVM[vm]
	if !ok || !c.states[i].Schedulable() {
		return resource.Vector{}, false
	}
	return c.states[i].Free(), true
}

// FittingTasks returns how many more tasks like the request the free capacity of a worker and the
// limit per worker admit. It is 0 if the worker is unknown or not schedulable, or if the request
// rules it out.
func (c *Cell) FittingTasks(vm string, ask *wire.TaskAsk) int64 {
	i, ok := c.workerByVM[vm]
	if !ok || !c.states[i].Schedulable() || excluded(&c.states[i], ask) {
		return 0
	}
	return fittingTasks(&c.states[i], ask)
}

// Workers returns a copy of the state of all workers. The order is unspecified but
// deterministic: the same sequence of operations yields the same order.
func (c *Cell) Workers() []WorkerState {
	all := make([]WorkerState, 0, len(c.workerByVM))
	for i := range c.states {
		if c.present[i] {
			w, _ := c.Worker(c.states[i].VM)
			all = append(all, w)
		}
	}
	return all
}

// UpdateWorker adds a worker or changes its description. A new worker or a new
// incarnation is not schedulable until SetLive is called. A new incarnation has no
// tasks.
func (c *Cell) UpdateWorker(d Worker) {
	i, known := c.workerByVM[d.VM]
	if known && c.states[i].Incarnation != d.Incarnation {
		c.RemoveWorker(d.VM)
		known = false
	}
	if !known {
		c.insert(WorkerState{Worker: d})
		return
	}
	w := c.states[i]
	if sameDescription(&w.Worker, &d) {
		return
	}
	c.removeFromIndex(i)
	c.countSpreadTasks(i, -1)
	w.Worker = d
	c.states[i] = w
	c.addToIndex(i)
	c.countSpreadTasks(i, 1)
}

func sameDescription(a, b *Worker) bool {
	return a.Region == b.Region && a.DataCentre == b.DataCentre && a.Rack == b.Rack &&
		a.Capacity == b.Capacity && slices.Equal(a.Pools, b.Pools) && slices.Equal(a.Labels, b.Labels)
}

func (c *Cell) insert(w WorkerState) {
	var i int32
	if n := len(c.unusedWorkers); n > 0 {
		i = c.unusedWorkers[n-1]
		c.unusedWorkers = c.unusedWorkers[:n-1]
	} else {
		i = int32(len(c.states))
		c.states = append(c.states, WorkerState{})
		c.entries = append(c.entries, nil)
		c.present = append(c.present, false)
		c.serials = append(c.serials, 0)
		c.rackOfWorker = append(c.rackOfWorker, 0)
	}
	c.states[i] = w
	c.present[i] = true
	c.lastSerial++
	c.serials[i] = c.lastSerial
	c.workerByVM[w.VM] = i
	c.addToIndex(i)
}

// RemoveWorker removes a worker and returns the tasks that were on it.
func (c *Cell) RemoveWorker(vm string) []Task {
	i, ok := c.workerByVM[vm]
	if !ok {
		return nil
	}
	c.removeFromIndex(i)
	c.countSpreadTasks(i, -1)
	tasks := c.states[i].Tasks
	for _, t := range tasks {
		delete(c.workerOfTask, t.ID)
	}
	delete(c.workerByVM, vm)
	c.states[i] = WorkerState{}
	c.present[i] = false
	c.unusedWorkers = append(c.unusedWorkers, i)
	return tasks
}

// addToIndex adds the worker to the index of each of its pools.
func (c *Cell) addToIndex(i int32) {
	w := &c.states[i]
	c.rackOfWorker[i] = c.findOrAddRack(w.DataCentre, w.Rack)
	for n, name := range w.Pools {
		if slices.Contains(w.Pools[:n], name) {
			continue
		}
		p := c.findOrAddPool(name)
		p.members++
		p.capacityCounts[w.Capacity]++
		c.entries[i] = append(c.entries[i], poolEntry{
			pool: p, dataCentre: p.findOrAddDataCentre(w.Region, w.DataCentre), slotBucket: -1, preemptiblePos: -1,
			node: c.newNode(i), slotNode: c.newNode(i),
		})
	}
	if w.Schedulable() {
		c.countSchedulable(i, 1)
	}
	c.reindex(i)
	c.updatePreemptible(i)
}

// removeFromIndex removes the worker from the index of each of its pools.
func (c *Cell) removeFromIndex(i int32) {
	w := &c.states[i]
	if w.Schedulable() {
		c.countSchedulable(i, -1)
	}
	for n := range c.entries[i] {
		entry := &c.entries[i][n]
		c.removeFromBuckets(entry)
		c.removePreemptible(entry)
		c.unusedNodes = append(c.unusedNodes, entry.node, entry.slotNode)
		entry.pool.members--
		entry.pool.capacityCounts[w.Capacity]--
		if entry.pool.capacityCounts[w.Capacity] == 0 {
			delete(entry.pool.capacityCounts, w.Capacity)
		}
	}
	c.entries[i] = c.entries[i][:0]
}

// countSchedulable adds a schedulable worker to the totals of its pools if sign is
// 1, and subtracts it if sign is -1.
func (c *Cell) countSchedulable(i int32, sign int64) {
	w := &c.states[i]
	for n := range c.entries[i] {
		p := c.entries[i][n].pool
		p.schedulable += int(sign)
		c.entries[i][n].dataCentre.schedulable += int(sign)
		p.capacity = p.capacity.Add(w.Capacity.Scale(sign))
		p.committed = p.committed.Add(w.Committed.Scale(sign))
		p.capacityVersion++
	}
}

func (c *Cell) findOrAddRack(dataCentre, rack string) int32 {
	key := rackKey{dataCentre, rack}
	id, ok := c.rackIDs[key]
	if !ok {
		id = int32(len(c.rackIDs))
		c.rackIDs[key] = id
		c.rackUsed = append(c.rackUsed, false)
	}
	return id
}

func (c *Cell) findOrAddPool(name string) *poolIndex {
	p, ok := c.pools[name]
	if !ok {
		p = &poolIndex{name: name, capacityCounts: map[resource.Vector]int{}}
		c.pools[name] = p
	}
	return p
}

func (p *poolIndex) findOrAddDataCentre(region, dataCentre string) *dataCentreIndex {
	for _, dc := range p.dataCentres {
		if dc.region == region && dc.dataCentre == dataCentre {
			return dc
		}
	}
	dc := &dataCentreIndex{region: region, dataCentre: dataCentre}
	p.dataCentres = append(p.dataCentres, dc)
	return dc
}

// setFlags changes flags of a worker and updates the index.
func (c *Cell) setFlags(vm string, change func(*WorkerState)) {
	i, ok := c.workerByVM[vm]
	if !ok {
		return
	}
	w := &c.states[i]
	wasSchedulable := w.Schedulable()
	change(w)
	if w.Schedulable() == wasSchedulable {
		return
	}
	if wasSchedulable {
		c.countSchedulable(i, -1)
	} else {
		c.countSchedulable(i, 1)
	}
	c.reindex(i)
	c.updatePreemptible(i)
}

// SetLive records whether the worker is known to be live.
func (c *Cell) SetLive(vm string, live bool) {
	c.setFlags(vm, func(w *WorkerState) { w.Live = live })
}

// SetDraining marks the worker as draining, which lasts until a new incarnation.
func (c *Cell) SetDraining(vm string) {
	c.setFlags(vm, func(w *WorkerState) { w.Draining = true })
}

// SetQuarantined starts or ends the quarantine of the worker.
func (c *Cell) SetQuarantined(vm string, quarantined bool) {
	c.setFlags(vm, func(w *WorkerState) { w.Quarantined = quarantined })
}

// SetSpeedLevel records how fast the worker is, see speed.Estimator.Level.
func (c *Cell) SetSpeedLevel(vm string, level int) {
	if i, ok := c.workerByVM[vm]; ok {
		c.states[i].SpeedLevel = level
	}
}

// adjustCommitted adds delta to the committed capacity of a worker. It raises
// capacityVersion if any resource is freed.
func (c *Cell) adjustCommitted(i int32, delta resource.Vector) {
	w := &c.states[i]
	w.Committed = w.Committed.Add(delta)
	if w.Schedulable() {
		grows := delta.MilliCores < 0 || delta.MemoryMiB < 0 || delta.Accelerators < 0 || delta.Slots < 0
		for n := range c.entries[i] {
			p := c.entries[i][n].pool
			p.committed = p.committed.Add(delta)
			if grows {
				p.capacityVersion++
			}
		}
	}
	c.reindex(i)
}

// countSpreadTasks adds the worker's tasks with SpreadRacks to the counters per
// rack if sign is 1, and subtracts them if sign is -1.
func (c *Cell) countSpreadTasks(i int32, sign int) {
	for n := range c.states[i].Tasks {
		t := &c.states[i].Tasks[n]
		if t.SpreadRacks {
			c.addSpreadCount(t.Job, c.rackOfWorker[i], sign)
		}
	}
}

func (c *Cell) addSpreadCount(job string, rack int32, delta int) {
	key := jobRack{job, rack}
	c.spreadTasks[key] += delta
	if c.spreadTasks[key] == 0 {
		delete(c.spreadTasks, key)
	}
}

// AddTask records a task that the worker's inventory reports as running. The task
// may exceed the worker's capacity. AddTask returns false if the worker is unknown
// or the task is already recorded.
func (c *Cell) AddTask(vm string, t Task) bool {
	i, ok := c.workerByVM[vm]
	if _, placed := c.workerOfTask[t.ID]; !ok || placed {
		return false
	}
	c.addTask(i, t)
	return true
}

func (c *Cell) addTask(i int32, t Task) {
	c.states[i].Tasks = append(c.states[i].Tasks, t)
	c.workerOfTask[t.ID] = i
	if t.SpreadRacks {
		c.addSpreadCount(t.Job, c.rackOfWorker[i], 1)
	}
	c.adjustCommitted(i, t.Resources)
	if t.Preemptible {
		c.states[i].preemptible++
		c.updatePreemptible(i)
	}
}

// TaskWorker returns the VM on which the task is placed.
func (c *Cell) TaskWorker(taskID string) (string, bool) {
	i, ok := c.workerOfTask[taskID]
	if !ok {
		return "", false
	}
	return c.states[i].VM, true
}

// Release frees the capacity of a task attempt and reports whether the attempt was
// placed. Another generation of the task is left as it is.
func (c *Cell) Release(taskID string, generation int64) bool {
	i, n := c.findAttempt(taskID, generation)
	if n < 0 {
		return false
	}
	w := &c.states[i]
	t := w.Tasks[n]
	last := len(w.Tasks) - 1
	w.Tasks[n] = w.Tasks[last]
	w.Tasks[last] = Task{}
	w.Tasks = w.Tasks[:last]
	delete(c.workerOfTask, taskID)
	if t.SpreadRacks {
		c.addSpreadCount(t.Job, c.rackOfWorker[i], -1)
	}
	c.adjustCommitted(i, resource.Vector{}.Sub(t.Resources))
	if t.Preemptible {
		w.preemptible--
		c.updatePreemptible(i)
	}
	return true
}

// Resize changes the committed resources of a task attempt, for instance after
// reports of higher usage.
func (c *Cell) Resize(taskID string, generation int64, size resource.Vector) bool {
	i, n := c.findAttempt(taskID, generation)
	if n < 0 {
		return false
	}
	t := &c.states[i].Tasks[n]
	delta := size.Sub(t.Resources)
	t.Resources = size
	c.adjustCommitted(i, delta)
	return true
}

// Throttle reduces the committed cores of a task attempt to a percentage.
func (c *Cell) Throttle(taskID string, generation int64, percent int) bool {
	i, n := c.findAttempt(taskID, generation)
	if n < 0 {
		return false
	}
	t := &c.states[i].Tasks[n]
	t.Throttled = true
	size := t.Resources
	size.MilliCores = size.MilliCores * int64(percent) / 100
	return c.Resize(taskID, generation, size)
}

// findAttempt returns the worker of a task attempt and the position in its tasks,
// which is -1 if the attempt is not placed.
func (c *Cell) findAttempt(taskID string, generation int64) (int32, int) {
	i, ok := c.workerOfTask[taskID]
	if !ok {
		return 0, -1
	}
	n := slices.IndexFunc(c.states[i].Tasks, func(t Task) bool { return t.ID == taskID })
	if c.states[i].Tasks[n].Generation != generation {
		return i, -1
	}
	return i, n
}
