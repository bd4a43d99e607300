// Package worker is an in-memory stand-in for a worker VM. It speaks the worker
// protocol of core/wire, pretends to run work for a time that the operation's
// name or the options give, writes a journal from which tests check the
// invariants, and misbehaves on demand.
package worker
