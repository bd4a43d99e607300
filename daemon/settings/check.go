package settings

import (
	"net/netip"
	"net/url"

	"briarproxy/core/jsonc"
)

const addressRemedy = `write IP:port, for example "10.0.0.1:8080" or "[fd00::1]:8080"`

// listenAddress reads an IP:port to listen on. With port 0 the operating system chooses
// the port.
func listenAddress(dst *string) jsonc.ReadFunc {
	return func(r *jsonc.Reader, n jsonc.Node) { readAddress(r, n, dst) }
}

// optionalDialAddress reads an IP:port that other processes connect to, or "".
func optionalDialAddress(dst *string) jsonc.ReadFunc {
	return func(r *jsonc.Reader, n jsonc.Node) {
		if !n.IsEmptyString() {
			dialAddress(dst)(r, n)
		}
	}
}

// dialAddress reads an IP:port that other processes connect to.
func dialAddress(dst *string) jsonc.ReadFunc {
	return func(r *jsonc.Reader, n jsonc.Node) {
		parsed, ok := readAddress(r, n, dst)
		if ok && (parsed.Port() == 0 || parsed.Addr().IsUnspecified()) {
			r.AddIssue(n, jsonc.RuleOutOfRange, "name the address that others reach", "%q cannot be connected to", *dst)
		}
	}
}

// dialAddresses reads a list of IP:port that other processes connect to.
func dialAddresses(dst *[]string) jsonc.ReadFunc {
	return func(r *jsonc.Reader, n jsonc.Node) {
		*dst = []string{}
		r.ReadElements(n, func(_ int, element jsonc.Node) {
			var item string
			dialAddress(&item)(r, element)
			*dst = append(*dst, item)
		})
	}
}

// readAddress reads an IP:port and reports whether it is valid.
func readAddress(r *jsonc.Reader, n jsonc.Node, dst *string) (netip.AddrPort, bool) {
	issuesBefore := len(r.Issues)
	jsonc.String(dst)(r, n)
	if len(r.Issues) > issuesBefore {
		return netip.AddrPort{}, false
	}
	parsed, err := netip.ParseAddrPort(*dst)
	if err != nil {
		r.AddIssue(n, jsonc.RuleWrongUnit, addressRemedy, "%q is not IP:port", *dst)
		return netip.AddrPort{}, false
	}
	return parsed, true
}

// httpURL reads a base URL with scheme http or https.
func httpURL(dst *string) jsonc.ReadFunc {
	return func(r *jsonc.Reader, n jsonc.Node) {
		issuesBefore := len(r.Issues)
		jsonc.String(dst)(r, n)
		if len(r.Issues) > issuesBefore {
			return
		}
		u, err := url.Parse(*dst)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" || u.RawQuery != "" || u.Fragment != "" {
			r.AddIssue(n, jsonc.RuleWrongUnit, `write a URL such as "http://10.0.0.9:9000"`, "%q is not an http or https URL", *dst)
		}
	}
}

// bytesInt reads a number of bytes into an int.
func bytesInt(dst *int, minimum, maximum int64) jsonc.ReadFunc {
	return func(r *jsonc.Reader, n jsonc.Node) {
		var value int64
		jsonc.Bytes(&value, minimum, maximum)(r, n)
		*dst = int(value)
	}
}

// checkConsistency checks rules that involve several fields and fills in the advertised
// addresses that are not set.
func (s *Settings) checkConsistency(r *jsonc.Reader) {
	s.checkListeners(r)
	s.Advertise.Caller = s.advertisedAddress(r, "advertise.caller", s.Advertise.Caller, s.Listen.Caller)
	s.Advertise.Peer = s.advertisedAddress(r, "advertise.peer", s.Advertise.Peer, s.Listen.Peer)
	if s.Lease.HeartbeatInterval*3 > s.Lease.Duration {
		addIssue(r, "lease.heartbeat", "use at most a third of lease.duration",
			"%s is too long for a lease of %s: one lost heartbeat would end it", s.Lease.HeartbeatInterval, s.Lease.Duration)
	}
	s.checkAdmin(r)
}

// advertisedAddress returns the configured address, or the listener's if none is
// configured.
func (s *Settings) advertisedAddress(r *jsonc.Reader, path, configured, listen string) string {
	if configured != "" {
		return configured
	}
	parsed, err := netip.ParseAddrPort(listen)
	if err != nil {
		return "" // already reported for the listen address
	}
	if parsed.Addr().IsUnspecified() {
		addIssue(r, path, "set the address that others reach", "is required, because others cannot connect to the listener's address %q", listen)
		return ""
	}
	return listen
}

// checkListeners reports listeners that share an address. Port 0 never conflicts.
func (s *Settings) checkListeners(r *jsonc.Reader) {
	listeners := []struct{ path, address string }{
		{"listen.caller", s.Listen.Caller}, {"listen.peer", s.Listen.Peer},
		{"listen.admin", s.Listen.Admin}, {"listen.metrics", s.Listen.Metrics},
	}
	for i, a := range listeners {
		for _, b := range listeners[:i] {
			if addressesConflict(a.address, b.address) {
				addIssue(r, a.path, "use another port", "%q is also used by %s", a.address, b.path)
			}
		}
	}
}

// addressesConflict reports whether two listeners cannot both bind their addresses. An
// unspecified IP address conflicts with every address of the same port.
func addressesConflict(a, b string) bool {
	first, errA := netip.ParseAddrPort(a)
	second, errB := netip.ParseAddrPort(b)
	if errA != nil || errB != nil || first.Port() == 0 || first.Port() != second.Port() {
		return false
	}
	return first.Addr() == second.Addr() || first.Addr().IsUnspecified() || second.Addr().IsUnspecified()
}

// checkAdmin requires TLS unless the admin API listens on loopback, because the bearer
// token would otherwise cross the network unencrypted.
func (s *Settings) checkAdmin(r *jsonc.Reader) {
	if (s.Admin.TLSCert == "") != (s.Admin.TLSKey == "") {
		addIssue(r, "admin.tls_key", "set both or neither", "admin.tls_cert and admin.tls_key belong together")
		return
	}
	listen, err := netip.ParseAddrPort(s.Listen.Admin)
	if err != nil || !s.AdminEnabled() || s.Admin.TLSCert != "" {
		return
	}
	if !listen.Addr().IsLoopback() {
		addIssue(r, "admin.tls_cert", "set admin.tls_cert and admin.tls_key, or listen on 127.0.0.1",
			"is required, because the admin token would cross the network unencrypted")
	}
}

// addIssue records an issue that involves several fields at the line of one of them.
func addIssue(r *jsonc.Reader, path, remedy, format string, args ...any) {
	r.AddIssue(jsonc.Node{Path: path, Line: r.Line(path)}, jsonc.RuleOutOfRange, remedy, format, args...)
}
