package shard

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/fault"
	"briarproxy/core/resource"
	"briarproxy/core/wire"
)

// quotaTeam is a team whose quota belongs to the test shard.
var quotaTeam = func() string {
	for i := 0; ; i++ {
		if name := fmt.Sprint("team-", i); wire.TeamShard(name) == testShard {
			return name
		}
	}
}()

func lease(m *Manager, epoch, seq int64, holder string, want, held int64) (int64, error) {
	wish := wire.QuotaRequest{Team: quotaTeam, Want: resource.Vector{Slots: want}, Held: resource.Vector{Slots: held}}
	var reply wire.QuotaReply
	err := m.Quota(&wire.QuotaArgs{Holder: holder, Seq: seq, Shard: testShard, ShardEpoch: epoch, Wishes: []wire.QuotaRequest{wish}}, &reply)
	if err != nil || len(reply.Portions) == 0 {
		return 0, err
	}
	return reply.Portions[0].Amount.Slots, nil
}

// Guards against a quota that is leased twice: by an owner and its successor, or by
// an owner after its lease.
func TestSuccessorLeasesOnlyWhatIsHeld(t *testing.T) {
	c := newTestCell(t)
	first, stop := c.owner(1, time.Minute)
	seq := int64(0)
	require.Eventually(t, func() bool { // the bound is logged before the portion grows
		seq++
		got, err := lease(first, 1, seq, "a", 5, 0)
		return err == nil && got == 5
	}, 2*time.Second, time.Millisecond, "nobody owned the shard before")
	got, err := lease(first, 1, 1, "b", 5, 0)
	require.NoError(t, err)
	require.EqualValues(t, 3, got)
	stop()

	second, _ := c.owner(2, 300*time.Millisecond)
	got, err = lease(second, 2, 1, "a", 8, 5)
	require.NoError(t, err)
	require.EqualValues(t, 5, got, "the portion goes on and does not grow")
	got, err = lease(second, 2, 1, "c", 8, 0)
	require.NoError(t, err)
	require.Zero(t, got, "b may still use its portion")

	require.Eventually(t, func() bool {
		_, err := lease(second, 2, 2, "a", 5, 5)
		return fault.Is(err, fault.NotOwner)
	}, 2*time.Second, 20*time.Millisecond, "refused after the lease")
}

// rackPeers is a rack owner with room for everything, and the way to the owner of
// the team's quota.
type rackPeers struct {
	manager atomic.Pointer[Manager]
	mu      sync.Mutex
	running map[string]int64 // generation by task
	peak    int
	starts  int
}

func (p *rackPeers) Call(_ context.Context, _, method string, args, reply any) error {
	switch method {
	case wire.RPCQuota:
		return p.manager.Load().Quota(args.(*wire.QuotaArgs), reply.(*wire.QuotaReply))
	case wire.RPCSummary:
		room := resource.Vector{MilliCores: 64000, Slots: 64}
		reply.(*wire.SummaryReply).Pools = []wire.PoolSummary{{Pool: "p", Workers: 1, Usable: 1, Capacity: room, Free: room, Largest: room}}
	case wire.RPCReserve:
		for i, ask := range args.(*wire.ReserveArgs).Asks {
			r := reply.(*wire.ReserveReply)
			r.Reservations = append(r.Reservations, wire.Reservation{TaskID: ask.TaskID, Generation: ask.Generation, ID: int64(i + 1), VM: "vm"})
		}
	case wire.RPCStart:
		p.start(args.(*wire.StartArgs), reply.(*wire.StartReplyBatch))
	}
	return nil
}

func (p *rackPeers) start(args *wire.StartArgs, reply *wire.StartReplyBatch) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range args.Starts {
		p.running[s.Start.ID] = s.Start.Generation
		p.starts++
		reply.Outcomes = append(reply.Outcomes, wire.StartOutcome{TaskID: s.Start.ID, Generation: s.Start.Generation, Started: true})
	}
	p.peak = max(p.peak, len(p.running))
}

// endAll ends the running tasks and tells the shard.
func (p *rackPeers) endAll(t *testing.T) {
	p.mu.Lock()
	var ended []wire.EndedTask
	for id, generation := range p.running {
		ended = append(ended, wire.EndedTask{TaskID: id, Generation: generation, VM: "vm", State: wire.RunFinished, Result: &wire.Result{ID: id, Generation: generation, State: wire.RunFinished}})
		delete(p.running, id)
	}
	p.mu.Unlock()
	if len(ended) > 0 {
		require.NoError(t, p.manager.Load().TaskEnded(&wire.TaskEndedArgs{Ended: ended}, &wire.TaskEndedReply{}))
	}
}

// Guards against tasks that run above their team's quota, and against a quota that
// is not given back when tasks end.
func TestTasksStayWithinTheirTeamsQuota(t *testing.T) {
	c := newTestCell(t)
	rack := &rackPeers{running: map[string]int64{}}
	c.peers = rack
	m, _ := c.owner(1, time.Minute)
	rack.manager.Store(m)
	id := jobInShard(testShard)
	var reply wire.JobReply
	submit := &wire.JobArgs{Action: wire.JobSubmit, ID: id, Spec: &wire.JobSpec{ID: id, Template: "b", Team: quotaTeam, Tasks: 6}}
	require.NoError(t, m.Job(submit, &reply))
	require.Nil(t, reply.Problem)
	require.Eventually(t, func() bool {
		time.Sleep(100 * time.Millisecond) // longer than the placement of what is left takes
		rack.endAll(t)
		rack.mu.Lock()
		defer rack.mu.Unlock()
		return rack.starts == 6 && len(rack.running) == 0
	}, 15*time.Second, time.Millisecond)
	require.Equal(t, 2, rack.peak, "tasks of 1 core under a quota of 2 cores")
}
