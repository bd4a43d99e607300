package peer

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/fault"
	"briarproxy/core/wire"
)

// handler answers pings and borrows; every other method panics on the nil Handler.
type handler struct {
	Handler
	borrow func(*wire.BorrowArgs, *wire.BorrowReply) error
}

func (h *handler) Ping(*wire.PingArgs, *wire.PingReply) error { return nil }

func (h *handler) Borrow(args *wire.BorrowArgs, reply *wire.BorrowReply) error {
	return h.borrow(args, reply)
}

func serve(t *testing.T, h Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server, err := NewServer(listener, h)
	require.NoError(t, err)
	go server.Serve()
	t.Cleanup(server.Close)
	return listener.Addr().String()
}

func clientFor(t *testing.T, address string) *Client {
	t.Helper()
	client := NewClient("self", func(string) (string, bool) { return address, true }, nil)
	t.Cleanup(client.Close)
	return client
}

// silenced forwards bytes until silent is set, then keeps the connections that are
// open but passes nothing on. Connections made later work.
func silenced(t *testing.T, target string) (address string, silence func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	var generation atomic.Int64
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				_ = in.Close()
				continue
			}
			mine := generation.Load()
			go relay(out, in, &generation, mine)
			go relay(in, out, &generation, mine)
		}
	}()
	return listener.Addr().String(), func() { generation.Add(1) }
}

func relay(to io.Writer, from io.ReadCloser, generation *atomic.Int64, mine int64) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if generation.Load() == mine {
			_, _ = to.Write(buffer[:n])
		}
	}
}

// Guards against callers that wait for good on a connection that went silent while
// new connections work.
func TestSilentConnectionIsReplaced(t *testing.T) {
	h := &handler{borrow: func(_ *wire.BorrowArgs, reply *wire.BorrowReply) error {
		reply.Free = 7
		return nil
	}}
	address, silence := silenced(t, serve(t, h))
	client := clientFor(t, address)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	require.NoError(t, client.Call(ctx, "peer", wire.RPCBorrow, &wire.BorrowArgs{}, &wire.BorrowReply{}))

	silence()
	begin := time.Now()
	err := client.Call(ctx, "peer", wire.RPCBorrow, &wire.BorrowArgs{}, &wire.BorrowReply{})
	require.True(t, fault.Is(err, fault.Unavailable), "got %v", err)
	require.Less(t, time.Since(begin), 4*pingInterval)

	var reply wire.BorrowReply
	require.NoError(t, client.Call(ctx, "peer", wire.RPCBorrow, &wire.BorrowArgs{}, &reply))
	require.EqualValues(t, 7, reply.Free)
}

// Guards against a long call that is cut off although its connection is alive.
func TestLongCallOnLiveConnectionIsKept(t *testing.T) {
	h := &handler{borrow: func(*wire.BorrowArgs, *wire.BorrowReply) error {
		time.Sleep(3 * pingInterval)
		return nil
	}}
	client := clientFor(t, serve(t, h))
	require.NoError(t, client.Call(context.Background(), "peer", wire.RPCBorrow, &wire.BorrowArgs{}, &wire.BorrowReply{}))
}

// Guards against an error that loses its kind on the way, so that a caller could
// not tell "had no effect" from "may have had one".
func TestErrorsKeepTheirKind(t *testing.T) {
	h := &handler{borrow: func(*wire.BorrowArgs, *wire.BorrowReply) error {
		return fault.New(fault.NotOwner, "ask the new owner", "rack moved")
	}}
	client := clientFor(t, serve(t, h))
	err := client.Call(context.Background(), "peer", wire.RPCBorrow, &wire.BorrowArgs{}, &wire.BorrowReply{})
	require.True(t, fault.Is(err, fault.NotOwner), "got %v", err)
	require.Equal(t, "ask the new owner", fault.Remedy(err))
}

// Guards against a call to this daemon that leaves the process.
func TestLocalCallUsesNoNetwork(t *testing.T) {
	client := NewClient("self", func(string) (string, bool) { return "", false }, nil)
	client.SetLocal(&handler{borrow: func(args *wire.BorrowArgs, reply *wire.BorrowReply) error {
		reply.Free = args.Want
		return nil
	}})
	var reply wire.BorrowReply
	require.NoError(t, client.Call(context.Background(), "self", wire.RPCBorrow, &wire.BorrowArgs{Want: 3}, &reply))
	require.EqualValues(t, 3, reply.Free)
}

// Guards against a daemon that stops because a peer sends bytes that are no RPC.
func TestGarbageOnTheListenerIsHarmless(t *testing.T) {
	h := &handler{borrow: func(*wire.BorrowArgs, *wire.BorrowReply) error { return nil }}
	address := serve(t, h)
	for _, garbage := range []string{"GET / HTTP/1.1\r\n\r\n", "\x00\x01\x02", "\xff\xff\xff\xff\xff\xff\xff\xff\xff"} {
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		_, _ = conn.Write([]byte(garbage))
		_ = conn.Close()
	}
	client := clientFor(t, address)
	require.NoError(t, client.Call(context.Background(), "peer", wire.RPCBorrow, &wire.BorrowArgs{}, &wire.BorrowReply{}))
}

// Guards against bytes that are lost or counted twice, or attributed to another
// method that shares the connection.
func TestBytesAreCountedByMethod(t *testing.T) {
	const size = 50_000
	h := &handler{borrow: func(_ *wire.BorrowArgs, reply *wire.BorrowReply) error {
		reply.Renewed = make([]int64, size)
		return nil
	}}
	address := serve(t, h)
	var wired atomic.Int64
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		in, err := listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		go func() { _, _ = io.Copy(io.MultiWriter(counter{&wired}, out), in) }()
		_, _ = io.Copy(io.MultiWriter(counter{&wired}, in), out)
	}()
	client := clientFor(t, listener.Addr().String())
	var mu sync.Mutex
	counted := map[string]int{}
	client.SetTraffic(func(daemon, method string, bytes int) {
		mu.Lock()
		defer mu.Unlock()
		counted[daemon+" "+method] += bytes
	})
	require.NoError(t, client.Call(t.Context(), "peer", wire.RPCPing, &wire.PingArgs{}, &wire.PingReply{}))
	var calls sync.WaitGroup // on the one connection that is open now
	for i := range 20 {
		calls.Go(func() {
			if i%2 == 0 {
				_ = client.Call(t.Context(), "peer", wire.RPCPing, &wire.PingArgs{}, &wire.PingReply{})
				return
			}
			_ = client.Call(t.Context(), "peer", wire.RPCBorrow, &wire.BorrowArgs{}, &wire.BorrowReply{})
		})
	}
	calls.Wait()
	mu.Lock()
	defer mu.Unlock()
	ping, borrow := counted["peer "+wire.RPCPing], counted["peer "+wire.RPCBorrow]
	require.Len(t, counted, 2)
	require.EqualValues(t, wired.Load(), ping+borrow)
	require.Greater(t, borrow, 10*size)
	require.Less(t, ping, 2000)
}

type counter struct{ n *atomic.Int64 }

func (c counter) Write(b []byte) (int, error) {
	c.n.Add(int64(len(b)))
	return len(b), nil
}
