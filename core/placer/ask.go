package placer

import (
	"slices"
	"time"

	"briarproxy/core/cluster"
)

// requestAdvice asks for advice on workers that the step has not asked about, or for new
// tickets for workers on which room is kept.
func (p *Placer) requestAdvice(commands []Command, w *pendingStep, placed bool, now time.Duration) []Command {
	if w.queue == nil || w.queue.Advice == nil {
		return commands
	}
	workers := w.ticketsNeeded
	w.ticketsNeeded = nil
	late := w.stepRank.timeliness != onTime && len(workers) == 0 // room that is kept waits for no one
	if len(workers) == 0 {
		if placed || w.adviceInFlight || now < w.nextAdviceAt || p.advisers.pick(adviceCallTime(w.queue.Advice, usualCallWorkers), late, now) == "" {
			return commands // an answer to another call starts the next pass
		}
		workers = p.workersToAsk(w)
	}
	if len(workers) == 0 {
		return commands
	}
	slices.Sort(workers)
	workers = slices.Compact(workers)
	cost := adviceCallTime(w.queue.Advice, len(workers))
	daemon := p.advisers.pick(cost, late, now)
	if daemon == "" {
		p.releaseUnticketed(w, now)
		return commands
	}
	w.adviceInFlight, w.adviceSentAt = true, now
	p.advisers.callSent(daemon, w.id, cost, now)
	return append(commands, Command{Advise: &AdviseCommand{Step: w.id, Workers: workers, Daemon: daemon}})
}

// releaseUnticketed gives back room that was kept for runs without tickets.
func (p *Placer) releaseUnticketed(w *pendingStep, now time.Duration) {
	for i := 0; i < w.def.Count; i++ {
		if r := p.runs[w.taskID(i)]; r != nil && r.state == ticketing {
			p.endRun(r, cluster.NeverStarted, "", now)
		}
	}
}

// workersToAsk returns workers that might run the step and that it has not asked about: those
// with room first, as many as are expected to hold its tasks. Steps begin at different
// workers, so that those that ask at the same time do not all wait for the freest ones.
func (p *Placer) workersToAsk(w *pendingStep) []string {
	var full []string
	limit := min(maxCallWorkers, w.queue.Advice.MaxVMs)
	workers := make([]string, 0, limit)
	room, granted := 0.0, p.grantRate(w.job.Queue)
	begin := 0
	if n := len(p.workerIDs); n > 0 {
		begin = int(w.job.Offset*workerStride) % n
	}
	for i := range p.workerIDs {
		id := p.workerIDs[(begin+i)%len(p.workerIDs)]
		v := p.vms[id]
		if v == nil || !v.listed || v.Draining || !v.tokenSeen || v.Pool != w.job.Pool || w.denied[id] {
			continue
		}
		if _, granted := w.grants[id]; granted || !occupiedRoom(w.def).Fits(v.Capacity) || w.def.Label != "" && !v.HasLabel(w.def.Label) {
			continue
		}
		free, _ := p.cell.FreeCapacity(id)
		n := free.CountFitting(occupiedRoom(w.def))
		if n == 0 {
			full = append(full, id)
			continue
		}
		workers = append(workers, id)
		room += granted * float64(n)
		if len(workers) >= limit || len(workers) >= minCallWorkers && room >= requestedRoomFactor*float64(w.def.Count) {
			return workers
		}
	}
	return append(workers, full[:min(len(full), limit-len(workers))]...)
}

// Sizes of a call for advice.
const (
	usualCallWorkers    = 30   // workers, for the length of a usual call
	minCallWorkers      = 12   // the answer is also the choice for packing
	maxCallWorkers      = 64   // longer calls delay the step more than the choice is worth
	requestedRoomFactor = 2.0  // times the room that the tasks need: some of it is taken before the answer
	initialGrantRate    = 0.5  // share of workers that is granted, until answers tell
	grantRateWeight     = 0.05 // of one answer
	workerStride        = 7919 // a prime above any number of workers: neighbouring jobs begin far apart
)

// grantRate returns the share of workers that advice grants for the steps of a queue.
func (p *Placer) grantRate(queue string) float64 {
	if rate, known := p.grantRates[queue]; known {
		return rate
	}
	return initialGrantRate
}

// updateGrantRate takes the outcome of a call into the share of workers that is granted.
func (p *Placer) updateGrantRate(queue string, granted, asked int) {
	rate := p.grantRate(queue)
	p.grantRates[queue] = max(grantRateWeight, rate+grantRateWeight*(float64(granted)/float64(asked)-rate))
}
