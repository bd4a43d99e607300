package cell

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"briarproxy/daemon/bootclock"
)

// lookTime is for which a connection that is to be closed is read once more: bytes that have
// arrived by then are a request to answer, and closing with unread bytes resets the connection.
const lookTime = 20 * time.Millisecond

// front takes callers' requests over HTTP. In a planned stop it refuses those that can't be
// answered any more, and closes connections only between requests.
type front struct {
	next     http.Handler
	needs    func(r *http.Request) time.Duration // to answer a request with its outcome
	told     func(r *http.Request)               // of each request that is refused
	times    stopTimes
	server   *http.Server
	listener net.Listener
	outcome  context.Context // ends when requests are answered without one
	cut      context.CancelFunc

	began                      atomic.Int64 // of a planned stop, boot clock; 0 is not yet
	taken, refused, closedIdle atomic.Int64 // in a planned stop

	mu          sync.Mutex
	connections map[*callerConn]struct{}
}

func newFront(next http.Handler, listener net.Listener, grace time.Duration) *front {
	f := &front{
		next: next, needs: func(*http.Request) time.Duration { return 0 }, told: func(*http.Request) {},
		times: timesOf(grace), listener: listener, connections: map[*callerConn]struct{}{},
	}
	f.outcome, f.cut = context.WithCancel(context.Background())
	f.server = &http.Server{
		Handler: f, ReadHeaderTimeout: requestHeaders, IdleTimeout: idleConnection, MaxHeaderBytes: headerLimit,
		BaseContext: func(net.Listener) context.Context { return f.outcome },
		ConnState: func(c net.Conn, state http.ConnState) {
			if state == http.StateIdle {
				c.(*callerConn).rest()
			}
		},
	}
	return f
}

// accepting returns the listener for the server.
func (f *front) accepting() net.Listener { return frontListener{f.listener, f} }

func (f *front) begin(now time.Duration) { f.began.Store(int64(now)) }

func (f *front) stopping() bool { return f.began.Load() != 0 }

// open returns the number of connections.
func (f *front) open() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.connections)
}

// reach does what a stage of the planned stop asks for. It is called again and again.
func (f *front) reach(stage stopStage, now time.Time) {
	if stage >= stageClose {
		_ = f.listener.Close() // again, it fails
	}
	if stage >= stageOutcome {
		f.cut()
	}
	if stage < stageLeave {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.connections {
		c.leave(now, stage >= stageOutcome)
	}
}

func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w = lastAnswer{w, f}
	began := time.Duration(f.began.Load())
	if began == 0 {
		f.next.ServeHTTP(w, r)
		return
	}
	since := bootclock.Now() - began
	if !f.times.takes(since, f.needs(r)) {
		f.refuse(w, r)
		return
	}
	f.taken.Add(1)
	ctx, cancel := context.WithTimeout(r.Context(), f.times.answer-since)
	defer cancel()
	f.next.ServeHTTP(w, r.WithContext(ctx))
}

// refuse answers that a request was not carried out. The server reads its body behind the answer.
func (f *front) refuse(w http.ResponseWriter, r *http.Request) {
	f.refused.Add(1)
	f.told(r)
	reject(w, http.StatusServiceUnavailable)
}

// lastAnswer makes an answer in a planned stop the last one of its connection.
type lastAnswer struct {
	http.ResponseWriter
	front *front
}

func (a lastAnswer) WriteHeader(status int) {
	if a.front.stopping() {
		a.Header().Set("Connection", "close")
	}
	a.ResponseWriter.WriteHeader(status)
}

// frontListener hands the front's connections to its server.
type frontListener struct {
	net.Listener
	front *front
}

func (l frontListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &callerConn{Conn: conn, front: l.front, idle: true, since: time.Now()}
	l.front.mu.Lock()
	defer l.front.mu.Unlock()
	l.front.connections[c] = struct{}{}
	return c, nil
}

// callerConn is a caller's connection that knows whether a request of it has begun. The HTTP
// server counts it as idle until a request's head is read, and closes it in the middle.
type callerConn struct {
	net.Conn
	front *front

	mu       sync.Mutex
	idle     bool      // no byte of a request was read since the last answer
	ahead    bool      // a byte of the next request was read while one was served
	since    time.Time // idle since
	deadline time.Time // of reads, as the server wants it
	end      time.Time // of reads, to close the connection; zero is open
	looked   bool
}

// leave ends reading if no request has begun for a while, or in any case. The server closes the
// connection when the read fails, so nothing is lost that was read.
func (c *callerConn) leave(now time.Time, always bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.end.IsZero() || !always && (!c.idle || now.Sub(c.since) < quietTime) {
		return
	}
	c.end = now
	c.limit()
}

// limit puts the earlier deadline in force.
func (c *callerConn) limit() {
	at := c.deadline
	if !c.end.IsZero() && (at.IsZero() || c.end.Before(at)) {
		at = c.end
	}
	_ = c.Conn.SetReadDeadline(at) // fails on a closed connection only
}

// SetReadDeadline implements net.Conn.
func (c *callerConn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = at
	c.limit()
	return nil
}

func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.lookAgain() {
		if n, err = c.Conn.Read(p); n == 0 {
			c.front.closedIdle.Add(1)
		}
	}
	if n > 0 {
		c.received(len(p))
	}
	return n, err
}

// lookAgain allows one more short read of a connection that is to be closed: a read whose
// deadline has passed does not look for bytes.
func (c *callerConn) lookAgain() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || c.looked || c.end.IsZero() {
		return false
	}
	c.looked = true
	_ = c.Conn.SetReadDeadline(time.Now().Add(lookTime)) // fails on a closed connection only
	return true
}

// received notes that bytes were read into a buffer of a size.
func (c *callerConn) received(size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle {
		c.ahead = c.ahead || size == 1 // the server waits for the caller's end with such a read
		return
	}
	c.idle, c.looked, c.end = false, false, time.Time{}
	c.limit()
}

// rest notes that a request was answered and the connection stays.
func (c *callerConn) rest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.ahead, c.since = !c.ahead, false, time.Now()
}

// CloseWrite lets the server end its side first.
func (c *callerConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.front.mu.Lock()
	delete(c.front.connections, c)
	c.front.mu.Unlock()
	return c.Conn.Close()
}
