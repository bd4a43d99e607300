package placer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"briarproxy/core/cluster"
	"briarproxy/core/flow"
	"briarproxy/core/resource"
	"briarproxy/core/share"
)

// Guards against a workspace below its share that waits behind one above it, a step that gets no turn
// or two, and an order within a workspace other than that of the ranks.
func TestTurnsOfWorkspaces(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := &Placer{config: &cluster.Configuration{}, workspaces: map[string]*workspace{}, planPass: 1, totalCapacity: resource.Vector{MilliCores: 100_000}}
		for i := range rapid.IntRange(1, 6).Draw(rt, "workspaces") {
			p.config.Workspaces = append(p.config.Workspaces, cluster.Workspace{Name: fmt.Sprint("ws", i), Weight: float64(rapid.IntRange(0, 9).Draw(rt, "weight"))})
		}
		p.setWorkspaces(p.config.Workspaces)
		var steps []*pendingStep
		for i := range rapid.IntRange(0, 30).Draw(rt, "steps") {
			step := waitingStep(fmt.Sprint("j", i), rapid.IntRange(0, 1).Draw(rt, "priority"), int64(rapid.IntRange(-3000, 9000).Draw(rt, "start")), 800, rapid.IntRange(1, 9).Draw(rt, "tasks"))
			step.job.BeyondRate = rapid.Bool().Draw(rt, "beyond its rate")
			step.workspace = p.workspaceOf(fmt.Sprint("ws", rapid.IntRange(0, len(p.config.Workspaces)-1).Draw(rt, "workspace")))
			step.workspace.beginPass(p.planPass)
			steps = append(steps, step)
		}
		p.sortSteps(steps, testWallMS)
		turns, left := p.newTurns(append([]*pendingStep(nil), steps...)), map[*pendingStep]bool{}
		for _, step := range steps {
			left[step] = true
		}
		for step := turns.next(); step != nil; step = turns.next() {
			require.True(rt, left[step], "one turn a step")
			for other := range left {
				require.GreaterOrEqual(rt, other.rank.compareClass(&step.rank), 0, "a more urgent class waits")
				if !other.rank.sameClass(&step.rank) {
					continue
				}
				if other.workspace == step.workspace {
					require.GreaterOrEqual(rt, other.rank.compare(&step.rank), 0, "a more urgent step of the workspace waits")
				}
				mine, others := turns.Share(&step.workspace.Account, resource.Vector{}), turns.Share(&other.workspace.Account, resource.Vector{})
				require.False(rt, mine > 1 && others <= 1, "%s at %.2f of its share precedes %s at %.2f", step.workspace.Name, mine, other.workspace.Name, others)
			}
			delete(left, step)
			if rapid.Bool().Draw(rt, "placed") {
				step.workspace.Add(step.def.Size.Scale(int64(step.def.Count)))
			}
		}
		require.Empty(rt, left)
	})
}

// The dominant resource decides: a workspace with little of the cores but much of the memory is above its share.
func TestShareIsThatOfTheDominantResource(t *testing.T) {
	turns := share.Turns{Capacity: resource.Vector{MilliCores: 100, MemoryMiB: 100}}
	a, b := &share.Account{Weight: 3, Used: resource.Vector{MilliCores: 10, MemoryMiB: 60}}, &share.Account{Weight: 1, Used: resource.Vector{MilliCores: 30}}
	turns.AddWeight(a)
	turns.AddWeight(b)
	require.InDelta(t, 0.8, turns.Share(a, resource.Vector{}), 1e-9)
	require.InDelta(t, 1.2, turns.Share(b, resource.Vector{}), 1e-9)
}

// sharedLoad is a load whose jobs come from several workspaces.
type sharedLoad struct {
	*workload
	sent, onTime map[string]float64 // by workspace: value of its jobs, and of those on time
}

// loadParts are the parts of the load that come from each workspace.
var loadParts = [...]float64{0.4, 0.25, 0.15, 0.12, 0.08}

const (
	sharedLoadFactor = 0.8 // of the rates of smallLoad
	rateFactor       = 1.5 // multiple of its usual rate that a workspace may send
)

// newSharedLoad returns a part of smallLoad that comes from five workspaces.
func newSharedLoad(t testing.TB) *sharedLoad {
	l := &sharedLoad{workload: newWorkload(t, 48, 9, smallLoad, 1), sent: map[string]float64{}, onTime: map[string]float64{}}
	total := 0.0
	for i := range l.kinds {
		total += l.kinds[i].rate
	}
	for i, part := range loadParts {
		l.config.Workspaces = append(l.config.Workspaces, cluster.Workspace{Name: fmt.Sprint("ws", i), Weight: rateFactor * part * sharedLoadFactor * total})
	}
	l.placer.SetConfig(l.config)
	count := l.onJobEnd
	l.onJobEnd = func(j *flow.Job) {
		before := l.workload.onTime[j.Queue]
		count(j)
		l.onTime[j.Workspace] += l.kindOf[j.ID].value * float64(l.workload.onTime[j.Queue]-before)
	}
	return l
}

// play submits jobs of all workspaces, those of the flooding one at a multiple of its rate.
func (l *sharedLoad) play(duration time.Duration, flooding string, factor float64) {
	const interval = 20 * time.Millisecond
	type submission struct {
		kind      *requestKind
		workspace *cluster.Workspace
	}
	for end := l.now + duration; l.now < end; {
		var list []submission
		for i := range l.kinds {
			for k := range l.config.Workspaces {
				workspace := &l.config.Workspaces[k]
				rate := l.kinds[i].rate * sharedLoadFactor * loadParts[k]
				if workspace.Name == flooding {
					rate *= factor
				}
				for n := l.rng.Float64(); n < rate*interval.Seconds(); n++ {
					list = append(list, submission{&l.kinds[i], workspace})
				}
			}
		}
		l.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		for _, s := range list {
			l.sender = s.workspace
			l.sent[s.workspace.Name] += s.kind.value
			l.submit(s.kind)
		}
		l.advance(interval)
	}
}

// playFlood plays the load with one workspace at a multiple of its usual rate for a while, over several
// seeds, and returns the value of the jobs and of those on time, by workspace.
func playFlood(t *testing.T, flooding string, factor float64) (sent, onTime map[string]float64) {
	sent, onTime = map[string]float64{}, map[string]float64{}
	for seed := range uint64(4) {
		l := newSharedLoad(t)
		l.rng = rand.New(rand.NewPCG(seed, 7))
		l.play(4*time.Second, "", 1)
		l.play(12*time.Second, flooding, factor)
		l.play(6*time.Second, "", 1)
		l.advance(14 * time.Second)
		for name := range l.sent {
			sent[name] += l.sent[name]
			onTime[name] += l.onTime[name]
		}
	}
	return sent, onTime
}

// Guards against a flood by one workspace for which the callers of the others pay, and against one for
// which the flooding workspace loses what it may send. Without the rates and the bound of what is lent,
// the others had 0.62 of the value on time beside a workspace at twenty times its usual rate.
func TestFloodByOneWorkspaceCostsTheOthersNothing(t *testing.T) {
	sent, calm := playFlood(t, "ws1", rateFactor)
	for _, factor := range []float64{8, 20} {
		sentBesideFlood, besideFlood := playFlood(t, "ws1", factor)
		allSent, allCalm, allSentBeside, allBeside := 0.0, 0.0, 0.0, 0.0
		for _, name := range []string{"ws0", "ws2", "ws3", "ws4"} {
			t.Logf("%s: %.3f on time, %.3f beside %v times the usual rate", name, calm[name]/sent[name], besideFlood[name]/sentBesideFlood[name], factor)
			require.Greater(t, besideFlood[name]/sentBesideFlood[name], minValueShare, name)
			allSent, allCalm = allSent+sent[name], allCalm+calm[name]
			allSentBeside, allBeside = allSentBeside+sentBesideFlood[name], allBeside+besideFlood[name]
		}
		require.Greater(t, allBeside/allSentBeside, allCalm/allSent-valueShareNoise)
		require.Greater(t, besideFlood["ws1"], calm["ws1"]*(1-valueShareNoise))
	}
}

// Guards against a job beyond its workspace's rate that waits although its pool is idle, because another
// pool is full, and against a long-running one that waits for the cell to empty.
func TestWorkBeyondTheRateStartsInAnIdlePool(t *testing.T) {
	c := cellWithWorkspaces(t, 8, 0)
	for i := range 8 {
		c.workers[fmt.Sprintf("w%02d", i)].Pool = []string{"p", "other"}[i%2]
	}
	c.publishRegistry()
	c.runTime = func(cluster.Start) time.Duration { return time.Hour }
	submit := func(id, pool string, step flow.Step) {
		require.NoError(t, c.append(flow.Record{Submit: &flow.Submit{ID: id, Queue: "q", Pool: pool, Workspace: "ws0", Rate: 0.01, Config: 1, Steps: []flow.Step{step}, MaxAttempts: 3, AtMS: c.wallMS()}}))
	}
	serving := batchStep(1)
	serving.LongRunning = true
	submit("full", "other", batchStep(14))
	submit("idle", "p", batchStep(2))
	submit("waits", "other", batchStep(2))
	submit("lasts", "other", serving)
	c.advance(time.Second)
	for id, begun := range map[string]int{"full": 14, "idle": 2, "waits": 0, "lasts": 1} {
		require.Equal(t, begun, c.state.Jobs[id].ActiveRuns, id)
	}
}

// Measures a planning pass over a backlog in a full cell, by the number of workspaces that it comes from.
func BenchmarkPlanWorkspaces(b *testing.B) {
	for _, workspaces := range []int{0, 1, 1000} {
		b.Run(fmt.Sprint(workspaces), func(b *testing.B) {
			c := newFakeCell(b, 350, resource.Vector{MilliCores: 64000, MemoryMiB: 262144})
			for i := range workspaces {
				c.config.Workspaces = append(c.config.Workspaces, cluster.Workspace{Name: fmt.Sprint("ws", i), Weight: 1 + float64(i%7), Maximum: resource.Vector{MilliCores: 1 << 30}})
			}
			c.takeOver()
			c.advance(200 * time.Millisecond)
			rng := rand.New(rand.NewPCG(1, 1))
			submit := func(id string, step flow.Step) {
				workspace := ""
				if workspaces > 0 {
					workspace = fmt.Sprint("ws", rng.IntN(workspaces))
				}
				c.submitFrom(workspace, id, step)
			}
			for i := range 350 {
				submit(fmt.Sprint("full", i), flow.Step{Count: 1, Size: resource.Vector{MilliCores: 63000, MemoryMiB: 1000}, EstimateMS: 60000})
			}
			c.runTime = func(cluster.Start) time.Duration { return time.Hour }
			c.advance(300 * time.Millisecond)
			for i := range 2000 {
				submit(fmt.Sprint("wait", i), flow.Step{Count: 8, Size: resource.Vector{MilliCores: 4000 + int64(i), MemoryMiB: 9000}, EstimateMS: 800})
			}
			b.ResetTimer()
			for b.Loop() {
				c.now += planInterval
				c.placer.planNeeded = true
				c.placer.Tick(c.now, c.wallMS())
			}
		})
	}
}
