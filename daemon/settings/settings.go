package settings

import (
	"fmt"
	"os"
	"strings"
	"time"

	"briarproxy/core/fault"
	"briarproxy/core/jsonc"
)

// Settings holds the settings of one daemon.
type Settings struct {
	Name       string
	Region     string
	DataCentre string

	Listen    Listen
	Advertise Advertise

	LogURL    string
	VMListURL string
	SeedPeers []string // IP:port of other daemons' peer listeners

	DrainDelay time.Duration
	Limits     Limits
	Lease      Lease

	LogAppendsPerSecond int           // shared budget of all daemons of the cell
	LogRetention        time.Duration // how long the log service keeps records
	Admin               Admin
	LogLevel            string // "debug", "info", "warn" or "error"
	MemoryLimitBytes    int64  // soft memory limit of the Go runtime, in bytes
}

// Listen holds the addresses that the daemon listens on, as IP:port.
type Listen struct {
	Caller  string
	Peer    string
	Admin   string
	Metrics string // health, readiness and metrics
}

// Advertise holds the addresses under which other processes reach the daemon, as
// IP:port.
type Advertise struct {
	Caller string
	Peer   string
}

// Limits bounds what a connection or caller may use.
type Limits struct {
	MaxBodyBytes   int64 // size of a request body, in bytes
	MaxHeaderBytes int   // size of the request headers, in bytes
	ReadTimeout    time.Duration
	WriteTimeout   time.Duration
	IdleTimeout    time.Duration
	MaxConnections int // open connections per listener
}

// Lease holds the timing of the leases under which daemons own units such as key shards
// and racks. It must be the same on all daemons of a cell.
type Lease struct {
	Duration          time.Duration
	HeartbeatInterval time.Duration
}

// Admin holds the files that the admin API uses.
type Admin struct {
	TokenFile string // bearer token; "" disables the admin API
	TLSCert   string // PEM certificate
	TLSKey    string // PEM key
}

// AdminEnabled reports whether the admin API is enabled.
func (s *Settings) AdminEnabled() bool { return s.Admin.TokenFile != "" }

// Defaults returns the default settings. Required fields are empty.
func Defaults() *Settings {
	return &Settings{
		Listen: Listen{
			Caller: "0.0.0.0:8080", Peer: "0.0.0.0:8081", Admin: "127.0.0.1:8082", Metrics: "0.0.0.0:8083",
		},
		SeedPeers:  []string{},
		DrainDelay: 5 * time.Second,
		Limits: Limits{
			MaxBodyBytes: 1 << 20, MaxHeaderBytes: 16 << 10,
			ReadTimeout: 30 * time.Second, WriteTimeout: 5 * time.Minute, IdleTimeout: 2 * time.Minute,
			MaxConnections: 4096,
		},
		Lease:               Lease{Duration: 6 * time.Second, HeartbeatInterval: 2 * time.Second},
		LogAppendsPerSecond: 300,
		LogRetention:        24 * time.Hour,
		LogLevel:            "info",
		MemoryLimitBytes:    256 << 20,
	}
}

// Load reads and validates a settings file. Errors are of kind fault.Invalid and list
// every issue in the file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "name a readable settings file", "the settings cannot be read")
	}
	s, issues := Parse(data)
	if len(issues) == 0 {
		return s, nil
	}
	lines := make([]string, 0, len(issues))
	for _, issue := range issues {
		lines = append(lines, fmt.Sprintf("%s:%d: %s: %s (%s)", path, issue.Line, issue.Path, issue.Message, issue.Remedy))
	}
	return nil, fault.New(fault.Invalid, "correct every listed field", "%d problems in the settings:\n%s", len(issues), strings.Join(lines, "\n"))
}

// Parse reads settings on top of the defaults. It returns nil settings if it finds any
// issue.
func Parse(data []byte) (*Settings, []jsonc.Issue) {
	s := Defaults()
	r, root, ok := jsonc.Parse(data)
	if ok {
		ok = r.ReadObject(root, groupFields(s, ""))
	}
	if ok {
		s.checkConsistency(r)
	}
	if len(r.Issues) > 0 {
		return nil, r.Issues
	}
	return s, nil
}

// CheckReload returns an error that names the changed fields that require a restart,
// or nil if the updated settings can be applied while the daemon runs.
func CheckReload(current, updated *Settings) error {
	var restartOnly []string
	for _, f := range fieldTable {
		if !f.reloadable && f.format(current) != f.format(updated) {
			restartOnly = append(restartOnly, f.path)
		}
	}
	if len(restartOnly) == 0 {
		return nil
	}
	return fault.New(fault.Refused, "restart the daemon to change them, or restore their values",
		"fields that cannot change while the daemon runs: %s", strings.Join(restartOnly, ", "))
}
