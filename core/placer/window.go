package placer

import (
	"math"
	"slices"
	"time"

	"briarproxy/core/chart"
)

// Limits of the runs that are being started at one time.
const (
	windowQueue   = 150 * time.Millisecond // answers this much later than usual: orders wait on the link, and tickets age there
	windowLeast   = 16                     // runs; a wider gang is still started whole
	windowCut     = 0.5                    // least share of the window that a cut leaves
	windowGrow    = 1.25                   // with each judgement by which answers came in time
	windowAnswers = 8                      // least number of answers to judge by
	windowEvery   = 200 * time.Millisecond // between two judgements: a few round trips between regions
	usualDrift    = 1.01                   // with each judgement: the usual time follows a way that has become longer
)

// window bounds the runs that are being started: waiting for tickets, recorded or ordered, and not yet
// answered. Orders beyond what the placer's link carries wait there until their tickets have
// expired, and then cost the same bytes again. Only orders sent since the last judgement count:
// the answers to earlier ones still show the queue that a cut is about to shorten. The median
// decides, so that silent workers or a distant data centre do not shrink the window.
type window struct {
	limit    float64 // runs; +Inf until answers came late
	full     bool    // it held a start back since the last judgement
	took     []time.Duration
	usual    time.Duration // lowest median of a judgement; 0 is not known
	median   time.Duration // of the last judgement
	judgedAt time.Duration
}

func newWindow(now time.Duration) window { return window{limit: math.Inf(1), judgedAt: now} }

// answered takes the time of an answer to an order to start, or of its absence. It reports
// whether the limit changed; opening counts the runs that are being started.
func (w *window) answered(sent, now time.Duration, opening func() int) (changed bool) {
	if sent < w.judgedAt {
		return false
	}
	w.took = append(w.took, now-sent)
	if now-w.judgedAt < windowEvery || len(w.took) < windowAnswers {
		return false
	}
	slices.Sort(w.took)
	median := w.took[len(w.took)/2]
	w.median = median
	if w.usual = time.Duration(float64(w.usual) * usualDrift); w.usual == 0 || median < w.usual {
		w.usual = median
	}
	former := w.limit
	switch {
	case median > w.usual+windowQueue:
		// At the rate of the answers, as many runs wait for them only half as long beyond the usual.
		share := float64(w.usual+windowQueue/2) / float64(median)
		w.limit = max(windowLeast, max(windowCut, share)*min(w.limit, float64(opening())))
	case w.full:
		w.limit *= windowGrow
	}
	w.full, w.took, w.judgedAt = false, w.took[:0], now
	return w.limit != former
}

// room returns how many more runs may be planned beside those that are being started.
func (w *window) room(opening func() int) int {
	if math.IsInf(w.limit, 1) {
		return math.MaxInt
	}
	return max(0, int(w.limit)-opening())
}

// opening counts the runs that are being started, and the tasks of steps that wait for advice.
func (p *Placer) opening() int {
	n := 0
	for _, r := range p.runs {
		if isOpening(r.state) {
			n++
		}
	}
	var waiting []int
	for _, w := range p.steps {
		if w.asking {
			waiting = p.waiting(w, waiting[:0])
			n += len(waiting)
		}
	}
	return n
}

func isOpening(s chart.State) bool { return s == ticketing || s == logging || s == starting }
