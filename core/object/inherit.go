package object

import (
	"sort"
	"strings"
)

// inheritPolicyFields fills the fields that policies leave out from their parents.
// Only a parent reference links objects of the same kind, so no other reference can
// form a cycle.
func (l *loader) inheritPolicyFields(set *Set) {
	policies := map[string]*objectSource{}
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
		l.inheritFromParents(policies, state, policies[name], nil)
	}
	for _, name := range names {
		l.requirePolicyFields(policies[name])
	}
}

// These are the states of a policy in the depth-first search along parents. A policy
// that is reached again while it is onPath is part of a cycle.
const (
	unvisited = iota
	onPath
	visited
)

func (l *loader) inheritFromParents(policies map[string]*objectSource, state map[string]int, s *objectSource, path []string) {
	if state[s.name] == visited {
		return
	}
	path = append(path, s.name)
	if state[s.name] == onPath {
		l.reportCycle(s, path)
		return
	}
	state[s.name] = onPath
	if parent, found := policies[s.policy.Parent]; found {
		l.inheritFromParents(policies, state, parent, path)
		s.inheritFrom(parent)
	}
	state[s.name] = visited
}

// reportCycle reports the cycle that s closes at the end of the path.
func (l *loader) reportCycle(s *objectSource, path []string) {
	start := 0
	for path[start] != s.name {
		start++
	}
	l.addProblem(s, "spec.parent", RuleCyclicReference, "remove one parent of the cycle",
		"the parents form a cycle: %s", strings.Join(path[start:], " -> "))
}

// inheritFrom copies the fields that the policy leaves out from its parent and marks
// them as present, so that the children of the policy inherit them, too.
func (s *objectSource) inheritFrom(parent *objectSource) {
	own, inherited := s.policy, parent.policy
	copies := map[string]func(){
		"priority":      func() { own.Priority = inherited.Priority },
		"deadline":      func() { own.Deadline = inherited.Deadline },
		"durable":       func() { own.Durable = inherited.Durable },
		"min_share":     func() { own.MinShare = inherited.MinShare },
		"headroom":      func() { own.Headroom = inherited.Headroom },
		"can_preempt":   func() { own.CanPreempt = inherited.CanPreempt },
		"preemptible":   func() { own.Preemptible = inherited.Preemptible },
		"checkpoint":    func() { own.Checkpoint = inherited.Checkpoint },
		"spread_racks":  func() { own.SpreadRacks = inherited.SpreadRacks },
		"cross_region":  func() { own.CrossRegion = inherited.CrossRegion },
		"max_retries":   func() { own.MaxRetries = inherited.MaxRetries },
		"retry_backoff": func() { own.RetryBackoff = inherited.RetryBackoff },
	}
	for field, copyField := range copies {
		if parent.presentFields[field] && !s.presentFields[field] {
			copyField()
			s.presentFields[field] = true
		}
	}
}
