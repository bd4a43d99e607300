package placer

import "time"

// minRateInterval is the shortest observed time from which a rate is computed: percentages are
// whole numbers, and the answers to polls arrive late.
const minRateInterval = 400 * time.Millisecond

// progress is the progress of a run as reported in the answers to polls. A run that resumes from
// a checkpoint does not start at 0, so a rate needs two reports.
type progress struct {
	seen                      bool
	firstPercent, lastPercent int
	firstAt, lastAt           time.Duration
	increasedAt               time.Duration // last time at which the percentage rose
}

func (p *progress) observe(percent int, at time.Duration) {
	if !p.seen {
		*p = progress{seen: true, firstPercent: percent, firstAt: at, lastPercent: percent, lastAt: at, increasedAt: at}
		return
	}
	if percent > p.lastPercent {
		p.increasedAt = at
	}
	p.lastPercent, p.lastAt = percent, at
}

// rate returns the progress of the run in percentage points per second, and false if it is not
// known.
func (p *progress) rate() (float64, bool) {
	elapsed := p.lastAt - p.firstAt
	if !p.seen || elapsed < minRateInterval || p.lastPercent <= p.firstPercent {
		return 0, false
	}
	return float64(p.lastPercent-p.firstPercent) / elapsed.Seconds(), true
}

// remaining returns the expected time until the run ends, from the observed rate if there is one
// and otherwise from the caller's estimate.
func (p *progress) remaining(estimate, now time.Duration) time.Duration {
	if rate, ok := p.rate(); ok {
		left := time.Duration(float64(100-p.lastPercent) / rate * float64(time.Second))
		return max(0, left-(now-p.lastAt))
	}
	if !p.seen {
		return estimate
	}
	left := time.Duration(float64(100-p.lastPercent) / 100 * float64(estimate))
	return max(0, left-(now-p.lastAt))
}
