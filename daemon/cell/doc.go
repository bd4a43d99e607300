// Package cell implements a daemon of a cell, the group of daemons that share one log on the
// platform and derive their state from it.
//
// One goroutine, the engine, owns the state built from the log (flow.State) and, in the daemon
// with the latest claim, the placer, which assigns tasks to workers. Other goroutines do the I/O: the
// logReader reads the log, the writer appends to it, the storeClient calls the platform's store
// directly or through other daemons, HTTP and RPC servers handle the requests of callers and of other
// daemons, and goroutine pools of limited size execute the placer's commands. They communicate with
// the engine by messages.
package cell
