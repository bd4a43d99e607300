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

// scriptedHandler serves the answers of its script in order and records the idempotency
// keys of the requests.
type scriptedHandler struct {
	mu     sync.Mutex
	script []func(w http.ResponseWriter, r *http.Request)
	keys   []string
}

func (a *scriptedHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.next(r.Header.Get(wire.HeaderIdempotencyKey))(w, r)
}

func (a *scriptedHandler) next(key string) func(http.ResponseWriter, *http.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.keys = append(a.keys, key)
	next := a.script[0]
	a.script = a.script[1:]
	return next
}

// received returns the received keys and the number of answers not yet served.
func (a *scriptedHandler) received() ([]string, int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.keys, len(a.script)
}

func replyWith(status int, header http.Header, body any) func(http.ResponseWriter, *http.Request) {
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

func replyProblem(outcome wire.Outcome, retryAfter string) func(http.ResponseWriter, *http.Request) {
	header := http.Header{}
	if retryAfter != "" {
		header.Set("Retry-After", retryAfter)
	}
	return replyWith(http.StatusServiceUnavailable, header, wire.Problem{Outcome: outcome})
}

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// Guards against a client that retries a request with another key, ignores Retry-After,
// retries what it must not, or accepts the answer to another request.
func TestClientRetriesOnlyWhenAllowed(t *testing.T) {
	keyed := Certificate("t", 1)
	keyed.Deadline = 5 * time.Second
	keyless := keyed
	keyless.Key = ""
	own := replyWith(http.StatusOK, nil, worker.RequestResult{ID: "r", BodySHA256: digest(keyed.Body)})
	otherRequest := replyWith(http.StatusOK, nil, worker.RequestResult{ID: "r", BodySHA256: "x"})
	withoutDigest := func(w http.ResponseWriter, r *http.Request) { _, _ = w.Write([]byte("{}")) }
	cases := []struct {
		name       string
		request    Request
		script     []func(http.ResponseWriter, *http.Request)
		outcomes   []AttemptOutcome
		minTime    time.Duration
		violations int
	}{
		{"answered", keyed, []func(http.ResponseWriter, *http.Request){own}, []AttemptOutcome{OutcomeAnswered}, 0, 0},
		{"refused, then answered", keyed, []func(http.ResponseWriter, *http.Request){replyProblem(wire.OutcomeNotRun, "1"), own}, []AttemptOutcome{OutcomeNotRun, OutcomeAnswered}, time.Second, 0},
		{"refused without Retry-After", keyed, []func(http.ResponseWriter, *http.Request){replyProblem(wire.OutcomeNotRun, "")}, []AttemptOutcome{OutcomeNotRun}, 0, 0},
		{"refused beyond the deadline", keyed, []func(http.ResponseWriter, *http.Request){replyProblem(wire.OutcomeNotRun, "60")}, []AttemptOutcome{OutcomeNotRun}, 0, 0},
		{"connection broken, with a key", keyed, []func(http.ResponseWriter, *http.Request){abortConnection, own}, []AttemptOutcome{OutcomeBroken, OutcomeAnswered}, brokenRetryDelay, 0},
		{"connection broken, without a key", keyless, []func(http.ResponseWriter, *http.Request){abortConnection}, []AttemptOutcome{OutcomeBroken}, 0, 0},
		{"unknown with a key", keyed, []func(http.ResponseWriter, *http.Request){replyProblem(wire.OutcomeUnknown, "1"), own}, []AttemptOutcome{OutcomeUnknown, OutcomeAnswered}, time.Second, 0},
		{"unknown without Retry-After", keyed, []func(http.ResponseWriter, *http.Request){replyProblem(wire.OutcomeUnknown, "")}, []AttemptOutcome{OutcomeUnknown}, 0, 0},
		{"unknown without a key", keyless, []func(http.ResponseWriter, *http.Request){replyProblem(wire.OutcomeUnknown, "1")}, []AttemptOutcome{OutcomeUnknown}, 0, 0},
		{"ran", keyed, []func(http.ResponseWriter, *http.Request){replyProblem(wire.OutcomeRan, "1")}, []AttemptOutcome{OutcomeRan}, 0, 0},
		{"answer to another request", keyed, []func(http.ResponseWriter, *http.Request){otherRequest}, []AttemptOutcome{OutcomeAnswered}, 0, 1},
		{"answer without digest", keyed, []func(http.ResponseWriter, *http.Request){withoutDigest, own}, []AttemptOutcome{OutcomeBroken, OutcomeAnswered}, 0, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			handler := &scriptedHandler{script: c.script}
			server := httptest.NewServer(handler)
			client := NewClient([]string{server.URL}, 1)
			record := client.Do(context.Background(), c.request)
			client.Close()
			server.Close() // waits for the handlers, whose recorded keys are read below
			keys, left := handler.received()
			var outcomes []AttemptOutcome
			for i, a := range record.Attempts {
				outcomes = append(outcomes, a.Outcome)
				assert.Equal(t, c.request.Key, keys[i])
			}
			assert.Equal(t, c.outcomes, outcomes)
			assert.Equal(t, c.outcomes[len(c.outcomes)-1], record.FinalOutcome)
			assert.GreaterOrEqual(t, record.AnsweredAt.Sub(record.SentAt), c.minTime)
			assert.Len(t, record.Violations, c.violations)
			assert.Zero(t, left)
		})
	}
}
