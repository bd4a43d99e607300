package faultproxy

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	chunkBytes    = 32 << 10
	delayedChunks = 1024 // chunks of one direction under way; more hold up the sender
)

// link is one connection through the proxy.
type link struct {
	id     int64
	client net.Conn
	server net.Conn
	opened time.Time
	up     flow // client to target
	down   flow // target to client
	closed chan struct{}
	once   sync.Once
}

// flow is one direction of a link.
type flow struct {
	silent atomic.Bool // drops everything from now on, without an end of stream
	bytes  atomic.Int64
}

// chunk is data under way. A chunk without data is the end of the stream.
type chunk struct {
	data []byte
	due  time.Time
}

// cut closes both sides with a reset, so that neither takes it for an orderly end.
func (l *link) cut() {
	l.once.Do(func() {
		close(l.closed)
		reset(l.client)
		reset(l.server)
	})
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// finish closes both sides after both directions have ended.
func (l *link) finish() {
	l.once.Do(func() {
		close(l.closed)
		_ = l.client.Close()
		_ = l.server.Close()
	})
}

// read takes data from source until it ends and hands it on with the time at which
// it is due. The hook sees each chunk first; if it returns false the chunk is lost.
func (l *link) read(source net.Conn, f *flow, delay func() time.Duration, pass func() bool, out chan<- chunk) {
	defer close(out)
	for {
		buffer := make([]byte, chunkBytes)
		n, err := source.Read(buffer)
		if n > 0 && !f.silent.Load() && pass() {
			f.bytes.Add(int64(n))
			l.send(out, chunk{data: buffer[:n], due: time.Now().Add(delay())})
		}
		if err == nil {
			continue
		}
		if err == io.EOF {
			l.send(out, chunk{due: time.Now().Add(delay())})
		} else if !f.silent.Load() {
			l.cut()
		}
		return
	}
}

func (l *link) send(out chan<- chunk, c chunk) {
	select {
	case out <- c:
	case <-l.closed:
	}
}

// write delivers chunks when they are due. A failure of the destination reaches
// the source only if the way back is not silent.
func (l *link) write(destination net.Conn, f, back *flow, in <-chan chunk) {
	for c := range in {
		if !l.wait(c.due) {
			return
		}
		switch {
		case f.silent.Load():
		case c.data == nil:
			closeWrite(destination)
		default:
			if _, err := destination.Write(c.data); err == nil {
				continue
			}
			if !back.silent.Load() {
				l.cut()
				return
			}
			f.silent.Store(true)
		}
	}
}

// wait returns at the given time, or false as soon as the link is closed.
func (l *link) wait(due time.Time) bool {
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.closed:
		return false
	}
}

func closeWrite(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}
