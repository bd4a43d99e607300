// Package cell runs one daemon of a cell whose memory is the platform's log.
//
// One goroutine, the engine, owns the state that the log tells (flow.State) and, in the
// daemon that holds the newest claim, the placer. Other goroutines own sockets: the
// logReader reads the log, the writer appends, the callers' API and the peers' RPC serve, and
// bounded pools carry out the placer's orders. They talk to the engine by messages.
package cell
