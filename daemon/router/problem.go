package router

import (
	"fmt"
	"math"
	"net/http"
	"time"

	"briarproxy/core/wire"
)

// notRun builds a problem for a request that never ran and never will.
func notRun(status int, kind, remedy, format string, args ...any) *wire.Problem {
	return problem(status, wire.OutcomeNotRun, kind, remedy, format, args...)
}

func problem(status int, outcome wire.Outcome, kind, remedy, format string, args ...any) *wire.Problem {
	return &wire.Problem{
		Type:    "briar:" + kind,
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  fmt.Sprintf(format, args...),
		Outcome: outcome,
		Remedy:  remedy,
	}
}

// busy builds a not-run problem with a retry time.
func busy(kind string, retry time.Duration, format string, args ...any) *wire.Problem {
	p := notRun(http.StatusServiceUnavailable, kind, "send the request again after the time in Retry-After", format, args...)
	p.RetryAfter = retrySeconds(retry)
	return p
}

// unknown builds a problem for a request that may have run.
func unknown(remedy, format string, args ...any) *wire.Problem {
	p := problem(http.StatusGatewayTimeout, wire.OutcomeUnknown, "outcome-unknown", remedy, format, args...)
	p.RetryAfter = retrySeconds(unknownRetry)
	return p
}

// unknownRetry is the Retry-After of an unknown outcome.
const unknownRetry = 2 * time.Second

// Limits of the Retry-After of a predicted wait.
const (
	minRetry = time.Second
	maxRetry = time.Minute
)

// retrySeconds bounds a predicted wait for Retry-After.
func retrySeconds(wait time.Duration) int64 {
	return int64(math.Ceil(min(max(wait, minRetry), maxRetry).Seconds()))
}
