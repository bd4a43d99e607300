package place

import (
	"cmp"
	"slices"

	"briarproxy/core/resource"
	"briarproxy/core/wire"
)

const (
	// preemptSample is the number of workers compared for the smallest set of
	// victims.
	preemptSample = 64
	// preemptLimit is the number of workers looked at if none of the sample
	// qualifies. The next run begins at another worker.
	preemptLimit = 2048
	// throttleFloor is the percentage of its cores that a throttled task keeps.
	throttleFloor = 25
)

// victimSet is a set of tasks of one worker that makes room for a request.
type victimSet struct {
	worker   int32
	victims  []Victim
	stopped  int // victims that do not go on running
	priority int // sum over the victims
}

// less prefers sets that stop fewer tasks, then smaller sets, then lower
// priorities.
func (a *victimSet) less(b *victimSet) bool {
	return cmp.Or(
		cmp.Compare(a.stopped, b.stopped),
		cmp.Compare(len(a.victims), len(b.victims)),
		cmp.Compare(a.priority, b.priority),
		cmp.Compare(a.worker, b.worker),
	) < 0
}

// preempt plans to make room for the request and reports whether it could.
func (p *planner) preempt(ask *wire.TaskAsk) bool {
	pl := p.cell.pools[ask.Pool]
	if pl == nil || len(pl.victims) == 0 || headroomRefuses(ask.Pool, ask.Priority, pl.capacity, pl.committed, ask.Resources, p.options.Headroom) {
		return false
	}
	n := len(pl.victims)
	start := 0
	if p.rng != nil {
		start = p.rng.IntN(n)
	}
	var best *victimSet
	for k := 0; k < min(n, preemptLimit) && (k < preemptSample || best == nil); k++ {
		set := p.victimsOn(pl.victims[(start+k)%n], ask, best)
		if set != nil && (best == nil || set.less(best)) {
			best = set
		}
	}
	if best == nil {
		return false
	}
	if p.claimed == nil {
		p.claimed = map[int32]bool{}
	}
	p.claimed[best.worker] = true
	p.plan.Preemptions = append(p.plan.Preemptions, Preemption{
		Ask: ask, VM: p.cell.states[best.worker].VM, Victims: best.victims,
	})
	return true
}

// victimsOn returns the smallest set of victims on one worker. It returns nil if
// there is none, or none that could be preferred to best, which may be nil.
func (p *planner) victimsOn(worker int32, ask *wire.TaskAsk, best *victimSet) *victimSet {
	w := &p.cell.states[worker]
	if p.claimed[worker] || distance(w.Region, w.DataCentre, p.options) > maxDistance(p.options.Reach) {
		return nil
	}
	if avoidRefuses(w.VM, ask.AvoidVMs) || heldRefuses(w, ask, p.now) || !ask.Resources.Fits(w.Capacity) {
		return nil
	}
	if p.options.ProtectAccelerators && acceleratorCost(w.Capacity, ask.Resources) > 0 {
		return nil
	}
	lacking := lackingOf(w.Free(), ask.Resources)
	if lacking.IsZero() {
		return nil // another step than fits refuses this worker
	}
	tasks := p.lowerPriority(w, ask.Priority, lacking)
	if tasks == nil {
		return nil
	}
	set := throttleSet(tasks, lacking)
	if set == nil {
		set = stopSet(tasks, lacking, best)
	}
	if set != nil {
		set.worker = worker
	}
	return set
}

// lackingOf returns what must be freed. Kinds that are not asked for do not
// matter, even if they are overcommitted.
func lackingOf(free, ask resource.Vector) resource.Vector {
	lacking := ask.Sub(free).Max(resource.Vector{})
	if ask.MilliCores <= 0 {
		lacking.MilliCores = 0
	}
	if ask.MemoryMiB <= 0 {
		lacking.MemoryMiB = 0
	}
	if ask.Accelerators <= 0 {
		lacking.Accelerators = 0
	}
	if ask.Slots <= 0 {
		lacking.Slots = 0
	}
	return lacking
}

// lowerPriority returns the tasks that may be preempted, in scratch memory, or nil
// if all of them together do not free enough.
func (p *planner) lowerPriority(w *State, priority int, lacking resource.Vector) []*Task {
	p.lower = p.lower[:0]
	sum := resource.Vector{}
	for n := range w.Tasks {
		if t := &w.Tasks[n]; t.Preemptible && t.Priority < priority {
			p.lower = append(p.lower, t)
			sum = sum.Add(t.Resources)
		}
	}
	if !lacking.Fits(sum) {
		return nil
	}
	return p.lower
}

// throttleSet makes room by limiting cores, which keeps the victims running. It
// helps only if nothing but cores is lacking.
func throttleSet(tasks []*Task, lacking resource.Vector) *victimSet {
	cores := lacking.MilliCores
	if cores <= 0 || lacking != (resource.Vector{MilliCores: cores}) {
		return nil
	}
	slices.SortFunc(tasks, func(a, b *Task) int {
		return cmp.Or(cmp.Compare(b.Resources.MilliCores, a.Resources.MilliCores), cmp.Compare(a.ID, b.ID))
	})
	set := &victimSet{}
	for _, t := range tasks {
		gain := min(t.Resources.MilliCores*(100-throttleFloor)/100, cores)
		if t.Throttled || gain <= 0 {
			continue
		}
		// Rounding down leaves the victim less, never the urgent task.
		percent := int((t.Resources.MilliCores - gain) * 100 / t.Resources.MilliCores)
		set.victims = append(set.victims, Victim{t.ID, t.Generation, ActionThrottle, percent})
		set.priority += t.Priority
		cores -= gain
		if cores == 0 {
			return set
		}
	}
	return nil
}

// stopSet makes room by stopping tasks. A single victim is found if one suffices,
// then a pair; larger sets are built greedily and then reduced, so that no victim
// of the set can be left out.
func stopSet(tasks []*Task, lacking resource.Vector, best *victimSet) *victimSet {
	limit := len(tasks)
	if best != nil {
		limit = min(limit, best.stopped)
	}
	slices.SortFunc(tasks, func(a, b *Task) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Resources.MilliCores, b.Resources.MilliCores), cmp.Compare(a.ID, b.ID))
	})
	chosen := smallest(tasks, lacking, limit)
	if chosen == nil {
		return nil
	}
	set := &victimSet{stopped: len(chosen)}
	for _, t := range chosen {
		action := ActionStop
		if t.Checkpoint {
			action = ActionCheckpoint
		}
		set.victims = append(set.victims, Victim{TaskID: t.ID, Generation: t.Generation, Action: action})
		set.priority += t.Priority
	}
	return set
}

// smallest returns at most limit tasks that free enough, or nil.
func smallest(tasks []*Task, lacking resource.Vector, limit int) []*Task {
	if limit < 1 {
		return nil
	}
	for i, t := range tasks {
		if lacking.Fits(t.Resources) {
			return tasks[i : i+1]
		}
	}
	if limit < 2 {
		return nil
	}
	for i, t := range tasks {
		for _, u := range tasks[i+1:] {
			if lacking.Fits(t.Resources.Add(u.Resources)) {
				return []*Task{t, u}
			}
		}
	}
	if limit < 3 {
		return nil
	}
	chosen := reduce(greedy(tasks, lacking), lacking)
	if len(chosen) > limit {
		return nil
	}
	return chosen
}

// greedy moves the task that covers the most of what is still lacking to the
// front, until nothing is, and returns the tasks moved. All tasks together must
// free enough.
func greedy(tasks []*Task, lacking resource.Vector) []*Task {
	n := 0
	for ; !lacking.IsZero(); n++ {
		best, bestCover := n, -1.0
		for i := n; i < len(tasks); i++ {
			if c := cover(tasks[i].Resources, lacking); c > bestCover {
				best, bestCover = i, c
			}
		}
		tasks[n], tasks[best] = tasks[best], tasks[n]
		lacking = lacking.Sub(tasks[n].Resources).Max(resource.Vector{})
	}
	return tasks[:n]
}

// cover is the sum over the kinds of the covered share of what is lacking.
func cover(size, lacking resource.Vector) float64 {
	return coverShare(size.MilliCores, lacking.MilliCores) +
		coverShare(size.MemoryMiB, lacking.MemoryMiB) +
		coverShare(size.Accelerators, lacking.Accelerators) +
		coverShare(size.Slots, lacking.Slots)
}

func coverShare(size, lacking int64) float64 {
	if lacking <= 0 {
		return 0
	}
	return min(1, float64(size)/float64(lacking))
}

// reduce leaves out every victim that the others make unnecessary.
func reduce(chosen []*Task, lacking resource.Vector) []*Task {
	for i := 0; i < len(chosen); {
		sum := resource.Vector{}
		for k := range chosen {
			if k != i {
				sum = sum.Add(chosen[k].Resources)
			}
		}
		if lacking.Fits(sum) {
			chosen = slices.Delete(chosen, i, i+1)
			continue
		}
		i++
	}
	return chosen
}

// updateVictims keeps the lists of workers with preemptible tasks.
func (c *Cell) updateVictims(i int32) {
	w := &c.states[i]
	wanted := w.Open() && w.preemptible > 0
	for n := range c.links[i] {
		l := &c.links[i][n]
		if !wanted {
			c.dropVictim(l)
		} else if l.victim < 0 {
			l.victim = int32(len(l.pool.victims))
			l.pool.victims = append(l.pool.victims, i)
		}
	}
}

// dropVictim removes the worker from the pool's list and moves the last one to
// its place.
func (c *Cell) dropVictim(l *link) {
	if l.victim < 0 {
		return
	}
	list := l.pool.victims
	last := len(list) - 1
	moved := list[last]
	list[l.victim] = moved
	l.pool.victims = list[:last]
	for n := range c.links[moved] {
		if m := &c.links[moved][n]; m.pool == l.pool {
			m.victim = l.victim
		}
	}
	l.victim = -1
}
