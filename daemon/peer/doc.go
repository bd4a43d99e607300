// Package peer carries calls between daemons over net/rpc.
//
// One connection to each peer carries all calls. While a call waits, the client
// pings on the same connection; a connection that does not answer a ping is closed
// and all calls on it fail with fault.Unavailable, so that a connection that went
// silent never blocks callers for longer than two ping intervals.
package peer
