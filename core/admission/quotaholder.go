package admission

import (
	"sort"
	"time"

	"briarproxy/core/resource"
	"briarproxy/core/wire"
)

// Times of a holder of portions.
const (
	quotaIdle     = 2 * time.Second // what is not used for this long goes back
	quotaRetry    = 100 * time.Millisecond
	maxQuotaRetry = 2 * time.Second
	quotaSpare    = 4 // one unit is kept in spare for so many in use
)

// QuotaHolder keeps a daemon's portions of team quotas, and decides when to ask the
// owners for more, for renewal, or to give back. A team without a portion is asked
// for when somebody waits for it.
type QuotaHolder struct {
	teams map[string]*holding
}

type holding struct {
	portion  Portion
	ttl      time.Duration
	until    time.Duration
	share    resource.Vector // zero kinds: no bound
	calling  bool
	answered bool          // the newest call got an answer
	nextAsk  time.Duration // not asked again for more before
	strikes  int
	excess   time.Duration // since when more is held than wanted, 0: it is not
	waiting  resource.Vector
}

// NewQuotaHolder returns a holder without portions.
func NewQuotaHolder() *QuotaHolder { return &QuotaHolder{teams: map[string]*holding{}} }

func (h *QuotaHolder) team(name string) *holding {
	t := h.teams[name]
	if t == nil {
		t = &holding{}
		h.teams[name] = t
	}
	return t
}

// Take charges the team's portion; it returns false when that does not cover the
// amount. Kinds with a zero quota must be zero in the amount.
func (h *QuotaHolder) Take(now time.Duration, team string, amount resource.Vector) bool {
	return h.team(team).portion.Take(now, amount)
}

// Put gives back what was taken.
func (h *QuotaHolder) Put(team string, amount resource.Vector) { h.team(team).portion.Put(amount) }

// Amount returns what the team's portion covers at now.
func (h *QuotaHolder) Amount(now time.Duration, team string) resource.Vector {
	return h.team(team).portion.Amount(now)
}

// Answered reports whether the owner of the team's quota answered the last call.
func (h *QuotaHolder) Answered(team string) bool { return h.team(team).answered }

// Waiting sets what could not be taken.
func (h *QuotaHolder) Waiting(team string, amount resource.Vector) { h.team(team).waiting = amount }

// Due returns the wishes that are due, by key shard and in order of team, and notes
// that they are asked for. What a wish gives up is not used from here on.
func (h *QuotaHolder) Due(now time.Duration) map[int][]wire.QuotaWish {
	due := map[int][]wire.QuotaWish{}
	for name, t := range h.teams {
		want := t.want(now)
		t.noteExcess(now, want)
		if !t.due(now, want) {
			if t.forgettable(now) {
				delete(h.teams, name)
			}
			continue
		}
		t.portion.Shrink(want)
		t.calling = true
		wish := wire.QuotaWish{Team: name, Want: want, Held: t.portion.Amount(now), Used: t.portion.Used()}
		shard := wire.TeamShard(name)
		due[shard] = append(due[shard], wish)
	}
	for shard, wishes := range due {
		sort.Slice(wishes, func(i, j int) bool { return wishes[i].Team < wishes[j].Team })
		for _, late := range wishes[min(len(wishes), wire.MaxQuotaWishes):] {
			h.team(late.Team).calling = false
		}
		due[shard] = wishes[:min(len(wishes), wire.MaxQuotaWishes)]
	}
	return due
}

// want is what is in use and waited for, with some spare unless others go short.
func (t *holding) want(now time.Duration) resource.Vector {
	base := t.portion.Used().Add(t.waiting)
	want := base.Add(resource.Vector{
		MilliCores: base.MilliCores / quotaSpare, MemoryMiB: base.MemoryMiB / quotaSpare,
		Accelerators: base.Accelerators / quotaSpare, Slots: base.Slots / quotaSpare,
	})
	if t.share.IsZero() {
		return want
	}
	return want.Min(t.share).Max(t.portion.Used())
}

func (t *holding) noteExcess(now time.Duration, want resource.Vector) {
	if t.portion.Amount(now).Fits(want) {
		t.excess = 0
	} else if t.excess == 0 {
		t.excess = now
	}
}

func (t *holding) due(now time.Duration, want resource.Vector) bool {
	if t.calling || now < t.nextAsk {
		return false
	}
	amount := t.portion.Amount(now)
	switch {
	case !t.waiting.IsZero() && !want.Fits(amount):
		return true
	case t.excess > 0 && (now-t.excess >= quotaIdle || !t.share.IsZero()):
		return true
	}
	return !want.IsZero() && t.until-now < t.ttl/2
}

func (t *holding) forgettable(now time.Duration) bool {
	return !t.calling && now >= t.until && t.waiting.IsZero() && t.portion.Used().IsZero()
}

// Granted takes the owner's answer to the wish that was sent at the given time.
// until is the end of the portion on the holder's clock, counted from then.
func (h *QuotaHolder) Granted(now, until time.Duration, p wire.QuotaPortion) {
	t := h.team(p.Team)
	t.calling, t.answered = false, true
	t.portion.Set(p.Amount, until)
	t.ttl = time.Duration(p.TTLMS) * time.Millisecond
	t.until = until
	t.share = p.Share
	if t.portion.Used().Add(t.waiting).Fits(p.Amount) {
		t.strikes, t.nextAsk = 0, now
		return
	}
	t.backOff(now)
}

// Failed notes that a call got no answer. The portion goes on until it lapses.
func (h *QuotaHolder) Failed(now time.Duration, team string) {
	t := h.team(team)
	t.calling, t.answered = false, false
	t.backOff(now)
}

func (t *holding) backOff(now time.Duration) {
	t.nextAsk = now + min(maxQuotaRetry, quotaRetry<<min(t.strikes, 5))
	t.strikes++
}

// Used returns what is taken of the team's portion.
func (h *QuotaHolder) Used(team string) resource.Vector { return h.team(team).portion.Used() }

// SetUsed replaces what is taken of the team's portion by a count of it.
func (h *QuotaHolder) SetUsed(team string, used resource.Vector) { h.team(team).portion.used = used }

// Teams returns the teams that are held, used or waited for.
func (h *QuotaHolder) Teams() []string {
	names := make([]string, 0, len(h.teams))
	for name := range h.teams {
		names = append(names, name)
	}
	return names
}
