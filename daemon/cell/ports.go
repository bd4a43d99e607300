package cell

import (
	"context"
	"net/http"
	"time"

	"briarproxy/core/cluster"
	"briarproxy/core/flow"
)

// Log is the platform's log. Errors of kind fault.Refused and fault.Unavailable mean
// that nothing was done, fault.Conflict that a newer epoch was used, fault.Unknown that
// the records may be there.
type Log interface {
	Append(ctx context.Context, partition int, records [][]byte, fence *cluster.Fence) (int64, error)
	Read(ctx context.Context, partition int, from int64, wait time.Duration) (cluster.LogPage, error)
	End(ctx context.Context, partition int, from int64) (int64, error) // offset of the next append, as cheap as a call can be; from should be near it
}

// Snapshots keeps the newest snapshot of what a partition of the log says, for longer
// than the log keeps its records, in partitions of its own. A fence holds for one of them.
// Errors are those of Log.
type Snapshots interface {
	Save(ctx context.Context, partition int, entries []cluster.Entry, fence *cluster.Fence) (int64, error)
	// SavedAfterKey returns the newest entries of the first keys behind a key, as many as one answer
	// holds; SavedFromOffset what was written from an offset on, within a number of bytes.
	SavedAfterKey(ctx context.Context, partition int, after string) (map[string][]byte, error)
	SavedFromOffset(ctx context.Context, partition int, from int64, bytes int) (entries []cluster.Entry, expired bool, err error)
}

// Registry lists what the operator published and which workers there are.
type Registry interface {
	Configuration(ctx context.Context, position int64, wait time.Duration) (*cluster.Configuration, int64, error)
	Workers(ctx context.Context) (workers []cluster.Worker, unusable []string, err error)
}

// Workers carries orders to workers.
type Workers interface {
	Start(ctx context.Context, life cluster.Life, address string, s *cluster.Start) (cluster.StartResult, int64)
	Stop(ctx context.Context, life cluster.Life, address string, run cluster.RunID, token int64) (cluster.StartResult, int64)
	Pace(ctx context.Context, life cluster.Life, address string, run cluster.RunID, percent int, token int64) (cluster.StartResult, int64)
	RenewLease(ctx context.Context, life cluster.Life, address string, h *cluster.LeaseRenewal) (*cluster.WorkerReport, error)
}

// Adviser knows which workers may run a step.
type Adviser interface {
	Advise(ctx context.Context, step cluster.StepID, workers []string) ([]cluster.Grant, time.Duration, error)
}

// Platform is all that a daemon needs of its platform.
type Platform interface {
	Log
	Snapshots
	Registry
	Workers
	Adviser
	CallerCodec
	Observe(told func(cluster.Call)) // before the first call
}

// CallerCodec is the form of the callers' requests and answers.
type CallerCodec interface {
	DecodeJob(body []byte) (flow.Submit, error)
	EncodeState(p flow.Phase) []byte
	EncodePending(n int) []byte
	CallerDeadline(r *http.Request) time.Duration // 0 is not said
}
