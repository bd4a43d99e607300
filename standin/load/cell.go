package load

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"briarproxy/core/fault"
	"briarproxy/core/wire"
	"briarproxy/standin/logservice"
)

//go:embed cell/objects.jsonc
var configObjects string

// Options configures a cell. The daemons use their own defaults for empty settings.
type Options struct {
	Bin         string // directory of the built programs
	Daemons     int
	Workers     int
	MemoryLimit string // memory_limit of each daemon, such as 32MiB; "": the daemon's default
	LogLevel    string // log_level of each daemon; "": the daemon's default
	Keep        string // directory to create for logs and journals; "": a temporary one that Stop removes
}

const (
	workersPerRack = 8
	slotsPerVM     = 8
	readyTimeout   = 60 * time.Second
)

// dataCentres are the data centres, with their regions, over which racks and daemons are
// spread in turn.
var dataCentres = []struct{ region, dataCentre string }{
	{"doto", "kushiro"}, {"dohoku", "asahikawa"}, {"doo", "hakodate"},
}

// runTimes are the run times of the operations in cell/objects.jsonc.
var runTimes = map[string]time.Duration{
	"doorstep": 300 * time.Millisecond, "certificate": 300 * time.Millisecond,
	"survey": 1200 * time.Millisecond, "short": 50 * time.Millisecond,
}

// Cell is a running cluster of daemons with stand-ins for the log service, the VM list
// and the workers, each in a process of its own.
type Cell struct {
	options      Options
	dir          string
	processes    []*process
	logURL       string
	vmListURL    string
	vms          []wire.VM
	racks        []*process // one process per rack, which runs all of its workers
	rackJournals []string   // journal file of each rack's workers
	daemons      []*daemon
	client       *http.Client
	journal      journalIndex
	traffic      traffic
}

type daemon struct {
	*process
	callerURL   string // base URL of the callers' API
	peerAddress string // IP:port of the listener for other daemons
	metricsURL  string // base URL of the metrics listener
}

// Start starts a cell and waits until all daemons answer requests.
func Start(options Options) (*Cell, error) {
	dir, err := runDirectory(options.Keep)
	if err != nil {
		return nil, err
	}
	c := &Cell{options: options, dir: dir, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}}
	c.traffic = traffic{bytes: map[string]int64{}, segments: map[string]int64{}}
	if err := c.start(); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

func runDirectory(keep string) (string, error) {
	if keep != "" {
		return keep, os.Mkdir(keep, 0o755)
	}
	return os.MkdirTemp("", "briar-load-")
}

// Stop kills all processes and removes the cell's files unless they are to be kept.
func (c *Cell) Stop() {
	for i := len(c.processes) - 1; i >= 0; i-- {
		c.processes[i].kill()
	}
	if c.options.Keep == "" {
		_ = os.RemoveAll(c.dir)
	}
}

func (c *Cell) start() error {
	if err := c.startPlatform(); err != nil {
		return err
	}
	if err := c.publishObjects(); err != nil {
		return err
	}
	for i := range c.options.Daemons {
		if _, err := c.addDaemon(i); err != nil {
			return err
		}
	}
	for _, d := range c.daemons {
		if _, err := c.awaitReady(d); err != nil {
			return err
		}
	}
	return c.awaitServing()
}

func (c *Cell) startPlatform() error {
	logProcess, err := c.launch("logservice", "standin", "logservice")
	if err != nil {
		return err
	}
	line, err := logProcess.awaitLine("listening")
	if err != nil {
		return err
	}
	c.logURL = "http://" + strings.Fields(line)[1]
	for rack := range (c.options.Workers + workersPerRack - 1) / workersPerRack {
		if err := c.startRack(rack); err != nil {
			return err
		}
	}
	return c.startVMList()
}

func (c *Cell) startRack(number int) error {
	location := dataCentres[number%len(dataCentres)]
	name := fmt.Sprintf("rack-%02d", number)
	vms := filepath.Join(c.dir, name+".json")
	journal := filepath.Join(c.dir, name+".journal")
	args := []string{"workers", "--count", fmt.Sprint(min(workersPerRack, c.options.Workers-number*workersPerRack)),
		"--prefix", name + "-", "--racks", location.region + "/" + location.dataCentre + "/" + name, "--vm-list", vms,
		"--journal", journal, "--milli-cores", "64000", "--memory-mib", "262144"}
	for operation, run := range runTimes {
		args = append(args, "--operation", fmt.Sprintf("%s=%d", operation, run.Milliseconds()))
	}
	p, err := c.launch(name, "standin", append(args, "--operation", "long=3600000")...)
	if err != nil {
		return err
	}
	if _, err := p.awaitLine("ready"); err != nil {
		return err
	}
	var list wire.VMList
	data, err := os.ReadFile(vms)
	if err == nil {
		err = json.Unmarshal(data, &list)
	}
	c.racks = append(c.racks, p)
	c.rackJournals = append(c.rackJournals, journal)
	c.vms = append(c.vms, list.VMs...)
	return err
}

func (c *Cell) startVMList() error {
	data, err := json.Marshal(wire.VMList{VMs: c.vms})
	if err != nil {
		return err
	}
	file := filepath.Join(c.dir, "vms.json")
	if err := os.WriteFile(file, data, 0o644); err != nil {
		return err
	}
	p, err := c.launch("vmlist", "standin", "vmlist", "--file", file)
	if err != nil {
		return err
	}
	line, err := p.awaitLine("listening")
	if err != nil {
		return err
	}
	c.vmListURL = "http://" + strings.Fields(line)[1]
	return nil
}

func (c *Cell) publishObjects() error {
	dir := filepath.Join(c.dir, "objects")
	if err := os.Mkdir(dir, 0o755); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "objects.jsonc"), []byte(configObjects), 0o644); err != nil {
		return err
	}
	p, err := c.launch("publish", "briarctl", "publish", "--log", c.logURL, "--author", "load", dir)
	if err != nil {
		return err
	}
	<-p.exited
	if !p.command.ProcessState.Success() {
		return fault.New(fault.Invalid, "read "+p.logFile, "briarctl failed to publish the configuration objects")
	}
	return nil
}

// addDaemon starts the daemon with the given number and waits until it listens, but not
// until it is ready.
func (c *Cell) addDaemon(number int) (*daemon, error) {
	location := dataCentres[number%len(dataCentres)]
	name := fmt.Sprintf("daemon-%02d", number)
	settings := map[string]any{
		"name": name, "region": location.region, "data_centre": location.dataCentre, "log_url": c.logURL, "vm_list_url": c.vmListURL,
		"drain_delay": "500ms", "listen": map[string]string{
			"caller": "127.0.0.1:0", "peer": "127.0.0.1:0", "admin": "127.0.0.1:0", "metrics": "127.0.0.1:0"},
	}
	if c.options.MemoryLimit != "" {
		settings["memory_limit"] = c.options.MemoryLimit
	}
	if c.options.LogLevel != "" {
		settings["log_level"] = c.options.LogLevel
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(c.dir, name+".settings")
	if err := os.WriteFile(file, data, 0o644); err != nil {
		return nil, err
	}
	p, err := c.launch(name, "briarproxyd", "run", "--settings", file)
	if err != nil {
		return nil, err
	}
	line, err := p.awaitLine("listening")
	if err != nil {
		return nil, err
	}
	d := &daemon{process: p}
	for _, field := range strings.Fields(line) {
		key, address, _ := strings.Cut(field, "=")
		switch key {
		case "caller":
			d.callerURL = "http://" + address
		case "peer":
			d.peerAddress = address
		case "metrics":
			d.metricsURL = "http://" + address
		}
	}
	c.daemons = append(c.daemons, d)
	return d, nil
}

// awaitReady waits until the daemon reports that it is ready and returns the time that
// this took.
func (c *Cell) awaitReady(d *daemon) (time.Duration, error) {
	began := time.Now()
	for time.Since(began) < readyTimeout {
		if c.get(d.metricsURL+"/readyz", nil) == nil {
			return time.Since(began), nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return 0, fault.New(fault.Unavailable, "read "+d.logFile, "%s did not become ready within %s", d.name, readyTimeout)
}

// awaitServing waits until every daemon answers requests and every key shard has an
// owner: it requires a series of answers without a failure, at least two per daemon.
func (c *Cell) awaitServing() error {
	deadline := time.Now().Add(readyTimeout)
	consecutive := 0
	for i := 0; time.Now().Before(deadline); i++ {
		result := c.sendRequest(c.daemons[i%len(c.daemons)], certificate, fmt.Sprintf("start-%d", i), 5*time.Second)
		if result.outcome != outcomeAnswered {
			consecutive = 0
			time.Sleep(100 * time.Millisecond)
			continue
		}
		if consecutive++; consecutive >= max(8, 2*len(c.daemons)) {
			return nil
		}
	}
	return fault.New(fault.Unavailable, "read the daemons' logs", "the daemons did not answer a series of requests within %s", readyTimeout)
}

// get decodes a JSON answer into reply, which may be nil. A status other than 2xx is an
// error.
func (c *Cell) get(url string, reply any) error {
	response, err := c.client.Get(url)
	if err != nil {
		return err
	}
	return decode(response, url, reply)
}

func (c *Cell) post(url string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	response, err := c.client.Post(url, "application/json", bytes.NewReader(data))
	if err != nil {
		return err
	}
	return decode(response, url, nil)
}

func decode(response *http.Response, source string, reply any) error {
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode/100 != 2 {
		return fault.New(fault.Unavailable, "read the process's log", "%s answered %s", source, response.Status)
	}
	if reply == nil {
		return nil
	}
	return json.Unmarshal(data, reply)
}

func (c *Cell) logStats() (logservice.Stats, error) {
	var stats logservice.Stats
	err := c.get(c.logURL+"/control/stats", &stats)
	return stats, err
}
