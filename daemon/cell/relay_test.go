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

// fakeStore fails every call with the error that is set, and succeeds if none is.
type fakeStore struct {
	failure atomic.Pointer[error]
	appends atomic.Int64
}

func (f *fakeStore) failWith(err error) { f.failure.Store(&err) }

func (f *fakeStore) err() error {
	if err := f.failure.Load(); err != nil {
		return *err
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

// serveStorePeer starts a daemon that relays calls to a store, and returns its address.
func serveStorePeer(t *testing.T, store storeAccess) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	require.NoError(t, servePeers(listener, &peerService{store: store, yield: func(int64) {}}))
	return listener.Addr().String()
}

var (
	errRefused  = fault.New(fault.Refused, "retry", "the store refuses the call")
	errNoAnswer = fault.New(fault.Unknown, "retry", "no answer")
	errConflict = fault.New(fault.Conflict, "stop", "fenced")
)

// Guards against a daemon that can't serve callers while the store refuses only this daemon.
func TestStoreIsReachedThroughAnotherDaemon(t *testing.T) {
	direct, peer := &fakeStore{}, &fakeStore{}
	direct.failWith(errRefused)
	client := newStoreClient(direct, newPeerClients())
	addresses := []string{serveStorePeer(t, peer)}
	client.memberAddresses.Store(&addresses)
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	offset, err := client.Append(ctx, 0, [][]byte{{1}}, &cluster.Fence{Producer: "p", Epoch: 1})
	require.NoError(t, err)
	require.EqualValues(t, 1, offset)
	page, err := client.Read(ctx, 0, 5, 0)
	require.NoError(t, err)
	require.EqualValues(t, 5, page.End)
	reading, err := client.readConfig(ctx, -1, 0)
	require.NoError(t, err)
	require.EqualValues(t, 3, reading.config.Version)
	require.EqualValues(t, 4, reading.next)
	workers, _, err := client.Workers(ctx)
	require.NoError(t, err)
	require.Len(t, workers, 1)
}

// Guards against reporting an append as not stored when the first of two tries may have stored it, and
// against a second try, through another daemon, of an append that the log has rejected as fenced off.
func TestStoreClientPreservesUnknownOutcomes(t *testing.T) {
	direct, peer := &fakeStore{}, &fakeStore{}
	client := newStoreClient(direct, newPeerClients())
	addresses := []string{serveStorePeer(t, peer)}
	client.memberAddresses.Store(&addresses)
	direct.failWith(errNoAnswer)
	peer.failWith(errRefused)
	_, err := client.Append(t.Context(), 0, [][]byte{{1}}, nil)
	require.True(t, fault.Is(err, fault.Unknown), "%v", err)

	direct, peer = &fakeStore{}, &fakeStore{}
	client = newStoreClient(direct, newPeerClients())
	client.memberAddresses.Store(&addresses)
	direct.failWith(errConflict)
	_, err = client.Append(t.Context(), 0, [][]byte{{1}}, nil)
	require.True(t, fault.Is(err, fault.Conflict), "%v", err)
	require.Zero(t, peer.appends.Load())

	direct.failWith(errRefused)
	addresses = []string{serveStorePeer(t, peer)}
	peer.failWith(errConflict)
	client.memberAddresses.Store(&addresses)
	_, err = client.Append(t.Context(), 0, [][]byte{{1}}, nil)
	require.True(t, fault.Is(err, fault.Conflict), "%v", err)
}

// Guards against repeating each call through several daemons while the store fails for all of them:
// the platform charges for calls and limits their rate.
func TestStoreClientDoesNotMultiplyCallsInAnOutage(t *testing.T) {
	direct, peer := &fakeStore{}, &fakeStore{}
	direct.failWith(errRefused)
	peer.failWith(errRefused)
	client := newStoreClient(direct, newPeerClients())
	addresses := []string{serveStorePeer(t, peer)}
	client.memberAddresses.Store(&addresses)
	for range 10 {
		_, err := client.Append(t.Context(), 0, [][]byte{{1}}, nil)
		require.True(t, fault.Is(err, fault.Refused), "%v", err)
	}
	require.Positive(t, client.relayingBlockedUntil.Load())
	direct.failWith(nil)
	_, err := client.Append(t.Context(), 0, [][]byte{{1}}, nil)
	require.NoError(t, err)
}

// Guards against a placer that is replaced because the store refuses it and a third of the other
// daemons: two random tries both chose such daemons, and then nothing was tried for 0.9 s.
func TestStoreClientReusesTheLastWorkingRelay(t *testing.T) {
	direct, refused, reachable := &fakeStore{}, &fakeStore{}, &fakeStore{}
	direct.failWith(errRefused)
	refused.failWith(errRefused)
	client := newStoreClient(direct, newPeerClients())
	addresses := []string{serveStorePeer(t, refused), serveStorePeer(t, refused), serveStorePeer(t, refused), serveStorePeer(t, reachable)}
	client.memberAddresses.Store(&addresses)
	reachableAddress := addresses[3]
	client.lastRelay.Store(&reachableAddress)
	for range 20 {
		_, err := client.Append(t.Context(), 0, [][]byte{{1}}, nil)
		require.NoError(t, err)
	}
	require.EqualValues(t, 20, reachable.appends.Load())
	require.Zero(t, client.relayingBlockedUntil.Load())
}

// slowAdviser answers after a delay that the name of the first worker states.
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

// Guards against one call that times out ending all others on the same connection.
func TestTimedOutCallDoesNotCloseSharedConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	require.NoError(t, servePeers(listener, &peerService{adviser: slowAdviser{}, yield: func(int64) {}}))
	p := newPeerClients()
	call := func(delay string, timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		reply := &AdviseReply{}
		return p.call(ctx, listener.Addr().String(), adviseMethod, &AdviseArgs{Workers: []string{delay}, Within: 10 * time.Second}, reply)
	}
	require.NoError(t, call("1ms", time.Second))
	other := make(chan error, 1)
	go func() { other <- call("600ms", 5*time.Second) }()
	late := make(chan error, 1)
	go func() { late <- call("3s", 300*time.Millisecond) }()
	time.Sleep(100 * time.Millisecond)
	require.NoError(t, call("1ms", time.Second)) // shows that the connection still works
	require.Error(t, <-late)
	require.NoError(t, <-other)
}

// Guards against a placer that reads the log through the slow links of the smallest VMs: a relay chosen
// at random had 1/20 of the bandwidth, so the ends of runs were read late.
func TestStoreClientPrefersRelaysWithHighCapacity(t *testing.T) {
	members := make([]string, 20)
	for i := range members {
		members[i] = string(rune('a' + i))
	}
	for range 200 {
		require.Contains(t, members[:5], chooseRelay(members, 0))
		require.Contains(t, members[:2], chooseRelay(members[:2], 0))
	}
	chosen := map[string]bool{}
	for range 400 {
		chosen[chooseRelay(members, maxRelayTries-1)] = true
	}
	require.Greater(t, len(chosen), 10)
}

// slowAppendStore answers reads, but no append before its context ends.
type slowAppendStore struct{ fakeStore }

func (s *slowAppendStore) Append(ctx context.Context, _ int, _ [][]byte, _ *cluster.Fence) (int64, error) {
	<-ctx.Done()
	return 0, errNoAnswer
}

// Guards against a slow store that is mistaken for a path that is down: one late answer cancelled all
// calls in progress and repeated each through other daemons, so that the log stored nothing for 8 s.
func TestSlowAppendDoesNotMarkDirectPathDown(t *testing.T) {
	peer := &fakeStore{}
	client := newStoreClient(&slowAppendStore{}, newPeerClients())
	client.memberAddresses.Store(&[]string{serveStorePeer(t, peer)})
	done := make(chan error, 1)
	go func() { _, err := client.Append(t.Context(), partition, [][]byte{{1}}, nil); done <- err }()
	for range 20 {
		_, err := client.Read(t.Context(), partition, 0, 0)
		require.NoError(t, err)
		time.Sleep(directTimeout / 16)
	}
	require.True(t, fault.Is(<-done, fault.Unknown))
	require.False(t, client.directDown.Load())
	require.Zero(t, peer.appends.Load())
}

// slowStore takes a fixed time for each append.
type slowStore struct {
	fakeStore
	appendTime time.Duration
}

func (s *slowStore) Append(ctx context.Context, partition int, records [][]byte, fence *cluster.Fence) (int64, error) {
	time.Sleep(s.appendTime)
	return s.fakeStore.Append(ctx, partition, records, fence)
}

// Guards against a call that is cancelled early and then keeps all other calls from being relayed: the
// appends of a placer took 1.5 s each as a result.
func TestCallerCancellationDoesNotBlockRelaying(t *testing.T) {
	store, client, _ := newUnresponsiveStore(t)
	addresses := []string{serveStorePeer(t, &slowStore{appendTime: 200 * time.Millisecond})}
	client.memberAddresses.Store(&addresses)
	require.Eventually(t, client.directDown.Load, 3*unresponsiveAfter, 10*time.Millisecond)
	sent := store.sentAppends.Load()
	short, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := client.Append(short, partition, [][]byte{{1}}, nil)
	require.Error(t, err)
	start := time.Now()
	_, err = client.Append(t.Context(), partition, [][]byte{{1}}, nil)
	require.NoError(t, err)
	require.Less(t, time.Since(start), relayTimeout)
	require.Equal(t, sent, store.sentAppends.Load(), "the direct path was tried although it is marked as down")
}

// Guards against a working path that is marked as down because a call on it was cancelled early.
func TestCallerCancellationDoesNotMarkDirectPathDown(t *testing.T) {
	store := &unresponsiveStore{}
	store.unresponsive.Store(true)
	client := newStoreClient(store, newPeerClients())
	short, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := client.Append(short, partition, [][]byte{{1}}, nil)
	require.Error(t, err)
	require.False(t, client.directDown.Load())
}

// Guards against a store that has become slow and that all daemons mistake for a path that is down: they
// then repeat each call through each other.
func TestOneTimeoutOfASlowStoreDoesNotMarkDirectPathDown(t *testing.T) {
	store := &unresponsiveStore{}
	client := newStoreClient(store, newPeerClients())
	client.latency.Store(int64(800 * time.Millisecond))
	store.unresponsive.Store(true)
	_, err := client.Append(t.Context(), partition, [][]byte{{1}}, nil)
	require.Error(t, err)
	require.False(t, client.directDown.Load(), "one missing answer is within the tolerance at the store's current latency")
	for range 2 {
		_, err = client.Append(t.Context(), partition, [][]byte{{1}}, nil)
		require.Error(t, err)
	}
	require.True(t, client.directDown.Load())
}
