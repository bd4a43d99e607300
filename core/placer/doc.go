// Package placer decides what the one placer of a group of pools does: which task runs
// where, which orders go to workers, and what is recorded in the log.
//
// A Placer is a state that takes events (records read from the log, answers of workers,
// granted advice, the registry) and returns commands. It does no I/O and reads no clock.
// Order of one run: the plan commits room in a place.Cell, a flow.Begin is recorded, the
// order is sent, the worker lists the run and later its end, the end is recorded, and
// only then is it confirmed to the worker.
//
// Invariants:
//   - a start is sent only after its Begin was acknowledged by the log;
//   - room is given back only when the worker has listed the end, has refused the start,
//     or has surely ended the run because its lease or its life ended;
//   - an end is confirmed to the worker only after the record of it was read back;
//   - at most one run of a task is active.
//
// A Placer is not safe for concurrent use; its owner is one goroutine.
package placer
