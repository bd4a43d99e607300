package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"briarproxy/core/resource"
	"briarproxy/core/wire"
)

const testTimeout = 5 * time.Second

// fakeClock is a worker's clock that advances only when a test advances it.
type fakeClock struct{ now atomic.Int64 }

func (c *fakeClock) read() time.Duration     { return time.Duration(c.now.Load()) }
func (c *fakeClock) advance(d time.Duration) { c.now.Add(int64(d)) }
func slots(n int64) resource.Vector          { return resource.Vector{Slots: n} }
func (w *Worker) events() []Entry            { return w.Journal().Entries() }
func refusalOf(w *Worker, s wire.Start) wire.Refusal {
	refusal, _ := w.accept(s)
	return refusal
}

func newWorker(modify func(*Options)) (*Worker, *fakeClock) {
	c := &fakeClock{}
	c.advance(time.Hour)
	options := Options{Name: "w", Incarnation: 7, Capacity: slots(2), Clock: c.read, UsageLag: time.Second}
	if modify != nil {
		modify(&options)
	}
	return New(options), c
}

func newTaskStart(id string, generation int64) wire.Start {
	return wire.Start{
		ID: id, Generation: generation, Epoch: 5, Incarnation: 7,
		NotAfterMS: time.Hour.Milliseconds() + 2000, LeaseMS: 20000,
		Kind: wire.KindTask, Operation: "sleep:10000", Resources: slots(1),
	}
}

func countEvents(entries []Entry, event JournalEvent) int {
	return len(slices.DeleteFunc(slices.Clone(entries), func(e Entry) bool { return e.Event != event }))
}

// Guards against a worker that accepts a start that the protocol refuses. Each case
// would let a paused or superseded scheduler overload a VM or start an attempt twice.
func TestStartRefusals(t *testing.T) {
	runAndStop := func(w *Worker, _ *fakeClock) {
		w.accept(newTaskStart("a", 2))
		w.Stop(wire.Stop{ID: "a", Generation: 2, Epoch: 5})
	}
	cases := []struct {
		name    string
		prepare func(*Worker, *fakeClock)
		change  func(*wire.Start)
		want    wire.Refusal
	}{
		{"accepted", nil, nil, ""},
		{"lower epoch", func(w *Worker, _ *fakeClock) { w.Fence(wire.Fence{Epoch: 6}) }, nil, wire.RefusedStaleEpoch},
		{"equal epoch", func(w *Worker, _ *fakeClock) { w.Fence(wire.Fence{Epoch: 5}) }, nil, ""},
		{"not_after reached", func(_ *Worker, c *fakeClock) { c.advance(2 * time.Second) }, nil, ""},
		{"not_after passed", func(_ *Worker, c *fakeClock) { c.advance(2*time.Second + 1) }, nil, wire.RefusedTooLate},
		{"other incarnation", nil, func(s *wire.Start) { s.Incarnation = 6 }, wire.RefusedWrongIncarnation},
		{"same generation runs", func(w *Worker, _ *fakeClock) { w.accept(newTaskStart("a", 2)) }, nil, wire.RefusedDuplicate},
		{"lower generation runs", func(w *Worker, _ *fakeClock) { w.accept(newTaskStart("a", 1)) }, nil, wire.RefusedDuplicate},
		{"higher generation runs", func(w *Worker, _ *fakeClock) { w.accept(newTaskStart("a", 3)) }, nil, wire.RefusedStaleGeneration},
		{"same generation stopped", runAndStop, nil, wire.RefusedDuplicate},
		{"acknowledged", func(w *Worker, c *fakeClock) { runAndStop(w, c); w.Ack(newAck("a", 2)) }, nil, wire.RefusedDuplicate},
		{"stop came first", func(w *Worker, _ *fakeClock) { w.Stop(wire.Stop{ID: "a", Generation: 2, Epoch: 5}) }, nil, wire.RefusedStaleGeneration},
		{"query came first", func(w *Worker, _ *fakeClock) { w.Stop(wire.Stop{ID: "a", Generation: 3, Epoch: 5, Query: true}) }, nil, wire.RefusedStaleGeneration},
		{"stop of a lower generation", func(w *Worker, _ *fakeClock) { w.Stop(wire.Stop{ID: "a", Generation: 1, Epoch: 5}) }, nil, ""},
		{"draining", func(w *Worker, _ *fakeClock) { w.SetDraining(true) }, nil, wire.RefusedDraining},
		{"no room", nil, func(s *wire.Start) { s.Resources = slots(3) }, wire.RefusedNoRoom},
		{"no lease", nil, func(s *wire.Start) { s.LeaseMS = 0 }, wire.RefusedMalformed},
		{"negative size", nil, func(s *wire.Start) { s.Resources = slots(-1) }, wire.RefusedMalformed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w, clock := newWorker(nil)
			if c.prepare != nil {
				c.prepare(w, clock)
			}
			start := newTaskStart("a", 2)
			if c.change != nil {
				c.change(&start)
			}
			assert.Equal(t, c.want, refusalOf(w, start))
		})
	}
}

// Guards against a duplicate of a refused start that runs when there is capacity again,
// although its sender was told that it would never run.
func TestNoRoomIsFinal(t *testing.T) {
	w, _ := newWorker(nil)
	require.Empty(t, refusalOf(w, newTaskStart("a", 1)))
	require.Empty(t, refusalOf(w, newTaskStart("b", 1)))
	require.Equal(t, wire.RefusedNoRoom, refusalOf(w, newTaskStart("c", 1)))
	w.Stop(wire.Stop{ID: "a", Generation: 1, Epoch: 5})
	assert.Equal(t, wire.RefusedStaleGeneration, refusalOf(w, newTaskStart("c", 1)))
	assert.Empty(t, refusalOf(w, newTaskStart("c", 2)))
	assert.Zero(t, countEvents(w.events(), EventOverload))
}

// Guards against a VM that the scheduler overloads without an entry in the journal.
func TestOvercommittingWorkerJournalsOverload(t *testing.T) {
	w, _ := newWorker(func(o *Options) { o.AllowOvercommit = true })
	for _, id := range []string{"a", "b", "c"} {
		require.Empty(t, refusalOf(w, newTaskStart(id, 1)))
	}
	entries := w.events()
	require.Equal(t, 1, countEvents(entries, EventOverload))
	last := entries[len(entries)-2]
	assert.Equal(t, EventOverload, last.Event)
	assert.Equal(t, slots(3), last.InUse)
}

// Guards against a worker that still fences although fencing is disabled. The
// scheduler's waits for the lease and for not_after, which replace fencing in such
// pools, would then be untested.
func TestUnfencedWorker(t *testing.T) {
	w, c := newWorker(func(o *Options) { o.DisableFencing = true })
	w.Fence(wire.Fence{Epoch: 9})
	c.advance(time.Minute)
	assert.Empty(t, refusalOf(w, newTaskStart("a", 1)))
}

// Guards against a fence that a former owner can lower, and one that does not apply to
// messages other than starts.
func TestFenceRefusesFormerOwner(t *testing.T) {
	w, _ := newWorker(nil)
	require.Empty(t, refusalOf(w, newTaskStart("a", 1)))
	report := w.Fence(wire.Fence{Epoch: 9})
	require.Len(t, report.Attempts, 1)
	assert.Equal(t, wire.RunRunning, report.Attempts[0].State)
	assert.Equal(t, wire.RefusedStaleEpoch, w.Fence(wire.Fence{Epoch: 8}).Refused)
	assert.Equal(t, int64(9), w.Report().Epoch)
	assert.Equal(t, wire.RefusedStaleEpoch, w.Stop(wire.Stop{ID: "a", Generation: 1, Epoch: 8}).Refused)
	assert.Equal(t, wire.RefusedStaleEpoch, w.Renew(wire.Renew{Epoch: 8, NotAfterMS: 1 << 40}).Refused)
	assert.Equal(t, 3, countEvents(w.events(), EventRefuse))
	assert.Equal(t, wire.RunRunning, w.Stop(wire.Stop{ID: "a", Generation: 1, Epoch: 9, Query: true}).State)
}

// Guards against a reply about another generation, which would tell a caller that an
// attempt did not run although it ran, or the reverse.
func TestStopReportsRequestedGeneration(t *testing.T) {
	w, c := newWorker(nil)
	ask := func(generation int64, query bool) wire.StopReply {
		return w.Stop(wire.Stop{ID: "a", Generation: generation, Epoch: 5, Query: query})
	}
	start := newTaskStart("a", 1)
	start.Operation = "sleep:100"
	require.Empty(t, refusalOf(w, start))
	assert.Equal(t, wire.RunRunning, ask(1, true).State)
	c.advance(100 * time.Millisecond)
	finished := ask(1, true)
	require.Equal(t, wire.RunFinished, finished.State)
	assert.Equal(t, sha256Hex(finished.Result.Body), finished.Result.Digest)
	require.Empty(t, refusalOf(w, newTaskStart("a", 3)))
	assert.Equal(t, wire.RunFinished, ask(1, false).State, "generation 1 had finished")
	assert.Equal(t, wire.RunNeverStarted, ask(2, false).State)
	assert.Equal(t, wire.RunRunning, ask(4, true).State, "a lower generation of the ID is running")
	assert.Equal(t, wire.RunNeverStarted, ask(4, false).State)
	assert.Equal(t, wire.RunStopped, ask(3, true).State)
	w.Ack(newAck("a", 1))
	acknowledged := ask(1, true)
	assert.Equal(t, wire.RunFinished, acknowledged.State, "the state is retained after the ack")
	assert.Nil(t, acknowledged.Result)
}

// Guards against an attempt that continues after its lease expired, also if the worker
// was paused until after both the lease and the work were due.
func TestRunLease(t *testing.T) {
	w, c := newWorker(nil)
	for _, id := range []string{"a", "b"} {
		start := newTaskStart(id, 1)
		start.Operation = "sleep:30000"
		require.Empty(t, refusalOf(w, start))
	}
	c.advance(15 * time.Second)
	renewal := wire.Renew{Epoch: 5, NotAfterMS: c.read().Milliseconds(), Leases: []wire.LeaseRenewal{
		{ID: "a", Generation: 1, LeaseMS: 20000}, {ID: "b", Generation: 2, LeaseMS: 20000},
	}}
	assert.Equal(t, []string{"b"}, w.Renew(renewal).Gone)
	c.advance(5 * time.Second)
	assert.Equal(t, wire.RefusedTooLate, w.Renew(renewal).Refused)
	report := w.Report()
	assert.Equal(t, wire.RunRunning, report.Attempts[0].State)
	assert.Equal(t, wire.RunStopped, report.Attempts[1].State)
	c.advance(time.Minute)
	assert.Equal(t, wire.RunStopped, w.Report().Attempts[0].State)
	entries := w.events()
	assert.Equal(t, (45 * time.Second).Microseconds(), entries[len(entries)-1].OverdueUS)
}

// Guards against results that are deleted before the retention of 10 minutes ends, and
// against reports that grow without limit.
func TestResultsAreKeptForTenMinutes(t *testing.T) {
	w, c := newWorker(nil)
	require.Empty(t, refusalOf(w, newTaskStart("a", 1)))
	c.advance(10 * time.Second)
	require.Equal(t, wire.RunFinished, w.Report().Attempts[0].State)
	c.advance(DefaultResultRetention)
	require.Len(t, w.Report().Attempts, 1)
	c.advance(time.Second)
	assert.Empty(t, w.Report().Attempts)
}

// Guards against a checkpoint that loses progress, and a throttle without effect.
func TestThrottleAndCheckpoint(t *testing.T) {
	w, c := newWorker(nil)
	require.Empty(t, refusalOf(w, newTaskStart("a", 1)))
	c.advance(4 * time.Second)
	w.Throttle(wire.Throttle{ID: "a", Generation: 1, Epoch: 5, Percent: 50})
	c.advance(4 * time.Second) // 6 s of 10 s are complete.
	assert.Equal(t, wire.RunStopped, w.Checkpoint(wire.Checkpoint{ID: "a", Generation: 1, Epoch: 5}).State)
	second := newTaskStart("a", 2)
	second.NotAfterMS += 8000
	require.Empty(t, refusalOf(w, second))
	c.advance(3999 * time.Millisecond)
	assert.Equal(t, wire.RunRunning, w.Stop(wire.Stop{ID: "a", Generation: 2, Epoch: 5, Query: true}).State)
	c.advance(time.Millisecond)
	assert.Equal(t, wire.RunFinished, w.Stop(wire.Stop{ID: "a", Generation: 2, Epoch: 5, Query: true}).State)
}

// Guards against reports whose usage is current or equal to the declared size. The
// scheduler's estimates must be tested with usage that lags and differs.
func TestReportedUsageLagsAndDiffersFromDeclared(t *testing.T) {
	w, c := newWorker(func(o *Options) { o.Capacity = resource.Vector{MilliCores: 1000} })
	require.NoError(t, w.SetMisbehaviour(Misbehaviour{ActualUseFactor: 3}))
	start := newTaskStart("a", 1)
	start.Resources = resource.Vector{MilliCores: 500}
	require.Empty(t, refusalOf(w, start))
	assert.Zero(t, w.Report().Attempts[0].Usage)
	c.advance(time.Second)
	assert.Equal(t, int64(1500), w.Report().Attempts[0].Usage.MilliCores)
	assert.Equal(t, 1, countEvents(w.events(), EventUsageOverload))
	assert.Zero(t, countEvents(w.events(), EventOverload))
}

// Guards against resource accounting that becomes inconsistent under some order of
// messages: the resources in use must equal the sum of the running attempts and never
// exceed the capacity, and no attempt may run twice.
func TestResourceAccountingIsConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, c := newWorker(nil)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			id := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "id")
			generation := rapid.Int64Range(1, 4).Draw(t, "generation")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				start := newTaskStart(id, generation)
				start.NotAfterMS = 1 << 40
				w.accept(start)
			case 1:
				w.Stop(wire.Stop{ID: id, Generation: generation, Epoch: 5, Query: rapid.Bool().Draw(t, "query")})
			case 2:
				c.advance(time.Duration(rapid.IntRange(0, 15000).Draw(t, "ms")) * time.Millisecond)
			case 3:
				w.Ack(newAck(id, generation))
			}
		}
		var sum resource.Vector
		for _, a := range w.Report().Attempts {
			if a.State == wire.RunRunning {
				sum = sum.Add(a.Resources)
			}
		}
		require.Equal(t, sum, w.inUse)
		started := map[string]int64{}
		for _, e := range w.events() {
			require.True(t, e.InUse.Fits(e.Capacity))
			if e.Event == EventStart {
				require.Greater(t, e.Generation, started[e.ID], "generations of %s must increase", e.ID)
				started[e.ID] = e.Generation
			}
		}
	})
}

func post(t *testing.T, url string, timeout time.Duration, body, reply any) error {
	data, err := json.Marshal(body)
	require.NoError(t, err)
	client := &http.Client{Timeout: timeout}
	defer client.CloseIdleConnections()
	response, err := client.Post(url, "application/json", bytes.NewReader(data))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return json.NewDecoder(response.Body).Decode(reply)
}

func newRequestStart(w *Worker, id string) wire.Start {
	s := newTaskStart(id, 1)
	s.Kind = wire.KindRequest
	s.Operation = "sleep:1"
	s.Body = []byte("body of " + id)
	s.Incarnation = w.Report().Incarnation
	s.NotAfterMS = w.Report().ClockMS + 2000
	return s
}

// Guards against an injected response fault that prevents the run itself: the request
// must run, and a later query must return its result.
func TestFaultyResponsesOfRequestsThatRan(t *testing.T) {
	cases := []struct {
		name         string
		misbehaviour Misbehaviour
		check        func(*testing.T, wire.StartReply, error)
	}{
		{"healthy", Misbehaviour{}, func(t *testing.T, r wire.StartReply, err error) {
			require.NoError(t, err)
			var body RequestResult
			require.NoError(t, json.Unmarshal(r.Result.Body, &body))
			assert.Equal(t, RequestResult{ID: "r", Generation: 1, Operation: "sleep:1", VM: "w", BodySHA256: sha256Hex([]byte("body of r"))}, body)
		}},
		{"truncated", Misbehaviour{TruncateResponses: true}, func(t *testing.T, _ wire.StartReply, err error) {
			assert.True(t, errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
		}},
		{"shortened", Misbehaviour{TruncateResults: true}, func(t *testing.T, r wire.StartReply, err error) {
			require.NoError(t, err)
			assert.NotEqual(t, r.Result.Digest, sha256Hex(r.Result.Body))
		}},
		{"foreign", Misbehaviour{MismatchResultIDs: true}, func(t *testing.T, r wire.StartReply, err error) {
			require.NoError(t, err)
			assert.NotEqual(t, "r", r.Result.ID)
		}},
		{"all operations fail", Misbehaviour{FailAll: true}, func(t *testing.T, r wire.StartReply, err error) {
			require.NoError(t, err)
			assert.Equal(t, wire.RunFailed, r.Result.State)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := New(Options{Name: "w", Capacity: slots(1)})
			server := httptest.NewServer(w)
			defer server.Close()
			require.NoError(t, w.SetMisbehaviour(c.misbehaviour))
			var reply wire.StartReply
			err := post(t, server.URL+wire.PathStart, testTimeout, newRequestStart(w, "r"), &reply)
			c.check(t, reply, err)
			outcome := w.Stop(wire.Stop{ID: "r", Generation: 1, Epoch: 5, Query: true})
			require.NotNil(t, outcome.Result)
			assert.Equal(t, 1, countEvents(w.events(), EventStart))
		})
	}
}

// Guards against a response fault that also blocks other paths or connections: they must
// respond, or a query over a new connection for the outcome could not succeed.
func TestHungAndDelayedResponses(t *testing.T) {
	w := New(Options{Name: "w", Capacity: slots(2)})
	server := httptest.NewServer(w)
	defer server.Close()
	require.NoError(t, w.SetMisbehaviour(Misbehaviour{HangResponses: true, Paths: []string{wire.PathStart}}))
	err := post(t, server.URL+wire.PathStart, 100*time.Millisecond, newRequestStart(w, "r"), &wire.StartReply{})
	require.ErrorIs(t, err, context.DeadlineExceeded)
	var outcome wire.StopReply
	require.NoError(t, post(t, server.URL+wire.PathStop, testTimeout, wire.Stop{ID: "r", Generation: 1, Epoch: 5, Query: true}, &outcome))
	assert.Equal(t, wire.RunFinished, outcome.State)

	require.NoError(t, w.SetMisbehaviour(Misbehaviour{ResponseDelayMS: 50}))
	begin := time.Now()
	require.NoError(t, post(t, server.URL+wire.PathFence, testTimeout, wire.Fence{Epoch: 5}, &wire.Report{}))
	assert.GreaterOrEqual(t, time.Since(begin), 50*time.Millisecond)
}

// Guards against a paused worker that responds, and one whose clock stops during the
// pause, which would make expired leases look valid afterwards.
func TestPausedWorker(t *testing.T) {
	w := New(Options{Name: "w", Capacity: slots(1)})
	start := newRequestStart(w, "r")
	start.Kind, start.Operation, start.LeaseMS = wire.KindTask, "sleep:20", 50
	require.Empty(t, refusalOf(w, start))
	begin := time.Now()
	w.Pause(100 * time.Millisecond)
	report := w.Report()
	assert.GreaterOrEqual(t, time.Since(begin), 100*time.Millisecond)
	assert.Equal(t, wire.RunStopped, report.Attempts[0].State)
}

// Guards against a journal that cannot be read after its process was killed while it
// wrote a line.
func TestJournalWithTruncatedLastLineIsReadable(t *testing.T) {
	var file bytes.Buffer
	w, _ := newWorker(func(o *Options) { o.Journal = NewJournal(&file) })
	require.Empty(t, refusalOf(w, newTaskStart("a", 1)))
	text := file.String()
	entries, err := ReadEntries(strings.NewReader(text + text[:20]))
	require.NoError(t, err)
	require.Len(t, entries, 2)
	assert.Equal(t, EventStart, entries[1].Event)
	assert.Equal(t, slots(1), entries[1].InUse)
}

// Guards against a restarted worker that accepts starts for its former incarnation, or
// leaves a caller waiting for an attempt that the restart ended.
func TestRestartAbortsWaitingRequests(t *testing.T) {
	w := New(Options{Name: "w", Capacity: slots(1)})
	server := httptest.NewServer(w)
	defer server.Close()
	start := newRequestStart(w, "r")
	start.Operation = "forever"
	failed := make(chan error, 1)
	go func() {
		failed <- post(t, server.URL+wire.PathStart, testTimeout, start, &wire.StartReply{})
	}()
	require.Eventually(t, func() bool { return len(w.Report().Attempts) == 1 }, testTimeout, time.Millisecond)
	w.Restart()
	assert.Error(t, <-failed)
	assert.Equal(t, wire.RefusedWrongIncarnation, refusalOf(w, start))
	assert.Empty(t, w.Report().Attempts)
}

func newAck(id string, generation int64) wire.Ack {
	return wire.Ack{Attempts: []wire.AttemptID{{ID: id, Generation: generation}}}
}
