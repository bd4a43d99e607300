// Package placer implements the decisions of the placer, the single active scheduler of a group
// of pools: which task runs on which worker, which commands are sent to workers, and what is
// recorded in the log.
//
// A Placer is a state machine. Its inputs are records read from the log, answers of workers,
// answers to advice calls and the registry; its outputs are commands and batches to append to the
// log. It does no I/O and reads no clock. The sequence of a run is: the plan commits capacity in a
// place.Cell, a flow.Begin is recorded, the start command is sent, the worker reports the run and
// later its end, the end is recorded, and only then is it confirmed to the worker.
//
// Invariants:
//   - a start command is sent only after the log has acknowledged the Begin of the run;
//   - capacity is released only when the worker has reported the end or refused the start, or
//     when the run has certainly ended because its lease expired or the worker restarted;
//   - an end is confirmed to the worker only after its record was read back from the log;
//   - at most one run of a task is active.
//
// A Placer is not safe for concurrent use: a single goroutine owns it.
package placer
