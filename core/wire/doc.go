// Package wire defines the messages of the worker protocol, the log service, the VM
// list, the RPCs between daemons and the callers' API. Durations and times are in
// milliseconds, except Problem.RetryAfter.
package wire
