package router

import (
	"net/http"
	"time"

	"briarproxy/core/object"
	"briarproxy/core/resource"
	"briarproxy/core/wire"
	"briarproxy/daemon/view"
)

// Request is a caller's request for a service.
type Request struct {
	ID             string // unique; made by the entry daemon, never by the caller
	Service        string
	Operation      string
	Class          string // "" for the operation's policy
	Team           string // "" for the service's team
	IdempotencyKey string
	Wait           time.Duration // time that the caller waits, 0 for the policy's deadline
	Body           []byte
}

// Plan is a request checked against one configuration version.
type Plan struct {
	Request
	Version int64
	Service *object.Service
	Op      *object.Operation
	Policy  *object.Policy
	Pool    *object.Pool
	Durable bool // also when the caller chose another class than the operation's
	Weight  float64

	SlotQuota int64         // of the team, 0 for none
	Deadline  time.Duration // boot clock
}

// Defaults for policies that leave a time out, and the longest time that a caller
// may ask to wait.
const (
	defaultDeadline = 30 * time.Second
	maxWait         = time.Hour
	maxQueued       = 2048 // entries per class
	notReadyRetry   = time.Second
)

// Check resolves the names in a request and its defaults; now is on the boot
// clock.
func Check(snapshot *view.Snapshot, request Request, now time.Duration) (*Plan, *wire.Problem) {
	if snapshot.ConfigVersion == 0 {
		return nil, busy("not-ready", notReadyRetry, "this daemon has not read the configuration yet")
	}
	set := snapshot.Set
	plan := &Plan{Request: request, Version: snapshot.ConfigVersion}
	plan.Service = set.Services[request.Service]
	if plan.Service == nil {
		return nil, notRun(http.StatusNotFound, "unknown-service", "check the service name in the URL", "service %q is not published", request.Service)
	}
	plan.Op = plan.Service.Operations[request.Operation]
	if plan.Op == nil {
		return nil, notRun(http.StatusNotFound, "unknown-operation", "set the "+wire.HeaderOperation+" header to an operation of the service", "service %q has no operation %q", request.Service, request.Operation)
	}
	if limit := plan.Service.MaxBodyBytes; limit > 0 && int64(len(request.Body)) > limit {
		return nil, notRun(http.StatusRequestEntityTooLarge, "body-too-large", "send a smaller body", "the body has %d bytes, the service accepts %d", len(request.Body), limit)
	}
	if plan.Class == "" {
		plan.Class = plan.Op.Policy
	}
	plan.Policy = set.Policies[plan.Class]
	if plan.Policy == nil {
		return nil, notRun(http.StatusBadRequest, "unknown-class", "set the "+wire.HeaderClass+" header to a published policy or leave it out", "policy %q is not published", plan.Class)
	}
	own := set.Policies[plan.Op.Policy]
	plan.Durable = plan.Policy.Durable || (own != nil && own.Durable)
	plan.Pool = set.Pools[plan.Service.Pool]
	if plan.Pool == nil {
		return nil, notRun(http.StatusInternalServerError, "unknown-pool", "tell the operator", "pool %q of the service is not published", plan.Service.Pool)
	}
	return plan, plan.checkTeam(set, now)
}

func (p *Plan) checkTeam(set *object.Set, now time.Duration) *wire.Problem {
	if p.Team == "" {
		p.Team = p.Service.Team
	}
	team := set.Teams[p.Team]
	if team == nil {
		return notRun(http.StatusBadRequest, "unknown-team", "set the "+wire.HeaderTeam+" header to a published team or leave it out", "team %q is not published", p.Team)
	}
	p.Weight = team.Weight
	p.SlotQuota = team.Quota.Slots
	wait := p.Wait
	if wait <= 0 {
		wait = p.Policy.Deadline
	}
	if wait <= 0 {
		wait = defaultDeadline
	}
	p.Deadline = now + min(wait, maxWait)
	return nil
}

// Query returns the query for a slot for the plan.
func (p *Plan) Query() Query {
	return Query{
		RequestID:   p.ID,
		Service:     p.Service.Name,
		Operation:   p.Operation,
		Pool:        p.Pool.Name,
		Class:       p.Class,
		Priority:    p.Policy.Priority,
		MinShare:    p.Policy.MinShare,
		Team:        p.Team,
		Weight:      p.Weight,
		SlotQuota:   p.SlotQuota,
		Deadline:    p.Deadline,
		CrossRegion: p.Policy.CrossRegion,
		Probe:       p.Op.Idempotent && p.Policy.MaxRetries > 0,
	}
}

// Start returns the start message for one attempt; Run fills in what depends on
// the slot.
func (p *Plan) Start(generation int64) wire.Start {
	return wire.Start{
		ID:         p.ID,
		Generation: generation,
		LeaseMS:    p.Op.MaxRunTime.Milliseconds(),
		Kind:       wire.KindRequest,
		Service:    p.Service.Name,
		Operation:  p.Operation,
		Resources:  resource.Vector{Slots: 1},
		Body:       p.Body,
	}
}
