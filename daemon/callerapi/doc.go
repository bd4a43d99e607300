// Package callerapi serves the callers' HTTP API: requests to services and jobs.
// Every answer carries a request id, and every error says whether the request ran.
package callerapi
