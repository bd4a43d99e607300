package faultproxy

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	readBufferBytes = 32 << 10
	maxQueuedChunks = 1024 // Each direction queues at most this many chunks; a full queue blocks the sender.
)

// proxiedConn is one connection through the proxy.
type proxiedConn struct {
	id        int64
	client    net.Conn
	server    net.Conn
	opened    time.Time
	up        stream // Data from the client to the target.
	down      stream // Data from the target to the client.
	closed    chan struct{}
	closeOnce sync.Once
}

// stream is one direction of a proxied connection.
type stream struct {
	silent atomic.Bool // If set, all data and the end of the stream are dropped.
	bytes  atomic.Int64
}

// chunk is data that is delivered when it is due. A chunk without data is the end of
// the stream.
type chunk struct {
	data []byte
	due  time.Time
}

// reset closes both sides with a TCP reset, so that neither sees an orderly end.
func (pc *proxiedConn) reset() {
	pc.closeOnce.Do(func() {
		close(pc.closed)
		closeWithReset(pc.client)
		closeWithReset(pc.server)
	})
}

// closeWithReset closes a connection and sends a TCP reset.
func closeWithReset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// closeBoth closes both sides after both directions have ended.
func (pc *proxiedConn) closeBoth() {
	pc.closeOnce.Do(func() {
		close(pc.closed)
		_ = pc.client.Close()
		_ = pc.server.Close()
	})
}

// readStream reads from source until it ends and queues the data with the time at
// which it is due. It calls forwards for each chunk and drops the chunk if the result
// is false.
func (pc *proxiedConn) readStream(source net.Conn, s *stream, delay func() time.Duration, forwards func() bool, out chan<- chunk) {
	defer close(out)
	for {
		buffer := make([]byte, readBufferBytes)
		n, err := source.Read(buffer)
		if n > 0 && !s.silent.Load() && forwards() {
			s.bytes.Add(int64(n))
			pc.send(out, chunk{data: buffer[:n], due: time.Now().Add(delay())})
		}
		if err == nil {
			continue
		}
		if err == io.EOF {
			pc.send(out, chunk{due: time.Now().Add(delay())})
		} else if !s.silent.Load() {
			pc.reset()
		}
		return
	}
}

func (pc *proxiedConn) send(out chan<- chunk, c chunk) {
	select {
	case out <- c:
	case <-pc.closed:
	}
}

// writeStream delivers chunks when they are due. A failed write resets the connection,
// unless the reverse direction is silent: the source must then not see the failure.
func (pc *proxiedConn) writeStream(destination net.Conn, s, reverse *stream, in <-chan chunk) {
	for c := range in {
		if !pc.waitUntil(c.due) {
			return
		}
		switch {
		case s.silent.Load():
		case c.data == nil:
			closeWrite(destination)
		default:
			if _, err := destination.Write(c.data); err == nil {
				continue
			}
			if !reverse.silent.Load() {
				pc.reset()
				return
			}
			s.silent.Store(true)
		}
	}
}

// waitUntil returns true at the given time, or false as soon as the connection is closed.
func (pc *proxiedConn) waitUntil(due time.Time) bool {
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-pc.closed:
		return false
	}
}

func closeWrite(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}
