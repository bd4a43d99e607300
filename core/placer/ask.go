package placer

import (
	"slices"
	"time"

	"briarproxy/core/cluster"
)

// requestAdvice appends an advice call for a step: for new tickets on workers where capacity
// is already reserved for its runs, otherwise for workers that it has not asked about.
func (p *Placer) requestAdvice(commands []Command, step *pendingStep, placed bool, now time.Duration) []Command {
	if step.queue == nil || step.queue.Advice == nil {
		return commands
	}
	workers := step.ticketsNeeded
	step.ticketsNeeded = nil
	late := (step.rank.timeliness != onTime || step.rank.beyondRate) && len(workers) == 0 // calls for reserved capacity count as on time, as the capacity is idle meanwhile
	if len(workers) == 0 {
		if placed || step.adviceInFlight || now < step.nextAdviceAt || p.advisers.pick(adviceCallTime(step.queue.Advice, usualCallWorkers), late, now) == "" {
			return commands // the answer to another call triggers the next planning pass
		}
		workers = p.workersToAsk(step)
	}
	if len(workers) == 0 {
		return commands
	}
	slices.Sort(workers)
	workers = slices.Compact(workers)
	cost := adviceCallTime(step.queue.Advice, len(workers))
	daemon := p.advisers.pick(cost, late, now)
	if daemon == "" {
		p.releaseRunsWithoutTicket(step, now)
		return commands
	}
	step.adviceInFlight, step.adviceSentAt = true, now
	p.advisers.callSent(daemon, step.id, cost, now)
	return append(commands, Command{Advise: &AdviseCommand{Step: step.id, Workers: workers, Daemon: daemon}})
}

// releaseRunsWithoutTicket releases the capacity reserved for runs that have no ticket yet.
func (p *Placer) releaseRunsWithoutTicket(step *pendingStep, now time.Duration) {
	for i := 0; i < step.def.Count; i++ {
		if r := p.runs[step.taskID(i)]; r != nil && r.state == ticketing {
			p.endRun(r, cluster.NeverStarted, "", now)
		}
	}
}

// workersToAsk returns eligible workers that the step has not asked about. Workers with free
// capacity come first, as many as are expected to hold the tasks.
func (p *Placer) workersToAsk(step *pendingStep) []string {
	var fullWorkers []string
	limit := min(maxCallWorkers, step.queue.Advice.MaxVMs)
	workers := make([]string, 0, limit)
	expectedTasks, grantRate := 0.0, p.grantRate(step.job.Queue)
	ask := step.capacityAsk()
	for id := range p.askOrder(step) {
		v := p.vms[id]
		if v == nil || !v.inRegistry || v.Draining || !v.tokenSeen || v.Pool != step.job.Pool || step.denied[id] {
			continue
		}
		if _, granted := step.grants[id]; granted || !reservedResources(step.def).Fits(v.Capacity) || step.def.Label != "" && !v.HasLabel(step.def.Label) {
			continue
		}
		n := p.cell.FittingTasks(id, &ask)
		if n == 0 {
			fullWorkers = append(fullWorkers, id)
			continue
		}
		workers = append(workers, id)
		expectedTasks += grantRate * float64(n)
		if len(workers) >= limit || len(workers) >= minCallWorkers && expectedTasks >= requestedCapacityFactor*float64(step.def.Count) {
			return workers
		}
	}
	return append(workers, fullWorkers[:min(len(fullWorkers), limit-len(workers))]...)
}

// Size of an advice call.
const (
	usualCallWorkers        = 30   // assumed when the duration of a call is estimated before its workers are chosen
	minCallWorkers          = 12   // fewer would leave bin packing too little choice among the granted workers
	maxCallWorkers          = 64   // larger calls delay the step more than the additional choice is worth
	requestedCapacityFactor = 2.0  // multiple of the capacity that the tasks need: some of it is taken before the answer arrives
	initialGrantRate        = 0.5  // assumed share of granted workers before the first answer
	grantRateWeight         = 0.05 // weight of one answer in the moving average
	workerStride            = 7919 // a prime above any number of workers, so that consecutive jobs start far apart
)

// grantRate returns the estimated share of workers that advice grants for steps of a queue.
func (p *Placer) grantRate(queue string) float64 {
	if rate, known := p.grantRates[queue]; known {
		return rate
	}
	return initialGrantRate
}

// updateGrantRate updates the moving average of the share of granted workers.
func (p *Placer) updateGrantRate(queue string, granted, asked int) {
	rate := p.grantRate(queue)
	p.grantRates[queue] = max(grantRateWeight, rate+grantRateWeight*(float64(granted)/float64(asked)-rate))
}
