package cell

import (
	"bytes"
	"cmp"
	"encoding/json"
	"os"
	"time"

	"github.com/tailscale/hujson"

	"briarproxy/core/fault"
	"briarproxy/core/intake"
	"briarproxy/daemon/event"
)

// Settings are the settings of one daemon. The settings file is JSON with comments.
type Settings struct {
	Name       string           `json:"name"`
	Region     string           `json:"region"`
	DataCentre string           `json:"data_centre"`
	Listen     ListenSettings   `json:"listen"`
	Platform   PlatformSettings `json:"platform"`
	Limits     LimitSettings    `json:"limits"`
	Bounds     BoundSettings    `json:"bounds"`

	defaultedFields []string // paths of the fields that were absent or 0 and got their default
}

// ListenSettings are the addresses to listen on, as IP:port.
type ListenSettings struct {
	Callers string `json:"callers"`
	Ready   string `json:"ready"`
	Peers   string `json:"peers"`
	Metrics string `json:"metrics"`
}

// PlatformSettings are the addresses of the platform's services, as IP:port.
type PlatformSettings struct {
	Store  string `json:"store"`
	Advice string `json:"advice"`
	Cloud  string `json:"machines"`
}

// LimitSettings are the resource limits of the process.
type LimitSettings struct {
	MemoryMiB   float64 `json:"memory_mib"`
	Descriptors float64 `json:"descriptors"`
	CPUCores    float64 `json:"cpu_share"` // number of cores, which may be a fraction
	LinkMbps    float64 `json:"link_mbps"`

	// What strangers may hold. The defaults follow from MemoryMiB and Descriptors (core/intake).
	CallerConnections *float64 `json:"caller_connections"` // connections of callers
	CallerMiB         *float64 `json:"caller_mib"`         // bodies and long headers of callers, MiB
	PeerConnections   *float64 `json:"peer_connections"`   // connections on listen.peers
	PeerMiB           *float64 `json:"peer_mib"`           // messages that arrive on listen.peers, MiB
}

// ports returns what strangers may hold on each port.
func (l *LimitSettings) ports() intake.Ports {
	ports := intake.Divide(intake.Machine{MemoryBytes: int64(l.MemoryMiB * (1 << 20)), Descriptors: int(l.Descriptors)})
	for _, f := range []struct {
		set         *float64
		connections *int
	}{{l.CallerConnections, &ports.Callers.Connections}, {l.PeerConnections, &ports.Peers.Connections}} {
		if f.set != nil {
			*f.connections = int(*f.set)
		}
	}
	for _, f := range []struct {
		set   *float64
		bytes *int64
	}{{l.CallerMiB, &ports.Callers.Bytes}, {l.PeerMiB, &ports.Peers.Bytes}} {
		if f.set != nil {
			*f.bytes = int64(*f.set * (1 << 20))
		}
	}
	return ports
}

// validateIntake returns an error that names the first of these limits that is below what one request
// needs or above what the machine has.
func (l *LimitSettings) validateIntake() error {
	const unknown = 1 << 20 // descriptors, if they are not set
	for _, f := range []struct {
		path             string
		value            *float64
		minimum, maximum float64
	}{
		{"limits.caller_connections", l.CallerConnections, 1, cmp.Or(l.Descriptors, unknown)}, {"limits.caller_mib", l.CallerMiB, 1, l.MemoryMiB},
		{"limits.peer_connections", l.PeerConnections, 1, cmp.Or(l.Descriptors, unknown)}, {"limits.peer_mib", l.PeerMiB, 8, l.MemoryMiB},
	} {
		switch {
		case f.value == nil:
		case *f.value < f.minimum:
			return fault.New(fault.Invalid, "increase it, or leave it out for the default", "%s is %v, but must be at least %v", f.path, *f.value, f.minimum)
		case *f.value > f.maximum:
			return fault.New(fault.Invalid, "decrease it, or leave it out for the default", "%s is %v, but the machine has %v", f.path, *f.value, f.maximum)
		}
	}
	return nil
}

// Resources that the placer needs in a cell with 350 workers and 600 starts a second (see
// docs/CAPACITY.md), and capacity factors, which are multiples of these resources.
const (
	placerCPUCores           = 0.1
	placerMemoryMiB          = 150
	placerLinkMbps           = 10
	minForwardCapacityFactor = 0.5 // below it, other daemons forward no records to the placer unless the log is slow
	unsetLimitCapacityFactor = 1   // a limit that is not set counts as exactly what a placer needs
)

// capacityFactor returns the lowest ratio of the process's limits to the resources that a placer needs.
func (l *LimitSettings) capacityFactor() float64 {
	lowest := l.MemoryMiB / placerMemoryMiB
	for _, resource := range []struct{ limit, needed float64 }{{l.CPUCores, placerCPUCores}, {l.LinkMbps, placerLinkMbps}} {
		if resource.limit > 0 {
			lowest = min(lowest, resource.limit/resource.needed)
		} else {
			lowest = min(lowest, unsetLimitCapacityFactor)
		}
	}
	return lowest
}

// Shares of the descriptors for connections to workers. The rest is for callers, other daemons, the
// store and files. A process without free descriptors can neither connect nor accept connections.
const (
	pollDescriptorShare = 3.0 / 8  // polls under way
	idleDescriptorShare = 5.0 / 16 // connections that no request uses
)

// openPolls returns the number of polls of workers that may be under way.
func (l *LimitSettings) openPolls() int {
	if l.Descriptors <= 0 {
		return unlimitedOpenPolls
	}
	return max(1, int(pollDescriptorShare*l.Descriptors))
}

// IdleWorkerConnections returns the number of connections to workers that may be open without a
// request; 0 means any number.
func (l *LimitSettings) IdleWorkerConnections() int {
	if l.Descriptors <= 0 {
		return 0
	}
	return max(1, int(idleDescriptorShare*l.Descriptors))
}

// BoundSettings are the time bounds of the deployment.
type BoundSettings struct {
	MaxLeaseMS float64 `json:"max_lease_ms"` // longest lease that workers grant
	FailoverMS float64 `json:"failover_ms"`  // longest time without a placer when its daemon fails
	EarlyMS    float64 `json:"early_ms"`     // how much earlier than its due time a task may start
	StopMS     float64 `json:"stop_ms"`      // how long a worker may continue a task after it was told to stop it
	GraceS     float64 `json:"grace_s"`      // time from SIGTERM to SIGKILL
	StatusS    float64 `json:"status_s"`     // how long the state of an ended job can be queried
	KeepS      float64 `json:"keep_s"`       // retention time of the log's records
	// RevokeMS is how long a key may work after a configuration without it was published, also on a daemon
	// that can't read the configuration: that daemon refuses calls with keys before the time is over. With
	// 0 it goes on with the version that it has. A value that is too low makes daemons refuse callers while
	// the store is merely slow.
	RevokeMS float64 `json:"revoke_ms"`
	// RemoteFactor is the run time of a task away from its data, or of a group across racks, as a multiple of the usual one. With
	// it, tasks wait for a better place for as long as that pays; absent or 0 means that it is not known, and
	// that only groups wait, for a fixed time. A value that is too high makes tasks wait too long.
	RemoteFactor float64 `json:"remote_factor"`
}

func millis(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

// Load reads and validates a settings file. Its errors name the field at fault.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "name a readable settings file", "settings file %s can't be read", path)
	}
	standardJSON, err := hujson.Standardize(data)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "correct the JSON", "settings file %s is malformed", path)
	}
	s := &Settings{}
	decoder := json.NewDecoder(bytes.NewReader(standardJSON))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(s); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "correct the field", "settings file %s can't be decoded", path)
	}
	s.applyDefaults()
	return s, s.validate()
}

// Defaults of the bounds that a deployment does not set. They are those of the existing deployments.
const (
	defaultMaxLeaseMS = 6000
	defaultFailoverMS = 3000
	defaultStopMS     = 900
	defaultGraceS     = 5
	defaultStatusS    = 120
	defaultKeepS      = 300
)

// applyDefaults sets bounds that are absent or 0 to their defaults and records their paths.
func (s *Settings) applyDefaults() {
	for _, f := range []struct {
		path         string
		value        *float64
		defaultValue float64
	}{
		{"bounds.max_lease_ms", &s.Bounds.MaxLeaseMS, defaultMaxLeaseMS}, {"bounds.failover_ms", &s.Bounds.FailoverMS, defaultFailoverMS},
		{"bounds.stop_ms", &s.Bounds.StopMS, defaultStopMS}, {"bounds.grace_s", &s.Bounds.GraceS, defaultGraceS},
		{"bounds.status_s", &s.Bounds.StatusS, defaultStatusS},
		{"bounds.keep_s", &s.Bounds.KeepS, defaultKeepS},
	} {
		if *f.value == 0 {
			*f.value = f.defaultValue
			s.defaultedFields = append(s.defaultedFields, f.path)
		}
	}
}

// validate returns an error that names the first field that is missing or below its minimum.
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
		path    string
		value   float64
		minimum float64
	}{
		{"bounds.max_lease_ms", s.Bounds.MaxLeaseMS, 1000}, {"bounds.failover_ms", s.Bounds.FailoverMS, 200},
		{"bounds.grace_s", s.Bounds.GraceS, 0}, {"bounds.stop_ms", s.Bounds.StopMS, 0},
		{"bounds.status_s", s.Bounds.StatusS, 1}, {"bounds.keep_s", s.Bounds.KeepS, 1}, {"limits.memory_mib", s.Limits.MemoryMiB, 32},
	} {
		if f.value < f.minimum {
			return fault.New(fault.Invalid, "increase it", "%s is %v, but must be at least %v", f.path, f.value, f.minimum)
		}
	}
	if revoke := s.Bounds.RevokeMS; revoke != 0 && revoke < minRevokeMS {
		return fault.New(fault.Invalid, "increase it, or leave it out if keys need no bound", "bounds.revoke_ms is %v, but must be at least %v", revoke, minRevokeMS)
	}
	if f := s.Bounds.RemoteFactor; f != 0 && f < 1 {
		return fault.New(fault.Invalid, "set it to 1 or more, or leave it out", "bounds.remote_factor is %v", f)
	}
	return s.Limits.validateIntake()
}

// minRevokeMS is the least bound within which the configuration can be confirmed over and over by
// daemons in other regions than the store.
const minRevokeMS = 1000

// LogReload logs the outcome of reloading the settings.
func LogReload(log *event.Logger, err error) {
	if err != nil {
		log.Emit(evReloaded, "outcome", "kept the former settings", "reason", err.Error())
		return
	}
	log.Emit(evReloaded, "outcome", "settings are valid")
}
