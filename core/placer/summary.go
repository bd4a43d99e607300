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
}

// QueueBacklog describes the waiting steps of one queue: those that have tasks to start.
type QueueBacklog struct {
	Steps       int
	LongestWait time.Duration // time since the first of them became ready
}

// Summarize returns the current counts.
func (p *Placer) Summarize(now time.Duration, wallMS int64) Summary {
	summary := Summary{Steps: len(p.steps), Workers: len(p.vms), Runs: map[chart.State]int{}, Waiting: map[string]QueueBacklog{}, Advisers: len(p.advisers.byName)}
	var waiting []int
	for _, step := range p.steps {
		if waiting = p.waitingTasks(step, waiting[:0]); len(waiting) == 0 {
			continue
		}
		counts := summary.Waiting[step.job.Queue]
		summary.Waiting[step.job.Queue] = QueueBacklog{counts.Steps + 1, max(counts.LongestWait, now-step.readyAt)}
		advised := step.queue == nil || step.queue.Advice == nil || len(step.grants) > 0
		switch {
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
	summary.Fast, summary.Slow = len(p.speeds.classes[0]), len(p.speeds.classes[2])
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
