package cell

import (
	"context"
	"time"

	"briarproxy/core/cluster"
	"briarproxy/core/fault"
)

// RPC methods with which a daemon calls the store on behalf of another one.
const (
	appendMethod        = "Cell.Append"
	readMethod          = "Cell.Read"
	endMethod           = "Cell.End"
	configurationMethod = "Cell.Configuration"
	workersMethod       = "Cell.Workers"
	submitMethod        = "Cell.Submit"
)

// AppendArgs asks a daemon to append records.
type AppendArgs struct {
	Partition int
	Records   [][]byte
	Fence     *cluster.Fence
	Within    time.Duration
}

// AppendReply answers AppendArgs. Failure names the kind of the error, as in all these replies; ""
// means no error.
type AppendReply struct {
	Offset  int64
	Failure string
}

// SubmitArgs asks the placer to append callers' records together with those of other daemons.
type SubmitArgs struct {
	Records [][]byte
	Within  time.Duration
}

// SubmitReply answers SubmitArgs. Failures names the kind of each record's error, in the order of
// the records; "" means that the record is stored. The records may go into several appends, so one
// may be stored and the next one not.
type SubmitReply struct{ Failures []string }

// Submit appends callers' records on behalf of another daemon.
func (s *peerService) Submit(args *SubmitArgs, reply *SubmitReply) (err error) {
	defer recoverAsError(&err)
	for _, recordErr := range s.submit(args.Records, args.Within) {
		reply.Failures = append(reply.Failures, failureName(recordErr))
	}
	return nil
}

// outcome returns the error of the record at an index. Its kind is fault.Unknown if the reply is too
// short to cover the record, as a reply from a daemon of another version may be.
func (r *SubmitReply) outcome(index int) error {
	if index >= len(r.Failures) {
		return fault.New(fault.Unknown, "append the record again; the first copy counts", "the placer's reply has no outcome for the record at index %d: it covers %d records", index, len(r.Failures))
	}
	return remoteError(nil, r.Failures[index], fault.Unknown)
}

// ReadArgs asks a daemon to read from the store: the log or the published configuration from a
// position on, the end of the log, or the registry of workers.
type ReadArgs struct {
	Partition int
	From      int64
	Wait      time.Duration
	Within    time.Duration
}

// ReadReply answers the method Read.
type ReadReply struct {
	Page    cluster.LogPage
	Failure string
}

// EndReply answers the method End.
type EndReply struct {
	End     int64
	Failure string
}

// ConfigurationReply answers the method Configuration.
type ConfigurationReply struct {
	Some    bool // Config is set: there is a configuration after the position asked for
	Config  cluster.Configuration
	Next    int64
	Failure string
	// Complete is set by every daemon that knows workspaces. One of an earlier version leaves them out of
	// Config, which would open queues that need a key.
	Complete bool
}

// WorkersReply answers the method Workers.
type WorkersReply struct {
	Workers  []cluster.Worker
	Unusable []string
	Failure  string
}

// handlerContext returns a context for work on behalf of another daemon, which ends when that daemon
// stops waiting.
func handlerContext(timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), timeout)
}

// Append appends records on behalf of another daemon. It calls the store directly, never through a
// third daemon.
func (s *peerService) Append(args *AppendArgs, reply *AppendReply) (err error) {
	defer recoverAsError(&err)
	ctx, cancel := handlerContext(args.Within)
	defer cancel()
	offset, err := s.store.Append(ctx, args.Partition, args.Records, args.Fence)
	reply.Offset, reply.Failure = offset, failureName(err)
	return nil
}

// Read reads the log on behalf of another daemon.
func (s *peerService) Read(args *ReadArgs, reply *ReadReply) (err error) {
	defer recoverAsError(&err)
	ctx, cancel := handlerContext(args.Within)
	defer cancel()
	page, err := s.store.Read(ctx, args.Partition, args.From, args.Wait)
	reply.Page, reply.Failure = page, failureName(err)
	return nil
}

// End reads the end of the log on behalf of another daemon.
func (s *peerService) End(args *ReadArgs, reply *EndReply) (err error) {
	defer recoverAsError(&err)
	ctx, cancel := handlerContext(args.Within)
	defer cancel()
	end, err := s.store.End(ctx, args.Partition, args.From)
	reply.End, reply.Failure = end, failureName(err)
	return nil
}

// Configuration reads the published configuration on behalf of another daemon. Each call reads the
// store anew, because the answer renews the key lease of the daemon that asks.
func (s *peerService) Configuration(args *ReadArgs, reply *ConfigurationReply) (err error) {
	defer recoverAsError(&err)
	ctx, cancel := handlerContext(args.Within)
	defer cancel()
	config, next, err := s.store.Configuration(ctx, args.From, args.Wait)
	reply.Next, reply.Failure, reply.Complete = next, failureName(err), true
	if config != nil {
		reply.Some, reply.Config = true, *config
	}
	return nil
}

// Workers reads the registry of workers on behalf of another daemon.
func (s *peerService) Workers(args *ReadArgs, reply *WorkersReply) (err error) {
	defer recoverAsError(&err)
	ctx, cancel := handlerContext(args.Within)
	defer cancel()
	workers, unusable, err := s.store.Workers(ctx)
	reply.Workers, reply.Unusable, reply.Failure = workers, unusable, failureName(err)
	return nil
}
