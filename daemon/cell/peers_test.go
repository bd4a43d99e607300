package cell

import (
	"context"
	"net"
	"net/rpc"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fullListener accepts no connection for a while, as a process without free descriptors does.
type fullListener struct {
	net.Listener
	refusals atomic.Int64 // still to come
}

func (l *fullListener) Accept() (net.Conn, error) {
	if l.refusals.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a daemon that no other daemon reaches any more after it ran out of descriptors once.
func TestPeersAreAcceptedAgainAfterDescriptorsRanOut(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	full := &fullListener{Listener: listener}
	full.refusals.Store(3)
	var yielded atomic.Int64
	require.NoError(t, servePeers(full, &peerService{yield: yielded.Store}))
	t.Cleanup(func() { _ = listener.Close() })

	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	require.NoError(t, newPeerClients().yield(ctx, listener.Addr().String(), 7))
	require.EqualValues(t, 7, yielded.Load())
}

// Guards against the goroutine that accepts connections of other daemons spinning after the listener was closed.
func TestAcceptingPeersEndsWithTheListener(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ended := make(chan struct{})
	go func() { acceptPeers(listener, rpc.NewServer()); close(ended) }()
	require.NoError(t, listener.Close())
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("acceptPeers has not returned")
	}
}

// Guards against calls that fail because the other daemon has ended the connection between two calls, as it
// does at its limit.
func TestAnEndedConnectionToAPeerIsReplacedBeforeTheNextCall(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	server := rpc.NewServer()
	require.NoError(t, server.RegisterName("Cell", &peerService{yield: func(int64) {}}))
	accepted := make(chan net.Conn, 2)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
			go server.ServeConn(conn)
		}
	}()
	peers, address := newPeerClients(), listener.Addr().String()
	require.NoError(t, peers.yield(t.Context(), address, 1))
	require.NoError(t, (<-accepted).Close())
	peers.mu.Lock()
	first := peers.connections[address]
	peers.mu.Unlock()
	require.Eventually(t, first.conn.ended.Load, 5*time.Second, time.Millisecond)
	require.NoError(t, peers.yield(t.Context(), address, 2))
}
