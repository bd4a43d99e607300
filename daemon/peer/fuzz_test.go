package peer

import (
	"bytes"
	"context"
	"encoding/gob"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/wire"
)

// Guards against bytes on the listener that crash the daemon or keep it from
// answering other connections.
func FuzzServer(f *testing.F) {
	var call bytes.Buffer
	encoder := gob.NewEncoder(&call)
	require.NoError(f, encoder.Encode(&rpc.Request{ServiceMethod: wire.RPCPing, Seq: 1}))
	require.NoError(f, encoder.Encode(&wire.PingArgs{From: "x", Incarnation: 1}))
	f.Add(call.Bytes())
	f.Add(append([]byte{0xf8, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, call.Bytes()...))
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f, err)
	server, err := NewServer(listener, &handler{borrow: func(*wire.BorrowArgs, *wire.BorrowReply) error { return nil }})
	require.NoError(f, err)
	go server.Serve()
	f.Cleanup(server.Close)
	address := listener.Addr().String()
	client := NewClient("self", func(string) (string, bool) { return address, true }, nil)
	f.Cleanup(client.Close)
	f.Fuzz(func(t *testing.T, data []byte) {
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		defer conn.Close()
		_, _ = conn.Write(data) // the server may close the connection first
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		require.NoError(t, client.Call(ctx, "peer", wire.RPCPing, &wire.PingArgs{}, &wire.PingReply{}))
	})
}
