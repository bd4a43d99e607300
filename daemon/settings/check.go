package settings

import (
	"net/netip"
	"net/url"

	"briarproxy/core/jsonc"
)

const remedyAddress = `write IP:port, for example "10.0.0.1:8080" or "[fd00::1]:8080"`

// listener reads an IP:port to listen on. Port 0 lets the system choose.
func listener(dst *string) jsonc.Read {
	return func(r *jsonc.Reader, n jsonc.Node) { readAddress(r, n, dst) }
}

// optionalAddress reads an IP:port that others connect to, or "".
func optionalAddress(dst *string) jsonc.Read {
	return func(r *jsonc.Reader, n jsonc.Node) {
		if !n.IsEmptyString() {
			address(dst)(r, n)
		}
	}
}

// address reads an IP:port that others connect to.
func address(dst *string) jsonc.Read {
	return func(r *jsonc.Reader, n jsonc.Node) {
		parsed, ok := readAddress(r, n, dst)
		if ok && (parsed.Port() == 0 || parsed.Addr().IsUnspecified()) {
			r.Add(n, jsonc.RuleRange, "name the address that others reach", "%q cannot be connected to", *dst)
		}
	}
}

func addresses(dst *[]string) jsonc.Read {
	return func(r *jsonc.Reader, n jsonc.Node) {
		*dst = []string{}
		r.Elements(n, func(_ int, element jsonc.Node) {
			var one string
			address(&one)(r, element)
			*dst = append(*dst, one)
		})
	}
}

func readAddress(r *jsonc.Reader, n jsonc.Node, dst *string) (netip.AddrPort, bool) {
	before := len(r.Issues)
	jsonc.String(dst)(r, n)
	if len(r.Issues) > before {
		return netip.AddrPort{}, false
	}
	parsed, err := netip.ParseAddrPort(*dst)
	if err != nil {
		r.Add(n, jsonc.RuleUnit, remedyAddress, "%q is not IP:port", *dst)
		return netip.AddrPort{}, false
	}
	return parsed, true
}

func httpURL(dst *string) jsonc.Read {
	return func(r *jsonc.Reader, n jsonc.Node) {
		before := len(r.Issues)
		jsonc.String(dst)(r, n)
		if len(r.Issues) > before {
			return
		}
		u, err := url.Parse(*dst)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" || u.RawQuery != "" || u.Fragment != "" {
			r.Add(n, jsonc.RuleUnit, `write a URL such as "http://10.0.0.9:9000"`, "%q is not an http or https URL", *dst)
		}
	}
}

func bytesInt(dst *int, least, most int64) jsonc.Read {
	return func(r *jsonc.Reader, n jsonc.Node) {
		var value int64
		jsonc.Bytes(&value, least, most)(r, n)
		*dst = int(value)
	}
}

// check verifies fields against one another and fills the advertised addresses.
func (s *Settings) check(r *jsonc.Reader) {
	s.checkListeners(r)
	s.Advertise.Caller = s.advertised(r, "advertise.caller", s.Advertise.Caller, s.Listen.Caller)
	s.Advertise.Peer = s.advertised(r, "advertise.peer", s.Advertise.Peer, s.Listen.Peer)
	if s.Lease.Heartbeat*3 > s.Lease.Duration {
		add(r, "lease.heartbeat", "use at most a third of lease.duration",
			"%s is too long for a lease of %s: one lost heartbeat would end it", s.Lease.Heartbeat, s.Lease.Duration)
	}
	s.checkAdmin(r)
}

// advertised returns the advertised address, which defaults to the listener's.
func (s *Settings) advertised(r *jsonc.Reader, path, set, listen string) string {
	if set != "" {
		return set
	}
	parsed, err := netip.ParseAddrPort(listen)
	if err != nil {
		return "" // reported at the listener
	}
	if parsed.Addr().IsUnspecified() {
		add(r, path, "set the address that others reach", "is required, because others cannot connect to the listener's address %q", listen)
		return ""
	}
	return listen
}

// checkListeners reports two listeners on one address. Port 0 never collides.
func (s *Settings) checkListeners(r *jsonc.Reader) {
	listeners := []struct{ path, address string }{
		{"listen.caller", s.Listen.Caller}, {"listen.peer", s.Listen.Peer},
		{"listen.admin", s.Listen.Admin}, {"listen.metrics", s.Listen.Metrics},
	}
	for i, a := range listeners {
		for _, b := range listeners[:i] {
			if collide(a.address, b.address) {
				add(r, a.path, "use another port", "%q is also used by %s", a.address, b.path)
			}
		}
	}
}

func collide(a, b string) bool {
	first, errA := netip.ParseAddrPort(a)
	second, errB := netip.ParseAddrPort(b)
	if errA != nil || errB != nil || first.Port() == 0 || first.Port() != second.Port() {
		return false
	}
	return first.Addr() == second.Addr() || first.Addr().IsUnspecified() || second.Addr().IsUnspecified()
}

// checkAdmin requires TLS where the bearer token would cross a network in clear.
func (s *Settings) checkAdmin(r *jsonc.Reader) {
	if (s.Admin.TLSCert == "") != (s.Admin.TLSKey == "") {
		add(r, "admin.tls_key", "set both or neither", "admin.tls_cert and admin.tls_key belong together")
		return
	}
	listen, err := netip.ParseAddrPort(s.Listen.Admin)
	if err != nil || !s.AdminEnabled() || s.Admin.TLSCert != "" {
		return
	}
	if !listen.Addr().IsLoopback() {
		add(r, "admin.tls_cert", "set admin.tls_cert and admin.tls_key, or listen on 127.0.0.1",
			"is required, because the admin token would cross the network unencrypted")
	}
}

// add records an issue that concerns several fields at the line of one of them.
func add(r *jsonc.Reader, path, remedy, format string, args ...any) {
	r.Add(jsonc.Node{Path: path, Line: r.Line(path)}, jsonc.RuleRange, remedy, format, args...)
}
