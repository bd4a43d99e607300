package bench

import (
	"fmt"
	"io"
	"math/rand/v2"
)

// OppositeEnds are the cases of the trial of reservation orders. The idea is from
// N. Mohamed, J. Al-Jaroodi, H. Jiang, DDOps: dual-direction operations for load
// balancing on non-dedicated heterogeneous distributed systems, Cluster Computing,
// 2013.
type OppositeEnds struct {
	Seed    uint64
	Runs    int
	Workers int
	Demands []float64 // demand of all daemons together as a share of the capacity
	Daemons []int     // half of them start from each end
	Lags    []int     // reservations between two refreshes of a daemon's view
}

// DefaultOppositeEnds returns the cases that docs/opposite-ends.md reports.
func DefaultOppositeEnds(seed uint64) OppositeEnds {
	return OppositeEnds{Seed: seed, Runs: 40, Workers: 400, Daemons: []int{2, 8}, Demands: []float64{0.5, 0.9, 1.2}, Lags: []int{10, 50}}
}

// OppositeRow is the mean over the runs of one order.
type OppositeRow struct {
	Order     string  `json:"order"`
	Daemons   int     `json:"daemons"`
	Demand    float64 `json:"demand"`
	Lag       int     `json:"lag"`
	Tries     float64 `json:"reservations_tried"`
	Conflicts float64 `json:"conflicts_per_100_tries"` // refused because another daemon took the room
	Stranded  float64 `json:"stranded"`                // share of the capacity free at the end although tasks wait
	Unplaced  float64 `json:"unplaced"`                // share of the demand that found no room
	Partial   float64 `json:"partly_used"`             // share of workers neither empty nor full
}

// Sizes in thousandths of a worker's capacity.
const (
	trialCapacity = 1000
	trialLeast    = 50
	trialSpan     = 350
	trialFull     = trialCapacity - trialLeast
)

// order returns the position of the k-th worker to look at.
type order struct {
	name string
	at   func(daemon, start, k, n int) int
}

func orders() []order {
	return []order{
		{"opposite ends", func(daemon, _, k, n int) int {
			if daemon%2 == 0 {
				return k
			}
			return n - 1 - k
		}},
		{"random start", func(_, start, k, n int) int { return (start + k) % n }},
		{"ordered start", func(_, _, k, _ int) int { return k }},
	}
}

// reserver is one daemon of the trial: its view of the free room and its queue.
type reserver struct {
	view  []int
	queue []int
	rng   *rand.Rand
}

// trial is the true state of the workers that all daemons reserve from.
type trial struct {
	order     order
	free      []int
	daemons   []reserver
	tries     int
	conflicts int
	unplaced  int
}

// RunOppositeEnds runs all orders on the same demands.
func RunOppositeEnds(o OppositeEnds) []OppositeRow {
	var rows []OppositeRow
	for _, daemons := range o.Daemons {
		for _, demand := range o.Demands {
			for _, lag := range o.Lags {
				for _, order := range orders() {
					rows = append(rows, o.row(order, daemons, demand, lag))
				}
			}
		}
	}
	return rows
}

func (o OppositeEnds) row(order order, daemons int, demand float64, lag int) OppositeRow {
	row := OppositeRow{Order: order.name, Daemons: daemons, Demand: demand, Lag: lag}
	tries, conflicts := 0, 0
	for run := range o.Runs {
		t := o.trial(order, daemons, demand, uint64(run))
		total := t.run(lag)
		tries += t.tries
		conflicts += t.conflicts
		free, partial := 0, 0
		for _, f := range t.free {
			free += f
			if f < trialCapacity && f > trialCapacity-trialFull {
				partial++
			}
		}
		if t.unplaced > 0 {
			row.Stranded += float64(free) / float64(o.Workers*trialCapacity) / float64(o.Runs)
		}
		row.Unplaced += float64(t.unplaced) / float64(total) / float64(o.Runs)
		row.Partial += float64(partial) / float64(o.Workers) / float64(o.Runs)
	}
	row.Tries = float64(tries) / float64(o.Runs)
	row.Conflicts = 100 * float64(conflicts) / float64(tries)
	return row
}

func (o OppositeEnds) trial(order order, daemons int, demand float64, run uint64) *trial {
	t := &trial{order: order, free: make([]int, o.Workers), daemons: make([]reserver, daemons)}
	for i := range t.free {
		t.free[i] = trialCapacity
	}
	for d := range t.daemons {
		rng := rand.New(rand.NewPCG(o.Seed+run, uint64(d)))
		r := reserver{view: make([]int, o.Workers), rng: rand.New(rand.NewPCG(o.Seed+run, uint64(d+daemons)))}
		part := int(demand * float64(o.Workers*trialCapacity) / float64(daemons))
		for sum := 0; sum < part; {
			size := trialLeast + rng.IntN(trialSpan)
			r.queue = append(r.queue, size)
			sum += size
		}
		t.daemons[d] = r
	}
	return t
}

// run lets the daemons reserve in turn until their queues are empty and returns
// the demand. Each sees the others' reservations only at the next refresh, or when
// a worker refuses.
func (t *trial) run(lag int) int {
	total := 0
	for _, d := range t.daemons {
		for _, size := range d.queue {
			total += size
		}
	}
	for turn := 0; t.waiting(); turn++ {
		for d := range t.daemons {
			if turn%lag == 0 {
				copy(t.daemons[d].view, t.free)
			}
			t.step(d)
		}
	}
	return total
}

func (t *trial) waiting() bool {
	for _, d := range t.daemons {
		if len(d.queue) > 0 {
			return true
		}
	}
	return false
}

// step tries one reservation for the task at the head of the queue.
func (t *trial) step(d int) {
	r := &t.daemons[d]
	if len(r.queue) == 0 {
		return
	}
	size := r.queue[0]
	worker := t.pick(d, size)
	if worker < 0 {
		t.unplaced += size
		r.queue = r.queue[1:]
		return
	}
	t.tries++
	if t.free[worker] < size {
		t.conflicts++
		r.view[worker] = t.free[worker]
		return
	}
	t.free[worker] -= size
	r.view[worker] -= size
	r.queue = r.queue[1:]
}

// pick returns the first worker, in the daemon's order, with room by its view.
func (t *trial) pick(d, size int) int {
	r := &t.daemons[d]
	n := len(r.view)
	start := r.rng.IntN(n)
	for k := range n {
		if i := t.order.at(d, start, k, n); r.view[i] >= size {
			return i
		}
	}
	return -1
}

func printOppositeEnds(out io.Writer, rows []OppositeRow) {
	_, _ = fmt.Fprintln(out, "order\tdaemons\tdemand\tlag\ttries\tconflicts per 100\tstranded\tunplaced\tpartly used\t")
	for _, r := range rows {
		_, _ = fmt.Fprintf(out, "%s\t%d\t%.0f%%\t%d\t%.0f\t%.2f\t%.2f%%\t%.2f%%\t%.1f%%\t\n",
			r.Order, r.Daemons, 100*r.Demand, r.Lag, r.Tries, r.Conflicts, 100*r.Stranded, 100*r.Unplaced, 100*r.Partial)
	}
}
