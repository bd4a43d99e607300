package demo

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-resty/resty/v2"

	"briarproxy/core/wire"
	"briarproxy/standin/worker"
)

const (
	brokenRetryDelay = 100 * time.Millisecond // wait after a broken connection before another daemon is tried
	answerMargin     = 500 * time.Millisecond // time after the caller's deadline within which an answer is still accepted
	jobCallTimeout   = 5 * time.Second        // timeout of one call that waits for a job
	jobRetryDelay    = 200 * time.Millisecond // wait before a failed call about a job is repeated
)

// Client sends requests to the daemons of one cell. It is safe for concurrent use.
type Client struct {
	http *resty.Client

	mu      sync.Mutex
	daemons []string // base URLs
	rng     *rand.Rand
}

// NewClient returns a client of the daemons with the given base URLs. The seed
// determines the choice of daemons.
func NewClient(daemons []string, seed uint64) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}
	return &Client{
		http:    resty.New().SetTransport(transport),
		daemons: append([]string{}, daemons...),
		rng:     rand.New(rand.NewPCG(seed, seed)),
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.GetClient().CloseIdleConnections() }

// pickDaemon returns a random daemon other than the one to avoid, if there is another.
func (c *Client) pickDaemon(avoid string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	start := c.rng.IntN(len(c.daemons))
	for i := range c.daemons {
		if d := c.daemons[(start+i)%len(c.daemons)]; d != avoid {
			return d
		}
	}
	return avoid
}

// Do sends a request until it is answered, must not be repeated, or its deadline would
// pass. Before a retry it waits for Retry-After. After a broken connection or an unknown
// outcome it retries at another daemon with the same idempotency key.
func (c *Client) Do(ctx context.Context, request Request) *Record {
	record := NewRecord(request)
	deadline := record.SentAt.Add(request.Deadline)
	avoid := ""
	for {
		attempt := c.send(ctx, record, c.pickDaemon(avoid), time.Until(deadline))
		record.Attempts = append(record.Attempts, attempt)
		record.FinalOutcome = attempt.Outcome
		record.AnsweredAt = time.Now()
		delay, retry := attempt.retryDelay(request)
		if !retry || time.Until(deadline) <= delay || !sleep(ctx, delay) {
			return record
		}
		avoid = ""
		if attempt.Outcome != OutcomeNotRun {
			avoid = attempt.Daemon
		}
	}
}

// retryDelay returns the time to wait before a retry, and whether the caller may retry.
func (a Attempt) retryDelay(request Request) (time.Duration, bool) {
	repeatable := request.Idempotent || request.Key != ""
	switch a.Outcome {
	case OutcomeNotRun:
		return a.RetryAfter, a.RetryAfter > 0
	case OutcomeUnknown:
		return a.RetryAfter, repeatable && a.RetryAfter > 0 // without Retry-After, a retry would not learn more
	case OutcomeBroken:
		return brokenRetryDelay, repeatable
	}
	return 0, false
}

// SendOnce sends a request to one daemon without retries.
func (c *Client) SendOnce(ctx context.Context, daemon string, request Request) *Record {
	record := NewRecord(request)
	attempt := c.send(ctx, record, daemon, request.Deadline)
	record.Attempts = []Attempt{attempt}
	record.FinalOutcome = attempt.Outcome
	record.AnsweredAt = time.Now()
	return record
}

func (c *Client) send(ctx context.Context, record *Record, daemon string, timeout time.Duration) Attempt {
	attempt := Attempt{Daemon: daemon, Outcome: OutcomeBroken}
	if record.AttemptTimeout > 0 {
		timeout = min(timeout, record.AttemptTimeout)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+answerMargin)
	defer cancel()
	call := c.http.R().SetContext(ctx).SetBody(record.Body).
		SetHeader("Content-Type", "application/octet-stream").
		SetHeader(wire.HeaderOperation, record.Operation).
		SetHeader(wire.HeaderDeadlineMS, strconv.FormatInt(max(1, timeout.Milliseconds()), 10))
	if record.Key != "" {
		call.SetHeader(wire.HeaderIdempotencyKey, record.Key)
	}
	if record.Team != "" {
		call.SetHeader(wire.HeaderTeam, record.Team)
	}
	response, err := call.Post(daemon + "/v1/services/" + record.Service + "/requests")
	if err != nil {
		attempt.Detail = err.Error()
		return attempt
	}
	return record.readAnswer(attempt, response)
}

// readAnswer interprets an answer and records violations in it.
func (r *Record) readAnswer(attempt Attempt, response *resty.Response) Attempt {
	attempt = readHeaders(attempt, response)
	if response.Header().Get(wire.HeaderResultDigest) != digest(response.Body()) {
		attempt.Detail = "the answer does not match its digest"
		r.addViolation(attempt.Detail)
		return attempt
	}
	switch response.StatusCode() {
	case http.StatusOK:
		return r.readResult(attempt, response)
	case http.StatusAccepted:
		return r.readAccepted(attempt, response)
	}
	return r.readProblem(attempt, response)
}

func readHeaders(attempt Attempt, response *resty.Response) Attempt {
	attempt.Status = response.StatusCode()
	attempt.RequestID = response.Header().Get(wire.HeaderRequestID)
	seconds, _ := strconv.ParseInt(response.Header().Get("Retry-After"), 10, 64)
	attempt.RetryAfter = time.Duration(seconds) * time.Second
	attempt.ConfigVersion, _ = strconv.ParseInt(response.Header().Get(wire.HeaderConfigVersion), 10, 64)
	return attempt
}

func (r *Record) readResult(attempt Attempt, response *resty.Response) Attempt {
	var result worker.RequestResult
	if err := json.Unmarshal(response.Body(), &result); err != nil {
		attempt.Detail = err.Error()
		r.addViolation("the answer is not a worker's result: " + err.Error())
		return attempt
	}
	if result.BodySHA256 != r.BodyDigest {
		r.addViolation("the answer belongs to another request, " + result.ID)
	}
	attempt.Outcome = OutcomeAnswered
	r.Result = &result
	r.ResultDigest = digest(response.Body())
	return attempt
}

// acceptedBody is the part of a 202 answer that callers use.
type acceptedBody struct {
	ID string `json:"id"`
}

func (r *Record) readAccepted(attempt Attempt, response *resty.Response) Attempt {
	var body acceptedBody
	if err := json.Unmarshal(response.Body(), &body); err != nil || body.ID == "" {
		attempt.Detail = "the answer names no job"
		r.addViolation(attempt.Detail)
		return attempt
	}
	attempt.Outcome = OutcomeAccepted
	r.JobID = body.ID
	return attempt
}

func (r *Record) readProblem(attempt Attempt, response *resty.Response) Attempt {
	var problem wire.Problem
	if err := json.Unmarshal(response.Body(), &problem); err != nil {
		attempt.Detail = err.Error()
		r.addViolation("the error answer has no problem body, status " + response.Status())
		return attempt
	}
	attempt.Detail = problem.Type + ": " + problem.Detail
	switch problem.Outcome {
	case wire.OutcomeNotRun:
		attempt.Outcome = OutcomeNotRun
	case wire.OutcomeRan:
		attempt.Outcome = OutcomeRan
	default:
		attempt.Outcome = OutcomeUnknown
	}
	return attempt
}

func (r *Record) addViolation(text string) { r.Violations = append(r.Violations, text) }

// sleep waits for the duration and reports whether the context was not cancelled meanwhile.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
