package integration

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	gracePeriod            = 6 * time.Second // The value of grace_s in the settings that the tests write.
	signalInterval         = 20 * time.Millisecond
	continuousSignalsAfter = 2 * time.Second // From then on, signals follow without a pause, so that some arrive while the process exits.
)

// Guards against a second signal that cuts a graceful stop short, so that requests are not
// answered or the final log line is not written.
func TestPlatformSecondSignalDuringGracefulStop(t *testing.T) {
	t.Parallel()
	c := newPlatformCell(t, 1, 1, false)
	p := c.daemons[0]
	began := time.Now()
	for ended := false; !ended; {
		_ = p.cmd.Process.Signal(syscall.SIGTERM) // The process may have exited.
		if time.Since(began) < continuousSignalsAfter {
			time.Sleep(signalInterval)
		}
		select {
		case <-p.exited:
			ended = true
		default:
		}
		require.Less(t, time.Since(began), gracePeriod)
	}
	require.Zero(t, p.cmd.ProcessState.ExitCode(), "%s", p.cmd.ProcessState)
	p.mu.Lock()
	defer p.mu.Unlock()
	require.Contains(t, strings.Join(p.lines, "\n"), `"event":902`)
}
