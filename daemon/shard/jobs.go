package shard

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"briarproxy/core/fault"
	"briarproxy/core/job"
	"briarproxy/core/object"
	"briarproxy/core/resource"
	"briarproxy/core/wire"
)

// maxJobTasks bounds the tasks of one job.
const maxJobTasks = 4096

// Job serves a job call. It waits until the call is decided; JobGet waits for the job's end as long as WaitMS allows.
func (m *Manager) Job(args *wire.JobArgs, reply *wire.JobReply) error {
	r, err := m.runner(wire.ShardOf(args.ID), args.ShardEpoch)
	if err != nil {
		return err
	}
	deadline := time.NewTimer(time.Duration(args.WaitMS) * time.Millisecond)
	defer deadline.Stop()
	for {
		call := jobCall{args: args, reply: make(chan wire.JobReply, 1), changed: make(chan struct{})}
		if err := r.send(call); err != nil {
			return err
		}
		select {
		case *reply = <-call.reply:
		case <-r.done:
			return r.gone()
		}
		if !waitsForEnd(args, reply) {
			return nil
		}
		select {
		case <-call.changed:
		case <-deadline.C:
			return nil
		case <-r.done:
			return r.gone()
		}
	}
}

func waitsForEnd(args *wire.JobArgs, reply *wire.JobReply) bool {
	if args.Action != wire.JobGet || args.WaitMS <= 0 || reply.Status == nil {
		return false
	}
	return reply.Status.State == wire.JobPending || reply.Status.State == wire.JobRunning
}

type jobCall struct {
	args    *wire.JobArgs
	reply   chan wire.JobReply
	changed chan struct{} // closed when the job changes after the reply
}

func (m jobCall) handle(r *runner) {
	switch m.args.Action {
	case wire.JobSubmit:
		r.submit(m)
	case wire.JobCancel:
		r.cancelJob(m)
	default:
		r.read(m)
	}
}

func (m jobCall) fail(p *wire.Problem) { m.reply <- wire.JobReply{Problem: p} }

func (r *runner) read(m jobCall) {
	j := r.jobs.Get(m.args.ID)
	if j == nil {
		m.fail(problem(http.StatusNotFound, "unknown-job", wire.OutcomeNotRun, 0, "job \""+m.args.ID+"\" is not known", "check the id; finished jobs are kept for "+keepFinished.String()))
		return
	}
	switch m.args.Action {
	case wire.JobResult:
		m.reply <- wire.JobReply{Status: j.Status(), Results: j.Results()}
	case wire.JobExplain:
		m.reply <- wire.JobReply{Explain: r.explain(j)}
	default:
		r.waiters[j.ID] = append(r.waiters[j.ID], m.changed)
		m.reply <- wire.JobReply{Status: j.Status()}
	}
}

func (r *runner) explain(j *job.Job) *wire.Explanation {
	status := j.Status()
	summary := "job is " + string(status.State)
	if status.Reason != "" {
		summary += ": " + status.Reason
	}
	return &wire.Explanation{ID: j.ID, State: string(status.State), Summary: summary, History: r.history[j.ID]}
}

func (r *runner) submit(m jobCall) {
	spec := m.args.Spec
	if spec == nil || spec.ID == "" || spec.ID != m.args.ID {
		m.fail(problem(http.StatusBadRequest, "malformed-job", wire.OutcomeNotRun, 0, "the call carries no job of this id", "send the job's specification"))
		return
	}
	digest := specDigest(spec)
	if known := r.jobs.Get(spec.ID); known != nil {
		r.repeatedSubmit(m, known, digest)
		return
	}
	if r.submitting[spec.ID] {
		m.fail(problem(http.StatusServiceUnavailable, "submission-in-flight", wire.OutcomeUnknown, 1, "another submission of this id is being logged", "submit again with the same id"))
		return
	}
	definition, p := define(r.View.Current().Set, spec)
	if p != nil {
		r.Log.Emit(eventRefused, "job", spec.ID, "template", spec.Template, "reason", p.Detail)
		m.fail(p)
		return
	}
	if !r.View.Current().LogHealthy {
		m.fail(logDown())
		return
	}
	record := job.Record{Submit: &job.Submit{
		ID: spec.ID, Template: spec.Template, SpecDigest: digest, Definition: *definition,
		Tasks: spec.Tasks, Body: spec.Body, AtMS: r.WallMS(),
	}}
	r.submitting[spec.ID] = true
	r.append([]Entry{{Job: &record}}, func(err error) { r.submitted(m, spec.ID, err) })
}

func (r *runner) repeatedSubmit(m jobCall, known *job.Job, digest string) {
	if known.SpecDigest != digest {
		m.fail(problem(http.StatusConflict, "job-id-in-use", wire.OutcomeNotRun, 0, "job \""+known.ID+"\" exists with other content", "choose another id"))
		return
	}
	m.reply <- wire.JobReply{Status: known.Status()}
}

func (r *runner) submitted(m jobCall, id string, err error) {
	delete(r.submitting, id)
	if err != nil {
		m.fail(unlogged(err))
		return
	}
	j := r.jobs.Get(id)
	r.note(id, "accepted", "shard "+wire.ShardUnit(r.shard))
	r.Log.Emit(eventAccepted, "job", id, "template", j.Template, "tasks", len(j.Tasks), "class", j.Definition.Class, "team", j.Definition.Team)
	m.reply <- wire.JobReply{Status: j.Status()}
	r.place(r.Now())
}

// unlogged is the problem for a record that was not confirmed.
func unlogged(err error) *wire.Problem {
	if fault.Is(err, fault.Refused) {
		return problem(http.StatusServiceUnavailable, "log-unavailable", wire.OutcomeNotRun, retryAfterSeconds, err.Error(), "retry after the time given")
	}
	return problem(http.StatusServiceUnavailable, "log-unconfirmed", wire.OutcomeUnknown, retryAfterSeconds, err.Error(), "retry with the same id or idempotency key")
}

func (r *runner) cancelJob(m jobCall) {
	j := r.jobs.Get(m.args.ID)
	if j == nil {
		r.read(m)
		return
	}
	if j.Cancelled || j.Finished() {
		m.reply <- wire.JobReply{Status: j.Status()}
		return
	}
	record := job.Record{Cancel: &job.Cancel{Job: j.ID, AtMS: r.WallMS()}}
	r.append([]Entry{{Job: &record}}, func(err error) {
		if err != nil {
			m.fail(unlogged(err))
			return
		}
		r.Log.Emit(eventCancelled, "job", j.ID)
		r.note(j.ID, "cancelled", "")
		r.wake(j.ID)
		m.reply <- wire.JobReply{Status: j.Status()}
	})
}

func specDigest(spec *wire.JobSpec) string {
	text, _ := json.Marshal(spec) // a JobSpec has only fields that encode
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// define resolves a specification against the published objects. It refuses a job
// that can never run, so that its submitter learns it at once.
func define(set *object.Set, spec *wire.JobSpec) (*job.Definition, *wire.Problem) {
	definition, p := resolve(set, spec)
	if p != nil {
		return nil, p
	}
	if spec.Tasks < 1 || spec.Tasks > maxJobTasks {
		return nil, refuse("job-size", "the job has an unusable number of tasks", "ask for 1 to 4096 tasks")
	}
	pool := set.Pools[definition.Pool]
	if pool == nil {
		return nil, refuse("unknown-pool", "pool \""+definition.Pool+"\" is not published", "tell the operator")
	}
	if !definition.Resources.Fits(pool.LargestVM) {
		return nil, refuse("can-never-run", "a task needs "+definition.Resources.String()+", the largest VM of pool \""+pool.Name+"\" has "+pool.LargestVM.String(), "ask for less or for another pool")
	}
	total := definition.Resources.Scale(int64(spec.Tasks))
	if definition.Gang && pool.ExpectedVMs > 0 && !total.Fits(pool.LargestVM.Scale(int64(pool.ExpectedVMs))) {
		return nil, refuse("can-never-run", "the gang needs more than the whole pool \""+pool.Name+"\" has", "ask for fewer tasks")
	}
	return definition, nil
}

func refuse(kind, detail, remedy string) *wire.Problem {
	return problem(http.StatusUnprocessableEntity, kind, wire.OutcomeNotRun, 0, detail, remedy)
}

// resolve finds the template: a job object, or "service/operation" for a durable
// request.
func resolve(set *object.Set, spec *wire.JobSpec) (*job.Definition, *wire.Problem) {
	var template *object.JobTemplate
	definition := &job.Definition{}
	if t := set.BatchJobs[spec.Template]; t != nil {
		template = &t.JobTemplate
	}
	if t := set.GangJobs[spec.Template]; t != nil {
		template = &t.JobTemplate
		definition.Gang = true
		definition.MinRacks = t.MinRacks
	}
	if template == nil {
		return resolveRequest(set, spec)
	}
	definition.Pool, definition.Class, definition.Team = template.Pool, template.Policy, template.Team
	definition.Operation, definition.Resources = template.Operation, template.Resources
	definition.RunMS, definition.MaxAttempts = template.RunTime.Milliseconds(), template.MaxAttempts
	if spec.Tasks == 0 {
		spec.Tasks = template.Tasks
	}
	return withPolicy(set, definition, spec)
}

func resolveRequest(set *object.Set, spec *wire.JobSpec) (*job.Definition, *wire.Problem) {
	service, operation, _ := strings.Cut(spec.Template, "/")
	s := set.Services[service]
	if s == nil || s.Operations[operation] == nil {
		return nil, refuse("unknown-template", "\""+spec.Template+"\" is no published job object and no operation of a service", "check the template's name")
	}
	op := s.Operations[operation]
	definition := &job.Definition{
		Pool: s.Pool, Class: op.Policy, Team: s.Team, Operation: operation, Service: service,
		Resources: resource.Vector{Slots: 1}, RunMS: op.RunTime.Milliseconds(), MaxAttempts: 1,
	}
	if op.Idempotent {
		definition.MaxAttempts = idempotentAttempts
	} else {
		definition.AtMostOnce = true
	}
	if spec.Tasks == 0 {
		spec.Tasks = 1
	}
	return withPolicy(set, definition, spec)
}

// idempotentAttempts is how often a failed idempotent request is run.
const idempotentAttempts = 3

func withPolicy(set *object.Set, definition *job.Definition, spec *wire.JobSpec) (*job.Definition, *wire.Problem) {
	policy := set.Policies[definition.Class]
	if policy == nil {
		return nil, refuse("unknown-policy", "policy \""+definition.Class+"\" is not published", "tell the operator")
	}
	if spec.Team != "" {
		definition.Team = spec.Team
	}
	if set.Teams[definition.Team] == nil {
		return nil, refuse("unknown-team", "team \""+definition.Team+"\" is not published", "name a published team")
	}
	definition.Priority = policy.Priority
	definition.DeadlineMS = policy.Deadline.Milliseconds()
	definition.SpreadRacks = policy.SpreadRacks
	definition.Preemptible = policy.Preemptible
	definition.CanPreempt = policy.CanPreempt
	definition.Checkpoint = policy.Checkpoint
	return definition, nil
}
