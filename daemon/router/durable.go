package router

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"briarproxy/core/wire"
	"briarproxy/daemon/workerclient"
)

// submit accepts a durable request as a job of one task. The caller gets the result
// if the job ends while it waits, and the job's id otherwise.
func (r *Router) submit(ctx context.Context, plan *Plan) (*Answer, *wire.Problem) {
	if p := plan.needKey(); p != nil {
		return nil, p
	}
	spec := &wire.JobSpec{
		ID:       durableID(plan),
		Template: plan.Service.Name + "/" + plan.Operation,
		Team:     plan.Team,
		Tasks:    1,
		Body:     plan.Body,
	}
	reply, p := r.Job(ctx, &wire.JobArgs{Action: wire.JobSubmit, ID: spec.ID, Spec: spec}, plan.Deadline)
	if p != nil {
		return nil, p
	}
	if reply.Status != nil && reply.Status.State == wire.JobRefused {
		return nil, jobFailed(reply.Status)
	}
	if plan.Wait <= 0 || reply.Status == nil {
		return &Answer{JobID: spec.ID}, nil
	}
	return r.awaitJob(ctx, plan, spec.ID)
}

// durableID derives the job's id from the idempotency key, so that a repeat of the
// request is the same job.
func durableID(plan *Plan) string {
	if plan.IdempotencyKey == "" {
		return "dr-" + plan.ID
	}
	digest := sha256.Sum256([]byte(plan.Service.Name + "\x00" + plan.Operation + "\x00" + plan.IdempotencyKey))
	return "dr-" + hex.EncodeToString(digest[:16])
}

// awaitMargin is left of the caller's time for fetching the result.
const awaitMargin = 100 * time.Millisecond

// awaitJob waits for the job. Whatever goes wrong meanwhile, the job is accepted,
// so the caller gets its id.
func (r *Router) awaitJob(ctx context.Context, plan *Plan, id string) (*Answer, *wire.Problem) {
	accepted := &Answer{JobID: id}
	status, p := r.WaitJob(ctx, id, plan.Deadline-awaitMargin)
	if p != nil || !jobEnded(status.State) {
		return accepted, nil
	}
	if status.State != wire.JobSucceeded {
		return nil, jobFailed(status)
	}
	reply, p := r.Job(ctx, &wire.JobArgs{Action: wire.JobResult, ID: id}, plan.Deadline)
	if p != nil || reply.Results == nil || len(reply.Results.Results) != 1 {
		return accepted, nil
	}
	result := reply.Results.Results[0]
	if !verified(&result) {
		return accepted, nil
	}
	return &Answer{Result: &result, JobID: id}, nil
}

// jobOutcome tells whether the task of a durable request ran. A task without an
// attempt never did. One that was cancelled may have been stopped before it began.
func jobOutcome(status *wire.JobStatus) wire.Outcome {
	attempts := int64(0)
	for _, task := range status.Tasks {
		attempts += task.Generation
	}
	switch {
	case attempts == 0:
		return wire.OutcomeNotRun
	case status.State == wire.JobCancelled:
		return wire.OutcomeUnknown
	}
	return wire.OutcomeRan
}

func jobFailed(status *wire.JobStatus) *wire.Problem {
	return problem(http.StatusBadGateway, jobOutcome(status), "job-"+string(status.State), "read the job at /v1/jobs/"+status.ID, "job %s ended as %s: %s", status.ID, status.State, status.Reason)
}

// Job calls the owner of the job's shard; deadline is on the boot clock. Every job
// call may be repeated: a submission with equal content is the same job.
func (r *Router) Job(ctx context.Context, args *wire.JobArgs, deadline time.Duration) (*wire.JobReply, *wire.Problem) {
	var reply *wire.JobReply
	lost, p := r.callShard(ctx, args.ID, wire.ShardOf(args.ID), deadline, func(ctx context.Context, owner shardOwner, left time.Duration) error {
		call := *args
		call.From = r.options.View.Current().Self.Name
		call.ShardEpoch = owner.epoch
		call.DeadlineMS = left.Milliseconds()
		call.WaitMS = min(args.WaitMS, call.DeadlineMS, jobPoll.Milliseconds())
		reply = &wire.JobReply{}
		return r.options.Peers.Call(ctx, owner.name, wire.RPCJob, &call, reply)
	})
	if p != nil && p.Outcome == wire.OutcomeUnknown {
		p.Remedy = "ask for the job at /v1/jobs/" + args.ID + " or send the call again"
	}
	if p == nil && reply.Problem != nil {
		p = afterLoss(reply.Problem, lost)
	}
	if p != nil {
		return nil, p
	}
	return reply, nil
}

// jobPoll bounds one wait for a job at its shard owner, below forwardSilence so
// that a wait is not taken for a silent connection.
const jobPoll = 4 * time.Second

// jobPollGap keeps an owner that answers polls at once from being asked
// continuously.
const jobPollGap = 50 * time.Millisecond

// verified reports whether a result is complete.
func verified(result *wire.Result) bool {
	return result != nil && workerclient.Verify(result, result.ID, result.Generation)
}

// jobEnded reports whether a job changes no more.
func jobEnded(state wire.JobState) bool {
	switch state {
	case wire.JobSucceeded, wire.JobFailed, wire.JobCancelled, wire.JobRefused:
		return true
	}
	return false
}

// WaitJob polls a job until it has ended or the deadline passes and returns its
// last status.
func (r *Router) WaitJob(ctx context.Context, id string, deadline time.Duration) (*wire.JobStatus, *wire.Problem) {
	for {
		wait := (deadline - r.options.Now()).Milliseconds()
		reply, p := r.Job(ctx, &wire.JobArgs{Action: wire.JobGet, ID: id, WaitMS: wait}, deadline)
		if p != nil {
			return nil, p
		}
		if reply.Status == nil {
			return nil, problem(http.StatusBadGateway, wire.OutcomeUnknown, "answer-damaged", "send the call again", "the shard owner's answer has no status")
		}
		if jobEnded(reply.Status.State) || deadline-r.options.Now() < awaitMargin {
			return reply.Status, nil
		}
		select {
		case <-time.After(jobPollGap):
		case <-ctx.Done():
			return reply.Status, nil
		}
	}
}
