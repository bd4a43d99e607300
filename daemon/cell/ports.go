package cell

import (
	"context"
	"net/http"
	"time"

	"briarproxy/core/cluster"
	"briarproxy/core/flow"
)

// Log is the platform's log. Errors of kind fault.Refused and fault.Unavailable mean that nothing
// was done, fault.Conflict that the log has seen a newer epoch of the fence, and fault.Unknown that
// the records may be stored.
type Log interface {
	Append(ctx context.Context, partition int, records [][]byte, fence *cluster.Fence) (int64, error)
	Read(ctx context.Context, partition int, from int64, wait time.Duration) (cluster.LogPage, error)
	// End returns the offset of the next append. It is the cheapest call if from is near that offset.
	End(ctx context.Context, partition int, from int64) (int64, error)
}

// Snapshots stores the newest snapshot of the state that is built from a partition of the log. It has
// its own partitions, which keep the newest entry of each key for longer than the log keeps records.
// A fence applies to one of these partitions. Errors are those of Log.
type Snapshots interface {
	Save(ctx context.Context, partition int, entries []cluster.Entry, fence *cluster.Fence) (int64, error)
	// SavedAfterKey returns the newest entries of the keys that follow a key, as many as one answer holds.
	SavedAfterKey(ctx context.Context, partition int, after string) (map[string][]byte, error)
	// SavedFromOffset returns the entries that were written from an offset on, up to a number of bytes.
	SavedFromOffset(ctx context.Context, partition int, from int64, maxBytes int) (entries []cluster.Entry, expired bool, err error)
}

// Registry reads the configuration that the operator published and the list of workers.
type Registry interface {
	Configuration(ctx context.Context, position int64, wait time.Duration) (*cluster.Configuration, int64, error)
	Workers(ctx context.Context) (workers []cluster.Worker, unusable []string, err error)
}

// Workers sends orders to workers.
type Workers interface {
	Start(ctx context.Context, life cluster.Life, address string, order *cluster.Start) (cluster.StartResult, int64)
	Stop(ctx context.Context, life cluster.Life, address string, run cluster.RunID, token int64) (cluster.StartResult, int64)
	Pace(ctx context.Context, life cluster.Life, address string, run cluster.RunID, percent int, token int64) (cluster.StartResult, int64)
	RenewLease(ctx context.Context, life cluster.Life, address string, renewal *cluster.LeaseRenewal) (*cluster.WorkerReport, error)
}

// Adviser asks the advice service which workers may run a step.
type Adviser interface {
	Advise(ctx context.Context, step cluster.StepID, workers []string) ([]cluster.Grant, time.Duration, error)
}

// Platform is everything that a daemon uses of its platform.
type Platform interface {
	Log
	Snapshots
	Registry
	Workers
	Adviser
	CallerCodec
	Observe(onCall func(cluster.Call)) // sets a callback for every call; must be called before the first of them
}

// CallerCodec decodes callers' requests and encodes the answers.
type CallerCodec interface {
	DecodeJob(body []byte) (flow.Submit, error)
	EncodeState(phase flow.Phase) []byte
	EncodePending(count int) []byte
	CallerKey(r *http.Request) string            // key of a workspace that the request carries; "" if it carries none
	CallerTimeout(r *http.Request) time.Duration // time limit that the request states; 0 if it states none
}
