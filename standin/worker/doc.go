// Package worker simulates a worker VM in memory. A simulated worker serves the
// worker protocol of core/wire, lets each attempt last for a time that the
// operation's name or the options set, writes a journal from which tests check the
// scheduler's invariants, and injects faults on request.
package worker
