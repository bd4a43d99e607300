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

// Load of a daemon on a slow link, and the time within which it must serve callers again.
const (
	slowLinkBytesPerSecond = 10 * bytesPerMbit
	callerPollsPerSecond   = 8               // queries by one daemon's callers
	maxCatchUpTime         = 8 * time.Second // bound for a daemon that starts after a loss of all VMs
	snapshotJobs           = 4600
	specBytes              = 600
	tailRecords            = 1500 // records of the log after the snapshot
)

// slowLinkStore is a store behind a link that all calls share.
type slowLinkStore struct {
	fakeStore
	keyedStore
	records [][]byte
	ends    atomic.Int64 // answered calls of End

	linkMu     sync.Mutex
	linkFreeAt time.Time // when all transfers accepted so far are complete
}

// transfer waits until the link has carried an answer of the given size.
func (s *slowLinkStore) transfer(ctx context.Context, bytes int) error {
	s.linkMu.Lock()
	if now := time.Now(); s.linkFreeAt.Before(now) {
		s.linkFreeAt = now
	}
	s.linkFreeAt = s.linkFreeAt.Add(time.Duration(float64(bytes) / slowLinkBytesPerSecond * float64(time.Second)))
	wait := time.Until(s.linkFreeAt)
	s.linkMu.Unlock()
	select {
	case <-time.After(wait):
		return nil
	case <-ctx.Done():
		return errNoAnswer
	}
}

func (s *slowLinkStore) Read(ctx context.Context, _ int, from int64, wait time.Duration) (cluster.LogPage, error) {
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
	return p, s.transfer(ctx, bytes)
}

func (s *slowLinkStore) End(ctx context.Context, _ int, from int64) (int64, error) {
	const minReadBytes = 1 << 10 // smallest limit of a read of the log; a longer record is cut off there
	bytes := 0
	if from < int64(len(s.records)) {
		bytes = minReadBytes
	}
	err := s.transfer(ctx, bytes)
	s.ends.Add(1)
	return int64(len(s.records)), err
}

func (s *slowLinkStore) SavedAfterKey(ctx context.Context, partition int, after string) (map[string][]byte, error) {
	values, err := s.keyedStore.SavedAfterKey(ctx, partition, after)
	bytes := 0
	for _, v := range values {
		bytes += base64Length(v)
	}
	if transferErr := s.transfer(ctx, bytes); transferErr != nil {
		return nil, transferErr
	}
	return values, err
}

func (s *slowLinkStore) SavedFromOffset(ctx context.Context, partition int, from int64, maxBytes int) ([]cluster.Entry, bool, error) {
	entries, expired, err := s.keyedStore.SavedFromOffset(ctx, partition, from, maxBytes)
	bytes := 0
	for _, e := range entries {
		bytes += len(e.Value)
	}
	if transferErr := s.transfer(ctx, bytes); transferErr != nil {
		return nil, false, transferErr
	}
	return entries, expired, err
}

type slowLinkPlatform struct {
	fakePlatform
	slowLink *slowLinkStore
}

func (p slowLinkPlatform) Read(ctx context.Context, partition int, from int64, wait time.Duration) (cluster.LogPage, error) {
	return p.slowLink.Read(ctx, partition, from, wait)
}

func (p slowLinkPlatform) End(ctx context.Context, partition int, from int64) (int64, error) {
	return p.slowLink.End(ctx, partition, from)
}

func (p slowLinkPlatform) SavedFromOffset(ctx context.Context, partition int, from int64, maxBytes int) ([]cluster.Entry, bool, error) {
	return p.slowLink.SavedFromOffset(ctx, partition, from, maxBytes)
}

func (p slowLinkPlatform) SavedAfterKey(ctx context.Context, partition int, after string) (map[string][]byte, error) {
	return p.slowLink.SavedAfterKey(ctx, partition, after)
}

// newStoreWithSnapshots returns a store with two generations of a snapshot, and records of the log after
// the newer one.
func newStoreWithSnapshots(t *testing.T) *slowLinkStore {
	store := &slowLinkStore{}
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
	for i := range snapshotJobs {
		submit(i)
	}
	writer := &snapshotWriter{store: store, fence: cluster.Fence{Producer: "placer", Epoch: 10}}
	generation, err := writer.takeOver(t.Context())
	require.NoError(t, err)
	for range 2 {
		generation++
		head, chunks, err := s.Snapshot(generation, time.Second)
		require.NoError(t, err)
		require.NoError(t, writer.save(t.Context(), &head, chunks))
	}
	for i := range tailRecords {
		submit(snapshotJobs + i)
	}
	return store
}

// newSlowLinkDaemon runs a daemon on a slow link that has read nothing yet, and returns its callers'
// API.
func newSlowLinkDaemon(t *testing.T, store *slowLinkStore) *callerAPI {
	e := newEngine(&Settings{Name: "a", Bounds: BoundSettings{MaxLeaseMS: 6000, StatusS: 120, FailoverMS: 3000, KeepS: 300}},
		slowLinkPlatform{fakePlatform{platform.New(platform.Addresses{}, NewDialer(time.Second, time.Second)), &store.fakeStore}, store}, event.Discard())
	e.setConfig(&cluster.Configuration{Version: 3, Queues: []cluster.Queue{{Name: "q", Host: "h", PathPrefix: "/p/", MaxAttempts: 2}}})
	e.claiming = true // keeps this daemon from claiming
	e.helloSentAt = bootclock.Now()
	go e.run(t.Context())
	go e.writer.run(t.Context())
	return &callerAPI{engine: e, ctx: t.Context()}
}

// Guards against callers' queries that use up the link while the daemon reads a snapshot: with
// 4600 jobs on a link of 10 Mbit/s, it became ready only after 22 s and more.
func TestQueriesDoNotDelayLogReadsOnASlowLink(t *testing.T) {
	api := newSlowLinkDaemon(t, newStoreWithSnapshots(t))
	e := api.engine
	reader := &logReader{log: e.store, snapshots: e.platform, reads: e.store.reads, pages: e.pages, wake: e.wakeRead, timing: e.readTiming, appliedOffset: e.appliedOffset.Load, incomplete: e.isIncomplete.Load}
	go reader.run(t.Context())
	go e.store.monitor(t.Context())
	ticker := time.NewTicker(time.Second / callerPollsPerSecond)
	defer ticker.Stop()
	began := time.Now()
	for requests := 0; !e.isReady.Load(); requests++ {
		<-ticker.C
		go api.request(http.MethodGet, fmt.Sprintf("/p/%016x", snapshotJobs+tailRecords+requests), "")
		require.Less(t, time.Since(began), maxCatchUpTime, "read so far: %v", e.store.reads.logFields())
	}
	t.Log("ready after", time.Since(began), e.store.reads.logFields())
}

// Guards against refreshes that fetch records: each refresh of a daemon that is behind occupied
// a slow link for 0.15 s.
func TestRefreshFetchesNoRecords(t *testing.T) {
	api := newSlowLinkDaemon(t, newStoreWithSnapshots(t))
	api.onEngine(func(e *engine) { e.state.NextOffset, e.readToEndAt = snapshotJobs, bootclock.Now() })
	store := api.engine.platform.(slowLinkPlatform).slowLink
	began := time.Now()
	for range 2 * callerPollsPerSecond {
		api.onEngine(func(e *engine) { e.refresh(t.Context(), func(*engine, bool) {}) })
	}
	require.Eventually(t, func() bool { return store.ends.Load() == 2*callerPollsPerSecond }, time.Second, time.Millisecond)
	require.Less(t, time.Since(began), time.Second)
}

// Guards against a daemon that answers a count of jobs from a state that it never read, or read
// long ago, because a record of its own was just stored.
func TestAStoredRecordDoesNotRenewTheReadState(t *testing.T) {
	for _, age := range []time.Duration{0, 10 * time.Second} {
		api := newSlowLinkDaemon(t, &slowLinkStore{})
		api.onEngine(func(e *engine) {
			if age > 0 {
				e.readToEndAt = bootclock.Now() - age
			}
			e.writer.storedAt.Store(int64(bootclock.Now()))
		})
		got := api.request(http.MethodGet, "/p/", "")
		require.Equal(t, http.StatusServiceUnavailable, got.Code, "read %v ago, or never: %s", age, got.Body)
		require.NotEmpty(t, got.Header().Get("Retry-After"))
	}
}
