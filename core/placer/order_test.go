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

// waitingStep returns a waiting step with the given priority of its queue and the given latest
// start, relative to testWallMS.
func waitingStep(name string, priority int, latestStartInMS, estimateMS int64, count int) *pendingStep {
	def := flow.Step{Count: count, Size: resource.Vector{MilliCores: 1000}, EstimateMS: estimateMS}
	return &pendingStep{
		job: &flow.Job{Submit: flow.Submit{ID: name}, Offset: int64(len(name))}, def: &def, workspace: &workspace{}, queue: &cluster.Queue{Priority: priority},
		latestStartMS: testWallMS + latestStartInMS, objective: 4 * time.Second,
	}
}

// Guards against an order of steps that ignores the operator's priority, that puts late steps
// before steps that can be on time or wide late steps before small ones, or that does not
// put steps of no use to their callers last.
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

// Guards against a step that yields until it is late itself, and against one that yields to a
// gang of its own priority or a lower one.
func TestStepsYieldOnlyWithTimeLeft(t *testing.T) {
	gang := waitingStep("gang", 1, 900, 800, 4)
	gang.grants = map[string]ticket{"w1": {}, "w2": {}}
	steps := []*pendingStep{gang, waitingStep("less", 2, 3000, 800, 1), waitingStep("less, soon late", 2, 1000, 800, 1), waitingStep("equal", 1, 3000, 800, 1)}
	(&Placer{}).sortSteps(steps, testWallMS)
	var gangYields yields
	gangYields.addGang(gang)
	allowed := map[string][]string{}
	for _, step := range steps {
		workers := []string{"w1", "w2", "w3"}
		if gangYields.canYield(step, testWallMS) {
			workers = gangYields.withoutYielded(step, workers)
		}
		allowed[step.job.ID] = workers
	}
	all := []string{"w1", "w2", "w3"}
	require.Equal(t, []string{"w3"}, allowed["less"])
	require.Equal(t, all, allowed["less, soon late"])
	require.Equal(t, all, allowed["equal"])
	gangYields.reset()
	require.False(t, gangYields.canYield(steps[0], testWallMS))
}
