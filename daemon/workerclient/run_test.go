package workerclient

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/wire"
)

// fakeWorker answers with the given handlers; a nil handler never answers.
type fakeWorker struct {
	mu     sync.Mutex
	starts int
	stops  int
	start  func(n int, w http.ResponseWriter, r *http.Request)
	stop   func(n int) wire.StopReply
	report wire.Report // its incarnation and epoch are the worker's
}

func (f *fakeWorker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	if r.URL.Path == wire.PathStart {
		f.starts++
	}
	if r.URL.Path == wire.PathStop {
		f.stops++
	}
	starts, stops := f.starts, f.stops
	f.mu.Unlock()
	switch r.URL.Path {
	case wire.PathStart:
		f.start(starts, w, r)
	case wire.PathStop:
		_ = json.NewEncoder(w).Encode(f.query(stops, r))
	case wire.PathReport:
		_ = json.NewEncoder(w).Encode(f.report)
	}
}

func (f *fakeWorker) query(n int, r *http.Request) wire.StopReply {
	var msg wire.Stop
	_ = json.NewDecoder(r.Body).Decode(&msg)
	switch {
	case msg.Epoch < f.report.Epoch:
		return wire.StopReply{Refused: wire.RefusedStaleEpoch}
	case msg.Incarnation != f.report.Incarnation:
		return wire.StopReply{Refused: wire.RefusedWrongIncarnation}
	}
	return f.stop(n)
}

func silent(_ int, _ http.ResponseWriter, r *http.Request) {
	_, _ = http.MaxBytesReader(nil, r.Body, 1<<20).Read(make([]byte, 1<<10))
	<-r.Context().Done()
}

func answer(result wire.Result) func(int, http.ResponseWriter, *http.Request) {
	return func(_ int, w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(wire.StartReply{Result: &result})
	}
}

func result(id, body string) wire.Result {
	digest := sha256.Sum256([]byte(body))
	return wire.Result{ID: id, Generation: 1, State: wire.RunFinished, Length: int64(len(body)), Digest: hex.EncodeToString(digest[:]), Body: []byte(body)}
}

func serve(t *testing.T, f http.Handler) string {
	server := httptest.NewServer(f)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	return strings.TrimPrefix(server.URL, "http://")
}

func runOn(t *testing.T, address string, limit time.Duration) Outcome {
	client := New()
	t.Cleanup(client.Close)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return client.Run(ctx, address, wire.Start{ID: "r1", Generation: 1, Incarnation: 7, Kind: wire.KindRequest})
}

// Guards against wrong outcomes after each kind of failed or odd start answer.
func TestRunOutcomes(t *testing.T) {
	good := result("r1", "whole")
	short := result("r1", "whole")
	short.Body = short.Body[:2]
	foreign := result("r2", "other")
	finished := func(int) wire.StopReply { return wire.StopReply{State: wire.RunFinished, Result: &good} }
	unseen := func(int) wire.StopReply { return wire.StopReply{State: wire.RunNeverStarted} }
	refuse := func(reason wire.Refusal) func(int, http.ResponseWriter, *http.Request) {
		return func(_ int, w http.ResponseWriter, _ *http.Request) {
			_ = json.NewEncoder(w).Encode(wire.StartReply{Refused: reason})
		}
	}
	cut := func(_ int, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "500")
		_, _ = w.Write([]byte(`{"result":`))
	}
	cases := []struct {
		name        string
		start       func(int, http.ResponseWriter, *http.Request)
		stop        func(int) wire.StopReply
		incarnation int64
		epoch       int64
		want        OutcomeKind
	}{
		{"complete answer", answer(good), unseen, 7, 0, Done},
		{"truncated body is fetched again", answer(short), finished, 7, 0, Done},
		{"answer of another request is not passed on", answer(foreign), finished, 7, 0, Done},
		{"connection cut in the answer", cut, finished, 7, 0, Done},
		{"refused", refuse(wire.RefusedNoRoom), finished, 7, 0, NeverRan},
		{"duplicate is not never-ran", refuse(wire.RefusedDuplicate), finished, 7, 0, Done},
		{"stale generation is not never-ran", refuse(wire.RefusedStaleGeneration), finished, 7, 0, Done},
		{"unknown refusal is not never-ran", refuse("new-reason"), finished, 7, 0, Done},
		{"silent connection, unseen", silent, unseen, 7, 0, NeverRan},
		{"silent connection, worker replaced", silent, unseen, 8, 0, Unknown},
		{"silent connection, finished", silent, finished, 7, 0, Done},
		{"silent connection, fenced, unseen", silent, unseen, 7, 9, NeverRan},
		{"silent connection, fenced, finished", silent, finished, 7, 9, Done},
		{"result not kept", cut, func(int) wire.StopReply { return wire.StopReply{State: wire.RunFinished} }, 7, 0, Lost},
		{"still running at the deadline", silent, func(int) wire.StopReply { return wire.StopReply{State: wire.RunRunning} }, 7, 0, Unknown},
		{"late end seen by a later query", silent, func(n int) wire.StopReply {
			if n < 2 {
				return wire.StopReply{State: wire.RunRunning}
			}
			return finished(n)
		}, 7, 0, Done},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			worker := &fakeWorker{start: c.start, stop: c.stop, report: wire.Report{Incarnation: c.incarnation, Epoch: c.epoch}}
			outcome := runOn(t, serve(t, worker), 2500*time.Millisecond)
			require.Equal(t, c.want, outcome.Kind, outcome.Reason)
			require.Equal(t, c.incarnation == 8, outcome.Restarted)
			if c.want == Done {
				require.Equal(t, "whole", string(outcome.Result.Body))
			}
			require.Equal(t, 1, worker.starts, "a start is sent once")
		})
	}
}

// Guards against reporting unknown when nothing can have reached the worker.
func TestRunRefusedConnectionNeverRan(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	require.Equal(t, NeverRan, runOn(t, address, time.Second).Kind)
}

// Guards against silent starts that use up the connections of control calls, and
// against bytes that are not counted.
func TestSilentStartsDoNotBlockControlCalls(t *testing.T) {
	worker := &fakeWorker{start: silent, stop: func(int) wire.StopReply { return wire.StopReply{State: wire.RunRunning} }}
	address := serve(t, worker)
	var requests, control atomic.Int64
	client := New(WithTraffic(func(_ string, request bool, bytes int) {
		if request {
			requests.Add(int64(bytes))
		} else {
			control.Add(int64(bytes))
		}
	}))
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	for i := range 2 * maxStartConns {
		go client.Run(ctx, address, wire.Start{ID: fmt.Sprint("r", i), Generation: 1})
	}
	require.Eventually(t, func() bool {
		worker.mu.Lock()
		defer worker.mu.Unlock()
		return worker.starts == maxStartConns
	}, time.Second, time.Millisecond)
	began := time.Now()
	_, err := client.Report(ctx, address)
	require.NoError(t, err)
	require.Less(t, time.Since(began), CallTimeout)
	require.Positive(t, requests.Load())
	require.Positive(t, control.Load())
}

// Guards against a silent pooled connection that fails a control call although
// new connections work.
func TestControlCallMovesToNewConnection(t *testing.T) {
	var mu sync.Mutex
	calls := 0
	address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		calls++
		first := calls == 1
		mu.Unlock()
		if first {
			silent(0, w, r)
			return
		}
		_ = json.NewEncoder(w).Encode(wire.Report{VM: "w1"})
	}))
	client := New()
	defer client.Close()
	began := time.Now()
	report, err := client.Fence(context.Background(), address, wire.Fence{Epoch: 3})
	require.NoError(t, err)
	require.Equal(t, "w1", report.VM)
	require.Less(t, time.Since(began), 2*CallTimeout)
}
