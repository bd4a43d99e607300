package cell

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/rpc"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"briarproxy/core/intake"
	"briarproxy/daemon/bootclock"
	"briarproxy/daemon/event"
)

// startDoorServer serves a callers' API behind a door and returns its address and the door.
func startDoorServer(t *testing.T, limits intake.Limits) (string, *door) {
	api := newTestCallerAPI(t, &fakeStore{}, 0)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	d := newDoor("callers", limits, &api.engine.metrics)
	server := newCallerServer(api, d.listen(listener), time.Minute)
	go serve(server.server, server.trackingListener())
	t.Cleanup(func() { _ = server.server.Close() })
	keepReading(t, api.engine)
	return listener.Addr().String(), d
}

// keepReading makes an engine that reads no log regard the store as one that answers.
func keepReading(t *testing.T, e *engine) {
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
				now := int64(bootclock.Now())
				e.store.answeredAt.Store(now)
				e.store.confirmedAt.Store(now)
			}
		}
	}()
}

// send opens a connection, writes the header of a submission and then the pieces of its body.
func send(t *testing.T, address, bodyField string, pause time.Duration, pieces ...string) *bufio.Reader {
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "POST /p/1234 HTTP/1.1\r\nHost: h\r\nX-Deadline-Ms: 3000\r\n%s\r\n\r\n", bodyField)
	require.NoError(t, err)
	for _, piece := range pieces {
		time.Sleep(pause)
		_, err = io.WriteString(conn, piece)
		require.NoError(t, err)
	}
	return bufio.NewReader(conn)
}

func statusOf(t *testing.T, answer *bufio.Reader) *http.Response {
	resp, err := http.ReadResponse(answer, nil)
	require.NoError(t, err)
	return resp
}

// Guards against limits that refuse the largest legal body on a slow link in calm, in one piece or in chunks.
func TestALargeBodyOnASlowLinkIsServedInCalm(t *testing.T) {
	const pieces = 16
	piece := strings.Repeat(" ", maxBodyBytes/pieces)
	whole := make([]string, pieces)
	chunks := make([]string, pieces)
	for i := range whole {
		whole[i] = piece
	}
	whole[pieces-1] = jobBody + piece[len(jobBody):]
	for i := range whole {
		chunks[i] = fmt.Sprintf("%x\r\n%s\r\n", len(whole[i]), whole[i])
	}
	const pause = 100 * time.Millisecond // 1.3 Mbit/s
	for field, parts := range map[string][]string{fmt.Sprintf("Content-Length: %d", maxBodyBytes): whole, "Transfer-Encoding: chunked": append(chunks, "0\r\n\r\n")} {
		address, d := startDoorServer(t, intake.Limits{Connections: 16, Bytes: 1 << 20})
		require.Equal(t, http.StatusOK, statusOf(t, send(t, address, field, pause, parts...)).StatusCode, field)
		require.Eventually(t, func() bool { return d.report().bytes == 0 }, 5*time.Second, time.Millisecond, "answered requests keep no bytes")
	}
}

// Guards against a refusal that keeps a caller waiting or doesn't say when to come back, and against
// one of a request that was executed.
func TestAnUnfinishedBodyIsRefused(t *testing.T) {
	address, d := startDoorServer(t, intake.Limits{Connections: 16, Bytes: 1 << 20})
	for _, field := range []string{"Content-Length: 1000", "Transfer-Encoding: chunked"} {
		resp := statusOf(t, send(t, address, field, 0, "7\r\n{\"Spec\""))
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		require.Equal(t, "1", resp.Header.Get("Retry-After"))
		require.True(t, resp.Close)
	}
	require.Eventually(t, func() bool { return d.report().connections == 0 }, 5*time.Second, time.Millisecond)
}

// Guards against a whole request that waits behind unfinished ones until its time is over.
func TestUnfinishedBodiesGiveWay(t *testing.T) {
	address, _ := startDoorServer(t, intake.Limits{Connections: 16, Bytes: 1 << 20})
	stalled := send(t, address, fmt.Sprintf("Content-Length: %d", maxBodyBytes), 0, "{")
	time.Sleep(intake.GracePeriod)
	body := jobBody + strings.Repeat(" ", maxBodyBytes-len(jobBody))
	require.Equal(t, http.StatusOK, statusOf(t, send(t, address, fmt.Sprintf("Content-Length: %d", maxBodyBytes), 0, body)).StatusCode)
	require.Equal(t, http.StatusServiceUnavailable, statusOf(t, stalled).StatusCode)
}

// failingListener fails to accept a few times.
type failingListener struct {
	net.Listener
	failures atomic.Int32
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a port that is dead for good after the process was out of descriptors.
func TestAcceptErrorsDoNotEndAPort(t *testing.T) {
	for _, behindDoor := range []bool{false, true} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		failing := &failingListener{Listener: listener}
		failing.failures.Store(3)
		served := net.Listener(failing)
		if behindDoor {
			m := newMetrics()
			served = newDoor("peers", intake.Limits{Connections: 16, Bytes: 8 << 20}, &m).listen(failing)
		}
		require.NoError(t, servePeers(served, &peerService{yield: func(int64) {}}))
		client, err := rpc.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		var reply bool
		require.NoError(t, client.Call(yieldMethod, &YieldArgs{1}, &reply))
		require.NoError(t, client.Close())
		require.NoError(t, listener.Close())
	}
}

// Guards against messages on the port for other daemons that take more memory than their door has, and
// against ones within the limit that are cut off.
func TestMessagesOfPeersAreBounded(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	m := newMetrics()
	d := newDoor("peers", intake.Limits{Connections: 16, Bytes: 2 * intake.LargestMessage}, &m)
	var received atomic.Int64
	require.NoError(t, servePeers(d.listen(listener), &peerService{submit: func(records [][]byte, _ time.Duration) []error {
		received.Store(int64(len(records[0])))
		return make([]error, len(records))
	}}))
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	_, err = conn.Write([]byte{0xFC, 0x00, 0x7F, 0xFF, 0xFF}) // a length of 8 MiB
	require.NoError(t, err)
	_, err = conn.Read(make([]byte, 1))
	require.Error(t, err, "the connection must be closed")
	for _, size := range []int{10, 100 << 10, intake.LargestMessage - 1000} {
		client, err := rpc.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		var reply SubmitReply
		require.NoError(t, client.Call(submitMethod, &SubmitArgs{Records: [][]byte{make([]byte, size)}, Within: time.Second}, &reply))
		require.EqualValues(t, size, received.Load())
		require.NoError(t, client.Close())
	}
	require.Eventually(t, func() bool { r := d.report(); return r.connections == 0 && r.bytes == 0 }, 5*time.Second, time.Millisecond)
}

// Guards against a crowd that fills the log, and against refusals that operators can't see.
func TestACrowdIsReportedInOneLine(t *testing.T) {
	var out bytes.Buffer
	api := newTestCallerAPI(t, &fakeStore{}, 0)
	e := &engine{metrics: api.engine.metrics, log: event.NewLogger(&out, log.InfoLevel, "a")}
	e.doors = []*door{newDoor("callers", intake.Limits{Connections: 1, Bytes: 1 << 20}, &e.metrics), newDoor("ready", intake.Limits{Connections: 1, Bytes: 1 << 20}, &e.metrics)}
	for _, d := range e.doors {
		for range 500 {
			client, server := net.Pipe()
			if d.open(server) == nil {
				require.NoError(t, server.Close())
			}
			require.NoError(t, client.Close())
		}
	}
	e.publishDoors()
	e.publishDoors()
	require.Equal(t, 1, strings.Count(out.String(), `"event":948`), out.String())
	require.Contains(t, out.String(), `"refused":998`)
}

// nullConn is a connection that moves no bytes. Its deadlines are real.
type nullConn struct{ net.Conn }

func (nullConn) Read(p []byte) (int, error)  { return len(p), nil }
func (nullConn) Write(p []byte) (int, error) { return len(p), nil }

// BenchmarkDoor measures what the door costs an ordinary request.
func BenchmarkDoor(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	client, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(b, err)
	m := newMetrics()
	conn := newDoor("callers", intake.Limits{Connections: 1000, Bytes: 16 << 20}, &m).open(nullConn{client})
	b.Cleanup(func() { _, _ = conn.Close(), listener.Close() })
	data := make([]byte, 500)
	for b.Loop() {
		_, _ = conn.Read(data)
		conn.readBy(maxRequestTime)
		conn.readBy(time.Second)
		_ = conn.reserve(context.Background(), 1500)
		_, _ = conn.Read(data)
		conn.enter(intake.Serving)
		_, _ = conn.Write(data)
		conn.enter(intake.Idle)
	}
}

// Guards against a whole request whose context ends because its connection, idle until then, was to give way
// as the request arrived.
func TestConnectionThatGivesWayFinishesAWholeRequest(t *testing.T) {
	m := newMetrics()
	client, server := net.Pipe()
	defer client.Close() //nolint:errcheck // of a test
	c := newDoor("callers", intake.Limits{Connections: 16, Bytes: 1 << 20}, &m).open(server)
	c.enter(intake.Serving)
	c.leave()
	read := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 1))
		read <- err
	}()
	select {
	case err := <-read:
		require.Fail(t, "the server would cancel the request", "%v", err)
	case <-time.After(50 * time.Millisecond):
	}
	c.enter(intake.Idle)
	require.ErrorIs(t, <-read, os.ErrDeadlineExceeded)
}
