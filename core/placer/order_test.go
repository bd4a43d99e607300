package placer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/cluster"
	"briarproxy/core/flow"
	"briarproxy/core/resource"
)

// waitingStep is a step of a queue with its latest start relative to now, ms.
func waitingStep(name string, priority int, latestStartInMS, estimateMS int64, count int) *pendingStep {
	def := flow.Step{Count: count, Size: resource.Vector{MilliCores: 1000}, EstimateMS: estimateMS}
	return &pendingStep{
		job: &flow.Job{Submit: flow.Submit{ID: name}, Offset: int64(len(name))}, def: &def, queue: &cluster.Queue{Priority: priority},
		latestStartMS: testWallMS + latestStartInMS, objective: 4 * time.Second,
	}
}

// Guards against the operator's priority being ignored, late work before work that can be on
// time, wide late work before small one, and work that nobody waits for before any other.
func TestOrderOfWaitingSteps(t *testing.T) {
	want := []*pendingStep{
		waitingStep("urgent", 0, 900, 800, 2),
		waitingStep("urgent, later", 0, 5000, 800, 2),
		waitingStep("middle, first to start", 1, 10, 800, 2),
		waitingStep("least, with much time", 2, 9000, 800, 2),
		waitingStep("late urgent", 0, -10, 800, 2),
		waitingStep("late urgent, wide", 0, -500, 800, 20),
		waitingStep("late least", 2, -10, 800, 1),
		waitingStep("of no use, small", 0, -8100, 800, 1),
		waitingStep("of no use, wide", 0, -9000, 800, 20),
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for range 50 {
		got := append([]*pendingStep(nil), want...)
		rng.Shuffle(len(got), func(i, j int) { got[i], got[j] = got[j], got[i] })
		(&Placer{}).sortSteps(got, testWallMS)
		for i := range want {
			require.Equal(t, want[i].job.ID, got[i].job.ID, "place %d", i)
		}
	}
}

// Guards against a step that makes way until it is late itself, and against one that makes way
// for a gang of its own priority or a lower one.
func TestStepsYieldOnlyWithTimeLeft(t *testing.T) {
	gang := waitingStep("gang", 1, 900, 800, 4)
	gang.grants = map[string]ticket{"w1": {}, "w2": {}}
	steps := []*pendingStep{gang, waitingStep("less", 2, 3000, 800, 1), waitingStep("less, soon late", 2, 1000, 800, 1), waitingStep("equal", 1, 3000, 800, 1)}
	(&Placer{}).sortSteps(steps, testWallMS)
	var y yields
	y.addGang(gang)
	allowed := map[string][]string{}
	for _, w := range steps {
		workers := []string{"w1", "w2", "w3"}
		if y.canYield(w, testWallMS) {
			workers = y.withoutYielded(w, workers)
		}
		allowed[w.job.ID] = workers
	}
	all := []string{"w1", "w2", "w3"}
	require.Equal(t, []string{"w3"}, allowed["less"])
	require.Equal(t, all, allowed["less, soon late"])
	require.Equal(t, all, allowed["equal"])
	y.reset()
	require.False(t, y.canYield(steps[0], testWallMS))
}
