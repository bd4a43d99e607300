package demo

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"briarproxy/core/wire"
	"briarproxy/standin/worker"
)

// SubmitJob submits a job until it is accepted, must not be retried, or the timeout has passed.
// Retries carry the same id, so that they do not create another job.
func (c *Client) SubmitJob(ctx context.Context, kind string, spec wire.JobSpec, timeout time.Duration) *Record {
	record := NewRecord(Request{Kind: kind, Operation: spec.Template, Idempotent: true, Durable: true, Body: spec.Body, Deadline: timeout})
	record.JobID = spec.ID
	record.Tasks = spec.Tasks
	avoid := ""
	for time.Since(record.SentAt) < timeout {
		attempt := c.postJob(ctx, spec, c.pickDaemon(avoid))
		record.Attempts = append(record.Attempts, attempt)
		record.FinalOutcome = attempt.Outcome
		record.AnsweredAt = time.Now()
		delay, retry := attempt.retryDelay(record.Request)
		if !retry || !sleep(ctx, delay) {
			break
		}
		avoid = attempt.Daemon
	}
	return record
}

func (c *Client) postJob(ctx context.Context, spec wire.JobSpec, daemon string) Attempt {
	attempt := Attempt{Daemon: daemon, Outcome: OutcomeBroken}
	ctx, cancel := context.WithTimeout(ctx, 2*jobCallTimeout)
	defer cancel()
	var problem wire.Problem
	response, err := c.http.R().SetContext(ctx).SetBody(spec).SetError(&problem).Post(daemon + "/v1/jobs")
	if err != nil {
		attempt.Detail = err.Error()
		return attempt
	}
	attempt = readHeaders(attempt, response)
	if response.StatusCode() == http.StatusAccepted {
		attempt.Outcome = OutcomeAccepted
		return attempt
	}
	attempt.Detail = response.String()
	attempt.Outcome = OutcomeUnknown
	var body wire.Problem
	if json.Unmarshal(response.Body(), &body) == nil && body.Outcome == wire.OutcomeNotRun {
		attempt.Outcome = OutcomeNotRun
	}
	return attempt
}

// AwaitJob polls the job of an accepted record until it has ended or the timeout has passed,
// and reads its results.
func (c *Client) AwaitJob(ctx context.Context, record *Record, timeout time.Duration) {
	if record.FinalOutcome != OutcomeAccepted || record.JobID == "" {
		return
	}
	deadline := time.Now().Add(timeout)
	avoid := ""
	for time.Now().Before(deadline) && ctx.Err() == nil {
		daemon := c.pickDaemon(avoid)
		callTimeout := min(jobCallTimeout, time.Until(deadline))
		var status wire.JobStatus
		ok := c.get(ctx, daemon+"/v1/jobs/"+record.JobID+"?wait_ms="+strconv.FormatInt(max(1, callTimeout.Milliseconds()), 10), &status)
		if !ok {
			avoid = daemon
			sleep(ctx, jobRetryDelay)
			continue
		}
		avoid = ""
		record.Job = &status
		if hasEnded(status.State) && c.fetchResults(ctx, daemon, record) {
			return
		}
	}
}

func hasEnded(state wire.JobState) bool { return state != wire.JobPending && state != wire.JobRunning }

// fetchResults reads the results of a job that has ended, if it succeeded, and reports
// whether there is nothing left to read.
func (c *Client) fetchResults(ctx context.Context, daemon string, record *Record) bool {
	if record.Job.State != wire.JobSucceeded {
		return true
	}
	var results wire.JobResults
	if !c.get(ctx, daemon+"/v1/jobs/"+record.JobID+"/results", &results) {
		return false
	}
	record.JobResults = results.Results
	record.AnsweredAt = time.Now()
	record.checkResults()
	return true
}

// checkResults checks each result against its digest and the request body.
func (r *Record) checkResults() {
	for _, result := range r.JobResults {
		var body worker.RequestResult
		switch {
		case result.Digest != digest(result.Body) || result.Length != int64(len(result.Body)):
			r.addViolation("the result of " + result.ID + " does not match its digest")
		case json.Unmarshal(result.Body, &body) != nil:
			r.addViolation("the result of " + result.ID + " does not have the format of a worker's result")
		case body.BodySHA256 != r.BodyDigest:
			r.addViolation("the result of " + result.ID + " belongs to another request, " + body.ID)
		}
	}
}

func (c *Client) get(ctx context.Context, url string, reply any) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*jobCallTimeout)
	defer cancel()
	response, err := c.http.R().SetContext(ctx).Get(url)
	return err == nil && response.StatusCode() == http.StatusOK && json.Unmarshal(response.Body(), reply) == nil
}
