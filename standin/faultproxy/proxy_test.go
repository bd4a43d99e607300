package faultproxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	testTimeout    = 5 * time.Second
	silenceTimeout = 100 * time.Millisecond // A connection without data for this long counts as silent.
)

// echoServer sends each line back and counts the lines that it received.
type echoServer struct {
	listener   net.Listener
	lines      atomic.Int64
	endedConns atomic.Int64 // Connections whose end the server has seen.
}

func newEchoServer(t *testing.T) *echoServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e := &echoServer{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for c, err := listener.Accept(); err == nil; c, err = listener.Accept() {
			go e.serve(c)
		}
	}()
	return e
}

func (e *echoServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	defer e.endedConns.Add(1)
	scanner := bufio.NewScanner(c)
	for scanner.Scan() {
		e.lines.Add(1)
		_, _ = fmt.Fprintln(c, scanner.Text())
	}
}

func newProxy(t *testing.T) (*Proxy, *echoServer) {
	e := newEchoServer(t)
	p, err := Listen(Options{Target: e.listener.Addr().String()})
	require.NoError(t, err)
	t.Cleanup(p.Close)
	return p, e
}

type client struct {
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, p *Proxy) client {
	c, err := net.DialTimeout("tcp", p.Address(), testTimeout)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return client{Conn: c, reader: bufio.NewReader(c)}
}

// roundTrip sends a line and returns the response.
func (c client) roundTrip(line string, timeout time.Duration) (string, error) {
	_, _ = fmt.Fprintln(c, line) // The read fails if the write failed.
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	response, err := c.reader.ReadString('\n')
	return strings.TrimSpace(response), err
}

func requireEcho(t *testing.T, c client, line string) {
	t.Helper()
	response, err := c.roundTrip(line, testTimeout)
	require.NoError(t, err)
	require.Equal(t, line, response)
}

func requireSilent(t *testing.T, c client) {
	t.Helper()
	_, err := c.roundTrip("x", silenceTimeout)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, "the connection must stay open")
}

// Guards against a silent connection that returns an error to its client or affects
// other connections. Tests of liveness checks per connection need neither to happen.
func TestSilentConnection(t *testing.T) {
	cases := []struct {
		direction Direction
		wantLines int64
	}{{DirectionBoth, 0}, {DirectionUp, 0}, {DirectionDown, 1}}
	for _, c := range cases {
		t.Run("direction "+string(c.direction), func(t *testing.T) {
			p, e := newProxy(t)
			silenced, other := dial(t, p), dial(t, p)
			requireEcho(t, silenced, "a")
			requireEcho(t, other, "b")
			list := p.Connections().Connections
			require.Len(t, list, 2)
			ids := map[string]int64{list[0].Client: list[0].ID, list[1].Client: list[1].ID}
			before := e.lines.Load()
			require.NoError(t, p.Silence(Silence{IDs: []int64{ids[silenced.LocalAddr().String()]}, Direction: c.direction}))
			requireSilent(t, silenced)
			assert.Equal(t, c.wantLines, e.lines.Load()-before)
			requireEcho(t, other, "c")
			requireEcho(t, dial(t, p), "d")
			requireSilent(t, silenced)
		})
	}
}

// Guards against a silent connection that passes the client's close on to the target:
// the target must see neither data nor the end of the stream.
func TestSilentConnectionHidesClientClose(t *testing.T) {
	p, e := newProxy(t)
	c := dial(t, p)
	requireEcho(t, c, "a")
	require.NoError(t, p.Silence(Silence{All: true}))
	require.NoError(t, c.Close())
	time.Sleep(silenceTimeout)
	assert.Zero(t, e.endedConns.Load())
	require.NoError(t, p.Reset(Reset{}))
	assert.Eventually(t, func() bool { return e.endedConns.Load() == 1 }, testTimeout, time.Millisecond)
}

// Guards against a lost response whose request did not reach the target.
func TestLostResponses(t *testing.T) {
	p, e := newProxy(t)
	require.NoError(t, p.SetResponseLoss(ResponseLoss{Responses: 1}))
	_, err := dial(t, p).roundTrip("a", testTimeout)
	require.Error(t, err)
	assert.Equal(t, int64(1), e.lines.Load())

	require.NoError(t, p.SetResponseLoss(ResponseLoss{Responses: 1, Silent: true}))
	requireSilent(t, dial(t, p))
	assert.Equal(t, int64(2), e.lines.Load())
	requireEcho(t, dial(t, p), "b")
}

// Guards against connections that are still usable after a reset or a refusal.
func TestResetAndRefuse(t *testing.T) {
	p, _ := newProxy(t)
	open := dial(t, p)
	requireEcho(t, open, "a")
	require.NoError(t, p.SetConnectionPolicy(ConnectionPolicy{Mode: ModeRefuse}))
	// The reset arrives during the connect or on first use.
	if c, err := net.DialTimeout("tcp", p.Address(), testTimeout); err == nil {
		_, err = client{Conn: c, reader: bufio.NewReader(c)}.roundTrip("b", testTimeout)
		require.Error(t, err)
		require.NoError(t, c.Close())
	}
	requireEcho(t, open, "c")
	require.NoError(t, p.Reset(Reset{}))
	_, err := open.roundTrip("d", testTimeout)
	require.Error(t, err)
	require.NoError(t, p.SetConnectionPolicy(ConnectionPolicy{Mode: ModeSilent}))
	requireSilent(t, dial(t, p))
	require.NoError(t, p.SetConnectionPolicy(ConnectionPolicy{Mode: ModePass}))
	requireEcho(t, dial(t, p), "e")
}

// Guards against a delay without effect, and one that limits throughput because each
// chunk waits until the previous one was delivered.
func TestDelay(t *testing.T) {
	p, _ := newProxy(t)
	c := dial(t, p)
	requireEcho(t, c, "a")
	require.NoError(t, p.SetDelay(Delay{UpMS: 40, DownMS: 60}))
	begin := time.Now()
	for i := range 20 {
		_, err := fmt.Fprintln(c, i)
		require.NoError(t, err)
		time.Sleep(time.Millisecond)
	}
	_ = c.SetReadDeadline(time.Now().Add(testTimeout))
	for i := range 20 {
		line, err := c.reader.ReadString('\n')
		require.NoError(t, err)
		require.Equal(t, fmt.Sprintln(i), line)
	}
	assert.GreaterOrEqual(t, time.Since(begin), 100*time.Millisecond)
	assert.Less(t, time.Since(begin), 20*100*time.Millisecond)
}

// Guards against a proxy that alters HTTP traffic while no fault is injected: large
// bodies must arrive complete, and the control calls must respond.
func TestForwardsHTTP(t *testing.T) {
	body := strings.Repeat("0123456789", 100_000)
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, body) }))
	defer target.Close()
	p, err := Listen(Options{Target: target.Listener.Addr().String()})
	require.NoError(t, err)
	defer p.Close()
	response, err := http.Get("http://" + p.Address())
	require.NoError(t, err)
	got, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	assert.True(t, body == string(got))

	for path, want := range map[string]int{"/control/cut": http.StatusOK, "/control/silence": http.StatusBadRequest} {
		recorder := httptest.NewRecorder()
		p.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, path, nil))
		assert.Equal(t, want, recorder.Code, path)
	}
}
