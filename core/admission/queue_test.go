package admission

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"briarproxy/core/resource"
)

// referenceQueue is a reference model of Queue that scans one slice linearly.
type referenceQueue struct {
	classes      []Class
	credit       map[string]float64
	virtualTime  map[string]float64
	virtualStart map[[2]string]float64
	entries      []*Entry[int]
}

func (n *referenceQueue) count(class, team string) int {
	total := 0
	for _, e := range n.entries {
		if e.Class == class && (team == "" || e.Team == team) {
			total++
		}
	}
	return total
}

func (n *referenceQueue) push(e *Entry[int]) {
	key := [2]string{e.Class, e.Team}
	if n.count(e.Class, e.Team) == 0 {
		n.virtualStart[key] = math.Max(n.virtualStart[key], n.virtualTime[e.Class])
	}
	n.entries = append(n.entries, e)
}

func (n *referenceQueue) pop() *Entry[int] {
	var chosen *Class
	for i := range n.classes {
		c := &n.classes[i]
		credit := n.credit[c.Name] + c.MinShare
		if n.count(c.Name, "") == 0 || credit < 1 {
			continue
		}
		if chosen == nil || credit > n.credit[chosen.Name]+chosen.MinShare {
			chosen = c
		}
	}
	for i := range n.classes { // sorted by priority
		if chosen == nil && n.count(n.classes[i].Name, "") > 0 {
			chosen = &n.classes[i]
		}
	}
	if chosen == nil {
		return nil
	}
	for _, c := range n.classes {
		if n.count(c.Name, "") > 0 {
			n.credit[c.Name] += c.MinShare
		}
	}
	n.credit[chosen.Name] = math.Max(0, n.credit[chosen.Name]-1)
	var best *Entry[int]
	for _, e := range n.entries {
		if e.Class == chosen.Name && (best == nil || n.before(e, best)) {
			best = e
		}
	}
	key := [2]string{best.Class, best.Team}
	n.virtualTime[best.Class] = n.virtualStart[key]
	n.virtualStart[key] += 1 / best.Weight
	n.remove(best)
	return best
}

func (n *referenceQueue) before(a, b *Entry[int]) bool {
	va, vb := n.virtualStart[[2]string{a.Class, a.Team}], n.virtualStart[[2]string{b.Class, b.Team}]
	if va != vb {
		return va < vb
	}
	if a.Team != b.Team {
		return a.Team < b.Team
	}
	if a.StartBy != b.StartBy {
		return a.StartBy < b.StartBy
	}
	return a.Value < b.Value
}

func (n *referenceQueue) remove(e *Entry[int]) {
	for i := range n.entries {
		if n.entries[i] == e {
			n.entries = append(n.entries[:i], n.entries[i+1:]...)
			break
		}
	}
	if n.count(e.Class, "") > 0 {
		return
	}
	n.credit[e.Class], n.virtualTime[e.Class] = 0, 0
	for key := range n.virtualStart {
		if key[0] == e.Class {
			delete(n.virtualStart, key)
		}
	}
}

// Guards against heap or credit errors that serve entries in an order other than that
// of the reference model, and against removals that corrupt the heaps.
func TestQueueMatchesReferenceModel(t *testing.T) {
	weights := map[string]float64{"a": 1, "b": 2, "c": 4}
	rapid.Check(t, func(t *rapid.T) {
		classes := []Class{
			{Name: "high", Priority: 9, MinShare: 0.25, MaxLength: 1000},
			{Name: "mid", Priority: 5, MinShare: rapid.SampledFrom([]float64{0, 0.25, 0.5}).Draw(t, "share"), MaxLength: 1000},
			{Name: "low", Priority: 1, MinShare: 0.125, MaxLength: 1000},
		}
		queue := NewQueue[int]()
		reference := &referenceQueue{classes: classes, credit: map[string]float64{}, virtualTime: map[string]float64{}, virtualStart: map[[2]string]float64{}}
		for _, c := range classes {
			queue.SetClass(c)
		}
		steps := rapid.IntRange(1, 200).Draw(t, "steps")
		for i := range steps {
			switch rapid.IntRange(0, 5).Draw(t, "op") {
			case 0, 1, 2:
				team := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team")
				e := &Entry[int]{
					Class: rapid.SampledFrom(classes).Draw(t, "class").Name, Team: team, Weight: weights[team],
					StartBy: time.Duration(rapid.IntRange(0, 20).Draw(t, "by")), Value: i,
				}
				require.Nil(t, queue.Push(0, Load{}, e))
				reference.push(e)
			case 3, 4:
				require.Same(t, reference.pop(), queue.Pop(nil))
			case 5:
				if len(reference.entries) > 0 {
					e := rapid.SampledFrom(reference.entries).Draw(t, "cancelled")
					require.True(t, queue.Remove(e))
					require.False(t, queue.Remove(e))
					reference.remove(e)
				}
			}
			require.Equal(t, len(reference.entries), queue.Len())
		}
	})
}

// Guards against starvation of a class with low priority and of a team with little
// weight under overload.
func TestMinShareAndTeamFairness(t *testing.T) {
	queue := NewQueue[int]()
	queue.SetClass(Class{Name: "urgent", Priority: 9, MaxLength: 1000})
	queue.SetClass(Class{Name: "survey", Priority: 1, MinShare: 0.2, MaxLength: 1000})
	for i := range 500 {
		require.Nil(t, queue.Push(0, Load{}, &Entry[int]{Class: "urgent", Team: "a", Weight: 3, StartBy: 1, Value: i}))
		require.Nil(t, queue.Push(0, Load{}, &Entry[int]{Class: "urgent", Team: "b", Weight: 1, StartBy: 2, Value: i}))
		require.Nil(t, queue.Push(0, Load{}, &Entry[int]{Class: "survey", Team: "a", StartBy: 3, Value: i}))
	}
	served := map[string]int{}
	for range 500 {
		e := queue.Pop(nil)
		served[e.Class+"/"+e.Team]++
	}
	require.InDelta(t, 100, served["survey/a"], 1)
	require.InDelta(t, 300, served["urgent/a"], 2)
	require.InDelta(t, 100, served["urgent/b"], 2)
}

// Guards against queueing a request that can't be served in time, and against shedding
// a request of a team that fair queueing would serve in time.
func TestShedding(t *testing.T) {
	queue := NewQueue[int]()
	queue.SetClass(Class{Name: "c", Priority: 1, MaxLength: 100})
	for range 100 {
		require.Nil(t, queue.Push(0, Load{}, &Entry[int]{Class: "c", Team: "heavy", StartBy: 20 * time.Second}))
	}
	late := queue.Push(0, Load{StartsPerSecond: 10, SlotFree: true}, &Entry[int]{Class: "c", Team: "heavy", StartBy: 20 * time.Second})
	require.Equal(t, ShedQueueFull, late.Reason)
	late = queue.Push(0, Load{StartsPerSecond: 2, SlotFree: true}, &Entry[int]{Class: "c", Team: "heavy", StartBy: 20 * time.Second})
	require.Equal(t, ShedWaitTooLong, late.Reason)
	require.Equal(t, 50*time.Second, late.Wait)
	require.Equal(t, 30*time.Second, late.RetryAfter)
	late = queue.Push(0, Load{StartsPerSecond: 2}, &Entry[int]{Class: "c", Team: "heavy", StartBy: 20 * time.Second})
	require.Equal(t, 50500*time.Millisecond, late.Wait, "without a free slot one run must end first")
	queue.SetClass(Class{Name: "c", Priority: 1, MaxLength: 200})
	require.Nil(t, queue.Push(0, Load{StartsPerSecond: 2, SlotFree: true}, &Entry[int]{Class: "c", Team: "light", StartBy: 2 * time.Second}))
	require.Equal(t, ShedDeadlinePassed, queue.Push(9, Load{}, &Entry[int]{Class: "c", StartBy: 8}).Reason)
	require.Equal(t, ShedUnknownClass, queue.Push(0, Load{}, &Entry[int]{Class: "x"}).Reason)
}

// Guards against keeping queued entries that miss their StartBy because later arrivals
// are served first, and against shedding an entry that Pop serves in time.
func TestShedLateRemovesOnlyEntriesThatCannotStartInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue := NewQueue[int]()
		queue.SetClass(Class{Name: "c", MaxLength: 1000})
		n := rapid.IntRange(0, 60).Draw(t, "entries")
		for range n {
			team := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team")
			e := &Entry[int]{Class: "c", Team: team, StartBy: time.Duration(rapid.IntRange(0, 40).Draw(t, "by")) * time.Second}
			require.Nil(t, queue.Push(0, Load{}, e))
		}
		late := queue.ShedLate(0, Load{StartsPerSecond: 1})
		require.Equal(t, n, queue.Len()+len(late))
		for _, l := range late {
			require.Greater(t, time.Duration(float64(l.Shed.Wait)*lateWaitFactor), l.Entry.StartBy)
			require.False(t, queue.Remove(l.Entry))
		}
		for i := 1; queue.Len() > 0; i++ {
			require.LessOrEqual(t, lateWaitFactor*float64(i), queue.Pop(nil).StartBy.Seconds()+1e-6)
		}
	})
}

// Guards against retry storms and synchronised retries.
func TestRetryBudgetAndBackoff(t *testing.T) {
	budget := NewRetryBudget()
	retries := 0
	for range 1000 {
		budget.AddRequest()
		if budget.TryRetry() {
			retries++
		}
	}
	require.InDelta(t, 110, retries, 1)
	rng := rand.New(rand.NewPCG(1, 2))
	for attempt := range 60 {
		wait := Backoff(rng, 50*time.Millisecond, attempt)
		require.GreaterOrEqual(t, wait, time.Duration(0))
		require.LessOrEqual(t, wait, MaxBackoff)
	}
	require.Zero(t, Backoff(rng, 0, 3))
}

// Guards against predicting waits from the arrival rate instead of the service rate.
func TestServiceRate(t *testing.T) {
	var rate ServiceRate
	require.Zero(t, rate.PerSecond(8))
	rate.Observe(100 * time.Millisecond)
	require.InDelta(t, 80, rate.PerSecond(8), 0.01)
}

// Guards against use above a team's quota while portions move between daemons and
// expire.
func TestQuotaPortionsNeverExceedQuota(t *testing.T) {
	quota := resource.Vector{Slots: 10}
	rapid.Check(t, func(t *rapid.T) {
		ledger := NewQuotaLedger(quota)
		portions := map[string]*Portion{"d1": {}, "d2": {}, "d3": {}}
		now := time.Duration(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3).Draw(t, "advance"))
			holder := rapid.SampledFrom([]string{"d1", "d2", "d3"}).Draw(t, "holder")
			p := portions[holder]
			want := resource.Vector{Slots: rapid.Int64Range(0, 12).Draw(t, "want")}.Max(p.Used())
			// The owner's TTL is longer than the holder's by 1 to allow for clock drift.
			granted := ledger.Lease(now, 6, holder, want)
			p.Set(granted, now+5)
			for range rapid.IntRange(0, 3).Draw(t, "takes") {
				p.TryAcquire(now, resource.Vector{Slots: 1})
			}
			if p.Used().Slots > 0 && rapid.Bool().Draw(t, "put") {
				p.Release(resource.Vector{Slots: 1})
			}
			require.True(t, ledger.Leased(now).Fits(quota))
			sum := int64(0)
			for _, other := range portions {
				if now < other.expiresAt {
					sum += other.amount.Slots
				}
			}
			require.LessOrEqual(t, sum, quota.Slots)
		}
	})
}
