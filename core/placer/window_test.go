package placer

import (
	"math"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/cluster"
	"briarproxy/core/flow"
)

// What commands and their answers take of the placer's link, as counted on the smallest
// machines of dosui-sched-grown.
const (
	startWireBytes         = 600 // through another daemon, both ways
	stopWireBytes          = 400
	pollWireBytes          = 750
	adviceWireBytes        = 250
	advisedWorkerWireBytes = 30 // of one worker, with its ticket
	batchWireBytes         = 400
	runWireBytes           = 70
	submitWireBytes        = 1400
	orderTimeout           = time.Second // for the answer to an order
)

func (c Command) bytes() int {
	switch {
	case c.Start != nil:
		return startWireBytes
	case c.Advise != nil:
		return adviceWireBytes + advisedWorkerWireBytes*len(c.Advise.Workers)
	case c.Poll != nil:
		return pollWireBytes
	default:
		return stopWireBytes
	}
}

func batchBytes(b *flow.Batch) int { return batchWireBytes + runWireBytes*(len(b.Begins)+len(b.Ends)) }

// limitLink lets everything that the placer sends wait for a link of some bytes a second, and
// lets the workers check how old the tickets of orders are. It returns the number of orders
// that were refused for their tickets.
func (p *workload) limitLink(bytesPerS float64) (refused *int) {
	free, jobs := time.Duration(0), 0
	send := func(bytes int) time.Duration {
		free = max(free, p.now) + time.Duration(float64(bytes)/bytesPerS*float64(time.Second))
		return free - p.now
	}
	p.linkDelay = func(_ Command, bytes int) time.Duration {
		for ; jobs < p.jobs; jobs++ {
			send(submitWireBytes) // the records that the placer has read meanwhile
		}
		return send(bytes)
	}
	advice := p.advice
	p.advice = func(a *AdviseCommand) []cluster.Grant {
		grants := advice(a)
		valid := p.config.Queue(p.state.Jobs[a.Step.Job].Queue).Advice.Valid
		for i := range grants {
			grants[i].Ticket = strconv.FormatInt(int64(p.now+valid-p.answerDelay/2), 10)
		}
		return grants
	}
	refused = new(int)
	p.refuseTicket = func(s *cluster.Start) bool {
		until, err := strconv.ParseInt(s.Ticket, 10, 64)
		require.NoError(p.t, err, "ticket %q", s.Ticket)
		if time.Duration(until) < p.now {
			*refused++
			return true
		}
		return false
	}
	return refused
}

// Guards against a burst after which a placer with a thin link never recovers: orders waited on
// the link until their tickets had expired, and each was planned, advised and sent again
// (quiet-1 of dosui-sched-grown with machines of 2 Mbit/s: 3,096 starts refused, 1,254 jobs
// never run).
func TestPlacerWithASlowLinkRecoversFromABurst(t *testing.T) {
	p := newWorkload(t, 138, 16, largeLoad, 1)
	p.answerDelay = 60 * time.Millisecond
	refused := p.limitLink(600_000)
	p.generate(6*time.Second, 0.2)
	p.generate(4*time.Second, 0.8)
	t.Log("after the burst:", *refused, "refused,", len(p.placer.steps), "steps,", p)
	began := p.starts
	p.generate(10*time.Second, 0.2)
	t.Log("10 s later:", *refused, "refused,", len(p.placer.steps), "steps,", p)
	require.Greater(t, p.starts-began, 1500, "%v", p)
	p.generate(10*time.Second, 0.2)
	p.resetCounts()
	p.generate(8*time.Second, 0.2)
	p.advance(3 * time.Second)
	require.Less(t, *refused, 100, "%v", p)
	require.Less(t, len(p.placer.steps), 150, "%v", p)
	require.Greater(t, p.onTimeShare("check"), 0.6, "%v", p)
}

// Guards against a window that shrinks because a few workers are silent while the link is free.
func TestWindowIgnoresASilentMinority(t *testing.T) {
	w := newStartWindow(0)
	for i := range 100 {
		took := 70 * time.Millisecond
		if i%3 == 0 {
			took = time.Second
		}
		sent := time.Duration(i) * 50 * time.Millisecond
		w.observe(sent, sent+took, func() int { return 40 })
	}
	require.True(t, math.IsInf(w.limit, 1), "limit %v", w.limit)
}

// Guards against a second cut by answers to orders that were sent before the first one: they
// waited in the queue that the first cut is about to shorten.
func TestWindowIsCutOnceForOneQueue(t *testing.T) {
	w := newStartWindow(0)
	answers := func(sent, at, took time.Duration, n int) {
		for range n {
			w.observe(sent, at+took, func() int { return 400 })
		}
	}
	answers(0, 0, 250*time.Millisecond, minWindowAnswers)
	answers(300*time.Millisecond, 300*time.Millisecond, time.Second, 200)
	require.Equal(t, 400*minWindowShare, w.limit)
	answers(400*time.Millisecond, 400*time.Millisecond, time.Second, 200)
	require.Equal(t, 400*minWindowShare, w.limit)
}

// Guards against a window that stays small after the link is free again.
func TestWindowGrowsWhileItHoldsStartsBack(t *testing.T) {
	w := newStartWindow(0)
	w.limit, w.baseline = minWindowRuns, 70*time.Millisecond
	for i := range 400 {
		w.limiting = true
		sent := time.Duration(i) * 20 * time.Millisecond
		w.observe(sent, sent+80*time.Millisecond, func() int { return int(w.limit) })
	}
	require.Greater(t, w.limit, 1000.0)
}

// Guards against an order that is sent with a ticket which expires on the way, while orders are
// known to take longer than usual.
func TestOrderIsNotSentWhenItsTicketWouldExpireOnTheWay(t *testing.T) {
	c := readyCell(t, 1)
	p := c.placer
	r := &run{ticket: ticket{"t", c.now + 300*time.Millisecond}, vm: p.vms["w00"]}
	require.False(t, p.ticketExpired(r, c.now))
	require.Equal(t, c.now+300*time.Millisecond-ticketSendMargin, p.startCommand(r, "", c.now).Start.SendDeadline)
	p.startWindow.median, r.startsSent = time.Second, 0
	require.True(t, p.ticketExpired(r, c.now))
	require.Equal(t, c.now-200*time.Millisecond, p.startCommand(r, "", c.now).Start.SendDeadline)
	require.Equal(t, c.now+testOptions.Lease-500*time.Millisecond, p.startCommand(r, "", c.now).Start.SendDeadline, "a repeat tells what became of the first order")
}
