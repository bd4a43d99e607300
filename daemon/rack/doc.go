// Package rack runs the authority over the workers in the rack units that this
// daemon owns. One goroutine owns the state of all these workers: what is
// committed on them, which slots are lent, which attempts run.
//
// Invariants:
//   - Nothing is placed on a worker before it was fenced under the unit's current
//     epoch, and its answer, the inventory, was adopted.
//   - Room is committed before a start is sent and released only when the worker
//     said that the attempt has ended or never started, or when the attempt's run
//     lease has surely lapsed.
package rack
