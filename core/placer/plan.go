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
	// planInterval is the least time between two planning passes, so that one pass covers the
	// events of this time.
	planInterval = 15 * time.Millisecond
	// A pass takes longer the more steps wait and the more of them it tries to place. The delay
	// of the next pass grows accordingly, which limits the planner's share of the processor.
	planIntervalPerStep    = 4 * time.Microsecond
	planIntervalPerAttempt = 150 * time.Microsecond
	// minPendingRuns is the lower bound of maxPendingRuns. While the log is unreachable, the
	// tickets of more planned runs would only expire, and all of them would be started at once
	// when the log is reachable again.
	minPendingRuns = 48
	// startsPerVMPerSecond is the highest rate at which one worker starts tasks.
	startsPerVMPerSecond = 8.0
	// maxCountedAppendDuration limits the append duration for which starts are planned ahead.
	// Most tickets expire during a longer append.
	maxCountedAppendDuration = time.Second
	// maxHoldShare is the share of a pool that may be held for one gang.
	maxHoldShare = 0.5
	holdValidity = time.Second
	// maxSameRackWait is how long a step waits for free capacity within one rack.
	maxSameRackWait = 2 * time.Second
	// refusalReportInterval is the least time between two reports of refused plans of one step.
	refusalReportInterval = time.Second
)

// plan places the tasks of the waiting steps, in the order of the steps' ranks, and requests
// advice for those that lack it.
func (p *Placer) plan(commands []Command, now time.Duration, wallMS int64) []Command {
	if len(p.steps) == 0 {
		return commands
	}
	p.planAttempts, p.plannedSteps = 0, 0
	p.yields.reset()
	p.startPassOfWaits()
	p.refreshSpeeds(now)
	p.UpdateMembers(now)
	p.updateMaxFree()
	p.countPools()
	p.planPass++
	steps := make([]*pendingStep, 0, len(p.steps))
	for _, step := range p.steps {
		step.setQueue(p.queues[step.job.Queue])
		if step.job.Config <= p.config.Version && step.lateEnds == 0 && p.mayTakePart(step, now) {
			steps = append(steps, step)
		}
	}
	p.plannedSteps = len(steps)
	p.sortSteps(steps, wallMS)
	turns := p.newTurns(steps)
	holdAttempted := false
	var waiting []int
	startsAllowed := p.startWindow.available(p.startsInProgress)
	for step := turns.next(); step != nil; step = turns.next() {
		if len(p.pendingRuns) >= p.maxPendingRuns() {
			p.planNeeded = true
			break
		}
		if startsAllowed <= 0 {
			p.startWindow.limiting = true // the answer to a start command triggers the next pass
			break
		}
		waiting = p.withoutUnexplained(step, p.waitingTasks(step, waiting[:0]), now)
		if len(waiting) == 0 || step.def.Gang && (step.activeRuns > 0 || len(waiting) < step.def.Count) {
			continue
		}
		if step.rank.beyondRate && !p.mayLend(step) {
			continue
		}
		if waiting = p.withinMaximum(step, waiting, now); len(waiting) == 0 {
			continue // a run of the workspace that ends triggers the next pass
		}
		if !step.def.Gang && len(waiting) > startsAllowed {
			waiting = waiting[:startsAllowed]
		}
		activeBefore, adviceInFlightBefore, unplaced := step.activeRuns, step.adviceInFlight, len(waiting)
		placed := p.placeStep(step, waiting, now, wallMS)
		if !placed && !step.waits && step.def.Gang && step.rank.timeliness == onTime && !step.rank.beyondRate && !p.options.Disabled.Yields {
			p.yields.addGang(step)
		}
		commands = p.requestAdvice(commands, step, placed || step.waits, now)
		startsAllowed -= step.activeRuns - activeBefore
		if step.adviceInFlight && !adviceInFlightBefore {
			waiting = p.waitingTasks(step, waiting[:0])
			startsAllowed -= len(waiting)
		}
		if step.adviceInFlight {
			step.reserveWhileAdvised(unplaced - (step.activeRuns - activeBefore))
		}
		if !placed && !step.waits && step.def.Gang && !step.rank.beyondRate && !holdAttempted && !p.options.Disabled.GangHolds {
			holdAttempted = p.holdWorkers(step, waiting, now)
		}
	}
	return commands
}

// maxPendingRuns returns the number of planned runs that may wait for the next append. Between two
// appends a large cell starts as many runs as it has workers, and more while appends are slow.
func (p *Placer) maxPendingRuns() int {
	if p.options.Disabled.PendingRunScaling {
		return max(minPendingRuns, len(p.vms))
	}
	startsDuringAppend := startsPerVMPerSecond * float64(len(p.vms)) * min(p.lastAppendDuration, maxCountedAppendDuration).Seconds()
	return max(minPendingRuns, len(p.vms), int(startsDuringAppend))
}

// nextPlanDelay returns the least time from the start of the last planning pass to the next one.
func (p *Placer) nextPlanDelay() time.Duration {
	return planInterval + planIntervalPerStep*time.Duration(p.plannedSteps) + planIntervalPerAttempt*time.Duration(p.planAttempts)
}

// mayFit reports whether the workers (nil: all) may have free capacity for at least one task of
// the step, or for all tasks of a gang. It is far cheaper than a plan and avoids planning in a
// full cell.
func (p *Placer) mayFit(step *pendingStep, workers []string, tasks int) bool {
	if !reservedResources(step.def).Fits(p.maxFree) {
		return false
	}
	if workers == nil {
		return true
	}
	needed := 1
	if step.def.Gang {
		needed = tasks
	}
	ask := step.capacityAsk()
	for _, id := range workers {
		if needed -= int(p.cell.FittingTasks(id, &ask)); needed <= 0 {
			return true
		}
	}
	return false
}

// capacityAsk returns a request that stands for any task of the step where only free capacity, the
// label and the limit per worker count.
func (s *pendingStep) capacityAsk() wire.TaskAsk {
	ask := wire.TaskAsk{Resources: reservedResources(s.def), Label: s.def.Label, PerVM: s.def.MaxPerWorker}
	if ask.PerVM > 0 {
		ask.Job = cellJobID(s.id)
	}
	return ask
}

// updateMaxFree computes the largest free amount of each resource on any worker.
func (p *Placer) updateMaxFree() {
	p.maxFree = resource.Vector{}
	for id := range p.vms {
		if free, schedulable := p.cell.FreeCapacity(id); schedulable {
			p.maxFree = p.maxFree.Max(free)
		}
	}
}

// UpdateMembers updates the list of daemons through which advice may be requested.
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

// placeStep places tasks of a step, preferring workers for which the step has a valid ticket. On
// workers whose tickets have expired, the runs wait for new ones. It reports whether all tasks
// were placed.
func (p *Placer) placeStep(step *pendingStep, tasks []int, now time.Duration, wallMS int64) bool {
	if step.queue == nil || step.queue.Advice == nil {
		return len(p.placeAmong(step, tasks, nil, now)) == 0
	}
	if !reservedResources(step.def).Fits(p.maxFree) {
		return false
	}
	valid, all := step.grantedWorkers(now)
	if p.yields.canYield(step, wallMS) {
		valid, all = p.yields.withoutYielded(step, valid), p.yields.withoutYielded(step, all)
	}
	if len(valid) > 0 {
		tasks = p.placeAmong(step, tasks, valid, now)
	}
	if len(tasks) > 0 && !step.adviceInFlight && len(all) > len(valid) {
		tasks = p.placeAmong(step, tasks, all, now)
	}
	return len(tasks) == 0
}

// grantedWorkers returns the workers whose ticket will still be valid when the start command of
// a run planned now is sent, and all workers that advice has ever granted to the step.
func (s *pendingStep) grantedWorkers(now time.Duration) (valid, all []string) {
	for worker, t := range s.grants {
		all = append(all, worker)
		if t.validUntil > now+ticketPlanMargin {
			valid = append(valid, worker)
		}
	}
	return valid, all
}

// placeAmong places tasks on the given workers (nil: any) and returns the tasks that could not
// be placed.
func (p *Placer) placeAmong(step *pendingStep, tasks []int, workers []string, now time.Duration) []int {
	switch {
	case step.def.Backfill:
		workers = p.workersForBackfill(step, workers)
	case step.def.TailTargetMS > 0:
		workers = p.workersForServing(workers)
	}
	if step.isOnTrial(now) {
		workers = p.workersForTrial(step, len(tasks), workers, now)
	}
	if !p.mayFit(step, workers, len(tasks)) {
		return tasks
	}
	if step.def.SameRack && len(tasks) > 1 {
		racks := p.groupByRack(workers)
		for _, rack := range racks {
			if unplaced := p.planAndCommit(step, tasks, rack, now, true); len(unplaced) == 0 {
				return nil
			}
		}
		if p.waitsForRack(step, len(tasks), racks, now) {
			return tasks
		}
	}
	tasks, waits := p.placeNearData(step, tasks, workers, now)
	if waits || len(tasks) == 0 {
		return tasks
	}
	if tasks = p.placeAtLikeSpeed(step, tasks, workers, now); len(tasks) == 0 {
		return nil
	}
	return p.planAndCommit(step, tasks, workers, now, step.def.Gang)
}

// groupByRack groups the workers (nil: all) by rack, with the largest group first.
func (p *Placer) groupByRack(workers []string) [][]string {
	groups := map[string][]string{}
	if workers == nil {
		for id := range p.vms {
			workers = append(workers, id)
		}
	}
	for _, id := range workers {
		if v := p.vms[id]; v != nil {
			groups[v.Rack] = append(groups[v.Rack], id)
		}
	}
	racks := make([][]string, 0, len(groups))
	for _, group := range groups {
		racks = append(racks, group)
	}
	slices.SortFunc(racks, func(a, b []string) int { return cmp.Compare(len(b), len(a)) })
	return racks
}

// planAndCommit plans and commits the tasks on the given workers (nil: any) and returns the tasks
// that could not be placed. With allOrNothing set, either all tasks are placed or none.
func (p *Placer) planAndCommit(step *pendingStep, tasks []int, workers []string, now time.Duration, allOrNothing bool) []int {
	options := place.Options{NoPreemption: true}
	if step.def.Backfill {
		options.MaxPerVM = p.tasksOnIdleCores(step, workers)
		if tasks = p.commit(step, tasks, p.taskAsks(step, tasks, workers, allOrNothing, now), options, now); len(tasks) == 0 {
			return nil
		}
		options.MaxPerVM = nil // the remaining tasks reserve no cores, so they start without idle ones rather than wait
	}
	return p.commit(step, tasks, p.taskAsks(step, tasks, workers, allOrNothing, now), options, now)
}

func (p *Placer) taskAsks(step *pendingStep, tasks []int, workers []string, allOrNothing bool, now time.Duration) []wire.TaskAsk {
	avoid := p.workersToAvoid(step, len(tasks), workers, now)
	asks := make([]wire.TaskAsk, len(tasks))
	for i, index := range tasks {
		asks[i] = wire.TaskAsk{
			TaskID: cellTaskID(step.taskID(index)), Job: cellJobID(step.id), Generation: int64(step.nextRun(index)), Pool: step.job.Pool,
			Resources: reservedResources(step.def), RunMS: step.def.ExpectedRunTime().Milliseconds(), AvoidVMs: avoid, Among: workers,
			Label: step.def.Label, NearRack: step.def.NearRack, PerVM: step.def.MaxPerWorker, SpeedWeight: step.speedWeight,
		}
		if allOrNothing {
			asks[i].Gang = cellJobID(step.id)
		}
	}
	return asks
}

// nextRun returns the number of the task's next run. All members of a gang use the same number.
func (s *pendingStep) nextRun(index int) int {
	state := s.job.Step(s.id.Occurrence, s.id.Step)
	switch {
	case state == nil:
		return 1
	case s.def.Gang:
		return state.HighestRun + 1
	default:
		return state.Tasks[index].LastRun + 1
	}
}

// commit plans the asks, commits the assignments and creates their runs. It returns the tasks
// that could not be placed.
func (p *Placer) commit(step *pendingStep, tasks []int, asks []wire.TaskAsk, options place.Options, now time.Duration) []int {
	p.planAttempts++
	plan := p.cell.Plan(asks, options, now, nil)
	refuseBeyondMaximum(step, &plan)
	committed, refused := p.cell.Commit(plan, options, now)
	p.reportRefusedPlan(step, refused, now)
	if len(committed) == 0 {
		return tasks
	}
	workerByTask := make(map[string]string, len(committed))
	for i := range committed {
		workerByTask[committed[i].Ask.TaskID] = committed[i].VM
	}
	// A gang starts only when it has all its tickets: on the workers, members that start
	// earlier wait for the others for a limited time only.
	awaitTickets := step.def.Gang && !step.hasTickets(committed, now)
	var unplaced []int
	for i, index := range tasks {
		if worker, ok := workerByTask[asks[i].TaskID]; ok {
			p.newRun(step, index, p.vms[worker], awaitTickets, now)
		} else {
			unplaced = append(unplaced, index)
		}
	}
	return unplaced
}

// reportRefusedPlan adds a decision if the cell has refused a plan that was made for its current
// state: the planner and the check disagree about a rule, and the step may never be placed.
func (p *Placer) reportRefusedPlan(step *pendingStep, refused []place.Refusal, now time.Duration) {
	if len(refused) == 0 || now < step.nextReportAt {
		return
	}
	step.nextReportAt = now + refusalReportInterval
	cause := refused[0]
	for _, r := range refused {
		if r.Reason != place.ReasonGangDoesNotFit { // the other members of a gang are refused with the one that breaks a rule
			cause = r
			break
		}
	}
	p.addDecision(Decision{
		Kind: decisionPlanRefused, Job: step.id.Job, Task: step.taskID(0), Worker: cause.VM, Reason: string(cause.Reason),
		Age: now - step.readyAt, Value: int64(len(refused)),
	})
}

// hasTickets reports whether the step has a valid ticket for every chosen worker.
func (s *pendingStep) hasTickets(chosen []place.Assignment, now time.Duration) bool {
	if s.queue == nil || s.queue.Advice == nil {
		return true
	}
	for i := range chosen {
		if s.grants[chosen[i].VM].validUntil <= now+ticketPlanMargin {
			return false
		}
	}
	return true
}

// newRun creates the run of a task whose resources are committed. With awaitTickets set the run
// waits until all tickets of its gang have arrived.
func (p *Placer) newRun(step *pendingStep, index int, v *vm, awaitTickets bool, now time.Duration) {
	id := step.taskID(index)
	r := &run{
		RunID: cluster.RunID{TaskID: id, Run: step.nextRun(index)}, state: ticketing, vm: v, size: reservedResources(step.def),
		spec: step.job.Spec, checkpoint: step.checkpoint(index), wanted: true, plannedAt: now, pacePercent: 100, paceConfirmed: true,
		onTrial: step.isOnTrial(now),
	}
	p.countRun(r, step.job)
	if use := p.pools[v.Pool]; use != nil {
		use.free = use.free.Sub(r.size)
	}
	p.runs[id] = r
	v.runs[id] = r
	step.activeRuns++
	if r.onTrial {
		p.updateCellWorker(v, now)
	}
	if step.queue != nil && step.queue.Advice != nil {
		if grant := step.grants[v.Life.Worker]; grant.validUntil > now+ticketPlanMargin && !awaitTickets {
			r.ticket = grant
		} else {
			step.ticketsNeeded = append(step.ticketsNeeded, v.Life.Worker)
			return
		}
	}
	r.transition(ticketGranted)
	p.recordBegin(r)
}

// checkpoint returns the checkpoint from which the task's next run resumes. A checkpoint of any
// member is valid for the whole gang, and all members resume from the same one.
func (s *pendingStep) checkpoint(index int) string {
	state := s.job.Step(s.id.Occurrence, s.id.Step)
	if state == nil {
		return ""
	}
	if s.def.Gang {
		index = 0
	}
	return state.Tasks[index].Checkpoint
}

// holdWorkers keeps workers free for a gang that could not be placed. It reports whether it has
// tried to do so.
func (p *Placer) holdWorkers(step *pendingStep, tasks []int, now time.Duration) bool {
	_, workers := step.grantedWorkers(now)
	if step.queue == nil || step.queue.Advice == nil {
		workers = nil
	} else if len(workers) == 0 {
		return false
	}
	plan, ok := p.cell.PlanHold(p.taskAsks(step, tasks, workers, true, now), place.Options{}, maxHoldShare, now, holdValidity)
	if ok {
		p.cell.ApplyHold(plan, now)
	} else {
		p.cell.ReleaseHold(cellJobID(step.id))
	}
	return true
}
