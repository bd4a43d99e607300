// Package integration holds failure tests of the whole system: daemons and
// stand-ins run as separate processes on loopback, a failure is injected, and the
// workers' journals are compared with what callers were told. Its code is in test
// files. BRIARPROXY_BIN names a folder with built binaries; without it the tests
// build them.
package integration
