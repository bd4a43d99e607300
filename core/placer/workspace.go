package placer

import (
	"time"

	"briarproxy/core/cluster"
	"briarproxy/core/flow"
	"briarproxy/core/place"
	"briarproxy/core/resource"
	"briarproxy/core/share"
)

// The load that this file answers: a workspace that sends more than it may have running. Its steps
// wait for its own runs to end, and cost the others neither workers nor planning time nor advice.

// maxLentUseShare is the share of a pool in use up to which work beyond its workspace's rate starts. The
// platform requires that waiting work starts while less than half of a pool is in use; the more is lent
// beyond that, the longer a gang that is owed waits for workers with enough room.
const maxLentUseShare = 0.6

// maximumReportInterval is the least time between two reports that a workspace is at its maximum.
const maximumReportInterval = time.Second

// decisionAtMaximum is the kind of decision that reports a step that waits for its workspace's maximum.
// Reason is the workspace, Value the number of its steps that waited for it in the last planning pass.
const decisionAtMaximum = "workspace at its maximum"

// workspace is the placer's state of one workspace.
type workspace struct {
	share.Account
	planPass     int             // planning pass to which the fields from reserved to queue belong
	reserved     resource.Vector // for tasks that wait for advice, and for a gang that waits for room
	held         int             // steps that the maximum has kept waiting
	wasHeld      bool            // the maximum kept steps waiting in the last pass
	hasWork      bool            // a step of the workspace is ready
	shareUsed    float64         // multiple of its fair share; see share.Turns
	queue        []*pendingStep  // its steps of the present class that were put off, the most urgent one first
	nextReportAt time.Duration
}

// untrackedRun is a run that a worker lists although the task has another run, which is tracked.
type untrackedRun struct {
	cluster.RunID
	workspace *workspace
	size      resource.Vector
}

// workspaceOf returns the state of a workspace; that of "" covers the jobs without one.
func (p *Placer) workspaceOf(name string) *workspace {
	w := p.workspaces[name]
	if w == nil {
		w = &workspace{Account: share.Account{Name: name}}
		p.workspaces[name] = w
	}
	return w
}

// setWorkspaces updates weights and maxima. A workspace that has left the configuration keeps its
// last ones, as it may still have jobs.
func (p *Placer) setWorkspaces(list []cluster.Workspace) {
	for i := range list {
		w := p.workspaceOf(list[i].Name)
		w.Weight, w.Maximum = list[i].Weight, list[i].Maximum
	}
	p.running = share.Turns{}
	for _, w := range p.workspaces {
		if w.Runs > 0 {
			p.running.AddWeight(&w.Account)
		}
	}
}

// countRun counts a run for the workspace of its job. The job is nil if it is no longer known.
//
// A backfill task counts with its cores, although it reserves none on its worker: the maximum limits
// what runs.
func (p *Placer) countRun(r *run, job *flow.Job) {
	r.workspace, r.countedSize = p.sizeInWorkspace(job, r.Step)
	p.addUse(r.workspace, r.countedSize)
}

// addUse counts a run of a workspace.
func (p *Placer) addUse(w *workspace, size resource.Vector) {
	if w.Add(size); w.Runs == 1 {
		p.running.AddWeight(&w.Account)
	}
}

// removeUse ends the count of a run of a workspace.
func (p *Placer) removeUse(w *workspace, size resource.Vector) {
	if w.Remove(size); w.Runs == 0 {
		p.running.RemoveWeight(&w.Account)
	}
}

// sizeInWorkspace returns the workspace of a job and what one task of the step counts there.
func (p *Placer) sizeInWorkspace(job *flow.Job, step int) (*workspace, resource.Vector) {
	if job == nil {
		return p.workspaceOf(""), resource.Vector{}
	}
	if step < 0 || step >= len(job.Steps) {
		return p.workspaceOf(job.Workspace), resource.Vector{}
	}
	return p.workspaceOf(job.Workspace), job.Steps[step].Size
}

// countUntracked replaces the untracked runs of a worker by those that its newest report lists.
func (p *Placer) countUntracked(v *vm, listed []cluster.RunID) {
	for _, u := range v.untracked {
		p.removeUse(u.workspace, u.size)
	}
	v.untracked = v.untracked[:0]
	for _, id := range listed {
		w, size := p.sizeInWorkspace(p.state.Jobs[id.Job], id.Step)
		p.addUse(w, size)
		v.untracked = append(v.untracked, untrackedRun{id, w, size})
	}
}

// poolUse is what the workers of a pool that may receive tasks have, and what of it is free.
type poolUse struct{ free, capacity resource.Vector }

// mayLend reports whether a step of a job beyond its workspace's rate may start. Without the part of the
// pool that stays free, such work would keep the pool full, and a gang that arrives would wait for as
// long as that work takes. Cores count, as memory in use keeps none of them busy. Long-running tasks are
// exempt: they are owed whenever they fit.
func (p *Placer) mayLend(step *pendingStep) bool {
	if step.def.LongRunning {
		return true
	}
	use := p.pools[step.job.Pool]
	if use == nil {
		return false
	}
	return float64(use.free.MilliCores) > (1-maxLentUseShare)*float64(use.capacity.MilliCores)
}

// countPools computes what the workers of each pool have and what is free, if the configuration has
// workspaces.
func (p *Placer) countPools() {
	p.totalCapacity = resource.Vector{}
	clear(p.pools)
	if len(p.config.Workspaces) == 0 {
		return
	}
	for id, v := range p.vms {
		free, schedulable := p.cell.FreeCapacity(id)
		if !schedulable {
			continue
		}
		use := p.pools[v.Pool]
		if use == nil {
			use = &poolUse{}
			p.pools[v.Pool] = use
		}
		use.free, use.capacity = use.free.Add(free), use.capacity.Add(v.Capacity)
		p.totalCapacity = p.totalCapacity.Add(v.Capacity)
	}
}

// mayTakePart reports whether a step may take part in this planning pass: not if its workspace has no
// room under its maximum, or if the job is beyond the rate and the cell has no room to lend. Such steps
// use no planning time, however many they are. A gang takes part, as the room that it waits for is kept
// in its turn.
func (p *Placer) mayTakePart(step *pendingStep, now time.Duration) bool {
	w := step.workspace
	w.beginPass(p.planPass)
	step.atMaximum = false
	if w.wasHeld && !step.def.Gang && w.Room(step.def.Size, resource.Vector{}, 1, false) == 0 {
		p.heldAtMaximum(step, now)
		return false
	}
	return !step.job.BeyondRate || p.mayLend(step)
}

// withinMaximum returns the waiting tasks that may start under the maximum of the step's workspace,
// of a gang all or none.
func (p *Placer) withinMaximum(step *pendingStep, waiting []int, now time.Duration) []int {
	w := step.workspace
	if !w.Limited() {
		return waiting
	}
	room := w.Room(step.def.Size, w.reserved, len(waiting), step.def.Gang)
	if room == 0 {
		p.heldAtMaximum(step, now)
		step.reserveForGang()
	}
	return waiting[:room]
}

// heldAtMaximum notes that the maximum of its workspace keeps the step waiting.
func (p *Placer) heldAtMaximum(step *pendingStep, now time.Duration) {
	w := step.workspace
	step.atMaximum = true
	w.held++
	p.reportMaximum(step, now)
}

// reserveWhileAdvised sets the room of tasks aside that wait for advice, so that the steps behind them
// do not ask for more advice than the workspace can use.
func (s *pendingStep) reserveWhileAdvised(tasks int) {
	if s.workspace.Limited() {
		s.workspace.reserved = s.workspace.reserved.Add(s.def.Size.Scale(int64(tasks)))
	}
}

// reserveForGang keeps the steps behind a gang from taking the room that it waits for. Without this a
// workspace near its maximum would start single tasks only, as each of them fits sooner.
func (s *pendingStep) reserveForGang() {
	if s.def.Gang && s.workspace.MayEverFit(s.def.Size, s.def.Count) {
		s.workspace.reserved = s.workspace.reserved.Add(s.def.Size.Scale(int64(s.def.Count)))
	}
}

func (p *Placer) reportMaximum(step *pendingStep, now time.Duration) {
	w := step.workspace
	if now < w.nextReportAt {
		return
	}
	w.nextReportAt = now + maximumReportInterval
	reason := w.Name
	if step.def.Gang && !w.MayEverFit(step.def.Size, step.def.Count) {
		reason += ": the gang is larger than the maximum"
	}
	p.addDecision(Decision{Kind: decisionAtMaximum, Job: step.id.Job, Task: step.taskID(0), Reason: reason, Age: now - step.readyAt, Value: int64(w.held)})
}

// refuseBeyondMaximum removes the assignments from a plan that the maximum of the step's workspace does
// not allow. It is part of the check of each plan before it is committed.
func refuseBeyondMaximum(step *pendingStep, plan *place.Plan) {
	n := len(plan.Assignments)
	if room := step.workspace.Room(step.def.Size, resource.Vector{}, n, step.def.Gang); room < n {
		plan.Assignments = plan.Assignments[:room]
	}
}
