package cell

import (
	"github.com/phuslu/log"

	"briarproxy/daemon/event"
)

// Events that a daemon of a cell writes to its log file.
var (
	evStarted                 = event.Define(900, "cell-started", log.InfoLevel, "The daemon has started and serves requests. Fields: its listen addresses, its data centre and region, and the settings that have their defaults.")
	evStopping                = event.Define(901, "cell-stopping", log.InfoLevel, "A planned stop began: another daemon takes over as the placer, and each answer closes its connection. Fields: open requests and connections, how long requests may wait for their outcome, and the latest end of the stop, both in ms from the signal.")
	evStopped                 = event.Define(902, "cell-stopped", log.InfoLevel, "A planned stop ends. Fields: requests that arrived during it and were accepted (taken) or refused (not executed, status 503), idle connections closed, and requests and connections still open at the end. Requests still open got no answer: raise bounds.grace_s.")
	evReloaded                = event.Define(903, "cell-reloaded", log.InfoLevel, "The settings file was read and checked after a SIGHUP. Fields: whether it is valid, and if not, why. A valid change takes effect at the next start.")
	evLogLost                 = event.Define(910, "log-lost", log.WarnLevel, "The log can't be read. Jobs can't be accepted until it is readable again; runs on workers continue. Check the platform's store and the network of this daemon.")
	evLogBack                 = event.Define(911, "log-back", log.InfoLevel, "The log can be read again.")
	evHistoryLost             = event.Define(912, "log-history-lost", log.ErrorLevel, "Records expired before this daemon read them. It continues from the oldest retained record; jobs accepted earlier may be unknown.")
	evRecordUnreadable        = event.Define(913, "log-record-unreadable", log.ErrorLevel, "A record of the log can't be decoded or contradicts the state, and was ignored. See the reason.")
	evSnapshotSaved           = event.Define(914, "snapshot-saved", log.InfoLevel, "The placer saved a snapshot of the state up to an offset of the log.")
	evSnapshotFailed          = event.Define(915, "snapshot-failed", log.ErrorLevel, "A snapshot was not saved or can't be read. The daemon retries; if this persists, records expire before a snapshot covers them.")
	evSnapshotLoaded          = event.Define(916, "snapshot-loaded", log.InfoLevel, "This daemon loaded a snapshot, because it has just started or because records expired before it read them.")
	evCatchingUp              = event.Define(917, "log-catching-up", log.InfoLevel, "Written once a second while this daemon is behind the end of the log. Fields: the offset it has reached, a lower bound of the log's end, whether it has ever reached the end, and what it has read from the store since it started, by purpose.")
	evConfigInForce           = event.Define(920, "config-in-force", log.InfoLevel, "This daemon now uses the named version of the configuration.")
	evConfigUnreadable        = event.Define(921, "config-unreadable", log.ErrorLevel, "The configuration can't be read; this daemon keeps using the previous version.")
	evKeyLeaseHeld            = event.Define(922, "key-lease-held", log.InfoLevel, "A reading has confirmed the configuration in force; calls with a key are accepted. Fields: the age of that reading, and for how long a reading confirms.")
	evKeyLeaseLapsed          = event.Define(923, "key-lease-lapsed", log.WarnLevel, "The configuration in force was not confirmed in time, or the newest version can't be read (state blocked; see 921). Calls with a key get 503 with Retry-After until it is. Check the platform's store and this daemon's path to it.")
	evClaim                   = event.Define(930, "placer-claim", log.InfoLevel, "This daemon claims the role of the placer, for the reason given.")
	evPlacerBegan             = event.Define(931, "placer-began", log.InfoLevel, "This daemon is the placer as of the named offset of the log.")
	evPlacerEnded             = event.Define(932, "placer-ended", log.WarnLevel, "This daemon is no longer the placer, for the reason given.")
	evRegistryUnusable        = event.Define(933, "registry-entries-unusable", log.WarnLevel, "Entries of the worker registry can't be decoded and were ignored.")
	evPlacerRetired           = event.Define(934, "former-placer-retired", log.InfoLevel, "The former placer has stopped sending commands or its process has ended; the runs that it started end with the leases that it granted.")
	evFormerPlacers           = event.Define(936, "former-placers-asked", log.InfoLevel, "The new placer asks all earlier placers that may still renew leases to stop. Field former: their daemons. Until each has answered (934) or can't renew leases any more, tasks of workers that this placer can't reach are not started again.")
	evPlacerHandedOver        = event.Define(935, "placer-handed-over", log.InfoLevel, "A stopping placer has handed over to the named daemon, whose claim is stored.")
	evJobAccepted             = event.Define(940, "job-accepted", log.InfoLevel, "A job is stored and will be run.")
	evJobRejected             = event.Define(941, "job-rejected", log.InfoLevel, "A job was not accepted and will never run, for the reason given.")
	evJobOutcomeUnknown       = event.Define(942, "job-outcome-unknown", log.WarnLevel, "The caller was told that it is unknown whether the job was stored; it may retry with the same id.")
	evJobCancelled            = event.Define(943, "job-cancelled", log.InfoLevel, "The cancellation of a job is stored.")
	evCancelRejected          = event.Define(944, "cancel-rejected", log.InfoLevel, "A cancellation was not stored, for the reason given; the job continues unless the caller retries.")
	evCancelOutcomeUnknown    = event.Define(945, "cancel-outcome-unknown", log.WarnLevel, "The caller was told that it is unknown whether the cancellation was stored; it may retry.")
	evQueryRejected           = event.Define(947, "question-rejected", log.InfoLevel, "A caller's query was answered with status 503: this daemon has not read the log to its end, and neither has any other daemon that it consulted. The caller should retry.")
	evCountAnswered           = event.Define(946, "count-answered", log.InfoLevel, "A caller was told how many jobs of a queue are pending. Fields: where the count comes from, the offset up to which the log was read for it, and the time since it was read to its end.")
	evDecision                = event.Define(950, "placer-decision", log.InfoLevel, "A decision of the placer about a task or worker, or a change in what it assumes about them.")
	evSummary                 = event.Define(951, "placer-summary", log.InfoLevel, "Written once a second by the placer: steps by what they wait for, runs by state, workers, free capacity and calls for advice.")
	evUnexpectedError         = event.Define(970, "unexpected-error", log.ErrorLevel, "A bug caused a panic in one operation, which was abandoned. The daemon keeps running; if it was the placer, another daemon takes over. Report it with the stack trace.")
	evPathLost                = event.Define(961, "store-path-lost", log.WarnLevel, "The store does not answer this daemon directly; calls are relayed by other daemons until it does.")
	evPathBack                = event.Define(962, "store-path-back", log.InfoLevel, "The store answers this daemon directly again.")
	evStoreThroughPeersFailed = event.Define(963, "store-through-peers-failed", log.WarnLevel, "A call to the store that other daemons relayed failed, too; written at most once a second. Fields: how many daemons were asked, and how long that took.")
	evPeerUnreachable         = event.Define(960, "peer-unreachable", log.WarnLevel, "A call to another daemon failed; it is not called again for a while.")
)
