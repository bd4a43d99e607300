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

// Timeouts and intervals of the test harness.
const (
	readyTimeout  = 15 * time.Second
	pollInterval  = 50 * time.Millisecond
	drainDelay    = time.Second
	leaseDuration = 3 * time.Second // Half of the default, so that takeovers fit into short tests.
	callTimeout   = 5 * time.Second
)

// location is a region with its only data centre.
type location struct{ region, dataCentre string }

// deployment is one of the example configurations with its regions and the size of its workers.
type deployment struct {
	configFolder string
	locations    []location
	milliCores   int
	memoryMiB    int
}

var (
	inspectors = deployment{
		configFolder: "../../examples/inspectors",
		locations:    []location{{"doto", "kushiro"}, {"dohoku", "asahikawa"}, {"doo", "hakodate"}},
		milliCores:   64000, memoryMiB: 262144,
	}
	cooperative = deployment{
		configFolder: "../../examples/cooperative",
		locations:    []location{{"gaspesie", "gaspe"}, {"monteregie", "saint-jean"}, {"saguenay", "chicoutimi"}},
		milliCores:   32000, memoryMiB: 65536,
	}
)

// options describes the cluster to start.
type options struct {
	deployment     *deployment // The default is inspectors.
	racksPerRegion int         // The default is 1.
	daemons        int
	workers        int
	operations     []string // Each entry has the form NAME=MS.
	logProxies     bool     // Puts a fault proxy between each daemon and the log service.
	workerProxies  bool     // Puts a fault proxy in front of each worker.
	workerFlags    []string
}

// cluster is a set of running daemons with the simulated services and workers that they use.
type cluster struct {
	*testing.T
	options         options
	logURL          string
	vmListURL       string
	journalPath     string
	vms             []wire.VM         // The VMs as the VM list reports them.
	workerAddresses map[string]string // Maps a worker's name to its own address, which bypasses the proxy.
	workerProxies   map[string]*faultproxy.Proxy
	daemons         []*daemon
	logProxies      []*faultproxy.Proxy // Indexed like daemons.
}

// daemon is a running briarproxyd process.
type daemon struct {
	*process
	settingsPath string
	callerURL    string
	metricsURL   string
}

// startCluster starts a cluster with an example configuration and waits until each
// daemon is ready.
func startCluster(t *testing.T, o options) *cluster {
	t.Helper()
	if o.deployment == nil {
		o.deployment = &inspectors
	}
	o.racksPerRegion = max(1, o.racksPerRegion)
	c := startStandins(t, o)
	require.Zero(t, c.publish("operator", 0, o.deployment.configFolder))
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
	c := &cluster{T: t, options: o, workerAddresses: map[string]string{}, workerProxies: map[string]*faultproxy.Proxy{}}
	folder := t.TempDir()
	c.journalPath = filepath.Join(folder, "journal")
	c.logURL = "http://" + startProcess(t, "logservice", "standin", "logservice").waitForLine("listening")[1]
	c.startWorkers(filepath.Join(folder, "vms.json"))
	list := startProcess(t, "vmlist", "standin", "vmlist", "--file", c.writeVMList(folder))
	c.vmListURL = "http://" + list.waitForLine("listening")[1]
	return c
}

// startWorkers starts the workers. They accept starts beyond their capacity and record
// them in the journal, so that a test can detect overcommitment.
func (c *cluster) startWorkers(list string) {
	c.Helper()
	d := c.options.deployment
	rackCount := len(d.locations) * c.options.racksPerRegion
	perRack := (c.options.workers + rackCount - 1) / rackCount
	racks := make([]string, 0, rackCount)
	for _, location := range d.locations {
		for n := range c.options.racksPerRegion {
			racks = append(racks, fmt.Sprintf("%s/%s/r%d", location.region, location.dataCentre, n+1))
		}
	}
	args := []string{
		"workers", "--count", fmt.Sprint(c.options.workers), "--per-rack", fmt.Sprint(perRack), "--racks", strings.Join(racks, ","),
		"--trusting", "--milli-cores", fmt.Sprint(d.milliCores), "--memory-mib", fmt.Sprint(d.memoryMiB), "--journal", c.journalPath, "--vm-list", list,
	}
	for _, op := range c.options.operations {
		args = append(args, "--operation", op)
	}
	startProcess(c.T, "workers", "standin", append(args, c.options.workerFlags...)...).waitForLine("ready")
	vms, err := vmlist.LoadFile(list)
	require.NoError(c, err)
	c.vms = vms
	for i, vm := range c.vms {
		c.workerAddresses[vm.Name] = vm.Address
		if c.options.workerProxies {
			c.workerProxies[vm.Name] = c.startProxy(vm.Address)
			c.vms[i].Address = c.workerProxies[vm.Name].Address()
		}
	}
}

func (c *cluster) writeVMList(folder string) string {
	c.Helper()
	data, err := json.Marshal(wire.VMList{VMs: c.vms})
	require.NoError(c, err)
	path := filepath.Join(folder, "seen-vms.json")
	require.NoError(c, os.WriteFile(path, data, 0o600))
	return path
}

// startProxy starts a fault proxy in the test process.
func (c *cluster) startProxy(target string) *faultproxy.Proxy {
	c.Helper()
	p, err := faultproxy.Listen(faultproxy.Options{Target: target})
	require.NoError(c, err)
	c.Cleanup(p.Close)
	return p
}

// publish runs briarctl publish and returns its exit code. With base 0, it passes no
// base version.
func (c *cluster) publish(author string, base int64, folder string) int {
	c.Helper()
	args := []string{"publish", "--log", c.logURL, "--author", author}
	if base > 0 {
		args = append(args, "--base", fmt.Sprint(base))
	}
	cmd := exec.Command(binaryPath("briarctl"), append(args, folder)...)
	out, err := cmd.CombinedOutput()
	c.Logf("briarctl publish by %s: %s", author, bytes.TrimSpace(out))
	if cmd.ProcessState == nil {
		require.NoError(c, err)
	}
	return cmd.ProcessState.ExitCode()
}

// startDaemon starts the daemon with index i and appends it to c.daemons.
func (c *cluster) startDaemon(i int) {
	c.Helper()
	logURL := c.logURL
	if c.options.logProxies {
		p := c.startProxy(strings.TrimPrefix(c.logURL, "http://"))
		c.logProxies = append(c.logProxies, p)
		logURL = "http://" + p.Address()
	}
	s := settings.Defaults()
	s.Name = fmt.Sprintf("entry-%d", i+1)
	location := c.options.deployment.locations[i%len(c.options.deployment.locations)]
	s.Region, s.DataCentre = location.region, location.dataCentre
	s.Listen = settings.Listen{Caller: "127.0.0.1:0", Peer: "127.0.0.1:0", Admin: "127.0.0.1:0", Metrics: "127.0.0.1:0"}
	s.LogURL, s.VMListURL = logURL, c.vmListURL
	s.DrainDelay = drainDelay
	s.Lease = settings.Lease{Duration: leaseDuration, HeartbeatInterval: leaseDuration / 3}
	path := filepath.Join(c.TempDir(), s.Name+".jsonc")
	require.NoError(c, os.WriteFile(path, s.Encode(), 0o600))
	d := &daemon{settingsPath: path, process: startProcess(c.T, s.Name, "briarproxyd", "run", "--settings", path)}
	for _, field := range d.waitForLine("listening") {
		if address, ok := strings.CutPrefix(field, "caller="); ok {
			d.callerURL = "http://" + address
		}
		if address, ok := strings.CutPrefix(field, "metrics="); ok {
			d.metricsURL = "http://" + address
		}
	}
	require.NotEmpty(c, d.callerURL)
	require.NotEmpty(c, d.metricsURL)
	c.daemons = append(c.daemons, d)
}

// isReady reports whether the daemon's readiness check succeeds.
func (d *daemon) isReady() bool {
	client := resty.New().SetTimeout(callTimeout)
	return demo.IsReady(context.Background(), client, d.metricsURL)
}

func (d *daemon) waitReady() {
	d.t.Helper()
	require.Eventually(d.t, d.isReady, readyTimeout, pollInterval, "%s is not ready", d.name)
}

// callerURLs returns the base URLs that callers use for all daemons except the given ones.
func (c *cluster) callerURLs(except ...*daemon) []string {
	var urls []string
	for _, d := range c.daemons {
		included := true
		for _, excluded := range except {
			included = included && d != excluded
		}
		if included {
			urls = append(urls, d.callerURL)
		}
	}
	return urls
}

// postControl sends a control request to a simulated service or worker.
func (c *cluster) postControl(base, path string, body any) {
	c.Helper()
	data, err := json.Marshal(body)
	require.NoError(c, err)
	client := http.Client{Timeout: callTimeout}
	response, err := client.Post(base+path, "application/json", bytes.NewReader(data))
	require.NoError(c, err)
	_ = response.Body.Close()
	require.Equal(c, http.StatusOK, response.StatusCode, path)
}

// postWorkerControl sends a control request to a worker and bypasses its fault proxy.
func (c *cluster) postWorkerControl(name, path string, body any) {
	c.Helper()
	c.postControl("http://"+c.workerAddresses[name], path, body)
}

// markVMLeaving makes the VM list report a VM as leaving.
func (c *cluster) markVMLeaving(name string) {
	c.Helper()
	patch := json.RawMessage(fmt.Sprintf(`{"name":%q,"state":%q}`, name, wire.VMLeaving))
	c.postControl(c.vmListURL, "/control/vms", vmlist.Change{Patch: []json.RawMessage{patch}})
}

func (c *cluster) journalEntries() []worker.Entry {
	c.Helper()
	entries, err := demo.ReadJournal(c.journalPath)
	require.NoError(c, err)
	return entries
}
