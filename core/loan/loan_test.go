package loan

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "20260302")
	_ = flag.Set("rapid.checks", "60")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.shrinktime", "2s")
}

// run is one start on a worker in the naive model, in true time.
type run struct {
	loan       *held
	begin, end time.Duration
}

// held is a loan as its borrower sees it.
type held struct {
	grant Grant
	until time.Duration // true time at which the borrower's own clock says it has ended
	busy  int64         // slots for which the borrower has no end of a start
}

type naive struct {
	random *rand.Rand
	ledger *Ledger
	timing Timing
	now    time.Duration // true time, which is the lender's clock
	runs   map[string][]*run
	loans  []*held
	reused int // grants on a worker that had lapsed slots
}

// drifted returns the true time that passes while another clock counts d.
func (n *naive) drifted(d time.Duration) time.Duration {
	return d + time.Duration(int64(d)*(n.random.Int64N(801)-400)/1_000_000)
}

func (n *naive) delay(most time.Duration) time.Duration {
	return time.Duration(n.random.Int64N(int64(most)))
}

func (n *naive) borrow(vms []string) {
	sent := n.now - n.delay(time.Second)
	for _, g := range n.ledger.Lend(Borrower{Name: "b"}, vms, 1+n.random.Int64N(6), n.now) {
		n.loans = append(n.loans, &held{grant: g, until: sent + n.drifted(n.timing.TTL)})
		if len(n.ledger.workers[g.VM].lapsed) > 0 {
			n.reused++
		}
	}
}

func (n *naive) renew(h *held) {
	sent := n.now - n.delay(time.Second)
	renewed, _ := n.ledger.Renew("b", []int64{h.grant.ID}, n.now)
	if len(renewed) == 1 && n.random.IntN(3) > 0 { // else the answer is lost
		h.until = max(h.until, sent+n.drifted(n.timing.TTL))
	}
}

func (n *naive) startRun(h *held) {
	if n.now >= h.until || h.busy >= h.grant.Slots {
		return
	}
	h.busy++
	begin := n.now + n.delay(n.timing.StartValidity)
	length := n.delay(n.timing.MaxRunLease)
	if n.random.IntN(2) == 0 {
		length = n.drifted(n.timing.MaxRunLease)
	}
	n.runs[h.grant.VM] = append(n.runs[h.grant.VM], &run{loan: h, begin: begin, end: begin + length})
}

func (n *naive) giveBack(h *held) {
	idle := h.grant.Slots - h.busy
	if n.now >= h.until || idle == 0 {
		return
	}
	h.grant.Slots -= idle
	n.ledger.Return("b", h.grant.ID, idle, n.now)
}

func (n *naive) finishRuns(vm string) (busy int64) {
	kept := n.runs[vm][:0]
	for _, r := range n.runs[vm] {
		if n.now >= r.end {
			r.loan.busy--
			continue
		}
		kept = append(kept, r)
		if n.now >= r.begin {
			busy++
		}
	}
	n.runs[vm] = kept
	return busy
}

// Guards against more starts on a worker than it has slots, under delayed and lost
// messages, clock drift, lapsed loans and workers that are removed and added again.
// The naive model counts what really runs.
func TestNeverOverCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		timing := DefaultTiming()
		n := &naive{random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2)), ledger: New(timing, 0), timing: timing, runs: map[string][]*run{}}
		vms := []string{"v1", "v2", "v3"}
		type report struct {
			vm    string
			busy  int64
			asked time.Duration
			at    time.Duration
		}
		var reports []report
		for n.now = time.Minute; n.now < 3*time.Minute; n.now += 100 * time.Millisecond {
			for _, vm := range vms {
				busy := n.finishRuns(vm)
				require.LessOrEqual(t, busy, int64(4), "busy slots of %s at %s", vm, n.now)
				switch n.random.IntN(200) {
				case 0:
					n.ledger.RemoveWorker(vm)
				case 1, 2, 3, 4, 5, 6, 7, 8:
					n.ledger.SetWorker(Worker{VM: vm, Slots: 4})
				case 9, 10, 11, 12, 13, 14, 15, 16:
					reports = append(reports, report{vm: vm, busy: busy, asked: n.now, at: n.now + n.delay(3*time.Second)})
				}
			}
			for i := 0; i < len(reports); i++ {
				if r := reports[i]; r.at <= n.now {
					n.ledger.Report(r.vm, r.busy, r.asked)
					reports[i] = reports[len(reports)-1]
					reports = reports[:len(reports)-1]
				}
			}
			if n.random.IntN(5) == 0 {
				n.borrow(vms)
			}
			for i, h := range n.loans {
				action := n.random.IntN(40)
				switch {
				case action == 0:
					n.giveBack(h)
				case action < 3 && i%2 == 0:
					n.renew(h)
				case action < 20:
					n.startRun(h)
				}
			}
		}
		require.Positive(t, n.reused, "no lapsed slot was ever lent again, so the test shows nothing")
	})
}

// Guards against lapsed slots that stay lost although a report shows them idle,
// and against their reuse after a report from before the lapse.
func TestLapsedSlotsWaitForReport(t *testing.T) {
	timing := DefaultTiming()
	l := New(timing, 0)
	l.SetWorker(Worker{VM: "v", Slots: 4})
	l.Lend(Borrower{Name: "b"}, []string{"v"}, 4, 0)
	lapse := timing.withDrift(timing.TTL)
	settled := lapse + timing.withDrift(timing.StartValidity)
	require.Zero(t, l.Free("v", settled+1))
	l.Report("v", 0, settled)
	require.Zero(t, l.Free("v", settled+1))
	l.Report("v", 3, settled+1)
	require.EqualValues(t, 1, l.Free("v", settled+2))
	require.EqualValues(t, 4, l.Free("v", settled+timing.withDrift(timing.MaxRunLease)))
	renewed, lapsed := l.Renew("b", []int64{1}, settled)
	require.Empty(t, renewed)
	require.Equal(t, []int64{1}, lapsed)
}

// Guards against loans that are packed on one worker or taken from far ones first.
func TestLendSpreadsNearAndEmptyFirst(t *testing.T) {
	l := New(DefaultTiming(), 0)
	l.SetWorker(Worker{VM: "far", Region: "r", DataCentre: "d2", Slots: 8})
	l.SetWorker(Worker{VM: "n1", Region: "r", DataCentre: "d1", Slots: 4})
	l.SetWorker(Worker{VM: "n2", Region: "r", DataCentre: "d1", Slots: 4})
	l.SetOwnUse("n2", 2)
	got := map[string]int64{}
	b := Borrower{Name: "b", Region: "r", DataCentre: "d1"}
	for _, g := range l.Lend(b, []string{"far", "n1", "n2", "n1"}, 4, 0) {
		got[g.VM] = g.Slots
	}
	require.Equal(t, map[string]int64{"n1": 3, "n2": 1}, got)
	require.Len(t, l.Lend(b, []string{"far", "n1", "n2"}, 100, 0), 3)
	require.Zero(t, l.FreeTotal(0))
}
