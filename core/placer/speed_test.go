package placer

import (
	"fmt"
	"math"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/cluster"
	"briarproxy/core/flow"
	"briarproxy/core/resource"
)

// unevenLoad has the kinds of largeLoad for workers that differ in speed, at seven tenths of the capacity of 60
// workers.
var unevenLoad = []requestKind{
	{"survey", 0.72, 1.2, 20, 4200 * time.Millisecond, resource.Vector{MilliCores: 18000, MemoryMiB: 33000}, 1, 2.2, 1200 * time.Millisecond,
		&cluster.Advice{Decide: 560 * time.Millisecond, PerVM: 8 * time.Millisecond, Valid: 1500 * time.Millisecond, MaxVMs: 100}, 0.5, 13.1},
	{"cert", 1.85, 1.5, 25, 1900 * time.Millisecond, resource.Vector{MilliCores: 6900, MemoryMiB: 13000}, 0, 4, 3 * time.Second,
		&cluster.Advice{Decide: 104 * time.Millisecond, PerVM: 1400 * time.Microsecond, Valid: 1500 * time.Millisecond, MaxVMs: 100}, 0.45, 3.17},
	{"check", 20.7, 1, 3.2, 540 * time.Millisecond, resource.Vector{MilliCores: 9900, MemoryMiB: 10000}, 0, 1.5, 600 * time.Millisecond,
		&cluster.Advice{Decide: 9400 * time.Microsecond, PerVM: 130 * time.Microsecond, Valid: 1500 * time.Millisecond, MaxVMs: 100}, 0.7, 0.398},
}

// threeSpeeds makes a third of the workers run tasks in 0.6 of the usual time and a third in 1.7 times that.
func threeSpeeds(w *fakeWorker, _ *cluster.Start) float64 {
	n, _ := strconv.Atoi(w.Life.Worker[1:])
	return []float64{1 / 1.6, 1, 1 / 0.6}[n%3]
}

// playUneven plays 30 seconds at a multiple of the load's rates and returns it.
func playUneven(t *testing.T, disabled DisabledMechanisms, load float64, seed uint64) *workload {
	w := newWorkloadWithCapacity(t, 60, 20, resource.Vector{MilliCores: 64000, MemoryMiB: 131072}, unevenLoad, seed)
	w.slowness = func(worker *fakeWorker, s *cluster.Start) float64 {
		slowest := threeSpeeds(worker, s)
		if step := w.placer.steps[s.StepID()]; step != nil && step.def.Gang {
			for i := range step.def.Count { // the members end together
				if r := w.placer.runs[step.taskID(i)]; r != nil && r.Run == s.Run {
					slowest = max(slowest, threeSpeeds(w.workers[r.vm.Life.Worker], s))
				}
			}
		}
		return slowest
	}
	for i, priority := range []int{1, 2, 0} {
		w.config.Queues[i].Priority = priority
	}
	w.answerDelay = 60 * time.Millisecond
	w.placer.options.Disabled = disabled
	w.generate(6*time.Second, load)
	w.resetCounts()
	w.generate(24*time.Second, load)
	w.advance(30 * time.Second)
	t.Log(w)
	return w
}

// Guards against urgent work and gangs on slow workers while others have room: in a cell in which each third worker takes
// 1.7 times as long as the usual ones, one of ten quick requests was late although a third of the cell was idle.
func TestUrgentWorkKeepsOffSlowWorkers(t *testing.T) {
	const seeds = 3
	for _, load := range []float64{0.6, 1, 1.4} {
		before, after := map[string]float64{}, map[string]float64{}
		for seed := range uint64(seeds) {
			for shares, disabled := range map[*map[string]float64]DisabledMechanisms{&before: {WorkerSpeeds: true}, &after: {}} {
				w := playUneven(t, disabled, load, seed+1)
				for _, kind := range []string{"check", "cert", "survey"} {
					(*shares)[kind] += w.onTimeShare(kind) / seeds
				}
				(*shares)["value"] += w.valueShare() / seeds
			}
		}
		t.Logf("load %.1f: before %.3v after %.3v", load, before, after)
		require.Greater(t, after["check"], before["check"]+valueShareNoise, "load %.1f", load)
		require.Greater(t, after["value"], before["value"]-valueShareNoise, "load %.1f", load)
		require.Greater(t, after["cert"], before["cert"]-valueShareNoise, "load %.1f: starvation of the least urgent queue", load)
	}
}

// Guards against speeds that are learned from what says nothing about a worker: members of a gang, which wait for each
// other, and runs that go on from a checkpoint.
func TestOnlyWholeRunsMeasureTheirWorker(t *testing.T) {
	c := newFakeCell(t, 2, workerCapacity)
	c.takeOver()
	c.advance(200 * time.Millisecond)
	gang := batchStep(4)
	gang.Gang = true
	c.submit("gang", gang)
	c.advance(4 * time.Second)
	require.Equal(t, flow.Completed, c.state.Jobs["gang"].Phase)
	evidence := func() float64 {
		return c.placer.speeds.estimator.Of("w00", c.now).Runs + c.placer.speeds.estimator.Of("w01", c.now).Runs
	}
	require.Zero(t, evidence())
	c.submit("batch", batchStep(4))
	c.advance(4 * time.Second)
	require.Positive(t, evidence())
}

// cellWithLearnedSpeeds returns a cell of twelve workers of three speeds, after a minute of work on all of them.
func cellWithLearnedSpeeds(t *testing.T) *fakeCell {
	c := newFakeCell(t, 12, workerCapacity)
	c.slowness = threeSpeeds
	c.takeOver()
	c.advance(200 * time.Millisecond)
	for i := range 40 {
		c.submit(fmt.Sprint("j", i), batchStep(36))
		c.advance(1500 * time.Millisecond)
	}
	return c
}

// Guards against a speed that a worker keeps although it has become another machine.
func TestSpeedOfAnotherMachineIsForgotten(t *testing.T) {
	c := cellWithLearnedSpeeds(t)
	require.Positive(t, c.placer.vms["w02"].speedLevel)
	w := c.workers["w02"]
	w.Capacity = resource.Vector{MilliCores: 2 * w.Capacity.MilliCores, MemoryMiB: w.Capacity.MemoryMiB}
	c.publishRegistry()
	require.Zero(t, c.placer.vms["w02"].speedLevel)
	require.InDelta(t, 1, c.placer.speeds.estimator.Of("w02", c.now).Slowness, math.SmallestNonzeroFloat64)
}

// Guards against a new placer that sends urgent work to slow workers until it has learned their speeds again.
func TestSuccessorKnowsTheSpeeds(t *testing.T) {
	c := cellWithLearnedSpeeds(t)
	former := c.placer.speeds.estimator
	c.advance(time.Second)
	head, chunks, err := c.state.Snapshot(1, c.now)
	require.NoError(t, err)
	c.state, err = flow.Restore(head, chunks, c.now)
	require.NoError(t, err)
	c.takeOver()
	for id := range c.workers {
		before, after := former.Of(id, c.now), c.placer.speeds.estimator.Of(id, c.now)
		require.InDelta(t, math.Log(before.Slowness), math.Log(after.Slowness), 0.11, id)
	}
	require.Greater(t, c.placer.speeds.estimator.Of("w02", c.now).Slowness, c.placer.speeds.estimator.Of("w00", c.now).Slowness)
}
