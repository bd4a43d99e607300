package patience

import "time"

// Choice is the choice between a place that is free and a better one that is not.
type Choice struct {
	Work     time.Duration // remaining, at the better place
	Factor   float64       // run time at the free place as a multiple of Work
	Expected time.Duration // until the better place is free; Never if unknown
	Waited   time.Duration // so far, while another place was free
	Load     float64       // share of the capacity that is in use, 0 to 1
	Spare    time.Duration // until the work has to begin at the better place to end within its objective; negative if that has passed
}

// Never is the expected time until a place is free at which nothing ends.
const Never = time.Duration(1<<63 - 1)

// MaxWait bounds every wait, whatever it would save.
const MaxWait = 30 * time.Second

// Verdict says whether work waits, and why.
type Verdict string

// Verdicts. Only Wait means that the work waits.
const (
	Wait          Verdict = "the wait is shorter than what it saves"
	NothingSaved  Verdict = "the better place saves nothing"
	TooLong       Verdict = "the wait is longer than what it saves"
	WaitedEnough  Verdict = "it has waited for as long as the better place saves"
	ObjectiveEnds Verdict = "its objective can only be kept without a wait"
)

// Saving returns how much sooner the work ends at the better place if that is free. Impossible values save nothing.
func (c *Choice) Saving() time.Duration {
	if c.Work <= 0 || !(c.Factor > 1) {
		return 0
	}
	return min(time.Duration(float64(c.Work)*(c.Factor-1)), MaxWait)
}

// Decide weighs the choice. At the free place the work would occupy capacity for longer by its saving, which delays
// others to the degree that the capacity is in use. So a wait may be as long as both together, and no longer even if
// the expectation is wrong.
func Decide(c Choice) Verdict {
	saving := c.Saving()
	limit := min(time.Duration(float64(saving)*(1+min(max(c.Load, 0), 1))), MaxWait)
	switch {
	case saving == 0:
		return NothingSaved
	case c.Waited >= limit:
		return WaitedEnough
	case c.Expected >= limit:
		return TooLong
	}
	// The spare time of the free place is shorter by what the work takes longer there.
	inTimeNow := c.Spare >= saving
	inTimeAfterExpectedWait := c.Spare >= c.Expected+saving
	if inTimeNow && !inTimeAfterExpectedWait {
		return ObjectiveEnds // a wait that turns out longer would leave neither place in time
	}
	return Wait
}
