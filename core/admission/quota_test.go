package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/resource"
	"briarproxy/core/wire"
)

const (
	testTTL   = 10 * time.Second
	testDrift = 200 * time.Millisecond
)

// quotaCall is a call in flight. It can arrive after a later call, and its reply can be
// lost.
type quotaCall struct {
	holder  string
	seq     int64
	sent    time.Duration
	request wire.QuotaRequest
}

// quotaModel simulates one team with three holders and a succession of owners.
type quotaModel struct {
	now     time.Duration
	seq     int64
	owner   *QuotaOwner
	holders map[string]*QuotaHolder
	calls   []quotaCall
	granted int
	pending map[string]int64 // sequence number of the call whose reply each holder waits for, 0 is none
}

func (m *quotaModel) used() (sum int64) {
	for _, h := range m.holders {
		sum += h.team("t").portion.Used().Slots
	}
	return sum
}

// step performs one randomly chosen action.
func (m *quotaModel) step(rng *rand.Rand, quota resource.Vector) {
	name := []string{"a", "b", "c"}[rng.IntN(3)]
	h := m.holders[name]
	switch step := rng.IntN(200); {
	case step < 50:
		h.SetWaiting("t", resource.Vector{Slots: rng.Int64N(8)})
		for h.TryAcquire(m.now, "t", resource.Vector{Slots: 1}) && rng.IntN(4) > 0 {
			continue
		}
	case step < 90:
		if n := h.team("t").portion.Used().Slots; n > 0 {
			h.Release("t", resource.Vector{Slots: rng.Int64N(n) + 1})
		}
	case step < 140:
		for _, requests := range h.TakeDueRequests(m.now) {
			m.seq++
			m.pending[name] = m.seq
			m.calls = append(m.calls, quotaCall{holder: name, seq: m.seq, sent: m.now, request: requests[0]})
		}
	case step < 199:
		m.deliver(rng, quota)
	default:
		m.owner = NewQuotaOwner(m.now, testTTL+testDrift)
	}
}

// deliver delivers a random call to the owner. The holder may have timed it out before,
// and its reply can be lost.
func (m *quotaModel) deliver(rng *rand.Rand, quota resource.Vector) {
	if len(m.calls) == 0 {
		return
	}
	i := rng.IntN(len(m.calls))
	call := m.calls[i]
	h := m.holders[call.holder]
	awaited := m.pending[call.holder] == call.seq
	if awaited && rng.IntN(4) == 0 {
		m.pending[call.holder] = 0
		h.CallFailed(m.now, "t")
		return
	}
	m.calls = append(m.calls[:i], m.calls[i+1:]...)
	portion, ok := m.owner.Lease(m.now, call.holder, call.seq, quota, call.request)
	if !awaited {
		return
	}
	m.pending[call.holder] = 0
	if !ok || rng.IntN(4) == 0 {
		h.CallFailed(m.now, "t")
		return
	}
	portion.TTLMS = testTTL.Milliseconds()
	h.ApplyGrant(m.now, call.sent+testTTL, portion)
	m.granted++
}

// Guards against use above a team's quota when calls are lost, delayed or reordered and
// a new owner does not know what its predecessors leased.
func TestQuotaIsNeverExceededAcrossHolders(t *testing.T) {
	quota := resource.Vector{Slots: 8}
	peak := int64(0)
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 7))
		m := &quotaModel{pending: map[string]int64{}, holders: map[string]*QuotaHolder{}}
		for _, name := range []string{"a", "b", "c"} {
			m.holders[name] = NewQuotaHolder()
		}
		m.owner = NewQuotaOwner(-time.Hour, testTTL+testDrift)
		for range 10000 {
			m.now += time.Duration(rng.IntN(150)) * time.Millisecond
			for _, h := range m.holders { // runs end when the lease that they started under expires
				if t := h.team("t"); m.now >= t.expiresAt {
					t.portion.Release(t.portion.Used())
				}
			}
			m.step(rng, quota)
			require.LessOrEqual(t, m.used(), quota.Slots, "seed %d", seed)
			peak = max(peak, m.used())
		}
		require.Greater(t, m.granted, 100, "seed %d", seed)
	}
	require.Equal(t, quota.Slots, peak, "the whole quota must be in use at some time")
}

// Guards, for a new owner that knows its predecessor's logged bound, against use above a
// team's quota and against leasing nothing more until the predecessor's portions expire.
func TestNewOwnerLeasesWhatItsPredecessorCannotHaveLeased(t *testing.T) {
	quota := resource.Vector{Slots: 12}
	early := 0
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 9))
		m := &quotaModel{pending: map[string]int64{}, holders: map[string]*QuotaHolder{}}
		for _, name := range []string{"a", "b", "c"} {
			m.holders[name] = NewQuotaHolder()
		}
		logged := map[string]resource.Vector{}
		m.owner = NewQuotaOwner(-time.Hour, testTTL+testDrift)
		m.owner.EnforceBounds(logged)
		for range 10000 {
			m.now += time.Duration(rng.IntN(150)) * time.Millisecond
			for _, h := range m.holders {
				if t := h.team("t"); m.now >= t.expiresAt {
					t.portion.Release(t.portion.Used())
				}
			}
			before, granted := m.owner, m.granted
			m.step(rng, quota)
			if m.owner != before {
				m.owner.EnforceBounds(logged)
			} else if m.granted > granted && m.now < m.owner.predecessorsExpireAt {
				early++
			}
			for _, bound := range m.owner.TakeBoundsToLog() {
				outcome := rng.IntN(40) // below 38: the append is lost, 38: only its reply is lost
				if outcome >= 38 {
					logged[bound.Team] = logged[bound.Team].Max(bound.Most)
				}
				if outcome > 38 {
					m.owner.BoundLogged(bound)
				}
			}
			require.LessOrEqual(t, m.used(), quota.Slots, "seed %d", seed)
		}
	}
	require.Greater(t, early, 100, "portions must be leased before the predecessor's expire")
}

// Guards against a new owner that leases nothing or too much until the portions of its
// predecessor expire.
func TestNewOwnerLeasesBesidesTheInheritedBound(t *testing.T) {
	quota := resource.Vector{Slots: 40}
	owner := NewQuotaOwner(0, testTTL)
	owner.EnforceBounds(map[string]resource.Vector{"t": {Slots: 10}})
	_, _ = owner.Lease(0, "a", 1, quota, wire.QuotaRequest{Team: "t", Want: resource.Vector{Slots: 25}})
	for _, bound := range owner.TakeBoundsToLog() {
		owner.BoundLogged(bound)
	}
	p, _ := owner.Lease(0, "a", 2, quota, wire.QuotaRequest{Team: "t", Want: resource.Vector{Slots: 25}})
	require.EqualValues(t, 25, p.Amount.Slots)
	p, _ = owner.Lease(0, "b", 1, quota, wire.QuotaRequest{Team: "t", Want: resource.Vector{Slots: 25}})
	require.LessOrEqual(t, p.Amount.Slots, int64(5), "the predecessor may have leased 10")
}

// Guards against a holder that keeps the whole quota without using it, or keeps more
// than its share while other holders get nothing.
func TestQuotaIsSharedBetweenHolders(t *testing.T) {
	quota := resource.Vector{Slots: 8}
	owner := NewQuotaOwner(-time.Hour, testTTL)
	holders := map[string]*QuotaHolder{"a": NewQuotaHolder(), "b": NewQuotaHolder()}
	seq := int64(0)
	ask := func(now time.Duration, name string) {
		for _, requests := range holders[name].TakeDueRequests(now) {
			seq++
			portion, ok := owner.Lease(now, name, seq, quota, requests[0])
			require.True(t, ok)
			portion.TTLMS = testTTL.Milliseconds()
			holders[name].ApplyGrant(now, now+testTTL, portion)
		}
	}
	one := resource.Vector{Slots: 1}
	holders["a"].SetWaiting("t", resource.Vector{Slots: 20})
	ask(0, "a")
	require.EqualValues(t, 8, holders["a"].Amount(0, "t").Slots)
	for range 6 {
		require.True(t, holders["a"].TryAcquire(0, "t", one))
	}
	holders["b"].SetWaiting("t", resource.Vector{Slots: 20})
	for now := time.Second; now < 8*time.Second; now += 100 * time.Millisecond {
		ask(now, "a")
		ask(now, "b")
		if holders["a"].team("t").portion.Used().Slots > 4 {
			holders["a"].Release("t", one)
		}
	}
	require.EqualValues(t, 4, holders["b"].Amount(8*time.Second, "t").Slots)
	require.EqualValues(t, 4, holders["a"].Amount(8*time.Second, "t").Slots)
}

// Guards against leasing to others the use that a new owner of a job shard found at its
// takeover, once the portion of the shard's former owner has expired.
func TestUseFoundAfterATakeoverIsNotLeasedToOthers(t *testing.T) {
	quota := resource.Vector{Slots: 8}
	owner := NewQuotaOwner(-time.Hour, testTTL)
	_, _ = owner.Lease(0, "old", 1, quota, wire.QuotaRequest{Team: "t", Want: quota})
	found := wire.QuotaRequest{Team: "t", Want: quota, Used: quota}
	p, _ := owner.Lease(time.Second, "new", 1, quota, found)
	require.Zero(t, p.Amount.Slots)
	p, _ = owner.Lease(testTTL+time.Millisecond, "other", 1, quota, wire.QuotaRequest{Team: "t", Want: quota})
	require.Zero(t, p.Amount.Slots)
	p, _ = owner.Lease(testTTL+2*time.Millisecond, "new", 2, quota, found)
	require.Equal(t, quota.Slots, p.Amount.Slots)
}
