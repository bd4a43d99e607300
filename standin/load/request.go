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

// Operations of the example service in cell/objects.jsonc, one for each service class.
const (
	doorstep    = "doorstep"    // urgent, idempotent
	certificate = "certificate" // not idempotent, sent with an idempotency key
	survey      = "survey"      // durable: accepted as a job that must run
)

// outcome is the result of a request, as its caller sees it.
type outcome int

const (
	outcomeAnswered outcome = iota // with a result, or accepted as a job
	outcomeRefused                 // did not run
	outcomeUnknown                 // may have run
	outcomeFailed                  // ran and failed
	outcomeBroken                  // no answer, or one that does not state an outcome
	outcomeCount                   // number of outcomes
)

var outcomeNames = [outcomeCount]string{"answered", "refused", "unknown", "failed", "broken"}

// requestResult is the outcome of one request.
type requestResult struct {
	operation   string
	outcome     outcome
	problemType string // "" if no problem was reported
	jobID       string // of the accepted job
	sentAt      time.Time
	elapsed     time.Duration
}

// waitTime is the time from sending to the answer, less the run time of the operation.
func (a requestResult) waitTime() time.Duration { return max(0, a.elapsed-runTimes[a.operation]) }

// sendRequest sends one request and waits for its outcome. The key is also the body.
// Doorstep requests are idempotent and carry no idempotency key.
func (c *Cell) sendRequest(d *daemon, operation, key string, timeout time.Duration) requestResult {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, d.callerURL+"/v1/services/dispatch/requests", bytes.NewReader([]byte(key)))
	if err != nil {
		return requestResult{operation: operation, outcome: outcomeBroken}
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

// submitJob submits a batch job. The result says whether it was accepted, not how it ended.
func (c *Cell) submitJob(d *daemon, spec wire.JobSpec, timeout time.Duration) requestResult {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	body, err := json.Marshal(spec)
	if err != nil {
		return requestResult{operation: spec.Template, outcome: outcomeBroken}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, d.callerURL+"/v1/jobs", bytes.NewReader(body))
	if err != nil {
		return requestResult{operation: spec.Template, outcome: outcomeBroken}
	}
	request.Header.Set(wire.HeaderDeadlineMS, strconv.FormatInt(timeout.Milliseconds(), 10))
	return c.do(request, spec.Template)
}

func (c *Cell) do(request *http.Request, operation string) requestResult {
	a := requestResult{operation: operation, outcome: outcomeBroken, sentAt: time.Now()}
	response, err := c.client.Do(request)
	if err != nil {
		a.elapsed = time.Since(a.sentAt)
		return a
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	a.elapsed = time.Since(a.sentAt)
	if err != nil {
		return a
	}
	a.setOutcome(response.StatusCode, body)
	return a
}

// setOutcome derives the outcome from an answer; one that states none leaves it unchanged.
func (a *requestResult) setOutcome(status int, body []byte) {
	if status == http.StatusOK {
		a.outcome = outcomeAnswered
		return
	}
	var reply struct {
		wire.Problem
		ID string `json:"id"`
	}
	if json.Unmarshal(body, &reply) != nil {
		return
	}
	a.jobID = reply.ID
	a.problemType = reply.Type
	switch {
	case status == http.StatusAccepted:
		a.outcome = outcomeAnswered
	case reply.Outcome == wire.OutcomeNotRun:
		a.outcome = outcomeRefused
	case reply.Outcome == wire.OutcomeUnknown:
		a.outcome = outcomeUnknown
	case reply.Outcome == wire.OutcomeRan:
		a.outcome = outcomeFailed
	}
}
