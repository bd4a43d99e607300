package placer

// Ablation disables individual scheduling mechanisms, so that their effect can be measured.
// A field that is true disables the mechanism. Only tests set it.
type Ablation struct {
	Yields          bool // less urgent steps leave the workers that an urgent gang waits for to the gang
	Holds           bool // workers are held for a gang that does not fit yet
	NearAdvisers    bool // the daemons with the shortest response times are reserved for quick calls
	Priority        bool // the operator's queue priorities
	StartRetries    bool // start commands without an answer are sent again
	MorePendingRuns bool // the limit of planned runs rises while appends to the log are slow
}
