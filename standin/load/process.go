package load

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"briarproxy/core/fault"
)

// startTimeout bounds the wait for a line that a program prints once it has started.
const startTimeout = 15 * time.Second

// process is a program started by a cell.
type process struct {
	name    string
	command *exec.Cmd
	lines   chan string
	exited  chan struct{}
	logFile string
}

// launch starts a program from the directory of built programs. Its standard error is
// appended to a file in the cell's directory.
func (c *Cell) launch(name, program string, args ...string) (*process, error) {
	p := &process{name: name, lines: make(chan string, 1024), exited: make(chan struct{})}
	p.logFile = filepath.Join(c.dir, name+".log")
	stderr, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer func() { _ = stderr.Close() }()
	p.command = exec.Command(filepath.Join(c.options.Bin, program), args...)
	p.command.Stderr = stderr
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	stdout, err := p.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.command.Start(); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "run make build", "start %s", program)
	}
	go func() {
		scanner := bufio.NewScanner(stdout)
		for scanner.Scan() {
			select {
			case p.lines <- scanner.Text():
			default:
			}
		}
		_ = p.command.Wait()
		close(p.exited)
	}()
	c.processes = append(c.processes, p)
	return p, nil
}

// awaitLine waits for a line of standard output with the given prefix.
func (p *process) awaitLine(prefix string) (string, error) {
	timeout := time.After(startTimeout)
	for {
		select {
		case line := <-p.lines:
			if strings.HasPrefix(line, prefix) {
				return line, nil
			}
		case <-p.exited:
			return "", fault.New(fault.Unavailable, "read "+p.logFile, "%s exited before it printed %q", p.name, prefix)
		case <-timeout:
			return "", fault.New(fault.Unavailable, "read "+p.logFile, "%s did not print %q within %s", p.name, prefix, startTimeout)
		}
	}
}

func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// kill sends SIGKILL, so that the process can't shut down gracefully, and waits for its
// exit.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// usage is the CPU time that a process has used since its start, and its memory.
type usage struct {
	cpu      time.Duration
	rssBytes int64
}

// clockTick is the unit of CPU times in /proc/PID/stat (USER_HZ).
const clockTick = 10 * time.Millisecond

// usage reads the kernel's counters of the process.
func (p *process) usage() (usage, error) {
	var u usage
	procDir := fmt.Sprintf("/proc/%d/", p.command.Process.Pid)
	stat, err := os.ReadFile(procDir + "stat")
	if err != nil {
		return u, err
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	u.cpu = time.Duration(parseCounter(fields[11])+parseCounter(fields[12])) * clockTick
	status, err := readProcFields(procDir + "status")
	if err != nil {
		return u, err
	}
	u.rssBytes = status["VmRSS"] << 10
	return u, nil
}

// readProcFields reads a file of /proc with lines "key: number".
func readProcFields(path string) (map[string]int64, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	values := map[string]int64{}
	for line := range strings.Lines(string(data)) {
		key, rest, _ := strings.Cut(line, ":")
		if fields := strings.Fields(rest); len(fields) > 0 {
			values[key] = parseCounter(fields[0])
		}
	}
	return values, nil
}

// parseCounter parses a decimal number; it returns 0 for any other text.
func parseCounter(text string) int64 {
	n, _ := strconv.ParseInt(text, 10, 64)
	return n
}
