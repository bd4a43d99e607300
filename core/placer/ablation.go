package placer

// Ablation switches mechanisms off, to measure what each is worth. Only tests set it.
type Ablation struct {
	Yields          bool // less urgent steps off the workers that an urgent gang waits for
	Holds           bool // of workers for a gang that found no room
	NearAdvisers    bool // kept for quick calls
	Priority        bool // of the operator
	StartRetries    bool // of orders without an answer
	MorePendingRuns bool // more planned runs while an append takes long
}
