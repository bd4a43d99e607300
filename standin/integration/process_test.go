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
	startTimeout = 15 * time.Second
	logTail      = 6 << 10 // bytes of a process's log that a failed test shows
)

// process is a child process of a test. It is killed at the test's end.
type process struct {
	t    *testing.T
	name string
	cmd  *exec.Cmd
	log  string // file with its standard error
	done chan struct{}

	mu    sync.Mutex
	lines []string
	grown chan struct{} // closed and replaced with each line
}

// startProcess starts a binary and collects its standard output.
func startProcess(t *testing.T, name, bin string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, cmd: exec.Command(binary(bin), args...), done: make(chan struct{}), grown: make(chan struct{})}
	p.log = filepath.Join(t.TempDir(), name+".log")
	file, err := os.Create(p.log)
	require.NoError(t, err)
	p.cmd.Stderr = file
	out, err := p.cmd.StdoutPipe()
	require.NoError(t, err)
	// The process ends with the test binary even when that is killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	require.NoError(t, p.cmd.Start())
	_ = file.Close()
	go p.collect(out)
	t.Cleanup(p.end)
	return p
}

func (p *process) collect(out io.Reader) {
	scanner := bufio.NewScanner(out)
	for scanner.Scan() {
		p.mu.Lock()
		p.lines = append(p.lines, scanner.Text())
		close(p.grown)
		p.grown = make(chan struct{})
		p.mu.Unlock()
	}
	_ = p.cmd.Wait()
	close(p.done)
}

// end kills the process if it still runs, and shows its log if the test failed.
func (p *process) end() {
	select {
	case <-p.done:
	default:
		p.kill()
	}
	if p.t.Failed() {
		p.t.Logf("end of the log of %s (%s):\n%s", p.name, p.cmd.ProcessState, p.tail())
	}
}

// routine are the messages of decisions on single requests and tasks, of which a
// daemon writes hundreds in a test.
var routine = []string{
	"shard opened", "request forwarded", "request placed", "keyed request", "job accepted",
	"task placed", "room reserved", "task started", "task attempt ended", "request answered",
}

// tail returns the end of the log without routine lines.
func (p *process) tail() []byte {
	data, _ := os.ReadFile(p.log)
	var kept []byte
	for line := range bytes.Lines(data) {
		if !isRoutine(line) {
			kept = append(kept, line...)
		}
	}
	return bytes.ToValidUTF8(kept[max(0, len(kept)-logTail):], []byte("?"))
}

func isRoutine(line []byte) bool {
	return slices.ContainsFunc(routine, func(message string) bool {
		return bytes.Contains(line, []byte(`"message":"`+message))
	})
}

// waitLine returns the fields of the first line of output with the prefix.
func (p *process) waitLine(prefix string) []string {
	p.t.Helper()
	timeout := time.After(startTimeout)
	for {
		p.mu.Lock()
		lines, grown := p.lines, p.grown
		p.mu.Unlock()
		for _, line := range lines {
			if strings.HasPrefix(line, prefix) {
				return strings.Fields(line)
			}
		}
		select {
		case <-grown:
		case <-p.done:
			require.FailNow(p.t, p.name+" ended before it was ready", "%s", p.tail())
		case <-timeout:
			require.FailNow(p.t, p.name+" printed no line "+prefix, "%q", lines)
		}
	}
}

func (p *process) signal(s os.Signal) {
	p.t.Helper()
	require.NoError(p.t, p.cmd.Process.Signal(s), p.name)
}

// kill ends the process at once, also a paused one, and waits for it.
func (p *process) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.done
}

func (p *process) pause()    { p.signal(syscall.SIGSTOP) }
func (p *process) unpause()  { p.signal(syscall.SIGCONT) }
func (p *process) stopSoft() { p.signal(syscall.SIGTERM) }

// waitExit waits for the process to end by itself and returns its exit code.
func (p *process) waitExit(limit time.Duration) int {
	p.t.Helper()
	select {
	case <-p.done:
	case <-time.After(limit):
		require.FailNow(p.t, p.name+" did not end", "within %s", limit)
	}
	return p.cmd.ProcessState.ExitCode()
}
