package placer

import (
	"time"

	"briarproxy/core/cluster"
)

// startRetryDelay is how long a start command may stay unanswered before it is sent a second time.
// It is several round trips between regions, and much less than the time after which the
// other members of a gang give up.
const startRetryDelay = 300 * time.Millisecond

// retryStarts sends unanswered start commands a second time. A worker ignores a command for a run
// that it has or had, so a retry starts nothing twice. Without a retry a lost command delays
// its task by a second, and a gang loses the work of all its members. The retry budget keeps
// retries from multiplying the commands while all answers are slow.
func (p *Placer) retryStarts(commands []Command, now time.Duration) []Command {
	handled := 0
	for _, r := range p.recentStarts {
		if now-r.startSentAt < startRetryDelay {
			break
		}
		handled++
		if p.options.Disabled.StartRetries || r.state != starting || !r.wanted || r.startsSent > 1 || p.runs[r.TaskID] != r || !p.retryBudget.TryRetry() {
			continue
		}
		p.addDecision(Decision{Kind: "start repeated", Job: r.Job, Task: r.TaskID, Run: r.Run, Worker: r.vm.Life.Worker, Age: now - r.startSentAt, Value: p.token})
		commands = append(commands, p.startCommand(r, "", now))
	}
	p.recentStarts = p.recentStarts[handled:]
	return commands
}

// startCommand returns a command to start the run, to be sent through the named daemon, or
// directly if relay is "".
func (p *Placer) startCommand(r *run, relay string, now time.Duration) Command {
	v := r.vm
	lease := v.clockLowerBoundMS(now) + p.options.Lease.Milliseconds()
	v.leaseUntilMS = max(v.leaseUntilMS, lease)
	deadline := p.sendDeadline(r, now)
	r.startsSent++
	r.startsInFlight++
	return Command{Start: &StartCommand{Life: v.Life, Address: v.Address, Relay: relay, SendDeadline: deadline, Order: cluster.Start{
		RunID: r.RunID, Spec: r.spec, Checkpoint: r.checkpoint, Ticket: r.ticket.text, LeaseUntil: lease, Token: p.token,
	}}}
}

// isConclusive reports whether the answer alone decides how the run continues. After a retry, a
// refusal of one copy of the command does not, because the worker may still execute the other.
func (r *run) isConclusive(result cluster.StartResult) bool {
	return result == cluster.Started || r.startsSent == 1
}
