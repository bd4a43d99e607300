package placer

import (
	"cmp"
	"slices"
	"time"

	"briarproxy/core/cluster"
)

// askAdvice asks for advice on workers that the step has not asked about, or for new
// tickets for workers on which room is kept.
func (p *Placer) askAdvice(commands []Command, w *stepWork, placed bool, now time.Duration) []Command {
	if w.queue == nil || w.queue.Advice == nil {
		return commands
	}
	workers := w.renew
	w.renew = nil
	if len(workers) == 0 {
		if placed || w.asking || now < w.askAfter || !p.advise.available(now) {
			return commands
		}
		workers = p.unasked(w)
	}
	if len(workers) == 0 {
		return commands
	}
	slices.Sort(workers)
	workers = slices.Compact(workers)
	cost := callTime(w.queue.Advice, len(workers))
	daemon := p.advise.pick(cost, now)
	if daemon == "" {
		p.dropTicketing(w, now)
		return commands // an answer to another call starts the next pass
	}
	w.asking, w.askedAt = true, now
	p.advise.asked(daemon, w.id, cost, now)
	return append(commands, Command{Advise: &AdviseCommand{Step: w.id, Workers: workers, Daemon: daemon}})
}

// dropTicketing gives back room that was kept for runs without tickets.
func (p *Placer) dropTicketing(w *stepWork, now time.Duration) {
	for i := 0; i < w.def.Count; i++ {
		if r := p.runs[w.task(i)]; r != nil && r.state == ticketing {
			p.endRun(r, cluster.Void, "", now)
		}
	}
}

// unasked returns workers that might run the step and that it has not asked about, the
// freest first.
func (p *Placer) unasked(w *stepWork) []string {
	type choice struct {
		id   string
		free int64
	}
	var choices []choice
	for id, v := range p.vms {
		if !v.listed || v.Draining || !v.fenced || v.Pool != w.job.Pool || w.denied[id] {
			continue
		}
		if _, granted := w.grants[id]; granted || !w.def.Size.Fits(v.Capacity) || w.def.Label != "" && !v.HasLabel(w.def.Label) {
			continue
		}
		free, _ := p.cell.Room(id)
		choices = append(choices, choice{id, free.MilliCores})
	}
	slices.SortFunc(choices, func(a, b choice) int { return cmp.Or(cmp.Compare(b.free, a.free), cmp.Compare(a.id, b.id)) })
	limit := min(firstLook, w.queue.Advice.MaxVMs)
	workers := make([]string, 0, min(limit, len(choices)))
	for i := 0; i < len(choices) && i < limit; i++ {
		workers = append(workers, choices[i].id)
	}
	return workers
}
