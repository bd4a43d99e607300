package settings

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"briarproxy/core/jsonc"
)

// Bounds of fields.
const (
	minTimeout     = 100 * time.Millisecond
	maxTimeout     = time.Hour
	maxBody        = 16 << 20 // bytes, as for max_body of a service
	minHeaders     = 1 << 10  // bytes
	maxHeaders     = 1 << 20  // bytes
	maxConnections = 1 << 20
	maxAppends     = 100_000
	minMemory      = 32 << 20 // bytes
	maxMemory      = 1 << 40  // bytes
	minHeartbeat   = 50 * time.Millisecond
	maxLease       = 5 * time.Minute
	minRetention   = time.Minute
	maxRetention   = 10 * 365 * 24 * time.Hour
)

// field describes one setting. The path of a field in a group is "group.name".
type field struct {
	path     string
	required bool
	reload   bool // may change while the daemon runs
	read     func(s *Settings) jsonc.Read
	show     func(s *Settings) string // the value as JSON
	comment  string
}

var table = []field{
	{"name", true, false,
		func(s *Settings) jsonc.Read { return jsonc.Name(&s.Name) },
		func(s *Settings) string { return text(s.Name) },
		"unique name of this daemon in its cell"},
	{"region", true, false,
		func(s *Settings) jsonc.Read { return jsonc.Name(&s.Region) },
		func(s *Settings) string { return text(s.Region) },
		"region of this VM"},
	{"data_centre", true, false,
		func(s *Settings) jsonc.Read { return jsonc.Name(&s.DataCentre) },
		func(s *Settings) string { return text(s.DataCentre) },
		"data centre of this VM"},
	{"listen.caller", false, false,
		func(s *Settings) jsonc.Read { return listener(&s.Listen.Caller) },
		func(s *Settings) string { return text(s.Listen.Caller) },
		"callers' API, IP:port"},
	{"listen.peer", false, false,
		func(s *Settings) jsonc.Read { return listener(&s.Listen.Peer) },
		func(s *Settings) string { return text(s.Listen.Peer) },
		"net/rpc between daemons, IP:port"},
	{"listen.admin", false, false,
		func(s *Settings) jsonc.Read { return listener(&s.Listen.Admin) },
		func(s *Settings) string { return text(s.Listen.Admin) },
		"admin API, IP:port; off unless admin.token_file is set"},
	{"listen.metrics", false, false,
		func(s *Settings) jsonc.Read { return listener(&s.Listen.Metrics) },
		func(s *Settings) string { return text(s.Listen.Metrics) },
		"health, readiness and metrics, IP:port"},
	{"advertise.caller", false, false,
		func(s *Settings) jsonc.Read { return optionalAddress(&s.Advertise.Caller) },
		func(s *Settings) string { return text(s.Advertise.Caller) },
		"IP:port under which callers reach listen.caller; empty: as listen.caller"},
	{"advertise.peer", false, false,
		func(s *Settings) jsonc.Read { return optionalAddress(&s.Advertise.Peer) },
		func(s *Settings) string { return text(s.Advertise.Peer) },
		"IP:port under which daemons reach listen.peer; empty: as listen.peer"},
	{"log_url", true, false,
		func(s *Settings) jsonc.Read { return httpURL(&s.LogURL) },
		func(s *Settings) string { return text(s.LogURL) },
		"base URL of the log service"},
	{"vm_list_url", true, false,
		func(s *Settings) jsonc.Read { return httpURL(&s.VMListURL) },
		func(s *Settings) string { return text(s.VMListURL) },
		"base URL of the VM list"},
	{"seed_peers", false, true,
		func(s *Settings) jsonc.Read { return addresses(&s.SeedPeers) },
		func(s *Settings) string { return list(s.SeedPeers) },
		"addresses of other daemons, IP:port; not used yet: daemons learn of one another from the log"},
	{"drain_delay", false, true,
		func(s *Settings) jsonc.Read { return jsonc.Duration(&s.DrainDelay, 0, maxTimeout) },
		func(s *Settings) string { return text(s.DrainDelay.String()) },
		"time between unreadiness and the end of accepting at a planned stop"},
	{"limits.body", false, true,
		func(s *Settings) jsonc.Read { return jsonc.Bytes(&s.Limits.Body, 1, maxBody) },
		func(s *Settings) string { return text(size(s.Limits.Body)) },
		"largest request body"},
	{"limits.headers", false, false,
		func(s *Settings) jsonc.Read { return bytesInt(&s.Limits.Headers, minHeaders, maxHeaders) },
		func(s *Settings) string { return text(size(int64(s.Limits.Headers))) },
		"largest request headers"},
	{"limits.read_timeout", false, false,
		func(s *Settings) jsonc.Read { return jsonc.Duration(&s.Limits.ReadTimeout, minTimeout, maxTimeout) },
		func(s *Settings) string { return text(s.Limits.ReadTimeout.String()) },
		"time in which a request must be read"},
	{"limits.write_timeout", false, false,
		func(s *Settings) jsonc.Read { return jsonc.Duration(&s.Limits.WriteTimeout, minTimeout, maxTimeout) },
		func(s *Settings) string { return text(s.Limits.WriteTimeout.String()) },
		"time in which a request must be answered"},
	{"limits.idle_timeout", false, false,
		func(s *Settings) jsonc.Read { return jsonc.Duration(&s.Limits.IdleTimeout, minTimeout, maxTimeout) },
		func(s *Settings) string { return text(s.Limits.IdleTimeout.String()) },
		"time after which an idle connection is closed"},
	{"limits.connections", false, false,
		func(s *Settings) jsonc.Read { return jsonc.Int(&s.Limits.Connections, 1, maxConnections) },
		func(s *Settings) string { return fmt.Sprint(s.Limits.Connections) },
		"open connections per listener"},
	{"lease.duration", false, false,
		func(s *Settings) jsonc.Read { return jsonc.Duration(&s.Lease.Duration, 3*minHeartbeat, maxLease) },
		func(s *Settings) string { return text(s.Lease.Duration.String()) },
		"lease of ownership units; equal on all daemons of the cell"},
	{"lease.heartbeat", false, false,
		func(s *Settings) jsonc.Read { return jsonc.Duration(&s.Lease.Heartbeat, minHeartbeat, maxLease) },
		func(s *Settings) string { return text(s.Lease.Heartbeat.String()) },
		"time between heartbeats; at most a third of lease.duration"},
	{"log_appends_per_second", false, true,
		func(s *Settings) jsonc.Read { return jsonc.Int(&s.LogAppendsPerSecond, 1, maxAppends) },
		func(s *Settings) string { return fmt.Sprint(s.LogAppendsPerSecond) },
		"log appends per second that all daemons of the cell may use together"},
	{"log_retention", false, false,
		func(s *Settings) jsonc.Read { return jsonc.Duration(&s.LogRetention, minRetention, maxRetention) },
		func(s *Settings) string { return text(s.LogRetention.String()) },
		"time for which the log service keeps records; state is appended again every third of it"},
	{"admin.token_file", false, false,
		func(s *Settings) jsonc.Read { return jsonc.String(&s.Admin.TokenFile) },
		func(s *Settings) string { return text(s.Admin.TokenFile) },
		"file with the bearer token of the admin API; empty: the admin API is off"},
	{"admin.tls_cert", false, false,
		func(s *Settings) jsonc.Read { return jsonc.String(&s.Admin.TLSCert) },
		func(s *Settings) string { return text(s.Admin.TLSCert) },
		"PEM certificate of the admin API; required unless it listens on loopback"},
	{"admin.tls_key", false, false,
		func(s *Settings) jsonc.Read { return jsonc.String(&s.Admin.TLSKey) },
		func(s *Settings) string { return text(s.Admin.TLSKey) },
		"PEM key of admin.tls_cert"},
	{"log_level", false, true,
		func(s *Settings) jsonc.Read { return jsonc.OneOf(&s.LogLevel, "debug", "info", "warn", "error") },
		func(s *Settings) string { return text(s.LogLevel) },
		"debug, info, warn or error"},
	{"memory_limit", false, true,
		func(s *Settings) jsonc.Read { return jsonc.Bytes(&s.MemoryLimit, minMemory, maxMemory) },
		func(s *Settings) string { return text(size(s.MemoryLimit)) },
		"memory above which the garbage collector works harder"},
}

// fieldsOf returns the fields of a group, or of the top level for group "".
func fieldsOf(s *Settings, group string) []jsonc.Field {
	var fields []jsonc.Field
	seen := map[string]bool{}
	for _, f := range table {
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

func readGroup(s *Settings, group string) jsonc.Read {
	return func(r *jsonc.Reader, n jsonc.Node) { r.Object(n, fieldsOf(s, group)) }
}

// Encode writes settings as JSON with a comment on each field.
func (s *Settings) Encode() []byte {
	var b strings.Builder
	b.WriteString("{\n")
	group, indent := "", "\t"
	for _, f := range table {
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
		fmt.Fprintf(&b, "%s// %s%s\n%s%q: %s,\n", indent, f.comment, f.note(), indent, name, f.show(s))
	}
	b.WriteString("}\n")
	return []byte(b.String())
}

func (f field) note() string {
	switch {
	case f.required:
		return " (required)"
	case f.reload:
		return " (may change while the daemon runs)"
	}
	return ""
}

func text(s string) string {
	encoded, _ := json.Marshal(s) // a string always encodes
	return string(encoded)
}

func list(items []string) string {
	encoded, _ := json.Marshal(items) // strings always encode
	return string(encoded)
}

// size formats bytes with the largest unit that divides them.
func size(n int64) string {
	units := []string{"B", "KiB", "MiB", "GiB", "TiB"}
	unit := 0
	for n > 0 && n%1024 == 0 && unit < len(units)-1 {
		n /= 1024
		unit++
	}
	return fmt.Sprintf("%d%s", n, units[unit])
}
