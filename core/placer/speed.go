package placer

import (
	"iter"
	"slices"
	"time"

	"briarproxy/core/cluster"
	"briarproxy/core/flow"
	"briarproxy/core/speed"
)

const (
	// fastLevel and slowLevel are the levels from which a worker counts as fast or slow.
	fastLevel = -2
	slowLevel = 2
	// slowAffordFactor is the number of times that a step's spare time must cover what a slow worker takes longer, for
	// the step to take any worker. It leaves time for runs that fail or take longer than estimated.
	slowAffordFactor = 6
	// likeSpeedLevels is the difference of levels up to which the members of a gang count as equally fast.
	likeSpeedLevels = 1
	// maxSpeedsPerBatch bounds the speeds that one batch publishes.
	maxSpeedsPerBatch = 32
	// maxAnswerLag is how much later than usual an answer to a poll may arrive for its ends to show run times.
	maxAnswerLag = 300 * time.Millisecond
)

// workerSpeeds holds what the placer has learned of the speeds of the workers.
type workerSpeeds struct {
	estimator *speed.Estimator
	outdated  bool     // the rest has to be computed again
	notSlow   []string // of the registry, sorted
	slow      []string // the others, sorted
	fast      int      // number of fast workers
	mixed     bool     // some workers are slow, and others aren't
}

// restoreSpeeds takes over what the former placer has learned. Its error is at most the change that is published.
func (p *Placer) restoreSpeeds(now time.Duration) {
	for _, saved := range p.state.Speeds {
		p.speeds.estimator.Restore(saved, now)
	}
}

func newWorkerSpeeds() workerSpeeds { return workerSpeeds{estimator: speed.New(), outdated: true} }

// observeSpeed learns from a run that its worker has listed as done. Left out are runs whose time depends on something
// else than the worker: the other members of a gang, a pace, a checkpoint, idle cores; and those whose start or
// end was not observed in time.
func (p *Placer) observeSpeed(r *run, now time.Duration) {
	step, v := p.steps[r.StepID()], r.vm
	if step == nil || !measuresWorker(r, step.def) || r.startsSent != 1 || now-v.pollSentAt > maxPollWait+maxAnswerLag {
		return
	}
	observed := speed.Run{
		Worker: v.Life.Worker, Kind: step.job.Queue, Ran: now - r.answeredAt, Resolution: pollInterval, Estimate: step.def.ExpectedRunTime(),
	}
	if !p.speeds.estimator.Observe(observed, &step.evidence, now) {
		return
	}
	p.updateSpeedLevel(v, now)
}

// measuresWorker reports whether the run time of a run depends on its task and its worker only.
func measuresWorker(r *run, def *flow.Step) bool {
	return !def.LongRunning && !def.Backfill && (!def.Gang || def.Count == 1) && (!def.SameRack || def.Count == 1) &&
		(def.NearRack == "" || def.NearRack == r.vm.Rack) && r.checkpoint == "" && r.pacePercent == 100 && r.state == running && r.answeredAt > 0
}

func (p *Placer) updateSpeedLevel(v *vm, now time.Duration) {
	if p.options.Disabled.WorkerSpeeds {
		return
	}
	level := p.speeds.estimator.Level(v.Life.Worker, now)
	if level == v.speedLevel {
		return
	}
	if speedClass(level) != speedClass(v.speedLevel) {
		p.speeds.outdated = true
		p.addDecision(Decision{Kind: "worker speed changed", Worker: v.Life.Worker, Value: int64(100 / speed.Slowness(level))})
	}
	v.speedLevel = level
	p.cell.SetSpeedLevel(v.Life.Worker, v.penaltyLevel())
}

// isOtherMachine reports whether a worker is not on the machine that its former description, if there is one, shows.
func isOtherMachine(before, after *cluster.Worker) bool {
	if before.Address == "" {
		return false
	}
	return before.Capacity != after.Capacity || before.Rack != after.Rack || !slices.Equal(before.Labels, after.Labels)
}

// forgetSpeed drops the speed of a worker that has become another machine.
func (p *Placer) forgetSpeed(v *vm, now time.Duration) {
	p.speeds.estimator.Forget(v.Life.Worker)
	p.updateSpeedLevel(v, now)
}

// speedClass returns 0 for a fast worker, 1 for a usual and 2 for a slow one.
func speedClass(level int) int {
	switch {
	case level <= fastLevel:
		return 0
	case level >= slowLevel:
		return 2
	default:
		return 1
	}
}

// penaltyLevel returns the worker's level if it is slow, and 0 otherwise. What is gained on a fast worker is lost again
// by worse packing, so placement only keeps off slow ones.
func (v *vm) penaltyLevel() int {
	if speedClass(v.speedLevel) != 2 {
		return 0
	}
	return v.speedLevel
}

// refreshSpeeds sorts the workers into classes if that is due.
func (p *Placer) refreshSpeeds(now time.Duration) {
	s := &p.speeds
	if !s.outdated {
		return
	}
	s.estimator.Centre(now)
	s.notSlow, s.slow, s.fast = s.notSlow[:0], s.slow[:0], 0
	for _, id := range p.workerIDs {
		v := p.vms[id]
		p.updateSpeedLevel(v, now)
		switch speedClass(v.speedLevel) {
		case 0:
			s.fast++
			s.notSlow = append(s.notSlow, id)
		case 1:
			s.notSlow = append(s.notSlow, id)
		case 2:
			s.slow = append(s.slow, id)
		}
	}
	s.outdated = false
	s.mixed = len(s.slow) > 0 && len(s.notSlow) > 0
}

// newSpeedWeight returns how much a step keeps off slow workers: not at all if it ends in time on them as well, so that
// the others are left to more urgent work.
func newSpeedWeight(step *pendingStep) float64 {
	extra := time.Duration((speed.Slowness(slowLevel+1) - 1) * float64(step.def.ExpectedRunTime()))
	if step.def.LongRunning || step.def.Backfill || step.spare > slowAffordFactor*extra {
		return 0
	}
	return 1
}

// askOrder returns the workers in the order in which the step asks about them. A step that keeps off slow workers asks
// about them last. Among the others, steps begin at different workers, so that concurrent steps do not compete for the
// same ones.
func (p *Placer) askOrder(step *pendingStep) iter.Seq[string] {
	classes := [][]string{p.workerIDs}
	if p.speeds.mixed && step.speedWeight > 0 {
		classes = [][]string{p.speeds.notSlow, p.speeds.slow}
	}
	return func(yield func(string) bool) {
		for _, class := range classes {
			if len(class) == 0 {
				continue
			}
			first := int(step.job.Offset*workerStride) % len(class)
			for i := range class {
				if !yield(class[(first+i)%len(class)]) {
					return
				}
			}
		}
	}
}

// placeAtLikeSpeed places a gang on those of the named workers that have room for it and of which the slowest is as
// fast as possible. A gang ends with its slowest member, so among these the slower ones are taken, and the faster ones
// are left to others. It returns the tasks that could not be placed.
func (p *Placer) placeAtLikeSpeed(step *pendingStep, tasks []int, workers []string, now time.Duration) (unplaced []int) {
	if !step.def.Gang || workers == nil || !p.speeds.mixed {
		return tasks
	}
	level, found := p.slowestMember(step, workers, len(tasks))
	if !found {
		return tasks
	}
	chosen := make([]string, 0, len(workers))
	for _, id := range workers {
		if v := p.vms[id]; v != nil && v.penaltyLevel() <= level+likeSpeedLevels {
			chosen = append(chosen, id)
		}
	}
	weight := step.speedWeight
	step.speedWeight = -1
	unplaced = p.planAndCommit(step, tasks, chosen, now, true)
	step.speedWeight = weight
	return unplaced
}

// slowestMember returns the level of the slowest worker if the tasks are placed on the fastest workers with room for
// them. It reports false if there is too little room.
func (p *Placer) slowestMember(step *pendingStep, workers []string, tasks int) (level int, found bool) {
	var rooms [speed.MaxLevel + 1]int64 // by level
	ask := step.capacityAsk()
	for _, id := range workers {
		if v := p.vms[id]; v != nil {
			rooms[v.penaltyLevel()] += p.cell.FittingTasks(id, &ask)
		}
	}
	missing := int64(tasks)
	for i, n := range rooms {
		if missing -= n; missing <= 0 {
			return i, true
		}
	}
	return 0, false
}
