package placer

import (
	"time"

	"briarproxy/core/chart"
	"briarproxy/core/resource"
)

// Summary counts the steps, runs and workers of a placer at one point in time.
type Summary struct {
	Steps            int // ready and not complete
	Unadvised        int // waiting steps without any granted worker and without a request for advice in flight
	AdviceInFlight   int // waiting steps with a request for advice in flight
	AwaitingCapacity int // waiting steps that have advice, or need none, and lack free capacity
	Late             int // waiting steps that can no longer end within their objective
	Runs             map[chart.State]int
	Usable           int // workers that may receive tasks
	Workers          int
	Fast, Slow       int                     // workers in the registry whose speed differs from the usual one
	WaitingForPlace  int                     // steps with tasks that wait for a better place although another is free
	Free             resource.Vector         // of the usable workers
	Capacity         resource.Vector         // of the usable workers
	Advisers         int                     // daemons through which advice may be requested
	AdviceCalls      int                     // requests for advice in flight
	Waiting          map[string]QueueBacklog // by queue
	AwaitingMaximum  int                     // waiting steps whose workspace is at its maximum
	BeyondRate       int                     // waiting steps of jobs that were submitted beyond the rate of their workspace
	Workspaces       map[string]WorkspaceUse // by workspace; none if the configuration has none
}

// QueueBacklog describes the waiting steps of one queue: those that have tasks to start.
type QueueBacklog struct {
	Steps       int
	LongestWait time.Duration // time since the first of them became ready
}

// WorkspaceUse describes what one workspace runs and what it waits for.
type WorkspaceUse struct {
	Runs         int
	Used         resource.Vector
	Maximum      resource.Vector // an amount of 0 is no limit
	WaitingSteps int
	HeldSteps    int // waiting steps that its maximum holds
	BeyondRate   int // waiting steps of jobs that it has submitted beyond its rate
	LongestWait  time.Duration
}

// Summarize returns the current counts.
func (p *Placer) Summarize(now time.Duration, wallMS int64) Summary {
	summary := Summary{Steps: len(p.steps), Workers: len(p.vms), Runs: map[chart.State]int{}, Waiting: map[string]QueueBacklog{}, Workspaces: p.workspaceUses(), Advisers: len(p.advisers.byName)}
	var waiting []int
	for _, step := range p.steps {
		if waiting = p.waitingTasks(step, waiting[:0]); len(waiting) == 0 {
			continue
		}
		counts := summary.Waiting[step.job.Queue]
		summary.Waiting[step.job.Queue] = QueueBacklog{counts.Steps + 1, max(counts.LongestWait, now-step.readyAt)}
		advised := step.queue == nil || step.queue.Advice == nil || len(step.grants) > 0
		summary.countWaiting(step, now)
		if step.job.BeyondRate {
			summary.BeyondRate++
		}
		switch {
		case step.atMaximum:
			summary.AwaitingMaximum++
		case step.adviceInFlight:
			summary.AdviceInFlight++
		case !advised:
			summary.Unadvised++
		default:
			summary.AwaitingCapacity++
		}
		if step.waits {
			summary.WaitingForPlace++
		}
		if step.latestStartMS < wallMS {
			summary.Late++
		}
	}
	for _, r := range p.runs {
		summary.Runs[r.state]++
	}
	summary.Fast, summary.Slow = p.speeds.fast, len(p.speeds.slow)
	for id, v := range p.vms {
		if free, schedulable := p.cell.FreeCapacity(id); schedulable {
			summary.Usable++
			summary.Free = summary.Free.Add(free)
			summary.Capacity = summary.Capacity.Add(v.Capacity)
		}
	}
	for _, adviser := range p.advisers.byName {
		summary.AdviceCalls += adviser.callsInFlight
	}
	return summary
}

// workspaceUses returns the use of each workspace of the configuration.
func (p *Placer) workspaceUses() map[string]WorkspaceUse {
	uses := make(map[string]WorkspaceUse, len(p.config.Workspaces))
	for i := range p.config.Workspaces {
		w := p.workspaceOf(p.config.Workspaces[i].Name)
		uses[w.Name] = WorkspaceUse{Runs: w.Runs, Used: w.Used, Maximum: w.Maximum}
	}
	return uses
}

// countWaiting counts a waiting step for its workspace, if the configuration has that.
func (s *Summary) countWaiting(step *pendingStep, now time.Duration) {
	use, known := s.Workspaces[step.workspace.Name]
	if !known {
		return
	}
	use.WaitingSteps++
	use.LongestWait = max(use.LongestWait, now-step.readyAt)
	if step.atMaximum {
		use.HeldSteps++
	}
	if step.job.BeyondRate {
		use.BeyondRate++
	}
	s.Workspaces[step.workspace.Name] = use
}
