package rack

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/alitto/pond/v2"

	"briarproxy/core/resource"
	"briarproxy/core/wire"
	"briarproxy/daemon/event"
	"briarproxy/daemon/peer"
	"briarproxy/daemon/view"
)

// Times of the owner of a rack.
const (
	tickInterval     = 50 * time.Millisecond
	fenceRetry       = 500 * time.Millisecond
	endInterval      = 200 * time.Millisecond // between reports while tasks should be ending
	renewInterval    = 5 * time.Second
	runLease         = 20 * time.Second // run lease of tasks
	startValidity    = 2 * time.Second  // how long a start or a renewal may be on its way
	reportMaxAge     = 10 * time.Second // a worker without a report for longer gets nothing new
	loanTTL          = 3 * time.Second
	maxRequestLease  = 5 * time.Minute // longest run lease of a request under a loan
	endNoticeRetry   = time.Second
	callTimeout      = 3 * time.Second
	driftPPM         = 500
	driftMargin      = 100 * time.Millisecond
	maxStartsInBatch = 256
)

// slowest returns the least time that another clock has advanced in d.
func slowest(d time.Duration) time.Duration { return d - d/1_000_000*driftPPM }

// longest returns the time after which another clock has surely advanced by d.
func longest(d time.Duration) time.Duration { return d + d/1_000_000*driftPPM + driftMargin }

// Workers is the client of the worker protocol.
type Workers interface {
	Fence(ctx context.Context, address string, msg wire.Fence) (wire.Report, error)
	Report(ctx context.Context, address string) (wire.Report, error)
	Start(ctx context.Context, address string, msg wire.Start) (wire.StartReply, error)
	Stop(ctx context.Context, address string, msg wire.Stop) (wire.StopReply, error)
	Renew(ctx context.Context, address string, msg wire.Renew) (wire.RenewReply, error)
	Ack(ctx context.Context, address string, msg wire.Ack) error
	Throttle(ctx context.Context, address string, msg wire.Throttle) error
	Checkpoint(ctx context.Context, address string, msg wire.Checkpoint) (wire.StopReply, error)
}

// Membership is told what workers say about themselves.
type Membership interface {
	ReportVM(vm string, incarnation int64, draining bool)
}

// Options configures an Owner. All fields are required.
type Options struct {
	Self           string
	View           view.Source
	Peers          peer.Caller
	Workers        Workers
	Membership     Membership
	Log            *event.Logger
	Now            func() time.Duration // boot clock
	Random         *rand.Rand           // used by the owner's goroutine only
	Calls          pond.Pool            // bounds the goroutines of calls
	ReportInterval time.Duration
}

// worker is one VM of an owned rack.
type worker struct {
	vm          view.VM
	unit        string
	epoch       int64 // of the unit when it was taken over
	fenced      bool  // the inventory under epoch was adopted
	incarnation int64
	capacity    resource.Vector
	clock       time.Duration // worker clock at the last report
	clockAt     time.Duration // boot clock when that report had arrived
	asking      bool          // a fence or report is in flight
	askedAt     time.Duration // boot clock
	renewing    bool
	renewedAt   time.Duration // boot clock
	fencing     bool          // the worker's pools say that it refuses stale epochs
	draining    bool
	foreign     int64               // slots busy with requests that earlier owners lent for
	attempts    map[string]*attempt // tasks that may run or whose end is not recorded yet
}

// attempt is one task attempt on a worker.
type attempt struct {
	task        wire.Attempt // id, generation, job, state, resources, result
	class       string
	leaseUntil  time.Duration // boot clock; the worker has surely stopped it then
	reservation int64         // set while the attempt is only reserved
	expires     time.Duration // boot clock; end of the reservation
	starting    bool          // a start may be on its way
	begunAt     time.Duration // boot clock when the start was sent; 0 for attempts of an earlier owner
	expectedEnd time.Duration // boot clock; 0 is unknown
	startedAt   time.Duration // boot clock when the worker's answer to the start had arrived
	noticeAt    time.Duration // when its end is told next
	noticing    bool
}

// ended reports whether the end of the attempt is known.
func (a *attempt) ended() bool {
	return a.task.State == wire.RunFinished || a.task.State == wire.RunFailed || a.task.State == wire.RunStopped
}

// notAfter returns the last instant on the worker's clock at which something that
// is sent now may begin. The worker's clock is estimated from below, so the limit
// errs on the early side.
func (w *worker) notAfter(now time.Duration) int64 {
	return (w.clock + slowest(now-w.clockAt) + startValidity).Milliseconds()
}
