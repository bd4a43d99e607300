package admission

import (
	"sort"
	"time"

	"briarproxy/core/resource"
	"briarproxy/core/wire"
)

// Timing and spare amount of a holder's quota requests.
const (
	unusedQuotaReturnDelay = 2 * time.Second // unused quota is returned after this time
	minQuotaRetryDelay     = 100 * time.Millisecond
	maxQuotaRetryDelay     = 2 * time.Second
	quotaSpareDivisor      = 4 // one spare unit is requested per this many units in use or waited for
)

// QuotaHolder keeps a daemon's portions of team quotas and decides when to ask the
// owners for more, to renew a portion or to return a part of it. A portion of a team's
// quota is first requested when work of that team waits for it.
type QuotaHolder struct {
	teams map[string]*heldQuota
}

type heldQuota struct {
	portion          Portion
	ttl              time.Duration
	expiresAt        time.Duration
	share            resource.Vector // most that this holder should keep; a zero kind is unlimited
	callPending      bool
	lastCallAnswered bool
	nextCallAt       time.Duration   // no call is made before this time
	unmetCalls       int             // consecutive calls that failed or granted too little
	excessSince      time.Duration   // time since which more is held than wanted, 0 if it is not
	waiting          resource.Vector // amount that waits for quota
}

// NewQuotaHolder returns a holder without portions.
func NewQuotaHolder() *QuotaHolder { return &QuotaHolder{teams: map[string]*heldQuota{}} }

func (h *QuotaHolder) team(name string) *heldQuota {
	t := h.teams[name]
	if t == nil {
		t = &heldQuota{}
		h.teams[name] = t
	}
	return t
}

// TryAcquire charges an amount to the team's portion and returns false if the portion
// does not cover it. Resource kinds with a zero quota must be zero in the amount.
func (h *QuotaHolder) TryAcquire(now time.Duration, team string, amount resource.Vector) bool {
	return h.team(team).portion.TryAcquire(now, amount)
}

// Release gives back an acquired amount.
func (h *QuotaHolder) Release(team string, amount resource.Vector) {
	h.team(team).portion.Release(amount)
}

// Amount returns what the team's portion covers at now.
func (h *QuotaHolder) Amount(now time.Duration, team string) resource.Vector {
	return h.team(team).portion.Amount(now)
}

// LastCallAnswered reports whether the owner of the team's quota answered the last call.
func (h *QuotaHolder) LastCallAnswered(team string) bool { return h.team(team).lastCallAnswered }

// SetWaiting sets the amount that could not be acquired and waits for quota.
func (h *QuotaHolder) SetWaiting(team string, amount resource.Vector) { h.team(team).waiting = amount }

// TakeDueRequests returns the requests to send now, by key shard and sorted by team, and
// marks their calls as pending. A portion that a request lowers is lowered at once, so
// that the returned amount is out of use before the owner receives the request.
func (h *QuotaHolder) TakeDueRequests(now time.Duration) map[int][]wire.QuotaRequest {
	due := map[int][]wire.QuotaRequest{}
	for name, t := range h.teams {
		want := t.want(now)
		t.updateExcess(now, want)
		if !t.due(now, want) {
			if t.removable(now) {
				delete(h.teams, name)
			}
			continue
		}
		t.portion.Shrink(want)
		t.callPending = true
		request := wire.QuotaRequest{Team: name, Want: want, Held: t.portion.Amount(now), Used: t.portion.Used()}
		shard := wire.TeamShard(name)
		due[shard] = append(due[shard], request)
	}
	for shard, requests := range due {
		sort.Slice(requests, func(i, j int) bool { return requests[i].Team < requests[j].Team })
		for _, deferred := range requests[min(len(requests), wire.MaxQuotaRequests):] {
			h.team(deferred.Team).callPending = false
		}
		due[shard] = requests[:min(len(requests), wire.MaxQuotaRequests)]
	}
	return due
}

// want returns the amount in use and waited for plus some spare. While other holders
// get less than they want, it is limited to the share, but not below the use.
func (t *heldQuota) want(now time.Duration) resource.Vector {
	base := t.portion.Used().Add(t.waiting)
	want := base.Add(resource.Vector{
		MilliCores: base.MilliCores / quotaSpareDivisor, MemoryMiB: base.MemoryMiB / quotaSpareDivisor,
		Accelerators: base.Accelerators / quotaSpareDivisor, Slots: base.Slots / quotaSpareDivisor,
	})
	if t.share.IsZero() {
		return want
	}
	return want.Min(t.share).Max(t.portion.Used())
}

func (t *heldQuota) updateExcess(now time.Duration, want resource.Vector) {
	if t.portion.Amount(now).Fits(want) {
		t.excessSince = 0
	} else if t.excessSince == 0 {
		t.excessSince = now
	}
}

func (t *heldQuota) due(now time.Duration, want resource.Vector) bool {
	if t.callPending || now < t.nextCallAt {
		return false
	}
	amount := t.portion.Amount(now)
	switch {
	case !t.waiting.IsZero() && !want.Fits(amount):
		return true
	case t.excessSince > 0 && (now-t.excessSince >= unusedQuotaReturnDelay || !t.share.IsZero()):
		return true
	}
	return !want.IsZero() && t.expiresAt-now < t.ttl/2
}

func (t *heldQuota) removable(now time.Duration) bool {
	return !t.callPending && now >= t.expiresAt && t.waiting.IsZero() && t.portion.Used().IsZero()
}

// ApplyGrant applies the owner's reply to a request. until is the end of the portion on
// the holder's clock, counted from before the request was sent.
func (h *QuotaHolder) ApplyGrant(now, until time.Duration, p wire.QuotaPortion) {
	t := h.team(p.Team)
	t.callPending, t.lastCallAnswered = false, true
	t.portion.Set(p.Amount, until)
	t.ttl = time.Duration(p.TTLMS) * time.Millisecond
	t.expiresAt = until
	t.share = p.Share
	if t.portion.Used().Add(t.waiting).Fits(p.Amount) {
		t.unmetCalls, t.nextCallAt = 0, now
		return
	}
	t.backOff(now)
}

// CallFailed records that a call got no reply. The portion stays valid until it expires.
func (h *QuotaHolder) CallFailed(now time.Duration, team string) {
	t := h.team(team)
	t.callPending, t.lastCallAnswered = false, false
	t.backOff(now)
}

func (t *heldQuota) backOff(now time.Duration) {
	t.nextCallAt = now + min(maxQuotaRetryDelay, minQuotaRetryDelay<<min(t.unmetCalls, 5))
	t.unmetCalls++
}

// Used returns the amount acquired from the team's portion.
func (h *QuotaHolder) Used(team string) resource.Vector { return h.team(team).portion.Used() }

// SetUsed replaces the amount acquired from the team's portion by a recount.
func (h *QuotaHolder) SetUsed(team string, used resource.Vector) { h.team(team).portion.used = used }

// Teams returns the teams whose quota is held, used or waited for.
func (h *QuotaHolder) Teams() []string {
	names := make([]string, 0, len(h.teams))
	for name := range h.teams {
		names = append(names, name)
	}
	return names
}
