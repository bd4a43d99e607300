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

// unresponsiveStore answers no call while it is muted, as a store behind a cut does.
type unresponsiveStore struct {
	fakeStore
	unresponsive atomic.Bool
	started      atomic.Int64 // appends that were sent
	reads        atomic.Int64
}

func (s *unresponsiveStore) Append(ctx context.Context, part int, records [][]byte, fence *cluster.Fence) (int64, error) {
	s.started.Add(1)
	if s.unresponsive.Load() {
		<-ctx.Done()
		return 0, errNoAnswer
	}
	return s.fakeStore.Append(ctx, part, records, fence)
}

func (s *unresponsiveStore) Read(ctx context.Context, part int, from int64, wait time.Duration) (cluster.LogPage, error) {
	s.reads.Add(1)
	if s.unresponsive.Load() {
		<-ctx.Done()
		return cluster.LogPage{}, errNoAnswer
	}
	return s.fakeStore.Read(ctx, part, from, wait)
}

// End counts as a read: it is one, of next to nothing.
func (s *unresponsiveStore) End(ctx context.Context, part int, from int64) (int64, error) {
	page, err := s.Read(ctx, part, from, 0)
	return page.End, err
}

// newUnresponsiveStore is a writer on a store that has just fallen silent, with the judgement of it.
func newUnresponsiveStore(t *testing.T) (*unresponsiveStore, *relay, *writer) {
	store := &unresponsiveStore{}
	r := newRelay(store, newPeerClients())
	w := newWriter(r, r.peers)
	w.logSuspect, w.logUnresponsive = r.suspect, r.unresponsive
	go r.monitor(t.Context())
	go w.run(t.Context())
	require.NoError(t, w.append(t.Context(), testSubmission, time.Second))
	store.unresponsive.Store(true)
	return store, r, w
}

// callerTimeout is the time limit of the users' callers.
const callerTimeout = 3 * time.Second

// Guards against callers that are held to the end of their time limit, and left without a
// clear answer, by records sent to a store that was silent already (trouble-3 of kandy-strings:
// 105 answers 504 in an outage of 4 s).
func TestRecordsAreHeldFromAnUnresponsiveLog(t *testing.T) {
	store, r, w := newUnresponsiveStore(t)
	require.Eventually(t, r.suspect, 2*suspectAfter, 10*time.Millisecond)
	sent, began := store.started.Load(), time.Now()
	err := w.append(t.Context(), testSubmission, callerTimeout)
	require.True(t, fault.Is(err, fault.Refused), "%v", err)
	require.Less(t, time.Since(began), callerTimeout/2)
	require.Equal(t, sent, store.started.Load(), "a refused record was sent")
	require.True(t, r.unresponsive())
}

// Guards against callers that wait behind an append to a silent store until that is given up
// (trouble-3 of kandy-strings: refused 2 s after the store fell silent).
func TestRecordsQueuedBehindAnUnansweredAppendAreRefused(t *testing.T) {
	store, silent := &unresponsiveStore{}, &atomic.Bool{}
	store.unresponsive.Store(true)
	w := newWriter(store, newPeerClients())
	w.logSuspect, w.logUnresponsive = silent.Load, silent.Load
	go w.run(t.Context())
	first := make(chan error, 1)
	go func() { first <- w.append(t.Context(), testSubmission, callerTimeout) }()
	require.Eventually(t, func() bool { return store.started.Load() > 0 }, time.Second, time.Millisecond)
	began := time.Now()
	time.AfterFunc(minProbeInterval, func() { silent.Store(true) })
	err := w.append(t.Context(), testSubmission, callerTimeout)
	require.True(t, fault.Is(err, fault.Refused), "%v", err)
	require.Less(t, time.Since(began), 2*minProbeInterval)
	require.True(t, fault.Is(<-first, fault.Unknown), "a record that was sent is not called unsent")
}

// Guards against a store that is taken for silent seconds after it is back: callers with 3 s
// were refused for 1.4 to 3 s more (trouble-3 of kandy-strings).
func TestTheEndOfAnOutageIsSeenAtOnce(t *testing.T) {
	store, r, w := newUnresponsiveStore(t)
	require.Eventually(t, r.unresponsive, 2*unresponsiveAfter, 10*time.Millisecond)
	waiting := make(chan error, 1)
	go func() {
		_, err := r.Append(t.Context(), partition, [][]byte{{1}}, nil)
		waiting <- err
	}()
	before := store.reads.Load()
	time.Sleep(2 * time.Second)
	require.Greater(t, store.reads.Load()-before, int64(2*time.Second/(2*minProbeInterval)), "probes of a lost path")
	store.unresponsive.Store(false)
	require.Eventually(t, func() bool { return !r.suspect() }, 500*time.Millisecond, 5*time.Millisecond)
	require.NoError(t, w.append(t.Context(), testSubmission, time.Second))
	select {
	case <-waiting: // a call from before the end of the outage waits no longer
	case <-time.After(time.Second):
		require.Fail(t, "a call waits on a connection that is silent")
	}
}

// Guards against an idle cell being taken for an outage.
func TestAnIdleLogIsNotSuspect(t *testing.T) {
	r := newRelay(&fakeStore{}, newPeerClients())
	go r.monitor(t.Context())
	for range 30 {
		time.Sleep(50 * time.Millisecond)
		require.False(t, r.suspect())
	}
}
