package admission

import (
	"math"
	"math/rand/v2"
	"time"
)

// RetryBudget is a token bucket that limits retries to a fraction of the requests, so
// that retries can't multiply the load on a pool that already fails.
type RetryBudget struct {
	tokens float64
}

// Parameters of the token bucket. A retry costs one token.
const (
	retryTokensPerRequest = 0.1 // limits retries to a tenth of the requests
	initialRetryTokens    = 10  // retries allowed before the first request
	maxRetryTokens        = 100 // limits the burst after a long time without retries
)

// NewRetryBudget returns a budget with its initial tokens.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: initialRetryTokens} }

// AddRequest counts a request that is not a retry.
func (b *RetryBudget) AddRequest() {
	b.tokens = math.Min(maxRetryTokens, b.tokens+retryTokensPerRequest)
}

// TryRetry charges a retry to the budget and returns false if the budget is exhausted.
func (b *RetryBudget) TryRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// MaxBackoff is the longest wait before one retry.
const MaxBackoff = 30 * time.Second

// Backoff returns the wait before retry number attempt, counted from 0, by exponential
// backoff with full jitter: uniform between 0 and base doubled attempt times, at most
// MaxBackoff.
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

// ServiceRate estimates how many requests per second a pool can serve. It divides the
// number of slots by the mean run time, because counting completions would measure the
// arrival rate while the pool is not fully used.
type ServiceRate struct {
	meanSeconds float64 // mean run time, 0 before the first sample
}

// newSampleWeight is the weight of a new run time in the exponential moving average.
const newSampleWeight = 0.05

// minMeanSeconds is the lower limit of the mean run time, which keeps the rate finite.
const minMeanSeconds = 0.0005

// Observe adds the run time of one request.
func (r *ServiceRate) Observe(run time.Duration) {
	if r.meanSeconds == 0 {
		r.meanSeconds = math.Max(minMeanSeconds, run.Seconds())
		return
	}
	r.meanSeconds = math.Max(minMeanSeconds, r.meanSeconds+newSampleWeight*(run.Seconds()-r.meanSeconds))
}

// PerSecond returns the rate for the given number of slots, or 0 if it is unknown.
func (r *ServiceRate) PerSecond(slots int64) float64 {
	if r.meanSeconds == 0 {
		return 0
	}
	return float64(slots) / r.meanSeconds
}

// MeanRunTime returns the mean run time, or 0 if it is unknown.
func (r *ServiceRate) MeanRunTime() time.Duration {
	return time.Duration(r.meanSeconds * float64(time.Second))
}
