package shard

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/stretchr/testify/require"

	"briarproxy/core/fault"
	"briarproxy/core/object"
	"briarproxy/core/resource"
	"briarproxy/core/wire"
	"briarproxy/daemon/bootclock"
	"briarproxy/daemon/event"
	"briarproxy/daemon/peer"
	"briarproxy/daemon/router"
	"briarproxy/daemon/view"
	"briarproxy/daemon/workerclient"
)

const testShard = 5

// memoryStream is a log stream in memory. fail makes an append end with an error;
// the item is kept aside and can be landed later.
type memoryStream struct {
	mu    sync.Mutex
	items [][]byte
	fail  func(item []byte) error
	late  [][]byte
}

func (s *memoryStream) Append(item []byte) func(context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fail != nil {
		if err := s.fail(item); err != nil {
			s.late = append(s.late, item)
			return func(context.Context) error { return err }
		}
	}
	s.items = append(s.items, item)
	return func(context.Context) error { return nil }
}

func (s *memoryStream) Replay(_ context.Context, handle func([]byte)) error {
	s.mu.Lock()
	items := append([][]byte(nil), s.items...)
	s.mu.Unlock()
	for _, item := range items {
		handle(item)
	}
	return nil
}

func (s *memoryStream) landLate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items = append(s.items, s.late...)
	s.late = nil
}

// fakeWorker runs requests in the process: it is slot source, rack owner and worker.
type fakeWorker struct {
	mu        sync.Mutex
	runs      map[string]int // runs by body
	ended     map[string]*wire.Result
	forbidden map[string]bool
	run       func(start wire.Start) workerclient.OutcomeKind
	restarted bool // the worker has forgotten what it ran
}

func newFakeWorker() *fakeWorker {
	return &fakeWorker{runs: map[string]int{}, ended: map[string]*wire.Result{}, forbidden: map[string]bool{}}
}

func (f *fakeWorker) Acquire(context.Context, router.Query) (*router.Slot, *wire.Problem) {
	return &router.Slot{VM: "vm", Incarnation: 1}, nil
}

func (f *fakeWorker) Release(*router.Slot)            {}
func (f *fakeWorker) Ack(*router.Slot, string, int64) {}
func (f *fakeWorker) effects(body string) int         { f.mu.Lock(); defer f.mu.Unlock(); return f.runs[body] }
func attemptKey(id string, gen int64) string          { return fmt.Sprintf("%s#%d", id, gen) }

func (f *fakeWorker) Run(_ context.Context, _ *router.Slot, start wire.Start) router.Outcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	kind := workerclient.Done
	if f.run != nil {
		kind = f.run(start)
	}
	key := attemptKey(start.ID, start.Generation)
	if kind == workerclient.NeverRan || f.forbidden[key] {
		return router.Outcome{Kind: workerclient.NeverRan}
	}
	f.runs[string(start.Body)]++
	result := &wire.Result{ID: start.ID, Generation: start.Generation, State: wire.RunFinished, Body: start.Body}
	f.ended[key] = result
	return router.Outcome{Kind: kind, Result: result}
}

// Call implements peer.Caller for the calls of a rack owner.
func (f *fakeWorker) Call(_ context.Context, _, method string, args, reply any) error {
	if method != wire.RPCStopTasks {
		return fault.New(fault.Refused, "none", "not part of this test")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, task := range args.(*wire.StopArgs).Tasks {
		o := wire.StopOutcome{TaskID: task.TaskID, Generation: task.Generation, Known: true, State: wire.RunNeverStarted}
		key := attemptKey(task.TaskID, task.Generation)
		if f.restarted {
			o.Restarted, o.State = true, wire.RunStopped
		} else if result, ran := f.ended[key]; ran {
			o.State, o.Result = wire.RunFinished, result
		} else {
			f.forbidden[key] = true
		}
		batch := reply.(*wire.StopReplyBatch)
		batch.Outcomes = append(batch.Outcomes, o)
	}
	return nil
}

type noObserver struct{}

func (noObserver) TaskStarted(string, time.Duration) {}

// testCell is one shard, its stream and its worker; owners come and go.
type testCell struct {
	t      *testing.T
	stream *memoryStream
	worker *fakeWorker
	calls  pond.Pool
	peers  peer.Caller
}

func newTestCell(t *testing.T) *testCell {
	calls := pond.NewPool(16)
	t.Cleanup(calls.StopAndWait)
	worker := newFakeWorker()
	return &testCell{t: t, stream: &memoryStream{}, worker: worker, calls: calls, peers: worker}
}

func testSet() *object.Set {
	return &object.Set{
		Services: map[string]*object.Service{"s": {Name: "s", Pool: "p", Team: "t", Operations: map[string]*object.Operation{
			"issue": {Policy: "c", MaxRunTime: time.Second},
		}}},
		Policies: map[string]*object.Policy{"c": {Name: "c", Deadline: 5 * time.Second}},
		Pools:    map[string]*object.Pool{"p": {Name: "p", LargestVM: resource.Vector{Slots: 8, MilliCores: 8000}}},
		Teams: map[string]*object.Team{
			"t":       {Name: "t", Weight: 1},
			quotaTeam: {Name: quotaTeam, Weight: 1, Quota: resource.Vector{Slots: 8, MilliCores: 2000}},
		},
		BatchJobs: map[string]*object.BatchJob{"b": {JobTemplate: object.JobTemplate{
			Name: "b", Pool: "p", Policy: "c", Team: "t", Tasks: 1, Resources: resource.Vector{MilliCores: 1000},
		}}},
	}
}

// owner starts a manager that owns the shard under the epoch until stop is called
// or its lease ends.
func (c *testCell) owner(epoch int64, lease time.Duration) (m *Manager, stop func()) {
	holder := view.NewHolder()
	m = New(Options{
		Self: "d", View: holder, Peers: c.peers, Requests: c.worker,
		Stream: func(context.Context, int) Stream { return c.stream }, Log: event.Discard(), Observer: noObserver{},
		Now: bootclock.Now, WallMS: func() int64 { return time.Now().UnixMilli() },
		Random: func() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }, Calls: c.calls, Retention: time.Hour,
	})
	holder.Publish(&view.Snapshot{
		ConfigVersion: 1, Set: testSet(), LogHealthy: true,
		Daemons: map[string]view.Daemon{"d": {Name: "d", Live: true}},
		VMs:     map[string]view.VM{"vm": {VM: wire.VM{Name: "vm", DataCentre: "dc", Rack: "r"}}},
		Units: map[string]view.Unit{
			wire.ShardUnit(testShard): {Owner: "d", Mine: true, Epoch: epoch, LeaseUntil: bootclock.Now() + lease},
			wire.RackUnit("dc", "r"):  {Owner: "d", Mine: true, Epoch: 1},
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { m.Serve(ctx); close(done) }()
	stop = func() { cancel(); <-done }
	c.t.Cleanup(stop)
	require.Eventually(c.t, func() bool {
		r, err := m.runner(testShard, epoch)
		return err == nil && r.stats.Load() != nil
	}, 5*time.Second, time.Millisecond)
	return m, stop
}

func (c *testCell) issue(m *Manager, epoch int64, id, key, body string) wire.ForwardReply {
	var reply wire.ForwardReply
	err := m.Forward(&wire.ForwardArgs{
		RequestID: id, Key: key, Service: "s", Operation: "issue", DeadlineMS: 2000,
		Body: []byte(body), Shard: testShard, ShardEpoch: epoch,
	}, &reply)
	require.NoError(c.t, err)
	return reply
}

// Guards against a second run when a caller repeats its request, also through a
// new owner that knows the first run from the log only.
func TestRepeatOfAKeyDoesNotRunAgain(t *testing.T) {
	c := newTestCell(t)
	m, stop := c.owner(10, time.Minute)
	first := c.issue(m, 10, "r1", "k", "certificate")
	require.Nil(t, first.Problem)
	second := c.issue(m, 10, "r2", "k", "certificate")
	require.Equal(t, first.Result, second.Result)
	stop()

	successor, _ := c.owner(20, time.Minute)
	third := c.issue(successor, 20, "r3", "k", "certificate")
	require.Nil(t, third.Problem)
	require.Equal(t, first.Result.Body, third.Result.Body)
	require.Equal(t, 1, c.worker.effects("certificate"))
}

// Guards against a second run after the owner died between the start and the
// answer: the successor must ask the worker, not start again.
func TestSuccessorResolvesAnAttemptWithoutAnEnd(t *testing.T) {
	for _, ran := range []bool{true, false} {
		t.Run(fmt.Sprintf("ran=%v", ran), func(t *testing.T) {
			c := newTestCell(t)
			m, stop := c.owner(10, time.Minute)
			c.worker.run = func(wire.Start) workerclient.OutcomeKind { return workerclient.Unknown }
			reply := c.issue(m, 10, "r1", "k", "certificate")
			require.Equal(t, wire.OutcomeUnknown, reply.Problem.Outcome)
			stop()
			c.worker.mu.Lock()
			c.worker.run = nil
			if !ran { // the start was lost on its way
				c.worker.runs, c.worker.ended = map[string]int{}, map[string]*wire.Result{}
			}
			c.worker.mu.Unlock()

			successor, _ := c.owner(20, time.Minute)
			again := c.issue(successor, 20, "r2", "k", "certificate")
			require.Nil(t, again.Problem)
			require.Equal(t, 1, c.worker.effects("certificate"))
		})
	}
}

// Guards against a second run, and against a false 'ran' or 'not run', when the
// worker restarted after the request was sent to it.
func TestRestartedWorkerLeavesTheOutcomeUnknown(t *testing.T) {
	c := newTestCell(t)
	m, _ := c.owner(10, time.Minute)
	c.worker.run = func(wire.Start) workerclient.OutcomeKind { return workerclient.Unknown }
	require.Equal(t, wire.OutcomeUnknown, c.issue(m, 10, "r1", "k", "certificate").Problem.Outcome)
	c.worker.mu.Lock()
	c.worker.restarted, c.worker.run = true, nil
	c.worker.mu.Unlock()
	for range 2 {
		reply := c.issue(m, 10, "r2", "k", "certificate")
		require.Equal(t, wire.OutcomeUnknown, reply.Problem.Outcome)
	}
	require.Equal(t, 1, c.worker.effects("certificate"))
}

// Guards against a start whose record is not in the log, and against a 'not run'
// that a record which lands late would make false.
func TestUnloggedIntentIsNeverStarted(t *testing.T) {
	c := newTestCell(t)
	m, stop := c.owner(10, time.Minute)
	c.stream.fail = func([]byte) error { return errors.New("answer lost") }
	reply := c.issue(m, 10, "r1", "k", "certificate")
	require.Equal(t, wire.OutcomeNotRun, reply.Problem.Outcome)
	require.Zero(t, c.worker.effects("certificate"))

	c.stream.fail = nil
	again := c.issue(m, 10, "r2", "k", "certificate")
	require.Nil(t, again.Problem)
	c.stream.landLate() // the first intent lands behind the second request's records
	stop()

	successor, _ := c.owner(20, time.Minute)
	third := c.issue(successor, 20, "r3", "k", "certificate")
	require.Nil(t, third.Problem)
	require.Equal(t, 1, c.worker.effects("certificate"))
}

// Guards against an owner that goes on after its lease: it could start what its
// successor starts too.
func TestNoStartAfterTheLease(t *testing.T) {
	c := newTestCell(t)
	m, _ := c.owner(10, 300*time.Millisecond)
	time.Sleep(400 * time.Millisecond)
	reply := c.issue(m, 10, "r1", "k", "certificate")
	require.Equal(t, wire.OutcomeNotRun, reply.Problem.Outcome)
	require.Zero(t, c.worker.effects("certificate"))
}

// Guards against a call that was delayed across a change of owners and takes
// effect under the next epoch.
func TestCallOfAnotherEpochIsRefused(t *testing.T) {
	c := newTestCell(t)
	m, _ := c.owner(20, time.Minute)
	err := m.Forward(&wire.ForwardArgs{RequestID: "r", Key: "k", Service: "s", Operation: "issue", Shard: testShard, ShardEpoch: 10}, &wire.ForwardReply{})
	require.True(t, fault.Is(err, fault.NotOwner))
	require.Zero(t, c.worker.effects(""))
}

// Guards against two runs of requests that race with one key.
func TestRacingRequestsWithOneKey(t *testing.T) {
	c := newTestCell(t)
	m, _ := c.owner(10, time.Minute)
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Go(func() {
			var reply wire.ForwardReply
			_ = m.Forward(&wire.ForwardArgs{RequestID: fmt.Sprint("r", i), Key: "k", Service: "s", Operation: "issue", DeadlineMS: 3000, Body: []byte("b"), Shard: testShard}, &reply)
			if reply.Problem != nil || string(reply.Result.Body) != "b" {
				t.Errorf("request %d got %+v", i, reply)
			}
		})
	}
	wg.Wait()
	require.Equal(t, 1, c.worker.effects("b"))
}

// Guards against a job that its submitter was told of and a new owner does not
// know, and against two jobs of one id.
func TestAcceptedJobSurvivesItsOwner(t *testing.T) {
	c := newTestCell(t)
	id := jobInShard(testShard)
	m, stop := c.owner(10, time.Minute)
	var reply wire.JobReply
	submit := &wire.JobArgs{Action: wire.JobSubmit, ID: id, Spec: &wire.JobSpec{ID: id, Template: "b"}}
	require.NoError(t, m.Job(submit, &reply))
	require.Nil(t, reply.Problem)
	other := &wire.JobArgs{Action: wire.JobSubmit, ID: id, Spec: &wire.JobSpec{ID: id, Template: "b", Tasks: 3}}
	require.NoError(t, m.Job(other, &reply))
	require.Equal(t, "job-id-in-use", reply.Problem.Type)
	stop()

	successor, _ := c.owner(20, time.Minute)
	var status wire.JobReply
	require.NoError(t, successor.Job(&wire.JobArgs{Action: wire.JobGet, ID: id}, &status))
	require.Equal(t, wire.JobPending, status.Status.State)
}

func jobInShard(shard int) string {
	for i := 0; ; i++ {
		if id := fmt.Sprint("job-", i); wire.ShardOf(id) == shard {
			return id
		}
	}
}

// Guards against a job that waits for ever because no VM can hold it.
func TestJobThatCanNeverRunIsRefused(t *testing.T) {
	set := testSet()
	set.BatchJobs["b"].Resources.MilliCores = 9000
	_, p := define(set, &wire.JobSpec{ID: "x", Template: "b"})
	require.Equal(t, "can-never-run", p.Type)
	require.Equal(t, wire.OutcomeNotRun, p.Outcome)
}
