package place

import (
	"math/bits"
	"time"

	"briarproxy/core/resource"
	"briarproxy/core/wire"
)

// Bounds of the first pass over a tier. A second pass without bounds follows only if
// the first one finds nothing.
const (
	maxScoredPerBucket   = 2  // candidates in one bucket have nearly the same cost
	maxExaminedPerBucket = 16 // includes refused workers
	examinedPerCandidate = 8  // workers examined in a tier, per worker of the candidate limit
	spreadBoundsFactor   = 8  // raises the bounds for spread tasks; neighbours in a bucket often share a rack
)

// maxFailedShapes is the maximum number of entries in Cell.failedShapes.
const maxFailedShapes = 1024

// failedShape identifies equal requests that fit no worker. They need no search
// until the capacity version of the pool changes.
type failedShape struct {
	pool                string
	dataCentre          string
	region              string
	scope               Scope
	protectAccelerators bool
	resources           resource.Vector
}

func failedShapeOf(ask *wire.TaskAsk, o *Options) failedShape {
	return failedShape{ask.Pool, o.DataCentre, o.Region, o.Scope, o.ProtectAccelerators, ask.Resources}
}

// refusals counts the workers that a search refused, for the reasons that are not
// reported as lacking capacity.
type refusals struct {
	avoided, held, strandsAccelerators, rackUsed int
}

func (r *refusals) none() bool { return *r == refusals{} }

// search looks for the worker with the lowest cost for one request.
type search struct {
	cell              *Cell
	pool              *poolIndex
	ask               *wire.TaskAsk
	options           *Options
	now               time.Duration
	preemptionWorkers map[int32]bool // workers on which this run preempts tasks for another request
	booked            bookingCounts  // tasks that this run has booked
	newRacks          bool           // accept only racks that the gang does not use yet
	candidateLimit    int            // workers to score per tier
	boundsFactor      int            // multiplies the bounds per bucket; spreadBoundsFactor for tasks to spread

	best      int32 // -1 until a worker is found
	bestCost  float64
	scored    int  // workers scored in the current tier
	examined  int  // workers examined in the current tier
	unbounded bool // the pass ignores the bounds per bucket and on examined workers
	truncated bool // the bounds have ended a pass early, so workers may be left out
	refused   refusals

	collecting   bool  // collect workers instead of choosing the best
	tasksToPlace int64 // tasks that do not fit on the workers collected so far
	collected    []candidate
}

// candidate is a worker that some tasks of a gang fit on.
type candidate struct {
	worker int32
	tasks  int64
	cost   float64
}

// collect fills s.collected with workers until s.tasksToPlace equal tasks fit on them
// together, and reports whether it found enough. It examines each worker once.
func (s *search) collect() bool {
	s.boundsFactor, s.unbounded, s.collecting = 1, true, true
	if s.ask.Among != nil {
		s.scanNamed()
		return s.tasksToPlace <= 0
	}
	for d := 0; d <= maxDistance(s.options.Scope); d++ {
		for class := 0; class < 2; class++ {
			if class == 0 && s.ask.Resources.Accelerators > 0 {
				continue
			}
			s.scored, s.best = 0, -1
			s.scanTier(d, class)
			if s.tasksToPlace <= 0 {
				return true
			}
		}
	}
	return false
}

// run returns the worker with the lowest cost found, or -1.
func (s *search) run() int32 {
	s.best = -1
	s.boundsFactor = 1
	if s.ask.Among != nil {
		s.scanNamed()
		return s.best
	}
	if s.ask.SpreadRacks || s.newRacks {
		s.boundsFactor = spreadBoundsFactor
		s.candidateLimit *= spreadBoundsFactor
	}
	for d := 0; d <= maxDistance(s.options.Scope) && s.best < 0; d++ {
		for class := 0; class < 2 && s.best < 0; class++ {
			if class == 0 && s.ask.Resources.Accelerators > 0 {
				continue
			}
			s.searchTier(d, class)
		}
	}
	return s.best
}

// searchTier searches the workers of one distance and accelerator class. If the
// bounded pass stops early without a result, a second pass examines every worker
// that may fit.
func (s *search) searchTier(distanceWanted, class int) {
	refusedBefore := s.refused
	s.scored, s.examined = 0, 0
	s.unbounded, s.truncated = false, false
	s.scanTier(distanceWanted, class)
	if s.best >= 0 || !s.truncated {
		return
	}
	s.refused = refusedBefore
	s.unbounded = true
	s.scanTier(distanceWanted, class)
}

func (s *search) scanTier(distanceWanted, class int) {
	for _, dc := range s.pool.dataCentres {
		if distance(dc.region, dc.dataCentre, s.options) != distanceWanted {
			continue
		}
		for a := acceleratorLevel(s.ask.Resources.Accelerators); a < acceleratorLevels; a++ {
			g := dc.grids[class][a]
			if g != nil && s.scanGrid(g) {
				return
			}
		}
	}
}

// scanGrid scans the buckets that may fit the request, in ascending order of free
// cores. It reports whether the pass is finished.
func (s *search) scanGrid(g *grid) bool {
	first := 0
	if s.ask.Resources.MilliCores > 0 {
		first = level(s.ask.Resources.MilliCores)
	}
	firstCol := 0
	if s.ask.Resources.MemoryMiB > 0 {
		firstCol = level(s.ask.Resources.MemoryMiB)
	}
	for rows := g.coreLevels >> first << first; rows != 0; rows &= rows - 1 {
		row := bits.TrailingZeros64(rows)
		for cols := g.memoryLevels[row] >> firstCol << firstCol; cols != 0; cols &= cols - 1 {
			if s.scanBucket(g.heads[row*levels+bits.TrailingZeros64(cols)]) {
				return true
			}
		}
	}
	return false
}

// scanBucket examines the workers of one bucket and reports whether the pass is
// finished.
func (s *search) scanBucket(head int32) bool {
	scored, examined := 0, 0
	for n := head; n != 0; n = s.cell.nodes[n].next {
		if !s.unbounded && (examined >= maxExaminedPerBucket*s.boundsFactor || scored >= maxScoredPerBucket*s.boundsFactor) {
			s.truncated = true
			return false
		}
		examined++
		s.examined++
		if s.examine(s.cell.nodes[n].worker) {
			scored++
			s.scored++
		}
		if s.finished() {
			return true
		}
	}
	return false
}

func (s *search) finished() bool {
	if s.unbounded {
		return s.scored >= s.candidateLimit && s.tasksToPlace <= 0
	}
	if s.scored >= s.candidateLimit || s.examined >= s.candidateLimit*examinedPerCandidate {
		s.truncated = true
		return true
	}
	return false
}

// examine checks and scores one worker and reports whether the request fits on it.
func (s *search) examine(i int32) bool {
	w := &s.cell.states[i]
	if s.preemptionWorkers != nil && s.preemptionWorkers[i] {
		s.refused.held++
		return false
	}
	booked := s.booked.of(s.ask.Job, i)
	if tasksUnderRunLimit(w.VM, booked, s.options) == 0 {
		return false
	}
	switch checkAfterIndex(w, s.ask, booked, s.options, s.now) {
	case ReasonNone:
	case ReasonAvoided:
		s.refused.avoided++
		return false
	case ReasonHeld:
		s.refused.held++
		return false
	case ReasonStrandsAccelerators:
		s.refused.strandsAccelerators++
		return false
	default:
		return false
	}
	rack := s.cell.rackOfWorker[i]
	if s.newRacks && s.cell.rackUsed[rack] {
		s.refused.rackUsed++
		return false
	}
	tasksInRack := 0
	if s.ask.SpreadRacks {
		tasksInRack = s.cell.spreadTasks[jobRack{s.ask.Job, rack}]
	}
	cost := Cost(w, s.ask, s.options, tasksInRack)
	if s.collecting {
		n := min(s.maxTasks(w), tasksUnderPerVMLimit(w, s.ask, booked), tasksUnderRunLimit(w.VM, booked, s.options))
		s.tasksToPlace -= n
		s.collected = append(s.collected, candidate{i, n, cost})
		return true
	}
	if s.best < 0 || cost < s.bestCost {
		s.best, s.bestCost = i, cost
	}
	return true
}

// maxTasks returns how many tasks of the gang fit into the worker's free capacity. The
// worker has passed checkAfterIndex, so the result is at least 1.
func (s *search) maxTasks(w *WorkerState) int64 {
	free, size := w.Free(), s.ask.Resources
	n := free.CountFitting(size)
	if !s.options.ProtectAccelerators || w.Capacity.Accelerators == 0 || size.Accelerators > 0 {
		return n
	}
	allowed := int64(1)
	for allowed < n && !strandsAccelerators(w.Capacity, free.Sub(size.Scale(allowed)), size) {
		allowed++
	}
	return allowed
}
