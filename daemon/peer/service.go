package peer

import "briarproxy/core/wire"

// service adapts a Handler to net/rpc. net/rpc keeps only the text of an error, so
// every method encodes its kind and remedy into that text.
type service struct{ handler Handler }

// Ping serves Peer.Ping.
func (s *service) Ping(args *wire.PingArgs, reply *wire.PingReply) error {
	return encodeError(s.handler.Ping(args, reply))
}

// Borrow serves Peer.Borrow.
func (s *service) Borrow(args *wire.BorrowArgs, reply *wire.BorrowReply) error {
	return encodeError(s.handler.Borrow(args, reply))
}

// Forward serves Peer.Forward.
func (s *service) Forward(args *wire.ForwardArgs, reply *wire.ForwardReply) error {
	return encodeError(s.handler.Forward(args, reply))
}

// Job serves Peer.Job.
func (s *service) Job(args *wire.JobArgs, reply *wire.JobReply) error {
	return encodeError(s.handler.Job(args, reply))
}

// Reserve serves Peer.Reserve.
func (s *service) Reserve(args *wire.ReserveArgs, reply *wire.ReserveReply) error {
	return encodeError(s.handler.Reserve(args, reply))
}

// StartReserved serves Peer.StartReserved.
func (s *service) StartReserved(args *wire.StartArgs, reply *wire.StartReplyBatch) error {
	return encodeError(s.handler.StartReserved(args, reply))
}

// Release serves Peer.Release.
func (s *service) Release(args *wire.ReleaseArgs, reply *bool) error {
	return encodeError(s.handler.Release(args, reply))
}

// StopTasks serves Peer.StopTasks.
func (s *service) StopTasks(args *wire.StopArgs, reply *wire.StopReplyBatch) error {
	return encodeError(s.handler.StopTasks(args, reply))
}

// TaskEnded serves Peer.TaskEnded.
func (s *service) TaskEnded(args *wire.TaskEndedArgs, reply *wire.TaskEndedReply) error {
	return encodeError(s.handler.TaskEnded(args, reply))
}

// Summary serves Peer.Summary.
func (s *service) Summary(args *wire.SummaryArgs, reply *wire.SummaryReply) error {
	return encodeError(s.handler.Summary(args, reply))
}

// ConfigSince serves Peer.ConfigSince.
func (s *service) ConfigSince(args *wire.ConfigSinceArgs, reply *wire.ConfigSinceReply) error {
	return encodeError(s.handler.ConfigSince(args, reply))
}

// Quota serves Peer.Quota.
func (s *service) Quota(args *wire.QuotaArgs, reply *wire.QuotaReply) error {
	return encodeError(s.handler.Quota(args, reply))
}
