package cell

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against all daemons claiming as soon as a slow store is quick again, before the
// placer's records that waited there can be read (dosui-sched-grown, trouble-2).
func TestSlowAnswersAreRememberedForAWhile(t *testing.T) {
	var s slowAnswers
	require.Zero(t, s.longest(10*time.Second))
	s.note(400*time.Millisecond, 10*time.Second)
	s.note(20*time.Millisecond, 11*time.Second)
	require.Equal(t, 400*time.Millisecond, s.longest(12*time.Second))
	require.Zero(t, s.longest(10*time.Second+slowMemory+time.Millisecond))
	s.note(20*time.Millisecond, 14*time.Second)
	require.Equal(t, 20*time.Millisecond, s.longest(14*time.Second))
}
