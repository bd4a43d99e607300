package place

import (
	"math/bits"
	"time"

	"briarproxy/core/resource"
	"briarproxy/core/wire"
)

// Bounds of the first pass of a search. Only a search that found nothing goes on
// without them.
const (
	scoredPerBucket   = 2  // candidates of one bucket are nearly alike
	examinedPerBucket = 16 // workers looked at in one bucket
	examinedFactor    = 8  // workers looked at in all, per scored candidate
	spreadFactor      = 8  // neighbours in a bucket are often in one rack
)

// maxFailedShapes bounds the memory of shapes that did not fit.
const maxFailedShapes = 1024

// failedShape is an equivalence class of requests that did not fit anywhere.
// Equal requests need no search until some worker of the pool has more room.
type failedShape struct {
	pool       string
	dataCentre string
	region     string
	reach      Reach
	protect    bool
	resources  resource.Vector
}

func failedShapeOf(ask *wire.TaskAsk, o *Options) failedShape {
	return failedShape{ask.Pool, o.DataCentre, o.Region, o.Reach, o.ProtectAccelerators, ask.Resources}
}

// refusals counts workers per filter step of one search.
type refusals struct {
	avoid, held, accelerator, spread int
}

func (r *refusals) only() bool { return *r == refusals{} }

// search looks for the worker with the lowest cost for one request.
type search struct {
	cell     *Cell
	pool     *pool
	ask      *wire.TaskAsk
	options  *Options
	now      time.Duration
	claimed  map[int32]bool // workers on which this run makes room for another task
	newRacks bool           // only racks that the gang does not use yet
	limit    int            // scored workers, per data centre distance and accelerator class
	factor   int            // multiplies the bounds; spreadFactor for tasks to spread

	best      int32 // -1 until a worker is found
	bestCost  float64
	scored    int
	examined  int
	unbounded bool
	truncated bool
	refused   refusals

	collecting bool  // several workers are wanted
	need       int64 // tasks of the gang for which no worker is collected yet
	collected  []candidate
}

// candidate is a worker that can hold some tasks of a gang.
type candidate struct {
	worker int32
	tasks  int64
	cost   float64
}

// collect fills s.collected with workers that can hold s.need equal tasks
// together, and reports whether they do. Each worker is looked at once.
func (s *search) collect() bool {
	s.factor, s.unbounded, s.collecting = 1, true, true
	if s.ask.Among != nil {
		s.among()
		return s.need <= 0
	}
	for d := 0; d <= maxDistance(s.options.Reach); d++ {
		for class := 0; class < 2; class++ {
			if class == 0 && s.ask.Resources.Accelerators > 0 {
				continue
			}
			s.scored, s.best = 0, -1
			s.pass(d, class)
			if s.need <= 0 {
				return true
			}
		}
	}
	return false
}

// run returns the best worker found, or -1.
func (s *search) run() int32 {
	s.best = -1
	s.factor = 1
	if s.ask.Among != nil {
		s.among()
		return s.best
	}
	if s.ask.SpreadRacks || s.newRacks {
		s.factor = spreadFactor
		s.limit *= spreadFactor
	}
	for d := 0; d <= maxDistance(s.options.Reach) && s.best < 0; d++ {
		for class := 0; class < 2 && s.best < 0; class++ {
			if class == 0 && s.ask.Resources.Accelerators > 0 {
				continue
			}
			s.tier(d, class)
		}
	}
	return s.best
}

// tier searches the workers of one distance and accelerator class. If the bounded
// pass finds nothing, every worker that can fit is looked at.
func (s *search) tier(distanceWanted, class int) {
	before := s.refused
	s.scored, s.examined = 0, 0
	s.unbounded, s.truncated = false, false
	s.pass(distanceWanted, class)
	if s.best >= 0 || !s.truncated {
		return
	}
	s.refused = before
	s.unbounded = true
	s.pass(distanceWanted, class)
}

func (s *search) pass(distanceWanted, class int) {
	for _, z := range s.pool.zones {
		if distance(z.region, z.dataCentre, s.options) != distanceWanted {
			continue
		}
		for a := acceleratorLevel(s.ask.Resources.Accelerators); a < acceleratorSize; a++ {
			g := z.classes[class][a]
			if g != nil && s.grid(g) {
				return
			}
		}
	}
}

// grid goes through the buckets that can hold the request, those with the least
// free cores first. It reports whether the search is over.
func (s *search) grid(g *grid) bool {
	first := 0
	if s.ask.Resources.MilliCores > 0 {
		first = level(s.ask.Resources.MilliCores)
	}
	firstCol := 0
	if s.ask.Resources.MemoryMiB > 0 {
		firstCol = level(s.ask.Resources.MemoryMiB)
	}
	for rows := g.rows >> first << first; rows != 0; rows &= rows - 1 {
		row := bits.TrailingZeros64(rows)
		for cols := g.cols[row] >> firstCol << firstCol; cols != 0; cols &= cols - 1 {
			if s.bucket(g.heads[row*levels+bits.TrailingZeros64(cols)]) {
				return true
			}
		}
	}
	return false
}

// bucket examines the workers of one bucket and reports whether the search is over.
func (s *search) bucket(head int32) bool {
	scored, examined := 0, 0
	for n := head; n != 0; n = s.cell.nodes[n].next {
		if !s.unbounded && (examined >= examinedPerBucket*s.factor || scored >= scoredPerBucket*s.factor) {
			s.truncated = true
			return false
		}
		examined++
		s.examined++
		if s.examine(s.cell.nodes[n].worker) {
			scored++
			s.scored++
		}
		if s.done() {
			return true
		}
	}
	return false
}

func (s *search) done() bool {
	if s.unbounded {
		return s.scored >= s.limit && s.need <= 0
	}
	if s.scored >= s.limit || s.examined >= s.limit*examinedFactor {
		s.truncated = true
		return true
	}
	return false
}

// examine filters and scores one worker and reports whether it fits.
func (s *search) examine(i int32) bool {
	w := &s.cell.states[i]
	if s.claimed != nil && s.claimed[i] {
		s.refused.held++
		return false
	}
	switch checkRoom(w, s.ask, s.options, s.now) {
	case StepNone:
	case StepAvoid:
		s.refused.avoid++
		return false
	case StepHeld:
		s.refused.held++
		return false
	case StepAccelerator:
		s.refused.accelerator++
		return false
	default:
		return false
	}
	rack := s.cell.racks[i]
	if s.newRacks && s.cell.inRack[rack] {
		s.refused.spread++
		return false
	}
	tasks := 0
	if s.ask.SpreadRacks {
		tasks = s.cell.spread[jobRack{s.ask.Job, rack}]
	}
	cost := Cost(w, s.ask, s.options, tasks)
	if s.collecting {
		n := s.timesFits(w)
		s.need -= n
		s.collected = append(s.collected, candidate{i, n, cost})
		return true
	}
	if s.best < 0 || cost < s.bestCost {
		s.best, s.bestCost = i, cost
	}
	return true
}

// timesFits returns how many tasks of the gang the worker can hold, at least 1.
func (s *search) timesFits(w *State) int64 {
	free, size := w.Free(), s.ask.Resources
	n := free.Times(size)
	if !s.options.ProtectAccelerators || w.Capacity.Accelerators == 0 || size.Accelerators > 0 {
		return n
	}
	allowed := int64(1)
	for allowed < n && !acceleratorRefuses(w.Capacity, free.Sub(size.Scale(allowed)), size) {
		allowed++
	}
	return allowed
}
