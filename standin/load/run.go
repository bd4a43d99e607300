package load

import "time"

// Part names a measurement.
type Part string

// Measurements that Run knows. Each needs a few daemons.
const (
	PartIdle     Part = "idle"
	PartWaits    Part = "waits"
	PartStarts   Part = "starts"
	PartRecovery Part = "recovery"
)

// Parts lists all measurements in the order in which they run.
var Parts = []Part{PartIdle, PartWaits, PartStarts, PartRecovery}

// Plan says what a run measures.
type Plan struct {
	Parts        []Part
	Loads        []float64 // multiples of the slots' capacity, lowest first
	FailingLoads []float64 // the same, for the part with failing workers
	Lasting      time.Duration
	StartRates   []float64 // task starts a second that are asked for
}

// Run starts a cell, measures the plan's parts on it and stops it. The rows of
// parts that ended are in the report also when an error is returned.
func Run(options Options, plan Plan, r *Report) error {
	c, err := Start(options)
	if err != nil {
		return err
	}
	defer c.Stop()
	for _, part := range plan.Parts {
		if err := c.run(part, plan, r); err != nil {
			return err
		}
	}
	if err := c.readJournals(); err != nil {
		return err
	}
	r.target("no worker over its capacity", c.starts.faults == 0, "%d overloads in the journals", c.starts.faults)
	return nil
}

func (c *Cell) run(part Part, plan Plan, r *Report) error {
	switch part {
	case PartIdle:
		return c.idle(r, plan.Lasting)
	case PartWaits:
		return c.waits(r, plan.Loads, plan.FailingLoads, plan.Lasting)
	case PartStarts:
		for _, rate := range plan.StartRates {
			if err := c.taskStarts(r, rate); err != nil {
				return err
			}
		}
		return nil
	case PartRecovery:
		return c.recover(r)
	}
	return nil
}
