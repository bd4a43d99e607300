package rack

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"briarproxy/core/resource"
	"briarproxy/core/wire"
)

// A fixed seed gives the property tests the same verdict on every run.
func init() { _ = flag.Set("rapid.seed", "1") }

// borrowed is a loan as its borrower counts it.
type borrowed struct {
	wire.Loan
	ends time.Duration // from before the borrower asked
	busy int64         // requests that were started and whose end is not known
}

// sequence drives an owner, two borrowers and a worker at random.
type sequence struct {
	*harness
	t        *rapid.T
	loans    []*borrowed
	reserved []wire.Reservation
	next     int
	sizeOf   map[string]resource.Vector
}

func (s *sequence) id(prefix string) string {
	s.next++
	return fmt.Sprintf("%s/%d", prefix, s.next)
}

func (s *sequence) step() {
	steps := []string{
		"lend", "lend", "lend", "use", "use", "use", "return", "renew", "end", "reserve", "task", "task", "task", "task",
		"start", "release", "pass", "pass", "rare",
	}
	switch rapid.SampledFrom(steps).Draw(s.t, "step") {
	case "lend":
		asked := s.now
		borrower := rapid.SampledFrom([]string{"b", "c"}).Draw(s.t, "borrower")
		args := wire.BorrowArgs{Borrower: borrower, Want: rapid.Int64Range(1, 4).Draw(s.t, "want")}
		for _, l := range s.borrow(args).Loans {
			s.loans = append(s.loans, &borrowed{Loan: l, ends: asked + loanTTL})
		}
	case "use":
		s.use()
	case "return":
		s.giveBack()
	case "renew":
		s.renewLoans()
	case "end":
		s.end()
	case "reserve":
		size := resource.Vector{MilliCores: 500 * rapid.Int64Range(1, 6).Draw(s.t, "cores"), MemoryMiB: 512, Slots: rapid.Int64Range(0, 1).Draw(s.t, "slots")}
		s.takeRoom(size)
	case "task":
		if s.takeRoom(resource.Vector{MilliCores: 1000, MemoryMiB: 512}) {
			r := s.reserved[len(s.reserved)-1]
			s.start(r, s.sizeOf[r.TaskID])
		}
	case "start":
		if n := len(s.reserved); n > 0 {
			i := rapid.IntRange(0, n-1).Draw(s.t, "reservation")
			s.start(s.reserved[i], s.sizeOf[s.reserved[i].TaskID])
		}
	case "release":
		if n := len(s.reserved); n > 0 {
			releaseCall{ids: []int64{s.reserved[n-1].ID}, reply: make(chan bool, 1)}.handle(s.Owner)
		}
	case "pass":
		s.pass(time.Duration(rapid.IntRange(1, 2000).Draw(s.t, "ms"))*time.Millisecond, 200*time.Millisecond)
	case "rare":
		s.rareStep()
	}
}

func (s *sequence) rareStep() {
	switch rapid.SampledFrom([]string{"silent", "restart", "long"}).Draw(s.t, "rare step") {
	case "silent":
		s.worker.silent = !s.worker.silent
	case "restart":
		s.worker.restart()
	case "long":
		s.pass(30*time.Second, time.Second)
	}
}

// takeRoom reserves room for a new task.
func (s *sequence) takeRoom(size resource.Vector) bool {
	reservations := s.reserve(s.id("j"), size)
	for _, r := range reservations {
		s.reserved = append(s.reserved, r)
		s.sizeOf[r.TaskID] = size
	}
	return len(reservations) > 0
}

// use starts a request on every free slot of the loans that are still valid.
func (s *sequence) use() {
	for _, l := range s.loans {
		for s.now < l.ends && l.busy < l.Slots && l.Incarnation == s.worker.incarnation && l.Epoch >= s.worker.epoch {
			l.busy++
			lease := time.Duration(rapid.Int64Range(1, 60).Draw(s.t, "lease")) * time.Second
			s.worker.add(wire.Attempt{
				ID: s.id("r"), Epoch: l.Epoch, Kind: wire.KindRequest, Loan: l.ID, Resources: resource.Vector{Slots: 1},
			}, lease)
		}
	}
}

// giveBack returns the slots of a loan that no request uses.
func (s *sequence) giveBack() {
	for _, l := range s.loans {
		if idle := l.Slots - l.busy; idle > 0 {
			l.Slots -= idle
			s.borrow(wire.BorrowArgs{Borrower: "b", Return: []wire.SlotReturn{{LoanID: l.ID, Slots: idle}}})
			s.borrow(wire.BorrowArgs{Borrower: "c", Return: []wire.SlotReturn{{LoanID: l.ID, Slots: idle}}})
		}
	}
}

func (s *sequence) renewLoans() {
	for _, l := range s.loans {
		asked := s.now
		for _, borrower := range []string{"b", "c"} {
			reply := s.borrow(wire.BorrowArgs{Borrower: borrower, Renew: []int64{l.ID}})
			if len(reply.Renewed) > 0 && asked < l.ends {
				l.ends = asked + loanTTL
			}
		}
	}
}

// end lets a running attempt end by itself.
func (s *sequence) end() {
	for _, id := range slices.Sorted(maps.Keys(s.worker.attempts)) {
		a := s.worker.attempts[id]
		if a.State != wire.RunRunning || rapid.Bool().Draw(s.t, "goes on") {
			continue
		}
		a.State = wire.RunFinished
		if a.Kind == wire.KindRequest {
			delete(s.worker.attempts, id)
		}
		for _, l := range s.loans {
			if l.ID == a.Loan && a.Kind == wire.KindRequest {
				l.busy--
			}
		}
	}
}

// Guards against a worker that is given more than it holds (invariant 1) under any
// sequence of loans, reservations, starts, ends, silence, restarts and time. The
// naive count is what really runs on the worker.
func TestCapacityIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := &sequence{harness: newHarness(t, vmSize), t: rt, sizeOf: map[string]resource.Vector{}}
		s.pass(time.Second, tickInterval)
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			s.step()
			used := s.worker.used()
			require.True(rt, used.Fits(vmSize), "%v runs on a VM of %v", used, vmSize)
		}
	})
}
