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
	planInterval = 15 * time.Millisecond // gathers events into one planning pass
	// A pass takes longer the more steps wait and the more of them it tries to place; the
	// gap after it bounds its share of the processor.
	planIntervalPerStep    = 4 * time.Microsecond
	planIntervalPerAttempt = 150 * time.Microsecond
	minPendingRuns         = 48 // planned runs that wait for the next append: while the log is away more would only outlive their tickets, and start all at once when it is back
	// A worker starts at most this many tasks a second, for as long as an append may count: one
	// that takes longer outlives most tickets.
	startsPerVMPerSecond = 8.0
	maxCountedAppend     = time.Second
	maxHoldShare         = 0.5 // of a pool that may be held for one gang
	holdValidity         = time.Second
	maxSameRackWait      = 2 * time.Second // a step waits this long for room in one rack
)

// plan places the waiting steps in the order of what their callers lose.
func (p *Placer) plan(commands []Command, now time.Duration, wallMS int64) []Command {
	if len(p.steps) == 0 {
		return commands
	}
	p.planAttempts = 0
	p.yields.reset()
	p.UpdateMembers(now)
	p.updateMaxFree()
	order := make([]*pendingStep, 0, len(p.steps))
	for _, w := range p.steps {
		w.setQueue(p.queues[w.job.Queue])
		if w.job.Config <= p.config.Version {
			order = append(order, w)
		}
	}
	p.sortSteps(order, wallMS)
	holding := false
	var waiting []int
	room := p.startWindow.available(p.startsInProgress)
	for _, w := range order {
		if len(p.pendingRuns) >= p.maxPendingRuns() {
			p.dirty = true
			break
		}
		if room <= 0 {
			p.startWindow.limiting = true // an answer starts the next pass
			break
		}
		waiting = p.waitingTasks(w, waiting[:0])
		if len(waiting) == 0 || w.def.Gang && (w.activeRuns > 0 || len(waiting) < w.def.Count) {
			continue
		}
		if !w.def.Gang && len(waiting) > room {
			waiting = waiting[:room]
		}
		active, asking := w.activeRuns, w.adviceInFlight
		placed := p.placeStep(w, waiting, now, wallMS)
		if !placed && w.def.Gang && w.stepRank.timeliness == onTime && !p.options.Disabled.Yields {
			p.yields.addGang(w)
		}
		commands = p.requestAdvice(commands, w, placed, now)
		room -= w.activeRuns - active
		if w.adviceInFlight && !asking {
			waiting = p.waitingTasks(w, waiting[:0])
			room -= len(waiting)
		}
		if !placed && w.def.Gang && !holding && !p.options.Disabled.Holds {
			holding = p.holdWorkers(w, waiting, now)
		}
	}
	return commands
}

// maxPendingRuns is the number of planned runs that may wait for the next append: a large cell
// starts as many between two appends as it has workers, and more while each append takes long.
func (p *Placer) maxPendingRuns() int {
	if p.options.Disabled.MorePendingRuns {
		return max(minPendingRuns, len(p.vms))
	}
	duringAppend := startsPerVMPerSecond * float64(len(p.vms)) * min(p.lastAppendTime, maxCountedAppend).Seconds()
	return max(minPendingRuns, len(p.vms), int(duringAppend))
}

// nextPlanDelay is the time from the last pass to the next one.
func (p *Placer) nextPlanDelay() time.Duration {
	return planInterval + planIntervalPerStep*time.Duration(len(p.steps)) + planIntervalPerAttempt*time.Duration(p.planAttempts)
}

// mayHaveRoom reports whether the workers (nil: the pool's) may have room for at least one
// task of the step, or for all of them. It is far cheaper than a plan, and in a full
// cell it spares the plan.
func (p *Placer) mayHaveRoom(w *pendingStep, among []string, tasks int) bool {
	if !occupiedRoom(w.def).Fits(p.maxFree) {
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
		free, open := p.cell.FreeCapacity(id)
		for open && left > 0 && occupiedRoom(w.def).Fits(free) {
			free = free.Sub(occupiedRoom(w.def))
			left--
		}
		if left == 0 {
			return true
		}
	}
	return false
}

// updateMaxFree notes the largest free amounts of any worker.
func (p *Placer) updateMaxFree() {
	p.maxFree = resource.Vector{}
	for id := range p.vms {
		if free, open := p.cell.FreeCapacity(id); open {
			p.maxFree = p.maxFree.Max(free)
		}
	}
}

// UpdateMembers takes the daemons of the cell as those that advice is asked through.
func (p *Placer) UpdateMembers(now time.Duration) { p.advisers.setMembers(p.adviserNames(now), now) }

func (p *Placer) adviserNames(now time.Duration) []string {
	names := make([]string, 0, len(p.state.Members))
	for name, m := range p.state.Members {
		if now-m.LastSeen < adviserHelloTimeout {
			names = append(names, name)
		}
	}
	return names
}

// placeStep places tasks of a step, on workers with a valid ticket first. It reports
// whether all of them were placed.
func (p *Placer) placeStep(w *pendingStep, tasks []int, now time.Duration, wallMS int64) bool {
	if w.queue == nil || w.queue.Advice == nil {
		return len(p.placeAmong(w, tasks, nil, now)) == 0
	}
	if !occupiedRoom(w.def).Fits(p.maxFree) {
		return false
	}
	valid, all := w.grantedWorkers(now)
	if p.yields.canYield(w, wallMS) {
		valid, all = p.yields.withoutYielded(w, valid), p.yields.withoutYielded(w, all)
	}
	if len(valid) > 0 {
		tasks = p.placeAmong(w, tasks, valid, now)
	}
	if len(tasks) > 0 && !w.adviceInFlight && len(all) > len(valid) {
		tasks = p.placeAmong(w, tasks, all, now)
	}
	return len(tasks) == 0
}

// grantedWorkers returns the workers with a ticket that is still valid when a plan made now is
// sent, and all workers that were ever granted.
func (w *pendingStep) grantedWorkers(now time.Duration) (valid, all []string) {
	for worker, t := range w.grants {
		all = append(all, worker)
		if t.validUntil > now+ticketPlanMargin {
			valid = append(valid, worker)
		}
	}
	return valid, all
}

// placeAmong places tasks on the given workers (nil: any) and returns those that found
// no room.
func (p *Placer) placeAmong(w *pendingStep, tasks []int, among []string, now time.Duration) []int {
	switch {
	case w.def.Backfill:
		among = p.workersForFilling(w, among)
	case w.def.TailTargetMS > 0:
		among = p.workersForServing(among)
	}
	if !p.mayHaveRoom(w, among, len(tasks)) {
		return tasks
	}
	if w.def.SameRack && len(tasks) > 1 {
		for _, rack := range p.groupByRack(among) {
			if rest := p.planAndCommit(w, tasks, rack, now, true); len(rest) == 0 {
				return nil
			}
		}
		if now-w.readyAt < maxSameRackWait {
			return tasks
		}
	}
	return p.planAndCommit(w, tasks, among, now, w.def.Gang)
}

// groupByRack groups workers by rack.
func (p *Placer) groupByRack(among []string) [][]string {
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

// planAndCommit plans and commits; with allOrNothing set, all tasks are placed or none.
func (p *Placer) planAndCommit(w *pendingStep, tasks []int, among []string, now time.Duration, allOrNothing bool) []int {
	asks := p.taskAsks(w, tasks, among, allOrNothing)
	if w.def.MaxPerWorker > 0 && !allOrNothing {
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

func (p *Placer) taskAsks(w *pendingStep, tasks []int, among []string, allOrNothing bool) []wire.TaskAsk {
	candidates := len(among)
	if among == nil {
		candidates = len(p.vms)
	}
	avoid := w.avoidWorkers
	if len(avoid) > 1 && candidates < 2*len(avoid) {
		avoid = avoid[len(avoid)-1:] // a small pool is not shut out by a task that fails everywhere
	}
	if candidates < 2 {
		avoid = nil
	}
	asks := make([]wire.TaskAsk, len(tasks))
	for i, index := range tasks {
		asks[i] = wire.TaskAsk{
			TaskID: cellTaskID(w.taskID(index)), Job: cellJobID(w.id), Generation: int64(w.nextRun(index)), Pool: w.job.Pool,
			Resources: occupiedRoom(w.def), RunMS: w.def.EstimateMS, AvoidVMs: avoid, Among: among,
			Label: w.def.Label, NearRack: w.def.NearRack, PerVM: w.def.MaxPerWorker,
		}
		if allOrNothing {
			asks[i].Gang = cellJobID(w.id)
		}
	}
	return asks
}

// nextRun is the number of the task's next run. The members of a gang share it.
func (w *pendingStep) nextRun(index int) int {
	state := w.job.Step(w.id.Occurrence, w.id.Step)
	switch {
	case state == nil:
		return 1
	case w.def.Gang:
		return state.HighestRun + 1
	default:
		return state.Tasks[index].LastRun + 1
	}
}

// commit plans the requests, commits what was placed and makes its runs. It returns the
// tasks that found no room.
func (p *Placer) commit(w *pendingStep, tasks []int, asks []wire.TaskAsk, now time.Duration) []int {
	p.planAttempts++
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
	awaitTickets := w.def.Gang && !w.hasTickets(done, now)
	var rest []int
	for i, index := range tasks {
		if worker, ok := placed[asks[i].TaskID]; ok {
			p.newRun(w, index, p.vms[worker], awaitTickets, now)
		} else {
			rest = append(rest, index)
		}
	}
	return rest
}

// hasTickets reports whether the step has a ticket for every worker that was chosen.
func (w *pendingStep) hasTickets(chosen []place.Assignment, now time.Duration) bool {
	if w.queue == nil || w.queue.Advice == nil {
		return true
	}
	for i := range chosen {
		if w.grants[chosen[i].VM].validUntil <= now+ticketPlanMargin {
			return false
		}
	}
	return true
}

// newRun makes the run of a task whose room is committed. With awaitTickets set it waits until
// all tickets of its gang have come.
func (p *Placer) newRun(w *pendingStep, index int, v *vm, awaitTickets bool, now time.Duration) {
	id := w.taskID(index)
	r := &run{
		RunID: cluster.RunID{TaskID: id, Run: w.nextRun(index)}, state: ticketing, vm: v, size: occupiedRoom(w.def),
		spec: w.job.Spec, checkpoint: w.checkpoint(index), wanted: true, plannedAt: now, pacePercent: 100, paceConfirmed: true,
	}
	p.runs[id] = r
	v.runs[id] = r
	w.activeRuns++
	if w.queue != nil && w.queue.Advice != nil {
		if t := w.grants[v.Life.Worker]; t.validUntil > now+ticketPlanMargin && !awaitTickets {
			r.ticket = t
		} else {
			w.ticketsNeeded = append(w.ticketsNeeded, v.Life.Worker)
			return
		}
	}
	r.transition(ticketGranted)
	p.recordBegin(r)
}

// checkpoint returns the checkpoint from which the task's next run resumes. Any
// member's is valid for the whole gang, and all members start from the same.
func (w *pendingStep) checkpoint(index int) string {
	state := w.job.Step(w.id.Occurrence, w.id.Step)
	if state == nil {
		return ""
	}
	if w.def.Gang {
		index = 0
	}
	return state.Tasks[index].Checkpoint
}

// holdWorkers keeps workers free for a gang that found no room.
func (p *Placer) holdWorkers(w *pendingStep, tasks []int, now time.Duration) bool {
	_, among := w.grantedWorkers(now)
	if w.queue == nil || w.queue.Advice == nil {
		among = nil
	} else if len(among) == 0 {
		return false
	}
	plan, ok := p.cell.PlanHold(p.taskAsks(w, tasks, among, true), place.Options{}, maxHoldShare, now, holdValidity)
	if ok {
		p.cell.ApplyHold(plan, now)
	}
	return true
}
