package logclient

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	defaultCellRate = 300 // appends per second of all daemons together
	appendBurst     = 8
	backoffFirst    = 50 * time.Millisecond
	backoffMost     = 2 * time.Second
	maxRetryAfter   = 30 * time.Second
)

// Limiter keeps the appends of one daemon, over all streams, under its share of the
// log's rate.
type Limiter struct {
	limiter *rate.Limiter
	mu      sync.Mutex
	paused  time.Time
}

// NewLimiter returns a limiter for a daemon that is alone.
func NewLimiter() *Limiter { return &Limiter{limiter: rate.NewLimiter(defaultCellRate, appendBurst)} }

// SetShare divides the cell's rate, in appends per second, by the live daemons.
func (l *Limiter) SetShare(cellRate float64, liveDaemons int) {
	l.limiter.SetLimit(rate.Limit(cellRate / float64(max(1, liveDaemons))))
}

// Pause stops all appends for a time that the log service asked for, at most 30 s.
func (l *Limiter) Pause(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	until := time.Now().Add(min(d, maxRetryAfter))
	if until.After(l.paused) {
		l.paused = until
	}
}

// Wait returns when the next append may be sent.
func (l *Limiter) Wait(ctx context.Context) error {
	l.mu.Lock()
	pause := time.Until(l.paused)
	l.mu.Unlock()
	if err := sleep(ctx, pause); err != nil {
		return err
	}
	return l.limiter.Wait(ctx)
}

// backoff waits with exponential growth and full jitter.
type backoff struct{ attempt int }

func (b *backoff) reset() { b.attempt = 0 }

// wait sleeps for at least least, and returns an error when ctx ends first.
func (b *backoff) wait(ctx context.Context, least time.Duration) error {
	most := min(backoffMost, backoffFirst<<min(b.attempt, 10))
	b.attempt++
	return sleep(ctx, min(least, maxRetryAfter)+rand.N(most))
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
