package placer

import (
	"math"
	"slices"
	"time"

	"briarproxy/core/chart"
)

// Parameters of the limit on runs that are being started at the same time.
const (
	// maxStartQueueDelay is the latency above the baseline from which start commands are assumed
	// to queue on the link, where their tickets age.
	maxStartQueueDelay = 150 * time.Millisecond
	// minWindowRuns is the lower bound of the limit. A gang that is wider than the limit is still
	// started as a whole.
	minWindowRuns = 16
	// minWindowShare is the least share of the runs in progress that a reduction leaves.
	minWindowShare = 0.5
	// windowGrowthFactor applies at each adjustment before which the limit has delayed a start
	// although the latency did not exceed the baseline by more than maxStartQueueDelay.
	windowGrowthFactor = 1.25
	// minWindowAnswers is the least number of answers for an adjustment.
	minWindowAnswers = 8
	// windowInterval is the least time between two adjustments: a few round trips between regions.
	windowInterval = 200 * time.Millisecond
	// medianValidity is how long a median is used after its adjustment. While nothing is started because of it, there are no
	// answers that could correct it.
	medianValidity = 2 * time.Second
	// baselineDriftFactor raises the baseline at each adjustment, so that it follows a network
	// path that has become longer.
	baselineDriftFactor = 1.01
)

// startWindow limits the number of runs that are being started: those that wait for a ticket, for
// the log or for the answer to their command. Commands beyond the bandwidth of the placer's link
// would queue there until their tickets have expired, and then use the same bandwidth again.
// An adjustment uses only answers to commands sent since the previous one, because answers to
// earlier commands still show the queue that a reduction is about to shorten. It uses the median
// latency, so that unresponsive workers or a distant data centre do not shrink the window.
type startWindow struct {
	limit      float64         // runs; +Inf until answers are late for the first time
	limiting   bool            // the limit has delayed a start since the last adjustment
	latencies  []time.Duration // of the answers since the last adjustment
	baseline   time.Duration   // lowest median so far, with drift; 0 means unknown
	median     time.Duration   // of the latencies at the last adjustment
	adjustedAt time.Duration
}

func newStartWindow(now time.Duration) startWindow {
	return startWindow{limit: math.Inf(1), adjustedAt: now}
}

// observe records the latency of the answer to a start command, or the time after which no answer
// is expected any more. startsInProgress counts the runs that are being started. It reports
// whether the limit has changed.
func (w *startWindow) observe(sent, now time.Duration, startsInProgress func() int) (changed bool) {
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
	oldLimit := w.limit
	switch {
	case median > w.baseline+maxStartQueueDelay:
		// At an unchanged rate of answers the latency is proportional to the runs in progress.
		// This share of them leads to half of the allowed delay above the baseline.
		share := float64(w.baseline+maxStartQueueDelay/2) / float64(median)
		w.limit = max(minWindowRuns, max(minWindowShare, share)*min(w.limit, float64(startsInProgress())))
	case w.limiting:
		w.limit *= windowGrowthFactor
	}
	w.limiting, w.latencies, w.adjustedAt = false, w.latencies[:0], now
	return w.limit != oldLimit
}

// discard drops the latencies since the last adjustment. Those of commands sent before now are not used.
func (w *startWindow) discard(now time.Duration) {
	w.latencies, w.adjustedAt, w.median = w.latencies[:0], now, 0
}

// recentMedian returns the median latency at the last adjustment, or 0 if it was long ago.
func (w *startWindow) recentMedian(now time.Duration) time.Duration {
	if now-w.adjustedAt > medianValidity {
		return 0
	}
	return w.median
}

// available returns how many more runs may be planned in addition to those that are being started.
func (w *startWindow) available(startsInProgress func() int) int {
	if math.IsInf(w.limit, 1) {
		return math.MaxInt
	}
	return max(0, int(w.limit)-startsInProgress())
}

// startsInProgress counts the runs that are being started and the tasks that wait for requested
// advice.
func (p *Placer) startsInProgress() int {
	n := 0
	for _, r := range p.runs {
		if isStartInProgress(r.state) {
			n++
		}
	}
	var waiting []int
	for _, step := range p.steps {
		if step.adviceInFlight {
			waiting = p.waitingTasks(step, waiting[:0])
			n += len(waiting)
		}
	}
	return n
}

func isStartInProgress(s chart.State) bool { return s == ticketing || s == logging || s == starting }
