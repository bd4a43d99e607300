package resource

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func vectors() *rapid.Generator[Vector] {
	return rapid.Custom(func(t *rapid.T) Vector {
		amount := rapid.Int64Range(0, 1<<40)
		return Vector{
			MilliCores:   amount.Draw(t, "cores"),
			MemoryMiB:    amount.Draw(t, "memory"),
			Accelerators: amount.Draw(t, "accelerators"),
			Slots:        amount.Draw(t, "slots"),
		}
	})
}

// Guards against a resource kind that Add, Sub or Fits omits: it could be overcommitted
// unnoticed.
func TestFitsAgreesWithSubtraction(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity, ask := vectors().Draw(t, "capacity"), vectors().Draw(t, "ask")
		assert.Equal(t, !capacity.Sub(ask).HasNegative(), ask.Fits(capacity))
		assert.Equal(t, capacity, capacity.Add(ask).Sub(ask))
		assert.True(t, ask.Fits(ask.Max(capacity)))
	})
}
