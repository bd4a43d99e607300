package node

import (
	"briarproxy/core/wire"
	"briarproxy/daemon/control"
	"briarproxy/daemon/rack"
	"briarproxy/daemon/shard"
	"briarproxy/daemon/view"
)

// handler serves calls of other daemons.
type handler struct {
	view    view.Source
	control *control.Control
	racks   *rack.Owner
	shards  *shard.Manager
}

func (h *handler) Ping(_ *wire.PingArgs, reply *wire.PingReply) error {
	s := h.view.Current()
	*reply = wire.PingReply{Name: s.Self.Name, Incarnation: s.Self.Incarnation, ConfigVersion: s.ConfigVersion}
	return nil
}

func (h *handler) Borrow(args *wire.BorrowArgs, reply *wire.BorrowReply) error {
	return h.racks.Borrow(args, reply)
}

func (h *handler) Forward(args *wire.ForwardArgs, reply *wire.ForwardReply) error {
	return h.shards.Forward(args, reply)
}

func (h *handler) Job(args *wire.JobArgs, reply *wire.JobReply) error {
	return h.shards.Job(args, reply)
}

func (h *handler) Reserve(args *wire.ReserveArgs, reply *wire.ReserveReply) error {
	return h.racks.Reserve(args, reply)
}

func (h *handler) StartReserved(args *wire.StartArgs, reply *wire.StartReplyBatch) error {
	return h.racks.StartReserved(args, reply)
}

func (h *handler) Release(args *wire.ReleaseArgs, reply *bool) error {
	return h.racks.Release(args, reply)
}

func (h *handler) StopTasks(args *wire.StopArgs, reply *wire.StopReplyBatch) error {
	return h.racks.StopTasks(args, reply)
}

func (h *handler) TaskEnded(args *wire.TaskEndedArgs, reply *wire.TaskEndedReply) error {
	return h.shards.TaskEnded(args, reply)
}

func (h *handler) Summary(args *wire.SummaryArgs, reply *wire.SummaryReply) error {
	return h.racks.Summary(args, reply)
}

func (h *handler) ConfigSince(args *wire.ConfigSinceArgs, reply *wire.ConfigSinceReply) error {
	return h.control.ConfigSince(args, reply)
}

func (h *handler) Quota(args *wire.QuotaArgs, reply *wire.QuotaReply) error {
	return h.shards.Quota(args, reply)
}
