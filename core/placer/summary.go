package placer

import (
	"time"

	"briarproxy/core/chart"
	"briarproxy/core/resource"
)

// Summary counts what the placer holds at one instant.
type Summary struct {
	Steps          int // whose turn has come and that are not complete
	Unadvised      int // wait for the first advice
	AdviceInFlight int
	AwaitingRoom   int // have advice, and tasks that wait for room
	Late           int // waiting steps that can't end within their objective any more
	Runs           map[chart.State]int
	Usable         int // workers that may take work
	Workers        int
	Free           resource.Vector
	Capacity       resource.Vector
	Advisers       int
	AdviceCalls    int                     // for advice, under way
	Waiting        map[string]QueueWaiting // by queue
}

// QueueWaiting counts the steps of one queue that have tasks to start.
type QueueWaiting struct {
	Steps  int
	Oldest time.Duration // how long the first of them has waited
}

// Summarize counts what the placer holds.
func (p *Placer) Summarize(now time.Duration, wallMS int64) Summary {
	s := Summary{Steps: len(p.steps), Workers: len(p.vms), Runs: map[chart.State]int{}, Waiting: map[string]QueueWaiting{}, Advisers: len(p.advisers.byName)}
	var waiting []int
	for _, w := range p.steps {
		if waiting = p.waitingTasks(w, waiting[:0]); len(waiting) == 0 {
			continue
		}
		waits := s.Waiting[w.job.Queue]
		s.Waiting[w.job.Queue] = QueueWaiting{waits.Steps + 1, max(waits.Oldest, now-w.readyAt)}
		advised := w.queue == nil || w.queue.Advice == nil || len(w.grants) > 0
		switch {
		case w.adviceInFlight:
			s.AdviceInFlight++
		case !advised:
			s.Unadvised++
		default:
			s.AwaitingRoom++
		}
		if w.latestStartMS < wallMS {
			s.Late++
		}
	}
	for _, r := range p.runs {
		s.Runs[r.state]++
	}
	for id, v := range p.vms {
		if free, open := p.cell.FreeCapacity(id); open {
			s.Usable++
			s.Free = s.Free.Add(free)
			s.Capacity = s.Capacity.Add(v.Capacity)
		}
	}
	for _, d := range p.advisers.byName {
		s.AdviceCalls += d.callsInFlight
	}
	return s
}
