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

// Limits of orders.
const (
	orderTimeout       = 1000 * time.Millisecond // a few round trips between regions; the outcome is settled by a look
	lookTimeout        = 1000 * time.Millisecond // beyond the wait of the look
	adviceTimeout      = 2500 * time.Millisecond // beyond the service's own time: calls of one daemon are served in turn
	maxOpenOrders      = 256
	maxOpenLooks       = 2048 // one for each worker of a placer
	maxOpenAdviceCalls = 2048 // the placer bounds the calls of each daemon
)

// orderSender carries out the placer's commands in bounded pools.
type orderSender struct {
	engine  *engine
	starts  pond.Pool
	looks   pond.Pool
	advices pond.Pool
}

func newOrderSender(e *engine) *orderSender {
	return &orderSender{engine: e, starts: pond.NewPool(maxOpenOrders), looks: pond.NewPool(maxOpenLooks), advices: pond.NewPool(maxOpenAdviceCalls)}
}

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
			e.orders.look(ctx, e.placer, c.Poll)
		case c.Advise != nil:
			e.orders.advise(ctx, e.placer, c.Advise)
		}
	}
}

// ifStillPlacing runs a function with the placer that gave the command, if it still decides.
func (s *orderSender) ifStillPlacing(ctx context.Context, p *placer.Placer, f func(e *engine)) {
	s.engine.do(ctx, func(e *engine) {
		if e.placer == p {
			f(e)
		}
	})
}

func (s *orderSender) start(ctx context.Context, p *placer.Placer, c *placer.StartCommand) {
	courier := s.engine.state.Members[c.Relay].Address
	s.starts.Submit(func() {
		result, clock := s.sendStart(ctx, courier, c)
		s.ifStillPlacing(ctx, p, func(e *engine) {
			e.metrics.starts.WithLabelValues(string(result)).Inc()
			e.stopIfSuperseded(p.StartAnswered(c, result, clock, bootclock.Now()))
		})
	})
}

// sendStart sends an order to start, through another daemon if one is named. An order that
// waited here for too long is not sent at all.
func (s *orderSender) sendStart(ctx context.Context, courier string, c *placer.StartCommand) (cluster.StartResult, int64) {
	if bootclock.Now() > c.SendDeadline {
		return cluster.NotSent, 0
	}
	bounded, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if courier != "" {
		if result, clock, sent := s.startThroughPeer(bounded, courier, c); sent {
			return result, clock
		}
	}
	return s.engine.platform.Start(bounded, c.Life, c.Address, &c.Order)
}

// startThroughPeer has another daemon send an order to start. Sent is false if it certainly
// was not sent.
func (s *orderSender) startThroughPeer(ctx context.Context, courier string, c *placer.StartCommand) (result cluster.StartResult, clockMS int64, sent bool) {
	args := &StartArgs{Life: c.Life, Address: c.Address, Order: c.Order, Within: remoteTimeout(ctx, orderTimeout)}
	args.Order.Spec = ""
	reply := &StartReply{}
	if err := s.engine.peers.call(ctx, courier, startMethod, args, reply); err != nil {
		s.engine.log.Emit(evPeerUnreachable, "peer", c.Relay, "reason", err.Error(), "job", c.Order.Job)
		return cluster.NoAnswer, 0, true
	}
	return reply.Result, reply.ClockMS, !reply.Unsent
}

func (s *orderSender) stop(ctx context.Context, p *placer.Placer, c *placer.StopCommand) {
	s.starts.Submit(func() {
		bounded, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		result, clock := s.engine.platform.Stop(bounded, c.Life, c.Address, c.Run, c.Token)
		s.ifStillPlacing(ctx, p, func(e *engine) { e.stopIfSuperseded(p.StopAnswered(c, result, clock, bootclock.Now())) })
	})
}

func (s *orderSender) pace(ctx context.Context, p *placer.Placer, c *placer.PaceCommand) {
	s.starts.Submit(func() {
		bounded, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		result, clock := s.engine.platform.Pace(bounded, c.Life, c.Address, c.Run, c.Percent, c.Token)
		s.ifStillPlacing(ctx, p, func(e *engine) { e.stopIfSuperseded(p.PaceAnswered(c, result, clock, bootclock.Now())) })
	})
}

func (s *orderSender) look(ctx context.Context, p *placer.Placer, c *placer.PollCommand) {
	s.looks.Submit(func() {
		bounded, cancel := context.WithTimeout(ctx, c.Hold.Wait+lookTimeout)
		defer cancel()
		report, err := s.engine.platform.RenewLease(bounded, c.Life, c.Address, &c.Hold)
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

// stopIfSuperseded ends the placer when a worker names a newer one.
func (e *engine) stopIfSuperseded(yes bool) {
	if yes {
		e.stopPlacing("a worker knows a newer token")
	}
}

func (s *orderSender) advise(ctx context.Context, p *placer.Placer, c *placer.AdviseCommand) {
	member, self := s.engine.state.Members[c.Daemon], c.Daemon == s.engine.settings.Name
	s.advices.Submit(func() {
		began := bootclock.Now()
		grants, valid, err := s.requestAdvice(ctx, member.Address, self, c)
		took := bootclock.Now() - began
		s.ifStillPlacing(ctx, p, func(e *engine) {
			if err != nil {
				e.log.Emit(evPeerUnreachable, "peer", c.Daemon, "reason", err.Error(), "job", c.Step.Job)
			}
			p.AdviceAnswered(c, grants, valid, took, err != nil, bootclock.Now())
		})
	})
}

func (s *orderSender) requestAdvice(ctx context.Context, address string, self bool, c *placer.AdviseCommand) ([]cluster.Grant, time.Duration, error) {
	bounded, cancel := context.WithTimeout(ctx, adviceTimeout)
	defer cancel()
	if self {
		return s.engine.platform.Advise(bounded, c.Step, c.Workers)
	}
	return s.engine.peers.advise(bounded, address, c.Step, c.Workers)
}
