package placer

import (
	"time"

	"briarproxy/core/cluster"
)

// startRetryDelay is how long a start order may stay unanswered before it is sent a second time.
// It is several round trips between regions, and much less than the time after which the
// other members of a gang give up.
const startRetryDelay = 300 * time.Millisecond

// retryStarts sends unanswered start orders a second time. A worker ignores an order for a run
// that it has or had, so a retry starts nothing twice. Without a retry a lost order delays
// its task by a second, and a gang loses the work of all its members. The retry budget keeps
// retries from multiplying the orders while all answers are slow.
func (p *Placer) retryStarts(commands []Command, now time.Duration) []Command {
	handled := 0
	for _, r := range p.unansweredStarts {
		if now-r.orderedAt < startRetryDelay {
			break
		}
		handled++
		if p.options.Disabled.StartRetries || r.state != starting || !r.wanted || r.startsSent > 1 || p.runs[r.TaskID] != r || !p.retryBudget.TryRetry() {
			continue
		}
		p.addDecision(Decision{Kind: "start repeated", Job: r.Job, Task: r.TaskID, Run: r.Run, Worker: r.vm.Life.Worker, Age: now - r.orderedAt, Version: p.token})
		commands = append(commands, p.startCommand(r, "", now))
	}
	p.unansweredStarts = p.unansweredStarts[handled:]
	return commands
}

// startCommand returns an order to start a run, to be sent through the named daemon, or directly
// if relay is "".
func (p *Placer) startCommand(r *run, relay string, now time.Duration) Command {
	v := r.vm
	lease := v.clockLowerBound(now) + p.options.Lease.Milliseconds()
	v.leaseUntil = max(v.leaseUntil, lease)
	deadline := p.sendDeadline(r, now)
	r.startsSent++
	r.startsInFlight++
	return Command{Start: &StartCommand{Life: v.Life, Address: v.Address, Relay: relay, SendDeadline: deadline, Order: cluster.Start{
		RunID: r.RunID, Spec: r.spec, Checkpoint: r.checkpoint, Ticket: r.ticket.text, LeaseUntil: lease, Token: p.token,
	}}}
}

// decidedBy reports whether the answer shows what became of the run. A refusal of one copy of
// the order is not conclusive, because the worker may still execute another copy.
func (r *run) decidedBy(result cluster.StartResult) bool {
	return result == cluster.Started || r.startsSent == 1
}
