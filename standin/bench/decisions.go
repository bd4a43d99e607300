package bench

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"time"

	"briarproxy/core/place"
	"briarproxy/core/place/naive"
	"briarproxy/core/resource"
	"briarproxy/core/wire"
)

// Decisions are the cases of the benchmark of decisions.
type Decisions struct {
	Seed    uint64
	Workers []int
	Loads   []float64
	Gangs   []int
	Budget  time.Duration // measuring time per row and per version
}

// Limits of the number of decisions per row.
const (
	leastRepeats = 5
	mostRepeats  = 20_000
	warmUps      = 3
	allocRepeats = 50
)

// Targets of the decisions.
const (
	p99TargetNS    = 1_000_000
	smallestTarget = 50
	largestTarget  = 18_000
)

// Names of the works that are measured.
const (
	workSlot   = "request slot"
	workTask   = "batch task"
	workUrgent = "urgent task"
)

// DefaultDecisions returns the cases of the design page.
func DefaultDecisions(seed uint64) Decisions {
	return Decisions{
		Seed: seed, Workers: []int{50, 500, 5000, 18_000}, Loads: []float64{0.3, 0.8, 0.98},
		Gangs: []int{8, 64, 512}, Budget: 300 * time.Millisecond,
	}
}

// DecisionRow is one case. Times are per decision, so per whole gang, and include
// the commit.
type DecisionRow struct {
	Work        string  `json:"work"`
	Tasks       int     `json:"tasks"` // per decision
	Workers     int     `json:"workers"`
	Load        float64 `json:"load"`
	Repeats     int     `json:"repeats"`
	Placed      float64 `json:"placed"` // share of decisions that found room
	P50NS       int64   `json:"p50_ns"`
	P99NS       int64   `json:"p99_ns"`
	Allocs      float64 `json:"allocs"` // per decision
	NaiveRuns   int     `json:"naive_repeats"`
	NaivePlaced float64 `json:"naive_placed"`
	NaiveP50NS  int64   `json:"naive_p50_ns"`
	NaiveP99NS  int64   `json:"naive_p99_ns"`
}

// decision is one version of a work: do decides and commits, undo takes it back
// outside the measured time.
type decision struct {
	do   func() bool
	undo func()
}

// RunDecisions measures all cases on one core.
func RunDecisions(d Decisions) []DecisionRow {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var rows []DecisionRow
	for _, n := range d.Workers {
		for _, load := range d.Loads {
			rng := rand.New(rand.NewPCG(d.Seed, uint64(n)))
			cell := loadedCell(n, load, rng)
			full := &naive.Cell{Workers: cell.Workers()}
			row := DecisionRow{Workers: n, Load: load}
			rows = append(rows, d.row(row, workSlot, 1, slotDecision(cell), naiveSlot(full)))
			rows = append(rows, d.row(row, workTask, 1, indexed(cell, 1, d.Seed), scanned(full, 1, d.Seed)))
			rows = append(rows, d.row(row, workUrgent, 1, urgent(cell, d.Seed), decision{}))
			for _, size := range d.Gangs {
				name := fmt.Sprintf("gang of %d", size)
				rows = append(rows, d.row(row, name, size, indexed(cell, size, d.Seed), scanned(full, size, d.Seed)))
			}
		}
	}
	return rows
}

func (d Decisions) row(row DecisionRow, work string, tasks int, fast, full decision) DecisionRow {
	row.Work, row.Tasks = work, tasks
	times, placed := d.measure(fast)
	row.Repeats, row.Placed = len(times), placed
	row.P50NS, row.P99NS = quantiles(times)
	row.Allocs = allocations(fast)
	if full.do == nil {
		return row
	}
	times, row.NaivePlaced = d.measure(full)
	row.NaiveRuns = len(times)
	row.NaiveP50NS, row.NaiveP99NS = quantiles(times)
	return row
}

// measure repeats the decision until the budget is spent.
func (d Decisions) measure(work decision) ([]int64, float64) {
	for range warmUps {
		work.do()
		work.undo()
	}
	runtime.GC()
	times := make([]int64, 0, mostRepeats)
	placed := 0
	end := time.Now().Add(d.Budget)
	for len(times) < mostRepeats && (len(times) < leastRepeats || time.Now().Before(end)) {
		start := time.Now()
		ok := work.do()
		times = append(times, time.Since(start).Nanoseconds())
		if ok {
			placed++
		}
		work.undo()
	}
	return times, float64(placed) / float64(len(times))
}

func quantiles(times []int64) (int64, int64) {
	slices.Sort(times)
	last := len(times) - 1
	return times[last/2], times[int(math.Ceil(float64(last)*0.99))]
}

// allocations counts heap objects per decision without those of undo.
func allocations(work decision) float64 {
	var before, after runtime.MemStats
	total := uint64(0)
	for range allocRepeats {
		runtime.ReadMemStats(&before)
		work.do()
		runtime.ReadMemStats(&after)
		total += after.Mallocs - before.Mallocs
		work.undo()
	}
	return float64(total) / allocRepeats
}

func slotDecision(cell *place.Cell) decision {
	var slot place.Slot
	var ok bool
	return decision{
		do: func() bool {
			slot, ok = cell.PickSlot(poolName, &localOptions, nil)
			ok = ok && cell.TakeSlots(slot, 1)
			return ok
		},
		undo: func() {
			if ok {
				cell.ReturnSlots(slot, 1)
			}
		},
	}
}

func naiveSlot(cell *naive.Cell) decision {
	worker := -1
	return decision{
		do: func() bool {
			worker = cell.PickSlot(poolName, &localOptions)
			if worker >= 0 {
				cell.Workers[worker].Committed.Slots++
			}
			return worker >= 0
		},
		undo: func() {
			if worker >= 0 {
				cell.Workers[worker].Committed.Slots--
			}
		},
	}
}

// asks returns the tasks of decision n. Single tasks differ in size, one in eight
// wants an accelerator.
func asks(size, n int, rng *rand.Rand) []wire.TaskAsk {
	wanted := resource.Vector{MilliCores: smallestTaskCores + rng.Int64N(4000)}
	wanted.MemoryMiB = wanted.MilliCores * (2 + rng.Int64N(5)) * gibibyte / 1000
	if rng.IntN(8) == 0 {
		wanted.Accelerators = 1
	}
	gang := ""
	if size > 1 {
		gang = fmt.Sprintf("gang-%d", n)
	}
	all := make([]wire.TaskAsk, size)
	for i := range all {
		all[i] = wire.TaskAsk{
			TaskID: fmt.Sprintf("task-%d-%d", n, i), Job: "job", Generation: 1, Pool: poolName,
			Resources: wanted, Gang: gang, Priority: 100, RunMS: 60_000,
		}
	}
	return all
}

// prepared returns decisions with the same asks in the same order for both
// versions.
func prepared(size int, seed uint64) [][]wire.TaskAsk {
	rng := rand.New(rand.NewPCG(seed, uint64(size)))
	all := make([][]wire.TaskAsk, max(20_000/(size*size), 64))
	for n := range all {
		all[n] = asks(size, n, rng)
	}
	return all
}

func indexed(cell *place.Cell, size int, seed uint64) decision {
	rng := rand.New(rand.NewPCG(seed, seed))
	all := prepared(size, seed)
	n := 0
	var accepted []place.Assignment
	return decision{
		do: func() bool {
			plan := cell.Plan(all[n%len(all)], localOptions, 0, rng)
			accepted, _ = cell.Commit(plan, localOptions, 0)
			return len(accepted) == size
		},
		undo: func() {
			for _, a := range accepted {
				cell.Release(a.Ask.TaskID, a.Ask.Generation)
			}
			n++
		},
	}
}

func scanned(cell *naive.Cell, size int, seed uint64) decision {
	all := prepared(size, seed)
	n := 0
	var placed []int
	return decision{
		do: func() bool {
			placed = cell.PlaceGang(all[n%len(all)], &localOptions, 0)
			return placed != nil
		},
		undo: func() {
			cell.Undo(placed)
			n++
		},
	}
}

// urgent plans one large task that may preempt others. The plan is not carried
// out, so that each decision finds the same load. It has no naive version.
func urgent(cell *place.Cell, seed uint64) decision {
	rng := rand.New(rand.NewPCG(seed, seed))
	all := prepared(1, seed)
	n := 0
	return decision{
		do: func() bool {
			plan := cell.Plan(all[n%len(all)], localOptions, 0, rng)
			return len(plan.Assignments)+len(plan.Preemptions) == 1
		},
		undo: func() {
			n++
			ask := &all[n%len(all)][0]
			ask.Priority, ask.CanPreempt = 1000, true
			ask.Resources = resource.Vector{MilliCores: 16_000, MemoryMiB: 48 * gibibyte}
		},
	}
}

// DecisionTargets compares the rows with the targets of the design page.
func DecisionTargets(rows []DecisionRow) []Target {
	targets := []Target{noAllocation(rows)}
	for _, r := range rows {
		if r.Workers == largestTarget && r.Load == rows[0].Load {
			targets = append(targets, slowest(rows, r.Work))
		}
	}
	return append(targets, growth(rows)...)
}

// slowest takes the load with the highest p99 of one work.
func slowest(rows []DecisionRow, work string) Target {
	t := Target{Name: fmt.Sprintf("p99 of %s below 1 ms at 18,000 workers on one core", work)}
	worst := int64(0)
	for _, r := range rows {
		if r.Work != work || r.Workers != largestTarget || r.P99NS <= worst {
			continue
		}
		worst = r.P99NS
		t.Detail = fmt.Sprintf("%s at %.0f%% load, %s per task", time.Duration(r.P99NS), 100*r.Load, time.Duration(r.P99NS/int64(r.Tasks)))
	}
	t.Met = worst < p99TargetNS
	return t
}

func noAllocation(rows []DecisionRow) Target {
	t := Target{Name: "no allocation on the request path", Met: true}
	for _, r := range rows {
		if r.Work == workSlot && r.Allocs > 0 {
			t.Met = false
			t.Detail = fmt.Sprintf("%.2f at %d workers", r.Allocs, r.Workers)
		}
	}
	return t
}

// growth compares the growth of the median cost with the square root of the
// growth of the number of workers. Rows whose decisions found room in different
// shares of the cases did different work and are marked.
func growth(rows []DecisionRow) []Target {
	limit := math.Sqrt(float64(largestTarget) / smallestTarget)
	var targets []Target
	for _, small := range rows {
		for _, large := range rows {
			if small.Workers != smallestTarget || large.Workers != largestTarget || small.Work != large.Work || small.Load != large.Load {
				continue
			}
			factor := float64(large.P50NS) / float64(max(small.P50NS, 1))
			note := ""
			if math.Abs(small.Placed-large.Placed) > 0.1 {
				note = fmt.Sprintf(", but room was found in %.0f%% and %.0f%% of the cases", 100*small.Placed, 100*large.Placed)
			}
			targets = append(targets, Target{
				Name:   fmt.Sprintf("growth of %s at %.0f%% load", small.Work, 100*small.Load),
				Detail: fmt.Sprintf("×%.1f, limit ×%.1f%s", factor, limit, note),
				Met:    factor < limit,
			})
		}
	}
	return targets
}

func printDecisions(out io.Writer, rows []DecisionRow) {
	_, _ = fmt.Fprintln(out, "work\tworkers\tload\tplaced\tp50\tp99\tallocs\trepeats\tscan repeats\tscan placed\tscan p50\tscan p99\tscan/index p50\t")
	for _, r := range rows {
		_, _ = fmt.Fprintf(out, "%s\t%d\t%.0f%%\t%.0f%%\t%s\t%s\t%.0f\t%d\t",
			r.Work, r.Workers, 100*r.Load, 100*r.Placed, time.Duration(r.P50NS), time.Duration(r.P99NS), r.Allocs, r.Repeats)
		if r.NaiveRuns == 0 {
			_, _ = fmt.Fprintln(out, "-\t-\t-\t-\t-\t")
			continue
		}
		_, _ = fmt.Fprintf(out, "%d\t%.0f%%\t%s\t%s\t%.1f\t\n",
			r.NaiveRuns, 100*r.NaivePlaced, time.Duration(r.NaiveP50NS), time.Duration(r.NaiveP99NS), float64(r.NaiveP50NS)/float64(max(r.P50NS, 1)))
	}
}

func printTargets(out io.Writer, targets []Target) {
	_, _ = fmt.Fprintln(out, "\ntarget\tmet\tmeasured\t")
	for _, t := range targets {
		_, _ = fmt.Fprintf(out, "%s\t%v\t%s\t\n", t.Name, t.Met, t.Detail)
	}
}
