package placer

import "time"

// minProgressTime is the shortest time between two looks that tells a rate: percents are
// whole numbers and looks arrive late.
const minProgressTime = 400 * time.Millisecond

// progress is what the looks tell of a run's work. A run that resumes from a checkpoint
// does not begin at 0, so a rate needs two looks.
type progress struct {
	seen            bool
	first, last     int // percent
	firstAt, lastAt time.Duration
	movedAt         time.Duration // when the percent last rose
}

func (g *progress) see(percent int, at time.Duration) {
	if !g.seen {
		*g = progress{seen: true, first: percent, firstAt: at, last: percent, lastAt: at, movedAt: at}
		return
	}
	if percent > g.last {
		g.movedAt = at
	}
	g.last, g.lastAt = percent, at
}

// rate returns the percents of a run's work done in a second.
func (g *progress) rate() (float64, bool) {
	passed := g.lastAt - g.firstAt
	if !g.seen || passed < minProgressTime || g.last <= g.first {
		return 0, false
	}
	return float64(g.last-g.first) / passed.Seconds(), true
}

// remaining returns the time that the rest of a run takes: as fast as the looks have
// seen it, otherwise as the caller's estimate says.
func (g *progress) remaining(estimate, now time.Duration) time.Duration {
	if rate, ok := g.rate(); ok {
		left := time.Duration(float64(100-g.last) / rate * float64(time.Second))
		return max(0, left-(now-g.lastAt))
	}
	if !g.seen {
		return estimate
	}
	left := time.Duration(float64(100-g.last) / 100 * float64(estimate))
	return max(0, left-(now-g.lastAt))
}
