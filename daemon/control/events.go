package control

import (
	"github.com/phuslu/log"

	"briarproxy/daemon/event"
)

var (
	eventOwns        = event.Define(1100, "units claimed", log.InfoLevel, "this daemon owns the units since the record at the given offset")
	eventLoses       = event.Define(1101, "units given up", log.InfoLevel, "this daemon does not own the units any more")
	eventConfig      = event.Define(1102, "configuration in force", log.InfoLevel, "this daemon uses the version from now on")
	eventConfigSkips = event.Define(1103, "configuration record not applied", log.WarnLevel, "a record of the stream was refused or can't be read; the effect is in the line")
	eventLogDown     = event.Define(1104, "log service unavailable", log.WarnLevel, "requests go on; publications, jobs and non-idempotent requests wait for the log service")
	eventLogUp       = event.Define(1105, "log service available", log.InfoLevel, "appends and reads work again")
	eventAppend      = event.Define(1106, "membership record not confirmed", log.WarnLevel, "a heartbeat, claim or release was not confirmed; it is sent again with the next heartbeat")
	eventVMList      = event.Define(1107, "VM list unavailable", log.WarnLevel, "the last list stays in use")
	eventLeaving     = event.Define(1108, "VM leaving", log.InfoLevel, "the VM gets no new work; the source is in the line")
	eventRecord      = event.Define(1109, "membership record skipped", log.WarnLevel, "a record of the stream does not decode; check for daemons of another release")
	eventSnapshot    = event.Define(1110, "configuration repeated", log.InfoLevel, "the configuration was appended again, so that it outlives its first record")
)
