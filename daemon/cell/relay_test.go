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

func (f *fakeStore) Configuration(context.Context, int64, time.Duration) (*cluster.Configuration, int64, error) {
	return &cluster.Configuration{Version: 3}, 4, f.err()
}

func (f *fakeStore) Workers(context.Context) ([]cluster.Worker, []string, error) {
	return []cluster.Worker{{Pool: "p"}}, nil, f.err()
}

// peerOf serves a store to other daemons and returns the address.
func peerOf(t *testing.T, store storeAccess) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	require.NoError(t, servePeers(l, &peerService{store: store, yield: func(int64) {}}))
	return l.Addr().String()
}

var (
	errTurnedAway = fault.New(fault.Refused, "retry", "turned away")
	errSilent     = fault.New(fault.Unknown, "retry", "no answer")
	errFenced     = fault.New(fault.Conflict, "stop", "fenced")
)

// Guards against a daemon that can't serve callers while the store turns only it away.
func TestRelayReachesTheStoreThroughAnotherDaemon(t *testing.T) {
	mine, other := &fakeStore{}, &fakeStore{}
	mine.failWith(errTurnedAway)
	r := newRelay(mine, newPeers())
	addresses := []string{peerOf(t, other)}
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
func TestRelayKeepsWhatAnAnswerLeavesOpen(t *testing.T) {
	mine, other := &fakeStore{}, &fakeStore{}
	r := newRelay(mine, newPeers())
	addresses := []string{peerOf(t, other)}
	r.members.Store(&addresses)
	mine.failWith(errSilent)
	other.failWith(errTurnedAway)
	_, err := r.Append(t.Context(), 0, [][]byte{{1}}, nil)
	require.True(t, fault.Is(err, fault.Unknown), "%v", err)

	mine, other = &fakeStore{}, &fakeStore{}
	r = newRelay(mine, newPeers())
	r.members.Store(&addresses)
	mine.failWith(errFenced)
	_, err = r.Append(t.Context(), 0, [][]byte{{1}}, nil)
	require.True(t, fault.Is(err, fault.Conflict), "%v", err)
	require.Zero(t, other.appends.Load())

	mine.failWith(errTurnedAway)
	addresses = []string{peerOf(t, other)}
	other.failWith(errFenced)
	r.members.Store(&addresses)
	_, err = r.Append(t.Context(), 0, [][]byte{{1}}, nil)
	require.True(t, fault.Is(err, fault.Conflict), "%v", err)
}

// Guards against outages of the store for everybody in which each call is made several
// times: calls have a price and a rate.
func TestRelayDoesNotMultiplyCallsInAnOutage(t *testing.T) {
	mine, other := &fakeStore{}, &fakeStore{}
	mine.failWith(errTurnedAway)
	other.failWith(errTurnedAway)
	r := newRelay(mine, newPeers())
	addresses := []string{peerOf(t, other)}
	r.members.Store(&addresses)
	for range 10 {
		_, err := r.Append(t.Context(), 0, [][]byte{{1}}, nil)
		require.True(t, fault.Is(err, fault.Refused), "%v", err)
	}
	require.Positive(t, r.relayAfter.Load())
	mine.failWith(nil)
	_, err := r.Append(t.Context(), 0, [][]byte{{1}}, nil)
	require.NoError(t, err)
}
