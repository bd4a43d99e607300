package placer

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/cluster"
	"briarproxy/core/flow"
	"briarproxy/core/resource"
)

// requestKind describes one kind of request of a generated load.
type requestKind struct {
	name         string
	rate         float64         // jobs per second
	steps        float64         // mean steps of a job
	width        float64         // mean tasks of a step
	duration     time.Duration   // mean of a task
	size         resource.Vector // mean of a task
	gangShare    float64         // share of the steps that are gangs
	slack        float64
	target       time.Duration
	advice       *cluster.Advice
	grantedShare float64 // share of the workers that advice grants
	value        float64 // of a job on time
}

// The same three kinds of requests for 48 workers (smallLoad), 350 (largeLoad) and 370 (wideLoad).
var (
	smallLoad = []requestKind{
		{"survey", 1.16, 1.2, 8, 6200 * time.Millisecond, resource.Vector{MilliCores: 18000, MemoryMiB: 37000}, 1, 2.2, 1200 * time.Millisecond,
			&cluster.Advice{Decide: 650 * time.Millisecond, PerVM: 9200 * time.Microsecond, Valid: 1500 * time.Millisecond, MaxVMs: 100}, 0.25, 15.8},
		{"cert", 4.36, 1.5, 10, 3400 * time.Millisecond, resource.Vector{MilliCores: 3900, MemoryMiB: 14000}, 0, 4, 3 * time.Second,
			&cluster.Advice{Decide: 82 * time.Millisecond, PerVM: 1200 * time.Microsecond, Valid: 1500 * time.Millisecond, MaxVMs: 100}, 0.45, 2.63},
		{"check", 38.7, 1, 2, 800 * time.Millisecond, resource.Vector{MilliCores: 5600, MemoryMiB: 21000}, 0.3, 1.5, 600 * time.Millisecond,
			&cluster.Advice{Decide: 9300 * time.Microsecond, PerVM: 130 * time.Microsecond, Valid: 1500 * time.Millisecond, MaxVMs: 100}, 0.7, 0.415},
	}
	largeLoad = []requestKind{
		{"survey", 3.46, 1.2, 20, 6200 * time.Millisecond, resource.Vector{MilliCores: 18000, MemoryMiB: 67000}, 1, 2.2, 1200 * time.Millisecond,
			&cluster.Advice{Decide: 540 * time.Millisecond, PerVM: 7700 * time.Microsecond, Valid: 1500 * time.Millisecond, MaxVMs: 100}, 0.25, 16},
		{"cert", 8.97, 1.5, 25, 2700 * time.Millisecond, resource.Vector{MilliCores: 6900, MemoryMiB: 20000}, 0, 4, 3 * time.Second,
			&cluster.Advice{Decide: 100 * time.Millisecond, PerVM: 1400 * time.Microsecond, Valid: 1500 * time.Millisecond, MaxVMs: 100}, 0.45, 3.87},
		{"check", 125, 1, 3.2, 640 * time.Millisecond, resource.Vector{MilliCores: 9900, MemoryMiB: 37000}, 0.3, 1.5, 600 * time.Millisecond,
			&cluster.Advice{Decide: 7200 * time.Microsecond, PerVM: 100 * time.Microsecond, Valid: 1500 * time.Millisecond, MaxVMs: 100}, 0.7, 0.388},
	}
	wideLoad = []requestKind{
		{"survey", 5.47, 1.2, 13, 6200 * time.Millisecond, resource.Vector{MilliCores: 18000, MemoryMiB: 67000}, 1, 2.2, 1200 * time.Millisecond,
			&cluster.Advice{Decide: 600 * time.Millisecond, PerVM: 8500 * time.Microsecond, Valid: 1500 * time.Millisecond, MaxVMs: 100}, 0.23, 8.66},
		{"cert", 11.3, 1.5, 14, 2700 * time.Millisecond, resource.Vector{MilliCores: 11000, MemoryMiB: 30000}, 0, 4, 3 * time.Second,
			&cluster.Advice{Decide: 140 * time.Millisecond, PerVM: 2 * time.Millisecond, Valid: 1500 * time.Millisecond, MaxVMs: 100}, 0.6, 2.63},
		{"check", 103, 1, 3, 640 * time.Millisecond, resource.Vector{MilliCores: 16000, MemoryMiB: 37000}, 0.3, 1.5, 600 * time.Millisecond,
			&cluster.Advice{Decide: 15 * time.Millisecond, PerVM: 220 * time.Microsecond, Valid: 1500 * time.Millisecond, MaxVMs: 100}, 0.7, 0.403},
	}
)

// workload generates a load on a fake cell and counts the jobs by kind.
type workload struct {
	*fakeCell
	kinds       []requestKind
	rng         *rand.Rand
	durations   map[cluster.StepID]time.Duration // actual duration of a step's tasks
	submittedAt map[string]time.Duration
	kindOf      map[string]*requestKind
	objective   map[string]time.Duration
	onTime      map[string]int // by kind
	late        map[string]int // by kind
	submitted   map[string]int // by kind
	jobs        int
	daemons     int
	counted     map[string]bool    // jobs that are counted or left out of the counts
	sender      *cluster.Workspace // of the jobs submitted next; nil is none
}

func newWorkload(t testing.TB, workers, daemons int, kinds []requestKind, seed uint64) *workload {
	return newWorkloadWithCapacity(t, workers, daemons, resource.Vector{MilliCores: 64000, MemoryMiB: 262144}, kinds, seed)
}

func newWorkloadWithCapacity(t testing.TB, workers, daemons int, capacity resource.Vector, kinds []requestKind, seed uint64) *workload {
	w := &workload{
		fakeCell: newFakeCell(t, workers, capacity), kinds: kinds,
		rng: rand.New(rand.NewPCG(seed, 1)), durations: map[cluster.StepID]time.Duration{}, submittedAt: map[string]time.Duration{}, objective: map[string]time.Duration{},
		counted: map[string]bool{}, kindOf: map[string]*requestKind{}, onTime: map[string]int{}, late: map[string]int{}, submitted: map[string]int{},
	}
	w.config.Queues = nil
	for i := range kinds {
		k := &kinds[i]
		w.config.Queues = append(w.config.Queues, cluster.Queue{Name: k.name, Pool: "p", MaxAttempts: 4, Slack: k.slack, Target: k.target, Advice: k.advice})
	}
	w.answerDelay = 20 * time.Millisecond
	w.runTime = func(s cluster.Start) time.Duration { return w.durations[s.StepID()] }
	w.advice = func(a *AdviseCommand) []cluster.Grant {
		var grants []cluster.Grant
		for _, worker := range a.Workers {
			h := fnv.New32a()
			_, _ = fmt.Fprint(h, a.Step, worker)
			if float64(h.Sum32()%1000) < 1000*w.kindOf[a.Step.Job].grantedShare {
				grants = append(grants, cluster.Grant{Worker: worker, Ticket: "t"})
			}
		}
		return grants
	}
	w.onJobEnd = w.countJob
	w.daemons = daemons
	w.sendHellos()
	w.takeOver()
	w.advance(500 * time.Millisecond)
	return w
}

// sendHellos appends the hello records of all daemons, periodically.
func (w *workload) sendHellos() {
	for i := range w.daemons {
		require.NoError(w.t, w.append(flow.Record{Hello: &flow.Hello{Daemon: fmt.Sprintf("d%02d", i), Address: "x"}}))
	}
	w.after(5*time.Second, w.sendHellos)
}

// logNormal draws from a log-normal distribution with the given mean.
func (w *workload) logNormal(mean, sigma float64) float64 {
	return mean * math.Exp(sigma*w.rng.NormFloat64()-sigma*sigma/2)
}

// countJob counts a completed job as on time, late or neither.
func (w *workload) countJob(j *flow.Job) {
	k := w.kindOf[j.ID]
	if k == nil || w.counted[j.ID] || j.Phase != flow.Completed {
		return
	}
	w.counted[j.ID] = true
	switch elapsed := w.now - w.submittedAt[j.ID]; {
	case elapsed <= w.objective[j.ID]:
		w.onTime[k.name]++
	case elapsed <= 3*w.objective[j.ID]:
		w.late[k.name]++
	}
}

func (w *workload) submit(k *requestKind) {
	id := fmt.Sprintf("%s-%05d", k.name, w.jobs)
	w.jobs++
	submission := &flow.Submit{ID: id, Queue: k.name, Pool: "p", Config: 1, Spec: "s", MaxAttempts: 4, AtMS: w.wallMS()}
	if w.sender != nil {
		submission.Workspace, submission.Rate = w.sender.Name, w.sender.Weight
	}
	criticalPath := time.Duration(0)
	for s := range max(1, int(w.logNormal(k.steps, 0.4)+0.5)) {
		duration := time.Duration(w.logNormal(1, 0.5) * float64(k.duration))
		step := flow.Step{
			Count: min(max(1, int(w.logNormal(k.width, 0.8)+0.5)), int(6*k.width)), EstimateMS: int64(w.logNormal(1, 0.5) * float64(duration.Milliseconds())),
			Size: resource.Vector{MilliCores: int64(min(w.logNormal(1, 0.4), 1.66) * float64(k.size.MilliCores)), MemoryMiB: int64(min(w.logNormal(1, 0.5), 1.9) * float64(k.size.MemoryMiB))},
			Gang: w.rng.Float64() < k.gangShare,
		}
		if s > 0 {
			step.DependsOn = []int{s - 1}
		}
		submission.Steps = append(submission.Steps, step)
		w.durations[cluster.StepID{Job: id, Step: s}] = duration
		criticalPath += duration
	}
	w.submittedAt[id], w.kindOf[id] = w.now, k
	w.objective[id] = time.Duration(k.slack*float64(criticalPath)) + k.target
	w.submitted[k.name]++
	require.NoError(w.t, w.append(flow.Record{Submit: submission}))
}

// generate submits jobs of all kinds for the given duration, at a multiple of their rates.
func (w *workload) generate(duration time.Duration, factor float64) {
	const interval = 20 * time.Millisecond
	for end := w.now + duration; w.now < end; {
		for i := range w.kinds {
			for n := w.rng.Float64(); n < w.kinds[i].rate*factor*interval.Seconds(); n++ {
				w.submit(&w.kinds[i])
			}
		}
		w.advance(interval)
	}
}

// onTimeShare returns the share of the submitted jobs of a kind that ended on time.
func (w *workload) onTimeShare(kind string) float64 {
	return float64(w.onTime[kind]) / float64(max(1, w.submitted[kind]))
}

// valueShare returns the share of the total value that was earned. Late jobs earn a fifth of
// their value.
func (w *workload) valueShare() float64 {
	earned, total := 0.0, 0.0
	for _, k := range w.kinds {
		earned += k.value * (float64(w.onTime[k.name]) + 0.2*float64(w.late[k.name]))
		total += k.value * float64(w.submitted[k.name])
	}
	return earned / total
}

func (w *workload) String() string {
	s := fmt.Sprintf("value share %.3f, starts %d, placer %.3f cores", w.valueShare(), w.starts, w.placerTime.Seconds()/w.now.Seconds())
	for _, k := range w.kinds {
		s += fmt.Sprintf("; %s %d: %.3f on time, %d late", k.name, w.submitted[k.name], w.onTimeShare(k.name), w.late[k.name])
	}
	return s
}

// resetCounts resets the counts. Only jobs submitted from now on count.
func (w *workload) resetCounts() {
	w.onTime, w.late, w.submitted = map[string]int{}, map[string]int{}, map[string]int{}
	for id := range w.kindOf {
		w.counted[id] = true
	}
}

// Guards against a backlog that grows although most of the capacity is free. After an outage of
// the placer in a cell of 350 workers, the time between planning passes grew with the number
// of waiting steps, while each pass placed the same small number of them.
func TestBacklogAfterAnOutageDrains(t *testing.T) {
	w := newWorkload(t, 350, 37, largeLoad, 1)
	w.generate(5*time.Second, 1)
	w.placer = nil
	w.generate(6*time.Second, 1)
	w.takeOver()
	w.retireFormerPlacers()
	w.generate(9*time.Second, 1)
	require.Less(t, len(w.placer.steps), 400, "%v", w)
}

// Guards against new requests that become late behind a backlog. After a long outage all calls
// for advice were made for late steps, four in flight at each daemon.
func TestNewRequestsStayOnTimeDuringABacklog(t *testing.T) {
	w := newWorkload(t, 350, 37, largeLoad, 1)
	w.answerDelay = 60 * time.Millisecond
	w.generate(3*time.Second, 1)
	w.placer = nil
	w.generate(12*time.Second, 1)
	w.takeOver()
	w.retireFormerPlacers()
	w.generate(2*time.Second, 1)
	w.resetCounts()
	w.generate(5*time.Second, 1)
	require.Less(t, len(w.placer.steps), 800, "%v", w)
	w.generate(7*time.Second, 1)
	w.advance(2 * time.Second)
	require.Greater(t, w.onTimeShare("check"), 0.85, "%v", w)
}

// minValueShare is the mean share of the value that has to be earned under heavy load.
const minValueShare = 0.74

// Guards against an order of steps in which a long overload makes quick requests late behind
// wide ones. At two and a half times the load that uses four fifths of the capacity, first
// come, first served earned 0.54 of the value, and 0.39 of the quick requests were on time.
func TestQuickRequestsStayOnTimeUnderOverload(t *testing.T) {
	w := newWorkload(t, 48, 9, smallLoad, 1)
	w.answerDelay = 40 * time.Millisecond
	w.generate(25*time.Second, 2.5)
	w.advance(25 * time.Second)
	require.Greater(t, w.valueShare(), minValueShare, "%v", w)
	require.Greater(t, w.onTimeShare("check"), minValueShare, "%v", w)
}

// delayStarts makes a share of the start commands go unanswered and be executed 2 to 12 s later.
func (w *workload) delayStarts(share float64) {
	w.commandFault = func(c Command) (bool, time.Duration) {
		if c.Start == nil || w.rng.Float64() >= share {
			return false, 0
		}
		return true, 2*time.Second + time.Duration(w.rng.Int64N(int64(10*time.Second)))
	}
}

// valueShareNoise is the largest difference between two value shares that the requirements
// treat as insignificant.
const valueShareNoise = 0.03

// Guards against lost start commands that delay a task by a second each and cost a gang the work
// of all its members. With 4 of 100 commands unanswered in a cell of 370 workers, two of five gangs
// of thirteen lose a member at their first attempt.
func TestLostStartCommandsDoNotDelayTheirTasks(t *testing.T) {
	valueShare := func(lostShare float64) float64 {
		w := newWorkload(t, 370, 47, wideLoad, 1)
		w.answerDelay = 60 * time.Millisecond
		w.delayStarts(lostShare)
		w.generate(15*time.Second, 1)
		w.advance(20 * time.Second)
		t.Log(w)
		return w.valueShare()
	}
	require.Greater(t, valueShare(0.04), valueShare(0)-valueShareNoise)
}
