package cell

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"net/rpc"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"briarproxy/core/cluster"
	"briarproxy/core/fault"
	"briarproxy/core/flow"
	"briarproxy/core/keylease"
	"briarproxy/daemon/bootclock"
	"briarproxy/daemon/event"
)

const (
	millKey = "key-of-the-mill"
	farmKey = "key-of-the-farms"
)

// keyedConfig returns a configuration with two workspaces, a queue that needs a key and a public one.
func keyedConfig(version int64) *cluster.Configuration {
	return &cluster.Configuration{
		Version: version,
		Queues: []cluster.Queue{
			{Name: "q", Host: "h", PathPrefix: "/p/", MaxAttempts: 2},
			{Name: "open", Host: "h", PathPrefix: "/public/", MaxAttempts: 2, Public: true},
		},
		Workspaces: []cluster.Workspace{{Name: "mill", Keys: cluster.DigestKeys(millKey)}, {Name: "farms", Keys: cluster.DigestKeys(farmKey)}},
	}
}

// newKeyedAPI returns the callers' API of a daemon with keys that work for 5 s at most after they were
// taken away. It has just confirmed its configuration.
func newKeyedAPI(t *testing.T, store *fakeStore) *callerAPI {
	api := newTestCallerAPI(t, store, 0)
	api.onEngine(func(e *engine) {
		e.keyLease = keylease.New(5 * time.Second)
		e.applyConfigReading(configReading{keyedConfig(4), 1, bootclock.Now()})
	})
	return api
}

func (a *callerAPI) requestWithKey(method, path, key, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, "http://h"+path, strings.NewReader(body))
	r.Header.Set("X-Deadline-Ms", "1000")
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	w := httptest.NewRecorder()
	a.ServeHTTP(w, r)
	return w
}

// Guards against calls that run with a key that may have been taken away, against a daemon that goes on
// refusing once it has a new reading, and against public queues that close with the lease.
func TestCallsWithAKeyNeedAConfirmedConfiguration(t *testing.T) {
	store := &fakeStore{}
	api := newKeyedAPI(t, store)
	require.Equal(t, http.StatusOK, api.requestWithKey(http.MethodPost, "/p/a", millKey, jobBody).Code)
	require.Equal(t, http.StatusUnauthorized, api.requestWithKey(http.MethodPost, "/p/b", "guess", jobBody).Code)
	require.Equal(t, http.StatusUnauthorized, api.requestWithKey(http.MethodPost, "/p/b", "", jobBody).Code)
	require.Equal(t, http.StatusUnauthorized, api.requestWithKey(http.MethodPost, "/public/b", "guess", jobBody).Code)
	require.EqualValues(t, 1, store.appends.Load())

	api.onEngine(func(e *engine) {
		e.keyLease = keylease.New(5 * time.Second)
		e.applyConfigReading(configReading{keyedConfig(4), 1, bootclock.Now() - 5*time.Second})
		e.publish(bootclock.Now())
	})
	for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodDelete} {
		got := api.requestWithKey(method, "/p/known", millKey, jobBody)
		require.Equal(t, http.StatusServiceUnavailable, got.Code, method)
		require.NotEmpty(t, got.Header().Get("Retry-After"))
	}
	require.Equal(t, http.StatusServiceUnavailable, api.requestWithKey(http.MethodPost, "/public/b", millKey, jobBody).Code)
	require.EqualValues(t, 1, store.appends.Load())
	require.Equal(t, http.StatusOK, api.requestWithKey(http.MethodPost, "/public/b", "", jobBody).Code)
	require.InDelta(t, 4, testutil.ToFloat64(api.engine.metrics.keyRefusals.WithLabelValues(string(keyUnconfirmed))), 0)
	require.False(t, api.engine.isReady.Load(), "other daemons are to get the callers")

	api.onEngine(func(e *engine) { e.applyConfigReading(configReading{next: 1, sentAt: bootclock.Now()}) })
	require.Equal(t, http.StatusOK, api.requestWithKey(http.MethodPost, "/p/c", millKey, jobBody).Code)
}

// Guards against open queues after a configuration without any workspace, where keys must end to work.
func TestAConfigurationWithoutWorkspacesAdmitsNoKey(t *testing.T) {
	api := newKeyedAPI(t, &fakeStore{})
	api.onEngine(func(e *engine) {
		config := keyedConfig(5)
		config.Workspaces = nil
		e.applyConfigReading(configReading{config, 2, bootclock.Now()})
	})
	require.Equal(t, http.StatusUnauthorized, api.requestWithKey(http.MethodGet, "/p/known", millKey, "").Code)
	require.Equal(t, http.StatusUnauthorized, api.requestWithKey(http.MethodGet, "/p/known", "", "").Code)
	require.Equal(t, http.StatusOK, api.requestWithKey(http.MethodPost, "/public/b", "", jobBody).Code)
}

// Guards against a workspace that reads, cancels or takes over the jobs of another one, whether this
// daemon knows the job or consults another daemon, and against jobs without a workspace that close.
func TestJobsAreOpenToTheirWorkspaceOnly(t *testing.T) {
	store := &fakeStore{}
	api := newKeyedAPI(t, store)
	api.onEngine(func(e *engine) {
		e.state.Jobs["mills"] = &flow.Job{Submit: flow.Submit{ID: "mills", Queue: "q", Workspace: "mill"}, Phase: flow.Running}
		e.state.Jobs["ended"] = &flow.Job{Submit: flow.Submit{ID: "ended", Workspace: "mill"}, Phase: flow.Completed, EndedAt: bootclock.Now()}
	})
	behind := newUnreadDaemon(t, serveConsults(t, api))
	behind.onEngine(func(e *engine) { e.setConfig(keyedConfig(4)) })
	for _, daemon := range []*callerAPI{api, behind} {
		for _, id := range []string{"mills", "ended"} {
			require.Equal(t, http.StatusOK, daemon.requestWithKey(http.MethodGet, "/p/"+id, millKey, "").Code)
			require.Equal(t, http.StatusForbidden, daemon.requestWithKey(http.MethodGet, "/p/"+id, farmKey, "").Code)
			require.Equal(t, http.StatusForbidden, daemon.requestWithKey(http.MethodDelete, "/p/"+id, farmKey, "").Code)
			require.Equal(t, http.StatusForbidden, daemon.requestWithKey(http.MethodGet, "/public/"+id, "", "").Code)
		}
		require.Equal(t, http.StatusOK, daemon.requestWithKey(http.MethodGet, "/p/known", farmKey, "").Code)
	}
	require.Equal(t, http.StatusForbidden, behind.requestWithKey(http.MethodPost, "/p/mills", farmKey, jobBody).Code)
	appends := store.appends.Load()
	require.Equal(t, http.StatusForbidden, api.requestWithKey(http.MethodPost, "/p/mills", farmKey, jobBody).Code)
	require.Equal(t, appends, store.appends.Load())
}

// Guards against submissions that are not counted for their workspace, and against metrics that grow with
// each workspace that ever was.
func TestSubmissionsAreCountedByWorkspace(t *testing.T) {
	store := &fakeStore{}
	api := newKeyedAPI(t, store)
	require.Equal(t, http.StatusOK, api.requestWithKey(http.MethodPost, "/p/a", millKey, jobBody).Code)
	store.failWith(errRefused)
	require.Equal(t, http.StatusServiceUnavailable, api.requestWithKey(http.MethodPost, "/p/b", farmKey, jobBody).Code)
	jobs := api.engine.metrics.workspaceJobs
	require.InDelta(t, 1, testutil.ToFloat64(jobs.WithLabelValues("mill", "accepted")), 0)
	require.InDelta(t, 1, testutil.ToFloat64(jobs.WithLabelValues("farms", "refused")), 0)
	api.onEngine(func(e *engine) {
		config := keyedConfig(5)
		config.Workspaces = config.Workspaces[:1]
		e.setConfig(config)
	})
	require.Equal(t, 1, testutil.CollectAndCount(jobs))
}

// formerDaemon answers as daemons that don't know workspaces do.
type formerDaemon struct{}

// FormerConfigurationReply is the reply of such a daemon.
type FormerConfigurationReply struct {
	Some   bool
	Config struct{ Version int64 }
	Next   int64
}

// FormerConsultReply is the reply of such a daemon.
type FormerConsultReply struct {
	Known bool
	Found bool
	Phase string
}

func (formerDaemon) Configuration(_ *ReadArgs, reply *FormerConfigurationReply) error {
	reply.Some, reply.Config.Version, reply.Next = true, 9, 7
	return nil
}

func (formerDaemon) Consult(_ *ConsultArgs, reply *FormerConsultReply) error {
	*reply = FormerConsultReply{Known: true, Found: true, Phase: string(flow.Running)}
	return nil
}

// Guards against queues that open during an update, because a daemon of an earlier version leaves out
// the workspaces of configurations and jobs that it passes on.
func TestWordOfADaemonWithoutWorkspacesIsNotTaken(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	server := rpc.NewServer()
	require.NoError(t, server.RegisterName("Cell", formerDaemon{}))
	go server.Accept(listener)
	client := newStoreClient(&fakeStore{}, newPeerClients())
	_, err = client.peers.configThroughPeer(t.Context(), listener.Addr().String(), 3, 0)
	require.True(t, fault.Is(err, fault.Unavailable), "%v", err)

	api := newUnreadDaemon(t, listener.Addr().String())
	require.Equal(t, http.StatusOK, api.requestWithKey(http.MethodGet, "/p/j", "", "").Code, "keys are not needed")
	api.onEngine(func(e *engine) { e.setConfig(keyedConfig(4)) })
	require.Equal(t, http.StatusServiceUnavailable, api.requestWithKey(http.MethodGet, "/p/j", farmKey, "").Code)
}

// topicStore holds a configuration. While it is silent, no reading is answered.
type topicStore struct {
	fakeStore
	mu       sync.Mutex
	config   *cluster.Configuration
	position int64
	invalid  bool
	silent   atomic.Bool
	hanging  atomic.Int64 // readings that get no answer until their context ends
	readings atomic.Int64
}

func (s *topicStore) publish(c *cluster.Configuration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config, s.position, s.invalid = c, s.position+1, c == nil
}

func (s *topicStore) Configuration(ctx context.Context, from int64, wait time.Duration) (*cluster.Configuration, int64, error) {
	s.readings.Add(1)
	hang := s.hanging.Add(-1) >= 0
	for until := time.Now().Add(wait); ; time.Sleep(5 * time.Millisecond) {
		if hang || s.silent.Load() {
			<-ctx.Done()
			return nil, from, errNoAnswer
		}
		s.mu.Lock()
		config, position, invalid := s.config, s.position, s.invalid
		s.mu.Unlock()
		switch {
		case from < position && invalid:
			return nil, position, fault.New(fault.Invalid, "publish a valid one", "the configuration is invalid")
		case from < position:
			return config, position, nil
		case time.Now().After(until):
			return nil, position, nil
		}
	}
}

// newWatchingAPI returns the API of a daemon that watches a store for its configuration.
func newWatchingAPI(t *testing.T, store *topicStore, bound time.Duration) *callerAPI {
	api := newTestCallerAPI(t, &fakeStore{}, 0)
	api.onEngine(func(e *engine) {
		e.config, e.keyLease = nil, keylease.New(bound)
		e.store.direct = store
	})
	go api.engine.watchConfig(api.ctx)
	return api
}

func (a *callerAPI) statusOf(key string) int {
	return a.requestWithKey(http.MethodGet, "/p/known", key, "").Code
}

// Guards against a revoked key that works beyond the bound at a daemon that is cut off from the store,
// and against a lease that comes back from the version in force rather than from a new reading.
func TestARevokedKeyEndsAtADaemonThatIsCutOff(t *testing.T) {
	const bound = 1500 * time.Millisecond
	store := &topicStore{}
	store.publish(keyedConfig(4))
	api := newWatchingAPI(t, store, bound)
	require.Eventually(t, func() bool { return api.statusOf(farmKey) == http.StatusOK }, time.Second, 5*time.Millisecond)
	time.Sleep(bound)
	require.Equal(t, http.StatusOK, api.statusOf(farmKey), "readings renew the lease")
	store.silent.Store(true)
	revoked := keyedConfig(5)
	revoked.Workspaces[1].Keys = nil
	store.publish(revoked)
	revokedAt := time.Now()
	for api.statusOf(farmKey) == http.StatusOK {
		require.Less(t, time.Since(revokedAt), bound)
		time.Sleep(2 * time.Millisecond)
	}
	require.Equal(t, http.StatusServiceUnavailable, api.statusOf(millKey))
	store.silent.Store(false)
	require.Eventually(t, func() bool { return api.statusOf(millKey) == http.StatusOK }, 3*time.Second, 5*time.Millisecond)
	require.Equal(t, http.StatusUnauthorized, api.statusOf(farmKey))
}

// Guards against keys that go on working beside a published version that can't be used, against a
// reading of that version in a loop, and against a daemon that stays closed after the next good one.
func TestAnUnreadableVersionLetsTheLeaseExpire(t *testing.T) {
	store := &topicStore{}
	store.publish(keyedConfig(4))
	api := newWatchingAPI(t, store, time.Second)
	require.Eventually(t, func() bool { return api.statusOf(farmKey) == http.StatusOK }, time.Second, 5*time.Millisecond)
	store.publish(nil)
	require.Eventually(t, func() bool { return api.statusOf(farmKey) == http.StatusServiceUnavailable }, 2*time.Second, 5*time.Millisecond)
	before := store.readings.Load()
	time.Sleep(500 * time.Millisecond)
	require.Less(t, store.readings.Load()-before, int64(8))
	store.publish(keyedConfig(6))
	require.Eventually(t, func() bool { return api.statusOf(farmKey) == http.StatusOK }, 2*time.Second, 5*time.Millisecond)
}

// Guards against keys that stop working because one connection to the store is silent.
func TestALateReadingIsRepeated(t *testing.T) {
	store := &topicStore{}
	store.publish(keyedConfig(4))
	store.hanging.Store(1)
	client := newStoreClient(store, newPeerClients())
	began := bootclock.Now()
	reading, err := client.readConfigHedged(t.Context(), -1, 0)
	require.NoError(t, err)
	require.EqualValues(t, 4, reading.config.Version)
	require.GreaterOrEqual(t, reading.sentAt-began, lateReadingDelay, "the lease counts from the repetition that was answered")
	require.Less(t, bootclock.Now()-began, lateReadingDelay+rereadInterval)
}

// Guards against appends that lose their connection to another daemon, and with it their outcome, because
// a reading of the configuration through it is no longer needed.
func TestAReadingThatIsNotNeededKeepsItsConnection(t *testing.T) {
	direct, behindPeer := &fakeStore{}, &topicStore{}
	direct.failWith(errRefused)
	behindPeer.publish(keyedConfig(4))
	behindPeer.hanging.Store(1)
	client := newStoreClient(configRefusing{direct}, newPeerClients())
	addresses := []string{serveStorePeer(t, behindPeer)}
	client.memberAddresses.Store(&addresses)
	ctx, cancel := context.WithCancel(t.Context())
	reading, err := client.readConfigHedged(ctx, -1, 0)
	cancel()
	require.NoError(t, err)
	require.EqualValues(t, 4, reading.config.Version)
	time.Sleep(20 * time.Millisecond)
	require.NotNil(t, client.peers.connected(addresses[0]), "the first reading is under way on it")
}

// Guards against a lease that is renewed by what another daemon has read earlier.
func TestAPeerReadsTheStoreAnewForEachReading(t *testing.T) {
	direct, behindPeer := &fakeStore{}, &topicStore{}
	direct.failWith(errRefused)
	behindPeer.publish(keyedConfig(4))
	client := newStoreClient(configRefusing{direct}, newPeerClients())
	addresses := []string{serveStorePeer(t, behindPeer)}
	client.memberAddresses.Store(&addresses)
	for range 3 {
		before := behindPeer.readings.Load()
		began := bootclock.Now()
		reading, err := client.readConfig(t.Context(), -1, 0)
		require.NoError(t, err)
		require.Equal(t, before+1, behindPeer.readings.Load())
		require.GreaterOrEqual(t, reading.sentAt, began)
	}
}

// connected returns the connection to an address, or nil.
func (p *peerClients) connected(address string) *peerConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connections[address]
}

type configRefusing struct{ *fakeStore }

func (c configRefusing) Configuration(_ context.Context, from int64, _ time.Duration) (*cluster.Configuration, int64, error) {
	return nil, from, c.err()
}

// Guards against keys in logs, metrics, records, snapshots and answers, of admitted and refused calls.
func TestNoKeyLeavesTheDaemon(t *testing.T) {
	out := &lockedBuffer{}
	store := &recordingStore{}
	api := newTestCallerAPI(t, &fakeStore{}, 0)
	api.onEngine(func(e *engine) {
		e.log = event.NewLogger(out, log.TraceLevel, "a")
		e.store.direct, e.keyLease = store, keylease.New(5*time.Second)
		e.applyConfigReading(configReading{keyedConfig(4), 1, bootclock.Now()})
	})
	for _, key := range []string{millKey, farmKey, "unknown-key-of-nobody"} {
		for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodDelete} {
			got := api.requestWithKey(method, "/p/j", key, jobBody)
			_, _ = out.Write(got.Body.Bytes())
		}
	}
	api.onEngine(func(e *engine) {
		for _, record := range store.appended() {
			decoded, err := flow.Decode(record)
			require.NoError(t, err)
			require.NoError(t, e.state.Apply(&decoded, bootclock.Now()))
			text, err := json.Marshal(decoded)
			require.NoError(t, err)
			_, _ = out.Write(text)
		}
		require.Equal(t, "mill", e.state.Jobs["j"].Workspace)
		saved, err := json.Marshal(e.state.Jobs["j"]) // what a snapshot is made from
		require.NoError(t, err)
		_, _ = out.Write(saved)
		e.publishMetrics(bootclock.Now())
	})
	families, err := api.engine.metrics.registry.Gather()
	require.NoError(t, err)
	for _, family := range families {
		_, _ = out.Write([]byte(family.String()))
	}
	require.Contains(t, out.String(), "job-accepted")
	for _, key := range []string{millKey, farmKey, "unknown-key-of-nobody"} {
		require.NotContains(t, out.String(), key)
	}
}

// lockedBuffer is a buffer for several goroutines.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(text []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(text)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// recordingStore keeps the records that are appended.
type recordingStore struct {
	fakeStore
	mu      sync.Mutex
	records [][]byte
}

func (s *recordingStore) Append(_ context.Context, _ int, records [][]byte, _ *cluster.Fence) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, records...)
	return int64(len(s.records) - len(records)), nil
}

func (s *recordingStore) appended() [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records
}

// Guards against a check of keys that slows down requests.
func BenchmarkCheckKey(b *testing.B) {
	e := newEngine(&Settings{Bounds: BoundSettings{RevokeMS: 5000}}, fakePlatform{}, event.Discard())
	config := keyedConfig(1)
	for i := range 10_000 {
		name := "workspace-" + string(rune('a'+i%26)) + time.Duration(i).String()
		config.Workspaces = append(config.Workspaces, cluster.Workspace{Name: name, Keys: cluster.DigestKeys("1st "+name, "2nd "+name)})
	}
	e.applyConfigReading(configReading{config, 1, bootclock.Now() + time.Hour})
	for b.Loop() {
		if e.checkKey(millKey, false, bootclock.Now()).refusal != "" {
			b.Fatal("refused")
		}
	}
}
