package cell

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/flow"
	"briarproxy/daemon/bootclock"
)

// serveConsults lets other daemons consult a daemon, and returns the address for it.
func serveConsults(t *testing.T, api *callerAPI) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	require.NoError(t, servePeers(l, &peerService{consultView: api.engine.consultView}))
	return l.Addr().String()
}

// newUnreadDaemon returns a daemon that has read nothing of the log and may consult the given peers.
func newUnreadDaemon(t *testing.T, peers ...string) *callerAPI {
	api := newSlowLinkDaemon(t, &slowLinkStore{})
	api.engine.store.memberAddresses.Store(&peers)
	api.onEngine(func(e *engine) { e.writer.storedAt.Store(int64(bootclock.Now())) })
	return api
}

// Guards against callers that get no answer, or one from an empty state, from a daemon that is still
// reading the log.
func TestADaemonBehindTheLogConsultsACurrentOne(t *testing.T) {
	store := &fakeStore{}
	current := newTestCallerAPI(t, store, 0)
	current.onEngine(func(e *engine) {
		e.state.Jobs["open"] = &flow.Job{Submit: flow.Submit{ID: "open", Queue: "q"}, Phase: flow.Running}
	})
	api := newUnreadDaemon(t, serveConsults(t, current))
	for _, test := range []struct {
		method, path, body string
		status             int
		text               string
	}{
		{http.MethodGet, "/p/", "", http.StatusOK, `{"Pending":7}`},
		{http.MethodGet, "/p/known", "", http.StatusOK, `{"State":"completed"}`},
		{http.MethodGet, "/p/open", "", http.StatusOK, `{"State":"running"}`},
		{http.MethodGet, "/p/unknown", "", http.StatusGone, ""},
		{http.MethodDelete, "/p/unknown", "", http.StatusGone, ""},
		{http.MethodDelete, "/p/known", "", http.StatusOK, "completed"},
		{http.MethodDelete, "/p/open", "", http.StatusOK, "cancelled"},
		{http.MethodPost, "/p/new", jobBody, http.StatusOK, "queued"},
	} {
		got := api.request(test.method, test.path, test.body)
		require.Equal(t, test.status, got.Code, "%s %s", test.method, test.path)
		require.Contains(t, got.Body.String(), test.text)
	}
	require.EqualValues(t, 3, api.engine.platform.(slowLinkPlatform).store.appends.Load(), "both cancellations and the new job")
}

// Guards against a chain of daemons that forward a query, and against status 410 or a count from a
// daemon that is itself behind the log.
func TestConsultIsNotForwarded(t *testing.T) {
	stale := newTestCallerAPI(t, &fakeStore{}, 10*time.Second)
	current := []string{serveConsults(t, newTestCallerAPI(t, &fakeStore{}, 0))}
	stale.engine.store.memberAddresses.Store(&current)
	api := newUnreadDaemon(t, serveConsults(t, stale), serveConsults(t, newUnreadDaemon(t)))
	for _, path := range []string{"/p/", "/p/unknown"} {
		got := api.request(http.MethodGet, path, "")
		require.Equal(t, http.StatusServiceUnavailable, got.Code, path)
		require.NotEmpty(t, got.Header().Get("Retry-After"))
	}
	require.Equal(t, http.StatusOK, api.request(http.MethodGet, "/p/known", "").Code, "a final state never changes")
}

// Guards against a successor of the placer that has not read the log: it could start no task until it
// has.
func TestADaemonThatHasNotReadTheLogDoesNotBecomeThePlacer(t *testing.T) {
	api := newSlowLinkDaemon(t, &slowLinkStore{})
	api.onEngine(func(e *engine) { e.claiming, e.state.Claim = false, flow.Claim{Daemon: "x", Epoch: 5} })
	succeeded, ok := query(t.Context(), api.engine, func(e *engine, reply chan<- bool) { e.succeed(api.ctx, 5, reply) })
	require.True(t, ok)
	require.False(t, succeeded)
}

// Guards against answers from a state that is older than callers expect: they take a count or a state
// for the current one.
func TestSourcesOfAnswers(t *testing.T) {
	const now = time.Minute
	never, fresh, old := readState{}, readState{1, now - time.Second}, readState{1, now - 2*time.Second}
	running, failed := view{Found: true, Phase: flow.Running}, view{Found: true, Phase: flow.Failed}
	for _, test := range []struct {
		read         readState
		view         view
		count, state source
	}{
		{never, view{}, fromPeer, fromPeer}, {never, running, fromPeer, fromPeer}, {never, failed, fromPeer, fromLocalState},
		{old, view{}, fromPeer, fromPeer}, {old, running, fromPeer, fromPeer}, {old, failed, fromPeer, fromLocalState},
		{fresh, view{}, fromLocalState, fromLog}, {fresh, running, fromLocalState, fromLocalState}, {fresh, failed, fromLocalState, fromLocalState},
	} {
		require.Equal(t, test.count, sourceOfCount(test.read, now), "%v %v", test.read, test.view)
		require.Equal(t, test.state, sourceOfState(test.read, test.view, now), "%v %v", test.read, test.view)
	}
}

// Guards against answers from a state that lacks records, because records that expired unread counted
// as read.
func TestExpiredRecordsDoNotRenewTheReadState(t *testing.T) {
	api := newSlowLinkDaemon(t, &slowLinkStore{})
	now := bootclock.Now()
	var read readState
	api.onEngine(func(e *engine) {
		e.handlePage(api.ctx, page{sentAt: now, readAt: now, next: 50, first: 50, end: 50, expired: true})
		read = e.readState()
	})
	require.False(t, read.noOlderThan(maxCountAge, bootclock.Now()))
}

// Guards against a snapshot that is skipped because it ends exactly where the retained records begin.
func TestSnapshotEndingAtTheOldestRetainedRecordIsLoaded(t *testing.T) {
	api := newSlowLinkDaemon(t, &slowLinkStore{})
	now := bootclock.Now()
	state := flow.NewState()
	state.NextOffset, state.Jobs["j"] = 50, &flow.Job{Submit: flow.Submit{ID: "j", Queue: "q"}, Phase: flow.Completed, EndedAt: now}
	api.onEngine(func(e *engine) {
		e.handlePage(api.ctx, page{sentAt: now, readAt: now, next: 50, first: 50, end: 50, expired: true})
		e.handlePage(api.ctx, page{sentAt: now, readAt: now, next: 50, end: 51, snapshot: state, generation: 3})
	})
	api.onEngine(func(e *engine) { state = e.state })
	require.Contains(t, state.Jobs, "j")
	require.EqualValues(t, 50, state.NextOffset)
}

// Guards against status 410 for a job that the log contains beyond what the consulted daemon has read.
func TestAJobIsUnknownOnlyAtTheEndOfTheLog(t *testing.T) {
	peer := newSlowLinkDaemon(t, newStoreWithSnapshots(t))
	peer.onEngine(func(e *engine) { e.state.NextOffset, e.readToEndAt = snapshotJobs, bootclock.Now() }) // tailRecords behind
	api := newUnreadDaemon(t, serveConsults(t, peer))
	require.Equal(t, http.StatusServiceUnavailable, api.request(http.MethodGet, "/p/unknown", "").Code)
}
