package node

import (
	"github.com/phuslu/log"

	"briarproxy/daemon/event"
)

var (
	eventStarted  = event.Define(1000, "daemon started", log.InfoLevel, "the listeners are open; the daemon is ready once it has read the configuration")
	eventReady    = event.Define(1001, "daemon ready", log.InfoLevel, "the readiness answer is true now, so the load balancer may send requests")
	eventDraining = event.Define(1002, "daemon draining", log.InfoLevel, "a planned stop has begun: readiness is false and the listeners answer for the drain delay; raise drain_delay if the load balancer still sends afterwards")
	eventStopped  = event.Define(1003, "daemon stopped", log.InfoLevel, "the planned stop has ended; if clean is false, requests were still in flight when the time for them was over")
	eventServe    = event.Define(1004, "listener failed", log.ErrorLevel, "a listener ended with an error and its callers are refused; check the address and the limit of open files, then restart the daemon")
	eventReleased = event.Define(1008, "units released", log.InfoLevel, "a planned stop has released the rack units and key shards; if released is false, other daemons take them over when their leases end")
	eventLife     = event.Define(1007, "life cycle event refused", log.WarnLevel, "the daemon chart refused an event, which changed nothing; the line says why; report it unless it says that a stopping daemon does not become ready")
	eventReload   = event.Define(1005, "settings reloaded", log.InfoLevel, "the settings that may change while running are in force")
	eventReloadNo = event.Define(1006, "settings not reloaded", log.WarnLevel, "the file has problems or changes what needs a restart; the old settings stay; check the file with briarproxyd validate")
)
