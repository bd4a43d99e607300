package integration

import (
	"bufio"
	"bytes"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	startTimeout    = 15 * time.Second
	maxLogTailBytes = 6 << 10 // A failed test shows this much of a process's log.
)

// process is a child process of a test. It is killed when the test ends.
type process struct {
	t       *testing.T
	name    string
	cmd     *exec.Cmd
	logPath string // The file that receives standard error.
	exited  chan struct{}

	mu        sync.Mutex
	lines     []string
	lineAdded chan struct{} // Closed and replaced when a line is added.
}

// startProcess starts a binary, collects the lines of its standard output and redirects
// its standard error to a file.
func startProcess(t *testing.T, name, bin string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, cmd: exec.Command(binaryPath(bin), args...), exited: make(chan struct{}), lineAdded: make(chan struct{})}
	p.logPath = filepath.Join(t.TempDir(), name+".log")
	file, err := os.Create(p.logPath)
	require.NoError(t, err)
	p.cmd.Stderr = file
	out, err := p.cmd.StdoutPipe()
	require.NoError(t, err)
	// The kernel kills the process when the test binary ends, even if the test binary is killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	require.NoError(t, p.cmd.Start())
	_ = file.Close()
	go p.collectOutput(out)
	t.Cleanup(p.cleanUp)
	return p
}

func (p *process) collectOutput(out io.Reader) {
	scanner := bufio.NewScanner(out)
	for scanner.Scan() {
		p.mu.Lock()
		p.lines = append(p.lines, scanner.Text())
		close(p.lineAdded)
		p.lineAdded = make(chan struct{})
		p.mu.Unlock()
	}
	_ = p.cmd.Wait()
	close(p.exited)
}

// cleanUp kills the process if it is still running, and shows the end of its log if the
// test failed.
func (p *process) cleanUp() {
	select {
	case <-p.exited:
	default:
		p.kill()
	}
	if p.t.Failed() {
		p.t.Logf("last log lines of %s (%s):\n%s", p.name, p.cmd.ProcessState, p.logTail())
	}
}

// routineMessages are log messages about individual requests and tasks, of which a daemon
// writes hundreds during a test.
var routineMessages = []string{
	"shard opened", "request forwarded", "request placed", "keyed request", "job accepted",
	"task placed", "room reserved", "task started", "task attempt ended", "request answered",
}

// logTail returns the end of the log without the lines of routine messages.
func (p *process) logTail() []byte {
	data, _ := os.ReadFile(p.logPath)
	var kept []byte
	for line := range bytes.Lines(data) {
		if !isRoutineLine(line) {
			kept = append(kept, line...)
		}
	}
	return bytes.ToValidUTF8(kept[max(0, len(kept)-maxLogTailBytes):], []byte("?"))
}

func isRoutineLine(line []byte) bool {
	return slices.ContainsFunc(routineMessages, func(message string) bool {
		return bytes.Contains(line, []byte(`"message":"`+message))
	})
}

// waitForLine waits for a line of standard output with the prefix and returns the fields
// of the first one.
func (p *process) waitForLine(prefix string) []string {
	p.t.Helper()
	timeout := time.After(startTimeout)
	for {
		p.mu.Lock()
		lines, lineAdded := p.lines, p.lineAdded
		p.mu.Unlock()
		for _, line := range lines {
			if strings.HasPrefix(line, prefix) {
				return strings.Fields(line)
			}
		}
		select {
		case <-lineAdded:
		case <-p.exited:
			require.FailNow(p.t, p.name+" exited before it was ready", "%s", p.logTail())
		case <-timeout:
			require.FailNow(p.t, p.name+" did not print a line with the prefix "+prefix, "%q", lines)
		}
	}
}

func (p *process) signal(s os.Signal) {
	p.t.Helper()
	require.NoError(p.t, p.cmd.Process.Signal(s), p.name)
}

// kill sends SIGKILL, which also ends a paused process, and waits for the exit.
func (p *process) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.exited
}

func (p *process) pause()     { p.signal(syscall.SIGSTOP) }
func (p *process) resume()    { p.signal(syscall.SIGCONT) }
func (p *process) terminate() { p.signal(syscall.SIGTERM) }

// waitExit waits for the process to exit by itself and returns its exit code.
func (p *process) waitExit(timeout time.Duration) int {
	p.t.Helper()
	select {
	case <-p.exited:
	case <-time.After(timeout):
		require.FailNow(p.t, p.name+" did not exit", "within %s", timeout)
	}
	return p.cmd.ProcessState.ExitCode()
}
