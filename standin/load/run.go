package load

import "time"

// Measurement names a measurement that Run can make.
type Measurement string

// Values of Measurement. Each needs a cell of several daemons.
const (
	MeasurementIdle     Measurement = "idle"
	MeasurementWaits    Measurement = "waits"
	MeasurementStarts   Measurement = "starts"
	MeasurementRecovery Measurement = "recovery"
)

// Measurements lists all measurements in their default order.
var Measurements = []Measurement{MeasurementIdle, MeasurementWaits, MeasurementStarts, MeasurementRecovery}

// Plan selects and configures the measurements of a run.
type Plan struct {
	Measurements   []Measurement
	Loads          []float64     // multiples of the slots' capacity, lowest first
	FailingLoads   []float64     // as Loads, for the measurement with failing workers; empty skips it
	Duration       time.Duration // of each load and of the idle measurement
	TaskStartRates []float64     // requested task starts per second
}

// Run starts a cell, makes the plan's measurements on it and stops it. When it returns an
// error, the report still holds the rows of the measurements made before.
func Run(options Options, plan Plan, r *Report) error {
	c, err := Start(options)
	if err != nil {
		return err
	}
	defer c.Stop()
	for _, measurement := range plan.Measurements {
		if err := c.measure(measurement, plan, r); err != nil {
			return err
		}
	}
	if err := c.readJournals(); err != nil {
		return err
	}
	r.addTarget("no worker over its capacity", c.journal.capacityViolations == 0, "%d overloads in the journals", c.journal.capacityViolations)
	return nil
}

func (c *Cell) measure(measurement Measurement, plan Plan, r *Report) error {
	switch measurement {
	case MeasurementIdle:
		return c.measureIdle(r, plan.Duration)
	case MeasurementWaits:
		return c.measureWaits(r, plan.Loads, plan.FailingLoads, plan.Duration)
	case MeasurementStarts:
		for _, rate := range plan.TaskStartRates {
			if err := c.measureTaskStarts(r, rate); err != nil {
				return err
			}
		}
		return nil
	case MeasurementRecovery:
		return c.measureRecovery(r)
	}
	return nil
}
