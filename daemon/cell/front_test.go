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

// Guards against a planned stop that is killed before it ends, that takes what it can't answer
// any more, and that turns callers away while the balancer still sends them.
func TestStopTimesFitIntoTheGracePeriod(t *testing.T) {
	for _, grace := range []time.Duration{0, time.Second, 3 * time.Second, 5 * time.Second, 6 * time.Second, time.Minute} {
		s := newStopSchedule(grace)
		require.LessOrEqual(t, s.balancerUntil, s.answerUntil)
		require.LessOrEqual(t, s.answerUntil, s.end)
		require.LessOrEqual(t, s.end, max(0, grace-stopReserve))
		require.Equal(t, grace >= 5*time.Second, s.admits(drainTimeout, 0), "grace %v", grace)
		require.False(t, s.admits(s.answerUntil, 0))
		former := stageServing
		for since := time.Duration(0); since <= grace; since += stopPollInterval {
			stage := s.stage(since, 0)
			require.GreaterOrEqual(t, stage, former, "grace %v, after %v", grace, since)
			require.False(t, stage >= stageCloseListener && s.admits(since, 0), "grace %v: the listener closes after %v, while requests are taken", grace, since)
			require.Equal(t, since >= s.balancerUntil, stage >= stageCloseIdle)
			former = stage
		}
		require.Equal(t, stageFinished, s.stage(grace, 0))
	}
	s := newStopSchedule(5 * time.Second)
	require.True(t, s.admits(time.Second, 2*time.Second))
	require.False(t, s.admits(2*time.Second, 2*time.Second), "a store that takes 2 s can't be asked in 1.8 s")
	require.Equal(t, stageServing, s.stage(time.Second, time.Second), "the balancer still sends")
	require.Equal(t, stageCloseListener, s.stage(drainTimeout, quietPeriod), "nobody is left")
}

// readListener counts the bytes that were read from each caller.
type readListener struct {
	net.Listener
	mu   sync.Mutex
	read map[string]int // by the caller's address
}

type readConn struct {
	net.Conn
	listener *readListener
}

func (l *readListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return readConn{c, l}, err
}

func (c readConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.read[c.RemoteAddr().String()] += n
	return n, err
}

// readWhole reports whether all bytes of a request were read.
func (l *readListener) readWhole(a callAttempt) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.read[a.port] >= a.bytes
}

// Guards against a connection that is closed in the middle of a request whose bytes were
// read: the HTTP server calls it idle until the request's head is parsed.
func TestClosingIdleConnectionsLosesNoRequestThatWasRead(t *testing.T) {
	const (
		rounds  = 6
		callers = 150
		spread  = 400 * time.Millisecond
	)
	for round := range rounds {
		plain, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		l := &readListener{Listener: plain, read: map[string]int{}}
		c := newTestCallerAPI(t, &fakeStore{}, 0)
		slow := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-time.After(rand.N(300 * time.Millisecond)):
				answer(w, http.StatusOK, []byte("{}"))
			case <-r.Context().Done():
				answer(w, http.StatusGatewayTimeout, nil)
			}
		})
		f := newCallerServer(slow, l, stopGraceS*time.Second)
		f.schedule = stopSchedule{balancerUntil: spread / 2, answerUntil: 1500 * time.Millisecond, end: 1800 * time.Millisecond}
		go serve(f.server, f.accepter())
		var calls sync.WaitGroup
		var warm sync.WaitGroup
		warm.Add(callers)
		signal := make(chan struct{})
		all := make([]*tcpCaller, callers)
		for i := range all {
			w := &tcpCaller{address: plain.Addr().String(), rng: rand.New(rand.NewPCG(stopSeed, uint64(round*callers+i)))}
			all[i] = w
			calls.Go(func() {
				if w.open() {
					w.request()
				}
				warm.Done()
				<-signal
				time.Sleep(time.Duration(w.rng.Int64N(int64(spread))))
				if w.open() {
					w.request()
				}
				w.close()
			})
		}
		warm.Wait()
		time.Sleep(quietPeriod) // all connections are idle for long enough
		close(signal)
		require.NoError(t, c.engine.plannedStop(c.ctx, f))
		calls.Wait()
		answered, closed := 0, 0
		for _, w := range all {
			for _, a := range w.attempts {
				switch {
				case a.status != 0:
					answered++
				case l.readWhole(a):
					require.Fail(t, "a request was read and not answered", "%+v", a)
				default:
					closed++
				}
			}
		}
		t.Logf("%d answered, %d sent while the connection was being closed, taken %d", answered, closed, f.accepted.Load())
		require.Greater(t, answered, callers)
	}
}

// heldConn holds its first read back, until bytes that have arrived are due.
type heldConn struct {
	net.Conn
	begun *atomic.Bool
	hold  <-chan struct{}
	blind bool // the read ends by its deadline, without a look at what has arrived
}

func (c heldConn) Read(p []byte) (int, error) {
	if c.begun.Swap(true) {
		return c.Conn.Read(p)
	}
	if c.blind {
		<-c.hold
		return 0, os.ErrDeadlineExceeded
	}
	n, err := c.Conn.Read(p)
	<-c.hold
	return n, err
}

type heldListener struct {
	net.Listener
	held heldConn
}

func (l heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	held := l.held
	held.Conn = c
	return held, err
}

// Guards against a connection that is closed as idle while a request on it is being read, or
// has arrived and is not read yet.
func TestRequestThatMeetsTheClosingOfItsConnectionIsAnswered(t *testing.T) {
	for _, blind := range []bool{false, true} {
		plain, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		hold := make(chan struct{})
		slow := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body) // from then on the server waits for the caller's end
			select {
			case <-time.After(3 * finalReadTimeout):
				answer(w, http.StatusOK, []byte("{}"))
			case <-r.Context().Done():
				answer(w, http.StatusGatewayTimeout, nil)
			}
		})
		f := newCallerServer(slow, heldListener{plain, heldConn{begun: &atomic.Bool{}, hold: hold, blind: blind}}, stopGraceS*time.Second)
		go serve(f.server, f.accepter())
		t.Cleanup(func() { _ = f.server.Close() })
		w := &tcpCaller{address: plain.Addr().String(), rng: rand.New(rand.NewPCG(stopSeed, 0))}
		require.True(t, w.open())
		done := make(chan struct{})
		go func() { defer close(done); w.request() }()
		require.Eventually(t, func() bool { return f.openConnections() == 1 }, time.Second, time.Millisecond)
		time.Sleep(50 * time.Millisecond) // the request has arrived
		f.beginStop(bootclock.Now() - drainTimeout)
		time.Sleep(quietPeriod)
		f.enterStage(stageCloseIdle, time.Now())
		close(hold)
		<-done
		require.Len(t, w.attempts, 1)
		require.Equal(t, http.StatusOK, w.attempts[0].status, "blind %v", blind)
		require.True(t, w.attempts[0].closes)
	}
}

// Guards against a connection that counts as idle although the server has read the first byte
// of the next request while it wrote the last answer.
func TestConnectionWithAByteOfTheNextRequestIsNotIdle(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close() //nolint:errcheck // of the test
	c := &callerConn{Conn: near, owner: newCallerServer(nil, nil, 0), idle: true}
	c.received(maxBodyBytes)
	c.received(1)
	c.requestAnswered()
	c.closeIfIdle(time.Now().Add(quietPeriod), false)
	require.True(t, c.closeDeadline.IsZero())
	c.requestAnswered()
	c.closeIfIdle(time.Now().Add(quietPeriod), false)
	require.False(t, c.closeDeadline.IsZero())
}

// Guards against a request that is refused during a planned stop without an answer or when to
// come back, or that holds the stop up.
func TestLateRequestsAreRefusedWithAnAnswer(t *testing.T) {
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	c := newTestCallerAPI(t, &fakeStore{}, 0)
	served := make(chan struct{}, 1)
	f := newCallerServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served <- struct{}{} }), plain, stopGraceS*time.Second)
	f.schedule = stopSchedule{balancerUntil: 200 * time.Millisecond, answerUntil: 400 * time.Millisecond, end: 800 * time.Millisecond}
	go serve(f.server, f.accepter())
	w := &tcpCaller{address: plain.Addr().String(), rng: rand.New(rand.NewPCG(stopSeed, 0)), split: true}
	require.True(t, w.open())
	ended := make(chan error, 1)
	began := time.Now()
	go func() { ended <- c.engine.plannedStop(c.ctx, f) }()
	require.Eventually(t, f.stopping, time.Second, time.Millisecond)
	w.request()
	require.NoError(t, <-ended)
	require.Less(t, time.Since(began), f.schedule.end)
	require.Len(t, w.attempts, 1)
	a := w.attempts[0]
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	require.Equal(t, "1", a.after)
	require.True(t, a.closes)
	require.Empty(t, served)
	require.EqualValues(t, 1, f.refused.Load())
}

// Guards against a daemon that waits for a caller that sends half a request, or reads no more.
func TestPlannedStopEndsBesideAStuckCaller(t *testing.T) {
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	c := newTestCallerAPI(t, &fakeStore{}, 0)
	f := newCallerServer(c, plain, stopGraceS*time.Second)
	f.schedule = stopSchedule{balancerUntil: 100 * time.Millisecond, answerUntil: 900 * time.Millisecond, end: 1500 * time.Millisecond}
	go serve(f.server, f.accepter())
	for _, part := range []string{"POST /p/x HT", "POST /p/y HTTP/1.1\r\nHost: h\r\nContent-Length: 50\r\n\r\n{"} {
		conn, err := net.Dial("tcp", plain.Addr().String())
		require.NoError(t, err)
		defer conn.Close() //nolint:errcheck // of the test
		_, err = conn.Write([]byte(part))
		require.NoError(t, err)
	}
	time.Sleep(50 * time.Millisecond)
	began := time.Now()
	require.NoError(t, c.engine.plannedStop(c.ctx, f))
	require.Less(t, time.Since(began), 1500*time.Millisecond)
	require.Zero(t, f.openConnections())
}

// Guards against a submission that is taken while the store is too late for it to be answered
// before the end, and against a state that is refused though it needs no store.
func TestExpectedRequestTimeFollowsTheStore(t *testing.T) {
	c := newTestCallerAPI(t, &fakeStore{}, 0)
	c.engine.writer.appendTimes.record(2*time.Second, bootclock.Now())
	require.Equal(t, 2*time.Second, c.engine.expectedTime(&http.Request{Method: http.MethodPost}))
	require.Equal(t, 2*time.Second, c.engine.expectedTime(&http.Request{Method: http.MethodDelete}))
	require.Zero(t, c.engine.expectedTime(&http.Request{Method: http.MethodGet}))
}

// Guards against a request that was taken before the signal, may wait for longer than the grace
// period, and is cut off without an answer.
func TestRequestTakenBeforeTheSignalIsAnsweredBeforeTheEnd(t *testing.T) {
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	c := newTestCallerAPI(t, &fakeStore{}, 0)
	waits := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-r.Context().Done() // its body is not read yet, so the server does not look at the connection
		answer(w, http.StatusGatewayTimeout, nil)
	})
	f := newCallerServer(waits, plain, stopGraceS*time.Second)
	f.schedule = stopSchedule{balancerUntil: 100 * time.Millisecond, answerUntil: 300 * time.Millisecond, end: time.Second}
	go serve(f.server, f.accepter())
	w := &tcpCaller{address: plain.Addr().String(), rng: rand.New(rand.NewPCG(stopSeed, 0))}
	require.True(t, w.open())
	done := make(chan struct{})
	go func() { defer close(done); w.request() }()
	time.Sleep(50 * time.Millisecond)
	require.NoError(t, c.engine.plannedStop(c.ctx, f))
	<-done
	require.Len(t, w.attempts, 1)
	require.Equal(t, http.StatusGatewayTimeout, w.attempts[0].status)
	require.True(t, w.attempts[0].closes)
}
