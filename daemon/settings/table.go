package settings

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"briarproxy/core/jsonc"
)

// Permitted ranges of the settings.
const (
	minTimeout             = 100 * time.Millisecond
	maxTimeout             = time.Hour
	maxBodyBytes           = 16 << 20 // the same bound as for max_body of a service
	minHeaderBytes         = 1 << 10
	maxHeaderBytes         = 1 << 20
	maxConnections         = 1 << 20
	maxLogAppendsPerSecond = 100_000
	minMemoryLimitBytes    = 32 << 20
	maxMemoryLimitBytes    = 1 << 40
	minHeartbeatInterval   = 50 * time.Millisecond
	maxLeaseDuration       = 5 * time.Minute
	minLogRetention        = time.Minute
	maxLogRetention        = 10 * 365 * 24 * time.Hour
)

// field describes one setting. A field inside a group has the path "group.name".
type field struct {
	path        string
	required    bool
	reloadable  bool // may change while the daemon runs
	read        func(s *Settings) jsonc.ReadFunc
	format      func(s *Settings) string // returns the value as JSON
	description string
}

// fieldTable lists all settings. The fields of a group are adjacent.
var fieldTable = []field{
	{"name", true, false,
		func(s *Settings) jsonc.ReadFunc { return jsonc.Name(&s.Name) },
		func(s *Settings) string { return encodeString(s.Name) },
		"unique name of this daemon in its cell"},
	{"region", true, false,
		func(s *Settings) jsonc.ReadFunc { return jsonc.Name(&s.Region) },
		func(s *Settings) string { return encodeString(s.Region) },
		"region of this VM"},
	{"data_centre", true, false,
		func(s *Settings) jsonc.ReadFunc { return jsonc.Name(&s.DataCentre) },
		func(s *Settings) string { return encodeString(s.DataCentre) },
		"data centre of this VM"},
	{"listen.caller", false, false,
		func(s *Settings) jsonc.ReadFunc { return listenAddress(&s.Listen.Caller) },
		func(s *Settings) string { return encodeString(s.Listen.Caller) },
		"callers' API, IP:port"},
	{"listen.peer", false, false,
		func(s *Settings) jsonc.ReadFunc { return listenAddress(&s.Listen.Peer) },
		func(s *Settings) string { return encodeString(s.Listen.Peer) },
		"net/rpc between daemons, IP:port"},
	{"listen.admin", false, false,
		func(s *Settings) jsonc.ReadFunc { return listenAddress(&s.Listen.Admin) },
		func(s *Settings) string { return encodeString(s.Listen.Admin) },
		"admin API, IP:port; off unless admin.token_file is set"},
	{"listen.metrics", false, false,
		func(s *Settings) jsonc.ReadFunc { return listenAddress(&s.Listen.Metrics) },
		func(s *Settings) string { return encodeString(s.Listen.Metrics) },
		"health, readiness and metrics, IP:port"},
	{"advertise.caller", false, false,
		func(s *Settings) jsonc.ReadFunc { return optionalDialAddress(&s.Advertise.Caller) },
		func(s *Settings) string { return encodeString(s.Advertise.Caller) },
		"IP:port under which callers reach listen.caller; empty: as listen.caller"},
	{"advertise.peer", false, false,
		func(s *Settings) jsonc.ReadFunc { return optionalDialAddress(&s.Advertise.Peer) },
		func(s *Settings) string { return encodeString(s.Advertise.Peer) },
		"IP:port under which daemons reach listen.peer; empty: as listen.peer"},
	{"log_url", true, false,
		func(s *Settings) jsonc.ReadFunc { return httpURL(&s.LogURL) },
		func(s *Settings) string { return encodeString(s.LogURL) },
		"base URL of the log service"},
	{"vm_list_url", true, false,
		func(s *Settings) jsonc.ReadFunc { return httpURL(&s.VMListURL) },
		func(s *Settings) string { return encodeString(s.VMListURL) },
		"base URL of the VM list"},
	{"seed_peers", false, true,
		func(s *Settings) jsonc.ReadFunc { return dialAddresses(&s.SeedPeers) },
		func(s *Settings) string { return encodeStrings(s.SeedPeers) },
		"addresses of other daemons, IP:port; not used yet: daemons learn of one another from the log"},
	{"drain_delay", false, true,
		func(s *Settings) jsonc.ReadFunc { return jsonc.Duration(&s.DrainDelay, 0, maxTimeout) },
		func(s *Settings) string { return encodeString(s.DrainDelay.String()) },
		"time at a planned stop between reporting not ready and no longer accepting connections"},
	{"limits.body", false, true,
		func(s *Settings) jsonc.ReadFunc { return jsonc.Bytes(&s.Limits.MaxBodyBytes, 1, maxBodyBytes) },
		func(s *Settings) string { return encodeString(formatBytes(s.Limits.MaxBodyBytes)) },
		"largest request body"},
	{"limits.headers", false, false,
		func(s *Settings) jsonc.ReadFunc {
			return bytesInt(&s.Limits.MaxHeaderBytes, minHeaderBytes, maxHeaderBytes)
		},
		func(s *Settings) string { return encodeString(formatBytes(int64(s.Limits.MaxHeaderBytes))) },
		"largest request headers"},
	{"limits.read_timeout", false, false,
		func(s *Settings) jsonc.ReadFunc { return jsonc.Duration(&s.Limits.ReadTimeout, minTimeout, maxTimeout) },
		func(s *Settings) string { return encodeString(s.Limits.ReadTimeout.String()) },
		"time in which a request must be read"},
	{"limits.write_timeout", false, false,
		func(s *Settings) jsonc.ReadFunc {
			return jsonc.Duration(&s.Limits.WriteTimeout, minTimeout, maxTimeout)
		},
		func(s *Settings) string { return encodeString(s.Limits.WriteTimeout.String()) },
		"time in which a request must be answered"},
	{"limits.idle_timeout", false, false,
		func(s *Settings) jsonc.ReadFunc { return jsonc.Duration(&s.Limits.IdleTimeout, minTimeout, maxTimeout) },
		func(s *Settings) string { return encodeString(s.Limits.IdleTimeout.String()) },
		"time after which an idle connection is closed"},
	{"limits.connections", false, false,
		func(s *Settings) jsonc.ReadFunc { return jsonc.Int(&s.Limits.MaxConnections, 1, maxConnections) },
		func(s *Settings) string { return fmt.Sprint(s.Limits.MaxConnections) },
		"open connections per listener"},
	{"lease.duration", false, false,
		func(s *Settings) jsonc.ReadFunc {
			return jsonc.Duration(&s.Lease.Duration, 3*minHeartbeatInterval, maxLeaseDuration)
		},
		func(s *Settings) string { return encodeString(s.Lease.Duration.String()) },
		"lease of ownership units; equal on all daemons of the cell"},
	{"lease.heartbeat", false, false,
		func(s *Settings) jsonc.ReadFunc {
			return jsonc.Duration(&s.Lease.HeartbeatInterval, minHeartbeatInterval, maxLeaseDuration)
		},
		func(s *Settings) string { return encodeString(s.Lease.HeartbeatInterval.String()) },
		"time between heartbeats; at most a third of lease.duration"},
	{"log_appends_per_second", false, true,
		func(s *Settings) jsonc.ReadFunc { return jsonc.Int(&s.LogAppendsPerSecond, 1, maxLogAppendsPerSecond) },
		func(s *Settings) string { return fmt.Sprint(s.LogAppendsPerSecond) },
		"log appends per second that all daemons of the cell may use together"},
	{"log_retention", false, false,
		func(s *Settings) jsonc.ReadFunc {
			return jsonc.Duration(&s.LogRetention, minLogRetention, maxLogRetention)
		},
		func(s *Settings) string { return encodeString(s.LogRetention.String()) },
		"time for which the log service keeps records; state is appended again every third of it"},
	{"admin.token_file", false, false,
		func(s *Settings) jsonc.ReadFunc { return jsonc.String(&s.Admin.TokenFile) },
		func(s *Settings) string { return encodeString(s.Admin.TokenFile) },
		"file with the bearer token of the admin API; empty: the admin API is off"},
	{"admin.tls_cert", false, false,
		func(s *Settings) jsonc.ReadFunc { return jsonc.String(&s.Admin.TLSCert) },
		func(s *Settings) string { return encodeString(s.Admin.TLSCert) },
		"PEM certificate of the admin API; required unless it listens on loopback"},
	{"admin.tls_key", false, false,
		func(s *Settings) jsonc.ReadFunc { return jsonc.String(&s.Admin.TLSKey) },
		func(s *Settings) string { return encodeString(s.Admin.TLSKey) },
		"PEM key of admin.tls_cert"},
	{"log_level", false, true,
		func(s *Settings) jsonc.ReadFunc { return jsonc.OneOf(&s.LogLevel, "debug", "info", "warn", "error") },
		func(s *Settings) string { return encodeString(s.LogLevel) },
		"debug, info, warn or error"},
	{"memory_limit", false, true,
		func(s *Settings) jsonc.ReadFunc {
			return jsonc.Bytes(&s.MemoryLimitBytes, minMemoryLimitBytes, maxMemoryLimitBytes)
		},
		func(s *Settings) string { return encodeString(formatBytes(s.MemoryLimitBytes)) },
		"soft memory limit of the Go runtime; above it, garbage is collected more often"},
}

// groupFields returns the readers for the fields of a group, or for the top-level fields
// and the groups themselves if group is "".
func groupFields(s *Settings, group string) []jsonc.Field {
	var fields []jsonc.Field
	seen := map[string]bool{}
	for _, f := range fieldTable {
		first, rest, nested := strings.Cut(f.path, ".")
		switch {
		case group == "" && nested && !seen[first]:
			seen[first] = true
			fields = append(fields, jsonc.Field{Name: first, Read: readGroup(s, first)})
		case group == "" && !nested:
			fields = append(fields, jsonc.Field{Name: f.path, Required: f.required, Read: f.read(s)})
		case nested && first == group:
			fields = append(fields, jsonc.Field{Name: rest, Required: f.required, Read: f.read(s)})
		}
	}
	return fields
}

// readGroup returns the reader for the object that holds the fields of a group.
func readGroup(s *Settings, group string) jsonc.ReadFunc {
	return func(r *jsonc.Reader, n jsonc.Node) { r.ReadObject(n, groupFields(s, group)) }
}

// Encode returns the settings as JSON with a comment above each field.
func (s *Settings) Encode() []byte {
	var b strings.Builder
	b.WriteString("{\n")
	group, indent := "", "\t"
	for _, f := range fieldTable {
		first, name, nested := strings.Cut(f.path, ".")
		if !nested {
			first, name = "", f.path
		}
		if first != group && group != "" {
			indent = "\t"
			b.WriteString("\t},\n")
		}
		if first != group && first != "" {
			fmt.Fprintf(&b, "\t%q: {\n", first)
			indent = "\t\t"
		}
		group = first
		fmt.Fprintf(&b, "%s// %s%s\n%s%q: %s,\n", indent, f.description, f.annotation(), indent, name, f.format(s))
	}
	b.WriteString("}\n")
	return []byte(b.String())
}

// annotation returns the suffix of the field's printed comment.
func (f field) annotation() string {
	switch {
	case f.required:
		return " (required)"
	case f.reloadable:
		return " (may change while the daemon runs)"
	}
	return ""
}

func encodeString(s string) string {
	encoded, _ := json.Marshal(s) // encoding a string cannot fail
	return string(encoded)
}

func encodeStrings(items []string) string {
	encoded, _ := json.Marshal(items) // encoding strings cannot fail
	return string(encoded)
}

// formatBytes formats a number of bytes in the largest binary unit that divides it.
func formatBytes(n int64) string {
	units := []string{"B", "KiB", "MiB", "GiB", "TiB"}
	unit := 0
	for n > 0 && n%1024 == 0 && unit < len(units)-1 {
		n /= 1024
		unit++
	}
	return fmt.Sprintf("%d%s", n, units[unit])
}
