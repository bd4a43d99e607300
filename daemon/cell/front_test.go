package cell

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/daemon/bootclock"
)

// Guards against a planned stop that outlasts the grace period and is killed, that accepts requests
// it can't answer in time, or that refuses callers while the load balancer still sends them.
func TestStopTimesFitIntoTheGracePeriod(t *testing.T) {
	for _, grace := range []time.Duration{0, time.Second, 3 * time.Second, 5 * time.Second, 6 * time.Second, time.Minute} {
		schedule := newStopSchedule(grace)
		require.LessOrEqual(t, schedule.newConnectionsUntil, schedule.answerUntil)
		require.LessOrEqual(t, schedule.answerUntil, schedule.end)
		require.LessOrEqual(t, schedule.end, max(0, grace-stopReserve))
		require.Equal(t, grace >= 5*time.Second, schedule.admits(drainTimeout, 0), "grace %v", grace)
		require.False(t, schedule.admits(schedule.answerUntil, 0))
		previousStage := stageServing
		for elapsed := time.Duration(0); elapsed <= grace; elapsed += stopPollInterval {
			stage := schedule.stage(elapsed, 0)
			require.GreaterOrEqual(t, stage, previousStage, "grace %v, after %v", grace, elapsed)
			require.False(t, stage >= stageCloseListener && schedule.admits(elapsed, 0), "grace %v: the listener closes after %v, while requests are admitted", grace, elapsed)
			require.Equal(t, elapsed >= schedule.newConnectionsUntil, stage >= stageCloseIdle)
			previousStage = stage
		}
		require.Equal(t, stageFinished, schedule.stage(grace, 0))
	}
	schedule := newStopSchedule(5 * time.Second)
	require.True(t, schedule.admits(time.Second, 2*time.Second))
	require.False(t, schedule.admits(2*time.Second, 2*time.Second), "a request of 2 s can't be answered within 1.8 s")
	require.Equal(t, stageServing, schedule.stage(time.Second, time.Second), "the balancer still sends connections")
	require.Equal(t, stageCloseListener, schedule.stage(drainTimeout, quietPeriod), "no connection is open")
}

// byteCountListener counts the bytes that the server has read from each caller.
type byteCountListener struct {
	net.Listener
	mu   sync.Mutex
	read map[string]int // by the caller's address
}

type byteCountConn struct {
	net.Conn
	listener *byteCountListener
}

func (l *byteCountListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return byteCountConn{c, l}, err
}

func (c byteCountConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.read[c.RemoteAddr().String()] += n
	return n, err
}

// readWhole reports whether the server has read all bytes of a request.
func (l *byteCountListener) readWhole(a callAttempt) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.read[a.port] >= a.sentBytes
}

// Guards against a connection that is closed in the middle of a request whose bytes were already
// read: the HTTP server regards it as idle until the request's header is parsed.
func TestClosingIdleConnectionsLosesNoRequestThatWasRead(t *testing.T) {
	const (
		rounds  = 6
		callers = 150
		spread  = 400 * time.Millisecond
	)
	for round := range rounds {
		tcpListener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		countingListener := &byteCountListener{Listener: tcpListener, read: map[string]int{}}
		api := newTestCallerAPI(t, &fakeStore{}, 0)
		slowHandler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-time.After(rand.N(300 * time.Millisecond)):
				answer(w, http.StatusOK, []byte("{}"))
			case <-r.Context().Done():
				answer(w, http.StatusGatewayTimeout, nil)
			}
		})
		server := newCallerServer(slowHandler, countingListener, stopGraceS*time.Second)
		server.schedule = stopSchedule{newConnectionsUntil: spread / 2, answerUntil: 1500 * time.Millisecond, end: 1800 * time.Millisecond}
		go serve(server.server, server.trackingListener())
		var calls sync.WaitGroup
		var firstRequests sync.WaitGroup
		firstRequests.Add(callers)
		stopSignal := make(chan struct{})
		clients := make([]*tcpCaller, callers)
		for i := range clients {
			client := &tcpCaller{address: tcpListener.Addr().String(), rng: rand.New(rand.NewPCG(stopSeed, uint64(round*callers+i)))}
			clients[i] = client
			calls.Go(func() {
				if client.open() {
					client.request()
				}
				firstRequests.Done()
				<-stopSignal
				time.Sleep(time.Duration(client.rng.Int64N(int64(spread))))
				if client.open() {
					client.request()
				}
				client.close()
			})
		}
		firstRequests.Wait()
		time.Sleep(quietPeriod) // all connections have been idle long enough to be closed
		close(stopSignal)
		require.NoError(t, api.engine.plannedStop(api.ctx, server))
		calls.Wait()
		answered, unread := 0, 0
		for _, client := range clients {
			for _, a := range client.attempts {
				switch {
				case a.status != 0:
					answered++
				case countingListener.readWhole(a):
					require.Fail(t, "a request was read and not answered", "%+v", a)
				default:
					unread++
				}
			}
		}
		t.Logf("%d answered, %d sent while the connection was being closed, %d accepted during the stop", answered, unread, server.accepted.Load())
		require.Greater(t, answered, callers)
	}
}

// delayedReadConn delays the result of its first read until release is closed.
type delayedReadConn struct {
	net.Conn
	firstReadStarted *atomic.Bool
	release          <-chan struct{}
	timesOut         bool // the first read fails with an expired deadline and reads nothing, although bytes may have arrived
}

func (c delayedReadConn) Read(p []byte) (int, error) {
	if c.firstReadStarted.Swap(true) {
		return c.Conn.Read(p)
	}
	if c.timesOut {
		<-c.release
		return 0, os.ErrDeadlineExceeded
	}
	n, err := c.Conn.Read(p)
	<-c.release
	return n, err
}

type delayedReadListener struct {
	net.Listener
	template delayedReadConn
}

func (l delayedReadListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	delayed := l.template
	delayed.Conn = conn
	return delayed, err
}

// Guards against a connection that is closed as idle while a request on it is being read, or has
// arrived but is not read yet.
func TestRequestArrivingWhileItsConnectionIsClosedIsAnswered(t *testing.T) {
	for _, timesOut := range []bool{false, true} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		release := make(chan struct{})
		slowHandler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body) // once the body is read, the HTTP server watches for a disconnect of the caller
			select {
			case <-time.After(3 * finalReadTimeout):
				answer(w, http.StatusOK, []byte("{}"))
			case <-r.Context().Done():
				answer(w, http.StatusGatewayTimeout, nil)
			}
		})
		server := newCallerServer(slowHandler, delayedReadListener{listener, delayedReadConn{firstReadStarted: &atomic.Bool{}, release: release, timesOut: timesOut}}, stopGraceS*time.Second)
		go serve(server.server, server.trackingListener())
		t.Cleanup(func() { _ = server.server.Close() })
		client := &tcpCaller{address: listener.Addr().String(), rng: rand.New(rand.NewPCG(stopSeed, 0))}
		require.True(t, client.open())
		done := make(chan struct{})
		go func() { defer close(done); client.request() }()
		require.Eventually(t, func() bool { return server.openConnections() == 1 }, time.Second, time.Millisecond)
		time.Sleep(50 * time.Millisecond) // the request has arrived
		server.beginStop(bootclock.Now() - drainTimeout)
		time.Sleep(quietPeriod)
		server.enterStage(stageCloseIdle, time.Now())
		close(release)
		<-done
		require.Len(t, client.attempts, 1)
		require.Equal(t, http.StatusOK, client.attempts[0].status, "the first read times out: %v", timesOut)
		require.True(t, client.attempts[0].connectionClose)
	}
}

// Guards against a connection that counts as idle although the server has read the first byte of
// the next request while it was writing the previous answer.
func TestConnectionWithAByteOfTheNextRequestIsNotIdle(t *testing.T) {
	serverEnd, callerEnd := net.Pipe()
	defer callerEnd.Close() //nolint:errcheck // test cleanup
	conn := &callerConn{Conn: serverEnd, server: newCallerServer(nil, nil, 0), idle: true}
	conn.received(maxBodyBytes)
	conn.received(1)
	conn.requestAnswered()
	conn.closeIfIdle(time.Now().Add(quietPeriod), false)
	require.True(t, conn.closeDeadline.IsZero())
	conn.requestAnswered()
	conn.closeIfIdle(time.Now().Add(quietPeriod), false)
	require.False(t, conn.closeDeadline.IsZero())
}

// Guards against a request that is refused during a planned stop without an answer or without a
// Retry-After header, or that delays the stop.
func TestLateRequestsAreRefusedWithAnAnswer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	api := newTestCallerAPI(t, &fakeStore{}, 0)
	served := make(chan struct{}, 1)
	server := newCallerServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served <- struct{}{} }), listener, stopGraceS*time.Second)
	server.schedule = stopSchedule{newConnectionsUntil: 200 * time.Millisecond, answerUntil: 400 * time.Millisecond, end: 800 * time.Millisecond}
	go serve(server.server, server.trackingListener())
	client := &tcpCaller{address: listener.Addr().String(), rng: rand.New(rand.NewPCG(stopSeed, 0)), split: true}
	require.True(t, client.open())
	stopResult := make(chan error, 1)
	startedAt := time.Now()
	go func() { stopResult <- api.engine.plannedStop(api.ctx, server) }()
	require.Eventually(t, server.stopping, time.Second, time.Millisecond)
	client.request()
	require.NoError(t, <-stopResult)
	require.Less(t, time.Since(startedAt), server.schedule.end)
	require.Len(t, client.attempts, 1)
	attempt := client.attempts[0]
	require.Equal(t, http.StatusServiceUnavailable, attempt.status)
	require.Equal(t, "1", attempt.retryAfter)
	require.True(t, attempt.connectionClose)
	require.Empty(t, served)
	require.EqualValues(t, 1, server.refused.Load())
}

// Guards against a planned stop that waits for callers which have sent only a part of a request.
func TestPlannedStopEndsDespiteIncompleteRequests(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	api := newTestCallerAPI(t, &fakeStore{}, 0)
	server := newCallerServer(api, listener, stopGraceS*time.Second)
	server.schedule = stopSchedule{newConnectionsUntil: 100 * time.Millisecond, answerUntil: 900 * time.Millisecond, end: 1500 * time.Millisecond}
	go serve(server.server, server.trackingListener())
	for _, incomplete := range []string{"POST /p/x HT", "POST /p/y HTTP/1.1\r\nHost: h\r\nContent-Length: 50\r\n\r\n{"} {
		conn, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		defer conn.Close() //nolint:errcheck // test cleanup
		_, err = conn.Write([]byte(incomplete))
		require.NoError(t, err)
	}
	time.Sleep(50 * time.Millisecond)
	startedAt := time.Now()
	require.NoError(t, api.engine.plannedStop(api.ctx, server))
	require.Less(t, time.Since(startedAt), 1500*time.Millisecond)
	require.Zero(t, server.openConnections())
}

// Guards against a submission that is accepted although the store is too slow for an answer before
// the end of a planned stop, and against a status query that is refused although it needs no append.
func TestExpectedRequestTimeFollowsTheStore(t *testing.T) {
	api := newTestCallerAPI(t, &fakeStore{}, 0)
	api.engine.writer.appendTimes.record(2*time.Second, bootclock.Now())
	require.Equal(t, 2*time.Second, api.engine.expectedTime(&http.Request{Method: http.MethodPost}))
	require.Equal(t, 2*time.Second, api.engine.expectedTime(&http.Request{Method: http.MethodDelete}))
	require.Zero(t, api.engine.expectedTime(&http.Request{Method: http.MethodGet}))
}

// Guards against a request that was accepted before the signal, would wait for longer than the grace
// period, and is cut off without an answer.
func TestRequestAcceptedBeforeTheSignalIsAnsweredBeforeTheEnd(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	api := newTestCallerAPI(t, &fakeStore{}, 0)
	blockingHandler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-r.Context().Done() // the body is not read yet, so the HTTP server does not watch for a disconnect
		answer(w, http.StatusGatewayTimeout, nil)
	})
	server := newCallerServer(blockingHandler, listener, stopGraceS*time.Second)
	server.schedule = stopSchedule{newConnectionsUntil: 100 * time.Millisecond, answerUntil: 300 * time.Millisecond, end: time.Second}
	go serve(server.server, server.trackingListener())
	client := &tcpCaller{address: listener.Addr().String(), rng: rand.New(rand.NewPCG(stopSeed, 0))}
	require.True(t, client.open())
	done := make(chan struct{})
	go func() { defer close(done); client.request() }()
	time.Sleep(50 * time.Millisecond)
	require.NoError(t, api.engine.plannedStop(api.ctx, server))
	<-done
	require.Len(t, client.attempts, 1)
	require.Equal(t, http.StatusGatewayTimeout, client.attempts[0].status)
	require.True(t, client.attempts[0].connectionClose)
}
