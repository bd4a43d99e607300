package router

import (
	"context"
	"time"

	"briarproxy/core/wire"
	"briarproxy/daemon/event"
)

// ackEvery is the time between acknowledgements to a worker. It is longer than the
// validity of a start, so that a worker never forgets an attempt of which a late
// copy could still begin.
const ackEvery = startValidity + time.Second

// maxAckBatch bounds the ids in one acknowledgement, and ackBacklog those that
// wait to be taken over by the acknowledging goroutine.
const (
	maxAckBatch = 512
	ackBacklog  = 4096
)

// acker tells workers in batches which results have reached their callers.
type acker struct {
	workers Workers
	log     *event.Logger
	inbox   chan ackItem
}

type ackItem struct {
	address string
	attempt wire.AttemptID
}

func newAcker(workers Workers, log *event.Logger) *acker {
	return &acker{workers: workers, log: log, inbox: make(chan ackItem, ackBacklog)}
}

// Ack lets the worker of the slot forget the result of a request. Shard owners
// call it after the outcome is in their log.
func (r *Router) Ack(slot *Slot, id string, generation int64) {
	select {
	case r.acks.inbox <- ackItem{slot.Address, wire.AttemptID{ID: id, Generation: generation}}:
	default: // the worker forgets the result by its own limit
	}
}

// serve collects ids for one period and sends them at the end of the next one.
func (a *acker) serve(ctx context.Context) {
	ticker := time.NewTicker(ackEvery)
	defer ticker.Stop()
	fresh, aged := map[string][]wire.AttemptID{}, map[string][]wire.AttemptID{}
	for {
		select {
		case item := <-a.inbox:
			fresh[item.address] = append(fresh[item.address], item.attempt)
		case <-ticker.C:
			a.flush(ctx, aged)
			fresh, aged = map[string][]wire.AttemptID{}, fresh
		case <-ctx.Done():
			return
		}
	}
}

func (a *acker) flush(ctx context.Context, batches map[string][]wire.AttemptID) {
	for address, ids := range batches {
		for len(ids) > 0 {
			n := min(len(ids), maxAckBatch)
			if err := a.workers.Ack(ctx, address, wire.Ack{Attempts: ids[:n]}); err != nil {
				a.log.Emit(eventAckFailed, "worker", address, "reason", err.Error())
				break
			}
			ids = ids[n:]
		}
	}
}
