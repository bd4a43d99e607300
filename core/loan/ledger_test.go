package loan

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"briarproxy/core/chart"
)

// A fixed seed gives the property tests the same verdict on every run.
func init() { _ = flag.Set("rapid.seed", "1") }

const (
	ttl         = 3 * time.Second
	validity    = 2 * time.Second
	runLease    = 10 * time.Second
	drift       = 100 * time.Millisecond
	capacity    = 4
	modelWorker = "vm"
)

// run is a request that really runs on the worker.
type run struct {
	loan *borrowed
	ends time.Duration
}

// borrowed is a loan as its borrower counts it.
type borrowed struct {
	id    int64
	slots int64
	ends  time.Duration // on the true clock, at the latest that drift allows
	busy  int64
}

// model is the true state: time, the worker's runs and the borrowers' loans.
type model struct {
	now      time.Duration
	free     int64
	ledger   *Ledger
	loans    []*borrowed
	runs     []run
	reported map[int64]int64 // a report under way
	asked    time.Duration
}

func (m *model) endRuns() {
	kept := m.runs[:0]
	for _, r := range m.runs {
		if r.ends > m.now {
			kept = append(kept, r)
			continue
		}
		r.loan.busy--
	}
	m.runs = kept
}

// Guards against more requests on a worker than it has slots, when borrowers are
// slow, die, use a loan to its end, and answers and reports are late.
func TestSlotsAreNeverUsedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{free: capacity, ledger: NewLedger(0, Timing{Lapse: ttl + drift, Settle: runLease + validity + drift})}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			m.now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			m.endRuns()
			m.step(t)
			m.startAll(t)
			require.LessOrEqual(t, len(m.runs), capacity, "more runs than slots")
			require.GreaterOrEqual(t, m.free, int64(0))
			require.EqualValues(t, capacity, m.free+m.ledger.Held(modelWorker), "slots got lost or doubled")
		}
	})
}

// startAll uses every borrowed slot, up to the last instant of its loan.
func (m *model) startAll(t *rapid.T) {
	for _, b := range m.loans {
		for m.now < b.ends && b.busy < b.slots {
			b.busy++
			lasts := time.Duration(rapid.IntRange(1, int(runLease/time.Millisecond)).Draw(t, "run")) * time.Millisecond
			m.runs = append(m.runs, run{loan: b, ends: m.now + lasts})
		}
	}
}

func (m *model) step(t *rapid.T) {
	switch rapid.SampledFrom([]string{"lend", "lend", "return", "renew", "expire", "ask", "report"}).Draw(t, "step") {
	case "lend":
		asked := m.now - time.Duration(rapid.IntRange(0, 500).Draw(t, "delay"))*time.Millisecond
		if n := rapid.Int64Range(min(1, m.free), m.free).Draw(t, "slots"); n > 0 {
			granted := m.ledger.Grant(modelWorker, "p", "b", n, m.now)
			m.free -= n
			m.loans = append(m.loans, &borrowed{id: granted.ID, slots: n, ends: asked + ttl})
		}
	case "return":
		for _, b := range m.loans {
			if m.now >= b.ends || b.busy > 0 {
				continue
			}
			if freed, ok := m.ledger.Return(b.id, "b", b.slots); ok {
				m.free += freed.Slots
			}
			b.slots = 0
		}
	case "renew":
		for _, b := range m.loans {
			asked := m.now
			if m.now < b.ends && m.ledger.Renew(b.id, "b", m.now) && rapid.Bool().Draw(t, "answer arrives") {
				b.ends = asked + ttl
			}
		}
	case "expire":
		for _, f := range m.ledger.Expire(m.now) {
			m.free += f.Slots
		}
	case "ask":
		m.asked = m.now
		m.reported = map[int64]int64{}
		for _, r := range m.runs {
			m.reported[r.loan.id]++
		}
	case "report":
		if m.reported != nil {
			m.free += m.ledger.Settle(modelWorker, m.reported, m.asked)
			m.reported = nil
		}
	}
}

// Guards against a loan that another daemon renews or returns.
func TestOnlyTheBorrowerRenewsAndReturns(t *testing.T) {
	l := NewLedger(0, Timing{Lapse: time.Second, Settle: time.Second})
	granted := l.Grant("vm", "p", "a", 2, 0)
	require.False(t, l.Renew(granted.ID, "b", 0))
	_, ok := l.Return(granted.ID, "b", 2)
	require.False(t, ok)
	require.True(t, l.Renew(granted.ID, "a", 0))
}

// Guards against slots that are reused because of a report which the worker was
// asked for before the loan lapsed: a request may have started after it.
func TestReportAskedBeforeTheLapseSettlesNothing(t *testing.T) {
	l := NewLedger(0, Timing{Lapse: time.Second, Settle: time.Minute})
	granted := l.Grant("vm", "p", "a", 2, 0)
	require.Empty(t, l.Expire(granted.LapsesAt))
	require.Zero(t, l.Settle("vm", nil, granted.LapsesAt-1))
	require.EqualValues(t, 2, l.Settle("vm", nil, granted.LapsesAt))
}

// Guards against a loan that is taken up again after it lapsed, when its renewal
// arrives before the ledger has expired it.
func TestLapsedLoanIsNotRenewed(t *testing.T) {
	l := NewLedger(0, Timing{Lapse: time.Second, Settle: time.Minute})
	granted := l.Grant("vm", "p", "a", 2, 0)
	require.False(t, l.Renew(granted.ID, "a", granted.LapsesAt))
	_, ok := l.Return(granted.ID, "a", 2)
	require.False(t, ok, "a report settles the slots of a lapsed loan")
	require.Empty(t, l.LentTo("p"))
	require.EqualValues(t, 2, l.Held("vm"))
}

// Guards against events that the lease chart does not have, or that the code lacks.
func TestEventsAreThoseOfTheLeaseChart(t *testing.T) {
	require.Contains(t, leaseChart.States, stateLent)
	require.ElementsMatch(t, leaseChart.Events, []chart.Event{
		renewed, returned, returnedAll, lapse, settled, settledAll, settleTimePassed, vmGone,
	})
}
