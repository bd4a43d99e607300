package place

import (
	"time"

	"briarproxy/core/wire"
)

// heldRefuses tells whether the worker is held for something else. A task that
// ends before the hold starts may use the worker meanwhile.
func heldRefuses(w *State, ask *wire.TaskAsk, now time.Duration) bool {
	if w.Hold.Owner == "" || now >= w.Hold.Expires {
		return false
	}
	if w.Hold.Owner == ask.TaskID || (ask.Gang != "" && w.Hold.Owner == ask.Gang) {
		return false
	}
	end := now + time.Duration(ask.RunMS)*time.Millisecond
	return ask.RunMS <= 0 || end > w.Hold.Start
}
