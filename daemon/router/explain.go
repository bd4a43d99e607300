package router

import (
	"sync"
	"time"

	"briarproxy/core/wire"
)

// recentDecisions is the number of decisions kept for explain.
const recentDecisions = 1024

// decision is one routing decision.
type decision struct {
	at      time.Time
	id      string
	state   string
	detail  string
	refused []wire.Refused
}

// recent is a ring of decisions. It is safe for concurrent use.
type recent struct {
	mu   sync.Mutex
	ring []decision
	next int
}

func (r *recent) add(d decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ring) < recentDecisions {
		r.ring = append(r.ring, d)
		return
	}
	r.ring[r.next] = d
	r.next = (r.next + 1) % recentDecisions
}

// explain collects the decisions about a request, oldest first.
func (r *recent) explain(id string) (wire.Explanation, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	explanation := wire.Explanation{ID: id}
	for i := range r.ring {
		d := r.ring[(r.next+i)%len(r.ring)]
		if d.id != id {
			continue
		}
		explanation.State = d.state
		explanation.Summary = d.detail
		explanation.Refused = d.refused
		explanation.History = append(explanation.History, wire.HistoryRow{AtMS: d.at.UnixMilli(), Event: d.state, Detail: d.detail})
	}
	return explanation, len(explanation.History) > 0
}

// Explain returns the recent decisions about a request; ok is false when none is
// kept.
func (r *Router) Explain(id string) (explanation wire.Explanation, ok bool) {
	return r.recent.explain(id)
}
