package shard

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/alitto/pond/v2"

	"briarproxy/core/admission"
	"briarproxy/core/idempotency"
	"briarproxy/core/job"
	"briarproxy/core/wire"
	"briarproxy/daemon/event"
	"briarproxy/daemon/peer"
	"briarproxy/daemon/view"
)

// Times of a shard's owner.
const (
	tickInterval        = 20 * time.Millisecond
	idleTickInterval    = 200 * time.Millisecond // with nothing to do; 21 idle shards that tick every 20 ms took 2.4% of a core
	verifyInterval      = 500 * time.Millisecond
	stopInterval        = 250 * time.Millisecond
	housekeepInterval   = 30 * time.Second
	callTimeout         = 3 * time.Second  // calls to rack owners
	appendTimeout       = 10 * time.Second // until an append counts as unconfirmed
	reservationTTL      = 2 * time.Second
	keepFinished        = time.Hour // results of jobs and keys stay available
	retryAfterSeconds   = 2         // suggested to callers when a shard has no owner or the log is down
	logDownRetrySeconds = 5         // suggested to callers while the log is known to be down
	maxGroupsPerTick    = 128       // groups placed in one step
	maxAttemptsPerTry   = 512       // attempts verified or stopped in one step
)

// Open is the first record that an owner writes. Records of older epochs that
// follow it in the stream are ignored.
type Open struct {
	Owner string `json:"owner"`
}

// Entry is one record of a shard's stream. Exactly one field is set.
type Entry struct {
	Open      *Open                 `json:"open,omitempty"`
	Job       *job.Record           `json:"job,omitempty"`
	KeyIntent *idempotency.Intent   `json:"key_intent,omitempty"`
	KeyDone   *idempotency.Done     `json:"key_done,omitempty"`
	Key       *idempotency.Entry    `json:"key,omitempty"` // re-appended before its records expire
	Bound     *admission.QuotaBound `json:"quota_bound,omitempty"`
}

// Batch is what one call appends.
type Batch struct {
	Epoch   int64   `json:"epoch"` // of the shard's unit
	Seq     int64   `json:"seq"`   // rises with each batch of the epoch
	Entries []Entry `json:"entries"`
}

// Stream is the log stream of one shard.
type Stream interface {
	// Append queues an item behind those queued before it, without blocking, and
	// returns a function that waits for the outcome. A nil error means that it is in
	// the stream. An error of kind fault.Refused means that it is not and never will
	// be; with any other error it may be there, now or later.
	Append(item []byte) (wait func(ctx context.Context) error)
	// Replay hands over every item that is in the stream, in order.
	Replay(ctx context.Context, handle func(item []byte)) error
}

// Observer is told of task starts. Implementations must not block.
type Observer interface {
	TaskStarted(class string, waited time.Duration)
}

// Options configures a Manager. All fields are required.
type Options struct {
	Self      string
	View      view.Source
	Peers     peer.Caller
	Requests  Requests
	Stream    func(ctx context.Context, shard int) Stream // open until ctx ends
	Log       *event.Logger
	Observer  Observer
	Now       func() time.Duration // boot clock
	WallMS    func() int64         // Unix time, ms
	Random    func() *rand.Rand    // a new source for each shard
	Calls     pond.Pool            // bounds the goroutines of calls and appends
	Retention time.Duration        // time for which the log keeps records
}

// problem returns a problem of a job call.
func problem(status int, kind string, outcome wire.Outcome, retryAfter int64, detail, remedy string) *wire.Problem {
	return &wire.Problem{
		Type: kind, Title: kind, Status: status, Detail: detail,
		Outcome: outcome, Remedy: remedy, RetryAfter: retryAfter,
	}
}
