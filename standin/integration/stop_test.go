package integration

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	graceTime    = 6 * time.Second // of the settings that the tests write
	signalPause  = 20 * time.Millisecond
	signalsDense = 2 * time.Second // from then on signals come without a pause, to meet the end of the process
)

// Guards against a planned stop that a second signal cuts short, so that requests are not
// answered or its last line is not written.
func TestPlatformSecondSignalDoesNotEndAPlannedStop(t *testing.T) {
	t.Parallel()
	c := newPlatformCell(t, 1, 1, false)
	p := c.daemons[0]
	began := time.Now()
	for ended := false; !ended; {
		_ = p.cmd.Process.Signal(syscall.SIGTERM) // it may have ended
		if time.Since(began) < signalsDense {
			time.Sleep(signalPause)
		}
		select {
		case <-p.done:
			ended = true
		default:
		}
		require.Less(t, time.Since(began), graceTime)
	}
	require.Zero(t, p.cmd.ProcessState.ExitCode(), "%s", p.cmd.ProcessState)
	p.mu.Lock()
	defer p.mu.Unlock()
	require.Contains(t, strings.Join(p.lines, "\n"), `"event":902`)
}
