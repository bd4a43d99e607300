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
	orderTimeout  = 1000 * time.Millisecond // a few round trips between regions; the outcome is settled by a look
	lookTimeout   = 1000 * time.Millisecond // beyond the wait of the look
	adviceTimeout = 2500 * time.Millisecond // beyond the service's own time: calls of one daemon are served in turn
	ordersOpen    = 256
	looksOpen     = 2048 // one for each worker of a placer
	advicesOpen   = 2048 // the placer bounds the calls of each daemon
)

// orders carries out the placer's commands in bounded pools.
type orders struct {
	engine  *engine
	starts  pond.Pool
	looks   pond.Pool
	advices pond.Pool
}

func newOrders(e *engine) *orders {
	return &orders{engine: e, starts: pond.NewPool(ordersOpen), looks: pond.NewPool(looksOpen), advices: pond.NewPool(advicesOpen)}
}

func (e *engine) carryOut(ctx context.Context, commands []placer.Command) {
	for i := range commands {
		c := &commands[i]
		switch {
		case c.Start != nil:
			e.orders.start(ctx, e.placer, c.Start)
		case c.Stop != nil:
			e.orders.stop(ctx, e.placer, c.Stop)
		case c.Pace != nil:
			e.orders.pace(ctx, e.placer, c.Pace)
		case c.Look != nil:
			e.orders.look(ctx, e.placer, c.Look)
		case c.Advise != nil:
			e.orders.advise(ctx, e.placer, c.Advise)
		}
	}
}

// back runs a function with the placer that gave the command, if it still decides.
func (o *orders) back(ctx context.Context, p *placer.Placer, f func(e *engine)) {
	o.engine.do(ctx, func(e *engine) {
		if e.placer == p {
			f(e)
		}
	})
}

func (o *orders) start(ctx context.Context, p *placer.Placer, c *placer.StartCommand) {
	courier := o.engine.state.Members[c.Courier].Address
	o.starts.Submit(func() {
		result, clock := o.sendStart(ctx, courier, c)
		o.back(ctx, p, func(e *engine) {
			e.counts.starts.WithLabelValues(string(result)).Inc()
			e.superseded(p.Answered(c, result, clock, bootclock.Now()))
		})
	})
}

// sendStart sends an order to start, through another daemon if one is named. An order that
// waited here for too long is not sent at all.
func (o *orders) sendStart(ctx context.Context, courier string, c *placer.StartCommand) (cluster.StartResult, int64) {
	if bootclock.Now() > c.SendBy {
		return cluster.NotSent, 0
	}
	bounded, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if courier != "" {
		if result, clock, sent := o.startThrough(bounded, courier, c); sent {
			return result, clock
		}
	}
	return o.engine.platform.Start(bounded, c.Life, c.Address, &c.Order)
}

// startThrough has another daemon send an order to start. Sent is false if it certainly
// was not sent.
func (o *orders) startThrough(ctx context.Context, courier string, c *placer.StartCommand) (result cluster.StartResult, clockMS int64, sent bool) {
	args := &StartArgs{Life: c.Life, Address: c.Address, Order: c.Order, Within: within(ctx, orderTimeout)}
	args.Order.Spec = ""
	reply := &StartReply{}
	if err := o.engine.peers.call(ctx, courier, startMethod, args, reply); err != nil {
		o.engine.log.Emit(evPeerLost, "peer", c.Courier, "reason", err.Error(), "job", c.Order.Job)
		return cluster.NoAnswer, 0, true
	}
	return reply.Result, reply.ClockMS, !reply.Unsent
}

func (o *orders) stop(ctx context.Context, p *placer.Placer, c *placer.StopCommand) {
	o.starts.Submit(func() {
		bounded, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		result, clock := o.engine.platform.Stop(bounded, c.Life, c.Address, c.Run, c.Token)
		o.back(ctx, p, func(e *engine) { e.superseded(p.StopAnswered(c, result, clock, bootclock.Now())) })
	})
}

func (o *orders) pace(ctx context.Context, p *placer.Placer, c *placer.PaceCommand) {
	o.starts.Submit(func() {
		bounded, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		result, clock := o.engine.platform.Pace(bounded, c.Life, c.Address, c.Run, c.Percent, c.Token)
		o.back(ctx, p, func(e *engine) { e.superseded(p.Paced(c, result, clock, bootclock.Now())) })
	})
}

func (o *orders) look(ctx context.Context, p *placer.Placer, c *placer.LookCommand) {
	o.looks.Submit(func() {
		bounded, cancel := context.WithTimeout(ctx, c.Hold.Wait+lookTimeout)
		defer cancel()
		report, err := o.engine.platform.Look(bounded, c.Life, c.Address, &c.Hold)
		o.back(ctx, p, func(e *engine) {
			if err != nil {
				p.LookFailed(c, bootclock.Now())
				e.superseded(fault.Is(err, fault.Conflict))
				return
			}
			p.Looked(c, report, bootclock.Now())
		})
	})
}

// superseded ends the placer when a worker names a newer one.
func (e *engine) superseded(yes bool) {
	if yes {
		e.endPlacer("a worker knows a newer token")
	}
}

func (o *orders) advise(ctx context.Context, p *placer.Placer, c *placer.AdviseCommand) {
	member, self := o.engine.state.Members[c.Daemon], c.Daemon == o.engine.settings.Name
	o.advices.Submit(func() {
		began := bootclock.Now()
		grants, valid, err := o.grants(ctx, member.Address, self, c)
		took := bootclock.Now() - began
		o.back(ctx, p, func(e *engine) {
			if err != nil {
				e.log.Emit(evPeerLost, "peer", c.Daemon, "reason", err.Error(), "job", c.Step.Job)
			}
			p.Granted(c, grants, valid, took, err != nil, bootclock.Now())
		})
	})
}

func (o *orders) grants(ctx context.Context, address string, self bool, c *placer.AdviseCommand) ([]cluster.Grant, time.Duration, error) {
	bounded, cancel := context.WithTimeout(ctx, adviceTimeout)
	defer cancel()
	if self {
		return o.engine.platform.Advise(bounded, c.Step, c.Workers)
	}
	return o.engine.peers.advise(bounded, address, c.Step, c.Workers)
}
