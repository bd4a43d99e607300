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
)

// cellWithWorkspaces returns a fake cell with workspaces that may each run the given number of tasks
// of batchStep.
func cellWithWorkspaces(t testing.TB, workers int, tasks ...int64) *fakeCell {
	c := newFakeCell(t, workers, workerCapacity)
	for i, n := range tasks {
		c.config.Workspaces = append(c.config.Workspaces, cluster.Workspace{
			Name: fmt.Sprint("ws", i), Weight: 10, Maximum: resource.Vector{MilliCores: n * batchStep(1).Size.MilliCores},
		})
	}
	c.takeOver()
	c.advance(200 * time.Millisecond)
	return c
}

func (c *fakeCell) submitFrom(workspace, id string, steps ...flow.Step) {
	require.NoError(c.t, c.append(flow.Record{Submit: &flow.Submit{ID: id, Queue: "q", Pool: "p", Workspace: workspace, Config: 1, Spec: id, Steps: steps, MaxAttempts: 3, AtMS: c.wallMS()}}))
}

// workspaceUse returns what the workers run for a workspace. On the platform the members of a gang end
// together as done, on the fake workers one by one: those of a gang that is done do not count.
func (c *fakeCell) workspaceUse(name string) (used resource.Vector) {
	for _, w := range c.workers {
		for id := range w.runs {
			if j := c.state.Jobs[id.Job]; j.Workspace == name && !(j.Steps[id.Step].Gang && c.state.Task(id).Done) {
				used = used.Add(j.Steps[id.Step].Size)
			}
		}
	}
	return used
}

// checkWorkspaces fails the test if the workers run more for a workspace than the placer counts, or
// more than the highest maximum so far allows.
func (c *fakeCell) checkWorkspaces(maximum map[string]int64) {
	for i := range c.config.Workspaces {
		name := c.config.Workspaces[i].Name
		used := c.workspaceUse(name)
		require.True(c.t, used.Fits(c.placer.workspaceOf(name).Used), "%s runs %v, counted %v", name, used, c.placer.workspaceOf(name).Used)
		require.LessOrEqual(c.t, used.MilliCores, maximum[name], name)
	}
}

// Guards against a step that waits as a whole although a part of it may start, a gang that starts in
// part, and a workspace that is stopped by the maximum of another one.
func TestMaximumLimitsWhatAWorkspaceRuns(t *testing.T) {
	c := cellWithWorkspaces(t, 8, 3, 0)
	c.runTime = func(cluster.Start) time.Duration { return time.Second }
	gang := batchStep(3)
	gang.Gang = true
	c.submitFrom("ws0", "wide", batchStep(7))
	c.submitFrom("ws0", "gang", gang)
	c.submitFrom("ws1", "free", batchStep(7))
	c.advance(500 * time.Millisecond)
	require.EqualValues(t, 3*4000, c.workspaceUse("ws0").MilliCores)
	require.EqualValues(t, 7*4000, c.workspaceUse("ws1").MilliCores)
	require.Equal(t, 2, c.placer.Summarize(c.now, c.wallMS()).Workspaces["ws0"].HeldSteps)
	for range 600 {
		c.advance(10 * time.Millisecond)
		c.checkWorkspaces(map[string]int64{"ws0": 3 * 4000, "ws1": 7 * 4000})
	}
	require.Equal(t, map[flow.Phase]int{flow.Completed: 3}, c.jobsByPhase())
	reports := 0
	for _, d := range c.decisions {
		if d.Kind == decisionAtMaximum {
			require.Equal(t, "ws0", d.Reason)
			reports++
		}
	}
	require.Positive(t, reports)
	require.LessOrEqual(t, reports, 7)
}

// Guards against a gang that waits for as long as its workspace sends single tasks that are less urgent:
// near the maximum each of them fits sooner.
func TestGangAtTheMaximumPrecedesLessUrgentTasks(t *testing.T) {
	c := cellWithWorkspaces(t, 8, 4)
	c.config.Queues = append(c.config.Queues, cluster.Queue{Name: "less", Pool: "p", Priority: 1, MaxAttempts: 3, Slack: 2, Target: time.Minute})
	c.placer.SetConfig(c.config)
	c.runTime = func(cluster.Start) time.Duration { return 800 * time.Millisecond }
	single := func(i int) {
		require.NoError(t, c.append(flow.Record{Submit: &flow.Submit{ID: fmt.Sprint("single", i), Queue: "less", Pool: "p", Workspace: "ws0", Config: 1, Steps: []flow.Step{batchStep(1)}, MaxAttempts: 3, AtMS: c.wallMS()}}))
	}
	for i := range 40 {
		if i == 20 {
			gang := batchStep(4)
			gang.Gang = true
			c.submitFrom("ws0", "gang", gang)
		}
		single(i)
		c.advance(100 * time.Millisecond)
	}
	require.Equal(t, flow.Completed, c.state.Jobs["gang"].Phase, "it starts once the tasks before it have ended")
	c.advance(10 * time.Second)
	require.Equal(t, map[flow.Phase]int{flow.Completed: 41}, c.jobsByPhase())
}

// Guards against a lowered maximum that stops runs, or that does not keep new ones from starting.
func TestLoweredMaximumStopsNoRuns(t *testing.T) {
	c := cellWithWorkspaces(t, 8, 6)
	c.runTime = func(cluster.Start) time.Duration { return 2 * time.Second }
	c.submitFrom("ws0", "j", batchStep(12))
	c.advance(500 * time.Millisecond)
	lowered := *c.config
	lowered.Version, lowered.Workspaces = 2, []cluster.Workspace{{Name: "ws0", Maximum: resource.Vector{MilliCores: 2 * 4000}}}
	c.config = &lowered
	c.placer.SetConfig(c.config)
	c.advance(time.Second)
	require.EqualValues(t, 6*4000, c.workspaceUse("ws0").MilliCores)
	c.advance(time.Second)
	require.EqualValues(t, 2*4000, c.workspaceUse("ws0").MilliCores)
	c.advance(6 * time.Second)
	require.Equal(t, map[flow.Phase]int{flow.Completed: 1}, c.jobsByPhase())
	require.Equal(t, 12, c.starts)
}

// Guards against calls for advice that a workspace can't use: at its maximum, each of its waiting
// steps would take the advice service from the others.
func TestStepsAtTheMaximumAskForNoAdvice(t *testing.T) {
	c := cellWithWorkspaces(t, 8, 4)
	c.addAdvisedQueue(20 * time.Millisecond)
	c.placer.SetConfig(c.config)
	require.NoError(t, c.append(flow.Record{Hello: &flow.Hello{Daemon: "d1", Address: "x"}}))
	calls, answer := 0, c.advice
	c.advice = func(a *AdviseCommand) []cluster.Grant { calls++; return answer(a) }
	c.runTime = func(cluster.Start) time.Duration { return time.Hour }
	for i := range 50 {
		require.NoError(t, c.append(flow.Record{Submit: &flow.Submit{ID: fmt.Sprint("j", i), Queue: "advised", Pool: "p", Workspace: "ws0", Config: 1, Steps: []flow.Step{batchStep(2)}, MaxAttempts: 3, AtMS: c.wallMS()}}))
	}
	c.advance(5 * time.Second)
	require.EqualValues(t, 4*4000, c.workspaceUse("ws0").MilliCores)
	require.LessOrEqual(t, calls, 3)
}

// countLag is how long after the last fault the placer's count may stay above what the workers run:
// until late commands were executed and their leases have expired.
const countLag = maxCommandDelay + 10*time.Second + time.Second

// Guards against a count below what the workers run, under lost answers, late commands, partitioned
// and restarted workers, cancellations, changed maxima and takeovers; and against a count that stays
// too high, for which the workspace would wait.
func TestWorkspaceCountsUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		rng := rand.New(rand.NewPCG(seed, 1))
		c := cellWithWorkspaces(t, 4, 5, 9)
		highest := map[string]int64{"ws0": 5 * 4000, "ws1": 9 * 4000}
		c.runTime = func(cluster.Start) time.Duration { return time.Duration(100+rng.IntN(1500)) * time.Millisecond }
		faultsOn := true
		c.commandFault = func(Command) (bool, time.Duration) {
			if !faultsOn || rng.IntN(20) > 0 {
				return false, 0
			}
			return true, time.Duration(rng.IntN(4000)) * time.Millisecond
		}
		advance := func(d time.Duration) {
			for end := c.now + d; c.now < end; {
				c.advance(10 * time.Millisecond)
				c.checkWorkspaces(highest)
				clear(c.listedDone) // a late command may start a task after its end was listed
			}
		}
		jobs := 0
		for range 30 {
			switch rng.IntN(13) {
			case 0:
				c.takeOver()
			case 1, 2:
				w := c.workers[fmt.Sprintf("w%02d", rng.IntN(4))]
				w.partitioned = !w.partitioned
			case 3:
				c.restart(c.workers[fmt.Sprintf("w%02d", rng.IntN(4))])
			case 4:
				if j := c.state.Jobs[fmt.Sprint("j", rng.IntN(jobs+1))]; j != nil {
					require.NoError(t, c.append(flow.Record{Cancel: &flow.Cancel{ID: j.ID}}))
				}
			case 5:
				tasks := int64(3 + rng.IntN(8))
				changed := *c.config
				changed.Workspaces = append([]cluster.Workspace(nil), c.config.Workspaces...)
				changed.Workspaces[0].Maximum.MilliCores = tasks * 4000
				c.config = &changed
				highest["ws0"] = max(highest["ws0"], tasks*4000)
				c.placer.SetConfig(c.config)
			default:
				second := batchStep(1 + rng.IntN(3))
				second.DependsOn, second.Gang = []int{0}, rng.IntN(2) == 0
				c.submitFrom(fmt.Sprint("ws", rng.IntN(2)), fmt.Sprint("j", jobs), batchStep(1+rng.IntN(6)), second)
				jobs++
			}
			c.publishRegistry()
			advance(time.Duration(100+rng.IntN(1500)) * time.Millisecond)
		}
		faultsOn = false
		for _, w := range c.workers {
			w.partitioned = false
		}
		c.takeOver()
		c.retireFormerPlacers()
		advance(countLag)
		c.submitFrom("ws0", "probe", batchStep(1))
		advance(16 * time.Second)
		phases := c.jobsByPhase()
		require.Equal(t, jobs+1, phases[flow.Completed]+phases[flow.Cancelled], "seed %d: %v", seed, phases)
		for name := range highest {
			require.Zero(t, c.placer.workspaceOf(name).Used, "seed %d", seed)
		}
	})
}

// Guards against a maximum that stays in use for ever: a worker that is taken away reports no more that a run
// has ended of which the task has another run by then.
func TestRunsOfALostWorkerEndToCount(t *testing.T) {
	c := cellWithWorkspaces(t, 8, 1)
	c.runTime = func(cluster.Start) time.Duration { return time.Hour }
	c.submitFrom("ws0", "lost", batchStep(1))
	c.advance(500 * time.Millisecond)
	c.workers["w07"].up, c.workers["w07"].inRegistry = false, false
	c.placer.countUntracked(c.placer.vms["w07"], []cluster.RunID{{TaskID: cluster.TaskID{Job: "lost"}, Run: 1}})
	require.Equal(t, 2, c.placer.workspaceOf("ws0").Runs)
	c.publishRegistry()
	c.advance(countLag)
	c.publishRegistry()
	require.NotContains(t, c.placer.vms, "w07")
	require.Equal(t, 1, c.placer.workspaceOf("ws0").Runs)
}
