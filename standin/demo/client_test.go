package demo

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"briarproxy/core/wire"
	"briarproxy/standin/worker"
)

// answers serves one scripted answer after the other and notes the keys it saw.
type answers struct {
	mu     sync.Mutex
	script []func(w http.ResponseWriter, r *http.Request)
	keys   []string
}

func (a *answers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.next(r.Header.Get(wire.HeaderIdempotencyKey))(w, r)
}

func (a *answers) next(key string) func(http.ResponseWriter, *http.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.keys = append(a.keys, key)
	next := a.script[0]
	a.script = a.script[1:]
	return next
}

// seen returns the keys seen and the number of answers not given.
func (a *answers) seen() ([]string, int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.keys, len(a.script)
}

func write(status int, header http.Header, body any) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		data, _ := json.Marshal(body)
		for name, values := range header {
			w.Header()[name] = values
		}
		w.Header().Set(wire.HeaderResultDigest, digest(data))
		w.Header().Set(wire.HeaderRequestID, "r")
		w.WriteHeader(status)
		_, _ = w.Write(data)
	}
}

func problem(outcome wire.Outcome, retryAfter string) func(http.ResponseWriter, *http.Request) {
	header := http.Header{}
	if retryAfter != "" {
		header.Set("Retry-After", retryAfter)
	}
	return write(http.StatusServiceUnavailable, header, wire.Problem{Outcome: outcome})
}

func cut(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// Guards against a caller that repeats a request under another key, ignores
// Retry-After, repeats what it must not, or takes a foreign answer for its own.
func TestClientRepeatsOnlyWhatItMay(t *testing.T) {
	keyed := Certificate("t", 1)
	keyed.Deadline = 5 * time.Second
	keyless := keyed
	keyless.Key = ""
	own := write(http.StatusOK, nil, worker.RequestResult{ID: "r", BodySHA256: digest(keyed.Body)})
	foreign := write(http.StatusOK, nil, worker.RequestResult{ID: "r", BodySHA256: "x"})
	garbled := func(w http.ResponseWriter, r *http.Request) { _, _ = w.Write([]byte("{}")) }
	cases := []struct {
		name       string
		request    Request
		script     []func(http.ResponseWriter, *http.Request)
		told       []Told
		least      time.Duration
		violations int
	}{
		{"answered", keyed, []func(http.ResponseWriter, *http.Request){own}, []Told{ToldAnswered}, 0, 0},
		{"refused, then answered", keyed, []func(http.ResponseWriter, *http.Request){problem(wire.OutcomeNotRun, "1"), own}, []Told{ToldNotRun, ToldAnswered}, time.Second, 0},
		{"refused for good", keyed, []func(http.ResponseWriter, *http.Request){problem(wire.OutcomeNotRun, "")}, []Told{ToldNotRun}, 0, 0},
		{"refused beyond the deadline", keyed, []func(http.ResponseWriter, *http.Request){problem(wire.OutcomeNotRun, "60")}, []Told{ToldNotRun}, 0, 0},
		{"broken with a key", keyed, []func(http.ResponseWriter, *http.Request){cut, own}, []Told{ToldBroken, ToldAnswered}, brokenPause, 0},
		{"broken without a key", keyless, []func(http.ResponseWriter, *http.Request){cut}, []Told{ToldBroken}, 0, 0},
		{"unknown with a key", keyed, []func(http.ResponseWriter, *http.Request){problem(wire.OutcomeUnknown, "1"), own}, []Told{ToldUnknown, ToldAnswered}, time.Second, 0},
		{"unknown for good", keyed, []func(http.ResponseWriter, *http.Request){problem(wire.OutcomeUnknown, "")}, []Told{ToldUnknown}, 0, 0},
		{"unknown without a key", keyless, []func(http.ResponseWriter, *http.Request){problem(wire.OutcomeUnknown, "1")}, []Told{ToldUnknown}, 0, 0},
		{"ran", keyed, []func(http.ResponseWriter, *http.Request){problem(wire.OutcomeRan, "1")}, []Told{ToldRan}, 0, 0},
		{"foreign answer", keyed, []func(http.ResponseWriter, *http.Request){foreign}, []Told{ToldAnswered}, 0, 1},
		{"answer without digest", keyed, []func(http.ResponseWriter, *http.Request){garbled, own}, []Told{ToldBroken, ToldAnswered}, 0, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			handler := &answers{script: c.script}
			server := httptest.NewServer(handler)
			client := NewClient([]string{server.URL}, 1)
			record := client.Do(context.Background(), c.request)
			client.Close()
			server.Close() // ends the handlers, whose notes are read below
			keys, left := handler.seen()
			var told []Told
			for i, a := range record.Attempts {
				told = append(told, a.Told)
				assert.Equal(t, c.request.Key, keys[i])
			}
			assert.Equal(t, c.told, told)
			assert.Equal(t, c.told[len(c.told)-1], record.Final)
			assert.GreaterOrEqual(t, record.Answered.Sub(record.Sent), c.least)
			assert.Len(t, record.Violations, c.violations)
			assert.Zero(t, left)
		})
	}
}
