package cell

import (
	"context"
	"time"

	"github.com/alitto/pond/v2"

	"briarproxy/core/cluster"
	"briarproxy/core/fault"
	"briarproxy/core/placer"
	"briarproxy/daemon/bootclock"
)

// Timeouts and concurrency limits of the placer's commands.
const (
	orderTimeout       = 1000 * time.Millisecond // a few round trips between regions; if the outcome is unknown, a later poll of the worker shows it
	pollTimeout        = 1000 * time.Millisecond // in addition to the wait of the poll
	adviceTimeout      = 2500 * time.Millisecond // longer than the advice service needs for one call, because it serves calls of one daemon one after the other
	maxOpenOrders      = 256
	unlimitedOpenPolls = 2048 // without a limit of descriptors
	maxOpenAdviceCalls = 2048 // the placer bounds the calls of each daemon
)

// orderSender carries out the placer's commands on goroutine pools of limited size.
type orderSender struct {
	engine     *engine
	orderPool  pond.Pool
	pollPool   pond.Pool
	advicePool pond.Pool
}

func newOrderSender(e *engine) *orderSender {
	return &orderSender{engine: e, orderPool: pond.NewPool(maxOpenOrders), pollPool: pond.NewPool(e.settings.Limits.openPolls()), advicePool: pond.NewPool(maxOpenAdviceCalls)}
}

// execute hands the placer's commands to the orderSender.
func (e *engine) execute(ctx context.Context, commands []placer.Command) {
	for i := range commands {
		c := &commands[i]
		switch {
		case c.Start != nil:
			e.orders.start(ctx, e.placer, c.Start)
		case c.Stop != nil:
			e.orders.stop(ctx, e.placer, c.Stop)
		case c.Pace != nil:
			e.orders.pace(ctx, e.placer, c.Pace)
		case c.Poll != nil:
			e.orders.poll(ctx, e.placer, c.Poll)
		case c.Advise != nil:
			e.orders.advise(ctx, e.placer, c.Advise)
		}
	}
}

// ifStillPlacing runs f on the engine's goroutine if p, the placer that issued the command, is still
// the engine's placer.
func (s *orderSender) ifStillPlacing(ctx context.Context, p *placer.Placer, f func(e *engine)) {
	s.engine.do(ctx, func(e *engine) {
		if e.placer == p {
			f(e)
		}
	})
}

func (s *orderSender) start(ctx context.Context, p *placer.Placer, c *placer.StartCommand) {
	relayAddress := s.engine.state.Members[c.Relay].Address
	s.orderPool.Submit(func() {
		result, workerClockMS := s.sendStart(ctx, relayAddress, c)
		s.ifStillPlacing(ctx, p, func(e *engine) {
			e.metrics.starts.WithLabelValues(string(result)).Inc()
			e.stopIfSuperseded(p.StartAnswered(c, result, workerClockMS, bootclock.Now()))
		})
	})
}

// sendStart sends a start order to a worker, through the daemon at relayAddress unless that is
// empty. An order whose send deadline has passed while it was queued is not sent.
func (s *orderSender) sendStart(ctx context.Context, relayAddress string, c *placer.StartCommand) (cluster.StartResult, int64) {
	if bootclock.Now() > c.SendDeadline {
		return cluster.NotSent, 0
	}
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if relayAddress != "" {
		if result, workerClockMS, sent := s.startThroughPeer(callCtx, relayAddress, c); sent {
			return result, workerClockMS
		}
	}
	return s.engine.platform.Start(callCtx, c.Life, c.Address, &c.Order)
}

// startThroughPeer sends a start order through another daemon. Sent is false only if the order
// was certainly not sent.
func (s *orderSender) startThroughPeer(ctx context.Context, relayAddress string, c *placer.StartCommand) (result cluster.StartResult, workerClockMS int64, sent bool) {
	args := &StartArgs{Life: c.Life, Address: c.Address, Order: c.Order, Within: remoteTimeout(ctx, orderTimeout)}
	args.Order.Spec = ""
	reply := &StartReply{}
	if err := s.engine.peers.call(ctx, relayAddress, startMethod, args, reply); err != nil {
		s.engine.log.Emit(evPeerUnreachable, "peer", c.Relay, "reason", err.Error(), "job", c.Order.Job)
		return cluster.NoAnswer, 0, true
	}
	return reply.Result, reply.ClockMS, !reply.Unsent
}

func (s *orderSender) stop(ctx context.Context, p *placer.Placer, c *placer.StopCommand) {
	s.orderPool.Submit(func() {
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		result, workerClockMS := s.engine.platform.Stop(callCtx, c.Life, c.Address, c.Run, c.Token)
		s.ifStillPlacing(ctx, p, func(e *engine) { e.stopIfSuperseded(p.StopAnswered(c, result, workerClockMS, bootclock.Now())) })
	})
}

func (s *orderSender) pace(ctx context.Context, p *placer.Placer, c *placer.PaceCommand) {
	s.orderPool.Submit(func() {
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		result, workerClockMS := s.engine.platform.Pace(callCtx, c.Life, c.Address, c.Run, c.Percent, c.Token)
		s.ifStillPlacing(ctx, p, func(e *engine) { e.stopIfSuperseded(p.PaceAnswered(c, result, workerClockMS, bootclock.Now())) })
	})
}

func (s *orderSender) poll(ctx context.Context, p *placer.Placer, c *placer.PollCommand) {
	s.pollPool.Submit(func() {
		callCtx, cancel := context.WithTimeout(ctx, c.Renewal.Wait+pollTimeout)
		defer cancel()
		report, err := s.engine.platform.RenewLease(callCtx, c.Life, c.Address, &c.Renewal)
		s.ifStillPlacing(ctx, p, func(e *engine) {
			if err != nil {
				p.PollFailed(c, bootclock.Now())
				e.stopIfSuperseded(fault.Is(err, fault.Conflict))
				return
			}
			p.PollAnswered(c, report, bootclock.Now())
		})
	})
}

// stopIfSuperseded stops placing if a worker's answer showed that a newer placer exists.
func (e *engine) stopIfSuperseded(superseded bool) {
	if superseded {
		e.stopPlacing("a worker knows a newer fencing token")
	}
}

func (s *orderSender) advise(ctx context.Context, p *placer.Placer, c *placer.AdviseCommand) {
	member, isSelf := s.engine.state.Members[c.Daemon], c.Daemon == s.engine.settings.Name
	s.advicePool.Submit(func() {
		sentAt := bootclock.Now()
		grants, valid, err := s.requestAdvice(ctx, member.Address, isSelf, c)
		took := bootclock.Now() - sentAt
		s.ifStillPlacing(ctx, p, func(e *engine) {
			if err != nil {
				e.log.Emit(evPeerUnreachable, "peer", c.Daemon, "reason", err.Error(), "job", c.Step.Job)
			}
			p.AdviceAnswered(c, grants, valid, took, err != nil, bootclock.Now())
		})
	})
}

func (s *orderSender) requestAdvice(ctx context.Context, address string, isSelf bool, c *placer.AdviseCommand) ([]cluster.Grant, time.Duration, error) {
	callCtx, cancel := context.WithTimeout(ctx, adviceTimeout)
	defer cancel()
	if isSelf {
		return s.engine.platform.Advise(callCtx, c.Step, c.Workers)
	}
	return s.engine.peers.advise(callCtx, address, c.Step, c.Workers)
}
