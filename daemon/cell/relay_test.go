package cell

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/cluster"
	"briarproxy/core/fault"
)

// fakeStore fails every call with an error, if one is set.
type fakeStore struct {
	fail    atomic.Pointer[error]
	appends atomic.Int64
}

func (f *fakeStore) failWith(err error) { f.fail.Store(&err) }

func (f *fakeStore) err() error {
	if e := f.fail.Load(); e != nil {
		return *e
	}
	return nil
}

func (f *fakeStore) Append(context.Context, int, [][]byte, *cluster.Fence) (int64, error) {
	if err := f.err(); err != nil {
		return 0, err
	}
	return f.appends.Add(1), nil
}

func (f *fakeStore) Read(_ context.Context, _ int, from int64, _ time.Duration) (cluster.LogPage, error) {
	return cluster.LogPage{Next: from, End: min(from, 100)}, f.err()
}

func (f *fakeStore) End(_ context.Context, _ int, from int64) (int64, error) {
	return min(from, 100), f.err()
}

func (f *fakeStore) Configuration(context.Context, int64, time.Duration) (*cluster.Configuration, int64, error) {
	return &cluster.Configuration{Version: 3}, 4, f.err()
}

func (f *fakeStore) Workers(context.Context) ([]cluster.Worker, []string, error) {
	return []cluster.Worker{{Pool: "p"}}, nil, f.err()
}

// serveStorePeer serves a store to other daemons and returns the address.
func serveStorePeer(t *testing.T, store storeAccess) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	require.NoError(t, servePeers(l, &peerService{store: store, yield: func(int64) {}}))
	return l.Addr().String()
}

var (
	errRefused  = fault.New(fault.Refused, "retry", "turned away")
	errNoAnswer = fault.New(fault.Unknown, "retry", "no answer")
	errConflict = fault.New(fault.Conflict, "stop", "fenced")
)

// Guards against a daemon that can't serve callers while the store turns only it away.
func TestRelayReachesTheStoreThroughAnotherDaemon(t *testing.T) {
	mine, other := &fakeStore{}, &fakeStore{}
	mine.failWith(errRefused)
	r := newRelay(mine, newPeerClients())
	addresses := []string{serveStorePeer(t, other)}
	r.members.Store(&addresses)
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	offset, err := r.Append(ctx, 0, [][]byte{{1}}, &cluster.Fence{Producer: "p", Epoch: 1})
	require.NoError(t, err)
	require.EqualValues(t, 1, offset)
	page, err := r.Read(ctx, 0, 5, 0)
	require.NoError(t, err)
	require.EqualValues(t, 5, page.End)
	config, next, err := r.Configuration(ctx, -1, 0)
	require.NoError(t, err)
	require.EqualValues(t, 3, config.Version)
	require.EqualValues(t, 4, next)
	workers, _, err := r.Workers(ctx)
	require.NoError(t, err)
	require.Len(t, workers, 1)
}

// Guards against "not stored" being told of an append that may have been carried out by
// the first of two tries, and against a fenced append that is tried elsewhere.
func TestRelayPreservesUnknownOutcomes(t *testing.T) {
	mine, other := &fakeStore{}, &fakeStore{}
	r := newRelay(mine, newPeerClients())
	addresses := []string{serveStorePeer(t, other)}
	r.members.Store(&addresses)
	mine.failWith(errNoAnswer)
	other.failWith(errRefused)
	_, err := r.Append(t.Context(), 0, [][]byte{{1}}, nil)
	require.True(t, fault.Is(err, fault.Unknown), "%v", err)

	mine, other = &fakeStore{}, &fakeStore{}
	r = newRelay(mine, newPeerClients())
	r.members.Store(&addresses)
	mine.failWith(errConflict)
	_, err = r.Append(t.Context(), 0, [][]byte{{1}}, nil)
	require.True(t, fault.Is(err, fault.Conflict), "%v", err)
	require.Zero(t, other.appends.Load())

	mine.failWith(errRefused)
	addresses = []string{serveStorePeer(t, other)}
	other.failWith(errConflict)
	r.members.Store(&addresses)
	_, err = r.Append(t.Context(), 0, [][]byte{{1}}, nil)
	require.True(t, fault.Is(err, fault.Conflict), "%v", err)
}

// Guards against outages of the store for everybody in which each call is made several
// times: calls have a price and a rate.
func TestRelayDoesNotMultiplyCallsInAnOutage(t *testing.T) {
	mine, other := &fakeStore{}, &fakeStore{}
	mine.failWith(errRefused)
	other.failWith(errRefused)
	r := newRelay(mine, newPeerClients())
	addresses := []string{serveStorePeer(t, other)}
	r.members.Store(&addresses)
	for range 10 {
		_, err := r.Append(t.Context(), 0, [][]byte{{1}}, nil)
		require.True(t, fault.Is(err, fault.Refused), "%v", err)
	}
	require.Positive(t, r.relayBlockedUntil.Load())
	mine.failWith(nil)
	_, err := r.Append(t.Context(), 0, [][]byte{{1}}, nil)
	require.NoError(t, err)
}

// Guards against a placer that is taken for lost because the store turns it and a third of
// the other daemons away: two random tries both met such daemons, and then nothing was
// tried for 0.9 s (dosui-sched-grown, trouble-1).
func TestRelayKeepsToADaemonThatReachesTheStore(t *testing.T) {
	mine, turned, good := &fakeStore{}, &fakeStore{}, &fakeStore{}
	mine.failWith(errRefused)
	turned.failWith(errRefused)
	r := newRelay(mine, newPeerClients())
	addresses := []string{serveStorePeer(t, turned), serveStorePeer(t, turned), serveStorePeer(t, turned), serveStorePeer(t, good)}
	r.members.Store(&addresses)
	through := addresses[3]
	r.lastRelay.Store(&through)
	for range 20 {
		_, err := r.Append(t.Context(), 0, [][]byte{{1}}, nil)
		require.NoError(t, err)
	}
	require.EqualValues(t, 20, good.appends.Load())
	require.Zero(t, r.relayBlockedUntil.Load())
}

// slowAdviser answers after a delay that the workers' names give.
type slowAdviser struct{}

func (slowAdviser) Advise(ctx context.Context, _ cluster.StepID, workers []string) ([]cluster.Grant, time.Duration, error) {
	delay, err := time.ParseDuration(workers[0])
	if err != nil {
		return nil, 0, err
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
	}
	return nil, time.Second, nil
}

// Guards against one call that waits in vain ending all others on the same connection.
func TestSlowAnswerEndsNoOtherCall(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	require.NoError(t, servePeers(l, &peerService{adviser: slowAdviser{}, yield: func(int64) {}}))
	p := newPeerClients()
	call := func(delay string, within time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), within)
		defer cancel()
		reply := &AdviseReply{}
		return p.call(ctx, l.Addr().String(), adviseMethod, &AdviseArgs{Workers: []string{delay}, Within: 10 * time.Second}, reply)
	}
	require.NoError(t, call("1ms", time.Second))
	other := make(chan error, 1)
	go func() { other <- call("600ms", 5*time.Second) }()
	late := make(chan error, 1)
	go func() { late <- call("3s", 300*time.Millisecond) }()
	time.Sleep(100 * time.Millisecond)
	require.NoError(t, call("1ms", time.Second)) // the connection answers
	require.Error(t, <-late)
	require.NoError(t, <-other)
}

// Guards against the log reaching a placer over the links of the smallest VMs: a relay
// chosen at random had a 20th of the bandwidth, and ends waited to be read
// (dosui-sched-grown, trouble-1).
func TestRelayAsksStrongDaemonsFirst(t *testing.T) {
	members := make([]string, 20)
	for i := range members {
		members[i] = string(rune('a' + i))
	}
	for range 200 {
		require.Contains(t, members[:5], chooseRelay(members, 0))
		require.Contains(t, members[:2], chooseRelay(members[:2], 0))
	}
	later := map[string]bool{}
	for range 400 {
		later[chooseRelay(members, maxRelayTries-1)] = true
	}
	require.Greater(t, len(later), 10)
}

// slowAppendStore answers reads and leaves appends without an answer.
type slowAppendStore struct{ fakeStore }

func (s *slowAppendStore) Append(ctx context.Context, _ int, _ [][]byte, _ *cluster.Fence) (int64, error) {
	<-ctx.Done()
	return 0, errNoAnswer
}

// Guards against a slow store that is taken for a path that does not work: one late answer
// ended all calls under way and sent them through other daemons, once more each, so that
// the log took nothing for eight seconds (trouble-2 of dosui-sched-large).
func TestRelayStaysOnAPathThatAnswers(t *testing.T) {
	other := &fakeStore{}
	r := newRelay(&slowAppendStore{}, newPeerClients())
	r.members.Store(&[]string{serveStorePeer(t, other)})
	done := make(chan error, 1)
	go func() { _, err := r.Append(t.Context(), partition, [][]byte{{1}}, nil); done <- err }()
	for range 20 {
		_, err := r.Read(t.Context(), partition, 0, 0)
		require.NoError(t, err)
		time.Sleep(directTimeout / 16)
	}
	require.True(t, fault.Is(<-done, fault.Unknown))
	require.False(t, r.directDown.Load())
	require.Zero(t, other.appends.Load())
}

// slowStore takes some time for each append.
type slowStore struct {
	fakeStore
	takes time.Duration
}

func (s *slowStore) Append(ctx context.Context, part int, records [][]byte, fence *cluster.Fence) (int64, error) {
	time.Sleep(s.takes)
	return s.fakeStore.Append(ctx, part, records, fence)
}

// Guards against a call that its own caller ends and that closes the way through other daemons to all calls (trouble-1 of dosui-sched-grown: a placer's appends took 1.5 s each).
func TestACallThatItsCallerEndsSaysNothingOfThePath(t *testing.T) {
	store, r, _ := newUnresponsiveStore(t)
	addresses := []string{serveStorePeer(t, &slowStore{takes: 200 * time.Millisecond})}
	r.members.Store(&addresses)
	require.Eventually(t, r.directDown.Load, 3*unresponsiveAfter, 10*time.Millisecond)
	sent := store.started.Load()
	short, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := r.Append(short, partition, [][]byte{{1}}, nil)
	require.Error(t, err)
	began := time.Now()
	_, err = r.Append(t.Context(), partition, [][]byte{{1}}, nil)
	require.NoError(t, err)
	require.Less(t, time.Since(began), relayTimeout)
	require.Equal(t, sent, store.started.Load(), "a path that is known to be silent was tried")
}

// Guards against a call that its caller ends early and that has all calls take a path that works for lost.
func TestACallThatItsCallerEndsLosesNoPath(t *testing.T) {
	store := &unresponsiveStore{}
	store.unresponsive.Store(true)
	r := newRelay(store, newPeerClients())
	short, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := r.Append(short, partition, [][]byte{{1}}, nil)
	require.Error(t, err)
	require.False(t, r.directDown.Load())
}

// Guards against a store that has turned slow and is taken for lost by all daemons, which then make each call again through each other (trouble-2 of dosui-sched-grown).
func TestACallThatASlowStoreLeavesLosesNoPath(t *testing.T) {
	store := &unresponsiveStore{}
	r := newRelay(store, newPeerClients())
	r.latency.Store(int64(800 * time.Millisecond))
	store.unresponsive.Store(true)
	_, err := r.Append(t.Context(), partition, [][]byte{{1}}, nil)
	require.Error(t, err)
	require.False(t, r.directDown.Load(), "one answer less than the store owes at its present pace")
	for range 2 {
		_, err = r.Append(t.Context(), partition, [][]byte{{1}}, nil)
		require.Error(t, err)
	}
	require.True(t, r.directDown.Load())
}
