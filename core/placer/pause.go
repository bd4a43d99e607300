package placer

import "time"

// decisionPause is the kind of decision that reports that this process has stood still for the time in Age.
const decisionPause = "placer paused"

// minReportedPause is longer than any delay between two ticks of a process that is not frozen or overloaded.
const minReportedPause = time.Second

// pause returns the time since the last tick.
func (p *Placer) pause(now time.Duration) time.Duration {
	if p.lastTickAt == 0 {
		return 0
	}
	return now - p.lastTickAt
}

// reportPause reports that the placer has not run for a while, so that the silence of workers in that time proves nothing.
func (p *Placer) reportPause(now time.Duration) {
	if pause := p.pause(now); pause > minReportedPause {
		p.addDecision(Decision{Kind: decisionPause, Age: pause})
		p.startWindow.discard(now)
	}
	p.lastTickAt = now
}
