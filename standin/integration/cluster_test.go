package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-resty/resty/v2"
	"github.com/stretchr/testify/require"

	"briarproxy/core/wire"
	"briarproxy/daemon/settings"
	"briarproxy/standin/demo"
	"briarproxy/standin/faultproxy"
	"briarproxy/standin/vmlist"
	"briarproxy/standin/worker"
)

// Times of the harness.
const (
	readyTimeout = 15 * time.Second
	pollEvery    = 50 * time.Millisecond
	drainDelay   = time.Second
	lease        = 3 * time.Second // half of the default, so that takeovers fit into short tests
	callTimeout  = 5 * time.Second
)

// place is a region with its only data centre.
type place struct{ region, dataCentre string }

// user is an example user with its regions and the size of its workers.
type user struct {
	objects    string
	places     []place
	milliCores int
	memoryMiB  int
}

var (
	inspectors = user{
		objects:    "../../examples/inspectors",
		places:     []place{{"doto", "kushiro"}, {"dohoku", "asahikawa"}, {"doo", "hakodate"}},
		milliCores: 64000, memoryMiB: 262144,
	}
	cooperative = user{
		objects:    "../../examples/cooperative",
		places:     []place{{"gaspesie", "gaspe"}, {"monteregie", "saint-jean"}, {"saguenay", "chicoutimi"}},
		milliCores: 32000, memoryMiB: 65536,
	}
)

// options describe a system to start.
type options struct {
	user         *user // default: inspectors
	racks        int   // in each region, default 1
	daemons      int
	workers      int
	operations   []string // NAME=MS
	logProxies   bool     // a fault proxy between each daemon and the log service
	workerProxy  bool     // a fault proxy before each worker
	workersFlags []string
}

// cluster is a running system with its stand-ins.
type cluster struct {
	*testing.T
	options  options
	logURL   string
	vmsURL   string
	journal  string
	vms      []wire.VM         // as the VM list shows them
	direct   map[string]string // worker -> its own address, without a proxy
	proxies  map[string]*faultproxy.Proxy
	daemons  []*daemon
	logProxy []*faultproxy.Proxy // by daemon
}

// daemon is a running briarproxyd.
type daemon struct {
	*process
	settings string
	caller   string // base URL
	metrics  string // base URL
}

// start starts a system that serves a user's example, and waits until each daemon
// is ready.
func start(t *testing.T, o options) *cluster {
	t.Helper()
	if o.user == nil {
		o.user = &inspectors
	}
	o.racks = max(1, o.racks)
	c := startStandins(t, o)
	require.Zero(t, c.publish("operator", 0, o.user.objects))
	for i := range o.daemons {
		c.startDaemon(i)
	}
	for _, d := range c.daemons {
		d.waitReady()
	}
	return c
}

func startStandins(t *testing.T, o options) *cluster {
	t.Helper()
	c := &cluster{T: t, options: o, direct: map[string]string{}, proxies: map[string]*faultproxy.Proxy{}}
	folder := t.TempDir()
	c.journal = filepath.Join(folder, "journal")
	c.logURL = "http://" + startProcess(t, "logservice", "standin", "logservice").waitLine("listening")[1]
	c.startWorkers(filepath.Join(folder, "vms.json"))
	list := startProcess(t, "vmlist", "standin", "vmlist", "--file", c.writeList(folder))
	c.vmsURL = "http://" + list.waitLine("listening")[1]
	return c
}

// startWorkers starts the workers, which trust the system to keep to their
// capacity and journal it when it does not.
func (c *cluster) startWorkers(list string) {
	c.Helper()
	u := c.options.user
	count := len(u.places) * c.options.racks
	perRack := (c.options.workers + count - 1) / count
	racks := make([]string, 0, count)
	for _, p := range u.places {
		for n := range c.options.racks {
			racks = append(racks, fmt.Sprintf("%s/%s/r%d", p.region, p.dataCentre, n+1))
		}
	}
	args := []string{
		"workers", "--count", fmt.Sprint(c.options.workers), "--per-rack", fmt.Sprint(perRack), "--racks", strings.Join(racks, ","),
		"--trusting", "--milli-cores", fmt.Sprint(u.milliCores), "--memory-mib", fmt.Sprint(u.memoryMiB), "--journal", c.journal, "--vm-list", list,
	}
	for _, op := range c.options.operations {
		args = append(args, "--operation", op)
	}
	startProcess(c.T, "workers", "standin", append(args, c.options.workersFlags...)...).waitLine("ready")
	vms, err := vmlist.LoadFile(list)
	require.NoError(c, err)
	c.vms = vms
	for i, vm := range c.vms {
		c.direct[vm.Name] = vm.Address
		if c.options.workerProxy {
			c.proxies[vm.Name] = c.proxy(vm.Address)
			c.vms[i].Address = c.proxies[vm.Name].Address()
		}
	}
}

func (c *cluster) writeList(folder string) string {
	c.Helper()
	data, err := json.Marshal(wire.VMList{VMs: c.vms})
	require.NoError(c, err)
	path := filepath.Join(folder, "seen-vms.json")
	require.NoError(c, os.WriteFile(path, data, 0o600))
	return path
}

// proxy starts a fault proxy in the test's process.
func (c *cluster) proxy(target string) *faultproxy.Proxy {
	c.Helper()
	p, err := faultproxy.Listen(faultproxy.Options{Target: target})
	require.NoError(c, err)
	c.Cleanup(p.Close)
	return p
}

// publish runs briarctl publish and returns its exit code; base 0 names no base.
func (c *cluster) publish(author string, base int64, folder string) int {
	c.Helper()
	args := []string{"publish", "--log", c.logURL, "--author", author}
	if base > 0 {
		args = append(args, "--base", fmt.Sprint(base))
	}
	cmd := exec.Command(binary("briarctl"), append(args, folder)...)
	out, err := cmd.CombinedOutput()
	c.Logf("briarctl publish by %s: %s", author, bytes.TrimSpace(out))
	if cmd.ProcessState == nil {
		require.NoError(c, err)
	}
	return cmd.ProcessState.ExitCode()
}

// startDaemon starts the daemon with an index.
func (c *cluster) startDaemon(i int) {
	c.Helper()
	logURL := c.logURL
	if c.options.logProxies {
		p := c.proxy(strings.TrimPrefix(c.logURL, "http://"))
		c.logProxy = append(c.logProxy, p)
		logURL = "http://" + p.Address()
	}
	s := settings.Defaults()
	s.Name = fmt.Sprintf("entry-%d", i+1)
	home := c.options.user.places[i%len(c.options.user.places)]
	s.Region, s.DataCentre = home.region, home.dataCentre
	s.Listen = settings.Listen{Caller: "127.0.0.1:0", Peer: "127.0.0.1:0", Admin: "127.0.0.1:0", Metrics: "127.0.0.1:0"}
	s.LogURL, s.VMListURL = logURL, c.vmsURL
	s.DrainDelay = drainDelay
	s.Lease = settings.Lease{Duration: lease, HeartbeatInterval: lease / 3}
	path := filepath.Join(c.TempDir(), s.Name+".jsonc")
	require.NoError(c, os.WriteFile(path, s.Encode(), 0o600))
	d := &daemon{settings: path, process: startProcess(c.T, s.Name, "briarproxyd", "run", "--settings", path)}
	for _, field := range d.waitLine("listening") {
		if address, ok := strings.CutPrefix(field, "caller="); ok {
			d.caller = "http://" + address
		}
		if address, ok := strings.CutPrefix(field, "metrics="); ok {
			d.metrics = "http://" + address
		}
	}
	require.NotEmpty(c, d.caller)
	require.NotEmpty(c, d.metrics)
	c.daemons = append(c.daemons, d)
}

// ready reports whether the daemon says that it is ready.
func (d *daemon) ready() bool {
	client := resty.New().SetTimeout(callTimeout)
	return demo.Ready(context.Background(), client, d.metrics)
}

func (d *daemon) waitReady() {
	d.t.Helper()
	require.Eventually(d.t, d.ready, readyTimeout, pollEvery, "%s is not ready", d.name)
}

// urls returns the callers' base URLs of all daemons but those left out.
func (c *cluster) urls(without ...*daemon) []string {
	var urls []string
	for _, d := range c.daemons {
		left := true
		for _, w := range without {
			left = left && d != w
		}
		if left {
			urls = append(urls, d.caller)
		}
	}
	return urls
}

// control posts a control call to a stand-in.
func (c *cluster) control(base, path string, body any) {
	c.Helper()
	data, err := json.Marshal(body)
	require.NoError(c, err)
	client := http.Client{Timeout: callTimeout}
	response, err := client.Post(base+path, "application/json", bytes.NewReader(data))
	require.NoError(c, err)
	_ = response.Body.Close()
	require.Equal(c, http.StatusOK, response.StatusCode, path)
}

// controlWorker posts a control call to a worker, past its fault proxy.
func (c *cluster) controlWorker(name, path string, body any) {
	c.Helper()
	c.control("http://"+c.direct[name], path, body)
}

// setLeaving makes the VM list show a VM as leaving.
func (c *cluster) setLeaving(name string) {
	c.Helper()
	patch := json.RawMessage(fmt.Sprintf(`{"name":%q,"state":%q}`, name, wire.VMLeaving))
	c.control(c.vmsURL, "/control/vms", vmlist.Change{Patch: []json.RawMessage{patch}})
}

func (c *cluster) entries() []worker.Entry {
	c.Helper()
	entries, err := demo.ReadJournal(c.journal)
	require.NoError(c, err)
	return entries
}
