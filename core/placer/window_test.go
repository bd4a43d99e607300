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

// Bytes of commands, answers and records on the placer's link, as measured on small VMs, and the
// time limit for an answer.
const (
	startWireBytes         = 600 // sent through another daemon, both directions
	stopWireBytes          = 400
	pollWireBytes          = 750
	adviceWireBytes        = 250
	advisedWorkerWireBytes = 30 // for each worker asked about, with its ticket
	batchWireBytes         = 400
	runWireBytes           = 70
	submitWireBytes        = 1400
	commandTimeout         = time.Second // time limit for the answer to a command
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

// limitLink limits the bandwidth of the placer's link, which delays everything that the placer
// sends, and makes workers refuse start commands with expired tickets. It returns the number
// of commands that were refused for that reason.
func (w *workload) limitLink(bytesPerSecond float64) (refused *int) {
	linkFreeAt, jobsRead := time.Duration(0), 0
	send := func(bytes int) time.Duration {
		linkFreeAt = max(linkFreeAt, w.now) + time.Duration(float64(bytes)/bytesPerSecond*float64(time.Second))
		return linkFreeAt - w.now
	}
	w.linkDelay = func(_ Command, bytes int) time.Duration {
		for ; jobsRead < w.jobs; jobsRead++ {
			send(submitWireBytes) // the job records that the placer has read since the last call
		}
		return send(bytes)
	}
	advice := w.advice
	w.advice = func(a *AdviseCommand) []cluster.Grant {
		grants := advice(a)
		valid := w.config.Queue(w.state.Jobs[a.Step.Job].Queue).Advice.Valid
		for i := range grants {
			grants[i].Ticket = strconv.FormatInt(int64(w.now+valid-w.answerDelay/2), 10)
		}
		return grants
	}
	refused = new(int)
	w.refuseTicket = func(s *cluster.Start) bool {
		validUntil, err := strconv.ParseInt(s.Ticket, 10, 64)
		require.NoError(w.t, err, "ticket %q", s.Ticket)
		if time.Duration(validUntil) < w.now {
			*refused++
			return true
		}
		return false
	}
	return refused
}

// Guards against a placer with a slow link that never recovers from a burst. Start commands queued
// on the link until their tickets had expired, and each was planned, advised and sent again. With a
// link of 2 Mbit/s, 3,096 starts were refused and 1,254 jobs never ran.
func TestPlacerWithASlowLinkRecoversFromABurst(t *testing.T) {
	w := newWorkload(t, 138, 16, largeLoad, 1)
	w.answerDelay = 60 * time.Millisecond
	refused := w.limitLink(600_000)
	w.generate(6*time.Second, 0.2)
	w.generate(4*time.Second, 0.8)
	t.Log("after the burst:", *refused, "refused,", len(w.placer.steps), "steps,", w)
	startsBefore := w.starts
	w.generate(10*time.Second, 0.2)
	t.Log("10 s later:", *refused, "refused,", len(w.placer.steps), "steps,", w)
	require.Greater(t, w.starts-startsBefore, 1500, "%v", w)
	w.generate(10*time.Second, 0.2)
	w.resetCounts()
	w.generate(8*time.Second, 0.2)
	w.advance(3 * time.Second)
	require.Less(t, *refused, 100, "%v", w)
	require.Less(t, len(w.placer.steps), 150, "%v", w)
	require.Greater(t, w.onTimeShare("check"), 0.6, "%v", w)
}

// Guards against a window that shrinks because some workers do not answer while the link is idle.
func TestWindowIgnoresAMinorityOfUnresponsiveWorkers(t *testing.T) {
	w := newStartWindow(0)
	for i := range 100 {
		latency := 70 * time.Millisecond
		if i%3 == 0 {
			latency = time.Second
		}
		sent := time.Duration(i) * 50 * time.Millisecond
		w.observe(sent, sent+latency, func() int { return 40 })
	}
	require.True(t, math.IsInf(w.limit, 1), "limit %v", w.limit)
}

// Guards against a second reduction of the window by answers to start commands that were sent
// before the first one: those commands waited in the queue that the first reduction is about to
// shorten.
func TestWindowIsReducedOncePerQueue(t *testing.T) {
	w := newStartWindow(0)
	observeAnswers := func(sent, at, latency time.Duration, n int) {
		for range n {
			w.observe(sent, at+latency, func() int { return 400 })
		}
	}
	observeAnswers(0, 0, 250*time.Millisecond, minWindowAnswers)
	observeAnswers(300*time.Millisecond, 300*time.Millisecond, time.Second, 200)
	require.Equal(t, 400*minWindowShare, w.limit)
	observeAnswers(400*time.Millisecond, 400*time.Millisecond, time.Second, 200)
	require.Equal(t, 400*minWindowShare, w.limit)
}

// Guards against a window that stays small when the link is idle again.
func TestWindowGrowsWhileItDelaysStarts(t *testing.T) {
	w := newStartWindow(0)
	w.limit, w.baseline = minWindowRuns, 70*time.Millisecond
	for i := range 400 {
		w.limiting = true
		sent := time.Duration(i) * 20 * time.Millisecond
		w.observe(sent, sent+80*time.Millisecond, func() int { return int(w.limit) })
	}
	require.Greater(t, w.limit, 1000.0)
}

// Guards against a start command that is sent with a ticket that expires in transit, while
// commands are known to take longer than usual.
func TestStartIsNotSentWhenItsTicketWouldExpireInTransit(t *testing.T) {
	c := readyCell(t, 1)
	p := c.placer
	r := &run{ticket: ticket{"t", c.now + 300*time.Millisecond}, vm: p.vms["w00"]}
	require.False(t, p.ticketExpired(r, c.now))
	require.Equal(t, c.now+300*time.Millisecond-ticketSendMargin, p.startCommand(r, "", c.now).Start.SendDeadline)
	p.startWindow.median, r.startsSent = time.Second, 0
	require.True(t, p.ticketExpired(r, c.now))
	require.Equal(t, c.now-200*time.Millisecond, p.startCommand(r, "", c.now).Start.SendDeadline)
	require.Equal(t, c.now+testOptions.Lease-500*time.Millisecond, p.startCommand(r, "", c.now).Start.SendDeadline, "the answer to a retry shows what became of the first command")
}
