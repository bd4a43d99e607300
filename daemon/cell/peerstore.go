package cell

import (
	"context"
	"time"

	"briarproxy/core/cluster"
)

// Methods with which a daemon reaches the store for another one.
const (
	appendMethod        = "Cell.Append"
	readMethod          = "Cell.Read"
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

// SubmitReply answers SubmitArgs.
type SubmitReply struct{ Failure string }

// Submit appends callers' records of another daemon.
func (s *peerService) Submit(args *SubmitArgs, reply *SubmitReply) (err error) {
	defer recoverAs(&err)
	reply.Failure = failure(s.submit(args.Records, args.Within))
	return nil
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

// limited bounds what is done for another daemon by the time that its caller waits.
func limited(within time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), within)
}

// Append appends records for another daemon. It never goes through a third one.
func (s *peerService) Append(args *AppendArgs, reply *AppendReply) (err error) {
	defer recoverAs(&err)
	ctx, cancel := limited(args.Within)
	defer cancel()
	offset, err := s.store.Append(ctx, args.Partition, args.Records, args.Fence)
	reply.Offset, reply.Failure = offset, failure(err)
	return nil
}

// Read reads the log for another daemon.
func (s *peerService) Read(args *ReadArgs, reply *ReadReply) (err error) {
	defer recoverAs(&err)
	ctx, cancel := limited(args.Within)
	defer cancel()
	page, err := s.store.Read(ctx, args.Partition, args.From, args.Wait)
	reply.Page, reply.Failure = page, failure(err)
	return nil
}

// Configuration reads what the operator published for another daemon.
func (s *peerService) Configuration(args *ReadArgs, reply *ConfigurationReply) (err error) {
	defer recoverAs(&err)
	ctx, cancel := limited(args.Within)
	defer cancel()
	config, next, err := s.store.Configuration(ctx, args.From, args.Wait)
	reply.Next, reply.Failure = next, failure(err)
	if config != nil {
		reply.Some, reply.Config = true, *config
	}
	return nil
}

// Workers reads the registry for another daemon.
func (s *peerService) Workers(args *ReadArgs, reply *WorkersReply) (err error) {
	defer recoverAs(&err)
	ctx, cancel := limited(args.Within)
	defer cancel()
	workers, unusable, err := s.store.Workers(ctx)
	reply.Workers, reply.Unusable, reply.Failure = workers, unusable, failure(err)
	return nil
}
