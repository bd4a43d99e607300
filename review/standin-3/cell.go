package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// record is the record of a case: what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, started: time.Now()}, err
}

func (r *record) add(kind, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %-8s %s\n", time.Since(r.started).Seconds(), kind, fmt.Sprintf(format, args...))
}

// daemon is a process of the system under test.
type daemon struct {
	name     string
	callers  string // address
	metrics  string // address
	settings string // path
	output   *os.File
	command  *exec.Cmd
	exited   chan struct{}
}

// cell is the system under test with its platform.
type cell struct {
	dir      string // temporary
	binary   string
	record   *record
	store    *store
	fleet    *fleet
	daemons  []*daemon
	client   *http.Client
	storeAt  string
	adviceAt string
	keepS    int
}

// freePorts returns ports of the loopback interface that are free now.
func freePorts(n int) ([]int, error) {
	var ports []int
	var listeners []net.Listener
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, l)
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	for _, l := range listeners {
		_ = l.Close()
	}
	return ports, nil
}

// serve serves a stand-in on a free port and returns its address.
func serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}).Serve(l) }() // until the process ends
	return l.Addr().String(), nil
}

// addDaemons writes the settings of n daemons, in the form of the template of the deploy file.
func (c *cell) addDaemons(n int) error {
	ports, err := freePorts(4 * n)
	if err != nil {
		return err
	}
	zones := []string{"kushiro", "asahikawa", "hakodate"}
	regions := []string{"doto", "dohoku", "doo"}
	for i := range n {
		at := func(k int) string { return fmt.Sprintf("127.0.0.1:%d", ports[4*i+k]) }
		name := fmt.Sprintf("frontend-%s-%d", zones[i%3], 1+i/3)
		settings := map[string]any{
			"name": name, "region": regions[i%3], "data_centre": zones[i%3],
			"listen":   map[string]any{"callers": at(0), "ready": at(1), "peers": at(2), "metrics": at(3)},
			"platform": map[string]any{"store": c.storeAt, "advice": c.adviceAt, "machines": c.storeAt},
			"limits":   map[string]any{"memory_mib": 284, "descriptors": 4100, "cpu_share": 0.4, "link_mbps": 1000.0},
			"bounds": map[string]any{"max_lease_ms": maxHold.Milliseconds(), "failover_ms": 3000, "early_ms": 250, "stop_ms": 900, "grace_s": 6,
				"status_s": 120, "keep_s": c.keepS, "revoke_ms": nil, "remote_factor": 3},
		}
		data, err := json.MarshalIndent(settings, "", "  ")
		if err != nil {
			return err
		}
		d := &daemon{name: name, callers: at(0), metrics: at(3), settings: filepath.Join(c.dir, name+".jsonc")}
		if d.output, err = os.Create(filepath.Join(c.dir, name+".log")); err != nil {
			return err
		}
		if err := os.WriteFile(d.settings, data, 0o600); err != nil {
			return err
		}
		c.daemons = append(c.daemons, d)
	}
	return nil
}

// start starts a daemon as the deploy file does.
func (c *cell) start(d *daemon) error {
	d.command = exec.Command(c.binary, "serve")
	d.command.Env = []string{"BRIARPROXY_CONFIG=" + d.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + c.dir, "LANG=C"}
	d.command.Stdout, d.command.Stderr = d.output, d.output
	if err := d.command.Start(); err != nil {
		return err
	}
	d.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) { _ = command.Wait(); close(exited) }(d.command, d.exited)
	c.record.add("daemon", "%s starts, process %d, callers at %s", d.name, d.command.Process.Pid, d.callers)
	return nil
}

// signal sends a signal to a daemon and waits until it has ended.
func (c *cell) stop(d *daemon, s syscall.Signal) {
	c.record.add("trouble", "%s gets %v", d.name, s)
	_ = d.command.Process.Signal(s) // It may have ended.
	select {
	case <-d.exited:
	case <-time.After(6 * time.Second):
		_ = d.command.Process.Kill()
		<-d.exited
	}
	c.record.add("daemon", "%s has ended", d.name)
}

// close ends all processes that were started.
func (c *cell) close() {
	for _, d := range c.daemons {
		if d.command != nil && d.command.Process != nil {
			_ = d.command.Process.Kill()
			<-d.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println("kept", c.dir)
	}
}

// call sends a caller's request to a daemon. A status of 0 means no answer.
func (c *cell) call(d *daemon, method, path string, body any) (int, string) {
	return c.request(callerTime, d, method, path, body)
}

// callWithin is like call for a caller that leaves after a time.
func (c *cell) callWithin(patience time.Duration, d *daemon, method, path string, body any) int {
	status, _ := c.request(patience, d, method, path, body)
	return status
}

// callerTime is how long callers wait for an answer.
const callerTime = 3 * time.Second

func (c *cell) request(patience time.Duration, d *daemon, method, path string, body any) (int, string) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.callers+path, bytes.NewReader(data))
	if err != nil {
		return 0, ""
	}
	req.Host = callerHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", "3000")
	resp, err := c.client.Do(req)
	if err != nil {
		c.record.add("client", "%s %s at %s: no answer", method, path, d.name)
		return 0, ""
	}
	defer resp.Body.Close()
	answer, _ := io.ReadAll(resp.Body)
	c.record.add("client", "%s %s at %s: %d %s", method, path, d.name, resp.StatusCode, answer)
	return resp.StatusCode, string(answer)
}

// submit hands a job in, again after answers that ask for it, and reports whether it was accepted.
func (c *cell) submit(path string, body any) bool {
	for try := range 40 {
		status, _ := c.call(c.daemons[try%len(c.daemons)], http.MethodPost, path, body)
		if status/100 == 2 {
			return true
		}
		time.Sleep(250 * time.Millisecond)
	}
	return false
}

// state returns the State of a job as the first daemon that answers gives it, or the status if that is not 200.
func (c *cell) state(path string) string {
	for _, d := range c.daemons {
		status, answer := c.call(d, http.MethodGet, path, nil)
		var job struct{ State string }
		switch {
		case status == http.StatusOK && json.Unmarshal([]byte(answer), &job) == nil:
			return job.State
		case status == http.StatusGone || status == http.StatusNotFound:
			return fmt.Sprint(status)
		}
	}
	return "no answer"
}
