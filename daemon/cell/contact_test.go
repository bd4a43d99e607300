package cell

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/cluster"
	"briarproxy/core/fault"
)

// unresponsiveStore answers no call while unresponsive is set, as behind a network partition.
type unresponsiveStore struct {
	fakeStore
	unresponsive atomic.Bool
	sentAppends  atomic.Int64 // including those without an answer
	reads        atomic.Int64
}

func (s *unresponsiveStore) Append(ctx context.Context, partition int, records [][]byte, fence *cluster.Fence) (int64, error) {
	s.sentAppends.Add(1)
	if s.unresponsive.Load() {
		<-ctx.Done()
		return 0, errNoAnswer
	}
	return s.fakeStore.Append(ctx, partition, records, fence)
}

func (s *unresponsiveStore) Read(ctx context.Context, partition int, from int64, wait time.Duration) (cluster.LogPage, error) {
	s.reads.Add(1)
	if s.unresponsive.Load() {
		<-ctx.Done()
		return cluster.LogPage{}, errNoAnswer
	}
	return s.fakeStore.Read(ctx, partition, from, wait)
}

// End counts as a read, as it is a read that returns no records.
func (s *unresponsiveStore) End(ctx context.Context, partition int, from int64) (int64, error) {
	page, err := s.Read(ctx, partition, from, 0)
	return page.End, err
}

// newUnresponsiveStore returns a store that has just stopped answering, with a store client that
// monitors it and a writer that appends to it.
func newUnresponsiveStore(t *testing.T) (*unresponsiveStore, *storeClient, *writer) {
	store := &unresponsiveStore{}
	client := newStoreClient(store, newPeerClients())
	w := newWriter(client, client.peers)
	w.logSuspect, w.logUnresponsive = client.suspect, client.unresponsive
	go client.monitor(t.Context())
	go w.run(t.Context())
	require.NoError(t, w.append(t.Context(), testSubmission, time.Second))
	store.unresponsive.Store(true)
	return store, client, w
}

// callerTimeout is the usual time limit of callers.
const callerTimeout = 3 * time.Second

// Guards against records sent to a store that is already known to be unresponsive: their callers wait
// for their whole time limit and get an unknown outcome (105 answers of status 504 in an outage of 4 s).
func TestRecordsAreNotSentToAnUnresponsiveLog(t *testing.T) {
	store, client, w := newUnresponsiveStore(t)
	require.Eventually(t, client.suspect, 2*suspectAfter, 10*time.Millisecond)
	sent, began := store.sentAppends.Load(), time.Now()
	err := w.append(t.Context(), testSubmission, callerTimeout)
	require.True(t, fault.Is(err, fault.Refused), "%v", err)
	require.Less(t, time.Since(began), callerTimeout/2)
	require.Equal(t, sent, store.sentAppends.Load(), "a refused record was sent")
	require.True(t, client.unresponsive())
}

// Guards against callers that wait behind an append to an unresponsive store until that append times
// out (refused only 2 s after the store stopped answering).
func TestRecordsQueuedBehindAnUnansweredAppendAreRefused(t *testing.T) {
	store, unresponsive := &unresponsiveStore{}, &atomic.Bool{}
	store.unresponsive.Store(true)
	w := newWriter(store, newPeerClients())
	w.logSuspect, w.logUnresponsive = unresponsive.Load, unresponsive.Load
	go w.run(t.Context())
	first := make(chan error, 1)
	go func() { first <- w.append(t.Context(), testSubmission, callerTimeout) }()
	require.Eventually(t, func() bool { return store.sentAppends.Load() > 0 }, time.Second, time.Millisecond)
	began := time.Now()
	time.AfterFunc(minProbeInterval, func() { unresponsive.Store(true) })
	err := w.append(t.Context(), testSubmission, callerTimeout)
	require.True(t, fault.Is(err, fault.Refused), "%v", err)
	require.Less(t, time.Since(began), 2*minProbeInterval)
	require.True(t, fault.Is(<-first, fault.Unknown), "the outcome of a record that was sent is unknown")
}

// Guards against a store that counts as unresponsive for seconds after its recovery: callers with a
// time limit of 3 s were refused for 1.4 to 3 s longer than needed.
func TestTheRecoveryOfTheStoreIsDetectedQuickly(t *testing.T) {
	store, client, w := newUnresponsiveStore(t)
	require.Eventually(t, client.unresponsive, 2*unresponsiveAfter, 10*time.Millisecond)
	waiting := make(chan error, 1)
	go func() {
		_, err := client.Append(t.Context(), partition, [][]byte{{1}}, nil)
		waiting <- err
	}()
	before := store.reads.Load()
	time.Sleep(2 * time.Second)
	require.Greater(t, store.reads.Load()-before, int64(2*time.Second/(2*minProbeInterval)), "probes while the direct path is down")
	store.unresponsive.Store(false)
	require.Eventually(t, func() bool { return !client.suspect() }, 500*time.Millisecond, 5*time.Millisecond)
	require.NoError(t, w.append(t.Context(), testSubmission, time.Second))
	select {
	case <-waiting: // a call made during the outage has ended
	case <-time.After(time.Second):
		require.Fail(t, "a call made during the outage still waits on its old connection")
	}
}

// Guards against an idle log being mistaken for an outage.
func TestAnIdleLogIsNotSuspect(t *testing.T) {
	client := newStoreClient(&fakeStore{}, newPeerClients())
	go client.monitor(t.Context())
	for range 30 {
		time.Sleep(50 * time.Millisecond)
		require.False(t, client.suspect())
	}
}
