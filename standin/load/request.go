package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"briarproxy/core/wire"
)

// Operations of the service in cell/objects.jsonc.
const (
	doorstep    = "doorstep"    // urgent, idempotent
	certificate = "certificate" // keyed, not idempotent
	survey      = "survey"      // durable
)

// kind is what became of a request, as its caller sees it.
type kind int

const (
	answered kind = iota // with a result, or accepted as a job
	refused              // not run
	unknown              // may have run
	failed               // ran and failed
	broken               // no answer, or one that tells no outcome
	kinds                // number of kinds
)

var kindNames = [kinds]string{"answered", "refused", "unknown", "failed", "broken"}

// answer is one request and its end.
type answer struct {
	operation string
	kind      kind
	problem   string // type of the problem, "" without one
	job       string // id of the accepted job
	sent      time.Time
	took      time.Duration
}

// wait is the time that a request did not run.
func (a answer) wait() time.Duration { return max(0, a.took-runTimes[a.operation]) }

// send sends one request and waits for its end. The key is also the body; a
// doorstep request needs no key.
func (c *Cell) send(d *daemon, operation, key string, timeout time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, d.url+"/v1/services/dispatch/requests", bytes.NewReader([]byte(key)))
	if err != nil {
		return answer{operation: operation, kind: broken}
	}
	request.Header.Set(wire.HeaderOperation, operation)
	if operation != doorstep {
		request.Header.Set(wire.HeaderIdempotencyKey, key)
	}
	if operation != survey {
		request.Header.Set(wire.HeaderDeadlineMS, strconv.FormatInt(timeout.Milliseconds(), 10))
	}
	return c.do(request, operation)
}

// submit submits a batch job.
func (c *Cell) submit(d *daemon, spec wire.JobSpec, timeout time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	body, err := json.Marshal(spec)
	if err != nil {
		return answer{operation: spec.Template, kind: broken}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, d.url+"/v1/jobs", bytes.NewReader(body))
	if err != nil {
		return answer{operation: spec.Template, kind: broken}
	}
	request.Header.Set(wire.HeaderDeadlineMS, strconv.FormatInt(timeout.Milliseconds(), 10))
	return c.do(request, spec.Template)
}

func (c *Cell) do(request *http.Request, operation string) answer {
	a := answer{operation: operation, kind: broken, sent: time.Now()}
	response, err := c.client.Do(request)
	if err != nil {
		a.took = time.Since(a.sent)
		return a
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	a.took = time.Since(a.sent)
	if err != nil {
		return a
	}
	a.judge(response.StatusCode, body)
	return a
}

// judge reads the outcome from an answer.
func (a *answer) judge(status int, body []byte) {
	if status == http.StatusOK {
		a.kind = answered
		return
	}
	var reply struct {
		wire.Problem
		ID string `json:"id"`
	}
	if json.Unmarshal(body, &reply) != nil {
		return
	}
	a.job = reply.ID
	a.problem = reply.Type
	switch {
	case status == http.StatusAccepted:
		a.kind = answered
	case reply.Outcome == wire.OutcomeNotRun:
		a.kind = refused
	case reply.Outcome == wire.OutcomeUnknown:
		a.kind = unknown
	case reply.Outcome == wire.OutcomeRan:
		a.kind = failed
	}
}
