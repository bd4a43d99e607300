// Package control follows the streams `members` and `config` and the VM list, and
// publishes what they say as a view.Snapshot. It sends this daemon's heartbeats,
// claims and releases.
//
// One goroutine owns the state; readers of the streams and appends run beside it
// and send it messages.
package control
