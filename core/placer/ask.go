package placer

import (
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
	late := w.ranked.chance != onTime && len(workers) == 0 // room that is kept waits for no one
	if len(workers) == 0 {
		if placed || w.asking || now < w.askAfter || p.advise.pick(callTime(w.queue.Advice, usualAsk), late, now) == "" {
			return commands // an answer to another call starts the next pass
		}
		workers = p.unasked(w)
	}
	if len(workers) == 0 {
		return commands
	}
	slices.Sort(workers)
	workers = slices.Compact(workers)
	cost := callTime(w.queue.Advice, len(workers))
	daemon := p.advise.pick(cost, late, now)
	if daemon == "" {
		p.dropTicketing(w, now)
		return commands
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

// unasked returns workers that might run the step and that it has not asked about: those
// with room first, as many as are expected to hold its tasks. Steps begin at different
// workers, so that those that ask at the same time do not all wait for the freest ones.
func (p *Placer) unasked(w *stepWork) []string {
	var full []string
	limit := min(mostAsk, w.queue.Advice.MaxVMs)
	workers := make([]string, 0, limit)
	room, granted := 0.0, p.grantRate(w.job.Queue)
	begin := 0
	if n := len(p.order); n > 0 {
		begin = int(w.job.Offset*stride) % n
	}
	for i := range p.order {
		id := p.order[(begin+i)%len(p.order)]
		v := p.vms[id]
		if v == nil || !v.listed || v.Draining || !v.fenced || v.Pool != w.job.Pool || w.denied[id] {
			continue
		}
		if _, granted := w.grants[id]; granted || !size(w.def).Fits(v.Capacity) || w.def.Label != "" && !v.HasLabel(w.def.Label) {
			continue
		}
		free, _ := p.cell.Room(id)
		n := free.Times(size(w.def))
		if n == 0 {
			full = append(full, id)
			continue
		}
		workers = append(workers, id)
		room += granted * float64(n)
		if len(workers) >= limit || len(workers) >= fewestAsk && room >= askedRoom*float64(w.def.Count) {
			return workers
		}
	}
	return append(workers, full[:min(len(full), limit-len(workers))]...)
}

// Sizes of a call for advice.
const (
	usualAsk    = 30   // workers, for the length of a usual call
	fewestAsk   = 12   // the answer is also the choice for packing
	mostAsk     = 64   // longer calls delay the step more than the choice is worth
	askedRoom   = 2.0  // times the room that the tasks need: some of it is taken before the answer
	firstGrants = 0.5  // share of workers that is granted, until answers tell
	grantWeight = 0.05 // of one answer
	stride      = 7919 // a prime above any number of workers: neighbouring jobs begin far apart
)

// grantRate returns the share of workers that advice grants for the steps of a queue.
func (p *Placer) grantRate(queue string) float64 {
	if rate, known := p.granted[queue]; known {
		return rate
	}
	return firstGrants
}

// learnGrants takes the outcome of a call into the share of workers that is granted.
func (p *Placer) learnGrants(queue string, granted, asked int) {
	rate := p.grantRate(queue)
	p.granted[queue] = max(grantWeight, rate+grantWeight*(float64(granted)/float64(asked)-rate))
}
