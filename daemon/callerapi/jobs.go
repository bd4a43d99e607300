package callerapi

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"briarproxy/core/wire"
)

// Times and limits of job calls.
const (
	jobCallTimeout = 10 * time.Second
	maxJobWait     = 10 * time.Minute
	maxJobTasks    = 100_000
	// durablePrefix marks the jobs of durable requests; callers can't choose such ids.
	durablePrefix = "dr-"
)

// submitJob handles POST /v1/jobs.
func (s *Server) submitJob(w http.ResponseWriter, r *http.Request) {
	body, p := s.readBody(w, r, s.options.MaxBody)
	if p != nil {
		s.refuse(w, r, p)
		return
	}
	spec, p := parseSpec(body)
	if p != nil {
		s.refuse(w, r, p)
		return
	}
	w.Header().Set("Location", jobURL(spec.ID))
	s.callJob(w, r, http.StatusAccepted, &wire.JobArgs{Action: wire.JobSubmit, ID: spec.ID, Spec: spec})
}

// parseSpec reads a job specification and checks what can be checked without the
// configuration.
func parseSpec(body []byte) (*wire.JobSpec, *wire.Problem) {
	spec := &wire.JobSpec{}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(spec); err != nil {
		return nil, malformed("the body is no job specification: %v", err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, malformed("the body has data after the job specification")
	}
	if !validJobID(spec.ID) || strings.HasPrefix(spec.ID, durablePrefix) {
		return nil, malformed("id must have 1 to %d letters, digits, '.', '_' or '-' and not begin with %q", maxNameLength, durablePrefix)
	}
	if !printable(spec.Template, maxNameLength) {
		return nil, malformed("template must name a published batch or gang job")
	}
	if spec.Team != "" && !printable(spec.Team, maxNameLength) {
		return nil, malformed("team must have 1 to %d printable ASCII characters", maxNameLength)
	}
	if spec.Tasks < 0 || spec.Tasks > maxJobTasks {
		return nil, malformed("tasks must be 0 to %d", maxJobTasks)
	}
	return spec, nil
}

func validJobID(id string) bool {
	for _, c := range id {
		letter := (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
		if !letter && c != '.' && c != '_' && c != '-' {
			return false
		}
	}
	return len(id) > 0 && len(id) <= maxNameLength
}

// jobStatus handles GET /v1/jobs/{id}, with ?wait_ms= until the job has ended.
func (s *Server) jobStatus(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	wait := r.URL.Query().Get("wait_ms")
	if wait == "" || !validJobID(id) {
		s.callJob(w, r, http.StatusOK, &wire.JobArgs{Action: wire.JobGet, ID: id})
		return
	}
	limit, p := parseMS("wait_ms", wait, maxJobWait)
	if p != nil {
		s.refuse(w, r, p)
		return
	}
	status, p := s.options.Router.WaitJob(r.Context(), id, s.options.Now()+limit)
	if p != nil {
		s.writeProblem(w, r, p)
		return
	}
	s.writeJSON(w, r, http.StatusOK, jsonType, status)
}

// cancelJob handles DELETE /v1/jobs/{id}.
func (s *Server) cancelJob(w http.ResponseWriter, r *http.Request) {
	s.callJob(w, r, http.StatusOK, &wire.JobArgs{Action: wire.JobCancel, ID: r.PathValue("id")})
}

// jobResults handles GET /v1/jobs/{id}/results.
func (s *Server) jobResults(w http.ResponseWriter, r *http.Request) {
	s.callJob(w, r, http.StatusOK, &wire.JobArgs{Action: wire.JobResult, ID: r.PathValue("id")})
}

// callJob calls the shard owner of the job and writes its answer.
func (s *Server) callJob(w http.ResponseWriter, r *http.Request, status int, args *wire.JobArgs) {
	m, p := parseHeaders(r.Header)
	if p == nil && !validJobID(args.ID) {
		p = malformed("the job id must have 1 to %d letters, digits, '.', '_' or '-'", maxNameLength)
	}
	if p != nil {
		s.refuse(w, r, p)
		return
	}
	wait := m.wait
	if wait <= 0 {
		wait = jobCallTimeout
	}
	reply, p := s.options.Router.Job(r.Context(), args, s.options.Now()+wait)
	switch {
	case p != nil:
		s.writeProblem(w, r, p)
	case args.Action == wire.JobResult && reply.Results != nil:
		s.writeJSON(w, r, status, jsonType, reply.Results)
	case args.Action != wire.JobResult && reply.Status != nil:
		s.writeJSON(w, r, status, jsonType, reply.Status)
	default:
		s.writeProblem(w, r, emptyReply())
	}
}

func emptyReply() *wire.Problem {
	p := problem(http.StatusBadGateway, "answer-damaged", "send the call again", "the shard owner's answer is empty")
	p.Outcome = wire.OutcomeUnknown
	return p
}
