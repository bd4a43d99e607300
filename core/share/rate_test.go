package share

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const startMS = 1_700_000_000_000

// take returns how many of n submissions, one every intervalMS, are within the rate.
func take(b *Bucket, rate float64, n int, fromMS, intervalMS int64) (within int) {
	for i := range n {
		if b.Take(rate, fromMS+int64(i)*intervalMS) {
			within++
		}
	}
	return within
}

func TestSubmissionsBeyondTheRate(t *testing.T) {
	require.Equal(t, 100, take(&Bucket{}, 10, 100, startMS, 100), "at the rate")
	require.Equal(t, 109, take(&Bucket{}, 10, 200, startMS, 50), "at twice the rate: 10 s of it and the burst")
	require.Equal(t, 100, take(&Bucket{}, 0, 100, startMS, 0), "without a rate")
	require.Equal(t, 1, take(&Bucket{}, 0.5, 3, startMS, 0), "below one job a second")
	b := &Bucket{}
	require.Equal(t, 10, take(b, 10, 30, startMS, 0))
	require.True(t, b.Full(startMS+1001))
	require.Equal(t, 10, take(b, 10, 30, startMS+1001, 0), "a second later")
}

// Guards against a workspace whose jobs all count as beyond its rate because one daemon's clock is ahead.
func TestClocksThatDifferCostNoWorkspaceItsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		skewMS := rapid.Int64Range(-8000, 8000).Draw(t, "skew")
		b := Bucket{}
		for i := range int64(200) {
			atMS := startMS + i*100
			if rapid.IntRange(0, 9).Draw(t, "daemon") == 0 {
				atMS += skewMS
			}
			require.True(t, b.Take(12, atMS), "submission %d", i)
		}
	})
}
