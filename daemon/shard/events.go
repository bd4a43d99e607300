package shard

import (
	"github.com/phuslu/log"

	"briarproxy/daemon/event"
)

var (
	eventOpened    = event.Define(1500, "shard opened", log.InfoLevel, "this daemon serves the shard now; the line counts what the replay found")
	eventClosed    = event.Define(1501, "shard closed", log.InfoLevel, "this daemon does not serve the shard any more; its successor replays the stream")
	eventReplay    = event.Define(1502, "shard replay failed", log.WarnLevel, "the stream could not be read to its end; tried again with a backoff; check the log service")
	eventBadEntry  = event.Define(1503, "shard entry skipped", log.ErrorLevel, "an entry of the stream does not decode; check for daemons of another release")
	eventStep      = event.Define(1504, "task event refused", log.WarnLevel, "the task chart refused an event, which changed nothing; the line says why; report it if it is frequent, because it shows a defect")
	eventAccepted  = event.Define(1510, "job accepted", log.InfoLevel, "the job's record is in the log, so the job outlives every daemon")
	eventRefused   = event.Define(1511, "job refused", log.InfoLevel, "the job was not accepted and never runs; the reason and what the submitter can do are in the line")
	eventCancelled = event.Define(1512, "job cancelled", log.InfoLevel, "the cancellation is in the log; the job's running tasks are being stopped")
	eventPlaced    = event.Define(1520, "task placed", log.InfoLevel, "a task got room on a VM; owners asked and alternatives refused are in the line")
	eventWaits     = event.Define(1521, "task waits", log.InfoLevel, "no owner had room for the task; the reasons are in the line; it is tried again with a backoff")
	eventUnlogged  = event.Define(1522, "start not logged", log.WarnLevel, "the start record was not confirmed, the reservation is given back; check the log service")
	eventEnded     = event.Define(1523, "task attempt ended", log.InfoLevel, "an attempt has ended and its end is in the log; a failed one is tried again until the job's attempts are used up")
	eventVerify    = event.Define(1524, "task attempts to verify", log.InfoLevel, "workers are asked for attempts that may run, after a takeover or an unanswered start; nothing is placed again before the answer")
	eventKey       = event.Define(1530, "keyed request decided", log.InfoLevel, "what was done with a request that carries an idempotency key: started, answered from memory, told unknown or refused")
)
