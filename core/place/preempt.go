package place

import (
	"cmp"
	"slices"

	"briarproxy/core/resource"
	"briarproxy/core/wire"
)

const (
	// preemptSampleWorkers is the number of workers that are compared for the
	// smallest victim set.
	preemptSampleWorkers = 64
	// preemptMaxWorkers is the number of workers examined if the sample yields no
	// victim set. The next run begins at another random worker.
	preemptMaxWorkers = 2048
	// throttledCoresPercent is the least percentage of its cores that a throttled
	// task keeps.
	throttledCoresPercent = 25
)

// victimSet is a set of tasks on one worker whose preemption frees enough capacity
// for a request.
type victimSet struct {
	worker   int32
	victims  []Victim
	stopped  int // number of victims that are stopped instead of throttled
	priority int // sum of the victims' priorities
}

// less orders sets by the number of stopped tasks, then by size, then by the sum of
// priorities. The worker breaks ties.
func (a *victimSet) less(b *victimSet) bool {
	return cmp.Or(
		cmp.Compare(a.stopped, b.stopped),
		cmp.Compare(len(a.victims), len(b.victims)),
		cmp.Compare(a.priority, b.priority),
		cmp.Compare(a.worker, b.worker),
	) < 0
}

// preempt plans a preemption for the request and reports whether it found one.
func (p *planner) preempt(ask *wire.TaskAsk) bool {
	pool := p.cell.pools[ask.Pool]
	if pool == nil || len(pool.preemptible) == 0 || exceedsHeadroom(ask.Pool, ask.Priority, pool.capacity, pool.committed, ask.Resources, p.options.Headroom) {
		return false
	}
	n := len(pool.preemptible)
	start := 0
	if p.rng != nil {
		start = p.rng.IntN(n)
	}
	var best *victimSet
	for k := 0; k < min(n, preemptMaxWorkers) && (k < preemptSampleWorkers || best == nil); k++ {
		set := p.victimSetOn(pool.preemptible[(start+k)%n], ask, best)
		if set != nil && (best == nil || set.less(best)) {
			best = set
		}
	}
	if best == nil {
		return false
	}
	if p.preemptionWorkers == nil {
		p.preemptionWorkers = map[int32]bool{}
	}
	p.preemptionWorkers[best.worker] = true
	p.plan.Preemptions = append(p.plan.Preemptions, Preemption{
		Ask: ask, VM: p.cell.states[best.worker].VM, Victims: best.victims,
	})
	return true
}

// victimSetOn returns the smallest victim set on one worker. It returns nil if there
// is none, or none that could precede best. best may be nil.
func (p *planner) victimSetOn(worker int32, ask *wire.TaskAsk, best *victimSet) *victimSet {
	w := &p.cell.states[worker]
	if p.preemptionWorkers[worker] || distance(w.Region, w.DataCentre, p.options) > maxDistance(p.options.Scope) {
		return nil
	}
	if excluded(w, ask) || heldForOther(w, ask, p.now) || !ask.Resources.Fits(w.Capacity) {
		return nil
	}
	booked := p.booked.of(ask.Job, worker)
	if tasksUnderPerVMLimit(w, ask, booked) == 0 || tasksUnderRunLimit(w.VM, booked, p.options) == 0 {
		return nil
	}
	if p.options.ProtectAccelerators && acceleratorCost(w.Capacity, ask.Resources) > 0 {
		return nil
	}
	shortfall := shortfallOf(w.Free(), ask.Resources)
	if shortfall.IsZero() {
		return nil // the worker is refused for a reason other than capacity
	}
	tasks := p.preemptibleBelow(w, ask.Priority, shortfall)
	if tasks == nil {
		return nil
	}
	set := throttleSet(tasks, shortfall)
	if set == nil {
		set = stopSet(tasks, shortfall, best)
	}
	if set != nil {
		set.worker = worker
	}
	return set
}

// shortfallOf returns the resources that must be freed. Resources that are not asked
// for are ignored, even if they are overcommitted.
func shortfallOf(free, ask resource.Vector) resource.Vector {
	shortfall := ask.Sub(free).Max(resource.Vector{})
	if ask.MilliCores <= 0 {
		shortfall.MilliCores = 0
	}
	if ask.MemoryMiB <= 0 {
		shortfall.MemoryMiB = 0
	}
	if ask.Accelerators <= 0 {
		shortfall.Accelerators = 0
	}
	if ask.Slots <= 0 {
		shortfall.Slots = 0
	}
	return shortfall
}

// preemptibleBelow returns the preemptible tasks of a lower priority, or nil if all
// of them together do not free enough. The next call overwrites the result.
func (p *planner) preemptibleBelow(w *WorkerState, priority int, shortfall resource.Vector) []*Task {
	p.lowerPriorityTasks = p.lowerPriorityTasks[:0]
	sum := resource.Vector{}
	for n := range w.Tasks {
		if t := &w.Tasks[n]; t.Preemptible && t.Priority < priority {
			p.lowerPriorityTasks = append(p.lowerPriorityTasks, t)
			sum = sum.Add(t.Resources)
		}
	}
	if !shortfall.Fits(sum) {
		return nil
	}
	return p.lowerPriorityTasks
}

// throttleSet returns a set that frees capacity by limiting cores, so that the
// victims keep running. It returns nil if anything but cores is lacking.
func throttleSet(tasks []*Task, shortfall resource.Vector) *victimSet {
	cores := shortfall.MilliCores
	if cores <= 0 || shortfall != (resource.Vector{MilliCores: cores}) {
		return nil
	}
	slices.SortFunc(tasks, func(a, b *Task) int {
		return cmp.Or(cmp.Compare(b.Resources.MilliCores, a.Resources.MilliCores), cmp.Compare(a.ID, b.ID))
	})
	set := &victimSet{}
	for _, t := range tasks {
		freedCores := min(t.Resources.MilliCores*(100-throttledCoresPercent)/100, cores)
		if t.Throttled || freedCores <= 0 {
			continue
		}
		// Rounding down takes from the victim, never from the preempting task.
		percent := int((t.Resources.MilliCores - freedCores) * 100 / t.Resources.MilliCores)
		set.victims = append(set.victims, Victim{t.ID, t.Generation, ActionThrottle, percent})
		set.priority += t.Priority
		cores -= freedCores
		if cores == 0 {
			return set
		}
	}
	return nil
}

// stopSet returns a set that frees capacity by stopping tasks. It tries single
// victims, then pairs; larger sets are built greedily and then reduced to victims
// that are all necessary.
func stopSet(tasks []*Task, shortfall resource.Vector, best *victimSet) *victimSet {
	limit := len(tasks)
	if best != nil {
		limit = min(limit, best.stopped)
	}
	slices.SortFunc(tasks, func(a, b *Task) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Resources.MilliCores, b.Resources.MilliCores), cmp.Compare(a.ID, b.ID))
	})
	chosen := smallestSet(tasks, shortfall, limit)
	if chosen == nil {
		return nil
	}
	set := &victimSet{stopped: len(chosen)}
	for _, t := range chosen {
		action := ActionStop
		if t.Checkpointable {
			action = ActionCheckpoint
		}
		set.victims = append(set.victims, Victim{TaskID: t.ID, Generation: t.Generation, Action: action})
		set.priority += t.Priority
	}
	return set
}

// smallestSet returns at most limit tasks that free enough, or nil.
func smallestSet(tasks []*Task, shortfall resource.Vector, limit int) []*Task {
	if limit < 1 {
		return nil
	}
	for i, t := range tasks {
		if shortfall.Fits(t.Resources) {
			return tasks[i : i+1]
		}
	}
	if limit < 2 {
		return nil
	}
	for i, t := range tasks {
		for _, u := range tasks[i+1:] {
			if shortfall.Fits(t.Resources.Add(u.Resources)) {
				return []*Task{t, u}
			}
		}
	}
	if limit < 3 {
		return nil
	}
	chosen := dropUnneeded(greedySet(tasks, shortfall), shortfall)
	if len(chosen) > limit {
		return nil
	}
	return chosen
}

// greedySet repeatedly moves the task that covers the most of the remaining
// shortfall to the front, until nothing is lacking, and returns the moved tasks.
// All tasks together must free enough.
func greedySet(tasks []*Task, shortfall resource.Vector) []*Task {
	n := 0
	for ; !shortfall.IsZero(); n++ {
		best, bestCoverage := n, -1.0
		for i := n; i < len(tasks); i++ {
			if c := coverage(tasks[i].Resources, shortfall); c > bestCoverage {
				best, bestCoverage = i, c
			}
		}
		tasks[n], tasks[best] = tasks[best], tasks[n]
		shortfall = shortfall.Sub(tasks[n].Resources).Max(resource.Vector{})
	}
	return tasks[:n]
}

// coverage returns the sum over all resources of the fraction of the shortfall that
// size covers.
func coverage(size, shortfall resource.Vector) float64 {
	return coveredShare(size.MilliCores, shortfall.MilliCores) +
		coveredShare(size.MemoryMiB, shortfall.MemoryMiB) +
		coveredShare(size.Accelerators, shortfall.Accelerators) +
		coveredShare(size.Slots, shortfall.Slots)
}

func coveredShare(size, shortfall int64) float64 {
	if shortfall <= 0 {
		return 0
	}
	return min(1, float64(size)/float64(shortfall))
}

// dropUnneeded removes each victim without which the others still free enough.
func dropUnneeded(chosen []*Task, shortfall resource.Vector) []*Task {
	for i := 0; i < len(chosen); {
		sum := resource.Vector{}
		for k := range chosen {
			if k != i {
				sum = sum.Add(chosen[k].Resources)
			}
		}
		if shortfall.Fits(sum) {
			chosen = slices.Delete(chosen, i, i+1)
			continue
		}
		i++
	}
	return chosen
}

// updatePreemptible adds the worker to its pools' lists of workers with preemptible
// tasks, or removes it, according to its state.
func (c *Cell) updatePreemptible(i int32) {
	w := &c.states[i]
	wanted := w.Schedulable() && w.preemptible > 0
	for n := range c.entries[i] {
		entry := &c.entries[i][n]
		if !wanted {
			c.removePreemptible(entry)
		} else if entry.preemptiblePos < 0 {
			entry.preemptiblePos = int32(len(entry.pool.preemptible))
			entry.pool.preemptible = append(entry.pool.preemptible, i)
		}
	}
}

// removePreemptible removes the worker from the pool's list of workers with
// preemptible tasks and moves the last element to its position.
func (c *Cell) removePreemptible(entry *poolEntry) {
	if entry.preemptiblePos < 0 {
		return
	}
	list := entry.pool.preemptible
	last := len(list) - 1
	moved := list[last]
	list[entry.preemptiblePos] = moved
	entry.pool.preemptible = list[:last]
	for n := range c.entries[moved] {
		if movedEntry := &c.entries[moved][n]; movedEntry.pool == entry.pool {
			movedEntry.preemptiblePos = entry.preemptiblePos
		}
	}
	entry.preemptiblePos = -1
}
