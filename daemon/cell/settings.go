package cell

import (
	"bytes"
	"encoding/json"
	"os"
	"time"

	"github.com/tailscale/hujson"

	"briarproxy/core/fault"
	"briarproxy/daemon/event"
)

// Settings of one daemon, JSON with comments.
type Settings struct {
	Name       string           `json:"name"`
	Region     string           `json:"region"`
	DataCentre string           `json:"data_centre"`
	Listen     ListenSettings   `json:"listen"`
	Platform   PlatformSettings `json:"platform"`
	Limits     LimitSettings    `json:"limits"`
	Bounds     BoundSettings    `json:"bounds"`

	defaultedFields []string // fields that were absent
}

// ListenSettings are addresses, IP:port.
type ListenSettings struct {
	Callers string `json:"callers"`
	Ready   string `json:"ready"`
	Peers   string `json:"peers"`
	Metrics string `json:"metrics"`
}

// PlatformSettings are addresses of the platform's parts, IP:port.
type PlatformSettings struct {
	Store  string `json:"store"`
	Advice string `json:"advice"`
	Cloud  string `json:"machines"`
}

// LimitSettings are the limits of the process.
type LimitSettings struct {
	MemoryMiB   float64 `json:"memory_mib"`
	Descriptors float64 `json:"descriptors"`
	CPUShare    float64 `json:"cpu_share"` // cores
	LinkMbps    float64 `json:"link_mbps"`
}

// What the placer of a cell of 350 workers and 600 starts a second needs; measured on
// dosui-sched-grown, see docs/CAPACITY.md.
const (
	placerCPUCores        = 0.1
	placerMemoryMiB       = 150
	placerLinkMbps        = 10
	minGatheringStrength  = 0.5 // a placer below it gets no records to gather
	unstatedLimitStrength = 1   // a limit that is not stated counts as just enough
)

// strength is how many times the process has what a placer needs.
func (l *LimitSettings) strength() float64 {
	least := l.MemoryMiB / placerMemoryMiB
	for _, f := range []struct{ limit, needs float64 }{{l.CPUShare, placerCPUCores}, {l.LinkMbps, placerLinkMbps}} {
		if f.limit > 0 {
			least = min(least, f.limit/f.needs)
		} else {
			least = min(least, unstatedLimitStrength)
		}
	}
	return least
}

// BoundSettings are the bounds of the deployment.
type BoundSettings struct {
	MaxLeaseMS float64 `json:"max_lease_ms"` // longest lease that workers grant
	FailoverMS float64 `json:"failover_ms"`  // bound for a change of the daemon that orders workers
	EarlyMS    float64 `json:"early_ms"`
	StopMS     float64 `json:"stop_ms"`  // for which a worker may go on with what it was told to stop
	GraceS     float64 `json:"grace_s"`  // from SIGTERM to SIGKILL
	StatusS    float64 `json:"status_s"` // for which the state of an ended job is told
	KeepS      float64 `json:"keep_s"`   // for which the log keeps records
}

func millis(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

// Load reads a settings file. Every problem is reported with its field path.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "name a readable settings file", "settings %s", path)
	}
	plain, err := hujson.Standardize(data)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "correct the JSON", "settings %s", path)
	}
	s := &Settings{}
	decoder := json.NewDecoder(bytes.NewReader(plain))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(s); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "correct the field", "settings %s", path)
	}
	s.applyDefaults()
	return s, s.validate()
}

// Bounds that apply where a deployment does not state them: those of today's deployments.
const (
	defaultMaxLeaseMS = 6000
	defaultFailoverMS = 3000
	defaultStopMS     = 900
	defaultGraceS     = 5
	defaultStatusS    = 120
	defaultKeepS      = 300
)

// applyDefaults puts defaults in place of bounds that are absent, and remembers their names.
func (s *Settings) applyDefaults() {
	for _, f := range []struct {
		path  string
		value *float64
		use   float64
	}{
		{"bounds.max_lease_ms", &s.Bounds.MaxLeaseMS, defaultMaxLeaseMS}, {"bounds.failover_ms", &s.Bounds.FailoverMS, defaultFailoverMS},
		{"bounds.stop_ms", &s.Bounds.StopMS, defaultStopMS}, {"bounds.grace_s", &s.Bounds.GraceS, defaultGraceS},
		{"bounds.status_s", &s.Bounds.StatusS, defaultStatusS},
		{"bounds.keep_s", &s.Bounds.KeepS, defaultKeepS},
	} {
		if *f.value == 0 {
			*f.value = f.use
			s.defaultedFields = append(s.defaultedFields, f.path)
		}
	}
}

// validate names the first field that is missing or out of range.
func (s *Settings) validate() error {
	for _, f := range []struct{ path, value string }{
		{"name", s.Name}, {"data_centre", s.DataCentre}, {"listen.callers", s.Listen.Callers},
		{"listen.ready", s.Listen.Ready}, {"listen.peers", s.Listen.Peers}, {"platform.store", s.Platform.Store},
	} {
		if f.value == "" {
			return fault.New(fault.Invalid, "set it", "%s is missing", f.path)
		}
	}
	for _, f := range []struct {
		path  string
		value float64
		least float64
	}{
		{"bounds.max_lease_ms", s.Bounds.MaxLeaseMS, 1000}, {"bounds.failover_ms", s.Bounds.FailoverMS, 200},
		{"bounds.grace_s", s.Bounds.GraceS, 0}, {"bounds.stop_ms", s.Bounds.StopMS, 0},
		{"bounds.status_s", s.Bounds.StatusS, 1}, {"bounds.keep_s", s.Bounds.KeepS, 1}, {"limits.memory_mib", s.Limits.MemoryMiB, 32},
	} {
		if f.value < f.least {
			return fault.New(fault.Invalid, "raise it", "%s is %v, the least is %v", f.path, f.value, f.least)
		}
	}
	return nil
}

// LogReload writes what reading the settings again came to.
func LogReload(log *event.Logger, err error) {
	if err != nil {
		log.Emit(evReloaded, "outcome", "kept the former settings", "reason", err.Error())
		return
	}
	log.Emit(evReloaded, "outcome", "settings are valid")
}
