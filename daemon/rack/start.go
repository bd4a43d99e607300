package rack

import (
	"context"
	"time"

	"briarproxy/core/fault"
	"briarproxy/core/wire"
)

// StartReserved serves a shard owner that starts reserved tasks.
func (o *Owner) StartReserved(args *wire.StartArgs, reply *wire.StartReplyBatch) error {
	if len(args.Starts) > maxStartsInBatch*16 {
		return fault.New(fault.Refused, "send smaller batches", "%d starts in one call", len(args.Starts))
	}
	call := startCall{args: args, reply: make(chan startBatch, 1)}
	batch, err := ask(o, call, call.reply)
	if err != nil {
		return err
	}
	if batch.err != nil {
		return batch.err
	}
	reply.Outcomes = batch.refused
	for range batch.sent {
		select {
		case outcome := <-batch.outcomes:
			reply.Outcomes = append(reply.Outcomes, outcome)
		case <-o.done:
			return fault.New(fault.Unavailable, "ask the rack's next owner", "daemon %q has stopped", o.Self)
		}
	}
	return nil
}

// startBatch is what the owner's goroutine made of a call.
type startBatch struct {
	refused  []wire.StartOutcome
	sent     int
	outcomes chan wire.StartOutcome
	err      error
}

type startCall struct {
	args  *wire.StartArgs
	reply chan startBatch
}

func (m startCall) handle(o *Owner) {
	if err := o.checkShard(m.args.Shard, m.args.ShardEpoch); err != nil {
		m.reply <- startBatch{err: err}
		return
	}
	batch := startBatch{outcomes: make(chan wire.StartOutcome, len(m.args.Starts))}
	for i := range m.args.Starts {
		s := &m.args.Starts[i]
		if refused, ok := o.begin(s, batch.outcomes); ok {
			batch.sent++
		} else {
			batch.refused = append(batch.refused, wire.StartOutcome{TaskID: s.Start.ID, Generation: s.Start.Generation, Refused: refused})
		}
	}
	m.reply <- batch
}

// begin sends one reserved start, unless its reservation has expired or the worker
// may not be used any more.
func (o *Owner) begin(s *wire.ReservedStart, outcomes chan<- wire.StartOutcome) (wire.Refusal, bool) {
	now := o.Now()
	r, known := o.reservations[s.ReservationID]
	if !known || now >= r.attempt.expires || r.attempt.task.ID != s.Start.ID || r.attempt.task.Generation != s.Start.Generation {
		return wire.RefusedTooLate, false
	}
	w, a := r.worker, r.attempt
	if !w.fenced || !o.authorised(w, now) {
		o.discard(w, a)
		return wire.RefusedStaleEpoch, false
	}
	delete(o.reservations, s.ReservationID)
	a.reservation = 0
	a.starting = true
	a.task.State = wire.RunRunning
	a.leaseUntil = now + longest(startValidity+runLease)
	a.begunAt = now
	a.expectedEnd = now + o.sizes.RunTime(a.task.Operation, time.Duration(s.Start.RunMS)*time.Millisecond)
	start := s.Start
	start.Epoch = w.epoch
	start.Incarnation = w.incarnation
	start.NotAfterMS = w.notAfter(now)
	start.LeaseMS = runLease.Milliseconds()
	name, address := w.vm.Name, w.vm.Address
	o.Calls.Go(func() {
		ctx, cancel := context.WithTimeout(o.ctx, callTimeout)
		defer cancel()
		answer, err := o.Workers.Start(ctx, address, start)
		_ = o.send(startAnswer{vm: name, start: start, answer: answer, err: err, outcomes: outcomes})
	})
	return "", true
}

// startAnswer is a worker's answer to the start of a task.
type startAnswer struct {
	vm       string
	start    wire.Start
	answer   wire.StartReply
	err      error
	outcomes chan<- wire.StartOutcome
}

func (m startAnswer) handle(o *Owner) {
	outcome := wire.StartOutcome{TaskID: m.start.ID, Generation: m.start.Generation, VM: m.vm}
	switch {
	case m.err != nil || m.answer.Refused == wire.RefusedDuplicate:
		// A duplicate has run, or runs; asking the worker tells which.
		outcome.Unknown = true
		o.Log.Emit(eventUnsure, "task", m.start.ID, "generation", m.start.Generation, "vm", m.vm)
	case m.answer.Refused != "":
		outcome.Refused = m.answer.Refused
		o.Log.Emit(eventNoStart, "task", m.start.ID, "generation", m.start.Generation, "vm", m.vm, "reason", string(m.answer.Refused))
	default:
		outcome.Started = true
		o.Log.Emit(eventStarted, "task", m.start.ID, "generation", m.start.Generation, "vm", m.vm)
	}
	if w := o.workers[m.vm]; w != nil {
		o.noteStart(w, m, outcome)
	}
	m.outcomes <- outcome
}

// noteStart brings the worker's state up to date with the outcome of a start.
func (o *Owner) noteStart(w *worker, m startAnswer, outcome wire.StartOutcome) {
	a := w.attempts[m.start.ID]
	if a == nil || a.task.Generation != m.start.Generation {
		return
	}
	switch {
	case outcome.Started:
		a.starting = false
		a.startedAt = o.Now()
	case outcome.Refused != "":
		o.discard(w, a)
		o.noteRefusal(w, outcome.Refused)
	}
}

// noteRefusal draws conclusions about the worker from a refusal.
func (o *Owner) noteRefusal(w *worker, refused wire.Refusal) {
	switch refused {
	case wire.RefusedDraining:
		w.draining = true
		o.cell.SetDraining(w.vm.Name)
		o.Membership.ReportVM(w.vm.Name, w.incarnation, true)
	case wire.RefusedStaleEpoch, wire.RefusedWrongIncarnation:
		o.unfence(w)
		w.askedAt = 0
	}
}
