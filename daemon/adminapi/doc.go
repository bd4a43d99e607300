// Package adminapi serves the operators' HTTP API, which is off without a token,
// and the handler for health, readiness and metrics on a listener of its own.
package adminapi
