package cell

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/cluster"
	"briarproxy/core/flow"
	"briarproxy/core/placer"
	"briarproxy/core/resource"
	"briarproxy/daemon/bootclock"
)

// serveSilentPeer accepts connections and answers nothing, and returns its address.
func serveSilentPeer(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// refusingAddress returns an address at which connections are refused.
func refusingAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	return listener.Addr().String()
}

// newPlacerAfter returns a daemon that has become the placer after the given records, which follow
// the record that the first placer has begun a run. The worker of the run can't be reached.
func newPlacerAfter(t *testing.T, firstPlacer string, records ...flow.Record) *callerAPI {
	api := newTestCallerAPI(t, &fakeStore{}, 0)
	run := cluster.RunID{TaskID: cluster.TaskID{Job: "j"}, Run: 1}
	history := append([]flow.Record{
		{Submit: &flow.Submit{ID: "j", Queue: "q", Pool: "p", MaxAttempts: 2, Steps: []flow.Step{{Count: 1, Size: resource.Vector{MilliCores: 500}}}}},
		{Claim: &flow.Claim{Daemon: "first", Address: firstPlacer, Epoch: 5, StartedMS: 1}},
		{Batch: &flow.Batch{Epoch: 5, Begins: []flow.Begin{{RunID: run, Life: cluster.Life{Worker: "w", Born: 1}}}}},
	}, records...)
	api.onEngine(func(e *engine) {
		e.settings.Bounds.MaxLeaseMS = 300
		for i := range history {
			e.applyRecord(api.ctx, &decodedRecord{record: history[i]}, bootclock.Now())
		}
		e.claimEpoch, e.claimSentAt = 9, bootclock.Now()
		e.appender = &fencedAppender{log: e.store, fence: cluster.Fence{Producer: "placer", Epoch: 9}, logSlow: e.store.storeSlow.Load}
		own := flow.Record{Claim: &flow.Claim{Daemon: e.settings.Name, Address: "own", Epoch: 9, StartedMS: e.startedMS}}
		e.applyRecord(api.ctx, &decodedRecord{record: own}, bootclock.Now())
	})
	return api
}

// givesUpRun reports whether the placer takes the leases on the unreachable worker for expired
// within a second, which is longer than its own leases last and much shorter than a placer without
// the log renews them.
func (a *callerAPI) givesUpRun() bool {
	time.Sleep(time.Second)
	gaveUp := false
	a.onEngine(func(e *engine) { gaveUp = e.placer.Summarize(bootclock.Now(), 0).Runs["ended"] > 0 })
	return gaveUp
}

// Guards against a task that runs twice because the leases of a placer that is cut off from the
// other daemons count as expired on the word of a later one (TWICE).
func TestLeasesOfAnEarlierPlacerOutliveTheNextOne(t *testing.T) {
	running := serveSubmissions(t, nil)
	next := flow.Record{Claim: &flow.Claim{Daemon: "next", Address: running, Epoch: 7, StartedMS: 1}}
	for name, test := range map[string]struct {
		firstPlacer string
		records     []flow.Record
		givesUp     bool
	}{
		"the next placer answers":                      {serveSilentPeer(t), []flow.Record{next}, false},
		"the next placer has released its claim":       {serveSilentPeer(t), []flow.Record{next, {Release: &flow.Release{Daemon: "next", Epoch: 7}}}, false},
		"the next placer has restarted":                {serveSilentPeer(t), []flow.Record{next, {Hello: &flow.Hello{Daemon: "next", Address: running, StartedMS: 2}}}, false},
		"a connection to the first one is refused":     {refusingAddress(t), nil, false},
		"the first one does not answer":                {serveSilentPeer(t), nil, false},
		"the first one answers":                        {running, nil, true},
		"the first one has released its claim":         {serveSilentPeer(t), []flow.Record{{Release: &flow.Release{Daemon: "first", Epoch: 5}}}, true},
		"the first one has restarted":                  {serveSilentPeer(t), []flow.Record{{Hello: &flow.Hello{Daemon: "first", Address: running, StartedMS: 2}}}, true},
		"the first one has restarted after the next":   {serveSilentPeer(t), []flow.Record{next, {Hello: &flow.Hello{Daemon: "first", Address: running, StartedMS: 2}}}, true},
		"the first and the next one answer":            {running, []flow.Record{next}, true},
		"the first one answers and the next is silent": {running, []flow.Record{{Claim: &flow.Claim{Daemon: "next", Address: serveSilentPeer(t), Epoch: 7, StartedMS: 1}}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			require.Equal(t, test.givesUp, newPlacerAfter(t, test.firstPlacer, test.records...).givesUpRun())
		})
	}
}

// Guards against a daemon that has told its successor that it does not place, and then reads its own
// earlier claim and places.
func TestYieldedClaimDoesNotPlace(t *testing.T) {
	api := newTestCallerAPI(t, &fakeStore{}, 0)
	places := func(epoch int64) (placing bool) {
		api.onEngine(func(e *engine) {
			e.claimEpoch, e.claimSentAt = epoch, bootclock.Now()
			own := flow.Record{Claim: &flow.Claim{Daemon: e.settings.Name, Epoch: epoch, StartedMS: e.startedMS}}
			e.applyRecord(api.ctx, &decodedRecord{record: own}, bootclock.Now())
			placing = e.placer != nil
			e.stopPlacing("end of the test case")
		})
		return placing
	}
	api.onEngine(func(e *engine) { e.yield(6) })
	require.False(t, places(6))
	require.True(t, places(7), "a later claim is not affected")
}

// Guards against a placer that renews leases for longer than its successors assume, because its claim
// was stored, and superseded, long before this daemon read it.
func TestTimeWithoutLogCountsFromTheClaim(t *testing.T) {
	for name, test := range map[string]struct {
		sentBefore time.Duration
		places     bool
	}{
		"sent a moment ago":         {time.Second, true},
		"sent before a long outage": {maxLogOutage + time.Second, false},
	} {
		api, placing := newTestCallerAPI(t, &fakeStore{}, 0), false
		api.onEngine(func(e *engine) {
			e.appender = &fencedAppender{log: e.store, logSlow: e.store.storeSlow.Load}
			e.claimEpoch, e.claimSentAt = 6, bootclock.Now()-test.sentBefore
			own := flow.Record{Claim: &flow.Claim{Daemon: e.settings.Name, Epoch: 6, StartedMS: e.startedMS}}
			e.applyRecord(api.ctx, &decodedRecord{record: own}, bootclock.Now())
			e.runTimers(api.ctx, bootclock.Now())
			placing = e.placer != nil
			e.stopPlacing("end of the test case")
		})
		require.Equal(t, test.places, placing, name)
	}
}

// Guards against a task that runs twice because a placer that was suspended for longer than any lease starts the runs of a batch
// whose acknowledgement waited for it, although a successor has given them up (TWICE).
func TestSuspendedPlacerStartsNoRuns(t *testing.T) {
	for name, test := range map[string]struct {
		age    time.Duration
		starts int
	}{
		"suspended": {maxLogOutage + time.Second, 0},
		"in time":   {time.Second, 1},
	} {
		t.Run(name, func(t *testing.T) {
			api := newPlacerAfter(t, serveSilentPeer(t))
			recorder := startRecorder{sent: make(chan cluster.Start, 4)}
			life, begun := cluster.Life{Worker: "x", Born: 1}, 0
			api.onEngine(func(e *engine) {
				recorder.Platform, e.platform = e.platform, recorder
				now := bootclock.Now()
				e.placer.SetRegistry([]cluster.Worker{{Life: life, Address: "x:1", Pool: "p", Capacity: resource.Vector{MilliCores: 1000}}}, now)
				e.placer.PollAnswered(&placer.PollCommand{Life: life}, &cluster.WorkerReport{Life: life, ClockMS: 1000}, now)
				submit := flow.Record{Submit: &flow.Submit{ID: "k", Queue: "q", Pool: "p", MaxAttempts: 2, Steps: []flow.Step{{Count: 1, Size: resource.Vector{MilliCores: 500}}}}}
				e.applyRecord(api.ctx, &decodedRecord{record: submit}, now)
				e.placer.Tick(now+time.Second, time.Now().UnixMilli())
				batch, runs, _ := e.placer.Flush(now + 2*time.Second)
				begun = len(batch.Begins)
				p := e.placer
				begin := func() []placer.Command { return p.BatchAppended(runs, bootclock.Now()) }
				e.batchAppended(api.ctx, p, &appendedBatch{&flow.Record{Batch: &batch}, e.state.NextOffset, now - test.age, nil, begin})
			})
			require.Equal(t, 1, begun)
			time.Sleep(100 * time.Millisecond)
			require.Len(t, recorder.sent, test.starts)
		})
	}
}
