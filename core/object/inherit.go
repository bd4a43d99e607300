package object

import (
	"sort"
	"strings"
)

// inherit fills the fields that policies leave out from their parents. Parents are
// the only references between objects of one kind, and so the only ones that can
// form a cycle.
func (l *loader) inherit(set *Set) {
	policies := map[string]*source{}
	for _, s := range l.sources {
		if s.kind == KindPolicy {
			policies[s.name] = s
		}
	}
	state := map[string]int{}
	names := make([]string, 0, len(policies))
	for name := range policies {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		l.inheritOne(policies, state, policies[name], nil)
	}
	for _, name := range names {
		l.requirePolicyFields(policies[name])
	}
}

// States of the depth-first walk over parents.
const (
	unvisited = iota
	onPath
	settled
)

func (l *loader) inheritOne(policies map[string]*source, state map[string]int, s *source, path []string) {
	if state[s.name] == settled {
		return
	}
	path = append(path, s.name)
	if state[s.name] == onPath {
		l.reportCycle(s, path)
		return
	}
	state[s.name] = onPath
	if parent, found := policies[s.policy.Parent]; found {
		l.inheritOne(policies, state, parent, path)
		s.fill(parent)
	}
	state[s.name] = settled
}

// reportCycle reports the cycle that ends the path.
func (l *loader) reportCycle(s *source, path []string) {
	start := 0
	for path[start] != s.name {
		start++
	}
	l.add(s, "spec.parent", RuleCycle, "remove one parent of the cycle",
		"the parents form a cycle: %s", strings.Join(path[start:], " -> "))
}

// fill copies the fields that the policy leaves out from its parent and marks
// them as set, so that its own children receive them too.
func (s *source) fill(parent *source) {
	own, from := s.policy, parent.policy
	copies := map[string]func(){
		"priority":      func() { own.Priority = from.Priority },
		"deadline":      func() { own.Deadline = from.Deadline },
		"durable":       func() { own.Durable = from.Durable },
		"min_share":     func() { own.MinShare = from.MinShare },
		"headroom":      func() { own.Headroom = from.Headroom },
		"can_preempt":   func() { own.CanPreempt = from.CanPreempt },
		"preemptible":   func() { own.Preemptible = from.Preemptible },
		"checkpoint":    func() { own.Checkpoint = from.Checkpoint },
		"spread_racks":  func() { own.SpreadRacks = from.SpreadRacks },
		"cross_region":  func() { own.CrossRegion = from.CrossRegion },
		"max_retries":   func() { own.MaxRetries = from.MaxRetries },
		"retry_backoff": func() { own.RetryBackoff = from.RetryBackoff },
	}
	for field, copyField := range copies {
		if parent.fields[field] && !s.fields[field] {
			copyField()
			s.fields[field] = true
		}
	}
}
