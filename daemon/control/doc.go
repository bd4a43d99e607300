// Package control runs the goroutine that tails the streams "members" and "config",
// sends heartbeats, appends claims and releases, and publishes the snapshot that
// the rest of the daemon decides under.
package control
