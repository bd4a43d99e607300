package cell

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/cluster"
	"briarproxy/core/flow"
	"briarproxy/daemon/bootclock"
	"briarproxy/daemon/event"
	"briarproxy/platform"
)

// fakePlatform combines the platform client's request format with a fake store.
type fakePlatform struct {
	*platform.Client
	store *fakeStore
}

func (f fakePlatform) Append(ctx context.Context, partition int, records [][]byte, fence *cluster.Fence) (int64, error) {
	return f.store.Append(ctx, partition, records, fence)
}

func (f fakePlatform) Read(ctx context.Context, partition int, from int64, wait time.Duration) (cluster.LogPage, error) {
	return f.store.Read(ctx, partition, from, wait)
}

func (f fakePlatform) End(ctx context.Context, partition int, from int64) (int64, error) {
	return f.store.End(ctx, partition, from)
}

const jobBody = `{"Spec":"s","Steps":[{"Count":1,"Cpu":500}]}`

// newTestCallerAPI runs an engine that last read the log to its end the given time ago, and returns its
// callers' API.
func newTestCallerAPI(t *testing.T, store *fakeStore, readAge time.Duration) *callerAPI {
	e := newEngine(&Settings{Name: "a", Bounds: BoundSettings{MaxLeaseMS: 6000, StatusS: 120, FailoverMS: 3000, KeepS: 300}},
		fakePlatform{platform.New(platform.Addresses{}, NewDialer(time.Second, time.Second)), store}, event.Discard())
	e.setConfig(&cluster.Configuration{Version: 3, Queues: []cluster.Queue{{Name: "q", Host: "h", PathPrefix: "/p/", MaxAttempts: 2}}})
	e.readToEndAt = bootclock.Now() - readAge
	e.state.NextOffset = 100
	e.state.Jobs["known"] = &flow.Job{Submit: flow.Submit{ID: "known", Queue: "q"}, Phase: flow.Completed, EndedAt: bootclock.Now()}
	e.state.Pending["q"] = 7
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	e.claiming = true               // keeps this daemon from becoming the placer
	e.helloSentAt = bootclock.Now() // the daemon announces itself in 5 s; the tests count the appends of callers' records
	go e.run(ctx)
	go e.writer.run(ctx)
	return &callerAPI{engine: e, ctx: ctx}
}

func (a *callerAPI) request(method, path, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, "http://h"+path, strings.NewReader(body))
	r.Header.Set("X-Deadline-Ms", "1000")
	w := httptest.NewRecorder()
	a.ServeHTTP(w, r)
	return w
}

// Guards against wrong answers to any kind of request while the log works normally.
func TestCallersAreAnswered(t *testing.T) {
	store := &fakeStore{}
	api := newTestCallerAPI(t, store, 0)
	long := strings.Repeat("f", maxJobIDBytes+1)
	for _, test := range []struct {
		method, path, body string
		status             int
		text               string
		appends            int64 // of this request
	}{
		{http.MethodPost, "/p/new", jobBody, http.StatusOK, "queued", 1},
		{http.MethodPost, "/p/known", jobBody, http.StatusOK, "completed", 0},
		{http.MethodPost, "/p/bad", `{"Spec":"s","Steps":[]}`, http.StatusBadRequest, "", 0},
		{http.MethodPost, "/p/" + long, jobBody, http.StatusBadRequest, "", 0},
		{http.MethodPost, "/p/", jobBody, http.StatusMethodNotAllowed, "", 0},
		{http.MethodPost, "/other/x", jobBody, http.StatusNotFound, "", 0},
		{http.MethodGet, "/p/known", "", http.StatusOK, `{"State":"completed"}`, 0},
		{http.MethodGet, "/p/unknown", "", http.StatusGone, "", 0},
		{http.MethodDelete, "/p/unknown", "", http.StatusGone, "", 1},
		{http.MethodDelete, "/p/known", "", http.StatusOK, "completed", 0},
		{http.MethodDelete, "/p/" + long, "", http.StatusGone, "", 0},
		{http.MethodGet, "/p/", "", http.StatusOK, `{"Pending":7}`, 0},
	} {
		before := store.appends.Load()
		got := api.request(test.method, test.path, test.body)
		require.Equal(t, test.status, got.Code, "%s %s", test.method, test.path)
		require.Contains(t, got.Body.String(), test.text)
		require.Equal(t, test.appends, store.appends.Load()-before, "%s %s", test.method, test.path)
	}
}

// endAnsweringStore reports the log's end although other calls may fail.
type endAnsweringStore struct {
	Platform
	ends *fakeStore
}

func (s endAnsweringStore) End(ctx context.Context, partition int, from int64) (int64, error) {
	return s.ends.End(ctx, partition, from)
}

// Guards against a caller who is told that no job of an id exists although a submission of it that is stored later
// would run: the answer must leave a record in the log that such a submission meets.
func TestCancellationOfAnUnknownJobIsAnsweredOnceItIsStored(t *testing.T) {
	store, answering := &fakeStore{}, &fakeStore{}
	api := newTestCallerAPI(t, store, 0)
	api.engine.store.direct = endAnsweringStore{api.engine.platform, answering}
	store.failWith(errNoAnswer)
	require.Equal(t, http.StatusGatewayTimeout, api.request(http.MethodDelete, "/p/unknown", "").Code)
	store.failWith(errRefused)
	got := api.request(http.MethodDelete, "/p/unknown", "")
	require.Equal(t, http.StatusServiceUnavailable, got.Code)
	require.Equal(t, "1", got.Header().Get("Retry-After"))
	store.failWith(nil)
	require.Eventually(t, func() bool {
		api.onEngine(func(e *engine) { e.readToEndAt = bootclock.Now() })
		return api.request(http.MethodDelete, "/p/unknown", "").Code == http.StatusGone
	}, 5*time.Second, 50*time.Millisecond)

	api.onEngine(func(e *engine) {
		require.NoError(t, e.state.Apply(&flow.Record{Cancel: &flow.Cancel{ID: "unknown", Absent: true}}, bootclock.Now()))
	})
	sent := store.appends.Load()
	require.Equal(t, http.StatusGone, api.request(http.MethodDelete, "/p/unknown", "").Code)
	require.Equal(t, sent, store.appends.Load(), "the log has the cancellation already")
	require.Equal(t, http.StatusGone, api.request(http.MethodGet, "/p/unknown", "").Code, "nobody has submitted the job")
	got = api.request(http.MethodPost, "/p/unknown", jobBody)
	require.Equal(t, http.StatusOK, got.Code)
	require.Contains(t, got.Body.String(), "cancelled")
}

// Guards against a caller who fills the log and the memory of all daemons by cancelling jobs that do not exist.
func TestCancellationsOfUnknownJobsAreBounded(t *testing.T) {
	store := &fakeStore{}
	api := newTestCallerAPI(t, store, 0)
	api.onEngine(func(e *engine) {
		for i := 0; e.state.AcceptsTombstone(""); i++ {
			require.NoError(t, e.state.Apply(&flow.Record{Cancel: &flow.Cancel{ID: strconv.Itoa(i), Absent: true}}, bootclock.Now()))
		}
		e.state.Jobs["open"] = &flow.Job{Submit: flow.Submit{ID: "open", Queue: "q"}, Phase: flow.Running}
	})
	got := api.request(http.MethodDelete, "/p/unknown", "")
	require.Equal(t, http.StatusServiceUnavailable, got.Code)
	require.NotEmpty(t, got.Header().Get("Retry-After"))
	require.Zero(t, store.appends.Load())
	require.Equal(t, http.StatusOK, api.request(http.MethodDelete, "/p/open", "").Code, "a known job can be cancelled all the same")
}

// Guards against callers that wait for their whole time limit during a known outage of the log,
// against a job reported as rejected although it was sent to the log, and against status 410 for a
// job that the log may contain.
func TestCallersAreRefusedAtOnceDuringALogOutage(t *testing.T) {
	store := &fakeStore{}
	store.failWith(errNoAnswer)
	api := newTestCallerAPI(t, store, 10*time.Second)
	began := time.Now()
	got := api.request(http.MethodPost, "/p/new", jobBody)
	require.Equal(t, http.StatusServiceUnavailable, got.Code)
	require.Equal(t, "2", got.Header().Get("Retry-After"))
	require.Less(t, time.Since(began), 200*time.Millisecond)
	require.Zero(t, store.appends.Load())
	require.Equal(t, http.StatusServiceUnavailable, api.request(http.MethodGet, "/p/unknown", "").Code)
	require.Equal(t, http.StatusOK, api.request(http.MethodGet, "/p/known", "").Code)
	got = api.request(http.MethodGet, "/p/", "") // the count is 10 s old, which callers would take for the current one
	require.Equal(t, http.StatusServiceUnavailable, got.Code)
	require.NotEmpty(t, got.Header().Get("Retry-After"))

	api = newTestCallerAPI(t, store, 0)
	require.Equal(t, http.StatusGatewayTimeout, api.request(http.MethodPost, "/p/new", jobBody).Code)
}

// Guards against a cancellation reported as rejected although the log may have stored it, and
// against a caller that waits during a known outage of the log.
func TestCancellationReportsUnknownOutcomes(t *testing.T) {
	store := &fakeStore{}
	api := newTestCallerAPI(t, store, 0)
	api.onEngine(func(e *engine) {
		e.state.Jobs["open"] = &flow.Job{Submit: flow.Submit{ID: "open", Queue: "q"}, Phase: flow.Running}
	})
	store.failWith(errNoAnswer)
	require.Equal(t, http.StatusGatewayTimeout, api.request(http.MethodDelete, "/p/open", "").Code)

	store.failWith(errRefused)
	got := api.request(http.MethodDelete, "/p/open", "")
	require.Equal(t, http.StatusServiceUnavailable, got.Code)
	require.Equal(t, "1", got.Header().Get("Retry-After"))

	api.onEngine(func(e *engine) { e.readToEndAt = bootclock.Now() - 10*time.Second })
	sent, began := store.appends.Load(), time.Now()
	got = api.request(http.MethodDelete, "/p/open", "")
	require.Equal(t, http.StatusServiceUnavailable, got.Code)
	require.Equal(t, "2", got.Header().Get("Retry-After"))
	require.Less(t, time.Since(began), 200*time.Millisecond)
	require.Equal(t, sent, store.appends.Load())
}

// onEngine runs a change of the engine's state on the engine's goroutine.
func (a *callerAPI) onEngine(change func(e *engine)) {
	done := make(chan struct{})
	a.engine.do(a.ctx, func(e *engine) { change(e); close(done) })
	<-done
}
