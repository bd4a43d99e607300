package router

import (
	"context"
	"time"
)

// PoolStats describes the request path for one pool.
type PoolStats struct {
	Pool      string         `json:"pool"`
	Queued    map[string]int `json:"queued"` // by class
	Slots     int64          `json:"slots"`  // borrowed
	Busy      int64          `json:"busy"`
	Unsettled int            `json:"unsettled"` // occupied by runs whose end is not known
	Lenders   int            `json:"lenders"`
	MeanRunMS int64          `json:"mean_run_ms"`
}

type statsMsg struct{ reply chan []PoolStats }

func (m statsMsg) apply(s *state) {
	var all []PoolStats
	for _, p := range s.pools {
		stats := PoolStats{Pool: p.name, Queued: map[string]int{}, Unsettled: len(p.held), Lenders: len(p.lenders), MeanRunMS: p.rate.MeanRunTime().Milliseconds()}
		for class := range p.cross {
			stats.Queued[class] = p.queue.ClassLen(class)
		}
		for _, l := range p.loans {
			stats.Slots += l.Slots
			stats.Busy += l.busy
		}
		all = append(all, stats)
	}
	m.reply <- all
}

// Stats returns the state of the queues and slots, nil after the router has ended.
func (r *Router) Stats() []PoolStats {
	m := statsMsg{make(chan []PoolStats, 1)}
	if !r.send(m) {
		return nil
	}
	select {
	case stats := <-m.reply:
		return stats
	case <-r.done:
		return nil
	}
}

// drainMsg refuses new and queued requests and returns idle loans.
type drainMsg struct{ busy chan int64 }

func (m drainMsg) apply(s *state) {
	s.draining = true
	s.refuseAll()
	now := s.now()
	var busy int64
	for _, p := range s.pools {
		busy += p.busySlots()
		for _, l := range p.loans {
			l.dropped = true
			l.idleSince = now - idleReturn
		}
		s.keepLoans(p, now)
		busy += int64(p.calling())
	}
	m.busy <- busy
}

func (p *poolState) calling() int {
	n := 0
	for _, l := range p.lenders {
		if l.calling {
			n++
		}
	}
	return n
}

const drainPoll = 50 * time.Millisecond

// Drain answers queued requests with Retry-After, lets runs finish and returns the
// loans. It ends when all is done or ctx ends; it returns false in the latter case.
func (r *Router) Drain(ctx context.Context) bool {
	for {
		m := drainMsg{make(chan int64, 1)}
		if !r.send(m) {
			return true
		}
		select {
		case busy := <-m.busy:
			if busy == 0 {
				return true
			}
		case <-r.done:
			return true
		}
		select {
		case <-time.After(drainPoll):
		case <-ctx.Done():
			return false
		}
	}
}
