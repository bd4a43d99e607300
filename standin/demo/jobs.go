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

// Submit submits a job until it is accepted or refused for good, or the deadline
// has passed. Repeats carry the same id, so that they are the same job.
func (c *Client) Submit(ctx context.Context, kind string, spec wire.JobSpec, wait time.Duration) *Record {
	record := NewRecord(Request{Kind: kind, Operation: spec.Template, Idempotent: true, Durable: true, Body: spec.Body, Deadline: wait})
	record.JobID = spec.ID
	record.Tasks = spec.Tasks
	avoid := ""
	for time.Since(record.Sent) < wait {
		attempt := c.submit(ctx, spec, c.pick(avoid))
		record.Attempts = append(record.Attempts, attempt)
		record.Final = attempt.Told
		record.Answered = time.Now()
		pause, again := attempt.again(record.Request)
		if !again || !sleep(ctx, pause) {
			break
		}
		avoid = attempt.Daemon
	}
	return record
}

func (c *Client) submit(ctx context.Context, spec wire.JobSpec, daemon string) Attempt {
	attempt := Attempt{Daemon: daemon, Told: ToldBroken}
	ctx, cancel := context.WithTimeout(ctx, 2*jobCall)
	defer cancel()
	var problem wire.Problem
	response, err := c.http.R().SetContext(ctx).SetBody(spec).SetError(&problem).Post(daemon + "/v1/jobs")
	if err != nil {
		attempt.Detail = err.Error()
		return attempt
	}
	attempt = readHeaders(attempt, response)
	if response.StatusCode() == http.StatusAccepted {
		attempt.Told = ToldAccepted
		return attempt
	}
	attempt.Detail = response.String()
	attempt.Told = ToldUnknown
	var body wire.Problem
	if json.Unmarshal(response.Body(), &body) == nil && body.Outcome == wire.OutcomeNotRun {
		attempt.Told = ToldNotRun
	}
	return attempt
}

// Await follows the job of an accepted record until it has ended or the time has
// passed, and reads its results.
func (c *Client) Await(ctx context.Context, record *Record, wait time.Duration) {
	if record.Final != ToldAccepted || record.JobID == "" {
		return
	}
	deadline := time.Now().Add(wait)
	avoid := ""
	for time.Now().Before(deadline) && ctx.Err() == nil {
		daemon := c.pick(avoid)
		left := min(jobCall, time.Until(deadline))
		var status wire.JobStatus
		ok := c.get(ctx, daemon+"/v1/jobs/"+record.JobID+"?wait_ms="+strconv.FormatInt(max(1, left.Milliseconds()), 10), &status)
		if !ok {
			avoid = daemon
			sleep(ctx, busyPause)
			continue
		}
		avoid = ""
		record.Job = &status
		if ended(status.State) && c.fetch(ctx, daemon, record) {
			return
		}
	}
}

func ended(state wire.JobState) bool { return state != wire.JobPending && state != wire.JobRunning }

// fetch reads the results of a job that has ended.
func (c *Client) fetch(ctx context.Context, daemon string, record *Record) bool {
	if record.Job.State != wire.JobSucceeded {
		return true
	}
	var results wire.JobResults
	if !c.get(ctx, daemon+"/v1/jobs/"+record.JobID+"/results", &results) {
		return false
	}
	record.JobResults = results.Results
	record.Answered = time.Now()
	record.checkResults()
	return true
}

// checkResults compares each result with its digest and the body that was sent.
func (r *Record) checkResults() {
	for _, result := range r.JobResults {
		var body worker.RequestResult
		switch {
		case result.Digest != digest(result.Body) || result.Length != int64(len(result.Body)):
			r.violate("the result of " + result.ID + " does not match its digest")
		case json.Unmarshal(result.Body, &body) != nil:
			r.violate("the result of " + result.ID + " is not what a worker wrote")
		case body.BodySHA256 != r.Digest:
			r.violate("the result of " + result.ID + " belongs to another request, " + body.ID)
		}
	}
}

func (c *Client) get(ctx context.Context, url string, reply any) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*jobCall)
	defer cancel()
	response, err := c.http.R().SetContext(ctx).Get(url)
	return err == nil && response.StatusCode() == http.StatusOK && json.Unmarshal(response.Body(), reply) == nil
}
