package callerapi

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/wire"
	"briarproxy/daemon/bootclock"
	"briarproxy/daemon/event"
	"briarproxy/daemon/router"
	"briarproxy/daemon/view"
)

// fakeRouter counts calls and answers with what the test sets.
type fakeRouter struct {
	handled atomic.Int64
	entered chan struct{} // signalled when a request is in flight
	release chan struct{} // a request ends when this is closed; nil: at once
	answer  router.Answer
	problem *wire.Problem
	last    router.Request
}

func (f *fakeRouter) Handle(_ context.Context, request router.Request) (*router.Answer, *wire.Problem) {
	f.handled.Add(1)
	f.last = request
	if f.release != nil {
		f.entered <- struct{}{}
		<-f.release
	}
	if f.problem != nil {
		return nil, f.problem
	}
	return &f.answer, nil
}

func (f *fakeRouter) Job(_ context.Context, args *wire.JobArgs, _ time.Duration) (*wire.JobReply, *wire.Problem) {
	f.handled.Add(1)
	return &wire.JobReply{Status: &wire.JobStatus{ID: args.ID}, Results: &wire.JobResults{ID: args.ID}}, f.problem
}

func (f *fakeRouter) WaitJob(_ context.Context, id string, _ time.Duration) (*wire.JobStatus, *wire.Problem) {
	return &wire.JobStatus{ID: id}, f.problem
}

func newServer(f *fakeRouter) *Server {
	return New(Options{Router: f, View: view.NewHolder(), Log: event.Discard(), Now: bootclock.Now, MaxBody: 1 << 10})
}

func listen(t *testing.T, s *Server) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = s.Serve(listener) }()
	t.Cleanup(func() { _ = s.Close() })
	return listener.Addr().String()
}

// Guards against wrong status codes, missing headers and calls that reach the
// router although the request is malformed.
func TestRoutes(t *testing.T) {
	long := strings.Repeat("x", 2000)
	cases := []struct {
		method, path, body string
		header             [2]string
		status             int
		routed             int64
	}{
		{"POST", "/v1/services/s/requests", "b", [2]string{wire.HeaderDeadlineMS, "500"}, 200, 1},
		{"POST", "/v1/services/s/requests", "b", [2]string{wire.HeaderDeadlineMS, "-1"}, 400, 0},
		{"POST", "/v1/services/s/requests", "b", [2]string{wire.HeaderIdempotencyKey, long}, 400, 0},
		{"POST", "/v1/services/s/requests", "b", [2]string{wire.HeaderTeam, "a\tb"}, 400, 0},
		{"POST", "/v1/services/s/requests", long, [2]string{}, 413, 0},
		{"GET", "/v1/services/s/requests", "", [2]string{}, 404, 0},
		{"POST", "/v1/jobs", `{"id":"j1","template":"t"}`, [2]string{}, 202, 1},
		{"POST", "/v1/jobs", `{"id":"dr-1","template":"t"}`, [2]string{}, 400, 0},
		{"POST", "/v1/jobs", `{"id":"j1","template":"t","x":1}`, [2]string{}, 400, 0},
		{"POST", "/v1/jobs", `{"id":"j1","template":"t"} {}`, [2]string{}, 400, 0},
		{"GET", "/v1/jobs/j1", "", [2]string{}, 200, 1},
		{"GET", "/v1/jobs/j1?wait_ms=10", "", [2]string{}, 200, 0},
		{"GET", "/v1/jobs/j1?wait_ms=x", "", [2]string{}, 400, 0},
		{"DELETE", "/v1/jobs/j1", "", [2]string{}, 200, 1},
		{"GET", "/v1/jobs/j1/results", "", [2]string{}, 200, 1},
		{"GET", "/v1/jobs/a%20b", "", [2]string{}, 400, 0},
		{"GET", "/nowhere", "", [2]string{}, 404, 0},
	}
	for _, c := range cases {
		f := &fakeRouter{answer: router.Answer{Result: &wire.Result{Body: []byte("ok")}, ConfigVersion: 7}}
		r := httptest.NewRequest(c.method, c.path, strings.NewReader(c.body))
		if c.header[0] != "" {
			r.Header.Set(c.header[0], c.header[1])
		}
		w := httptest.NewRecorder()
		newServer(f).Handler().ServeHTTP(w, r)
		require.Equal(t, c.status, w.Code, "%s %s %s", c.method, c.path, w.Body)
		require.Equal(t, c.routed, f.handled.Load(), "%s %s", c.method, c.path)
		checkAnswer(t, w)
	}
}

// checkAnswer checks what holds for every answer.
func checkAnswer(t *testing.T, w *httptest.ResponseRecorder) {
	require.Len(t, w.Header().Get(wire.HeaderRequestID), 32)
	require.Len(t, w.Header().Get(wire.HeaderResultDigest), 64)
	require.Equal(t, fmt.Sprint(w.Body.Len()), w.Header().Get("Content-Length"))
	if w.Code < 400 {
		return
	}
	var p wire.Problem
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &p))
	require.Equal(t, "application/problem+json", w.Header().Get("Content-Type"))
	require.Equal(t, w.Code, p.Status)
	require.NotEmpty(t, p.Outcome)
	require.NotEmpty(t, p.Remedy)
}

// Guards against running a request whose body did not arrive whole.
func TestTruncatedBodyIsNotRun(t *testing.T) {
	f := &fakeRouter{}
	conn, err := net.Dial("tcp", listen(t, newServer(f)))
	require.NoError(t, err)
	_, err = io.WriteString(conn, "POST /v1/services/s/requests HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\npart")
	require.NoError(t, err)
	require.NoError(t, conn.(*net.TCPConn).CloseWrite())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	var p wire.Problem
	require.NoError(t, json.NewDecoder(response.Body).Decode(&p))
	require.Equal(t, 400, response.StatusCode)
	require.Equal(t, wire.OutcomeNotRun, p.Outcome)
	require.Zero(t, f.handled.Load())
}

// Guards against a planned stop that cuts off a request in flight (invariant 7) or
// keeps connections alive.
func TestDrainFinishesRequestsInFlight(t *testing.T) {
	f := &fakeRouter{entered: make(chan struct{}, 1), release: make(chan struct{}), answer: router.Answer{Result: &wire.Result{Body: []byte("whole")}}}
	s := newServer(f)
	url := "http://" + listen(t, s) + "/v1/services/s/requests"
	got := make(chan string, 1)
	go func() {
		response, err := http.Post(url, "", strings.NewReader("b"))
		if err != nil {
			got <- err.Error()
			return
		}
		body, _ := io.ReadAll(response.Body)
		got <- string(body)
	}()
	<-f.entered
	drained := make(chan error, 1)
	go func() {
		s.Leave()
		time.Sleep(300 * time.Millisecond)
		drained <- s.Finish(context.Background())
	}()
	require.Eventually(t, s.draining.Load, time.Second, time.Millisecond)
	response, err := http.Get("http://" + strings.Split(url, "/")[2] + "/v1/jobs/j")
	require.NoError(t, err)
	require.Equal(t, 200, response.StatusCode, "still served in the drain delay")
	require.True(t, response.Close)
	close(f.release)
	require.Equal(t, "whole", <-got)
	require.NoError(t, <-drained)
}

// Guards against a caller that sends headers or body byte by byte and holds its
// connection.
func TestSlowBodyIsCut(t *testing.T) {
	f := &fakeRouter{}
	s := New(Options{Router: f, View: view.NewHolder(), Log: event.Discard(), Now: bootclock.Now, BodyTimeout: 100 * time.Millisecond})
	conn, err := net.Dial("tcp", listen(t, s))
	require.NoError(t, err)
	_, err = io.WriteString(conn, "POST /v1/services/s/requests HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\npart")
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(2*time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.Equal(t, 400, response.StatusCode)
	require.Zero(t, f.handled.Load())
}

// Guards against panics, answers without an outcome and malformed requests that
// reach the router, for any headers and body.
func FuzzRequest(f *testing.F) {
	f.Add("POST", "500", "class", "key", []byte("body"))
	f.Fuzz(func(t *testing.T, method, deadline, class, key string, body []byte) {
		fake := &fakeRouter{answer: router.Answer{Result: &wire.Result{}}}
		handler := newServer(fake).Handler()
		for _, path := range []string{"/v1/services/s/requests", "/v1/jobs"} {
			r := httptest.NewRequest("POST", path, strings.NewReader(string(body)))
			if method != "" && path == "/v1/jobs" {
				r.Method = method
			}
			r.Header[http.CanonicalHeaderKey(wire.HeaderDeadlineMS)] = []string{deadline}
			r.Header[http.CanonicalHeaderKey(wire.HeaderClass)] = []string{class}
			r.Header[http.CanonicalHeaderKey(wire.HeaderIdempotencyKey)] = []string{key}
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, r)
			checkAnswer(t, w)
		}
		if fake.handled.Load() > 0 && fake.last.ID != "" {
			require.True(t, printable(fake.last.IdempotencyKey, maxKeyLength))
			require.Positive(t, fake.last.Wait)
		}
	})
}
