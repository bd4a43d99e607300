// Package demo sends the two users' work to a running system as their callers do,
// and compares what the callers were told with what the workers' journals say ran.
package demo
