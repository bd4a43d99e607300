package placer

import (
	"cmp"
	"slices"
	"time"

	"briarproxy/core/cluster"
	"briarproxy/core/place"
	"briarproxy/core/resource"
	"briarproxy/core/wire"
)

const (
	planGap = 15 * time.Millisecond // gathers events into one planning pass
	// A pass takes longer the more steps wait and the more of them it tries to place; the
	// gap after it bounds its share of the processor.
	planGapPerStep = 4 * time.Microsecond
	planGapPerTry  = 150 * time.Microsecond
	minUnsent      = 48 // planned runs that wait for the next append: while the log is away more would only outlive their tickets, and start all at once when it is back
	// A worker starts at most this many tasks a second, for as long as an append may count: one
	// that takes longer outlives most tickets.
	startsPerVM   = 8.0
	appendCounted = time.Second
	holdShare     = 0.5 // of a pool that may be held for one gang
	holdValidity  = time.Second
	sameRackWait  = 2 * time.Second // a step waits this long for room in one rack
)

// plan places the waiting steps in the order of what their callers lose.
func (p *Placer) plan(commands []Command, now time.Duration, wallMS int64) []Command {
	if len(p.steps) == 0 {
		return commands
	}
	p.tries = 0
	p.yields.clear()
	p.Members(now)
	p.measureRoom()
	order := make([]*stepWork, 0, len(p.steps))
	for _, w := range p.steps {
		w.rank(p.queues[w.job.Queue])
		if w.job.Config <= p.config.Version {
			order = append(order, w)
		}
	}
	p.sortSteps(order, wallMS)
	holding := false
	var waiting []int
	room := p.window.room(p.opening)
	for _, w := range order {
		if len(p.outRuns) >= p.maxUnsent() {
			p.dirty = true
			break
		}
		if room <= 0 {
			p.window.full = true // an answer starts the next pass
			break
		}
		waiting = p.waiting(w, waiting[:0])
		if len(waiting) == 0 || w.def.Gang && (w.active > 0 || len(waiting) < w.def.Count) {
			continue
		}
		if !w.def.Gang && len(waiting) > room {
			waiting = waiting[:room]
		}
		active, asking := w.active, w.asking
		placed := p.placeStep(w, waiting, now, wallMS)
		if !placed && w.def.Gang && w.ranked.chance == onTime && !p.options.Without.Yields {
			p.yields.to(w)
		}
		commands = p.askAdvice(commands, w, placed, now)
		room -= w.active - active
		if w.asking && !asking {
			waiting = p.waiting(w, waiting[:0])
			room -= len(waiting)
		}
		if !placed && w.def.Gang && !holding && !p.options.Without.Holds {
			holding = p.holdFor(w, waiting, now)
		}
	}
	return commands
}

// maxUnsent is the number of planned runs that may wait for the next append: a large cell
// starts as many between two appends as it has workers, and more while each append takes long.
func (p *Placer) maxUnsent() int {
	if p.options.Without.LongAppends {
		return max(minUnsent, len(p.vms))
	}
	duringAppend := startsPerVM * float64(len(p.vms)) * min(p.appendTook, appendCounted).Seconds()
	return max(minUnsent, len(p.vms), int(duringAppend))
}

// passGap is the time from the last pass to the next one.
func (p *Placer) passGap() time.Duration {
	return planGap + planGapPerStep*time.Duration(len(p.steps)) + planGapPerTry*time.Duration(p.tries)
}

// roomFor reports whether the workers (nil: the pool's) may have room for at least one
// task of the step, or for all of them. It is far cheaper than a plan, and in a full
// cell it spares the plan.
func (p *Placer) roomFor(w *stepWork, among []string, tasks int) bool {
	if !size(w.def).Fits(p.largest) {
		return false
	}
	if among == nil {
		return true
	}
	left := 1
	if w.def.Gang {
		left = tasks
	}
	for _, id := range among {
		free, open := p.cell.Room(id)
		for open && left > 0 && size(w.def).Fits(free) {
			free = free.Sub(size(w.def))
			left--
		}
		if left == 0 {
			return true
		}
	}
	return false
}

// measureRoom notes the largest free amounts of any worker.
func (p *Placer) measureRoom() {
	p.largest = resource.Vector{}
	for id := range p.vms {
		if free, open := p.cell.Room(id); open {
			p.largest = p.largest.Max(free)
		}
	}
}

// Members takes the daemons of the cell as those that advice is asked through.
func (p *Placer) Members(now time.Duration) { p.advise.members(p.memberNames(now), now) }

func (p *Placer) memberNames(now time.Duration) []string {
	names := make([]string, 0, len(p.state.Members))
	for name, m := range p.state.Members {
		if now-m.Seen < memberSilence {
			names = append(names, name)
		}
	}
	return names
}

// placeStep places tasks of a step, on workers with a valid ticket first. It reports
// whether all of them were placed.
func (p *Placer) placeStep(w *stepWork, tasks []int, now time.Duration, wallMS int64) bool {
	if w.queue == nil || w.queue.Advice == nil {
		return len(p.placeAmong(w, tasks, nil, now)) == 0
	}
	if !size(w.def).Fits(p.largest) {
		return false
	}
	valid, all := w.granted(now)
	if p.yields.mayWait(w, wallMS) {
		valid, all = p.yields.others(w, valid), p.yields.others(w, all)
	}
	if len(valid) > 0 {
		tasks = p.placeAmong(w, tasks, valid, now)
	}
	if len(tasks) > 0 && !w.asking && len(all) > len(valid) {
		tasks = p.placeAmong(w, tasks, all, now)
	}
	return len(tasks) == 0
}

// granted returns the workers with a ticket that is still valid when a plan made now is
// sent, and all workers that were ever granted.
func (w *stepWork) granted(now time.Duration) (valid, all []string) {
	for worker, t := range w.grants {
		all = append(all, worker)
		if t.until > now+ticketPlan {
			valid = append(valid, worker)
		}
	}
	return valid, all
}

// placeAmong places tasks on the given workers (nil: any) and returns those that found
// no room.
func (p *Placer) placeAmong(w *stepWork, tasks []int, among []string, now time.Duration) []int {
	switch {
	case w.def.Fills:
		among = p.apart(w, among)
	case w.def.TargetMS > 0:
		among = p.quiet(among)
	}
	if !p.roomFor(w, among, len(tasks)) {
		return tasks
	}
	if w.def.SameRack && len(tasks) > 1 {
		for _, rack := range p.racks(among) {
			if rest := p.placeOn(w, tasks, rack, now, true); len(rest) == 0 {
				return nil
			}
		}
		if now-w.since < sameRackWait {
			return tasks
		}
	}
	return p.placeOn(w, tasks, among, now, w.def.Gang)
}

// racks groups workers by rack.
func (p *Placer) racks(among []string) [][]string {
	groups := map[string][]string{}
	if among == nil {
		for id := range p.vms {
			among = append(among, id)
		}
	}
	for _, id := range among {
		if v := p.vms[id]; v != nil {
			groups[v.Rack] = append(groups[v.Rack], id)
		}
	}
	racks := make([][]string, 0, len(groups))
	for _, g := range groups {
		racks = append(racks, g)
	}
	slices.SortFunc(racks, func(a, b []string) int { return cmp.Compare(len(b), len(a)) })
	return racks
}

// placeOn plans and commits; with whole set, all tasks are placed or none.
func (p *Placer) placeOn(w *stepWork, tasks []int, among []string, now time.Duration, whole bool) []int {
	asks := p.asks(w, tasks, among, whole)
	if w.def.PerWorker > 0 && !whole {
		var rest []int
		for i := range asks {
			if len(p.commit(w, tasks[i:i+1], asks[i:i+1], now)) > 0 {
				rest = append(rest, tasks[i])
			}
		}
		return rest
	}
	return p.commit(w, tasks, asks, now)
}

func (p *Placer) asks(w *stepWork, tasks []int, among []string, whole bool) []wire.TaskAsk {
	candidates := len(among)
	if among == nil {
		candidates = len(p.vms)
	}
	avoid := w.avoid
	if len(avoid) > 1 && candidates < 2*len(avoid) {
		avoid = avoid[len(avoid)-1:] // a small pool is not shut out by a task that fails everywhere
	}
	if candidates < 2 {
		avoid = nil
	}
	asks := make([]wire.TaskAsk, len(tasks))
	for i, index := range tasks {
		asks[i] = wire.TaskAsk{
			TaskID: cellID(w.task(index)), Job: cellJob(w.id), Generation: int64(w.nextRun(index)), Pool: w.job.Pool,
			Resources: size(w.def), RunMS: w.def.EstimateMS, AvoidVMs: avoid, Among: among,
			Label: w.def.Label, NearRack: w.def.NearRack, PerVM: w.def.PerWorker,
		}
		if whole {
			asks[i].Gang = cellJob(w.id)
		}
	}
	return asks
}

// nextRun is the number of the task's next run. The members of a gang share it.
func (w *stepWork) nextRun(index int) int {
	state := w.job.Step(w.id.Occurrence, w.id.Step)
	switch {
	case state == nil:
		return 1
	case w.def.Gang:
		return state.Run + 1
	default:
		return state.Tasks[index].Run + 1
	}
}

// commit plans the requests, commits what was placed and makes its runs. It returns the
// tasks that found no room.
func (p *Placer) commit(w *stepWork, tasks []int, asks []wire.TaskAsk, now time.Duration) []int {
	p.tries++
	options := place.Options{NoPreemption: true}
	plan := p.cell.Plan(asks, options, now, nil)
	done, _ := p.cell.Commit(plan, options, now)
	if len(done) == 0 {
		return tasks
	}
	placed := make(map[string]string, len(done))
	for i := range done {
		placed[done[i].Ask.TaskID] = done[i].VM
	}
	// A gang begins when all its tickets are there: members that begin earlier wait for
	// the others on their workers, and only for so long.
	gather := w.def.Gang && !w.holdTickets(done, now)
	var rest []int
	for i, index := range tasks {
		if worker, ok := placed[asks[i].TaskID]; ok {
			p.newRun(w, index, p.vms[worker], gather, now)
		} else {
			rest = append(rest, index)
		}
	}
	return rest
}

// holdTickets reports whether the step has a ticket for every worker that was chosen.
func (w *stepWork) holdTickets(chosen []place.Assignment, now time.Duration) bool {
	if w.queue == nil || w.queue.Advice == nil {
		return true
	}
	for i := range chosen {
		if w.grants[chosen[i].VM].until <= now+ticketPlan {
			return false
		}
	}
	return true
}

// newRun makes the run of a task whose room is committed. With gather set it waits until
// all tickets of its gang have come.
func (p *Placer) newRun(w *stepWork, index int, v *vm, gather bool, now time.Duration) {
	id := w.task(index)
	r := &run{
		RunID: cluster.RunID{TaskID: id, Run: w.nextRun(index)}, state: ticketing, vm: v, size: size(w.def),
		spec: w.job.Spec, checkpoint: w.checkpoint(index), wanted: true, plannedAt: now, paced: 100, paceKnown: true,
	}
	p.runs[id] = r
	v.runs[id] = r
	w.active++
	if w.queue != nil && w.queue.Advice != nil {
		if t := w.grants[v.Life.Worker]; t.until > now+ticketPlan && !gather {
			r.ticket = t
		} else {
			w.renew = append(w.renew, v.Life.Worker)
			return
		}
	}
	r.step(ticketGranted)
	p.begin(r)
}

// checkpoint returns the checkpoint from which the task's next run resumes. Any
// member's is valid for the whole gang, and all members start from the same.
func (w *stepWork) checkpoint(index int) string {
	state := w.job.Step(w.id.Occurrence, w.id.Step)
	if state == nil {
		return ""
	}
	if w.def.Gang {
		index = 0
	}
	return state.Tasks[index].Checkpoint
}

// holdFor keeps workers free for a gang that found no room.
func (p *Placer) holdFor(w *stepWork, tasks []int, now time.Duration) bool {
	_, among := w.granted(now)
	if w.queue == nil || w.queue.Advice == nil {
		among = nil
	} else if len(among) == 0 {
		return false
	}
	plan, ok := p.cell.PlanHold(p.asks(w, tasks, among, true), place.Options{}, holdShare, now, holdValidity)
	if ok {
		p.cell.ApplyHold(plan, now)
	}
	return true
}
