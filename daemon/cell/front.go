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

// finalReadTimeout is for which a connection that is to be closed is read once more: bytes that have
// arrived by then are a request to answer, and closing with unread bytes resets the connection.
const finalReadTimeout = 20 * time.Millisecond

// callerServer takes callers' requests over HTTP. In a planned stop it refuses those that can't be
// answered any more, and closes connections only between requests.
type callerServer struct {
	handler        http.Handler
	expectedTime   func(r *http.Request) time.Duration // to answer a request with its outcome
	onRefused      func(r *http.Request)               // of each request that is refused
	schedule       stopSchedule
	server         *http.Server
	listener       net.Listener
	requestContext context.Context // ends when requests are answered without one
	cancelRequests context.CancelFunc

	stopStartedAt                 atomic.Int64 // of a planned stop, boot clock; 0 is not yet
	accepted, refused, closedIdle atomic.Int64 // in a planned stop

	mu          sync.Mutex
	connections map[*callerConn]struct{}
}

func newCallerServer(next http.Handler, listener net.Listener, grace time.Duration) *callerServer {
	f := &callerServer{
		handler: next, expectedTime: func(*http.Request) time.Duration { return 0 }, onRefused: func(*http.Request) {},
		schedule: newStopSchedule(grace), listener: listener, connections: map[*callerConn]struct{}{},
	}
	f.requestContext, f.cancelRequests = context.WithCancel(context.Background())
	f.server = &http.Server{
		Handler: f, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleConnectionTimeout, MaxHeaderBytes: maxHeaderBytes,
		BaseContext: func(net.Listener) context.Context { return f.requestContext },
		ConnState: func(c net.Conn, state http.ConnState) {
			if state == http.StateIdle {
				c.(*callerConn).requestAnswered()
			}
		},
	}
	return f
}

// accepter returns the listener for the server.
func (s *callerServer) accepter() net.Listener { return callerListener{s.listener, s} }

func (s *callerServer) beginStop(now time.Duration) { s.stopStartedAt.Store(int64(now)) }

func (s *callerServer) stopping() bool { return s.stopStartedAt.Load() != 0 }

// openConnections returns the number of connections.
func (s *callerServer) openConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.connections)
}

// enterStage does what a stage of the planned stop asks for. It is called again and again.
func (s *callerServer) enterStage(stage stopStage, now time.Time) {
	if stage >= stageCloseListener {
		_ = s.listener.Close() // again, it fails
	}
	if stage >= stageCancelRequests {
		s.cancelRequests()
	}
	if stage < stageCloseIdle {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		c.closeIfIdle(now, stage >= stageCancelRequests)
	}
}

func (s *callerServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w = closingResponseWriter{w, s}
	began := time.Duration(s.stopStartedAt.Load())
	if began == 0 {
		s.handler.ServeHTTP(w, r)
		return
	}
	since := bootclock.Now() - began
	if !s.schedule.admits(since, s.expectedTime(r)) {
		s.refuse(w, r)
		return
	}
	s.accepted.Add(1)
	ctx, cancel := context.WithTimeout(r.Context(), s.schedule.answerUntil-since)
	defer cancel()
	s.handler.ServeHTTP(w, r.WithContext(ctx))
}

// refuse answers that a request was not carried out. The server reads its body behind the answer.
func (s *callerServer) refuse(w http.ResponseWriter, r *http.Request) {
	s.refused.Add(1)
	s.onRefused(r)
	reject(w, http.StatusServiceUnavailable)
}

// closingResponseWriter makes an answer in a planned stop the last one of its connection.
type closingResponseWriter struct {
	http.ResponseWriter
	owner *callerServer
}

func (w closingResponseWriter) WriteHeader(status int) {
	if w.owner.stopping() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// callerListener hands the server's connections to its server.
type callerListener struct {
	net.Listener
	owner *callerServer
}

func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &callerConn{Conn: conn, owner: l.owner, idle: true, idleSince: time.Now()}
	l.owner.mu.Lock()
	defer l.owner.mu.Unlock()
	l.owner.connections[c] = struct{}{}
	return c, nil
}

// callerConn is a caller's connection that knows whether a request of it has begun. The HTTP
// server counts it as idle until a request's head is read, and closes it in the middle.
type callerConn struct {
	net.Conn
	owner *callerServer

	mu                 sync.Mutex
	idle               bool      // no byte of a request was read since the last answer
	nextRequestStarted bool      // a byte of the next request was read while one was served
	idleSince          time.Time // idle since
	serverDeadline     time.Time // of reads, as the server wants it
	closeDeadline      time.Time // of reads, to close the connection; zero is open
	finalReadUsed      bool
}

// closeIfIdle ends reading if no request has begun for a while, or in any case. The server closes the
// connection when the read fails, so nothing is lost that was read.
func (c *callerConn) closeIfIdle(now time.Time, always bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closeDeadline.IsZero() || !always && (!c.idle || now.Sub(c.idleSince) < quietPeriod) {
		return
	}
	c.closeDeadline = now
	c.applyDeadline()
}

// applyDeadline puts the earlier deadline in force.
func (c *callerConn) applyDeadline() {
	at := c.serverDeadline
	if !c.closeDeadline.IsZero() && (at.IsZero() || c.closeDeadline.Before(at)) {
		at = c.closeDeadline
	}
	_ = c.Conn.SetReadDeadline(at) // fails on a closed connection only
}

// SetReadDeadline implements net.Conn.
func (c *callerConn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serverDeadline = at
	c.applyDeadline()
	return nil
}

func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.allowFinalRead() {
		if n, err = c.Conn.Read(p); n == 0 {
			c.owner.closedIdle.Add(1)
		}
	}
	if n > 0 {
		c.received(len(p))
	}
	return n, err
}

// allowFinalRead allows one more short read of a connection that is to be closed: a read whose
// deadline has passed does not look for bytes.
func (c *callerConn) allowFinalRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || c.finalReadUsed || c.closeDeadline.IsZero() {
		return false
	}
	c.finalReadUsed = true
	_ = c.Conn.SetReadDeadline(time.Now().Add(finalReadTimeout)) // fails on a closed connection only
	return true
}

// received notes that bytes were read into a buffer of a size.
func (c *callerConn) received(size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle {
		c.nextRequestStarted = c.nextRequestStarted || size == 1 // the server waits for the caller's end with such a read
		return
	}
	c.idle, c.finalReadUsed, c.closeDeadline = false, false, time.Time{}
	c.applyDeadline()
}

// requestAnswered notes that a request was answered and the connection stays.
func (c *callerConn) requestAnswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.nextRequestStarted, c.idleSince = !c.nextRequestStarted, false, time.Now()
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
	c.owner.mu.Lock()
	delete(c.owner.connections, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}
