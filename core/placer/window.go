package placer

import (
	"math"
	"slices"
	"time"

	"briarproxy/core/chart"
)

// Limits of the runs that are being started at one time.
const (
	maxStartQueueDelay  = 150 * time.Millisecond // answers this much later than usual: orders wait on the link, and tickets age there
	minWindowRuns       = 16                     // runs; a wider gang is still started whole
	minWindowShare      = 0.5                    // least share of the window that a cut leaves
	windowGrowthFactor  = 1.25                   // with each judgement by which answers came in time
	minWindowAnswers    = 8                      // least number of answers to judge by
	windowInterval      = 200 * time.Millisecond // between two judgements: a few round trips between regions
	baselineDriftFactor = 1.01                   // with each judgement: the usual time follows a way that has become longer
)

// startWindow bounds the runs that are being started: waiting for tickets, recorded or ordered, and not yet
// answered. Orders beyond what the placer's link carries wait there until their tickets have
// expired, and then cost the same bytes again. Only orders sent since the last judgement count:
// the answers to earlier ones still show the queue that a cut is about to shorten. The median
// decides, so that silent workers or a distant data centre do not shrink the window.
type startWindow struct {
	limit      float64 // runs; +Inf until answers came late
	limiting   bool    // it held a start back since the last judgement
	latencies  []time.Duration
	baseline   time.Duration // lowest median of a judgement; 0 is not known
	median     time.Duration // of the last judgement
	adjustedAt time.Duration
}

func newStartWindow(now time.Duration) startWindow {
	return startWindow{limit: math.Inf(1), adjustedAt: now}
}

// observe takes the time of an answer to an order to start, or of its absence. It reports
// whether the limit changed; opening counts the runs that are being started.
func (w *startWindow) observe(sent, now time.Duration, opening func() int) (changed bool) {
	if sent < w.adjustedAt {
		return false
	}
	w.latencies = append(w.latencies, now-sent)
	if now-w.adjustedAt < windowInterval || len(w.latencies) < minWindowAnswers {
		return false
	}
	slices.Sort(w.latencies)
	median := w.latencies[len(w.latencies)/2]
	w.median = median
	if w.baseline = time.Duration(float64(w.baseline) * baselineDriftFactor); w.baseline == 0 || median < w.baseline {
		w.baseline = median
	}
	former := w.limit
	switch {
	case median > w.baseline+maxStartQueueDelay:
		// At the rate of the answers, as many runs wait for them only half as long beyond the usual.
		share := float64(w.baseline+maxStartQueueDelay/2) / float64(median)
		w.limit = max(minWindowRuns, max(minWindowShare, share)*min(w.limit, float64(opening())))
	case w.limiting:
		w.limit *= windowGrowthFactor
	}
	w.limiting, w.latencies, w.adjustedAt = false, w.latencies[:0], now
	return w.limit != former
}

// available returns how many more runs may be planned beside those that are being started.
func (w *startWindow) available(opening func() int) int {
	if math.IsInf(w.limit, 1) {
		return math.MaxInt
	}
	return max(0, int(w.limit)-opening())
}

// startsInProgress counts the runs that are being started, and the tasks of steps that wait for advice.
func (p *Placer) startsInProgress() int {
	n := 0
	for _, r := range p.runs {
		if isStarting(r.state) {
			n++
		}
	}
	var waiting []int
	for _, w := range p.steps {
		if w.adviceInFlight {
			waiting = p.waitingTasks(w, waiting[:0])
			n += len(waiting)
		}
	}
	return n
}

func isStarting(s chart.State) bool { return s == ticketing || s == logging || s == starting }
