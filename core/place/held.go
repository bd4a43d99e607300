package place

import (
	"time"

	"briarproxy/core/wire"
)

// heldForOther reports whether the worker is held for another task or gang. A task
// that is expected to end by the start of the hold may be backfilled.
func heldForOther(w *WorkerState, ask *wire.TaskAsk, now time.Duration) bool {
	if w.Hold.Owner == "" || now >= w.Hold.Expires {
		return false
	}
	if w.Hold.Owner == ask.TaskID || (ask.Gang != "" && w.Hold.Owner == ask.Gang) {
		return false
	}
	end := now + time.Duration(ask.RunMS)*time.Millisecond
	return ask.RunMS <= 0 || end > w.Hold.Start
}
