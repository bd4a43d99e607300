// Package integration contains end-to-end failure tests. Daemons, simulated services
// and simulated workers run as separate processes on the loopback interface. The tests
// inject failures and compare the workers' journals with the responses to the callers.
// All code is in test files. BRIARPROXY_BIN names a directory with prebuilt binaries; if
// it is not set, the tests build them.
package integration
