package placer

// DisabledMechanisms names the scheduling mechanisms that are switched off, so that their effect
// can be measured. Each field describes the mechanism that it disables if true. Only tests set it.
type DisabledMechanisms struct {
	Yields            bool // less urgent steps are not placed on workers that a waiting, more urgent gang may use
	GangHolds         bool // workers are held for a gang that does not fit yet
	NearAdvisers      bool // the daemons reserved for quick advice calls are those with the shortest response times
	QueuePriorities   bool // the operator's queue priorities affect the order of steps
	StartRetries      bool // start commands without an answer are sent a second time
	WorkerSpeeds      bool // urgent steps and gangs keep off slow workers
	PendingRunScaling bool // the limit of planned runs rises while appends to the log are slow
}
