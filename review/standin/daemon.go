package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// daemonProcess is one frontend machine: a process with the command of deploy/system.toml.
type daemonProcess struct {
	name     string
	settings string // path of its settings file
	callers  string
	ready    string
	logPath  string
	cmd      *exec.Cmd
	exited   chan struct{}
}

// deployment is the entry processes of one cell and where their platform is.
type deployment struct {
	rec     *recorder
	folder  string
	program string
	daemons []*daemonProcess
	cell    *cell
}

// bounds are the figures of the site grenaille-sched.
var bounds = map[string]any{
	"Bounds.MaxHoldMs": maxHoldMS, "Bounds.LeaseMs": 3000, "Bounds.early_ms": 250, "Bounds.StopTimeoutMs": 200, "Bounds.GraceS": 6, "Bounds.status_s": 120,
	"Limits.MemoryMb": 284, "Limits.MaxFds": 4100, "Limits.CpuShare": 0.4, "Limits.LinkMbps": 1000.0, "Region": "region-a", "Zone": "zone-a",
}

// writeSettings fills in the settings template of the deploy file, as the platform does.
func writeSettings(path string, values map[string]any) error {
	template, err := os.ReadFile("platform/settings.tmpl.jsonc")
	if err != nil {
		return err
	}
	text := string(template)
	for name, value := range values {
		data, err := json.Marshal(value)
		if err != nil {
			return err
		}
		text = strings.ReplaceAll(text, "{{"+name+"|json}}", string(data))
		text = strings.ReplaceAll(text, "{{"+name+"}}", strings.Trim(string(data), `"`))
	}
	if at := strings.Index(text, "{{"); at >= 0 {
		return fmt.Errorf("the settings template has a placeholder without a value: %.40s", text[at:])
	}
	return os.WriteFile(path, []byte(text), 0o600)
}

// Ports for the processes are taken from below the range that the kernel gives to outgoing connections.
const (
	firstPort = 20_000
	lastPort  = 30_000
)

// freePorts returns n free ports.
func freePorts(n int) ([]int, error) {
	var ports []int
	for try := 0; len(ports) < n && try < 1000; try++ {
		port := firstPort + rand.IntN(lastPort-firstPort)
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		defer listener.Close() //nolint:errcheck // closed to free the port
		ports = append(ports, port)
	}
	if len(ports) < n {
		return nil, fmt.Errorf("no %d free ports were found", n)
	}
	return ports, nil
}

// add starts a process under a new name.
func (d *deployment) add(name string) error {
	p := &daemonProcess{name: name, settings: filepath.Join(d.folder, name+".conf"), logPath: filepath.Join(d.folder, name+".log")}
	if err := d.configure(p); err != nil {
		return err
	}
	d.daemons = append(d.daemons, p)
	return d.start(p)
}

// configure gives a process free ports and writes its settings.
func (d *deployment) configure(p *daemonProcess) error {
	ports, err := freePorts(4)
	if err != nil {
		return err
	}
	p.callers, p.ready = fmt.Sprintf("127.0.0.1:%d", ports[0]), fmt.Sprintf("127.0.0.1:%d", ports[1])
	values := map[string]any{
		"NodeName": p.name, "Ip": "127.0.0.1", "Listen.FrontendAddr": p.callers, "Listen.Readiness": p.ready, "PortRange.0": ports[2], "PortRange.1": ports[3],
		"platform.Address": d.cell.storeAddress, "Advice": d.cell.adviceAddress, "Cloud.Address": d.cell.storeAddress, "platform.keep_s": d.cell.store.keep.Seconds(),
	}
	for key, value := range bounds {
		values[key] = value
	}
	return writeSettings(p.settings, values)
}

func (p *daemonProcess) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

func (d *deployment) start(p *daemonProcess) error {
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.cmd = exec.Command(d.program, "serve")
	p.cmd.Env = []string{"BRIARPROXY_CONFIG=" + p.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + d.folder}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}(p.cmd, p.exited)
	d.rec.line("process %s starts (pid %d)", p.name, p.cmd.Process.Pid)
	return nil
}

// kill ends a process with SIGKILL.
func (d *deployment) kill(p *daemonProcess) {
	d.rec.line("process %s is killed (SIGKILL)", p.name)
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.exited
}

func (d *deployment) killAll() {
	for _, p := range d.daemons {
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Signal(syscall.SIGKILL)
		}
	}
	for _, p := range d.daemons {
		if p.exited != nil {
			<-p.exited
		}
	}
}

// isReady asks a process's readiness as the platform's balancer does.
func (p *daemonProcess) isReady() bool {
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + p.ready + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (d *deployment) waitReady(limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, p := range d.daemons {
			if p.isReady() {
				ready++
			}
		}
		if ready == len(d.daemons) {
			return nil
		}
	}
	return fmt.Errorf("the processes were not ready after %v", limit)
}

// placer returns the process whose log shows that it gave the last orders.
func (d *deployment) placer() *daemonProcess {
	var best *daemonProcess
	var bestAt time.Time
	for _, p := range d.daemons {
		data, err := os.ReadFile(p.logPath)
		if err != nil {
			continue
		}
		for _, line := range strings.Split(string(data), "\n") {
			var entry struct {
				Time    time.Time
				Message string
			}
			if strings.Contains(line, "placer-began") && json.Unmarshal([]byte(line), &entry) == nil && entry.Time.After(bestAt) {
				best, bestAt = p, entry.Time
			}
		}
	}
	return best
}
