package placer

import (
	"time"

	"briarproxy/core/cluster"
	"briarproxy/core/flow"
)

// Tick does what is due by time: it follows leases, stops, looks and plans.
func (p *Placer) Tick(now time.Duration, wallMS int64) []Command {
	commands := p.strays
	p.strays = nil
	p.wakeDue(now, wallMS+p.options.Early.Milliseconds()/2)
	scan := now-p.scannedAt >= scanGap
	if scan {
		p.scannedAt = now
		p.lapse(now)
		p.evacuate(now)
		commands = p.stops(commands, now)
	}
	commands = p.repeats(commands, now)
	if p.dirty && now-p.planAt >= p.passGap() {
		p.dirty, p.planAt = false, now
		commands = p.plan(commands, now, wallMS)
	}
	if scan {
		commands = p.looks(commands, now)
	}
	return commands
}

// lapse ends the runs of workers whose leases have surely ended.
func (p *Placer) lapse(now time.Duration) {
	for _, v := range p.vms {
		if len(v.runs) == 0 || now <= v.leaseEnd() {
			continue
		}
		n := 0
		for _, r := range v.runs {
			if r.ordered() {
				p.endRun(r, cluster.Lapsed, "", now)
				n++
			}
		}
		if n > 0 {
			p.note(Note{What: "lease ended", Worker: v.Life.Worker, Age: now - v.answered})
		}
	}
}

// stops orders workers to stop the runs that are not wanted any more.
func (p *Placer) stops(commands []Command, now time.Duration) []Command {
	for _, r := range p.runs {
		if r.wanted && r.state != stopping {
			continue
		}
		switch r.state {
		case ticketing:
			p.endRun(r, cluster.Void, "", now)
		case uncertain, running:
			r.step(stopOrder)
			commands = p.stop(commands, r, now)
		case stopping:
			if !r.stopping && (r.stopSent == 0 || now-r.stopSent > stopAgain) {
				commands = p.stop(commands, r, now)
			}
		}
	}
	return commands
}

func (p *Placer) stop(commands []Command, r *run, now time.Duration) []Command {
	if r.vm.Address == "" {
		return commands
	}
	r.stopSent, r.stopping = now, true
	p.note(Note{What: "stop sent", Job: r.Job, Task: r.TaskID, Run: r.Run, Worker: r.vm.Life.Worker, Version: p.token})
	return append(commands, Command{Stop: &StopCommand{Life: r.vm.Life, Address: r.vm.Address, Run: r.RunID, Token: p.token}})
}

// looks asks the workers that have runs, or ends to confirm, for their lists.
func (p *Placer) looks(commands []Command, now time.Duration) []Command {
	for _, v := range p.vms {
		if v.looking || now < v.lookAt || v.Address == "" || !p.wantsLook(v, now) {
			continue
		}
		hold := cluster.Hold{Token: p.token}
		if v.allSeen() {
			hold.Confirmed = v.confirmed
		}
		if len(v.runs) > 0 && v.known {
			hold.Wait = p.lookWait(v)
			if v.misses == 0 && now-v.answered < renewSilence {
				hold.LeaseUntil = v.clock(now) + p.leaseFor(v, now).Milliseconds()
				v.leaseUntil = max(v.leaseUntil, hold.LeaseUntil)
			}
		}
		v.looking, v.lookSentAt = true, now
		commands = append(commands, Command{Look: &LookCommand{Life: v.Life, Address: v.Address, Hold: hold}})
	}
	return commands
}

// wantsLook reports whether a look at the worker is of use now.
func (p *Placer) wantsLook(v *vm, now time.Duration) bool {
	switch {
	case !v.fenced || !v.known:
		return v.listed || len(v.runs) > 0
	case len(v.unsettled) > 0:
		return now-v.lookSentAt > time.Second // the worker would list the same ends again
	case len(v.runs) > 0:
		return true
	case v.confirmed > v.told:
		return true
	default:
		return v.listed && now-v.answered > idleLook
	}
}

// lookWait is how long a look may wait for an end: not at all if something is to be
// settled.
func (p *Placer) lookWait(v *vm) time.Duration {
	if v.misses > 0 {
		return 0
	}
	wait := lookWait
	if serving, filling, _ := p.company(v); serving > 0 && filling > 0 {
		wait = serveWatch
	}
	for _, r := range v.runs {
		if r.state == uncertain || r.state == stopping {
			return 0
		}
	}
	return wait
}

// Flush returns the batch to append next; ok is false if nothing is due. The caller
// appends one batch at a time and passes runs to Appended when it is acknowledged.
func (p *Placer) Flush(now time.Duration) (batch flow.Batch, runs []*run, ok bool) {
	n := len(p.out.Begins) + len(p.out.Ends)
	if len(p.out.Started) > 0 && now-p.sentAt >= startedGap {
		n++
	}
	if n == 0 && now-p.sentAt < beatGap || n > 0 && now-p.sentAt < batchGap {
		return flow.Batch{}, nil, false
	}
	batch, runs = p.out, p.outRuns
	batch.Epoch = p.epoch
	p.out, p.outRuns = flow.Batch{}, nil
	p.sentAt = now
	return batch, runs, true
}

// begin records the plan of a run that has its ticket.
func (p *Placer) begin(r *run) {
	p.out.Begins = append(p.out.Begins, flow.Begin{RunID: r.RunID, Life: r.vm.Life, Checkpoint: r.checkpoint})
	p.outRuns = append(p.outRuns, r)
}
