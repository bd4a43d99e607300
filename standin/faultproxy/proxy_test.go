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
	testTimeout = 5 * time.Second
	quiet       = 100 * time.Millisecond // without data for so long counts as silent
)

// echo answers each line and counts the lines that arrived.
type echo struct {
	listener net.Listener
	lines    atomic.Int64
	ends     atomic.Int64 // connections that ended
}

func newEcho(t *testing.T) *echo {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e := &echo{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for c, err := listener.Accept(); err == nil; c, err = listener.Accept() {
			go e.serve(c)
		}
	}()
	return e
}

func (e *echo) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	defer e.ends.Add(1)
	scanner := bufio.NewScanner(c)
	for scanner.Scan() {
		e.lines.Add(1)
		_, _ = fmt.Fprintln(c, scanner.Text())
	}
}

func newProxy(t *testing.T) (*Proxy, *echo) {
	e := newEcho(t)
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

// ask sends a line and returns the answer.
func (c client) ask(line string, timeout time.Duration) (string, error) {
	_, _ = fmt.Fprintln(c, line) // a failed write makes the read fail
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	answer, err := c.reader.ReadString('\n')
	return strings.TrimSpace(answer), err
}

func requireAnswer(t *testing.T, c client, line string) {
	t.Helper()
	answer, err := c.ask(line, testTimeout)
	require.NoError(t, err)
	require.Equal(t, line, answer)
}

func requireSilent(t *testing.T, c client) {
	t.Helper()
	_, err := c.ask("x", quiet)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, "the connection must stay open")
}

// Guards against a silent connection that clients can notice by an error, and one
// that harms others: liveness per connection could then not be tested.
func TestSilentConnection(t *testing.T) {
	cases := []struct {
		direction Direction
		arrives   int64
	}{{DirectionBoth, 0}, {DirectionUp, 0}, {DirectionDown, 1}}
	for _, c := range cases {
		t.Run("direction "+string(c.direction), func(t *testing.T) {
			p, e := newProxy(t)
			chosen, other := dial(t, p), dial(t, p)
			requireAnswer(t, chosen, "a")
			requireAnswer(t, other, "b")
			list := p.Connections().Connections
			require.Len(t, list, 2)
			ids := map[string]int64{list[0].Client: list[0].ID, list[1].Client: list[1].ID}
			before := e.lines.Load()
			require.NoError(t, p.Silence(Silence{IDs: []int64{ids[chosen.LocalAddr().String()]}, Direction: c.direction}))
			requireSilent(t, chosen)
			assert.Equal(t, c.arrives, e.lines.Load()-before)
			requireAnswer(t, other, "c")
			requireAnswer(t, dial(t, p), "d")
			requireSilent(t, chosen)
		})
	}
}

// Guards against a target that learns through a silent connection that its client
// has gone: it must see neither data nor the end.
func TestSilentConnectionHidesTheEnd(t *testing.T) {
	p, e := newProxy(t)
	c := dial(t, p)
	requireAnswer(t, c, "a")
	require.NoError(t, p.Silence(Silence{All: true}))
	require.NoError(t, c.Close())
	time.Sleep(quiet)
	assert.Zero(t, e.ends.Load())
	require.NoError(t, p.Cut(Cut{}))
	assert.Eventually(t, func() bool { return e.ends.Load() == 1 }, testTimeout, time.Millisecond)
}

// Guards against a lost answer whose request did not reach the target.
func TestLostAnswers(t *testing.T) {
	p, e := newProxy(t)
	require.NoError(t, p.SetLose(Lose{Answers: 1}))
	_, err := dial(t, p).ask("a", testTimeout)
	require.Error(t, err)
	assert.Equal(t, int64(1), e.lines.Load())

	require.NoError(t, p.SetLose(Lose{Answers: 1, Silent: true}))
	requireSilent(t, dial(t, p))
	assert.Equal(t, int64(2), e.lines.Load())
	requireAnswer(t, dial(t, p), "b")
}

// Guards against cuts and refusals that leave connections usable.
func TestCutAndRefuse(t *testing.T) {
	p, _ := newProxy(t)
	open := dial(t, p)
	requireAnswer(t, open, "a")
	require.NoError(t, p.SetNew(New{Mode: ModeRefuse}))
	// The reset comes during the connect or with the first use.
	if c, err := net.DialTimeout("tcp", p.Address(), testTimeout); err == nil {
		_, err = client{Conn: c, reader: bufio.NewReader(c)}.ask("b", testTimeout)
		require.Error(t, err)
		require.NoError(t, c.Close())
	}
	requireAnswer(t, open, "c")
	require.NoError(t, p.Cut(Cut{}))
	_, err := open.ask("d", testTimeout)
	require.Error(t, err)
	require.NoError(t, p.SetNew(New{Mode: ModeSilent}))
	requireSilent(t, dial(t, p))
	require.NoError(t, p.SetNew(New{Mode: ModePass}))
	requireAnswer(t, dial(t, p), "e")
}

// Guards against delay that does not apply, or that limits throughput by holding
// each chunk until the former one has arrived.
func TestDelay(t *testing.T) {
	p, _ := newProxy(t)
	c := dial(t, p)
	requireAnswer(t, c, "a")
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

// Guards against HTTP exchanges that the proxy changes when no fault is on: large
// bodies must pass whole, and the control calls must answer.
func TestPassesHTTP(t *testing.T) {
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
		answer := httptest.NewRecorder()
		p.ServeHTTP(answer, httptest.NewRequest(http.MethodPost, path, nil))
		assert.Equal(t, want, answer.Code, path)
	}
}
