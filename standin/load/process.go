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

// startTimeout bounds the time until a program prints that it listens.
const startTimeout = 15 * time.Second

// process is a program that a run started.
type process struct {
	name    string
	command *exec.Cmd
	lines   chan string
	ended   chan struct{}
	logFile string
}

// launch starts a program of the run's binary directory. Its standard error goes to
// a file in the run's directory.
func (c *Cell) launch(name, program string, args ...string) (*process, error) {
	p := &process{name: name, lines: make(chan string, 1024), ended: make(chan struct{})}
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
		close(p.ended)
	}()
	c.processes = append(c.processes, p)
	return p, nil
}

// line waits for a line of output with a given start.
func (p *process) line(prefix string) (string, error) {
	timeout := time.After(startTimeout)
	for {
		select {
		case line := <-p.lines:
			if strings.HasPrefix(line, prefix) {
				return line, nil
			}
		case <-p.ended:
			return "", fault.New(fault.Unavailable, "read "+p.logFile, "%s ended before it printed %q", p.name, prefix)
		case <-timeout:
			return "", fault.New(fault.Unavailable, "read "+p.logFile, "%s did not print %q in %s", p.name, prefix, startTimeout)
		}
	}
}

func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// kill ends the process without a planned stop.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// usage is what a process has used since its start.
type usage struct {
	cpu time.Duration
	rss int64 // bytes
}

// clockTick is the unit of CPU times in /proc/PID/stat (USER_HZ).
const clockTick = 10 * time.Millisecond

// usage reads the counters of the kernel.
func (p *process) usage() (usage, error) {
	var u usage
	root := fmt.Sprintf("/proc/%d/", p.command.Process.Pid)
	stat, err := os.ReadFile(root + "stat")
	if err != nil {
		return u, err
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	u.cpu = time.Duration(number(fields[11])+number(fields[12])) * clockTick
	status, err := keyed(root + "status")
	if err != nil {
		return u, err
	}
	u.rss = status["VmRSS"] << 10
	return u, nil
}

// keyed reads a file of /proc with lines "key: number".
func keyed(path string) (map[string]int64, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	values := map[string]int64{}
	for line := range strings.Lines(string(data)) {
		key, rest, _ := strings.Cut(line, ":")
		if fields := strings.Fields(rest); len(fields) > 0 {
			values[key] = number(fields[0])
		}
	}
	return values, nil
}

// number parses a counter; text that is none counts as 0.
func number(text string) int64 {
	n, _ := strconv.ParseInt(text, 10, 64)
	return n
}
