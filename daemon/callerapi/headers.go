package callerapi

import (
	"fmt"
	"net/http"
	"net/textproto"
	"strconv"
	"time"

	"briarproxy/core/wire"
)

// Limits of header values and names in URLs.
const (
	maxNameLength = 128 // bytes
	maxKeyLength  = 256 // bytes
	maxDeadline   = time.Hour
)

// meta is what the headers of a request say.
type meta struct {
	wait      time.Duration // 0: not given
	class     string
	team      string
	operation string
	key       string
}

// parseHeaders reads the Briar headers. A header that is given twice is refused,
// because callers and intermediaries disagree on which value counts.
func parseHeaders(h http.Header) (meta, *wire.Problem) {
	var m meta
	fields := []struct {
		name  string
		limit int
		value *string
	}{
		{wire.HeaderClass, maxNameLength, &m.class},
		{wire.HeaderTeam, maxNameLength, &m.team},
		{wire.HeaderOperation, maxNameLength, &m.operation},
		{wire.HeaderIdempotencyKey, maxKeyLength, &m.key},
	}
	for _, f := range fields {
		value, p := single(h, f.name, f.limit)
		if p != nil {
			return m, p
		}
		*f.value = value
	}
	text, p := single(h, wire.HeaderDeadlineMS, maxNameLength)
	if p != nil || text == "" {
		return m, p
	}
	m.wait, p = parseMS(wire.HeaderDeadlineMS, text, maxDeadline)
	return m, p
}

// single returns the only value of a header, "" when it is absent.
func single(h http.Header, name string, limit int) (string, *wire.Problem) {
	values := h[textproto.CanonicalMIMEHeaderKey(name)]
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 {
		return "", malformed("header %s is given %d times", name, len(values))
	}
	if !printable(values[0], limit) {
		return "", malformed("header %s must have 1 to %d printable ASCII characters", name, limit)
	}
	return values[0], nil
}

// printable reports whether the value has 1 to limit visible ASCII characters.
func printable(value string, limit int) bool {
	for i := range len(value) {
		if value[i] <= ' ' || value[i] > '~' {
			return false
		}
	}
	return len(value) > 0 && len(value) <= limit
}

// parseMS reads a positive number of milliseconds.
func parseMS(name, text string, limit time.Duration) (time.Duration, *wire.Problem) {
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 || ms > limit.Milliseconds() {
		return 0, malformed("%s must be a whole number from 1 to %d", name, limit.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// malformed builds the problem for a request that breaks the rules of the API.
func malformed(format string, args ...any) *wire.Problem {
	return problem(http.StatusBadRequest, "malformed-request", "correct the request and send it again", fmt.Sprintf(format, args...))
}

// problem builds a not-run problem.
func problem(status int, kind, remedy, detail string) *wire.Problem {
	return &wire.Problem{
		Type:    "briar:" + kind,
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  detail,
		Outcome: wire.OutcomeNotRun,
		Remedy:  remedy,
	}
}
