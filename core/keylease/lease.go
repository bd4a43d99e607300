package keylease

import (
	"time"

	"briarproxy/core/chart"
)

var leaseChart = chart.MustLoad(chart.KeyLease)

// States and events of a lease. Its state chart describes each of them.
const (
	held     chart.State = "held"
	expiring chart.State = "expiring"

	versionRead    chart.Event = "version-read"
	nothingNewer   chart.Event = "nothing-newer"
	unreadableRead chart.Event = "unreadable-read"
	expired        chart.Event = "expired"
	stopped        chart.Event = "stopped"
)

// The lease ends this share of the bound before it, which covers clocks that run at different rates.
const marginShare = 0.1

// Outcome is what a reading of the operator's topic found.
type Outcome int

// Outcomes of readings.
const (
	NothingNewer Outcome = iota // nothing follows the position that the reading began at
	VersionRead
	Unreadable // the newest version can't be used
)

// Reading is an answer of the store about the operator's topic.
type Reading struct {
	SentAt  time.Duration // when this daemon sent the request, directly or to another daemon
	Outcome Outcome
	Version int64 // of the configuration read
	Next    int64 // position in the topic up to which it was read
}

// Lease is the right of one daemon, in one life, to accept calls with a key. It is not safe for
// concurrent use.
type Lease struct {
	term         time.Duration // 0 means that the right needs no renewal
	machine      *chart.Machine
	version      int64         // newest version read
	confirmedAt  time.Duration // when the latest reading that renewed the lease was sent
	unreadableTo int64         // position up to which the newest unreadable version was read
}

// New returns a lease that no reading has granted yet. A key that a version takes away ends to work
// within the bound; without a bound of 0 or less, the lease never expires.
func New(bound time.Duration) *Lease {
	return &Lease{term: time.Duration(float64(max(bound, 0)) * (1 - marginShare)), machine: leaseChart.Start()}
}

// Limited reports whether the lease expires at all.
func (l *Lease) Limited() bool { return l.term > 0 }

// Term returns for how long a reading renews the lease, from its sending on.
func (l *Lease) Term() time.Duration { return l.term }

// Apply takes in a reading and reports whether it renewed the lease. The version that it contains must
// be put in force first, unless it is older than the present one. A reading that shows an older version
// than the newest one read, or that was sent a whole term ago, renews nothing.
func (l *Lease) Apply(r Reading, now time.Duration) bool {
	l.expireIfDue(now)
	event := nothingNewer
	switch {
	case r.Outcome == Unreadable:
		l.unreadableTo = max(l.unreadableTo, r.Next)
		_, _ = l.machine.Step(unreadableRead) // refused only once the daemon has stopped
		return false
	case r.Outcome == VersionRead && (r.Version < l.version || l.unreadableTo > 0 && r.Next <= l.unreadableTo):
		return false
	case r.Outcome == VersionRead:
		event, l.version, l.unreadableTo = versionRead, r.Version, 0
	}
	if _, err := l.machine.Step(event); err != nil {
		return false
	}
	l.confirmedAt = max(l.confirmedAt, r.SentAt)
	l.expireIfDue(now) // the reading may have been under way for longer than the term
	return l.Holds(now)
}

// Holds reports whether a call with a key may be accepted.
func (l *Lease) Holds(now time.Duration) bool {
	l.expireIfDue(now)
	state := l.machine.State()
	return !l.Limited() || state == held || state == expiring
}

// Stop ends the lease for good.
func (l *Lease) Stop() { _, _ = l.machine.Step(stopped) }

// Age returns the time since the latest reading that renewed the lease was sent; known is false if
// none has.
func (l *Lease) Age(now time.Duration) (age time.Duration, known bool) {
	return now - l.confirmedAt, l.confirmedAt > 0
}

// State returns the state in the chart.
func (l *Lease) State() string { return string(l.machine.State()) }

func (l *Lease) expireIfDue(now time.Duration) {
	if state := l.machine.State(); l.Limited() && (state == held || state == expiring) && now >= l.confirmedAt+l.term {
		_, _ = l.machine.Step(expired) // both states handle it
	}
}
