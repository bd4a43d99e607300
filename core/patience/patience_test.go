package patience

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"briarproxy/core/resource"
)

// Guards against waits that save nothing or never end.
func TestNothingIsWaitedForWithoutASaving(t *testing.T) {
	usual := Choice{Work: time.Second, Factor: 3, Expected: 100 * time.Millisecond, Spare: time.Minute}
	assert.Equal(t, Wait, Decide(usual))
	for name, change := range map[string]func(c *Choice){
		"no work":           func(c *Choice) { c.Work = 0 },
		"negative work":     func(c *Choice) { c.Work = -time.Second },
		"no better":         func(c *Choice) { c.Factor = 1 },
		"worse":             func(c *Choice) { c.Factor = 0.5 },
		"unknown factor":    func(c *Choice) { c.Factor = math.NaN() },
		"never free":        func(c *Choice) { c.Expected = Never },
		"waited":            func(c *Choice) { c.Waited = 2 * time.Second },
		"objective at risk": func(c *Choice) { c.Spare = 2050 * time.Millisecond },
	} {
		choice := usual
		change(&choice)
		assert.NotEqual(t, Wait, Decide(choice), name)
	}
}

// Guards against a wait of more than twice what it saves, or of more than MaxWait, for any input.
func TestWaitsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duration := rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "ns"))
		})
		c := Choice{
			Work: duration.Draw(t, "work"), Factor: rapid.Float64Range(0, 100).Draw(t, "factor"), Expected: duration.Draw(t, "expected"),
			Waited: duration.Draw(t, "waited"), Load: rapid.Float64Range(-1, 5).Draw(t, "load"), Spare: duration.Draw(t, "spare"),
		}
		if Decide(c) == Wait {
			assert.Less(t, c.Waited, min(2*c.Saving(), MaxWait))
			assert.Less(t, c.Expected, min(2*c.Saving(), MaxWait))
		}
	})
}

// Guards against a rate that a clock that goes back, or the end of something without size, makes infinite.
func TestRateNeedsFreedCapacity(t *testing.T) {
	r := NewReleases()
	lack := resource.Vector{MilliCores: 1000}
	assert.Equal(t, Never, r.TimeToFree([]string{"a"}, lack, time.Minute))
	r.Observe("a", resource.Vector{MemoryMiB: 5, MilliCores: -9}, time.Minute)
	assert.Equal(t, Never, r.TimeToFree([]string{"a", "gone"}, lack, time.Minute))
	for at := time.Minute; at < 2*time.Minute; at += time.Second {
		r.Observe("a", resource.Vector{MilliCores: 500}, at)
	}
	assert.InDelta(t, 2, r.TimeToFree([]string{"a", "gone"}, lack, 2*time.Minute).Seconds(), 0.3)
	assert.InDelta(t, 2, r.TimeToFree([]string{"a"}, lack, time.Second).Seconds(), 0.3, "a clock that went back")
}
