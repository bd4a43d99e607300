package cell

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"briarproxy/core/cluster"
	"briarproxy/daemon/event"
	"briarproxy/platform"
)

const (
	lostRequestDelay = 200 * time.Millisecond // after a request's last byte; a connection that ends without an answer later than that is a lost request
	stopGraceS       = 5
	stopCallers      = 30
	stopSeed         = 7

	signalHandlingTime = 100 * time.Millisecond // time for the daemon's goroutine to react to the signal
)

// delayedStore answers appends after a random delay, or never.
type delayedStore struct {
	fakeStore
	maxDelay   time.Duration
	unanswered bool
}

func (s *delayedStore) Append(ctx context.Context, partition int, records [][]byte, fence *cluster.Fence) (int64, error) {
	delay := rand.N(s.maxDelay + 1)
	if s.unanswered {
		delay = time.Hour
	}
	select {
	case <-time.After(delay):
		return s.fakeStore.Append(ctx, partition, records, fence)
	case <-ctx.Done():
		return 0, errNoAnswer
	}
}

func (s *delayedStore) Read(ctx context.Context, partition int, from int64, wait time.Duration) (cluster.LogPage, error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return s.fakeStore.Read(ctx, partition, from, wait)
}

// stopPlatform is a platform client with a delayedStore.
type stopPlatform struct {
	*platform.Client
	*delayedStore
}

func (p stopPlatform) Append(ctx context.Context, partition int, records [][]byte, fence *cluster.Fence) (int64, error) {
	return p.delayedStore.Append(ctx, partition, records, fence)
}

func (p stopPlatform) Read(ctx context.Context, partition int, from int64, wait time.Duration) (cluster.LogPage, error) {
	return p.delayedStore.Read(ctx, partition, from, wait)
}

func (p stopPlatform) End(ctx context.Context, partition int, from int64) (int64, error) {
	return p.delayedStore.End(ctx, partition, from)
}

func (p stopPlatform) Configuration(_ context.Context, _ int64, wait time.Duration) (*cluster.Configuration, int64, error) {
	time.Sleep(wait / 10)
	return &cluster.Configuration{Version: 3, Queues: []cluster.Queue{{Name: "q", Host: "h", PathPrefix: "/p/", MaxAttempts: 2}}}, 4, nil
}

func (p stopPlatform) Workers(context.Context) ([]cluster.Worker, []string, error) {
	return nil, nil, nil
}

func (p stopPlatform) SavedAfterKey(context.Context, int, string) (map[string][]byte, error) {
	return nil, nil
}

func (p stopPlatform) SavedFromOffset(context.Context, int, int64, int) ([]cluster.Entry, bool, error) {
	return nil, false, nil
}

func (p stopPlatform) Save(context.Context, int, []cluster.Entry, *cluster.Fence) (int64, error) {
	return 0, nil
}

// logLines collects log lines.
type logLines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logLines) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

// event returns the fields of the first line of an event, or nil.
func (l *logLines) event(number float64) map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	for line := range bytes.Lines(l.text.Bytes()) {
		var fields map[string]any
		if json.Unmarshal(line, &fields) == nil && fields["event"] == number {
			return fields
		}
	}
	return nil
}

// callAttempt is one request as its caller observed it.
type callAttempt struct {
	port            string // local address of the caller
	sentBytes       int    // sent on the connection, including this request
	sent            time.Time
	ended           time.Time
	status          int // 0 without a complete answer
	connectionClose bool
	retryAfter      string // value of the Retry-After header
}

// lost reports whether a request that was sent completely ended without an answer: its connection
// ended later than lostRequestDelay after its last byte.
func (a *callAttempt) lost() bool {
	return a.status == 0 && !a.sent.IsZero() && a.ended.Sub(a.sent) > lostRequestDelay
}

// tcpCaller sends requests on persistent connections.
type tcpCaller struct {
	address string
	rng     *rand.Rand
	split   bool // bodies are sent in two parts

	conn      net.Conn
	reader    *bufio.Reader
	sentBytes int
	attempts  []callAttempt
}

var nextJob atomic.Int64

// open connects unless a connection is already open, and reports whether one is.
func (c *tcpCaller) open() bool {
	if c.conn != nil {
		return true
	}
	conn, err := net.Dial("tcp", c.address)
	if err != nil {
		return false
	}
	c.conn, c.reader, c.sentBytes = conn, bufio.NewReader(conn), 0
	return true
}

func (c *tcpCaller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// request sends one request on the open connection and reads its answer.
func (c *tcpCaller) request() {
	head, body := "GET /p/ HTTP/1.1\r\nHost: h\r\n\r\n", ""
	if c.rng.IntN(4) > 0 {
		body = jobBody
		head = fmt.Sprintf("POST /p/%016x HTTP/1.1\r\nHost: h\r\nX-Deadline-Ms: 3000\r\nContent-Length: %d\r\n\r\n", nextJob.Add(1), len(body))
	}
	parts := []string{head + body}
	if c.split && body != "" {
		parts = []string{head + body[:5], body[5:]}
	}
	a := callAttempt{port: c.conn.LocalAddr().String()}
	for i, part := range parts {
		if i > 0 {
			time.Sleep(100 * time.Millisecond)
		}
		n, err := io.WriteString(c.conn, part)
		c.sentBytes += n
		if err != nil { // the connection was closed before the request was sent
			c.close()
			return
		}
	}
	a.sent, a.sentBytes = time.Now(), c.sentBytes
	response, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	a.ended = time.Now()
	if err == nil {
		a.status, a.connectionClose, a.retryAfter = response.StatusCode, response.Close, response.Header.Get("Retry-After")
	}
	c.attempts = append(c.attempts, a)
	if err != nil || a.connectionClose {
		c.close()
	}
}

// callUntil sends requests, reconnecting if needed, until it is stopped or can't connect.
func (c *tcpCaller) callUntil(stopped <-chan struct{}, gap time.Duration) {
	defer c.close()
	for c.open() {
		c.request()
		select {
		case <-stopped:
			return
		case <-time.After(time.Duration(c.rng.Int64N(int64(gap)))):
		}
	}
}

// stopUnderLoad runs a daemon, stops it under load and returns what the callers saw.
func stopUnderLoad(t *testing.T, store *delayedStore) (logged *logLines, signalledAt time.Time, stopTime time.Duration, attempts []callAttempt) {
	portProbe, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := portProbe.Addr().String()
	require.NoError(t, portProbe.Close())
	settings := &Settings{
		Name: "a", Listen: ListenSettings{Callers: address, Ready: "127.0.0.1:0", Peers: "127.0.0.1:0"}, Limits: LimitSettings{MemoryMiB: 512},
		Bounds: BoundSettings{MaxLeaseMS: 6000, StatusS: 120, FailoverMS: 3000, KeepS: 300, GraceS: stopGraceS},
	}
	logged = &logLines{}
	p := stopPlatform{platform.New(platform.Addresses{}, NewDialer(time.Second, time.Second)), store}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := Run(ctx, settings, p, event.NewLogger(logged, log.InfoLevel, "a")); err != nil {
			t.Log("the daemon ended with", err)
		}
	}()
	require.Eventually(t, func() bool { return logged.event(900) != nil }, 5*time.Second, 10*time.Millisecond)
	callers := make([]*tcpCaller, stopCallers)
	var calls sync.WaitGroup
	for i := range callers {
		c := &tcpCaller{address: address, rng: rand.New(rand.NewPCG(stopSeed, uint64(i))), split: i%5 == 0}
		callers[i] = c
		gap := []time.Duration{30 * time.Millisecond, 400 * time.Millisecond, 4 * time.Second}[i%3]
		calls.Go(func() { c.callUntil(ended, gap) })
	}
	time.Sleep(time.Second)
	signalledAt = time.Now()
	stop()
	<-ended
	stopTime = time.Since(signalledAt)
	calls.Wait()
	for _, c := range callers {
		attempts = append(attempts, c.attempts...)
	}
	return logged, signalledAt, stopTime, attempts
}

// Guards against requests that are accepted during a planned stop and cut off at its end (a request
// accepted 4.5 s after SIGTERM was closed without an answer 0.6 s later), with a healthy, a slow and an
// unresponsive store; and against refusals without a Retry-After header.
func TestPlannedStopAnswersAcceptedRequests(t *testing.T) {
	for name, store := range map[string]*delayedStore{
		"well": {maxDelay: 5 * time.Millisecond}, "late": {maxDelay: 2 * time.Second}, "silent": {unanswered: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			logged, signalledAt, stopTime, attempts := stopUnderLoad(t, store)
			lost, cutOff, keptOpen, statusCounts := 0, 0, 0, map[int]int{}
			for _, a := range attempts {
				switch {
				case a.lost():
					lost++
					t.Logf("lost: sent %v after the signal, ended %v later", a.sent.Sub(signalledAt), a.ended.Sub(a.sent))
				case a.status == 0:
					cutOff++
				case a.sent.Sub(signalledAt) > signalHandlingTime:
					statusCounts[a.status]++
					if !a.connectionClose {
						keptOpen++
					}
					if a.status == http.StatusServiceUnavailable {
						require.NotEmpty(t, a.retryAfter)
					}
				}
			}
			t.Logf("%d requests, answers to those sent after the signal %v, %d cut off within the slack, stopped after %v: %v", len(attempts), statusCounts, cutOff, stopTime, logged.event(902))
			require.Zero(t, lost, "requests without an answer")
			require.Zero(t, keptOpen, "answers that keep the connection open")
			require.Less(t, stopTime, stopGraceS*time.Second-stopReserve/2)
			require.NotEmpty(t, statusCounts)
		})
	}
}
