package shard

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"briarproxy/core/fault"
	"briarproxy/core/job"
	"briarproxy/core/wire"
	"briarproxy/daemon/view"
)

// place asks rack owners for room for the groups that are ready.
func (r *runner) place(now time.Duration) {
	if r.jobs.Waiting() == 0 || !r.leased() {
		return
	}
	r.owners.refresh()
	if !r.owners.known() {
		return // tried again in the next tick
	}
	batches := map[string]*reservation{}
	for _, g := range r.jobs.NextGroups(now, maxGroupsPerTick) {
		r.assign(g, now, batches)
	}
	for _, b := range batches {
		r.reserve(b)
	}
}

// reservation is one call to a rack owner: a batch of single tasks, or one gang.
type reservation struct {
	owner  string
	gang   bool
	split  bool // the gang is spread over several owners, because none has room for all of it
	asked  int  // tasks in the last call
	groups []job.Group
	tried  map[string]bool        // gang: owners asked in this round
	held   map[string]heldByOwner // gang: task id -> room held at owners asked before
}

type heldByOwner struct {
	owner string
	room  wire.Reservation
}

func (r *runner) assign(g job.Group, now time.Duration, batches map[string]*reservation) {
	d := g.Job.Definition
	total := d.Resources.Scale(int64(len(g.Tasks)))
	owner := r.owners.choose(d.Pool, d.Resources, total, now, nil)
	if owner == "" {
		r.deferred(g, "no rack owner that was asked has room in pool "+d.Pool, now)
		return
	}
	if !r.teams.take(g, now) {
		r.deferred(g, "the quota of team "+d.Team+" is used up, or its owner does not answer", now)
		return
	}
	if d.Gang {
		batches["gang "+g.Job.ID] = &reservation{owner: owner, gang: true, groups: []job.Group{g}, tried: map[string]bool{}, held: map[string]heldByOwner{}}
		return
	}
	if batches[owner] == nil {
		batches[owner] = &reservation{owner: owner}
	}
	batches[owner].groups = append(batches[owner].groups, g)
}

// deferred puts a group back that no known owner has room for. It costs no call, so
// it is tried again soon and without a growing backoff.
func (r *runner) deferred(g job.Group, reason string, now time.Duration) {
	r.noteWait(g, reason)
	r.jobs.Defer(g, reason, now)
}

// waits puts a group back that an owner has refused.
func (r *runner) waits(g job.Group, reason string, now time.Duration) {
	r.noteWait(g, reason)
	r.jobs.NoRoom(g, reason, now)
}

// noteWait records why a group waits, once for each reason.
func (r *runner) noteWait(g job.Group, reason string) {
	if g.Job.Tasks[g.Tasks[0]].Reason == reason {
		return
	}
	r.note(g.Job.ID, "waits", reason)
	r.Log.Emit(eventWaits, "job", g.Job.ID, "tasks", len(g.Tasks), "class", g.Job.Definition.Class, "reason", reason)
}

// reserve asks one owner. A gang is asked for as a whole first, then task by task
// at several owners; room is only ever tried for, never waited for while room is
// held elsewhere, so two gangs can't block one another.
func (r *runner) reserve(b *reservation) {
	args := &wire.ReserveArgs{
		From: r.Self, Shard: r.shard, ShardEpoch: r.epoch, TTLMS: reservationTTL.Milliseconds(),
	}
	for _, g := range b.groups {
		for _, i := range g.Tasks {
			if _, held := b.held[job.TaskID(g.Job.ID, i)]; !held {
				args.Asks = append(args.Asks, taskAsk(g.Job, i))
			}
		}
	}
	if b.split {
		args.Asks = r.part(b, args.Asks)
	}
	b.asked = len(args.Asks)
	r.Calls.Go(func() {
		ctx, cancel := context.WithTimeout(r.ctx, callTimeout)
		defer cancel()
		var reply wire.ReserveReply
		err := r.Peers.Call(ctx, b.owner, wire.RPCReserve, args, &reply)
		_ = r.send(reserved{batch: b, reply: reply, err: err})
	})
}

// part returns the requests of one call for a split gang. As long as the gang does
// not use its minimum of racks, a call asks for at most an equal part of the gang,
// and not on racks that are used already.
func (r *runner) part(b *reservation, asks []wire.TaskAsk) []wire.TaskAsk {
	d := b.groups[0].Job.Definition
	snapshot := r.View.Current()
	used := racksOf(snapshot, b.held)
	var avoid []string
	if len(used) < d.MinRacks {
		whole := len(b.groups[0].Tasks)
		asks = asks[:min(len(asks), (whole+d.MinRacks-1)/d.MinRacks)]
		for name, vm := range snapshot.VMs {
			if used[wire.RackUnit(vm.DataCentre, vm.Rack)] {
				avoid = append(avoid, name)
			}
		}
	}
	for i := range asks {
		asks[i].Gang = ""
		asks[i].AvoidVMs = append(slices.Clone(asks[i].AvoidVMs), avoid...)
	}
	return asks
}

// racksOf returns the rack units on which room is held.
func racksOf(snapshot *view.Snapshot, held map[string]heldByOwner) map[string]bool {
	racks := map[string]bool{}
	for _, room := range held {
		vm := snapshot.VMs[room.room.VM]
		racks[wire.RackUnit(vm.DataCentre, vm.Rack)] = true
	}
	return racks
}

func taskAsk(j *job.Job, index int) wire.TaskAsk {
	d := j.Definition
	t := j.Tasks[index]
	ask := wire.TaskAsk{
		TaskID: job.TaskID(j.ID, index), Job: j.ID, Generation: t.Generation + 1, Pool: d.Pool,
		Class: d.Class, Priority: d.Priority, Team: d.Team, Resources: d.Resources, RunMS: d.RunMS,
		AvoidVMs: t.FailedOn, SpreadRacks: d.SpreadRacks, Preemptible: d.Preemptible,
		CanPreempt: d.CanPreempt, CheckpointOK: d.Checkpoint, Operation: d.Operation,
	}
	if d.Gang {
		ask.Gang = j.ID
		ask.MinRacks = d.MinRacks
	}
	return ask
}

// reserved is a rack owner's answer.
type reserved struct {
	batch *reservation
	reply wire.ReserveReply
	err   error
}

func (m reserved) handle(r *runner) {
	rooms := map[string]heldByOwner{}
	for _, room := range m.reply.Reservations {
		rooms[room.TaskID] = heldByOwner{owner: m.batch.owner, room: room}
	}
	if m.err != nil {
		r.owners.shared.forget(m.batch.owner)
	}
	if m.batch.gang {
		r.gangReserved(m, rooms)
		return
	}
	var granted []job.Group
	for _, g := range m.batch.groups {
		if _, ok := rooms[job.TaskID(g.Job.ID, g.Tasks[0])]; ok {
			granted = append(granted, g)
		} else {
			r.waits(g, m.reason(), r.Now())
		}
	}
	r.logIntents(granted, rooms, m.reason())
}

// reason describes why an owner refused.
func (m reserved) reason() string {
	if m.err != nil {
		return fmt.Sprintf("daemon %s did not answer: %v", m.batch.owner, m.err)
	}
	parts := make([]string, 0, len(m.reply.Refused))
	for _, refused := range m.reply.Refused {
		parts = append(parts, fmt.Sprintf("%d %s", refused.Count, refused.Reason))
	}
	return fmt.Sprintf("daemon %s refused: %s", m.batch.owner, strings.Join(parts, ", "))
}

// gangReserved goes on to another owner until every task has room on enough racks,
// or gives all room back.
func (r *runner) gangReserved(m reserved, rooms map[string]heldByOwner) {
	b, g := m.batch, m.batch.groups[0]
	for id, room := range rooms {
		b.held[id] = room
	}
	racks := len(racksOf(r.View.Current(), b.held))
	if len(b.held) == len(g.Tasks) && (!b.split || racks >= g.Job.Definition.MinRacks) {
		r.logIntents(b.groups, b.held, m.reason())
		return
	}
	if !b.split || len(rooms) < b.asked {
		b.tried[b.owner] = true
	}
	next := r.nextOwner(b, g)
	if next != "" && m.err == nil && len(b.held) < len(g.Tasks) {
		b.owner = next
		r.reserve(b)
		return
	}
	r.release(b.held)
	r.waits(g, fmt.Sprintf("the gang found room for %d of %d tasks on %d racks; last: %s", len(b.held), len(g.Tasks), racks, m.reason()), r.Now())
}

// nextOwner chooses the next owner for a gang. When none is left to try for the
// whole gang, the gang is split.
func (r *runner) nextOwner(b *reservation, g job.Group) string {
	d := g.Job.Definition
	missing := d.Resources.Scale(int64(len(g.Tasks) - len(b.held)))
	next := r.owners.choose(d.Pool, d.Resources, missing, r.Now(), b.tried)
	if next == "" && !b.split {
		b.split = true
		b.tried = map[string]bool{}
		next = r.owners.choose(d.Pool, d.Resources, missing, r.Now(), b.tried)
	}
	return next
}

func (r *runner) release(rooms map[string]heldByOwner) {
	byOwner := map[string][]int64{}
	for _, room := range rooms {
		byOwner[room.owner] = append(byOwner[room.owner], room.room.ID)
	}
	for owner, ids := range byOwner {
		r.Calls.Go(func() {
			ctx, cancel := context.WithTimeout(r.ctx, callTimeout)
			defer cancel()
			var done bool // an answer that is lost does no harm: reservations expire
			_ = r.Peers.Call(ctx, owner, wire.RPCRelease, &wire.ReleaseArgs{From: r.Self, IDs: ids}, &done)
		})
	}
}

// logIntents appends the start records of all groups in one record.
func (r *runner) logIntents(groups []job.Group, rooms map[string]heldByOwner, refused string) {
	var records []job.Record
	for _, g := range groups {
		places := make([]job.Place, len(g.Tasks))
		for n, i := range g.Tasks {
			room := rooms[job.TaskID(g.Job.ID, i)]
			places[n] = job.Place{VM: room.room.VM, Incarnation: room.room.Incarnation}
			r.Log.Emit(eventPlaced, "task", job.TaskID(g.Job.ID, i), "class", g.Job.Definition.Class, "vm", room.room.VM, "rack", room.room.Rack, "owner", room.owner, "alternatives", refused)
		}
		r.note(g.Job.ID, "placed", fmt.Sprintf("tasks %v on %v", g.Tasks, places))
		records = append(records, r.jobs.Reserved(g, places)...)
	}
	if len(records) == 0 {
		return
	}
	r.append(jobEntries(records), func(err error) { r.intentsLogged(groups, rooms, records, err) })
}

func (r *runner) intentsLogged(groups []job.Group, rooms map[string]heldByOwner, records []job.Record, err error) {
	if err == nil && !r.leased() {
		err = fault.New(fault.NotOwner, "none; the next owner starts the tasks", "the lease expired while the start records were appended")
	}
	if err != nil {
		r.Log.Emit(eventUnlogged, "shard", r.shard, "records", len(records), "error", err.Error())
		for _, g := range groups {
			r.jobs.NotLogged(g, r.Now())
		}
		r.release(rooms)
		return
	}
	r.start(rooms, records)
}

// start sends the starts to the owners that hold the room.
func (r *runner) start(rooms map[string]heldByOwner, records []job.Record) {
	byOwner := map[string]*wire.StartArgs{}
	for _, record := range records {
		in := record.Intent
		room := rooms[job.TaskID(in.Job, in.Index)]
		if !r.jobs.Startable(in.Job, in.Index, in.Generation) {
			r.release(map[string]heldByOwner{"": room})
			continue
		}
		args := byOwner[room.owner]
		if args == nil {
			args = &wire.StartArgs{From: r.Self, Shard: r.shard, ShardEpoch: r.epoch}
			byOwner[room.owner] = args
		}
		args.Starts = append(args.Starts, wire.ReservedStart{ReservationID: room.room.ID, Start: startOf(r.jobs.Get(in.Job), *in)})
	}
	for owner, args := range byOwner {
		r.callStart(owner, args)
	}
}

func startOf(j *job.Job, in job.Intent) wire.Start {
	d := j.Definition
	return wire.Start{
		ID: job.TaskID(in.Job, in.Index), Generation: in.Generation, Kind: wire.KindTask, Job: j.ID,
		Service: d.Service, Operation: d.Operation, Resources: d.Resources, RunMS: d.RunMS, Body: j.Body,
	}
}

func (r *runner) callStart(owner string, args *wire.StartArgs) {
	r.Calls.Go(func() {
		ctx, cancel := context.WithTimeout(r.ctx, callTimeout)
		defer cancel()
		var reply wire.StartReplyBatch
		err := r.Peers.Call(ctx, owner, wire.RPCStart, args, &reply)
		_ = r.send(startAnswer{args: args, reply: reply, err: err})
	})
}

// startAnswer is a rack owner's answer to starts.
type startAnswer struct {
	args  *wire.StartArgs
	reply wire.StartReplyBatch
	err   error
}

func (m startAnswer) handle(r *runner) {
	outcomes := map[string]wire.StartOutcome{}
	for _, o := range m.reply.Outcomes {
		outcomes[o.TaskID] = o
	}
	var ended []endedAttempt
	for _, s := range m.args.Starts {
		name, index, _ := job.ParseTaskID(s.Start.ID)
		o, answered := outcomes[s.Start.ID]
		switch {
		case m.err != nil || !answered || o.Unknown:
			r.jobs.StartUnknown(name, index, s.Start.Generation)
		case o.Started:
			r.started(name, index, s.Start.Generation)
		default:
			r.note(name, "start refused", string(o.Refused)+" on "+o.VM)
			ended = append(ended, endedAttempt{id: s.Start.ID, generation: s.Start.Generation, state: wire.RunNeverStarted})
		}
	}
	r.recordEnds(ended, nil)
}

func (r *runner) started(name string, index int, generation int64) {
	r.jobs.Started(name, index, generation)
	r.wake(name)
	if j := r.jobs.Get(name); j != nil {
		r.Observer.TaskStarted(j.Definition.Class, time.Duration(r.WallMS()-j.AtMS)*time.Millisecond)
	}
}
