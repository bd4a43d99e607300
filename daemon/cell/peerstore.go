package cell

import (
	"context"
	"time"

	"briarproxy/core/cluster"
	"briarproxy/core/fault"
)

// Methods with which a daemon reaches the store for another one.
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

// AppendReply answers AppendArgs. Failure is the kind of the error; "" is none.
type AppendReply struct {
	Offset  int64
	Failure string
}

// SubmitArgs asks the placer to append callers' records with those of other daemons.
type SubmitArgs struct {
	Records [][]byte
	Within  time.Duration
}

// SubmitReply answers SubmitArgs. Failures has the kind of each record's error, in the order
// of the records; "" is none. The records may go into several appends, so one may be stored
// and the next one not.
type SubmitReply struct{ Failures []string }

// Submit appends callers' records of another daemon.
func (s *peerService) Submit(args *SubmitArgs, reply *SubmitReply) (err error) {
	defer recoverAsError(&err)
	for _, outcome := range s.submit(args.Records, args.Within) {
		reply.Failures = append(reply.Failures, failureName(outcome))
	}
	return nil
}

// outcome returns the error of the record at an index. A reply that does not tell of it, as
// one from a daemon of another version, leaves it unknown.
func (r *SubmitReply) outcome(index int) error {
	if index >= len(r.Failures) {
		return fault.New(fault.Unknown, "append the record again; the first copy counts", "the placer did not say what became of record %d of %d", index, len(r.Failures))
	}
	return remoteError(nil, r.Failures[index], fault.Unknown)
}

// ReadArgs asks a daemon to read the log or what is published from a position on.
type ReadArgs struct {
	Partition int
	From      int64
	Wait      time.Duration
	Within    time.Duration
}

// ReadReply answers Cell.Read.
type ReadReply struct {
	Page    cluster.LogPage
	Failure string
}

// EndReply answers Cell.End.
type EndReply struct {
	End     int64
	Failure string
}

// ConfigurationReply answers Cell.Configuration.
type ConfigurationReply struct {
	Some    bool // there is a newer configuration
	Config  cluster.Configuration
	Next    int64
	Failure string
}

// WorkersReply answers Cell.Workers.
type WorkersReply struct {
	Workers  []cluster.Worker
	Unusable []string
	Failure  string
}

// handlerContext bounds what is done for another daemon by the time that its caller waits.
func handlerContext(within time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), within)
}

// Append appends records for another daemon. It never goes through a third one.
func (s *peerService) Append(args *AppendArgs, reply *AppendReply) (err error) {
	defer recoverAsError(&err)
	ctx, cancel := handlerContext(args.Within)
	defer cancel()
	offset, err := s.store.Append(ctx, args.Partition, args.Records, args.Fence)
	reply.Offset, reply.Failure = offset, failureName(err)
	return nil
}

// Read reads the log for another daemon.
func (s *peerService) Read(args *ReadArgs, reply *ReadReply) (err error) {
	defer recoverAsError(&err)
	ctx, cancel := handlerContext(args.Within)
	defer cancel()
	page, err := s.store.Read(ctx, args.Partition, args.From, args.Wait)
	reply.Page, reply.Failure = page, failureName(err)
	return nil
}

// End reads for another daemon where the log ends.
func (s *peerService) End(args *ReadArgs, reply *EndReply) (err error) {
	defer recoverAsError(&err)
	ctx, cancel := handlerContext(args.Within)
	defer cancel()
	end, err := s.store.End(ctx, args.Partition, args.From)
	reply.End, reply.Failure = end, failureName(err)
	return nil
}

// Configuration reads what the operator published for another daemon.
func (s *peerService) Configuration(args *ReadArgs, reply *ConfigurationReply) (err error) {
	defer recoverAsError(&err)
	ctx, cancel := handlerContext(args.Within)
	defer cancel()
	config, next, err := s.store.Configuration(ctx, args.From, args.Wait)
	reply.Next, reply.Failure = next, failureName(err)
	if config != nil {
		reply.Some, reply.Config = true, *config
	}
	return nil
}

// Workers reads the registry for another daemon.
func (s *peerService) Workers(args *ReadArgs, reply *WorkersReply) (err error) {
	defer recoverAsError(&err)
	ctx, cancel := handlerContext(args.Within)
	defer cancel()
	workers, unusable, err := s.store.Workers(ctx)
	reply.Workers, reply.Unusable, reply.Failure = workers, unusable, failureName(err)
	return nil
}
