package cell

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/cluster"
	"briarproxy/core/flow"
	"briarproxy/daemon/bootclock"
	"briarproxy/daemon/event"
	"briarproxy/platform"
)

// expiringLog is a log whose oldest records have expired.
type expiringLog struct {
	mu      sync.Mutex
	records [][]byte
	first   int64
	onEnd   func(*expiringLog) // called with the lock held before a query for the end is answered

	onAppend func(records [][]byte) // called without the lock before records are appended
}

func (l *expiringLog) Append(_ context.Context, _ int, records [][]byte, _ *cluster.Fence) (int64, error) {
	l.mu.Lock()
	onAppend := l.onAppend
	l.mu.Unlock()
	if onAppend != nil {
		onAppend(records)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	offset := int64(len(l.records))
	l.records = append(l.records, records...)
	return offset, nil
}

func (l *expiringLog) Read(_ context.Context, _ int, from int64, _ time.Duration) (cluster.LogPage, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	page := cluster.LogPage{Next: from, First: l.first, End: int64(len(l.records)), Expired: from < l.first}
	if !page.Expired {
		page.Records, page.Next = l.records[from:], page.End
	}
	return page, nil
}

func (l *expiringLog) End(context.Context, int, int64) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.onEnd != nil {
		l.onEnd(l)
	}
	return int64(len(l.records)), nil
}

// platformClient keeps the methods of the client below those of the fakes that gapPlatform embeds beside it.
type platformClient struct{ *platform.Client }

// gapPlatform is a platform with such a log.
type gapPlatform struct {
	platformClient
	*keyedStore
	*expiringLog
}

func (p gapPlatform) Workers(context.Context) ([]cluster.Worker, []string, error) {
	return nil, nil, nil
}

// gapCell is a log of ten records, of which the first eight have expired, with a snapshot that covers the first four. The
// submission of the job "lost" is the sixth record, that of "late" the tenth.
type gapCell struct {
	platform gapPlatform
	whole    *flow.State // what all records describe
	writer   *snapshotWriter
}

func newGapCell(t *testing.T) *gapCell {
	log, whole, store := &expiringLog{}, flow.NewState(), &keyedStore{}
	saved := newTestSnapshotWriter(t, store)
	for i := range 10 {
		r := flow.Record{Hello: &flow.Hello{Daemon: "b", Address: "127.0.0.1:1", StartedMS: 1}}
		switch i {
		case 4:
			saveSnapshotOf(t, saved, whole, 1)
		case 5:
			r = flow.Record{Submit: &flow.Submit{ID: "lost", Queue: "q", Steps: []flow.Step{{Count: 1}}, MaxAttempts: 1}}
		case 9:
			r = flow.Record{Submit: &flow.Submit{ID: "late", Queue: "q", Steps: []flow.Step{{Count: 1}}, MaxAttempts: 1}}
		}
		data, err := r.Encode()
		require.NoError(t, err)
		_, _ = log.Append(t.Context(), 0, [][]byte{data}, nil)
		require.NoError(t, whole.Apply(&r, time.Second))
	}
	log.first = 8
	client := platform.New(platform.Addresses{}, NewDialer(time.Second, time.Second))
	return &gapCell{gapPlatform{platformClient{client}, store, log}, whole, saved}
}

// start starts a daemon and waits until it has read the end of the log.
func (c *gapCell) start(t *testing.T) *callerAPI {
	e := newEngine(&Settings{Name: "a", Bounds: BoundSettings{MaxLeaseMS: 6000, StatusS: 120, FailoverMS: 3000, KeepS: 300}}, c.platform, event.Discard())
	e.setConfig(&cluster.Configuration{Version: 3, Queues: []cluster.Queue{{Name: "q", Host: "h", PathPrefix: "/p/", MaxAttempts: 2}}})
	api := &callerAPI{engine: e, ctx: t.Context()}
	go e.run(t.Context())
	go e.writer.run(t.Context())
	reader := &logReader{log: e.store, snapshots: c.platform, reads: e.store.reads, pages: e.pages, wake: e.wakeRead, timing: e.readTiming, appliedOffset: e.appliedOffset.Load, incomplete: e.isIncomplete.Load}
	go reader.run(t.Context())
	require.Eventually(t, func() bool {
		reached, _ := query(t.Context(), e, func(e *engine, reply chan<- bool) { reply <- e.lastReachedEndAt() > 0 })
		return reached
	}, 5*time.Second, 5*time.Millisecond)
	return api
}

// Guards against a daemon that answers, places or saves snapshots from what is left of the log: it told callers of accepted jobs
// that these do not exist.
func TestDaemonThatLacksRecordsSaysSo(t *testing.T) {
	cell := newGapCell(t)
	api := cell.start(t)
	for _, path := range []string{"/p/lost", "/p/late", "/p/"} {
		require.Equal(t, http.StatusServiceUnavailable, api.request(http.MethodGet, path, "").Code, path)
	}
	require.Equal(t, http.StatusServiceUnavailable, api.request(http.MethodDelete, "/p/lost", "").Code)
	_, known := api.engine.consultView(t.Context(), "q", "lost")
	require.False(t, known, "other daemons get no answer either")
	require.False(t, api.engine.isReady.Load())
	api.onEngine(func(e *engine) {
		require.Nil(t, e.placer)
		require.Contains(t, e.state.Members, "b", "the other daemons are known")
	})

	saveSnapshotOf(t, cell.writer, cell.whole, 2)
	require.Eventually(t, func() bool { return api.request(http.MethodGet, "/p/lost", "").Code == http.StatusOK }, 3*time.Second, 10*time.Millisecond)
	require.Equal(t, http.StatusOK, api.request(http.MethodGet, "/p/late", "").Code)
	require.Equal(t, http.StatusGone, api.request(http.MethodGet, "/p/other", "").Code)
	require.Eventually(t, api.engine.isReady.Load, time.Second, 10*time.Millisecond)
}

// Guards against a daemon that finds out while it answers that it lacks records, and then answers from the rest that a job does
// not exist.
func TestDaemonThatComesToLackRecordsSaysSo(t *testing.T) {
	start := func(t *testing.T) *callerAPI {
		cell := newGapCell(t)
		log := cell.platform.expiringLog
		log.first = 0
		api := cell.start(t)
		log.mu.Lock()
		defer log.mu.Unlock()
		log.onEnd = func(l *expiringLog) { // the daemon follows the log too slowly: the next record expires before it is read
			l.records = append(l.records, l.records[0], l.records[0])
			l.first, l.onEnd = int64(len(l.records)-1), nil
		}
		return api
	}
	requireIncomplete := func(t *testing.T, api *callerAPI) {
		incomplete, _ := query(t.Context(), api.engine, func(e *engine, reply chan<- bool) { reply <- e.gap != nil })
		require.True(t, incomplete)
	}
	for _, method := range []string{http.MethodGet, http.MethodDelete} {
		t.Run(method, func(t *testing.T) {
			api := start(t)
			require.Equal(t, http.StatusServiceUnavailable, api.request(method, "/p/other", "").Code)
			requireIncomplete(t, api)
		})
	}
	t.Run("consulted", func(t *testing.T) {
		api := start(t)
		_, known := api.engine.consultView(t.Context(), "q", "other")
		require.False(t, known)
		requireIncomplete(t, api)
	})
}

// Guards against a cell that never places again because all daemons lack the same records, and against one that then denies the
// jobs whose records were lost.
func TestLostRecordsAreGivenUpAfterAWait(t *testing.T) {
	cell := newGapCell(t)
	api := cell.start(t)
	began := bootclock.Now()
	places := func() bool {
		placing, _ := query(t.Context(), api.engine, func(e *engine, reply chan<- bool) { reply <- e.placer != nil })
		return placing
	}
	require.Eventually(t, places, gapWait+maxGapRanks*gapRankDelay+3*time.Second, 10*time.Millisecond)
	require.Greater(t, bootclock.Now()-began, gapWait-time.Second)
	require.Equal(t, http.StatusServiceUnavailable, api.request(http.MethodGet, "/p/lost", "").Code)
	require.Equal(t, http.StatusOK, api.request(http.MethodGet, "/p/late", "").Code)

	require.Eventually(t, func() bool {
		saved, _ := query(t.Context(), api.engine, func(e *engine, reply chan<- bool) { reply <- e.snapshotOffset >= 10 })
		return saved
	}, 5*time.Second, 10*time.Millisecond, "the state is the cell's once it is saved")
	follower := cell.start(t)
	require.Equal(t, http.StatusServiceUnavailable, follower.request(http.MethodGet, "/p/lost", "").Code)
	require.Equal(t, http.StatusOK, follower.request(http.MethodGet, "/p/late", "").Code)
	follower.onEngine(func(e *engine) { require.Nil(t, e.gap) })
}

// Guards against a daemon whose planned stop begins while its claim is under way: it went on placing until its end, and saved
// nothing for the daemons that start after the log has expired.
func TestClaimWonDuringAPlannedStopIsReleasedAndTheStateSaved(t *testing.T) {
	cell := newGapCell(t)
	log := cell.platform.expiringLog
	log.first = 0
	claimed := make(chan struct{})
	log.onAppend = func(records [][]byte) {
		if r, err := flow.Decode(records[0]); err == nil && r.Claim != nil {
			claimed <- struct{}{}
			<-claimed
		}
	}
	api := cell.start(t)
	<-claimed
	api.onEngine(func(e *engine) { e.draining = true })
	log.mu.Lock()
	log.onAppend = nil
	log.mu.Unlock()
	claimed <- struct{}{}
	require.Eventually(t, func() bool {
		saved, _ := query(t.Context(), api.engine, func(e *engine, reply chan<- bool) {
			reply <- e.placer == nil && e.state.Claim.Epoch == e.claimEpoch && e.state.Claim.Daemon == "" && e.snapshotOffset == e.state.NextOffset
		})
		return saved
	}, 10*time.Second, 10*time.Millisecond)
	started := cell.start(t)
	require.Equal(t, http.StatusOK, started.request(http.MethodGet, "/p/late", "").Code)
}

// Guards against a panic in the planned stop of a cell in which no daemon has claimed yet: no snapshot can be saved.
func TestPlannedStopBeforeTheFirstClaimSavesNothing(t *testing.T) {
	e := newFollower(bootclock.Now())
	e.state.Claim, e.state.NextOffset, e.draining = flow.Claim{}, 1, true
	require.False(t, e.lastStateUnsaved())
	require.NotPanics(t, func() { e.saveLastSnapshot(t.Context(), bootclock.Now()) })
}

// Guards against a daemon that claims although its planned stop has begun: it would delay the takeover by one that stays.
func TestDaemonThatBeginsToStopDuringTheCheckBeforeAClaimDoesNotClaim(t *testing.T) {
	for _, stops := range []bool{false, true} {
		cell := newGapCell(t)
		e := newEngine(&Settings{Name: "a", Bounds: BoundSettings{MaxLeaseMS: 6000, StatusS: 120, FailoverMS: 3000, KeepS: 300}}, cell.platform, event.Discard())
		e.setConfig(&cluster.Configuration{Version: 3})
		e.state, e.readToEndAt, e.readableSince, e.firstConfigAt = cell.whole, bootclock.Now(), 1, 1
		e.claimIfDue(t.Context(), e.readToEndAt)
		require.True(t, e.claiming, "the end of the log is asked for")
		checked := <-e.calls
		e.draining = stops
		checked(e)
		require.Equal(t, !stops, e.claiming)
	}
}

// Guards against a daemon with all records that follows a placer without some of them, and against two daemons that go on from
// different remains of the log.
func TestOnlyOneStateRemainsAfterALossOfRecords(t *testing.T) {
	claim := flow.Record{Claim: &flow.Claim{Daemon: "b", Epoch: 9, StartedMS: 1, Truncated: true}}
	whole := newFollower(time.Hour)
	whole.applyRecord(t.Context(), &decodedRecord{record: claim}, time.Hour)
	require.Empty(t, whole.state.Claim.Daemon, "this daemon, or another one with all records, claims next")
	require.Equal(t, "b", whole.state.Superseded[len(whole.state.Superseded)-1].Daemon, "the rejected placer is asked to stop")

	starting := newFollower(0)
	starting.applyRecord(t.Context(), &decodedRecord{record: claim}, time.Hour)
	require.Equal(t, "b", starting.state.Claim.Daemon)

	other := newFollower(time.Hour)
	other.lossClaimed = true
	answered := true
	other.refreshWaiters = []refreshWaiter{{0, func(_ *engine, ok bool) { answered = ok }}}
	other.applyRecord(t.Context(), &decodedRecord{record: claim}, time.Hour)
	other.notifyRefreshWaiters()
	require.NotNil(t, other.gap)
	require.Zero(t, other.readToEndAt)
	require.False(t, answered, "a caller's query that was under way gets no answer from the state that is given up")
}
