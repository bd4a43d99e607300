package router

import (
	"github.com/phuslu/log"

	"briarproxy/daemon/event"
)

// Events of the request path.
var (
	eventRouted    = event.Define(1300, "request routed", log.InfoLevel, "A request was given a slot. The fields name the worker, the reason and the alternatives refused.")
	eventShed      = event.Define(1301, "request refused before it ran", log.InfoLevel, "A request was answered without a start. If this is frequent, add capacity to the pool or lengthen the deadline.")
	eventNeverRan  = event.Define(1302, "start did not run", log.InfoLevel, "A worker refused a start or surely never saw it. The request may be sent to another worker.")
	eventUnknown   = event.Define(1303, "outcome unknown", log.WarnLevel, "The end of a started request could not be learned in time. Its slot stays occupied until the run lease has lapsed.")
	eventForwarded = event.Define(1304, "request forwarded", log.InfoLevel, "A non-idempotent request or a job call was sent to the owner of its key shard.")
	eventLapsed    = event.Define(1310, "loan lapsed", log.WarnLevel, "A loan of slots ended before it was renewed. If this is frequent, check the connections to the lender.")
	eventBorrow    = event.Define(1311, "borrow call failed", log.WarnLevel, "The owner of rack units did not answer a borrow call.")
	eventUseless   = event.Define(1313, "loan not usable", log.WarnLevel, "A loan arrived after its end, or without slots or run lease. If this is frequent, check the delay to the lender.")
	eventQuota     = event.Define(1350, "quota call failed", log.WarnLevel, "The owner of a key shard did not lease portions of team quotas. Portions leased before go on until they lapse; then requests of these teams are refused.")
	eventAckFailed = event.Define(1312, "result acknowledgement failed", log.DebugLevel, "A worker did not take the acknowledgement of results; it keeps them until its own limit.")
)
