package router

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/alitto/pond/v2"

	"briarproxy/core/wire"
	"briarproxy/daemon/event"
	"briarproxy/daemon/peer"
	"briarproxy/daemon/view"
	"briarproxy/daemon/workerclient"
)

// Outcome is what became of a start.
type Outcome = workerclient.Outcome

// Workers sends starts and acknowledgements to workers.
type Workers interface {
	Run(ctx context.Context, address string, start wire.Start) workerclient.Outcome
	Resolve(ctx context.Context, address string, start wire.Start) (outcome workerclient.Outcome, ok bool)
	Stop(ctx context.Context, address string, msg wire.Stop) (wire.StopReply, error)
	Ack(ctx context.Context, address string, msg wire.Ack) error
}

// Observer is told what happens to requests. Implementations must not block.
type Observer interface {
	Answered(service, class string, outcome wire.Outcome)
	Waited(class string, wait time.Duration)
	Retried(reason string)
}

// Options configures a Router. Every field without a default is required.
type Options struct {
	Peers    peer.Caller
	Workers  Workers
	View     view.Source
	Log      *event.Logger
	Observer Observer             // default: none
	Now      func() time.Duration // boot clock
	Random   *rand.Rand           // used by the router's goroutine only
	Calls    pond.Pool            // bounds the goroutines of borrow calls
	Follow   pond.Pool            // bounds the goroutines that resolve runs nobody waits for
}

// Query asks for one slot.
type Query struct {
	RequestID   string
	Service     string
	Operation   string
	Pool        string
	Class       string // policy name
	Priority    int
	MinShare    float64
	Team        string
	Weight      float64
	SlotQuota   int64         // quota of the team, 0 for none
	Deadline    time.Duration // boot clock
	CrossRegion bool
	Avoid       []string // VMs that have refused this request, or on which it failed
	Probe       bool     // may be sent to an isolated worker, because it may run again
}

// Slot is the right to start one request on one worker. It is used by one Run or
// given back by Release.
type Slot struct {
	VM          string
	Address     string
	Region      string
	DataCentre  string
	Epoch       int64
	Incarnation int64

	pool     string
	team     string // charged for the slot, "" for a team without a quota
	probe    bool   // one run decides whether its worker is used again
	loan     *loan
	end      time.Duration // boot clock; no start at or after it
	clock    time.Duration // conservative worker clock at reference
	at       time.Duration // boot clock reference of clock
	maxLease time.Duration
	released bool // owned by the router's goroutine
}

// Drift bounds between any two boot clocks.
const (
	driftPPM    = 500
	driftMargin = 100 * time.Millisecond
	// startValidity is the time for which a start may be on its way.
	startValidity = 2 * time.Second
)

// slowest returns the least time that another clock has advanced in d.
func slowest(d time.Duration) time.Duration { return d - d/1_000_000*driftPPM }

// longest returns the time after which another clock has surely advanced by d.
func longest(d time.Duration) time.Duration { return d + d/1_000_000*driftPPM + driftMargin }

// notAfter returns the last instant, on the worker's clock, at which a start that
// is sent at now may begin, and the validity that it grants.
func (s *Slot) notAfter(now time.Duration) (limit, validity time.Duration) {
	validity = min(startValidity, s.end-now)
	return s.clock + slowest(now-s.at) + validity, validity
}

// none is an Observer that discards everything.
type none struct{}

func (none) Answered(string, string, wire.Outcome) {}
func (none) Waited(string, time.Duration)          {}
func (none) Retried(string)                        {}
