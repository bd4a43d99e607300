package callerapi

import (
	"github.com/phuslu/log"

	"briarproxy/daemon/event"
)

// Events of the callers' API.
var (
	eventPanic   = event.Define(1400, "handler panicked", log.ErrorLevel, "A handler of the callers' API failed. This is a fault of the program; report it with the stack.")
	eventRefused = event.Define(1401, "malformed request refused", log.InfoLevel, "A caller's headers or body were refused before the request was routed.")
	eventHTTP    = event.Define(1403, "http server message", log.InfoLevel, "The HTTP server reports a connection that failed. If accepts fail, check the limit of open files.")
	eventWrite   = event.Define(1402, "answer not delivered", log.InfoLevel, "The caller's connection broke while its answer was written. The caller can ask again.")
)
