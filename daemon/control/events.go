package control

import (
	"github.com/phuslu/log"

	"briarproxy/daemon/event"
)

var (
	eventOwns        = event.Define(1100, "units claimed", log.InfoLevel, "this daemon owns more rack units or key shards; the line counts the units gained and those owned now")
	eventLoses       = event.Define(1101, "units given up", log.InfoLevel, "units were released or taken over by other daemons; if this is frequent, check the heartbeat appends and the log service")
	eventConfig      = event.Define(1102, "configuration in force", log.InfoLevel, "this daemon uses the version from now on; the author and message of its publication are in the line")
	eventConfigSkips = event.Define(1103, "configuration record not applied", log.WarnLevel, "a publication was refused because its base is not the newest version, or a record can't be read; its author publishes again from the newest version")
	eventLogDown     = event.Define(1104, "log service unavailable", log.WarnLevel, "the log service has not answered for some time; idempotent requests go on, while publications, jobs and non-idempotent requests are refused; check the log service")
	eventLogUp       = event.Define(1105, "log service available", log.InfoLevel, "appends and reads work again")
	eventAppend      = event.Define(1106, "membership record not confirmed", log.WarnLevel, "a heartbeat, claim or release was not confirmed; later records replace it; if this lasts, the daemon loses its key shards")
	eventVMList      = event.Define(1107, "VM list unavailable", log.WarnLevel, "the VM list service did not answer; the last list stays in use, so new and leaving VMs are learned late")
	eventLeaving     = event.Define(1108, "VM leaving", log.InfoLevel, "the VM gets no new work until a new incarnation reports; the line says whether the list or the worker said so")
	eventRecord      = event.Define(1109, "membership record skipped", log.WarnLevel, "a record of the stream does not decode; check for daemons of another release")
	eventVersion     = event.Define(1111, "configuration event refused", log.WarnLevel, "the config-version chart refused an event, which changed nothing; this is a defect of the program; report it with the line")
	eventSnapshot    = event.Define(1110, "configuration repeated", log.InfoLevel, "the configuration was appended again, so that it outlives the log's retention time; nothing has to be done")
)
