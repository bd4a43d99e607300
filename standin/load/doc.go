// Package load measures a cell of real processes on loopback: waiting times at
// several loads, control cost per daemon, recovery times and the rate of task
// starts. Times depend on the hardware, so compare rows only within one run.
package load
