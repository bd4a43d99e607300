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
	"strings"
	"syscall"
	"time"
)

// Daemon is a process of the system under test.
type Daemon struct {
	rec      *recorder
	name     string
	program  string
	settings string // path of the settings file
	callers  string
	ready    string
	log      *os.File
	cmd      *exec.Cmd
	exited   chan struct{}
}

// loopbackIP is an address of this play alone, so that plays at the same time don't take each
// other's free ports.
var loopbackIP = fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()>>14&0x7f, os.Getpid()>>7&0x7f, 1+os.Getpid()&0x7f)

// keepS is for how long the store keeps records, s.
var keepS int

// lastPort is the port that freeAddress has returned last. The ports lie below those that the system
// gives to outgoing connections.
var lastPort = 20000

// freeAddress returns a loopback address on which nothing listens.
func freeAddress() string {
	for ; lastPort < 32000; lastPort++ {
		address := fmt.Sprintf("%s:%d", loopbackIP, lastPort+1)
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			lastPort++
			return address
		}
	}
	fatal("no free port at %s", loopbackIP)
	return ""
}

// serveOn serves a handler on a free loopback port and returns its address.
func serveOn(h http.Handler) string {
	l, err := net.Listen("tcp", freeAddress())
	if err != nil {
		fatal("no free port: %v", err)
	}
	go func() { _ = (&http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}).Serve(l) }() // until the process ends
	return l.Addr().String()
}

// newDaemon writes the settings of a daemon, with the figures of the site dosui-sched.
func newDaemon(rec *recorder, program, folder, name, zone, store, advice string) *Daemon {
	d := &Daemon{rec: rec, name: name, program: program, callers: freeAddress(), ready: freeAddress(), settings: filepath.Join(folder, name+".json")}
	settings := map[string]any{
		"name": name, "region": "doto", "data_centre": zone,
		"listen":   map[string]any{"callers": d.callers, "ready": d.ready, "peers": freeAddress(), "metrics": freeAddress()},
		"platform": map[string]any{"store": store, "advice": advice, "machines": freeAddress()},
		"limits":   map[string]any{"memory_mib": 284, "descriptors": 4100, "cpu_share": 0.4, "link_mbps": 1000},
		"bounds":   map[string]any{"max_lease_ms": maxHoldMS, "failover_ms": 3000, "early_ms": 250, "stop_ms": 900, "grace_s": 6, "status_s": 120, "keep_s": keepS},
	}
	data, _ := json.MarshalIndent(settings, "", " ")
	if err := os.WriteFile(d.settings, data, 0o644); err != nil {
		fatal("%v", err)
	}
	log, err := os.Create(filepath.Join(folder, name+".log"))
	if err != nil {
		fatal("%v", err)
	}
	d.log = log
	return d
}

func (d *Daemon) start() {
	d.cmd = exec.Command(d.program, "serve", "--settings", d.settings)
	d.cmd.Stdout, d.cmd.Stderr = d.log, d.log
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.cmd.Start(); err != nil {
		fatal("%s: %v", d.name, err)
	}
	cmd, exited := d.cmd, make(chan struct{})
	d.exited = exited
	go func() { _ = cmd.Wait(); close(exited) }()
	d.rec.line("%s starts", d.name)
}

func (d *Daemon) signal(s syscall.Signal) {
	d.rec.line("%s gets signal %v", d.name, s)
	_ = d.cmd.Process.Signal(s)
}

// kill ends the process and waits until it has ended.
func (d *Daemon) kill() {
	d.signal(syscall.SIGKILL)
	<-d.exited
}

func (d *Daemon) isReady() bool {
	resp, err := http.Get("http://" + d.ready + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// leads reports whether the last line of the daemon's log about its role says that it places.
func (d *Daemon) leads() bool {
	data, err := os.ReadFile(d.log.Name())
	if err != nil {
		return false
	}
	last := func(message string) int { return strings.LastIndex(string(data), `"message":"`+message+`"`) }
	return last("placer-began") > max(last("placer-ended"), last("cell-started"))
}

var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// call makes one call of a requester, who waits for three seconds. Status 0 means no answer.
func call(rec *recorder, d *Daemon, method string, route *Route, id string, body any) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.callers+route.PathPrefix+id, bytes.NewReader(data))
	if err != nil {
		fatal("%v", err)
	}
	req.Host = route.Host
	req.Header.Set("X-Deadline-Ms", "3000")
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		rec.line("%s %s%s %s at %s -> no answer", method, route.PathPrefix, id, data, d.name)
		return 0, ""
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	rec.line("%s %s%s %s at %s -> %d %s", method, route.PathPrefix, id, data, d.name, resp.StatusCode, text)
	return resp.StatusCode, string(text)
}

// submit hands a job in, with retries at other daemons, and reports whether it was accepted.
func (p *play) submit(job *Job) bool {
	p.cell.mu.Lock()
	p.cell.jobs[job.ID] = job
	p.cell.mu.Unlock()
	for try := range 5 {
		d := p.daemons[(p.next+try)%len(p.daemons)]
		if status, _ := call(p.rec, d, http.MethodPost, job.queue, job.ID, job); status/100 == 2 {
			p.next++
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// state asks any daemon for the state of a job.
func (p *play) state(job *Job) string {
	for _, d := range p.daemons {
		status, text := call(p.rec, d, http.MethodGet, job.queue, job.ID, nil)
		var body struct{ State string }
		if status == http.StatusOK && json.Unmarshal([]byte(text), &body) == nil {
			return body.State
		}
		if status == http.StatusGone {
			return "410"
		}
	}
	return ""
}

// waitReady waits until all daemons are ready.
func (p *play) waitReady(limit time.Duration) {
	if late := p.notReady(limit); len(late) > 0 {
		fatal("%v are not ready after %v", late, limit)
	}
}

// notReady waits until all daemons are ready, at most for the time, and returns the names of those
// that are not.
func (p *play) notReady(limit time.Duration) []string {
	var names []string
	until := time.Now().Add(limit)
	for _, d := range p.daemons {
		ready := d.isReady()
		for ; !ready && time.Now().Before(until); ready = d.isReady() {
			time.Sleep(50 * time.Millisecond)
		}
		p.rec.line("GET /ready at %s: ready %v", d.name, ready)
		if !ready {
			names = append(names, d.name)
		}
	}
	return names
}

func (p *play) leader() *Daemon {
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		for _, d := range p.daemons {
			if d.leads() {
				return d
			}
		}
	}
	fatal("no daemon places after 20 s")
	return nil
}

func jobID(n int) string { return fmt.Sprintf("%016x", 0x5c0e7a2100000000+n) }
