package share

import "time"

// Bucket is the token bucket of a workspace's submissions. It takes its time from the records of the
// log, so all daemons that apply them in the log's order find the same jobs beyond the rate.
type Bucket struct {
	Tokens float64 `json:"t"`
	AtMS   int64   `json:"a"` // Unix ms of the newest submission
}

const (
	// burstDuration is the time for which a workspace that was idle may save up submissions.
	burstDuration = time.Second
	// clockStepMS is the difference in ms by which a submission must be older than the one before it
	// for the clock of one of the two daemons to count as wrong.
	clockStepMS = 1000
)

// Take takes a token for a submission at the given time (Unix ms) and a rate in jobs a second; a rate of
// 0 is no limit. It reports whether the submission is within the rate. Clocks that differ let too many
// submissions count as within it, never too few.
func (b *Bucket) Take(rate float64, atMS int64) bool {
	if rate <= 0 {
		return true
	}
	depth := max(1, rate*burstDuration.Seconds())
	switch {
	case b.AtMS == 0:
		b.Tokens, b.AtMS = depth, atMS
	case atMS > b.AtMS:
		b.Tokens += rate * float64(atMS-b.AtMS) / 1000
		b.AtMS = atMS
	case atMS < b.AtMS-clockStepMS:
		b.AtMS = atMS
	}
	b.Tokens = min(b.Tokens, depth)
	if b.Tokens < 1 {
		return false
	}
	b.Tokens--
	return true
}

// Full reports whether the bucket would be full at the given time (Unix ms), as a new one is. The rate
// at which it fills does not matter: burstDuration fills it from empty at any rate of 1 or more.
func (b *Bucket) Full(nowMS int64) bool { return nowMS-b.AtMS > burstDuration.Milliseconds() }
