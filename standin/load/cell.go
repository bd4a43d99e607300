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
var objects string

// Options describe a cell. Zero values take the defaults.
type Options struct {
	Bin         string // directory of the binaries
	Daemons     int
	Workers     int
	MemoryLimit string // of each daemon, such as 32MiB; "": the daemon's default
	LogLevel    string // of each daemon; "": the daemon's default
	Keep        string // directory that the run's logs and journals stay in; "": they are removed
}

// Layout of a cell.
const (
	perRack      = 8
	slotsPerVM   = 8
	readyTimeout = 60 * time.Second
)

// locations are the regions and data centres over which racks and daemons are spread.
var locations = []struct{ region, dataCentre string }{
	{"doto", "kushiro"}, {"dohoku", "asahikawa"}, {"doo", "hakodate"},
}

// runTimes of the operations in cell/objects.jsonc.
var runTimes = map[string]time.Duration{
	"doorstep": 300 * time.Millisecond, "certificate": 300 * time.Millisecond,
	"survey": 1200 * time.Millisecond, "short": 50 * time.Millisecond,
}

// Cell is a running system: stand-ins for the platform and daemons.
type Cell struct {
	options   Options
	dir       string
	processes []*process
	logURL    string
	vmListURL string
	vms       []wire.VM
	racks     []*process // one process for each rack
	journals  []string   // of the racks
	daemons   []*daemon
	client    *http.Client
	starts    startIndex
	traffic   traffic
}

type daemon struct {
	*process
	url     string // callers' API
	peer    string // IP:port of the peer listener
	metrics string // base URL of the monitor listener
}

// Start starts a cell and waits until requests are answered.
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

// Stop ends all processes and removes the run's files.
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
	if err := c.publish(); err != nil {
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
	return c.awaitService()
}

func (c *Cell) startPlatform() error {
	service, err := c.launch("logservice", "standin", "logservice")
	if err != nil {
		return err
	}
	line, err := service.line("listening")
	if err != nil {
		return err
	}
	c.logURL = "http://" + strings.Fields(line)[1]
	for rack := range (c.options.Workers + perRack - 1) / perRack {
		if err := c.startRack(rack); err != nil {
			return err
		}
	}
	return c.startVMList()
}

func (c *Cell) startRack(rack int) error {
	at := locations[rack%len(locations)]
	name := fmt.Sprintf("rack-%02d", rack)
	vms := filepath.Join(c.dir, name+".json")
	journal := filepath.Join(c.dir, name+".journal")
	args := []string{"workers", "--count", fmt.Sprint(min(perRack, c.options.Workers-rack*perRack)),
		"--prefix", name + "-", "--racks", at.region + "/" + at.dataCentre + "/" + name, "--vm-list", vms,
		"--journal", journal, "--milli-cores", "64000", "--memory-mib", "262144"}
	for operation, run := range runTimes {
		args = append(args, "--operation", fmt.Sprintf("%s=%d", operation, run.Milliseconds()))
	}
	p, err := c.launch(name, "standin", append(args, "--operation", "long=3600000")...)
	if err != nil {
		return err
	}
	if _, err := p.line("ready"); err != nil {
		return err
	}
	var list wire.VMList
	data, err := os.ReadFile(vms)
	if err == nil {
		err = json.Unmarshal(data, &list)
	}
	c.racks = append(c.racks, p)
	c.journals = append(c.journals, journal)
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
	line, err := p.line("listening")
	if err != nil {
		return err
	}
	c.vmListURL = "http://" + strings.Fields(line)[1]
	return nil
}

func (c *Cell) publish() error {
	dir := filepath.Join(c.dir, "objects")
	if err := os.Mkdir(dir, 0o755); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "objects.jsonc"), []byte(objects), 0o644); err != nil {
		return err
	}
	p, err := c.launch("publish", "briarctl", "publish", "--log", c.logURL, "--author", "load", dir)
	if err != nil {
		return err
	}
	<-p.ended
	if !p.command.ProcessState.Success() {
		return fault.New(fault.Invalid, "read "+p.logFile, "the objects were not published")
	}
	return nil
}

// addDaemon starts a daemon with a number. It does not wait until it is ready.
func (c *Cell) addDaemon(number int) (*daemon, error) {
	at := locations[number%len(locations)]
	name := fmt.Sprintf("daemon-%02d", number)
	settings := map[string]any{
		"name": name, "region": at.region, "data_centre": at.dataCentre, "log_url": c.logURL, "vm_list_url": c.vmListURL,
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
	line, err := p.line("listening")
	if err != nil {
		return nil, err
	}
	d := &daemon{process: p}
	for _, field := range strings.Fields(line) {
		key, address, _ := strings.Cut(field, "=")
		switch key {
		case "caller":
			d.url = "http://" + address
		case "peer":
			d.peer = address
		case "metrics":
			d.metrics = "http://" + address
		}
	}
	c.daemons = append(c.daemons, d)
	return d, nil
}

// awaitReady waits until the daemon reports that it is ready.
func (c *Cell) awaitReady(d *daemon) (time.Duration, error) {
	began := time.Now()
	for time.Since(began) < readyTimeout {
		if c.get(d.metrics+"/readyz", nil) == nil {
			return time.Since(began), nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return 0, fault.New(fault.Unavailable, "read "+d.logFile, "%s was not ready in %s", d.name, readyTimeout)
}

// awaitService waits until every daemon answers requests and every key shard has
// an owner.
func (c *Cell) awaitService() error {
	deadline := time.Now().Add(readyTimeout)
	streak := 0
	for i := 0; time.Now().Before(deadline); i++ {
		a := c.send(c.daemons[i%len(c.daemons)], certificate, fmt.Sprintf("start-%d", i), 5*time.Second)
		if a.kind != answered {
			streak = 0
			time.Sleep(100 * time.Millisecond)
			continue
		}
		if streak++; streak >= max(8, 2*len(c.daemons)) {
			return nil
		}
	}
	return fault.New(fault.Unavailable, "read the daemons' logs", "the cell answered no requests in %s", readyTimeout)
}

// get reads JSON into reply, which may be nil; a status other than 200 is an error.
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

func decode(response *http.Response, url string, reply any) error {
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode/100 != 2 {
		return fault.New(fault.Unavailable, "read the process's log", "%s answered %s", url, response.Status)
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
