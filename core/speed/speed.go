package speed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Parameters of the model. Spreads are standard deviations of the logarithm of a factor.
const (
	priorWorkerSpread = 0.35 // among the workers of a cell
	initialKindSpread = 0.5  // of the work of a step around the estimate of the caller
	initialTaskSpread = 0.3  // among the tasks of a step
	minTaskSpread     = 0.1
	// maxResidual bounds the effect of one run, in standard deviations, so that a single slow or quick run
	// doesn't move the estimate of a worker.
	maxResidual = 2.0
	// kindWeight is the weight of one run in the moving averages of a kind.
	kindWeight = 0.02
	// maxWorkerEvidence bounds the evidence of a worker, as the inverse of the variance, so that the
	// estimate follows a worker whose speed changes.
	maxWorkerEvidence = 200.0
	// evidenceHalfLife is the time in which the evidence of a worker that runs nothing loses half of its weight.
	evidenceHalfLife = 10 * time.Minute
	// minCentreEvidence is the evidence of a worker that counts for the median.
	minCentreEvidence = 10.0
	// minSignificance is the least ratio of an estimate to its standard deviation at which it is used, and
	// minDifference the least difference from the usual speed.
	minSignificance = 3.0
	minDifference   = 0.18
	// maxRunTime bounds run times and estimates. Beyond it they are taken for errors.
	maxRunTime = 24 * time.Hour
	// publishChange is the change of a worker's factor, as a logarithm, that is published: the bound of the
	// error of an estimate that is restored.
	publishChange = 0.1
)

// Levels quantise the logarithm of a worker's factor, so that noise doesn't decide between workers of like speed.
const (
	levelWidth = 0.15
	MaxLevel   = 10
)

// Step is the evidence about the work of the tasks of one step. The zero value has none.
type Step struct {
	runs int
	sum  float64 // of the logarithms of the run times in seconds, without the workers' factors
}

// Run is a completed run.
type Run struct {
	Worker     string
	Kind       string        // kind of work, for which callers' estimates are off by a similar factor
	Ran        time.Duration // on the worker's whole share, from the start of its work
	Resolution time.Duration // of Ran
	Estimate   time.Duration // of the caller; not used unless positive and at most a day
}

// Saved is an estimate as published to successors.
type Saved struct {
	Worker   string  `json:"w"`
	Factor   float64 `json:"f"` // logarithm of the worker's run times relative to the usual ones
	Evidence float64 `json:"e"` // inverse variance of Factor
}

// Estimate is what is known of a worker.
type Estimate struct {
	Slowness float64 // run times as a multiple of the usual ones, shrunk to 1
	Spread   float64 // standard deviation of the logarithm of Slowness
	Runs     float64 // evidence as a number of usual runs
}

// Significant reports whether the worker surely differs from the usual speed.
func (e Estimate) Significant() bool {
	return math.Abs(math.Log(e.Slowness)) > max(minDifference, minSignificance*e.Spread)
}

type worker struct {
	evidence  float64       // inverse variance
	sum       float64       // of residuals, weighted by their inverse variance
	at        time.Duration // as of which evidence and sum are aged
	addedAt   time.Duration
	published float64 // factor that was published last
}

type kind struct {
	offset     float64 // mean logarithm of the ratio of run times to estimates
	variance   float64 // of the steps around offset
	taskSpread float64 // variance among tasks of a step
	steps      int     // observed so far
}

// Estimator estimates the factors of all workers of a cell. It is not safe for concurrent use.
type Estimator struct {
	workers map[string]*worker
	kinds   map[string]*kind
	changed map[string]bool // workers whose estimate differs from the published one, or that were forgotten since
}

// New returns an estimator without evidence.
func New() *Estimator {
	return &Estimator{workers: map[string]*worker{}, kinds: map[string]*kind{}, changed: map[string]bool{}}
}

func validTime(d time.Duration) bool { return d > 0 && d <= maxRunTime }

// Observe adds a completed run of a task of the step. It reports whether the run was used: a run time that is not
// positive or beyond a day is not.
func (e *Estimator) Observe(r Run, step *Step, now time.Duration) bool {
	if !validTime(r.Ran) {
		return false
	}
	k := e.kind(r.Kind)
	w := e.worker(r.Worker, now)
	logRan := math.Log(r.Ran.Seconds())
	factor, _ := w.posterior()

	// The work of the step, from the caller's estimate and from the runs before this one.
	precision, sum := float64(step.runs)/k.taskSpread, step.sum/k.taskSpread
	if validTime(r.Estimate) {
		expected := math.Log(r.Estimate.Seconds()) + k.offset
		precision += 1 / k.variance
		sum += expected / k.variance
		k.observe(logRan-factor-expected, step)
	}
	step.runs++
	step.sum += logRan - factor
	if precision == 0 {
		return true // the first run of a step without an estimate says nothing about its worker
	}
	relativeResolution := r.Resolution.Seconds() / 2 / r.Ran.Seconds()
	variance := k.taskSpread + 1/precision + relativeResolution*relativeResolution
	residual := logRan - sum/precision - factor
	limit := maxResidual * math.Sqrt(variance)
	residual = min(max(residual, -limit), limit)
	if step.runs > 1 {
		k.taskSpread += kindWeight * (max(minTaskSpread*minTaskSpread, residual*residual) - k.taskSpread)
	}
	w.add(factor+residual, 1/variance)
	e.noteChange(r.Worker, w)
	return true
}

// observe moves the averages of the kind by the deviation of a run from the expectation. Only the first run of a
// step counts, so that wide steps don't outweigh narrow ones.
func (k *kind) observe(deviation float64, step *Step) {
	if step.runs > 0 {
		return
	}
	limit := 2 * maxResidual * math.Sqrt(k.variance)
	deviation = min(max(deviation, -limit), limit)
	k.steps++
	weight := max(kindWeight, 1/float64(k.steps+1)) // a plain mean at first
	k.offset += weight * deviation
	k.variance += kindWeight * (max(minTaskSpread*minTaskSpread, deviation*deviation) - k.variance)
}

func (w *worker) add(factor, evidence float64) {
	w.sum += factor * evidence
	w.evidence += evidence
	if w.evidence > maxWorkerEvidence {
		w.sum *= maxWorkerEvidence / w.evidence
		w.evidence = maxWorkerEvidence
	}
}

// posterior returns the factor of the worker, shrunk to the usual speed, and its standard deviation.
func (w *worker) posterior() (factor, spread float64) {
	precision := w.evidence + 1/(priorWorkerSpread*priorWorkerSpread)
	return w.sum / precision, math.Sqrt(1 / precision)
}

func (w *worker) age(now time.Duration) {
	if now <= w.at {
		return // never backwards
	}
	share := math.Exp2(-float64(now-w.at) / float64(evidenceHalfLife))
	w.evidence, w.sum, w.at = w.evidence*share, w.sum*share, now
}

func (e *Estimator) worker(id string, now time.Duration) *worker {
	w := e.workers[id]
	if w == nil {
		w = &worker{at: now, addedAt: now}
		e.workers[id] = w
	}
	w.age(now)
	return w
}

func (e *Estimator) kind(name string) *kind {
	k := e.kinds[name]
	if k == nil {
		k = &kind{variance: initialKindSpread * initialKindSpread, taskSpread: initialTaskSpread * initialTaskSpread}
		e.kinds[name] = k
	}
	return k
}

// KeepKinds forgets all kinds but the named ones.
func (e *Estimator) KeepKinds(keep func(name string) bool) {
	for name := range e.kinds {
		if !keep(name) {
			delete(e.kinds, name)
		}
	}
}

// Forget drops what is known of a worker that has left or has become another machine.
func (e *Estimator) Forget(id string) {
	delete(e.changed, id)
	if w := e.workers[id]; w != nil && w.published != 0 {
		e.changed[id] = true
	}
	delete(e.workers, id)
}

// Centre makes the median worker the usual one. Without it, an error of all estimates of a kind would at first be
// taken for the workers', which makes all of them slow or fast.
func (e *Estimator) Centre(now time.Duration) {
	factors := make([]float64, 0, len(e.workers))
	for _, w := range e.workers {
		if w.age(now); w.evidence >= minCentreEvidence {
			factor, _ := w.posterior()
			factors = append(factors, factor)
		}
	}
	if len(factors) == 0 {
		return
	}
	slices.Sort(factors)
	median := factors[len(factors)/2]
	for id, w := range e.workers {
		w.sum -= median * w.evidence
		e.noteChange(id, w)
	}
	for _, k := range e.kinds {
		k.offset += median
	}
}

// noteChange notes that the estimate of a worker has to be published, if it has to.
func (e *Estimator) noteChange(id string, w *worker) {
	if factor, _ := w.posterior(); math.Abs(factor-w.published) > publishChange {
		e.changed[id] = true
	}
}

// Expire forgets the workers of which the evidence has become less than that of one run, such as those that left long
// ago.
func (e *Estimator) Expire(now time.Duration) {
	for id, w := range e.workers {
		if w.age(now); w.evidence < 1 && now-w.addedAt > evidenceHalfLife {
			e.Forget(id)
		}
	}
}

// Of returns the estimate of a worker. An unknown worker has the usual speed.
func (e *Estimator) Of(id string, now time.Duration) Estimate {
	w := e.workers[id]
	if w == nil {
		return Estimate{Slowness: 1, Spread: priorWorkerSpread}
	}
	w.age(now)
	factor, spread := w.posterior()
	return Estimate{Slowness: math.Exp(factor), Spread: spread, Runs: w.evidence * initialTaskSpread * initialTaskSpread}
}

// Level returns the worker's factor in steps of levelWidth, from -MaxLevel (fast) to MaxLevel (slow). It is 0 while the
// worker doesn't differ from the usual speed significantly.
func (e *Estimator) Level(id string, now time.Duration) int {
	estimate := e.Of(id, now)
	if !estimate.Significant() {
		return 0
	}
	return int(min(max(math.Round(math.Log(estimate.Slowness)/levelWidth), -MaxLevel), MaxLevel))
}

// Slowness returns the run times at a level as a multiple of the usual ones.
func Slowness(level int) float64 { return math.Exp(float64(level) * levelWidth) }

// TakeChanges returns the estimates that have moved by more than publishChange since they were returned last, at
// most the given number, those with the most evidence first. A worker that was forgotten has no evidence.
func (e *Estimator) TakeChanges(most int) []Saved {
	saved := make([]Saved, 0, len(e.changed))
	for id := range e.changed {
		s := Saved{Worker: id}
		if w := e.workers[id]; w != nil {
			factor, _ := w.posterior()
			s.Factor, s.Evidence = round(factor), math.Ceil(w.evidence)
		}
		saved = append(saved, s)
	}
	slices.SortFunc(saved, func(a, b Saved) int {
		return cmp.Or(cmp.Compare(b.Evidence, a.Evidence), cmp.Compare(a.Worker, b.Worker))
	})
	saved = saved[:min(most, len(saved))]
	for i := range saved {
		delete(e.changed, saved[i].Worker)
		if w := e.workers[saved[i].Worker]; w != nil {
			w.published = saved[i].Factor
		}
	}
	return saved
}

func round(x float64) float64 { return math.Round(x*1000) / 1000 }

// Restore adds a published estimate to a worker of which nothing is known. Values that Observe can't have led to are
// ignored.
func (e *Estimator) Restore(s Saved, now time.Duration) {
	const maxFactor = 4 // e^4 is beyond the spread of any cell
	if e.workers[s.Worker] != nil || !(s.Evidence > 0 && s.Evidence <= maxWorkerEvidence) || !(math.Abs(s.Factor) <= maxFactor) {
		return
	}
	prior := 1 / (priorWorkerSpread * priorWorkerSpread)
	e.workers[s.Worker] = &worker{evidence: s.Evidence, sum: s.Factor * (s.Evidence + prior), at: now, addedAt: now, published: s.Factor}
}
