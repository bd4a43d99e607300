package router

import (
	"math"
	"time"

	"briarproxy/core/object"
)

// headroomRule keeps a share of the slots free for requests of a priority and above.
type headroomRule struct {
	priority int
	share    float64
}

// headroom caches the rules of one set of policies.
type headroom struct {
	set  *object.Set
	list []headroomRule
}

func (h *headroom) rules(set *object.Set) []headroomRule {
	if h.set == set {
		return h.list
	}
	h.set, h.list = set, nil
	for _, policy := range set.Policies {
		if policy.Headroom > 0 {
			h.list = append(h.list, headroomRule{policy.Priority, policy.Headroom})
		}
	}
	return h.list
}

// reserve is the number of slots that a class must leave free: the largest share
// that a higher priority keeps. One slot is always left to use, because a daemon may
// hold only a few slots of a pool.
func reserve(rules []headroomRule, priority int, total int64) int64 {
	share := 0.0
	for _, rule := range rules {
		if priority < rule.priority {
			share = max(share, rule.share)
		}
	}
	return min(int64(math.Ceil(share*float64(total))), total-1)
}

// capacity counts the free slots and all slots of loans that can be used.
func (p *poolState) capacity(now time.Duration) (free, total int64) {
	for _, l := range p.loans {
		if l.usable(now) && !l.Probe {
			free += max(0, l.free())
			total += l.Slots
		}
	}
	return free, total
}
