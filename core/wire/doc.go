// Package wire defines the typed messages that processes exchange: the worker
// protocol, the log protocol, the VM list, the RPCs between daemons and the
// callers' API. All durations on the wire are milliseconds.
package wire
