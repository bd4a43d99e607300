package peer

import (
	"briarproxy/core/fault"
	"briarproxy/core/wire"
)

// Handler is what a daemon does for its peers. Each method is called on its own
// goroutine. Errors should be of the kinds of package fault.
type Handler interface {
	Ping(args *wire.PingArgs, reply *wire.PingReply) error
	Borrow(args *wire.BorrowArgs, reply *wire.BorrowReply) error
	Forward(args *wire.ForwardArgs, reply *wire.ForwardReply) error
	Job(args *wire.JobArgs, reply *wire.JobReply) error
	Reserve(args *wire.ReserveArgs, reply *wire.ReserveReply) error
	StartReserved(args *wire.StartArgs, reply *wire.StartReplyBatch) error
	Release(args *wire.ReleaseArgs, reply *bool) error
	StopTasks(args *wire.StopArgs, reply *wire.StopReplyBatch) error
	TaskEnded(args *wire.TaskEndedArgs, reply *wire.TaskEndedReply) error
	Summary(args *wire.SummaryArgs, reply *wire.SummaryReply) error
	ConfigSince(args *wire.ConfigSinceArgs, reply *wire.ConfigSinceReply) error
	Quota(args *wire.QuotaArgs, reply *wire.QuotaReply) error
}

// dispatch calls the handler's method without the network.
func dispatch(h Handler, method string, args, reply any) error {
	switch method {
	case wire.RPCPing:
		return call(h.Ping, args, reply)
	case wire.RPCBorrow:
		return call(h.Borrow, args, reply)
	case wire.RPCForward:
		return call(h.Forward, args, reply)
	case wire.RPCJob:
		return call(h.Job, args, reply)
	case wire.RPCReserve:
		return call(h.Reserve, args, reply)
	case wire.RPCStart:
		return call(h.StartReserved, args, reply)
	case wire.RPCRelease:
		return call(h.Release, args, reply)
	case wire.RPCStopTasks:
		return call(h.StopTasks, args, reply)
	case wire.RPCTaskEnded:
		return call(h.TaskEnded, args, reply)
	case wire.RPCSummary:
		return call(h.Summary, args, reply)
	case wire.RPCConfigSince:
		return call(h.ConfigSince, args, reply)
	case wire.RPCQuota:
		return call(h.Quota, args, reply)
	default:
		return unknownMethod(method)
	}
}

func unknownMethod(method string) error {
	return fault.New(fault.Refused, "run daemons of releases that know this method", "no RPC method %q", method)
}

func call[A, R any](method func(*A, *R) error, args, reply any) error {
	a, okArgs := args.(*A)
	r, okReply := reply.(*R)
	if !okArgs || !okReply {
		return fault.New(fault.Internal, "report this as a bug", "RPC called with %T and %T", args, reply)
	}
	return method(a, r)
}
