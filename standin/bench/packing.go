package bench

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"

	"briarproxy/core/place"
	"briarproxy/core/place/naive"
	"briarproxy/core/resource"
	"briarproxy/core/wire"
)

// Packing are the cases of the packing benchmark.
type Packing struct {
	Seed  uint64
	Runs  int // sequences of tasks per mix
	Large int // workers of the heavy-tailed mix; the users' own mixes have 50
}

// DefaultPacking returns the cases that are reported.
func DefaultPacking(seed uint64) Packing { return Packing{Seed: seed, Runs: 20, Large: 300} }

// PackingRow is the mean over the runs of one rule on one mix.
type PackingRow struct {
	Mix       string  `json:"mix"`
	Rule      string  `json:"rule"`
	Placed    float64 `json:"placed"`       // share of the scarcest kind placed when the first task or gang did not fit
	Worst     float64 `json:"placed_worst"` // lowest of the runs
	OfBound   float64 `json:"of_bound"`     // mean of placed as a share of the arithmetic bound
	Free      float64 `json:"free_accelerators"`
	Stranded  float64 `json:"stranded_accelerators"` // free, but without cores or memory to use them
	Decisions float64 `json:"tasks_placed"`
}

// A free accelerator counts as stranded without this much beside it.
const (
	coresPerAccelerator  = 4000
	memoryPerAccelerator = 16 * gibibyte
)

// mix is a kind of estate and a source of work for it.
type mix struct {
	name    string
	workers []place.Worker
	next    func(n int, rng *rand.Rand) []wire.TaskAsk // one task or one gang
}

// packer places one task or gang, or returns false.
type packer interface {
	place(asks []wire.TaskAsk) bool
	states() []place.WorkerState
}

// rule is a placement rule to compare.
type rule struct {
	name string
	make func(m mix, rng *rand.Rand) packer
}

// RunPacking fills the workers of each mix under each rule.
func RunPacking(p Packing) []PackingRow {
	var rows []PackingRow
	for _, m := range mixes(p.Large) {
		for _, r := range rules() {
			rows = append(rows, p.row(m, r))
		}
		rows = append(rows, p.bound(m))
	}
	return rows
}

func rules() []rule {
	protected := localOptions
	protected.ProtectAccelerators = true
	return []rule{
		{"index", func(m mix, _ *rand.Rand) packer { return newIndexPacker(m, localOptions) }},
		{"index, protected", func(m mix, _ *rand.Rand) packer { return newIndexPacker(m, protected) }},
		{"full scan", func(m mix, _ *rand.Rand) packer { return newScanPacker(m, nil) }},
		{"first fit", func(m mix, _ *rand.Rand) packer { return newScanPacker(m, firstFit) }},
		{"best fit", func(m mix, _ *rand.Rand) packer { return newScanPacker(m, bestFit) }},
		{"random", func(m mix, rng *rand.Rand) packer {
			return newScanPacker(m, func(*place.WorkerState, *wire.TaskAsk) float64 { return rng.Float64() })
		}},
	}
}

func (p Packing) row(m mix, r rule) PackingRow {
	row := PackingRow{Mix: m.name, Rule: r.name, Worst: 1}
	for run := range p.Runs {
		rng := rand.New(rand.NewPCG(p.Seed, uint64(run)))
		packer := r.make(m, rand.New(rand.NewPCG(p.Seed+1, uint64(run))))
		n := 0
		for asks := m.next(n, rng); packer.place(asks); asks = m.next(n, rng) {
			n++
			row.Decisions += float64(len(asks)) / float64(p.Runs)
		}
		placed := placedShare(packer.states())
		free, stranded := acceleratorsLeft(packer.states())
		row.Placed += placed / float64(p.Runs)
		row.Worst = min(row.Worst, placed)
		row.OfBound += placed / p.boundOf(m, run) / float64(p.Runs)
		row.Free += free / float64(p.Runs)
		row.Stranded += stranded / float64(p.Runs)
	}
	return row
}

// bound is the share at which the sum of the same sequence first exceeds the sum
// of the capacity in some kind. No rule can place more.
func (p Packing) bound(m mix) PackingRow {
	row := PackingRow{Mix: m.name, Rule: "arithmetic bound", Worst: 1, OfBound: 1}
	for run := range p.Runs {
		share := p.boundOf(m, run)
		row.Placed += share / float64(p.Runs)
		row.Worst = min(row.Worst, share)
	}
	return row
}

func (p Packing) boundOf(m mix, run int) float64 {
	rng := rand.New(rand.NewPCG(p.Seed, uint64(run)))
	var capacity, sum resource.Vector
	for _, w := range m.workers {
		capacity = capacity.Add(w.Capacity)
	}
	for n := 0; ; n++ {
		after := sum
		for _, ask := range m.next(n, rng) {
			after = after.Add(ask.Resources)
		}
		if !after.Fits(capacity) {
			return largestShare(sum, capacity)
		}
		sum = after
	}
}

func placedShare(states []place.WorkerState) float64 {
	var capacity, sum resource.Vector
	for i := range states {
		capacity = capacity.Add(states[i].Capacity)
		sum = sum.Add(states[i].Committed)
	}
	return largestShare(sum, capacity)
}

func largestShare(sum, capacity resource.Vector) float64 {
	share := 0.0
	for _, pair := range [3][2]int64{{sum.MilliCores, capacity.MilliCores}, {sum.MemoryMiB, capacity.MemoryMiB}, {sum.Accelerators, capacity.Accelerators}} {
		if pair[1] > 0 {
			share = max(share, float64(pair[0])/float64(pair[1]))
		}
	}
	return share
}

func acceleratorsLeft(states []place.WorkerState) (free, stranded float64) {
	for i := range states {
		left := states[i].Free()
		usable := min(left.Accelerators, left.MilliCores/coresPerAccelerator, left.MemoryMiB/memoryPerAccelerator)
		free += float64(left.Accelerators)
		stranded += float64(left.Accelerators - usable)
	}
	return free, stranded
}

// indexPacker places with the indexed cell.
type indexPacker struct {
	cell    *place.Cell
	options place.Options
}

func newIndexPacker(m mix, o place.Options) packer {
	cell := place.NewCell()
	for _, w := range m.workers {
		cell.UpdateWorker(w)
		cell.SetLive(w.VM, true)
	}
	return &indexPacker{cell, o}
}

func (p *indexPacker) place(asks []wire.TaskAsk) bool {
	accepted, _ := p.cell.Commit(p.cell.Plan(asks, p.options, 0, nil), p.options, 0)
	return len(accepted) == len(asks)
}

func (p *indexPacker) states() []place.WorkerState { return p.cell.Workers() }

// scanPacker places with a full scan.
type scanPacker struct {
	cell naive.Cell
	cost func(*place.WorkerState, *wire.TaskAsk) float64 // nil: the cost of core/place
}

func newScanPacker(m mix, cost func(*place.WorkerState, *wire.TaskAsk) float64) packer {
	p := &scanPacker{cost: cost}
	for _, w := range m.workers {
		p.cell.Workers = append(p.cell.Workers, place.WorkerState{Worker: w, Live: true})
	}
	return p
}

func (p *scanPacker) place(asks []wire.TaskAsk) bool {
	if p.cost == nil {
		return p.cell.PlaceGang(asks, &localOptions, 0) != nil
	}
	return p.cell.PlaceGangByCost(asks, &localOptions, 0, p.cost) != nil
}

func (p *scanPacker) states() []place.WorkerState { return p.cell.Workers }

func firstFit(*place.WorkerState, *wire.TaskAsk) float64 { return 0 }

// bestFit is the largest share left free, without the other score steps.
func bestFit(w *place.WorkerState, ask *wire.TaskAsk) float64 {
	left := w.Free().Sub(ask.Resources)
	return max(float64(left.MilliCores)/float64(w.Capacity.MilliCores), float64(left.MemoryMiB)/float64(w.Capacity.MemoryMiB))
}

func mixes(large int) []mix {
	return []mix{
		{"inspectors", uniform(50, resource.Vector{MilliCores: 64_000, MemoryMiB: 256 * gibibyte}), inspectorsNext},
		{"cooperative", uniform(50, resource.Vector{MilliCores: 32_000, MemoryMiB: 64 * gibibyte}), cooperativeNext},
		{"heavy-tailed", workers(large), heavyNext},
	}
}

func uniform(n int, capacity resource.Vector) []place.Worker {
	all := workers(n)
	for i := range all {
		all[i].Capacity = capacity
	}
	return all
}

// inspectorsNext is mostly survey calculations with much memory, and small
// certificate jobs.
func inspectorsNext(n int, rng *rand.Rand) []wire.TaskAsk {
	if rng.IntN(10) < 3 {
		return same(n, 1, resource.Vector{MilliCores: 250 + rng.Int64N(500), MemoryMiB: 256 + rng.Int64N(768)})
	}
	cores := 1000 + rng.Int64N(7000)
	return same(n, 1, resource.Vector{MilliCores: cores, MemoryMiB: cores * (3 + rng.Int64N(4)) * gibibyte / 1000})
}

// cooperativeNext is mostly lot certification, and now and then the mill-wear
// review, a gang of 8 to 16.
func cooperativeNext(n int, rng *rand.Rand) []wire.TaskAsk {
	if rng.IntN(25) == 0 {
		return same(n, 8+rng.IntN(9), resource.Vector{MilliCores: 4000, MemoryMiB: 6 * gibibyte})
	}
	return same(n, 1, resource.Vector{MilliCores: 500 + rng.Int64N(3500), MemoryMiB: 512 + rng.Int64N(7*gibibyte)})
}

// heavyNext draws sizes from a bounded Pareto distribution; one task in 80
// wants accelerators and one in 40 is a gang, so that cores, memory and
// accelerators are used up at about the same time.
func heavyNext(n int, rng *rand.Rand) []wire.TaskAsk {
	const shape, least, most = 1.1, 500, 32_000
	cores := int64(min(most, least/math.Pow(1-rng.Float64(), 1/shape)))
	size := resource.Vector{MilliCores: cores, MemoryMiB: cores * (1 + rng.Int64N(8)) * gibibyte / 1000}
	if rng.IntN(80) == 0 {
		size.Accelerators = 1 << rng.IntN(4)
		size.MilliCores = max(size.MilliCores, size.Accelerators*coresPerAccelerator)
		size.MemoryMiB = max(size.MemoryMiB, size.Accelerators*memoryPerAccelerator)
	}
	if rng.IntN(40) == 0 {
		return same(n, 8<<rng.IntN(2), size)
	}
	return same(n, 1, size)
}

// same returns count tasks of one size, a gang if they are several.
func same(n, count int, size resource.Vector) []wire.TaskAsk {
	one := wire.TaskAsk{Generation: 1, Job: "job", Pool: poolName, Resources: size}
	if count > 1 {
		one.Gang = fmt.Sprint("gang-", n)
	}
	all := slices.Repeat([]wire.TaskAsk{one}, count)
	for i := range all {
		all[i].TaskID = fmt.Sprintf("task-%d-%d", n, i)
	}
	return all
}

func printPacking(out io.Writer, rows []PackingRow) {
	_, _ = fmt.Fprintln(out, "mix\trule\tplaced\tworst run\tof bound\ttasks\tfree acc\tstranded acc\t")
	for _, r := range rows {
		_, _ = fmt.Fprintf(out, "%s\t%s\t%.1f%%\t%.1f%%\t%.1f%%\t%.0f\t%.1f\t%.1f\t\n",
			r.Mix, r.Rule, 100*r.Placed, 100*r.Worst, 100*r.OfBound, r.Decisions, r.Free, r.Stranded)
	}
}
