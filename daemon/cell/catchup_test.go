package cell

import (
	"context"
	"crypto/rand"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/cluster"
	"briarproxy/core/flow"
	"briarproxy/daemon/bootclock"
	"briarproxy/daemon/event"
	"briarproxy/platform"
)

// A thin daemon of the users' grown sites, and when callers must be served again.
const (
	thinLinkBytes = 10 * bytesPerMbit // a second
	callersPolls  = 8                 // a second, of one daemon's callers
	readAllWithin = 8 * time.Second   // after a loss of all machines
	savedJobs     = 4600              // in the snapshot of inc1
	specBytes     = 600
	tailRecords   = 1500 // behind the snapshot
)

// thinStore is a store behind a link that all calls share.
type thinStore struct {
	fakeStore
	keyedStore
	records [][]byte
	ends    atomic.Int64 // reads of the log's end that were answered

	link sync.Mutex
	free time.Time // when the link has carried what it was given
}

// carry waits until the link has carried an answer.
func (s *thinStore) carry(ctx context.Context, bytes int) error {
	s.link.Lock()
	if now := time.Now(); s.free.Before(now) {
		s.free = now
	}
	s.free = s.free.Add(time.Duration(float64(bytes) / thinLinkBytes * float64(time.Second)))
	wait := time.Until(s.free)
	s.link.Unlock()
	select {
	case <-time.After(wait):
		return nil
	case <-ctx.Done():
		return errSilent
	}
}

func (s *thinStore) Read(ctx context.Context, _ int, from int64, wait time.Duration) (cluster.LogPage, error) {
	const pageBytes = 192 << 10
	p := cluster.LogPage{Next: from, End: int64(len(s.records))}
	bytes := 0
	for p.Next < p.End && bytes < pageBytes {
		record := s.records[p.Next]
		p.Records = append(p.Records, record)
		bytes += len(record)
		p.Next++
	}
	if bytes == 0 {
		time.Sleep(wait)
	}
	return p, s.carry(ctx, bytes)
}

func (s *thinStore) End(ctx context.Context, _ int, from int64) (int64, error) {
	const leastBytes = 1 << 10 // one record is cut at this limit
	bytes := 0
	if from < int64(len(s.records)) {
		bytes = leastBytes
	}
	err := s.carry(ctx, bytes)
	s.ends.Add(1)
	return int64(len(s.records)), err
}

func (s *thinStore) Saved(ctx context.Context, part int, after string) (map[string][]byte, error) {
	values, err := s.keyedStore.Saved(ctx, part, after)
	bytes := 0
	for _, v := range values {
		bytes += inBase64(v)
	}
	if sent := s.carry(ctx, bytes); sent != nil {
		return nil, sent
	}
	return values, err
}

func (s *thinStore) SavedFrom(ctx context.Context, part int, from int64, most int) ([]cluster.Entry, bool, error) {
	entries, expired, err := s.keyedStore.SavedFrom(ctx, part, from, most)
	bytes := 0
	for _, e := range entries {
		bytes += len(e.Value)
	}
	if sent := s.carry(ctx, bytes); sent != nil {
		return nil, false, sent
	}
	return entries, expired, err
}

type thinPlatform struct {
	fakePlatform
	thin *thinStore
}

func (p thinPlatform) Read(ctx context.Context, part int, from int64, wait time.Duration) (cluster.LogPage, error) {
	return p.thin.Read(ctx, part, from, wait)
}

func (p thinPlatform) End(ctx context.Context, part int, from int64) (int64, error) {
	return p.thin.End(ctx, part, from)
}

func (p thinPlatform) SavedFrom(ctx context.Context, part int, from int64, most int) ([]cluster.Entry, bool, error) {
	return p.thin.SavedFrom(ctx, part, from, most)
}

func (p thinPlatform) Saved(ctx context.Context, part int, after string) (map[string][]byte, error) {
	return p.thin.Saved(ctx, part, after)
}

// aBusyLog has two generations of a snapshot and records behind the newer one.
func aBusyLog(t *testing.T) *thinStore {
	store := &thinStore{}
	s := flow.NewState()
	submit := func(i int) {
		spec := make([]byte, specBytes/2)
		_, _ = rand.Read(spec)
		r := flow.Record{Submit: &flow.Submit{
			ID: fmt.Sprintf("%016x", i), Queue: "q", Spec: fmt.Sprintf("%x", spec), Steps: []flow.Step{{Count: 3}}, MaxAttempts: 2,
		}}
		data, err := r.Encode()
		require.NoError(t, err)
		store.records = append(store.records, data)
		require.NoError(t, s.Apply(&r, time.Second))
	}
	for i := range savedJobs {
		submit(i)
	}
	placer := &saver{store: store, fence: cluster.Fence{Producer: "placer", Epoch: 10}}
	generation, err := placer.begin(t.Context())
	require.NoError(t, err)
	for range 2 {
		generation++
		head, chunks, err := s.Snapshot(generation, time.Second)
		require.NoError(t, err)
		require.NoError(t, placer.save(t.Context(), &head, chunks))
	}
	for i := range tailRecords {
		submit(savedJobs + i)
	}
	return store
}

// newDaemon returns the callers' side of a daemon that has read nothing yet.
func newDaemon(t *testing.T, store *thinStore) *callers {
	e := newEngine(&Settings{Name: "a", Bounds: BoundSettings{MaxLeaseMS: 6000, StatusS: 120, FailoverMS: 3000, KeepS: 300}},
		thinPlatform{fakePlatform{platform.New(platform.Addresses{}, NewDialer(time.Second, time.Second)), &store.fakeStore}, store}, event.Discard())
	e.setConfig(&cluster.Configuration{Version: 3, Queues: []cluster.Queue{{Name: "q", Host: "h", PathPrefix: "/p/", MaxAttempts: 2}}})
	e.claiming = true // this daemon does not place
	e.helloAt = bootclock.Now()
	go e.run(t.Context())
	go e.writer.run(t.Context())
	return &callers{engine: e, ctx: t.Context()}
}

// Guards against callers' questions that take the link from the snapshot (inc1 of dosui-sched-grown: 22 s and more).
func TestQuestionsDoNotKeepAThinDaemonFromReadingTheLog(t *testing.T) {
	c := newDaemon(t, aBusyLog(t))
	e := c.engine
	follower := &tail{log: e.store, saved: e.platform, reads: e.store.reads, pages: e.pages, nudge: e.nudge, pace: e.readPace, known: e.known.Load}
	go follower.run(t.Context())
	go e.store.watch(t.Context())
	asking := time.NewTicker(time.Second / callersPolls)
	defer asking.Stop()
	began := time.Now()
	for asked := 0; !e.isReady.Load(); asked++ {
		<-asking.C
		go c.try(http.MethodGet, fmt.Sprintf("/p/%016x", savedJobs+tailRecords+asked), "")
		require.Less(t, time.Since(began), readAllWithin, "read so far: %v", e.store.reads.fields())
	}
	t.Log("ready after", time.Since(began), e.store.reads.fields())
}

// Guards against refreshes that bring records: each of a daemon that is behind took a thin link for 0.15 s (inc1).
func TestARefreshBringsNoRecords(t *testing.T) {
	c := newDaemon(t, aBusyLog(t))
	c.run(func(e *engine) { e.state.Next, e.readLast = savedJobs, bootclock.Now() })
	free := c.engine.platform.(thinPlatform).thin
	began := time.Now()
	for range 2 * callersPolls {
		c.run(func(e *engine) { e.fresh(t.Context(), func(*engine, bool) {}) })
	}
	require.Eventually(t, func() bool { return free.ends.Load() == 2*callersPolls }, time.Second, time.Millisecond)
	require.Less(t, time.Since(began), time.Second)
}

// Guards against a count from a state that was never read, or read long ago, at a daemon whose own record was just stored (MIXED, inc1).
func TestAStoredRecordIsNoKnowledgeOfTheLog(t *testing.T) {
	for _, age := range []time.Duration{0, 10 * time.Second} {
		c := newDaemon(t, &thinStore{})
		c.run(func(e *engine) {
			if age > 0 {
				e.readLast = bootclock.Now() - age
			}
			e.writer.storedAt.Store(int64(bootclock.Now()))
		})
		got := c.try(http.MethodGet, "/p/", "")
		require.Equal(t, http.StatusServiceUnavailable, got.Code, "read %v ago, or never: %s", age, got.Body)
		require.NotEmpty(t, got.Header().Get("Retry-After"))
	}
}
