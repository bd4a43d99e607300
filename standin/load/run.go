package load

import "time"

// Measurement is a measurement that Run can make.
type Part string

// Values of Measurement. Each needs a cell of several daemons.
const (
	PartIdle     Part = "idle"
	PartWaits    Part = "waits"
	PartStarts   Part = "starts"
	PartRecovery Part = "recovery"
)

// Measurements lists all measurements in their default order.
var Parts = []Part{PartIdle, PartWaits, PartStarts, PartRecovery}

// Plan selects and configures the measurements of a run.
type Plan struct {
	Parts        []Part
	Loads        []float64     // multiples of the slots' capacity, lowest first
	FailingLoads []float64     // as Loads, for the measurement with failing workers; empty skips it
	Lasting      time.Duration // of each load and of the idle measurement
	StartRates   []float64     // requested task starts per second
}

// Run starts a cell, makes the plan's measurements on it and stops it. When it returns an
// error, the report still holds the rows of the measurements made before.
func Run(options Options, plan Plan, r *Report) error {
	c, err := Start(options)
	if err != nil {
		return err
	}
	defer c.Stop()
	for _, part := range plan.Parts {
		if err := c.measure(part, plan, r); err != nil {
			return err
		}
	}
	if err := c.readJournals(); err != nil {
		return err
	}
	r.addTarget("no worker over its capacity", c.journal.capacityViolations == 0, "%d overloads in the journals", c.journal.capacityViolations)
	return nil
}

func (c *Cell) measure(part Part, plan Plan, r *Report) error {
	switch part {
	case PartIdle:
		return c.measureIdle(r, plan.Lasting)
	case PartWaits:
		return c.measureWaits(r, plan.Loads, plan.FailingLoads, plan.Lasting)
	case PartStarts:
		for _, rate := range plan.StartRates {
			if err := c.measureTaskStarts(r, rate); err != nil {
				return err
			}
		}
		return nil
	case PartRecovery:
		return c.measureRecovery(r)
	}
	return nil
}
