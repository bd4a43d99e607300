package placer

import "time"

// minRateInterval is the shortest time between two looks that tells a rate: percents are
// whole numbers and looks arrive late.
const minRateInterval = 400 * time.Millisecond

// progress is what the looks tell of a run's work. A run that resumes from a checkpoint
// does not begin at 0, so a rate needs two looks.
type progress struct {
	seen                      bool
	firstPercent, lastPercent int // percent
	firstAt, lastAt           time.Duration
	increasedAt               time.Duration // when the percent last rose
}

func (g *progress) observe(percent int, at time.Duration) {
	if !g.seen {
		*g = progress{seen: true, firstPercent: percent, firstAt: at, lastPercent: percent, lastAt: at, increasedAt: at}
		return
	}
	if percent > g.lastPercent {
		g.increasedAt = at
	}
	g.lastPercent, g.lastAt = percent, at
}

// rate returns the percents of a run's work done in a second.
func (g *progress) rate() (float64, bool) {
	passed := g.lastAt - g.firstAt
	if !g.seen || passed < minRateInterval || g.lastPercent <= g.firstPercent {
		return 0, false
	}
	return float64(g.lastPercent-g.firstPercent) / passed.Seconds(), true
}

// remaining returns the time that the rest of a run takes: as fast as the looks have
// seen it, otherwise as the caller's estimate says.
func (g *progress) remaining(estimate, now time.Duration) time.Duration {
	if rate, ok := g.rate(); ok {
		left := time.Duration(float64(100-g.lastPercent) / rate * float64(time.Second))
		return max(0, left-(now-g.lastAt))
	}
	if !g.seen {
		return estimate
	}
	left := time.Duration(float64(100-g.lastPercent) / 100 * float64(estimate))
	return max(0, left-(now-g.lastAt))
}
