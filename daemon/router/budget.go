package router

import (
	"math/rand/v2"
	"sync"

	"briarproxy/core/admission"
)

// sharedBudget lets callers' goroutines share the retry budget and a random
// source.
type sharedBudget struct {
	mu     sync.Mutex
	budget *admission.RetryBudget
	random *rand.Rand
}

func newSharedBudget(random *rand.Rand) *sharedBudget {
	return &sharedBudget{budget: admission.NewRetryBudget(), random: random}
}

func (b *sharedBudget) request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.AddRequest()
}

func (b *sharedBudget) retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.TryRetry()
}

// rng returns a random source of the calling goroutine's own.
func (b *sharedBudget) rng() *rand.Rand {
	b.mu.Lock()
	defer b.mu.Unlock()
	return newRandom(b.random)
}
