package rack

import (
	"github.com/phuslu/log"

	"briarproxy/daemon/event"
)

var (
	eventFenced      = event.Define(1700, "worker fenced", log.InfoLevel, "this daemon may place on the worker now; the line counts what its inventory showed")
	eventStale       = event.Define(1701, "worker refused epoch", log.WarnLevel, "the worker has seen a higher epoch because another daemon owns its rack; this daemon stops placing there")
	eventSilent      = event.Define(1702, "worker silent", log.WarnLevel, "the worker does not answer; nothing new is placed there until it does; check the VM and the network to it")
	eventRestarted   = event.Define(1703, "worker restarted", log.WarnLevel, "the worker has a new incarnation; what ran on it has ended and is placed again where the job allows it")
	eventDropped     = event.Define(1704, "worker given up", log.InfoLevel, "this daemon does not own the worker's rack any more, or the VM is gone; the reason is in the line")
	eventReserved    = event.Define(1710, "room reserved", log.InfoLevel, "tasks got room; refused alternatives are in the line")
	eventNoRoom      = event.Define(1711, "room refused", log.InfoLevel, "tasks got no room; the filter steps that refused are in the line; if resources are missing for long, add VMs to the pool")
	eventLapsed      = event.Define(1712, "reservation expired", log.InfoLevel, "a reservation was not started in time and the room is free again; if this is frequent, check the delay of the log service")
	eventStarted     = event.Define(1713, "task started", log.InfoLevel, "the worker accepted the start")
	eventNoStart     = event.Define(1714, "task start refused", log.WarnLevel, "the worker refused the start for the reason in the line; the task did not run and is placed again")
	eventUnsure      = event.Define(1715, "task start unanswered", log.WarnLevel, "the worker did not answer the start; it is asked again")
	eventLost        = event.Define(1716, "task lost", log.WarnLevel, "the run lease has surely expired without word from the worker; the task is placed again where the job allows it; check the VM")
	eventLent        = event.Define(1720, "slots lent", log.DebugLevel, "slots of workers were lent to a daemon, which sends requests there without asking again")
	eventPreempt     = event.Define(1730, "task preempted", log.InfoLevel, "a task is throttled, checkpointed or stopped for an urgent one")
	eventIsolated    = event.Define(1731, "worker isolated", log.WarnLevel, "the worker failed tasks of unlike jobs in a row and gets only probes with a backoff; check the VM or replace it")
	eventIsolatedReq = event.Define(1740, "worker isolated for requests", log.WarnLevel, "requests of unlike operations failed on the worker in a row; its slots are not lent except as probes with a backoff; check the VM or replace it")
	eventRestored    = event.Define(1741, "worker restored", log.InfoLevel, "a probe went well, or what failed on the worker fails everywhere; the worker gets work again")
	eventSpared      = event.Define(1742, "worker not isolated", log.WarnLevel, "requests of unlike operations failed on the worker in a row, but too many workers of this owner would be isolated; check what the service's operations have in common")
	eventProbed      = event.Define(1743, "worker probed", log.InfoLevel, "one slot of an isolated worker was lent for one request that may run again")
)
