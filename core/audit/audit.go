package audit

import (
	"fmt"
	"math"
	"strings"
	"time"

	"briarproxy/core/cluster"
)

// Kind classifies a finding.
type Kind string

// Kinds of findings. Only the first one must not be published.
const (
	Error         Kind = "error"         // daemons refuse the configuration, or what depends on the entry fails
	Unreachable   Kind = "unreachable"   // the entry can never match, or nothing can use it
	Contradiction Kind = "contradiction" // two limits can't both be kept, or one makes the other useless
	Change        Kind = "change"        // differs from the version in force
)

// Finding is one result of a check.
type Finding struct {
	Kind  Kind   `json:"kind"`
	Field string `json:"field"`
	Text  string `json:"text"`
}

// findings collects results in the order of the checks.
type findings []Finding

func (f *findings) add(kind Kind, field, format string, args ...any) {
	*f = append(*f, Finding{kind, field, fmt.Sprintf(format, args...)})
}

// Check returns what is wrong with a configuration. It does not look at the version in force.
func Check(c *cluster.Configuration) []Finding {
	var f findings
	if c.Version <= 0 {
		f.add(Error, "version", "%d is not above 0", c.Version)
	}
	if err := c.CheckWorkspaces(); err != nil {
		f.add(Error, "workspaces", "%v", err)
	}
	f.checkPools(c)
	f.checkQueues(c)
	f.checkWorkspaces(c)
	f.checkLimits(&c.Limits)
	return f
}

func (f *findings) checkPools(c *cluster.Configuration) {
	named, used := map[string]bool{}, map[string]bool{}
	for i := range c.Queues {
		used[c.Queues[i].Pool] = true
	}
	for i, p := range c.Pools {
		field := fmt.Sprintf("pools[%d]", i)
		switch {
		case p.Name == "":
			f.add(Error, field+".name", "is missing")
		case named[p.Name]:
			f.add(Error, field+".name", "repeats %q", p.Name)
		case !used[p.Name] && !p.Standby:
			f.add(Unreachable, field, "no queue sends work to pool %q", p.Name)
		}
		named[p.Name] = true
	}
}

func (f *findings) checkQueues(c *cluster.Configuration) {
	pools := map[string]cluster.Pool{}
	for _, p := range c.Pools {
		pools[p.Name] = p
	}
	names, paths := map[string]bool{}, map[[2]string]string{}
	for i := range c.Queues {
		q, field := &c.Queues[i], fmt.Sprintf("queues[%d]", i)
		if q.Name == "" {
			f.add(Error, field+".name", "is missing")
		} else if names[q.Name] {
			f.add(Error, field+".name", "repeats %q", q.Name)
		}
		names[q.Name] = true
		if pool, known := pools[q.Pool]; !known {
			f.add(Error, field+".pool", "there is no pool %q", q.Pool)
		} else if pool.Standby {
			f.add(Unreachable, field+".pool", "the VMs of pool %q are powered off, so jobs of queue %q wait", q.Pool, q.Name)
		}
		path := [2]string{q.Host, q.PathPrefix}
		if first, taken := paths[path]; taken {
			f.add(Unreachable, field, "queue %q has the host and path prefix of queue %q, which is matched first", q.Name, first)
		} else {
			paths[path] = q.Name
		}
		f.checkMatch(q, field)
		f.checkTimes(q, field)
	}
}

// checkMatch finds hosts and paths that no request has.
func (f *findings) checkMatch(q *cluster.Queue, field string) {
	if q.Host == "" || strings.ContainsAny(q.Host, "/ ") {
		f.add(Unreachable, field+".host", "no request names the host %q", q.Host)
	} else if strings.Contains(q.Host, ":") {
		f.add(Unreachable, field+".host", "%q has a port, which is removed from a request's host before it is compared", q.Host)
	}
	if !strings.HasPrefix(q.PathPrefix, "/") || strings.ContainsAny(q.PathPrefix, "?# ") {
		f.add(Unreachable, field+".path_prefix", "no path begins with %q", q.PathPrefix)
	}
}

// checkTimes checks the times and counts of a queue.
func (f *findings) checkTimes(q *cluster.Queue, field string) {
	switch {
	case q.Priority < 0:
		f.add(Error, field+".priority", "%d is below 0, the highest priority", q.Priority)
	case q.MaxAttempts < 1:
		f.add(Error, field+".max_attempts", "%d is below 1", q.MaxAttempts)
	}
	for _, t := range []struct {
		name  string
		value time.Duration
	}{{"timeout", q.Timeout}, {"target", q.Target}} {
		if t.value < 0 {
			f.add(Error, field+"."+t.name, "%v is negative", t.value)
		}
	}
	if q.Slack < 0 || math.IsNaN(q.Slack) || math.IsInf(q.Slack, 0) {
		f.add(Error, field+".slack", "%v is not a finite factor of 0 or more", q.Slack)
	} else if q.Slack+q.Target.Seconds() <= 0 {
		f.add(Contradiction, field+".slack", "with a target of %v every job of queue %q is late when it arrives", q.Target, q.Name)
	} else if q.Slack < 1 && q.Target < time.Second {
		f.add(Contradiction, field+".slack", "%v leaves less than its run time to any job that runs for over %v", q.Slack, time.Duration(float64(q.Target)/(1-q.Slack)).Round(time.Millisecond))
	}
	a := q.Advice
	switch {
	case a == nil:
	case a.Decide < 0 || a.PerVM < 0:
		f.add(Error, field+".advice", "a duration is negative")
	case a.Valid <= 0:
		f.add(Contradiction, field+".advice.valid", "%v: a ticket has expired when it arrives, so nothing of queue %q starts", a.Valid, q.Name)
	case q.Target > 0 && q.Slack == 0 && a.Decide+a.PerVM >= q.Target:
		f.add(Contradiction, field+".advice", "a call about one worker takes %v, all of the target of %v", a.Decide+a.PerVM, q.Target)
	}
}

// checkWorkspaces finds workspaces and queues that no caller can use.
func (f *findings) checkWorkspaces(c *cluster.Configuration) {
	keys := 0
	for i := range c.Workspaces {
		w, field := &c.Workspaces[i], fmt.Sprintf("workspaces[%d]", i)
		keys += len(w.Keys)
		if len(w.Keys) == 0 {
			f.add(Unreachable, field+".keys", "workspace %q has no key, so no caller can act for it", w.Name)
		}
		if w.Weight == 0 && len(w.Keys) > 0 {
			f.add(Contradiction, field+".weight", "workspace %q may call, and is owed nothing while demand exceeds capacity", w.Name)
		}
	}
	if len(c.Workspaces) == 0 || keys > 0 {
		return
	}
	for i := range c.Queues {
		if !c.Queues[i].Public {
			f.add(Unreachable, fmt.Sprintf("queues[%d]", i), "queue %q needs a key, and no workspace has one", c.Queues[i].Name)
		}
	}
}

func (f *findings) checkLimits(l *cluster.Limits) {
	for _, n := range []struct {
		name  string
		value int64
	}{{"headers", int64(l.Headers)}, {"body", int64(l.Body)}, {"header_timeout", int64(l.HeaderTimeout)}, {"idle_timeout", int64(l.IdleTimeout)}} {
		if n.value < 0 {
			f.add(Error, "limits."+n.name, "is negative")
		}
	}
	if l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		f.add(Contradiction, "limits.header_timeout", "%v is longer than limits.idle_timeout, %v", l.HeaderTimeout, l.IdleTimeout)
	}
}
