package admission

import (
	"math"
	"math/rand/v2"
	"time"
)

// RetryBudget allows retries up to a part of the requests, so that retries can't
// multiply the load on a pool that already fails.
type RetryBudget struct {
	tokens float64
}

// Parameters of a retry budget.
const (
	retryRatio    = 0.1 // retries per request
	retryReserve  = 10  // retries allowed before any request was counted
	retryTokenMax = 100 // bounds the burst after a long time without retries
)

// NewRetryBudget returns a budget with its reserve.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: retryReserve} }

// Request counts a request that is not a retry.
func (b *RetryBudget) Request() { b.tokens = math.Min(retryTokenMax, b.tokens+retryRatio) }

// Retry reports whether a retry may be made, and charges it.
func (b *RetryBudget) Retry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// MaxBackoff bounds the backoff before one retry.
const MaxBackoff = 30 * time.Second

// Backoff returns the wait before retry number attempt, counted from 0: uniform
// between 0 and base doubled attempt times (full jitter).
func Backoff(rng *rand.Rand, base time.Duration, attempt int) time.Duration {
	if base <= 0 {
		return 0
	}
	limit := min(base, MaxBackoff)
	for range attempt {
		limit = min(2*limit, MaxBackoff)
	}
	return time.Duration(rng.Int64N(int64(limit) + 1))
}

// ServiceRate measures how many requests per second a pool serves. It divides the
// slots by the mean run time, because a plain count of completions would only show
// the arrival rate while the pool is not full.
type ServiceRate struct {
	mean float64 // seconds, 0 before the first sample
}

// sampleWeight is the weight of a new run time in the moving mean.
const sampleWeight = 0.05

// minMeanRun keeps the rate finite.
const minMeanRun = 0.0005 // seconds

// Observe adds the run time of one request.
func (r *ServiceRate) Observe(run time.Duration) {
	if r.mean == 0 {
		r.mean = math.Max(minMeanRun, run.Seconds())
		return
	}
	r.mean = math.Max(minMeanRun, r.mean+sampleWeight*(run.Seconds()-r.mean))
}

// PerSecond returns the rate with the given number of slots, 0 when it is unknown.
func (r *ServiceRate) PerSecond(slots int64) float64 {
	if r.mean == 0 {
		return 0
	}
	return float64(slots) / r.mean
}

// Mean returns the mean run time, 0 when it is unknown.
func (r *ServiceRate) Mean() time.Duration { return time.Duration(r.mean * float64(time.Second)) }
