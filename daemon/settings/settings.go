package settings

import (
	"fmt"
	"os"
	"strings"
	"time"

	"briarproxy/core/fault"
	"briarproxy/core/jsonc"
)

// Settings of one daemon.
type Settings struct {
	Name       string
	Region     string
	DataCentre string

	Listen    Listen
	Advertise Advertise

	LogURL    string
	VMListURL string
	SeedPeers []string // IP:port of peer listeners

	DrainDelay time.Duration
	Limits     Limits
	Lease      Lease

	LogAppendsPerSecond int           // appends that all daemons of the cell may use together
	LogRetention        time.Duration // time for which the log service keeps records
	Admin               Admin
	LogLevel            string
	MemoryLimit         int64 // bytes; soft limit of the Go runtime
}

// Listen holds the listeners' addresses, IP:port.
type Listen struct {
	Caller  string
	Peer    string
	Admin   string
	Metrics string // health, readiness and metrics
}

// Advertise holds the addresses that other processes use, IP:port.
type Advertise struct {
	Caller string
	Peer   string
}

// Limits bound what one connection or caller may use.
type Limits struct {
	Body         int64 // bytes of a request body
	Headers      int   // bytes of request headers
	ReadTimeout  time.Duration
	WriteTimeout time.Duration
	IdleTimeout  time.Duration
	Connections  int // open connections per listener
}

// Lease holds the times of unit leases. They must be equal on all daemons of a cell.
type Lease struct {
	Duration  time.Duration
	Heartbeat time.Duration
}

// Admin holds the files that the admin API needs.
type Admin struct {
	TokenFile string // "" turns the admin API off
	TLSCert   string
	TLSKey    string
}

// AdminEnabled reports whether the admin API is on.
func (s *Settings) AdminEnabled() bool { return s.Admin.TokenFile != "" }

// Defaults returns the settings that apply where a file is silent. Required fields
// are empty.
func Defaults() *Settings {
	return &Settings{
		Listen: Listen{
			Caller: "0.0.0.0:8080", Peer: "0.0.0.0:8081", Admin: "127.0.0.1:8082", Metrics: "0.0.0.0:8083",
		},
		SeedPeers:  []string{},
		DrainDelay: 5 * time.Second,
		Limits: Limits{
			Body: 1 << 20, Headers: 16 << 10,
			ReadTimeout: 30 * time.Second, WriteTimeout: 5 * time.Minute, IdleTimeout: 2 * time.Minute,
			Connections: 4096,
		},
		Lease:               Lease{Duration: 6 * time.Second, Heartbeat: 2 * time.Second},
		LogAppendsPerSecond: 300,
		LogRetention:        24 * time.Hour,
		LogLevel:            "info",
		MemoryLimit:         256 << 20,
	}
}

// Load reads a settings file. The error is of kind fault.Invalid and lists every
// issue of the file.
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

// Parse reads settings over the defaults. The settings are nil if there is any
// issue.
func Parse(data []byte) (*Settings, []jsonc.Issue) {
	s := Defaults()
	r, root, ok := jsonc.Parse(data)
	if ok {
		ok = r.Object(root, fieldsOf(s, ""))
	}
	if ok {
		s.check(r)
	}
	if len(r.Issues) > 0 {
		return nil, r.Issues
	}
	return s, nil
}

// Reloadable returns an error that names the changed fields which need a restart,
// or nil if the new settings may be put in force while the daemon runs.
func Reloadable(old, now *Settings) error {
	var fixed []string
	for _, f := range table {
		if !f.reload && f.show(old) != f.show(now) {
			fixed = append(fixed, f.path)
		}
	}
	if len(fixed) == 0 {
		return nil
	}
	return fault.New(fault.Refused, "restart the daemon to change them, or restore their values",
		"fields that cannot change while the daemon runs: %s", strings.Join(fixed, ", "))
}
