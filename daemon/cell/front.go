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

	"briarproxy/core/intake"
	"briarproxy/daemon/bootclock"
)

// finalReadTimeout limits the last read of a connection before it is closed: bytes that have arrived
// belong to a request to answer, and closing a connection with unread bytes resets it.
const finalReadTimeout = 20 * time.Millisecond

// callerServer accepts callers' requests over HTTP. During a planned stop it refuses requests that
// can't be completed in time, and closes connections only between requests.
type callerServer struct {
	handler        http.Handler
	expectedTime   func(r *http.Request) time.Duration // until the outcome of a request is known
	onRefused      func(r *http.Request)               // called for each refused request
	schedule       stopSchedule
	server         *http.Server
	listener       net.Listener
	requestContext context.Context // of all requests; cancelled at stageCancelRequests
	cancelRequests context.CancelFunc

	stopStartedAt                 atomic.Int64 // boot clock; 0 while no planned stop has begun
	accepted, refused, closedIdle atomic.Int64 // counts of the planned stop

	mu          sync.Mutex
	connections map[*callerConn]struct{}
}

func newCallerServer(handler http.Handler, listener net.Listener, grace time.Duration) *callerServer {
	s := &callerServer{
		handler: handler, expectedTime: func(*http.Request) time.Duration { return 0 }, onRefused: func(*http.Request) {},
		schedule: newStopSchedule(grace), listener: listener, connections: map[*callerConn]struct{}{},
	}
	s.requestContext, s.cancelRequests = context.WithCancel(context.Background())
	s.server = &http.Server{
		Handler: s, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleConnectionTimeout, MaxHeaderBytes: maxHeaderBytes,
		BaseContext: func(net.Listener) context.Context { return s.requestContext },
		ConnContext: withDoorConn,
		ConnState: func(c net.Conn, state http.ConnState) {
			if state == http.StateIdle {
				c.(*callerConn).requestAnswered()
			}
		},
	}
	return s
}

// trackingListener returns the listener to serve on, which tracks the connections that it accepts.
func (s *callerServer) trackingListener() net.Listener { return callerListener{s.listener, s} }

func (s *callerServer) beginStop(now time.Duration) { s.stopStartedAt.Store(int64(now)) }

func (s *callerServer) stopping() bool { return s.stopStartedAt.Load() != 0 }

// openConnections returns the number of open connections.
func (s *callerServer) openConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.connections)
}

// enterStage performs the actions of a stage of the planned stop. It may be called repeatedly for
// the same stage.
func (s *callerServer) enterStage(stage stopStage, now time.Time) {
	if stage >= stageCloseListener {
		_ = s.listener.Close() // fails if the listener is closed already
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
	beginRequest(r)
	w = closingResponseWriter{w, s}
	stopStartedAt := time.Duration(s.stopStartedAt.Load())
	if stopStartedAt == 0 {
		s.handler.ServeHTTP(w, r)
		return
	}
	elapsed := bootclock.Now() - stopStartedAt
	if !s.schedule.admits(elapsed, s.expectedTime(r)) {
		s.refuse(w, r)
		return
	}
	s.accepted.Add(1)
	ctx, cancel := context.WithTimeout(r.Context(), s.schedule.answerUntil-elapsed)
	defer cancel()
	s.handler.ServeHTTP(w, r.WithContext(ctx))
}

// refuse answers that a request was not executed. The HTTP server reads the request's body after
// the answer.
func (s *callerServer) refuse(w http.ResponseWriter, r *http.Request) {
	s.refused.Add(1)
	s.onRefused(r)
	reject(w, http.StatusServiceUnavailable)
}

// closingResponseWriter adds "Connection: close" to each answer during a planned stop.
type closingResponseWriter struct {
	http.ResponseWriter
	server *callerServer
}

func (w closingResponseWriter) WriteHeader(status int) {
	if w.server.stopping() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// callerListener registers each accepted connection with its callerServer.
type callerListener struct {
	net.Listener
	server *callerServer
}

func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &callerConn{Conn: conn, server: l.server, idle: true, idleSince: time.Now()}
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	l.server.connections[c] = struct{}{}
	return c, nil
}

// callerConn is a caller's connection that tracks whether the first byte of a request has been read.
// The HTTP server itself regards a connection as idle until a request's whole header is read, and so
// may close it in the middle of a request.
type callerConn struct {
	net.Conn
	server *callerServer

	mu                 sync.Mutex
	idle               bool // no byte of a request has been read since the last answer
	nextRequestStarted bool // a byte of the next request was read while the current one was served
	idleSince          time.Time
	serverDeadline     time.Time // of reads, set by the HTTP server
	closeDeadline      time.Time // of reads, set in order to close the connection; zero if it stays open
	finalReadUsed      bool
}

// closeIfIdle expires the read deadline if no request has begun for quietPeriod, or unconditionally
// with force. The HTTP server closes the connection when the read fails, so no request that was
// already read is lost.
func (c *callerConn) closeIfIdle(now time.Time, force bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closeDeadline.IsZero() || !force && (!c.idle || now.Sub(c.idleSince) < quietPeriod) {
		return
	}
	c.closeDeadline = now
	c.applyDeadline()
}

// applyDeadline sets the earlier of the two read deadlines on the connection.
func (c *callerConn) applyDeadline() {
	deadline := c.serverDeadline
	if !c.closeDeadline.IsZero() && (deadline.IsZero() || c.closeDeadline.Before(deadline)) {
		deadline = c.closeDeadline
	}
	_ = c.Conn.SetReadDeadline(deadline) // fails only on a closed connection
}

// SetReadDeadline implements net.Conn.
func (c *callerConn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serverDeadline = deadline
	c.applyDeadline()
	return nil
}

func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.allowFinalRead() {
		if n, err = c.Conn.Read(p); n == 0 {
			c.server.closedIdle.Add(1)
		}
	}
	if n > 0 {
		c.received(len(p))
	}
	return n, err
}

// allowFinalRead allows one more short read of a connection that is about to be closed: a read whose
// deadline has expired fails even if bytes have arrived.
func (c *callerConn) allowFinalRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || c.finalReadUsed || c.closeDeadline.IsZero() {
		return false
	}
	c.finalReadUsed = true
	_ = c.Conn.SetReadDeadline(time.Now().Add(finalReadTimeout)) // fails only on a closed connection
	return true
}

// received records that bytes were read into a buffer of the given size.
func (c *callerConn) received(bufferSize int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle {
		c.nextRequestStarted = c.nextRequestStarted || bufferSize == 1 // while it serves a request, the HTTP server detects a disconnect by reading a single byte
		return
	}
	c.idle, c.finalReadUsed, c.closeDeadline = false, false, time.Time{}
	c.applyDeadline()
}

// requestAnswered records that a request was answered and the connection stays open.
func (c *callerConn) requestAnswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.nextRequestStarted, c.idleSince = !c.nextRequestStarted, false, time.Now()
	if passed, ok := c.Conn.(*doorConn); ok {
		passed.enter(intake.Idle)
	}
}

// CloseWrite lets the HTTP server close the sending direction before the connection.
func (c *callerConn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.server.mu.Lock()
	delete(c.server.connections, c)
	c.server.mu.Unlock()
	return c.Conn.Close()
}
