package speed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// playSteps runs steps of the given width on random workers and returns the time after them. The work of a step varies
// tenfold, callers' estimates are off by a factor that varies as well, and 3 of 100 tasks take seven times as long.
func playSteps(e *Estimator, rng *rand.Rand, steps, width int, slowness func(worker int) float64, workers int, now time.Duration) time.Duration {
	for range steps {
		var step Step
		work := math.Exp(0.7 * rng.NormFloat64())
		estimate := work * math.Exp(0.6*rng.NormFloat64()) / 1.5
		for range width {
			worker := rng.IntN(workers)
			ran := work * math.Exp(0.2*rng.NormFloat64()) * slowness(worker)
			if rng.Float64() < 0.03 {
				ran *= 7
			}
			if now += time.Millisecond; now%time.Second == 0 {
				e.Centre(now)
			}
			e.Observe(Run{Worker: fmt.Sprint(worker), Kind: "k", Ran: seconds(ran), Resolution: 150 * time.Millisecond, Estimate: seconds(estimate)}, &step, now)
		}
	}
	return now
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func threeSpeeds(worker int) float64 { return []float64{1 / 0.6, 1, 1 / 1.6}[worker%3] }

func TestUnequalWorkDoesNotHideWorkerSpeed(t *testing.T) {
	for seed := range uint64(5) {
		e := New()
		now := playSteps(e, rand.New(rand.NewPCG(seed, 1)), 600, 5, threeSpeeds, 90, 0)
		wrong := 0
		for w := range 90 {
			if got := math.Log(e.Of(fmt.Sprint(w), now).Slowness); math.Abs(got-math.Log(threeSpeeds(w))) > 0.25 {
				wrong++
			}
		}
		assert.LessOrEqual(t, wrong, 4, "seed %d: estimates that are off by more than a quarter, of 90 workers with 33 runs each", seed)
	}
}

func TestEqualWorkersAreNotToldApart(t *testing.T) {
	for seed := range uint64(5) {
		e := New()
		now := playSteps(e, rand.New(rand.NewPCG(seed, 2)), 600, 5, func(int) float64 { return 1 }, 90, 0)
		far := 0
		for w := range 90 {
			if e.Level(fmt.Sprint(w), now) != 0 {
				far++
			}
		}
		assert.LessOrEqual(t, far, 2, "seed %d: of 90 equal workers", seed)
	}
}

func TestWrongEstimatesDoNotMakeAllWorkersSlow(t *testing.T) {
	e := New()
	rng := rand.New(rand.NewPCG(1, 10))
	for now := time.Duration(0); now < 20*time.Second; now += time.Second {
		for i := range 40 {
			var step Step
			for range 3 { // callers estimate half of the work
				e.Observe(Run{Worker: fmt.Sprint(rng.IntN(60)), Kind: "k", Ran: seconds(2 * math.Exp(0.2*rng.NormFloat64())), Estimate: time.Second}, &step, now+time.Duration(i)*time.Millisecond)
			}
		}
		e.Centre(now)
	}
	for w := range 60 {
		assert.LessOrEqual(t, math.Abs(float64(e.Level(fmt.Sprint(w), 20*time.Second))), 1.0, "worker %d", w)
	}
}

func TestSingleTailDoesNotMarkWorkerAsSlow(t *testing.T) {
	e := New()
	now := playSteps(e, rand.New(rand.NewPCG(1, 3)), 100, 5, func(int) float64 { return 1 }, 10, 0)
	before := e.Of("0", now).Slowness
	step := Step{runs: 4}
	e.Observe(Run{Worker: "0", Kind: "k", Ran: time.Hour, Estimate: time.Second}, &step, now)
	assert.Less(t, e.Of("0", now).Slowness, 1.15*before)
}

func TestImpossibleTimesNeverMoveASpeed(t *testing.T) {
	impossible := []time.Duration{0, -time.Second, maxRunTime + 1, math.MinInt64, math.MaxInt64}
	rapid.Check(t, func(t *rapid.T) {
		e := New()
		now := playSteps(e, rand.New(rand.NewPCG(1, 4)), 20, 5, threeSpeeds, 9, time.Hour)
		before := e.Of("0", now)
		var step Step
		assert.False(t, e.Observe(Run{Worker: "0", Kind: "k", Ran: rapid.SampledFrom(impossible).Draw(t, "ran"), Estimate: time.Second}, &step, now))
		// An impossible estimate leaves the run without an expectation, and the first run of its step says nothing.
		e.Observe(Run{Worker: "0", Kind: "k", Ran: time.Minute, Estimate: rapid.SampledFrom(impossible).Draw(t, "estimate")}, &Step{}, now)
		e.Observe(Run{Worker: "1", Kind: "k", Ran: time.Second}, &Step{}, now-rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "step"))
		}).Draw(t, "back"))
		require.Equal(t, before, e.Of("0", now))
	})
}

func TestChangedSpeedIsFollowed(t *testing.T) {
	e := New()
	rng := rand.New(rand.NewPCG(1, 5))
	now := playSteps(e, rng, 400, 5, func(int) float64 { return 1 }, 20, 0)
	require.Zero(t, speedSign(e.Level("7", now)))
	playSteps(e, rng, 100, 5, func(w int) float64 { return map[bool]float64{true: 3, false: 1}[w == 7] }, 20, now)
	assert.Positive(t, e.Level("7", now), "after 25 runs at a third of the speed")
}

func speedSign(level int) int { return level / 2 } // a level of 1 is within the noise

func TestEvidenceOfIdleWorkerAges(t *testing.T) {
	e := New()
	now := playSteps(e, rand.New(rand.NewPCG(1, 6)), 200, 5, threeSpeeds, 9, 0)
	require.Positive(t, e.Level("0", now))
	assert.Zero(t, e.Level("0", now+8*evidenceHalfLife))
}

func TestRestoredEstimateIsWithinTheStatedError(t *testing.T) {
	e, successor := New(), New()
	rng := rand.New(rand.NewPCG(1, 7))
	published := map[string]Saved{}
	now := time.Duration(0)
	for range 50 {
		now = playSteps(e, rng, 20, 5, threeSpeeds, 90, now)
		for _, s := range e.TakeChanges(100) {
			published[s.Worker] = s
		}
	}
	for _, s := range published {
		successor.Restore(s, now)
	}
	for w := range 90 {
		id := fmt.Sprint(w)
		assert.InDelta(t, math.Log(e.Of(id, now).Slowness), math.Log(successor.Of(id, now).Slowness), publishChange+0.01, id)
	}
	for _, bad := range []Saved{{"x", math.NaN(), 1}, {"x", 1, -1}, {"x", 1, math.Inf(1)}, {"x", 99, 1}, {"x", 1, 0}} {
		successor.Restore(bad, now)
		assert.Equal(t, 1.0, successor.Of("x", now).Slowness)
	}
}

func TestWorkersThatLeftAreExpired(t *testing.T) {
	e := New()
	now := playSteps(e, rand.New(rand.NewPCG(1, 9)), 200, 5, threeSpeeds, 9, 0)
	e.TakeChanges(100)
	e.Expire(now)
	require.Len(t, e.workers, 9)
	e.Expire(now + 10*evidenceHalfLife)
	require.Empty(t, e.workers)
	for _, s := range e.TakeChanges(100) {
		assert.Zero(t, s.Evidence, "the placer's successors forget the worker as well")
	}
}

func TestForgottenWorkerHasTheUsualSpeed(t *testing.T) {
	e := New()
	now := playSteps(e, rand.New(rand.NewPCG(1, 8)), 200, 5, threeSpeeds, 9, 0)
	e.Forget("0")
	assert.Equal(t, 0, e.Level("0", now))
	assert.NotPanics(t, func() { e.TakeChanges(100) })
}

// Guards against an error that is common to all workers and makes every one of them slow, so that none is preferred.
func TestErrorOfAllWorkersIsMovedToTheirKind(t *testing.T) {
	e := New()
	k := e.kind("k")
	for i := range 31 {
		e.worker(fmt.Sprint(i), 0).add(0.6, 200)
	}
	require.NotZero(t, e.Level("0", 0))
	e.Centre(0)
	for i := range 31 {
		require.Zero(t, e.Level(fmt.Sprint(i), 0))
	}
	require.InDelta(t, 0.6, k.offset, 0.1)
}
